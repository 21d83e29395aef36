//! Selects peers by distance.

use std::sync::Arc;

use jasminepond_membership::{LocalMember, Member, MemberState, View};
use jasminepond_types::{InstanceId, Revision, Timestamp};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Settings;

/// Makes this rendezvous order independent of others over the same instances.
const READER_SEED: u64 = 0x5f73_796e_6372_6472;

/// One far peer in this many is chosen from another region if there is one.
const OTHER_REGION_SHARE: u32 = 2;

/// Rank of an instance in the rendezvous order of readers. The highest ranks
/// read.
pub(crate) fn reader_rank(instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), READER_SEED)
}

/// The other reachable daemons, by distance.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    zone: Vec<InstanceId>,
    other_zones: Vec<InstanceId>,
    other_regions: Vec<InstanceId>,
    far: Vec<InstanceId>,
    far_since: Timestamp,
    generation: Option<u64>,
    /// Number of daemons of the zone that rank above this one.
    pub(crate) ahead: usize,
    pub(crate) leaving: bool,
    /// Number of readers in all zones according to the view of this daemon.
    pub(crate) readers: usize,
    /// Highest number of members ever seen. Members behind a partition are
    /// removed from the view after a while, but still read the service.
    pub(crate) max_members: usize,
}

impl Peers {
    /// Updates the lists from a view and returns whether the view has changed.
    pub(crate) fn update(&mut self, me: &LocalMember, settings: &Settings, view: &View) -> bool {
        if self.generation == Some(view.generation()) {
            return false;
        }
        self.generation = Some(view.generation());
        self.max_members = self.max_members.max(view.len());
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

    /// Estimated number of daemons that read the service, assuming that all
    /// partitions are of the size of this one.
    pub(crate) fn estimated_readers(&self) -> f64 {
        let partitions = self.max_members.max(1) as f64 / (self.count() + 1) as f64;
        partitions.max(1.0) * self.readers as f64
    }

    /// Selects random peers of this zone.
    pub(crate) fn near(&self, rng: &mut StdRng, count: usize) -> Vec<InstanceId> {
        self.zone.choose_multiple(rng, count).cloned().collect()
    }

    /// Selects peers for an announcement: most of them in this zone, at least one
    /// in another zone, sometimes in another region.
    pub(crate) fn announcement_peers(
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

    /// Selects one random peer, with the same distribution over the zones as the
    /// peers of an announcement.
    pub(crate) fn random_peer(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Option<InstanceId> {
        let peers = self.announcement_peers(now, settings, rng);
        peers.choose(rng).cloned()
    }

    /// The reachable member with the newest revision above `revision`.
    pub(crate) fn newest(view: &View, revision: Revision) -> Option<InstanceId> {
        let members = view.members().iter().filter(|m| m.is_reachable());
        let newer = members.filter(|m| m.config.revision() > revision);
        newer.max_by_key(|m| m.config).map(|m| m.instance.clone())
    }

    /// Fills up the far peers and replaces the oldest every `far_peer_period`.
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
