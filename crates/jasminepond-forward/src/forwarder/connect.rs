//! Connections to backend servers.

use std::time::Duration;

use jasminepond_types::Timestamp;

use super::{Conn, ConnState, Forwarder, delegate::HELPER_CONNECTIONS};
use crate::{
    message::{Action, ConnKey, Exchange, LostCall, ServerEvent},
    server::{Reach, ServerKey},
    service::ServiceKey,
    timers::Timer,
};

/// A connection that ends unused within this time of its opening was rejected:
/// the server has as many connections as it accepts. One round trip between
/// zones and the server's work on a new connection, with room.
const REJECTED_WITHIN: Duration = Duration::from_millis(50);

/// Connections to one server that are opened at the same time. A new connection
/// holds a slot of the server for a moment.
const MAX_OPENING: u32 = 2;

impl Forwarder {
    /// Opens a first connection to a server, so that a request need not wait for it.
    /// Servers of a service that no route leads to yet are left alone: they start
    /// together before a repartition, and nothing tells which daemons will use them.
    pub(super) fn warm(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let routed = self.services[server.service].routed;
        let wanted = routed
            && server.near
            && server.leaving_since.is_none()
            && !server.displaced
            && server.quiet_for(now).is_zero();
        if wanted && server.conns.is_empty() && self.cluster.is_some() {
            self.open(now, key);
        }
    }

    /// Connections that this daemon may have to a server.
    fn connection_limit(&self, key: ServerKey) -> usize {
        let server = &self.servers[key];
        if self.services[server.service].helpers {
            return HELPER_CONNECTIONS;
        }
        let share = self.connection_share(server.service);
        if server.near {
            (share.floor().max(1.0) as usize).min(server.window_size(&self.settings))
        } else {
            1
        }
    }

    /// Chooses the servers of a service to which this daemon keeps connections: all
    /// of them, unless the daemons are more than the connections of a server. Then
    /// daemons of successive ranks take successive servers, so that each server
    /// gets the same number of daemons.
    pub(super) fn divide(&mut self, service: ServiceKey) {
        let (ordered, own) = self.own_servers(service);
        for (at, server) in ordered.into_iter().enumerate() {
            let near = at < own;
            self.servers[server].near = near;
            if !near {
                self.close_idle(server);
            }
        }
    }

    /// Opens a connection if the limits allow it.
    pub(super) fn open(&mut self, now: Timestamp, key: ServerKey) {
        let limit = self.connection_limit(key);
        let server = &mut self.servers[key];
        if let Reach::Down { until } = server.reach
            && now < until
        {
            return;
        }
        if server.conns.len() >= limit || server.opening >= MAX_OPENING {
            return;
        }
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

    /// A connection is open.
    pub fn connected(&mut self, now: Timestamp, conn: ConnKey) {
        let Some(state) = self.conns.get_mut(conn) else {
            return;
        };
        state.opened = now;
        let server = &mut self.servers[state.server];
        server.opening = server.opening.saturating_sub(1);
        server.reached();
        self.now_idle(now, conn, None);
    }

    /// A connection could not be opened.
    pub fn connect_failed(&mut self, now: Timestamp, conn: ConnKey) {
        let Some(state) = self.conns.get(conn) else {
            return;
        };
        let server = state.server;
        self.forget_conn(conn);
        self.unreachable(now, server);
        self.drop_retired(server);
    }

    fn unreachable(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key];
        let service = server.service;
        let until = server.unreached(now, &self.settings);
        self.timers.set(until, Timer::Server(key));
        let retry_in = until.since(now);
        self.log_server_event(key, ServerEvent::Unreachable { retry_in });
        self.place_waiting(now, service);
    }

    /// A connection has ended. `lost` says how far the call came that ran on it.
    pub fn closed(&mut self, now: Timestamp, conn: ConnKey, lost: LostCall) {
        let Some(state) = self.conns.get(conn) else {
            return;
        };
        let (server, used) = (state.server, state.used);
        let rejected = !used && now.since(state.opened) < REJECTED_WITHIN;
        let busy = match state.state {
            ConnState::Busy(call) => Some(call),
            ConnState::Opening | ConnState::Idle { .. } => None,
        };
        self.forget_conn(conn);
        if let Some(call) = busy {
            self.call_lost(now, call, lost);
        } else if rejected {
            self.unreachable(now, server);
        } else {
            // A new connection shows whether the server has only reached its idle
            // limit or has gone, before a request has to wait for it.
            if self.is_known(server) {
                self.warm(now, server);
            }
        }
        self.drop_retired(server);
    }

    /// A call has its response.
    pub fn replied(&mut self, now: Timestamp, conn: ConnKey, exchange: Exchange) {
        let Some(state) = self.conns.get_mut(conn) else {
            return;
        };
        let ConnState::Busy(call) = state.state else {
            return;
        };
        let server = state.server;
        let limit = exchange.keep_alive;
        let until = limit.map(|limit| now + limit.saturating_sub(self.settings.idle_margin));
        state.state = ConnState::Idle { since: now, until };
        if exchange.closes {
            self.close_conn(conn);
        }
        self.call_replied(now, call, exchange.reply);
        if self.conns.contains_key(conn) {
            self.now_idle(now, conn, until);
        } else if let Some(server) = self.servers.get(server) {
            self.place_waiting(now, server.service);
        }
        self.drop_retired(server);
    }

    /// A connection can take a call, unless it already got one.
    fn now_idle(&mut self, now: Timestamp, conn: ConnKey, until: Option<Timestamp>) {
        let state = &mut self.conns[conn];
        if matches!(state.state, ConnState::Busy(_)) {
            return;
        }
        state.state = ConnState::Idle { since: now, until };
        let server = state.server;
        if !self.is_known(server) {
            self.close_conn(conn);
            return;
        }
        if !self.servers[server].near {
            self.timers
                .set(now + self.settings.remote_idle_timeout, Timer::Remote(conn));
        }
        self.place_waiting(now, self.servers[server].service);
    }

    /// A connection beyond this daemon's own may be idle for too long.
    pub(super) fn on_remote_idle(&mut self, now: Timestamp, conn: ConnKey) {
        let idle = |state: &Conn| match state.state {
            ConnState::Idle { since, .. } => now.since(since) >= self.settings.remote_idle_timeout,
            ConnState::Opening | ConnState::Busy(_) => false,
        };
        let remote = |state: &Conn| !self.servers[state.server].near;
        if self
            .conns
            .get(conn)
            .is_some_and(|state| idle(state) && remote(state))
        {
            self.close_conn(conn);
        }
    }

    /// The idle connection of a server that was used last: the others may then
    /// reach the server's idle limit and be closed.
    pub(super) fn idle_conn(&self, now: Timestamp, key: ServerKey) -> Option<ConnKey> {
        let server = &self.servers[key];
        let helper = self.services[server.service].helpers;
        if !helper && server.calls.len() >= server.window_size(&self.settings) {
            return None;
        }
        let idle = |conn: &ConnKey| match self.conns[*conn].state {
            ConnState::Idle { since, until } if until.is_none_or(|until| now < until) => {
                Some((since, *conn))
            }
            _ => None,
        };
        let newest = self.servers[key].conns.iter().filter_map(idle).max();
        newest.map(|(_, conn)| conn)
    }

    /// Closes a connection; no event of it follows.
    pub(super) fn close_conn(&mut self, conn: ConnKey) {
        if self.conns.contains_key(conn) {
            self.forget_conn(conn);
            self.actions.push_back(Action::Close { conn });
        }
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

    /// Closes the connections of a server that carry no call.
    pub(super) fn close_idle(&mut self, key: ServerKey) {
        for conn in self.servers[key].conns.clone() {
            if matches!(self.conns[conn].state, ConnState::Idle { .. }) {
                self.close_conn(conn);
            }
        }
    }

    fn is_known(&self, key: ServerKey) -> bool {
        let id = self.servers.get(key).map(|server| &server.backend.id);
        id.is_some_and(|id| self.servers_by_id.get(id) == Some(&key))
    }

    /// Takes a server out of use. Its calls may still be answered.
    pub(super) fn retire(&mut self, now: Timestamp, key: ServerKey) {
        let server = &self.servers[key];
        let (id, service) = (server.backend.id.clone(), server.service);
        if self.is_known(key) {
            self.servers_by_id.remove(&id);
        }
        let server = &self.servers[key];
        if let Some(wish) = server.wish(now) {
            self.departed.remember(&server.backend, wish);
        }
        self.services[service].servers.retain(|other| *other != key);
        self.divide(service);
        self.close_idle(key);
        self.drop_retired(key);
        self.place_waiting(now, service);
    }

    fn drop_retired(&mut self, key: ServerKey) {
        let idle = |server: &crate::server::Server| server.conns.is_empty();
        if self.servers.get(key).is_some_and(idle) && !self.is_known(key) {
            self.servers.remove(key);
        }
    }

    /// A server is due to be tried again, or its grace has ended.
    pub(super) fn on_server_timer(&mut self, now: Timestamp, key: ServerKey) {
        if !self.is_known(key) {
            return;
        }
        match self.servers[key].leaving_since {
            Some(since) if now.since(since) >= self.settings.leave_grace() => self.retire(now, key),
            Some(_) => {}
            None => self.warm(now, key),
        }
    }
}
