//! Reads [`Settings`] from a settings file.

use std::net::SocketAddr;

use serde_json::Value;

use crate::{
    Advertise, Log, Mistake, PeerKey, Settings, SyncSettings, document,
    path::Path,
    read::defaults,
    schema::{self, SectionSpec},
    section::{Report, Section},
};

pub(crate) fn settings(name: &str, bytes: &[u8]) -> Result<Settings, Vec<Mistake>> {
    let document = document::parse(name, bytes).map_err(|mistake| vec![mistake])?;
    let mut report = Report::default();
    for path in document.duplicates {
        report.add(path, "the key occurs twice in one object");
    }
    let settings = root(&mut report, &Value::Object(document.root));
    let to_mistake = |(path, reason): (String, String)| Mistake::at(name, &path, reason);
    let mut mistakes: Vec<_> = report.mistakes.into_iter().map(to_mistake).collect();
    match settings {
        Some(settings) if mistakes.is_empty() => Ok(settings),
        _ => {
            mistakes.sort();
            Err(mistakes)
        }
    }
}

fn root(report: &mut Report, value: &Value) -> Option<Settings> {
    let s = &Section::open(report, schema::SETTINGS, value, &Path::Root)?;
    // All values are read before the first `?`, so that every mistake is reported.
    let ids = (
        s.parsed(report, "instance"),
        s.parsed(report, "zone"),
        s.parsed(report, "region"),
    );
    let callers = s.parsed(report, "callers");
    let peers = s.parsed(report, "peers");
    let membership = s.parsed(report, "membership");
    let operators = s.parsed(report, "operators");
    let advertise = section_or_default(report, s, "advertise", schema::ADVERTISE, advertise);
    let platform = platform(report, s);
    let peer_keys = peer_keys(report, s);
    let log = section_or_default(report, s, "log", schema::LOG, log);
    let sync = section_or_default(report, s, "sync", schema::SYNC, sync);
    check_distinct(report, s);
    check_advertised(report, s, "peers", peers, advertise.peers);
    check_advertised(report, s, "membership", membership, advertise.membership);
    Some(Settings {
        instance: ids.0?,
        zone: ids.1?,
        region: ids.2?,
        callers: callers?,
        peers: peers?,
        membership: membership?,
        operators: operators?,
        advertise,
        platform,
        peer_keys,
        log,
        sync,
    })
}

fn section_or_default<T>(
    report: &mut Report,
    root: &Section<'_>,
    name: &str,
    spec: SectionSpec,
    read: impl Fn(&mut Report, &Section<'_>) -> T,
) -> T {
    let value = root.value(report, name);
    let path = root.path_of(name);
    let section = value.and_then(|value| Section::open(report, spec, value, &path));
    match section {
        Some(section) => read(report, &section),
        None => defaults(spec, read),
    }
}

fn advertise(report: &mut Report, s: &Section<'_>) -> Advertise {
    let mut address = |name: &str| {
        let address = s.parsed(report, name)?;
        check_connectable(report, address, s.path_of(name))
    };
    Advertise {
        peers: address("peers"),
        membership: address("membership"),
    }
}

fn log(report: &mut Report, s: &Section<'_>) -> Log {
    Log {
        level: s.choice(report, "level"),
        format: s.choice(report, "format"),
    }
}

fn sync(report: &mut Report, s: &Section<'_>) -> SyncSettings {
    SyncSettings {
        readers_per_zone: s.number32(report, "readers_per_zone"),
        fanout: s.number32(report, "fanout"),
    }
}

impl Default for SyncSettings {
    fn default() -> Self {
        defaults(schema::SYNC, sync)
    }
}

fn platform(report: &mut Report, s: &Section<'_>) -> Vec<SocketAddr> {
    let addresses = s.list(report, "platform").unwrap_or_default();
    check_not_empty(report, s, "platform");
    let path = s.path_of("platform");
    for (index, item) in items(s, "platform").iter().enumerate() {
        // `list` has already reported entries that are not addresses.
        if let Some(address) = item.as_str().and_then(|text| text.parse().ok()) {
            check_connectable(report, address, path.index(index));
        }
    }
    addresses
}

/// Reads the peer keys. Mistakes do not contain any part of a key, since mistakes
/// are logged.
fn peer_keys(report: &mut Report, s: &Section<'_>) -> Vec<PeerKey> {
    let mut keys = Vec::new();
    if s.value(report, "peer_keys")
        .is_some_and(|value| !value.is_array())
    {
        report.add(s.path_of("peer_keys"), "expected a list");
    }
    check_not_empty(report, s, "peer_keys");
    let path = s.path_of("peer_keys");
    for (index, item) in items(s, "peer_keys").iter().enumerate() {
        let path = path.index(index);
        match item.as_str().map(str::parse::<PeerKey>) {
            None => report.add(path, "expected a text"),
            Some(Err(e)) => report.add(path, format!("not a key: {e}")),
            Some(Ok(key)) if keys.contains(&key) => report.add(path, "the key is listed twice"),
            Some(Ok(key)) => keys.push(key),
        }
    }
    keys
}

fn items<'a>(s: &Section<'a>, name: &str) -> &'a [Value] {
    s.raw(name)
        .and_then(Value::as_array)
        .map(Vec::as_slice)
        .unwrap_or_default()
}

fn check_not_empty(report: &mut Report, s: &Section<'_>, name: &str) {
    if s.raw(name)
        .and_then(Value::as_array)
        .is_some_and(Vec::is_empty)
    {
        report.add(
            s.path_of(name),
            "the list is empty, at least one entry is needed",
        );
    }
}

fn check_connectable(
    report: &mut Report,
    address: SocketAddr,
    path: Path<'_>,
) -> Option<SocketAddr> {
    if address.port() == 0 || address.ip().is_unspecified() {
        report.add(path, format!("{address} cannot be connected to"));
        return None;
    }
    Some(address)
}

/// Reports an unspecified listen address without an advertised one, since peers
/// cannot connect to it.
fn check_advertised(
    report: &mut Report,
    s: &Section<'_>,
    name: &str,
    listen: Option<SocketAddr>,
    advertised: Option<SocketAddr>,
) {
    let unspecified = listen.is_some_and(|address| address.ip().is_unspecified());
    // An invalid advertised address has already been reported.
    let stated = s.raw("advertise").is_some_and(|a| a.get(name).is_some());
    if unspecified && advertised.is_none() && !stated {
        let reason = format!("peers cannot connect to it, set advertise.{name}");
        report.add(s.path_of(name), reason);
    }
}

/// Reports listen addresses that are used twice: three of the listeners use TCP
/// and cannot share an address.
fn check_distinct(report: &mut Report, s: &Section<'_>) {
    let names = ["callers", "peers", "operators"];
    let address = |name| -> Option<SocketAddr> { s.raw(name)?.as_str()?.parse().ok() };
    for (index, name) in names.iter().enumerate() {
        let Some(own) = address(name).filter(|a| a.port() != 0) else {
            continue;
        };
        for other in &names[..index] {
            if address(other) == Some(own) {
                report.add(
                    s.path_of(name),
                    format!("{other} has the same address {own}"),
                );
            }
        }
    }
}
