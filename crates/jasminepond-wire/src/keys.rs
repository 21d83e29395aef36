//! Shared keys of a deployment and message authentication codes (MACs).

use std::{fmt, str::FromStr};

/// Length of a full MAC.
pub const MAC_BYTES: usize = 32;

/// Minimum length of an accepted MAC prefix: 128 bits.
const MIN_MAC_BYTES: usize = 16;

/// Minimum length of a key text.
const MIN_KEY_BYTES: usize = 16;

/// Purpose of a MAC. A MAC for one purpose is never valid for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Proof in the handshake of a link.
    Link,
    /// UDP datagram.
    Datagram,
    /// Request key given to a caller.
    RequestKey,
}

/// A secret text that all daemons of a deployment share.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(Box<str>);

/// A text is too short for a shared key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("shared key has {0} bytes, at least {MIN_KEY_BYTES} are required")]
pub struct SharedKeyError(usize);

impl FromStr for SharedKey {
    type Err = SharedKeyError;

    fn from_str(text: &str) -> Result<Self, SharedKeyError> {
        if text.len() < MIN_KEY_BYTES {
            return Err(SharedKeyError(text.len()));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

/// The list of shared keys is empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the list of shared keys is empty")]
pub struct NoKeys;

#[derive(Clone)]
struct DerivedKeys {
    link: [u8; 32],
    datagram: [u8; 32],
    request_key: [u8; 32],
}

impl DerivedKeys {
    fn new(key: &SharedKey) -> Self {
        let material = key.0.as_bytes();
        Self {
            link: blake3::derive_key("jasminepond 2026 link proof", material),
            datagram: blake3::derive_key("jasminepond 2026 datagram", material),
            request_key: blake3::derive_key("jasminepond 2026 request key", material),
        }
    }

    fn mac(&self, purpose: Purpose, message: &[u8]) -> [u8; MAC_BYTES] {
        let key = match purpose {
            Purpose::Link => &self.link,
            Purpose::Datagram => &self.datagram,
            Purpose::RequestKey => &self.request_key,
        };
        blake3::keyed_hash(key, message).into()
    }
}

/// The shared keys of a deployment: the first one signs, all of them verify.
///
/// To rotate a key, append the new key on all daemons, then move it to the front on
/// all daemons, then remove the old key. Remove it only after the request keys made
/// with it have expired (10 minutes): a request key made with a removed shared key is
/// reported as invalid, hence as not run, although the request may have run.
///
/// ```
/// use jasminepond_wire::{KeyRing, Purpose};
///
/// let old = KeyRing::new(["an-old-shared-key".parse().unwrap()]).unwrap();
/// let both = KeyRing::new([
///     "the-new-shared-key".parse().unwrap(),
///     "an-old-shared-key".parse().unwrap(),
/// ])
/// .unwrap();
/// let mac = old.sign(Purpose::Datagram, b"message");
/// assert!(both.verify(Purpose::Datagram, b"message", &mac));
/// assert!(!both.verify(Purpose::Link, b"message", &mac));
/// ```
#[derive(Clone)]
pub struct KeyRing {
    first: DerivedKeys,
    rest: Vec<DerivedKeys>,
}

impl KeyRing {
    /// Derives one key per purpose from each shared key.
    ///
    /// # Errors
    ///
    /// The list is empty.
    pub fn new(keys: impl IntoIterator<Item = SharedKey>) -> Result<Self, NoKeys> {
        let mut keys = keys.into_iter();
        let first = keys.next().ok_or(NoKeys)?;
        Ok(Self {
            first: DerivedKeys::new(&first),
            rest: keys.map(|key| DerivedKeys::new(&key)).collect(),
        })
    }

    /// MAC of `message` with the first key.
    pub fn sign(&self, purpose: Purpose, message: &[u8]) -> [u8; MAC_BYTES] {
        self.first.mac(purpose, message)
    }

    /// Whether `mac`, a MAC or a prefix of at least 16 bytes, was made with one of the
    /// keys. Each comparison takes constant time.
    pub fn verify(&self, purpose: Purpose, message: &[u8], mac: &[u8]) -> bool {
        if !(MIN_MAC_BYTES..=MAC_BYTES).contains(&mac.len()) {
            return false;
        }
        std::iter::once(&self.first)
            .chain(&self.rest)
            .any(|key| mac_starts_with(key.mac(purpose, message), mac))
    }
}

/// Compares as `blake3::Hash`, whose equality check takes constant time.
fn mac_starts_with(mut full: [u8; MAC_BYTES], prefix: &[u8]) -> bool {
    let mut padded = [0; MAC_BYTES];
    padded[..prefix.len()].copy_from_slice(prefix);
    full[prefix.len()..].fill(0);
    blake3::Hash::from_bytes(full) == blake3::Hash::from_bytes(padded)
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", 1 + self.rest.len())
    }
}
