//! Merging of received records, configuration versions and reports.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{InstanceId, Timestamp};

use crate::{
    Change, Member, MemberConfig, MemberState, Membership, Output, Record, ServerReport,
    membership::Suspicion,
};

/// Whether a merged change is disseminated further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    /// Other members may not know the change yet.
    Yes,
    /// The change came with a full view, so other members already have it.
    No,
}

impl Membership {
    /// Merges a received record into the view.
    pub(crate) fn merge_record(
        &mut self,
        now: Timestamp,
        Record(member, age): Record,
        spread: Spread,
        out: &mut Vec<Output>,
    ) {
        if member.instance == self.me.instance {
            return self.merge_own_record(now, &member, out);
        }
        let tombstone_rank = self.tombstones.rank(&member.instance);
        if tombstone_rank.is_some_and(|rank| rank >= member.rank()) {
            return;
        }
        let old = self.view.get(&member.instance).cloned();
        let merged = match &old {
            Some(old) => old.merge(&member),
            None => member,
        };
        if old.as_deref() != Some(&merged) {
            self.store(now, old, Record(merged, age), spread, out);
        } else if merged.is_gone() {
            self.set_gone_since(now, &merged.instance, age);
        }
    }

    fn store(
        &mut self,
        now: Timestamp,
        old: Option<Arc<Member>>,
        Record(mut member, age): Record,
        spread: Spread,
        out: &mut Vec<Output>,
    ) {
        self.intern_names(&mut member);
        let instance = member.instance.clone();
        let old_rank = old.as_ref().map(|m| m.rank());
        if old_rank == Some(member.rank()) {
            self.view.put(member);
            if spread == Spread::Yes {
                self.config_changes.push(instance);
            }
            return;
        }
        let change = Change {
            instance: instance.clone(),
            incarnation: member.incarnation,
            from: old.map(|m| m.state),
            to: Some(member.state),
        };
        self.set_timers(now, &member, age);
        self.view.put(member);
        if spread == Spread::Yes {
            self.changes.push(instance);
        }
        out.push(Output::Changed(change));
    }

    /// Interns the zone and region names, since few distinct ones occur.
    fn intern_names(&mut self, member: &mut Member) {
        match self.zones.get(&member.zone) {
            Some(zone) => member.zone = zone.clone(),
            None => _ = self.zones.insert(member.zone.clone()),
        }
        match self.regions.get(&member.region) {
            Some(region) => member.region = region.clone(),
            None => _ = self.regions.insert(member.region.clone()),
        }
    }

    fn set_timers(&mut self, now: Timestamp, member: &Member, age: u32) {
        self.suspicions.remove(&member.instance);
        self.gone_since.remove(&member.instance);
        if member.state == MemberState::Suspect {
            let expires = now + self.settings.suspicion_timeout(self.view.len());
            let rank = member.rank();
            let suspicion = Suspicion {
                rank,
                expires,
                final_probes: 0,
            };
            self.suspicions.insert(member.instance.clone(), suspicion);
        }
        if member.is_gone() {
            self.set_gone_since(now, &member.instance, age);
        }
    }

    /// Sets the time since which a member is dead or has left. The earliest known
    /// time is kept, so that all daemons remove the member at about the same time.
    fn set_gone_since(&mut self, now: Timestamp, instance: &InstanceId, age: u32) {
        let since = now - Duration::from_secs(age.into());
        let known = self.gone_since.entry(instance.clone()).or_insert(since);
        *known = since.min(*known);
    }

    /// Removes a member from the view after it has been gone for long enough, and
    /// leaves a tombstone.
    pub(crate) fn forget(&mut self, now: Timestamp, instance: &InstanceId, out: &mut Vec<Output>) {
        self.gone_since.remove(instance);
        let Some(member) = self.view.get(instance).cloned() else {
            return;
        };
        self.tombstones
            .insert(now, &member, self.settings.max_tombstones);
        self.view.remove(instance);
        out.push(Output::Changed(Change {
            instance: instance.clone(),
            incarnation: member.incarnation,
            from: Some(member.state),
            to: None,
        }));
    }

    /// Handles a record of this daemon that another daemon sent.
    fn merge_own_record(&mut self, now: Timestamp, claim: &Member, out: &mut Vec<Output>) {
        let ours = self.me.incarnation;
        let left = claim.state == MemberState::Leaving && self.me.state != MemberState::Leaving;
        if claim.incarnation > ours || (claim.incarnation == ours && left) {
            if self.superseded < Some(claim.incarnation) {
                self.superseded = Some(claim.incarnation);
                out.push(Output::Superseded(claim.incarnation));
            }
            return;
        }
        let outranked = claim.rank() > self.me.rank();
        if claim.incarnation == ours && outranked {
            self.refute(now, claim.refutation, out);
        }
    }

    /// Raises the refutation counter above that of the refuted record.
    pub(crate) fn refute(&mut self, now: Timestamp, refuted: u32, out: &mut Vec<Output>) {
        self.me.refutation = refuted.max(self.me.refutation).saturating_add(1);
        let state = self.me.state;
        self.update_own_record(state, out);
        self.gossip_urgently(now, out);
    }

    pub(crate) fn update_own_record(&mut self, state: MemberState, out: &mut Vec<Output>) {
        let from = Some(self.me.state);
        self.me.state = state;
        self.view.put(self.me.clone());
        self.changes.push(self.me.instance.clone());
        if from != Some(state) {
            out.push(Output::Changed(Change {
                instance: self.me.instance.clone(),
                incarnation: self.me.incarnation,
                from,
                to: Some(state),
            }));
        }
    }

    pub(crate) fn merge_config(&mut self, config: &MemberConfig) {
        let MemberConfig(instance, incarnation, version) = config;
        let Some(known) = self.view.get(instance) else {
            return;
        };
        if known.incarnation != *incarnation
            || known.config >= *version
            || *instance == self.me.instance
        {
            return;
        }
        let member = Member {
            config: *version,
            ..Member::clone(known)
        };
        self.view.put(member);
        self.config_changes.push(instance.clone());
    }

    /// Stores a report and queues it for dissemination if it is new. Returns
    /// whether it was.
    pub(crate) fn merge_report(&mut self, now: Timestamp, report: &ServerReport) -> bool {
        let (age, limit) = (self.settings.report_ttl, self.settings.max_reports);
        let is_new = self.reports.insert(now, report, age, limit);
        if is_new {
            let key = (report.server.clone(), report.reporter.clone());
            self.report_changes.push(key);
        }
        is_new
    }

    /// Restarts the timeout of every suspicion after a pause.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        let expires = now + self.settings.suspicion_timeout(self.view.len());
        for suspicion in self.suspicions.values_mut() {
            suspicion.expires = expires;
        }
    }

    /// Marks this daemon as joined and its view as confirmed.
    pub(crate) fn confirm(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.joined, true) {
            self.announce(now, out);
        }
        if self.unconfirmed_since.take().is_some() {
            // The current probe is no evidence: it was sent while this daemon may
            // have been without connectivity.
            self.probes.current = None;
            self.restart_suspicions(now);
            out.push(Output::Confirmed);
        }
    }
}
