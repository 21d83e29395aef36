//! The daemon: tasks, listeners, metrics and status around the decision crates.
//!
//! One thread runs all tasks. Each task owns its sockets and its state, and tasks
//! communicate through channels: [`entry`] handles callers' requests, [`owner`] the backend
//! servers that this daemon owns, [`peers`] the links to other daemons and
//! [`control`] the membership and the configuration.

pub mod api;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod mailbox;
pub mod metrics;
pub mod net;
pub mod operators;
pub mod owner;
pub mod peers;
pub mod stop;

pub use daemon::{Bound, Daemon, Options, Outcome, StartError, run};
