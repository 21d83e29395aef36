//! Choice among servers of equal standing.
//!
//! Many daemons choose at the same moment, and most have no call in progress when they do.
//! What each knows of the servers is then the same or noise, and a rule that takes the lowest
//! cost sends the calls of all daemons to one server. Here the cost is multiplied by a random
//! factor that differs between daemons and servers and stays the same for a [`PERIOD`].
//!
//! The decisions have no clock and no sockets. Randomness is derived from the name of the
//! instance, so that a run can be repeated.

use std::time::Duration;

use jasminepond_types::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::stated_load::ServerLoad;

/// Time for which a daemon prefers the same servers. With a new choice for each call, each
/// of a daemon's calls may be the one that finds out about a pause of another server. The
/// bound is the time in which a server with twice its share may fill its queue.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Upper bound of the random factor. Below 2, so that an idle server always goes before an
/// equal one with a call in progress.
pub const SPREAD: f64 = 1.4;

/// Latency relative to the usual one up to which a response says nothing about its server.
/// Single requests that wait for a slot on equal servers take this long.
const EQUAL_LATENCY: f64 = 2.5;

/// Highest latency relative to the usual one that counts. With 20, the pauses of servers kept
/// calls away from them for seconds, at different servers for different lengths.
const MAX_SLOWNESS: f64 = 6.0;

/// Average slowness up to which servers count as equally fast. With 1.5, calls return to a
/// slow server half as often again as with 1.
const EQUAL_AVERAGE: f64 = 1.2;

/// Random choices of one daemon.
///
/// ```
/// use jasminepond_forward::{Balance, PERIOD, SPREAD};
/// use jasminepond_types::Timestamp;
///
/// let balance = Balance::new("gateway-1");
/// let now = Timestamp::from_millis(10);
/// let factor = balance.turn(now).factor("server-1");
/// assert!((1.0..SPREAD).contains(&factor));
/// assert_eq!(factor, Balance::new("gateway-1").turn(now).factor("server-1"));
/// assert_ne!(factor, balance.turn(now + PERIOD).factor("server-1"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Balance {
    seed: u64,
}

impl Balance {
    /// Creates the choices of the daemon on this instance.
    pub fn new(instance: &str) -> Self {
        let seed = xxh3_64(instance.as_bytes());
        Self { seed }
    }

    /// Choices that are in force at `now`. They change at different times on different
    /// daemons.
    pub fn turn(&self, now: Timestamp) -> Turn {
        let period = PERIOD.as_micros() as u64;
        let number = (now.as_micros() + self.seed % period) / period;
        let seed = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
        Turn { seed }
    }
}

/// Random choices of one daemon during one [`PERIOD`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    seed: u64,
}

impl Turn {
    /// Factor between 1 and [`SPREAD`] by which the cost of a server is multiplied.
    pub fn factor(self, server: &str) -> f64 {
        1.0 + (SPREAD - 1.0) * self.uniform(server.as_bytes())
    }

    /// Whether the servers of a service in the own zone are preferred, for the share
    /// `local_share` of all periods.
    pub fn prefers_zone(self, service: &str, local_share: f64) -> bool {
        self.uniform(service.as_bytes()) < local_share
    }

    fn uniform(self, of: &[u8]) -> f64 {
        // The upper 53 bits fit the mantissa.
        let bits = xxh3_64_with_seed(of, self.seed) >> 11;
        bits as f64 / (1_u64 << 53) as f64
    }
}

/// What a response with `ratio` times the usual latency says about the slowness of its
/// server. Differences between single requests are left out here and not only in the average:
/// the average of a slow server would be back among those of equal ones too early.
///
/// ```
/// use jasminepond_forward::slowness_sample;
///
/// assert_eq!(slowness_sample(0.7), 1.0);
/// assert_eq!(slowness_sample(2.0), 1.0);
/// assert_eq!(slowness_sample(4.0), 4.0);
/// assert_eq!(slowness_sample(50.0), 6.0);
/// ```
pub fn slowness_sample(ratio: f64) -> f64 {
    match ratio <= EQUAL_LATENCY {
        true => 1.0,
        false => ratio.min(MAX_SLOWNESS),
    }
}

/// Cost factor of a server whose samples average to `slowness`. It rises from 1 without a
/// step, which would move all calls at once.
///
/// ```
/// use jasminepond_forward::slowness_cost;
///
/// assert_eq!(slowness_cost(1.1), 1.0);
/// assert_eq!(slowness_cost(3.0), 2.5);
/// ```
pub fn slowness_cost(slowness: f64) -> f64 {
    (slowness / EQUAL_AVERAGE).max(1.0)
}

/// Daemons and servers of a service in one availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneCount {
    /// Daemons that send to the service.
    pub daemons: u32,
    /// Servers of the service.
    pub servers: u32,
}

/// Share of the calls for which the own zone is preferred, such that no server gets more
/// than `max_imbalance` times the mean while the demand per daemon of one zone is up to
/// `skew` times the mean. The other calls go to the servers of all zones alike.
///
/// ```
/// use jasminepond_forward::{ZoneCount, local_share};
///
/// let zone = |daemons, servers| ZoneCount { daemons, servers };
/// // The helpers of a group have equal demand: records stay in the zone.
/// assert_eq!(local_share(&[zone(1, 1), zone(1, 1), zone(1, 1)], 1.25, 1.25), 1.0);
/// // Two zones have fewer servers than their share of the daemons.
/// let share = local_share(&[zone(25, 3), zone(25, 2), zone(25, 2)], 1.5, 1.25);
/// assert!((0.3..0.4).contains(&share));
/// ```
pub fn local_share(zones: &[ZoneCount], skew: f64, max_imbalance: f64) -> f64 {
    let daemons: u32 = zones.iter().map(|zone| zone.daemons).sum();
    let servers: u32 = zones.iter().map(|zone| zone.servers).sum();
    if daemons == 0 {
        return 1.0;
    }
    // Load of the servers of a zone relative to the mean if all its calls stay in it.
    let load = |zone: &ZoneCount| {
        let demand = skew * f64::from(zone.daemons) / f64::from(daemons);
        demand.min(1.0) * f64::from(servers) / f64::from(zone.servers)
    };
    let with_servers = zones.iter().filter(|zone| zone.servers > 0);
    let highest = with_servers.map(load).fold(0.0, f64::max);
    let allowed = (max_imbalance - 1.0).max(0.0) / (highest - 1.0).max(f64::MIN_POSITIVE);
    allowed.min(1.0)
}

/// Time in which the influence of a stated load halves.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(100);

/// Highest cost factor due to a stated load. A server that states absurd values gets fewer
/// calls until they have faded, and is then tried again.
const MAX_LOAD_COST: f64 = 4.0;

/// Highest accepted duration of work relative to the usual one.
const MAX_WORK: f64 = 3.0;

/// Load that a server has stated, and when.
///
/// ```
/// use jasminepond_forward::{HeardLoad, ServerLoad};
/// use jasminepond_types::Timestamp;
/// use std::time::Duration;
///
/// let now = Timestamp::from_millis(1_000);
/// let load: ServerLoad = "4,2,4,100".parse().unwrap();
/// // Two of the six requests are of this daemon.
/// let heard = HeardLoad::new(now, load, 2);
/// let fresh = heard.cost_factor(now, 2);
/// assert!(heard.cost_factor(now, 3) > fresh, "one more call was sent");
/// assert!(heard.cost_factor(now, 0) < fresh, "both were answered");
/// let later = now + Duration::from_secs(5);
/// assert!(heard.cost_factor(later, 0) < 1.01, "the statement has expired");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardLoad {
    load: ServerLoad,
    /// Requests of others.
    others: u32,
    at: Timestamp,
}

impl HeardLoad {
    /// A load that is received at `now`, while `own_calls` calls of this daemon are in
    /// progress on the server, which the load contains.
    pub fn new(now: Timestamp, load: ServerLoad, own_calls: usize) -> Self {
        let all = load.running.saturating_add(load.waiting);
        let own = u32::try_from(own_calls).unwrap_or(u32::MAX);
        Self {
            load,
            others: all.saturating_sub(own),
            at: now,
        }
    }

    /// The load as stated.
    pub fn load(&self) -> ServerLoad {
        self.load
    }

    /// Time since it was received.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.at)
    }

    /// Factor by which one more call costs more than on a server that states nothing, while
    /// `own_calls` calls of this daemon are in progress. At least 1: a server does not attract
    /// calls by stating that it is idle or fast.
    pub fn cost_factor(&self, now: Timestamp, own_calls: usize) -> f64 {
        let halves = self.age(now).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        let fade = 0.5_f64.powf(halves);
        let slots = f64::from(self.load.slots);
        let busy = f64::from(self.others) + own_calls as f64;
        // Busy slots do not count while others are free: a slow server would get the calls.
        let queued = (busy + 1.0 - slots).max(0.0) / slots;
        let work = (f64::from(self.load.work_percent) / 100.0).clamp(1.0, MAX_WORK);
        let factor = ((1.0 + queued) * work).min(MAX_LOAD_COST);
        1.0 + (factor - 1.0) * fade
    }
}
