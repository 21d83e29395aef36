//! Handles callers' requests.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http_body_util::Full;
use hyper::{
    Method, Response, StatusCode,
    header::{HeaderName, HeaderValue},
    http::request::Parts,
};
use jasminepond_daemon::net::{
    flow::Flow,
    http::{BufferedRequest, BufferedResponse, ClientAddress, Handler, error_response},
};
use jasminepond_forward::{ActiveRoute, Answer, CallerId, Refusal, Reply, ReqKey, Scope};
use jasminepond_quarantine::{Fingerprint, RequestParts};
use jasminepond_types::{ErrorKind, Millis};
use spdlog::info;

use crate::{
    hub::{Hub, Outbound},
    panics::catch_panic,
    peers::{self, DelegatedRequest},
    response::ExpectedResponse,
};

/// Retry delay stated to callers while the daemon has not read the store yet. Reading takes
/// less than this if the store responds.
const NOT_READY_RETRY_AFTER: Millis = Millis(300);

/// Headers that apply to a single connection, or that the gateway sets itself.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-authorization",
];

/// Handles HTTP requests of callers.
pub struct CallerHandler {
    /// Passes requests to the forwarder.
    pub hub: Rc<Hub>,
    /// Whether the daemon is about to stop. Connections are then closed after their next
    /// response.
    pub closing: Rc<Cell<bool>>,
}

impl Handler for CallerHandler {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let (hub, closing) = (self.hub.clone(), self.closing.clone());
        async move {
            let mut res = catch_panic(respond(&hub, req, None)).await;
            if closing.get() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert("connection", close);
            }
            res
        }
        .boxed_local()
    }

    fn refused(&self, kind: ErrorKind) {
        self.hub.metrics().refused(kind);
        info!("gateway: request refused unread", kv: { kind: });
    }

    fn flow(&self, client: SocketAddr) -> Option<Rc<dyn Flow>> {
        Some(self.hub.buffered_bytes().caller(client.ip(), true))
    }
}

/// Notifies the forwarder on drop if the caller disconnected before its response.
struct CancelOnDrop {
    hub: Rc<Hub>,
    req: Option<ReqKey>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(req) = self.req.take() {
            self.hub.caller_left(req);
        }
    }
}

/// Handles a request. `delegated` is set if another daemon delegates it, or a part of it.
pub async fn respond(
    hub: &Rc<Hub>,
    req: BufferedRequest,
    delegated: Option<DelegatedRequest>,
) -> BufferedResponse {
    let BufferedRequest { head, body } = req;
    let names = *hub.headers();
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let Some(request_id) = header(names.request_id) else {
        return refuse(
            hub,
            "",
            ErrorKind::BadRequest,
            "the request has no id",
            None,
        );
    };
    if !hub.is_complete() {
        let message = "the routes and backend servers have not been read yet";
        let kind = ErrorKind::NotReady;
        return refuse(hub, request_id, kind, message, Some(NOT_READY_RETRY_AFTER));
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let host = header("host").unwrap_or_default();
    let route = match &delegated {
        Some(delegated) => match delegated_route(hub, host, path, delegated) {
            Ok(route) => route,
            Err(message) => return refuse(hub, request_id, ErrorKind::NotReady, message, None),
        },
        None => match hub.read(|forwarder| forwarder.route(host, path)) {
            Some(route) => route,
            None => {
                let message = format!("no route for {path} of host {host}");
                return refuse(hub, request_id, ErrorKind::NotFound, &message, None);
            }
        },
    };
    let version = route.version();
    let from_peer = delegated.is_some();
    let caller = caller_id(&head, delegated.as_ref());
    let timeout = route.route().timeout.duration();
    let time_left = header(names.time_left_ms).and_then(|text| text.trim().parse().ok());
    let time_left = time_left.map_or(timeout, Duration::from_millis);
    let own = [names.time_left_ms, names.expected_server];
    let excluded = |name: &str| own.contains(&name) || peers::HEADERS.contains(&name);
    let fingerprint = Fingerprint::new(&RequestParts {
        method: head.method.as_str(),
        host,
        path,
        caller: head
            .headers
            .get("authorization")
            .map_or(&[], |value| value.as_bytes()),
        body: &body,
    });
    let outbound = Outbound {
        head: render_head(&head, path, &body, excluded),
        request_id: Bytes::copy_from_slice(request_id.as_bytes()),
        expected: ExpectedResponse {
            keep_headers: !route.is_search(),
            has_body: head.method != Method::HEAD,
        },
        body,
    };
    let is_part = delegated.as_ref().is_some_and(is_part);
    let (key, answer) = hub.submit(
        route.clone(),
        time_left,
        fingerprint,
        caller,
        delegated.map(|delegated| delegated.part),
        outbound,
    );
    let mut cancel = CancelOnDrop {
        hub: hub.clone(),
        req: Some(key),
    };
    let answer = answer.await;
    cancel.req = None;
    let mut res = match answer {
        Ok(Answer::Forwarded { reply, server }) => {
            let mut res = forwarded_response(hub, reply);
            if from_peer && let Some(server) = server {
                insert_header(&mut res, peers::SERVER, &server);
            }
            res
        }
        Ok(Answer::Merged {
            stamps,
            missing,
            body,
            unfinished,
        }) => {
            let mut res = merged_response(hub, &stamps, missing, body);
            if from_peer && !unfinished.is_empty() {
                let shards: Vec<_> = unfinished.iter().map(ToString::to_string).collect();
                insert_header(&mut res, peers::UNFINISHED, &shards.join(","));
            }
            res
        }
        Ok(Answer::Refused(refusal)) => {
            let mut res = refusal_response(refusal);
            if from_peer && refusal.suspected {
                insert_header(&mut res, peers::SUSPECTED, "1");
            }
            res
        }
        Err(_) => {
            let message = "the request was dropped";
            error_response(ErrorKind::Internal, message, None)
        }
    };
    if from_peer {
        insert_header(&mut res, peers::RELEASE, &version.to_string());
    }
    if is_part {
        let report = hub.read(|forwarder| forwarder.load_report(hub.clock().now(), &route));
        insert_header(&mut res, peers::LOAD, &report.to_string());
    }
    res
}

fn is_part(delegated: &DelegatedRequest) -> bool {
    matches!(delegated.part.scope, Scope::Shards(_))
}

/// Identifies the caller of a request: as another daemon states, by its credentials, or by the
/// address of the connection. The latter is the address of the asking daemon if that states no
/// caller and the request has no credentials.
fn caller_id(head: &Parts, delegated: Option<&DelegatedRequest>) -> CallerId {
    let stated = delegated.and_then(|delegated| delegated.caller);
    let credentials = head.headers.get("authorization");
    let credentials = credentials.map(|value| CallerId::from_authorization(value.as_bytes()));
    let address = head.extensions.get::<ClientAddress>();
    let address = address.map(|client| CallerId::from_address(client.0));
    stated.or(credentials).or(address).unwrap_or_default()
}

/// The route by which this daemon handles a delegated request, or why it cannot handle it.
fn delegated_route(
    hub: &Hub,
    host: &str,
    path: &str,
    delegated: &DelegatedRequest,
) -> Result<Rc<ActiveRoute>, &'static str> {
    if is_part(delegated) {
        let (shard_set, terms) = (delegated.shard_set, delegated.terms.as_ref());
        let route = hub.read(|forwarder| forwarder.route_of_part(host, path, shard_set, terms));
        return route.ok_or("this daemon knows no route over the shards");
    }
    let route = hub.read(|forwarder| forwarder.route(host, path));
    let route = route.ok_or("this daemon does not know the route")?;
    if route.is_search() {
        Err("requests of the route are searches here")
    } else if route.version() < delegated.release {
        Err("this daemon knows an older release")
    } else {
        Ok(route)
    }
}

fn insert_header(res: &mut BufferedResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

fn refuse(
    hub: &Hub,
    id: &str,
    kind: ErrorKind,
    message: &str,
    retry_after: Option<Millis>,
) -> BufferedResponse {
    hub.metrics().refused(kind);
    info!("gateway: request refused", kv: { id, kind:, message });
    error_with_kind(kind, message, retry_after)
}

fn error_with_kind(
    kind: ErrorKind,
    message: &str,
    retry_after: Option<Millis>,
) -> BufferedResponse {
    let mut res = with_retry_after(error_response(kind, message, retry_after), retry_after);
    res.extensions_mut().insert(kind);
    res
}

/// Returns the error kind of a response with which the gateway itself refused or failed a
/// request.
pub fn refusal_kind(res: &BufferedResponse) -> Option<ErrorKind> {
    res.extensions().get().copied()
}

fn refusal_response(refusal: Refusal) -> BufferedResponse {
    let message = match refusal.kind {
        ErrorKind::NoBackend => "too few backend servers can be reached",
        ErrorKind::Overloaded => "no backend server had room in time",
        ErrorKind::Quarantined => "backend servers ended while they ran this request",
        _ => "the request was sent and has no usable response",
    };
    error_with_kind(refusal.kind, message, refusal.retry_after)
}

/// Adds `Retry-After` in fractions of a second, which callers of this tier accept.
fn with_retry_after(mut res: BufferedResponse, retry_after: Option<Millis>) -> BufferedResponse {
    if let Some(Millis(millis)) = retry_after {
        let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            res.headers_mut().insert("retry-after", value);
        }
    }
    res
}

fn forwarded_response(hub: &Hub, reply: Reply) -> BufferedResponse {
    let Ok(status) = StatusCode::from_u16(reply.status) else {
        // The parser of responses refuses these.
        let message = "the response has an invalid status";
        return error_response(ErrorKind::OutcomeUnknown, message, None);
    };
    let mut res = Response::new(Full::new(reply.body));
    *res.status_mut() = status;
    for (name, value) in &reply.headers {
        let name = HeaderName::from_bytes(name);
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !NOT_FORWARDED.contains(&name.as_str())
            && !peers::HEADERS.contains(&name.as_str())
        {
            res.headers_mut().append(name, value);
        }
    }
    let stamp = reply
        .stamp
        .and_then(|stamp| HeaderValue::from_bytes(&stamp).ok());
    if let Some(stamp) = stamp {
        let name = HeaderName::from_static(hub.headers().stamp);
        res.headers_mut().insert(name, stamp);
    }
    res
}

fn merged_response(hub: &Hub, stamps: &[Bytes], missing: usize, body: Bytes) -> BufferedResponse {
    let names = hub.headers();
    let mut res = Response::new(Full::new(body));
    let value = stamps.join(&b", "[..]);
    match HeaderValue::from_bytes(&value) {
        Ok(value) => {
            let name = HeaderName::from_static(names.part_stamps);
            res.headers_mut().insert(name, value);
        }
        Err(err) => {
            let message = format!("a signature cannot be passed on: {err}");
            return error_response(ErrorKind::OutcomeUnknown, &message, None);
        }
    }
    let name = HeaderName::from_static(names.missing_parts);
    res.headers_mut().insert(name, HeaderValue::from(missing));
    res
}

/// Renders the request line and headers for backend servers, without the final empty line.
fn render_head(head: &Parts, path: &str, body: &Bytes, excluded: impl Fn(&str) -> bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    bytes.extend_from_slice(head.method.as_str().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(path.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in &head.headers {
        let name = name.as_str();
        if NOT_FORWARDED.contains(&name) || excluded(name) {
            continue;
        }
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let has_body = !body.is_empty() || head.headers.contains_key("content-length");
    if has_body || head.headers.contains_key("transfer-encoding") {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    bytes
}
