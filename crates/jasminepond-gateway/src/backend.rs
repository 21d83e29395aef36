//! Task that serves one connection to a backend server.

use std::{
    future::poll_fn, io, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, task::Poll, time::Duration,
};

use bytes::Bytes;
use compio::{
    BufResult,
    buf::{IntoInner, IoBuf},
    io::AsyncWrite,
    net::TcpStream,
};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select_biased};
use jasminepond_daemon::net::flow::bound_send_buffer;
use jasminepond_forward::{ConnKey, Exchange, LostCall};
use socket2::SockRef;
use spdlog::debug;

use crate::{
    HeaderNames, UnsentShare,
    hub::Hub,
    response::{ExpectedResponse, Message, Parsed, ResponseReader},
    socket_set::Socket,
};

/// Timeout of the TCP handshake, after which the connection attempt has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// A request to send over a connection.
#[derive(Debug)]
pub struct Outgoing {
    /// The complete request: head and body.
    pub bytes: Vec<u8>,
    /// Id that the response must have, if it has one.
    pub request_id: Bytes,
    /// How to parse the response.
    pub expected: ExpectedResponse,
}

/// Passes requests to the task of a connection. Dropping it closes the connection.
pub type Sender = mpsc::UnboundedSender<Outgoing>;

/// Spawns a task that opens a connection and serves it until it ends.
pub fn spawn(hub: Rc<Hub>, conn: ConnKey, address: SocketAddr) -> Sender {
    let (tx, rx) = mpsc::unbounded();
    compio::runtime::spawn(run(hub, conn, address, rx)).detach();
    tx
}

async fn run(
    hub: Rc<Hub>,
    conn: ConnKey,
    address: SocketAddr,
    mut rx: mpsc::UnboundedReceiver<Outgoing>,
) {
    let stream = {
        let connect = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let mut connect = pin!(connect.fuse());
        select_biased! {
            stream = connect => stream,
            _ = rx.next() => return,
        }
    };
    let stream = match stream {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return hub.connect_failed(conn, &err.to_string()),
        Err(_) => return hub.connect_failed(conn, "no response to the TCP handshake in time"),
    };
    // Nagle's algorithm would delay small requests until earlier data is acknowledged.
    if let Err(err) = stream.set_nodelay(true) {
        return hub.connect_failed(conn, &err.to_string());
    }
    if let Err(err) = bound_send_buffer(&stream) {
        return hub.connect_failed(conn, &err.to_string());
    }
    let socket = match hub.sockets().add(stream) {
        Ok(socket) => socket,
        Err(err) => return hub.connect_failed(conn, &err.to_string()),
    };
    hub.connected(conn);
    match serve(&hub, conn, &socket, &mut rx).await {
        End::Released => {}
        // Bytes that a partition holds back must not arrive once it ends: nobody waits for the
        // response any more. A connection that is closed normally still delivers them.
        End::Aborted => {
            if let Err(err) = SockRef::from(socket.stream()).set_linger(Some(Duration::ZERO)) {
                debug!("gateway: an aborted connection cannot be reset", kv: { error: = err });
            }
        }
        End::Failed(call, cause) => hub.closed(conn, call, &cause),
    }
}

/// Why a connection ends.
enum End {
    /// The hub dropped the sender.
    Released,
    /// The hub dropped the sender during a call.
    Aborted,
    /// The connection failed. Holds the state of its call and the cause.
    Failed(LostCall, String),
}

/// Maximum number of consecutive responses to other requests that are skipped.
const MAX_SKIPPED: u32 = 4;

/// Response parser of a connection with its buffer.
#[derive(Default)]
struct ResponseStream {
    buf: Vec<u8>,
    reader: ResponseReader,
    /// Whether a response on this connection has had a request id.
    has_ids: bool,
    /// Number of responses to other requests since the last expected response.
    skipped: u32,
}

/// Result of parsing the received bytes.
enum Progress {
    /// The response is incomplete.
    Incomplete,
    /// The response is complete. If `closes` is set, the connection cannot be reused.
    Complete { message: Box<Message>, closes: bool },
    /// The response cannot be used, and neither can the connection.
    Unusable(String),
}

impl ResponseStream {
    fn advance(&mut self, outgoing: &Outgoing, ended: bool, names: &HeaderNames) -> Progress {
        loop {
            let buf = &mut self.buf;
            let parsed = self.reader.advance(buf, ended, names, outgoing.expected);
            let message = match parsed {
                Ok(Parsed::Incomplete) => return Progress::Incomplete,
                Ok(Parsed::Complete(message)) => message,
                Err(err) => return Progress::Unusable(err.to_string()),
            };
            match &message.request_id {
                Some(id) if *id == outgoing.request_id => {}
                // Response to an earlier request; the expected one may follow.
                Some(_) => {
                    self.has_ids = true;
                    self.skipped += 1;
                    if ended || message.closes || self.skipped > MAX_SKIPPED {
                        let cause = "responses to other requests instead of the one awaited";
                        return Progress::Unusable(cause.to_owned());
                    }
                    continue;
                }
                // Without an id this may be the response to an earlier request.
                None if self.has_ids => {
                    let cause = "a response without the id that earlier ones had";
                    return Progress::Unusable(cause.to_owned());
                }
                None => {}
            }
            self.has_ids |= message.request_id.is_some();
            self.skipped = 0;
            // Bytes after the response belong to no request.
            let closes = message.closes || ended || !self.buf.is_empty();
            return Progress::Complete { message, closes };
        }
    }

    fn buffered(&self) -> usize {
        self.buf.len() + self.reader.buffered()
    }
}

async fn serve(
    hub: &Rc<Hub>,
    conn: ConnKey,
    socket: &Socket,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> End {
    let mut responses = ResponseStream::default();
    let mut share = hub.buffered_bytes().share();
    let mut call: Option<Outgoing> = None;
    loop {
        let read = loop {
            // Reads come first, so that a closed connection is detected before a
            // request is written to it. The request is then known to be unsent.
            select_biased! {
                read = socket.read(&mut responses.buf).fuse() => break read,
                next = rx.next() => {
                    let Some(mut outgoing) = next else {
                        return if call.is_some() { End::Aborted } else { End::Released };
                    };
                    let bytes = std::mem::take(&mut outgoing.bytes);
                    call = Some(outgoing);
                    match write(hub, conn, socket, bytes, rx).await {
                        Written::Complete => {}
                        Written::Released => return End::Aborted,
                        Written::Failed(err) => return End::Failed(LostCall::MayHaveRun, err.to_string()),
                    }
                }
            }
        };
        let received = match read {
            Ok(len) => len,
            Err(err) => {
                if let Some(outgoing) = &call {
                    report_limit(hub, conn, &responses, outgoing);
                }
                return End::Failed(lost_call(&call), err.to_string());
            }
        };
        let Some(outgoing) = &call else {
            let cause = if received == 0 {
                "closed by the server"
            } else {
                "unexpected bytes"
            };
            return End::Failed(LostCall::NotSent, cause.to_owned());
        };
        match responses.advance(outgoing, received == 0, hub.headers()) {
            Progress::Incomplete if share.set(responses.buffered()) => yield_now().await,
            Progress::Incomplete => {
                let cause = "too many bytes of unfinished responses";
                return End::Failed(LostCall::MayHaveRun, cause.to_owned());
            }
            Progress::Unusable(cause) => {
                report_limit(hub, conn, &responses, outgoing);
                return End::Failed(LostCall::MayHaveRun, cause);
            }
            Progress::Complete { message, closes } => {
                share.set(0);
                call = None;
                hub.replied(conn, exchange(*message, closes));
                if closes {
                    return End::Released;
                }
            }
        }
    }
}

/// Passes on the rate limit that the headers of a broken response state.
fn report_limit(hub: &Rc<Hub>, conn: ConnKey, responses: &ResponseStream, outgoing: &Outgoing) {
    if let Some(limit) = responses.reader.rate_limit(&outgoing.request_id) {
        hub.limit_stated(conn, limit);
    }
}

/// Lets other tasks run: an endless response keeps its socket readable.
async fn yield_now() {
    let mut yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn exchange(message: Message, closes: bool) -> Exchange {
    Exchange {
        reply: message.reply,
        keep_alive: message.keep_alive,
        closes,
    }
}

fn lost_call(call: &Option<Outgoing>) -> LostCall {
    match call {
        Some(_) => LostCall::MayHaveRun,
        None => LostCall::NotSent,
    }
}

enum Written {
    Complete,
    Released,
    Failed(io::Error),
}

/// Writes a request, and tells the hub how the server reads it.
async fn write(
    hub: &Rc<Hub>,
    conn: ConnKey,
    socket: &Socket,
    bytes: Vec<u8>,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> Written {
    let mut sent = match socket.try_write(&bytes) {
        Ok(len) if len == bytes.len() => return Written::Complete,
        Ok(len) => len,
        Err(err) => return Written::Failed(err),
    };
    let server = hub.read(|forwarder| forwarder.server_of(conn));
    let server = server.unwrap_or_default();
    let unsent = Unsent {
        hub: hub.clone(),
        share: hub.buffered_bytes().unsent(server.clone()),
        server,
    };
    let mut stream = socket.stream();
    let mut bytes = bytes;
    while sent < bytes.len() {
        unsent.set(bytes.len() - sent);
        let mut write = pin!(stream.write(bytes.slice(sent..)).fuse());
        let BufResult(written, rest) = select_biased! {
            written = write => written,
            // The hub sends no request before the response to this one, so the channel was
            // closed.
            _ = rx.next() => return Written::Released,
        };
        bytes = rest.into_inner();
        match written {
            Ok(0) => return Written::Failed(io::ErrorKind::WriteZero.into()),
            Ok(len) => sent += len,
            Err(err) => return Written::Failed(err),
        }
    }
    Written::Complete
}

/// Bytes of a request that the socket has not accepted. On drop, the server counts as one that
/// reads again if nothing else is left for it.
struct Unsent {
    hub: Rc<Hub>,
    server: Arc<str>,
    share: UnsentShare,
}

impl Unsent {
    fn set(&self, bytes: usize) {
        let room = self.share.set(bytes);
        self.hub.server_room_changed(&self.server, room);
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.set(0);
    }
}
