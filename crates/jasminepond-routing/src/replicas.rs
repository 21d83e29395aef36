//! Chooses the replica of a shard to which a sub-request is sent.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use jasminepond_dispatch::Hint;
use jasminepond_types::{ServerId, Timestamp, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::server::Server;

/// Relative difference from the best estimate within which estimates count as
/// equal. In a simulation with two equal servers, noise in the service time
/// estimates split the load 34 to 66 at 0.1, and 50 to 50 at 0.2 with the same
/// goodput.
const EQUAL_TOLERANCE: f64 = 0.2;

/// Settings of [`Replicas`].
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSettings {
    /// Latency assumed for a server before its first response.
    pub initial_latency: Duration,
    /// Number of slots assumed for a server without a recent hint.
    pub assumed_slots: u32,
    /// Time for which a hint is used.
    pub hint_ttl: Duration,
    /// Latency penalty for the first failure; doubles with each consecutive failure.
    pub failure_penalty: Duration,
    /// Largest penalty. Together with the half-life it limits the time for which a
    /// server that has recovered is avoided to about 10 s.
    pub penalty_limit: Duration,
    /// Half-life of a penalty.
    pub penalty_half_life: Duration,
    /// Consecutive failures after which a server is ramped up again.
    pub ramp_after_failures: u8,
    /// Successes per step of the ramp-up.
    pub ramp_step_successes: u16,
    /// Time without requests after which a server may be explored.
    pub explore_after: Duration,
    /// Share of choices, between 0 and 1, that explore such a server.
    pub explore_share: f64,
    /// Time for which a server that reported a version as not held gets no requests
    /// for that version.
    pub missing_version_ttl: Duration,
    /// Time for which a report that a server is draining is valid.
    pub drain_ttl: Duration,
    /// Time after such a report during which hints without the draining state are
    /// taken to be older than the report.
    pub drain_grace: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            initial_latency: Duration::from_millis(20),
            assumed_slots: 2,
            hint_ttl: Duration::from_secs(1),
            failure_penalty: Duration::from_millis(50),
            penalty_limit: Duration::from_secs(2),
            penalty_half_life: Duration::from_secs(1),
            ramp_after_failures: 3,
            ramp_step_successes: 8,
            explore_after: Duration::from_secs(1),
            explore_share: 0.01,
            missing_version_ttl: Duration::from_secs(2),
            drain_ttl: Duration::from_secs(30),
            drain_grace: Duration::from_secs(2),
        }
    }
}

/// A sub-request that needs a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRequest<'a> {
    /// The replicas of the shard.
    pub servers: &'a [ServerId],
    /// Snapshot version of the query.
    pub version: Version,
    /// Priority of the query's class.
    pub priority: u32,
    /// Replicas that must not be used because they were already tried.
    pub exclude: &'a [ServerId],
    /// Whether a hedged request can be sent if the response is slow, see
    /// [`Hedging::can_hedge`](crate::Hedging::can_hedge).
    pub can_hedge: bool,
}

/// Result of [`Replicas::choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the sub-request to this server.
    Use {
        /// The chosen server.
        server: ServerId,
    },
    /// No replica can take the sub-request.
    None {
        /// Why no replica can take it.
        reason: UnavailableReason,
    },
}

/// Why no replica can take a sub-request. If replicas are excluded for different
/// reasons, the reason is the last of them in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnavailableReason {
    /// The shard has no replicas.
    NoReplica,
    /// All replicas were already tried.
    Tried,
    /// All untried replicas are in evacuated zones.
    Evacuated,
    /// All untried replicas are draining.
    Draining,
    /// None of the remaining replicas can be reached.
    Down,
    /// No remaining replica holds the version.
    VersionUnavailable,
}

/// How an attempt at a sub-request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server responded.
    Done,
    /// The server reported an error.
    Failed,
    /// The owner or the server refused the attempt for lack of capacity.
    Refused,
    /// The attempt did not run for another reason, such as a version that the server
    /// does not hold.
    NotRun,
    /// No response arrived, because the connection or the link was lost or the
    /// deadline passed.
    Lost,
    /// The attempt was cancelled, for example because another attempt was answered
    /// first.
    Cancelled,
}

/// Estimated times for a sub-request that is sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// Wait in the server's queue as of the last hint.
    pub wait: Duration,
    /// Wait in the queue after subtracting the requests that the server is estimated to
    /// have finished since the last hint. Replica choice and admission do not use it,
    /// since a daemon that takes a queue to be shorter sends more requests to it.
    pub wait_now: Duration,
    /// Service time.
    pub service: Duration,
    /// Time until the response, including penalties for failures.
    pub completion: Duration,
}

impl Estimate {
    /// Returns whether the wait is longer than one service time.
    pub fn is_overloaded(&self) -> bool {
        self.wait > self.service
    }

    /// Returns whether the wait is still longer than one service time after the
    /// requests that the server has finished since the last hint. A hedged request
    /// would then only add to the queue.
    pub fn is_overloaded_now(&self) -> bool {
        self.wait_now > self.service
    }
}

/// State of all backend servers as seen by this daemon. See the crate
/// documentation for an example.
#[derive(Debug)]
pub struct Replicas {
    settings: ReplicaSettings,
    servers: HashMap<ServerId, Server>,
    evacuated: HashSet<ServerId>,
    rng: SmallRng,
}

impl Replicas {
    /// Creates a `Replicas` without servers; each new server is ramped up. `seed`
    /// initialises the random number generator that breaks ties and decides when to
    /// explore.
    pub fn new(settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            settings,
            servers: HashMap::new(),
            evacuated: HashSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses the replica with the earliest estimated response.
    pub fn choose(&mut self, now: Timestamp, req: ReplicaRequest<'_>) -> Choice {
        let mut best: Option<(Duration, &ServerId)> = None;
        let mut equal_count = 0;
        let mut stale: Option<(Duration, &ServerId)> = None;
        let mut reason = UnavailableReason::NoReplica;
        for id in req.servers {
            let known = self.servers.get(id);
            if let Some(cause) = self.exclusion(now, id, known, &req) {
                reason = reason.max(cause);
                continue;
            }
            let estimate = self.estimate_of(now, known, req.priority).completion;
            // Explore the stale replica with the highest estimate: it is the least
            // likely to be chosen otherwise.
            if req.can_hedge
                && known.is_none_or(|server| server.is_stale(now, &self.settings))
                && stale.is_none_or(|(longest, _)| estimate > longest)
            {
                stale = Some((estimate, id));
            }
            let order = best.map_or(Order::Better, |(best, _)| compare(estimate, best));
            match order {
                Order::Better => {
                    best = Some((estimate, id));
                    equal_count = 1;
                }
                Order::Equal => {
                    // Reservoir sampling: all equal replicas have the same probability.
                    equal_count += 1;
                    let lowest = best.map_or(estimate, |(best, _)| best.min(estimate));
                    let chosen = best.map_or(id, |(_, id)| id);
                    let replace = self.rng.random_range(0..equal_count) == 0;
                    best = Some((lowest, if replace { id } else { chosen }));
                }
                Order::Worse => {}
            }
        }
        let Some((_, best)) = best else {
            return Choice::None { reason };
        };
        let server = match stale {
            Some((_, stale)) if self.should_explore() => stale,
            _ => best,
        };
        Choice::Use {
            server: server.clone(),
        }
    }

    fn should_explore(&mut self) -> bool {
        let share = self.settings.explore_share.clamp(0.0, 1.0);
        self.rng.random_bool(share)
    }

    fn exclusion(
        &self,
        now: Timestamp,
        id: &ServerId,
        known: Option<&Server>,
        req: &ReplicaRequest<'_>,
    ) -> Option<UnavailableReason> {
        if req.exclude.contains(id) {
            return Some(UnavailableReason::Tried);
        }
        if self.evacuated.contains(id) {
            return Some(UnavailableReason::Evacuated);
        }
        let server = known?;
        if server.is_draining(now, &self.settings) {
            Some(UnavailableReason::Draining)
        } else if server.is_down(now, &self.settings) {
            Some(UnavailableReason::Down)
        } else if server.is_version_missing(now, req.version) {
            Some(UnavailableReason::VersionUnavailable)
        } else {
            None
        }
    }

    /// Estimates the times for a sub-request of the given priority at a server.
    ///
    /// ```
    /// use jasminepond_routing::Replicas;
    /// use jasminepond_types::Timestamp;
    ///
    /// let mut replicas = Replicas::new(Default::default(), 7);
    /// let server = "kit-1a".parse().unwrap();
    /// assert!(!replicas.estimate(Timestamp::ZERO, &server, 0).is_overloaded());
    /// for _ in 0..8 {
    ///     replicas.record_sent(Timestamp::ZERO, &server);
    /// }
    /// assert!(replicas.estimate(Timestamp::ZERO, &server, 0).is_overloaded());
    /// ```
    pub fn estimate(&self, now: Timestamp, id: &ServerId, priority: u32) -> Estimate {
        self.estimate_of(now, self.servers.get(id), priority)
    }

    fn estimate_of(&self, now: Timestamp, known: Option<&Server>, priority: u32) -> Estimate {
        match known {
            Some(server) => server.estimate(now, priority, &self.settings),
            None => Server::new(now, &self.settings).estimate(now, priority, &self.settings),
        }
    }

    /// Records that a sub-request was sent to the server.
    pub fn record_sent(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.record_sent(now));
    }

    /// Records the outcome of a sub-request to the server after `latency`.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        latency: Duration,
        outcome: AttemptOutcome,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_outcome(now, latency, outcome, &self.settings);
        }
    }

    /// Records a hint about the server's state from its owner.
    pub fn record_hint(&mut self, now: Timestamp, id: &ServerId, hint: Hint) {
        self.update(now, id, |server, settings| {
            server.record_hint(now, hint, settings);
        });
    }

    /// Records that the server reported a version as not held.
    ///
    /// ```
    /// use jasminepond_routing::{Choice, ReplicaRequest, Replicas, UnavailableReason};
    /// use jasminepond_types::{ServerId, Timestamp, Version};
    ///
    /// let now = Timestamp::ZERO;
    /// let servers: [ServerId; 1] = ["kit-1a".parse().unwrap()];
    /// let mut replicas = Replicas::new(Default::default(), 7);
    /// replicas.mark_version_missing(now, &servers[0], Version(42));
    /// let req = ReplicaRequest {
    ///     servers: &servers,
    ///     version: Version(42),
    ///     priority: 0,
    ///     exclude: &[],
    ///     can_hedge: false,
    /// };
    /// let reason = UnavailableReason::VersionUnavailable;
    /// assert_eq!(replicas.choose(now, req), Choice::None { reason });
    /// let req = ReplicaRequest { version: Version(41), ..req };
    /// assert!(matches!(replicas.choose(now, req), Choice::Use { .. }));
    /// ```
    pub fn mark_version_missing(&mut self, now: Timestamp, id: &ServerId, version: Version) {
        self.update(now, id, |server, settings| {
            server.mark_version_missing(version, now + settings.missing_version_ttl);
        });
    }

    /// Records a report, from any source, that the server is draining.
    pub fn mark_draining(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.mark_draining(now));
    }

    /// Records that the server accepts requests again; it is ramped up.
    pub fn mark_available(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.mark_available());
    }

    /// Replaces the set of servers that must get no requests because their zone is
    /// evacuated. Those that leave the set are ramped up, since they may be cold.
    ///
    /// ```
    /// use jasminepond_routing::{Choice, ReplicaRequest, Replicas, UnavailableReason};
    /// use jasminepond_types::{ServerId, Timestamp, Version};
    ///
    /// let now = Timestamp::ZERO;
    /// let servers: [ServerId; 1] = ["kit-1a".parse().unwrap()];
    /// let mut replicas = Replicas::new(Default::default(), 7);
    /// replicas.set_evacuated(now, servers.iter().cloned().collect());
    /// let req = ReplicaRequest {
    ///     servers: &servers,
    ///     version: Version(42),
    ///     priority: 0,
    ///     exclude: &[],
    ///     can_hedge: false,
    /// };
    /// let reason = UnavailableReason::Evacuated;
    /// assert_eq!(replicas.choose(now, req), Choice::None { reason });
    /// ```
    pub fn set_evacuated(&mut self, now: Timestamp, servers: HashSet<ServerId>) {
        let before = std::mem::replace(&mut self.evacuated, servers);
        for id in before {
            if !self.evacuated.contains(&id) {
                self.mark_available(now, &id);
            }
        }
    }

    /// Removes servers for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId) -> bool) {
        self.servers.retain(|id, _| keep(id));
    }

    fn update(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        change: impl FnOnce(&mut Server, &ReplicaSettings),
    ) {
        // Nearly all servers are known, which takes one lookup and no clone.
        if let Some(server) = self.servers.get_mut(id) {
            change(server, &self.settings);
            return;
        }
        let mut server = Server::new(now, &self.settings);
        change(&mut server, &self.settings);
        self.servers.insert(id.clone(), server);
    }
}

enum Order {
    Better,
    Equal,
    Worse,
}

fn compare(estimate: Duration, best: Duration) -> Order {
    let (estimate, best) = (estimate.as_secs_f64(), best.as_secs_f64());
    if estimate < best * (1.0 - EQUAL_TOLERANCE) {
        Order::Better
    } else if estimate <= best * (1.0 + EQUAL_TOLERANCE) {
        Order::Equal
    } else {
        Order::Worse
    }
}
