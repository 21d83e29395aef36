//! Limit on concurrent requests, controlled by additive increase and
//! multiplicative decrease.

use jasminepond_types::Timestamp;

/// Number of requests that the owner lets the server run concurrently.
#[derive(Debug)]
pub(crate) struct SlotLimit {
    max: u32,
    current: u32,
    successes: u32,
    ramping: bool,
    decreased_at: Timestamp,
}

impl SlotLimit {
    pub(crate) fn new(max: u32) -> Self {
        Self {
            max,
            current: 1,
            successes: 0,
            ramping: max > 1,
            decreased_at: Timestamp::ZERO,
        }
    }

    pub(crate) fn get(&self) -> u32 {
        self.current
    }

    pub(crate) fn is_ramping(&self) -> bool {
        self.ramping
    }

    /// Resets the limit to one slot.
    pub(crate) fn reset(&mut self) {
        self.current = 1;
        self.successes = 0;
        self.ramping = self.max > 1;
    }

    pub(crate) fn set_max(&mut self, max: u32) {
        self.max = max;
        self.current = self.current.min(max);
        if self.current == max {
            self.ramping = false;
        }
    }

    /// Records a success. Only successes while all slots were in use show that
    /// the server has capacity for more; `threshold` of them raise the limit.
    pub(crate) fn succeeded(&mut self, saturated: bool, threshold: u32) {
        if !saturated || self.current >= self.max {
            return;
        }
        self.successes += 1;
        if self.successes < threshold.max(1) {
            return;
        }
        self.successes = 0;
        self.current += 1;
        if self.current == self.max {
            self.ramping = false;
        }
    }

    pub(crate) fn failed(&mut self) {
        self.successes = 0;
    }

    /// Halves the limit, at most once per round trip: requests sent before the
    /// last decrease carry no new information. Returns whether the limit was
    /// already one.
    pub(crate) fn shed(&mut self, now: Timestamp, sent_at: Timestamp) -> bool {
        self.successes = 0;
        if sent_at < self.decreased_at {
            return false;
        }
        let at_floor = self.current == 1;
        self.current = (self.current / 2).max(1);
        self.decreased_at = now;
        at_floor
    }
}
