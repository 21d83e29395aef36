//! State of the shards and attempts of a search.

use jasminepond_types::Timestamp;

use super::answer::{Failure, FailureKind, MissingReason};

/// Whether a shard has an answer, has been given up, or is still open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    Open,
    Answered,
    Missing(MissingReason),
}

/// One shard of the current version. The masks have one bit per replica.
#[derive(Debug, Clone)]
pub(super) struct Shard {
    pub(super) status: Status,
    /// Replicas already tried in the current round.
    pub(super) tried: u64,
    /// Replicas that do not serve the version.
    no_version: u64,
    /// Replicas whose last failure was transient.
    transient: u64,
    /// Replicas made available again after the loss of their owner.
    owner_lost: u64,
    /// Versions of the plan that replicas reported to hold, one bit each.
    pub(super) held: u64,
    /// Attempts in flight: one attempt and at most one hedged request.
    pub(super) in_flight: [Option<u32>; 2],
    /// Attempts made, not counting hedged requests.
    pub(super) attempts: u32,
    pub(super) round: u32,
    /// Number of backoffs so far.
    pub(super) backoffs: u32,
    pub(super) last_reason: MissingReason,
    /// When the timer of the shard fires, if it is set.
    pub(super) due: Option<Timestamp>,
}

impl Shard {
    pub(super) const NEW: Self = Self {
        status: Status::Open,
        tried: 0,
        no_version: 0,
        transient: 0,
        owner_lost: 0,
        held: 0,
        in_flight: [None, None],
        attempts: 0,
        round: 1,
        backoffs: 0,
        last_reason: MissingReason::NoReplica,
        due: None,
    };

    pub(super) fn is_open(&self) -> bool {
        self.status == Status::Open
    }

    /// Whether one of `replicas` replicas has not been tried in this round.
    pub(super) fn has_untried(&self, replicas: usize) -> bool {
        mask(replicas) & !self.tried != 0
    }

    /// Starts another round over the replicas that may serve the version. Returns
    /// `false` if there is none or all rounds are used up.
    pub(super) fn next_round(&mut self, replicas: usize, rounds: u32) -> bool {
        if self.round >= rounds || mask(replicas) & !self.no_version == 0 {
            return false;
        }
        self.round += 1;
        self.tried = self.no_version;
        true
    }

    pub(super) fn record_failure(&mut self, replica: u8, failure: Failure) {
        let bit = 1 << replica;
        self.last_reason = failure.reason();
        self.transient &= !bit;
        match failure.kind() {
            FailureKind::NoVersion => self.no_version |= bit,
            FailureKind::Transient => self.transient |= bit,
            FailureKind::Unavailable => {}
        }
        // The replica itself may be healthy, so it may be tried again through its
        // new owner. This happens only once: two daemons that both deny owning the
        // server would otherwise cause an endless loop.
        if failure == Failure::OwnerLost && self.owner_lost & bit == 0 {
            self.owner_lost |= bit;
            self.tried &= !bit;
        }
    }

    /// Whether the shard has no answer because of the version: some replica does
    /// not serve it and no replica's last failure was transient. Load alone never
    /// causes a restart, which would multiply the load.
    pub(super) fn lacks_version(&self) -> bool {
        self.no_version != 0 && self.transient == 0
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }

    pub(super) fn add_in_flight(&mut self, part: u32) {
        if let Some(slot) = self.in_flight.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some(part);
        }
    }

    pub(super) fn remove_in_flight(&mut self, part: u32) {
        for slot in &mut self.in_flight {
            if *slot == Some(part) {
                *slot = None;
            }
        }
    }

    /// Why an open shard is missing when the search finishes.
    pub(super) fn reason_at_finish(&self) -> MissingReason {
        if self.is_in_flight() || self.attempts == 0 {
            return MissingReason::Timeout;
        }
        self.last_reason
    }
}

/// The lowest `len` bits.
pub(super) const fn mask(len: usize) -> u64 {
    if len >= 64 { u64::MAX } else { (1 << len) - 1 }
}

/// A sub-request that was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) shard: u32,
    pub(super) replica: u8,
    /// Whether the result is still awaited.
    pub(super) open: bool,
}
