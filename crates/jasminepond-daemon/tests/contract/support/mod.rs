//! Runs a daemon in the test process, with fakes of the systems it connects to.

mod backend;
mod daemon;
mod http;
mod platform;

use std::time::{Duration, Instant};

pub use backend::{Backend, Reaction};
pub use daemon::{KEY, TestDaemon, folder};
pub use http::{Response, connect, get, post, read_response, request, send};
pub use platform::{Fault, Platform};

/// Maximum wait for a condition. It bounds only failing runs; a passing run continues
/// as soon as the condition holds.
pub const TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
