//! Parts of searches that other daemons handle.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jasminepond_routes::ServiceName;
use jasminepond_types::{CpuCapacity, Millis, Timestamp};

use super::{Cluster, Forwarder};
use crate::{
    division::{Candidate, Demand, Division, connection_share, helper_share},
    message::{Backend, BackendState, Belief, CallKey, ReqKey},
    request::{Part, PartState, Req},
    server::{ServerKey, Standing},
    service::ServiceKey,
    settings::RepeatSettings,
};

/// Helpers of each group to which connections are kept.
const HELPERS_KEPT: usize = 3;

/// Daemons that are asked for one part of a search, one after the other.
const MAX_ASKED: u32 = 2;

/// Connections to one other daemon: searches in progress at the same time.
pub(super) const HELPER_CONNECTIONS: usize = 4;

/// A daemon that has not answered for this long after it should have is set aside:
/// several round trips between zones and the scheduling of a small core.
const HELPER_OVERDUE: Duration = Duration::from_millis(12);

/// Least time after which a daemon that should have answered is given up. Longer
/// than the tenth of a second for which a core may be withheld.
const HELPER_GIVEN_UP: Duration = Duration::from_millis(150);

/// Time kept for the way back of another daemon's answer and for merging it.
const MERGE_MARGIN: Duration = Duration::from_millis(8);

/// Names of the services that stand for the groups of daemons begin so. No
/// service of a release can be reached under such a name.
const GROUP_PREFIX: &str = "\0group/";

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its instance.
    pub instance: Arc<str>,
    /// Where it takes parts of searches.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// What it has of processors.
    pub processor: CpuCapacity,
    /// How many daemons come before it in the order that all agree on.
    pub rank: u32,
    /// Whether it is thought to run.
    pub running: bool,
}

/// The part of a search that another daemon does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delegation {
    /// Indexes of the shards in the route.
    pub shards: Rc<[usize]>,
    /// Tells whether both daemons know the same shards.
    pub shard_set: u64,
    /// Time after which what is there is wanted.
    pub answer_within: Millis,
    /// Whether another daemon was asked before and may have sent the sub-requests.
    pub repeat: bool,
}

impl Forwarder {
    /// The other daemons have changed.
    pub fn set_peers(&mut self, now: Timestamp, peers: Vec<Peer>) {
        if self.peers != peers {
            self.peers = peers;
            self.regroup(now);
        }
    }

    /// Divides the shards of the release in force among the daemons.
    pub(super) fn regroup(&mut self, now: Timestamp) {
        let cluster = self.cluster.unwrap_or_default();
        self.demand = self.demand();
        self.division = Division::new(&self.daemons(cluster), &self.demand);
        self.settings.sharing = match self.division.groups().first() {
            Some(group) => group.helpers.len() as u32,
            None => cluster.daemons,
        };
        for service in self.services.values_mut() {
            (service.shard, service.group) = (None, None);
        }
        for (index, key) in self.searched.iter().flat_map(|s| s.iter().enumerate()) {
            self.services[*key].shard = Some(index);
        }
        self.put_helpers(now);
        let services: Vec<_> = self.services.keys().collect();
        for service in services {
            self.assign(service);
            self.divide(service);
        }
        self.warm_all(now);
    }

    /// All daemons in the order that they agree on.
    fn daemons(&self, cluster: Cluster) -> Vec<Candidate> {
        let own = Candidate {
            rank: cluster.rank,
            zone: self.settings.zone.as_str().into(),
            processor: self.settings.processor,
            running: true,
        };
        let other = |peer: &Peer| Candidate {
            rank: peer.rank,
            zone: peer.zone.as_str().into(),
            processor: peer.processor,
            running: peer.running,
        };
        let mut daemons: Vec<_> = self.peers.iter().map(other).collect();
        daemons.push(own);
        daemons.sort_by_key(|daemon| daemon.rank);
        daemons
    }

    fn demand(&self) -> Demand {
        let shards = self.searched.iter().flatten();
        let connections = shards
            .clone()
            .map(|key| self.services[*key].max_connections);
        let widest = self.searched.iter().max_by_key(|shards| shards.len());
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

    /// Whether no server of a shard was known in the zone of this one.
    pub(super) fn is_new_zone(&self, server: ServerKey) -> bool {
        let server = &self.servers[server];
        let known = |zone: &Arc<str>| **zone == *server.backend.zone;
        self.services[server.service].shard.is_some() && !self.demand.zones.iter().any(known)
    }

    /// Availability zones in which the servers of a service stand.
    fn zones_of(&self, service: ServiceKey) -> Vec<&str> {
        let servers = self.services[service].servers.iter();
        let staying = servers.filter(|key| self.servers[**key].leaving_since.is_none());
        staying
            .map(|key| &*self.servers[*key].backend.zone)
            .collect()
    }

    /// Finds the group of a shard.
    pub(super) fn assign(&mut self, service: ServiceKey) {
        let state = &self.services[service];
        let repeat = self.settings.repeat;
        let (group, repeat) = match state.shard {
            Some(index) if self.division.is_divided() => {
                let group = self.division.group_of(index, &self.zones_of(service));
                (group, self.helper_budget(group))
            }
            _ => (None, repeat),
        };
        let state = &mut self.services[service];
        state.group = group;
        state.budget.resize(repeat);
    }

    /// The helpers of a group divide the slack of its shards; others have none.
    fn helper_budget(&self, group: Option<u32>) -> RepeatSettings {
        let repeat = self.settings.repeat;
        let helpers = self.helpers_of(group).len();
        match group.is_some_and(|group| self.is_own(group)) {
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

    fn helpers_of(&self, group: Option<u32>) -> &[u32] {
        let group = group.and_then(|group| self.division.groups().get(group as usize));
        group.map_or(&[], |group| &group.helpers)
    }

    /// Whether this daemon is a helper of the group.
    fn is_own(&self, group: u32) -> bool {
        let rank = self.cluster.unwrap_or_default().rank;
        self.division.helps(rank, group)
    }

    /// Adds the helpers of other groups as servers, and retires those that no longer
    /// are.
    fn put_helpers(&mut self, now: Timestamp) {
        let rank = self.cluster.unwrap_or_default().rank;
        let mut wanted = Vec::new();
        for (group, state) in (0..).zip(self.division.groups()) {
            if !state.helpers.contains(&rank) {
                wanted.extend(state.helpers.iter().map(|helper| (group, *helper)));
            }
        }
        let peers: HashMap<u32, &Peer> = self.peers.iter().map(|p| (p.rank, p)).collect();
        let entries: Vec<Backend> = wanted
            .iter()
            .filter_map(|(group, helper)| Some(helper_entry(*group, peers.get(helper)?)))
            .collect();
        let ids: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let helpers = self.services.values().filter(|service| service.helpers);
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
            self.services[service].helpers = true;
            self.services[service].routed = true;
            let known = self.servers_by_id.get(&entry.id);
            let known = known.map(|key| &self.servers[*key].backend);
            if known.is_none_or(|known| known.address != entry.address) {
                self.put_backend(now, entry);
            }
        }
    }

    fn group_service(&mut self, group: u32) -> ServiceKey {
        self.service(&group_name(group))
    }

    /// Which servers of a service this daemon keeps connections to, first ones
    /// first, and how many of them.
    pub(super) fn own_servers(&self, service: ServiceKey) -> (Vec<ServerKey>, usize) {
        let state = &self.services[service];
        let id = |key: &ServerKey| self.servers[*key].backend.id.clone();
        let mut ordered = state.servers.clone();
        ordered.sort_by_key(id);
        let rank = self.cluster.unwrap_or_default().rank as usize;
        let len = ordered.len();
        if state.helpers {
            // Each daemon prefers another helper, so that all get the same.
            ordered.rotate_left(rank % len.max(1));
            return (ordered, HELPERS_KEPT);
        }
        match state.group {
            Some(group) if self.is_own(group) => (ordered, len),
            Some(_) => (ordered, 0),
            None => {
                ordered.rotate_left(rank % len.max(1));
                let own = (self.connection_share(service) * len as f64).floor() as usize;
                (ordered, own.max(1))
            }
        }
    }

    /// Connections to one server of a service that are this daemon's own; below
    /// one if there are more daemons than connections.
    pub(super) fn connection_share(&self, service: ServiceKey) -> f64 {
        let state = &self.services[service];
        let daemons = self.cluster.unwrap_or_default().daemons as usize;
        match state.group {
            Some(_) => helper_share(state.max_connections, self.helpers_of(state.group).len()),
            None => connection_share(state.max_connections, daemons),
        }
    }

    /// The parts of a search: shards of the own groups, and one part for each other
    /// group that has a daemon to help.
    pub(super) fn search_parts(
        &mut self,
        now: Timestamp,
        shards: &[ServiceKey],
        only: Option<&[usize]>,
    ) -> Vec<Part> {
        if let Some(only) = only {
            let known = only.iter().filter_map(|index| shards.get(*index));
            return known.map(|service| Part::new(*service)).collect();
        }
        let groups = self.division.groups().len();
        let mut of_groups = vec![Vec::new(); groups];
        let mut here = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            match self.services[*shard].group {
                Some(group) if !self.is_own(group) => of_groups[group as usize].push(index),
                _ => here.push(index),
            }
        }
        let mut parts = Vec::new();
        // Other daemons are asked first: they work while this one does.
        for (group, of_group) in (0..).zip(of_groups) {
            if of_group.is_empty() {
                continue;
            }
            let service = self.group_service(group);
            if self.has_helper(now, service) {
                parts.push(Part::delegated(service, of_group.into()));
            } else {
                here.extend(of_group);
            }
        }
        parts.extend(here.into_iter().map(|index| Part::new(shards[index])));
        parts
    }

    /// Whether a helper of a group is thought to answer. A part may wait for a
    /// connection to it, which takes less than connections to all its servers.
    fn has_helper(&self, now: Timestamp, service: ServiceKey) -> bool {
        let answers = |key: &ServerKey| {
            let standing = self.servers[*key].standing(now, &self.settings);
            standing.is_some_and(|standing| standing < Standing::Stalled)
        };
        self.services[service].servers.iter().any(answers)
    }

    /// What another daemon is told with its part of a search.
    pub(super) fn delegation(&self, now: Timestamp, req: &Req, index: usize) -> Option<Delegation> {
        let shards = req.parts[index].delegated.clone()?;
        let left = req.answer_by.since(now).saturating_sub(MERGE_MARGIN);
        Some(Delegation {
            shards,
            shard_set: req.route.shard_set,
            answer_within: Millis((left.as_millis() as u64).max(1)),
            repeat: req.parts[index].repeat,
        })
    }

    /// How long another daemon may take for its part: until it is set aside, and
    /// until it is given up.
    pub(super) fn helper_timeouts(delegation: &Delegation) -> (Duration, Duration) {
        let answer = delegation.answer_within.duration();
        (
            answer + HELPER_OVERDUE,
            answer + answer.max(HELPER_GIVEN_UP),
        )
    }

    /// Asks the next helper for a part that has certainly not been sent on, or does
    /// it here.
    pub(super) fn ask_again(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let part = &self.reqs[key].parts[index];
        if part.sends < MAX_ASKED {
            self.place(now, key, index);
        } else {
            self.nowhere(now, key, index);
        }
    }

    /// Asks the next helper for a part that the last one may have sent on. The two
    /// together must not send it to more servers than the route allows.
    pub(super) fn repeat_part(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let most = req.route.route.max_attempts as usize;
        let shards = part.delegated.iter().flat_map(|shards| shards.iter());
        let mut servers =
            shards.map(|shard| self.services[req.route.shards()[*shard]].servers.len());
        let allowed = servers.all(|servers| servers <= most);
        if allowed && part.sends < MAX_ASKED && now < req.deadline {
            self.reqs[key].parts[index].repeat = true;
            self.place(now, key, index);
        } else {
            self.part_missing(key, index, "helper_lost");
        }
    }

    /// Does a part here that another daemon has certainly not sent on. One that may
    /// have run is not done again: the other daemon may have used all the runs that
    /// the route allows.
    pub(super) fn take_over(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        let Some(req) = self.reqs.get_mut(key) else {
            return;
        };
        let Some(shards) = req.parts[index].delegated.take() else {
            return;
        };
        let part = &mut req.parts[index];
        part.state = PartState::Missing("taken_over");
        part.weight = 0;
        let services: Vec<_> = shards
            .iter()
            .map(|shard| req.route.shards()[*shard])
            .collect();
        for service in services {
            let req = &mut self.reqs[key];
            let index = req.parts.len();
            req.parts.push(Part::new(service));
            self.place(now, key, index);
        }
    }

    /// Another daemon should have answered with what it has. New searches go to
    /// others; its answer is waited for, since its part cannot be done again.
    pub(super) fn on_slow_helper(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (server, unanswered) = (call.server, now.since(call.sent));
        if self.servers[server].stall() {
            self.note(server, Belief::Stalled { unanswered });
        }
    }
}

/// Entry of another daemon as a server of a group.
fn helper_entry(group: u32, peer: &Peer) -> Backend {
    Backend {
        id: format!("daemon/{}/{group}", peer.instance).into(),
        service: group_name(group),
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
