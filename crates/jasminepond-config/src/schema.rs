//! The keys of the configuration and of the settings. This table is used to
//! validate values, to apply defaults and to test the reference documentation.

use crate::{ConnectionMode, GroupKind, LogFormat, LogLevel, Objective};

/// The type of a key's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// An unsigned integer.
    Number {
        /// The unit, for example `ms`.
        unit: &'static str,
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
        /// Value when the key is absent.
        default: Option<u64>,
    },
    /// One of a fixed set of names.
    Choice {
        /// The allowed names.
        names: &'static [&'static str],
        /// Value when the key is absent.
        default: Option<&'static str>,
    },
    /// Any other type.
    Other {
        /// Description of the value, for example `zone id`.
        description: &'static str,
    },
}

/// One key of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// Name in the file.
    pub name: &'static str,
    /// Type of the value.
    pub kind: ValueKind,
    /// Whether the key must be present.
    pub required: bool,
}

/// The keys of one object in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SectionSpec {
    /// Path of the object, with `*` for an id that the operator chooses; empty for
    /// the top level.
    pub path: &'static str,
    /// All keys of the object.
    pub keys: &'static [KeySpec],
}

impl SectionSpec {
    /// Returns the key `name`.
    ///
    /// # Panics
    ///
    /// If the section has no such key, which is a bug in the caller.
    pub(crate) fn key(&self, name: &str) -> &'static KeySpec {
        self.keys
            .iter()
            .find(|key| key.name == name)
            .unwrap_or_else(|| panic!("section {:?} has no key {name:?}", self.path))
    }
}

const fn number(name: &'static str, unit: &'static str, min: u64, max: u64) -> KeySpec {
    let kind = ValueKind::Number {
        unit,
        min,
        max,
        default: None,
    };
    KeySpec {
        name,
        kind,
        required: false,
    }
}

const fn choice(name: &'static str, names: &'static [&'static str]) -> KeySpec {
    let kind = ValueKind::Choice {
        names,
        default: None,
    };
    KeySpec {
        name,
        kind,
        required: false,
    }
}

const fn other(name: &'static str, description: &'static str) -> KeySpec {
    KeySpec {
        name,
        kind: ValueKind::Other { description },
        required: false,
    }
}

impl KeySpec {
    const fn required(self) -> Self {
        Self {
            required: true,
            ..self
        }
    }

    const fn with_default(self, value: u64) -> Self {
        match self.kind {
            ValueKind::Number { unit, min, max, .. } => {
                let kind = ValueKind::Number {
                    unit,
                    min,
                    max,
                    default: Some(value),
                };
                Self { kind, ..self }
            }
            _ => panic!("only a number has a number as default"),
        }
    }

    const fn with_default_name(self, name: &'static str) -> Self {
        match self.kind {
            ValueKind::Choice { names, .. } => {
                let kind = ValueKind::Choice {
                    names,
                    default: Some(name),
                };
                Self { kind, ..self }
            }
            _ => panic!("only a choice has a name as default"),
        }
    }
}

/// Ten minutes: the maximum deadline and the maximum lifetime of a request key.
const TEN_MINUTES_MS: u64 = 600_000;

pub(crate) const ROOT: SectionSpec = SectionSpec {
    path: "",
    keys: &[
        other("zones", "object: zone id to zone").required(),
        other("evacuated_zones", "list of zone ids"),
        other("tenants", "object: tenant id to tenant").required(),
        other("classes", "object: class id to class").required(),
        other("shapes", "object: shape name to shape"),
        other("servers", "object: server id to server").required(),
        other("groups", "object: group id to group").required(),
        other("routing", "object"),
        other("limits", "object"),
        other("drain", "object"),
    ],
};

pub(crate) const ZONE: SectionSpec = SectionSpec {
    path: "zones.*",
    keys: &[other("region", "region id").required()],
};

pub(crate) const TENANT: SectionSpec = SectionSpec {
    path: "tenants.*",
    keys: &[
        number("weight", "shares", 1, 1_000).with_default(1),
        number("max_in_flight", "requests", 1, 1_000_000),
    ],
};

pub(crate) const CLASS: SectionSpec = SectionSpec {
    path: "classes.*",
    keys: &[
        number("priority", "rank, 0 first", 0, 100).required(),
        number("default_deadline_ms", "ms", 1, TEN_MINUTES_MS).required(),
        number("max_deadline_ms", "ms", 1, TEN_MINUTES_MS).required(),
    ],
};

const SLOTS: KeySpec = number("slots", "requests", 1, 10_000);
const CONNECTION_LIMIT: KeySpec = number("connection_limit", "connections", 1, 65_535);
const CONNECT_COST: KeySpec = number("connect_cost_ms", "ms", 0, 10_000).with_default(1);

pub(crate) const SHAPE: SectionSpec = SectionSpec {
    path: "shapes.*",
    keys: &[SLOTS, CONNECTION_LIMIT, CONNECT_COST],
};

pub(crate) const SERVER: SectionSpec = SectionSpec {
    path: "servers.*",
    keys: &[
        other("address", "IP address and port").required(),
        other("zone", "zone id").required(),
        other("shape", "shape name"),
        // The server's shape may set these instead.
        SLOTS,
        CONNECTION_LIMIT,
        CONNECT_COST,
    ],
};

pub(crate) const GROUP: SectionSpec = SectionSpec {
    path: "groups.*",
    keys: &[
        choice("kind", GroupKind::NAMES).required(),
        other("snapshots", "object: version to snapshot"),
        other("servers", "list of server ids"),
        other("tenants", "list of tenant ids"),
        other("classes", "list of class ids"),
    ],
};

pub(crate) const SNAPSHOT: SectionSpec = SectionSpec {
    path: "groups.*.snapshots.*",
    keys: &[other("services", "object: service id to list of server ids").required()],
};

pub(crate) const ROUTING: SectionSpec = SectionSpec {
    path: "routing",
    keys: &[
        choice("mode", ConnectionMode::NAMES).with_default_name("owner"),
        choice("objective", Objective::NAMES).with_default_name("latency"),
        number("owner_candidates", "daemons", 1, 100).with_default(7),
        number("hedge_budget_percent", "% of sub-requests", 0, 100).with_default(5),
        number("retry_budget_percent", "% of sub-requests", 0, 100).with_default(10),
        number("hedge_quantile_percent", "% of responses", 50, 99).with_default(95),
        number("hedge_after_ms", "ms", 1, 60_000),
        number("starvation_share", "dispatches", 2, 1_000).with_default(8),
        number("queue_limit", "sub-requests per server", 1, 100_000).with_default(64),
        number("hop_allowance_ms", "ms", 0, 1_000).with_default(2),
    ],
};

pub(crate) const LIMITS: SectionSpec = SectionSpec {
    path: "limits",
    keys: &[
        number("max_body_bytes", "bytes", 1_024, 67_108_864).with_default(1_048_576),
        number("max_header_bytes", "bytes", 1_024, 1_048_576).with_default(16_384),
        number("max_answer_bytes", "bytes", 1_024, 268_435_456).with_default(4_194_304),
        number("max_hits", "hits", 1, 100_000).with_default(1_000),
        number("max_connections", "connections", 1, 1_000_000).with_default(4_096),
        number("max_in_flight", "requests", 1, 1_000_000).with_default(4_096),
        number("request_read_timeout_ms", "ms", 10, TEN_MINUTES_MS).with_default(10_000),
        number("idle_timeout_ms", "ms", 10, 3_600_000).with_default(60_000),
        number("key_lifetime_ms", "ms", 1_000, TEN_MINUTES_MS).with_default(TEN_MINUTES_MS),
        number("max_issued_keys", "keys", 1, 10_000_000).with_default(100_000),
    ],
};

pub(crate) const DRAIN: SectionSpec = SectionSpec {
    path: "drain",
    keys: &[
        number("announce_ms", "ms", 0, TEN_MINUTES_MS).with_default(5_000),
        number("limit_ms", "ms", 1, TEN_MINUTES_MS).with_default(30_000),
    ],
};

/// The sections of the published folder.
pub const CONFIG_SECTIONS: &[SectionSpec] = &[
    ROOT, ZONE, TENANT, CLASS, SHAPE, SERVER, GROUP, SNAPSHOT, ROUTING, LIMITS, DRAIN,
];

pub(crate) const SETTINGS: SectionSpec = SectionSpec {
    path: "",
    keys: &[
        other("instance", "instance id").required(),
        other("zone", "zone id").required(),
        other("region", "region id").required(),
        other("callers", "IP address and port, TCP").required(),
        other("peers", "IP address and port, TCP").required(),
        other("membership", "IP address and port, UDP").required(),
        other("operators", "IP address and port, TCP").required(),
        other("advertise", "object"),
        other("platform", "list of IP addresses and ports").required(),
        other("peer_keys", "list of keys in hex").required(),
        other("log", "object"),
        other("sync", "object"),
    ],
};

pub(crate) const ADVERTISE: SectionSpec = SectionSpec {
    path: "advertise",
    keys: &[
        other("peers", "IP address and port, TCP"),
        other("membership", "IP address and port, UDP"),
    ],
};

pub(crate) const LOG: SectionSpec = SectionSpec {
    path: "log",
    keys: &[
        choice("level", LogLevel::NAMES).with_default_name("info"),
        choice("format", LogFormat::NAMES).with_default_name("text"),
    ],
};

pub(crate) const SYNC: SectionSpec = SectionSpec {
    path: "sync",
    keys: &[
        number("readers_per_zone", "daemons", 1, 16).with_default(2),
        number("fanout", "peers", 1, 32).with_default(4),
    ],
};

/// The sections of a daemon's settings file.
pub const SETTINGS_SECTIONS: &[SectionSpec] = &[SETTINGS, ADVERTISE, LOG, SYNC];
