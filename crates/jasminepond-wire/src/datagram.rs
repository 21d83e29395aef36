//! Authenticated UDP datagrams: `[MAC prefix of 16 bytes][payload]`.

use crate::{KeyRing, Purpose};

/// Maximum size of a datagram. Below the usual path MTU, to avoid fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const MAC_PREFIX_BYTES: usize = 16;

/// Maximum size of a datagram's payload.
pub const MAX_DATAGRAM_PAYLOAD: usize = MAX_DATAGRAM_BYTES - MAC_PREFIX_BYTES;

/// A datagram could not be created or was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The payload or the datagram exceeds the limit.
    #[error("{0} bytes do not fit into a datagram of at most {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge(usize),
    /// The datagram is shorter than its MAC.
    #[error("datagram of {0} bytes is too short to contain a MAC")]
    TooShort(usize),
    /// The MAC matches none of the known keys.
    #[error("datagram MAC does not match any known key")]
    UnknownKey,
}

/// Prepends a MAC made with the first key to `payload`.
///
/// # Errors
///
/// The payload exceeds [`MAX_DATAGRAM_PAYLOAD`].
pub fn sign_datagram(keys: &KeyRing, payload: &[u8]) -> Result<Vec<u8>, DatagramError> {
    if payload.len() > MAX_DATAGRAM_PAYLOAD {
        return Err(DatagramError::TooLarge(payload.len()));
    }
    let mac = keys.sign(Purpose::Datagram, payload);
    let mut datagram = Vec::with_capacity(MAC_PREFIX_BYTES + payload.len());
    datagram.extend_from_slice(&mac[..MAC_PREFIX_BYTES]);
    datagram.extend_from_slice(payload);
    Ok(datagram)
}

/// Verifies the MAC with each key in turn and returns the payload.
///
/// ```
/// use jasminepond_wire::{KeyRing, verify_datagram, sign_datagram};
///
/// let keys = KeyRing::new(["some-shared-key-1".parse().unwrap()]).unwrap();
/// let datagram = sign_datagram(&keys, b"probe").unwrap();
/// assert_eq!(verify_datagram(&keys, &datagram), Ok(&b"probe"[..]));
/// ```
///
/// # Errors
///
/// The datagram is too long or too short, or its MAC matches no known key.
pub fn verify_datagram<'a>(keys: &KeyRing, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(datagram.len()));
    }
    let Some((mac, payload)) = datagram.split_at_checked(MAC_PREFIX_BYTES) else {
        return Err(DatagramError::TooShort(datagram.len()));
    };
    if !keys.verify(Purpose::Datagram, payload, mac) {
        return Err(DatagramError::UnknownKey);
    }
    Ok(payload)
}
