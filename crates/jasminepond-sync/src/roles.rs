//! Whether this daemon reads the configuration service.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::{Incarnation, InstanceId, Timestamp};
use rand::{Rng, rngs::StdRng};

use crate::{
    Settings,
    peers::{Peers, reader_rank},
};

/// Heartbeats that are missed before a reader no longer counts when others
/// decide whether there are too many.
const MISSED_HEARTBEATS: u32 = 3;

/// What a daemon does about the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// It watches the service for its zone.
    Reader,
    /// It gets the configuration from peers.
    Follower,
    /// It watches the service because it heard no reader of its zone.
    Substitute,
}

#[derive(Debug)]
struct Heard {
    version: (Incarnation, u64),
    at: Timestamp,
    substitute: bool,
}

/// The role and what it follows from.
#[derive(Debug)]
pub(crate) struct Roles {
    pub(crate) role: Role,
    heard: BTreeMap<InstanceId, Heard>,
    last_heard: Timestamp,
    substitute_at: Option<Timestamp>,
    not_before: Timestamp,
    pub(crate) next_heartbeat: Timestamp,
    pub(crate) sequence: u64,
    forwarded: (Timestamp, usize),
}

impl Roles {
    pub(crate) fn new() -> Self {
        Self {
            role: Role::Follower,
            heard: BTreeMap::new(),
            last_heard: Timestamp::ZERO,
            substitute_at: None,
            not_before: Timestamp::ZERO,
            next_heartbeat: Timestamp::ZERO,
            sequence: 0,
            forwarded: (Timestamp::ZERO, 0),
        }
    }

    /// Silence counts from here.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.heard.clear();
        self.last_heard = now;
        self.substitute_at = None;
    }

    /// Takes a heartbeat and returns whether it was news.
    pub(crate) fn heard(
        &mut self,
        now: Timestamp,
        reader: InstanceId,
        version: (Incarnation, u64),
        substitute: bool,
    ) -> bool {
        let known = self.heard.get(&reader).map(|h| h.version);
        if known >= Some(version) {
            return false;
        }
        let heard = Heard {
            version,
            at: now,
            substitute,
        };
        self.heard.insert(reader, heard);
        self.last_heard = now;
        true
    }

    /// Whether one more heartbeat may be passed on in this period. Bounds the
    /// cost while there are too many readers.
    pub(crate) fn may_forward(&mut self, now: Timestamp, settings: &Settings) -> bool {
        if now.since(self.forwarded.0) >= settings.heartbeat_period {
            self.forwarded = (now, 0);
        }
        self.forwarded.1 += 1;
        self.forwarded.1 <= settings.readers_per_zone * 2
    }

    /// The role that follows from the view and the heartbeats.
    pub(crate) fn decide(
        &mut self,
        now: Timestamp,
        me: &InstanceId,
        peers: &Peers,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Role {
        let silence = settings.reader_timeout;
        self.heard.retain(|_, h| now.since(h.at) < silence);
        let entitled = peers.ahead < settings.readers_per_zone;
        let recent = settings.heartbeat_period * MISSED_HEARTBEATS;
        let own = (reader_rank(me), me);
        let better =
            |(i, h): &(&InstanceId, &Heard)| (reader_rank(i), *i) > own && now.since(h.at) < recent;
        let readers = self
            .heard
            .iter()
            .filter(better)
            .filter(|(_, h)| !h.substitute);
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
                .heard
                .iter()
                .any(|(i, h)| !h.substitute || better(&(i, h)));
            return if replaced {
                Role::Follower
            } else {
                Role::Substitute
            };
        }
        self.stand_in(now, peers, settings, rng)
    }

    /// Whether it is time to read in place of the readers.
    fn stand_in(
        &mut self,
        now: Timestamp,
        peers: &Peers,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Role {
        if now.since(self.last_heard) < settings.reader_timeout || now < self.not_before {
            self.substitute_at = None;
            return Role::Follower;
        }
        let spread = settings.substitute_delay.mul_f64(peers.zone_size() as f64);
        let at = *self
            .substitute_at
            .get_or_insert_with(|| now + spread.mul_f64(rng.random()));
        if now < at {
            return Role::Follower;
        }
        self.substitute_at = None;
        Role::Substitute
    }

    /// The service refused: a substitute leaves it to others for a while.
    pub(crate) fn step_back(&mut self, now: Timestamp, wait: Duration) {
        self.not_before = now + wait;
        if self.role == Role::Substitute {
            self.role = Role::Follower;
            self.last_heard = now;
        }
    }
}
