//! Reads groups and their snapshots.

use std::{collections::BTreeMap, fmt, str::FromStr};

use jasminepond_types::{GroupId, ServerId, ServiceId, Version};
use serde_json::Value;

use crate::{
    Group, GroupKind, Snapshot,
    ids::DefinedIds,
    read::{Ids, entries, items},
    schema,
    section::{Report, Section},
};

pub(crate) fn groups(
    report: &mut Report,
    root: &Section<'_>,
    ids: &Ids<'_>,
) -> BTreeMap<GroupId, Group> {
    let read = |report: &mut Report, s: &Section<'_>| group(report, s, ids);
    entries(report, root, "groups", schema::GROUP, read)
}

fn group(report: &mut Report, s: &Section<'_>, ids: &Ids<'_>) -> Option<Group> {
    let kind = s.parsed(report, "kind");
    if let Some(kind) = kind {
        check_keys_of_kind(report, s, kind);
    }
    let tenants = list(report, s, "tenants", &ids.tenants);
    let classes = list(report, s, "classes", &ids.classes);
    let servers = list(report, s, "servers", &ids.servers);
    Some(Group {
        snapshots: snapshots(report, s, ids),
        servers: servers.unwrap_or_default(),
        tenants: tenants.map(|list| list.into_iter().collect()),
        classes: classes.map(|list| list.into_iter().collect()),
        kind: kind?,
    })
}

/// Reports keys that a group of `kind` requires or must not have.
fn check_keys_of_kind(report: &mut Report, s: &Section<'_>, kind: GroupKind) {
    let (needed, forbidden) = match kind {
        GroupKind::Search => ("snapshots", "servers"),
        GroupKind::Execute => ("servers", "snapshots"),
    };
    if s.raw(needed).is_none() {
        let reason = format!("the key is missing, a group of kind {kind} needs it");
        report.add(s.path_of(needed), reason);
    }
    if s.raw(forbidden).is_some() {
        let reason = format!("a group of kind {kind} has no {forbidden}");
        report.add(s.path_of(forbidden), reason);
    }
}

/// Reads a list of references to ids, `None` if absent.
fn list<T: FromStr<Err: fmt::Display> + Clone>(
    report: &mut Report,
    s: &Section<'_>,
    name: &str,
    defined: &DefinedIds<'_, T>,
) -> Option<Vec<T>> {
    defined.resolve_list(report, s.raw(name)?, &s.path_of(name))
}

/// Reads the snapshots of a group, newest first.
fn snapshots(report: &mut Report, s: &Section<'_>, ids: &Ids<'_>) -> Vec<Snapshot> {
    let Some(value) = s.raw("snapshots") else {
        return Vec::new();
    };
    let mut snapshots = BTreeMap::new();
    let path = s.path_of("snapshots");
    for (version, key, value) in items(report, value, &path, Version::from_str) {
        let path = path.key(key);
        if key != version.to_string() {
            report.add(path, noncanonical_version(version, s));
            continue;
        }
        let Some(section) = Section::open(report, schema::SNAPSHOT, value, &path) else {
            continue;
        };
        let services = services(report, &section, ids);
        snapshots.insert(version, Snapshot { version, services });
    }
    snapshots.into_values().rev().collect()
}

/// Describes the mistake in a version that is not written in canonical form. Only
/// a non-canonical form lets two keys of an object stand for the same version.
fn noncanonical_version(version: Version, group: &Section<'_>) -> String {
    let usual = version.to_string();
    let snapshots = group.raw("snapshots").and_then(Value::as_object);
    if snapshots.is_some_and(|map| map.contains_key(&usual)) {
        return format!("version {version} is listed twice");
    }
    format!("the version is to be written as \"{usual}\"")
}

fn services(
    report: &mut Report,
    s: &Section<'_>,
    ids: &Ids<'_>,
) -> BTreeMap<ServiceId, Vec<ServerId>> {
    let mut services = BTreeMap::new();
    let Some(value) = s.value(report, "services") else {
        return services;
    };
    let path = s.path_of("services");
    for (service, key, value) in items(report, value, &path, ServiceId::from_str) {
        let replicas = ids.servers.resolve_list(report, value, &path.key(key));
        services.insert(service, replicas.unwrap_or_default());
    }
    services
}
