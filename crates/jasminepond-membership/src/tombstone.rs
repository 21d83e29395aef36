//! Tombstones of removed members, used to reject stale gossip about them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use jasminepond_types::{InstanceId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, Rank};

/// The last rank of each removed member, keyed by the hash of its instance. A
/// hash collision is improbable and only delays a member's return until it
/// refutes.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    ranks: BTreeMap<u64, Rank>,
    order: VecDeque<(Timestamp, u64)>,
}

impl Tombstones {
    pub(crate) fn insert(&mut self, now: Timestamp, member: &Member, limit: usize) {
        let key = key(&member.instance);
        let rank = self.ranks.entry(key).or_insert(member.rank());
        *rank = member.rank().max(*rank);
        self.order.push_back((now, key));
        while self.order.len() > limit {
            self.evict_oldest();
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp, age: Duration) {
        while self
            .order
            .front()
            .is_some_and(|&(at, _)| now.since(at) >= age)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, key)) = self.order.pop_front() else {
            return;
        };
        if !self.order.iter().any(|&(_, other)| other == key) {
            self.ranks.remove(&key);
        }
    }

    /// The last rank of a removed member.
    pub(crate) fn rank(&self, instance: &InstanceId) -> Option<Rank> {
        self.ranks.get(&key(instance)).copied()
    }
}

fn key(instance: &InstanceId) -> u64 {
    xxh3_64(instance.as_str().as_bytes())
}
