//! The digest of a whole configuration folder.

use std::{fmt, str::FromStr};

use crate::Files;

/// BLAKE3 over the names and contents of a folder's files.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The raw bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&data_encoding::HEXLOWER.encode(&self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// The string is not a digest in hex.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a digest: expected 64 hex digits")]
pub struct ParseDigestError;

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| ParseDigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

/// Computes the digest of a folder.
///
/// Each name and content is preceded by its length, so that moving bytes
/// between a name and a content, or between two files, changes the digest.
///
/// ```
/// use jasminepond_config::{Digest, Files, digest};
///
/// let files = Files::from([("10.json".into(), b"{}".to_vec())]);
/// let of_files = digest(&files);
/// assert_ne!(of_files, digest(&Files::new()));
/// assert_eq!(of_files.to_string().parse::<Digest>(), Ok(of_files));
/// ```
pub fn digest(files: &Files) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for (name, content) in files {
        for part in [name.as_bytes(), content] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    Digest(*hasher.finalize().as_bytes())
}
