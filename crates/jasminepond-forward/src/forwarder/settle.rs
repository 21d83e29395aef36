//! Handling of responses and failures, and completion of requests.

use std::rc::Rc;

use jasminepond_types::{ErrorKind, Millis, Timestamp};

use super::{Call, Forwarder, limits::LIMITED, suspects::SUSPECTED};
use crate::{
    merge::merge_top_k,
    message::{
        Action, Answer, CallKey, LostCall, Refusal, Reply, ReqKey, RetryAfter, ServerEvent,
        Summary, Verdict,
    },
    request::{Delegated, Destination, Part, PartState, Req},
    server::{Reachability, ServerKey},
    timers::Timer,
};

/// Statuses that tell a caller that its request has not run. A server's error response
/// with such a status is not forwarded, because the request may have run there.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Statuses with which a server rejects a request, with an optional `Retry-After`.
const REJECTION_STATUSES: [u16; 2] = [429, 503];

/// `Retry-After` of requests that are refused because servers are busy: about the time
/// in which their queues drain.
const RETRY_WHEN_BUSY: Millis = Millis(120);

/// Sends of one part beyond `max_attempts`, to make up for rejected ones.
const EXTRA_SENDS: u32 = 1;

impl Forwarder {
    /// Removes a call from its server and its request.
    pub(super) fn take_call(&mut self, key: CallKey) -> Option<Call> {
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
        let window = self.window_for(now, call.server, call.route.route.priority);
        if let Some(server) = self.servers.get_mut(call.server) {
            let full = server.calls.len() + 1 >= window;
            match reply.not_run {
                true => server.window.rejected(),
                false => server.window.answered(latency, &call.route.stats, full),
            }
        }
        let not_run = reply.not_run || reply.wrong_server;
        match self.answering_server(&call, &reply) {
            Some(server) if !reply.wrong_server => {
                self.apply_restrictions(now, server, &reply);
                self.observe_limit(now, server, call.sent, reply.rate_limit);
            }
            _ => {}
        }
        if !call.delegated && !reply.wrong_server {
            self.observe_load(now, call.server, reply.server_load);
        }
        if let Some(peer) = reply.peer.as_ref().filter(|_| call.delegated) {
            self.newest_release = self.newest_release.max(peer.release);
            if let Some(report) = &peer.load {
                let asked = self.shards_asked(&call);
                self.on_load_report(now, &call.route, &asked, report);
            }
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
                server.address_taken = true;
                self.log_server_event(call.server, ServerEvent::AddressTaken);
            } else if reply.not_run {
                server.rejected(now, &self.settings);
            } else {
                server.failed(now, &self.settings);
            }
        }
        let Some(req) = self.reqs.get_mut(call.req) else {
            return;
        };
        let part = &mut req.parts[call.part];
        let (service, is_search_part) = (part.service, !call.delegated && call.route.is_search());
        if not_run {
            part.runs = part.runs.saturating_sub(1);
        }
        if !part.is_open() {
            return;
        }
        let has_other_terms = call.delegated && !call.route.is_route_of(&reply);
        let suspects = reply.peer.as_ref().is_some_and(|peer| peer.suspects);
        if suspects && !reply.is_success() {
            self.on_peer_suspects(now, call.req, call.part, &reply);
        } else if reply.is_success() && has_other_terms {
            // Only builds before the terms of searches use others than those they are sent.
            self.retry_delegated(now, call.req, call.part);
        } else if reply.is_success() {
            let missing = reply.missing.min(part.weight);
            req.done += part.weight - missing;
            req.missing += missing;
            part.state = PartState::Done(reply);
            if let Some(server) = self.servers.get(call.server) {
                req.last_server = Some(server.backend.id.clone());
            }
            if is_search_part {
                self.services[service].load.on_answered();
            }
            self.on_part_answered(now, call.req, call.part);
        } else if call.delegated && not_run {
            if let Some(RetryAfter::Wait(wait)) = reply.retry_after {
                req.retry_after = req.retry_after.max(wait);
            }
            self.try_next_helper(now, call.req, call.part);
        } else if call.delegated && reply.stamp.is_some() {
            part.failure = Some(reply);
            self.mark_missing(call.req, call.part, "failed");
        } else if call.delegated {
            self.retry_delegated(now, call.req, call.part);
        } else if not_run {
            self.retry(now, &call, "rejected");
        } else {
            part.failure = Some(reply);
            self.retry(now, &call, "failed");
        }
        self.settle(now, call.req);
        self.review_request(now, call.req);
    }

    /// Indexes of the shards that a call to another daemon covers.
    fn shards_asked(&self, call: &Call) -> Rc<[usize]> {
        let req = self.reqs.get(call.req);
        let part = req.and_then(|req| req.parts[call.part].delegated.clone());
        match part {
            Some(Delegated::Shards(shards)) => shards,
            _ => [].into(),
        }
    }

    /// The backend server that wrote a response, also if another daemon forwards it.
    fn answering_server(&self, call: &Call, reply: &Reply) -> Option<ServerKey> {
        if !call.delegated {
            return Some(call.server);
        }
        let id = reply.peer.as_ref()?.server.as_ref()?;
        self.servers_by_id.get(id).copied()
    }

    /// Applies the restrictions that a server states in its response: a stopping server
    /// gets no new requests, and one that sends `Retry-After` gets none until then.
    fn apply_restrictions(&mut self, now: Timestamp, key: ServerKey, reply: &Reply) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if reply.leaving && server.set_stopping(now) {
            let end = now + self.settings.leave_grace();
            self.timers.set(end, Timer::Server(key));
            self.log_server_event(key, ServerEvent::Stopping);
        }
        if !REJECTION_STATUSES.contains(&reply.status) {
            return;
        }
        match reply.retry_after {
            Some(RetryAfter::Wait(wait)) => {
                self.back_off(key, now + wait);
                self.log_server_event(key, ServerEvent::BackOff { wait });
            }
            Some(RetryAfter::Invalid) => self.log_server_event(key, ServerEvent::InvalidRetryAfter),
            None => {}
        }
    }

    /// Sends no requests to a server until the given time.
    pub(super) fn back_off(&mut self, key: ServerKey, until: Timestamp) {
        self.servers[key].set_back_off(until);
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
                LostCall::NotSent => self.try_next_helper(now, call.req, call.part),
                LostCall::MayHaveRun => self.retry_delegated(now, call.req, call.part),
            }
        } else if part.is_open() {
            self.retry(now, &call, "connection_lost");
        }
        self.settle(now, call.req);
    }

    /// Sends a part again after its call failed, if the limits allow it.
    fn retry(&mut self, now: Timestamp, call: &Call, reason: &'static str) {
        let req = &mut self.reqs[call.req];
        let part = &req.parts[call.part];
        let handed_over = part.delegated.is_some();
        if handed_over || !part.calls.is_empty() || matches!(part.state, PartState::Waiting) {
            // Another call may still return the response.
            return;
        }
        self.retry_part(now, call.req, call.part, reason);
    }

    /// Sends a part again that is not in progress, if the limits allow it.
    pub(super) fn retry_part(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        index: usize,
        reason: &'static str,
    ) {
        let req = &mut self.reqs[key];
        let part = &req.parts[index];
        let max_attempts = req.max_attempts;
        let may_run_again = part.runs == 0 || (req.route.may_repeat() && part.runs < max_attempts);
        if part.in_trial && part.runs > 0 {
            self.mark_missing(key, index, SUSPECTED);
        } else if !may_run_again || part.sends >= max_attempts + EXTRA_SENDS || now >= req.deadline
        {
            self.mark_missing(key, index, reason);
        } else if !req.may_send(index) {
            req.parts[index].state = PartState::Held;
        } else if self.take_token(now, key, index) {
            self.place(now, key, index);
        }
    }

    /// Takes a budget token for a repeated send of a part, or marks the part as missing.
    pub(super) fn take_token(&mut self, now: Timestamp, key: ReqKey, index: usize) -> bool {
        let service = self.reqs[key].parts[index].service;
        let taken = self.services[service].budget.try_take(now);
        if !taken {
            self.reqs[key].over_budget += 1;
            self.mark_missing(key, index, "budget");
        }
        taken
    }

    pub(super) fn mark_missing(&mut self, key: ReqKey, index: usize, reason: &'static str) {
        self.unqueue(key, index);
        let req = &mut self.reqs[key];
        let part = &mut req.parts[index];
        if part.is_open() {
            part.state = PartState::Missing(reason);
            req.missing += part.weight;
        }
    }

    /// Closes the idle connections of a server that does not answer. Only a new
    /// connection shows whether the server or just the old connections are dead.
    pub(super) fn force_reconnect(&mut self, now: Timestamp, server: ServerKey) {
        self.close_idle(server);
        let state = &mut self.servers[server];
        if state.conns.is_empty() && state.reachability == Reachability::Up {
            state.reachability = Reachability::Down { until: now };
            self.timers.set(now, Timer::Server(server));
        }
    }

    /// Aborts a call that timed out or whose caller has disconnected.
    pub(super) fn on_call_timeout(&mut self, now: Timestamp, key: CallKey, abandoned: bool) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (conn, server, search) = (call.conn, call.server, call.route.is_search());
        self.abort_conn(now, conn);
        if search && !abandoned {
            self.force_reconnect(now, server);
        }
        let service = self.servers[server].service;
        let req = self.calls[key].req;
        self.call_lost(now, key, LostCall::MayHaveRun);
        self.review_request(now, req);
        self.place_waiting(now, service);
    }

    /// Called shortly before the objective of a search: answers with the results received
    /// so far if they reach the required coverage, and otherwise as soon as they do.
    pub(super) fn on_objective(&mut self, now: Timestamp, key: ReqKey) {
        if let Some(req) = self.reqs.get_mut(key) {
            req.past_answer_by = true;
            self.set_queued_late(key);
            self.settle(now, key);
        }
    }

    /// Refuses a request of which no part could be sent in time.
    pub(super) fn on_wait_limit(&mut self, now: Timestamp, key: ReqKey) {
        let is_unsent = |req: &Req| req.parts.iter().all(|part| part.sends == 0);
        if self.reqs.get(key).is_some_and(is_unsent) {
            let retry_after = self.available_in(now, key).max(RETRY_WHEN_BUSY);
            self.refuse(now, key, ErrorKind::Overloaded, Some(retry_after));
        }
    }

    pub(super) fn on_deadline(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        if req.parked {
            self.unpark(key);
        } else if req.route.is_search() && req.done >= req.min_shards {
            self.answer_search(now, key);
        } else {
            self.fail(now, key, ErrorKind::Overloaded);
        }
    }

    /// Answers a request once its outcome is determined.
    pub(super) fn settle(&mut self, now: Timestamp, key: ReqKey) {
        let Some(req) = self.reqs.get(key) else {
            return;
        };
        if req.parked {
            return;
        }
        let (shards, min_shards) = (req.shards, req.min_shards);
        let open = shards - req.done - req.missing;
        if self.awaits_verdict(now, req) {
            return;
        }
        if !req.route.is_search() {
            if open == 0 {
                self.answer_single(now, key);
            }
        } else if req.done >= min_shards && (open == 0 || req.past_answer_by) {
            self.answer_search(now, key);
        } else if (shards - req.missing < min_shards || open == 0) && !self.ask_for_rest(now, key) {
            self.fail(now, key, ErrorKind::NoBackend);
        }
    }

    fn answer_single(&mut self, now: Timestamp, key: ReqKey) {
        let Some(part) = self.reqs[key].parts.first_mut() else {
            return self.fail(now, key, ErrorKind::NoBackend);
        };
        if let PartState::Done(reply) = &part.state {
            let answer = Answer::Forwarded {
                reply: reply.clone(),
                server: self.reqs[key].last_server.clone(),
            };
            return self.finish(now, key, Some(answer), Verdict::Served);
        }
        match part.failure.take().filter(may_forward) {
            Some(reply) => {
                let server = self.reqs[key].last_server.clone();
                let answer = Answer::Forwarded { reply, server };
                self.finish(now, key, Some(answer), Verdict::ServerFailed);
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
            unfinished: self.unfinished_shards(req),
        };
        if req.resumable && req.done + req.missing < req.shards {
            self.park(now, key, answer, verdict);
        } else {
            self.finish(now, key, Some(answer), verdict);
        }
    }

    /// Ends a request without success: refuses it with `kind` if it has certainly not
    /// run, and reports an unknown outcome otherwise.
    fn fail(&mut self, now: Timestamp, key: ReqKey, kind: ErrorKind) {
        let req = &self.reqs[key];
        if req.not_run() && req.given_up {
            self.refuse_given_up(now, key);
        } else if req.not_run() {
            let available_in = self.available_in(now, key);
            let available_in = available_in.max(Millis::from(self.reqs[key].retry_after));
            let (kind, retry_after) = match kind {
                ErrorKind::NoBackend => (self.unservable_kind(now, key), available_in),
                _ => (kind, available_in.max(RETRY_WHEN_BUSY)),
            };
            self.refuse(now, key, kind, Some(retry_after));
        } else {
            let refusal = Refusal {
                kind: ErrorKind::OutcomeUnknown,
                retry_after: None,
                suspected: req.given_up,
            };
            self.finish(now, key, Some(Answer::Refused(refusal)), Verdict::Failed);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        kind: ErrorKind,
        retry_after: Option<Millis>,
    ) {
        let refusal = Refusal {
            kind,
            retry_after,
            suspected: kind == ErrorKind::Quarantined,
        };
        self.finish(now, key, Some(Answer::Refused(refusal)), Verdict::Refused);
    }

    /// Removes a request and emits its answer, which is `None` if the caller has
    /// disconnected.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        answer: Option<Answer>,
        verdict: Verdict,
    ) {
        self.unqueue_all(key);
        let Some(req) = self.reqs.remove(key) else {
            return;
        };
        self.keep_request_answered(&req);
        let summary = self.summary(now, &req, verdict);
        self.actions.push_back(Action::Answer {
            req: key,
            answer,
            summary,
        });
    }

    pub(super) fn summary(&self, now: Timestamp, req: &Req, verdict: Verdict) -> Summary {
        let missing_reason = |part: &Part| {
            let reason = match &part.state {
                PartState::Done(_) => return None,
                PartState::Missing(_) if part.weight == 0 => return None,
                PartState::Missing(reason) => reason,
                PartState::Waiting => "not_sent",
                PartState::Sent => "late",
                PartState::Held => "held",
            };
            let service = &self.services[part.service];
            let known = service.servers.len();
            let usable = service.servers.iter();
            let usable = usable
                .filter(|key| self.servers[**key].standing(now, &self.settings).is_some())
                .count();
            Some(format!("{}:{reason}:{usable}/{known}", service.name))
        };
        let relayed = |part: &&Part| part.delegations > 0 && self.is_relayed(part);
        let relayed = req.parts.iter().filter(relayed).count();
        let limited = |part: &&Part| matches!(part.state, PartState::Missing(LIMITED));
        let limited = req.parts.iter().filter(limited).count();
        let evacuated = req.parts.iter().filter(|part| self.is_held_out(now, part));
        let evacuated = match verdict {
            Verdict::Served => 0,
            _ => evacuated.count(),
        };
        let missing = match verdict {
            Verdict::Served => Vec::new(),
            _ => req.parts.iter().filter_map(missing_reason).collect(),
        };
        Summary {
            verdict,
            route: req.route.route.name.clone(),
            version: req.route.version(),
            took: now.since(req.arrived),
            sends: req.parts.iter().map(|part| part.sends).sum(),
            repeats: req.repeats,
            over_budget: req.over_budget,
            missing,
            limited: limited as u32,
            evacuated: evacuated as u32,
            server: req.last_server.clone(),
            relayed: relayed as u32,
        }
    }
}

/// Whether the error response of a server may be forwarded unchanged.
fn may_forward(reply: &Reply) -> bool {
    !reply.encoded
        && !(200..300).contains(&reply.status)
        && !NOT_RUN_STATUSES.contains(&reply.status)
}
