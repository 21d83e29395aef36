//! Estimates the time that callers have spent on earlier attempts.
//!
//! Callers state the time left until their deadline. Callers of one route start with the
//! same timeout, so a caller that states less has tried before.

use std::{collections::VecDeque, time::Duration};

/// Number of recent callers that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Number of remembered callers that must state at least the usual timeout, so that a
/// single caller with a far longer timeout is ignored.
const MIN_CALLERS: usize = 2;

/// Times left that recent callers of a route stated.
#[derive(Debug, Default)]
pub(crate) struct CallerTimeouts {
    stated: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Records the time left that a caller states, and returns how much less it is than
    /// the usual timeout.
    pub(crate) fn observe(&mut self, stated: Duration) -> Duration {
        self.stated.push_back(stated);
        if self.stated.len() > MAX_REMEMBERED {
            self.stated.pop_front();
        }
        let mut longest = [Duration::ZERO; MIN_CALLERS];
        for stated in &self.stated {
            if *stated > longest[MIN_CALLERS - 1] {
                longest[MIN_CALLERS - 1] = *stated;
                longest.sort_unstable_by(|a, b| b.cmp(a));
            }
        }
        longest[MIN_CALLERS - 1].saturating_sub(stated)
    }
}
