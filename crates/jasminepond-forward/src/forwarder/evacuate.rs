//! Evacuation of availability zones: which servers get no requests because of it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use jasminepond_types::Timestamp;

use super::Forwarder;
use crate::{
    evacuation::{EvacuatedZones, ZoneAccess, ZoneChange, return_delay},
    request::{Part, PartState},
    server::{Server, ServerKey},
    service::ServiceKey,
    timers::Timer,
};

impl Forwarder {
    /// Replaces the set of evacuated zones, and returns the differences. Servers of these
    /// zones get no requests: their idle connections are closed, calls in progress finish,
    /// and queued parts are sent elsewhere or end.
    ///
    /// ```
    /// use jasminepond_forward::{EvacuatedZones, Forwarder, ZoneChange};
    /// use jasminepond_types::Timestamp;
    ///
    /// let mut forwarder = Forwarder::default();
    /// let zones: EvacuatedZones = ["a"].into_iter().collect();
    /// let changes = forwarder.set_evacuated(Timestamp::ZERO, &zones);
    /// assert_eq!(changes, [ZoneChange::Evacuated("a".into())]);
    /// assert!(forwarder.set_evacuated(Timestamp::ZERO, &zones).is_empty());
    /// ```
    pub fn set_evacuated(&mut self, now: Timestamp, zones: &EvacuatedZones) -> Vec<ZoneChange> {
        let changes = self.evacuation.set(now, zones);
        if changes.is_empty() {
            return changes;
        }
        let known: Vec<_> = self.servers_by_id.values().copied().collect();
        let mut services: BTreeSet<ServiceKey> = BTreeSet::new();
        for key in known {
            if self.update_access(now, key) {
                services.insert(self.servers[key].service);
            }
        }
        for service in &services {
            self.assign_servers(now, *service);
        }
        // Only now, so that parts are placed by the new state of all services.
        for service in services {
            self.place_waiting(now, service);
        }
        changes
    }

    /// The evacuated zones, and for how long they are known to be evacuated.
    pub fn evacuated_zones(&self, now: Timestamp) -> Vec<(Arc<str>, Duration)> {
        let zones = self.evacuation.iter();
        zones
            .map(|(zone, since)| (zone.clone(), now.since(since)))
            .collect()
    }

    /// Brings a server in line with the evacuated zones. Returns whether that is a change.
    pub(super) fn update_access(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let zone = &server.backend.zone;
        let evacuated = self.is_backend(server) && self.evacuation.is_evacuated(zone);
        match (evacuated, server.access) {
            (true, ZoneAccess::Evacuated) => false,
            (true, _) => {
                let server = &mut self.servers[key];
                server.access = ZoneAccess::Evacuated;
                server.assigned = false;
                self.close_idle(key);
                true
            }
            (false, ZoneAccess::Evacuated) => {
                let at = now + self.return_delay(now, key);
                let server = &mut self.servers[key];
                server.set_returning(at);
                if at <= now {
                    server.access = ZoneAccess::Open;
                }
                self.timers.set(at, Timer::Server(key));
                true
            }
            (false, ZoneAccess::Open | ZoneAccess::Returning(_)) => false,
        }
    }

    /// Uses a server of a returned zone from now on, and assigns connections to it.
    pub(super) fn finish_return(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key];
        if matches!(server.access, ZoneAccess::Returning(at) if now >= at) {
            server.access = ZoneAccess::Open;
            let service = server.service;
            self.assign_servers(now, service);
        }
    }

    /// Delay after which a server of a returned zone is used, none if there is no other one.
    fn return_delay(&self, now: Timestamp, key: ServerKey) -> Duration {
        let server = &self.servers[key];
        let mut servers = self.services[server.service].servers.iter();
        match servers.any(|key| self.servers[*key].standing(now, &self.settings).is_some()) {
            true => return_delay(&self.settings.instance, &server.backend.id),
            false => Duration::ZERO,
        }
    }

    /// Whether a part has no usable server, but would have one without an evacuation.
    pub(super) fn is_held_out(&self, now: Timestamp, part: &Part) -> bool {
        if self.evacuation.is_empty() || matches!(part.state, PartState::Done(_)) {
            return false;
        }
        let servers = &self.services[part.service].servers;
        let mut servers = servers.iter().map(|key| &self.servers[*key]);
        let held_out = |server: &Server| server.access == ZoneAccess::Evacuated;
        let usable = |server: &Server| server.standing(now, &self.settings).is_some();
        servers.clone().any(held_out) && !servers.any(usable)
    }
}
