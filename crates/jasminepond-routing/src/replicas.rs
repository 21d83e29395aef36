//! Which replica of a shard takes a sub-request.

use std::{collections::HashMap, time::Duration};

use jasminepond_dispatch::Hint;
use jasminepond_types::{ServerId, Timestamp, Version};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::server::Server;

/// Estimates within this share of the best count as equal. At 0.1, the noise of
/// the service time estimates split the load of two equal servers 34 to 66 in a
/// simulation, at 0.2 it was 50 to 50 at the same goodput.
const EQUAL_WITHIN: f64 = 0.2;

/// Settings of [`Replicas`].
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSettings {
    /// Latency assumed for a server before its first response.
    pub initial_latency: Duration,
    /// Slots assumed for a server without a recent hint.
    pub assumed_slots: u32,
    /// Time for which a hint describes the server.
    pub hint_ttl: Duration,
    /// Penalty for the first failure; it doubles with each further one in a row.
    pub failure_penalty: Duration,
    /// Largest penalty. With the half-life it bounds how long a server that has
    /// recovered stays out of use: about 10 s.
    pub penalty_limit: Duration,
    /// Time in which a penalty halves.
    pub penalty_half_life: Duration,
    /// Failures in a row after which a server ramps up again.
    pub ramp_after_failures: u8,
    /// Successes per step of the ramp.
    pub ramp_step_successes: u16,
    /// Time after which a server that was not tried may be explored.
    pub explore_after: Duration,
    /// Share of choices that explore, between 0 and 1.
    pub explore_share: f64,
    /// Time for which a server that reported "version not held" is not asked
    /// for that version.
    pub missing_version_ttl: Duration,
    /// Time for which a report that a server is leaving counts.
    pub drain_ttl: Duration,
    /// Time after such a report during which hints that do not mention it are
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
    /// Replicas already tried.
    pub exclude: &'a [ServerId],
    /// Whether a hedged request can cover a slow response, see
    /// [`Hedging::can_hedge`](crate::Hedging::can_hedge).
    pub can_hedge: bool,
}

/// The replica to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the sub-request to this server.
    Use {
        /// The chosen server.
        server: ServerId,
    },
    /// No replica can take it.
    None {
        /// Why.
        reason: UnavailableReason,
    },
}

/// Why no replica can take a sub-request. With several causes, the one that
/// rules out the last remaining replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnavailableReason {
    /// The shard has no replicas.
    NoReplica,
    /// All replicas were tried.
    Tried,
    /// All untried replicas are leaving.
    Draining,
    /// All remaining replicas cannot be reached.
    Down,
    /// No remaining replica holds the version.
    VersionUnavailable,
}

/// How a sub-request to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered.
    Done,
    /// The server reported an error.
    Failed,
    /// The owner or the server refused it for lack of capacity.
    Refused,
    /// It did not run for another reason, such as a version not held.
    NotRun,
    /// No response arrived: the connection or the link was lost, or the time
    /// was up.
    Lost,
    /// It was cancelled because another copy was answered first.
    Cancelled,
}

/// What a sub-request sent to a server now would meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Estimate {
    /// Time in the server's queue.
    pub wait: Duration,
    /// The same after what the server has finished since its last hint. Replica
    /// choice and admission do not use it: a daemon that forgets a queue sends
    /// more to it.
    pub wait_now: Duration,
    /// Service time.
    pub service: Duration,
    /// Time until the response, with penalties for failures.
    pub completion: Duration,
}

impl Estimate {
    /// Whether the queue is longer than one service time.
    pub fn is_overloaded(&self) -> bool {
        self.wait > self.service
    }

    /// Whether the queue is still longer than one service time. Hedged requests and
    /// retries would only make it longer.
    pub fn is_overloaded_now(&self) -> bool {
        self.wait_now > self.service
    }
}

/// What this daemon knows about all backend servers. See the crate
/// documentation for an example.
#[derive(Debug)]
pub struct Replicas {
    settings: ReplicaSettings,
    servers: HashMap<ServerId, Server>,
    rng: SmallRng,
}

impl Replicas {
    /// Knows nothing yet; every server ramps up. `seed` feeds the random source
    /// that breaks ties and chooses explorations.
    pub fn new(settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            settings,
            servers: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Chooses the replica with the earliest estimated response.
    pub fn choose(&mut self, now: Timestamp, ask: ReplicaRequest<'_>) -> Choice {
        let mut best: Option<(Duration, &ServerId)> = None;
        let mut equals = 0;
        let mut stale: Option<(Duration, &ServerId)> = None;
        let mut reason = UnavailableReason::NoReplica;
        for id in ask.servers {
            let known = self.servers.get(id);
            if let Some(why) = self.ruled_out(now, id, known, &ask) {
                reason = reason.max(why);
                continue;
            }
            let estimate = self.estimate_of(now, known, ask.priority).completion;
            // The stale replica that is least likely to be chosen otherwise.
            if ask.can_hedge
                && known.is_none_or(|server| server.is_stale(now, &self.settings))
                && stale.is_none_or(|(longest, _)| estimate > longest)
            {
                stale = Some((estimate, id));
            }
            let order = best.map_or(Order::Better, |(best, _)| compare(estimate, best));
            match order {
                Order::Better => {
                    best = Some((estimate, id));
                    equals = 1;
                }
                Order::Equal => {
                    // Reservoir sampling: each of the equals is as likely.
                    equals += 1;
                    let keep = best.map_or(estimate, |(best, _)| best.min(estimate));
                    let chosen = best.map_or(id, |(_, id)| id);
                    let replace = self.rng.random_range(0..equals) == 0;
                    best = Some((keep, if replace { id } else { chosen }));
                }
                Order::Worse => {}
            }
        }
        let Some((_, best)) = best else {
            return Choice::None { reason };
        };
        let server = match stale {
            Some((_, stale)) if self.explores() => stale,
            _ => best,
        };
        Choice::Use {
            server: server.clone(),
        }
    }

    fn explores(&mut self) -> bool {
        let share = self.settings.explore_share.clamp(0.0, 1.0);
        self.rng.random_bool(share)
    }

    fn ruled_out(
        &self,
        now: Timestamp,
        id: &ServerId,
        known: Option<&Server>,
        ask: &ReplicaRequest<'_>,
    ) -> Option<UnavailableReason> {
        if ask.exclude.contains(id) {
            return Some(UnavailableReason::Tried);
        }
        let server = known?;
        if server.is_draining(now, &self.settings) {
            Some(UnavailableReason::Draining)
        } else if server.is_down(now, &self.settings) {
            Some(UnavailableReason::Down)
        } else if server.lacks(now, ask.version) {
            Some(UnavailableReason::VersionUnavailable)
        } else {
            None
        }
    }

    /// What a sub-request of the given priority would meet at a server.
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

    /// A sub-request was sent to the server.
    pub fn record_sent(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.sent(now));
    }

    /// A sub-request sent to the server has ended after `latency`.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        latency: Duration,
        reply: AttemptOutcome,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.ended(now, latency, reply, &self.settings);
        }
    }

    /// The owner of the server reported its state.
    pub fn record_hint(&mut self, now: Timestamp, id: &ServerId, hint: Hint) {
        self.update(now, id, |server, settings| {
            server.hinted(now, hint, settings);
        });
    }

    /// The server reported that it does not hold the version.
    ///
    /// ```
    /// use jasminepond_routing::{ReplicaRequest, Choice, UnavailableReason, Replicas};
    /// use jasminepond_types::{ServerId, Timestamp, Version};
    ///
    /// let now = Timestamp::ZERO;
    /// let servers: [ServerId; 1] = ["kit-1a".parse().unwrap()];
    /// let mut replicas = Replicas::new(Default::default(), 7);
    /// replicas.mark_version_missing(now, &servers[0], Version(42));
    /// let ask = ReplicaRequest {
    ///     servers: &servers,
    ///     version: Version(42),
    ///     priority: 0,
    ///     exclude: &[],
    ///     can_hedge: false,
    /// };
    /// let reason = UnavailableReason::VersionUnavailable;
    /// assert_eq!(replicas.choose(now, ask), Choice::None { reason });
    /// let ask = ReplicaRequest { version: Version(41), ..ask };
    /// assert!(matches!(replicas.choose(now, ask), Choice::Use { .. }));
    /// ```
    pub fn mark_version_missing(&mut self, now: Timestamp, id: &ServerId, version: Version) {
        self.update(now, id, |server, settings| {
            server.lacks_version(version, now + settings.missing_version_ttl);
        });
    }

    /// The server is leaving, by any report.
    pub fn mark_draining(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.leaving(now));
    }

    /// The server takes work again; it ramps up.
    pub fn mark_available(&mut self, now: Timestamp, id: &ServerId) {
        self.update(now, id, |server, _| server.returned());
    }

    /// Forgets servers that are no longer configured.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerId) -> bool) {
        self.servers.retain(|id, _| keep(id));
    }

    fn update(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        change: impl FnOnce(&mut Server, &ReplicaSettings),
    ) {
        // Known servers, which are nearly all, cost one lookup and no clone.
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
    if estimate < best * (1.0 - EQUAL_WITHIN) {
        Order::Better
    } else if estimate <= best * (1.0 + EQUAL_WITHIN) {
        Order::Equal
    } else {
        Order::Worse
    }
}
