//! Gossip membership and failure detection between daemons, in the manner of SWIM.
//!
//! [`Membership`] is a state machine without I/O. The caller supplies the time,
//! received datagrams and a random seed; it returns datagrams to send and
//! membership changes. It uses no sockets, clocks or tasks.
//!
//! Each daemon probes one member per period. A member that does not respond is
//! probed through other members, then suspected, then declared dead. Changes
//! are piggybacked on the same datagrams. For anti-entropy, members exchange
//! digests of their views and pull the records that differ; joining and healing
//! after a partition use the same exchange.
//!
//! # Failures
//!
//! * The view is eventually consistent: two daemons may disagree for seconds,
//!   and for the whole duration of a partition.
//! * A crash is known after the suspicion timeout, 4 s with up to 10 daemons
//!   and 14 s with 3,900, plus the time to detect and to disseminate it.
//! * A departure that no other daemon received looks like a crash.
//! * A paused daemon is suspected and may be declared dead. It refutes this
//!   when it resumes and must not act on its view until
//!   [`Membership::is_confirmed`].
//! * Configuration revisions of other daemons get a fixed share of each
//!   datagram. In a tier of hundreds of daemons with frequent changes they are
//!   minutes old.
//!
//! # Cost
//!
//! Measured with `examples/cost.rs` at 0.12 departures and arrivals per second
//! and a new revision at every daemon each 8.3 s. Figures are per daemon and
//! exclude IP and UDP headers:
//!
//! | daemons | B/s sent | datagrams/s | departure known | crash known | B per member |
//! |---|---|---|---|---|---|
//! | 7 | 334 | 2.5 | 0.4 s | 5.7 s | 680 |
//! | 100 | 1,096 | 3.0 | 1.6 s | 10.0 s | 271 |
//! | 1,000 | 1,206 | 3.2 | 2.1 s | 15.1 s | 235 |
//! | 3,900 | 1,135 | 3.0 | 2.3 s | 17.4 s | 234 |

mod codec;
mod exchange;
mod gossip;
mod member;
mod membership;
mod merge;
mod message;
mod probe;
mod receive;
mod reports;
mod send;
mod settings;
mod tombstone;
mod view;

pub use member::{ConfigVersion, Member, MemberState, Rank};
pub use membership::{Change, Membership, Output};
pub use message::{
    Body, DecodeMessageError, MAX_DATAGRAM_BYTES, MemberConfig, Message, Record, ReportKind,
    ServerReport,
};
pub use settings::{LocalMember, Settings};
pub use view::View;
