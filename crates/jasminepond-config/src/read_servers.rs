//! Reads shapes and backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use jasminepond_types::{ConnectionLimit, Millis, ServerId, Slots};
use serde_json::Value;

use crate::{
    Server,
    document::describe,
    ids::report_undefined,
    path::Path,
    read::{Ids, entries, entries_by},
    schema,
    section::{Report, Section, narrow},
};

/// The values of a shape; `None` for a value that the shape does not set.
#[derive(Debug, Clone, Copy, Default)]
struct Shape {
    slots: Option<u32>,
    connection_limit: Option<u32>,
    connect_cost_ms: Option<u64>,
}

impl Shape {
    /// Replaces a shape that is not defined. It has every value, so that the
    /// mistake is reported once per reference and not once per value.
    const UNDEFINED: Self = Self {
        slots: Some(1),
        connection_limit: Some(1),
        connect_cost_ms: Some(0),
    };
}

struct Shapes<'a> {
    /// The section, if present.
    raw: Option<&'a Value>,
    by_name: BTreeMap<String, Shape>,
}

impl<'a> Shapes<'a> {
    fn read(report: &mut Report, root: &Section<'a>) -> Self {
        let read = |report: &mut Report, s: &Section<'_>| Some(shape(report, s));
        Self {
            raw: root.raw("shapes"),
            by_name: entries(report, root, "shapes", schema::SHAPE, read),
        }
    }

    /// Returns the shape `name`. Reports a name that is not defined.
    fn resolve(&self, report: &mut Report, name: &str, path: &Path<'_>) -> Shape {
        if let Some(shape) = self.by_name.get(name) {
            return *shape;
        }
        // A shape or section that is not an object has already been reported.
        let reported = self
            .raw
            .is_some_and(|raw| !raw.is_object() || raw.get(name).is_some());
        if !reported {
            let names = self.by_name.keys().map(String::as_str);
            report_undefined(report, "shape", names, name, path);
        }
        Shape::UNDEFINED
    }
}

pub(crate) fn servers(
    report: &mut Report,
    root: &Section<'_>,
    ids: &Ids<'_>,
) -> BTreeMap<ServerId, Server> {
    let shapes = Shapes::read(report, root);
    let mut used = Addresses::new();
    let id = |key: &str| ids.servers.id(key);
    entries_by(report, root, "servers", schema::SERVER, id, |report, s| {
        let address = address(report, s, &mut used);
        server(report, s, ids, &shapes, address)
    })
}

/// The server at each address. Two servers with the same address would each be
/// given all of its slots.
type Addresses = HashMap<SocketAddr, String>;

fn shape(report: &mut Report, s: &Section<'_>) -> Shape {
    let mut number = |name| s.raw(name).map(|_| s.number(report, name));
    Shape {
        slots: number("slots").map(narrow),
        connection_limit: number("connection_limit").map(narrow),
        connect_cost_ms: number("connect_cost_ms"),
    }
}

fn server(
    report: &mut Report,
    s: &Section<'_>,
    ids: &Ids<'_>,
    shapes: &Shapes<'_>,
    address: Option<SocketAddr>,
) -> Option<Server> {
    let shape = shape_of(report, s, shapes);
    let own = self::shape(report, s);
    let connect_cost_ms = own.connect_cost_ms.or(shape.connect_cost_ms);
    let slots = own.slots.or(shape.slots);
    let connection_limit = own.connection_limit.or(shape.connection_limit);
    for (name, value) in [("slots", slots), ("connection_limit", connection_limit)] {
        if value.is_none() {
            report.add(
                s.path_of(name),
                "neither the server nor its shape has this key",
            );
        }
    }
    let zone = s.value(report, "zone");
    let zone = zone.and_then(|zone| ids.zones.resolve(report, zone, &s.path_of("zone")));
    Some(Server {
        address: address?,
        zone: zone?,
        slots: Slots(slots?),
        connection_limit: ConnectionLimit(connection_limit?),
        connect_cost_ms: Millis(
            connect_cost_ms.unwrap_or_else(|| s.number(report, "connect_cost_ms")),
        ),
    })
}

fn shape_of(report: &mut Report, s: &Section<'_>, shapes: &Shapes<'_>) -> Shape {
    let Some(value) = s.raw("shape") else {
        return Shape::default();
    };
    let path = s.path_of("shape");
    let Some(name) = value.as_str() else {
        report.add(path, format!("expected a text, found {}", describe(value)));
        return Shape::UNDEFINED;
    };
    shapes.resolve(report, name, &path)
}

fn address(report: &mut Report, s: &Section<'_>, used: &mut Addresses) -> Option<SocketAddr> {
    let address: SocketAddr = s.parsed(report, "address")?;
    let path = s.path_of("address");
    if address.port() == 0 || address.ip().is_unspecified() {
        report.add(path, format!("{address} cannot be connected to"));
        return None;
    }
    if let Some(other) = used.insert(address, s.name().to_owned()) {
        report.add(
            path,
            format!("server \"{other}\" has the same address {address}"),
        );
    }
    Some(address)
}
