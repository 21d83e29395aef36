//! Settings of the quarantine.

use std::time::Duration;

/// Settings of the quarantine. All daemons must have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Number of ended processes from which a request is suspected. With one, every request on
    /// a server that fails by itself would be.
    pub suspect_ends: usize,
    /// Time after which a trial without a result no longer keeps others from trying.
    pub trial_time: Duration,
    /// Time for which a request is held after its first failed trial. It grows by
    /// `hold_factor` with each further one, up to `hold_max`.
    pub hold_min: Duration,
    /// See `hold_min`.
    pub hold_factor: u32,
    /// See `hold_min`.
    pub hold_max: Duration,
    /// Time for which ends of processes without a failed trial are remembered.
    pub suspect_memory: Duration,
    /// Time for which failed trials are remembered after the end of the hold.
    pub held_memory: Duration,
    /// Time for which it is remembered that a request was cleared.
    pub cleared_memory: Duration,
    /// Maximum number of records. Those with the least evidence are dropped first.
    pub max_records: usize,
    /// Number of daemons that are told of a change. With fewer daemons all of them are.
    pub fan_out: usize,
    /// Delay of messages about requests that are not suspected, which are sent together.
    pub batch_time: Duration,
    /// Interval at which records are repeated.
    pub repeat_interval: Duration,
    /// Number of daemons to which records are repeated.
    pub repeat_fan_out: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            suspect_ends: 2,
            trial_time: Duration::from_secs(2),
            hold_min: Duration::from_secs(30),
            hold_factor: 4,
            hold_max: Duration::from_secs(3_600),
            suspect_memory: Duration::from_secs(600),
            held_memory: Duration::from_secs(3_600),
            cleared_memory: Duration::from_secs(60),
            max_records: 4_096,
            fan_out: 8,
            batch_time: Duration::from_millis(20),
            repeat_interval: Duration::from_millis(500),
            repeat_fan_out: 2,
        }
    }
}

impl Settings {
    /// Time for which a request is held after this number of failed trials.
    pub(crate) fn hold(&self, failed_trials: u8) -> Duration {
        let Some(repeated) = failed_trials.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = self.hold_factor.saturating_pow(repeated.into());
        self.hold_min.saturating_mul(factor).min(self.hold_max)
    }
}
