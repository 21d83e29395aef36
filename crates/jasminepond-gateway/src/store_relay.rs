//! Serves the state read from the store to other daemons.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::{FutureExt, select_biased};
use http_body_util::Full;
use hyper::{Response, StatusCode};
use jasminepond_daemon::{
    clock::Clock,
    net::http::{BufferedRequest, BufferedResponse, error_response},
};
use jasminepond_discovery::{Change, Position, Relay, RelayError};
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use serde::Serialize;

/// Prefix of the paths that only daemons call.
pub const PREFIX: &str = "/jasminepond/";

const SNAPSHOT: &str = "/jasminepond/snapshot";
const CHANGES: &str = "/jasminepond/changes";

/// Limit on the wait for changes that a daemon requests.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Limit on the wait of a snapshot request for the first complete read of the store.
pub const SNAPSHOT_WAIT: Duration = Duration::from_millis(600);

/// Returns the path and query of a snapshot request that waits up to `wait` for the first
/// complete read.
pub fn snapshot_path(wait: Duration) -> String {
    format!("{SNAPSHOT}?wait_ms={}", wait.as_millis())
}

/// Returns the path and query of a request that waits for changes after a position.
pub fn changes_path(after: Position, wait: Millis) -> String {
    format!("{CHANGES}?after={after}&wait_ms={}", wait.0)
}

/// Relay with the requests that wait for changes.
pub struct SharedRelay {
    clock: Clock,
    relay: RefCell<Relay>,
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Whether a release and all entries have been read. Before that, a snapshot would be
    /// taken for the complete state.
    complete: Rc<Cell<bool>>,
    /// Whether the last read of the store failed.
    failing: Cell<bool>,
}

impl SharedRelay {
    /// Creates a relay without state.
    pub fn new(clock: Clock, complete: Rc<Cell<bool>>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            relay: RefCell::default(),
            waiters: RefCell::default(),
            complete,
            failing: Cell::new(false),
        })
    }

    /// Records changes up to `position`, read from the store or from another daemon.
    pub fn record(&self, from_store: bool, position: Position, changes: &[Change]) {
        let mut relay = self.relay.borrow_mut();
        if from_store {
            relay.record(self.clock.now(), position, changes);
        } else {
            relay.record_relayed(position, changes);
        }
    }

    /// Sets the time until which the store may return less than is known.
    pub fn set_settled_at(&self, until: Timestamp) {
        self.relay.borrow_mut().set_settled_at(until);
    }

    /// Notes that a read was applied. `changed` states whether it changed anything.
    pub fn applied(&self, changed: bool) {
        self.failing.set(false);
        if changed {
            self.wake_waiters();
        }
    }

    /// Notes that a read failed. Requests that wait for the first read are answered at once.
    pub fn failed(&self) {
        self.failing.set(true);
        if !self.complete.get() {
            self.wake_waiters();
        }
    }

    fn wake_waiters(&self) {
        // The receiver is gone if the request was cancelled or timed out.
        for tx in self.waiters.borrow_mut().drain(..) {
            let _ = tx.send(());
        }
    }

    /// Returns a snapshot of the state, after waiting for the first complete read.
    async fn snapshot(&self, wait: Duration) -> BufferedResponse {
        let deadline = self.clock.now() + wait.min(SNAPSHOT_WAIT);
        while !self.complete.get() && !self.failing.get() {
            let left = deadline.since(self.clock.now());
            if left.is_zero() {
                break;
            }
            let (tx, rx) = oneshot::channel();
            self.waiters.borrow_mut().push(tx);
            select_biased! {
                _ = rx.fuse() => {}
                _ = pin!(compio::time::sleep(left).fuse()) => {}
            }
        }
        if !self.complete.get() {
            return cbor_response(Err::<(), _>(RelayError::NotCurrent));
        }
        cbor_response(self.relay.borrow().snapshot(self.clock.now()))
    }

    /// Returns the changes after a position, after waiting for one if there is none.
    async fn changes(&self, after: Position, wait: Duration) -> BufferedResponse {
        let known = self.relay.borrow().changes(self.clock.now(), after);
        let is_empty = known.as_ref().is_ok_and(|known| known.changes.is_empty());
        if is_empty {
            let (tx, rx) = oneshot::channel();
            self.waiters.borrow_mut().push(tx);
            select_biased! {
                _ = rx.fuse() => {}
                _ = pin!(compio::time::sleep(wait.min(MAX_WAIT)).fuse()) => {}
            }
        }
        cbor_response(self.relay.borrow().changes(self.clock.now(), after))
    }
}

/// Handles a request of another daemon.
pub async fn respond(relay: Rc<SharedRelay>, req: BufferedRequest) -> BufferedResponse {
    let param = |name: &str| {
        let mut pairs = req
            .head
            .uri
            .query()?
            .split('&')
            .filter_map(|p| p.split_once('='));
        Some(pairs.find(|(n, _)| *n == name)?.1)
    };
    let wait = || Some(Duration::from_millis(param("wait_ms")?.parse().ok()?));
    match req.head.uri.path() {
        SNAPSHOT => relay.snapshot(wait().unwrap_or_default()).await,
        CHANGES => match (param("after").and_then(|after| after.parse().ok()), wait()) {
            (Some(after), Some(wait)) => relay.changes(after, wait).await,
            _ => error_response(ErrorKind::BadRequest, "after or wait_ms is missing", None),
        },
        path => error_response(ErrorKind::NotFound, &format!("there is no {path}"), None),
    }
}

fn cbor_response(result: Result<impl Serialize, RelayError>) -> BufferedResponse {
    let value = match result {
        Ok(value) => value,
        Err(RelayError::HistoryGone) => {
            let mut res = Response::new(Full::default());
            *res.status_mut() = StatusCode::GONE;
            return res;
        }
        Err(RelayError::NotCurrent) => {
            let message = "this daemon has not reached the store lately";
            return error_response(ErrorKind::NotReady, message, None);
        }
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&value, &mut body) {
        Ok(()) => Response::new(Full::new(Bytes::from(body))),
        Err(err) => error_response(ErrorKind::Internal, &err.to_string(), None),
    }
}
