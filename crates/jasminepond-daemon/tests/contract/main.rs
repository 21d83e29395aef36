//! Contract tests: one test module per interface of the daemon.

mod api_page;
mod backends;
mod callers;
mod peers;
mod platforms;
mod support;
