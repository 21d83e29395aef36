//! Encoding and decoding of whole frames.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{SeqAccess, Visitor, value::SeqAccessDeserializer},
};

use crate::{
    Frame, Hit, PartOutcome, PartResult,
    field::{required, skip_rest},
    hot::{PartResultsFrame, SearchFrame, read_part_results, read_search},
};

/// Maximum size of a frame: a configuration value of 1 MB and its envelope.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Maximum number of sub-requests, results or cancelled sub-requests in one frame.
pub const MAX_PARTS: usize = 4_096;

/// Maximum number of hits in the answer of one shard.
pub const MAX_HITS: usize = 10_000;

/// Maximum number of versions that a server reports to hold.
pub const MAX_VERSIONS: usize = 64;

mod kind {
    pub(super) const HELLO: u64 = 1;
    pub(super) const PROOF: u64 = 2;
    pub(super) const SEARCH: u64 = 3;
    pub(super) const PART_RESULTS: u64 = 4;
    pub(super) const CANCEL: u64 = 5;
    pub(super) const EXECUTE: u64 = 6;
    pub(super) const EXECUTED: u64 = 7;
    pub(super) const FORWARD_EXECUTE: u64 = 8;
    pub(super) const FORWARD_EXECUTED: u64 = 9;
    pub(super) const CREDIT: u64 = 10;
    pub(super) const SYNC: u64 = 11;
    pub(super) const GOODBYE: u64 = 12;
    pub(super) const PING: u64 = 13;
    pub(super) const PONG: u64 = 14;
}

/// A frame could not be encoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// A list exceeds its limit; the receiver would reject the frame.
    #[error("{list} has {len} elements, the limit is {max}")]
    TooMany {
        /// Name of the list.
        list: &'static str,
        /// Length of the list.
        len: usize,
        /// Maximum length.
        max: usize,
    },
    /// The id of a hit is longer than [`Hit::MAX_ID_BYTES`].
    #[error("id of a hit has {0} bytes, the limit is {max}", max = Hit::MAX_ID_BYTES)]
    HitId(usize),
    /// The encoded frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame has {0} bytes, the limit is {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// [`Frame::Unknown`] represents a received frame and cannot be sent.
    #[error("a frame of unknown kind {0} cannot be encoded")]
    UnknownKind(u64),
}

/// Received bytes are not a valid frame. The link must be closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame has {0} bytes, the limit is {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The bytes are not a valid frame.
    #[error("invalid frame: {0}")]
    Invalid(Box<str>),
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    Trailing(usize),
}

/// Appends the encoded frame to `buf`. On an error `buf` is unchanged.
///
/// ```
/// use jasminepond_wire::{Frame, decode, encode};
///
/// let mut buf = Vec::new();
/// encode(&Frame::Ping { n: 7 }, &mut buf).unwrap();
/// assert_eq!(decode(&buf), Ok(Frame::Ping { n: 7 }));
/// ```
///
/// # Errors
///
/// The frame or one of its lists exceeds a limit, or it is [`Frame::Unknown`].
pub fn encode(frame: &Frame, buf: &mut Vec<u8>) -> Result<(), EncodeError> {
    validate(frame)?;
    let start = buf.len();
    write(frame, buf);
    let len = buf.len() - start;
    if len > MAX_FRAME_BYTES {
        buf.truncate(start);
        return Err(EncodeError::TooLarge(len));
    }
    Ok(())
}

fn validate(frame: &Frame) -> Result<(), EncodeError> {
    match frame {
        Frame::Search(search) => check_len("parts", search.parts.len(), MAX_PARTS),
        Frame::Cancel(cancel) => check_len("cancelled parts", cancel.parts.len(), MAX_PARTS),
        Frame::PartResults(parts) => {
            check_len("items", parts.items.len(), MAX_PARTS)?;
            parts.items.iter().try_for_each(check_part_result)
        }
        Frame::Unknown { kind } => Err(EncodeError::UnknownKind(*kind)),
        _ => Ok(()),
    }
}

fn check_part_result(item: &PartResult) -> Result<(), EncodeError> {
    match &item.outcome {
        PartOutcome::Failed { versions, .. } => check_len("versions", versions.len(), MAX_VERSIONS),
        PartOutcome::Answer { hits, .. } => {
            check_len("hits", hits.len(), MAX_HITS)?;
            match hits.iter().find(|hit| hit.id.len() > Hit::MAX_ID_BYTES) {
                Some(hit) => Err(EncodeError::HitId(hit.id.len())),
                None => Ok(()),
            }
        }
    }
}

fn check_len(list: &'static str, len: usize, max: usize) -> Result<(), EncodeError> {
    if len > max {
        return Err(EncodeError::TooMany { list, len, max });
    }
    Ok(())
}

fn write(frame: &Frame, buf: &mut Vec<u8>) {
    match frame {
        Frame::Hello(f) => write_cbor(
            &(
                kind::HELLO,
                f.major,
                f.minor,
                &f.instance,
                f.incarnation,
                f.nonce,
            ),
            buf,
        ),
        Frame::Proof(f) => write_cbor(&(kind::PROOF, f.mac), buf),
        Frame::Search(f) => write_cbor(&SearchFrame(kind::SEARCH, f), buf),
        Frame::PartResults(f) => write_cbor(&PartResultsFrame(kind::PART_RESULTS, f), buf),
        Frame::Cancel(f) => write_cbor(&(kind::CANCEL, f.id, &f.parts), buf),
        Frame::Execute(f) => write_cbor(
            &(
                kind::EXECUTE,
                f.id,
                &f.tenant,
                &f.class,
                f.priority,
                f.weight,
                &f.group,
                &f.server,
                &f.key,
                &f.operation,
                f.left,
            ),
            buf,
        ),
        Frame::Executed(f) => write_cbor(&(kind::EXECUTED, f.id, &f.outcome), buf),
        Frame::ForwardExecute(f) => write_cbor(&(kind::FORWARD_EXECUTE, f.id, &f.request), buf),
        Frame::ForwardExecuted(f) => write_cbor(&(kind::FORWARD_EXECUTED, f.id, &f.outcome), buf),
        Frame::Credit { n } => write_cbor(&(kind::CREDIT, n), buf),
        Frame::Sync { payload } => write_cbor(&(kind::SYNC, payload), buf),
        Frame::Goodbye => write_cbor(&(kind::GOODBYE,), buf),
        Frame::Ping { n } => write_cbor(&(kind::PING, n), buf),
        Frame::Pong { n } => write_cbor(&(kind::PONG, n), buf),
        Frame::Unknown { .. } => {}
    }
}

fn write_cbor(value: &impl Serialize, buf: &mut Vec<u8>) {
    ciborium::into_writer(value, buf).expect("writing to a Vec does not fail");
}

/// Decodes one frame, which must occupy all of `bytes`.
///
/// # Errors
///
/// The frame exceeds [`MAX_FRAME_BYTES`], a list exceeds its limit, a required
/// field is missing or malformed, or bytes follow the frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLarge(bytes.len()));
    }
    let mut rest = bytes;
    let Envelope(frame) = ciborium::from_reader(&mut rest)
        .map_err(|err| DecodeError::Invalid(err.to_string().into()))?;
    if !rest.is_empty() {
        return Err(DecodeError::Trailing(rest.len()));
    }
    Ok(frame)
}

struct Envelope(Frame);

impl<'de> Deserialize<'de> for Envelope {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(EnvelopeVisitor)
    }
}

struct EnvelopeVisitor;

impl<'de> Visitor<'de> for EnvelopeVisitor {
    type Value = Envelope;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of a frame kind and its fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Envelope, A::Error> {
        let kind = required(&mut seq, "kind")?;
        let frame = read(kind, &mut seq)?;
        skip_rest(&mut seq)?;
        Ok(Envelope(frame))
    }
}

fn read<'de, A: SeqAccess<'de>>(kind: u64, seq: &mut A) -> Result<Frame, A::Error> {
    let frame = match kind {
        kind::SEARCH => Frame::Search(read_search(seq)?),
        kind::PART_RESULTS => Frame::PartResults(read_part_results(seq)?),
        kind::HELLO => Frame::Hello(read_derived(seq)?),
        kind::PROOF => Frame::Proof(read_derived(seq)?),
        kind::CANCEL => Frame::Cancel(read_derived(seq)?),
        kind::EXECUTE => Frame::Execute(read_derived(seq)?),
        kind::EXECUTED => Frame::Executed(read_derived(seq)?),
        kind::FORWARD_EXECUTE => Frame::ForwardExecute(read_derived(seq)?),
        kind::FORWARD_EXECUTED => Frame::ForwardExecuted(read_derived(seq)?),
        kind::CREDIT => Frame::Credit {
            n: required(seq, "n")?,
        },
        kind::SYNC => Frame::Sync {
            payload: required(seq, "payload")?,
        },
        kind::GOODBYE => Frame::Goodbye,
        kind::PING => Frame::Ping {
            n: required(seq, "n")?,
        },
        kind::PONG => Frame::Pong {
            n: required(seq, "n")?,
        },
        kind => Frame::Unknown { kind },
    };
    Ok(frame)
}

/// Reads the remaining fields in declaration order. Derived visitors accept a
/// sequence and fill fields marked `serde(default)` if it ends early.
fn read_derived<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    T::deserialize(SeqAccessDeserializer::new(seq))
}
