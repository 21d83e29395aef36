//! Compact encoding of records as arrays and of addresses as bytes, and the
//! encoded size of values.

use std::{
    io::{self, Write},
    net::{IpAddr, SocketAddr},
};

use bytes::Bytes;
use jasminepond_types::{CpuCapacity, Incarnation, InstanceId, RegionId, Revision, ZoneId};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, Member, MemberState};

/// Encoding of a member as an array, which takes half the size of a map with
/// field names.
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

/// The bytes do not have the length of an encoded address.
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
            config: ConfigVersion(wire.8, wire.9),
            processor: wire.10,
            // Set from the message that contains the record.
            reaches_servers: true,
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

/// Counts the bytes written to it and discards them.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Encoded size of a value in bytes.
pub(crate) fn encoded_size(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    match ciborium::into_writer(value, &mut counter) {
        Ok(()) => counter.0,
        // Unreachable for the types of this crate. A value that cannot be encoded
        // must not fit a datagram.
        Err(_) => usize::MAX / 2,
    }
}
