//! Reads of the control task from the platform.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use compio::runtime::JoinHandle;
use jasminepond_membership::ReportKind;
use jasminepond_platform::{Instance, ListedState, PlatformError, Role as Listing, Tree};
use jasminepond_sync::{Digest, FileRef, Role, ServiceFailure};
use jasminepond_types::{Revision, ServerId, Timestamp};
use spdlog::{debug, info};

use super::{Control, Event, Report};

/// Time for which the service is asked to hold a watch open.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Interval between a reader's reads of the instance list. Two readers in each of 17
/// zones make 17 reads per second.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Initial and maximum interval between reads of the instance list by a daemon that
/// has not joined; the interval doubles with each read. At the maximum, 3,900 daemons
/// that cannot join make 130 reads per second.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
const MAX_JOIN_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which a server is reported again while it stays listed as leaving,
/// because reports expire at the other daemons.
const REPORT_INTERVAL: Duration = Duration::from_secs(15);

/// The pending watch. Dropping its task cancels the call.
#[derive(Default)]
pub struct Watch {
    number: u64,
    task: Option<JoinHandle<()>>,
}

impl Watch {
    /// Cancels the pending watch; a result that is already queued is ignored.
    pub fn stop(&mut self) {
        self.number += 1;
        self.task = None;
    }
}

/// State of the reads of the instance list.
#[derive(Default)]
pub struct InstanceList {
    next_read: Timestamp,
    interval: Duration,
    pending: bool,
    leaving: BTreeMap<ServerId, Timestamp>,
}

fn failure(err: &PlatformError) -> ServiceFailure {
    match err {
        PlatformError::RateLimited => ServiceFailure::Refused,
        PlatformError::NotFound => ServiceFailure::FileChanged,
        PlatformError::Unreachable(_)
        | PlatformError::Malformed(_)
        | PlatformError::TooLarge { .. } => ServiceFailure::Unavailable,
    }
}

impl Control {
    pub(super) fn start_watch(&mut self, after: Revision) {
        self.watch.stop();
        self.calls += 1;
        let number = self.watch.number;
        let (platform, tx) = (self.cx.platform.clone(), self.cx.tx.clone());
        self.watch.task = Some(compio::runtime::spawn(async move {
            let result = platform.watch(after, WATCH_WAIT).await;
            let _ = tx.unbounded_send(Event::Watched(number, result));
        }));
    }

    pub(super) fn on_watched(
        &mut self,
        now: Timestamp,
        number: u64,
        result: Result<Option<Tree>, PlatformError>,
    ) {
        if number != self.watch.number {
            return;
        }
        let actions = match result {
            Ok(None) => self.sync.service_unchanged(now),
            Ok(Some(tree)) => match file_refs(&tree) {
                Some(files) => self.sync.service_tree(now, tree.revision, files),
                None => self.sync.service_failed(now, ServiceFailure::Unavailable),
            },
            Err(err) => {
                debug!("config: watching the service failed: {err}");
                self.sync.service_failed(now, failure(&err))
            }
        };
        self.perform_sync(now, actions);
    }

    pub(super) fn fetch(&mut self, name: Arc<str>, digest: Digest) {
        self.calls += 1;
        let (platform, tx) = (self.cx.platform.clone(), self.cx.tx.clone());
        compio::runtime::spawn(async move {
            let result = platform.file(name.to_string(), digest.to_string()).await;
            let _ = tx.unbounded_send(Event::File(name, result));
        })
        .detach();
    }

    pub(super) fn on_file(
        &mut self,
        now: Timestamp,
        name: &str,
        result: Result<Vec<u8>, PlatformError>,
    ) {
        let actions = match result {
            Ok(bytes) => self.sync.service_file(now, name, bytes.into()),
            Err(err) => {
                debug!("config: reading {name} failed: {err}");
                self.sync.service_failed(now, failure(&err))
            }
        };
        self.perform_sync(now, actions);
    }

    /// Reads the instance list: readers look for leaving servers, and a daemon that has
    /// not joined looks for other daemons to contact.
    pub(super) fn poll_instances(&mut self, now: Timestamp) {
        let joined = self.membership.is_joined();
        if joined && self.sync.role() == Role::Follower {
            return;
        }
        if self.listed.pending || now < self.listed.next_read {
            return;
        }
        self.listed.interval = if joined {
            LIST_INTERVAL
        } else {
            (self.listed.interval * 2).clamp(JOIN_INTERVAL, MAX_JOIN_INTERVAL)
        };
        self.listed.next_read = now + self.listed.interval;
        self.listed.pending = true;
        self.calls += 1;
        let (platform, tx) = (self.cx.platform.clone(), self.cx.tx.clone());
        compio::runtime::spawn(async move {
            let result = platform.instances().await;
            let _ = tx.unbounded_send(Event::Instances(result));
        })
        .detach();
    }

    pub(super) fn on_instances(
        &mut self,
        now: Timestamp,
        result: Result<Vec<Instance>, PlatformError>,
    ) {
        self.listed.pending = false;
        let instances = match result {
            Ok(instances) => instances,
            Err(err) => return debug!("membership: reading the instance list failed: {err}"),
        };
        let is_live_daemon =
            |i: &&Instance| i.role == Listing::Daemon && i.state == ListedState::Live;
        self.membership
            .set_seeds(instances.iter().filter(is_live_daemon).map(|i| i.address));
        let leaving: HashSet<ServerId> = instances
            .iter()
            .filter(|i| i.role == Listing::Backend && i.state == ListedState::Leaving)
            .filter_map(|i| i.id.parse().ok())
            .collect();
        let no_longer_leaving: Vec<ServerId> = self
            .listed
            .leaving
            .keys()
            .filter(|server| !leaving.contains(*server))
            .cloned()
            .collect();
        for server in no_longer_leaving {
            self.retract_leaving(now, server);
        }
        for server in leaving {
            self.report_leaving(now, server);
        }
    }

    /// Retracts the report of a server that is no longer listed as leaving. Otherwise
    /// this daemon would keep spreading its earlier report until it expires.
    fn retract_leaving(&mut self, now: Timestamp, server: ServerId) {
        info!("membership: the instance list no longer says that server {server} is leaving");
        self.listed.leaving.remove(&server);
        self.membership
            .report(now, server.clone(), ReportKind::Back);
        (self.cx.report)(Report::Server(server, ReportKind::Back));
    }

    fn report_leaving(&mut self, now: Timestamp, server: ServerId) {
        let reported = self.listed.leaving.get(&server);
        if reported.is_some_and(|at| now.since(*at) < REPORT_INTERVAL) {
            return;
        }
        if reported.is_none() {
            info!("membership: the instance list says that server {server} is leaving");
        }
        self.listed.leaving.insert(server.clone(), now);
        self.membership
            .report(now, server.clone(), ReportKind::Draining);
        (self.cx.report)(Report::Server(server, ReportKind::Draining));
    }
}

fn file_refs(tree: &Tree) -> Option<Vec<FileRef>> {
    let file = |entry: &jasminepond_platform::FileEntry| {
        let digest = entry.digest.parse().ok()?;
        Some(FileRef {
            name: entry.name.as_str().into(),
            digest,
            size: entry.size,
        })
    };
    tree.files.iter().map(file).collect()
}
