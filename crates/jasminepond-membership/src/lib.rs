//! Liveness of the daemons: who is there, who left, who is suspected or dead.
//!
//! [`Membership`] is a state machine. The caller passes the time, datagrams
//! and a seed for random numbers in, and gets datagrams to send and changes
//! back. It uses no sockets, clocks or tasks.
//!
//! Each daemon probes one member per period. A member that does not answer is
//! probed through others, then suspected, then declared dead. Changes travel
//! on the same datagrams. Members exchange digests of their views and pull
//! what differs, which also serves to join and to heal after a partition.
//!
//! The view is a hint: two daemons may disagree for seconds, and in a
//! partition for as long as it lasts.

mod codec;
mod exchange;
mod gossip;
mod learn;
mod member;
mod membership;
mod message;
mod probe;
mod receive;
mod reports;
mod send;
mod settings;
mod tombstone;
mod view;

pub use member::{ConfigMark, Member, MemberState, Rank};
pub use membership::{Change, Membership, Output};
pub use message::{
    Body, ConfigNote, DecodeMessageError, MAX_DATAGRAM_BYTES, Message, Record, ReportKind,
    ServerReport,
};
pub use settings::{Me, Settings};
pub use view::View;
