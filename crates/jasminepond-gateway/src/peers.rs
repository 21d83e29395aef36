//! Requests of other daemons: parts of searches and state read from the store.
//!
//! A part of a search is delegated to another daemon in the same way as a request is sent
//! to a backend server: with the caller's request and three more headers, four for a
//! repeated one. The response has the format of a response to a caller. One kind of
//! connection, with the same limits and timeouts, therefore serves both.

use std::{fmt::Write, rc::Rc, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jasminepond_daemon::net::http::{BufferedRequest, BufferedResponse, Handler, error_response};
use jasminepond_forward::{DelegatedPart, DelegationRequest};
use jasminepond_types::{ErrorKind, RunStatus};

use crate::{
    callers,
    hub::Hub,
    panics::catch_panic,
    store_relay::{self, SharedRelay},
};

/// Indexes of the requested shards, separated by commas.
pub const SHARDS: &str = "x-jasminepond-shards";

/// Hash of the names of all shards of the route.
pub const SHARD_SET: &str = "x-jasminepond-shard-set";

/// Milliseconds after which the shards collected so far are to be returned.
pub const ANSWER_WITHIN_MS: &str = "x-jasminepond-answer-within";

/// Present if the part was delegated to another daemon before, which may have sent the
/// sub-requests.
pub const REPEAT: &str = "x-jasminepond-repeat";

/// Part of a search that another daemon delegates to this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegatedSearch {
    /// The shards and when to return them.
    pub part: DelegatedPart,
    /// Hash of the names of all shards that the other daemon knows for the route.
    pub shard_set: u64,
}

/// Appends the headers that delegate a part of a search to another daemon.
pub fn write_headers(bytes: &mut Vec<u8>, delegation: &DelegationRequest) {
    let mut shards = String::new();
    for (at, shard) in delegation.shards.iter().enumerate() {
        let comma = if at == 0 { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(shards, "{comma}{shard}");
    }
    let (set, within) = (delegation.shard_set, delegation.answer_within.0);
    let headers =
        format!("{SHARDS}: {shards}\r\n{SHARD_SET}: {set}\r\n{ANSWER_WITHIN_MS}: {within}\r\n");
    bytes.extend_from_slice(headers.as_bytes());
    if delegation.repeat {
        bytes.extend_from_slice(format!("{REPEAT}: 1\r\n").as_bytes());
    }
}

/// Parses the headers written by [`write_headers`], or returns `None` if one is missing or
/// malformed.
pub fn read_headers(headers: &HeaderMap) -> Option<DelegatedSearch> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let shards = text(SHARDS)?.split(',').map(|shard| shard.parse().ok());
    Some(DelegatedSearch {
        part: DelegatedPart {
            shards: shards.collect::<Option<_>>()?,
            answer_within: Duration::from_millis(text(ANSWER_WITHIN_MS)?.parse().ok()?),
            repeat: headers.contains_key(REPEAT),
        },
        shard_set: text(SHARD_SET)?.parse().ok()?,
    })
}

/// Handles HTTP requests of other daemons.
pub struct PeerHandler {
    /// Passes requests to the forwarder.
    pub hub: Rc<Hub>,
    /// State read from the store, for other daemons.
    pub relay: Rc<SharedRelay>,
}

impl Handler for PeerHandler {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let hub = self.hub.clone();
        if req.head.uri.path().starts_with(store_relay::PREFIX) {
            return store_relay::respond(self.relay.clone(), req).boxed_local();
        }
        async move {
            let Some(delegated) = read_headers(&req.head.headers) else {
                let message = "not a part of a search";
                return error_response(ErrorKind::BadRequest, message, None);
            };
            let mut res = catch_panic(callers::respond(&hub, req, Some(delegated))).await;
            if callers::refusal_kind(&res)
                .is_some_and(|kind| kind.response().run == RunStatus::NotRun)
            {
                let name = HeaderName::from_static(hub.headers().not_run);
                res.headers_mut()
                    .insert(name, HeaderValue::from_static("1"));
            }
            res
        }
        .boxed_local()
    }
}
