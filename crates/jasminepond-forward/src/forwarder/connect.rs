//! Connections to backend servers.

use std::time::Duration;

use jasminepond_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::{Conn, ConnState, Forwarder, delegate::HELPER_CONNECTIONS};
use crate::{
    connections::{FRESH_TIME, Held, Opening, Share, guests, is_guest},
    contact::Failure,
    message::{Action, ConnKey, Exchange, LostCall, ServerEvent},
    server::{Reachability, Server, ServerKey},
    service::ServiceKey,
    shard_groups::connection_share,
    timers::Timer,
};

/// A connection that is closed unused within this time of its opening counts as
/// rejected because the server is at its connection limit. Covers one round trip
/// between zones and the server's work on a new connection, with a margin.
const REJECTED_WITHIN: Duration = Duration::from_millis(50);

/// A connection attempt that fails within this time was refused. Others were not answered.
const REFUSED_WITHIN: Duration = Duration::from_millis(50);

/// Time after which an idle connection to another daemon is not used any more. Daemons close
/// theirs after a minute, and a request that crosses the close may have run.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(45);

/// Connections of a helper to a server for each of its slots: one call that runs and one that
/// waits. With twice as many, fewer daemons can be guests, and 929 instead of 71 of 29,500
/// searches lacked shards while helpers ended (75 daemons, 60 connections).
const MAX_CALLS_PER_SLOT: usize = 2;

/// Connections since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConnectionCounts {
    /// Connections that backend servers reset just after they were opened, because they were
    /// at their limits.
    pub reset: u64,
    /// Times at which a request waited and no connection could be opened, because this daemon
    /// had used up its share or the server had no room.
    pub refused: u64,
}

impl Forwarder {
    /// Opens a first connection to a server ahead of requests. Servers of a service
    /// without a route are skipped: they start together before a repartition, when it
    /// is unknown which daemons will use them.
    pub(super) fn preconnect(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let routed = self.services[server.service].routed;
        let wanted = routed && server.assigned && server.wants_requests(now);
        let reachable = !self.contact.is_lost() || self.services[server.service].is_helper_group;
        if wanted && reachable && server.conns.is_empty() && self.cluster.is_some() {
            self.open_conn(now, key);
        }
    }

    /// Connections that this daemon may hold to an assigned server of a service. A helper takes
    /// no more than it can use, and fewer if each other daemon can then be a guest of one server.
    fn own_share(&self, service: ServiceKey) -> usize {
        let share = self.connection_share(service).floor().max(1.0) as usize;
        let state = &self.services[service];
        let slots = state
            .servers
            .iter()
            .map(|key| self.servers[*key].backend.slots);
        let (Some(_), Some(slots)) = (state.group, slots.max()) else {
            return share;
        };
        let slots = slots.max(1) as usize;
        let holders = self.helpers_of(state.group).len().max(1);
        let accepted = connection_share(state.max_connections, 1) as usize;
        let left = accepted.saturating_sub(self.wanted_guests(service)) / holders;
        share
            .min(MAX_CALLS_PER_SLOT * slots)
            .min(left.max(slots + 1))
    }

    /// Number of guests of each server with which every daemon is a guest of one server of the
    /// service.
    fn wanted_guests(&self, service: ServiceKey) -> usize {
        let (_, others) = self.place_among_guests(service);
        others.div_ceil(self.services[service].servers.len().max(1))
    }

    /// Share of this daemon of the connections to a server.
    fn share(&self, key: ServerKey) -> Share {
        let server = &self.servers[key];
        if self.services[server.service].is_helper_group {
            return Share::Own(HELPER_CONNECTIONS);
        }
        let share = self.own_share(server.service);
        match (server.assigned, server.guest) {
            (true, _) => Share::Own(share.min(server.window_size(&self.settings))),
            (false, true) => Share::Guest,
            (false, false) => Share::Nothing,
        }
    }

    /// Place of this daemon among the running ones, and their number.
    fn running_daemons(&self) -> (usize, usize) {
        let cluster = self.cluster.unwrap_or_default();
        if self.peers.is_empty() {
            return (cluster.rank as usize, cluster.daemons as usize);
        }
        let running = self.peers.iter().filter(|peer| peer.running);
        let before = running.clone().filter(|peer| peer.rank < cluster.rank);
        (before.count(), running.count() + 1)
    }

    /// Place of this daemon among those that may be guests of the servers of a service, and
    /// their number.
    fn place_among_guests(&self, service: ServiceKey) -> (usize, usize) {
        let (rank, daemons) = self.running_daemons();
        let helpers = self.helpers_of(self.services[service].group);
        let own = self.cluster.unwrap_or_default().rank;
        let before = helpers.iter().filter(|helper| **helper < own).count();
        let others = daemons.saturating_sub(helpers.len());
        (rank.saturating_sub(before), others)
    }

    /// Number of daemons that may hold one connection each to a server of the service beside
    /// those to which it is assigned.
    fn guest_count(&self, service: ServiceKey) -> usize {
        let state = &self.services[service];
        let daemons = self.running_daemons().1;
        let share = self.connection_share(service);
        let holders = match state.group {
            Some(_) => self.helpers_of(state.group).len(),
            None => {
                let servers = state.servers.len().max(1);
                let own = ((share * servers as f64).floor() as usize).clamp(1, servers);
                (daemons * own).div_ceil(servers)
            }
        };
        let accepted = connection_share(state.max_connections, 1) as usize;
        let share = self.own_share(service);
        guests(accepted, holders, share, self.wanted_guests(service))
    }

    /// Maximum number of connections of this daemon to a server, for operators.
    pub(crate) fn connection_limit(&self, now: Timestamp, server: &Server) -> usize {
        let key = self.servers_by_id.get(&server.backend.id);
        key.map_or(0, |key| server.room.limit(now, self.share(*key)))
    }

    /// Numbers of connections since the start of the process.
    pub fn connection_counts(&self) -> ConnectionCounts {
        self.connection_counts
    }

    /// Assigns the servers of a service to which this daemon keeps connections: all of
    /// them, unless there are more daemons than connections per server. In that case
    /// daemons of successive ranks take successive servers, so that each server gets
    /// the same number of daemons.
    ///
    /// Of the other daemons, as many as there is room for may hold one connection to a server,
    /// for requests that no helper takes.
    pub(super) fn assign_servers(&mut self, now: Timestamp, service: ServiceKey) {
        self.set_local_share(service);
        let (ordered, count) = self.assigned_servers(service);
        let is_helper_group = self.services[service].is_helper_group;
        let (rank, daemons) = self.place_among_guests(service);
        let guests = self.guest_count(service);
        let seed = xxh3_64(self.services[service].name.as_str().as_bytes());
        let mut positions = ordered.clone();
        positions.sort_by_key(|key| self.servers[*key].backend.id.clone());
        for (position, key) in positions.into_iter().enumerate() {
            self.servers[key].guest =
                is_helper_group || is_guest(rank, daemons, guests, seed, position);
        }
        for (at, server) in ordered.into_iter().enumerate() {
            let assigned = at < count;
            let state = &mut self.servers[server];
            if assigned && !state.assigned && !is_helper_group {
                state.room.on_assigned(now);
            }
            state.assigned = assigned;
            if !assigned {
                self.close_idle(server);
            }
        }
    }

    /// Opens a connection to a server if the limits allow it.
    pub(super) fn open_conn(&mut self, now: Timestamp, key: ServerKey) {
        let share = self.share(key);
        let server = &mut self.servers[key];
        if !server.access.is_open(now) {
            return;
        }
        if let Reachability::Down { until } = server.reachability
            && now < until
        {
            return;
        }
        let held = Held {
            all: server.conns.len(),
            opening: server.opening,
            wanted: !self.services[server.service].queue.is_empty(),
        };
        match server.room.opening(now, share, held) {
            Opening::Open => self.start_connection(now, key),
            Opening::Pending => {}
            Opening::Refused => self.connection_counts.refused += u64::from(held.wanted),
        }
    }

    /// Opens a connection to a server to find out whether it responds, instead of an idle one if
    /// the share of this daemon is used up. It exceeds the share only while calls block all
    /// others: a daemon that does not probe would consider itself cut off.
    pub(super) fn open_probe(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        if server.opening > 0 || !server.may_be_probed() || !server.access.is_open(now) {
            return;
        }
        if server.conns.len() >= self.own_share(server.service)
            && let Some(idle) = self.newest_idle_conn(now, key)
        {
            self.close_conn(idle);
        }
        self.start_connection(now, key);
    }

    /// Handles that a server reset a connection just after it was opened. Other connections to
    /// it stay in use.
    fn on_reset(&mut self, now: Timestamp, key: ServerKey) {
        let share = self.share(key);
        self.connection_counts.reset += 1;
        let server = &mut self.servers[key];
        let connections = server.conns.len();
        let is_first = server.room.on_reset(now, share, connections);
        let until = server.room.blocked_until();
        let service = server.service;
        self.timers.set(until, Timer::Server(key));
        if is_first {
            let event = ServerEvent::NoRoom {
                connections,
                retry_in: until.since(now),
            };
            self.log_server_event(key, event);
        }
        self.place_waiting(now, service);
    }

    pub(super) fn start_connection(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key];
        let conn = self.conns.insert(Conn {
            server: key,
            state: ConnState::Opening,
            opened: now,
            used: false,
        });
        server.conns.push(conn);
        server.opening += 1;
        let address = server.backend.address;
        self.actions.push_back(Action::Open { conn, address });
    }

    /// Handles an opened connection.
    pub fn connected(&mut self, now: Timestamp, conn: ConnKey) {
        let Some(state) = self.conns.get_mut(conn) else {
            return;
        };
        let began = std::mem::replace(&mut state.opened, now);
        let server = &mut self.servers[state.server];
        let is_fresh = server.room.is_lowered();
        state.state = match is_fresh {
            true => ConnState::Fresh,
            false => ConnState::Idle {
                since: now,
                until: None,
            },
        };
        server.opening = server.opening.saturating_sub(1);
        server.on_connected();
        let key = state.server;
        self.observe_contact(now, key, began);
        self.on_server_runs(now, key, began);
        if is_fresh {
            self.timers.set(now + FRESH_TIME, Timer::Fresh(conn));
        } else if self.conns.contains_key(conn) {
            self.on_idle(now, conn, None);
        }
        self.confirm_ended_servers(now);
    }

    /// Uses a new connection that the server has not reset.
    pub(super) fn on_kept(&mut self, now: Timestamp, conn: ConnKey) {
        let state = self.conns.get(conn).map(|conn| conn.state);
        if state == Some(ConnState::Fresh) {
            self.on_idle(now, conn, None);
        }
    }

    /// Handles a connection that could not be opened.
    pub fn connect_failed(&mut self, now: Timestamp, conn: ConnKey) {
        let Some(state) = self.conns.get(conn) else {
            return;
        };
        let (server, opened) = (state.server, state.opened);
        self.forget_conn(conn);
        self.on_connect_failure(now, server, opened);
        self.on_server_refuses(now, server, opened);
        self.drop_retired(server);
    }

    fn on_connect_failure(&mut self, now: Timestamp, key: ServerKey, since: Timestamp) {
        let server = &mut self.servers[key];
        let service = server.service;
        let until = server.on_connect_failed(now, &self.settings);
        self.timers.set(until, Timer::Server(key));
        let failure = match now.since(since) < REFUSED_WITHIN {
            true => Failure::Refused,
            false => Failure::Unanswered,
        };
        self.observe_silence(now, key, since, failure);
        let retry_in = until.since(now);
        self.log_server_event(key, ServerEvent::Unreachable { retry_in });
        self.place_waiting(now, service);
    }

    /// Handles the end of a connection. `lost` states whether the call on it may have
    /// run.
    pub fn closed(&mut self, now: Timestamp, conn: ConnKey, lost: LostCall) {
        let Some(state) = self.conns.get(conn) else {
            return;
        };
        let (server, used, opened) = (state.server, state.used, state.opened);
        let checked = matches!(state.state, ConnState::Health(_));
        let opening = state.state == ConnState::Opening;
        let rejected = !opening && now.since(opened) < REJECTED_WITHIN;
        let busy = match state.state {
            ConnState::Busy(call) => Some(call),
            ConnState::Opening
            | ConnState::Fresh
            | ConnState::Idle { .. }
            | ConnState::Health(_) => None,
        };
        self.forget_conn(conn);
        let is_backend = self.servers.get(server).is_some_and(|s| self.is_backend(s));
        if checked {
            self.health_lost(now, server);
        }
        if let Some(call) = busy {
            let req = self.calls.get(call).map(|call| call.req);
            if lost == LostCall::MayHaveRun {
                self.observe_cut_call(now, call);
            }
            self.call_lost(now, call, lost);
            if let Some(req) = req {
                self.review_request(now, req);
            }
        } else if rejected && !used && !is_backend {
            self.on_connect_failure(now, server, opened);
        } else if !(rejected && !used && is_backend) {
            // Reconnect now, so that no request has to wait to find out whether the
            // server closed the connection for idleness or is gone.
            if self.is_known(server) {
                self.preconnect(now, server);
            }
        }
        // A lost call says more about the server, unless other connections are kept.
        let others_kept = || !self.servers[server].conns.is_empty();
        if rejected && is_backend && self.is_known(server) && (!used || others_kept()) {
            self.on_reset(now, server);
        }
        if checked {
            self.observe_failed_check(now, server);
        }
        self.drop_retired(server);
    }

    /// Handles the response of a call.
    pub fn replied(&mut self, now: Timestamp, conn: ConnKey, exchange: Exchange) {
        let Some(state) = self.conns.get_mut(conn) else {
            return;
        };
        let server = state.server;
        let call = match state.state {
            ConnState::Busy(call) => Some(call),
            ConnState::Health(sent) => {
                self.health_replied(now, conn, sent, &exchange);
                None
            }
            ConnState::Opening | ConnState::Fresh | ConnState::Idle { .. } => return,
        };
        if let Some(call) = call.and_then(|call| self.calls.get(call)) {
            self.observe_contact(now, server, call.sent);
        }
        if self.servers.contains_key(server) {
            let share = self.share(server);
            self.servers[server].room.on_answer(now, share);
        }
        let Some(state) = self.conns.get_mut(conn) else {
            return;
        };
        let is_peer = self
            .servers
            .get(server)
            .is_some_and(|state| self.services[state.service].is_helper_group);
        let limit = exchange.keep_alive.or(is_peer.then_some(PEER_IDLE_TIMEOUT));
        let until = limit.map(|limit| now + limit.saturating_sub(self.settings.idle_margin));
        state.state = ConnState::Idle { since: now, until };
        if exchange.closes {
            self.close_conn(conn);
        }
        if let Some(call) = call {
            self.call_replied(now, call, exchange.reply);
        }
        if self.conns.contains_key(conn) {
            self.on_idle(now, conn, until);
        } else if let Some(server) = self.servers.get(server) {
            self.place_waiting(now, server.service);
        }
        self.drop_retired(server);
        // After the response is recorded, which may clear its request.
        self.confirm_ended_servers(now);
    }

    /// Marks a connection as idle, unless it already carries another call.
    fn on_idle(&mut self, now: Timestamp, conn: ConnKey, until: Option<Timestamp>) {
        let state = &mut self.conns[conn];
        if matches!(state.state, ConnState::Busy(_) | ConnState::Health(_)) {
            return;
        }
        state.state = ConnState::Idle { since: now, until };
        let server = state.server;
        if !self.is_known(server) || !self.servers[server].access.is_open(now) {
            self.close_conn(conn);
            return;
        }
        if !self.servers[server].assigned {
            self.timers.set(
                now + self.settings.remote_idle_timeout,
                Timer::RemoteIdle(conn),
            );
        }
        self.check_health(now, server);
        self.place_waiting(now, self.servers[server].service);
    }

    /// Closes an idle connection to a server that is not assigned to this daemon.
    pub(super) fn on_remote_idle(&mut self, now: Timestamp, conn: ConnKey) {
        let idle = |state: &Conn| match state.state {
            ConnState::Idle { since, .. } => now.since(since) >= self.settings.remote_idle_timeout,
            ConnState::Opening | ConnState::Fresh | ConnState::Busy(_) | ConnState::Health(_) => {
                false
            }
        };
        let remote = |state: &Conn| !self.servers[state.server].assigned;
        if self
            .conns
            .get(conn)
            .is_some_and(|state| idle(state) && remote(state))
        {
            self.abort_conn(now, conn);
        }
    }

    /// Returns the most recently used idle connection of a server, so that surplus
    /// connections reach the server's idle timeout and are closed.
    pub(super) fn idle_conn(
        &self,
        now: Timestamp,
        key: ServerKey,
        priority: u32,
    ) -> Option<ConnKey> {
        let server = &self.servers[key];
        let helper = self.services[server.service].is_helper_group;
        if !helper && server.calls.len() >= self.window_for(now, key, priority) {
            return None;
        }
        self.newest_idle_conn(now, key)
    }

    pub(super) fn newest_idle_conn(&self, now: Timestamp, key: ServerKey) -> Option<ConnKey> {
        let idle = |conn: &ConnKey| match self.conns[*conn].state {
            ConnState::Idle { since, until } if until.is_none_or(|until| now < until) => {
                Some((since, *conn))
            }
            _ => None,
        };
        let newest = self.servers[key].conns.iter().filter_map(idle).max();
        newest.map(|(_, conn)| conn)
    }

    /// Closes a connection. No event follows.
    pub(super) fn close_conn(&mut self, conn: ConnKey) {
        if self.conns.contains_key(conn) {
            self.forget_conn(conn);
            self.actions.push_back(Action::Close { conn });
        }
    }

    /// Closes a connection that counts for a while, since the server may notice later. No
    /// event follows.
    pub(super) fn abort_conn(&mut self, now: Timestamp, conn: ConnKey) {
        let server = self.conns.get(conn).map(|state| state.server);
        if let Some(server) = server.and_then(|key| self.servers.get_mut(key)) {
            server.room.on_closed(now);
        }
        self.close_conn(conn);
    }

    fn forget_conn(&mut self, conn: ConnKey) {
        if let Some(state) = self.conns.remove(conn)
            && let Some(server) = self.servers.get_mut(state.server)
        {
            server.conns.retain(|other| *other != conn);
            if state.state == ConnState::Opening {
                server.opening = server.opening.saturating_sub(1);
            }
        }
    }

    /// Closes the idle connections of a server.
    pub(super) fn close_idle(&mut self, key: ServerKey) {
        for conn in self.servers[key].conns.clone() {
            if matches!(self.conns[conn].state, ConnState::Idle { .. }) {
                self.close_conn(conn);
            }
        }
    }

    /// Closes the connections to backend servers that should be open by now. Their attempts
    /// began during a partition and would block new ones until they fail.
    pub(super) fn close_unanswered(&mut self, now: Timestamp) {
        let unanswered = |conn: &Conn| {
            conn.state == ConnState::Opening && now.since(conn.opened) >= REFUSED_WITHIN
        };
        let conns = self.conns.iter().filter(|(_, conn)| unanswered(conn));
        let conns: Vec<_> = conns.map(|(key, _)| key).collect();
        for conn in conns {
            self.close_conn(conn);
        }
    }

    pub(super) fn is_known(&self, key: ServerKey) -> bool {
        let id = self.servers.get(key).map(|server| &server.backend.id);
        id.is_some_and(|id| self.servers_by_id.get(id) == Some(&key))
    }

    /// Stops using a server. Calls in progress may still be answered.
    pub(super) fn retire(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let (id, service) = (server.backend.id.clone(), server.service);
        if self.is_known(key) {
            self.servers_by_id.remove(&id);
        }
        let server = &self.servers[key];
        if let Some(restriction) = server.restriction(now) {
            self.departed.remember(&server.backend, restriction);
        }
        self.services[service].servers.retain(|other| *other != key);
        self.assign_servers(now, service);
        self.close_idle(key);
        self.drop_retired(key);
        self.place_waiting(now, service);
    }

    fn drop_retired(&mut self, key: ServerKey) {
        let idle = |server: &crate::server::Server| server.conns.is_empty();
        if self.servers.get(key).is_some_and(idle) && !self.is_known(key) {
            let Some(server) = self.servers.remove(key) else {
                return;
            };
            for process in [server.process, server.health.process] {
                if self.servers_by_process.get(&process) == Some(&key) {
                    self.servers_by_process.remove(&process);
                    self.limiter.remove_guard(process);
                }
            }
        }
    }

    /// Reconnects to a server, or retires it at the end of its grace period.
    pub(super) fn on_server_timer(&mut self, now: Timestamp, key: ServerKey) {
        if !self.is_known(key) {
            return;
        }
        self.finish_return(now, key);
        match self.servers[key].leaving_since {
            Some(since) if now.since(since) >= self.settings.leave_grace() => self.retire(now, key),
            Some(_) => {}
            None => {
                self.preconnect(now, key);
                self.place_waiting(now, self.servers[key].service);
            }
        }
    }
}
