//! Keeps the limits of all processes.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminepond_types::Timestamp;

use crate::{
    Ask, Daemon, Grant, Message, Notice, ProcessId, RateLimit, Statement, WARM_LEASE,
    allocator::Allocator,
    belief::Belief,
    coordinators::{BACKUP_SHARE, Coordinator, Coordinators, Daemons, FAN_OUT},
    message::MAX_PERMITS,
    permits::{self, Pending, Permits},
    warm_up::{self, Guard, Warmth},
};

/// Time after which the coordinator is asked again instead of the backup.
const BACKUP_TIME: Duration = Duration::from_millis(500);

/// Longest delay of permits that are requested ahead of demand.
const STOCK_WAIT: Duration = Duration::from_millis(100);

/// Time after which a daemon that grants no permits may be asked again: until then the views
/// of the two daemons have probably converged.
const DECLINED_RETRY: Duration = Duration::from_millis(50);

/// Shortest time between two notices about a process, which may state a limit in some
/// responses only.
const NOTICE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of processes whose limits are remembered: one day's worth at ten thousand
/// restarts a day.
const MAX_PROCESSES: usize = 10_000;

/// Number of processes from which forgotten ones are removed.
const SWEEP_SIZE: usize = 64;

/// Time for which a lifted limit is remembered, so that an older statement of another
/// daemon does not restore it.
const LIFTED_MEMORY: Duration = Duration::from_secs(60);

/// Time for which a limit is remembered that is neither stated again nor asked for, as after
/// the process has ended. The next response states it again if it still holds.
const LIMIT_MEMORY: Duration = Duration::from_secs(600);

/// Maximum number of daemons that are told of a check. Others learn of it when they ask next.
const MAX_ASKERS: usize = 64;

/// Wait after which a daemon asks again while a check is in progress: a round trip between
/// zones and an idle server's work, with a margin.
const CHECK_WAIT: Duration = Duration::from_millis(25);

/// Time for which a check is considered in progress, if it has no result.
const CHECK_PATIENCE: Duration = Duration::from_millis(300);

/// Age from which a statement says nothing.
const UNKNOWN_AGE: Duration = Duration::from_millis(u32::MAX as u64);

/// Range of hashes of all daemons.
const ALL: (u64, u64) = (0, u64::MAX);

/// Range of hashes of a notice that is not passed on.
const NONE: (u64, u64) = (1, 0);

/// When a request may be sent to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The process states no limit.
    Unlimited,
    /// A permit is held.
    Permitted,
    /// A permit has to be requested.
    Unknown,
    /// No permit is available before this time.
    NotBefore(Timestamp),
}

/// A change of what is known about a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The process states this limit, which is new or different.
    Limited(RateLimit),
    /// The process no longer states a limit.
    Lifted,
}

/// Effect of a received message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Received {
    /// The process.
    pub process: ProcessId,
    /// Change of what is known about its limit.
    pub change: Option<LimitChange>,
}

/// State of a limit, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// The limit.
    pub limit: RateLimit,
    /// Time since this daemon last learned of it.
    pub age: Duration,
    /// Instance that grants permits, if one is known.
    pub coordinator: Option<Arc<str>>,
    /// Permits that this daemon holds.
    pub permits: usize,
}

#[derive(Debug)]
struct Process {
    belief: Belief,
    permits: Permits,
    allocator: Option<Allocator>,
    /// Coordinators, and the generation of daemons for which they were chosen.
    coordinators: (u64, Coordinators),
    /// When the other daemons were last told of the limit.
    noticed: Option<Timestamp>,
    /// When the process was last used or asked for.
    touched: Timestamp,
    /// Set if the process can be cold.
    guard: Option<Guard>,
    /// Whether what is known of a cold process comes from a check of this daemon.
    checked_here: bool,
    /// When this daemon last asked for a newer statement.
    renewed: Timestamp,
    /// When a daemon last wanted to send to the process.
    wanted: Option<Timestamp>,
    /// Share of the limit that this daemon granted last.
    granted_share: f64,
    /// When a permit was first requested since the last check expired.
    unknown_since: Option<Timestamp>,
    /// Daemons that are told of the next check.
    askers: Vec<SocketAddr>,
}

impl Process {
    fn new(now: Timestamp, belief: Belief) -> Self {
        Self {
            belief,
            permits: Permits::default(),
            allocator: None,
            coordinators: (0, Coordinators::default()),
            noticed: None,
            touched: now,
            guard: None,
            checked_here: false,
            renewed: Timestamp::ZERO,
            wanted: None,
            granted_share: 0.0,
            unknown_since: None,
            askers: Vec::new(),
        }
    }

    /// The limit in force.
    fn limit(&self, now: Timestamp) -> Option<RateLimit> {
        match &self.guard {
            Some(guard) => guard.limit(now, &self.belief),
            None => self.belief.limit,
        }
    }

    /// Time for which a permit can be used.
    fn lifetime(&self) -> Duration {
        match self.guard {
            Some(_) => warm_up::LIFETIME,
            None => permits::LIFETIME,
        }
    }

    /// Whether a daemon wanted to send to the process lately.
    fn is_wanted(&self, now: Timestamp) -> bool {
        self.wanted.is_some_and(|at| now.since(at) < WARM_LEASE)
    }

    fn coordinators(&mut self, process: ProcessId, daemons: &Daemons) -> &Coordinators {
        if self.coordinators.0 != daemons.generation {
            self.coordinators = (daemons.generation, daemons.coordinators_of(process));
        }
        &self.coordinators.1
    }

    /// Grants permits from this daemon's bucket, or none if another daemon has the bucket.
    /// Returns their delays and the time until more are available.
    fn grant(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        daemons: &Daemons,
        count: u16,
        wait: Duration,
    ) -> (Vec<Duration>, Duration) {
        let mut share = daemons.own_share(self.coordinators(process, daemons));
        if self.guard.is_some() {
            // Another daemon may still grant permits, as after a false suspicion.
            if share > self.granted_share {
                self.allocator = None;
            }
            self.granted_share = share;
            if !daemons.is_in_touch(now) {
                share = share.min(BACKUP_SHARE);
            }
        }
        let limit = match self.guard {
            Some(guard) => self.limit(now).map(|_| guard.limit.granted()),
            None => self.belief.limit,
        };
        let Some(limit) = limit.filter(|_| share > 0.0) else {
            self.allocator = None;
            return (Vec::new(), DECLINED_RETRY);
        };
        let is_guarded = self.guard.is_some();
        let allocator = self.allocator.get_or_insert_with(|| match is_guarded {
            true => Allocator::while_cold(now),
            false => Allocator::new(now),
        });
        let count = count.min(MAX_PERMITS);
        let delays = allocator.grant(now, limit, share, count, wait);
        let next_in = allocator.next_in(now);
        match self.awaits_check(now) {
            true => (delays, next_in.min(CHECK_WAIT)),
            false => (delays, next_in),
        }
    }

    /// Whether a check that has just become due will probably tell in a moment that the
    /// process is warm.
    fn awaits_check(&mut self, now: Timestamp) -> bool {
        let Some(guard) = self.guard else {
            return false;
        };
        if !guard.wants_check(now, &self.belief) || self.belief.limit.is_some() {
            return false;
        }
        let since = *self.unknown_since.get_or_insert(now);
        now.since(since) < CHECK_PATIENCE
    }

    /// Whether this daemon grants the permits of the process.
    fn is_own(&mut self, process: ProcessId, daemons: &Daemons) -> bool {
        self.coordinators(process, daemons).first == Some(Coordinator::Own)
    }

    fn statement(&self, now: Timestamp) -> Statement {
        let age = now.since(self.belief.at);
        let limit = self.belief.limit;
        match self.guard {
            None => Statement { limit, age },
            // Ages exclude the time that messages take. A statement that a process is warm is
            // not passed on by daemons that were told themselves, which would renew it.
            Some(_) if limit.is_none() && self.checked_here => Statement { limit, age },
            Some(guard) => Statement {
                limit: Some(guard.limit.stated()),
                age: if limit.is_some() { age } else { UNKNOWN_AGE },
            },
        }
    }

    /// Adds the permits of an answer to a request of this daemon. Returns whether the answer
    /// arrived in time.
    fn accept(&mut self, now: Timestamp, grant: &Grant) -> bool {
        let lifetime = self.lifetime();
        let Some(pending) = self.permits.pending.filter(|p| p.id == grant.id) else {
            return false;
        };
        self.permits.pending = None;
        // A daemon that was frozen answers late, from a bucket that others may have
        // replaced.
        if pending.is_lost(now) {
            self.permits.on_ask_lost(now);
            return false;
        }
        self.permits
            .on_grant(now, &grant.delays, grant.next_in, lifetime);
        true
    }

    /// Applies a change of the belief. Returns what changed from `before`.
    fn change_since(&mut self, before: Option<RateLimit>) -> Option<LimitChange> {
        if self.belief.limit == before {
            return None;
        }
        match self.belief.limit {
            Some(limit) => {
                // It was computed for the previous limit.
                self.permits.next_at = Timestamp::ZERO;
                Some(LimitChange::Limited(limit))
            }
            None => {
                self.permits.clear();
                self.allocator = None;
                Some(LimitChange::Lifted)
            }
        }
    }

    /// Adopts what another daemon states about a process that can be cold.
    fn merge_guarded(&mut self, now: Timestamp, statement: Statement) -> Option<LimitChange> {
        if statement.age >= UNKNOWN_AGE {
            return None;
        }
        let stated = Belief {
            limit: statement.limit,
            at: now - statement.age,
        };
        if stated.at <= self.belief.at {
            return None;
        }
        self.checked_here = false;
        self.believe(now, stated)
    }

    /// Applies a newer belief about a process that can be cold.
    fn believe(&mut self, now: Timestamp, belief: Belief) -> Option<LimitChange> {
        let (before, before_limit) = (self.belief, self.limit(now));
        self.belief = belief;
        self.unknown_since = None;
        match (before_limit, self.limit(now)) {
            (Some(_), None) => {
                self.permits.clear();
                self.allocator = None;
            }
            (None, Some(_)) => self.permits.next_at = Timestamp::ZERO,
            _ => {}
        }
        match (before.limit, belief.limit) {
            (None, Some(limit)) => Some(LimitChange::Limited(limit)),
            (Some(_), None) => Some(LimitChange::Lifted),
            _ => None,
        }
    }

    fn is_forgotten(&self, now: Timestamp) -> bool {
        if self.guard.is_some() {
            return false;
        }
        let memory = match self.belief.limit {
            Some(_) => LIMIT_MEMORY,
            None => LIFTED_MEMORY,
        };
        now.since(self.touched) > memory
    }
}

/// Keeps the limits of all processes as one of several daemons.
///
/// ```
/// use jasminepond_ratelimit::{Availability, ProcessId, RateLimit, RateLimiter};
/// use jasminepond_types::Timestamp;
/// use std::time::Duration;
///
/// let process = ProcessId::new("i-1", None, "10.0.0.1:80".parse().unwrap());
/// let mut limiter = RateLimiter::new("daemon-1".into());
/// let now = Timestamp::from_millis(1);
/// limiter.set_daemons(now, vec![]);
/// assert_eq!(limiter.availability(now, process), Availability::Unlimited);
///
/// limiter.observe(now, process, now, RateLimit::new(2.0));
/// assert_eq!(limiter.availability(now, process), Availability::Unknown);
/// let later = now + Duration::from_secs(1);
/// limiter.request(later, process, 1, later);
/// let granted = limiter.availability(later, process);
/// assert_eq!(granted, Availability::NotBefore(later + Duration::from_millis(250)));
/// ```
#[derive(Debug, Default)]
pub struct RateLimiter {
    daemons: Daemons,
    processes: BTreeMap<ProcessId, Process>,
    /// Number of processes at which forgotten ones are removed.
    sweep_at: usize,
    outbox: VecDeque<(SocketAddr, Message)>,
    next_id: u32,
}

impl RateLimiter {
    /// Creates the limiter of the daemon on this instance.
    pub fn new(instance: Arc<str>) -> Self {
        Self {
            daemons: Daemons::new(instance),
            ..Self::default()
        }
    }

    /// Sets all other daemons. No permits are granted before. Daemons that have started are
    /// told of the limits for which this daemon grants the permits.
    pub fn set_daemons(&mut self, now: Timestamp, others: Vec<Daemon>) {
        let started = self.daemons.newly_running(&others);
        self.daemons.set_others(others);
        if started.is_empty() {
            return;
        }
        for (process, state) in &mut self.processes {
            if state.belief.limit.is_none() || !state.is_own(*process, &self.daemons) {
                continue;
            }
            let statement = state.statement(now);
            let to = match started.len() > FAN_OUT {
                true => self.daemons.notified(ALL),
                false => started.iter().map(|to| (*to, NONE)).collect(),
            };
            push_notices(&mut self.outbox, *process, statement, to);
        }
    }

    /// Stops granting permits, because the daemon is about to stop.
    pub fn set_leaving(&mut self) {
        self.daemons.set_leaving();
    }

    /// Next message to send.
    pub fn next_message(&mut self) -> Option<(SocketAddr, Message)> {
        self.outbox.pop_front()
    }

    /// Limit of a process, if it states one.
    pub fn limit(&self, process: ProcessId) -> Option<RateLimit> {
        self.processes.get(&process)?.belief.limit
    }

    /// Handles what a response to a request that was sent at `sent` states.
    pub fn observe(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        sent: Timestamp,
        stated: Option<RateLimit>,
    ) -> Option<LimitChange> {
        if stated.is_none() && !self.processes.contains_key(&process) {
            return None;
        }
        let state = self.process(now, process);
        let before = state.belief.limit;
        state.belief.observe(now, sent, stated);
        let change = state.change_since(before);
        match change {
            None => {}
            Some(LimitChange::Limited(_)) if before.is_some() => {}
            Some(_) => self.tell_coordinator(now, process),
        }
        change
    }

    /// Sets how a process is limited while it is cold, or that it is not.
    pub fn set_guard(&mut self, now: Timestamp, process: ProcessId, guard: Option<Guard>) {
        match guard {
            Some(_) => self.process(now, process).guard = guard,
            None => self.remove_guard(process),
        }
    }

    /// Forgets how a process is limited while it is cold.
    pub fn remove_guard(&mut self, process: ProcessId) {
        if self.is_guarded(process) {
            self.processes.remove(&process);
        }
    }

    fn is_guarded(&self, process: ProcessId) -> bool {
        let state = self.processes.get(&process);
        state.is_some_and(|state| state.guard.is_some())
    }

    /// What is presumed of a process that can be cold, or `None` if it cannot.
    pub fn warmth(&self, now: Timestamp, process: ProcessId) -> Option<Warmth> {
        let state = self.processes.get(&process)?;
        let guard = state.guard?;
        let stated_cold = state.belief.limit.is_some() || now < guard.cold_until;
        Some(match state.limit(now) {
            None => Warmth::Warm,
            Some(_) if stated_cold => Warmth::Cold,
            Some(_) => Warmth::Unknown,
        })
    }

    /// Whether this daemon should check now whether a process is cold: daemons want to send to
    /// it, and this one checks it for all.
    pub fn wants_check(&mut self, now: Timestamp, process: ProcessId) -> bool {
        let daemons = &self.daemons;
        let Some(state) = self.processes.get_mut(&process) else {
            return false;
        };
        let wants = |guard: Guard| guard.wants_check(now, &state.belief);
        let is_due = state.guard.is_some_and(wants) && state.is_wanted(now);
        is_due && state.is_own(process, daemons)
    }

    /// Records the result of a check that was sent at `sent`, and tells the others of a
    /// change, and those that have asked.
    pub fn checked(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        sent: Timestamp,
        is_cold: bool,
    ) -> Option<LimitChange> {
        let state = self.processes.get_mut(&process)?;
        let limit = state.guard?.limit.stated();
        let belief = match is_cold {
            true => Belief {
                limit: Some(limit),
                at: now,
            },
            false => Belief {
                limit: None,
                at: sent,
            },
        };
        if belief.at <= state.belief.at {
            return None;
        }
        let change = state.believe(now, belief);
        state.checked_here = true;
        let statement = state.statement(now);
        let askers = std::mem::take(&mut state.askers);
        let to = match change {
            Some(_) => self.daemons.notified(ALL),
            None => askers.into_iter().map(|to| (to, NONE)).collect(),
        };
        push_notices(&mut self.outbox, process, statement, to);
        change
    }

    /// Asks for a newer statement about a process that can be cold before the last one
    /// expires.
    fn renew(&mut self, now: Timestamp, process: ProcessId) {
        let daemons = &self.daemons;
        let Some(state) = self.processes.get_mut(&process) else {
            return;
        };
        let Some(guard) = state.guard else {
            return;
        };
        state.wanted = Some(now);
        let asked = now.since(state.renewed) < warm_up::RENEW_INTERVAL;
        let is_own = state.is_own(process, daemons);
        if asked || is_own || !guard.wants_check(now, &state.belief) {
            return;
        }
        if let Some(pending) = state.permits.pending {
            if !pending.is_lost(now) {
                return;
            }
            state.permits.on_ask_lost(now);
        }
        state.renewed = now;
        self.send_ask(now, process, 1, Duration::ZERO);
    }

    /// Tells the coordinator of a limit that is new or lifted, and the other daemons if this
    /// one is the coordinator.
    fn tell_coordinator(&mut self, now: Timestamp, process: ProcessId) {
        let daemons = &self.daemons;
        let Some(state) = self.processes.get_mut(&process) else {
            return;
        };
        if state.is_own(process, daemons) {
            self.tell_all(now, process);
        } else {
            self.send_ask(now, process, 0, Duration::ZERO);
        }
    }

    /// Tells all other daemons of a limit that is new or lifted, unless they were told a
    /// moment ago.
    fn tell_all(&mut self, now: Timestamp, process: ProcessId) {
        let Some(state) = self.processes.get_mut(&process) else {
            return;
        };
        let told = state
            .noticed
            .is_some_and(|at| now.since(at) < NOTICE_INTERVAL);
        if told || !state.is_own(process, &self.daemons) {
            return;
        }
        state.noticed = Some(now);
        let statement = state.statement(now);
        let to = self.daemons.notified(ALL);
        push_notices(&mut self.outbox, process, statement, to);
    }

    /// When a request may be sent to a process.
    pub fn availability(&self, now: Timestamp, process: ProcessId) -> Availability {
        let Some(state) = self.processes.get(&process) else {
            return Availability::Unlimited;
        };
        if state.limit(now).is_none() {
            return Availability::Unlimited;
        }
        match state.permits.first(now) {
            Some(from) if from <= now => Availability::Permitted,
            Some(from) => Availability::NotBefore(from),
            None if now < state.permits.next_at => Availability::NotBefore(state.permits.next_at),
            None => Availability::Unknown,
        }
    }

    /// Uses a permit for a request that is sent now. Returns `false` if none is held although
    /// the process is limited.
    pub fn take(&mut self, now: Timestamp, process: ProcessId) -> bool {
        let Some(state) = self.processes.get_mut(&process) else {
            return true;
        };
        state.touched = now;
        state.limit(now).is_none() || state.permits.take(now)
    }

    /// Records a request for which the process was preferred, whether or not it was sent
    /// there, and requests permits for the next ones.
    pub fn record_demand(&mut self, now: Timestamp, process: ProcessId) {
        self.renew(now, process);
        let state = self.processes.get_mut(&process);
        let Some(state) = state.filter(|state| state.limit(now).is_some()) else {
            return;
        };
        state.permits.record_demand(now);
        self.restock(now, process);
    }

    /// Requests permits for the demand of the next moments.
    pub fn restock(&mut self, now: Timestamp, process: ProcessId) {
        if let Some(state) = self.processes.get(&process) {
            let stock = state.permits.stock(now);
            self.request(now, process, stock, now + STOCK_WAIT);
        }
    }

    /// Requests a permit that can be used immediately if this daemon grants them itself.
    pub fn request_local(&mut self, now: Timestamp, process: ProcessId) {
        let daemons = &self.daemons;
        if let Some(state) = self.processes.get_mut(&process)
            && state.is_own(process, daemons)
        {
            self.request(now, process, 1, now);
        }
    }

    /// Requests permits until `wanted` are held or requested. Those that are available after
    /// `by` are of no use.
    pub fn request(&mut self, now: Timestamp, process: ProcessId, wanted: usize, by: Timestamp) {
        let Some(state) = self.processes.get_mut(&process) else {
            return;
        };
        state.touched = now;
        state.wanted = Some(now);
        state.permits.expire(now);
        if state
            .permits
            .pending
            .is_some_and(|pending| pending.is_lost(now))
        {
            state.permits.on_ask_lost(now);
        }
        let missing = wanted.saturating_sub(state.permits.expected(now));
        let waits = state.permits.pending.is_some() || now < state.permits.next_at;
        if state.limit(now).is_none() || missing == 0 || waits {
            return;
        }
        let count = u16::try_from(missing).unwrap_or(MAX_PERMITS);
        self.send_ask(now, process, count.min(MAX_PERMITS), by.since(now));
    }

    /// Number of permits of a process that are held or requested.
    pub fn expected(&self, now: Timestamp, process: ProcessId) -> usize {
        let state = self.processes.get(&process);
        state.map_or(0, |state| state.permits.expected(now))
    }

    /// Later time at which a request that waits for a permit should be tried again, if nothing
    /// else happens.
    pub fn retry_at(&self, now: Timestamp, process: ProcessId) -> Option<Timestamp> {
        let permits = &self.processes.get(&process)?.permits;
        let lost = permits.pending.map(|pending| pending.lost_at());
        let times = [lost, Some(permits.next_at), permits.first(now)];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    fn send_ask(&mut self, now: Timestamp, process: ProcessId, count: u16, wait: Duration) {
        let id = self.next_id;
        let Some(state) = self.processes.get_mut(&process) else {
            return;
        };
        let first = state.coordinators(process, &self.daemons).first.clone();
        let backup = state.coordinators(process, &self.daemons).backup.clone();
        let to = match state.permits.asks_backup(now, BACKUP_TIME) {
            true => backup.or(first),
            false => first,
        };
        match to {
            None => {}
            Some(Coordinator::Own) => {
                let (delays, next_in) = state.grant(now, process, &self.daemons, count, wait);
                let lifetime = state.lifetime();
                state.permits.on_grant(now, &delays, next_in, lifetime);
            }
            Some(Coordinator::Other(daemon)) => {
                let statement = state.statement(now);
                if count > 0 {
                    let sent = now;
                    state.permits.pending = Some(Pending { id, sent, count });
                }
                let ask = Ask {
                    process,
                    id,
                    statement,
                    count,
                    wait,
                };
                self.next_id = self.next_id.wrapping_add(1);
                self.outbox.push_back((daemon.address, Message::Ask(ask)));
            }
        }
    }

    /// Handles a message of another daemon.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Received {
        self.daemons.on_heard(now);
        match message {
            Message::Ask(ask) => self.on_ask(now, from, ask),
            Message::Grant(grant) => self.on_grant(now, grant),
            Message::Notice(notice) => self.on_notice(now, notice),
        }
    }

    fn on_ask(&mut self, now: Timestamp, from: SocketAddr, ask: Ask) -> Received {
        let Ask {
            process,
            id,
            statement,
            count,
            wait,
        } = ask;
        let is_guarded = self.is_guarded(process);
        // The coordinator checks whether a process is cold itself.
        let change = match is_guarded {
            true => None,
            false => self.merge(now, process, statement),
        };
        if change.is_some() {
            self.tell_all(now, process);
        }
        let daemons = &self.daemons;
        if let Some(state) = self.processes.get_mut(&process)
            && count > 0
        {
            if is_guarded {
                state.wanted = Some(now);
                if state.askers.len() < MAX_ASKERS && !state.askers.contains(&from) {
                    state.askers.push(from);
                }
            }
            let (delays, next_in) = state.grant(now, process, daemons, count, wait);
            let grant = Grant {
                process,
                id,
                statement: state.statement(now),
                delays,
                next_in,
            };
            self.outbox.push_back((from, Message::Grant(grant)));
        }
        Received { process, change }
    }

    fn on_grant(&mut self, now: Timestamp, grant: Grant) -> Received {
        let process = grant.process;
        if self.is_guarded(process) {
            return self.on_guarded_grant(now, &grant);
        }
        let change = self.merge(now, process, grant.statement);
        if let Some(state) = self.processes.get_mut(&process)
            && state.belief.limit.is_some()
        {
            state.accept(now, &grant);
        }
        Received { process, change }
    }

    /// Only an answer that arrives in time can state that a process is warm: the age of what
    /// waited in the socket of a frozen daemon is unknown.
    fn on_guarded_grant(&mut self, now: Timestamp, grant: &Grant) -> Received {
        let process = grant.process;
        let mut change = None;
        if let Some(state) = self.processes.get_mut(&process)
            && state.accept(now, grant)
        {
            change = state.merge_guarded(now, grant.statement);
        }
        Received { process, change }
    }

    fn on_notice(&mut self, now: Timestamp, notice: Notice) -> Received {
        let Notice {
            process,
            statement,
            range,
        } = notice;
        let change = match self.is_guarded(process) {
            true => self.on_guarded_notice(now, process, statement),
            false => self.merge(now, process, statement),
        };
        let to = self.daemons.notified(range);
        push_notices(&mut self.outbox, process, statement, to);
        Received { process, change }
    }

    /// Adopts a notice that a process is cold. One that it is warm is only a reason to ask.
    fn on_guarded_notice(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        statement: Statement,
    ) -> Option<LimitChange> {
        let state = self.processes.get_mut(&process)?;
        if statement.limit.is_some() {
            return state.merge_guarded(now, statement);
        }
        if state.is_wanted(now) {
            state.renewed = Timestamp::ZERO;
            self.renew(now, process);
        }
        None
    }

    /// Adopts what another daemon knows if it is newer.
    fn merge(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        statement: Statement,
    ) -> Option<LimitChange> {
        if statement.limit.is_none() && !self.processes.contains_key(&process) {
            return None;
        }
        let stated = Belief {
            limit: statement.limit,
            at: now - statement.age,
        };
        let state = self.process(now, process);
        let before = state.belief.limit;
        state.belief.merge(stated);
        state.change_since(before)
    }

    /// State of the limit of a process, for operators.
    pub fn report(&self, now: Timestamp, process: ProcessId) -> Option<LimitReport> {
        let state = self.processes.get(&process)?;
        let first = self.daemons.coordinators_of(process).first;
        Some(LimitReport {
            limit: state.limit(now)?,
            age: now.since(state.belief.at),
            coordinator: first.map(|daemon| match daemon {
                Coordinator::Own => self.daemons.instance().clone(),
                Coordinator::Other(daemon) => daemon.instance,
            }),
            permits: state.permits.held(),
        })
    }

    /// State of a process, which is added if it is unknown.
    fn process(&mut self, now: Timestamp, process: ProcessId) -> &mut Process {
        if self.processes.len() >= self.sweep_at.max(SWEEP_SIZE)
            && !self.processes.contains_key(&process)
        {
            self.sweep(now);
        }
        let none = Belief {
            limit: None,
            at: Timestamp::ZERO,
        };
        let state = self.processes.entry(process);
        let state = state.or_insert_with(|| Process::new(now, none));
        state.touched = now;
        state
    }

    fn sweep(&mut self, now: Timestamp) {
        self.processes.retain(|_, state| !state.is_forgotten(now));
        if self.processes.len() >= MAX_PROCESSES {
            let mut touched: Vec<_> = self.processes.values().map(|s| s.touched).collect();
            let (_, oldest_kept, _) = touched.select_nth_unstable(MAX_PROCESSES / 10);
            let oldest_kept = *oldest_kept;
            self.processes
                .retain(|_, state| state.touched > oldest_kept || state.guard.is_some());
        }
        let len = self.processes.len();
        self.sweep_at = (2 * len).min(MAX_PROCESSES).max(len + SWEEP_SIZE);
    }
}

fn push_notices(
    outbox: &mut VecDeque<(SocketAddr, Message)>,
    process: ProcessId,
    statement: Statement,
    to: Vec<(SocketAddr, (u64, u64))>,
) {
    for (to, range) in to {
        let notice = Notice {
            process,
            statement,
            range,
        };
        outbox.push_back((to, Message::Notice(notice)));
    }
}
