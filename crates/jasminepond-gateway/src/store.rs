//! The task that follows the store.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use jasminepond_daemon::clock::Clock;
use jasminepond_discovery::{
    Change, Changes, Failure, Reader, ReaderSettings, Snapshot, Source, Step, choose_source,
};
use jasminepond_platform::{HttpReader, PlatformError};
use jasminepond_routes::FrontLimits;
use spdlog::{info, warn};

use crate::{
    Dialect,
    hub::Hub,
    members::Members,
    relay::{self, SharedRelay},
};

/// Follows the store and puts what it says into the forwarder.
pub struct Follower {
    /// Calls the store.
    pub http: HttpReader,
    /// Longest time of a read.
    pub timeout: Duration,
    /// The other daemons.
    pub members: Rc<RefCell<Members>>,
    /// Set once they are known.
    pub settled: Rc<Cell<bool>>,
    /// What is passed on to them.
    pub relay: Rc<SharedRelay>,
    /// Translates the store's answers.
    pub dialect: Rc<dyn Dialect>,
    /// The hub.
    pub hub: Rc<Hub>,
    /// The clock.
    pub clock: Clock,
    /// Set once a release and all servers were read.
    pub complete: Rc<Cell<bool>>,
    /// Called with the limits of each release.
    pub on_limits: Rc<dyn Fn(&FrontLimits)>,
}

/// Longest wait for the other daemons before the store is read.
const MEMBERS_WAIT: Duration = Duration::from_millis(120);

/// Time between two looks whether they are known.
const MEMBERS_POLL: Duration = Duration::from_millis(10);

/// What came of a call.
enum Called {
    Changes(Vec<Change>),
    Failed(Failure, String),
}

impl Follower {
    /// Follows the store for as long as the process runs.
    pub async fn run(self) {
        let mut reader = Reader::new(ReaderSettings::default());
        let mut peer: Option<(SocketAddr, HttpReader)> = None;
        self.wait_for_members().await;
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
            match called {
                Called::Changes(changes) => {
                    if self.hub.metrics().store_reached() {
                        info!("store: reached", kv: { position: = reader.position() });
                    }
                    let from_store = peer.is_none();
                    self.relay.take(from_store, reader.position(), &changes);
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
    /// that start together must not all read the store.
    async fn wait_for_members(&self) {
        let started = self.clock.now();
        while !self.settled.get() && self.clock.now().since(started) < MEMBERS_WAIT {
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
            Step::Watch { after, wait } => (relay::changes_call(*after, *wait), wait.duration()),
            _ => (relay::snapshot_call(), relay::SNAPSHOT_WAIT),
        };
        let (status, body) = match http.get(&path, extra).await {
            Ok(answer) => answer,
            Err(err) => return Called::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let malformed = |err: ciborium::de::Error<std::io::Error>| {
            Called::Failed(Failure::Unreachable, err.to_string())
        };
        match (&step, status) {
            (Step::Watch { .. }, 200) => match ciborium::from_reader::<Changes, _>(&body[..]) {
                Ok(changes) => {
                    Called::Changes(reader.on_relayed(now, changes.position, changes.changes))
                }
                Err(err) => malformed(err),
            },
            (Step::Watch { .. }, 410) => {
                let cause = "the other daemon no longer knows the changes";
                Called::Failed(Failure::HistoryGone, cause.to_owned())
            }
            (_, 200) => match ciborium::from_reader::<Snapshot, _>(&body[..]) {
                Ok(snapshot) => match reader.on_snapshot(now, snapshot) {
                    Ok(changes) => Called::Changes(changes),
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
            Step::ReadRelease { stale } => (self.dialect.release_call(*stale), Duration::ZERO),
            Step::ListBackends { after, stale } => {
                let path = self.dialect.backends_call(after.as_deref(), *stale);
                (path, Duration::ZERO)
            }
            Step::Watch { after, wait } => {
                (self.dialect.watch_call(*after, *wait), wait.duration())
            }
            Step::Pause(_) => return Called::Changes(Vec::new()),
        };
        let (status, body) = match self.http.get(&path, extra).await {
            Ok(answer) => answer,
            Err(PlatformError::Limited) => {
                return Called::Failed(Failure::Busy, "too many reads".to_owned());
            }
            Err(err) => return Called::Failed(Failure::Unreachable, err.to_string()),
        };
        let now = self.clock.now();
        let changes = match (&step, status) {
            (Step::ReadRelease { .. }, 404) => Ok(reader.on_release(now, None, reader.position())),
            (Step::ReadRelease { .. }, 200) => {
                let release = self.dialect.release(&body);
                release.map(|(item, position)| reader.on_release(now, Some(item), position))
            }
            (Step::ListBackends { .. }, 200) => {
                self.dialect.page(&body).map(|page| reader.on_page(page))
            }
            (Step::Watch { .. }, 200) => {
                let watched = self.dialect.watched(&body);
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
            Change::Gone { id, reason } => {
                info!("store: backend server gone", kv: { server = id.as_str(), reason });
                self.hub.change(|f, now| f.remove_backend(now, &id));
            }
        }
    }
}
