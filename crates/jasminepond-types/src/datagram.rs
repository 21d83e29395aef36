//! Decoding of datagrams between daemons.

use std::time::Duration;

use bytes::{Buf, TryGetError};

/// A datagram is malformed or of another version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message ends early or has extra bytes.
    #[error("wrong length")]
    Length,
    /// The version or the kind is unknown.
    #[error("unknown version or kind")]
    Unknown,
    /// A value is not in the range of its field.
    #[error("value out of range")]
    Range,
}

impl From<TryGetError> for DecodeError {
    fn from(_: TryGetError) -> Self {
        Self::Length
    }
}

/// Reads a time in milliseconds, as four bytes.
///
/// ```
/// use jasminepond_types::{DecodeError, get_millis};
/// use std::time::Duration;
///
/// let mut buf = &[0, 0, 0, 5, 1][..];
/// assert_eq!(get_millis(&mut buf), Ok(Duration::from_millis(5)));
/// assert_eq!(get_millis(&mut buf), Err(DecodeError::Length));
/// ```
///
/// # Errors
///
/// There are fewer bytes.
pub fn get_millis(buf: &mut impl Buf) -> Result<Duration, DecodeError> {
    let millis = buf.try_get_u32()?;
    Ok(Duration::from_millis(millis.into()))
}

/// Checks that a message has no extra bytes.
///
/// # Errors
///
/// It has.
pub fn expect_end(buf: &impl Buf) -> Result<(), DecodeError> {
    match buf.has_remaining() {
        true => Err(DecodeError::Length),
        false => Ok(()),
    }
}
