//! Evacuation of availability zones: which zones get no requests, and when a server is used
//! again after its zone was returned to service.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use jasminepond_types::Timestamp;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time over which the daemons begin to use the servers of a zone again. A new connection
/// occupies a slot of a server for up to 6 ms, so 75 daemons at once would block both slots
/// for more than 200 ms; over this time they take a tenth of them.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Time for which a server counts as warming up after its zone was returned to service. It
/// had no requests, so it may be as cold as after a start.
pub(crate) const RETURN_WARM_UP: Duration = Duration::from_secs(10);

/// `Retry-After` of requests that only servers of evacuated zones can serve. An evacuation
/// lasts minutes, so earlier attempts are of no use; a removed key takes effect within this
/// time.
pub(crate) const RETRY_AFTER_EVACUATED: Duration = Duration::from_secs(5);

/// Availability zones whose servers must get no requests.
///
/// ```
/// use jasminepond_forward::EvacuatedZones;
///
/// let zones: EvacuatedZones = ["a", "b"].into_iter().collect();
/// assert!(zones.contains("a"));
/// assert!(!zones.contains("c"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EvacuatedZones(BTreeSet<Arc<str>>);

impl EvacuatedZones {
    /// Whether the zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.0.contains(zone)
    }

    /// The zones, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.iter()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a zone. Returns whether it is new.
    pub fn insert(&mut self, zone: &str) -> bool {
        !self.contains(zone) && self.0.insert(zone.into())
    }

    /// Removes a zone. Returns whether it was evacuated.
    pub fn remove(&mut self, zone: &str) -> bool {
        self.0.remove(zone)
    }
}

impl<T: Into<Arc<str>>> FromIterator<T> for EvacuatedZones {
    fn from_iter<I: IntoIterator<Item = T>>(zones: I) -> Self {
        Self(zones.into_iter().map(Into::into).collect())
    }
}

/// A change of the set of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// The servers of this zone get no requests from now on.
    Evacuated(Arc<str>),
    /// The servers of the zone are used again.
    Lifted {
        /// The zone.
        zone: Arc<str>,
        /// Time for which it was evacuated.
        after: Duration,
    },
}

/// Whether the evacuation of zones permits requests to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum ZoneAccess {
    /// It may get requests.
    #[default]
    Open,
    /// Its zone is evacuated.
    Evacuated,
    /// Its zone was returned to service, and this daemon uses it from this time on.
    Returning(Timestamp),
}

impl ZoneAccess {
    /// Whether the server may get requests and connections.
    pub(crate) fn is_open(self, now: Timestamp) -> bool {
        match self {
            Self::Open => true,
            Self::Evacuated => false,
            Self::Returning(at) => now >= at,
        }
    }

    /// Time until the server may be used, as far as it is known.
    pub(crate) fn opens_in(self, now: Timestamp) -> Duration {
        match self {
            Self::Open => Duration::ZERO,
            Self::Evacuated => RETRY_AFTER_EVACUATED,
            Self::Returning(at) => at.since(now),
        }
    }
}

/// The evacuated zones and since when this daemon has known of each.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    zones: BTreeMap<Arc<str>, Timestamp>,
}

impl Evacuation {
    /// Replaces the set of evacuated zones. Returns the differences.
    pub(crate) fn set(&mut self, now: Timestamp, zones: &EvacuatedZones) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        self.zones.retain(|zone, since| {
            let stays = zones.contains(zone);
            if !stays {
                changes.push(ZoneChange::Lifted {
                    zone: zone.clone(),
                    after: now.since(*since),
                });
            }
            stays
        });
        for zone in zones.iter() {
            if !self.zones.contains_key(zone) {
                self.zones.insert(zone.clone(), now);
                changes.push(ZoneChange::Evacuated(zone.clone()));
            }
        }
        changes
    }

    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// The zones and the times since when they are known to be evacuated.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, Timestamp)> {
        self.zones.iter().map(|(zone, since)| (zone, *since))
    }
}

/// Delay after which a daemon uses a server of a returned zone again. Daemons and servers
/// have different delays, so that neither all daemons connect to one server at once, nor one
/// daemon to all servers.
pub(crate) fn return_delay(instance: &str, server: &str) -> Duration {
    let hash = xxh3_64_with_seed(server.as_bytes(), xxh3_64(instance.as_bytes()));
    RETURN_SPREAD.mul_f64(hash as f64 / u64::MAX as f64)
}
