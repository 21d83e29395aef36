//! Spreading the configuration: which daemons read the service, and how the
//! others get the files from each other.
//!
//! [`Sync`] is a state machine. The caller passes the time, the membership
//! view, responses of the configuration service and messages of peers in, and
//! gets [`Action`]s back. It uses no sockets, clocks or tasks.
//!
//! A few readers per zone watch the service. Whoever has a new revision in
//! effect announces it to some peers, which pull the files that changed and
//! announce in turn. Files and the list of files are addressed by digest, so
//! that each is verified and only changed ones travel. The revision in effect
//! never falls.
//!
//! # Failures
//!
//! * The service refuses or is down: the calls back off, up to a minute; the
//!   revision in effect stays, and peers still give it to daemons that start.
//! * The service is stale: its older revision is ignored.
//! * The readers of a zone fall silent: after 5 s others of the zone start to
//!   read, one after the other.
//! * A revision cannot be used: it is reported once and the next is waited
//!   for. The same revision with other content is reported and not used.
//! * Peers do not answer or are out of bytes: others are asked; after 12
//!   unanswered questions the revision is given up until the next
//!   announcement.
//!
//! # Cost
//!
//! Measured with `examples/spread.rs` over 17 zones, 40 files of 4 KB of which
//! one changes, without framing:
//!
//! | daemons | last daemon | a third of the messages lost | reads per change | bytes sent per daemon and change | quiet B/s |
//! |---|---|---|---|---|---|
//! | 7 | 0.12 s | 0.12 s | 14 | 356 | 9 |
//! | 100 | 0.54 s | 2.38 s | 68 | 4,355 | 584 |
//! | 1,000 | 0.45 s | 3.12 s | 68 | 6,207 | 575 |
//! | 3,900 | 0.46 s | 4.08 s | 68 | 6,366 | 573 |

mod digest;
mod manifest;
mod message;
mod offer;
mod peers;
mod pull;
mod receive;
mod roles;
mod service;
mod settings;
mod store;
mod sync;
mod timers;

pub use digest::{Digest, ParseDigestError};
pub use manifest::{FileRef, MAX_FILE_BYTES, MAX_FILES};
pub use message::{MAX_CHUNK_BYTES, SyncMessage};
pub use roles::Role;
pub use service::ServiceFailure;
pub use settings::Settings;
pub use sync::{Action, File, Refusal, Source, Sync, SyncStatus};
