//! Contract tests: one test module per interface of the daemon.

mod backends;
mod callers;
mod platforms;
mod support;
