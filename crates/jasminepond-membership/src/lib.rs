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
//! # Failures
//!
//! * The view is a hint: two daemons may disagree for seconds, and in a
//!   partition for as long as it lasts.
//! * A crash is known after the suspicion timeout, 4 s with up to 10 daemons
//!   and 14 s with 3,900, plus the time to notice and to spread it.
//! * A departure that no other daemon received looks like a crash.
//! * A daemon that pauses is suspected and may be declared dead; it refutes
//!   when it resumes and must not act until
//!   [`Membership::is_confirmed`].
//! * Revisions of other daemons have a fixed share of each datagram. In a
//!   tier of hundreds of daemons with frequent changes they are minutes old.
//!
//! # Cost
//!
//! Measured with `examples/cost.rs` at 0.12 departures and arrivals per second
//! and a new revision at every daemon each 8.3 s, per daemon, without IP and
//! UDP headers:
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

pub use member::{ConfigVersion, Member, MemberState, Rank};
pub use membership::{Change, Membership, Output};
pub use message::{
    Body, DecodeMessageError, MAX_DATAGRAM_BYTES, MemberConfig, Message, Record, ReportKind,
    ServerReport,
};
pub use settings::{LocalMember, Settings};
pub use view::View;
