//! Admission control: decides which queries an entry daemon runs. All others are
//! refused immediately.

use std::{collections::HashMap, time::Duration};

use jasminepond_dispatch::Ewma;
use jasminepond_types::{ErrorKind, Millis, TenantId, Timestamp};

use crate::{ConcurrencySettings, Deadline, Estimate, concurrency::Concurrency};

/// Time constant of the decaying count of queries admitted per class.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Settings of [`Admission`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Settings of the adaptive limit on queries in progress.
    pub concurrency: ConcurrencySettings,
    /// Divisor of a class's limit that gives the share reserved for the class, so
    /// that higher classes cannot starve it.
    pub starvation_share: u32,
    /// Longest time without an admitted query of a class before the reserved share of
    /// the class admits one.
    pub starvation_interval: Duration,
    /// Query latency assumed until the first query has finished.
    pub initial_latency: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            concurrency: ConcurrencySettings::default(),
            starvation_share: 8,
            starvation_interval: Duration::from_secs(1),
            initial_latency: Duration::from_millis(50),
        }
    }
}

/// A query for which admission is requested.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Tenant of the query.
    pub tenant: &'a TenantId,
    /// Highest number of queries of the tenant in progress at this daemon.
    pub tenant_limit: u32,
    /// Priority of the class; higher numbers take precedence.
    pub priority: u32,
    /// Deadline of the query.
    pub deadline: Deadline,
    /// Estimate at the slowest required shard for this priority.
    pub slowest: Estimate,
}

/// Measurements of an admitted query that has finished.
#[derive(Debug, Clone, Copy)]
pub struct FinishedQuery {
    /// Time from admission to the response.
    pub latency: Duration,
    /// Estimate at the slowest required shard at the time of admission.
    pub slowest: Estimate,
    /// Whether every required shard responded in time or is missing for a reason
    /// other than time or load.
    pub in_time: bool,
}

/// Whether a query is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it and call [`Admission::record_finished`] when it has finished.
    Admit,
    /// Refuse it without running it.
    Refuse {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// Time after which the same query may be admitted.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Class {
    priority: u32,
    in_progress: u32,
    last_admitted_at: Timestamp,
    /// Number of queries admitted, decaying with [`RATE_TIME_CONSTANT`].
    recently_admitted: f64,
    /// Each class has its own limit, so that long waits in a lower class do not
    /// reduce the limit of a higher one.
    concurrency: Concurrency,
}

/// Admission control of one entry daemon.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_routing::{
///     Admission, AdmissionDecision, AdmissionSettings, Deadline, Estimate, FinishedQuery, Query,
/// };
/// use jasminepond_types::{ErrorKind, Timestamp};
///
/// let mut admission = Admission::new(AdmissionSettings::default());
/// let tenant = "foundry".parse().unwrap();
/// let now = Timestamp::from_millis(1);
/// let query = Query {
///     tenant: &tenant,
///     tenant_limit: 1,
///     priority: 0,
///     deadline: Deadline::at(Timestamp::from_millis(251)),
///     slowest: Estimate::default(),
/// };
/// assert_eq!(admission.admit(now, query), AdmissionDecision::Admit);
/// let AdmissionDecision::Refuse { kind, .. } = admission.admit(now, query) else { panic!() };
/// assert_eq!(kind, ErrorKind::TenantLimit);
/// let finished = FinishedQuery {
///     latency: Duration::from_millis(12),
///     slowest: Estimate::default(),
///     in_time: true,
/// };
/// admission.record_finished(Timestamp::from_millis(13), &tenant, 0, finished);
/// assert_eq!(admission.in_progress(), 0);
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    tenants: HashMap<TenantId, u32>,
    /// Highest priority first.
    classes: Vec<Class>,
    decayed_at: Timestamp,
    latency: Ewma,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(AdmissionSettings::default())
    }
}

impl Admission {
    /// Creates an admission control with no queries in progress.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            tenants: HashMap::new(),
            classes: Vec::new(),
            decayed_at: Timestamp::ZERO,
            latency: Ewma::starting_at(settings.initial_latency),
            settings,
        }
    }

    /// Admits or refuses a query immediately; queries are not queued here.
    ///
    /// A refusal is `deadline_not_run` (the service time alone exceeds the time
    /// left), `tenant_limit` or `overloaded`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jasminepond_routing::{Admission, AdmissionDecision, Deadline, Estimate, Query};
    /// use jasminepond_types::{ErrorKind, Millis, Timestamp};
    ///
    /// let mut admission = Admission::default();
    /// let wait = Duration::from_millis(300);
    /// let query = Query {
    ///     tenant: &"foundry".parse().unwrap(),
    ///     tenant_limit: 10,
    ///     priority: 0,
    ///     deadline: Deadline::at(Timestamp::from_millis(250)),
    ///     slowest: Estimate { wait, ..Default::default() },
    /// };
    /// let kind = ErrorKind::Overloaded;
    /// let retry_after = Millis(50);
    /// let admit = admission.admit(Timestamp::ZERO, query);
    /// assert_eq!(admit, AdmissionDecision::Refuse { kind, retry_after });
    /// ```
    pub fn admit(&mut self, now: Timestamp, query: Query<'_>) -> AdmissionDecision {
        self.decay(now);
        if let Some(refusal) = refuse_if_late(now, &query, query.slowest.wait) {
            return refusal;
        }
        let tenant_in_progress = self.tenants.get(query.tenant).copied().unwrap_or(0);
        if tenant_in_progress >= query.tenant_limit {
            return refuse(ErrorKind::TenantLimit, self.average_latency());
        }
        let index = self.class_index(query.priority);
        let wait = self.effective_wait(index, query.slowest.wait);
        let late = refuse_if_late(now, &query, wait);
        let has_room = late.is_none()
            && self.competing_in_progress(index) < self.classes[index].concurrency.limit();
        if !has_room && !self.has_reserved_room(now, index) {
            self.classes[index].concurrency.record_refused();
            return late.unwrap_or_else(|| refuse(ErrorKind::Overloaded, self.retry_delay(index)));
        }
        *self.tenants.entry(query.tenant.clone()).or_default() += 1;
        let class = &mut self.classes[index];
        class.in_progress += 1;
        class.last_admitted_at = now;
        class.recently_admitted += 1.0;
        let in_progress = self.competing_in_progress(index);
        let left = query.deadline.left(now);
        let wait_share = wait.as_secs_f64() / left.as_secs_f64();
        let concurrency = &mut self.classes[index].concurrency;
        concurrency.record_admitted(wait_share, in_progress);
        AdmissionDecision::Admit
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.decayed_at = now;
        for class in &mut self.classes {
            class.recently_admitted *= factor;
        }
    }

    /// Returns the wait including the time that later arrivals of higher classes
    /// take. The queue ahead is served only in the share of time that they leave,
    /// which is one minus their share of the admitted queries and at least the
    /// starvation share.
    fn effective_wait(&self, index: usize, wait: Duration) -> Duration {
        let higher: f64 = self.classes[..index]
            .iter()
            .map(|class| class.recently_admitted)
            .sum();
        let remaining: f64 = self.classes[index..]
            .iter()
            .map(|class| class.recently_admitted)
            .sum();
        let max_factor = f64::from(self.settings.starvation_share.max(1));
        let factor = if remaining > 0.0 {
            (higher + remaining) / remaining
        } else {
            1.0
        };
        wait.mul_f64(factor.clamp(1.0, max_factor))
    }

    /// Returns whether the reserved share of the class has room. Higher classes
    /// cannot use this share. A share of less than one query admits one query at
    /// intervals: if each of seven daemons always had one in progress, they would
    /// together exceed the capacity that the backend servers leave to a low class.
    fn has_reserved_room(&self, now: Timestamp, index: usize) -> bool {
        let class = &self.classes[index];
        let share =
            class.concurrency.exact_limit() / f64::from(self.settings.starvation_share.max(1));
        if share >= 1.0 {
            return class.in_progress < share as u32;
        }
        let interval = self.average_latency().div_f64(share);
        let interval = interval.min(self.settings.starvation_interval);
        class.in_progress == 0 && class.last_admitted_at + interval <= now
    }

    /// Returns the number of queries in progress of the class and all higher ones.
    /// Lower classes are not counted, so they cannot displace a higher class.
    fn competing_in_progress(&self, index: usize) -> u32 {
        let classes = &self.classes[..=index];
        classes.iter().map(|class| class.in_progress).sum()
    }

    fn average_latency(&self) -> Duration {
        self.latency.get().unwrap_or(self.settings.initial_latency)
    }

    /// Returns the retry-after for a refused query. All queries now in progress
    /// finish within about one average latency, and the refused callers compete for
    /// the room that this frees.
    fn retry_delay(&self, index: usize) -> Duration {
        let excess = self.classes[index].concurrency.excess();
        self.average_latency().mul_f64(1.0 + excess)
    }

    fn class_index(&mut self, priority: u32) -> usize {
        let index = self
            .classes
            .partition_point(|class| class.priority > priority);
        if self
            .classes
            .get(index)
            .is_none_or(|c| c.priority != priority)
        {
            let class = Class {
                priority,
                in_progress: 0,
                last_admitted_at: Timestamp::ZERO,
                recently_admitted: 0.0,
                concurrency: Concurrency::new(&self.settings.concurrency),
            };
            self.classes.insert(index, class);
        }
        index
    }

    /// Records that an admitted query has finished.
    pub fn record_finished(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        priority: u32,
        query: FinishedQuery,
    ) {
        if let Some(in_progress) = self.tenants.get_mut(tenant) {
            *in_progress -= 1;
            if *in_progress == 0 {
                self.tenants.remove(tenant);
            }
        }
        self.latency.add(query.latency);
        let average_latency = self.average_latency();
        let index = self.class_index(priority);
        let class = &mut self.classes[index];
        class.in_progress = class.in_progress.saturating_sub(1);
        // Without a queue, a lower limit would not have helped.
        let late = !query.in_time && query.slowest.is_overloaded();
        let settings = &self.settings.concurrency;
        class
            .concurrency
            .record_finished(now, late, average_latency, settings);
    }

    /// Returns the number of queries in progress.
    pub fn in_progress(&self) -> u32 {
        self.classes.iter().map(|class| class.in_progress).sum()
    }

    /// Returns the current limit on queries in progress of a class and all higher
    /// ones.
    pub fn limit(&self, priority: u32) -> u32 {
        let class = self.classes.iter().find(|c| c.priority == priority);
        let initial = self.settings.concurrency.initial;
        class.map_or(initial, |class| class.concurrency.limit())
    }
}

fn refuse_if_late(now: Timestamp, query: &Query<'_>, wait: Duration) -> Option<AdmissionDecision> {
    let left = query.deadline.left(now);
    let service = query.slowest.service;
    let needed = wait + service;
    if needed <= left && !left.is_zero() {
        return None;
    }
    if service >= left {
        return Some(refuse(ErrorKind::DeadlineNotRun, wait));
    }
    Some(refuse(ErrorKind::Overloaded, needed - left))
}

fn refuse(kind: ErrorKind, wait: Duration) -> AdmissionDecision {
    let retry_after = Millis::from(wait).max(Millis(1));
    AdmissionDecision::Refuse { kind, retry_after }
}
