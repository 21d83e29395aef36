//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};

use jasminepond_types::{ClassId, GroupId, ServerId, TenantId, Version, ZoneId};

use crate::{Config, Snapshot};

/// Differences between two maps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diff<K> {
    /// Keys only in the new map.
    pub added: BTreeSet<K>,
    /// Keys only in the old map.
    pub removed: BTreeSet<K>,
    /// Keys in both maps with different values.
    pub changed: BTreeSet<K>,
}

impl<K> Default for Diff<K> {
    fn default() -> Self {
        Self {
            added: BTreeSet::new(),
            removed: BTreeSet::new(),
            changed: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone> Diff<K> {
    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }

    fn between<V: PartialEq>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let mut diff = Self::default();
        for (key, value) in new {
            match old.get(key) {
                None => diff.added.insert(key.clone()),
                Some(before) if before != value => diff.changed.insert(key.clone()),
                Some(_) => false,
            };
        }
        let removed = old.keys().filter(|key| !new.contains_key(key));
        diff.removed = removed.cloned().collect();
        diff
    }

    fn between_sets(old: &BTreeSet<K>, new: &BTreeSet<K>) -> Self {
        Self {
            added: new.difference(old).cloned().collect(),
            removed: old.difference(new).cloned().collect(),
            changed: BTreeSet::new(),
        }
    }
}

/// Differences between two configurations, so that a daemon can apply only what has
/// changed.
///
/// ```
/// use jasminepond_config::{ConfigDiff, Config, Drain};
/// use jasminepond_types::Millis;
///
/// let old = Config::default();
/// let drain = Drain { limit_ms: Millis(60_000), ..old.drain };
/// let new = Config { drain, ..old.clone() };
/// let change = ConfigDiff::between(&old, &new);
/// assert!(change.drain && !change.routing && change.servers.is_empty());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigDiff {
    /// Backend servers.
    pub servers: Diff<ServerId>,
    /// Changed servers whose address differs. Their connections must be reopened;
    /// other changes need no new connection.
    pub address_changed: BTreeSet<ServerId>,
    /// Groups. Any difference within a group counts as a change.
    pub groups: Diff<GroupId>,
    /// Snapshots of all groups. The snapshots of an added or removed group count
    /// as added or removed.
    pub snapshots: Diff<(GroupId, Version)>,
    /// Tenants.
    pub tenants: Diff<TenantId>,
    /// Classes.
    pub classes: Diff<ClassId>,
    /// Zones.
    pub zones: Diff<ZoneId>,
    /// Zones that are evacuated, or no longer, in the new configuration.
    pub evacuated_zones: Diff<ZoneId>,
    /// Whether the routing section differs.
    pub routing: bool,
    /// Whether the limits section differs.
    pub limits: bool,
    /// Whether the drain section differs.
    pub drain: bool,
}

impl ConfigDiff {
    /// Compares two configurations.
    pub fn between(old: &Config, new: &Config) -> Self {
        let servers = Diff::between(&old.servers, &new.servers);
        let address_changed = servers
            .changed
            .iter()
            .filter(|id| old.servers[*id].address != new.servers[*id].address)
            .cloned()
            .collect();
        Self {
            servers,
            address_changed,
            groups: Diff::between(&old.groups, &new.groups),
            snapshots: Diff::between(&snapshots(old), &snapshots(new)),
            tenants: Diff::between(&old.tenants, &new.tenants),
            classes: Diff::between(&old.classes, &new.classes),
            zones: Diff::between(&old.zones, &new.zones),
            evacuated_zones: Diff::between_sets(&old.evacuated_zones, &new.evacuated_zones),
            routing: old.routing != new.routing,
            limits: old.limits != new.limits,
            drain: old.drain != new.drain,
        }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn snapshots(config: &Config) -> BTreeMap<(GroupId, Version), &Snapshot> {
    let mut all = BTreeMap::new();
    for (id, group) in &config.groups {
        for snapshot in &group.snapshots {
            all.insert((id.clone(), snapshot.version), snapshot);
        }
    }
    all
}
