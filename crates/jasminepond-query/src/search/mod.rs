//! Scatter-gather searches at their entry daemon.

mod answer;
mod merge;
mod plan;
mod schedule;
mod shard;
mod step;

use std::{cmp::Reverse, collections::BinaryHeap};

use jasminepond_types::{Millis, QueryId, Timestamp, Version};
use jasminepond_wire::PartFailure;

pub use answer::{Answer, Coverage, Failure, MissingReason, RankedHit, ShardAnswer};
pub use plan::{Chooser, NoVersions, Objective, Plan, SearchSettings, ShardMap};
pub use step::{AttemptId, Step};

use merge::Merge;
use shard::{Attempt, Shard, Status, mask};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    New,
    Running,
    Finished,
}

/// Context of one event: its time, the chooser and the steps collected so far.
struct Cx<'a> {
    now: Timestamp,
    chooser: &'a mut dyn Chooser,
    steps: Vec<Step>,
}

/// A search over all shards of one version.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_query::*;
/// use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};
///
/// struct First;
///
/// impl Chooser for First {
///     fn choose(&mut self, _: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
///         let first = c.iter().next();
///         first.map_or(Choice::None(MissingReason::NoReplica), |(i, _)| Choice::Use(i))
///     }
///     fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
///         None
///     }
///     fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
///         false
///     }
///     fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
///         true
///     }
///     fn service_time(&mut self, _: Timestamp) -> Duration {
///         Duration::from_millis(10)
///     }
/// }
///
/// let services = vec![("s-1".parse().unwrap(), vec!["server-1".parse().unwrap()])];
/// let plan = Plan {
///     id: QueryId(1),
///     group: "kits".parse().unwrap(),
///     versions: [ShardMap { version: Version(41), services }].into(),
///     limit: 10,
/// };
/// let now = Timestamp::ZERO;
/// let deadline = Timestamp::from_millis(250);
/// let mut search = Search::new(plan, now, deadline, SearchSettings::default()).unwrap();
/// let steps = search.start(now, &mut First);
/// let Step::Send { attempt, .. } = steps[0] else { panic!() };
/// let empty = ShardAnswer { version: Version(41), count: 0, hits: vec![] };
/// let steps = search.on_answer(now, &mut First, attempt, empty);
/// let [Step::Finish(answer)] = &steps[..] else { panic!() };
/// assert_eq!(answer.coverage.answered, 1);
/// ```
#[derive(Debug)]
pub struct Search {
    plan: Plan,
    settings: SearchSettings,
    finish_at: Timestamp,
    stage: Stage,
    /// Index of the current version in the plan.
    current: usize,
    /// Versions already started, one bit each. None is started twice.
    started: u64,
    shards: Vec<Shard>,
    /// Shards that are neither answered nor given up.
    open: usize,
    attempts: Vec<Attempt>,
    merge: Merge,
    /// Shards by due time. An entry that differs from the shard's due time is stale.
    timers: BinaryHeap<Reverse<(Timestamp, u32)>>,
    /// Shards given up during this event because no replica serves the version.
    lacking_version: Vec<u32>,
    /// Time last returned in [`Step::Wait`].
    wait: Option<Timestamp>,
}

impl Search {
    /// Creates a search that has not started. It finishes no later than `deadline`
    /// less [`SearchSettings::response_allowance`].
    ///
    /// # Errors
    ///
    /// Fails if the plan has no version.
    pub fn new(
        plan: Plan,
        now: Timestamp,
        deadline: Timestamp,
        settings: SearchSettings,
    ) -> Result<Self, NoVersions> {
        if plan.versions.is_empty() {
            return Err(NoVersions);
        }
        let merge = Merge::new(plan.limit);
        Ok(Self {
            finish_at: (deadline - settings.response_allowance).max(now),
            plan,
            settings,
            stage: Stage::New,
            current: 0,
            started: 0,
            shards: Vec::new(),
            open: 0,
            attempts: Vec::new(),
            merge,
            timers: BinaryHeap::new(),
            lacking_version: Vec::new(),
            wait: None,
        })
    }

    /// Id of the search.
    pub fn id(&self) -> QueryId {
        self.plan.id
    }

    /// The version being searched.
    pub fn version(&self) -> Version {
        self.plan.versions[self.current].version
    }

    /// Whether [`Step::Finish`] was returned.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Time left for sub-requests sent at `now`, in milliseconds, rounded down.
    pub fn time_left(&self, now: Timestamp) -> Millis {
        let left = self.finish_at.since(now).as_millis();
        Millis(u64::try_from(left).unwrap_or(u64::MAX))
    }

    /// Sends a sub-request for each shard of the newest version. Has no
    /// effect when called again.
    pub fn start(&mut self, now: Timestamp, chooser: &mut dyn Chooser) -> Vec<Step> {
        if self.stage != Stage::New {
            return Vec::new();
        }
        self.stage = Stage::Running;
        self.handle_event(now, chooser, |search, cx| search.start_version(cx, 0))
    }

    /// Handles the answer to a sub-request. Late and repeated answers and those for
    /// another search are ignored; one from another version counts as a failure.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn Chooser,
        attempt: AttemptId,
        answer: ShardAnswer,
    ) -> Vec<Step> {
        self.handle_event(now, chooser, |search, cx| {
            let Some(closed) = search.close_attempt(attempt) else {
                return;
            };
            if answer.version == search.version() {
                search.accept(cx, closed.shard, answer);
            } else {
                let failure = PartFailure::WrongVersion.into();
                search.fail(cx, closed, failure, &[answer.version]);
            }
        })
    }

    /// Handles the failure of a sub-request. `held` are the versions that the server
    /// reported to hold.
    pub fn on_failure(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn Chooser,
        attempt: AttemptId,
        failure: Failure,
        held: &[Version],
    ) -> Vec<Step> {
        self.handle_event(now, chooser, |search, cx| {
            if let Some(closed) = search.close_attempt(attempt) {
                search.fail(cx, closed, failure, held);
            }
        })
    }

    /// Handles the loss of the link to an owner that had these sub-requests.
    pub fn on_owner_lost(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn Chooser,
        lost: impl IntoIterator<Item = AttemptId>,
    ) -> Vec<Step> {
        self.handle_event(now, chooser, |search, cx| {
            for attempt in lost {
                if let Some(closed) = search.close_attempt(attempt) {
                    search.fail(cx, closed, Failure::OwnerLost, &[]);
                }
            }
        })
    }

    /// Handles the timer: sends hedged requests and delayed retries that are due,
    /// and finishes when the time is up. Unless it finishes, it always returns
    /// [`Step::Wait`], so a timer that fires early does no harm.
    pub fn on_tick(&mut self, now: Timestamp, chooser: &mut dyn Chooser) -> Vec<Step> {
        self.wait = None;
        self.handle_event(now, chooser, Self::run_timers)
    }

    /// Handles one event and its consequences if the search is running.
    fn handle_event(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn Chooser,
        handler: impl FnOnce(&mut Self, &mut Cx<'_>),
    ) -> Vec<Step> {
        if self.stage != Stage::Running {
            return Vec::new();
        }
        let mut cx = Cx {
            now,
            chooser,
            steps: Vec::new(),
        };
        handler(self, &mut cx);
        self.conclude_event(&mut cx);
        cx.steps
    }

    /// Restarts with another version, finishes, or sets the next timer.
    fn conclude_event(&mut self, cx: &mut Cx<'_>) {
        while let Some(shard) = self.lacking_version.pop() {
            if let Some(index) = self.other_version(cx, shard) {
                self.restart(cx, index);
            }
        }
        if self.open == 0 || cx.now >= self.finish_at {
            self.finish(cx);
            return;
        }
        let until = self.next_timer();
        if self.wait != Some(until) {
            self.wait = Some(until);
            cx.steps.push(Step::Wait { until });
        }
    }

    fn next_timer(&mut self) -> Timestamp {
        while let Some(&Reverse((at, shard))) = self.timers.peek() {
            if self.shards[shard as usize].due == Some(at) {
                return at.min(self.finish_at);
            }
            self.timers.pop();
        }
        self.finish_at
    }

    /// Index of a version that was not started and that replicas of the shard may
    /// hold, if there is time to search it.
    fn other_version(&self, cx: &mut Cx<'_>, shard: u32) -> Option<usize> {
        if cx.now + cx.chooser.service_time(cx.now) > self.finish_at {
            return None;
        }
        let unused = mask(self.plan.versions.len()) & !self.started;
        let held = self.shards[shard as usize].held;
        let usable = if held == 0 { unused } else { unused & held };
        (usable != 0).then(|| usable.trailing_zeros() as usize)
    }

    fn restart(&mut self, cx: &mut Cx<'_>, index: usize) {
        for shard in 0..self.shards.len() {
            self.cancel_in_flight(cx, shard);
        }
        self.start_version(cx, index);
    }

    fn start_version(&mut self, cx: &mut Cx<'_>, index: usize) {
        let shards = self.plan.versions[index].services.len();
        self.current = index;
        self.started |= 1 << index;
        self.shards.clear();
        self.shards.resize(shards, Shard::NEW);
        self.open = shards;
        self.merge.clear();
        self.timers.clear();
        self.lacking_version.clear();
        for shard in 0..shards {
            self.advance(cx, shard);
        }
    }

    /// Closes an open attempt. Returns `None` for all other ids.
    fn close_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        if id.search != self.plan.id {
            return None;
        }
        let attempt = self.attempts.get_mut(id.part as usize)?;
        if !attempt.open {
            return None;
        }
        attempt.open = false;
        let closed = *attempt;
        self.shards[closed.shard as usize].remove_in_flight(id.part);
        Some(closed)
    }

    fn accept(&mut self, cx: &mut Cx<'_>, shard: u32, answer: ShardAnswer) {
        let state = &mut self.shards[shard as usize];
        state.status = Status::Answered;
        state.due = None;
        self.open -= 1;
        self.merge.add(shard, answer.count, answer.hits);
        self.cancel_in_flight(cx, shard as usize);
    }

    fn fail(&mut self, cx: &mut Cx<'_>, closed: Attempt, failure: Failure, held: &[Version]) {
        let versions = &self.plan.versions[..self.plan.versions.len().min(64)];
        let state = &mut self.shards[closed.shard as usize];
        state.record_failure(closed.replica, failure);
        for (index, plan) in versions.iter().enumerate() {
            if held.contains(&plan.version) {
                state.held |= 1 << index;
            }
        }
        if !state.is_in_flight() && cx.now < self.finish_at {
            self.advance(cx, closed.shard as usize);
        }
    }

    fn give_up(&mut self, shard: usize, reason: MissingReason, lacks_version: bool) {
        let state = &mut self.shards[shard];
        state.status = Status::Missing(reason);
        state.due = None;
        self.open -= 1;
        if lacks_version {
            self.lacking_version.push(shard as u32);
        }
    }

    fn cancel_in_flight(&mut self, cx: &mut Cx<'_>, shard: usize) {
        let in_flight = std::mem::take(&mut self.shards[shard].in_flight);
        for part in in_flight.into_iter().flatten() {
            self.attempts[part as usize].open = false;
            let attempt = self.attempt_id(part);
            cx.steps.push(Step::Cancel { attempt });
        }
    }

    fn attempt_id(&self, part: u32) -> AttemptId {
        AttemptId {
            search: self.plan.id,
            part,
        }
    }

    fn finish(&mut self, cx: &mut Cx<'_>) {
        let coverage = self.coverage();
        for shard in 0..self.shards.len() {
            self.cancel_in_flight(cx, shard);
        }
        let (count, hits) = self.merge.take(&self.plan.versions[self.current].services);
        self.stage = Stage::Finished;
        cx.steps.push(Step::Finish(Answer {
            version: self.version(),
            coverage,
            count,
            limited: count > hits.len() as u64,
            hits,
        }));
    }

    fn coverage(&self) -> Coverage {
        let services = &self.plan.versions[self.current].services;
        let mut coverage = Coverage {
            shards: self.shards.len(),
            answered: 0,
            missing: Vec::new(),
        };
        for (state, (service, _)) in self.shards.iter().zip(services) {
            match state.status {
                Status::Answered => coverage.answered += 1,
                Status::Missing(reason) => coverage.missing.push((service.clone(), reason)),
                Status::Open => {
                    let reason = state.reason_at_finish();
                    coverage.missing.push((service.clone(), reason));
                }
            }
        }
        coverage
    }
}
