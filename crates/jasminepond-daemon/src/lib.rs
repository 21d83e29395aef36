//! The daemon: tasks, listeners, metrics and status around the decision crates.

pub mod clock;
pub mod control;
pub mod entry;
pub mod metrics;
pub mod net;
pub mod owner;
pub mod peers;
pub mod stop;
