//! Taking in what others say about members and backend servers.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{InstanceId, Timestamp};

use crate::{
    Change, Member, MemberConfig, MemberState, Membership, Output, Record, ServerReport,
    membership::Suspicion,
};

/// Whether a change that was learned is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Spread {
    /// It may be news to others.
    Yes,
    /// It came with a full view, so that the others have it.
    No,
}

impl Membership {
    /// Merges a record.
    pub(crate) fn learn(
        &mut self,
        now: Timestamp,
        Record(member, age): Record,
        spread: Spread,
        out: &mut Vec<Output>,
    ) {
        if member.instance == self.me.instance {
            return self.learn_about_me(now, &member, out);
        }
        let buried = self.tombstones.rank(&member.instance);
        if buried.is_some_and(|rank| rank >= member.rank()) {
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
            self.note_gone(now, &merged.instance, age);
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
        self.share_names(&mut member);
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

    /// Zone and region names repeat, so that one copy of each is kept.
    fn share_names(&mut self, member: &mut Member) {
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
        self.gone.remove(&member.instance);
        if member.state == MemberState::Suspect {
            let until = now + self.settings.suspicion_timeout(self.view.len());
            let rank = member.rank();
            let suspicion = Suspicion {
                rank,
                until,
                asked: 0,
            };
            self.suspicions.insert(member.instance.clone(), suspicion);
        }
        if member.is_gone() {
            self.note_gone(now, &member.instance, age);
        }
    }

    /// The earliest known time counts, so that all forget at about one time.
    fn note_gone(&mut self, now: Timestamp, instance: &InstanceId, age: u32) {
        let since = now - Duration::from_secs(age.into());
        let known = self.gone.entry(instance.clone()).or_insert(since);
        *known = since.min(*known);
    }

    /// A member has been gone for long enough to leave the view.
    pub(crate) fn forget(&mut self, now: Timestamp, instance: &InstanceId, out: &mut Vec<Output>) {
        self.gone.remove(instance);
        let Some(member) = self.view.get(instance).cloned() else {
            return;
        };
        self.tombstones
            .bury(now, &member, self.settings.max_tombstones);
        self.view.remove(instance);
        out.push(Output::Changed(Change {
            instance: instance.clone(),
            incarnation: member.incarnation,
            from: Some(member.state),
            to: None,
        }));
    }

    /// Somebody's opinion of this daemon.
    fn learn_about_me(&mut self, now: Timestamp, said: &Member, out: &mut Vec<Output>) {
        let ours = self.me.incarnation;
        let left = said.state == MemberState::Leaving && self.me.state != MemberState::Leaving;
        if said.incarnation > ours || (said.incarnation == ours && left) {
            if self.superseded < Some(said.incarnation) {
                self.superseded = Some(said.incarnation);
                out.push(Output::Superseded(said.incarnation));
            }
            return;
        }
        let outranked = said.rank() > self.me.rank();
        if said.incarnation == ours && outranked {
            self.refute(now, said.refutation, out);
        }
    }

    /// Raises the refutation above the one that was said to be suspect.
    pub(crate) fn refute(&mut self, now: Timestamp, refuted: u32, out: &mut Vec<Output>) {
        self.me.refutation = refuted.max(self.me.refutation).saturating_add(1);
        let state = self.me.state;
        self.set_me(state, out);
        self.tell_urgently(now, out);
    }

    pub(crate) fn set_me(&mut self, state: MemberState, out: &mut Vec<Output>) {
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

    pub(crate) fn learn_config(&mut self, note: &MemberConfig) {
        let MemberConfig(instance, incarnation, mark) = note;
        let Some(known) = self.view.get(instance) else {
            return;
        };
        if known.incarnation != *incarnation
            || known.config >= *mark
            || *instance == self.me.instance
        {
            return;
        }
        let member = Member {
            config: *mark,
            ..Member::clone(known)
        };
        self.view.put(member);
        self.config_changes.push(instance.clone());
    }

    /// Stores a report and passes it on, and returns whether it was news.
    pub(crate) fn learn_report(&mut self, now: Timestamp, report: &ServerReport) -> bool {
        let (age, limit) = (self.settings.report_ttl, self.settings.max_reports);
        let news = self.reports.learn(now, report, age, limit);
        if news {
            let key = (report.server.clone(), report.reporter.clone());
            self.report_changes.push(key);
        }
        news
    }

    /// After a pause every suspicion starts again.
    pub(crate) fn restart_suspicions(&mut self, now: Timestamp) {
        let until = now + self.settings.suspicion_timeout(self.view.len());
        for suspicion in self.suspicions.values_mut() {
            suspicion.until = until;
        }
    }

    /// Another member's view has been received.
    pub(crate) fn confirm(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.joined, true) {
            self.announce(now, out);
        }
        if self.unconfirmed_since.take().is_some() {
            // One sent while this daemon may have been cut off says nothing.
            self.probes.current = None;
            self.restart_suspicions(now);
            out.push(Output::Confirmed);
        }
    }
}
