//! Decisions about the connections of this daemon to one server.
//!
//! A server accepts a limited number of connections from all daemons together, fewer while its
//! queue is long, and resets those above. Each daemon has a share of the limit. A reset says
//! that there is less room than the shares assume.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::Timestamp;

/// Time after a reset in which no connection is opened. Doubles with each further reset: many
/// daemons may learn at the same moment that there is no room.
const MIN_BLOCK: Duration = Duration::from_millis(500);

/// Longest such time.
const MAX_BLOCK: Duration = Duration::from_secs(8);

/// Factor of the limit after a reset.
const DECREASE: f64 = 0.5;

/// Increase of the limit per second after the block.
const INCREASE_PER_SECOND: f64 = 1.0;

/// Time for which a connection that was closed during a call, or by a guest, still counts. A
/// server that pauses for 200 ms notices the close afterwards.
const LINGER: Duration = Duration::from_millis(300);

/// Time after a server was assigned to this daemon instead of another in which it uses half of
/// its share. The connections of the other daemon may still count.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time after which a new connection is used if the server has reset others: until then it
/// may be reset too, and the request on it may have run. A round trip between zones and the
/// server's work on a new connection.
pub(crate) const FRESH_TIME: Duration = Duration::from_millis(10);

/// Maximum number of connections to one server that are opened concurrently while requests
/// wait. Accepting a connection occupies a slot of the server for some milliseconds.
const MAX_OPENING: u32 = 2;

/// What a daemon may hold at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Share {
    /// This many connections.
    Own(usize),
    /// One connection, for a server that is assigned to others.
    Guest,
    /// None: others use all that the server accepts.
    Nothing,
}

impl Share {
    pub(crate) fn limit(self) -> usize {
        match self {
            Self::Own(limit) => limit,
            Self::Guest => 1,
            Self::Nothing => 0,
        }
    }
}

/// Decision on whether to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Opening {
    /// Open one.
    Open,
    /// One is being opened, or enough for those that wait.
    Pending,
    /// The share of this daemon is used up, or the server has no room.
    Refused,
}

/// Connections to a server at the moment of a decision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    /// Connections, with those that are being opened.
    pub(crate) all: usize,
    /// Connections that are being opened.
    pub(crate) opening: u32,
    /// Whether requests wait for a connection.
    pub(crate) wanted: bool,
}

/// Room for connections of this daemon at a server.
#[derive(Debug, Default)]
pub(crate) struct Room {
    /// Limit after the last reset, if it has not grown to the share again.
    lowered: Option<f64>,
    /// No connection is opened before this time. The limit grows from then on.
    blocked_until: Timestamp,
    /// Resets since a connection was last kept.
    resets: u32,
    /// Until when connections that this daemon has closed count.
    lingering: VecDeque<Timestamp>,
    /// When the server was assigned to this daemon instead of another.
    assigned_at: Option<Timestamp>,
}

impl Room {
    /// Records that the server, which other daemons have used, is assigned to this daemon.
    pub(crate) fn on_assigned(&mut self, now: Timestamp) {
        self.assigned_at = Some(now);
    }

    /// Maximum number of connections.
    pub(crate) fn limit(&self, now: Timestamp, share: Share) -> usize {
        let share = match share {
            Share::Own(limit) if self.is_settling(now) => (limit / 2).max(1),
            share => share.limit(),
        };
        match self.lowered {
            Some(lowered) => {
                let grown = now.since(self.blocked_until).as_secs_f64() * INCREASE_PER_SECOND;
                share.min((lowered + grown).max(1.0) as usize)
            }
            None => share,
        }
    }

    fn is_settling(&self, now: Timestamp) -> bool {
        self.assigned_at
            .is_some_and(|at| now.since(at) < SETTLE_TIME)
    }

    /// Whether the server has reset connections and the limit has not grown to the share again.
    pub(crate) fn is_lowered(&self) -> bool {
        self.lowered.is_some()
    }

    /// Whether the server accepts no further connection at present.
    pub(crate) fn is_blocked(&self, now: Timestamp) -> bool {
        now < self.blocked_until
    }

    /// When a connection may be opened again.
    pub(crate) fn blocked_until(&self) -> Timestamp {
        self.blocked_until
    }

    /// Decides whether to open a connection.
    pub(crate) fn opening(&mut self, now: Timestamp, share: Share, held: Held) -> Opening {
        while self.lingering.front().is_some_and(|until| *until <= now) {
            self.lingering.pop_front();
        }
        // Without any connection, a daemon to which the server is assigned could send nothing.
        let lingering = match share {
            Share::Own(_) if held.all == 0 => 0,
            _ => self.lingering.len(),
        };
        let counted = held.all + lingering;
        if self.is_blocked(now) || counted >= self.limit(now, share) {
            return Opening::Refused;
        }
        // After a reset, one connection tells whether there is room.
        let concurrent = match held.wanted && self.lowered.is_none() {
            true => MAX_OPENING,
            false => 1,
        };
        match held.opening < concurrent {
            true => Opening::Open,
            false => Opening::Pending,
        }
    }

    /// Records that the server reset a connection just after it was opened, while the daemon
    /// holds `open` others. Returns whether it is the first reset of a series.
    pub(crate) fn on_reset(&mut self, now: Timestamp, share: Share, open: usize) -> bool {
        let limit = self.limit(now, share).min(open + 1);
        self.lowered = Some(limit as f64 * DECREASE);
        let block = MIN_BLOCK * 2_u32.pow(self.resets.min(6));
        self.blocked_until = now + block.min(MAX_BLOCK);
        self.resets += 1;
        self.resets == 1
    }

    /// Records that the server answered on a connection.
    pub(crate) fn on_answer(&mut self, now: Timestamp, share: Share) {
        if self.lowered.is_none() || self.is_blocked(now) {
            return;
        }
        self.resets = 0;
        if self.limit(now, share) >= share.limit() {
            self.lowered = None;
        }
    }

    /// Records that this daemon closed a connection that counts for a while.
    pub(crate) fn on_closed(&mut self, now: Timestamp) {
        self.lingering.push_back(now + LINGER);
    }
}

/// Number of daemons that may hold one connection each to a server that is assigned to
/// others: what `accepted` connections leave beside `holders` with `share` each. Half of one
/// more share is left for a daemon that becomes or ceases to be a holder, which uses half of
/// its share at first, unless there are fewer than `wanted` guests otherwise.
pub(crate) fn guests(accepted: usize, holders: usize, share: usize, wanted: usize) -> usize {
    let spare = accepted.saturating_sub(holders * share);
    let reserved = spare.saturating_sub(share.div_ceil(2));
    reserved.max(wanted.min(spare))
}

/// Whether a daemon is one of the `guests` of a server, by its rank among all `daemons`. The
/// `position` of a server among those of its service gives each server other guests.
pub(crate) fn is_guest(
    rank: usize,
    daemons: usize,
    guests: usize,
    seed: u64,
    position: usize,
) -> bool {
    let daemons = daemons.max(1);
    let first = (seed % daemons as u64) as usize + position * guests;
    (rank + daemons - first % daemons) % daemons < guests
}
