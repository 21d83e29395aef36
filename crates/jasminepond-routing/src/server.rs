//! What an entry daemon knows about one backend server, in about 100 bytes.

use std::time::Duration;

use jasminepond_dispatch::{Ewma, Health, Hint, Quantile};
use jasminepond_types::{Timestamp, Version};

use crate::{Estimate, ReplicaSettings, Reply};

/// Quantile of latency that stands for the latency without a queue. The wait is
/// added to it from the hint; a mean would count the wait twice.
const BASE_QUANTILE: f32 = 0.25;

/// Factor on the estimate of a server whose owner reports it as failing.
const FAILING_FACTOR: u32 = 4;

/// Factor on the wait for a server that is ramping up: requests beyond its
/// allowance are worth sending only when the other replicas are far behind.
const RAMP_FACTOR: u32 = 4;

/// Largest exponent of the penalty and of the exploration interval: 64 times.
const MAX_DOUBLINGS: u8 = 6;

/// Most slots that a ramp passes before the server counts as warm.
const RAMP_SLOTS: u32 = 4;

/// Memory for one server in bytes. A daemon knows 25,000 of them.
const MAX_BYTES: usize = 104;
const _: () = assert!(size_of::<Server>() <= MAX_BYTES);

#[derive(Debug, Clone)]
pub(crate) struct Server {
    mean: Ewma,
    base: Quantile,
    outstanding: u32,
    /// Requests sent since the last hint, which it does not count.
    sent_since_hint: u32,
    hint: Option<Hint>,
    hint_at: Timestamp,
    tried_at: Timestamp,
    /// Microseconds at `penalty_at`; decays from there.
    penalty: f32,
    penalty_at: Timestamp,
    lacks: Version,
    lacks_until: Timestamp,
    draining_since: Timestamp,
    /// Successes since the server was new or returned, up to the warm count.
    successes: u16,
    failures: u8,
    draining: bool,
}

impl Server {
    pub(crate) fn new(now: Timestamp, settings: &ReplicaSettings) -> Self {
        Self {
            mean: Ewma::default(),
            base: Quantile::starting_at(settings.initial_latency),
            outstanding: 0,
            sent_since_hint: 0,
            hint: None,
            hint_at: Timestamp::ZERO,
            tried_at: now,
            penalty: 0.0,
            penalty_at: now,
            lacks: Version(0),
            lacks_until: Timestamp::ZERO,
            draining_since: Timestamp::ZERO,
            successes: 0,
            failures: 0,
            draining: false,
        }
    }

    pub(crate) fn sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.sent_since_hint += 1;
        self.tried_at = now;
    }

    pub(crate) fn ended(
        &mut self,
        now: Timestamp,
        latency: Duration,
        reply: Reply,
        settings: &ReplicaSettings,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match reply {
            Reply::Done => self.done(now, latency, settings),
            Reply::Failed => self.punish(now, settings),
            Reply::Lost => {
                self.mean.add(latency);
                self.punish(now, settings);
            }
            Reply::Refused => {
                // The owner's hint tells the load; a refusal is no failure.
                let decayed = self.penalty(now, settings).as_micros() as f32;
                self.set_penalty(now, decayed.max(self.base.get().as_micros() as f32));
            }
            Reply::NotRun => {}
            Reply::Cancelled => {
                if self.mean.get().is_some_and(|mean| latency > mean) {
                    self.mean.add(latency);
                }
            }
        }
    }

    fn done(&mut self, now: Timestamp, latency: Duration, settings: &ReplicaSettings) {
        if self.mean.get().is_none() {
            self.base = Quantile::starting_at(latency);
        }
        self.mean.add(latency);
        self.base.add(BASE_QUANTILE, latency);
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        let rest = self.penalty(now, settings) / 4;
        self.set_penalty(now, rest.as_micros() as f32);
    }

    /// Penalises a failure, twice as much as the one before in a row. A failure
    /// counts whatever its latency, so a server that fails fast does not look
    /// like a fast one.
    fn punish(&mut self, now: Timestamp, settings: &ReplicaSettings) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let penalty = settings.failure_penalty * (1 << doublings);
        let penalty = penalty.min(settings.penalty_limit);
        self.set_penalty(now, penalty.as_micros() as f32);
        self.failures = self.failures.saturating_add(1);
        if self.failures >= settings.cold_after {
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

    pub(crate) fn hinted(&mut self, now: Timestamp, hint: Hint, settings: &ReplicaSettings) {
        self.hint = Some(hint);
        self.hint_at = now;
        self.sent_since_hint = 0;
        if hint.health == Health::Draining {
            self.leaving(now);
        } else if self.draining && now.since(self.draining_since) > settings.drain_settle {
            self.returned();
        }
    }

    pub(crate) fn leaving(&mut self, now: Timestamp) {
        self.draining = true;
        self.draining_since = now;
    }

    pub(crate) fn returned(&mut self) {
        self.draining = false;
        self.successes = 0;
    }

    pub(crate) fn is_draining(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.draining && self.draining_since + settings.drain_memory > now
    }

    pub(crate) fn lacks_version(&mut self, version: Version, until: Timestamp) {
        self.lacks = version;
        self.lacks_until = until;
    }

    pub(crate) fn lacks(&self, now: Timestamp, version: Version) -> bool {
        self.lacks_until > now && self.lacks == version
    }

    pub(crate) fn is_down(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        self.fresh_hint(now, settings)
            .is_some_and(|hint| hint.health == Health::Down)
    }

    fn fresh_hint(&self, now: Timestamp, settings: &ReplicaSettings) -> Option<&Hint> {
        let fresh = self.hint_at + settings.hint_life > now;
        self.hint.as_ref().filter(|_| fresh)
    }

    /// Whether the server was not tried for long enough that it may have
    /// recovered. The interval doubles with each failure in a row.
    pub(crate) fn is_stale(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let interval = settings.explore_after * (1 << doublings);
        self.outstanding == 0 && self.tried_at + interval <= now
    }

    /// Slots that the entry uses of a server that is ramping up; `None` when it
    /// is warm.
    fn ramp(&self, settings: &ReplicaSettings) -> Option<u32> {
        let allowed = 1 + u32::from(self.successes) / u32::from(settings.ramp_run.max(1));
        (allowed < RAMP_SLOTS).then_some(allowed)
    }

    pub(crate) fn estimate(
        &self,
        now: Timestamp,
        priority: u32,
        settings: &ReplicaSettings,
    ) -> Estimate {
        let base = self.base.get();
        let hint = self.fresh_hint(now, settings);
        let service = hint.map_or(base, |h| Duration::from_micros(u64::from(h.service_us)));
        let slots = hint.map_or(settings.assumed_slots, |h| h.slots).max(1);
        let in_front = match hint {
            Some(hint) => queued_before(hint, priority)
                .saturating_add(hint.running)
                .saturating_add(self.sent_since_hint),
            None => self.outstanding,
        };
        let in_front = in_front.max(self.outstanding);
        let finished = finished_in(now.since(self.hint_at), slots, service);
        let left = in_front.saturating_sub(finished).max(self.outstanding);
        let wait_now = queue_time(left, slots, service);
        let mut wait = queue_time(in_front, slots, service);
        if let Some(allowed) = self.ramp(settings)
            && self.outstanding >= allowed
        {
            wait = wait.max(service) * RAMP_FACTOR;
        }
        let mut completion = base.max(service) + wait + self.penalty(now, settings);
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

/// Requests that go before one of the given priority.
fn queued_before(hint: &Hint, priority: u32) -> u32 {
    match priority.cmp(&hint.top_priority) {
        std::cmp::Ordering::Greater => 0,
        std::cmp::Ordering::Equal => hint.top_queued,
        std::cmp::Ordering::Less => hint.queued,
    }
}

/// Requests that a busy server finishes in `age`.
fn finished_in(age: Duration, slots: u32, service: Duration) -> u32 {
    let rounds = age.as_micros() / service.as_micros().max(1);
    u32::try_from(rounds)
        .unwrap_or(u32::MAX)
        .saturating_mul(slots)
}

fn queue_time(in_front: u32, slots: u32, service: Duration) -> Duration {
    let turns = in_front.saturating_add(1).saturating_sub(slots);
    service * turns / slots
}
