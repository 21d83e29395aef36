//! Messages between daemons, as datagrams.
//!
//! Times are encoded as ages and delays, because daemons have no common clock.

use std::time::Duration;

use bytes::{Buf, BufMut};
use jasminepond_types::{DecodeError, expect_end, get_millis};

use crate::{ProcessId, RateLimit};

/// First byte of an encoded message. No membership message begins with it.
const MAGIC: u8 = b'L';

/// Version of the format. Messages of other versions are ignored, which costs their sender
/// permits but no limit is exceeded.
const VERSION: u8 = 1;

const KIND_ASK: u8 = 1;
const KIND_GRANT: u8 = 2;
const KIND_NOTICE: u8 = 3;

/// Maximum number of permits in one message.
pub(crate) const MAX_PERMITS: u16 = 64;

/// What a daemon last learned about the limit of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit, or `None` if the process does not state one.
    pub limit: Option<RateLimit>,
    /// Time since this was stated.
    pub age: Duration,
}

/// Requests permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The process.
    pub process: ProcessId,
    /// Chosen by the sender, repeated in the response.
    pub id: u32,
    /// What the sender knows.
    pub statement: Statement,
    /// Number of permits, zero to pass on the statement only.
    pub count: u16,
    /// Longest delay after which a permit is still useful.
    pub wait: Duration,
}

/// Response to [`Ask`].
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The process.
    pub process: ProcessId,
    /// Id of the request.
    pub id: u32,
    /// What the sender knows.
    pub statement: Statement,
    /// Time after which each granted permit can be used.
    pub delays: Vec<Duration>,
    /// Time until further permits are available.
    pub next_in: Duration,
}

/// Tells daemons of a limit that they have not received themselves. The receiver passes it
/// on to the daemons in a range of hashes, so that no daemon has to send to all.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    /// The process.
    pub process: ProcessId,
    /// What the sender knows.
    pub statement: Statement,
    /// First and last hash of the daemons to which the receiver passes the notice on.
    pub range: (u64, u64),
}

/// A message.
///
/// ```
/// use jasminepond_ratelimit::{Ask, Message, ProcessId, RateLimit, Statement};
/// use std::time::Duration;
///
/// let ask = Message::Ask(Ask {
///     process: ProcessId::new("i-1", None, "10.0.0.1:80".parse().unwrap()),
///     id: 7,
///     statement: Statement { limit: RateLimit::new(22.8), age: Duration::from_millis(3) },
///     count: 2,
///     wait: Duration::from_millis(100),
/// });
/// let bytes = ask.encode();
/// assert!(Message::is_encoded(&bytes));
/// assert_eq!(Message::decode(&bytes).unwrap(), ask);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Requests permits.
    Ask(Ask),
    /// Grants permits.
    Grant(Grant),
    /// Tells of a limit.
    Notice(Notice),
}

impl Message {
    /// Whether a datagram is a message of this crate, by its first byte.
    pub fn is_encoded(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MAGIC)
    }

    /// Encodes the message in at most 176 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, process, id, statement) = match self {
            Self::Ask(ask) => (KIND_ASK, ask.process, ask.id, ask.statement),
            Self::Grant(grant) => (KIND_GRANT, grant.process, grant.id, grant.statement),
            Self::Notice(notice) => (KIND_NOTICE, notice.process, 0, notice.statement),
        };
        let mut buf = Vec::with_capacity(64);
        buf.put_slice(&[MAGIC, VERSION, kind]);
        buf.put_u64(process.0);
        buf.put_u32(id);
        // A negative number stands for no limit.
        buf.put_f64(statement.limit.map_or(-1.0, RateLimit::per_second));
        put_millis(&mut buf, statement.age);
        match self {
            Self::Ask(ask) => {
                buf.put_u16(ask.count);
                put_millis(&mut buf, ask.wait);
            }
            Self::Grant(grant) => {
                put_millis(&mut buf, grant.next_in);
                buf.put_u16(grant.delays.len() as u16);
                for delay in &grant.delays {
                    buf.put_u16(u16::try_from(delay.as_millis()).unwrap_or(u16::MAX));
                }
            }
            Self::Notice(notice) => {
                buf.put_u64(notice.range.0);
                buf.put_u64(notice.range.1);
            }
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
        let header = [buf.try_get_u8()?, buf.try_get_u8()?, buf.try_get_u8()?];
        let process = ProcessId(buf.try_get_u64()?);
        let id = buf.try_get_u32()?;
        let per_second = buf.try_get_f64()?;
        let limit = match per_second {
            none if none < 0.0 => None,
            some => Some(RateLimit::new(some).ok_or(DecodeError::Range)?),
        };
        let age = get_millis(buf)?;
        let statement = Statement { limit, age };
        let message = match header {
            [MAGIC, VERSION, KIND_ASK] => Self::Ask(Ask {
                process,
                id,
                statement,
                count: buf.try_get_u16()?,
                wait: get_millis(buf)?,
            }),
            [MAGIC, VERSION, KIND_GRANT] => {
                let next_in = get_millis(buf)?;
                let count = buf.try_get_u16()?;
                if count > MAX_PERMITS {
                    return Err(DecodeError::Range);
                }
                let delays = (0..count).map(|_| {
                    let millis = buf.try_get_u16()?;
                    Ok(Duration::from_millis(millis.into()))
                });
                Self::Grant(Grant {
                    process,
                    id,
                    statement,
                    delays: delays.collect::<Result<_, DecodeError>>()?,
                    next_in,
                })
            }
            [MAGIC, VERSION, KIND_NOTICE] => Self::Notice(Notice {
                process,
                statement,
                range: (buf.try_get_u64()?, buf.try_get_u64()?),
            }),
            _ => return Err(DecodeError::Unknown),
        };
        expect_end(buf)?;
        Ok(message)
    }
}

fn put_millis(buf: &mut Vec<u8>, time: Duration) {
    buf.put_u32(u32::try_from(time.as_millis()).unwrap_or(u32::MAX));
}
