//! Parts of searches that daemons do for each other.
//!
//! Another daemon is asked as a backend server is, with the caller's request and
//! three more headers, and answers as callers are answered. So one kind of
//! connection, with its limits and timeouts, serves both.

use std::{fmt::Write, rc::Rc, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jasminepond_daemon::net::http::{BufferedRequest, BufferedResponse, Handler, error_response};
use jasminepond_forward::{DelegatedPart, DelegationRequest};
use jasminepond_types::{ErrorKind, RunStatus};

use crate::{
    contain::contained,
    front,
    hub::Hub,
    relay::{self, SharedRelay},
};

/// Indexes of the wanted shards, separated by commas.
pub const SHARDS: &str = "x-jasminepond-shards";

/// Hash of the names of all shards of the route.
pub const SHARD_SET: &str = "x-jasminepond-shard-set";

/// Milliseconds after which what is there is wanted.
pub const ANSWER_WITHIN_MS: &str = "x-jasminepond-answer-within";

/// Present if another daemon was asked before and may have sent the sub-requests.
pub const REPEAT: &str = "x-jasminepond-repeat";

/// What another daemon asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// The part of the search.
    pub part: DelegatedPart,
    /// Hash of the shards that it knows.
    pub shard_set: u64,
}

/// Adds the headers that ask another daemon for a part of a search.
pub fn write_headers(bytes: &mut Vec<u8>, delegation: &DelegationRequest) {
    let mut shards = String::new();
    for (at, shard) in delegation.shards.iter().enumerate() {
        let comma = if at == 0 { "" } else { "," };
        // Writing to a string does not fail.
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

/// Reads what [`write_headers`] has written.
pub fn read_headers(headers: &HeaderMap) -> Option<Asked> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let shards = text(SHARDS)?.split(',').map(|shard| shard.parse().ok());
    Some(Asked {
        part: DelegatedPart {
            shards: shards.collect::<Option<_>>()?,
            answer_within: Duration::from_millis(text(ANSWER_WITHIN_MS)?.parse().ok()?),
            repeat: headers.contains_key(REPEAT),
        },
        shard_set: text(SHARD_SET)?.parse().ok()?,
    })
}

/// Answers other daemons.
pub struct Helper {
    /// The hub.
    pub hub: Rc<Hub>,
    /// What is passed on of the store.
    pub relay: Rc<SharedRelay>,
}

impl Handler for Helper {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let hub = self.hub.clone();
        if req.head.uri.path().starts_with(relay::PREFIX) {
            return relay::answer(self.relay.clone(), req).boxed_local();
        }
        async move {
            let Some(asked) = read_headers(&req.head.headers) else {
                let message = "not a part of a search";
                return error_response(ErrorKind::BadRequest, message, None);
            };
            let mut res = contained(front::respond(&hub, req, Some(asked))).await;
            if front::refused_as(&res).is_some_and(|kind| kind.response().run == RunStatus::NotRun)
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
