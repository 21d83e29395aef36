//! Identity of equal requests.

use std::{fmt, str::FromStr};

/// Bytes of a fingerprint. Finding a request with the fingerprint of another one takes more
/// work than anybody can do, so that no caller can get the requests of another one refused.
const LEN: usize = 16;

/// What equal requests have in common.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestParts<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// What identifies the caller, empty if nothing does.
    pub caller: &'a [u8],
    /// The body, whichever way it was framed.
    pub body: &'a [u8],
}

/// Identifies requests that are equal but for their ids, deadlines and other headers.
///
/// ```
/// use jasminepond_quarantine::{Fingerprint, RequestParts};
///
/// let request = RequestParts { method: "GET", host: "h.example", path: "/a?b", ..Default::default() };
/// let fingerprint = Fingerprint::new(&request);
/// assert_eq!(fingerprint, Fingerprint::new(&request));
/// assert_ne!(fingerprint, Fingerprint::new(&RequestParts { body: b"x", ..request }));
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Fingerprint(pub(crate) [u8; LEN]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(request: &RequestParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let RequestParts {
            method,
            host,
            path,
            caller,
            body,
        } = request;
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), caller] {
            // The lengths keep the bytes of one part from being taken for those of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self::truncate(&hasher)
    }

    /// Fingerprint of the part of a request that goes to one service.
    pub fn of_part(self, service: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(service.as_bytes());
        Self::truncate(&hasher)
    }

    fn truncate(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..LEN]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    /// Writes 32 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A text is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has {} hexadecimal digits", 2 * LEN)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let mut bytes = [0; LEN];
        if text.len() != 2 * LEN || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| ParseFingerprintError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
