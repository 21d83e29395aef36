//! State of one shard and of one attempt within a search.

use jasminepond_types::Timestamp;

use super::answer::{Failure, MissingReason, Verdict};

/// Whether a shard has been decided.
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
    /// Replicas that the present round has used.
    pub(super) tried: u64,
    /// Replicas that do not serve the version.
    no_version: u64,
    /// Replicas whose last failure may pass.
    transient: u64,
    /// Replicas that were already tried again because an owner was lost.
    owner_lost: u64,
    /// Versions of the plan that replicas reported to hold, one bit each.
    pub(super) held: u64,
    /// Attempts in flight: the first and at most one hedged request.
    pub(super) in_flight: [Option<u32>; 2],
    /// Attempts made, hedged requests not counted.
    pub(super) attempts: u32,
    pub(super) round: u32,
    /// Pauses made so far.
    pub(super) pauses: u32,
    pub(super) last: MissingReason,
    /// Time at which the shard wants to be looked at again.
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
        pauses: 0,
        last: MissingReason::NoReplica,
        due: None,
    };

    pub(super) fn is_open(&self) -> bool {
        self.status == Status::Open
    }

    /// Whether one of `replicas` replicas is left for this round.
    pub(super) fn has_untried(&self, replicas: usize) -> bool {
        mask(replicas) & !self.tried != 0
    }

    /// Starts another round over the replicas that may serve the version.
    pub(super) fn next_round(&mut self, replicas: usize, rounds: u32) -> bool {
        if self.round >= rounds || mask(replicas) & !self.no_version == 0 {
            return false;
        }
        self.round += 1;
        self.tried = self.no_version;
        true
    }

    pub(super) fn failed(&mut self, replica: u8, failure: Failure) {
        let bit = 1 << replica;
        self.last = failure.reason();
        self.transient &= !bit;
        match failure.verdict() {
            Verdict::NoVersion => self.no_version |= bit,
            Verdict::Transient => self.transient |= bit,
            Verdict::Gone => {}
        }
        // The replica itself may be well: it may be used through its new owner,
        // once, so that two daemons that disclaim a server cause no loop.
        if failure == Failure::OwnerLost && self.owner_lost & bit == 0 {
            self.owner_lost |= bit;
            self.tried &= !bit;
        }
    }

    /// Whether the version is what keeps the shard from being answered: some
    /// replica lacks it and none failed for a reason that may pass. Load alone
    /// never causes a restart, which would multiply the load.
    pub(super) fn lacks_version(&self) -> bool {
        self.no_version != 0 && self.transient == 0
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }

    pub(super) fn add_in_flight(&mut self, part: u32) {
        if let Some(place) = self.in_flight.iter_mut().find(|place| place.is_none()) {
            *place = Some(part);
        }
    }

    pub(super) fn remove_in_flight(&mut self, part: u32) {
        for place in &mut self.in_flight {
            if *place == Some(part) {
                *place = None;
            }
        }
    }

    /// Why an undecided shard is missing when the search finishes.
    pub(super) fn reason_at_finish(&self) -> MissingReason {
        if self.is_in_flight() || self.attempts == 0 {
            return MissingReason::Timeout;
        }
        self.last
    }
}

/// The lowest `len` bits.
pub(super) const fn mask(len: usize) -> u64 {
    if len >= 64 { u64::MAX } else { (1 << len) - 1 }
}

/// One sub-request sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) shard: u32,
    pub(super) replica: u8,
    /// Whether a result is still wanted.
    pub(super) open: bool,
}
