//! Admission of searches by the load of their shards.

use std::{rc::Rc, time::Duration};

use jasminepond_quarantine::Fingerprint;
use jasminepond_types::{Millis, Timestamp};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Forwarder;
use crate::{
    CallerId,
    admission::{
        CallerRates, LoadReport, MEASURE_INTERVAL, Plan, ReportedWait, ShardWait, plan, share,
    },
    message::Action,
    request::{ActiveRoute, Part, PartState},
    service::{Service, ServiceKey},
    timers::Timer,
};

/// Reason of a part that is left out because its shard cannot process all of the load.
const OVERLOADED_SHARD: &str = "overloaded";

/// Time for which equal requests have the same draw, so that a caller that repeats at once
/// gains nothing by it.
const DRAW_PERIOD: Duration = Duration::from_millis(250);

/// Time after which a caller that comes back is taken to have waited for it.
const WAITED: Duration = Duration::from_millis(80);

/// Factor on the draw of callers that have waited, so that they are admitted first.
const WAITED_FACTOR: f64 = 0.5;

/// Shortest `Retry-After` of a refused search.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(120);

/// Longest additional `Retry-After`, if nearly all searches are refused. Callers return
/// spread over this time.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(400);

/// Shortest wait that is reported to other daemons, as a share of the objective.
const SHORT_REPORTED: f64 = 0.05;

/// Interval between log lines while parts wait for shards.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of what admission control has done since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AdmissionCounts {
    /// Searches that were refused.
    pub refused: u64,
    /// Shards that admitted searches left out.
    pub left_out: u64,
}

/// State of the admission of searches.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// Whether the timer for the next measurement is set.
    timer_set: bool,
    /// Searches that callers have sent lately.
    callers: CallerRates,
    pub(super) counts: AdmissionCounts,
    /// Counts in the last log line.
    logged: AdmissionCounts,
    logged_at: Timestamp,
}

/// Decision about a search of a caller.
pub(super) enum Admitted {
    /// Send it, but leave these shards out, by their index.
    Without(Vec<usize>),
    /// Refuse it and let the caller come back after this time.
    Refused(Millis),
}

impl Forwarder {
    /// Decides whether a search of a caller is sent. `spent` is the time that the caller has
    /// spent on earlier attempts.
    pub(super) fn admit_search(
        &mut self,
        now: Timestamp,
        route: &ActiveRoute,
        caller: CallerId,
        fingerprint: Fingerprint,
        spent: Duration,
    ) -> Admitted {
        self.admission.callers.record(now, caller);
        let limit = time_limit(route).as_secs_f64();
        let shards = route.shards().iter();
        let wait = |shard: &ServiceKey| self.wait(now, *shard, route, route.route.priority);
        let shares: Vec<_> = shards.map(|shard| share(wait(shard) / limit)).collect();
        if shares.iter().any(|share| *share < 1.0) {
            self.arm_admission(now);
        }
        let missing = route.shards().len().saturating_sub(route.min_shards());
        let period = now.as_micros() / DRAW_PERIOD.as_micros() as u64;
        let seed = xxh3_64_with_seed(fingerprint.to_string().as_bytes(), period);
        let waited = if spent >= WAITED { WAITED_FACTOR } else { 1.0 };
        let skip = |at: usize| unit(xxh3_64_with_seed(&at.to_le_bytes(), seed ^ now.as_micros()));
        let chance = |admitted| self.admission.callers.share_of(caller, admitted);
        match plan(&shares, missing, chance, unit(seed) * waited, skip) {
            Plan::Without(left_out) => {
                self.admission.counts.left_out += left_out.len() as u64;
                Admitted::Without(left_out)
            }
            Plan::Refuse(admitted) => {
                self.admission.counts.refused += 1;
                let spread = RETRY_AFTER_SPREAD.mul_f64((1.0 - admitted) * unit(!seed));
                Admitted::Refused(Millis::from(RETRY_AFTER_MIN + spread))
            }
        }
    }

    /// The parts of shards that a search leaves out.
    pub(super) fn left_out_parts(&self, route: &ActiveRoute, left_out: &[usize]) -> Vec<Part> {
        let part = |index: &usize| {
            let mut part = Part::new(route.shards()[*index]);
            part.state = PartState::Missing(OVERLOADED_SHARD);
            part
        };
        left_out.iter().map(part).collect()
    }

    /// Seconds for which one more part of this priority waits for a shard: the longer one of
    /// what this daemon estimates and what it was told.
    fn wait(&self, now: Timestamp, shard: ServiceKey, route: &ActiveRoute, priority: u32) -> f64 {
        let reported = self.services[shard].reported;
        let most_urgent = priority <= self.most_urgent();
        let reported = reported.map_or(0.0, |reported| reported.at(now, most_urgent));
        self.own_wait(now, shard, route, priority).max(reported)
    }

    /// Seconds for which one more part waits behind those that this daemon has queued, and
    /// behind its calls in progress. The latter do not count while less urgent parts are
    /// queued: those are refused first.
    fn own_wait(
        &self,
        now: Timestamp,
        shard: ServiceKey,
        route: &ActiveRoute,
        priority: u32,
    ) -> f64 {
        let service = &self.services[shard];
        let servers = service.servers.iter().map(|key| &self.servers[*key]);
        let (calls, slots) = servers.fold((0, 0), |(calls, slots), server| {
            (calls + server.calls.len(), slots + server.backend.slots)
        });
        let latency = route.stats.latency.borrow().low().as_secs_f64();
        if latency == 0.0 {
            return 0.0;
        }
        let throughput = service.load.throughput(now, f64::from(slots) / latency);
        let ahead = service.queued_ahead(priority);
        let in_progress = match service.queued_ahead(u32::MAX) > ahead {
            true => 0.0,
            false => (calls as f64 / throughput - latency).max(0.0),
        };
        ahead as f64 / throughput + in_progress
    }

    /// Priority of the most urgent searches.
    fn most_urgent(&self) -> u32 {
        let searches = self.active.iter().filter(|route| route.is_search());
        let priorities = searches.map(|route| route.route.priority);
        priorities.min().unwrap_or_default()
    }

    /// Whether parts of a route wait here for a shard so long that it does not take all.
    pub(super) fn is_overloaded(
        &self,
        now: Timestamp,
        shard: ServiceKey,
        route: &ActiveRoute,
    ) -> bool {
        let wait = self.own_wait(now, shard, route, route.route.priority);
        route.is_search() && share(wait / time_limit(route).as_secs_f64()) < 1.0
    }

    /// Number of shards for which parts wait here.
    pub(super) fn overloaded_shards(&self) -> usize {
        let waiting =
            |service: &&Service| service.shard_index.is_some() && !service.queue.is_empty();
        self.services.values().filter(waiting).count()
    }

    /// What this daemon reports about the shards of a route to one that has delegated a part of
    /// a search to it.
    pub fn load_report(&self, now: Timestamp, route: &ActiveRoute) -> LoadReport {
        let shortest = route.objective().as_secs_f64() * SHORT_REPORTED;
        let shards = route.shards().iter().enumerate();
        let wait = |shard: &ServiceKey, priority| self.own_wait(now, *shard, route, priority);
        let millis = |seconds: f64| Millis((seconds * 1_000.0) as u64);
        let most_urgent = self.most_urgent();
        let long = shards.filter_map(|(index, shard)| {
            let least_urgent = wait(shard, u32::MAX);
            let wait = ShardWait {
                least_urgent: millis(least_urgent),
                most_urgent: millis(wait(shard, most_urgent)),
            };
            (least_urgent > shortest).then_some((index, wait))
        });
        LoadReport::new(long)
    }

    /// Records what another daemon reports about the shards of which it had a part.
    pub(super) fn on_load_report(
        &mut self,
        now: Timestamp,
        route: &Rc<ActiveRoute>,
        asked: &[usize],
        report: &LoadReport,
    ) {
        let shards = route.shards();
        let none = asked.iter().map(|index| (*index, ShardWait::default()));
        for (index, wait) in none.chain(report.waits().iter().copied()) {
            if let Some(shard) = shards.get(index) {
                self.services[*shard].reported = Some(ReportedWait { wait, at: now });
            }
        }
    }

    pub(super) fn arm_admission(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.admission.timer_set, true) {
            self.timers.set(now + MEASURE_INTERVAL, Timer::Admission);
        }
    }

    /// Ends an interval of the measurement of all shards.
    pub(super) fn measure_shards(&mut self, now: Timestamp) {
        self.admission.timer_set = false;
        let mut again = false;
        for service in self.services.values_mut() {
            let busy = !service.queue.is_empty();
            service.load.measure(now, busy);
            again |= busy;
        }
        self.log_shard_load(now);
        if again {
            self.arm_admission(now);
        }
    }

    /// Logs the load of the shards once a second while searches are refused or leave shards
    /// out because of it.
    fn log_shard_load(&mut self, now: Timestamp) {
        let counts = self.admission.counts;
        if counts == self.admission.logged || now.since(self.admission.logged_at) < LOG_INTERVAL {
            return;
        }
        (self.admission.logged, self.admission.logged_at) = (counts, now);
        self.actions.push_back(Action::LogShardLoad {
            overloaded: self.overloaded_shards(),
            counts,
        });
    }
}

/// Time within which the answers to a route are expected. If its calls alone take longer than
/// the objective, searches are served late and not refused.
fn time_limit(route: &ActiveRoute) -> Duration {
    // Zero before the first answer.
    let low = route.stats.latency.borrow().low();
    match !low.is_zero() && low < route.objective() {
        true => route.objective(),
        false => route.route.timeout.duration(),
    }
}

/// Maps a hash to 0..1.
fn unit(hash: u64) -> f64 {
    (xxh3_64(&hash.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}
