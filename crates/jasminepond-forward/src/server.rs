//! State of a backend server as this daemon observes it.

use std::time::Duration;

use jasminepond_ratelimit::ProcessId;
use jasminepond_types::Timestamp;
use slotmap::new_key_type;

use crate::{
    balance::{HeardLoad, slowness_cost, slowness_sample},
    connections::Room,
    departed::Restriction,
    evacuation::{RETURN_WARM_UP, ZoneAccess},
    evenness::SendCount,
    health::Health,
    message::{Backend, BackendState, CallKey, ConnKey, LimitUsage},
    service::ServiceKey,
    settings::ForwardSettings,
    window::Window,
};

new_key_type! {
    /// A backend server.
    pub struct ServerKey;
}

/// Weight of the newest sample in the moving averages: five samples distinguish a slow
/// server from a slow request.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Additional cost of a server that fails every request, relative to a healthy one.
const FAILURE_COST: f64 = 12.0;

/// Cost factor of a server that is warming up.
const WARM_UP_COST: f64 = 1.8;

/// Bounds of a slowness sample, so that a single outlier has limited effect.
const SLOWNESS_BOUNDS: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// Presumed time until a server that does not read requests does so again: longer than the
/// pauses of 200 ms.
const UNREAD_WAIT: Duration = Duration::from_millis(500);

/// Preference class of a server for new requests, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// The server answers, or has not been tried.
    Sound,
    /// The server recently rejected a request because its queue was full.
    Full,
    /// The server answers, but its connections are assigned to other daemons.
    Remote,
    /// A call to the server has been unanswered for too long.
    Stalled,
    /// The server is draining or its entry was removed; used only as a last resort.
    Leaving,
}

/// Whether connections to a server can be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// No failed attempt is known.
    Up,
    /// The last attempt failed; the next one starts at the given time.
    Down { until: Timestamp },
}

#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) backend: Backend,
    pub(crate) service: ServiceKey,
    /// Identity of the process for its rate limit.
    pub(crate) process: ProcessId,
    /// Health requests of this daemon to the server.
    pub(crate) health: Health,
    pub(crate) conns: Vec<ConnKey>,
    pub(crate) opening: u32,
    pub(crate) calls: Vec<CallKey>,
    /// Calls that were sent to it.
    pub(crate) sends: SendCount,
    pub(crate) window: Window,
    pub(crate) reachability: Reachability,
    /// Failed connection attempts since the last answer. An opened connection does not
    /// reset the count: a server at its limit accepts connections and closes them.
    connect_failures: u32,
    /// Whether this daemon keeps connections to the server.
    pub(crate) assigned: bool,
    /// Whether this daemon may hold one connection although the server is assigned to others.
    pub(crate) guest: bool,
    /// Room for connections of this daemon.
    pub(crate) room: Room,
    /// When the entry was removed, or the server began to drain or stop.
    pub(crate) leaving_since: Option<Timestamp>,
    /// Whether the process announced its stop, which no entry revokes.
    pub(crate) stopping: bool,
    /// Time until which the server gets no requests, as set by its `Retry-After`.
    back_off_until: Timestamp,
    /// Whether its last response stated an invalid rate limit.
    pub(crate) invalid_limit: bool,
    /// Load that it stated last.
    pub(crate) heard: Option<HeardLoad>,
    /// Whether its last response stated a malformed load.
    pub(crate) invalid_load: bool,
    /// Whether the use of its rate limit is reported.
    pub(crate) reports_limit: bool,
    /// Use of its rate limit since the last report.
    pub(crate) limit_usage: LimitUsage,
    /// When queued parts are tried again because a permit may be available.
    pub(crate) permit_timer: Option<Timestamp>,
    /// Whether it does not read the requests sent to it.
    pub(crate) unread: bool,
    stalled: bool,
    full_until: Timestamp,
    pub(crate) warm_up_until: Timestamp,
    slowness: f64,
    failure_rate: f64,
    sampled_at: Timestamp,
    /// Whether another server answered at the address. The server is not used until its
    /// entry changes.
    pub(crate) address_taken: bool,
    /// Whether the evacuation of its zone permits requests.
    pub(crate) access: ZoneAccess,
}

impl Server {
    pub(crate) fn new(now: Timestamp, backend: Backend, service: ServiceKey) -> Self {
        let process = ProcessId::new(&backend.id, backend.started, backend.address);
        Self {
            warm_up_until: now + backend.warm_up_left.duration(),
            process,
            health: Health::new(process),
            leaving_since: None,
            stopping: false,
            back_off_until: Timestamp::ZERO,
            invalid_limit: false,
            heard: None,
            invalid_load: false,
            reports_limit: false,
            limit_usage: LimitUsage::default(),
            permit_timer: None,
            backend,
            service,
            conns: Vec::new(),
            opening: 0,
            calls: Vec::new(),
            sends: SendCount::new(now),
            window: Window::default(),
            reachability: Reachability::Up,
            connect_failures: 0,
            assigned: true,
            guest: true,
            room: Room::default(),
            unread: false,
            stalled: false,
            full_until: Timestamp::ZERO,
            slowness: 1.0,
            failure_rate: 0.0,
            sampled_at: now,
            address_taken: false,
            access: ZoneAccess::Open,
        }
    }

    /// Applies a changed entry of the same process.
    pub(crate) fn update(&mut self, now: Timestamp, backend: Backend) {
        let drains = backend.state == BackendState::Draining;
        // Without a start time, a later ready entry may be that of a different process.
        self.stopping |= drains && backend.started.is_some();
        self.leaving_since = match drains || self.stopping {
            true => self.leaving_since.or(Some(now)),
            false => None,
        };
        self.warm_up_until = now + backend.warm_up_left.duration();
        self.address_taken = false;
        self.backend = backend;
    }

    /// Preference class for a new request, or `None` if the server is unusable.
    pub(crate) fn standing(&self, now: Timestamp, settings: &ForwardSettings) -> Option<Standing> {
        let held_back = self.unread || now < self.back_off_until;
        if self.address_taken || held_back || !self.access.is_open(now) {
            return None;
        }
        if let Reachability::Down { .. } = self.reachability
            && self.conns.is_empty()
        {
            return None;
        }
        if self.conns.is_empty() && (!self.may_connect() || self.room.is_blocked(now)) {
            return None;
        }
        Some(match self.leaving_since {
            Some(since) if now.since(since) > settings.leave_grace() => return None,
            Some(_) => Standing::Leaving,
            None if self.stalled => Standing::Stalled,
            None if now < self.full_until => Standing::Full,
            None if !self.assigned => Standing::Remote,
            None => Standing::Sound,
        })
    }

    /// Whether the server takes new requests as far as its own statements tell.
    pub(crate) fn wants_requests(&self, now: Timestamp) -> bool {
        let open = self.back_off_left(now).is_zero() && self.access.is_open(now);
        self.leaving_since.is_none() && !self.address_taken && open
    }

    /// Whether this daemon may hold connections to the server.
    pub(crate) fn may_connect(&self) -> bool {
        self.assigned || self.guest
    }

    /// Whether a connection may be opened in addition to those in use. A guest has only one.
    pub(crate) fn may_be_probed(&self) -> bool {
        self.assigned || (self.guest && self.conns.is_empty())
    }

    /// Whether there is a connection, or no failed attempt to open one is known.
    pub(crate) fn may_be_reached(&self) -> bool {
        self.reachability == Reachability::Up || self.conns.len() > self.opening as usize
    }

    /// Time until the server can be tried with a request, zero if it is usable now, or
    /// `None` if unknown.
    pub(crate) fn available_in(
        &self,
        now: Timestamp,
        settings: &ForwardSettings,
    ) -> Option<Duration> {
        if self.standing(now, settings).is_some() {
            return Some(Duration::ZERO);
        }
        let retired = self
            .leaving_since
            .is_some_and(|since| now.since(since) > settings.leave_grace());
        if self.address_taken || retired {
            return None;
        }
        // An evacuated server is assigned to no daemon until its zone returns.
        if self.access == ZoneAccess::Open && !self.may_connect() {
            return None;
        }
        if self.unread {
            return Some(UNREAD_WAIT);
        }
        let reconnect_at = self.room.blocked_until().max(self.back_off_until);
        let reconnect_in = match self.reachability {
            Reachability::Down { until } if self.conns.is_empty() => until.since(now),
            Reachability::Down { .. } | Reachability::Up => Duration::ZERO,
        };
        let held_for = reconnect_at.since(now).max(self.access.opens_in(now));
        Some(reconnect_in.max(held_for))
    }

    /// Expected cost of one more request, relative to an idle healthy server, wherever the
    /// server is.
    pub(crate) fn cost(&self, now: Timestamp, settings: &ForwardSettings) -> f64 {
        let decay = self.decay_factor(now, settings);
        let slowness = 1.0 + (self.slowness - 1.0) * decay;
        let failure_rate = self.failure_rate * decay;
        let warm_up = if now < self.warm_up_until {
            WARM_UP_COST
        } else {
            1.0
        };
        let calls = (self.calls.len() + 1) as f64;
        let load = self
            .heard
            .map_or(1.0, |heard| heard.cost_factor(now, self.calls.len()));
        let slowness = match settings.even_load {
            true => slowness_cost(slowness),
            false => slowness,
        };
        calls * load * slowness * warm_up * (1.0 + FAILURE_COST * failure_rate)
    }

    fn decay_factor(&self, now: Timestamp, settings: &ForwardSettings) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64();
        0.5_f64.powf(age / settings.half_life().as_secs_f64())
    }

    fn record_sample(
        &mut self,
        now: Timestamp,
        slowness: Option<f64>,
        failed: bool,
        settings: &ForwardSettings,
    ) {
        let decay = self.decay_factor(now, settings);
        let decayed = 1.0 + (self.slowness - 1.0) * decay;
        self.slowness = match slowness {
            Some(sample) => {
                let sample = match settings.even_load {
                    true => slowness_sample(sample),
                    false => sample.clamp(*SLOWNESS_BOUNDS.start(), *SLOWNESS_BOUNDS.end()),
                };
                decayed + (sample - decayed) * SAMPLE_WEIGHT
            }
            None => decayed,
        };
        let decayed = self.failure_rate * decay;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = decayed + (sample - decayed) * SAMPLE_WEIGHT;
        self.sampled_at = now;
    }

    /// Records a call answered after `latency`, where `usual` is the median. Returns
    /// whether the server was stalled or unreachable before.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        latency: Duration,
        usual: Duration,
        settings: &ForwardSettings,
    ) -> bool {
        let was_unavailable = self.stalled || self.connect_failures > 0;
        self.stalled = false;
        self.reachability = Reachability::Up;
        self.connect_failures = 0;
        let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(0.001);
        self.record_sample(now, Some(ratio), false, settings);
        was_unavailable
    }

    /// Records a failed call on a reachable server.
    pub(crate) fn failed(&mut self, now: Timestamp, settings: &ForwardSettings) {
        self.record_sample(now, None, true, settings);
    }

    /// Records a call that the server rejected because its queue was full. A server may
    /// also reject calls while it is idle, so the rejection also counts as a failure, which
    /// raises the cost for longer than `rejection_penalty`.
    pub(crate) fn rejected(&mut self, now: Timestamp, settings: &ForwardSettings) {
        self.record_sample(now, None, true, settings);
        self.stalled = false;
        self.full_until = now + settings.rejection_penalty;
    }

    /// Number of calls that this daemon may have in progress on the server.
    pub(crate) fn window_size(&self, settings: &ForwardSettings) -> usize {
        let slots = f64::from(self.backend.slots) / f64::from(settings.daemons_sharing.max(1));
        self.window.size(slots)
    }

    /// Marks the server as stopping. Returns whether that is new.
    pub(crate) fn set_stopping(&mut self, now: Timestamp) -> bool {
        self.leaving_since.get_or_insert(now);
        !std::mem::replace(&mut self.stopping, true)
    }

    /// Extends the time until which the server gets no requests.
    pub(crate) fn set_back_off(&mut self, until: Timestamp) {
        self.back_off_until = self.back_off_until.max(until);
    }

    /// Restriction that outlives the entry of the server.
    pub(crate) fn restriction(&self, now: Timestamp) -> Option<Restriction> {
        match self.stopping {
            true => Some(Restriction::Stopping),
            false => (now < self.back_off_until)
                .then_some(Restriction::BackOffUntil(self.back_off_until)),
        }
    }

    /// Remaining time for which the server gets no requests.
    pub(crate) fn back_off_left(&self, now: Timestamp) -> Duration {
        self.back_off_until.since(now)
    }

    /// Begins to use the server again at `at`, after its zone was evacuated. What was
    /// observed before does not tell how it is now.
    pub(crate) fn set_returning(&mut self, at: Timestamp) {
        self.access = ZoneAccess::Returning(at);
        self.warm_up_until = self.warm_up_until.max(at + RETURN_WARM_UP);
        self.forget_silence();
    }

    /// Marks the server as stalled. Returns whether that is new.
    pub(crate) fn set_stalled(&mut self) -> bool {
        !std::mem::replace(&mut self.stalled, true)
    }

    /// Marks the server as reachable after a connection was opened.
    pub(crate) fn on_connected(&mut self) {
        self.reachability = Reachability::Up;
        if self.calls.is_empty() {
            self.stalled = false;
        }
    }

    /// Forgets that the server did not respond while this daemon reached no server at all.
    pub(crate) fn forget_silence(&mut self) {
        self.stalled = false;
        self.connect_failures = 0;
        self.reachability = Reachability::Up;
    }

    /// Records a failed connection attempt. Returns when to try again.
    pub(crate) fn on_connect_failed(
        &mut self,
        now: Timestamp,
        settings: &ForwardSettings,
    ) -> Timestamp {
        self.connect_failures = self.connect_failures.saturating_add(1);
        let wait = settings.reconnect_delay_min * 2_u32.pow(self.connect_failures.min(6) - 1);
        let until = now + wait.min(settings.reconnect_delay_max);
        self.reachability = Reachability::Down { until };
        until
    }
}
