//! Delegation of search parts to other daemons.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jasminepond_routes::{ReleaseVersion, ServiceName};
use jasminepond_types::{CpuCapacity, Millis, Timestamp};

use super::{Cluster, Forwarder, relay::RELAYS};
use crate::{
    CallerId,
    evacuation::ZoneAccess,
    message::{Action, Backend, BackendState, CallKey, ReqKey, ServerEvent},
    request::{ActiveRoute, Delegated, Part, Req},
    server::{ServerKey, Standing},
    service::ServiceKey,
    settings::RepeatSettings,
    shard_groups::{Demand, HelperCandidate, ShardGroups, connection_share, helper_share},
    terms::SearchTerms,
};

/// Number of helpers per group to which connections are kept.
const CONNECTED_HELPERS: usize = 3;

/// Maximum number of daemons that are tried in turn for one part of a search.
pub(super) const MAX_HELPERS_TRIED: u32 = 2;

/// Connections to one other daemon, which is the number of concurrent searches there.
pub(super) const HELPER_CONNECTIONS: usize = 4;

/// A helper that is late by this much is marked as stalled: several round trips between
/// zones plus scheduling delays on a small core.
const HELPER_OVERDUE: Duration = Duration::from_millis(12);

/// Shortest time by which a helper may be late before its call is aborted. Longer than
/// the 100 ms for which a daemon may be denied its processor.
const HELPER_TIMEOUT_MIN: Duration = Duration::from_millis(150);

/// Time reserved for the network delay of a helper's answer and for merging it.
const MERGE_MARGIN: Duration = Duration::from_millis(8);

/// Name prefix of the internal services that represent groups of daemons. No service of
/// a release has such a name.
const GROUP_PREFIX: &str = "\0group/";

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Instance on which the daemon runs.
    pub instance: Arc<str>,
    /// Address on which the daemon accepts requests of other daemons and datagrams.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Processor capacity of the daemon.
    pub processor: CpuCapacity,
    /// Position in the order that all daemons agree on.
    pub rank: u32,
    /// Whether membership considers the daemon running.
    pub running: bool,
    /// Whether the daemon reaches backend servers, as it states itself.
    pub reaches_servers: bool,
}

/// Request to another daemon to handle a request or a part of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegationRequest {
    /// Indexes of the shards in the route, or `None` for a request to one server.
    pub shards: Option<Rc<[usize]>>,
    /// Fingerprint by which both daemons check that they know the same shards.
    pub shard_set: u64,
    /// Oldest release by which a request to one server may be routed.
    pub release: ReleaseVersion,
    /// Terms by which the other daemon handles a part of a search.
    pub terms: Option<SearchTerms>,
    /// Time after which the other daemon returns the results of a search received so far.
    pub answer_within: Millis,
    /// Number of shards below which the results are of no use, so that the other daemon goes
    /// on after that time.
    pub min_shards: usize,
    /// Whether the request may have been sent to servers before.
    pub repeat: bool,
    /// Maximum number of servers to which each part may be sent, if that is fewer than the
    /// route allows.
    pub max_attempts: u32,
    /// Whether this daemon has checked that the request may be sent although it is suspected
    /// of ending servers.
    pub admitted: bool,
    /// Whether this asks for the rest of a search.
    pub resumes: bool,
    /// Caller of the request, if known.
    pub caller: Option<CallerId>,
}

impl Forwarder {
    /// Sets the other daemons.
    pub fn set_peers(&mut self, now: Timestamp, peers: Vec<Peer>) {
        if self.peers != peers {
            self.peers = peers;
            self.regroup(now);
        }
    }

    /// Recomputes the shard groups and the assignment of servers to this daemon.
    pub(super) fn regroup(&mut self, now: Timestamp) {
        let cluster = self.cluster.unwrap_or_default();
        self.set_limiter_daemons(now);
        self.set_quarantine_peers();
        self.demand = self.demand();
        let groups = ShardGroups::new(&self.daemons(cluster), &self.demand);
        self.log_groups(&groups, cluster.rank);
        self.shard_groups = groups;
        self.count_daemons(cluster);
        self.settings.daemons_sharing = match self.shard_groups.groups().first() {
            Some(group) => group.helpers.len() as u32,
            None => cluster.daemons,
        };
        for service in self.services.values_mut() {
            (service.shard_index, service.group) = (None, None);
        }
        for (index, key) in self.search_shards.iter().flat_map(|s| s.iter().enumerate()) {
            self.services[*key].shard_index = Some(index);
        }
        self.update_helper_servers(now);
        let services: Vec<_> = self.services.keys().collect();
        for service in services {
            self.assign_group(service);
            self.assign_servers(now, service);
        }
        self.preconnect_all(now);
    }

    /// Logs the groups that this daemon helps if they change.
    fn log_groups(&mut self, groups: &ShardGroups, rank: u32) {
        let own = |groups: &ShardGroups| -> Vec<u32> {
            let numbers = 0..groups.groups().len() as u32;
            numbers.filter(|g| groups.is_helper(rank, *g)).collect()
        };
        let now_own = own(groups);
        if now_own != own(&self.shard_groups) {
            self.actions.push_back(Action::LogGroups {
                own: now_own,
                groups: groups.groups().len(),
            });
        }
    }

    /// All daemons in the order that all agree on.
    pub(super) fn daemons(&self, cluster: Cluster) -> Vec<HelperCandidate> {
        // If no daemon states that it reaches servers, all of them are as good.
        let reaching = |peer: &Peer| peer.running && peer.reaches_servers;
        let any_reaching = !self.contact.is_lost() || self.peers.iter().any(reaching);
        let own = HelperCandidate {
            rank: cluster.rank,
            zone: self.settings.zone.as_str().into(),
            processor: self.settings.processor,
            running: !any_reaching || !self.contact.is_lost(),
        };
        let other = |peer: &Peer| HelperCandidate {
            rank: peer.rank,
            zone: peer.zone.as_str().into(),
            processor: peer.processor,
            running: peer.running && (!any_reaching || peer.reaches_servers),
        };
        let mut daemons: Vec<_> = self.peers.iter().map(other).collect();
        daemons.push(own);
        daemons.sort_by_key(|daemon| daemon.rank);
        daemons
    }

    fn demand(&self) -> Demand {
        let shards = self.search_shards.iter().flatten();
        let connections = shards
            .clone()
            .map(|key| self.services[*key].max_connections);
        let widest = self.search_shards.iter().max_by_key(|shards| shards.len());
        let zones = shards.flat_map(|key| self.zones_of(*key));
        let mut zones: Vec<Arc<str>> = zones.map(Arc::from).collect();
        zones.sort();
        zones.dedup();
        Demand {
            shards: widest.map_or(0, Vec::len),
            connections: connections.min().unwrap_or(u32::MAX),
            zones,
        }
    }

    /// Whether this is the first server of any shard in its availability zone.
    pub(super) fn is_new_zone(&self, server: ServerKey) -> bool {
        let server = &self.servers[server];
        let known = |zone: &Arc<str>| **zone == *server.backend.zone;
        self.services[server.service].shard_index.is_some() && !self.demand.zones.iter().any(known)
    }

    /// Availability zones of the servers of a service.
    fn zones_of(&self, service: ServiceKey) -> Vec<&str> {
        let servers = self.services[service].servers.iter();
        let staying = servers.filter(|key| self.servers[**key].leaving_since.is_none());
        staying
            .map(|key| &*self.servers[*key].backend.zone)
            .collect()
    }

    /// Sets the group of a service that is a shard, and its budget accordingly.
    pub(super) fn assign_group(&mut self, service: ServiceKey) {
        let state = &self.services[service];
        let repeat = self.settings.repeat;
        let (group, repeat) = match state.shard_index {
            Some(index) if self.shard_groups.is_divided() => {
                let group = self.shard_groups.group_of(index, &self.zones_of(service));
                (group, self.helper_budget(group))
            }
            _ => (None, repeat),
        };
        let state = &mut self.services[service];
        state.group = group;
        state.budget.resize(repeat);
    }

    /// Helpers of a group share the slack of its shards; other daemons have none.
    fn helper_budget(&self, group: Option<u32>) -> RepeatSettings {
        let repeat = self.settings.repeat;
        let helpers = self.helpers_of(group).len();
        match group.is_some_and(|group| self.helps_group(group)) {
            true => RepeatSettings {
                daemons: u32::try_from(helpers).unwrap_or(u32::MAX),
                ..repeat
            },
            false => RepeatSettings {
                slack: 0.0,
                ..repeat
            },
        }
    }

    pub(super) fn helpers_of(&self, group: Option<u32>) -> &[u32] {
        let group = group.and_then(|group| self.shard_groups.groups().get(group as usize));
        group.map_or(&[], |group| &group.helpers)
    }

    /// Whether this daemon is a helper of the group.
    fn helps_group(&self, group: u32) -> bool {
        let rank = self.cluster.unwrap_or_default().rank;
        self.shard_groups.is_helper(rank, group)
    }

    /// Adds the helpers of other groups as servers, and retires daemons that are no
    /// longer helpers.
    fn update_helper_servers(&mut self, now: Timestamp) {
        let rank = self.cluster.unwrap_or_default().rank;
        let mut wanted = Vec::new();
        for (group, state) in (0..).zip(self.shard_groups.groups()) {
            if !state.helpers.contains(&rank) {
                wanted.extend(state.helpers.iter().map(|helper| (group, *helper)));
            }
        }
        let peers: HashMap<u32, &Peer> = self.peers.iter().map(|p| (p.rank, p)).collect();
        let helpers = wanted
            .iter()
            .filter_map(|(group, helper)| Some(helper_entry(*group, peers.get(helper)?)));
        let entries: Vec<Backend> = helpers.chain(self.relay_entries()).collect();
        let ids: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let helpers = self
            .services
            .values()
            .filter(|service| service.is_helper_group);
        let known: Vec<_> = helpers
            .flat_map(|service| service.servers.clone())
            .collect();
        for key in known {
            if !ids.contains(&self.servers[key].backend.id) {
                self.retire(now, key);
            }
        }
        for entry in entries {
            let service = self.service(&entry.service);
            let state = &mut self.services[service];
            state.is_helper_group = true;
            state.is_relays = state.name.as_str() == RELAYS;
            // Connections to relays are opened once they are needed.
            state.routed = !state.is_relays || self.contact.is_lost();
            let known = self.servers_by_id.get(&entry.id);
            let known = known.map(|key| &self.servers[*key].backend);
            if known.is_none_or(|known| known.address != entry.address) {
                self.put_backend(now, entry);
            }
        }
    }

    pub(super) fn group_service(&mut self, group: u32) -> ServiceKey {
        self.service(&group_name(group))
    }

    /// Servers of a service in order of preference, and how many of the first ones are
    /// assigned to this daemon.
    pub(super) fn assigned_servers(&self, service: ServiceKey) -> (Vec<ServerKey>, usize) {
        let state = &self.services[service];
        let id = |key: &ServerKey| self.servers[*key].backend.id.clone();
        let mut ordered = state.servers.clone();
        // The connections to servers of evacuated zones are divided among the others.
        ordered.retain(|key| self.servers[*key].access == ZoneAccess::Open);
        ordered.sort_by_key(id);
        let rank = self.cluster.unwrap_or_default().rank as usize;
        let len = ordered.len();
        if state.is_helper_group {
            // Daemons prefer different helpers, which spreads the load evenly.
            ordered.rotate_left(rank % len.max(1));
            let count = if state.is_relays {
                len
            } else {
                CONNECTED_HELPERS
            };
            return (ordered, count);
        }
        match state.group {
            Some(group) if self.helps_group(group) => (ordered, len),
            Some(_) => (ordered, 0),
            None => {
                ordered.rotate_left(rank % len.max(1));
                let own = (self.connection_share(service) * len as f64).floor() as usize;
                (ordered, own.max(1))
            }
        }
    }

    /// This daemon's share of the connections to one server of a service, below one if
    /// there are more daemons than connections.
    pub(super) fn connection_share(&self, service: ServiceKey) -> f64 {
        let state = &self.services[service];
        let daemons = self.cluster.unwrap_or_default().daemons as usize;
        match state.group {
            Some(_) => helper_share(state.max_connections, self.helpers_of(state.group).len()),
            None => connection_share(state.max_connections, daemons),
        }
    }

    /// Splits a search into one part for each shard that this daemon handles itself and
    /// one part for each other group that has an available helper. `left_out` are the indexes
    /// of shards that get no part.
    pub(super) fn search_parts(
        &mut self,
        now: Timestamp,
        shards: &[ServiceKey],
        only: Option<&[usize]>,
        left_out: &[usize],
    ) -> Vec<Part> {
        if let Some(only) = only {
            let known = only.iter().filter_map(|index| shards.get(*index));
            return known.map(|service| Part::new(*service)).collect();
        }
        let mut unreached = Vec::new();
        let groups = self.shard_groups.groups().len();
        let mut of_groups = vec![Vec::new(); groups];
        let mut local = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            if left_out.contains(&index) {
                continue;
            }
            match self.services[*shard].group {
                Some(group) if !self.helps_group(group) => of_groups[group as usize].push(index),
                _ if self.needs_relay(now, *shard) && self.can_relay(now, *shard) => {
                    unreached.push(index);
                }
                _ => local.push(index),
            }
        }
        let mut parts = Vec::new();
        // Delegated parts are sent first, so that helpers work in parallel.
        for (group, of_group) in (0..).zip(of_groups) {
            if of_group.is_empty() {
                continue;
            }
            let service = self.group_service(group);
            if self.has_helper(now, service) {
                parts.push(Part::delegated(service, of_group.into()));
            } else {
                local.extend(of_group);
            }
        }
        if !unreached.is_empty() {
            parts.push(Part::delegated(self.relays(), unreached.into()));
        }
        parts.extend(local.into_iter().map(|index| Part::new(shards[index])));
        parts
    }

    /// Whether a group has a helper that is not known to be unresponsive. Waiting for a
    /// connection to it is faster than connecting to all servers of the group.
    pub(super) fn has_helper(&self, now: Timestamp, service: ServiceKey) -> bool {
        let answers = |key: &ServerKey| {
            let standing = self.servers[*key].standing(now, &self.settings);
            standing.is_some_and(|standing| standing < Standing::Stalled)
        };
        self.services[service].servers.iter().any(answers)
    }

    /// Builds the request to a helper for a delegated part.
    pub(super) fn delegation(
        &self,
        now: Timestamp,
        req: &Req,
        index: usize,
    ) -> Option<DelegationRequest> {
        let part = &req.parts[index];
        let (shards, left) = match part.delegated.clone()? {
            Delegated::Shards(shards) => {
                let left = req.answer_by.since(now).saturating_sub(MERGE_MARGIN);
                (Some(shards), left)
            }
            Delegated::Whole(_) => (None, req.deadline.since(now)),
        };
        Some(DelegationRequest {
            shards,
            shard_set: req.route.shard_set,
            release: req.route.version.max(self.newest_release),
            terms: req.route.terms(),
            answer_within: Millis((left.as_millis() as u64).max(1)),
            min_shards: self.shards_needed(req, index),
            repeat: part.repeat && part.resumes.is_none(),
            max_attempts: part.max_attempts,
            admitted: req.trial.is_some() || req.admitted,
            resumes: part.resumes.is_some(),
            caller: Some(req.caller),
        })
    }

    /// Number of shards of a part without which a search cannot reach its coverage. Helpers of
    /// groups return what they have, since others return more.
    fn shards_needed(&self, req: &Req, index: usize) -> usize {
        let part = &req.parts[index];
        if !self.is_relayed(part) && part.resumes.is_none() {
            return 1;
        }
        let others = req.parts.iter().enumerate();
        let others = others.filter(|(at, part)| *at != index && part.is_open());
        let others: usize = others.map(|(_, part)| part.weight).sum();
        req.min_shards.saturating_sub(req.done + others).max(1)
    }

    /// Times after which a helper is marked as stalled and after which its call is
    /// aborted.
    pub(super) fn helper_timeouts(
        &self,
        delegation: &DelegationRequest,
        route: &ActiveRoute,
        left: Duration,
    ) -> (Duration, Duration) {
        let answer = delegation.answer_within.duration();
        if delegation.shards.is_none() {
            // The other daemon hedges after the same time.
            return (self.hedge_delay(route) * 2 + HELPER_OVERDUE, left);
        }
        if delegation.resumes {
            return (left, left);
        }
        if delegation.min_shards > 1 {
            return (answer * 2 + HELPER_OVERDUE, left);
        }
        (
            answer + HELPER_OVERDUE,
            answer + answer.max(HELPER_TIMEOUT_MIN),
        )
    }

    /// Sends a part that has certainly not run to the next helper, or handles it
    /// locally.
    pub(super) fn try_next_helper(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let part = &self.reqs[key].parts[index];
        if part.delegations < self.max_tried(part) {
            self.place(now, key, index);
        } else {
            self.on_no_server(now, key, index);
        }
    }

    /// Sends a part to the next helper after the previous one may have sent it to servers.
    /// Refused if a service has more servers than the route's `max_attempts`, since the two
    /// helpers together may send to all of them.
    pub(super) fn retry_delegated(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let max_attempts = req.route.route.max_attempts as usize;
        let services = self.services_of(key, index);
        let servers = |service: &ServiceKey| self.services[*service].servers.len();
        let allowed = req.route.may_repeat()
            && services
                .iter()
                .all(|service| servers(service) <= max_attempts);
        if allowed && part.delegations < self.max_tried(part) && now < req.deadline {
            self.reqs[key].parts[index].repeat = true;
            self.place(now, key, index);
        } else {
            self.mark_missing(key, index, "helper_lost");
        }
    }

    /// Sends the sub-requests of a delegated part from this daemon. Only for parts that
    /// have certainly not run: otherwise the helper may have used up the attempts that
    /// the route allows.
    pub(super) fn handle_locally(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let services = self.services_of(key, index);
        self.unqueue(key, index);
        self.reqs[key].parts[index].hand_over();
        for service in services {
            let req = &mut self.reqs[key];
            let index = req.parts.len();
            req.parts.push(Part::new(service));
            self.place(now, key, index);
        }
    }

    /// Marks a late helper as stalled, so that new searches go to other helpers. Its
    /// call continues, since the part must not be sent again.
    pub(super) fn on_slow_helper(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (server, unanswered) = (call.server, now.since(call.sent));
        if self.servers[server].set_stalled() {
            self.log_server_event(server, ServerEvent::Stalled { unanswered });
        }
    }
}

/// Server entry that represents another daemon as a helper of a group.
fn helper_entry(group: u32, peer: &Peer) -> Backend {
    peer_entry(group_name(group), &group.to_string(), peer)
}

/// Server entry that represents another daemon in this role.
pub(super) fn peer_entry(service: ServiceName, role: &str, peer: &Peer) -> Backend {
    Backend {
        id: format!("daemon/{}/{role}", peer.instance).into(),
        service,
        address: peer.address,
        zone: peer.zone.clone(),
        slots: 1,
        state: BackendState::Ready,
        warm_up_left: Millis(0),
        started: None,
        writes: 0,
    }
}

fn group_name(group: u32) -> ServiceName {
    ServiceName::from(format!("{GROUP_PREFIX}{group}").as_str())
}
