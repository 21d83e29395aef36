//! From a settings file to [`Settings`].

use std::net::SocketAddr;

use serde_json::Value;

use crate::{
    Advertise, Log, Mistake, PeerKey, Settings, SyncSettings, document,
    path::Path,
    read::absent,
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
    // Everything is read before the first `?`, so that every mistake is found.
    let ids = (
        s.parsed(report, "instance"),
        s.parsed(report, "zone"),
        s.parsed(report, "region"),
    );
    let callers = s.parsed(report, "callers");
    let peers = s.parsed(report, "peers");
    let membership = s.parsed(report, "membership");
    let operators = s.parsed(report, "operators");
    let advertise = part(report, s, "advertise", schema::ADVERTISE, advertise);
    let platform = platform(report, s);
    let peer_keys = peer_keys(report, s);
    let log = part(report, s, "log", schema::LOG, log);
    let sync = part(report, s, "sync", schema::SYNC, sync);
    distinct(report, s);
    reachable(report, s, "peers", peers, advertise.peers);
    reachable(report, s, "membership", membership, advertise.membership);
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

fn part<T>(
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
        None => absent(spec, read),
    }
}

fn advertise(report: &mut Report, s: &Section<'_>) -> Advertise {
    let mut address = |name: &str| {
        let address = s.parsed(report, name)?;
        connectable(report, address, s.path_of(name))
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
        absent(schema::SYNC, sync)
    }
}

fn platform(report: &mut Report, s: &Section<'_>) -> Vec<SocketAddr> {
    let addresses = s.list(report, "platform").unwrap_or_default();
    not_empty(report, s, "platform");
    let path = s.path_of("platform");
    for (index, item) in items(s, "platform").iter().enumerate() {
        // What is not an address has been reported by `list`.
        if let Some(address) = item.as_str().and_then(|text| text.parse().ok()) {
            connectable(report, address, path.index(index));
        }
    }
    addresses
}

/// Reads keys without repeating any text of them in a mistake, since mistakes
/// are logged.
fn peer_keys(report: &mut Report, s: &Section<'_>) -> Vec<PeerKey> {
    let mut keys = Vec::new();
    if s.value(report, "peer_keys")
        .is_some_and(|value| !value.is_array())
    {
        report.add(s.path_of("peer_keys"), "expected a list");
    }
    not_empty(report, s, "peer_keys");
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

fn not_empty(report: &mut Report, s: &Section<'_>, name: &str) {
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

fn connectable(report: &mut Report, address: SocketAddr, path: Path<'_>) -> Option<SocketAddr> {
    if address.port() == 0 || address.ip().is_unspecified() {
        report.add(path, format!("{address} cannot be connected to"));
        return None;
    }
    Some(address)
}

/// Peers cannot use an unspecified listen address, so another one must be given.
fn reachable(
    report: &mut Report,
    s: &Section<'_>,
    name: &str,
    listen: Option<SocketAddr>,
    advertised: Option<SocketAddr>,
) {
    let unspecified = listen.is_some_and(|address| address.ip().is_unspecified());
    // An advertised address that is wrong has been reported.
    let stated = s.raw("advertise").is_some_and(|a| a.get(name).is_some());
    if unspecified && advertised.is_none() && !stated {
        let reason = format!("peers cannot connect to it, set advertise.{name}");
        report.add(s.path_of(name), reason);
    }
}

/// Three of the listeners use TCP and cannot share an address.
fn distinct(report: &mut Report, s: &Section<'_>) {
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
