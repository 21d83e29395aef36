//! Task that reads the store and watches it for changes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::join;
use hyper::HeaderMap;
use jasminepond_daemon::clock::Clock;
use jasminepond_discovery::{
    Change, Changes, Era, EraCheck, Failure, Reader, ReaderSettings, Snapshot, Source, Step,
    choose_source, reads_directly,
};
use jasminepond_platform::{HttpReader, HttpResponse, PlatformError};
use jasminepond_routes::CallerLimits;
use jasminepond_types::Timestamp;
use spdlog::{info, warn};

use crate::{
    PlatformAdapter,
    hub::Hub,
    members::Members,
    store_relay::{self, SharedRelay},
};

/// Reads routes and backend servers from the store, or from another daemon, and passes
/// changes to the forwarder.
pub struct StoreTask {
    /// Client for the store.
    pub http: HttpReader,
    /// Timeout of a read.
    pub timeout: Duration,
    /// Settings of the reader.
    pub reader: ReaderSettings,
    /// All daemons.
    pub members: Rc<RefCell<Members>>,
    /// Whether the list of daemons is considered complete.
    pub settled: Rc<Cell<bool>>,
    /// Serves the state to other daemons.
    pub relay: Rc<SharedRelay>,
    /// Builds calls to the store and decodes the responses.
    pub adapter: Rc<dyn PlatformAdapter>,
    /// Passes changes to the forwarder.
    pub hub: Rc<Hub>,
    /// Clock of the reader.
    pub clock: Clock,
    /// Set once a release and all backend servers have been read.
    pub complete: Rc<Cell<bool>>,
    /// Called with the caller limits of each release.
    pub on_limits: Rc<dyn Fn(&CallerLimits)>,
}

/// Longest wait for the list of daemons at the start.
const MEMBERS_WAIT: Duration = Duration::from_millis(120);

/// Interval between checks of the list of daemons during this wait.
const MEMBERS_POLL: Duration = Duration::from_millis(5);

/// Number of checks without a new daemon after which a short list of daemons is considered
/// complete.
const STABLE_CHECKS: u32 = 2;

/// Timeout for another daemon's snapshot at the start.
const PEER_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of a call to the store or to another daemon.
enum CallResult {
    Changes(Vec<Change>),
    Failed(Failure, String),
}

impl StoreTask {
    /// Reads and watches the store until the process ends.
    pub async fn run(self) {
        let started = self.clock.now();
        let mut reader = Reader::new(self.reader.clone());
        let (snapshot, ()) = join!(
            self.fetch_peer_snapshot(started),
            self.read_stale(&mut reader)
        );
        self.merge_peer_snapshot(&mut reader, snapshot);
        let mut peer: Option<(SocketAddr, HttpReader)> = None;
        loop {
            let now = self.clock.now();
            let result = match reader.next(now) {
                Step::Pause(until) => {
                    compio::time::sleep(until.since(now)).await;
                    continue;
                }
                step => match self.select_peer(&mut peer, reader.failures()) {
                    Some(http) => self.call_daemon(http, &mut reader, step).await,
                    None => self.call_store(&mut reader, step).await,
                },
            };
            self.handle_result(&mut reader, peer.is_none(), result);
        }
    }

    /// Makes the initial reads that may return stale data. They cost the store little and
    /// run while the other daemons are being discovered.
    async fn read_stale(&self, reader: &mut Reader) {
        loop {
            let step = reader.next(self.clock.now());
            if !step.allows_stale() {
                return;
            }
            let result = self.call_store(reader, step).await;
            self.handle_result(reader, true, result);
        }
    }

    fn handle_result(&self, reader: &mut Reader, from_store: bool, result: CallResult) {
        match result {
            CallResult::Changes(changes) => {
                if self.hub.metrics().store_reached() {
                    info!("store: reached", kv: { position: = reader.position() });
                }
                self.apply_changes(reader, from_store, changes);
            }
            CallResult::Failed(failure, cause) => {
                self.relay.failed();
                let pause = reader.on_failure(self.clock.now(), failure);
                if self.hub.metrics().store_failed() {
                    warn!("store: not reached", kv: {
                        cause,
                        position: = reader.position(),
                        retry_ms = pause.as_millis() as u64,
                    });
                }
            }
        }
    }

    /// Applies changes to the forwarder and makes them available to other daemons.
    fn apply_changes(&self, reader: &Reader, from_store: bool, changes: Vec<Change>) {
        self.relay.record(from_store, reader.position(), &changes);
        self.relay.set_settled_at(reader.settled_at());
        let mut changed = !changes.is_empty();
        for change in changes {
            self.apply(change);
        }
        if reader.is_complete() && !self.complete.replace(true) {
            self.log_ready();
            changed = true;
        }
        self.relay.applied(changed);
    }

    /// Fetches the snapshot of a running daemon once the daemons are known. A store that has
    /// just been restored from a backup may lack entries that the snapshot has.
    async fn fetch_peer_snapshot(&self, started: Timestamp) -> Option<(SocketAddr, Snapshot)> {
        self.wait_for_members(started).await;
        let address = self.next_running_daemon()?;
        let timeout = PEER_SNAPSHOT_TIMEOUT;
        let http = HttpReader::new(jasminepond_platform::Options { address, timeout }).ok()?;
        let path = store_relay::snapshot_path(Duration::ZERO);
        // The snapshot is optional: a daemon may be down or may not have read the store.
        let answer = http.get(&path, Duration::ZERO).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        match ciborium::from_reader(&answer.body[..]) {
            Ok(snapshot) => Some((address, snapshot)),
            Err(err) => {
                warn!("store: the view of another daemon cannot be read", kv: { source: = address, error: = err });
                None
            }
        }
    }

    fn merge_peer_snapshot(&self, reader: &mut Reader, snapshot: Option<(SocketAddr, Snapshot)>) {
        let Some((source, snapshot)) = snapshot else {
            return;
        };
        match reader.merge_snapshot(self.clock.now(), snapshot) {
            Ok(changes) => {
                info!("store: view of another daemon added", kv: { source: = source, changes = changes.len() });
                self.apply_changes(reader, false, changes);
            }
            Err(stale) => {
                warn!("store: view of another daemon not added", kv: { source: = source, cause: = stale });
            }
        }
    }

    /// Returns the address of the first running daemon after this one, wrapping around, in
    /// the order that all daemons share.
    fn next_running_daemon(&self) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let count = members.addresses.len();
        let mut others = (1..count).map(|offset| (members.rank + offset) % count);
        let next = others.find(|rank| members.running.get(*rank) == Some(&true))?;
        members.addresses.get(next).copied()
    }

    fn log_ready(&self) {
        let status = self.hub.read(|forwarder| forwarder.status());
        info!("gateway: ready", kv: {
            release: = status.version,
            routes = status.routes,
            servers = status.servers,
        });
    }

    /// Waits until the other daemons are known, up to [`MEMBERS_WAIT`]. If many daemons start
    /// together, only a few may read the store, and the others must read from those. The wait
    /// ends early if the daemons are so few that all of them may read the store.
    async fn wait_for_members(&self, started: Timestamp) {
        let (mut known, mut stable_checks) = (0, 0);
        while !self.settled.get() && self.clock.now().since(started) < MEMBERS_WAIT {
            let current = self.members.borrow().running.len();
            stable_checks = if current == known {
                stable_checks + 1
            } else {
                0
            };
            known = current;
            if known > 1 && stable_checks >= STABLE_CHECKS && reads_directly(known) {
                return;
            }
            compio::time::sleep(MEMBERS_POLL).await;
        }
    }

    /// Returns the client for the daemon to read from, or `None` to read the store.
    fn select_peer<'a>(
        &self,
        peer: &'a mut Option<(SocketAddr, HttpReader)>,
        failures: u32,
    ) -> Option<&'a HttpReader> {
        let members = self.members.borrow();
        let address = match choose_source(&members.running, members.rank, failures) {
            Source::Store => None,
            Source::Daemon(rank) => members.addresses.get(rank).copied(),
        };
        let current = peer.as_ref().map(|(address, _)| *address);
        if address != current {
            info!("store: changes are learnt from", kv: {
                source: = address.map_or("the store".to_owned(), |address| address.to_string()),
            });
            *peer = address.and_then(|address| {
                let timeout = self.timeout;
                let options = jasminepond_platform::Options { address, timeout };
                match HttpReader::new(options) {
                    Ok(http) => Some((address, http)),
                    Err(err) => {
                        warn!("store: no client for another daemon", kv: { error: = err });
                        None
                    }
                }
            });
        }
        peer.as_ref().map(|(_, http)| http)
    }

    /// Executes a step of the reader with a call to another daemon.
    async fn call_daemon(&self, http: &HttpReader, reader: &mut Reader, step: Step) -> CallResult {
        let (path, extra) = match &step {
            Step::Watch { after, wait } if reader.is_complete() => {
                (store_relay::changes_path(*after, *wait), wait.duration())
            }
            _ => {
                let wait = store_relay::SNAPSHOT_WAIT;
                (store_relay::snapshot_path(wait), wait)
            }
        };
        let HttpResponse { status, body, .. } = match http.get(&path, extra).await {
            Ok(answer) => answer,
            Err(err) => return CallResult::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let malformed = |err: ciborium::de::Error<std::io::Error>| {
            CallResult::Failed(Failure::Unreachable, err.to_string())
        };
        match (&step, status) {
            (Step::Watch { .. }, 200) if reader.is_complete() => {
                match ciborium::from_reader::<Changes, _>(&body[..]) {
                    Ok(changes) => CallResult::Changes(reader.on_relayed(
                        now,
                        changes.position,
                        changes.changes,
                    )),
                    Err(err) => malformed(err),
                }
            }
            (Step::Watch { .. }, 410) => {
                let cause = "the other daemon no longer knows the changes";
                CallResult::Failed(Failure::HistoryGone, cause.to_owned())
            }
            (_, 200) => match ciborium::from_reader::<Snapshot, _>(&body[..]) {
                Ok(snapshot) => match reader.on_snapshot(now, snapshot) {
                    Ok(changes) => {
                        reader.on_confirmed();
                        CallResult::Changes(changes)
                    }
                    Err(stale) => CallResult::Failed(Failure::Unreachable, stale.to_string()),
                },
                Err(err) => malformed(err),
            },
            (_, status) => CallResult::Failed(Failure::Unreachable, format!("status {status}")),
        }
    }

    /// Executes a step of the reader with a call to the store.
    async fn call_store(&self, reader: &mut Reader, step: Step) -> CallResult {
        self.hub.metrics().store_called();
        let (path, extra) = match &step {
            Step::ReadRelease { stale } => (self.adapter.release_path(*stale), Duration::ZERO),
            Step::ListBackends { after, stale } => {
                let path = self.adapter.backends_path(after.as_deref(), *stale);
                (path, Duration::ZERO)
            }
            Step::Watch { after, wait } => {
                (self.adapter.watch_path(*after, *wait), wait.duration())
            }
            Step::Pause(_) => return CallResult::Changes(Vec::new()),
        };
        let HttpResponse {
            status,
            headers,
            body,
        } = match self.http.get(&path, extra).await {
            Ok(answer) => answer,
            Err(PlatformError::RateLimited) => {
                return CallResult::Failed(Failure::Busy, "too many reads".to_owned());
            }
            Err(err) => return CallResult::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let era = self.stated_era(&headers).unwrap_or(reader.era());
        match reader.on_era(now, era) {
            EraCheck::Same => {}
            EraCheck::Restored { before } => {
                warn!("store: came back from a copy; everything is read again", kv: { before:, era: });
                return CallResult::Changes(Vec::new());
            }
            EraCheck::Old => {
                let known = reader.era();
                let cause = format!("an answer of era {era}, after one of era {known}");
                return CallResult::Failed(Failure::OldEra, cause);
            }
        }
        let changes = match (&step, status) {
            (Step::ReadRelease { .. }, 404) => Ok(reader.on_release(now, None, reader.position())),
            (Step::ReadRelease { .. }, 200) => {
                let release = self.adapter.decode_release(era, &body);
                release.map(|(item, position)| reader.on_release(now, Some(item), position))
            }
            (Step::ListBackends { .. }, 200) => self
                .adapter
                .decode_backends(era, &body)
                .map(|page| reader.on_page(now, page)),
            (Step::Watch { .. }, 200) => {
                let watched = self.adapter.decode_watch(era, &body);
                watched.map(|watched| reader.on_watch(now, watched))
            }
            (Step::Watch { .. }, 410) => {
                let cause = "the history after the position is gone";
                return CallResult::Failed(Failure::HistoryGone, cause.to_owned());
            }
            (_, status) => {
                return CallResult::Failed(Failure::Unreachable, format!("status {status}"));
            }
        };
        match changes {
            Ok(changes) => CallResult::Changes(changes),
            Err(err) => CallResult::Failed(Failure::Unreachable, err.to_string()),
        }
    }

    /// Returns the era stated in the headers, or `None` if it is missing or invalid.
    fn stated_era(&self, headers: &HeaderMap) -> Option<Era> {
        let value = headers.get(self.adapter.headers().store_era)?;
        let era = value.to_str().ok().and_then(|text| text.parse().ok());
        if era.is_none() {
            warn!("store: its era cannot be read; the one before is taken to hold", kv: { value:? });
        }
        era
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Release(release) => {
                (self.on_limits)(&release.limits);
                let in_force = self.hub.change(|f, now| f.put_release(now, &release));
                self.hub.metrics().set_release(release.version);
                info!("store: release", kv: {
                    release: = release.version,
                    routes = release.routes.len(),
                    in_force,
                });
            }
            Change::ReleaseRefused { reason } => {
                warn!("store: a release cannot be read; the one in force stays", kv: { reason });
            }
            Change::Backend(backend) => {
                info!("store: backend server", kv: {
                    server: = backend.id,
                    service: = backend.service,
                    address: = backend.address,
                    state:? = backend.state,
                    warm_up_left: = backend.warm_up_left,
                });
                self.hub.change(|f, now| f.put_backend(now, backend));
            }
            Change::BackendRemoved { id, reason } => {
                info!("store: backend server gone", kv: { server = id.as_str(), reason });
                self.hub.change(|f, now| f.remove_backend(now, &id));
            }
        }
    }
}
