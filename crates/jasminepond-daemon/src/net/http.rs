//! HTTP/1.1 listeners with limits on headers, bodies, connections and slow clients.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::{FutureExt, future::LocalBoxFuture, select_biased};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use jasminepond_types::{ErrorKind, Millis, RetryAfter, Run};
use serde_json::json;

use crate::stop::Stop;

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections open at the same time; further ones are closed at once.
    pub max_connections: usize,
    /// Bytes of request line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Longest time for the headers and for the body of a request to arrive.
    pub read_timeout: Duration,
    /// Longest time between a response and the next request, which also bounds
    /// how long a client may take to read a response.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A request whose body has arrived whole.
#[derive(Debug)]
pub struct Received {
    /// Method, path and headers.
    pub head: hyper::http::request::Parts,
    /// The body.
    pub body: Bytes,
}

/// What a handler answers.
pub type Answered = Response<Full<Bytes>>;

/// Answers the requests of a listener.
pub trait Handler {
    /// Answers one request.
    fn handle(&self, req: Received) -> LocalBoxFuture<'static, Answered>;

    /// Called for each request refused before it reached [`Handler::handle`].
    fn refused(&self, kind: ErrorKind) {
        let _ = kind;
    }
}

/// A JSON response.
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Answered {
    text_response(status, "application/json", value.to_string())
}

/// A response with a body of the given type.
pub fn text_response(status: StatusCode, kind: &'static str, body: String) -> Answered {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    res
}

/// The response for an error kind. `retry_after` is left out for kinds that
/// state none.
pub fn error_response(kind: ErrorKind, message: &str, retry_after: Option<Millis>) -> Answered {
    let answer = kind.answer();
    let mut error = json!({
        "kind": kind.as_str(),
        "message": message,
        "not_run": answer.run == Run::NotRun,
    });
    let retry_after = match answer.retry_after {
        RetryAfter::Stated => Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
        RetryAfter::Never => None,
    };
    if let Some(after) = retry_after {
        error["retry_after_ms"] = after.0.into();
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = json_response(status, &json!({ "error": error }));
    if let Some(after) = retry_after {
        // The header counts whole seconds.
        res.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(after.0.div_ceil(1_000)));
    }
    res
}

/// Used where the refusing part has no better estimate.
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Decrements the count of open connections when a connection ends.
struct OpenGuard(Rc<Cell<usize>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections until `stop`, then lets the open ones finish their
/// request and returns when all have ended.
pub async fn serve(listener: TcpListener, handler: Rc<dyn Handler>, limits: Limits, stop: Stop) {
    let open = Rc::new(Cell::new(0));
    let mut stopped = pin!(stop.clone().wait().fuse());
    loop {
        let stream = select_biased! {
            _ = stopped => break,
            accepted = listener.accept().fuse() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Out of file descriptors, for example: wait for some to be freed.
                    compio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            },
        };
        if open.get() >= limits.max_connections {
            handler.refused(ErrorKind::Overloaded);
            continue;
        }
        open.set(open.get() + 1);
        let guard = OpenGuard(open.clone());
        let conn = connection(stream, handler.clone(), limits.clone(), stop.clone());
        compio::runtime::spawn(async move {
            conn.await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(DRAIN_POLL).await;
    }
}

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
const DRAIN_POLL: Duration = Duration::from_millis(5);

async fn connection(stream: TcpStream, handler: Rc<dyn Handler>, limits: Limits, stop: Stop) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let activity = Rc::new(Activity::default());
    let service = {
        let (activity, limits) = (activity.clone(), limits.clone());
        service_fn(move |req| {
            activity.begin();
            let (handler, activity, limits) = (handler.clone(), activity.clone(), limits.clone());
            async move {
                let res = respond(req, &*handler, &limits).await;
                activity.end();
                Ok::<_, std::convert::Infallible>(res)
            }
        })
    };
    let conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.read_timeout)
        // hyper asks for at least 8 KiB.
        .max_buf_size(limits.max_header_bytes.max(8 << 10))
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut conn = pin!(conn);
    let mut stopped = pin!(stop.wait().fuse());
    let mut idle = pin!(activity.idle_for(limits.idle_timeout).fuse());
    loop {
        select_biased! {
            _ = conn.as_mut().fuse() => return,
            _ = stopped => conn.as_mut().graceful_shutdown(),
            _ = idle => return,
        }
    }
}

/// When the connection last began or ended a request.
struct Activity {
    running: Cell<usize>,
    last: Cell<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            running: Cell::new(0),
            last: Cell::new(Instant::now()),
        }
    }
}

impl Activity {
    fn begin(&self) {
        self.running.set(self.running.get() + 1);
    }

    fn end(&self) {
        self.running.set(self.running.get() - 1);
        self.last.set(Instant::now());
    }

    async fn idle_for(self: &Rc<Self>, limit: Duration) {
        loop {
            let idle = if self.running.get() > 0 {
                Duration::ZERO
            } else {
                self.last.get().elapsed()
            };
            match limit.checked_sub(idle) {
                Some(rest) if !rest.is_zero() => compio::time::sleep(rest).await,
                _ => return,
            }
        }
    }
}

async fn respond(req: Request<Incoming>, handler: &dyn Handler, limits: &Limits) -> Answered {
    let (head, body) = req.into_parts();
    let refuse = |kind: ErrorKind, message: &str| {
        handler.refused(kind);
        let mut res = error_response(kind, message, None);
        // The rest of the body is not read, so the connection cannot be used again.
        res.headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
        res
    };
    let body = Limited::new(body, limits.max_body_bytes).collect();
    match compio::time::timeout(limits.read_timeout, body).await {
        Err(_) => refuse(ErrorKind::SlowRequest, "the body did not arrive in time"),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
            refuse(ErrorKind::BodyTooLarge, &message)
        }
        Ok(Err(err)) => refuse(ErrorKind::BadRequest, &format!("the body broke off: {err}")),
        Ok(Ok(body)) => {
            handler
                .handle(Received {
                    head,
                    body: body.to_bytes(),
                })
                .await
        }
    }
}
