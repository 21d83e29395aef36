//! What is known about one request.

use std::time::Duration;

use jasminepond_types::Timestamp;

use crate::{Fingerprint, Settings, message::Evidence};

/// Ended processes that are remembered by request.
pub(crate) const MAX_ENDS: usize = 3;

/// Evidence of another daemon this much younger than an answer counts as older: it was delayed
/// on its way, and ages are not exact.
const CLEARED_MARGIN: Duration = Duration::from_millis(500);

/// A trial of another daemon is new if it began this much later than the last one known.
const TRIAL_MARGIN: Duration = Duration::from_millis(500);

/// Time after which to come back while another daemon tries the request.
const TRIAL_RETRY: Duration = Duration::from_millis(250);

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// As any other.
    Free,
    /// To one server, without a second send, after [`Quarantine::begin_trial`].
    ///
    /// [`Quarantine::begin_trial`]: crate::Quarantine::begin_trial
    Trial,
    /// Not at all for this time.
    Held {
        /// Time until it may be tried.
        retry_in: Duration,
    },
}

/// What is presumed of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Nothing speaks against it.
    Clear,
    /// A server ended while it ran the request, perhaps by itself.
    Watched,
    /// Several servers did.
    Suspected,
    /// One is trying the request.
    Trial,
    /// The server of a trial ended, or an operator forbade the request.
    Held,
}

impl State {
    /// Name in logs and on the status page.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Watched => "watched",
            Self::Suspected => "suspected",
            Self::Trial => "trial",
            Self::Held => "held",
        }
    }
}

/// A change of what is presumed of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub fingerprint: Fingerprint,
    /// State before.
    pub from: State,
    /// State now.
    pub to: State,
    /// Number of servers that ended while they ran it, at most three.
    pub ends: usize,
    /// Time until it may be tried, if it is held.
    pub retry_in: Duration,
}

/// A request on the status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is presumed of it.
    pub state: State,
    /// Number of servers that ended while they ran it, at most three.
    pub ends: usize,
    /// Time since this daemon first knew of it.
    pub age: Duration,
    /// Time since the last server ended.
    pub ended_age: Duration,
    /// Number of consecutive trials in which the server ended.
    pub failed_trials: u8,
    /// Time until it may be tried, if it is held.
    pub retry_in: Duration,
    /// Requests that this daemon has refused.
    pub refused: u64,
    /// Whether an operator forbade it.
    pub forbidden: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Record {
    ends: Vec<u64>,
    since: Timestamp,
    ended_at: Option<Timestamp>,
    failed_trials: u8,
    trial_at: Option<Timestamp>,
    cleared_at: Option<Timestamp>,
    forbidden: bool,
    pub(crate) refused: u64,
}

impl Record {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            ends: Vec::new(),
            since: now,
            ended_at: None,
            failed_trials: 0,
            trial_at: None,
            cleared_at: None,
            forbidden: false,
            refused: 0,
        }
    }

    pub(crate) fn state(&self, now: Timestamp, settings: &Settings) -> State {
        let trial_until = self.trial_at.map(|at| at + settings.trial_time);
        if self.ends.is_empty() && !self.forbidden {
            State::Clear
        } else if now < self.held_until(settings) {
            State::Held
        } else if self.ends.len() < settings.suspect_ends {
            State::Watched
        } else if trial_until.is_some_and(|until| now < until) {
            State::Trial
        } else {
            State::Suspected
        }
    }

    fn held_until(&self, settings: &Settings) -> Timestamp {
        let ended_at = self.ended_at.unwrap_or(Timestamp::ZERO);
        match self.forbidden {
            true => ended_at + settings.hold_max,
            false if self.failed_trials == 0 => Timestamp::ZERO,
            false => ended_at + settings.hold(self.failed_trials),
        }
    }

    pub(crate) fn admission(&self, now: Timestamp, settings: &Settings) -> Admission {
        match self.state(now, settings) {
            State::Clear | State::Watched => Admission::Free,
            State::Suspected => Admission::Trial,
            State::Trial => Admission::Held {
                retry_in: TRIAL_RETRY,
            },
            State::Held => Admission::Held {
                retry_in: self.held_until(settings).since(now),
            },
        }
    }

    /// Whether it holds no evidence any more that matters.
    pub(crate) fn is_forgotten(&self, now: Timestamp, settings: &Settings) -> bool {
        let Some(ended_at) = self.ended_at.filter(|_| !self.is_cleared()) else {
            let cleared_at = self.cleared_at.unwrap_or(Timestamp::ZERO);
            return now.since(cleared_at) >= settings.cleared_memory;
        };
        let memory = match (self.forbidden, self.failed_trials) {
            (true, _) => settings.hold_max,
            (false, 0) => settings.suspect_memory,
            (false, trials) => settings.hold(trials) + settings.held_memory,
        };
        now.since(ended_at) >= memory
    }

    fn is_cleared(&self) -> bool {
        self.ends.is_empty() && !self.forbidden
    }

    /// Order in which records are dropped if there are too many.
    pub(crate) fn weight(&self) -> (bool, u8, usize, Option<Timestamp>) {
        (
            self.forbidden,
            self.failed_trials,
            self.ends.len(),
            self.ended_at,
        )
    }

    pub(crate) fn server_ended(&mut self, now: Timestamp, process: u64, in_trial: bool) {
        if self.ends.len() < MAX_ENDS && !self.ends.contains(&process) {
            self.ends.push(process);
        }
        self.ended_at = Some(now);
        if in_trial {
            self.failed_trials = self.failed_trials.saturating_add(1);
            self.trial_at = None;
        }
    }

    pub(crate) fn begin_trial(&mut self, now: Timestamp) {
        self.trial_at = Some(now);
    }

    pub(crate) fn clear(&mut self, now: Timestamp) {
        self.cleared_at = Some(now);
        self.reset();
    }

    /// Number of ended processes that are known, at most [`MAX_ENDS`].
    pub(crate) fn ends(&self) -> usize {
        self.ends.len()
    }

    pub(crate) fn is_forbidden(&self) -> bool {
        self.forbidden
    }

    pub(crate) fn forbid(&mut self, now: Timestamp) {
        self.ended_at = Some(now);
        self.forbidden = true;
    }

    fn reset(&mut self) {
        self.ends.clear();
        self.ended_at = None;
        self.failed_trials = 0;
        self.trial_at = None;
        self.forbidden = false;
    }

    pub(crate) fn evidence(&self, now: Timestamp, fingerprint: Fingerprint) -> Evidence {
        let age = |at: Timestamp| now.since(at);
        Evidence {
            fingerprint,
            ends: self.ends.clone(),
            ended_age: self.ended_at.map(age),
            failed_trials: self.failed_trials,
            trial_age: self.trial_at.map(age),
            cleared_age: self.cleared_at.map(age),
            forbidden: self.forbidden,
        }
    }

    /// Adopts what another daemon knows. Returns whether anything of it was new.
    pub(crate) fn merge(&mut self, now: Timestamp, evidence: &Evidence) -> bool {
        let at = |age: Option<Duration>| age.map(|age| now - age);
        let mut changed = false;
        if let Some(cleared_at) = at(evidence.cleared_age) {
            let newer = self.cleared_at.is_none_or(|known| cleared_at > known);
            if newer && self.ended_at.is_some_and(|ended| ended <= cleared_at) {
                self.reset();
                changed = true;
            }
            self.cleared_at = self.cleared_at.max(Some(cleared_at));
        }
        let Some(ended_at) = at(evidence.ended_age) else {
            return changed;
        };
        let cleared = self.cleared_at.map(|cleared| cleared + CLEARED_MARGIN);
        if cleared.is_some_and(|cleared| ended_at <= cleared) {
            return changed;
        }
        for end in &evidence.ends {
            if self.ends.len() < MAX_ENDS && !self.ends.contains(end) {
                self.ends.push(*end);
                changed = true;
            }
        }
        changed |= evidence.failed_trials > self.failed_trials;
        changed |= evidence.forbidden && !self.forbidden;
        if evidence.failed_trials > self.failed_trials {
            self.trial_at = None;
        }
        self.failed_trials = self.failed_trials.max(evidence.failed_trials);
        self.forbidden |= evidence.forbidden;
        self.ended_at = self.ended_at.max(Some(ended_at));
        let trial_at = at(evidence.trial_age);
        let known = self.trial_at.map(|known| known + TRIAL_MARGIN);
        if evidence.failed_trials >= self.failed_trials && trial_at > known {
            self.trial_at = trial_at;
            changed = true;
        }
        changed
    }

    pub(crate) fn report(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
        settings: &Settings,
    ) -> Report {
        Report {
            fingerprint,
            state: self.state(now, settings),
            ends: self.ends.len(),
            age: now.since(self.since),
            ended_age: self.ended_at.map_or(Duration::ZERO, |at| now.since(at)),
            failed_trials: self.failed_trials,
            retry_in: self.held_until(settings).since(now),
            refused: self.refused,
            forbidden: self.forbidden,
        }
    }
}
