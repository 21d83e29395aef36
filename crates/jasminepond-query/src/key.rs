//! Request keys.

use std::{fmt, num::ParseIntError, str::FromStr};

use jasminepond_types::{
    ClassId, GroupId, Incarnation, InstanceId, ParseIdError, TenantId, Timestamp,
};
use jasminepond_wire::{KeyRing, Purpose};

/// Names the text form; a later form has another prefix.
const PREFIX: &str = "jk1";

/// Not allowed in instance ids and not escaped in URLs.
const SEPARATOR: char = '~';

/// Longest accepted text.
const MAX_TEXT_BYTES: usize = 256;

/// Bytes of the MAC that a key carries.
const TAG_BYTES: usize = 16;

/// Right to run one non-idempotent request once, at the daemon that issued it.
///
/// The text form is `jk1~instance~incarnation~expiry~id~mac`. Only the issuer
/// reads the expiry, which is a time of its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    instance: InstanceId,
    incarnation: Incarnation,
    expires: Timestamp,
    id: u128,
    tag: [u8; TAG_BYTES],
}

/// What a daemon can say about a key from its text alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOrigin {
    /// Issued by this incarnation of this instance.
    Own,
    /// Issued by an earlier incarnation of this instance, whose table is gone.
    EarlierIncarnation,
    /// Issued by another instance, to which the request is to be forwarded.
    OtherInstance {
        /// The instance.
        instance: InstanceId,
        /// Its incarnation at that time.
        incarnation: Incarnation,
    },
    /// No known shared key made it.
    Invalid,
}

impl RequestKey {
    pub(crate) fn new(
        keys: &KeyRing,
        instance: InstanceId,
        incarnation: Incarnation,
        expires: Timestamp,
        id: u128,
    ) -> Self {
        let mut key = Self {
            instance,
            incarnation,
            expires,
            id,
            tag: [0; TAG_BYTES],
        };
        let mac = keys.sign(Purpose::RequestKey, key.signed_text().as_bytes());
        key.tag.copy_from_slice(&mac[..TAG_BYTES]);
        key
    }

    pub(crate) fn id(&self) -> u128 {
        self.id
    }

    /// Whose key it is.
    pub fn classify(
        &self,
        keys: &KeyRing,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> KeyOrigin {
        let text = self.signed_text();
        if !keys.verify(Purpose::RequestKey, text.as_bytes(), &self.tag) {
            return KeyOrigin::Invalid;
        }
        if self.instance != *instance {
            return KeyOrigin::OtherInstance {
                instance: self.instance.clone(),
                incarnation: self.incarnation,
            };
        }
        if self.incarnation != incarnation {
            return KeyOrigin::EarlierIncarnation;
        }
        KeyOrigin::Own
    }

    /// Everything but the MAC.
    fn signed_text(&self) -> String {
        format!(
            "{PREFIX}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{:032x}",
            self.instance,
            self.incarnation,
            self.expires.as_micros(),
            self.id,
        )
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tag = u128::from_be_bytes(self.tag);
        write!(f, "{}{SEPARATOR}{tag:032x}", self.signed_text())
    }
}

/// A text is not a request key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseKeyError {
    /// The text is longer than 256 bytes.
    #[error("request key has {0} bytes, the limit is {MAX_TEXT_BYTES}")]
    TooLong(usize),
    /// The text does not have the six fields of a request key.
    #[error("request key does not have the form jk1~instance~incarnation~expiry~id~mac")]
    Form,
    /// The instance is not an id.
    #[error("request key: {0}")]
    Instance(#[from] ParseIdError),
    /// A number cannot be read.
    #[error("request key: {0}")]
    Number(#[from] ParseIntError),
}

impl FromStr for RequestKey {
    type Err = ParseKeyError;

    /// Reads the text form. The MAC is checked by [`RequestKey::classify`].
    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(ParseKeyError::TooLong(text.len()));
        }
        let fields: Vec<&str> = text.split(SEPARATOR).collect();
        let [PREFIX, instance, incarnation, expires, id, tag] = fields[..] else {
            return Err(ParseKeyError::Form);
        };
        Ok(Self {
            instance: instance.parse()?,
            incarnation: Incarnation(incarnation.parse()?),
            expires: Timestamp::from_micros(expires.parse()?),
            id: hex(id)?,
            tag: hex(tag)?.to_be_bytes(),
        })
    }
}

fn hex(text: &str) -> Result<u128, ParseKeyError> {
    if text.len() != 32 {
        return Err(ParseKeyError::Form);
    }
    Ok(u128::from_str_radix(text, 16)?)
}

/// Tells whether two requests with the same key are the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Digest of everything that decides what the request does. The deadline is
    /// not part of it: a repeated request may have another one.
    pub fn new(tenant: &TenantId, class: &ClassId, group: &GroupId, operation: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for id in [tenant.as_str(), class.as_str(), group.as_str()] {
            hasher.update(&(id.len() as u64).to_le_bytes());
            hasher.update(id.as_bytes());
        }
        hasher.update(operation);
        Self(hasher.finalize().into())
    }
}
