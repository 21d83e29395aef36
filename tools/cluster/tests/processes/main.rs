//! Tests with real processes: daemons and stand-ins on loopback.

mod command_line;
mod configuration;
mod leaving;
mod losses;
mod network;
mod servers;
mod stops;
mod support;
