//! Contact with backend servers: observations, probes, and what follows from its loss.

use std::time::Duration;

use jasminepond_types::Timestamp;
use slotmap::Key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Forwarder;
use crate::{
    contact::{ContactEvent, ContactStep, Failure},
    message::{Action, ConnKey},
    server::{Server, ServerKey},
    service::ServiceKey,
    timers::Timer,
};

/// A timer that fires this late shows that the process was paused.
const PAUSE: Duration = Duration::from_millis(25);

impl Forwarder {
    /// Time for which no backend server has responded, if contact with all of them is lost.
    pub fn contact_lost_for(&self, now: Timestamp) -> Option<Duration> {
        self.contact.lost_for(now)
    }

    /// Records that a server responded or accepted a connection, to what began at `began`.
    pub(super) fn observe_contact(&mut self, now: Timestamp, key: ServerKey, began: Timestamp) {
        if let Some(service) = self.backend_service(key) {
            let step = self.contact.heard(now, service, began);
            self.perform_contact_step(now, step);
        }
    }

    /// Records that a server does not respond to what began at `since`.
    pub(super) fn observe_silence(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        since: Timestamp,
        failure: Failure,
    ) {
        if let Some(service) = self.backend_service(key) {
            let step = self.contact.unanswered(now, service, since, failure);
            self.perform_contact_step(now, step);
        }
    }

    /// Checks contact because another daemon has lost it.
    pub(super) fn suspect_contact(&mut self, now: Timestamp) {
        let step = self.contact.on_peer_lost(now);
        self.perform_contact_step(now, step);
    }

    /// Handles a timer that is due since `due`.
    pub(super) fn observe_tick(&mut self, now: Timestamp, due: Timestamp) {
        if now.since(due) >= PAUSE {
            self.contact.on_pause(now);
        }
    }

    /// Sets when contact is checked next, instead of the time set before.
    fn set_contact_check(&mut self, at: Timestamp) {
        self.contact_check = Some(at);
        self.timers.set(at, Timer::Contact);
    }

    pub(super) fn on_contact_timer(&mut self, now: Timestamp) {
        if self.contact_check.is_none_or(|at| now < at) {
            return;
        }
        self.contact_check = None;
        let connected = self.servers.iter().any(|(key, server)| {
            server.conns.len() > server.opening as usize && self.backend_service(key).is_some()
        });
        let step = self.contact.check(now, connected);
        self.perform_contact_step(now, step);
    }

    /// Service of a backend server, or `None` for another daemon.
    fn backend_service(&self, key: ServerKey) -> Option<ServiceKey> {
        let server = self.servers.get(key)?;
        self.is_backend(server).then_some(server.service)
    }

    /// Whether this is a backend server, and not another daemon.
    pub(crate) fn is_backend(&self, server: &Server) -> bool {
        !self.services[server.service].is_helper_group
    }

    fn perform_contact_step(&mut self, now: Timestamp, step: ContactStep) {
        match step {
            ContactStep::Keep => {}
            ContactStep::CheckAt(at) => self.set_contact_check(at),
            ContactStep::Probe { services, until } => {
                self.probe_servers(now, services);
                self.set_contact_check(until);
            }
            ContactStep::CheckConnections { services, until } => {
                let checked = self.check_connections(now, services);
                self.contact.checked(checked);
                self.set_contact_check(until);
            }
            ContactStep::Changed(event) => {
                self.actions.push_back(Action::ContactChanged(event));
                match event {
                    ContactEvent::Lost { .. } => self.on_contact_lost(now),
                    ContactEvent::Regained { .. } => self.on_contact_regained(now),
                }
            }
        }
    }

    /// Opens a connection to one server each of several services, first of those that are not
    /// known to respond or to be silent. Each round takes them in another order, so that the
    /// servers of some services, such as one index, do not stand for all.
    pub(super) fn probe_servers(&mut self, now: Timestamp, count: usize) {
        let services = self.services.keys();
        let target = |service| Some((service, self.probe_target(now, service)?));
        let mut targets: Vec<_> = services.filter_map(target).collect();
        self.contact.set_services(targets.len());
        self.probe_round += 1;
        let position = |(service, _): &(ServiceKey, ServerKey)| {
            let id = service.data().as_ffi().to_be_bytes();
            let known = self.contact.is_known(*service);
            (known, xxh3_64_with_seed(&id, self.probe_round))
        };
        targets.sort_by_key(position);
        targets.truncate(count);
        for (service, server) in targets {
            self.contact.probed(service);
            self.open_probe(now, server);
        }
    }

    /// Sends health requests on idle connections to one server each of several services, and
    /// returns these services. Each round takes others.
    fn check_connections(&mut self, now: Timestamp, count: usize) -> Vec<ServiceKey> {
        self.probe_round += 1;
        let services = self.services.iter();
        let services = services.filter(|(_, service)| service.health_path.is_some());
        let conn = |(key, _)| Some((key, self.connection_to_check(now, key)?));
        let mut conns: Vec<(ServiceKey, ConnKey)> = services.filter_map(conn).collect();
        conns.sort_by_key(|(service, _)| {
            xxh3_64_with_seed(&service.data().as_ffi().to_be_bytes(), self.probe_round)
        });
        conns.truncate(count);
        for (_, conn) in &conns {
            self.send_health_request(now, *conn);
        }
        conns.into_iter().map(|(service, _)| service).collect()
    }

    /// An idle connection to a server of a service. Servers with a limit are left out, as a
    /// health request would count towards it.
    fn connection_to_check(&self, now: Timestamp, service: ServiceKey) -> Option<ConnKey> {
        let servers = self.services[service].servers.iter();
        let is_limited = |key: ServerKey| {
            let mut processes = self.limited_processes(key);
            processes.any(|process| self.limiter.limit(process).is_some())
        };
        let mut unlimited = servers.filter(|key| !is_limited(**key));
        unlimited.find_map(|key| self.newest_idle_conn(now, *key))
    }

    /// Handles the end of a connection on which a health request was in progress.
    pub(super) fn observe_failed_check(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(service) = self.backend_service(key) {
            let step = self.contact.check_failed(now, service);
            self.perform_contact_step(now, step);
        }
    }

    /// Server of a service to probe, preferably one in this availability zone.
    fn probe_target(&self, now: Timestamp, service: ServiceKey) -> Option<ServerKey> {
        let state = &self.services[service];
        if state.is_helper_group || !state.routed {
            return None;
        }
        let remote = |key: &&ServerKey| {
            let server = &self.servers[**key];
            let is_remote = server.backend.zone != self.settings.zone;
            (server.room.is_blocked(now), is_remote)
        };
        let targets = state.servers.iter().filter(|key| {
            let server = &self.servers[**key];
            server.wants_requests(now) && server.may_be_probed()
        });
        targets.min_by_key(remote).copied()
    }

    fn on_contact_lost(&mut self, now: Timestamp) {
        self.forget_cut_calls();
        self.regroup(now);
        self.relay_requests(now);
        self.set_contact_check(now);
    }

    fn on_contact_regained(&mut self, now: Timestamp) {
        self.close_unanswered(now);
        let backends: Vec<_> = self.servers.keys().collect();
        for key in backends {
            if self.backend_service(key).is_some() {
                self.servers[key].forget_silence();
            }
        }
        self.regroup(now);
    }
}
