//! Messages between daemons, as datagrams.
//!
//! Times are encoded as ages, because daemons have no common clock.

use std::time::Duration;

use bytes::{Buf, BufMut, TryGetError};
use jasminepond_types::{DecodeError, expect_end, get_millis};

use crate::{Fingerprint, record::MAX_ENDS};

/// First byte of an encoded message. No message of membership or of rate limits begins with it,
/// and daemons that do not know it skip the message.
const MAGIC: u8 = b'Q';

/// Version of the format. Messages of other versions are skipped.
const VERSION: u8 = 1;

const FLAG_TRIAL: u8 = 1;
const FLAG_CLEARED: u8 = 2;
const FLAG_FORBIDDEN: u8 = 4;
const FLAG_ENDED: u8 = 8;

/// Maximum number of records in a message, so that a datagram stays below the usual path MTU.
pub(crate) const MAX_RECORDS: usize = 16;

/// What a daemon knows about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hashes of server processes that ended while they ran it, at most three.
    pub ends: Vec<u64>,
    /// Time since the last of them ended, or since an operator forbade the request.
    pub ended_age: Option<Duration>,
    /// Number of consecutive trials in which the server ended.
    pub failed_trials: u8,
    /// Time since the last trial began.
    pub trial_age: Option<Duration>,
    /// Time since the request was answered, or an operator released it.
    pub cleared_age: Option<Duration>,
    /// Whether an operator forbade the request.
    pub forbidden: bool,
}

/// A message: what the sender knows about some requests.
///
/// ```
/// use jasminepond_quarantine::{Evidence, Fingerprint, Message};
/// use std::time::Duration;
///
/// let message = Message(vec![Evidence {
///     fingerprint: Fingerprint::default(),
///     ends: vec![7, 9],
///     ended_age: Some(Duration::from_millis(3)),
///     failed_trials: 1,
///     trial_age: None,
///     cleared_age: None,
///     forbidden: false,
/// }]);
/// let bytes = message.encode();
/// assert!(Message::is_encoded(&bytes));
/// assert_eq!(Message::decode(&bytes).unwrap(), message);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message(pub Vec<Evidence>);

impl Message {
    /// Whether a datagram is a message of this crate, by its first byte.
    pub fn is_encoded(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MAGIC)
    }

    /// Encodes the message in at most 883 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let records = &self.0[..self.0.len().min(MAX_RECORDS)];
        let mut buf = Vec::with_capacity(3 + 64 * records.len());
        buf.put_slice(&[MAGIC, VERSION, records.len() as u8]);
        for record in records {
            record.put(&mut buf);
        }
        buf
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are malformed or of another version.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, DecodeError> {
        let buf = &mut bytes;
        let (magic, version) = (buf.try_get_u8()?, buf.try_get_u8()?);
        if (magic, version) != (MAGIC, VERSION) {
            return Err(DecodeError::Unknown);
        }
        let count = usize::from(buf.try_get_u8()?);
        if count > MAX_RECORDS {
            return Err(DecodeError::Range);
        }
        let records = (0..count).map(|_| Evidence::get(buf));
        let records = records.collect::<Result<_, DecodeError>>()?;
        expect_end(buf)?;
        Ok(Self(records))
    }
}

impl Evidence {
    fn put(&self, buf: &mut Vec<u8>) {
        let flag = |set: bool, flag: u8| if set { flag } else { 0 };
        let flags = flag(self.ended_age.is_some(), FLAG_ENDED)
            | flag(self.trial_age.is_some(), FLAG_TRIAL)
            | flag(self.cleared_age.is_some(), FLAG_CLEARED)
            | flag(self.forbidden, FLAG_FORBIDDEN);
        let ends = &self.ends[..self.ends.len().min(MAX_ENDS)];
        buf.put_slice(&self.fingerprint.0);
        buf.put_slice(&[flags, self.failed_trials, ends.len() as u8]);
        for end in ends {
            buf.put_u64(*end);
        }
        let ages = [self.ended_age, self.trial_age, self.cleared_age];
        for age in ages.into_iter().flatten() {
            buf.put_u32(u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        }
    }

    fn get(buf: &mut &[u8]) -> Result<Self, DecodeError> {
        let mut fingerprint = Fingerprint::default();
        buf.try_copy_to_slice(&mut fingerprint.0)?;
        let flags = buf.try_get_u8()?;
        let failed_trials = buf.try_get_u8()?;
        let ends = usize::from(buf.try_get_u8()?);
        if ends > MAX_ENDS {
            return Err(DecodeError::Range);
        }
        let ends = (0..ends).map(|_| buf.try_get_u64());
        let ends = ends.collect::<Result<_, TryGetError>>()?;
        let mut age = |flag: u8| match flags & flag {
            0 => Ok(None),
            _ => get_millis(buf).map(Some),
        };
        Ok(Self {
            fingerprint,
            ends,
            ended_age: age(FLAG_ENDED)?,
            failed_trials,
            trial_age: age(FLAG_TRIAL)?,
            cleared_age: age(FLAG_CLEARED)?,
            forbidden: flags & FLAG_FORBIDDEN != 0,
        })
    }
}
