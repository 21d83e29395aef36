//! Non-idempotent requests: issues request keys, runs requests whose key this
//! daemon issued, and forwards requests whose key another daemon issued.

use std::{collections::HashMap, str::FromStr, time::Duration};

use futures_channel::oneshot;
use jasminepond_config::GroupKind;
use jasminepond_query::{
    Begin, ExecuteOutcome, ExecuteSettings, ExecuteStep, Execution, ExecutionAttempt, ExecutionId,
    KeyOrigin, RequestDigest, RequestKey,
};
use jasminepond_routing::AttemptOutcome;
use jasminepond_types::{ErrorKind, InstanceId, Millis, ParseIdError, ServerId, Timestamp};
use jasminepond_wire::{CallerRequest, Execute, Executed, ForwardExecute, ForwardExecuted, Frame};

use super::{
    Checked, Entry, ExecuteRequest, IssuedKeys, NOT_READY_RETRY_AFTER, Refusal, RequestParams,
    check, chooser::RequestChooser, rank, timers::Due,
};
use crate::net::link::LinkId;

type ReplySender = oneshot::Sender<Result<ExecuteOutcome, Refusal>>;

/// Time after its deadline at which a forwarded request is given up, so that the
/// answer that the issuer sends at the deadline still arrives.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

/// A receiver of the outcome of a request.
enum Waiter {
    /// A caller of this daemon.
    Caller(ReplySender),
    /// The link to the daemon that forwarded the request, and its id for it.
    Peer(LinkId, u64),
}

/// The current attempt of an execution.
struct Attempt {
    id: ExecutionAttempt,
    owner: InstanceId,
    server: ServerId,
    at: Timestamp,
}

struct Running {
    execution: Execution,
    checked: Checked,
    started: Timestamp,
    deadline: Timestamp,
    waiters: Vec<Waiter>,
    attempt: Option<Attempt>,
}

struct Forwarded {
    to: InstanceId,
    reply: ReplySender,
    deadline: Timestamp,
}

/// All non-idempotent requests in progress.
#[derive(Default)]
pub struct Executes {
    running: HashMap<ExecutionId, Running>,
    frames: HashMap<u64, ExecutionId>,
    forwarded: HashMap<u64, Forwarded>,
}

impl Executes {
    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty() && self.forwarded.is_empty()
    }

    /// Number of requests in progress.
    pub fn len(&self) -> usize {
        self.running.len() + self.forwarded.len()
    }
}

fn unknown_outcome(detail: &str) -> ExecuteOutcome {
    ExecuteOutcome::Unknown {
        kind: ErrorKind::OutcomeUnknown,
        detail: detail.into(),
    }
}

/// Converts a refusal to the outcome of the request.
fn refusal_outcome(refusal: &Refusal) -> ExecuteOutcome {
    ExecuteOutcome::error(refusal.kind, refusal.retry_after)
}

/// Value of [`CallerRequest::left`] if the caller sent no deadline.
const UNSET_DEADLINE: Millis = Millis(0);

/// Longest wait for the issuer's answer to a request without a deadline.
const DEFAULT_FORWARD_TIMEOUT: Millis = Millis(30_000);

/// Checks the parts of a request that do not depend on the configuration. An error
/// here occurs for every copy of the request, so the request has never run.
fn parse(req: ExecuteRequest) -> Result<(RequestKey, CallerRequest), Refusal> {
    let key = req
        .key
        .parse::<RequestKey>()
        .map_err(|err| Refusal::new(ErrorKind::InvalidKey, err.to_string()))?;
    if req.deadline == Some(UNSET_DEADLINE) {
        return Err(Refusal::new(ErrorKind::BadDeadline, "deadline_ms is 0"));
    }
    let request = CallerRequest {
        tenant: parse_id("tenant", &req.tenant)?,
        class: parse_id("class", &req.class)?,
        group: parse_id("group", &req.group)?,
        key: req.key.into(),
        operation: req.operation,
        left: req.deadline.unwrap_or(UNSET_DEADLINE),
    };
    Ok((key, request))
}

fn parse_id<T: FromStr<Err = ParseIdError>>(what: &str, text: &str) -> Result<T, Refusal> {
    text.parse()
        .map_err(|err| Refusal::new(ErrorKind::BadRequest, format!("{what}: {err}")))
}

impl Entry {
    pub(super) fn issue_keys(&mut self, tenant: &str, count: u32) -> Result<IssuedKeys, Refusal> {
        let config = self.ready_config()?;
        let now = self.cx.clock.now();
        let lifetime = Millis::from(self.keys.lifetime());
        let Some((tenant, _)) = config.tenants.get_key_value(tenant) else {
            let message = format!("tenant {tenant:?} is not configured");
            return Err(Refusal::new(ErrorKind::UnknownTenant, message));
        };
        let issued = self.keys.issue(now, tenant, count);
        let keys = issued.map_err(|refusal| Refusal {
            kind: refusal.kind,
            message: format!("{count} keys cannot be issued"),
            retry_after: refusal.retry_after,
        })?;
        Ok((keys, lifetime))
    }

    pub(super) fn on_execute(&mut self, req: ExecuteRequest, reply: ReplySender) {
        let (key, request) = match parse(req) {
            Ok(parsed) => parsed,
            Err(refusal) => {
                self.cx.metrics.refused(refusal.kind);
                let _ = reply.send(Err(refusal));
                return;
            }
        };
        match self.keys.classify(&key) {
            // Only the issuer knows whether an earlier copy of the request has run,
            // so all other checks are left to the issuer.
            KeyOrigin::OtherInstance { instance, .. } => self.forward(instance, request, reply),
            KeyOrigin::Own | KeyOrigin::EarlierIncarnation | KeyOrigin::Invalid => {
                self.begin(&key, request, Waiter::Caller(reply));
            }
        }
    }

    fn begin(&mut self, key: &RequestKey, request: CallerRequest, waiter: Waiter) {
        let now = self.cx.clock.now();
        let digest = RequestDigest::new(
            &request.tenant,
            &request.class,
            &request.group,
            &request.operation,
        );
        match self.keys.begin(now, key, &request.tenant, digest) {
            Begin::Run { execution } => self.run_execution(execution, request, waiter),
            Begin::Join { execution } => match self.executes.running.get_mut(&execution) {
                Some(running) => running.waiters.push(waiter),
                None => {
                    self.answer_waiter(waiter, unknown_outcome("the request is no longer followed"))
                }
            },
            Begin::Done(outcome) => self.answer_waiter(waiter, outcome),
            Begin::Refused(refusal) => {
                let message = "the key cannot be used for this request".to_owned();
                let (kind, retry_after) = (refusal.kind, refusal.retry_after);
                self.answer_waiter(
                    waiter,
                    refusal_outcome(&Refusal {
                        kind,
                        message,
                        retry_after,
                    }),
                );
            }
        }
    }

    /// Runs the request, or records the refusal under its key.
    fn run_execution(&mut self, id: ExecutionId, request: CallerRequest, waiter: Waiter) {
        let now = self.cx.clock.now();
        let checked = match self.check_execute(request) {
            Ok(checked) => checked,
            Err(refusal) => {
                let outcome = refusal_outcome(&refusal);
                self.keys.finish(now, id, outcome.clone());
                return self.answer_waiter(waiter, outcome);
            }
        };
        let deadline = now + checked.caller.left.duration();
        let group = checked.config.groups.get(&checked.caller.group);
        let servers = group
            .map(|group| group.servers.as_slice())
            .unwrap_or_default();
        let settings = ExecuteSettings {
            hop_allowance: checked.config.routing.hop_allowance_ms.duration(),
            ..ExecuteSettings::default()
        };
        let execution = Execution::new(id, servers.into(), deadline, settings);
        let running = Running {
            execution,
            checked,
            started: now,
            deadline,
            waiters: vec![waiter],
            attempt: None,
        };
        self.executes.running.insert(id, running);
        self.drive_execution(id, |execution, now, chooser| execution.start(now, chooser));
    }

    fn check_execute(&self, request: CallerRequest) -> Result<Checked, Refusal> {
        let config = self.ready_config()?;
        if !self.confirmed {
            let refusal = Refusal::new(ErrorKind::NotReady, "this daemon has just resumed");
            return Err(refusal.retry_after(NOT_READY_RETRY_AFTER));
        }
        let params = RequestParams {
            tenant: request.tenant.as_str(),
            class: request.class.as_str(),
            group: request.group.as_str(),
            deadline: (request.left != UNSET_DEADLINE).then_some(request.left),
        };
        let checked = check(config, &params, GroupKind::Execute)?;
        let tenant = &checked.caller.tenant;
        let running = self.executes.running.values();
        let of_tenant = running.filter(|running| running.checked.caller.tenant == *tenant);
        self.check_limits(&checked, of_tenant.count())?;
        let left = checked.caller.left;
        Ok(Checked {
            caller: CallerRequest { left, ..request },
            ..checked
        })
    }

    /// Passes an event to the state machine of an execution and performs the
    /// returned steps.
    fn drive_execution(
        &mut self,
        id: ExecutionId,
        event: impl FnOnce(&mut Execution, Timestamp, &mut RequestChooser<'_>) -> Vec<ExecuteStep>,
    ) {
        let now = self.cx.clock.now();
        let Some(running) = self.executes.running.get_mut(&id) else {
            return;
        };
        let group = running.checked.caller.group.clone();
        let mut chooser = RequestChooser {
            routing: &mut self.routing,
            group: &group,
            rank: rank(running.checked.priority),
            deadline: running.deadline,
        };
        for step in event(&mut running.execution, now, &mut chooser) {
            match step {
                ExecuteStep::Send {
                    attempt,
                    server,
                    time_left,
                } => {
                    self.send_execute(now, id, attempt, server, time_left);
                }
                ExecuteStep::Wait { until } => self.timers.add(until, Due::Execution(id)),
                ExecuteStep::Finish(outcome) => self.finish_execution(now, id, outcome),
            }
        }
    }

    fn send_execute(
        &mut self,
        now: Timestamp,
        id: ExecutionId,
        attempt: ExecutionAttempt,
        server: ServerId,
        left: Millis,
    ) {
        let owner = self.owner(&server);
        let frame_id = self.new_id();
        let Some(running) = self.executes.running.get_mut(&id) else {
            return;
        };
        let caller = &running.checked.caller;
        let frame = Execute {
            id: frame_id,
            tenant: caller.tenant.clone(),
            class: caller.class.clone(),
            priority: running.checked.priority,
            weight: running.checked.weight,
            group: caller.group.clone(),
            server: server.clone(),
            key: caller.key.clone(),
            operation: caller.operation.clone(),
            left,
        };
        running.attempt = Some(Attempt {
            id: attempt,
            owner: owner.clone(),
            server: server.clone(),
            at: now,
        });
        self.routing.replicas.record_sent(now, &server);
        self.executes.frames.insert(frame_id, id);
        (self.cx.send)(owner, Frame::Execute(frame));
    }

    /// Removes the attempt that a frame belongs to, if it is the current one.
    fn take_attempt(&mut self, frame_id: u64) -> Option<(ExecutionId, Attempt)> {
        let id = self.executes.frames.remove(&frame_id)?;
        let running = self.executes.running.get_mut(&id)?;
        Some((id, running.attempt.take()?))
    }

    pub(super) fn on_executed(&mut self, from: &InstanceId, executed: Executed) {
        let now = self.cx.clock.now();
        let from_owner = self.executes.frames.get(&executed.id).and_then(|id| {
            let running = self.executes.running.get(id)?;
            running
                .attempt
                .as_ref()
                .map(|attempt| attempt.owner == *from)
        });
        if from_owner != Some(true) {
            return;
        }
        let Some((id, attempt)) = self.take_attempt(executed.id) else {
            return;
        };
        let outcome = match &executed.outcome {
            ExecuteOutcome::Done { .. } => AttemptOutcome::Done,
            ExecuteOutcome::NotRun { .. } => AttemptOutcome::NotRun,
            ExecuteOutcome::Unknown { .. } => AttemptOutcome::Lost,
        };
        self.routing
            .replicas
            .record_outcome(now, &attempt.server, now.since(attempt.at), outcome);
        self.drive_execution(id, |execution, now, chooser| {
            execution.on_outcome(now, chooser, attempt.id, executed.outcome)
        });
    }

    pub(super) fn on_execute_not_sent(&mut self, frame_id: u64) {
        self.execute_not_sent(frame_id, ErrorKind::NoBackend);
    }

    pub(super) fn on_execute_busy(&mut self, frame_id: u64) {
        self.execute_not_sent(frame_id, ErrorKind::Overloaded);
    }

    fn execute_not_sent(&mut self, frame_id: u64, kind: ErrorKind) {
        let now = self.cx.clock.now();
        let Some((id, attempt)) = self.take_attempt(frame_id) else {
            return;
        };
        self.routing.replicas.record_outcome(
            now,
            &attempt.server,
            Duration::ZERO,
            AttemptOutcome::Cancelled,
        );
        let outcome = ExecuteOutcome::NotRun {
            kind,
            retry_after: None,
        };
        self.drive_execution(id, |execution, now, chooser| {
            execution.on_outcome(now, chooser, attempt.id, outcome)
        });
    }

    pub(super) fn on_execute_owner_lost(&mut self, owner: &InstanceId) {
        let lost = |(id, running): (&ExecutionId, &Running)| {
            let attempt = running.attempt.as_ref()?;
            (attempt.owner == *owner).then_some((*id, attempt.id))
        };
        let lost: Vec<_> = self.executes.running.iter().filter_map(lost).collect();
        for (id, attempt) in lost {
            self.drive_execution(id, |execution, _, _| execution.on_link_lost(attempt));
        }
        let forwarded =
            |(id, forwarded): (&u64, &Forwarded)| (forwarded.to == *owner).then_some(*id);
        let forwarded: Vec<u64> = self
            .executes
            .forwarded
            .iter()
            .filter_map(forwarded)
            .collect();
        for id in forwarded {
            self.on_forward_lost(id);
        }
    }

    pub(super) fn on_executes_resumed(&mut self) {
        let ids: Vec<_> = self.executes.running.keys().copied().collect();
        for id in ids {
            self.drive_execution(id, |execution, _, _| execution.on_resumed());
        }
    }

    pub(super) fn on_execution_timer(&mut self, id: ExecutionId) {
        self.drive_execution(id, |execution, now, chooser| {
            execution.on_tick(now, chooser)
        });
    }

    fn finish_execution(&mut self, now: Timestamp, id: ExecutionId, outcome: ExecuteOutcome) {
        self.keys.finish(now, id, outcome.clone());
        let Some(running) = self.executes.running.remove(&id) else {
            return;
        };
        self.executes.frames.retain(|_, execution| *execution != id);
        if let Some(attempt) = running.attempt {
            let latency = now.since(attempt.at);
            self.routing.replicas.record_outcome(
                now,
                &attempt.server,
                latency,
                AttemptOutcome::Lost,
            );
        }
        let caller = &running.checked.caller;
        let seconds = now.since(running.started).as_secs_f64();
        self.cx
            .metrics
            .executed(&caller.tenant, &caller.class, seconds, &outcome);
        for waiter in running.waiters {
            self.answer_waiter(waiter, outcome.clone());
        }
    }

    fn answer_waiter(&mut self, waiter: Waiter, outcome: ExecuteOutcome) {
        match waiter {
            Waiter::Caller(reply) => {
                let _ = reply.send(Ok(outcome));
            }
            Waiter::Peer(link, id) => {
                let frame = Frame::ForwardExecuted(ForwardExecuted { id, outcome });
                (self.cx.reply)(link, frame);
            }
        }
    }

    fn forward(&mut self, to: InstanceId, request: CallerRequest, reply: ReplySender) {
        let id = self.new_id();
        let now = self.cx.clock.now();
        let requested = (request.left != UNSET_DEADLINE).then_some(request.left);
        let allowance = self
            .config
            .as_ref()
            .map(|config| config.routing.hop_allowance_ms)
            .unwrap_or_default();
        let left = match requested {
            Some(left) => Millis(left.0.saturating_sub(allowance.0).max(1)),
            None => UNSET_DEADLINE,
        };
        let deadline =
            now + requested.unwrap_or(DEFAULT_FORWARD_TIMEOUT).duration() + FORWARD_GRACE;
        let request = CallerRequest { left, ..request };
        self.executes.forwarded.insert(
            id,
            Forwarded {
                to: to.clone(),
                reply,
                deadline,
            },
        );
        self.timers.add(deadline, Due::Forward(id));
        (self.cx.send)(to, Frame::ForwardExecute(ForwardExecute { id, request }));
    }

    /// Runs a request forwarded by the daemon at the other end of a link.
    pub(super) fn on_forwarded(&mut self, link: LinkId, forward: ForwardExecute) {
        let waiter = Waiter::Peer(link, forward.id);
        match forward.request.key.parse::<RequestKey>() {
            Ok(key) => self.begin(&key, forward.request, waiter),
            Err(err) => {
                let refusal = Refusal::new(ErrorKind::InvalidKey, err.to_string());
                self.answer_waiter(waiter, refusal_outcome(&refusal));
            }
        }
    }

    pub(super) fn on_forward_executed(&mut self, from: &InstanceId, executed: ForwardExecuted) {
        let pending = self.executes.forwarded.get(&executed.id);
        if pending.is_none_or(|forwarded| forwarded.to != *from) {
            return;
        }
        if let Some(forwarded) = self.executes.forwarded.remove(&executed.id) {
            let _ = forwarded.reply.send(Ok(executed.outcome));
        }
    }

    /// Answers a forwarded request whose issuer cannot be reached. The outcome is
    /// unknown even if this copy was not sent, since an earlier one may have run.
    pub(super) fn on_forward_lost(&mut self, id: u64) {
        if let Some(forwarded) = self.executes.forwarded.remove(&id) {
            let outcome = unknown_outcome("the daemon that issued the key cannot be reached");
            let _ = forwarded.reply.send(Ok(outcome));
        }
    }

    pub(super) fn on_forward_timer(&mut self, id: u64) {
        let now = self.cx.clock.now();
        if self
            .executes
            .forwarded
            .get(&id)
            .is_some_and(|f| f.deadline <= now)
        {
            self.on_forward_lost(id);
        }
    }
}
