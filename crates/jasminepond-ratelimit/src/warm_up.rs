//! Limits of servers that are slow for a time after their start or after a time without
//! requests.
//!
//! Unlike a limit that a server states, this one must hold for daemons that have not heard of
//! it. A process is therefore limited until a recent check has found it warm.

use std::time::Duration;

use jasminepond_types::Timestamp;

use crate::{RateLimit, belief::Belief};

/// Time for which a process is considered warm after the check that found it warm was sent.
/// Daemons that are not told that it has become cold keep sending for at most this long.
pub const WARM_LEASE: Duration = Duration::from_secs(5);

/// Age of a check from which it is repeated if the process is in demand. A server is checked
/// at most this often, and two lost checks do not end the lease.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time before a new bucket grants its first permit, and for which a daemon must have heard
/// others to grant the whole rate: about the time until all have noticed a change.
pub(crate) const HOLD_OFF: Duration = Duration::from_millis(1_500);

/// Permits of this time may be granted at once.
pub(crate) const BURST: Duration = Duration::from_millis(50);

/// Time for which a permit can be used.
pub(crate) const LIFETIME: Duration = Duration::from_millis(100);

/// Shortest time between two requests for a newer statement.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Factor of the permits that can be used in one second: those granted in it, in the lifetime
/// before, in the 150 ms after which an answer counts as lost, and the burst.
const SECOND_FACTOR: f64 = 1.0 + 0.1 + 0.15 + 0.05;

/// Buckets at a time, in units of the rate of one: a coordinator, the one before it, which no
/// longer hears the others and so grants a third, and a backup, which grants a third.
const BUCKETS: f64 = 1.0 + 2.0 / 3.0;

/// Requests in one second that do not depend on the rate: the first permit of each of three
/// buckets, and one check of each of two coordinators.
const FIXED_REQUESTS: f64 = 5.0;

/// Limit of a process while it is cold.
///
/// ```
/// use jasminepond_ratelimit::WarmUpLimit;
///
/// let limit = WarmUpLimit::new(20.0, 1.5, 5.0).unwrap();
/// assert_eq!(limit.stated().per_second(), 20.0);
/// assert!((limit.granted().per_second() - 13.85).abs() < 0.01);
/// assert_eq!(WarmUpLimit::new(0.0, 1.5, 5.0), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpLimit {
    stated: RateLimit,
    granted: RateLimit,
}

impl WarmUpLimit {
    /// The limit of a process that takes `per_second` requests while it is cold, and must not
    /// receive more than `excess` times that and `slack` more in any one second. `None` if
    /// the rate is not positive.
    pub fn new(per_second: f64, excess: f64, slack: f64) -> Option<Self> {
        let room = per_second * excess + slack - FIXED_REQUESTS;
        let granted = (room / (SECOND_FACTOR * BUCKETS)).clamp(0.0, per_second.max(0.0));
        Some(Self {
            stated: RateLimit::new(per_second).filter(|_| per_second > 0.0)?,
            granted: RateLimit::new(granted)?,
        })
    }

    /// The rate that the service specifies.
    pub fn stated(self) -> RateLimit {
        self.stated
    }

    /// The rate at which one coordinator grants permits.
    pub fn granted(self) -> RateLimit {
        self.granted
    }
}

/// How a process that can be cold is limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Guard {
    /// Its limit while it is cold.
    pub limit: WarmUpLimit,
    /// The process is cold until then according to its entry.
    pub cold_until: Timestamp,
    /// Whether it can be checked. If it cannot, its entry alone decides.
    pub checked: bool,
}

impl Guard {
    /// Limit of the process, or `None` while it is known to be warm.
    pub(crate) fn limit(&self, now: Timestamp, belief: &Belief) -> Option<RateLimit> {
        let known_warm = match self.checked {
            true => self.is_leased(now, belief),
            false => true,
        };
        (now < self.cold_until || !known_warm).then_some(self.limit.stated)
    }

    fn is_leased(&self, now: Timestamp, belief: &Belief) -> bool {
        let told = belief.at > Timestamp::ZERO;
        told && belief.limit.is_none() && now.since(belief.at) < WARM_LEASE
    }

    /// Whether a newer statement about the process is of use.
    pub(crate) fn wants_check(&self, now: Timestamp, belief: &Belief) -> bool {
        let recent = belief.at > Timestamp::ZERO && now.since(belief.at) < CHECK_INTERVAL;
        self.checked && now >= self.cold_until && !recent
    }
}

/// What a daemon presumes of a process that can be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// A recent check has found it warm, or its entry says so and it cannot be checked.
    Warm,
    /// Its entry or a check says that it is cold.
    Cold,
    /// There was no recent check. It is limited as if it were cold.
    Unknown,
}

impl Warmth {
    /// Name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Unknown => "unknown",
        }
    }
}
