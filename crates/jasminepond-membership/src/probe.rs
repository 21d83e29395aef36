//! Selection of probe targets and tracking of probes in flight.

use std::{collections::BTreeMap, net::SocketAddr};

use jasminepond_types::{InstanceId, Timestamp};
use rand::{Rng, rngs::StdRng, seq::SliceRandom};

use crate::{Rank, View};

/// Maximum number of unacknowledged probes on behalf of other members.
const MAX_RELAYS: usize = 256;

/// The probe of the current period.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    /// Rank of the target when the probe was sent.
    pub(crate) rank: Rank,
    pub(crate) sequence: u32,
    pub(crate) sent: Timestamp,
    pub(crate) indirect: bool,
}

/// A probe on behalf of another member.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) target: InstanceId,
    pub(crate) origin: SocketAddr,
    pub(crate) sequence: u32,
    sent: Timestamp,
}

#[derive(Debug)]
pub(crate) struct Probes {
    pub(crate) current: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    round: Vec<InstanceId>,
    next_sequence: u32,
}

impl Probes {
    /// Starts at a random sequence number, so that a late ack of an earlier run is
    /// not taken for one of this run.
    pub(crate) fn new(rng: &mut StdRng) -> Self {
        Self {
            current: None,
            relays: BTreeMap::new(),
            round: Vec::new(),
            next_sequence: rng.random(),
        }
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    /// The next member in a random order that visits each member once per round, so
    /// that a failure is detected within a bounded time.
    pub(crate) fn next_target(
        &mut self,
        view: &View,
        me: &InstanceId,
        rng: &mut StdRng,
    ) -> Option<InstanceId> {
        let is_target = |instance: &InstanceId| {
            let member = view.get(instance);
            instance != me && member.is_some_and(|m| m.is_reachable())
        };
        if self.round.is_empty() {
            let members = view.members().iter().map(|m| m.instance.clone());
            self.round = members.filter(is_target).collect();
            self.round.shuffle(rng);
        }
        while let Some(instance) = self.round.pop() {
            if is_target(&instance) {
                return Some(instance);
            }
        }
        None
    }

    /// Tracks a probe on behalf of another member and returns its sequence number.
    pub(crate) fn relay(
        &mut self,
        now: Timestamp,
        target: InstanceId,
        origin: SocketAddr,
        sequence: u32,
    ) -> u32 {
        let relay = Relay {
            target,
            origin,
            sequence,
            sent: now,
        };
        let own = self.next_sequence();
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_first();
        }
        self.relays.insert(own, relay);
        own
    }

    pub(crate) fn take_relay(&mut self, sequence: u32, target: &InstanceId) -> Option<Relay> {
        let relay = self.relays.get(&sequence)?;
        if relay.target != *target {
            return None;
        }
        self.relays.remove(&sequence)
    }

    pub(crate) fn expire_relays(&mut self, now: Timestamp, age: std::time::Duration) {
        self.relays.retain(|_, relay| now.since(relay.sent) < age);
    }

    /// Drops all probes in flight.
    pub(crate) fn reset(&mut self) {
        self.current = None;
        self.relays.clear();
    }
}
