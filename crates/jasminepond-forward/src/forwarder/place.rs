//! Server selection, queueing and hedging for the parts of requests.

use std::{cmp::Ordering, time::Duration};

use jasminepond_ratelimit::Availability;
use jasminepond_types::{Millis, Timestamp};

use super::{
    Call, ConnState, Forwarder, RETRY_AFTER_DEFAULT, RETRY_AFTER_MIN, limits::LIMITED,
    suspects::SUSPECTED,
};
use crate::{
    contact::Failure,
    message::{Action, CallKey, ConnKey, ReqKey, ServerEvent},
    request::{ActiveRoute, Part, PartState, Req},
    server::{ServerKey, Standing},
    service::ServiceKey,
    timers::Timer,
};

/// Delay before hedging is attempted again if no other server is healthy.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Number of parts from which one of them is compared with the others: with so many, it is
/// unlikely that the servers of all are slow.
const MIN_COMPARED_PARTS: usize = 4;

/// Wait for a permit that is preferred to another server that does not answer.
const SHORT_PERMIT_WAIT: Duration = Duration::from_millis(20);

/// Whether a part is placed for the first time, which counts as demand for the servers that
/// are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Attempt {
    First,
    Again,
}

/// Decision on where a part of a request is sent.
pub(super) enum Placement {
    /// Send it over this idle connection.
    Send(ConnKey),
    /// Queue it until a connection is free.
    Wait,
    /// No server is usable.
    NoServer,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    standing: Standing,
    cost: f64,
    server: ServerKey,
    /// Whether the server's rate limit permits a request now.
    permitted: bool,
}

impl Forwarder {
    /// Servers of a service that are usable by `by`, best first, without those in `tried`.
    fn candidates(
        &self,
        now: Timestamp,
        service: ServiceKey,
        tried: &[ServerKey],
        by: Timestamp,
    ) -> Vec<Candidate> {
        if !self.is_service_reached(service) {
            return Vec::new();
        }
        let preference = self.preference(now, service);
        let servers = self.services[service].servers.iter();
        let mut candidates: Vec<_> = servers
            .filter(|key| !tried.contains(key))
            .filter_map(|&key| {
                let server = &self.servers[key];
                let standing = server.standing(now, &self.settings)?;
                let (standing, permitted) = match self.availability(now, key) {
                    Availability::Unlimited | Availability::Permitted => (standing, true),
                    Availability::NotBefore(at) if at > by => return None,
                    Availability::NotBefore(at) if at > now + SHORT_PERMIT_WAIT => {
                        (standing.max(Standing::Stalled), false)
                    }
                    Availability::NotBefore(_) | Availability::Unknown => (standing, false),
                };
                Some(Candidate {
                    standing,
                    cost: self.weighted_cost(now, key, preference),
                    server: key,
                    permitted,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let cost = a.cost.partial_cmp(&b.cost).unwrap_or(Ordering::Equal);
            a.standing.cmp(&b.standing).then(cost)
        });
        candidates
    }

    /// Whether any server of the service is usable by `by`.
    pub(super) fn has_usable_server(
        &self,
        now: Timestamp,
        service: ServiceKey,
        by: Timestamp,
    ) -> bool {
        let mut servers = self.services[service].servers.iter();
        self.is_service_reached(service)
            && servers.any(|key| {
                let standing = self.servers[*key].standing(now, &self.settings);
                let permit_in = self.permit_in(now, *key);
                standing.is_some() && (permit_in.is_zero() || now + permit_in <= by)
            })
    }

    /// Whether this daemon may reach servers of a service at all. While it is out of contact
    /// with all backend servers, requests go to other daemons only.
    fn is_service_reached(&self, service: ServiceKey) -> bool {
        !self.contact.is_lost() || self.services[service].is_helper_group
    }

    /// Time by which a part must be sent so that its response is in time.
    pub(super) fn send_by(&self, req: &Req, part: &Part) -> Timestamp {
        match req.route.is_search() {
            true if req.past_answer_by => req.deadline,
            true => req.answer_by - req.route.stats.latency.borrow().median(),
            false if part.sends > 0 => req.deadline,
            false => req.arrived + req.route.objective().mul_f64(self.settings.wait_share),
        }
    }

    /// Time until enough parts of a request have a usable server.
    pub(super) fn available_in(&self, now: Timestamp, key: ReqKey) -> Millis {
        let req = &self.reqs[key];
        let part = |part: &Part| (self.service_available_in(now, part.service), part.weight);
        let mut parts: Vec<_> = req.parts.iter().map(part).collect();
        parts.sort_unstable();
        let mut usable = 0;
        let enough = parts.iter().find(|(_, weight)| {
            usable += weight;
            usable >= req.min_shards
        });
        let wait = enough.map_or(RETRY_AFTER_DEFAULT, |(wait, _)| *wait);
        Millis::from(wait.max(RETRY_AFTER_MIN))
    }

    fn service_available_in(&self, now: Timestamp, service: ServiceKey) -> Duration {
        if !self.is_service_reached(service) {
            return RETRY_AFTER_DEFAULT;
        }
        let servers = self.services[service].servers.iter();
        let back = servers.filter_map(|key| {
            let wait = self.servers[*key].available_in(now, &self.settings)?;
            Some(wait.max(self.permit_in(now, *key)))
        });
        back.min().unwrap_or(RETRY_AFTER_DEFAULT)
    }

    /// Sends a part to the best server that has an idle connection, queues it, or
    /// handles the lack of usable servers.
    pub(super) fn place(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let req = &self.reqs[key];
        if !req.may_send(index) {
            self.reqs[key].parts[index].state = PartState::Held;
            return;
        }
        if !self.admit_part(now, key, index) {
            return self.mark_missing(key, index, SUSPECTED);
        }
        match self.placement(now, key, index, Attempt::First) {
            Placement::Send(conn) if !self.is_behind(key, index) => {
                self.count_sent(now, key, index);
                self.send(now, key, index, conn);
            }
            Placement::Send(_) => {
                // The connection became usable without an event. It goes to the part that is next.
                self.enqueue(now, key, index);
                self.send_waiting(now, key, index);
            }
            Placement::NoServer => self.on_no_server(now, key, index),
            Placement::Wait => self.enqueue(now, key, index),
        }
    }

    pub(super) fn on_no_server(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let part = &self.reqs[key].parts[index];
        if part.repeat && part.delegated.is_some() {
            self.mark_missing(key, index, "helper_lost");
        } else if self.is_relayed(part) {
            self.on_relay_refused(now, key, index);
            self.mark_missing(key, index, "no_server");
        } else if part.delegated.is_some() {
            self.handle_locally(now, key, index);
        } else if self.is_held_by_limit(now, part.service) {
            self.mark_missing(key, index, LIMITED);
        } else if !self.relay_part(now, key, index) {
            self.mark_missing(key, index, "no_server");
        }
    }

    pub(super) fn placement(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        index: usize,
        attempt: Attempt,
    ) -> Placement {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let (service, by) = (part.service, self.send_by(req, part));
        let mut candidates = self.candidates(now, service, &part.tried, by);
        if let Some(helper) = part.resumes {
            candidates.retain(|candidate| candidate.server == helper);
        } else if candidates.is_empty() && !part.tried.is_empty() {
            // All usable servers have been tried: try them again.
            candidates = self.candidates(now, service, &[], by);
            if !req.route.may_repeat() {
                self.close_used_conns(key, index);
            }
        }
        let priority = self.reqs[key].route.route.priority;
        match self.free_conn(now, &candidates, attempt, priority) {
            Some(conn) => Placement::Send(conn),
            None if candidates.is_empty() => Placement::NoServer,
            None => {
                let new = usize::from(self.reqs[key].parts[index].queued.is_none());
                let wanted = self.services[service].queue.len() + new;
                self.request_permits(now, &without_permit(&candidates), wanted, by);
                Placement::Wait
            }
        }
    }

    /// Closes the idle connections over which a part was sent. A duplicate of the
    /// earlier response carries the same request id and would be mistaken for the
    /// response to the next send.
    fn close_used_conns(&mut self, key: ReqKey, index: usize) {
        for conn in std::mem::take(&mut self.reqs[key].parts[index].conns) {
            let state = self.conns.get(conn).map(|conn| conn.state);
            if matches!(state, Some(ConnState::Idle { .. })) {
                self.close_conn(conn);
            }
        }
    }

    /// Returns an idle connection to the best candidate that has one, and opens a
    /// connection to each better candidate.
    fn free_conn(
        &mut self,
        now: Timestamp,
        candidates: &[Candidate],
        attempt: Attempt,
        priority: u32,
    ) -> Option<ConnKey> {
        let best = candidates.first()?.standing;
        for candidate in candidates {
            // Waiting for a healthy server is faster than using a stalled or leaving one.
            if candidate.standing > best.max(Standing::Full) {
                return None;
            }
            if attempt == Attempt::First {
                self.record_demand(now, candidate.server);
            }
            if !candidate.permitted && !self.try_permit(now, candidate.server) {
                continue;
            }
            if let Some(conn) = self.idle_conn(now, candidate.server, priority) {
                return Some(conn);
            }
            self.open_conn(now, candidate.server);
        }
        None
    }

    pub(super) fn send(&mut self, now: Timestamp, key: ReqKey, index: usize, conn: ConnKey) {
        self.unqueue(key, index);
        let server_key = self.conns[conn].server;
        let delegation = self.delegation(now, &self.reqs[key], index);
        let req = &self.reqs[key];
        let left = req.deadline.since(now);
        let timeouts = |delegation| self.helper_timeouts(delegation, &req.route, left);
        let helper_timeouts = delegation.as_ref().map(timeouts);
        let delegated = helper_timeouts.is_some();
        self.use_permit(now, server_key, key, index);
        let req = &mut self.reqs[key];
        let route = req.route.clone();
        let call = self.calls.insert(Call {
            fingerprint: req.fingerprint,
            in_trial: req.in_trial() || req.parts[index].in_trial,
            request_answered: false,
            req: key,
            part: index,
            server: server_key,
            conn,
            sent: now,
            repeated: req.parts[index].sends > 0,
            hedge_decided: false,
            delegated,
            route: route.clone(),
        });
        let part = &mut req.parts[index];
        part.state = PartState::Sent;
        part.calls.push(call);
        part.tried.push(server_key);
        part.conns.push(conn);
        part.runs += 1;
        part.sends += 1;
        part.delegations += u32::from(delegated);
        if part.sends > 1 {
            req.repeats += 1;
        }
        let server = &mut self.servers[server_key];
        server.calls.push(call);
        server.sends.record(now);
        req.last_server = Some(server.backend.id.clone());
        let state = &mut self.conns[conn];
        state.state = ConnState::Busy(call);
        state.used = true;
        self.actions.push_back(Action::Send {
            conn,
            call,
            req: key,
            server: server.backend.id.clone(),
            // Rounded down, so that the server does not work past the deadline.
            left: Millis((left.as_millis() as u64).max(1)),
            delegation,
        });
        if let Some((stalled_after, abort_after)) = helper_timeouts {
            self.timers
                .set(now + stalled_after, Timer::SlowHelper(call));
            let abort_after = abort_after.min(left);
            self.timers.set(now + abort_after, Timer::CallTimeout(call));
            return;
        }
        let delay = self.hedge_delay(&route);
        self.timers.set(now + delay, Timer::Hedge(call));
        let timeout = if route.is_search() {
            let objective = route.objective();
            let usual = objective.mul_f64(self.settings.call_timeout_objectives);
            left.min(usual.max(self.settings.call_timeout_min))
        } else {
            left
        };
        self.timers.set(now + timeout, Timer::CallTimeout(call));
    }

    /// Time after which a hedged send is considered.
    pub(super) fn hedge_delay(&self, route: &ActiveRoute) -> Duration {
        let p90 = route.stats.latency.borrow().high();
        let max = route
            .objective()
            .mul_f64(self.settings.hedge_delay_max_share);
        let min = self.settings.hedge_delay_min.min(max);
        let delay = p90.mul_f64(self.settings.hedge_delay_factor);
        delay.clamp(min, max)
    }

    /// Marks the server of a slow call as stalled and sends the request to a second
    /// server if the budget allows it.
    pub(super) fn on_slow_call(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (server, sent, unanswered) = (call.server, call.sent, now.since(call.sent));
        let (first, may_repeat) = (!call.repeated, call.route.may_repeat());
        if first {
            // A part is repeated while its servers are slow, which says nothing about others.
            self.observe_silence(now, server, sent, Failure::Unanswered);
        }
        if !may_repeat {
            return;
        }
        let newly_stalled = self.servers[server].set_stalled();
        match self.is_slow_itself(key) {
            true => self.hedge_later(now, key),
            false => self.hedge(now, key),
        }
        if newly_stalled {
            self.log_server_event(server, ServerEvent::Stalled { unanswered });
            // Other calls on the server are delayed by the same pause.
            for other in self.servers[server].calls.clone() {
                if other != key {
                    self.hedge(now, other);
                }
            }
        }
    }

    /// Whether no part of the request is answered although others should be: the request, and
    /// not this server, is slow. It may end all of the servers that run it.
    fn is_slow_itself(&self, key: CallKey) -> bool {
        let req = self.calls.get(key).and_then(|call| self.reqs.get(call.req));
        req.is_some_and(|req| !req.answered && req.parts.len() >= MIN_COMPARED_PARTS)
    }

    fn hedge_later(&mut self, now: Timestamp, key: CallKey) {
        let req = self.calls.get(key).and_then(|call| self.reqs.get(call.req));
        if req.is_some_and(|req| now + HEDGE_RETRY_DELAY < req.deadline) {
            self.timers.set(now + HEDGE_RETRY_DELAY, Timer::Hedge(key));
        }
    }

    pub(super) fn hedge(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (req_key, index) = (call.req, call.part);
        if call.hedge_decided || !call.route.may_repeat() {
            return;
        }
        let Some(req) = self.reqs.get(req_key).filter(|req| !req.parked) else {
            return;
        };
        let part = &req.parts[index];
        let may_run_again = part.runs < req.max_attempts && part.delegated.is_none();
        let in_time = !req.late || req.resumed;
        let may_hedge = in_time && may_run_again && part.calls.len() <= 1;
        if !matches!(part.state, PartState::Sent) || !may_hedge {
            return;
        }
        if req.is_restrained() || part.in_trial {
            return self.hedge_later(now, key);
        }
        let service = part.service;
        if self.is_overloaded(now, service, &req.route) {
            // Its servers are slow because of their load, to which a hedged send would add.
            return;
        }
        let by = self.send_by(req, part);
        let mut candidates = self.candidates(now, service, &part.tried, by);
        let untried = !candidates.is_empty();
        candidates.retain(|candidate| candidate.standing <= Standing::Remote);
        let priority = req.route.route.priority;
        let Some(conn) = self.free_conn(now, &candidates, Attempt::Again, priority) else {
            let wanted = self.services[service].queue.len() + 1;
            self.request_permits(now, &without_permit(&candidates), wanted, by);
            if untried {
                self.hedge_later(now, key);
            }
            return;
        };
        self.calls[key].hedge_decided = true;
        if self.services[service].budget.try_take(now) {
            self.send(now, req_key, index, conn);
        } else {
            self.reqs[req_key].over_budget += 1;
        }
    }
}

fn without_permit(candidates: &[Candidate]) -> Vec<ServerKey> {
    let held_back = candidates.iter().filter(|candidate| !candidate.permitted);
    held_back.map(|candidate| candidate.server).collect()
}
