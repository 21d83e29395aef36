//! Which queries the entry admits; the rest is refused immediately.

use std::{collections::HashMap, time::Duration};

use jasminepond_dispatch::Ewma;
use jasminepond_types::{ErrorKind, Millis, TenantId, Timestamp};

use crate::{ConcurrencySettings, Deadline, Estimate, concurrency::Concurrency};

/// Time constant of the rates at which classes are admitted.
const RECENT: Duration = Duration::from_secs(1);

/// Settings of [`Admission`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// The self-adjusting limit on queries in progress.
    pub concurrency: ConcurrencySettings,
    /// A class always gets one part in this many of its limit, so that higher
    /// classes cannot starve it.
    pub starvation_share: u32,
    /// Longest time without a query of a class admitted to its own share.
    pub starvation_interval: Duration,
    /// Duration of a query assumed before the first one has finished.
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

/// A query that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The tenant.
    pub tenant: &'a TenantId,
    /// Queries that the tenant may have in progress at this daemon.
    pub tenant_limit: u32,
    /// Priority of the class; a higher number goes first.
    pub priority: u32,
    /// Deadline of the query.
    pub deadline: Deadline,
    /// Estimate at the slowest required shard for this priority.
    pub slowest: Estimate,
}

/// What an admitted query used.
#[derive(Debug, Clone, Copy)]
pub struct FinishedQuery {
    /// Time from admission to the response.
    pub latency: Duration,
    /// Estimate at the slowest required shard, from admission.
    pub slowest: Estimate,
    /// Whether every required shard was answered in time, or was missing for a
    /// reason other than time or load.
    pub in_time: bool,
}

/// Whether a query is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it, then report [`Admission::record_finished`].
    Admit,
    /// Refuse it; it did not run.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// When the same query has a chance of being admitted.
        retry_after: Millis,
    },
}

#[derive(Debug)]
struct Class {
    priority: u32,
    in_progress: u32,
    admitted_at: Timestamp,
    /// Queries admitted, decaying with [`RECENT`].
    recent: f64,
    /// Each class has its own limit: a lower class that waits long must not
    /// lower the limit of a higher one.
    concurrency: Concurrency,
}

/// Admission control of one entry daemon.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_routing::{
///     Admission, AdmissionSettings, AdmissionDecision, Deadline, Estimate, Query, FinishedQuery,
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
/// let used = FinishedQuery {
///     latency: Duration::from_millis(12),
///     slowest: Estimate::default(),
///     in_time: true,
/// };
/// admission.record_finished(Timestamp::from_millis(13), &tenant, 0, used);
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
    /// Admission with nothing in progress.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            tenants: HashMap::new(),
            classes: Vec::new(),
            decayed_at: Timestamp::ZERO,
            latency: Ewma::starting_at(settings.initial_latency),
            settings,
        }
    }

    /// Decides about a query at once; nothing waits here.
    ///
    /// Refusals are `deadline_not_run` (the query needs longer than its time
    /// even without a queue), `tenant_limit`, or `overloaded`.
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
        if let Some(refusal) = refuse_by_time(now, &query, query.slowest.wait) {
            return refusal;
        }
        let tenant = self.tenants.get(query.tenant).copied().unwrap_or(0);
        if tenant >= query.tenant_limit {
            return refuse(ErrorKind::TenantLimit, self.usual_latency());
        }
        let at = self.class(query.priority);
        let wait = self.effective_wait(at, query.slowest.wait);
        let late = refuse_by_time(now, &query, wait);
        let has_room = late.is_none() && self.competing(at) < self.classes[at].concurrency.limit();
        if !has_room && !self.has_share(now, at) {
            self.classes[at].concurrency.refused();
            return late.unwrap_or_else(|| refuse(ErrorKind::Overloaded, self.time_to_room(at)));
        }
        *self.tenants.entry(query.tenant.clone()).or_default() += 1;
        let class = &mut self.classes[at];
        class.in_progress += 1;
        class.admitted_at = now;
        class.recent += 1.0;
        let in_progress = self.competing(at);
        let left = query.deadline.left(now);
        let wait_share = wait.as_secs_f64() / left.as_secs_f64();
        let concurrency = &mut self.classes[at].concurrency;
        concurrency.admitted(wait_share, in_progress);
        AdmissionDecision::Admit
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        let rest = (-elapsed / RECENT.as_secs_f64()).exp();
        self.decayed_at = now;
        for class in &mut self.classes {
            class.recent *= rest;
        }
    }

    /// The wait with higher classes overtaking. Work in front is served only in
    /// the time that their later arrivals leave, which is the rest of their
    /// share of the queries and never less than the starvation share.
    fn effective_wait(&self, at: usize, wait: Duration) -> Duration {
        let higher: f64 = self.classes[..at].iter().map(|class| class.recent).sum();
        let rest: f64 = self.classes[at..].iter().map(|class| class.recent).sum();
        let most = f64::from(self.settings.starvation_share.max(1));
        let factor = if rest > 0.0 {
            (higher + rest) / rest
        } else {
            1.0
        };
        wait.mul_f64(factor.clamp(1.0, most))
    }

    /// Whether the class may use its own share, which is free even when higher
    /// classes fill the limit. A share below one query is used part of the time:
    /// with one query per daemon always in progress, seven daemons together
    /// exceed what the backend servers leave to a low class.
    fn has_share(&self, now: Timestamp, at: usize) -> bool {
        let class = &self.classes[at];
        let share = class.concurrency.exact() / f64::from(self.settings.starvation_share.max(1));
        if share >= 1.0 {
            return class.in_progress < share as u32;
        }
        let interval = self.usual_latency().div_f64(share);
        let interval = interval.min(self.settings.starvation_interval);
        class.in_progress == 0 && class.admitted_at + interval <= now
    }

    /// Queries in progress of the class and all higher ones. Lower classes do not
    /// count, so they never keep a class out.
    fn competing(&self, at: usize) -> u32 {
        let classes = &self.classes[..=at];
        classes.iter().map(|class| class.in_progress).sum()
    }

    fn usual_latency(&self) -> Duration {
        self.latency.get().unwrap_or(self.settings.initial_latency)
    }

    /// One query's duration frees the room of all in progress; the callers
    /// refused in the meantime compete for it.
    fn time_to_room(&self, at: usize) -> Duration {
        let excess = self.classes[at].concurrency.excess();
        self.usual_latency().mul_f64(1.0 + excess)
    }

    fn class(&mut self, priority: u32) -> usize {
        let at = self
            .classes
            .partition_point(|class| class.priority > priority);
        if self.classes.get(at).is_none_or(|c| c.priority != priority) {
            let class = Class {
                priority,
                in_progress: 0,
                admitted_at: Timestamp::ZERO,
                recent: 0.0,
                concurrency: Concurrency::new(&self.settings.concurrency),
            };
            self.classes.insert(at, class);
        }
        at
    }

    /// An admitted query has ended.
    pub fn record_finished(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        priority: u32,
        used: FinishedQuery,
    ) {
        if let Some(in_progress) = self.tenants.get_mut(tenant) {
            *in_progress -= 1;
            if *in_progress == 0 {
                self.tenants.remove(tenant);
            }
        }
        self.latency.add(used.latency);
        let usual = self.usual_latency();
        let at = self.class(priority);
        let class = &mut self.classes[at];
        class.in_progress = class.in_progress.saturating_sub(1);
        // Without a queue, admitting less would not have helped.
        let late = !used.in_time && used.slowest.is_overloaded();
        let settings = &self.settings.concurrency;
        class.concurrency.finished(now, late, usual, settings);
    }

    /// Queries in progress.
    pub fn in_progress(&self) -> u32 {
        self.classes.iter().map(|class| class.in_progress).sum()
    }

    /// The present limit on queries in progress of a class and all higher ones.
    pub fn limit(&self, priority: u32) -> u32 {
        let class = self.classes.iter().find(|c| c.priority == priority);
        let initial = self.settings.concurrency.initial;
        class.map_or(initial, |class| class.concurrency.limit())
    }
}

fn refuse_by_time(now: Timestamp, query: &Query<'_>, wait: Duration) -> Option<AdmissionDecision> {
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
