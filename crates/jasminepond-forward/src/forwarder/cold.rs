//! Limits of cold servers, and health requests to find them. See docs/design/cold-servers.md.

use jasminepond_ratelimit::{Guard, LimitChange, ProcessId, WarmUpLimit, Warmth};
use jasminepond_routes::ServiceSpec;
use jasminepond_types::Timestamp;

use super::{ConnState, Forwarder};
use crate::{
    health::{Finding, HEALTH_TIMEOUT},
    message::{Action, ConnKey, Exchange, ServerEvent},
    report::WarmUpReport,
    server::{Server, ServerKey},
    service::ServiceKey,
    timers::Timer,
};

impl Forwarder {
    /// Applies how the servers of a service are limited while they are cold.
    pub(super) fn set_warm_up(&mut self, now: Timestamp, service: ServiceKey, spec: &ServiceSpec) {
        let (excess, slack) = (self.settings.warm_up_excess, self.settings.warm_up_slack);
        let limit = WarmUpLimit::new(spec.warm_up_per_second, excess, slack);
        let state = &mut self.services[service];
        state.health_path.clone_from(&spec.health_path);
        state.warm_up = limit;
        for key in self.services[service].servers.clone() {
            self.guard_server(now, key);
        }
    }

    /// Passes the limit of a server while it is cold on to the limiter.
    pub(super) fn guard_server(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let process = server.health.process;
        let service = &self.services[server.service];
        let guard = service.warm_up.map(|limit| Guard {
            limit,
            cold_until: server.warm_up_until,
            checked: service.health_path.is_some(),
        });
        match guard {
            Some(_) => drop(self.servers_by_process.insert(process, key)),
            None => drop(self.servers_by_process.remove(&process)),
        }
        self.limiter.set_guard(now, process, guard);
    }

    /// Processes whose limits apply to a server.
    pub(super) fn limited_processes(&self, key: ServerKey) -> impl Iterator<Item = ProcessId> {
        let server = &self.servers[key];
        let is_guarded = self.services[server.service].warm_up.is_some();
        let cold = is_guarded.then_some(server.health.process);
        std::iter::once(server.process).chain(cold)
    }

    /// Number of servers that are limited because they are cold or not known to be warm, and
    /// number of health requests sent since the start.
    pub fn cold_counts(&self, now: Timestamp) -> (usize, u64) {
        let warmth = |server: &Server| self.warmth(now, server);
        let warmths = self.servers.values().filter_map(warmth);
        let cold = warmths.filter(|warmth| *warmth != Warmth::Warm);
        (cold.count(), self.health_requests)
    }

    /// What is presumed of a server that can be cold.
    pub(crate) fn warmth(&self, now: Timestamp, server: &Server) -> Option<Warmth> {
        self.limiter.warmth(now, server.health.process)
    }

    /// Whether a server is cold, for operators.
    pub(crate) fn warm_up_report(&self, now: Timestamp, server: &Server) -> Option<WarmUpReport> {
        let warm_up = self.services[server.service].warm_up?;
        Some(WarmUpReport {
            warmth: self.warmth(now, server)?,
            per_second: warm_up.stated().per_second(),
            limit: self.limiter.report(now, server.health.process),
        })
    }

    /// Sends a health request to a server if this daemon is to find out now whether it is
    /// cold, or opens a connection for it.
    pub(super) fn check_health(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let service = &self.services[server.service];
        if service.warm_up.is_none() || service.health_path.is_none() || !server.health.is_due(now)
        {
            return;
        }
        let usable = server.standing(now, &self.settings).is_some() && server.wants_requests(now);
        let reached = self.is_known(key) && !self.contact.is_lost();
        let process = server.health.process;
        if !usable || !reached || !self.limiter.wants_check(now, process) {
            return;
        }
        // The window does not apply: without an answer, the server counts as cold.
        let Some(conn) = self.newest_idle_conn(now, key) else {
            return self.open_conn(now, key);
        };
        self.send_health_request(now, conn);
    }

    /// Sends a health request over an idle connection.
    pub(super) fn send_health_request(&mut self, now: Timestamp, conn: ConnKey) {
        let key = self.conns[conn].server;
        let Some(path) = self.services[self.servers[key].service].health_path.clone() else {
            return;
        };
        let state = &mut self.conns[conn];
        state.state = ConnState::Health(now);
        state.used = true;
        let server = &mut self.servers[key];
        server.health.on_sent();
        let server = server.backend.id.clone();
        self.health_requests += 1;
        self.timers.set(now + HEALTH_TIMEOUT, Timer::Health(conn));
        let action = Action::CheckHealth { conn, server, path };
        self.actions.push_back(action);
    }

    /// Handles the response to a health request that was sent at `sent`.
    pub(super) fn health_replied(
        &mut self,
        now: Timestamp,
        conn: ConnKey,
        sent: Timestamp,
        exchange: &Exchange,
    ) {
        let Some(key) = self.conns.get(conn).map(|state| state.server) else {
            return;
        };
        let finding = Finding::of(&exchange.reply);
        self.observe_contact(now, key, sent);
        let is_known = self.is_known(key);
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.health.on_finding(now, finding);
        let process = server.health.process;
        if exchange.reply.wrong_server && is_known {
            server.address_taken = true;
            self.log_server_event(key, ServerEvent::AddressTaken);
        }
        if let Some(limit) = exchange.reply.rate_limit {
            self.observe_limit(now, key, sent, Some(limit));
        }
        let is_cold = match finding {
            Finding::Warm => false,
            Finding::Cold(_) => true,
            Finding::Nothing => return,
        };
        if let Some(change) = self.limiter.checked(now, process, sent, is_cold) {
            self.on_warmth_change(key, change);
        }
    }

    /// Handles the end of a connection with a health request.
    pub(super) fn health_lost(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.health.on_finding(now, Finding::Nothing);
        }
    }

    /// Gives up a health request that was not answered.
    pub(super) fn on_health_timer(&mut self, now: Timestamp, conn: ConnKey) {
        let Some(state) = self.conns.get(conn) else {
            return;
        };
        let ConnState::Health(sent) = state.state else {
            return;
        };
        if now.since(sent) >= HEALTH_TIMEOUT {
            let key = state.server;
            self.abort_conn(now, conn);
            self.health_lost(now, key);
        }
    }

    pub(super) fn on_warmth_change(&mut self, key: ServerKey, change: LimitChange) {
        let event = match change {
            LimitChange::Limited(limit) => ServerEvent::Cold { limit },
            LimitChange::Lifted => ServerEvent::Warm,
        };
        self.log_server_event(key, event);
    }
}
