//! Choosing peers by distance.

use std::sync::Arc;

use jasminepond_membership::{LocalMember, Member, MemberState, View};
use jasminepond_types::{InstanceId, Revision, Timestamp};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Settings;

/// Separates this order from other rendezvous orders over the same instances.
const READER_SEED: u64 = 0x5f73_796e_6372_6472;

/// One far peer in this many is sought in another region first.
const OTHER_REGION_SHARE: u32 = 2;

/// Position in the rendezvous order of readers, the highest first.
pub(crate) fn reader_rank(instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), READER_SEED)
}

/// The other daemons that can be reached, by distance.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    zone: Vec<InstanceId>,
    other_zones: Vec<InstanceId>,
    other_regions: Vec<InstanceId>,
    far: Vec<InstanceId>,
    far_since: Timestamp,
    generation: Option<u64>,
    /// Daemons of the zone that come before this one in the order of readers.
    pub(crate) ahead: usize,
    pub(crate) leaving: bool,
    /// Daemons that would read if the views of all were like this one.
    pub(crate) readers: usize,
    /// Most members ever seen. Members that are cut off are forgotten after a
    /// while, but still read the service.
    pub(crate) most_members: usize,
}

impl Peers {
    /// Takes a new view and returns whether it differs from the last.
    pub(crate) fn update(&mut self, me: &LocalMember, settings: &Settings, view: &View) -> bool {
        if self.generation == Some(view.generation()) {
            return false;
        }
        self.generation = Some(view.generation());
        self.most_members = self.most_members.max(view.len());
        let reachable = |m: &&Arc<Member>| m.is_reachable() && m.instance != me.instance;
        self.zone.clear();
        self.other_zones.clear();
        self.other_regions.clear();
        for member in view.members().iter().filter(reachable) {
            let list = match (member.zone == me.zone, member.region == me.region) {
                (true, true) => &mut self.zone,
                (false, true) => &mut self.other_zones,
                (_, false) => &mut self.other_regions,
            };
            list.push(member.instance.clone());
        }
        self.far
            .retain(|p| view.get(p).is_some_and(|m| m.is_reachable()));
        self.rank(me, settings, view);
        true
    }

    fn rank(&mut self, me: &LocalMember, settings: &Settings, view: &View) {
        let own = (reader_rank(&me.instance), &me.instance);
        let ahead = |m: &&Arc<Member>| (reader_rank(&m.instance), &m.instance) > own;
        let in_zone = |m: &&Arc<Member>| m.zone == me.zone && m.region == me.region;
        let live = view.in_state(MemberState::Alive);
        self.ahead = live.filter(in_zone).filter(ahead).count();
        let state = view.get(&me.instance).map(|m| m.state);
        self.leaving = state == Some(MemberState::Leaving);
        let mut zones = std::collections::BTreeMap::new();
        for member in view.in_state(MemberState::Alive) {
            *zones.entry((&member.region, &member.zone)).or_insert(0) += 1;
        }
        let readers = zones
            .values()
            .map(|&n: &usize| n.min(settings.readers_per_zone));
        self.readers = readers.sum::<usize>().max(1);
    }

    pub(crate) fn count(&self) -> usize {
        self.zone.len() + self.other_zones.len() + self.other_regions.len()
    }

    pub(crate) fn zone_size(&self) -> usize {
        self.zone.len() + 1
    }

    /// Daemons that read the service if the others see as little of the tier
    /// as this one.
    pub(crate) fn readers_everywhere(&self) -> f64 {
        let parts = self.most_members.max(1) as f64 / (self.count() + 1) as f64;
        parts.max(1.0) * self.readers as f64
    }

    /// Random peers of this zone.
    pub(crate) fn near(&self, rng: &mut StdRng, count: usize) -> Vec<InstanceId> {
        self.zone.choose_multiple(rng, count).cloned().collect()
    }

    /// Peers for an announcement: most in this zone, at least one in another,
    /// sometimes in another region.
    pub(crate) fn mixed(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Vec<InstanceId> {
        self.refresh_far(now, settings, rng);
        let mut chosen: Vec<_> = self.far.choose_multiple(rng, 1).cloned().collect();
        let near = settings.fanout.saturating_sub(chosen.len());
        chosen.extend(self.near(rng, near));
        let missing = settings.fanout.saturating_sub(chosen.len());
        let others = self.far.iter().filter(|p| !chosen.contains(p));
        let others: Vec<_> = others.cloned().collect();
        chosen.extend(others.choose_multiple(rng, missing).cloned());
        chosen
    }

    /// One random peer, in another zone as often as an announcement goes there.
    pub(crate) fn any(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Option<InstanceId> {
        let mixed = self.mixed(now, settings, rng);
        mixed.choose(rng).cloned()
    }

    /// The reachable member with the newest revision above `revision`.
    pub(crate) fn newest(view: &View, revision: Revision) -> Option<InstanceId> {
        let members = view.members().iter().filter(|m| m.is_reachable());
        let newer = members.filter(|m| m.config.revision() > revision);
        newer.max_by_key(|m| m.config).map(|m| m.instance.clone())
    }

    /// Fills up the far peers, and replaces the oldest now and then.
    fn refresh_far(&mut self, now: Timestamp, settings: &Settings, rng: &mut StdRng) {
        if now.since(self.far_since) >= settings.far_peer_period && !self.far.is_empty() {
            self.far.remove(0);
            self.far_since = now;
        }
        for _ in 0..settings.far_peers {
            if self.far.len() >= settings.far_peers {
                return;
            }
            let (first, second) = match rng.random_ratio(1, OTHER_REGION_SHARE) {
                true => (&self.other_regions, &self.other_zones),
                false => (&self.other_zones, &self.other_regions),
            };
            let peer = first.choose(rng).or_else(|| second.choose(rng));
            if let Some(peer) = peer.filter(|p| !self.far.contains(p)) {
                self.far.push(peer.clone());
            }
        }
    }
}
