//! Connections to one server and their state.

use jasminepond_types::Timestamp;

use crate::{ConnId, WorkId};

/// A request that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) work: WorkId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Timestamp,
    pub(crate) sent_at: Timestamp,
    /// Time at which the connection counts as unresponsive.
    pub(crate) timeout_at: Timestamp,
    /// Whether the request took the last free slot.
    pub(crate) saturated: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum State {
    Idle,
    /// Idle, but must pass a check before further use.
    Suspect,
    Checking {
        until: Timestamp,
    },
    Busy(Running),
    /// The request was cancelled; its response has not been drained.
    Abandoned {
        until: Timestamp,
        deadline: Timestamp,
    },
    /// To be closed by the caller; holds the request that ran on it.
    Closing(Option<Running>),
    /// To be closed by the caller before the response of a cancelled request was
    /// drained; the server may still be running that request.
    ClosingAbandoned {
        deadline: Timestamp,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    pub(crate) state: State,
    /// Time of the last request; determines when a surplus connection is closed.
    pub(crate) used_at: Timestamp,
    /// Time of the last response of any kind; determines when an idle connection
    /// is checked.
    pub(crate) seen_at: Timestamp,
}

impl Conn {
    pub(crate) fn set_idle(&mut self, now: Timestamp) {
        self.state = State::Idle;
        self.used_at = now;
        self.seen_at = now;
    }
}

/// All connections and connection attempts that count against the quota.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    list: Vec<Conn>,
    connecting: u32,
}

impl Connections {
    pub(crate) fn total(&self) -> usize {
        self.list.len() + self.connecting as usize
    }

    /// Whether no connection is established.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn connecting(&self) -> u32 {
        self.connecting
    }

    pub(crate) fn connect_started(&mut self) {
        self.connecting += 1;
    }

    pub(crate) fn connect_ended(&mut self) {
        self.connecting = self.connecting.saturating_sub(1);
    }

    pub(crate) fn add(&mut self, id: ConnId, state: State, now: Timestamp) {
        self.list.push(Conn {
            id,
            state,
            used_at: now,
            seen_at: now,
        });
    }

    pub(crate) fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.list.iter_mut().find(|conn| conn.id == id)
    }

    pub(crate) fn remove(&mut self, id: ConnId) -> Option<Conn> {
        let at = self.list.iter().position(|conn| conn.id == id)?;
        Some(self.list.swap_remove(at))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Conn> {
        self.list.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Conn> {
        self.list.iter_mut()
    }

    /// Number of requests that the server may be running, including cancelled
    /// ones.
    pub(crate) fn occupied(&self) -> u32 {
        let holds_slot = |conn: &&Conn| {
            matches!(
                conn.state,
                State::Busy(_)
                    | State::Abandoned { .. }
                    | State::Closing(Some(_))
                    | State::ClosingAbandoned { .. }
            )
        };
        self.list.iter().filter(holds_slot).count() as u32
    }

    /// Number of connections that are idle or become idle without further action.
    pub(crate) fn available_soon(&self) -> u32 {
        let available = |conn: &&Conn| {
            matches!(
                conn.state,
                State::Idle | State::Suspect | State::Checking { .. }
            )
        };
        self.connecting + self.list.iter().filter(available).count() as u32
    }

    /// The most recently used idle connection. Preferring it lets surplus
    /// connections reach their idle timeout.
    pub(crate) fn latest_idle(&mut self) -> Option<&mut Conn> {
        self.list
            .iter_mut()
            .filter(|conn| matches!(conn.state, State::Idle))
            .max_by_key(|conn| conn.used_at)
    }

    pub(crate) fn has_idle(&self) -> bool {
        self.list
            .iter()
            .any(|conn| matches!(conn.state, State::Idle))
    }

    pub(crate) fn is_running(&self, work: WorkId) -> bool {
        self.list.iter().any(|conn| match conn.state {
            State::Busy(running) | State::Closing(Some(running)) => running.work == work,
            _ => false,
        })
    }

    /// Detaches the work from its connection, whose response must be drained by
    /// `until`. Returns the connection.
    pub(crate) fn abandon(&mut self, work: WorkId, until: Timestamp) -> Option<ConnId> {
        for conn in &mut self.list {
            let (running, closing) = match conn.state {
                State::Busy(running) => (running, false),
                State::Closing(Some(running)) => (running, true),
                _ => continue,
            };
            if running.work != work {
                continue;
            }
            let deadline = running.deadline;
            conn.state = if closing {
                State::ClosingAbandoned { deadline }
            } else {
                State::Abandoned { until, deadline }
            };
            return Some(conn.id);
        }
        None
    }

    /// Marks idle connections as suspect: they share the network path and the
    /// server with an unresponsive connection and may be unresponsive too.
    pub(crate) fn mark_idle_suspect(&mut self) {
        for conn in &mut self.list {
            if matches!(conn.state, State::Idle) {
                conn.state = State::Suspect;
            }
        }
    }
}
