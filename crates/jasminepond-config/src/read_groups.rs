//! Reads groups and their snapshots.

use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

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
    for (version, value, path) in items::<Version>(report, value, &s.path_of("snapshots")) {
        if !path.ends_with(&format!("/{version}")) {
            report.add(
                &*path,
                format!("the version is to be written as \"{version}\""),
            );
        }
        let Some(section) = Section::open(report, schema::SNAPSHOT, value, path.clone()) else {
            continue;
        };
        let services = services(report, &section, names);
        match snapshots.entry(version) {
            Entry::Vacant(entry) => {
                entry.insert(Snapshot { version, services });
            }
            Entry::Occupied(_) => report.add(path, format!("version {version} is listed twice")),
        }
    }
    snapshots.into_values().rev().collect()
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
