//! Holds requests that end the backend servers that run them.
//!
//! A [`Fingerprint`] identifies equal requests, whose ids differ. A request that was in
//! progress on several server processes when they ended, and was never answered, is suspected.
//! It is tried on one server at a time, by one daemon at a time. If that server ends as well,
//! the request is held for a time that grows with each further trial. Any answer clears it.
//!
//! Daemons share no state. Each tells some others what it learns, and those pass it on; a few
//! records are repeated at intervals for daemons that have missed a message or have started
//! since. The ends of server processes form a set, so that it does not matter how often and by
//! whom they are reported.
//!
//! [`Quarantine`] does no I/O and reads no clock.

mod fingerprint;
mod message;
mod quarantine;
mod record;
mod settings;

pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestParts};
pub use jasminepond_types::DecodeError;
pub use message::{Evidence, Message};
pub use quarantine::Quarantine;
pub use record::{Admission, Change, Report, State};
pub use settings::Settings;
