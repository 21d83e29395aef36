//! Reads a [`Config`] from merged files.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use jasminepond_types::{ClassId, Millis, ServerId, TenantId, Weight, ZoneId};
use serde_json::{Map, Value};

use crate::{
    ByteSize, Class, Config, Drain, Limits, Percent, Routing, Tenant, Zone,
    ids::DefinedIds,
    path::Path,
    read_groups::groups,
    read_servers::servers,
    schema::{self, SectionSpec},
    section::{self, Report, Section, narrow},
};

/// Reads a merged object and returns the mistakes as pairs of path and reason. The
/// configuration is usable only if there are none.
pub(crate) fn config(merged: &Value) -> (Config, Vec<(String, String)>) {
    let mut report = Report::default();
    let config = root(&mut report, merged).unwrap_or_default();
    (config, report.mistakes)
}

fn root(report: &mut Report, value: &Value) -> Option<Config> {
    let root = Section::open(report, schema::ROOT, value, &Path::Root)?;
    let ids = Ids::of(&root);
    Some(Config {
        zones: entries(report, &root, "zones", schema::ZONE, zone),
        evacuated_zones: evacuated_zones(report, &root, &ids),
        tenants: entries(report, &root, "tenants", schema::TENANT, |r, s| {
            Some(tenant(r, s))
        }),
        classes: entries(report, &root, "classes", schema::CLASS, |r, s| {
            Some(class(r, s))
        }),
        servers: servers(report, &root, &ids),
        groups: groups(report, &root, &ids),
        routing: section_or_default(report, &root, "routing", schema::ROUTING, routing),
        limits: section_or_default(report, &root, "limits", schema::LIMITS, limits),
        drain: section_or_default(report, &root, "drain", schema::DRAIN, drain),
    })
}

/// The defined ids that other sections refer to.
pub(crate) struct Ids<'a> {
    pub(crate) zones: DefinedIds<'a, ZoneId>,
    pub(crate) tenants: DefinedIds<'a, TenantId>,
    pub(crate) classes: DefinedIds<'a, ClassId>,
    pub(crate) servers: DefinedIds<'a, ServerId>,
}

impl<'a> Ids<'a> {
    fn of(root: &Section<'a>) -> Self {
        Self {
            zones: DefinedIds::of(root, "zones", "zone"),
            tenants: DefinedIds::of(root, "tenants", "tenant"),
            classes: DefinedIds::of(root, "classes", "class"),
            servers: DefinedIds::of(root, "servers", "server"),
        }
    }
}

/// Reads an object whose keys are ids.
pub(crate) fn entries<K: FromStr<Err: fmt::Display> + Ord, V>(
    report: &mut Report,
    root: &Section<'_>,
    name: &str,
    spec: SectionSpec,
    read: impl FnMut(&mut Report, &Section<'_>) -> Option<V>,
) -> BTreeMap<K, V> {
    entries_by(report, root, name, spec, K::from_str, read)
}

/// Like [`entries`], with `id` to parse a key.
pub(crate) fn entries_by<K: Ord, E: fmt::Display, V>(
    report: &mut Report,
    root: &Section<'_>,
    name: &str,
    spec: SectionSpec,
    id: impl Fn(&str) -> Result<K, E>,
    mut read: impl FnMut(&mut Report, &Section<'_>) -> Option<V>,
) -> BTreeMap<K, V> {
    let mut entries = BTreeMap::new();
    let Some(value) = root.value(report, name) else {
        return entries;
    };
    let path = root.path_of(name);
    for (id, key, value) in items(report, value, &path, id) {
        let path = path.key(key);
        let Some(section) = Section::open(report, spec, value, &path) else {
            continue;
        };
        if let Some(entry) = read(report, &section) {
            entries.insert(id, entry);
        }
    }
    entries
}

/// Returns the entries of an object whose keys are ids, each with its id, key and
/// value. Reports an empty object and keys that are not valid ids.
pub(crate) fn items<'a, K, E: fmt::Display>(
    report: &mut Report,
    value: &'a Value,
    path: &Path<'_>,
    id: impl Fn(&str) -> Result<K, E>,
) -> Vec<(K, &'a str, &'a Value)> {
    let Some(map) = section::object(report, value, path) else {
        return Vec::new();
    };
    if map.is_empty() {
        report.add(path, "the object is empty, at least one entry is needed");
    }
    let mut items = Vec::with_capacity(map.len());
    for (key, value) in map {
        match id(key) {
            Ok(id) => items.push((id, key.as_str(), value)),
            Err(e) => report.add(path.key(key), format!("{key:?} is not valid: {e}")),
        }
    }
    items
}

/// Reads an optional section. If it is absent, all its keys have their defaults.
fn section_or_default<T: Default>(
    report: &mut Report,
    root: &Section<'_>,
    name: &str,
    spec: SectionSpec,
    read: impl Fn(&mut Report, &Section<'_>) -> T,
) -> T {
    let value = root.value(report, name);
    let path = root.path_of(name);
    let section = value.and_then(|value| Section::open(report, spec, value, &path));
    section
        .map(|section| read(report, &section))
        .unwrap_or_default()
}

/// Returns the defaults of a section.
pub(crate) fn defaults<T>(spec: SectionSpec, read: impl Fn(&mut Report, &Section<'_>) -> T) -> T {
    let empty = Value::Object(Map::new());
    let report = &mut Report::default();
    let section = Section::open(report, spec, &empty, &Path::Root).expect("it is an object");
    let value = read(report, &section);
    debug_assert!(
        report.mistakes.is_empty(),
        "{:?} has a required key",
        spec.path
    );
    value
}

fn zone(report: &mut Report, s: &Section<'_>) -> Option<Zone> {
    Some(Zone {
        region: s.parsed(report, "region")?,
    })
}

/// Reads the evacuated zones. The list may be empty, so that a file that is merged last can
/// end all evacuations.
fn evacuated_zones(report: &mut Report, root: &Section<'_>, ids: &Ids<'_>) -> BTreeSet<ZoneId> {
    let Some(value) = root.value(report, "evacuated_zones") else {
        return BTreeSet::new();
    };
    if value.as_array().is_some_and(Vec::is_empty) {
        return BTreeSet::new();
    }
    let path = root.path_of("evacuated_zones");
    let zones = ids.zones.resolve_list(report, value, &path);
    zones.into_iter().flatten().collect()
}

fn tenant(report: &mut Report, s: &Section<'_>) -> Tenant {
    Tenant {
        weight: Weight(s.number32(report, "weight")),
        max_in_flight: s.optional_number(report, "max_in_flight").map(narrow),
    }
}

fn class(report: &mut Report, s: &Section<'_>) -> Class {
    let before = report.mistakes.len();
    let class = Class {
        priority: s.number32(report, "priority"),
        default_deadline_ms: Millis(s.number(report, "default_deadline_ms")),
        max_deadline_ms: Millis(s.number(report, "max_deadline_ms")),
    };
    if report.mistakes.len() == before && class.default_deadline_ms > class.max_deadline_ms {
        let reason = format!("above max_deadline_ms, which is {}", class.max_deadline_ms);
        report.add(s.path_of("default_deadline_ms"), reason);
    }
    class
}

pub(crate) fn routing(report: &mut Report, s: &Section<'_>) -> Routing {
    Routing {
        mode: s.choice(report, "mode"),
        objective: s.choice(report, "objective"),
        owner_candidates: s.number32(report, "owner_candidates"),
        hedge_budget_percent: Percent(s.number32(report, "hedge_budget_percent")),
        retry_budget_percent: Percent(s.number32(report, "retry_budget_percent")),
        hedge_quantile_percent: Percent(s.number32(report, "hedge_quantile_percent")),
        hedge_after_ms: s.optional_number(report, "hedge_after_ms").map(Millis),
        starvation_share: s.number32(report, "starvation_share"),
        queue_limit: s.number32(report, "queue_limit"),
        hop_allowance_ms: Millis(s.number(report, "hop_allowance_ms")),
    }
}

pub(crate) fn limits(report: &mut Report, s: &Section<'_>) -> Limits {
    Limits {
        max_body_bytes: ByteSize(s.number(report, "max_body_bytes")),
        max_header_bytes: ByteSize(s.number(report, "max_header_bytes")),
        max_answer_bytes: ByteSize(s.number(report, "max_answer_bytes")),
        max_hits: s.number32(report, "max_hits"),
        max_connections: s.number32(report, "max_connections"),
        max_in_flight: s.number32(report, "max_in_flight"),
        request_read_timeout_ms: Millis(s.number(report, "request_read_timeout_ms")),
        idle_timeout_ms: Millis(s.number(report, "idle_timeout_ms")),
        key_lifetime_ms: Millis(s.number(report, "key_lifetime_ms")),
        max_issued_keys: s.number32(report, "max_issued_keys"),
    }
}

pub(crate) fn drain(report: &mut Report, s: &Section<'_>) -> Drain {
    let before = report.mistakes.len();
    let drain = Drain {
        announce_ms: Millis(s.number(report, "announce_ms")),
        limit_ms: Millis(s.number(report, "limit_ms")),
    };
    if report.mistakes.len() == before && drain.limit_ms <= drain.announce_ms {
        let reason = format!(
            "not above announce_ms, which is {}: requests in flight have no time to complete",
            drain.announce_ms
        );
        report.add(s.path_of("limit_ms"), reason);
    }
    drain
}

impl Default for Routing {
    fn default() -> Self {
        defaults(schema::ROUTING, routing)
    }
}

impl Default for Limits {
    fn default() -> Self {
        defaults(schema::LIMITS, limits)
    }
}

impl Default for Drain {
    fn default() -> Self {
        defaults(schema::DRAIN, drain)
    }
}
