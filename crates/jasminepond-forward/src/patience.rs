//! What callers have spent on earlier attempts.
//!
//! A caller states how long it still waits. Callers of a route begin with the same time, so
//! one that states less has tried before.

use std::{collections::VecDeque, time::Duration};

/// Callers that are remembered.
const REMEMBERED: usize = 64;

/// Remembered callers that must state a time for it to be the usual one: a single one that
/// waits far longer than the others does not count.
const SUPPORT: usize = 2;

/// The times that callers of a route state.
#[derive(Debug, Default)]
pub(crate) struct Patience {
    stated: VecDeque<Duration>,
}

impl Patience {
    /// Takes the time that a caller states. Returns how much less it is than usual.
    pub(crate) fn spent(&mut self, stated: Duration) -> Duration {
        self.stated.push_back(stated);
        if self.stated.len() > REMEMBERED {
            self.stated.pop_front();
        }
        let mut longest = [Duration::ZERO; SUPPORT];
        for stated in &self.stated {
            if *stated > longest[SUPPORT - 1] {
                longest[SUPPORT - 1] = *stated;
                longest.sort_unstable_by(|a, b| b.cmp(a));
            }
        }
        longest[SUPPORT - 1].saturating_sub(stated)
    }
}
