//! Static division of a server's limits in `routing.mode = "direct"`.

use jasminepond_types::{ConnectionLimit, Slots};

/// Daemons that may consider themselves the owner of one server, by default.
const OWNER_CANDIDATES: u32 = 7;

/// The part of a server's limits that one daemon may use without coordination.
///
/// ```
/// use jasminepond_routing::DirectQuota;
/// use jasminepond_types::{ConnectionLimit, Slots};
///
/// let quota = DirectQuota { limit: ConnectionLimit(25), ..Default::default() };
/// assert_eq!(quota.connections(), 3);
/// assert_eq!(quota.slots(Slots(2)), Slots(2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectQuota {
    /// Connections that the server accepts from all daemons together.
    pub limit: ConnectionLimit,
    /// Daemons that may connect to the server at the same time.
    pub daemons: u32,
}

impl Default for DirectQuota {
    fn default() -> Self {
        Self {
            limit: ConnectionLimit(25),
            daemons: OWNER_CANDIDATES,
        }
    }
}

impl DirectQuota {
    /// Connections per daemon, at least one: with none, a daemon could not use
    /// the server at all. Quotas add up to at most the limit unless there are
    /// more daemons than connections.
    pub fn connections(&self) -> u32 {
        (self.limit.get() / self.daemons.max(1)).max(1)
    }

    /// Slots that one daemon uses at most. Slots cannot be divided among more
    /// daemons than slots, so every daemon may use them all and the server
    /// sheds the excess.
    pub fn slots(&self, slots: Slots) -> Slots {
        Slots(slots.get().clamp(1, self.connections()))
    }
}
