//! The gateway: passes callers' HTTP requests on to backend servers, over the
//! routes and servers that a read-only store names.
//!
//! One thread runs all tasks. A task owns each socket; the decisions are made by
//! [`jasminepond_forward::Forwarder`] and [`jasminepond_discovery::Reader`].

mod backend;
mod contain;
mod dialect;
mod front;
mod gateway;
mod held;
mod helper;
mod hub;
mod log;
mod members;
mod metrics;
mod readiness;
mod relay;
mod response;
mod settings;
mod store;

pub use contain::contained;
pub use dialect::{Dialect, HeaderNames, StoreError};
pub use gateway::{Options, Outcome, StartError, run};
pub use held::{HeldBytes, Share};
pub use log::Log;
pub use response::{Message, ParseError, Parsed, ResponseReader, Wanted};
pub use settings::{RepeatBounds, Settings, SettingsError, StoreSettings};
