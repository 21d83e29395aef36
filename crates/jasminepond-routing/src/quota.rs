//! Static division of a server's limits among daemons with `routing.mode =
//! "direct"`.

use jasminepond_types::{ConnectionLimit, Slots};

/// Default number of daemons that may act as the owner of the same server at one
/// time.
const OWNER_CANDIDATES: u32 = 7;

/// The share of a server's limits that one daemon may use without coordinating
/// with other daemons.
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
    /// Connections that the server accepts from all daemons in total.
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
    /// Returns the connections per daemon, at least one: with none, a daemon could
    /// not use the server at all. The sum over all daemons is at most the limit,
    /// unless there are more daemons than connections.
    pub fn connections(&self) -> u32 {
        (self.limit.get() / self.daemons.max(1)).max(1)
    }

    /// Returns the largest number of slots that one daemon uses. A server can have
    /// fewer slots than there are daemons, so slots are not divided: each daemon
    /// may use as many as it has connections, and the server sheds the excess.
    pub fn slots(&self, slots: Slots) -> Slots {
        Slots(slots.get().clamp(1, self.connections()))
    }
}
