//! Digests of files and of the list of files.

use std::{fmt, str::FromStr};

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// BLAKE3 digest.
///
/// ```
/// use jasminepond_sync::Digest;
///
/// let digest = Digest::of(b"{}");
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

/// The string is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Hashes `buf`.
    pub fn of(buf: &[u8]) -> Self {
        Self(*blake3::hash(buf).as_bytes())
    }

    /// The raw bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    pub(crate) const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| ParseDigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let bytes = Bytes::deserialize(d)?;
        let array = bytes.as_ref().try_into();
        array
            .map(Self)
            .map_err(|_| de::Error::invalid_length(bytes.len(), &"32 bytes"))
    }
}
