//! Authenticated UDP datagrams: `[MAC prefix of 16 bytes][payload]`.

use crate::{KeyRing, Purpose};

/// Largest datagram. Stays below the usual path MTU, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const TAG_BYTES: usize = 16;

/// Largest payload of a datagram.
pub const MAX_DATAGRAM_PAYLOAD: usize = MAX_DATAGRAM_BYTES - TAG_BYTES;

/// Why a datagram was not made or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Payload or datagram is over the limit.
    #[error("{0} bytes do not fit a datagram of {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge(usize),
    /// The datagram is shorter than its MAC.
    #[error("datagram of {0} bytes has no MAC")]
    TooShort(usize),
    /// No known key made the MAC.
    #[error("datagram has a MAC of an unknown key")]
    UnknownKey,
}

/// Prepends the MAC of the first key to `payload`.
///
/// # Errors
///
/// The payload exceeds [`MAX_DATAGRAM_PAYLOAD`].
pub fn sign_datagram(keys: &KeyRing, payload: &[u8]) -> Result<Vec<u8>, DatagramError> {
    if payload.len() > MAX_DATAGRAM_PAYLOAD {
        return Err(DatagramError::TooLarge(payload.len()));
    }
    let mac = keys.sign(Purpose::Datagram, payload);
    let mut datagram = Vec::with_capacity(TAG_BYTES + payload.len());
    datagram.extend_from_slice(&mac[..TAG_BYTES]);
    datagram.extend_from_slice(payload);
    Ok(datagram)
}

/// Checks the MAC against every key and returns the payload.
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
/// The datagram is too long, too short or not made with a known key.
pub fn verify_datagram<'a>(keys: &KeyRing, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(datagram.len()));
    }
    let Some((tag, payload)) = datagram.split_at_checked(TAG_BYTES) else {
        return Err(DatagramError::TooShort(datagram.len()));
    };
    if !keys.verify(Purpose::Datagram, payload, tag) {
        return Err(DatagramError::UnknownKey);
    }
    Ok(payload)
}
