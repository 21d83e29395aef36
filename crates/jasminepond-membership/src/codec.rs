//! Compact encodings: records as arrays, addresses as bytes, sizes of both.

use std::{
    io::{self, Write},
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, Revision, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{ConfigMark, Member, MemberState};

/// A member as an array, half the size of a map with field names.
#[derive(Serialize, Deserialize)]
struct WireMember(
    InstanceId,
    Incarnation,
    u32,
    MemberState,
    ZoneId,
    RegionId,
    Bytes,
    Bytes,
    Revision,
    u32,
    CpuCapacity,
);

/// The bytes are not an address.
#[derive(Debug, thiserror::Error)]
#[error("an address has 6 or 18 bytes, not {0}")]
struct ParseAddressError(usize);

impl Serialize for Member {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        WireMember(
            self.instance.clone(),
            self.incarnation,
            self.refutation,
            self.state,
            self.zone.clone(),
            self.region.clone(),
            address_bytes(self.peer_address),
            address_bytes(self.membership_address),
            self.config.0,
            self.config.1,
            self.processor,
        )
        .serialize(s)
    }
}

impl<'de> Deserialize<'de> for Member {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let wire = WireMember::deserialize(d)?;
        let address = |b: &Bytes| parse_address(b).map_err(serde::de::Error::custom);
        Ok(Self {
            peer_address: address(&wire.6)?,
            membership_address: address(&wire.7)?,
            instance: wire.0,
            incarnation: wire.1,
            refutation: wire.2,
            state: wire.3,
            zone: wire.4,
            region: wire.5,
            config: ConfigMark(wire.8, wire.9),
            processor: wire.10,
        })
    }
}

fn address_bytes(address: SocketAddr) -> Bytes {
    let mut buf = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    buf.extend(address.port().to_be_bytes());
    buf.into()
}

fn parse_address(buf: &[u8]) -> Result<SocketAddr, ParseAddressError> {
    let err = ParseAddressError(buf.len());
    let (ip, port) = buf.split_last_chunk::<2>().ok_or(err)?;
    let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
        (Ok(v4), _) => IpAddr::from(v4),
        (_, Ok(v6)) => IpAddr::from(v6),
        _ => return Err(ParseAddressError(buf.len())),
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

/// Counts bytes instead of storing them.
struct Counter(usize);

impl Write for Counter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Bytes that a value takes in a datagram.
pub(crate) fn encoded_size(value: &impl Serialize) -> usize {
    let mut counter = Counter(0);
    match ciborium::into_writer(value, &mut counter) {
        Ok(()) => counter.0,
        // Not reached for our types; a value that cannot be encoded never fits.
        Err(_) => usize::MAX / 2,
    }
}
