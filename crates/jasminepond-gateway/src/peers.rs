//! Requests of other daemons: parts of searches, requests to one server, and state read from
//! the store.
//!
//! A request or a part of it is delegated to another daemon in the same way as a request is
//! sent to a backend server: with the caller's request and a few more headers. The response
//! has the format of a response to a caller. One kind of connection, with the same limits and
//! timeouts, therefore serves both.

use std::{
    fmt::{Display, Write},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jasminepond_daemon::net::{
    flow::Flow,
    http::{BufferedRequest, BufferedResponse, Handler, error_response},
};
use jasminepond_forward::{CallerId, DelegatedPart, DelegationRequest, Scope, SearchTerms};
use jasminepond_routes::ReleaseVersion;
use jasminepond_types::{ErrorKind, RunStatus};

use crate::{
    callers,
    hub::Hub,
    panics::catch_panic,
    store_relay::{self, SharedRelay},
};

/// Indexes of the requested shards, separated by commas, or [`WHOLE`] for a request to one
/// server.
pub const SHARDS: &str = "x-jasminepond-shards";

/// Value of [`SHARDS`] for a request to one server.
const WHOLE: &str = "*";

/// Hash of the names of all shards of the route.
pub const SHARD_SET: &str = "x-jasminepond-shard-set";

/// Milliseconds after which the shards collected so far are to be returned.
pub const ANSWER_WITHIN_MS: &str = "x-jasminepond-answer-within";

/// Number of shards without which the results are of no use, if more than one.
pub const MIN_SHARDS: &str = "x-jasminepond-min-shards";

/// Present if the request may have been sent to servers before.
pub const REPEAT: &str = "x-jasminepond-repeat";

/// Maximum number of servers to which each part may be sent, if that is fewer than the route
/// allows.
pub const MAX_ATTEMPTS: &str = "x-jasminepond-max-attempts";

/// Present if the asking daemon has checked that the request may be sent although it is suspected
/// of ending servers.
pub const ADMITTED: &str = "x-jasminepond-admitted";

/// Hash that identifies the caller, in hexadecimal. Builds before this header do not send it.
pub const CALLER: &str = "x-jasminepond-caller";

/// Present in a response without success if the request is presumed to end servers.
pub const SUSPECTED: &str = "x-jasminepond-suspected";

/// In a request to one server, the oldest release by which it may be routed. In a response, the
/// release by which the request or the part of a search was handled.
pub const RELEASE: &str = "x-jasminepond-release";

/// Terms by which a part of a search is handled (see [`SearchTerms`]). Builds before this header
/// do not send it and use the terms of their own routes.
pub const TERMS: &str = "x-jasminepond-terms";

/// Id of the server whose response is forwarded.
pub const SERVER: &str = "x-jasminepond-server";

/// In the response to a part of a search, the shards that the daemon sends requests to and
/// that cannot process all of the load.
pub const LOAD: &str = "x-jasminepond-load";

/// Present if the rest of a search is asked for.
pub const RESUME: &str = "x-jasminepond-resume";

/// In a response, indexes of the shards whose results can still be asked for.
pub const UNFINISHED: &str = "x-jasminepond-unfinished";

/// Headers that daemons add to each other's requests and responses.
pub const HEADERS: [&str; 15] = [
    SHARDS,
    SHARD_SET,
    ANSWER_WITHIN_MS,
    MIN_SHARDS,
    REPEAT,
    MAX_ATTEMPTS,
    ADMITTED,
    CALLER,
    SUSPECTED,
    RELEASE,
    TERMS,
    SERVER,
    LOAD,
    RESUME,
    UNFINISHED,
];

/// Request, or part of a search, that another daemon delegates to this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DelegatedRequest {
    /// What to handle, and when to return the results of a search.
    pub part: DelegatedPart,
    /// Hash of the names of all shards that the other daemon knows for the route.
    pub shard_set: u64,
    /// Caller of the request, if the other daemon states it.
    pub caller: Option<CallerId>,
    /// Oldest release by which a request to one server may be routed.
    pub release: ReleaseVersion,
    /// Terms of a part of a search, if the other daemon states them.
    pub terms: Option<SearchTerms>,
}

/// Appends the headers that delegate a request or a part of a search to another daemon.
pub fn write_headers(bytes: &mut Vec<u8>, delegation: &DelegationRequest) {
    let mut text = String::new();
    let mut header = |name: &str, value: &dyn Display| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{name}: {value}\r\n");
    };
    match &delegation.shards {
        Some(shards) => {
            let shards: Vec<_> = shards.iter().map(ToString::to_string).collect();
            header(SHARDS, &shards.join(","));
        }
        None => {
            header(SHARDS, &WHOLE);
            header(RELEASE, &delegation.release.0);
        }
    }
    header(SHARD_SET, &delegation.shard_set);
    header(ANSWER_WITHIN_MS, &delegation.answer_within.0);
    if delegation.min_shards > 1 {
        header(MIN_SHARDS, &delegation.min_shards);
    }
    if delegation.repeat {
        header(REPEAT, &1);
    }
    if delegation.max_attempts != u32::MAX {
        header(MAX_ATTEMPTS, &delegation.max_attempts);
    }
    if delegation.admitted {
        header(ADMITTED, &1);
    }
    if delegation.resumes {
        header(RESUME, &1);
    }
    if let Some(terms) = &delegation.terms {
        header(TERMS, terms);
    }
    if let Some(caller) = &delegation.caller {
        header(CALLER, caller);
    }
    bytes.extend_from_slice(text.as_bytes());
}

/// Parses the headers written by [`write_headers`], or returns `None` if one is missing or
/// malformed.
pub fn read_headers(headers: &HeaderMap) -> Option<DelegatedRequest> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let scope = match text(SHARDS)? {
        WHOLE => Scope::Whole,
        shards => {
            let shards = shards.split(',').map(|shard| shard.parse().ok());
            Scope::Shards(shards.collect::<Option<_>>()?)
        }
    };
    // `None` if the header is malformed.
    let number = |name: &str, default: u32| match headers.contains_key(name) {
        true => text(name)?.parse().ok(),
        false => Some(default),
    };
    let terms = match headers.contains_key(TERMS) {
        true => Some(text(TERMS)?.parse().ok()?),
        false => None,
    };
    let release = match scope {
        Scope::Shards(_) => ReleaseVersion::default(),
        Scope::Whole => ReleaseVersion(text(RELEASE)?.parse().ok()?),
    };
    Some(DelegatedRequest {
        part: DelegatedPart {
            scope,
            answer_within: Duration::from_millis(text(ANSWER_WITHIN_MS)?.parse().ok()?),
            min_shards: number(MIN_SHARDS, 1)? as usize,
            repeat: headers.contains_key(REPEAT),
            max_attempts: number(MAX_ATTEMPTS, u32::MAX)?,
            admitted: headers.contains_key(ADMITTED),
            resumes: headers.contains_key(RESUME),
        },
        shard_set: text(SHARD_SET)?.parse().ok()?,
        // Only the order among callers depends on it.
        caller: text(CALLER).and_then(|caller| caller.parse().ok()),
        release,
        terms,
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
                let message = "neither a part of a search nor a request to one server";
                return error_response(ErrorKind::BadRequest, message, None);
            };
            hub.metrics().received_from_daemon();
            let id_name = HeaderName::from_static(hub.headers().request_id);
            let id = req.head.headers.get(&id_name).cloned();
            let mut res = catch_panic(callers::respond(&hub, req, Some(delegated))).await;
            if callers::refusal_kind(&res)
                .is_some_and(|kind| kind.response().run == RunStatus::NotRun)
            {
                let name = HeaderName::from_static(hub.headers().not_run);
                res.headers_mut()
                    .insert(name, HeaderValue::from_static("1"));
            }
            // All responses of a connection state the id, or none does.
            if let Some(id) = id {
                res.headers_mut().insert(id_name, id);
            }
            res
        }
        .boxed_local()
    }

    fn flow(&self, client: SocketAddr) -> Option<Rc<dyn Flow>> {
        // The daemon that took the request has admitted it.
        Some(self.hub.buffered_bytes().caller(client.ip(), false))
    }
}
