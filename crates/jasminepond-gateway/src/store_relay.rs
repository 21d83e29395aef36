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
use jasminepond_discovery::{
    Accept, Change, Changes, Confirmation, Position, Publication, Relay, RelayError,
};
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

/// Value of the parameter `accept` for a state of any age. Earlier builds do not send the
/// parameter and ignore it.
const ANY_AGE: &str = "any_age";

/// Returns the path and query of a snapshot request that waits up to `wait` for the first
/// complete read.
pub fn snapshot_path(wait: Duration, accept: Accept) -> String {
    let accept = accept_param(accept);
    format!("{SNAPSHOT}?wait_ms={}{accept}", wait.as_millis())
}

/// Returns the path and query of a request that waits for changes after a position.
pub fn changes_path(after: Position, wait: Duration, accept: Accept) -> String {
    let accept = accept_param(accept);
    format!(
        "{CHANGES}?after={after}&wait_ms={}{accept}",
        wait.as_millis()
    )
}

fn accept_param(accept: Accept) -> String {
    match accept {
        Accept::Current => String::new(),
        Accept::AnyAge => format!("&accept={ANY_AGE}"),
    }
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

    /// Adds changes to those that are published next.
    pub fn stage(&self, changes: &[Change]) {
        self.relay.borrow_mut().stage(changes.iter().cloned());
    }

    /// Publishes the state with all staged changes.
    pub fn publish(&self, publication: Publication) {
        self.relay.borrow_mut().publish(publication);
    }

    /// Notes that a read was applied. Requests that wait for changes are answered even if it
    /// changed nothing, so that followers know how old their state is.
    pub fn applied(&self) {
        self.failing.set(false);
        self.wake_waiters();
    }

    /// Notes that a read failed. After the first failure, waiting requests are answered, so
    /// that followers can turn to another daemon.
    pub fn failed(&self) {
        if !self.failing.replace(true) || !self.complete.get() {
            self.wake_waiters();
        }
    }

    fn wake_waiters(&self) {
        // The receiver is gone if the request was cancelled or timed out.
        for tx in self.waiters.borrow_mut().drain(..) {
            let _ = tx.send(());
        }
    }

    /// Waits for the next read, for at most `wait`.
    async fn wait_for_news(&self, wait: Duration) {
        let (tx, rx) = oneshot::channel();
        {
            let mut waiters = self.waiters.borrow_mut();
            waiters.retain(|tx| !tx.is_canceled());
            waiters.push(tx);
        }
        select_biased! {
            _ = rx.fuse() => {}
            _ = pin!(compio::time::sleep(wait).fuse()) => {}
        }
    }

    /// Returns a snapshot of the state, after waiting for the first complete read.
    async fn snapshot(&self, wait: Duration, accept: Accept) -> BufferedResponse {
        let arrived = self.clock.now();
        let deadline = self.clock.now() + wait.min(SNAPSHOT_WAIT);
        while !self.complete.get() && !self.failing.get() {
            let left = deadline.since(self.clock.now());
            if left.is_zero() {
                break;
            }
            self.wait_for_news(left).await;
        }
        if !self.complete.get() {
            return cbor_response(Err::<(), _>(RelayError::NotCurrent));
        }
        let snapshot = self.relay.borrow().snapshot(self.clock.now(), accept);
        cbor_response(snapshot.map(|mut snapshot| {
            self.set_held(&mut snapshot.confirmation, arrived);
            snapshot
        }))
    }

    fn set_held(&self, confirmation: &mut Option<Confirmation>, arrived: Timestamp) {
        if let Some(confirmation) = confirmation {
            let held = self.clock.now().since(arrived);
            confirmation.held = Millis(held.as_millis() as u64);
        }
    }

    /// Returns the changes after a position, after waiting for one if there is none.
    async fn changes(&self, after: Position, wait: Duration, accept: Accept) -> BufferedResponse {
        let arrived = self.clock.now();
        if !self.complete.get() {
            return cbor_response(Err::<(), _>(RelayError::NotCurrent));
        }
        let known = self.relay.borrow().changes(arrived, after, accept);
        // A later position may differ by the evacuated zones only.
        let is_known = |known: &Changes| known.changes.is_empty() && known.position <= after;
        if known.as_ref().is_ok_and(is_known) {
            self.wait_for_news(wait.min(MAX_WAIT)).await;
        }
        let changes = self.relay.borrow().changes(self.clock.now(), after, accept);
        cbor_response(changes.map(|mut changes| {
            self.set_held(&mut changes.confirmation, arrived);
            changes
        }))
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
    let accept = match param("accept") {
        Some(ANY_AGE) => Accept::AnyAge,
        _ => Accept::Current,
    };
    match req.head.uri.path() {
        SNAPSHOT => relay.snapshot(wait().unwrap_or_default(), accept).await,
        CHANGES => match (param("after").and_then(|after| after.parse().ok()), wait()) {
            (Some(after), Some(wait)) => relay.changes(after, wait, accept).await,
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
