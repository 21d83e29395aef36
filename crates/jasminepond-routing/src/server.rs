//! State that an entry daemon keeps for each backend server, about 100 bytes.

use std::time::Duration;

use jasminepond_dispatch::{Ewma, Health, Hint, Quantile};
use jasminepond_types::{Timestamp, Version};

use crate::{AttemptOutcome, Estimate, ReplicaSettings};

/// Quantile of the latency that serves as the latency without a queue. The wait
/// according to the hint is added to it; with the mean, the wait would be counted
/// twice.
const BASE_QUANTILE: f32 = 0.25;

/// Factor on the estimated completion time of a server that its owner reports as
/// failing.
const FAILING_FACTOR: u32 = 4;

/// Factor on the wait for a server that is ramping up and has used its allowance:
/// further requests are sent to it only if the other replicas are much slower.
const RAMP_FACTOR: u32 = 4;

/// Highest number of doublings of the penalty and of the exploration interval, a
/// factor of 64.
const MAX_DOUBLINGS: u8 = 6;

/// Number of allowed slots at which a server counts as warm.
const WARM_SLOTS: u32 = 4;

/// Largest size of [`Server`] in bytes. A daemon keeps up to 25,000 of them.
const MAX_BYTES: usize = 104;
const _: () = assert!(size_of::<Server>() <= MAX_BYTES);

#[derive(Debug, Clone)]
pub(crate) struct Server {
    mean: Ewma,
    base_latency: Quantile,
    outstanding: u32,
    /// Requests sent since the last hint and therefore not included in it.
    sent_since_hint: u32,
    hint: Option<Hint>,
    hint_at: Timestamp,
    last_sent_at: Timestamp,
    /// Penalty in microseconds at `penalty_at`, from which it decays.
    penalty: f32,
    penalty_at: Timestamp,
    missing_version: Version,
    missing_version_until: Timestamp,
    draining_since: Timestamp,
    /// Successes since the server was added, became available again or had too many
    /// consecutive failures.
    successes: u16,
    failures: u8,
    draining: bool,
}

impl Server {
    pub(crate) fn new(now: Timestamp, settings: &ReplicaSettings) -> Self {
        Self {
            mean: Ewma::default(),
            base_latency: Quantile::starting_at(settings.initial_latency),
            outstanding: 0,
            sent_since_hint: 0,
            hint: None,
            hint_at: Timestamp::ZERO,
            last_sent_at: now,
            penalty: 0.0,
            penalty_at: now,
            missing_version: Version(0),
            missing_version_until: Timestamp::ZERO,
            draining_since: Timestamp::ZERO,
            successes: 0,
            failures: 0,
            draining: false,
        }
    }

    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.sent_since_hint += 1;
        self.last_sent_at = now;
    }

    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        latency: Duration,
        outcome: AttemptOutcome,
        settings: &ReplicaSettings,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match outcome {
            AttemptOutcome::Done => self.record_success(now, latency, settings),
            AttemptOutcome::Failed => self.record_failure(now, settings),
            AttemptOutcome::Lost => {
                self.mean.add(latency);
                self.record_failure(now, settings);
            }
            AttemptOutcome::Refused => {
                // A refusal is not a failure: the load is known from the owner's hint.
                let decayed = self.penalty(now, settings).as_micros() as f32;
                self.set_penalty(now, decayed.max(self.base_latency.get().as_micros() as f32));
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Cancelled => {
                if self.mean.get().is_some_and(|mean| latency > mean) {
                    self.mean.add(latency);
                }
            }
        }
    }

    fn record_success(&mut self, now: Timestamp, latency: Duration, settings: &ReplicaSettings) {
        if self.mean.get().is_none() {
            self.base_latency = Quantile::starting_at(latency);
        }
        self.mean.add(latency);
        self.base_latency.add(BASE_QUANTILE, latency);
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        let reduced = self.penalty(now, settings) / 4;
        self.set_penalty(now, reduced.as_micros() as f32);
    }

    /// Sets the penalty for a failure, which doubles with each consecutive failure.
    /// It does not depend on the latency, so that a server that fails fast does not
    /// seem to be a fast server.
    fn record_failure(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let penalty = settings.failure_penalty * (1 << doublings);
        let penalty = penalty.min(settings.penalty_limit);
        self.set_penalty(now, penalty.as_micros() as f32);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= settings.ramp_after_failures {
            self.successes = 0;
        }
    }

    fn set_penalty(&mut self, now: Timestamp, micros: f32) {
        self.penalty = micros;
        self.penalty_at = now;
    }

    fn penalty(&self, now: Timestamp, settings: &ReplicaSettings) -> Duration {
        if self.penalty == 0.0 {
            return Duration::ZERO;
        }
        let age = now.since(self.penalty_at).as_secs_f32();
        let half_life = settings.penalty_half_life.as_secs_f32().max(f32::EPSILON);
        let micros = self.penalty * (-age / half_life).exp2();
        Duration::from_micros(micros as u64)
    }

    pub(crate) fn record_hint(&mut self, now: Timestamp, hint: Hint, settings: &ReplicaSettings) {
        self.hint = Some(hint);
        self.hint_at = now;
        self.sent_since_hint = 0;
        if hint.health == Health::Draining {
            self.mark_draining(now);
        } else if self.draining && now.since(self.draining_since) > settings.drain_grace {
            self.mark_available();
        }
    }

    pub(crate) fn mark_draining(&mut self, now: Timestamp) {
        self.draining = true;
        self.draining_since = now;
    }

    pub(crate) fn mark_available(&mut self) {
        self.draining = false;
        self.successes = 0;
    }

    pub(crate) fn is_draining(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.draining && self.draining_since + settings.drain_ttl > now
    }

    pub(crate) fn mark_version_missing(&mut self, version: Version, until: Timestamp) {
        self.missing_version = version;
        self.missing_version_until = until;
    }

    pub(crate) fn is_version_missing(&self, now: Timestamp, version: Version) -> bool {
        self.missing_version_until > now && self.missing_version == version
    }

    pub(crate) fn is_down(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.fresh_hint(now, settings)
            .is_some_and(|hint| hint.health == Health::Down)
    }

    fn fresh_hint(&self, now: Timestamp, settings: &ReplicaSettings) -> Option<&Hint> {
        let fresh = self.hint_at + settings.hint_ttl > now;
        self.hint.as_ref().filter(|_| fresh)
    }

    /// Returns whether the last request is long enough ago that the server may have
    /// recovered. The interval doubles with each consecutive failure.
    pub(crate) fn is_stale(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let interval = settings.explore_after * (1 << doublings);
        self.outstanding == 0 && self.last_sent_at + interval <= now
    }

    /// Returns the number of slots that may be used while the server is ramping up,
    /// or `None` if it is warm.
    fn ramp_allowance(&self, settings: &ReplicaSettings) -> Option<u32> {
        let allowed =
            1 + u32::from(self.successes) / u32::from(settings.ramp_step_successes.max(1));
        (allowed < WARM_SLOTS).then_some(allowed)
    }

    pub(crate) fn estimate(
        &self,
        now: Timestamp,
        priority: u32,
        settings: &ReplicaSettings,
    ) -> Estimate {
        let base_latency = self.base_latency.get();
        let hint = self.fresh_hint(now, settings);
        let service = hint.map_or(base_latency, |h| {
            Duration::from_micros(u64::from(h.service_us))
        });
        let slots = hint.map_or(settings.assumed_slots, |h| h.slots).max(1);
        let ahead = match hint {
            Some(hint) => queued_ahead(hint, priority)
                .saturating_add(hint.running)
                .saturating_add(self.sent_since_hint),
            None => self.outstanding,
        };
        let ahead = ahead.max(self.outstanding);
        let finished = finished_in(now.since(self.hint_at), slots, service);
        let remaining = ahead.saturating_sub(finished).max(self.outstanding);
        let wait_now = queue_wait(remaining, slots, service);
        let mut wait = queue_wait(ahead, slots, service);
        if let Some(allowed) = self.ramp_allowance(settings)
            && self.outstanding >= allowed
        {
            wait = wait.max(service) * RAMP_FACTOR;
        }
        let mut completion = base_latency.max(service) + wait + self.penalty(now, settings);
        if hint.is_some_and(|hint| hint.health == Health::Failing) {
            completion *= FAILING_FACTOR;
        }
        Estimate {
            wait,
            wait_now,
            service,
            completion,
        }
    }
}

/// Returns the number of queued requests that are served before one of the given
/// priority.
fn queued_ahead(hint: &Hint, priority: u32) -> u32 {
    match priority.cmp(&hint.top_priority) {
        std::cmp::Ordering::Greater => 0,
        std::cmp::Ordering::Equal => hint.top_queued,
        std::cmp::Ordering::Less => hint.queued,
    }
}

/// Returns the number of requests that a busy server finishes in `elapsed`.
fn finished_in(elapsed: Duration, slots: u32, service: Duration) -> u32 {
    let rounds = elapsed.as_micros() / service.as_micros().max(1);
    u32::try_from(rounds)
        .unwrap_or(u32::MAX)
        .saturating_mul(slots)
}

fn queue_wait(ahead: u32, slots: u32, service: Duration) -> Duration {
    let turns = ahead.saturating_add(1).saturating_sub(slots);
    service * turns / slots
}
