//! The gateway daemon: forwards callers' HTTP requests to backend servers. Routes and
//! backend servers are read from a store, which the gateway never writes.
//!
//! All tasks run on one thread, and each socket is owned by one task. Routing decisions
//! are made by [`jasminepond_forward::Forwarder`], and
//! [`jasminepond_discovery::Reader`] decides what to read from the store.

mod adapter;
mod backend;
mod backlog;
mod buffered;
mod callers;
mod gateway;
mod hub;
mod log;
mod members;
mod metrics;
mod panics;
mod peers;
mod response;
mod settings;
mod socket_set;
mod store;
mod store_relay;

pub use adapter::{HeaderNames, PlatformAdapter, StoreError};
pub use backlog::{
    Admission, Backlog, BacklogLimits, DroppedResponses, HeldKind, HoldKey, Holder, ResponseRoom,
    ServerRoom,
};
pub use buffered::{BacklogCounts, BufferShare, BufferedBytes, UnsentShare};
pub use gateway::{Options, Outcome, StartError, run};
pub use log::Log;
pub use panics::catch_panic;
pub use peers::{DelegatedRequest, read_headers, write_headers};
pub use response::{ExpectedResponse, Message, ParseError, Parsed, ResponseReader};
pub use settings::{RepeatBounds, Settings, SettingsError, StoreSettings};
