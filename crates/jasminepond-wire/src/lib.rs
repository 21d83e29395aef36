//! Protocol between daemons: frames and their codec, handshake, flow control and
//! authentication.
//!
//! This crate does no I/O, reads no clock and spawns no tasks. Each frame is a CBOR
//! array `[kind, fields...]`. A newer minor version may add kinds and trailing
//! fields: an older daemon decodes an unknown kind to [`Frame::Unknown`] and skips
//! unknown fields.

mod codec;
mod credits;
mod datagram;
mod field;
mod frame;
mod handshake;
mod hot;
mod keys;
mod outcome;
mod score;

pub use codec::{
    DecodeError, EncodeError, MAX_FRAME_BYTES, MAX_HITS, MAX_PARTS, MAX_VERSIONS, decode, encode,
};
pub use credits::{CreditOverrun, Credits};
pub use datagram::{
    DatagramError, MAX_DATAGRAM_BYTES, MAX_DATAGRAM_PAYLOAD, sign_datagram, verify_datagram,
};
pub use frame::{
    CallerRequest, Cancel, Execute, Executed, ForwardExecute, ForwardExecuted, Frame, Hello, Part,
    PartFailure, PartOutcome, PartResult, PartResults, Proof, Search, ServerCondition, ServerHint,
};
pub use handshake::{
    Handshake, HandshakeError, HandshakeStep, LocalPeer, MAJOR, MINOR, NONCE_BYTES, Peer, Role,
};
pub use keys::{KeyRing, MAC_BYTES, NoKeys, Purpose, SharedKey, SharedKeyError};
pub use outcome::ExecuteOutcome;
pub use score::{Hit, InvalidScore, Score};
