//! The validated configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jasminepond_types::{
    ClassId, ConnectionLimit, GroupId, Millis, RegionId, ServerId, ServiceId, Slots, TenantId,
    Version, Weight, ZoneId,
};

use crate::{
    ByteSize, ConnectionMode, Files, GroupKind, Merged, Mistake, Objective, Percent,
    merge::{self, Sources},
    read,
};

/// A validated configuration. Shared as `Arc<Config>` and immutable.
///
/// ```
/// use jasminepond_config::{Config, Files};
///
/// let file = br#"{
///     "zones": {"za": {"region": "ra"}},
///     "tenants": {"moulding": {}},
///     "classes": {"lookup": {
///         "priority": 0, "default_deadline_ms": 250, "max_deadline_ms": 2000
///     }},
///     "servers": {"s1": {
///         "address": "127.0.0.1:9001", "zone": "za", "slots": 2, "connection_limit": 25
///     }},
///     "groups": {"shop": {
///         "kind": "search", "snapshots": {"41": {"services": {"shop-01": ["s1"]}}}
///     }}
/// }"#;
/// let config = Config::from_files(&Files::from([("10.json".into(), file.to_vec())])).unwrap();
/// assert_eq!(config.servers["s1"].slots.get(), 2);
/// assert_eq!(config.routing.owner_candidates, 7);
/// ```
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Tenants on whose behalf requests are made.
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// Request classes.
    pub classes: BTreeMap<ClassId, Class>,
    /// Availability zones of daemons and backend servers.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Zones whose backend servers get no requests.
    pub evacuated_zones: BTreeSet<ZoneId>,
    /// Backend servers, with defaults from their shapes applied.
    pub servers: BTreeMap<ServerId, Server>,
    /// Groups of services that can be searched, or of servers that execute.
    pub groups: BTreeMap<GroupId, Group>,
    /// How sub-requests reach backend servers.
    pub routing: Routing,
    /// What a daemon accepts from callers and backend servers.
    pub limits: Limits,
    /// How a daemon shuts down.
    pub drain: Drain,
}

impl Config {
    /// Validates merged files.
    ///
    /// # Errors
    ///
    /// Every mistake, ordered by file and path.
    pub fn from_merged(merged: &Merged) -> Result<Self, Vec<Mistake>> {
        let (config, mistakes) = read::config(merged.value());
        if mistakes.is_empty() {
            return Ok(config);
        }
        let mut mistakes = merged.locate(mistakes);
        mistakes.sort();
        Err(mistakes)
    }

    /// Merges and validates the files of a folder.
    ///
    /// # Errors
    ///
    /// Every mistake, ordered by file and path. If a file cannot be parsed as
    /// JSON, only the mistakes of [`merge`](crate::merge) are reported, since the
    /// values in that file would otherwise be reported as missing.
    pub fn from_files(files: &Files) -> Result<Self, Vec<Mistake>> {
        let report = merge::merge_all(files, Sources::Drop);
        if report.incomplete {
            return Err(report.mistakes);
        }
        let (config, found) = read::config(report.merged.value());
        if report.mistakes.is_empty() && found.is_empty() {
            return Ok(config);
        }
        let report = merge::merge_all(files, Sources::Keep);
        let mut mistakes = report.mistakes;
        mistakes.extend(report.merged.locate(found));
        mistakes.sort();
        Err(mistakes)
    }

    /// Whether requests may be sent to a server: it is not in an evacuated zone.
    ///
    /// ```
    /// use jasminepond_config::{Config, Server};
    /// use jasminepond_types::{ConnectionLimit, Millis, Slots};
    ///
    /// let server = Server {
    ///     address: "127.0.0.1:9001".parse().unwrap(),
    ///     zone: "za".parse().unwrap(),
    ///     slots: Slots(2),
    ///     connection_limit: ConnectionLimit(25),
    ///     connect_cost_ms: Millis(1),
    /// };
    /// let mut config = Config::default();
    /// assert!(config.may_send_to(&server));
    /// config.evacuated_zones.insert("za".parse().unwrap());
    /// assert!(!config.may_send_to(&server));
    /// ```
    pub fn may_send_to(&self, server: &Server) -> bool {
        !self.evacuated_zones.contains(&server.zone)
    }

    /// The region of a zone, if the zone is configured.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.zones.get(zone).map(|zone| &zone.region)
    }
}

/// A tenant on whose behalf requests are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenant {
    /// Relative share of the tenant among the tenants of a class.
    pub weight: Weight,
    /// Maximum number of requests of the tenant in progress at one entry daemon;
    /// `None` if the tenant has no limit of its own.
    pub max_in_flight: Option<u32>,
}

impl Default for Tenant {
    fn default() -> Self {
        Self {
            weight: Weight(1),
            max_in_flight: None,
        }
    }
}

/// A request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Priority of the class; 0 is served first.
    pub priority: u32,
    /// Deadline of a request that does not set one.
    pub default_deadline_ms: Millis,
    /// Maximum deadline that a request may set.
    pub max_deadline_ms: Millis,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// The region that the zone is in.
    pub region: RegionId,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Address at which the server accepts connections.
    pub address: SocketAddr,
    /// The zone that the server is in.
    pub zone: ZoneId,
    /// Number of requests that the server processes concurrently.
    pub slots: Slots,
    /// Maximum number of connections that the server accepts from all daemons
    /// together.
    pub connection_limit: ConnectionLimit,
    /// Time that a new connection costs the server.
    pub connect_cost_ms: Millis,
}

/// Services or servers that requests address under one name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Group {
    /// Whether requests search or execute.
    pub kind: GroupKind,
    /// Snapshots that are served, newest first. Empty for an execute group.
    pub snapshots: Vec<Snapshot>,
    /// The servers of an execute group. Empty for a search group.
    pub servers: Vec<ServerId>,
    /// Tenants that may use the group; `None` for all.
    pub tenants: Option<BTreeSet<TenantId>>,
    /// Classes that may be used with the group; `None` for all.
    pub classes: Option<BTreeSet<ClassId>>,
}

impl Group {
    /// The snapshot with `version`, if it is served.
    pub fn snapshot(&self, version: Version) -> Option<&Snapshot> {
        self.snapshots.iter().find(|s| s.version == version)
    }

    /// Whether `tenant` may use the group.
    pub fn allows_tenant(&self, tenant: &TenantId) -> bool {
        self.tenants
            .as_ref()
            .is_none_or(|allowed| allowed.contains(tenant))
    }

    /// Whether `class` may be used with the group.
    pub fn allows_class(&self, class: &ClassId) -> bool {
        self.classes
            .as_ref()
            .is_none_or(|allowed| allowed.contains(class))
    }
}

/// One version of a search group and its shard map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The version.
    pub version: Version,
    /// The replicas of each service, in file order.
    pub services: BTreeMap<ServiceId, Vec<ServerId>>,
}

/// When a search sends a hedged request, a second sub-request for the same shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeAfter {
    /// After a fixed time.
    Fixed(Millis),
    /// At this quantile of the response times.
    Quantile(Percent),
}

/// How sub-requests reach backend servers.
///
/// ```
/// use jasminepond_config::{ConnectionMode, Routing};
///
/// let routing = Routing { mode: ConnectionMode::Direct, ..Routing::default() };
/// assert_eq!(routing.hedge_budget_percent.get(), 5);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Routing {
    /// Which daemons connect to a backend server.
    pub mode: ConnectionMode,
    /// What a search optimizes for.
    pub objective: Objective,
    /// Number of daemons that are candidates to own one server.
    pub owner_candidates: u32,
    /// Maximum share of hedged requests among sub-requests.
    pub hedge_budget_percent: Percent,
    /// Maximum share of retries among sub-requests.
    pub retry_budget_percent: Percent,
    /// Quantile of the response times after which a hedged request is sent.
    pub hedge_quantile_percent: Percent,
    /// Fixed time after which a hedged request is sent; overrides the quantile.
    pub hedge_after_ms: Option<Millis>,
    /// One dispatch in this many goes to lower classes, so that they do not starve.
    pub starvation_share: u32,
    /// Maximum number of sub-requests queued for one server.
    pub queue_limit: u32,
    /// Time subtracted from a deadline at each hop between daemons.
    pub hop_allowance_ms: Millis,
}

impl Routing {
    /// When a hedged request is sent: after `hedge_after_ms` if set, else at the
    /// quantile.
    pub fn hedge_after(&self) -> HedgeAfter {
        match self.hedge_after_ms {
            Some(time) => HedgeAfter::Fixed(time),
            None => HedgeAfter::Quantile(self.hedge_quantile_percent),
        }
    }
}

/// What a daemon accepts from callers and backend servers.
///
/// ```
/// use jasminepond_config::Limits;
///
/// let limits = Limits { max_hits: 10, ..Limits::default() };
/// assert_eq!(limits.max_body_bytes.get(), 1_048_576);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the body of a caller's request.
    pub max_body_bytes: ByteSize,
    /// Maximum size of the headers of a caller's request.
    pub max_header_bytes: ByteSize,
    /// Maximum size of a response of a backend server.
    pub max_answer_bytes: ByteSize,
    /// Maximum number of hits that a search may request.
    pub max_hits: u32,
    /// Maximum number of connections from callers to one daemon.
    pub max_connections: u32,
    /// Maximum number of callers' requests in progress at one daemon.
    pub max_in_flight: u32,
    /// Maximum time from the first byte of a request to its last.
    pub request_read_timeout_ms: Millis,
    /// Maximum time that a caller's connection may be idle.
    pub idle_timeout_ms: Millis,
    /// Time for which an issued request key is valid.
    pub key_lifetime_ms: Millis,
    /// Maximum number of issued request keys that one daemon stores.
    pub max_issued_keys: u32,
}

/// How a daemon shuts down.
///
/// ```
/// use jasminepond_config::Drain;
/// use jasminepond_types::Millis;
///
/// let drain = Drain { limit_ms: Millis(10_000), ..Drain::default() };
/// assert_eq!(drain.announce_ms, Millis(5_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// Time during which new requests are still accepted although `/readyz`
    /// already reports the shutdown.
    pub announce_ms: Millis,
    /// Time from the signal to the exit of the process.
    pub limit_ms: Millis,
}
