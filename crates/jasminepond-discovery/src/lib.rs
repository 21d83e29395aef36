//! Discovery of routes and backend servers from a read-only store.
//!
//! [`Reader`] is a state machine without I/O: it decides which call to the store is made
//! next and applies the result. It holds no socket and reads no clock.

mod entries;
mod evacuations;
mod item;
mod reader;
mod relay;
mod source;

pub use item::{Era, Event, Item, Page, Position, PositionError, Record, WatchResult};
pub use reader::{
    Change, EraCheck, PeerRequest, Reader, ReaderSettings, Step, UnusableState, settle_time,
};
pub use relay::{
    Accept, Changes, Confirmation, HistoryLimits, Publication, Relay, RelayError, Snapshot,
};
pub use source::{Fleet, Plan, Source, SourceFailure, SourceSettings, Sources, reads_directly};
