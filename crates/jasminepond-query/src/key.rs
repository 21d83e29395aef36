//! Request keys.

use std::{fmt, num::ParseIntError, str::FromStr};

use jasminepond_types::{
    ClassId, GroupId, Incarnation, InstanceId, ParseIdError, TenantId, Timestamp,
};
use jasminepond_wire::{KeyRing, Purpose};

/// Identifies the version of the text format.
const PREFIX: &str = "jk1";

/// Not allowed in instance ids, and needs no escaping in URLs.
const SEPARATOR: char = '~';

const MAX_TEXT_BYTES: usize = 256;

/// Length to which the MAC is truncated.
const TAG_BYTES: usize = 16;

/// Permits one run of a non-idempotent request at the daemon that issued the key.
///
/// The text form is `jk1~instance~incarnation~expiry~id~mac`. The expiry
/// is a time of the issuer's clock, so only the issuer interprets it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    instance: InstanceId,
    incarnation: Incarnation,
    expires: Timestamp,
    id: u128,
    tag: [u8; TAG_BYTES],
}

/// Issuer of a key, as far as the key itself shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOrigin {
    /// Issued by this incarnation of this instance.
    Own,
    /// Issued by an earlier incarnation of this instance, whose key table is lost.
    EarlierIncarnation,
    /// Issued by another instance, to which the request must be forwarded.
    OtherInstance {
        /// The issuing instance.
        instance: InstanceId,
        /// Its incarnation when it issued the key.
        incarnation: Incarnation,
    },
    /// The MAC does not match any known shared key.
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

    /// Verifies the MAC and determines the issuer, as seen by the given
    /// incarnation of `instance`.
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

    /// The text form without the MAC, which is computed over it.
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

/// Error from parsing a [`RequestKey`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseKeyError {
    /// The text is longer than 256 bytes.
    #[error("request key has {0} bytes, the limit is {MAX_TEXT_BYTES}")]
    TooLong(usize),
    /// The text does not have the six fields of a request key.
    #[error("request key does not have the form jk1~instance~incarnation~expiry~id~mac")]
    Form,
    /// The instance is not a valid id.
    #[error("request key: {0}")]
    Instance(#[from] ParseIdError),
    /// A numeric field is malformed.
    #[error("request key: {0}")]
    Number(#[from] ParseIntError),
}

impl FromStr for RequestKey {
    type Err = ParseKeyError;

    /// Parses the text form. The MAC is verified by [`RequestKey::classify`].
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

/// Detects a key that is reused for a different request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Hashes everything that determines the effect of a request. The deadline is
    /// left out, since a repeated request may have a different one.
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
