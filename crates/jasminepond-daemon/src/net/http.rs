//! HTTP/1.1 listeners with limits on headers, bodies, connections and slow clients.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io::{self, IoSlice},
    net::{IpAddr, SocketAddr},
    pin::{Pin, pin},
    rc::Rc,
    task::{Context as TaskContext, Poll, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::{FutureExt, future::LocalBoxFuture, select_biased};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    rt::{Read, ReadBuf, ReadBufCursor, Write},
    server::conn::http1,
    service::service_fn,
};
use jasminepond_types::{ErrorKind, Millis, RetryAfter, RunStatus};
use rustix::net::sockopt;
use serde_json::json;

use super::flow::{BodyRefused, DirectWriter, Flow, bound_send_buffer};
use crate::stop::Stop;

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Maximum size of the request line and headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time between the first and last byte of a request.
    pub read_timeout: Duration,
    /// Maximum time between a response and the next request. This also limits how
    /// long a client may take to read a response.
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

impl From<&jasminepond_config::Limits> for Limits {
    fn from(limits: &jasminepond_config::Limits) -> Self {
        let bytes = |size: u64| usize::try_from(size).unwrap_or(usize::MAX);
        Self {
            max_connections: limits.max_connections as usize,
            max_header_bytes: bytes(limits.max_header_bytes.get()),
            max_body_bytes: bytes(limits.max_body_bytes.get()),
            read_timeout: limits.request_read_timeout_ms.duration(),
            idle_timeout: limits.idle_timeout_ms.duration(),
        }
    }
}

impl Limits {
    /// Header size in bytes at which reading stops; the response then has no body.
    fn hard_header_limit(&self) -> usize {
        (self.max_header_bytes * 2).max(MIN_HARD_HEADER_LIMIT)
    }
}

/// Keeps the hard limit well above small configured limits, so that most requests
/// above these still get a response with a body.
const MIN_HARD_HEADER_LIMIT: usize = 64 << 10;

/// Limits that apply to connections accepted from now on.
pub type SharedLimits = Rc<RefCell<Limits>>;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Method, path and headers.
    pub head: hyper::http::request::Parts,
    /// The body.
    pub body: Bytes,
}

/// Address of the client of a request, among the extensions of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientAddress(pub IpAddr);

/// A response with a complete body.
pub type BufferedResponse = Response<Full<Bytes>>;

/// Handles the requests of a listener.
pub trait Handler {
    /// Handles one request.
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse>;

    /// Called for each request refused before it reached [`Handler::handle`].
    fn refused(&self, kind: ErrorKind) {
        let _ = kind;
    }

    /// Returns the account of the memory held for a new connection. Without one, the memory is
    /// bounded by the limits of the listener only.
    fn flow(&self, client: SocketAddr) -> Option<Rc<dyn Flow>> {
        let _ = client;
        None
    }
}

/// A JSON response.
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> BufferedResponse {
    text_response(status, "application/json", value.to_string())
}

/// A response with a body of the given media type.
pub fn text_response(status: StatusCode, kind: &'static str, body: String) -> BufferedResponse {
    let mut res = Response::new(Full::new(Bytes::from(body)));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    res
}

/// The response for an error kind. `retry_after` is ignored for kinds that do not
/// state one.
pub fn error_response(
    kind: ErrorKind,
    message: &str,
    retry_after: Option<Millis>,
) -> BufferedResponse {
    let answer = kind.response();
    let mut error = json!({
        "kind": kind.as_str(),
        "message": message,
        "not_run": answer.run == RunStatus::NotRun,
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
        // The header is in whole seconds.
        res.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(after.0.div_ceil(1_000)));
    }
    res
}

/// Used if the refusing component has no better estimate.
const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// Decrements the count of open connections when a connection ends.
struct OpenGuard(Rc<Cell<usize>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections until `stop`, then lets the open ones finish their current
/// request and returns when all are closed.
///
/// Connections are still accepted for [`STOP_GRACE`] after `stop`, because requests
/// sent before it may be waiting in the accept queue or in socket buffers.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    limits: SharedLimits,
    stop: Stop,
) {
    let open = Rc::new(Cell::new(0));
    let (close_tx, close) = crate::stop::stop();
    let stopped = async {
        stop.wait().await;
        compio::time::sleep(STOP_GRACE).await;
    };
    let mut stopped = pin!(stopped.fuse());
    loop {
        let (stream, client) = select_biased! {
            accepted = listener.accept().fuse() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    // For example out of file descriptors: wait until some are freed.
                    compio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            },
            _ = stopped => break,
        };
        let limits = limits.borrow().clone();
        if open.get() >= limits.max_connections {
            handler.refused(ErrorKind::Overloaded);
            continue;
        }
        open.set(open.get() + 1);
        let guard = OpenGuard(open.clone());
        let flow = handler.flow(client);
        let client = ClientAddress(client.ip());
        let conn = connection(
            (stream, client),
            handler.clone(),
            flow,
            limits,
            close.clone(),
        );
        compio::runtime::spawn(async move {
            conn.await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    close_tx.send();
    while open.get() > 0 {
        compio::time::sleep(DRAIN_POLL).await;
    }
}

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Time between the stop signal and the closing of the listener and idle connections.
pub const STOP_GRACE: Duration = Duration::from_millis(200);

/// Maximum time for which a client's remaining data is read after its request was
/// refused. Closing at once would reset the connection, and the client could lose the
/// response.
const LINGER: Duration = Duration::from_millis(500);

async fn connection(
    (stream, client): (TcpStream, ClientAddress),
    handler: Rc<dyn Handler>,
    flow: Option<Rc<dyn Flow>>,
    limits: Limits,
    close: Stop,
) {
    if stream.set_nodelay(true).is_err() || flow.is_some() && bound_send_buffer(&stream).is_err() {
        return;
    }
    let activity = Rc::new(Activity::new(flow.clone()));
    let service = {
        let (activity, limits, handler) = (activity.clone(), limits.clone(), handler.clone());
        service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(client);
            let first_byte = activity.begin();
            let (handler, activity, limits) = (handler.clone(), activity.clone(), limits.clone());
            async move {
                let is_head = req.method() == Method::HEAD;
                let res = respond(req, first_byte, &activity, &*handler, &limits).await;
                activity.end();
                if !is_head {
                    activity.add_response(res.body().size_hint().lower());
                }
                Ok::<_, std::convert::Infallible>(res)
            }
            .boxed_local()
        })
    };
    let socket = stream.clone();
    let stream = TrackedStream {
        stream: HyperStream::new_plain(stream),
        writer: DirectWriter::new(socket.clone()),
        activity: activity.clone(),
    };
    let mut conn = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(None)
        .max_buf_size(limits.hard_header_limit())
        .serve_connection(stream, service);
    let mut closing = pin!(close.wait().fuse());
    let mut timed_out = pin!(activity.timed_out(&limits).fuse());
    let dropped = poll_fn(|cx| match &flow {
        Some(flow) => flow.poll_dropped(cx),
        None => Poll::Pending,
    });
    let mut dropped = pin!(dropped.fuse());
    let ended = loop {
        select_biased! {
            ended = poll_fn(|cx| conn.poll_without_shutdown(cx)).fuse() =>
                break ConnectionEnd::Hyper(ended),
            // A request that has started to arrive is answered first.
            _ = closing => if activity.head_since.get().is_none() {
                Pin::new(&mut conn).graceful_shutdown();
            },
            timeout = timed_out => break ConnectionEnd::TimedOut(timeout),
            _ = dropped => {
                // The connection is reset: the client must not take what it has for the whole.
                let _ = sockopt::set_socket_linger(&socket, Some(Duration::ZERO));
                return;
            }
        }
    };
    let mut stream = conn.into_parts().io.stream;
    let refusal = match ended {
        ConnectionEnd::Hyper(Err(err)) if err.is_parse_too_large() => {
            // hyper has answered 431 without a body.
            handler.refused(ErrorKind::HeadersTooLarge);
            None
        }
        ConnectionEnd::Hyper(Err(err)) if err.is_parse() => {
            // hyper has answered 400 without a body.
            handler.refused(ErrorKind::BadRequest);
            None
        }
        ConnectionEnd::Hyper(_) | ConnectionEnd::TimedOut(ClientTimeout::Idle) => None,
        ConnectionEnd::TimedOut(ClientTimeout::Head) => {
            handler.refused(ErrorKind::SlowRequest);
            let message = "the headers did not arrive in time";
            Some(error_response(ErrorKind::SlowRequest, message, None))
        }
    };
    if let Some(res) = refusal {
        let _ = compio::time::timeout(LINGER, write_raw(&mut stream, res)).await;
    }
    let unread = activity.unread.get() || activity.head_since.get().is_some();
    let _ = compio::time::timeout(LINGER, close_gracefully(&mut stream, &socket, unread)).await;
}

/// Reason why serving a connection ended.
enum ConnectionEnd {
    Hyper(hyper::Result<()>),
    TimedOut(ClientTimeout),
}

/// Timeout that a client has exceeded.
enum ClientTimeout {
    /// No further request arrived.
    Idle,
    /// The headers of a request did not arrive completely.
    Head,
}

type Stream = HyperStream<TcpStream>;

/// Writes a response without hyper, which responds only to requests whose headers it
/// has read completely.
async fn write_raw(stream: &mut Stream, res: BufferedResponse) -> io::Result<()> {
    let (head, body) = res.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let body = body.unwrap_or_default();
    let mut text = format!("HTTP/1.1 {}\r\n", head.status);
    for (name, value) in &head.headers {
        let value = value.to_str().unwrap_or_default();
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    text.push_str(&format!(
        "content-length: {length}\r\nconnection: close\r\n\r\n"
    ));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&body);
    let mut written = 0;
    while written < bytes.len() {
        let n = poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, &bytes[written..])).await?;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written += n;
    }
    poll_fn(|cx| Pin::new(&mut *stream).poll_flush(cx)).await
}

/// Shuts down the write direction and discards the rest of a refused request.
async fn close_gracefully(stream: &mut Stream, socket: &TcpStream, unread: bool) -> io::Result<()> {
    poll_fn(|cx| Pin::new(&mut *stream).poll_flush(cx)).await?;
    // The stream's own shutdown makes a round trip to another thread, which costs more
    // than the rest of the response.
    rustix::net::shutdown(socket, rustix::net::Shutdown::Write)?;
    if !unread {
        return Ok(());
    }
    let mut bytes = [0; 4 << 10];
    loop {
        let mut buf = ReadBuf::new(&mut bytes);
        poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buf.unfilled())).await?;
        if buf.filled().is_empty() {
            return Ok(());
        }
    }
}

/// Maximum size of one read; the size of hyper's initial read buffer.
const READ_BYTES: usize = 8 << 10;

/// A stream that records when the first byte of a request arrives, and how much of a response
/// the socket has not accepted.
struct TrackedStream {
    stream: Stream,
    writer: DirectWriter,
    activity: Rc<Activity>,
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let size = buf.remaining().min(READ_BYTES);
        let mut read = ReadBuf::new(&mut bytes[..size]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()))?;
        if !read.filled().is_empty() {
            self.activity.received();
        }
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(self.writer.poll_write(cx, bytes))?;
        self.activity.accepted(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        // hyper has written everything that it holds.
        self.activity.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Tracks the requests of a connection for its timeouts.
struct Activity {
    running: Cell<usize>,
    /// When the last request ended, or the connection was accepted.
    last: Cell<Instant>,
    /// When the first byte of a request with still incomplete headers arrived.
    head_since: Cell<Option<Instant>>,
    /// Whether part of a refused request is still unread.
    unread: Cell<bool>,
    /// Bytes of responses that the socket has not accepted. Those of heads are not counted, so
    /// the last byte stays counted until everything is written.
    unsent: Cell<usize>,
    flow: Option<Rc<dyn Flow>>,
}

impl Activity {
    fn new(flow: Option<Rc<dyn Flow>>) -> Self {
        Self {
            running: Cell::new(0),
            last: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            unread: Cell::new(false),
            unsent: Cell::new(0),
            flow,
        }
    }

    fn hold_request(&self, bytes: usize) -> Result<(), BodyRefused> {
        self.flow
            .as_ref()
            .map_or(Ok(()), |flow| flow.hold_request(bytes))
    }

    /// Notes a response of this many bytes. hyper may still hold earlier ones of a client that
    /// sends requests without waiting for responses.
    fn add_response(&self, bytes: u64) {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        self.hold_response(self.unsent.get().saturating_add(bytes));
    }

    fn hold_response(&self, unsent: usize) {
        if self.unsent.replace(unsent) != unsent
            && let Some(flow) = &self.flow
        {
            flow.hold_response(unsent);
        }
    }

    /// Notes that the socket has accepted bytes of a response.
    fn accepted(&self, bytes: usize) {
        let unsent = self.unsent.get();
        if unsent > 0 {
            self.hold_response(unsent.saturating_sub(bytes).max(1));
        }
    }

    /// Notes that all bytes so far were accepted.
    fn flushed(&self) {
        if self.unsent.get() == 1 {
            self.hold_response(0);
            self.last.set(Instant::now());
        }
    }

    fn received(&self) {
        if self.running.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// Marks the headers as complete. Returns the time at which the first byte arrived.
    fn begin(&self) -> Instant {
        self.running.set(self.running.get() + 1);
        self.head_since.take().unwrap_or_else(Instant::now)
    }

    fn end(&self) {
        self.running.set(self.running.get() - 1);
        self.last.set(Instant::now());
    }

    /// Returns once the client exceeds a timeout.
    async fn timed_out(self: &Rc<Self>, limits: &Limits) -> ClientTimeout {
        loop {
            let head_since = self.head_since.get();
            let (since, limit) = match head_since {
                _ if self.running.get() > 0 => (Instant::now(), limits.read_timeout),
                // The account limits how long a response may take.
                _ if self.unsent.get() > 0 && self.flow.is_some() => {
                    (Instant::now(), limits.read_timeout)
                }
                Some(since) => (since, limits.read_timeout),
                None => (self.last.get(), limits.idle_timeout),
            };
            match limit.checked_sub(since.elapsed()) {
                // A request may start to arrive while the connection is idle, so check
                // again within the read timeout.
                Some(rest) if !rest.is_zero() => {
                    compio::time::sleep(rest.min(limits.read_timeout)).await;
                }
                _ if head_since.is_some() => return ClientTimeout::Head,
                _ => return ClientTimeout::Idle,
            }
        }
    }
}

/// Size of the request line and headers in bytes, without separators.
fn header_bytes(head: &hyper::http::request::Parts) -> usize {
    let uri = head
        .uri
        .path_and_query()
        .map_or(0, |uri| uri.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    head.method.as_str().len() + uri + headers.sum::<usize>()
}

async fn respond(
    req: Request<Incoming>,
    first_byte: Instant,
    activity: &Activity,
    handler: &dyn Handler,
    limits: &Limits,
) -> BufferedResponse {
    let (head, body) = req.into_parts();
    let refuse_until = |kind: ErrorKind, message: &str, retry_after: Option<Millis>| {
        handler.refused(kind);
        activity.unread.set(true);
        let mut res = error_response(kind, message, retry_after);
        // The rest of the body is not read, so the connection cannot be reused.
        res.headers_mut()
            .insert("connection", HeaderValue::from_static("close"));
        res
    };
    let refuse = |kind: ErrorKind, message: &str| refuse_until(kind, message, None);
    let no_room = |BodyRefused { retry_after }| {
        let message = "the daemon has no memory for the body";
        refuse_until(ErrorKind::Overloaded, message, Some(retry_after))
    };
    if header_bytes(&head) > limits.max_header_bytes {
        let message = format!("the headers exceed {} bytes", limits.max_header_bytes);
        return refuse(ErrorKind::HeadersTooLarge, &message);
    }
    let left = limits.read_timeout.saturating_sub(first_byte.elapsed());
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    // Larger bodies are refused anyway.
    let stated = stated.min(limits.max_body_bytes);
    let held = HeldRequest(activity);
    if let Err(refused) = activity.hold_request(stated) {
        return no_room(refused);
    }
    let body = Limited::new(body, limits.max_body_bytes);
    let collected = collect_body(body, |len| activity.hold_request(len.max(stated)));
    match compio::time::timeout(left, collected).await {
        Err(_) => refuse(ErrorKind::SlowRequest, "the body did not arrive in time"),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {} bytes", limits.max_body_bytes);
            refuse(ErrorKind::BodyTooLarge, &message)
        }
        Ok(Err(err)) => refuse(ErrorKind::BadRequest, &format!("the body broke off: {err}")),
        Ok(Ok(Err(refused))) => no_room(refused),
        Ok(Ok(Ok(body))) => {
            let res = handler.handle(BufferedRequest { head, body }).await;
            drop(held);
            res
        }
    }
}

/// Gives back the memory held for the body of a request, also if its client disconnects.
struct HeldRequest<'a>(&'a Activity);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        // No bytes always have room.
        let _ = self.0.hold_request(0);
    }
}

/// Collects a body into one buffer. One buffer per body frame would take many times
/// the body's size if a client sends chunks of single bytes. `hold` is told the size after each
/// frame, and decides whether to go on.
async fn collect_body<B>(
    body: B,
    hold: impl Fn(usize) -> Result<(), BodyRefused>,
) -> Result<Result<Bytes, BodyRefused>, B::Error>
where
    B: Body<Data = Bytes>,
{
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
            if let Err(refused) = hold(bytes.len()) {
                return Ok(Err(refused));
            }
        }
    }
    Ok(Ok(bytes.into()))
}
