//! The published configuration folder and the settings of one daemon process.
//!
//! The folder is a set of small JSON files that are merged in name order by
//! RFC 7396, so that a later file overrides an earlier one. [`merge`] does the
//! merging and remembers which file set what, [`Config`] is the validated
//! result, and [`Acceptance`] decides which revision is in effect.
//!
//! Nothing here opens a socket or reads a clock. Only [`load_folder`],
//! [`check`] and [`Settings::load`] read files, for the command line.

mod acceptance;
mod change;
mod choice;
mod config;
mod digest;
mod document;
mod folder;
mod known;
mod merge;
mod mistake;
mod path;
mod read;
mod read_groups;
mod read_servers;
mod schema;
mod section;
mod settings;
mod settings_read;
mod unit;

pub use acceptance::{Acceptance, Accepted, Offer, Refusal, RefusalReason};
pub use change::{Change, Diff};
pub use choice::{Format, GroupKind, LogFormat, LogLevel, Mode, Objective, ParseChoiceError};
pub use config::{
    Class, Config, Drain, Group, HedgeAfter, Limits, Routing, Server, Snapshot, Tenant, Zone,
};
pub use digest::{Digest, ParseDigestError, digest};
pub use folder::{Checked, Options, Outcome, check, load_folder};
pub use merge::{Files, MAX_FILE_BYTES, Merged, merge};
pub use mistake::{Mistake, Position};
pub use schema::{CONFIG_SECTIONS, Key, Kind, SETTINGS_SECTIONS, SectionSpec};
pub use settings::{Advertise, Log, ParsePeerKeyError, PeerKey, Settings, SyncSettings};
pub use unit::{ByteSize, Percent};
