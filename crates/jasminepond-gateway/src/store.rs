//! The task that follows the store.

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

/// Follows the store and puts what it says into the forwarder.
pub struct Follower {
    /// Calls the store.
    pub http: HttpReader,
    /// Longest time of a read.
    pub timeout: Duration,
    /// Settings of the reader.
    pub reader: ReaderSettings,
    /// The other daemons.
    pub members: Rc<RefCell<Members>>,
    /// Set once they are known.
    pub settled: Rc<Cell<bool>>,
    /// What is passed on to them.
    pub relay: Rc<SharedRelay>,
    /// Translates the store's answers.
    pub adapter: Rc<dyn PlatformAdapter>,
    /// The hub.
    pub hub: Rc<Hub>,
    /// The clock.
    pub clock: Clock,
    /// Set once a release and all servers were read.
    pub complete: Rc<Cell<bool>>,
    /// Called with the limits of each release.
    pub on_limits: Rc<dyn Fn(&CallerLimits)>,
}

/// Longest wait for the other daemons before the first reading is confirmed.
const MEMBERS_WAIT: Duration = Duration::from_millis(120);

/// Time between two looks whether they are known.
const MEMBERS_POLL: Duration = Duration::from_millis(5);

/// Looks without a new daemon after which a few daemons are taken to be all.
const FEW_LOOKS: u32 = 2;

/// Longest time for which a daemon that starts waits for another's view.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_millis(100);

/// What came of a call.
enum Called {
    Changes(Vec<Change>),
    Failed(Failure, String),
}

impl Follower {
    /// Follows the store for as long as the process runs.
    pub async fn run(self) {
        let started = self.clock.now();
        let mut reader = Reader::new(self.reader.clone());
        let (view, ()) = join!(self.fetch_view(started), self.read_first(&mut reader));
        self.add_view(&mut reader, view);
        let mut peer: Option<(SocketAddr, HttpReader)> = None;
        loop {
            let now = self.clock.now();
            let called = match reader.next(now) {
                Step::Pause(until) => {
                    compio::time::sleep(until.since(now)).await;
                    continue;
                }
                step => match self.peer(&mut peer, reader.failures()) {
                    Some(http) => self.call_daemon(http, &mut reader, step).await,
                    None => self.call(&mut reader, step).await,
                },
            };
            self.conclude(&mut reader, peer.is_none(), called);
        }
    }

    /// Reads what may be old, which costs the store little, while the other daemons are
    /// being found.
    async fn read_first(&self, reader: &mut Reader) {
        loop {
            let step = reader.next(self.clock.now());
            if !step.allows_stale() {
                return;
            }
            let called = self.call(reader, step).await;
            self.conclude(reader, true, called);
        }
    }

    fn conclude(&self, reader: &mut Reader, from_store: bool, called: Called) {
        match called {
            Called::Changes(changes) => {
                if self.hub.metrics().store_reached() {
                    info!("store: reached", kv: { position: = reader.position() });
                }
                self.take_over(reader, from_store, changes);
            }
            Called::Failed(failure, cause) => {
                self.relay.failed();
                let pause = reader.on_failure(self.clock.now(), failure);
                if self.hub.metrics().store_lost() {
                    warn!("store: not reached", kv: {
                        cause,
                        position: = reader.position(),
                        retry_ms = pause.as_millis() as u64,
                    });
                }
            }
        }
    }

    /// Puts in force what was read, and passes it on.
    fn take_over(&self, reader: &Reader, from_store: bool, changes: Vec<Change>) {
        self.relay.take(from_store, reader.position(), &changes);
        self.relay.settling(reader.settled_at());
        let mut news = !changes.is_empty();
        for change in changes {
            self.apply(change);
        }
        if reader.is_complete() && !self.complete.replace(true) {
            self.log_ready();
            news = true;
        }
        self.relay.taken_over(news);
    }

    /// What a daemon that runs knows, once the others are known: a store that has just come
    /// back from a copy knows less.
    async fn fetch_view(&self, started: Timestamp) -> Option<(SocketAddr, Snapshot)> {
        self.wait_for_members(started).await;
        let address = self.next_daemon()?;
        let timeout = FIRST_VIEW_TIMEOUT;
        let http = HttpReader::new(jasminepond_platform::Options { address, timeout }).ok()?;
        let path = store_relay::snapshot_path(Duration::ZERO);
        // One that does not answer or has no view itself adds nothing.
        let answer = http.get(&path, Duration::ZERO).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        match ciborium::from_reader(&answer.body[..]) {
            Ok(view) => Some((address, view)),
            Err(err) => {
                warn!("store: the view of another daemon cannot be read", kv: { source: = address, error: = err });
                None
            }
        }
    }

    fn add_view(&self, reader: &mut Reader, view: Option<(SocketAddr, Snapshot)>) {
        let Some((source, view)) = view else {
            return;
        };
        match reader.merge_snapshot(self.clock.now(), view) {
            Ok(changes) => {
                info!("store: view of another daemon added", kv: { source: = source, changes = changes.len() });
                self.take_over(reader, false, changes);
            }
            Err(behind) => {
                warn!("store: view of another daemon not added", kv: { source: = source, cause: = behind });
            }
        }
    }

    /// The running daemon that follows this one in the order that all agree on.
    fn next_daemon(&self) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let count = members.addresses.len();
        let mut others = (1..count).map(|step| (members.rank + step) % count);
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

    /// Waits until the other daemons are known, for a short time at most: many daemons
    /// that start together must not all ask the store for what changed. A few may.
    async fn wait_for_members(&self, started: Timestamp) {
        let (mut known, mut looks) = (0, 0);
        while !self.settled.get() && self.clock.now().since(started) < MEMBERS_WAIT {
            let present = self.members.borrow().running.len();
            looks = if present == known { looks + 1 } else { 0 };
            known = present;
            if known > 1 && looks >= FEW_LOOKS && reads_directly(known) {
                return;
            }
            compio::time::sleep(MEMBERS_POLL).await;
        }
    }

    /// The daemon to be followed, or `None` to read the store.
    fn peer<'a>(
        &self,
        peer: &'a mut Option<(SocketAddr, HttpReader)>,
        failures: u32,
    ) -> Option<&'a HttpReader> {
        let members = self.members.borrow();
        let address = match choose_source(&members.running, members.rank, failures) {
            Source::Store => None,
            Source::Daemon(rank) => members.addresses.get(rank).copied(),
        };
        let present = peer.as_ref().map(|(address, _)| *address);
        if address != present {
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

    /// Learns from another daemon what the step asks for.
    async fn call_daemon(&self, http: &HttpReader, reader: &mut Reader, step: Step) -> Called {
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
            Err(err) => return Called::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let malformed = |err: ciborium::de::Error<std::io::Error>| {
            Called::Failed(Failure::Unreachable, err.to_string())
        };
        match (&step, status) {
            (Step::Watch { .. }, 200) if reader.is_complete() => {
                match ciborium::from_reader::<Changes, _>(&body[..]) {
                    Ok(changes) => {
                        Called::Changes(reader.on_relayed(now, changes.position, changes.changes))
                    }
                    Err(err) => malformed(err),
                }
            }
            (Step::Watch { .. }, 410) => {
                let cause = "the other daemon no longer knows the changes";
                Called::Failed(Failure::HistoryGone, cause.to_owned())
            }
            (_, 200) => match ciborium::from_reader::<Snapshot, _>(&body[..]) {
                Ok(snapshot) => match reader.on_snapshot(now, snapshot) {
                    Ok(changes) => {
                        reader.on_confirmed();
                        Called::Changes(changes)
                    }
                    Err(behind) => Called::Failed(Failure::Unreachable, behind.to_string()),
                },
                Err(err) => malformed(err),
            },
            (_, status) => Called::Failed(Failure::Unreachable, format!("status {status}")),
        }
    }

    async fn call(&self, reader: &mut Reader, step: Step) -> Called {
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
            Step::Pause(_) => return Called::Changes(Vec::new()),
        };
        let HttpResponse {
            status,
            headers,
            body,
        } = match self.http.get(&path, extra).await {
            Ok(answer) => answer,
            Err(PlatformError::RateLimited) => {
                return Called::Failed(Failure::Busy, "too many reads".to_owned());
            }
            Err(err) => return Called::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let era = self.stated_era(&headers).unwrap_or(reader.era());
        match reader.on_era(now, era) {
            EraCheck::Same => {}
            EraCheck::Restored { before } => {
                warn!("store: came back from a copy; everything is read again", kv: { before:, era: });
                return Called::Changes(Vec::new());
            }
            EraCheck::Old => {
                let known = reader.era();
                let cause = format!("an answer of era {era}, after one of era {known}");
                return Called::Failed(Failure::OldEra, cause);
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
                return Called::Failed(Failure::HistoryGone, cause.to_owned());
            }
            (_, status) => {
                return Called::Failed(Failure::Unreachable, format!("status {status}"));
            }
        };
        match changes {
            Ok(changes) => Called::Changes(changes),
            Err(err) => Called::Failed(Failure::Unreachable, err.to_string()),
        }
    }

    /// The era that the store states, if it states one that can be read.
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
                let taken = self.hub.change(|f, now| f.put_release(now, &release));
                self.hub.metrics().set_release(release.version);
                info!("store: release", kv: {
                    release: = release.version,
                    routes = release.routes.len(),
                    in_force = taken,
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
