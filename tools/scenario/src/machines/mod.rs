//! Drivers that run the decision crates as machines of a scenario.

pub(crate) mod config;
pub(crate) mod dispatch;
pub(crate) mod execute;
pub(crate) mod membership;
pub(crate) mod routing;
pub(crate) mod search;
