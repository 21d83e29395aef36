//! Responses, failures and the end of requests.

use jasminepond_types::{ErrorKind, Millis, Timestamp};

use super::{Call, Forwarder};
use crate::{
    merge::merge_top_k,
    message::{
        Action, Answer, CallKey, LostCall, Refusal, Reply, ReqKey, RetryAfter, ServerEvent,
        Summary, Verdict,
    },
    request::{Destination, Part, PartState, Req},
    server::{Reach, ServerKey},
    timers::Timer,
};

/// Statuses by which this tier promises that a request has not run. A response
/// that bears one without that promise is not passed on.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses with which a server turns a request away and may say for how long.
const TURNED_AWAY: [u16; 2] = [429, 503];

/// When a caller should come back that was refused because servers were busy:
/// about the time in which their queues empty.
const RETRY_WHEN_BUSY: Millis = Millis(120);

/// Sends of one part beyond its allowed runs, for servers that rejected it.
const EXTRA_SENDS: u32 = 1;

impl Forwarder {
    /// Takes a call out of the books.
    fn take_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(key)?;
        if let Some(server) = self.servers.get_mut(call.server) {
            server.calls.retain(|other| *other != key);
        }
        if let Some(req) = self.reqs.get_mut(call.req) {
            req.parts[call.part].calls.retain(|other| *other != key);
        }
        Some(call)
    }

    pub(super) fn call_replied(&mut self, now: Timestamp, key: CallKey, reply: Reply) {
        let Some(call) = self.take_call(key) else {
            return;
        };
        let latency = now.since(call.sent);
        if reply.is_success() && !call.delegated {
            call.route.stats.latency.borrow_mut().observe(now, latency);
        }
        if let Some(server) = self.servers.get_mut(call.server) {
            let full = server.calls.len() + 1 >= server.window_size(&self.settings);
            match reply.not_run {
                true => server.window.rejected(),
                false => server.window.answered(latency, &call.route.stats, full),
            }
        }
        let not_run = reply.not_run || reply.wrong_server;
        if !call.delegated {
            self.heed(now, call.server, &reply);
        }
        if let Some(server) = self.servers.get_mut(call.server) {
            if reply.is_success() {
                let usual = if call.delegated {
                    latency
                } else {
                    call.route.stats.latency.borrow().median()
                };
                if server.answered(now, latency, usual, &self.settings) {
                    self.log_server_event(call.server, ServerEvent::Recovered);
                }
            } else if reply.wrong_server {
                server.displaced = true;
                self.log_server_event(call.server, ServerEvent::AddressTaken);
            } else if reply.not_run {
                server.full(now, &self.settings);
            } else {
                server.failed(now, &self.settings);
            }
        }
        let Some(req) = self.reqs.get_mut(call.req) else {
            return;
        };
        let part = &mut req.parts[call.part];
        if not_run {
            part.runs = part.runs.saturating_sub(1);
        }
        if !part.is_open() {
            return;
        }
        if reply.is_success() {
            let missing = reply.missing.min(part.weight);
            req.done += part.weight - missing;
            req.missing += missing;
            part.state = PartState::Done(reply);
            if let Some(server) = self.servers.get(call.server) {
                req.last_server = Some(server.backend.id.clone());
            }
        } else if call.delegated && not_run {
            self.ask_again(now, call.req, call.part);
        } else if call.delegated {
            self.part_missing(call.req, call.part, "helper_failed");
        } else if not_run {
            self.retry(now, &call, "rejected");
        } else {
            part.failure = Some(reply);
            self.retry(now, &call, "failed");
        }
        self.settle(now, call.req);
    }

    /// Does what a server asks for in its response: one that stops gets no new requests,
    /// and one that wants none for a time gets none until then.
    fn heed(&mut self, now: Timestamp, key: ServerKey, reply: &Reply) {
        let Some(server) = self.servers.get_mut(key).filter(|_| !reply.wrong_server) else {
            return;
        };
        if reply.leaving && server.announce_stop(now) {
            let end = now + self.settings.leave_grace();
            self.timers.set(end, Timer::Server(key));
            self.log_server_event(key, ServerEvent::Stopping);
        }
        if !TURNED_AWAY.contains(&reply.status) {
            return;
        }
        match reply.retry_after {
            Some(RetryAfter::Wait(wait)) => {
                self.keep_quiet(key, now + wait);
                self.log_server_event(key, ServerEvent::BackOff { wait });
            }
            Some(RetryAfter::Invalid) => self.log_server_event(key, ServerEvent::InvalidRetryAfter),
            None => {}
        }
    }

    /// Sends no requests to a server until then.
    pub(super) fn keep_quiet(&mut self, key: ServerKey, until: Timestamp) {
        self.servers[key].keep_quiet(until);
        self.timers.set(until, Timer::Server(key));
    }

    pub(super) fn call_lost(&mut self, now: Timestamp, key: CallKey, lost: LostCall) {
        let Some(call) = self.take_call(key) else {
            return;
        };
        if lost == LostCall::MayHaveRun
            && let Some(server) = self.servers.get_mut(call.server)
        {
            server.failed(now, &self.settings);
        }
        let Some(req) = self.reqs.get_mut(call.req) else {
            return;
        };
        let part = &mut req.parts[call.part];
        if lost == LostCall::NotSent {
            part.runs = part.runs.saturating_sub(1);
        }
        if part.is_open() && call.delegated {
            match lost {
                LostCall::NotSent => self.ask_again(now, call.req, call.part),
                LostCall::MayHaveRun => self.repeat_part(now, call.req, call.part),
            }
        } else if part.is_open() {
            self.retry(now, &call, "connection_lost");
        }
        self.settle(now, call.req);
    }

    /// Sends a part again whose call has ended without success, if it may be.
    fn retry(&mut self, now: Timestamp, call: &Call, reason: &'static str) {
        let req = &mut self.reqs[call.req];
        let part = &req.parts[call.part];
        if !part.calls.is_empty() || matches!(part.state, PartState::Waiting) {
            // Another call may still bring the response.
            return;
        }
        let most = req.route.route.max_attempts;
        let may_run_again = part.runs == 0 || (req.route.may_repeat() && part.runs < most);
        if !may_run_again || part.sends >= most + EXTRA_SENDS || now >= req.deadline {
            self.part_missing(call.req, call.part, reason);
            return;
        }
        if self.take_token(now, call.req, call.part) {
            self.place(now, call.req, call.part);
        }
    }

    /// Takes a token for a repeated send of a part, or counts the part as missing.
    pub(super) fn take_token(&mut self, now: Timestamp, key: ReqKey, index: usize) -> bool {
        let service = self.reqs[key].parts[index].service;
        let taken = self.services[service].budget.try_take(now);
        if !taken {
            self.reqs[key].over_budget += 1;
            self.part_missing(key, index, "budget");
        }
        taken
    }

    pub(super) fn part_missing(&mut self, key: ReqKey, index: usize, reason: &'static str) {
        let req = &mut self.reqs[key];
        let part = &mut req.parts[index];
        if part.is_open() {
            part.state = PartState::Missing(reason);
            req.missing += part.weight;
        }
    }

    /// A server or all connections to it may be silent: only a new connection shows
    /// whether it answers.
    pub(super) fn connect_anew(&mut self, now: Timestamp, server: ServerKey) {
        self.close_idle(server);
        let state = &mut self.servers[server];
        if state.conns.is_empty() && state.reach == Reach::Open {
            state.reach = Reach::Down { until: now };
            self.timers.set(now, Timer::Server(server));
        }
    }

    /// A call has taken too long, or its caller has left.
    pub(super) fn on_call_timeout(&mut self, now: Timestamp, key: CallKey, abandoned: bool) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (conn, server, search) = (call.conn, call.server, call.route.is_search());
        self.close_conn(conn);
        if search && !abandoned {
            self.connect_anew(now, server);
        }
        let service = self.servers[server].service;
        self.call_lost(now, key, LostCall::MayHaveRun);
        self.place_waiting(now, service);
    }

    /// The objective of a search is near: it is answered as soon as it may be.
    pub(super) fn on_objective(&mut self, now: Timestamp, key: ReqKey) {
        if let Some(req) = self.reqs.get_mut(key) {
            req.overdue = true;
            self.settle(now, key);
        }
    }

    /// A request that no server could take by now is refused.
    pub(super) fn on_wait_limit(&mut self, now: Timestamp, key: ReqKey) {
        let waits = |req: &Req| req.parts.iter().all(|part| part.sends == 0);
        if self.reqs.get(key).is_some_and(waits) {
            self.refuse(now, key, ErrorKind::Overloaded, Some(RETRY_WHEN_BUSY));
        }
    }

    pub(super) fn on_deadline(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        if req.route.is_search() && req.done >= req.least {
            self.answer_search(now, key);
        } else {
            self.fail(now, key, ErrorKind::Overloaded);
        }
    }

    /// Answers a request if its outcome is decided.
    pub(super) fn settle(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        let (parts, least) = (req.shards, req.least);
        let open = parts - req.done - req.missing;
        if !req.route.is_search() {
            if open == 0 {
                self.answer_single(now, key);
            }
        } else if req.done >= least && (open == 0 || req.overdue) {
            self.answer_search(now, key);
        } else if parts - req.missing < least || open == 0 {
            self.fail(now, key, ErrorKind::NoBackend);
        }
    }

    fn answer_single(&mut self, now: Timestamp, key: ReqKey) {
        let Some(part) = self.reqs[key].parts.first_mut() else {
            return self.fail(now, key, ErrorKind::NoBackend);
        };
        if let PartState::Done(reply) = &part.state {
            let answer = Answer::Forwarded(reply.clone());
            return self.end(now, key, Some(answer), Verdict::Served);
        }
        match part.failure.take().filter(passes_on) {
            Some(reply) => {
                let answer = Answer::Forwarded(reply);
                self.end(now, key, Some(answer), Verdict::ServerFailed);
            }
            None => self.fail(now, key, ErrorKind::Overloaded),
        }
    }

    fn answer_search(&mut self, now: Timestamp, key: ReqKey) {
        let req = &self.reqs[key];
        let Destination::Search { top_k, .. } = req.route.destination else {
            return;
        };
        let done = |part: &Part| match &part.state {
            PartState::Done(reply) => reply.stamp.clone().map(|s| (s, reply.body.clone())),
            _ => None,
        };
        let (stamps, bodies): (Vec<_>, Vec<_>) = req.parts.iter().filter_map(done).unzip();
        let missing = req.shards - req.done;
        let body = merge_top_k(bodies.iter().map(|body| &body[..]), top_k);
        let verdict = if missing == 0 {
            Verdict::Served
        } else {
            Verdict::Partial
        };
        let answer = Answer::Merged {
            stamps,
            missing,
            body,
        };
        self.end(now, key, Some(answer), verdict);
    }

    /// Ends a request without success: refused with `kind` if it has certainly
    /// not run, else as one whose outcome is not known.
    fn fail(&mut self, now: Timestamp, key: ReqKey, kind: ErrorKind) {
        let req = &self.reqs[key];
        if req.not_run() {
            let retry_after = match kind {
                ErrorKind::NoBackend => self.back_in(now, key),
                _ => RETRY_WHEN_BUSY,
            };
            self.refuse(now, key, kind, Some(retry_after));
        } else {
            let refusal = Refusal {
                kind: ErrorKind::OutcomeUnknown,
                retry_after: None,
            };
            self.end(now, key, Some(Answer::Refused(refusal)), Verdict::Failed);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        kind: ErrorKind,
        retry_after: Option<Millis>,
    ) {
        let refusal = Refusal { kind, retry_after };
        self.end(now, key, Some(Answer::Refused(refusal)), Verdict::Refused);
    }

    /// Forgets a request. `answer` is `None` if its caller has left.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        answer: Option<Answer>,
        verdict: Verdict,
    ) {
        let Some(req) = self.reqs.remove(key) else {
            return;
        };
        let reason = |part: &Part| {
            let reason = match &part.state {
                PartState::Done(_) => return None,
                PartState::Missing(_) if part.weight == 0 => return None,
                PartState::Missing(reason) => reason,
                PartState::Waiting => "not_sent",
                PartState::Sent => "late",
            };
            let service = &self.services[part.service];
            let known = service.servers.len();
            let usable = service.servers.iter();
            let usable = usable
                .filter(|key| self.servers[**key].standing(now, &self.settings).is_some())
                .count();
            Some(format!("{}:{reason}:{usable}/{known}", service.name))
        };
        let missing = match verdict {
            Verdict::Served => Vec::new(),
            _ => req.parts.iter().filter_map(reason).collect(),
        };
        let summary = Summary {
            verdict,
            route: req.route.route.name.clone(),
            version: req.route.version(),
            took: now.since(req.arrived),
            sends: req.parts.iter().map(|part| part.sends).sum(),
            repeats: req.repeats,
            over_budget: req.over_budget,
            missing,
            server: req.last_server,
        };
        self.actions.push_back(Action::Answer {
            req: key,
            answer,
            summary,
        });
    }
}

/// Whether a server's failure may be passed on unchanged.
fn passes_on(reply: &Reply) -> bool {
    !reply.encoded && !(200..300).contains(&reply.status) && !PROMISES.contains(&reply.status)
}
