//! Assigns each backend server to an owner by rendezvous hashing over live
//! daemons.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jasminepond_types::{InstanceId, RegionId, ServerId, ZoneId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A daemon that may own servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance on which the daemon runs.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Whether the daemon is live and not leaving.
    pub usable: bool,
}

#[derive(Debug, Clone)]
struct Member {
    instance: InstanceId,
    hash: u64,
}

impl Member {
    fn score(&self, server: u64) -> u64 {
        xxh3_64_with_seed(&server.to_le_bytes(), self.hash)
    }

    /// Returns whether this member ranks before `other` for the server. Equal scores
    /// are ordered by instance, so that all daemons agree.
    fn precedes(&self, other: &Self, server: u64) -> bool {
        let own = (self.score(server), &self.instance);
        own > (other.score(server), &other.instance)
    }
}

/// Daemons among which the servers of a zone are distributed.
type Pool = Vec<Member>;

#[derive(Debug)]
struct Owned {
    hash: u64,
    zone: ZoneId,
    owner: Option<Member>,
}

/// Owners of backend servers in the current membership view.
///
/// A server is owned by the first live daemon of its zone in rendezvous order. If
/// the zone has no live daemon, all daemons of the region are candidates, and if
/// the region has none, all live daemons are. Owners are cached. A changed view
/// moves only the servers of daemons that left and those for which a daemon that
/// joined ranks first.
///
/// ```
/// use jasminepond_routing::{Candidate, Ownership};
///
/// let candidate = |name: &str| Candidate {
///     instance: name.parse().unwrap(),
///     zone: "north-1".parse().unwrap(),
///     region: "north".parse().unwrap(),
///     usable: true,
/// };
/// let mut ownership = Ownership::default();
/// ownership.rebuild(&[candidate("a"), candidate("b")]);
/// let (server, zone) = ("kit-1a".parse().unwrap(), "north-1".parse().unwrap());
/// let owner = ownership.owner(&server, &zone).unwrap();
/// assert_eq!(ownership.candidates(&server, &zone, 7)[0], owner);
/// ```
#[derive(Debug, Default)]
pub struct Ownership {
    usable: Vec<Candidate>,
    /// Regions of all zones seen so far. Zones without live daemons are kept, since
    /// their servers need the region to find an owner.
    regions: HashMap<ZoneId, RegionId>,
    pools: HashMap<ZoneId, Pool>,
    owned: HashMap<ServerId, Owned>,
}

impl Ownership {
    /// Applies a changed membership view. Returns the number of cached servers whose
    /// owner changed.
    pub fn rebuild(&mut self, candidates: &[Candidate]) -> usize {
        for candidate in candidates {
            self.set_zone_region(&candidate.zone, &candidate.region);
        }
        self.usable = candidates.iter().filter(|c| c.usable).cloned().collect();
        let zones: Vec<ZoneId> = self.pools.keys().cloned().collect();
        zones.into_iter().map(|zone| self.rebuild_zone(zone)).sum()
    }

    /// Sets the region of a zone, which is needed for zones that never had a daemon.
    /// Takes effect with the next [`rebuild`](Self::rebuild).
    ///
    /// ```
    /// use jasminepond_routing::{Candidate, Ownership};
    ///
    /// let candidate = |name: &str, region: &str| Candidate {
    ///     instance: name.parse().unwrap(),
    ///     zone: name.parse().unwrap(),
    ///     region: region.parse().unwrap(),
    ///     usable: true,
    /// };
    /// let mut ownership = Ownership::default();
    /// let zone = "north-2".parse().unwrap();
    /// ownership.set_zone_region(&zone, &"north".parse().unwrap());
    /// ownership.rebuild(&[candidate("north-1", "north"), candidate("south-1", "south")]);
    /// let owner = ownership.owner(&"kit-1a".parse().unwrap(), &zone);
    /// assert_eq!(owner.unwrap().as_str(), "north-1");
    /// ```
    pub fn set_zone_region(&mut self, zone: &ZoneId, region: &RegionId) {
        if self.regions.get(zone) != Some(region) {
            self.regions.insert(zone.clone(), region.clone());
        }
    }

    /// Returns the owner of a server in the given zone, or `None` without live
    /// daemons.
    pub fn owner(&mut self, server: &ServerId, zone: &ZoneId) -> Option<InstanceId> {
        if let Some(owned) = self.owned.get(server)
            && owned.zone == *zone
        {
            return owned.owner.as_ref().map(|owner| owner.instance.clone());
        }
        let hash = xxh3_64(server.as_str().as_bytes());
        let owner = first(self.pool(zone), hash).cloned();
        let instance = owner.as_ref().map(|owner| owner.instance.clone());
        let zone = zone.clone();
        self.owned
            .insert(server.clone(), Owned { hash, zone, owner });
        instance
    }

    /// Returns the first `n` daemons in the rendezvous order of a server, owner
    /// first. Computes one hash per daemon of the zone.
    pub fn candidates(&mut self, server: &ServerId, zone: &ZoneId, n: usize) -> Vec<InstanceId> {
        let hash = xxh3_64(server.as_str().as_bytes());
        let mut order: Vec<(u64, &InstanceId)> = self
            .pool(zone)
            .iter()
            .map(|member| (member.score(hash), &member.instance))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order
            .into_iter()
            .take(n)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// Removes cached servers for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId) -> bool) {
        self.owned.retain(|server, _| keep(server));
    }

    fn pool(&mut self, zone: &ZoneId) -> &Pool {
        if !self.pools.contains_key(zone) {
            let pool = self.build_pool(zone);
            self.pools.insert(zone.clone(), pool);
        }
        &self.pools[zone]
    }

    fn build_pool(&self, zone: &ZoneId) -> Pool {
        let in_zone = self.members(|c| c.zone == *zone);
        if !in_zone.is_empty() {
            return in_zone;
        }
        let region = self.regions.get(zone);
        let in_region = self.members(|c| Some(&c.region) == region);
        if !in_region.is_empty() {
            return in_region;
        }
        self.members(|_| true)
    }

    fn members(&self, include: impl Fn(&Candidate) -> bool) -> Pool {
        let by_instance: BTreeMap<&InstanceId, ()> = self
            .usable
            .iter()
            .filter(|c| include(c))
            .map(|c| (&c.instance, ()))
            .collect();
        by_instance
            .into_keys()
            .map(|instance| Member {
                instance: instance.clone(),
                hash: xxh3_64(instance.as_str().as_bytes()),
            })
            .collect()
    }

    fn rebuild_zone(&mut self, zone: ZoneId) -> usize {
        let new = self.build_pool(&zone);
        let old = self.pools.insert(zone.clone(), new).unwrap_or_default();
        let new = &self.pools[&zone];
        let old_instances: BTreeSet<&InstanceId> = old.iter().map(|m| &m.instance).collect();
        let new_instances: BTreeSet<&InstanceId> = new.iter().map(|m| &m.instance).collect();
        if old_instances == new_instances {
            return 0;
        }
        let joined: Vec<&Member> = new
            .iter()
            .filter(|m| !old_instances.contains(&m.instance))
            .collect();
        let owned_in_zone = self.owned.values_mut().filter(|owned| owned.zone == zone);
        let mut moved = 0;
        for owned in owned_in_zone {
            let owner_remains = owned
                .owner
                .as_ref()
                .is_some_and(|owner| new_instances.contains(&owner.instance));
            let new_owner = match &owned.owner {
                Some(owner) if owner_remains => first_preceding(&joined, owner, owned.hash),
                _ => first(new, owned.hash),
            };
            if new_owner.is_some() || !owner_remains {
                moved += 1;
                owned.owner = new_owner.cloned();
            }
        }
        moved
    }
}

fn first(pool: &[Member], server: u64) -> Option<&Member> {
    pool.iter()
        .max_by_key(|member| (member.score(server), &member.instance))
}

/// Returns the first of `joined` that ranks before the current owner.
fn first_preceding<'a>(joined: &[&'a Member], owner: &Member, server: u64) -> Option<&'a Member> {
    joined
        .iter()
        .copied()
        .filter(|member| member.precedes(owner, server))
        .max_by_key(|member| (member.score(server), &member.instance))
}
