//! Reads groups and their snapshots.

use std::collections::{BTreeMap, BTreeSet};

use jasminepond_types::{ClassId, GroupId, ServerId, ServiceId, TenantId, Version};
use serde_json::Value;

use crate::{
    Group, GroupKind, Snapshot,
    document::join,
    read::{Names, entries, items, refer},
    schema,
    section::{self, Report, Section},
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
    let tenants = allowed::<TenantId>(report, s, "tenants", "tenant", &names.tenants);
    let classes = allowed::<ClassId>(report, s, "classes", "class", &names.classes);
    let kind = s.parsed(report, "kind")?;
    let (needed, forbidden) = match kind {
        GroupKind::Search => ("snapshots", "servers"),
        GroupKind::Execute => ("servers", "snapshots"),
    };
    if s.raw(needed).is_none() {
        report.add(
            s.path_of(needed),
            format!("the key is missing, a group of kind {kind} needs it"),
        );
    }
    if s.raw(forbidden).is_some() {
        report.add(
            s.path_of(forbidden),
            format!("a group of kind {kind} has no {forbidden}"),
        );
    }
    Some(Group {
        kind,
        snapshots: snapshots(report, s, names),
        servers: servers(report, s, names),
        tenants,
        classes,
    })
}

/// A list of ids that restricts who uses a group.
fn allowed<T>(
    report: &mut Report,
    s: &Section<'_>,
    name: &str,
    what: &str,
    known: &BTreeSet<&str>,
) -> Option<BTreeSet<T>>
where
    T: std::str::FromStr<Err: std::fmt::Display> + Ord + Clone + std::borrow::Borrow<str>,
{
    let list = s
        .raw(name)
        .and_then(|value| referring(report, value, &s.path_of(name), what, known))?;
    Some(list.into_iter().collect())
}

fn servers(report: &mut Report, s: &Section<'_>, names: &Names<'_>) -> Vec<ServerId> {
    let list = s.raw("servers").and_then(|value| {
        referring(
            report,
            value,
            &s.path_of("servers"),
            "server",
            &names.servers,
        )
    });
    list.unwrap_or_default()
}

/// A list of ids that are defined elsewhere, with at least one entry.
fn referring<T>(
    report: &mut Report,
    value: &Value,
    path: &str,
    what: &str,
    known: &BTreeSet<&str>,
) -> Option<Vec<T>>
where
    T: std::str::FromStr<Err: std::fmt::Display> + Ord + Clone + std::borrow::Borrow<str>,
{
    let list: Vec<T> = section::list(report, value, path)?;
    let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
    if items.is_empty() {
        report.add(
            path,
            format!("the list is empty, at least one {what} is needed"),
        );
    }
    for (index, item) in items.iter().enumerate() {
        // What is not an id has been reported by `list`.
        if let Some(id) = item.as_str().filter(|text| text.parse::<T>().is_ok()) {
            refer(report, what, known, id, &join(path, &index.to_string()));
        }
    }
    Some(list)
}

/// The snapshots of a group, newest first.
fn snapshots(report: &mut Report, s: &Section<'_>, names: &Names<'_>) -> Vec<Snapshot> {
    let Some(value) = s.raw("snapshots") else {
        return Vec::new();
    };
    let mut snapshots = BTreeMap::new();
    let path = s.path_of("snapshots");
    for (version, value, own_path) in items::<Version>(report, value, &path) {
        if own_path != join(&path, &version.to_string()) {
            report.add(own_path, unusual(version, s));
            continue;
        }
        let Some(section) = Section::open(report, schema::SNAPSHOT, value, own_path) else {
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
    for (service, value, path) in items(report, value, &s.path_of("services")) {
        let replicas = referring(report, value, &path, "server", &names.servers);
        services.insert(service, replicas.unwrap_or_default());
    }
    services
}
