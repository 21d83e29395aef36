//! Which server gets a part of a request, and what waits.

use std::{cmp::Ordering, time::Duration};

use jasminepond_types::{Millis, Timestamp};

use super::{Call, ConnState, Forwarder, RETRY_AFTER_MIN, RETRY_AFTER_UNKNOWN};
use crate::{
    message::{Action, CallKey, ConnKey, ReqKey, ServerEvent},
    request::{ActiveRoute, Part, PartState, Req},
    server::{ServerKey, Standing},
    service::{ServiceKey, Waiting},
    timers::Timer,
};

/// Wait before a second call is considered again if no other server is sound.
const HEDGE_AGAIN: Duration = Duration::from_millis(5);

/// Where a part of a request goes.
enum Placement {
    /// Over this idle connection.
    Send(ConnKey),
    /// It waits for a connection.
    Wait,
    /// No server can take it.
    Nowhere,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    standing: Standing,
    cost: f64,
    server: ServerKey,
}

impl Forwarder {
    /// The servers of a service that can take a request, best first.
    fn candidates(
        &self,
        now: Timestamp,
        service: ServiceKey,
        tried: &[ServerKey],
    ) -> Vec<Candidate> {
        let servers = self.services[service].servers.iter();
        let mut candidates: Vec<_> = servers
            .filter(|key| !tried.contains(key))
            .filter_map(|&key| {
                let server = &self.servers[key];
                Some(Candidate {
                    standing: server.standing(now, &self.settings)?,
                    cost: server.cost(now, &self.settings),
                    server: key,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let cost = a.cost.partial_cmp(&b.cost).unwrap_or(Ordering::Equal);
            a.standing.cmp(&b.standing).then(cost)
        });
        candidates
    }

    /// Whether a request for the service need not be refused at once.
    pub(super) fn has_usable(&self, now: Timestamp, service: ServiceKey) -> bool {
        let mut servers = self.services[service].servers.iter();
        servers.any(|key| self.servers[*key].standing(now, &self.settings).is_some())
    }

    /// When enough parts of a request have a server again.
    pub(super) fn back_in(&self, now: Timestamp, key: ReqKey) -> Millis {
        let req = &self.reqs[key];
        let part = |part: &Part| (self.service_back_in(now, part.service), part.weight);
        let mut parts: Vec<_> = req.parts.iter().map(part).collect();
        parts.sort_unstable();
        let mut usable = 0;
        let enough = parts.iter().find(|(_, weight)| {
            usable += weight;
            usable >= req.least
        });
        let wait = enough.map_or(RETRY_AFTER_UNKNOWN, |(wait, _)| *wait);
        Millis::from(wait.max(RETRY_AFTER_MIN))
    }

    fn service_back_in(&self, now: Timestamp, service: ServiceKey) -> Duration {
        let servers = self.services[service].servers.iter();
        let back = servers.filter_map(|key| self.servers[*key].back_in(now, &self.settings));
        back.min().unwrap_or(RETRY_AFTER_UNKNOWN)
    }

    /// Sends a part to the best server that has a free connection, lets it wait,
    /// or counts it as missing.
    pub(super) fn place(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let req = &self.reqs[key];
        let (service, priority) = (req.parts[index].service, req.route.route.priority);
        let late = req.late;
        match self.placement(now, key, index) {
            Placement::Send(conn) => self.send(now, key, index, conn),
            Placement::Nowhere => self.nowhere(now, key, index),
            Placement::Wait => {
                self.services[service].wait(Waiting {
                    late,
                    priority,
                    req: key,
                    part: index,
                });
                self.reqs[key].parts[index].state = PartState::Waiting;
            }
        }
    }

    /// Places the parts that wait for a service, as far as connections are free.
    pub(super) fn place_waiting(&mut self, now: Timestamp, service: ServiceKey) {
        for waiting in self.services[service].take_waiting() {
            let waits = |req: &Req| matches!(req.parts[waiting.part].state, PartState::Waiting);
            if !self.reqs.get(waiting.req).is_some_and(waits) {
                continue;
            }
            match self.placement(now, waiting.req, waiting.part) {
                Placement::Send(conn) => self.send(now, waiting.req, waiting.part, conn),
                Placement::Wait => self.services[service].wait(waiting),
                Placement::Nowhere => {
                    self.nowhere(now, waiting.req, waiting.part);
                    self.settle(now, waiting.req);
                }
            }
        }
    }

    pub(super) fn nowhere(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let part = &self.reqs[key].parts[index];
        if part.repeat && part.delegated.is_some() {
            self.part_missing(key, index, "helper_lost");
        } else if part.delegated.is_some() {
            self.take_over(now, key, index);
        } else {
            self.part_missing(key, index, "no_server");
        }
    }

    fn placement(&mut self, now: Timestamp, key: ReqKey, index: usize) -> Placement {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let mut candidates = self.candidates(now, part.service, &part.tried);
        if candidates.is_empty() && !part.tried.is_empty() {
            // Nothing else is left: the same server.
            candidates = self.candidates(now, part.service, &[]);
            if !req.route.may_repeat() {
                self.close_used(key, index);
            }
        }
        match self.free_conn(now, &candidates) {
            Some(conn) => Placement::Send(conn),
            None if candidates.is_empty() => Placement::Nowhere,
            None => Placement::Wait,
        }
    }

    /// Closes the idle connections over which a part was sent. A second copy of the
    /// earlier response bears the same request id, so it would be taken for the
    /// response to the next send.
    fn close_used(&mut self, key: ReqKey, index: usize) {
        for conn in std::mem::take(&mut self.reqs[key].parts[index].conns) {
            let state = self.conns.get(conn).map(|conn| conn.state);
            if matches!(state, Some(ConnState::Idle { .. })) {
                self.close_conn(conn);
            }
        }
    }

    /// An idle connection to the best candidate. Opens a connection to each
    /// better one that has none free.
    fn free_conn(&mut self, now: Timestamp, candidates: &[Candidate]) -> Option<ConnKey> {
        let best = candidates.first()?.standing;
        for candidate in candidates {
            // Waiting for a sound server is shorter than a stalled or leaving one.
            if candidate.standing > best.max(Standing::Full) {
                return None;
            }
            if let Some(conn) = self.idle_conn(now, candidate.server) {
                return Some(conn);
            }
            self.open(now, candidate.server);
        }
        None
    }

    fn send(&mut self, now: Timestamp, key: ReqKey, index: usize, conn: ConnKey) {
        let server_key = self.conns[conn].server;
        let delegation = self.delegation(now, &self.reqs[key], index);
        let helper_timeouts = delegation.as_ref().map(Self::helper_timeouts);
        let delegated = helper_timeouts.is_some();
        let req = &mut self.reqs[key];
        let route = req.route.clone();
        let left = req.deadline.since(now);
        let call = self.calls.insert(Call {
            req: key,
            part: index,
            server: server_key,
            conn,
            sent: now,
            overdue: false,
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
        if part.sends > 1 {
            req.repeats += 1;
        }
        let server = &mut self.servers[server_key];
        server.calls.push(call);
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
        if let Some((overdue, given_up)) = helper_timeouts {
            self.timers.set(now + overdue, Timer::SlowHelper(call));
            let given_up = given_up.min(left);
            self.timers.set(now + given_up, Timer::CallTimeout(call));
            return;
        }
        if route.may_repeat() {
            let delay = self.hedge_delay(&route);
            self.timers.set(now + delay, Timer::Hedge(call));
        }
        let timeout = if route.is_search() {
            let objective = route.objective();
            let usual = objective.mul_f64(self.settings.call_timeout_objectives);
            left.min(usual.max(self.settings.call_timeout_min))
        } else {
            left
        };
        self.timers.set(now + timeout, Timer::CallTimeout(call));
    }

    /// Time after which a second call is considered.
    fn hedge_delay(&self, route: &ActiveRoute) -> Duration {
        let usual = route.stats.latency.borrow().high();
        let latest = route
            .objective()
            .mul_f64(self.settings.hedge_delay_max_share);
        let earliest = self.settings.hedge_delay_min.min(latest);
        let delay = usual.mul_f64(self.settings.hedge_delay_factor);
        delay.clamp(earliest, latest)
    }

    /// A call is slower than usual: its server is set aside and the request goes
    /// to a second one, if the budget allows it.
    pub(super) fn on_slow_call(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (server, unanswered) = (call.server, now.since(call.sent));
        let newly = self.servers[server].stall();
        self.hedge(now, key);
        if newly {
            self.log_server_event(server, ServerEvent::Stalled { unanswered });
            // What else was sent there waits for the same pause.
            for other in self.servers[server].calls.clone() {
                if other != key {
                    self.hedge(now, other);
                }
            }
        }
    }

    fn hedge(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (req_key, index) = (call.req, call.part);
        if call.overdue || !call.route.may_repeat() {
            return;
        }
        let Some(req) = self.reqs.get(req_key) else {
            return;
        };
        let part = &req.parts[index];
        let may_run_again = part.runs < req.route.route.max_attempts;
        let may_help = !req.late && may_run_again && part.calls.len() <= 1;
        if !matches!(part.state, PartState::Sent) || !may_help {
            return;
        }
        let (service, deadline) = (part.service, req.deadline);
        let mut candidates = self.candidates(now, service, &part.tried);
        let untried = !candidates.is_empty();
        candidates.retain(|candidate| candidate.standing <= Standing::Remote);
        let Some(conn) = self.free_conn(now, &candidates) else {
            if untried && now + HEDGE_AGAIN < deadline {
                self.timers.set(now + HEDGE_AGAIN, Timer::Hedge(key));
            }
            return;
        };
        self.calls[key].overdue = true;
        if self.services[service].budget.try_take(now) {
            self.send(now, req_key, index, conn);
        } else {
            self.reqs[req_key].over_budget += 1;
        }
    }
}
