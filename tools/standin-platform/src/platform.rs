//! The calls of the configuration service and the instance list.

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
    state::{Folder, State},
};

/// Longest time that a watch is pending.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

type Shared = Rc<RefCell<State>>;

#[derive(Serialize)]
struct TreeEntry<'a> {
    name: &'a str,
    digest: &'a str,
    size: usize,
}

pub(crate) async fn handle(state: Shared, request: Request) -> Reply {
    let delay = Duration::from_millis(state.borrow().modes.delay_ms);
    if !delay.is_zero() {
        sleep(delay).await;
    }
    wait_while_hung(&state).await;
    if request.method != Method::GET {
        return error(405, "the platform can only be read");
    }
    let answer = match request.segments().as_slice() {
        ["v1", "tree"] => read(&state, |c| &mut c.tree).unwrap_or_else(|| tree(&state)),
        ["v1", "watch"] => match read(&state, |c| &mut c.watch) {
            Some(refusal) => refusal,
            None => watch(&state, &request).await,
        },
        ["v1", "files", name] => {
            read(&state, |c| &mut c.files).unwrap_or_else(|| file(&state, name, &request))
        }
        ["v1", "instances"] => {
            read(&state, |c| &mut c.instances).unwrap_or_else(|| instances(&state))
        }
        _ => error(404, "no such path"),
    };
    wait_while_hung(&state).await;
    answer
}

async fn wait_while_hung(state: &Shared) {
    loop {
        let (down, changed) = {
            let state = state.borrow();
            (state.modes.down, state.changed())
        };
        match down {
            None => return,
            Some(Down::Hang) => changed.cancelled().await,
            // The gate cuts the connection.
            Some(Down::Refuse) => pending().await,
        }
    }
}

/// Counts a call; a refusal if the limit is reached.
fn read(state: &Shared, counter: impl FnOnce(&mut crate::Counters) -> &mut u64) -> Option<Reply> {
    let mut state = state.borrow_mut();
    *counter(&mut state.counters) += 1;
    (!state.take_read(Instant::now())).then(|| error(429, "read limit reached"))
}

fn tree(state: &Shared) -> Reply {
    let mut state = state.borrow_mut();
    let reply = describe(state.served_tree());
    let size = hyper::body::Body::size_hint(reply.body()).lower();
    state.counters.bytes += size;
    reply
}

fn describe(folder: &Folder) -> Reply {
    let entry = |(name, file): (&'_ String, &'_ crate::state::File)| {
        json!(TreeEntry {
            name,
            digest: &file.digest,
            size: file.bytes.len(),
        })
    };
    let files: Vec<_> = folder.files.iter().map(entry).collect();
    reply(200, &json!({ "revision": folder.revision, "files": files }))
}

async fn watch(state: &Shared, request: &Request) -> Reply {
    let number = |name| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
    let (Some(after), Some(timeout_ms)) = (number("after"), number("timeout_ms")) else {
        return error(400, "`after` and `timeout_ms` must be numbers");
    };
    let timeout = Duration::from_millis(timeout_ms).min(WATCH_LIMIT);
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

/// Counts a pending watch for as long as it exists, also when its caller leaves.
struct PendingWatch(Shared);

impl PendingWatch {
    fn new(state: Shared) -> Self {
        state.borrow_mut().counters.pending_watches += 1;
        Self(state)
    }
}

impl Drop for PendingWatch {
    fn drop(&mut self) {
        self.0.borrow_mut().counters.pending_watches -= 1;
    }
}

fn file(state: &Shared, name: &str, request: &Request) -> Reply {
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

fn instances(state: &Shared) -> Reply {
    let state = state.borrow();
    let list = state.served_instances(Instant::now());
    reply(200, &json!({ "instances": list }))
}
