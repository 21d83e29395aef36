//! Keeps the limits of all processes.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminepond_types::Timestamp;

use crate::{
    Ask, Daemon, Grant, Message, Notice, ProcessId, RateLimit, Statement,
    allocator::Allocator,
    belief::Belief,
    coordinators::{Coordinator, Coordinators, Daemons, FAN_OUT},
    message::MAX_PERMITS,
    permits::{Pending, Permits},
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
        }
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
        let share = daemons.own_share(self.coordinators(process, daemons));
        let Some(limit) = self.belief.limit.filter(|_| share > 0.0) else {
            self.allocator = None;
            return (Vec::new(), DECLINED_RETRY);
        };
        let allocator = self.allocator.get_or_insert_with(|| Allocator::new(now));
        let count = count.min(MAX_PERMITS);
        let delays = allocator.grant(now, limit, share, count, wait);
        (delays, allocator.next_in(now))
    }

    /// Whether this daemon grants the permits of the process.
    fn is_own(&mut self, process: ProcessId, daemons: &Daemons) -> bool {
        self.coordinators(process, daemons).first == Some(Coordinator::Own)
    }

    fn statement(&self, now: Timestamp) -> Statement {
        Statement {
            limit: self.belief.limit,
            age: now.since(self.belief.at),
        }
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

    fn is_forgotten(&self, now: Timestamp) -> bool {
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
        if state.belief.limit.is_none() {
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
        state.belief.limit.is_none() || state.permits.take(now)
    }

    /// Records a request for which the process was preferred, whether or not it was sent
    /// there, and requests permits for the next ones.
    pub fn record_demand(&mut self, now: Timestamp, process: ProcessId) {
        let state = self.processes.get_mut(&process);
        let Some(state) = state.filter(|state| state.belief.limit.is_some()) else {
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
        if state.belief.limit.is_none() || missing == 0 || waits {
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
                state.permits.on_grant(now, &delays, next_in);
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
        let change = self.merge(now, process, statement);
        if change.is_some() {
            self.tell_all(now, process);
        }
        let daemons = &self.daemons;
        if let Some(state) = self.processes.get_mut(&process)
            && count > 0
        {
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
        let change = self.merge(now, process, grant.statement);
        if let Some(state) = self.processes.get_mut(&process)
            && state.belief.limit.is_some()
            && let Some(pending) = state.permits.pending
            && pending.id == grant.id
        {
            state.permits.pending = None;
            // A daemon that was frozen answers late, from a bucket that others may have
            // replaced.
            match pending.is_lost(now) {
                true => state.permits.on_ask_lost(now),
                false => state.permits.on_grant(now, &grant.delays, grant.next_in),
            }
        }
        Received { process, change }
    }

    fn on_notice(&mut self, now: Timestamp, notice: Notice) -> Received {
        let Notice {
            process,
            statement,
            range,
        } = notice;
        let change = self.merge(now, process, statement);
        let to = self.daemons.notified(range);
        push_notices(&mut self.outbox, process, statement, to);
        Received { process, change }
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
            limit: state.belief.limit?,
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
                .retain(|_, state| state.touched > oldest_kept);
        }
        self.sweep_at = (2 * self.processes.len()).min(MAX_PROCESSES);
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
