//! What is known of a backend server.

use std::time::Duration;

use jasminepond_types::Timestamp;
use slotmap::new_key_type;

use crate::{
    departed::Wish,
    message::{Backend, BackendState, CallKey, ConnKey},
    service::ServiceKey,
    settings::ForwardSettings,
    window::Window,
};

new_key_type! {
    /// A backend server.
    pub struct ServerKey;
}

/// Weight of the newest sample in the averages: five samples tell a slow server
/// from a slow request.
const NEWEST: f64 = 0.2;

/// Cost of a server whose every request fails, relative to a sound one.
const FAILURE_COST: f64 = 12.0;

/// How much slower than usual a server that has just started is taken to be.
const COLD_COST: f64 = 1.8;

/// Bounds of the observed slowness, so that one odd sample does not decide.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// How a server stands among the candidates for a request, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It answers.
    Sound,
    /// It rejected a request for lack of room a moment ago.
    Full,
    /// It answers, but its connections belong to other daemons.
    Remote,
    /// A request on it has been unanswered for too long.
    Stalled,
    /// Its entry has gone, or it drains; only used if nothing else is left.
    Leaving,
}

/// Whether connections to a server can be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// As far as is known.
    Open,
    /// The last attempt failed; not tried before the given time.
    Down { until: Timestamp },
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) backend: Backend,
    pub(crate) service: ServiceKey,
    pub(crate) conns: Vec<ConnKey>,
    pub(crate) opening: u32,
    pub(crate) calls: Vec<CallKey>,
    pub(crate) window: Window,
    pub(crate) reach: Reach,
    /// Failed attempts to connect since the last answer. An opened connection does
    /// not reset it: a server at its limit accepts connections and closes them.
    failures: u32,
    /// Whether this daemon may keep connections to it.
    pub(crate) near: bool,
    /// When the entry went away, or the server said that it stops.
    pub(crate) leaving_since: Option<Timestamp>,
    /// Whether the process itself has said that it stops: no entry takes that back.
    pub(crate) stops: bool,
    /// Until when it wants no requests.
    quiet_until: Timestamp,
    stalled: bool,
    full_until: Timestamp,
    cold_until: Timestamp,
    slowness: f64,
    failing: f64,
    observed: Timestamp,
    /// Another server has answered in its place; not used until its entry changes.
    pub(crate) displaced: bool,
}

impl Server {
    pub(crate) fn new(now: Timestamp, backend: Backend, service: ServiceKey) -> Self {
        Self {
            cold_until: now + backend.warm_up_left.duration(),
            leaving_since: None,
            stops: false,
            quiet_until: Timestamp::ZERO,
            backend,
            service,
            conns: Vec::new(),
            opening: 0,
            calls: Vec::new(),
            window: Window::default(),
            reach: Reach::Open,
            failures: 0,
            near: true,
            stalled: false,
            full_until: Timestamp::ZERO,
            slowness: 1.0,
            failing: 0.0,
            observed: now,
            displaced: false,
        }
    }

    /// Takes over a changed entry of the same process.
    pub(crate) fn update(&mut self, now: Timestamp, backend: Backend) {
        let drains = backend.state == BackendState::Draining;
        // Without its start, a process that is ready may be another one.
        self.stops |= drains && backend.started.is_some();
        self.leaving_since = match drains || self.stops {
            true => self.leaving_since.or(Some(now)),
            false => None,
        };
        self.cold_until = now + backend.warm_up_left.duration();
        self.displaced = false;
        self.backend = backend;
    }

    /// How it stands for a new request, or `None` if it cannot take one.
    pub(crate) fn standing(&self, now: Timestamp, settings: &ForwardSettings) -> Option<Standing> {
        if self.displaced || now < self.quiet_until {
            return None;
        }
        if let Reach::Down { .. } = self.reach
            && self.conns.is_empty()
        {
            return None;
        }
        Some(match self.leaving_since {
            Some(since) if now.since(since) > settings.leave_grace() => return None,
            Some(_) => Standing::Leaving,
            None if self.stalled => Standing::Stalled,
            None if now < self.full_until => Standing::Full,
            None if !self.near => Standing::Remote,
            None => Standing::Sound,
        })
    }

    /// Time until it may be tried with a request: none if it can take one now, `None` if
    /// nothing tells.
    pub(crate) fn back_in(&self, now: Timestamp, settings: &ForwardSettings) -> Option<Duration> {
        if self.standing(now, settings).is_some() {
            return Some(Duration::ZERO);
        }
        let left = self
            .leaving_since
            .is_some_and(|since| now.since(since) > settings.leave_grace());
        if self.displaced || left {
            return None;
        }
        let reached = match self.reach {
            Reach::Down { until } if self.conns.is_empty() => until.since(now),
            Reach::Down { .. } | Reach::Open => Duration::ZERO,
        };
        Some(reached.max(self.quiet_until.since(now)))
    }

    /// Expected cost of one more request, relative to an idle sound server.
    pub(crate) fn cost(&self, now: Timestamp, settings: &ForwardSettings) -> f64 {
        let age = self.age_factor(now, settings);
        let slowness = 1.0 + (self.slowness - 1.0) * age;
        let failing = self.failing * age;
        let cold = if now < self.cold_until {
            COLD_COST
        } else {
            1.0
        };
        let remote = if self.backend.zone == settings.zone {
            1.0
        } else {
            settings.remote_cost_factor
        };
        let waiting = (self.calls.len() + 1) as f64;
        waiting * slowness * cold * remote * (1.0 + FAILURE_COST * failing)
    }

    fn age_factor(&self, now: Timestamp, settings: &ForwardSettings) -> f64 {
        let age = now.since(self.observed).as_secs_f64();
        0.5_f64.powf(age / settings.half_life().as_secs_f64())
    }

    fn fold(
        &mut self,
        now: Timestamp,
        slowness: Option<f64>,
        failed: bool,
        settings: &ForwardSettings,
    ) {
        let age = self.age_factor(now, settings);
        let faded = 1.0 + (self.slowness - 1.0) * age;
        self.slowness = match slowness {
            Some(sample) => {
                let sample = sample.clamp(*SLOWNESS.start(), *SLOWNESS.end());
                faded + (sample - faded) * NEWEST
            }
            None => faded,
        };
        let faded = self.failing * age;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing = faded + (sample - faded) * NEWEST;
        self.observed = now;
    }

    /// A call was answered after `latency`, where `usual` is the median. Returns
    /// whether the server was thought not to answer.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        latency: Duration,
        usual: Duration,
        settings: &ForwardSettings,
    ) -> bool {
        let was_silent = self.stalled || self.failures > 0;
        self.stalled = false;
        self.reach = Reach::Open;
        self.failures = 0;
        let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(0.001);
        self.fold(now, Some(ratio), false, settings);
        was_silent
    }

    /// A call failed, although the server may be reached.
    pub(crate) fn failed(&mut self, now: Timestamp, settings: &ForwardSettings) {
        self.fold(now, None, true, settings);
    }

    /// It rejected a call for lack of room. A server may also reject while it has
    /// room; remembering rejections longer than a queue lasts keeps requests off it.
    pub(crate) fn full(&mut self, now: Timestamp, settings: &ForwardSettings) {
        self.fold(now, None, true, settings);
        self.stalled = false;
        self.full_until = now + settings.rejection_penalty;
    }

    /// Calls that this daemon may have on it.
    pub(crate) fn window_size(&self, settings: &ForwardSettings) -> usize {
        let slots = f64::from(self.backend.slots) / f64::from(settings.daemons_sharing.max(1));
        self.window.size(slots)
    }

    /// It said that it stops. Returns whether that is new.
    pub(crate) fn announce_stop(&mut self, now: Timestamp) -> bool {
        self.leaving_since.get_or_insert(now);
        !std::mem::replace(&mut self.stops, true)
    }

    /// It wants no requests until then.
    pub(crate) fn keep_quiet(&mut self, until: Timestamp) {
        self.quiet_until = self.quiet_until.max(until);
    }

    /// What it has asked for that holds longer than its entry.
    pub(crate) fn wish(&self, now: Timestamp) -> Option<Wish> {
        match self.stops {
            true => Some(Wish::Stops),
            false => (now < self.quiet_until).then_some(Wish::QuietUntil(self.quiet_until)),
        }
    }

    /// How much longer it wants no requests.
    pub(crate) fn quiet_for(&self, now: Timestamp) -> Duration {
        self.quiet_until.since(now)
    }

    /// A call on it has been unanswered for too long. Returns whether that is new.
    pub(crate) fn stall(&mut self) -> bool {
        !std::mem::replace(&mut self.stalled, true)
    }

    /// A connection was opened, so nothing is known against it.
    pub(crate) fn reached(&mut self) {
        self.reach = Reach::Open;
        if self.calls.is_empty() {
            self.stalled = false;
        }
    }

    /// A connection could not be opened. Returns when to try again.
    pub(crate) fn unreached(&mut self, now: Timestamp, settings: &ForwardSettings) -> Timestamp {
        self.failures = self.failures.saturating_add(1);
        let wait = settings.reconnect_delay_min * 2_u32.pow(self.failures.min(6) - 1);
        let until = now + wait.min(settings.reconnect_delay_max);
        self.reach = Reach::Down { until };
        until
    }
}
