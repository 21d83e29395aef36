//! One non-idempotent request at the daemon that issued its key.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{ErrorKind, Millis, Run, ServerId, Timestamp};
use jasminepond_wire::ExecuteOutcome;

use crate::{Candidates, Choice, ExecutionId};

/// Shortest time until a server is asked for again.
const MIN_PAUSE: Duration = Duration::from_micros(500);

/// How a request is carried out.
#[derive(Debug, Clone)]
pub struct ExecuteSettings {
    /// Servers that may be asked one after another, each after a certain "not
    /// run" of the one before.
    pub max_attempts: u32,
    /// Time kept back from the owner, so that its "deadline passed, not run"
    /// arrives before this daemon's own deadline.
    pub hop_allowance: Duration,
    /// Stated with "not run" where no server stated a time.
    pub retry_after: Millis,
}

impl Default for ExecuteSettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            hop_allowance: Duration::from_millis(10),
            retry_after: Millis(1_000),
        }
    }
}

/// Decisions that depend on more than one request.
pub trait ExecuteChooser {
    /// Chooses a server.
    fn choose(&mut self, now: Timestamp, candidates: Candidates<'_>) -> Choice;

    /// Whether a retry may go to `server` now. Takes from the budget.
    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool;
}

/// One time that the request was handed to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ExecutionAttempt {
    /// The run.
    pub execution: ExecutionId,
    /// Number within the run, from 1.
    pub number: u32,
}

/// What the caller of an [`Execution`] does next, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteStep {
    /// Send the request to the owner of `server`. If it cannot be sent, report
    /// "not run" as its outcome; if it may have left, report the link as lost.
    Send {
        /// Identifies the outcome.
        attempt: ExecutionAttempt,
        /// The server.
        server: ServerId,
        /// Time that the owner has.
        time_left: Millis,
    },
    /// Call [`Execution::on_tick`] at this time. Replaces the previous time.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The request is finished. Given exactly once, as the last step of all.
    Finish(ExecuteOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    New,
    /// Not sent, or certainly not run; looking for a server.
    Waiting,
    /// Handed to an owner; may have run.
    Sent,
    Finished,
}

/// One run of a request key: at most one server has the request at a time, and
/// another one gets it only after a certain "not run". There are no hedged
/// requests.
#[derive(Debug)]
pub struct Execution {
    id: ExecutionId,
    servers: Arc<[ServerId]>,
    deadline: Timestamp,
    settings: ExecuteSettings,
    state: State,
    tried: Vec<usize>,
    attempts: u32,
    /// Last certain "not run".
    refusal: Option<(ErrorKind, Option<Millis>)>,
    wait: Option<Timestamp>,
}

impl Execution {
    /// A request that has not started. `servers` are those of its group.
    pub fn new(
        id: ExecutionId,
        servers: Arc<[ServerId]>,
        deadline: Timestamp,
        settings: ExecuteSettings,
    ) -> Self {
        Self {
            id,
            servers,
            deadline,
            settings,
            state: State::New,
            tried: Vec::new(),
            attempts: 0,
            refusal: None,
            wait: None,
        }
    }

    /// The run.
    pub fn id(&self) -> ExecutionId {
        self.id
    }

    /// Whether [`ExecuteStep::Finish`] was given.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Chooses a server and sends. Does nothing when called again.
    pub fn start(&mut self, now: Timestamp, chooser: &mut dyn ExecuteChooser) -> Vec<ExecuteStep> {
        if self.state != State::New {
            return Vec::new();
        }
        self.state = State::Waiting;
        self.try_send(now, chooser)
    }

    /// The owner answered, or the request certainly could not be sent. Only the
    /// first outcome of the present attempt counts.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn ExecuteChooser,
        attempt: ExecutionAttempt,
        outcome: ExecuteOutcome,
    ) -> Vec<ExecuteStep> {
        if !self.is_present(attempt) {
            return Vec::new();
        }
        match outcome {
            ExecuteOutcome::NotRun { kind, .. } if kind.answer().run == Run::Unknown => {
                self.unknown("the owner refused with a kind that may have run")
            }
            ExecuteOutcome::NotRun { kind, retry_after } => {
                self.state = State::Waiting;
                self.refusal = Some((kind, retry_after));
                if may_go_elsewhere(kind) {
                    self.try_send(now, chooser)
                } else {
                    self.not_run()
                }
            }
            outcome => self.finish(outcome),
        }
    }

    /// The link broke after the request may have left.
    pub fn on_link_lost(&mut self, attempt: ExecutionAttempt) -> Vec<ExecuteStep> {
        if !self.is_present(attempt) {
            return Vec::new();
        }
        self.unknown("the link to the owner broke")
    }

    /// Time has passed: tries again where a server was not available, and
    /// finishes at the deadline.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn ExecuteChooser,
    ) -> Vec<ExecuteStep> {
        self.wait = None;
        match self.state {
            State::Waiting => self.try_send(now, chooser),
            State::Sent if now >= self.deadline => self.unknown("no outcome before the deadline"),
            State::Sent => self.wait_until(self.deadline),
            State::New | State::Finished => Vec::new(),
        }
    }

    /// The process resumed after a pause. Links are closed, so the outcome of a
    /// sent request does not arrive; one that was not sent is not sent any more.
    pub fn on_resumed(&mut self) -> Vec<ExecuteStep> {
        match self.state {
            State::Sent => self.unknown("the daemon was paused"),
            State::New | State::Waiting => {
                self.refusal = Some((ErrorKind::NotReady, None));
                self.not_run()
            }
            State::Finished => Vec::new(),
        }
    }

    fn is_present(&self, attempt: ExecutionAttempt) -> bool {
        self.state == State::Sent && attempt.execution == self.id && attempt.number == self.attempts
    }

    fn try_send(&mut self, now: Timestamp, chooser: &mut dyn ExecuteChooser) -> Vec<ExecuteStep> {
        let left = self
            .deadline
            .since(now)
            .saturating_sub(self.settings.hop_allowance);
        // Rounded down: the owner never believes that it has more time.
        let left = Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
        if left == Millis(0) {
            self.refusal = Some((ErrorKind::DeadlineNotRun, None));
            return self.not_run();
        }
        if self.attempts >= self.settings.max_attempts {
            return self.not_run();
        }
        let candidates = Candidates::new(&self.servers, &self.tried);
        match chooser.choose(now, candidates) {
            Choice::Use(index) if candidates.contains(index) => {
                let retry = self.attempts > 0;
                if retry && !chooser.may_retry(now, &self.servers[index]) {
                    return self.not_run();
                }
                self.send(index, left)
            }
            Choice::Wait { until } => {
                let last_call = self.deadline - self.settings.hop_allowance;
                self.wait_until(until.max(now + MIN_PAUSE).min(last_call))
            }
            Choice::Use(_) | Choice::None(_) => self.not_run(),
        }
    }

    fn send(&mut self, index: usize, time_left: Millis) -> Vec<ExecuteStep> {
        self.tried.push(index);
        self.attempts += 1;
        self.state = State::Sent;
        let attempt = ExecutionAttempt {
            execution: self.id,
            number: self.attempts,
        };
        let mut steps = vec![ExecuteStep::Send {
            attempt,
            server: self.servers[index].clone(),
            time_left,
        }];
        steps.extend(self.wait_until(self.deadline));
        steps
    }

    fn wait_until(&mut self, until: Timestamp) -> Vec<ExecuteStep> {
        if self.wait == Some(until) {
            return Vec::new();
        }
        self.wait = Some(until);
        vec![ExecuteStep::Wait { until }]
    }

    fn not_run(&mut self) -> Vec<ExecuteStep> {
        let (kind, retry_after) = self.refusal.unwrap_or((ErrorKind::NoBackend, None));
        let retry_after = retry_after.unwrap_or(self.settings.retry_after);
        self.finish(ExecuteOutcome::NotRun {
            kind,
            retry_after: Some(retry_after),
        })
    }

    fn unknown(&mut self, detail: &str) -> Vec<ExecuteStep> {
        self.finish(ExecuteOutcome::Unknown {
            kind: ErrorKind::OutcomeUnknown,
            detail: detail.into(),
        })
    }

    fn finish(&mut self, outcome: ExecuteOutcome) -> Vec<ExecuteStep> {
        self.state = State::Finished;
        vec![ExecuteStep::Finish(outcome)]
    }
}

/// Whether another server may take a request that was refused for this reason.
const fn may_go_elsewhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded | ErrorKind::Draining | ErrorKind::NotReady | ErrorKind::NoBackend
    )
}
