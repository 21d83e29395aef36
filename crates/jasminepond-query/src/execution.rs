//! Execution of a non-idempotent request at the daemon that issued its key.

use std::{sync::Arc, time::Duration};

use jasminepond_types::{ErrorKind, Millis, RunStatus, ServerId, Timestamp};
use jasminepond_wire::ExecuteOutcome;

use crate::{Candidates, Choice, ExecutionId};

/// Minimum delay before the chooser is called again.
const MIN_WAIT: Duration = Duration::from_micros(500);

/// Settings of an [`Execution`].
#[derive(Debug, Clone)]
pub struct ExecuteSettings {
    /// Maximum number of attempts. Each goes to another server, after a certain
    /// "not run" of the previous one.
    pub max_attempts: u32,
    /// Subtracted from the time that the owner is given, so that its "deadline
    /// passed, not run" arrives before this daemon's own deadline.
    pub hop_allowance: Duration,
    /// Retry time reported with "not run" if no server gave one.
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

/// Decisions based on state that requests share.
pub trait ExecuteChooser {
    /// Chooses the server of the next attempt.
    fn choose(&mut self, now: Timestamp, candidates: Candidates<'_>) -> Choice;

    /// Whether a retry may be sent to `server` now. Draws on the retry budget.
    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool;
}

/// Identifies one attempt: one send of the request to an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ExecutionAttempt {
    /// The execution that it belongs to.
    pub execution: ExecutionId,
    /// Number within the execution, starting at 1.
    pub number: u32,
}

/// Action that the caller of an [`Execution`] carries out, in the order returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteStep {
    /// Send the request to the owner of `server`. If it certainly was not sent,
    /// report the outcome "not run"; if the link broke and it may have been sent,
    /// call [`Execution::on_link_lost`].
    Send {
        /// Identifies the attempt when its outcome is reported.
        attempt: ExecutionAttempt,
        /// Server that runs the request.
        server: ServerId,
        /// Time that the owner has for the request.
        time_left: Millis,
    },
    /// Call [`Execution::on_tick`] at this time, which replaces the previous one.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The request is finished. Returned exactly once, as the last step of all.
    Finish(ExecuteOutcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    New,
    /// Not sent yet, or certainly not run by the last server; needs a server.
    Waiting,
    /// Sent to an owner; may have run.
    Sent,
    Finished,
}

/// One run of a request key. At most one server has the request at a time, and
/// the next one is tried only after a certain "not run". Requests are never
/// hedged.
#[derive(Debug)]
pub struct Execution {
    id: ExecutionId,
    servers: Arc<[ServerId]>,
    deadline: Timestamp,
    settings: ExecuteSettings,
    state: State,
    tried: Vec<usize>,
    attempts: u32,
    /// Kind and retry time of the last certain "not run".
    refusal: Option<(ErrorKind, Option<Millis>)>,
    /// Time last returned in [`ExecuteStep::Wait`].
    wait: Option<Timestamp>,
}

impl Execution {
    /// Creates an execution that has not started. `servers` are all servers of the
    /// group.
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

    /// Identifies this run of the request key.
    pub fn id(&self) -> ExecutionId {
        self.id
    }

    /// Whether [`ExecuteStep::Finish`] was returned.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Starts the first attempt. Has no effect when called again.
    pub fn start(&mut self, now: Timestamp, chooser: &mut dyn ExecuteChooser) -> Vec<ExecuteStep> {
        if self.state != State::New {
            return Vec::new();
        }
        self.state = State::Waiting;
        self.try_send(now, chooser)
    }

    /// Handles the outcome reported by the owner, or "not run" for a request that
    /// certainly was not sent. Only the first outcome of the current attempt
    /// counts.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn ExecuteChooser,
        attempt: ExecutionAttempt,
        outcome: ExecuteOutcome,
    ) -> Vec<ExecuteStep> {
        if !self.is_current(attempt) {
            return Vec::new();
        }
        match outcome {
            ExecuteOutcome::NotRun { kind, .. } if kind.response().run == RunStatus::Unknown => {
                self.finish_unknown("the owner refused with a kind that may have run")
            }
            ExecuteOutcome::NotRun { kind, retry_after } => {
                self.state = State::Waiting;
                self.refusal = Some((kind, retry_after));
                if may_try_another_server(kind) {
                    self.try_send(now, chooser)
                } else {
                    self.finish_not_run()
                }
            }
            outcome => self.finish(outcome),
        }
    }

    /// Handles the loss of the link after the request may have been sent.
    pub fn on_link_lost(&mut self, attempt: ExecutionAttempt) -> Vec<ExecuteStep> {
        if !self.is_current(attempt) {
            return Vec::new();
        }
        self.finish_unknown("the link to the owner broke")
    }

    /// Handles the timer: chooses again if no server was available, and finishes
    /// at the deadline.
    pub fn on_tick(
        &mut self,
        now: Timestamp,
        chooser: &mut dyn ExecuteChooser,
    ) -> Vec<ExecuteStep> {
        self.wait = None;
        match self.state {
            State::Waiting => self.try_send(now, chooser),
            State::Sent if now >= self.deadline => {
                self.finish_unknown("no outcome before the deadline")
            }
            State::Sent => self.wait_until(self.deadline),
            State::New | State::Finished => Vec::new(),
        }
    }

    /// Handles the resumption of the process after a pause. Its links are closed,
    /// so the outcome of a request that was sent cannot arrive; one that was not
    /// sent is finished as "not run".
    pub fn on_resumed(&mut self) -> Vec<ExecuteStep> {
        match self.state {
            State::Sent => self.finish_unknown("the daemon was paused"),
            State::New | State::Waiting => {
                self.refusal = Some((ErrorKind::NotReady, None));
                self.finish_not_run()
            }
            State::Finished => Vec::new(),
        }
    }

    fn is_current(&self, attempt: ExecutionAttempt) -> bool {
        self.state == State::Sent && attempt.execution == self.id && attempt.number == self.attempts
    }

    fn try_send(&mut self, now: Timestamp, chooser: &mut dyn ExecuteChooser) -> Vec<ExecuteStep> {
        let time_left = self
            .deadline
            .since(now)
            .saturating_sub(self.settings.hop_allowance);
        // Rounded down, so that the owner never assumes more time than there is.
        let time_left = Millis(u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX));
        if time_left == Millis(0) {
            self.refusal = Some((ErrorKind::DeadlineNotRun, None));
            return self.finish_not_run();
        }
        if self.attempts >= self.settings.max_attempts {
            return self.finish_not_run();
        }
        let candidates = Candidates::new(&self.servers, &self.tried);
        match chooser.choose(now, candidates) {
            Choice::Use(index) if candidates.contains(index) => {
                let retry = self.attempts > 0;
                if retry && !chooser.may_retry(now, &self.servers[index]) {
                    return self.finish_not_run();
                }
                self.send(index, time_left)
            }
            Choice::Wait { until } => {
                let latest_send = self.deadline - self.settings.hop_allowance;
                self.wait_until(until.max(now + MIN_WAIT).min(latest_send))
            }
            Choice::Use(_) | Choice::None(_) => self.finish_not_run(),
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

    fn finish_not_run(&mut self) -> Vec<ExecuteStep> {
        let (kind, retry_after) = self.refusal.unwrap_or((ErrorKind::NoBackend, None));
        let retry_after = retry_after.unwrap_or(self.settings.retry_after);
        self.finish(ExecuteOutcome::NotRun {
            kind,
            retry_after: Some(retry_after),
        })
    }

    fn finish_unknown(&mut self, detail: &str) -> Vec<ExecuteStep> {
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

/// Whether a request refused with this kind may be sent to another server.
const fn may_try_another_server(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded | ErrorKind::Draining | ErrorKind::NotReady | ErrorKind::NoBackend
    )
}
