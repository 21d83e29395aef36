//! Reads shapes and backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use jasminepond_types::{ConnectionLimit, Millis, ServerId, Slots, ZoneId};

use crate::{
    Server,
    read::{Names, entries, refer},
    schema,
    section::{Report, Section, narrow},
};

/// The values of a shape. A value that is absent is left to the server.
#[derive(Debug, Clone, Copy, Default)]
struct Shape {
    slots: Option<u32>,
    connection_limit: Option<u32>,
    connect_cost_ms: Option<u64>,
}

impl Shape {
    /// Stands for a shape that is not defined. It holds every value, so that
    /// its absence is reported once per reference and not once per value.
    const UNDEFINED: Self = Self {
        slots: Some(1),
        connection_limit: Some(1),
        connect_cost_ms: Some(0),
    };
}

pub(crate) fn servers(
    report: &mut Report,
    root: &Section<'_>,
    names: &Names<'_>,
) -> BTreeMap<ServerId, Server> {
    let mut shapes = BTreeMap::new();
    if root.raw("shapes").is_some() {
        shapes = entries(report, root, "shapes", schema::SHAPE, |r, s| {
            Some(shape(r, s))
        });
    }
    let mut used = Addresses::new();
    entries(report, root, "servers", schema::SERVER, |report, s| {
        let address = address(report, s, &mut used);
        server(report, s, names, &shapes, address)
    })
}

/// The path of the server's address, by address. Two servers with one address
/// would each be given the whole of its slots.
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
    names: &Names<'_>,
    shapes: &BTreeMap<String, Shape>,
    address: Option<SocketAddr>,
) -> Option<Server> {
    let shape = shape_of(report, s, names, shapes);
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
    let zone: Option<ZoneId> = s.parsed(report, "zone");
    if let Some(zone) = &zone {
        refer(
            report,
            "zone",
            &names.zones,
            zone.as_str(),
            &s.path_of("zone"),
        );
    }
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

fn shape_of(
    report: &mut Report,
    s: &Section<'_>,
    names: &Names<'_>,
    shapes: &BTreeMap<String, Shape>,
) -> Shape {
    if s.raw("shape").is_none() {
        return Shape::default();
    }
    let Some(name) = s.parsed::<String>(report, "shape") else {
        return Shape::UNDEFINED;
    };
    refer(report, "shape", &names.shapes, &name, &s.path_of("shape"));
    shapes.get(&name).copied().unwrap_or(Shape::UNDEFINED)
}

fn address(report: &mut Report, s: &Section<'_>, used: &mut Addresses) -> Option<SocketAddr> {
    let address: SocketAddr = s.parsed(report, "address")?;
    let path = s.path_of("address");
    if address.port() == 0 || address.ip().is_unspecified() {
        report.add(path, format!("{address} cannot be connected to"));
        return None;
    }
    if let Some(other) = used.insert(address, path.clone()) {
        report.add(path, format!("{other} is the same address {address}"));
    }
    Some(address)
}
