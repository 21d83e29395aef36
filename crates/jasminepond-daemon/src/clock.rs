//! The process's monotonic clock, which also detects pauses of the process.

use std::{cell::Cell, rc::Rc, time::Duration};

use jasminepond_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// A longer gap between two clock readings counts as a pause. The watchdog reads
/// the clock ten times within this period.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Interval at which the watchdog reads the clock.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct State {
    start: Duration,
    last: Cell<Timestamp>,
    pauses: Cell<u64>,
}

/// Reads `CLOCK_BOOTTIME`, which includes the time for which the machine was
/// suspended, so that deadlines expire during a suspension as they do on other
/// machines.
///
/// Every task reads the clock before it acts. The first reading after a pause
/// increments the pause count, so a task that checks the count always detects a
/// pause before it acts on an event from before the pause.
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
    /// Starts a clock at zero.
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

    /// Time since the start. Counts a pause if the previous reading is too old.
    pub fn now(&self) -> Timestamp {
        let now = Timestamp::ZERO + boot_time().saturating_sub(self.state.start);
        if now.since(self.state.last.get()) > PAUSE_THRESHOLD {
            self.state.pauses.set(self.state.pauses.get() + 1);
        }
        self.state.last.set(now);
        now
    }

    /// Number of pauses detected so far.
    pub fn pauses(&self) -> u64 {
        self.state.pauses.get()
    }
}

/// Reads the clock often enough that only a pause leaves a gap, and calls
/// `on_resume` after each pause.
pub async fn watchdog(clock: Clock, on_resume: impl Fn()) {
    let mut pauses = PauseCount::new(&clock);
    loop {
        compio::time::sleep(WATCHDOG_INTERVAL).await;
        clock.now();
        if pauses.changed(&clock) {
            on_resume();
        }
    }
}

/// The pause count that a task last observed.
#[derive(Debug)]
pub struct PauseCount(u64);

impl PauseCount {
    /// Starts from the current count.
    pub fn new(clock: &Clock) -> Self {
        Self(clock.pauses())
    }

    /// Whether the process was paused since the last call. Call it after
    /// [`Clock::now`] and before acting on an event.
    pub fn changed(&mut self, clock: &Clock) -> bool {
        let pauses = clock.pauses();
        std::mem::replace(&mut self.0, pauses) != pauses
    }
}
