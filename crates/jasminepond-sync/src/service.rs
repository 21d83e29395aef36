//! Paces the reads of the configuration service.

use std::time::Duration;

use jasminepond_types::{Revision, Timestamp};
use rand::{Rng, rngs::StdRng};

use crate::Settings;

/// Delay after the first torn read, doubled with each further one.
const TORN_READ_WAIT: Duration = Duration::from_millis(20);

/// Doublings after which a delay no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// Why a call to the configuration service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServiceFailure {
    /// The service refused the call because of too many reads (429).
    Refused,
    /// The service did not respond, or responded with an error.
    Unavailable,
    /// The service has no file with the requested digest: the revision changed
    /// between the reads of the list and of the file.
    FileChanged,
    /// The service returned a revision older than the one in effect.
    Stale,
}

/// The call to the service that is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// None.
    Idle,
    /// A watch is pending.
    Watching,
    /// A file is being read.
    Fetching,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) phase: Phase,
    /// Earliest time of the next call.
    pub(crate) next_read: Timestamp,
    /// Time of the last successful call.
    pub(crate) last_success: Option<Timestamp>,
    pub(crate) failures: u32,
    pub(crate) last_failure: Option<ServiceFailure>,
    torn_reads: u32,
    /// The highest revision that was rejected. Watches wait for a later one.
    pub(crate) skip: Revision,
}

impl Service {
    pub(crate) fn new() -> Self {
        Self {
            phase: Phase::Idle,
            next_read: Timestamp::ZERO,
            last_success: None,
            failures: 0,
            last_failure: None,
            torn_reads: 0,
            skip: Revision(0),
        }
    }

    pub(crate) fn may_read(&self, now: Timestamp) -> bool {
        self.phase == Phase::Idle && now >= self.next_read
    }

    /// Schedules the next call so that the reads of all daemons together stay
    /// within the budget. `readers` is the estimated number of readers.
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
        self.last_success = Some(now);
        self.failures = 0;
        self.last_failure = None;
    }

    /// Schedules the next call with exponential backoff and returns the delay.
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

    /// The list and a file belonged to different revisions. The list is read
    /// again soon; the delay doubles so that a service that stays inconsistent is
    /// not read in a tight loop.
    pub(crate) fn torn_read(&mut self, now: Timestamp, settings: &Settings) {
        self.last_failure = Some(ServiceFailure::FileChanged);
        // The service responds, so the delay is capped at the minimum backoff.
        let wait = doubled(TORN_READ_WAIT, self.torn_reads).min(settings.backoff_min);
        self.torn_reads = self.torn_reads.saturating_add(1);
        self.next_read = self.next_read.max(now + wait);
    }

    pub(crate) fn reset_torn_reads(&mut self) {
        self.torn_reads = 0;
    }
}

fn doubled(wait: Duration, times: u32) -> Duration {
    wait * 2_u32.pow(times.min(MAX_DOUBLINGS))
}
