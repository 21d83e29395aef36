//! One daemon in the test process, with small fakes at its interfaces.

mod backend;
mod daemon;
mod http;
mod platform;

use std::time::{Duration, Instant};

pub use backend::{Backend, Reaction};
pub use daemon::{KEY, TestDaemon, folder};
pub use http::{Response, connect, get, post, read_response, request, send};
pub use platform::{Fault, Platform};

/// Longest wait for a condition. It bounds a failing run; a passing one waits
/// only for the event.
pub const LIMIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(10);

/// Waits until `condition` gives a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < LIMIT, "timed out waiting for: {what}");
        std::thread::sleep(POLL);
    }
}
