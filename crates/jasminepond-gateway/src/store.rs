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
    Accept, Change, Changes, Confirmation, Era, EraCheck, PeerRequest, Plan, Reader,
    ReaderSettings, Snapshot, Source, SourceFailure, Sources, Step, UnusableState, reads_directly,
};
use jasminepond_forward::ZoneChange;
use jasminepond_platform::{HttpReader, HttpResponse, PlatformError};
use jasminepond_routes::CallerLimits;
use jasminepond_types::Timestamp;
use spdlog::{info, warn};

use crate::{
    PlatformAdapter,
    hub::{Hub, StoreState},
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
    /// These changes, with which the state is confirmed for this time.
    Confirmed(Timestamp, Vec<Change>),
    /// Changes of a state that has not been read completely.
    Partial(Vec<Change>),
    /// Changes of another daemon, whose state was last confirmed too long ago.
    Stale(Timestamp, Vec<Change>),
    /// Another daemon has no changes, since its state is older than that of this one.
    Behind(UnusableState),
    /// The source no longer knows the changes after the position.
    HistoryGone(String),
    /// No usable response.
    Failed(String),
}

/// What the task knows between two calls.
struct Progress {
    reader: Reader,
    sources: Sources,
    /// Source of the last call.
    source: Source,
    /// Source that last confirmed the state.
    followed: Source,
    /// Time for which the state was last confirmed, or the start of the process.
    confirmed_at: Timestamp,
    /// Client for the daemon that was asked last.
    peer: Option<(SocketAddr, HttpReader)>,
}

impl StoreTask {
    /// Reads and watches the store until the process ends.
    pub async fn run(self) {
        let started = self.clock.now();
        let mut progress = Progress {
            reader: Reader::new(self.reader.clone()),
            sources: Sources::default(),
            source: Source::Store,
            followed: Source::Store,
            confirmed_at: started,
            peer: None,
        };
        let (snapshot, ()) = join!(
            self.fetch_peer_snapshot(started),
            self.read_stale(&mut progress)
        );
        self.merge_peer_snapshot(&mut progress, snapshot);
        loop {
            let now = self.clock.now();
            match progress.reader.next(now) {
                Step::Pause(until) => compio::time::sleep(until.since(now)).await,
                step => self.execute(&mut progress, step).await,
            }
        }
    }

    /// Executes a step of the reader at the source that is chosen for it.
    async fn execute(&self, progress: &mut Progress, step: Step) {
        let now = self.clock.now();
        let plan = {
            let members = self.members.borrow();
            let confirmed_at = progress.confirmed_at;
            progress.sources.plan(now, confirmed_at, &members.fleet())
        };
        let result = match plan {
            Plan::Pause(until) => return compio::time::sleep(until.since(now)).await,
            Plan::CallStore { wait } => {
                progress.source = Source::Store;
                self.call_store(&mut progress.reader, step, wait).await
            }
            Plan::AskDaemon {
                address,
                wait,
                timeout,
            } => {
                progress.source = Source::Daemon(address);
                self.ask_daemon(progress, address, step, (wait, timeout))
                    .await
            }
        };
        self.handle_result(progress, result);
        self.hub.set_store_state(StoreState {
            source: progress.followed,
            confirmed_at: progress.confirmed_at,
            position: progress.reader.position(),
        });
    }

    /// Makes the initial reads that may return stale data. They cost the store little and
    /// run while the other daemons are being discovered.
    async fn read_stale(&self, progress: &mut Progress) {
        loop {
            let step = progress.reader.next(self.clock.now());
            if !step.allows_stale() {
                return;
            }
            let result = self
                .call_store(&mut progress.reader, step, Duration::ZERO)
                .await;
            let failed = matches!(result, CallResult::Failed(_));
            self.handle_result(progress, result);
            if failed {
                return;
            }
        }
    }

    fn handle_result(&self, progress: &mut Progress, result: CallResult) {
        let source = progress.source;
        match result {
            CallResult::Confirmed(confirmed_at, changes) => {
                progress.sources.on_confirmed(source);
                self.log_reached(progress);
                self.log_followed(progress);
                progress.confirmed_at = progress.confirmed_at.max(confirmed_at);
                self.apply_changes(progress, changes);
            }
            CallResult::Partial(changes) => {
                progress.sources.on_answer(source);
                self.log_reached(progress);
                self.apply_changes(progress, changes);
            }
            CallResult::Stale(confirmed_at, changes) => {
                progress.confirmed_at = progress.confirmed_at.max(confirmed_at);
                self.apply_changes(progress, changes);
                let cause = "the other daemon's state was not confirmed lately";
                self.handle_failure(progress, SourceFailure::Stale, cause.to_owned());
            }
            // Its next read may catch up. Until then the state grows older.
            CallResult::Behind(behind) => {
                if progress
                    .sources
                    .is_stale(self.clock.now(), progress.confirmed_at)
                {
                    self.handle_failure(progress, SourceFailure::Stale, behind.to_string());
                }
            }
            CallResult::HistoryGone(cause) => {
                info!("store: the whole state is read again", kv: { cause, source: = source });
                progress.sources.on_answer(source);
                progress.reader.on_history_gone();
            }
            CallResult::Failed(cause) => {
                self.handle_failure(progress, SourceFailure::Unreachable, cause);
            }
        }
    }

    fn log_reached(&self, progress: &Progress) {
        if self.hub.metrics().store_reached() {
            info!("store: reached", kv: {
                position: = progress.reader.position(),
                source: = progress.source,
            });
        }
    }

    /// Logs that the state is confirmed by another source than before, after which time.
    fn log_followed(&self, progress: &mut Progress) {
        let source = progress.source;
        if progress.followed != source {
            progress.followed = source;
            let age = self.clock.now().since(progress.confirmed_at);
            info!("store: changes are learnt from", kv: {
                source: = source,
                position: = progress.reader.position(),
                age_ms = age.as_millis() as u64,
            });
        }
    }

    fn handle_failure(&self, progress: &mut Progress, reason: SourceFailure, cause: String) {
        self.relay.failed();
        let now = self.clock.now();
        let pause = {
            let members = self.members.borrow();
            let sources = &mut progress.sources;
            sources.on_failure(now, progress.source, reason, &members.fleet())
        };
        if self.hub.metrics().store_failed() {
            warn!("store: not reached", kv: {
                cause,
                source: = progress.source,
                position: = progress.reader.position(),
                age_ms = now.since(progress.confirmed_at).as_millis() as u64,
                retry_ms = pause.as_millis() as u64,
            });
        }
    }

    /// Applies changes to the forwarder and makes them available to other daemons.
    fn apply_changes(&self, progress: &mut Progress, changes: Vec<Change>) {
        self.relay.stage(&changes);
        let reads_store = progress.source == Source::Store;
        let confirmed_at = progress.confirmed_at;
        if let Some(publication) = progress.reader.take_publication(confirmed_at, reads_store) {
            self.relay.publish(publication);
        }
        for change in changes {
            self.apply(progress, change);
        }
        if progress.reader.is_complete() && !self.complete.replace(true) {
            self.log_ready();
        }
        self.relay.applied();
    }

    /// Fetches the snapshot of a running daemon once the daemons are known. A store that has
    /// just been restored from a backup may lack entries that the snapshot has.
    async fn fetch_peer_snapshot(&self, started: Timestamp) -> Option<(SocketAddr, Snapshot)> {
        self.wait_for_members(started).await;
        let address = self.next_running_daemon()?;
        let timeout = PEER_SNAPSHOT_TIMEOUT;
        let http = HttpReader::new(jasminepond_platform::Options { address, timeout });
        let path = store_relay::snapshot_path(Duration::ZERO, Accept::Current);
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

    fn merge_peer_snapshot(
        &self,
        progress: &mut Progress,
        snapshot: Option<(SocketAddr, Snapshot)>,
    ) {
        let Some((source, snapshot)) = snapshot else {
            return;
        };
        match progress.reader.merge_snapshot(self.clock.now(), snapshot) {
            Ok(changes) => {
                info!("store: view of another daemon added", kv: { source: = source, changes = changes.len() });
                self.apply_changes(progress, changes);
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

    /// Executes a step of the reader with a call to another daemon. `limits` are the longest
    /// wait there and the timeout of the call.
    async fn ask_daemon(
        &self,
        progress: &mut Progress,
        address: SocketAddr,
        step: Step,
        limits: (Duration, Duration),
    ) -> CallResult {
        let called_at = self.clock.now();
        let http = self.client(&mut progress.peer, address);
        let reader = &mut progress.reader;
        let request = reader.peer_request(&step);
        let (path, timeout) = peer_call(request, &step, limits);
        let HttpResponse { status, body, .. } = match http.get_within(&path, timeout).await {
            Ok(answer) => answer,
            Err(err) => return unreachable(err),
        };
        let now = self.clock.now();
        let (confirmation, changes) = match (status, request) {
            (200, PeerRequest::Changes(_)) => {
                match ciborium::from_reader::<Changes, _>(&body[..]) {
                    Ok(changes) => (changes.confirmation, reader.on_changes(now, changes)),
                    Err(err) => return unreachable(err),
                }
            }
            (200, PeerRequest::Snapshot) => match ciborium::from_reader::<Snapshot, _>(&body[..]) {
                Ok(snapshot) => {
                    let confirmation = snapshot.confirmation;
                    let confirmed_at = confirmed_at(confirmation, called_at, now);
                    if !reader.is_complete() && progress.sources.is_stale(now, confirmed_at) {
                        return unreachable("its state was not confirmed lately");
                    }
                    (confirmation, reader.on_snapshot(now, snapshot))
                }
                Err(err) => return unreachable(err),
            },
            (410, _) => {
                let cause = "the other daemon no longer knows the changes";
                return CallResult::HistoryGone(cause.to_owned());
            }
            (status, _) => return unreachable(format!("status {status}")),
        };
        let changes = match changes {
            Ok(changes) => changes,
            Err(behind @ UnusableState::Behind { .. })
                if matches!(request, PeerRequest::Changes(_)) =>
            {
                return CallResult::Behind(behind);
            }
            Err(unusable) => return unreachable(unusable),
        };
        reader.on_confirmed();
        let confirmed_at = confirmed_at(confirmation, called_at, now);
        if progress.sources.is_stale(now, confirmed_at) {
            return CallResult::Stale(confirmed_at, changes);
        }
        CallResult::Confirmed(confirmed_at, changes)
    }

    /// Returns the client for the daemon with this address.
    fn client<'a>(
        &self,
        peer: &'a mut Option<(SocketAddr, HttpReader)>,
        address: SocketAddr,
    ) -> &'a HttpReader {
        if peer
            .as_ref()
            .is_some_and(|(current, _)| *current != address)
        {
            *peer = None;
        }
        let timeout = self.timeout;
        let options = jasminepond_platform::Options { address, timeout };
        let (_, http) = peer.get_or_insert_with(|| (address, HttpReader::new(options)));
        http
    }

    /// Executes a step of the reader with a call to the store. A watch waits for at most
    /// `wait`.
    async fn call_store(&self, reader: &mut Reader, step: Step, wait: Duration) -> CallResult {
        self.hub.metrics().store_called();
        let called_at = self.clock.now();
        let (path, extra) = match &step {
            Step::ListOperator { after, stale } => {
                let path = self.adapter.operator_path(after.as_deref(), *stale);
                (path, Duration::ZERO)
            }
            Step::ListBackends { after, stale } => {
                let path = self.adapter.backends_path(after.as_deref(), *stale);
                (path, Duration::ZERO)
            }
            Step::Watch { after, wait: most } => {
                let wait = wait.min(most.duration());
                (self.adapter.watch_path(*after, wait.into()), wait)
            }
            Step::Pause(_) => return CallResult::Partial(Vec::new()),
        };
        let HttpResponse {
            status,
            headers,
            body,
        } = match self.http.get(&path, extra).await {
            Ok(answer) => answer,
            // The changes after the position have become too many. The newest values have not.
            Err(err @ PlatformError::TooLarge { .. }) if matches!(step, Step::Watch { .. }) => {
                return CallResult::HistoryGone(err.to_string());
            }
            Err(err) => return unreachable(err),
        };
        let now = self.clock.now();
        let era = self.stated_era(&headers).unwrap_or(reader.era());
        match reader.on_era(now, era) {
            EraCheck::Same => {}
            EraCheck::Restored { before } => {
                warn!("store: came back from a copy; everything is read again", kv: { before:, era: });
                return CallResult::Partial(Vec::new());
            }
            EraCheck::Old => {
                let known = reader.era();
                return unreachable(format!("an answer of era {era}, after one of era {known}"));
            }
        }
        let changes = match (&step, status) {
            (Step::ListOperator { .. }, 200) => self
                .adapter
                .decode_page(era, &body)
                .map(|page| reader.on_operator_page(now, page)),
            (Step::ListBackends { .. }, 200) => self
                .adapter
                .decode_page(era, &body)
                .map(|page| reader.on_page(now, page)),
            (Step::Watch { .. }, 200) => {
                let watched = self.adapter.decode_watch(era, &body);
                return match watched {
                    Ok(watched) => {
                        let waited = if watched.events.is_empty() {
                            extra
                        } else {
                            Duration::ZERO
                        };
                        let changes = reader.on_watch(now, watched);
                        CallResult::Confirmed(now.min(called_at + waited), changes)
                    }
                    Err(err) => unreachable(err),
                };
            }
            (Step::Watch { .. }, 410) => {
                let cause = "the history after the position is gone";
                return CallResult::HistoryGone(cause.to_owned());
            }
            (_, status) => return unreachable(format!("status {status}")),
        };
        changes.map_or_else(unreachable, CallResult::Partial)
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

    fn apply(&self, progress: &Progress, change: Change) {
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
            Change::Evacuated(zones) => {
                let changes = self.hub.change(|f, now| f.set_evacuated(now, &zones));
                for change in changes {
                    self.log_zone_change(progress, change);
                }
            }
        }
    }

    /// Logs a change of the evacuated zones, and how old and from where the state is that
    /// contains it.
    fn log_zone_change(&self, progress: &Progress, change: ZoneChange) {
        let age_ms = self.clock.now().since(progress.confirmed_at).as_millis() as u64;
        let held_out = self.hub.read(|forwarder| forwarder.status().held_out);
        match change {
            ZoneChange::Evacuated(zone) => {
                warn!("gateway: an availability zone is evacuated; its servers get no requests", kv: {
                    zone: = zone,
                    servers = held_out,
                    source: = progress.source,
                    position: = progress.reader.position(),
                    age_ms,
                });
            }
            ZoneChange::Lifted { zone, after } => {
                warn!("gateway: the evacuation of an availability zone is lifted", kv: {
                    zone: = zone,
                    after_ms = after.as_millis() as u64,
                    source: = progress.source,
                    position: = progress.reader.position(),
                    age_ms,
                });
            }
        }
    }
}

/// Returns the path of a request to another daemon and its timeout, within the limits on the
/// wait there and on the whole call.
fn peer_call(
    request: PeerRequest,
    step: &Step,
    (wait, timeout): (Duration, Duration),
) -> (String, Duration) {
    let longest = match (request, step) {
        (PeerRequest::Changes(_), Step::Watch { wait, .. }) => wait.duration(),
        _ => store_relay::SNAPSHOT_WAIT,
    };
    let wait_there = wait.min(longest);
    let timeout = timeout.saturating_sub(wait - wait_there);
    let path = match request {
        PeerRequest::Changes(after) => store_relay::changes_path(after, wait_there, Accept::AnyAge),
        PeerRequest::Snapshot => store_relay::snapshot_path(wait_there, Accept::AnyAge),
    };
    (path, timeout)
}

/// Returns the time for which another daemon's answer at `now` is confirmed. Earlier builds
/// state no age, but serve only a state that was confirmed lately.
fn confirmed_at(
    confirmation: Option<Confirmation>,
    called_at: Timestamp,
    now: Timestamp,
) -> Timestamp {
    let stated = confirmation.map(|confirmation| confirmation.confirmed_at(called_at));
    stated.map_or(now, |confirmed_at| confirmed_at.min(now))
}

fn unreachable(cause: impl ToString) -> CallResult {
    CallResult::Failed(cause.to_string())
}
