//! The published configuration folder and the settings of one daemon process.
//!
//! The folder is a set of small JSON files that are merged in name order by
//! RFC 7396 (JSON Merge Patch), so that a later file overrides an earlier one.
//! [`merge`] merges the files and records which file set each value, [`Config`]
//! is the validated result, and [`Acceptance`] decides which revision is in
//! effect.
//!
//! This crate opens no sockets and reads no clocks. Only [`load_folder`],
//! [`check`] and [`Settings::load`] read files, for the command line.

mod acceptance;
mod choice;
mod config;
mod diff;
mod digest;
mod document;
mod folder;
mod ids;
mod merge;
mod mistake;
mod path;
mod read;
mod read_groups;
mod read_servers;
mod review;
mod schema;
mod section;
mod settings;
mod settings_read;
mod unit;

pub use acceptance::{Acceptance, Accepted, OfferOutcome, Refusal, RefusalReason};
pub use choice::{
    ConnectionMode, GroupKind, LogFormat, LogLevel, Objective, OutputFormat, ParseChoiceError,
};
pub use config::{
    Class, Config, Drain, Group, HedgeAfter, Limits, Routing, Server, Snapshot, Tenant, Zone,
};
pub use diff::{ConfigDiff, Diff};
pub use digest::{Digest, ParseDigestError, digest};
pub use folder::{CheckOptions, CheckOutcome, CheckedFolder, check, load_folder};
pub use merge::{Files, MAX_FILE_BYTES, Merged, merge};
pub use mistake::{Mistake, Position};
pub use review::{Difference, Warning, WarningKind, differences, review};
pub use schema::{CONFIG_SECTIONS, KeySpec, SETTINGS_SECTIONS, SectionSpec, ValueKind};
pub use settings::{Advertise, Log, ParsePeerKeyError, PeerKey, Settings, SyncSettings};
pub use unit::{ByteSize, Percent};
