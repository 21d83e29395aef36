//! Decides whether this daemon reads the configuration service.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::{Incarnation, InstanceId, Timestamp};
use rand::{Rng, rngs::StdRng};

use crate::{
    Settings,
    peers::{Peers, reader_rank},
};

/// Missed heartbeats after which a reader is not counted when another daemon
/// decides whether there are too many readers.
const MISSED_HEARTBEATS: u32 = 3;

/// How a daemon gets the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Watches the service for its zone.
    Reader,
    /// Gets the configuration from peers.
    Follower,
    /// Watches the service because it received no heartbeat from a reader of its
    /// zone.
    Substitute,
}

#[derive(Debug)]
struct Reader {
    version: (Incarnation, u64),
    at: Timestamp,
    substitute: bool,
}

/// The role and the state that it is derived from.
#[derive(Debug)]
pub(crate) struct Roles {
    pub(crate) role: Role,
    known_readers: BTreeMap<InstanceId, Reader>,
    last_heartbeat: Timestamp,
    substitute_at: Option<Timestamp>,
    substitute_not_before: Timestamp,
    pub(crate) next_heartbeat: Timestamp,
    pub(crate) sequence: u64,
    forwarded: (Timestamp, usize),
}

impl Roles {
    pub(crate) fn new() -> Self {
        Self {
            role: Role::Follower,
            known_readers: BTreeMap::new(),
            last_heartbeat: Timestamp::ZERO,
            substitute_at: None,
            substitute_not_before: Timestamp::ZERO,
            next_heartbeat: Timestamp::ZERO,
            sequence: 0,
            forwarded: (Timestamp::ZERO, 0),
        }
    }

    /// Forgets all readers and restarts the reader timeout.
    pub(crate) fn reset(&mut self, now: Timestamp) {
        self.known_readers.clear();
        self.last_heartbeat = now;
        self.substitute_at = None;
    }

    /// Records a heartbeat and returns whether it is new.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Timestamp,
        reader: InstanceId,
        version: (Incarnation, u64),
        substitute: bool,
    ) -> bool {
        let known = self.known_readers.get(&reader).map(|r| r.version);
        if known >= Some(version) {
            return false;
        }
        let state = Reader {
            version,
            at: now,
            substitute,
        };
        self.known_readers.insert(reader, state);
        self.last_heartbeat = now;
        true
    }

    /// Whether one more heartbeat may be forwarded in this period. Bounds the
    /// traffic while there are too many readers.
    pub(crate) fn may_forward(&mut self, now: Timestamp, settings: &Settings) -> bool {
        if now.since(self.forwarded.0) >= settings.heartbeat_period {
            self.forwarded = (now, 0);
        }
        self.forwarded.1 += 1;
        self.forwarded.1 <= settings.readers_per_zone * 2
    }

    /// Derives the role from the view and the heartbeats.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        me: &InstanceId,
        peers: &Peers,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Role {
        let timeout = settings.reader_timeout;
        self.known_readers.retain(|_, r| now.since(r.at) < timeout);
        let entitled = peers.ahead < settings.readers_per_zone;
        let recent = settings.heartbeat_period * MISSED_HEARTBEATS;
        let own = (reader_rank(me), me);
        let outranks = |(i, r): &(&InstanceId, &Reader)| {
            (reader_rank(i), *i) > own && now.since(r.at) < recent
        };
        let readers = self
            .known_readers
            .iter()
            .filter(outranks)
            .filter(|(_, r)| !r.substitute);
        let too_many = readers.count() >= settings.readers_per_zone;
        if peers.leaving {
            return Role::Follower;
        }
        if entitled && !too_many {
            self.substitute_at = None;
            return Role::Reader;
        }
        if self.role == Role::Substitute {
            let replaced = self
                .known_readers
                .iter()
                .any(|(i, r)| !r.substitute || outranks(&(i, r)));
            return if replaced {
                Role::Follower
            } else {
                Role::Substitute
            };
        }
        self.decide_substitute(now, peers, settings, rng)
    }

    /// Becomes a substitute once the reader timeout and a random delay have passed.
    fn decide_substitute(
        &mut self,
        now: Timestamp,
        peers: &Peers,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Role {
        if now.since(self.last_heartbeat) < settings.reader_timeout
            || now < self.substitute_not_before
        {
            self.substitute_at = None;
            return Role::Follower;
        }
        let max_delay = settings.substitute_delay.mul_f64(peers.zone_size() as f64);
        let at = *self
            .substitute_at
            .get_or_insert_with(|| now + max_delay.mul_f64(rng.random()));
        if now < at {
            return Role::Follower;
        }
        self.substitute_at = None;
        Role::Substitute
    }

    /// The service refused a call. A substitute becomes a follower, and the daemon
    /// does not become a substitute for the duration of `wait`.
    pub(crate) fn back_off(&mut self, now: Timestamp, wait: Duration) {
        self.substitute_not_before = now + wait;
        if self.role == Role::Substitute {
            self.role = Role::Follower;
            self.last_heartbeat = now;
        }
    }
}
