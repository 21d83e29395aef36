//! The process's monotonic clock, which also notices pauses of the process.

use std::{cell::Cell, rc::Rc, time::Duration};

use jasminepond_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A gap between two readings above this counts as a pause. The watchdog reads
/// the clock ten times in this time.
pub const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which the watchdog reads the clock.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    start: Duration,
    last: Cell<Timestamp>,
    pauses: Cell<u64>,
}

/// Reads `CLOCK_BOOTTIME`, which includes the time a machine was suspended, so
/// that deadlines pass during a suspension as they do for everybody else.
///
/// Every task reads the clock before it acts. The first reading after a pause
/// raises the pause count, so no task can act on an event from before a pause
/// without seeing that the count has changed.
#[derive(Debug, Clone)]
pub struct Clock {
    state: Rc<State>,
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
        let last = Cell::new(Timestamp::ZERO);
        Self {
            state: Rc::new(State {
                start: boot_time(),
                last,
                pauses: Cell::new(0),
            }),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        let now = Timestamp::ZERO + boot_time().saturating_sub(self.state.start);
        if now.since(self.state.last.get()) > PAUSE_LIMIT {
            self.state.pauses.set(self.state.pauses.get() + 1);
        }
        self.state.last.set(now);
        now
    }

    /// Pauses of the process so far.
    pub fn pauses(&self) -> u64 {
        self.state.pauses.get()
    }
}

/// Reads the clock often enough that only a pause makes a gap, and calls `woke`
/// after each.
pub async fn watchdog(clock: Clock, woke: impl Fn()) {
    let mut pauses = PauseCount::new(&clock);
    loop {
        compio::time::sleep(WATCHDOG_INTERVAL).await;
        clock.now();
        if pauses.changed(&clock) {
            woke();
        }
    }
}

/// The pause count that a task has seen.
#[derive(Debug)]
pub struct PauseCount(u64);

impl PauseCount {
    /// The present count.
    pub fn new(clock: &Clock) -> Self {
        Self(clock.pauses())
    }

    /// Whether the process was paused since the last call. To be called after
    /// [`Clock::now`] and before acting on an event.
    pub fn changed(&mut self, clock: &Clock) -> bool {
        let pauses = clock.pauses();
        std::mem::replace(&mut self.0, pauses) != pauses
    }
}
