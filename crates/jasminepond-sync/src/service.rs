//! Pacing the reads of the configuration service.

use std::time::Duration;

use jasminepond_types::{Revision, Timestamp};
use rand::{Rng, rngs::StdRng};

use crate::Settings;

/// Wait after the first torn read, doubled with each further.
const TORN_READ_WAIT: Duration = Duration::from_millis(20);

/// Doublings after which a wait no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Why a call of the configuration service gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceFailure {
    /// It refused because of too many reads (429).
    Refused,
    /// It did not answer, or with an error.
    Unavailable,
    /// It has no file with the wanted digest: the revision changed between
    /// reading the list and the file.
    FileChanged,
    /// Its revision is older than the one in effect here.
    Stale,
}

/// What is asked of the service at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing.
    Idle,
    /// A watch is pending.
    Watching,
    /// A file is being read.
    Fetching,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) phase: Phase,
    /// No call is made before this.
    pub(crate) next_read: Timestamp,
    /// When it last answered.
    pub(crate) answered: Option<Timestamp>,
    pub(crate) failures: u32,
    pub(crate) last_failure: Option<ServiceFailure>,
    torn: u32,
    /// A revision that cannot be used. Only later ones are waited for.
    pub(crate) skip: Revision,
}

impl Service {
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Idle,
            next_read: Timestamp::ZERO,
            answered: None,
            failures: 0,
            last_failure: None,
            torn: 0,
            skip: Revision(0),
        }
    }

    pub(crate) fn may_read(&self, now: Timestamp) -> bool {
        self.phase == Phase::Idle && now >= self.next_read
    }

    /// Keeps the reads of all daemons within the budget. `readers` is the
    /// number of daemons thought to read.
    pub(crate) fn pace(
        &mut self,
        now: Timestamp,
        readers: f64,
        settings: &Settings,
        rng: &mut StdRng,
    ) {
        self.phase = Phase::Idle;
        let mean = readers / settings.read_budget;
        let wait = Duration::from_secs_f64(mean * rng.random_range(0.0..2.0));
        self.next_read = now + wait;
    }

    pub(crate) fn succeeded(&mut self, now: Timestamp) {
        self.answered = Some(now);
        self.failures = 0;
        self.last_failure = None;
    }

    /// Waits longer with each failure and returns for how long.
    pub(crate) fn failed(
        &mut self,
        now: Timestamp,
        failure: ServiceFailure,
        settings: &Settings,
        rng: &mut StdRng,
    ) -> Duration {
        self.last_failure = Some(failure);
        let wait = doubled(settings.backoff_min, self.failures).min(settings.backoff_max);
        self.failures = self.failures.saturating_add(1);
        let wait = wait.mul_f64(rng.random_range(0.5..1.5));
        self.next_read = self.next_read.max(now + wait);
        wait
    }

    /// The list and a file were of different revisions. The list is read
    /// again soon, but not in a loop if the service stays inconsistent.
    pub(crate) fn torn(&mut self, now: Timestamp, settings: &Settings) {
        self.last_failure = Some(ServiceFailure::FileChanged);
        // The service works, so that the wait stays short.
        let wait = doubled(TORN_READ_WAIT, self.torn).min(settings.backoff_min);
        self.torn = self.torn.saturating_add(1);
        self.next_read = self.next_read.max(now + wait);
    }

    pub(crate) fn whole(&mut self) {
        self.torn = 0;
    }
}

fn doubled(wait: Duration, times: u32) -> Duration {
    wait * 2_u32.pow(times.min(MAX_DOUBLINGS))
}
