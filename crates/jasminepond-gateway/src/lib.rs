//! The gateway: passes callers' HTTP requests on to backend servers, over the
//! routes and servers that a read-only store names.
//!
//! One thread runs all tasks. A task owns each socket; the decisions are made by
//! [`jasminepond_forward::Forwarder`] and [`jasminepond_discovery::Reader`].

mod adapter;
mod backend;
mod buffered;
mod front;
mod gateway;
mod helper;
mod hub;
mod log;
mod members;
mod metrics;
mod panics;
mod readiness;
mod relay;
mod response;
mod settings;
mod store;

pub use adapter::{HeaderNames, PlatformAdapter, StoreError};
pub use buffered::{BufferShare, BufferedBytes};
pub use gateway::{Options, Outcome, StartError, run};
pub use log::Log;
pub use panics::catch_panic;
pub use response::{ExpectedResponse, Message, ParseError, Parsed, ResponseReader};
pub use settings::{RepeatBounds, Settings, SettingsError, StoreSettings};
