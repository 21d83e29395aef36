//! The connections to one server and what each is used for.

use jasminepond_types::Timestamp;

use crate::{ConnId, WorkId};

/// A request that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) work: WorkId,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Timestamp,
    pub(crate) sent_at: Timestamp,
    /// When the connection counts as unresponsive.
    pub(crate) give_up: Timestamp,
    /// Whether all slots were in use when the request was sent.
    pub(crate) saturated: bool,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum State {
    Idle,
    /// Idle, but must answer a check before it is used.
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
    /// To be closed by the caller; holds the request that was on it.
    Closing(Option<Running>),
    /// To be closed by the caller before the response of a cancelled request was
    /// drained: the server may still work on it.
    ClosingAbandoned {
        deadline: Timestamp,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    pub(crate) state: State,
    /// Last request, for closing surplus connections.
    pub(crate) used_at: Timestamp,
    /// Last response of any kind, for checking idle connections.
    pub(crate) seen_at: Timestamp,
}

impl Conn {
    pub(crate) fn now_idle(&mut self, now: Timestamp) {
        self.state = State::Idle;
        self.used_at = now;
        self.seen_at = now;
    }
}

/// All connections that count against the quota, and attempts to open one.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    list: Vec<Conn>,
    opening: u32,
}

impl Connections {
    pub(crate) fn total(&self) -> usize {
        self.list.len() + self.opening as usize
    }

    /// Whether no connection is established.
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub(crate) fn opening(&self) -> u32 {
        self.opening
    }

    pub(crate) fn open(&mut self) {
        self.opening += 1;
    }

    pub(crate) fn open_ended(&mut self) {
        self.opening = self.opening.saturating_sub(1);
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

    /// Requests that the server may be working on, cancelled ones included.
    pub(crate) fn in_use(&self) -> u32 {
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

    /// Connections that take a request soon without further action.
    pub(crate) fn coming(&self) -> u32 {
        let coming = |conn: &&Conn| {
            matches!(
                conn.state,
                State::Idle | State::Suspect | State::Checking { .. }
            )
        };
        self.opening + self.list.iter().filter(coming).count() as u32
    }

    /// The idle connection used last, so that surplus ones stay idle and close.
    pub(crate) fn take_idle(&mut self) -> Option<&mut Conn> {
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

    pub(crate) fn running(&self, work: WorkId) -> bool {
        self.list.iter().any(|conn| match conn.state {
            State::Busy(running) | State::Closing(Some(running)) => running.work == work,
            _ => false,
        })
    }

    /// Takes the work off its connection, which must drain until `until`. Returns
    /// the connection.
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

    /// Marks idle connections as suspect: one that shares its path or server
    /// with an unresponsive connection may be unresponsive too.
    pub(crate) fn suspect_idle(&mut self) {
        for conn in &mut self.list {
            if matches!(conn.state, State::Idle) {
                conn.state = State::Suspect;
            }
        }
    }
}
