//! Which daemons handle which shards of a search.
//!
//! Load: searches over up to hundreds of shards, on up to thousands of daemons of
//! unequal size, while a backend server accepts fewer connections than there are
//! daemons. Shards are divided into groups, and a few daemons, the helpers of a
//! group, send the sub-requests of all searches to its shards. They see each server
//! often enough to know when it pauses, and the connections that a server gets
//! depend on the helpers of a group and not on the number of daemons.
//!
//! Every daemon works the division out by itself, from what the membership and the
//! store say. Views that differ for a moment cost connections and no answers: a
//! daemon that is asked for a shard handles it, whether it thinks itself a helper
//! or not.

use std::sync::Arc;

use jasminepond_types::CpuCapacity;

/// Shards of a search that one daemon handles: at 75 us each and an eighth of a
/// core they take ten milliseconds.
const SHARDS_PER_GROUP: usize = 16;

/// Searches over fewer shards are divided only if servers accept too few
/// connections: a quarter of a core sends them within ten milliseconds.
const MIN_SHARDS: usize = 40;

/// Helpers of a group: one may fail and one be cut off at the same time.
const MIN_HELPERS: usize = 3;

/// Daemons for which one helper of each group is added to [`MIN_HELPERS`].
const DAEMONS_PER_HELPER: usize = 16;

/// Connections to each server that a helper needs at least: one is held by a call
/// to a server that pauses.
const MIN_CONNECTIONS: f64 = 2.0;

/// Share of the connections that a server accepts which the daemons use; the rest
/// is for daemons that restart while their old connections are still counted.
const CONNECTION_SHARE: f64 = 0.98;

/// Times that a daemon outside the availability zone of a group must be less
/// loaded, by its processor, to be chosen before one inside.
const REMOTE_FACTOR: f64 = 3.0;

/// A daemon that may help.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its place in the order that all daemons agree on.
    pub rank: u32,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it has of a processor.
    pub processor: CpuCapacity,
    /// Whether it is thought to run.
    pub running: bool,
}

/// What the searches of a release ask for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Demand {
    /// Shards of the widest search.
    pub shards: usize,
    /// Fewest connections that a server of a shard accepts.
    pub connections: u32,
    /// Availability zones in which the servers of the shards stand, in order.
    pub zones: Vec<Arc<str>>,
}

/// Shards that the same daemons handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Availability zone in which servers of its shards stand.
    pub zone: Option<Arc<str>>,
    /// Ranks of the daemons that handle them.
    pub helpers: Vec<u32>,
}

/// The groups of shards, none if each daemon sends all sub-requests itself.
///
/// ```
/// use jasminepond_forward::{Candidate, Demand, Division};
///
/// let daemon = |rank| Candidate {
///     rank, zone: "a".into(), processor: Default::default(), running: true,
/// };
/// let daemons: Vec<_> = (0..90).map(daemon).collect();
/// let few = Demand { shards: 20, connections: 120, zones: vec![] };
/// assert!(!Division::new(&daemons, &few).is_divided());
/// let many = Demand { shards: 90, ..few };
/// assert_eq!(Division::new(&daemons, &many).groups().len(), 6);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Division {
    groups: Vec<Group>,
}

impl Division {
    /// Divides the shards among the daemons.
    pub fn new(daemons: &[Candidate], demand: &Demand) -> Self {
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

    /// Whether searches are divided.
    pub fn is_divided(&self) -> bool {
        !self.groups.is_empty()
    }

    /// The groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Whether the daemon of this rank is a helper of the group.
    pub fn helps(&self, rank: u32, group: u32) -> bool {
        let group = self.groups.get(group as usize);
        group.is_some_and(|group| group.helpers.contains(&rank))
    }

    /// The group of the shard at `index` of a search, whose servers stand in
    /// `zones`. A server that moves to another zone moves no other shard.
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
        // Shards whose servers stand in the same zones mostly follow each other at
        // a fixed distance, which the number of groups may be a multiple of.
        let turn = index / all.len();
        Some(near[(index + turn) % near.len()].0)
    }
}

/// Connections to one server for each of `daemons`; below one if they are too many.
pub(crate) fn connection_share(connections: u32, daemons: usize) -> f64 {
    f64::from(connections) * CONNECTION_SHARE / daemons.max(1) as f64
}

fn helpers_per_group(daemons: usize, groups: usize, connections: u32) -> usize {
    let wanted = (daemons / (groups * DAEMONS_PER_HELPER)).max(MIN_HELPERS);
    // One more than the helpers share the connections, see `helper_share`.
    let most = connection_share(connections, 1) / MIN_CONNECTIONS - 1.0;
    wanted.min(most.max(1.0) as usize).min(daemons)
}

/// Connections to one server that a helper of a group may have. The share of one
/// more helper is kept for a daemon that has just become or ceased to be one.
pub(crate) fn helper_share(connections: u32, helpers: usize) -> f64 {
    connection_share(connections, helpers + 1)
}

/// Chooses daemons with the most processor for the groups that they help already,
/// those in the zone of the group first.
fn choose_helpers(
    daemons: &[Candidate],
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
