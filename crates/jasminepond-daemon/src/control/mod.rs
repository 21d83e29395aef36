//! The control tasks: membership of the daemons and spreading of the
//! configuration.

pub mod membership;
