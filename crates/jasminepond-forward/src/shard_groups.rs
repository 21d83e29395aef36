//! Assignment of the shards of a search to daemons.
//!
//! Searches cover up to hundreds of shards, on up to thousands of daemons of unequal
//! size, while a backend server accepts fewer connections than there are daemons.
//! Shards are therefore divided into groups, and a few daemons, the helpers of a group,
//! send the sub-requests of all searches to its shards. Helpers use each server often
//! enough to notice when it pauses, and the number of connections to a server depends
//! on the helpers of a group instead of the number of daemons.
//!
//! Each daemon computes the groups independently from membership and the store.
//! Temporarily different views cost extra connections but lose no answers: a daemon
//! handles every shard that it is asked for, whether or not it considers itself a
//! helper.

use std::sync::Arc;

use jasminepond_types::CpuCapacity;

/// Shards per group: at 75 us each they take about 10 ms on an eighth of a core.
const SHARDS_PER_GROUP: usize = 16;

/// Searches over fewer shards are divided only if servers accept too few connections: a
/// quarter of a core sends their sub-requests within 10 ms.
const MIN_SHARDS: usize = 40;

/// Minimum number of helpers per group: one may fail while another is partitioned.
const MIN_HELPERS: usize = 3;

/// Number of daemons per group for each helper; at least [`MIN_HELPERS`] are used.
const DAEMONS_PER_HELPER: usize = 16;

/// Minimum number of connections of a helper to each server: a call to a pausing server
/// blocks one of them.
const MIN_CONNECTIONS: f64 = 2.0;

/// Share of a server's connection limit that the daemons use. The rest is reserved for
/// daemons that restart while their old connections still count.
const CONNECTION_SHARE: f64 = 0.98;

/// Factor by which a daemon outside a group's availability zone must be less loaded,
/// relative to its processor, to be preferred to a daemon inside.
const REMOTE_FACTOR: f64 = 3.0;

/// A daemon that can be chosen as a helper.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperCandidate {
    /// Position in the order that all daemons agree on.
    pub rank: u32,
    /// Availability zone of the daemon.
    pub zone: Arc<str>,
    /// Processor capacity of the daemon.
    pub processor: CpuCapacity,
    /// Whether membership considers the daemon running.
    pub running: bool,
}

/// Requirements of the searches of a release.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Demand {
    /// Number of shards of the widest search.
    pub shards: usize,
    /// Lowest connection limit among the servers of the shards.
    pub connections: u32,
    /// Availability zones of the servers of the shards, sorted.
    pub zones: Vec<Arc<str>>,
}

/// A group of shards that the same daemons handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Availability zone of servers of the group's shards.
    pub zone: Option<Arc<str>>,
    /// Ranks of the daemons that handle the group.
    pub helpers: Vec<u32>,
}

/// The groups of shards; empty if each daemon sends all sub-requests itself.
///
/// ```
/// use jasminepond_forward::{HelperCandidate, Demand, ShardGroups};
///
/// let daemon = |rank| HelperCandidate {
///     rank, zone: "a".into(), processor: Default::default(), running: true,
/// };
/// let daemons: Vec<_> = (0..90).map(daemon).collect();
/// let few = Demand { shards: 20, connections: 120, zones: vec![] };
/// assert!(!ShardGroups::new(&daemons, &few).is_divided());
/// let many = Demand { shards: 90, ..few };
/// assert_eq!(ShardGroups::new(&daemons, &many).groups().len(), 6);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ShardGroups {
    groups: Vec<Group>,
}

impl ShardGroups {
    /// Divides the shards among the daemons.
    pub fn new(daemons: &[HelperCandidate], demand: &Demand) -> Self {
        let wanted = demand.shards.div_ceil(SHARDS_PER_GROUP);
        let scarce = connection_share(demand.connections, daemons.len()) < 1.0;
        let wide = demand.shards >= MIN_SHARDS && daemons.len() >= wanted * MIN_HELPERS;
        if demand.shards == 0 || !(scarce || wide) {
            return Self::default();
        }
        let groups = wanted.min(daemons.len() / MIN_HELPERS).max(1);
        let helpers = helpers_per_group(daemons.len(), groups, demand.connections);
        let mut load = vec![0_u32; daemons.len()];
        let groups = (0..groups).map(|group| {
            let zones = demand.zones.len();
            let zone = (zones > 0).then(|| demand.zones[group % zones].clone());
            let helpers = choose_helpers(daemons, &mut load, zone.as_deref(), helpers);
            Group { zone, helpers }
        });
        Self {
            groups: groups.collect(),
        }
    }

    /// Whether searches are divided among daemons.
    pub fn is_divided(&self) -> bool {
        !self.groups.is_empty()
    }

    /// The groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Whether the daemon of this rank is a helper of the group.
    pub fn is_helper(&self, rank: u32, group: u32) -> bool {
        let group = self.groups.get(group as usize);
        group.is_some_and(|group| group.helpers.contains(&rank))
    }

    /// Group of the shard at `index` of a search whose servers are in `zones`. A server
    /// that moves to another zone changes the group of no other shard.
    pub fn group_of(&self, index: usize, zones: &[&str]) -> Option<u32> {
        let inside = |group: &&(u32, &Group)| {
            let zone = group.1.zone.as_deref();
            zone.is_some_and(|zone| zones.contains(&zone))
        };
        let numbered = (0..).zip(&self.groups);
        let all: Vec<(u32, &Group)> = numbered.collect();
        let near: Vec<_> = all.iter().filter(inside).collect();
        if near.is_empty() || near.len() == all.len() {
            return Some(all.get(index % all.len().max(1))?.0);
        }
        // Shards in the same zones are usually spaced at a fixed stride, which may divide
        // the number of groups; the turn keeps them from sharing one group.
        let turn = index / all.len();
        Some(near[(index + turn) % near.len()].0)
    }
}

/// Connections to one server per daemon; below one if there are too many daemons.
pub(crate) fn connection_share(connections: u32, daemons: usize) -> f64 {
    f64::from(connections) * CONNECTION_SHARE / daemons.max(1) as f64
}

fn helpers_per_group(daemons: usize, groups: usize, connections: u32) -> usize {
    let wanted = (daemons / (groups * DAEMONS_PER_HELPER)).max(MIN_HELPERS);
    // `helper_share` reserves the share of one more helper.
    let most = connection_share(connections, 1) / MIN_CONNECTIONS - 1.0;
    wanted.min(most.max(1.0) as usize).min(daemons)
}

/// Connections to one server per helper of a group. The share of one more helper is
/// reserved for a daemon that has just become or ceased to be a helper.
pub(crate) fn helper_share(connections: u32, helpers: usize) -> f64 {
    connection_share(connections, helpers + 1)
}

/// Chooses the daemons with the most processor capacity per group that they already
/// help, and prefers those in the zone of the group.
fn choose_helpers(
    daemons: &[HelperCandidate],
    load: &mut [u32],
    zone: Option<&str>,
    count: usize,
) -> Vec<u32> {
    let cost = |at: usize, load: &[u32]| {
        let remote = zone.is_some_and(|zone| zone != &*daemons[at].zone);
        let factor = if remote { REMOTE_FACTOR } else { 1.0 };
        f64::from(load[at] + 1) / daemons[at].processor.cores() * factor
    };
    let mut chosen: Vec<usize> = Vec::with_capacity(count);
    for _ in 0..count {
        let free = (0..daemons.len()).filter(|at| daemons[*at].running && !chosen.contains(at));
        let best = free.min_by(|a, b| cost(*a, load).total_cmp(&cost(*b, load)));
        let Some(best) = best else { break };
        load[best] += 1;
        chosen.push(best);
    }
    chosen.into_iter().map(|at| daemons[at].rank).collect()
}
