//! State of one server: slots, queue, connections, modes, counters.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    ops::AddAssign,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{DropAfter, Modes, Patch, ServerSpec, Stage};

/// Counters since start or reset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Search and execute requests whose headers arrived, silent connections included.
    pub received: u64,
    /// Requests that started to run.
    pub executed: u64,
    /// Requests refused because slots and queue were full.
    pub shed: u64,
    /// Requests ended by `POST /cancel`.
    pub cancelled: u64,
    /// Runs whose result was not used: cancelled while running, finished after the
    /// deadline, or finished after the caller had disconnected.
    pub wasted: u64,
    /// Requests whose deadline passed before they ran.
    pub expired: u64,
    /// Requests refused while starting or draining.
    pub not_ready: u64,
    /// Requests for a version or a shard that is not held.
    pub not_held: u64,
    /// Requests answered by `fail_fast`.
    pub failed: u64,
    /// Connections cut by `drop_after`.
    pub dropped: u64,
    /// Connections accepted within the limit.
    pub connections: u64,
    /// Connections closed because the limit was reached.
    pub connections_refused: u64,
    /// Largest number of connections open at the same time.
    pub connections_peak: u64,
    /// Total run time in microseconds.
    pub busy_us: u64,
}

impl AddAssign for Counters {
    fn add_assign(&mut self, other: Self) {
        self.received += other.received;
        self.executed += other.executed;
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.wasted += other.wasted;
        self.expired += other.expired;
        self.not_ready += other.not_ready;
        self.not_held += other.not_held;
        self.failed += other.failed;
        self.dropped += other.dropped;
        self.connections += other.connections;
        self.connections_refused += other.connections_refused;
        self.connections_peak += other.connections_peak;
        self.busy_us += other.busy_us;
    }
}

impl Counters {
    /// The difference to `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            received: self.received.saturating_sub(earlier.received),
            executed: self.executed.saturating_sub(earlier.executed),
            shed: self.shed.saturating_sub(earlier.shed),
            cancelled: self.cancelled.saturating_sub(earlier.cancelled),
            wasted: self.wasted.saturating_sub(earlier.wasted),
            expired: self.expired.saturating_sub(earlier.expired),
            not_ready: self.not_ready.saturating_sub(earlier.not_ready),
            not_held: self.not_held.saturating_sub(earlier.not_held),
            failed: self.failed.saturating_sub(earlier.failed),
            dropped: self.dropped.saturating_sub(earlier.dropped),
            connections: self.connections.saturating_sub(earlier.connections),
            connections_refused: self
                .connections_refused
                .saturating_sub(earlier.connections_refused),
            connections_peak: self
                .connections_peak
                .saturating_sub(earlier.connections_peak),
            busy_us: self.busy_us.saturating_sub(earlier.busy_us),
        }
    }
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Server id.
    pub id: String,
    state: Mutex<State>,
}

/// Decision on a request that needs a slot.
#[derive(Debug)]
pub(crate) enum Admission {
    Run,
    Wait {
        ticket: u64,
        granted: CancellationToken,
    },
    Shed,
}

#[derive(Debug)]
pub(crate) struct State {
    pub spec: ServerSpec,
    pub address: SocketAddr,
    pub modes: Modes,
    pub counters: Counters,
    pub executions: BTreeMap<String, u64>,
    pub running: usize,
    pub ready_at: Instant,
    /// Cancelled when the server goes down, replaced when it comes up again.
    pub down: CancellationToken,
    /// Cancelled when the server comes up again, replaced when it goes down.
    pub up: CancellationToken,
    waiting: VecDeque<(u64, CancellationToken)>,
    in_flight: Vec<(u64, String, CancellationToken)>,
    connections: BTreeMap<u64, Connection>,
    next_ticket: u64,
    random: SmallRng,
}

#[derive(Debug)]
struct Connection {
    cut: CancellationToken,
    /// Set while the connection is silent; cancelled when the silence ends.
    silence: Option<CancellationToken>,
}

impl Server {
    pub(crate) fn new(spec: ServerSpec, address: SocketAddr) -> Self {
        let seed = xxh3_64_with_seed(spec.id.as_bytes(), spec.seed);
        let ready_at = Instant::now() + Duration::from_millis(spec.cold_start_ms);
        let state = State {
            address,
            modes: Modes::default(),
            counters: Counters::default(),
            executions: BTreeMap::new(),
            running: 0,
            ready_at,
            down: CancellationToken::new(),
            up: CancellationToken::new(),
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            connections: BTreeMap::new(),
            next_ticket: 0,
            random: SmallRng::seed_from_u64(seed),
            spec,
        };
        Self {
            id: state.spec.id.clone(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Registers a connection; `None` if the connection limit is reached.
    pub fn connect(&mut self) -> Option<(u64, CancellationToken)> {
        if self.connections.len() >= self.spec.connection_limit {
            self.counters.connections_refused += 1;
            return None;
        }
        let id = self.ticket();
        let cut = CancellationToken::new();
        let connection = Connection {
            cut: cut.clone(),
            silence: None,
        };
        self.connections.insert(id, connection);
        self.counters.connections += 1;
        let open = self.connections.len() as u64;
        self.counters.connections_peak = self.counters.connections_peak.max(open);
        Some((id, cut))
    }

    pub fn disconnect(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// The token that is cancelled when the connection's silence ends; `None` if it is
    /// not silent.
    pub fn silence(&self, id: u64) -> Option<CancellationToken> {
        self.connections.get(&id)?.silence.clone()
    }

    /// Registers a request so that it can be cancelled.
    pub fn register_request(&mut self, request_id: &str) -> (u64, CancellationToken) {
        let ticket = self.ticket();
        let cancel = CancellationToken::new();
        self.in_flight
            .push((ticket, request_id.to_string(), cancel.clone()));
        (ticket, cancel)
    }

    pub fn unregister_request(&mut self, ticket: u64) {
        self.in_flight.retain(|(t, _, _)| *t != ticket);
    }

    pub fn cancel(&mut self, request_id: &str) -> usize {
        let matching = self.in_flight.iter().filter(|(_, id, _)| id == request_id);
        matching.inspect(|(_, _, cancel)| cancel.cancel()).count()
    }

    pub fn admit(&mut self) -> Admission {
        if self.running < self.spec.slots {
            self.running += 1;
            return Admission::Run;
        }
        if self.waiting.len() >= self.spec.queue_limit {
            self.counters.shed += 1;
            return Admission::Shed;
        }
        let ticket = self.ticket();
        let granted = CancellationToken::new();
        self.waiting.push_back((ticket, granted.clone()));
        Admission::Wait { ticket, granted }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Removes a request from the queue; a slot granted in the meantime is passed on.
    pub fn leave_queue(&mut self, ticket: u64) {
        let before = self.waiting.len();
        self.waiting.retain(|(t, _)| *t != ticket);
        if self.waiting.len() == before {
            self.release_slot();
        }
    }

    /// Frees a slot or passes it to the next queued request.
    pub fn release_slot(&mut self) {
        match self.waiting.pop_front() {
            Some((_, granted)) => granted.cancel(),
            None => self.running -= 1,
        }
    }

    pub fn sample_service_time(&mut self) -> Duration {
        let time = self.spec.service_time;
        // `LogNormal::new` fails for a non-finite sigma; fall back to sigma 0.
        let lognormal = LogNormal::new(time.median_ms.max(0.001).ln(), time.sigma)
            .unwrap_or_else(|_| LogNormal::new(0.0, 0.0).expect("zero is a valid sigma"));
        let mut ms = lognormal.sample(&mut self.random) * self.modes.slow_factor;
        // Drawn for every request, so that `slow_share` does not change the random sequence.
        if self.random.random::<f64>() < time.slow_share {
            ms *= time.slow_factor;
        }
        Duration::from_secs_f64((ms / 1e3).clamp(0.0, 3600.0))
    }

    /// Whether `drop_after` cuts a request at this stage; uses up one cut if so.
    pub fn take_drop(&mut self, stage: Stage, path: &str) -> bool {
        let Some(drop_after) = &mut self.modes.drop_after else {
            return false;
        };
        let path_differs = drop_after.path.as_deref().is_some_and(|p| p != path);
        if drop_after.stage != stage || (path_differs && stage != Stage::BeforeRequest) {
            return false;
        }
        self.counters.dropped += 1;
        if let Some(count) = &mut drop_after.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.modes.drop_after = None;
            }
        }
        true
    }

    pub fn apply(&mut self, patch: Patch) {
        if let Some(factor) = patch.slow_factor {
            self.modes.slow_factor = factor;
        }
        if let Some(fail_fast) = patch.fail_fast {
            self.modes.fail_fast = fail_fast;
        }
        if let Some(draining) = patch.draining {
            self.modes.draining = draining;
        }
        if let Some(versions) = patch.versions {
            self.spec.versions = versions;
        }
        if let Some(shards) = patch.shards {
            self.spec.shards = shards;
        }
        if let Some(silent) = patch.silent {
            self.set_silent(silent);
        }
        if let Some(down) = patch.down {
            self.set_down(down);
        }
        if let Some(drop_after) = patch.drop_after {
            self.set_drop_after(drop_after);
        }
    }

    fn set_silent(&mut self, silent: bool) {
        self.modes.silent = silent;
        for connection in self.connections.values_mut() {
            if silent {
                connection.silence.get_or_insert_default();
            } else if let Some(ended) = connection.silence.take() {
                ended.cancel();
            }
        }
    }

    fn set_down(&mut self, down: bool) {
        if self.modes.down == down {
            return;
        }
        self.modes.down = down;
        if down {
            self.up = CancellationToken::new();
            self.down.cancel();
            self.cut_all();
        } else {
            self.ready_at = Instant::now() + Duration::from_millis(self.spec.cold_start_ms);
            self.down = CancellationToken::new();
            self.up.cancel();
        }
    }

    fn set_drop_after(&mut self, drop_after: Option<DropAfter>) {
        let cuts_open = matches!(&drop_after, Some(d) if d.stage == Stage::BeforeRequest);
        self.modes.drop_after = drop_after;
        if cuts_open {
            self.cut_all();
        }
    }

    fn cut_all(&mut self) {
        for connection in self.connections.values() {
            connection.cut.cancel();
        }
    }
}
