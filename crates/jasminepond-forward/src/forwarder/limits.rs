//! Rate limits that backend servers state for all daemons together.

use std::{net::SocketAddr, time::Duration};

use jasminepond_ratelimit::{Availability, Daemon, LimitChange, Message, ProcessId};
use jasminepond_types::{ErrorKind, Timestamp};

use super::{ConnState, Forwarder};
use crate::{
    message::{ConnKey, ReqKey, ServerEvent, StatedLimit},
    request::{Part, PartState},
    server::{Server, ServerKey},
    service::ServiceKey,
    timers::Timer,
};

/// Interval at which the use of a limit is reported.
const USAGE_INTERVAL: Duration = Duration::from_secs(4);

/// Reason for a missing part whose servers are all at their limits.
pub(super) const LIMITED: &str = "limited";

impl Forwarder {
    /// Handles what a server states in a response to a request that was sent at `sent`.
    pub(super) fn observe_limit(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        sent: Timestamp,
        stated: Option<StatedLimit>,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.invalid_limit &= stated == Some(StatedLimit::Invalid);
        let process = server.process;
        let limit = match stated {
            Some(StatedLimit::Limit(limit)) => Some(limit),
            Some(StatedLimit::Invalid) => return self.on_invalid_limit(key),
            None => None,
        };
        if let Some(change) = self.limiter.observe(now, process, sent, limit) {
            self.on_limit_change(now, key, change);
        }
    }

    /// Logs the first of consecutive invalid limits.
    fn on_invalid_limit(&mut self, key: ServerKey) {
        if !std::mem::replace(&mut self.servers[key].invalid_limit, true) {
            self.log_server_event(key, ServerEvent::InvalidLimit);
        }
    }

    /// Handles a limit in the headers of a response that broke off.
    pub fn limit_stated(&mut self, now: Timestamp, conn: ConnKey, limit: StatedLimit) {
        let Some(conn) = self.conns.get(conn) else {
            return;
        };
        let sent = match conn.state {
            ConnState::Busy(call) => self.calls.get(call).map(|call| call.sent),
            ConnState::Health(sent) => Some(sent),
            ConnState::Opening | ConnState::Fresh | ConnState::Idle { .. } => None,
        };
        self.observe_limit(now, conn.server, sent.unwrap_or(conn.opened), Some(limit));
    }

    /// Handles a message about a limit from another daemon.
    pub fn receive_limit_message(&mut self, now: Timestamp, from: SocketAddr, message: Message) {
        let received = self.limiter.receive(now, from, message);
        let Some(&key) = self.servers_by_process.get(&received.process) else {
            return;
        };
        match received.change {
            Some(change) if received.process == self.servers[key].process => {
                self.on_limit_change(now, key, change);
            }
            Some(change) => self.on_warmth_change(key, change),
            None => {}
        }
        self.check_health(now, key);
        self.place_waiting(now, self.servers[key].service);
    }

    /// Stops granting permits to other daemons, because this one is about to stop.
    pub fn set_leaving(&mut self) {
        self.limiter.set_leaving();
    }

    /// Passes the other daemons on to the limiter.
    pub(super) fn set_limiter_daemons(&mut self, now: Timestamp) {
        if self.cluster.is_none() {
            return;
        }
        let daemons = self.peers.iter().map(|peer| Daemon {
            instance: peer.instance.clone(),
            address: peer.address,
            running: peer.running,
        });
        self.limiter.set_daemons(now, daemons.collect());
    }

    fn on_limit_change(&mut self, now: Timestamp, key: ServerKey, change: LimitChange) {
        let event = match change {
            LimitChange::Limited(limit) => ServerEvent::Limited { limit },
            LimitChange::Lifted => ServerEvent::LimitLifted,
        };
        self.log_server_event(key, event);
        self.start_usage_reports(now, key);
    }

    /// Begins to report the use of a server's limit, if it has one.
    pub(super) fn start_usage_reports(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key];
        if self.limiter.limit(server.process).is_some() && !server.reports_limit {
            server.reports_limit = true;
            server.limit_usage = Default::default();
            self.timers
                .set(now + USAGE_INTERVAL, Timer::LimitUsage(key));
        }
    }

    /// Reports the use of a limit since the last report.
    pub(super) fn report_limit_usage(&mut self, now: Timestamp, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let usage = std::mem::take(&mut server.limit_usage);
        let Some(limit) = self.limiter.limit(server.process) else {
            server.reports_limit = false;
            return;
        };
        self.timers
            .set(now + USAGE_INTERVAL, Timer::LimitUsage(key));
        if usage != Default::default() {
            self.log_server_event(key, ServerEvent::LimitUsage { limit, usage });
        }
    }

    pub(super) fn availability(&self, now: Timestamp, key: ServerKey) -> Availability {
        let processes = self.limited_processes(key);
        let availabilities = processes.map(|process| self.limiter.availability(now, process));
        availabilities.fold(Availability::Unlimited, stricter)
    }

    /// Records a request for which a server is preferred.
    pub(super) fn record_demand(&mut self, now: Timestamp, key: ServerKey) {
        let processes: Vec<_> = self.limited_processes(key).collect();
        for process in processes {
            self.limiter.record_demand(now, process);
        }
        self.check_health(now, key);
        if matches!(
            self.availability(now, key),
            Availability::Unknown | Availability::NotBefore(_)
        ) {
            self.servers[key].limit_usage.held_back += 1;
        }
    }

    /// Whether the limit of a server permits a request now, at the latest by a permit from
    /// this daemon's own bucket.
    pub(super) fn try_permit(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let processes: Vec<_> = self.limited_processes(key).collect();
        for process in processes {
            self.limiter.request_local(now, process);
        }
        self.availability(now, key) == Availability::Permitted
    }

    /// Requests a permit of the first of `servers` that may have one by `by`, unless `wanted`
    /// ones are expected, enough for all queued parts of the service.
    pub(super) fn request_permits(
        &mut self,
        now: Timestamp,
        servers: &[ServerKey],
        wanted: usize,
        by: Timestamp,
    ) {
        let expected = servers.iter().map(|key| self.expected_permits(now, *key));
        let mut missing = wanted.saturating_sub(expected.sum());
        for key in servers {
            if missing == 0 {
                break;
            }
            let before = self.expected_permits(now, *key);
            let processes: Vec<_> = self.limited_processes(*key).collect();
            for process in processes {
                self.limiter.request(now, process, before + missing, by);
            }
            self.check_health(now, *key);
            let after = self.expected_permits(now, *key);
            missing = missing.saturating_sub(after.saturating_sub(before));
        }
        for key in servers {
            self.set_permit_timer(now, *key);
        }
    }

    /// Number of permits of a server that are held or requested.
    fn expected_permits(&self, now: Timestamp, key: ServerKey) -> usize {
        let limited = |process: &ProcessId| {
            self.limiter.availability(now, *process) != Availability::Unlimited
        };
        let processes = self.limited_processes(key).filter(limited);
        let expected = processes.map(|process| self.limiter.expected(now, process));
        expected.min().unwrap_or(0)
    }

    fn set_permit_timer(&mut self, now: Timestamp, key: ServerKey) {
        let processes = self.limited_processes(key);
        let times = processes.filter_map(|process| self.limiter.retry_at(now, process));
        let Some(at) = times.min() else {
            return;
        };
        let server = &mut self.servers[key];
        if server.permit_timer.is_none_or(|set| set <= now || at < set) {
            server.permit_timer = Some(at);
            self.timers.set(at, Timer::Permit(key));
        }
    }

    pub(super) fn on_permit_timer(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            if server.permit_timer.is_some_and(|at| at <= now) {
                server.permit_timer = None;
            }
            let service = server.service;
            self.place_waiting(now, service);
        }
    }

    /// Uses a permit for a send to a server, and counts the send. Called before the counters
    /// of the part change.
    pub(super) fn use_permit(&mut self, now: Timestamp, key: ServerKey, req: ReqKey, index: usize) {
        if self.availability(now, key) == Availability::Unlimited {
            return;
        }
        let processes: Vec<_> = self.limited_processes(key).collect();
        for process in processes {
            let permitted = self.limiter.take(now, process);
            debug_assert!(permitted, "sent to a limited server without a permit");
            self.limiter.restock(now, process);
        }
        count_send(&mut self.servers[key], &self.reqs[req].parts[index]);
    }

    /// Time until a permit of a server may be available, zero if this is unknown.
    pub(super) fn permit_in(&self, now: Timestamp, key: ServerKey) -> Duration {
        match self.availability(now, key) {
            Availability::NotBefore(at) => at.since(now),
            Availability::Unlimited | Availability::Permitted | Availability::Unknown => {
                Duration::ZERO
            }
        }
    }

    /// Whether a server of the service could be used if it had not reached its limit.
    pub(super) fn is_held_by_limit(&self, now: Timestamp, service: ServiceKey) -> bool {
        let mut servers = self.services[service].servers.iter();
        servers.any(|key| {
            let usable = self.servers[*key].standing(now, &self.settings).is_some();
            usable && !self.permit_in(now, *key).is_zero()
        })
    }

    /// Kind of the refusal of a request that too few servers can serve: limited servers are
    /// busy, not lost.
    pub(super) fn unservable_kind(&self, now: Timestamp, key: ReqKey) -> ErrorKind {
        let limited = |part: &Part| match part.state {
            PartState::Missing(reason) => reason == LIMITED,
            PartState::Waiting => self.is_held_by_limit(now, part.service),
            PartState::Sent | PartState::Held | PartState::Done(_) => false,
        };
        match self.reqs[key].parts.iter().any(limited) {
            true => ErrorKind::Overloaded,
            false => ErrorKind::NoBackend,
        }
    }
}

/// The stricter of two availabilities, which both apply.
fn stricter(a: Availability, b: Availability) -> Availability {
    match (a, b) {
        (Availability::NotBefore(a), Availability::NotBefore(b)) => {
            Availability::NotBefore(a.max(b))
        }
        (Availability::NotBefore(at), _) | (_, Availability::NotBefore(at)) => {
            Availability::NotBefore(at)
        }
        (Availability::Unknown, _) | (_, Availability::Unknown) => Availability::Unknown,
        (Availability::Permitted, _) | (_, Availability::Permitted) => Availability::Permitted,
        (Availability::Unlimited, Availability::Unlimited) => Availability::Unlimited,
    }
}

fn count_send(server: &mut Server, part: &Part) {
    let usage = &mut server.limit_usage;
    match (part.sends, part.calls.is_empty()) {
        (0, _) => usage.first += 1,
        (_, false) => usage.hedged += 1,
        (_, true) => usage.retried += 1,
    }
}
