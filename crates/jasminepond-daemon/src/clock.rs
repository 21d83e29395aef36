//! The process's monotonic clock.

use std::time::Duration;

use jasminepond_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Reads `CLOCK_BOOTTIME`, which includes the time a machine was suspended, so
/// that deadlines pass during a suspension as they do for everybody else.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + boot_time().saturating_sub(self.start)
    }
}
