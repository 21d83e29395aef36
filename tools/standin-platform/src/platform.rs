//! HTTP endpoints of the configuration service and the instance list.

use std::{
    cell::RefCell,
    future::pending,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::{sleep, sleep_until};
use futures_util::future::{Either, select};
use hyper::Method;
use serde::Serialize;
use serde_json::json;
use standin_http::{Reply, Request, empty, error, json as reply};

use crate::{
    Down,
    state::{Snapshot, State},
};

/// Upper bound of a watch's timeout.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

type SharedState = Rc<RefCell<State>>;

#[derive(Serialize)]
struct TreeEntry<'a> {
    name: &'a str,
    digest: &'a str,
    size: usize,
}

pub(crate) async fn handle(state: SharedState, request: Request) -> Reply {
    let delay = Duration::from_millis(state.borrow().modes.delay_ms);
    if !delay.is_zero() {
        sleep(delay).await;
    }
    wait_while_hung(&state).await;
    if request.method != Method::GET {
        return error(405, "the platform can only be read");
    }
    let response = match request.segments().as_slice() {
        ["v1", "tree"] => admit_read(&state, |c| &mut c.tree).unwrap_or_else(|| tree(&state)),
        ["v1", "watch"] => match admit_read(&state, |c| &mut c.watch) {
            Some(refusal) => refusal,
            None => watch(&state, &request).await,
        },
        ["v1", "files", name] => {
            admit_read(&state, |c| &mut c.files).unwrap_or_else(|| file(&state, name, &request))
        }
        ["v1", "instances"] => {
            admit_read(&state, |c| &mut c.instances).unwrap_or_else(|| instances(&state))
        }
        _ => error(404, "no such path"),
    };
    wait_while_hung(&state).await;
    response
}

async fn wait_while_hung(state: &SharedState) {
    loop {
        let (down, changed) = {
            let state = state.borrow();
            (state.modes.down, state.changed())
        };
        match down {
            None => return,
            Some(Down::Hang) => changed.cancelled().await,
            // The gate closes the connection, so no response is needed.
            Some(Down::Refuse) => pending().await,
        }
    }
}

/// Counts a call and takes one read from the limit; returns the 429 response if the limit
/// is reached.
fn admit_read(
    state: &SharedState,
    counter: impl FnOnce(&mut crate::Counters) -> &mut u64,
) -> Option<Reply> {
    let mut state = state.borrow_mut();
    *counter(&mut state.counters) += 1;
    (!state.try_take_read(Instant::now())).then(|| error(429, "read limit reached"))
}

fn tree(state: &SharedState) -> Reply {
    let mut state = state.borrow_mut();
    let reply = describe(state.served_tree());
    let size = hyper::body::Body::size_hint(reply.body()).lower();
    state.counters.bytes += size;
    reply
}

fn describe(snapshot: &Snapshot) -> Reply {
    let entry = |(name, file): (&'_ String, &'_ crate::state::File)| {
        json!(TreeEntry {
            name,
            digest: &file.digest,
            size: file.bytes.len(),
        })
    };
    let files: Vec<_> = snapshot.files.iter().map(entry).collect();
    reply(
        200,
        &json!({ "revision": snapshot.revision, "files": files }),
    )
}

async fn watch(state: &SharedState, request: &Request) -> Reply {
    let number = |name| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
    let (Some(after), Some(timeout_ms)) = (number("after"), number("timeout_ms")) else {
        return error(400, "`after` and `timeout_ms` must be numbers");
    };
    let timeout = Duration::from_millis(timeout_ms).min(MAX_WATCH_TIMEOUT);
    let pending = PendingWatch::new(state.clone());
    let mut timeout = pin!(sleep_until(Instant::now() + timeout));
    let newer = loop {
        let (newer, changed) = {
            let state = state.borrow();
            (state.served_tree().revision > after, state.changed())
        };
        if newer {
            break true;
        }
        match select(pin!(changed.cancelled()), &mut timeout).await {
            Either::Left(_) => {}
            Either::Right(_) => break false,
        }
    };
    drop(pending);
    if newer { tree(state) } else { empty(204) }
}

/// Counts a watch as pending until dropped, which also covers a client that disconnects.
struct PendingWatch(SharedState);

impl PendingWatch {
    fn new(state: SharedState) -> Self {
        state.borrow_mut().counters.pending_watches += 1;
        Self(state)
    }
}

impl Drop for PendingWatch {
    fn drop(&mut self) {
        self.0.borrow_mut().counters.pending_watches -= 1;
    }
}

fn file(state: &SharedState, name: &str, request: &Request) -> Reply {
    let mut state = state.borrow_mut();
    let digest = request.query.get("digest").map(String::as_str);
    let Some(file) = state.served_file(name, digest) else {
        return error(404, format!("no file `{name}` with this digest"));
    };
    let bytes: Bytes = file.bytes.clone();
    state.counters.bytes += bytes.len() as u64;
    let mut reply = empty(200);
    *reply.body_mut() = bytes.into();
    reply
}

fn instances(state: &SharedState) -> Reply {
    let state = state.borrow();
    let list = state.served_instances(Instant::now());
    reply(200, &json!({ "instances": list }))
}
