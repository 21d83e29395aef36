//! Passes on to other daemons what this one has read from the store.

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

/// Paths that begin so belong to the daemons.
pub const PREFIX: &str = "/jasminepond/";

const SNAPSHOT: &str = "/jasminepond/snapshot";
const CHANGES: &str = "/jasminepond/changes";

/// Longest wait that a follower may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Longest time for which a daemon that asks for the whole state waits until it has
/// been read.
pub const SNAPSHOT_WAIT: Duration = Duration::from_millis(600);

/// Path that reads the whole state, and waits this long while it is being read.
pub fn snapshot_call(wait: Duration) -> String {
    format!("{SNAPSHOT}?wait_ms={}", wait.as_millis())
}

/// Path that waits for changes.
pub fn changes_call(after: Position, wait: Millis) -> String {
    format!("{CHANGES}?after={after}&wait_ms={}", wait.0)
}

/// The relay with those who wait for changes.
pub struct SharedRelay {
    clock: Clock,
    relay: RefCell<Relay>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Whether a release and all entries were read: a state without entries must not
    /// be taken for the whole.
    complete: Rc<Cell<bool>>,
    /// Whether the last reading failed.
    failing: Cell<bool>,
}

impl SharedRelay {
    /// A relay that has nothing to pass on yet.
    pub fn new(clock: Clock, complete: Rc<Cell<bool>>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            relay: RefCell::default(),
            waiting: RefCell::default(),
            complete,
            failing: Cell::new(false),
        })
    }

    /// Changes were read up to `position`, from the store or from another daemon.
    pub fn take(&self, from_store: bool, position: Position, changes: &[Change]) {
        let mut relay = self.relay.borrow_mut();
        if from_store {
            relay.record(self.clock.now(), position, changes);
        } else {
            relay.record_relayed(position, changes);
        }
    }

    /// The store may show less than is known until then.
    pub fn settling(&self, until: Timestamp) {
        self.relay.borrow_mut().set_settled_at(until);
    }

    /// A reading has been taken over. `news` says whether it changed anything.
    pub fn taken_over(&self, news: bool) {
        self.failing.set(false);
        if news {
            self.wake();
        }
    }

    /// A reading has failed. Who waits for the first one is told at once.
    pub fn failed(&self) {
        self.failing.set(true);
        if !self.complete.get() {
            self.wake();
        }
    }

    fn wake(&self) {
        // A follower that has gone needs no wake-up.
        for tx in self.waiting.borrow_mut().drain(..) {
            let _ = tx.send(());
        }
    }

    /// The whole state. One that is being read for the first time is waited for.
    async fn snapshot(&self, wait: Duration) -> BufferedResponse {
        let deadline = self.clock.now() + wait.min(SNAPSHOT_WAIT);
        while !self.complete.get() && !self.failing.get() {
            let left = deadline.since(self.clock.now());
            if left.is_zero() {
                break;
            }
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            select_biased! {
                _ = rx.fuse() => {}
                _ = pin!(compio::time::sleep(left).fuse()) => {}
            }
        }
        if !self.complete.get() {
            return encoded(Err::<(), _>(RelayError::NotCurrent));
        }
        encoded(self.relay.borrow().snapshot(self.clock.now()))
    }

    async fn changes(&self, after: Position, wait: Duration) -> BufferedResponse {
        let known = self.relay.borrow().changes(self.clock.now(), after);
        let nothing = known.as_ref().is_ok_and(|known| known.changes.is_empty());
        if nothing {
            let (tx, rx) = oneshot::channel();
            self.waiting.borrow_mut().push(tx);
            select_biased! {
                _ = rx.fuse() => {}
                _ = pin!(compio::time::sleep(wait.min(MAX_WAIT)).fuse()) => {}
            }
        }
        encoded(self.relay.borrow().changes(self.clock.now(), after))
    }
}

/// Answers another daemon.
pub async fn answer(relay: Rc<SharedRelay>, req: BufferedRequest) -> BufferedResponse {
    let text = |name: &str| {
        let mut pairs = req
            .head
            .uri
            .query()?
            .split('&')
            .filter_map(|p| p.split_once('='));
        Some(pairs.find(|(n, _)| *n == name)?.1)
    };
    let wait = || Some(Duration::from_millis(text("wait_ms")?.parse().ok()?));
    match req.head.uri.path() {
        SNAPSHOT => relay.snapshot(wait().unwrap_or_default()).await,
        CHANGES => match (text("after").and_then(|after| after.parse().ok()), wait()) {
            (Some(after), Some(wait)) => relay.changes(after, wait).await,
            _ => error_response(ErrorKind::BadRequest, "after or wait_ms is missing", None),
        },
        path => error_response(ErrorKind::NotFound, &format!("there is no {path}"), None),
    }
}

fn encoded(result: Result<impl Serialize, RelayError>) -> BufferedResponse {
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
