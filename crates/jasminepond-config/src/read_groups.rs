//! Reads groups and their snapshots.

use std::{collections::BTreeMap, fmt, str::FromStr};

use jasminepond_types::{GroupId, ServerId, ServiceId, Version};
use serde_json::Value;

use crate::{
    Group, GroupKind, Snapshot,
    known::Known,
    read::{Names, entries, items},
    schema,
    section::{Report, Section},
};

pub(crate) fn groups(
    report: &mut Report,
    root: &Section<'_>,
    names: &Names<'_>,
) -> BTreeMap<GroupId, Group> {
    let read = |report: &mut Report, s: &Section<'_>| group(report, s, names);
    entries(report, root, "groups", schema::GROUP, read)
}

fn group(report: &mut Report, s: &Section<'_>, names: &Names<'_>) -> Option<Group> {
    let kind = s.parsed(report, "kind");
    if let Some(kind) = kind {
        parts_of(report, s, kind);
    }
    let tenants = list(report, s, "tenants", &names.tenants);
    let classes = list(report, s, "classes", &names.classes);
    let servers = list(report, s, "servers", &names.servers);
    Some(Group {
        snapshots: snapshots(report, s, names),
        servers: servers.unwrap_or_default(),
        tenants: tenants.map(|list| list.into_iter().collect()),
        classes: classes.map(|list| list.into_iter().collect()),
        kind: kind?,
    })
}

/// Reports what a group of `kind` lacks or must not have.
fn parts_of(report: &mut Report, s: &Section<'_>, kind: GroupKind) {
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

/// A list of ids that are defined elsewhere, `None` if absent.
fn list<T: FromStr<Err: fmt::Display> + Clone>(
    report: &mut Report,
    s: &Section<'_>,
    name: &str,
    known: &Known<'_, T>,
) -> Option<Vec<T>> {
    known.resolve_list(report, s.raw(name)?, &s.path_of(name))
}

/// The snapshots of a group, newest first.
fn snapshots(report: &mut Report, s: &Section<'_>, names: &Names<'_>) -> Vec<Snapshot> {
    let Some(value) = s.raw("snapshots") else {
        return Vec::new();
    };
    let mut snapshots = BTreeMap::new();
    let path = s.path_of("snapshots");
    for (version, key, value) in items(report, value, &path, Version::from_str) {
        let path = path.key(key);
        if key != version.to_string() {
            report.add(path, unusual(version, s));
            continue;
        }
        let Some(section) = Section::open(report, schema::SNAPSHOT, value, &path) else {
            continue;
        };
        let services = services(report, &section, names);
        snapshots.insert(version, Snapshot { version, services });
    }
    snapshots.into_values().rev().collect()
}

/// What is wrong with a version that is not written in its one form. Only so
/// can two different keys of an object be the same version.
fn unusual(version: Version, group: &Section<'_>) -> String {
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
    names: &Names<'_>,
) -> BTreeMap<ServiceId, Vec<ServerId>> {
    let mut services = BTreeMap::new();
    let Some(value) = s.value(report, "services") else {
        return services;
    };
    let path = s.path_of("services");
    for (service, key, value) in items(report, value, &path, ServiceId::from_str) {
        let replicas = names.servers.resolve_list(report, value, &path.key(key));
        services.insert(service, replicas.unwrap_or_default());
    }
    services
}
