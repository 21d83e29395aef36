//! Inputs of the choice among servers of equal standing.

use std::collections::BTreeMap;

use jasminepond_types::Timestamp;

use super::{Cluster, Forwarder};
use crate::{
    balance::{HeardLoad, SPREAD, Turn, ZoneCount, local_share},
    message::ServerEvent,
    server::ServerKey,
    service::ServiceKey,
    stated_load::StatedLoad,
};

/// Demand of the callers of one zone per daemon, relative to the mean, up to which the own
/// zone is preferred as far as possible. Callers choose daemons in their zone.
const CALLER_SKEW: f64 = 1.5;

/// The same for the demand of the helpers of a group, among which daemons spread their
/// searches.
const HELPER_SKEW: f64 = 1.25;

/// What a daemon prefers at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Preference {
    turn: Turn,
    own_zone: bool,
}

impl Forwarder {
    /// What this daemon prefers at `now` among the servers of a service.
    pub(super) fn preference(&self, now: Timestamp, service: ServiceKey) -> Preference {
        let turn = self.balance.turn(now);
        let service = &self.services[service];
        let own_zone = turn.prefers_zone(service.name.as_str(), service.local_share);
        Preference { turn, own_zone }
    }

    /// Cost of one more call on a server, by which candidates of equal standing are ordered.
    /// An idle connection decides between servers of equal load.
    pub(super) fn weighted_cost(&self, now: Timestamp, key: ServerKey, by: Preference) -> f64 {
        let server = &self.servers[key];
        let even = self.settings.even_load;
        let remote = (by.own_zone || !even) && server.backend.zone != self.settings.zone;
        let zone = if remote {
            self.settings.remote_cost_factor
        } else {
            1.0
        };
        let cost = server.cost(now, &self.settings) * zone;
        if !even {
            return cost;
        }
        let connection = match self.idle_conn(now, key, 0) {
            Some(_) => 1.0,
            None => SPREAD,
        };
        let factor = by.turn.factor(&server.backend.id);
        cost * connection * factor
    }

    /// Records the load that a server states in a response.
    pub(super) fn observe_load(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        stated: Option<StatedLoad>,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let invalid = stated == Some(StatedLoad::Invalid);
        let was_invalid = std::mem::replace(&mut server.invalid_load, invalid);
        if let Some(StatedLoad::Load(load)) = stated {
            server.heard = Some(HeardLoad::new(now, load, server.calls.len()));
        }
        if invalid && !was_invalid {
            self.log_server_event(key, ServerEvent::InvalidLoad);
        }
    }

    /// Records the availability zones of the running daemons.
    pub(super) fn count_daemons(&mut self, cluster: Cluster) {
        let daemons = self.daemons(cluster).into_iter();
        let running = daemons.filter(|daemon| daemon.running);
        let zones = running.map(|daemon| (daemon.rank, daemon.zone));
        self.daemon_zones = zones.collect();
    }

    /// Sets how much servers of a service in the own zone are preferred, by the numbers of
    /// servers and daemons in the zones.
    pub(super) fn set_local_share(&mut self, key: ServiceKey) {
        let service = &self.services[key];
        let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
        for server in service.servers.iter().map(|key| &self.servers[*key]) {
            if server.leaving_since.is_none() {
                zones.entry(&server.backend.zone).or_default().servers += 1;
            }
        }
        let helpers = match service.is_helper_group {
            true => &[],
            false => self.helpers_of(service.group),
        };
        if self.peers.is_empty() {
            // Until the others are known, each zone is taken to have as many daemons.
            zones.values_mut().for_each(|zone| zone.daemons = 1);
        } else if helpers.is_empty() {
            for zone in self.daemon_zones.values() {
                zones.entry(zone).or_default().daemons += 1;
            }
        } else {
            for zone in helpers
                .iter()
                .filter_map(|rank| self.daemon_zones.get(rank))
            {
                zones.entry(zone).or_default().daemons += 1;
            }
        }
        let skew = match helpers.is_empty() {
            true => CALLER_SKEW,
            false => HELPER_SKEW,
        };
        let zones: Vec<_> = zones.into_values().collect();
        let share = match service.is_relays {
            // Half of the relays are chosen in the own zone.
            true => 1.0,
            false => local_share(&zones, skew, self.settings.max_zone_imbalance),
        };
        self.services[key].local_share = share;
    }
}
