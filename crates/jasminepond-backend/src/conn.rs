//! The task of one connection.

use std::{net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use compio::net::TcpStream;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select_biased};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use jasminepond_http::{Driver, SendError, Sender, handshake};

use crate::{
    Dialer,
    call::{Call, CallId, Reply},
    response,
};

/// Options of a connection.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address of the server.
    pub address: SocketAddr,
    /// Prefix of request ids on the wire, unique to this run of the daemon. Without
    /// it, a cancellation by one daemon could cancel a request of another.
    pub id_prefix: Arc<str>,
    /// Timeout of the TCP handshake.
    pub connect_timeout: Duration,
    /// Maximum size of a response body in bytes.
    pub max_body: usize,
}

/// A command to a connection.
#[derive(Debug)]
pub enum Command {
    /// Make a call. Allowed only after [`Event::Connected`] and while no other call is
    /// running.
    Call {
        /// Id of the call, sent to the server as its request id.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Close immediately, even if a call is running.
    Close,
}

/// Whether a call was sent before its connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// The call was certainly not sent.
    No,
    /// The call may have been sent.
    Maybe,
    /// The call was sent, but its response is invalid: malformed, too large or for
    /// another request.
    InvalidResponse,
}

/// An event of a connection.
#[derive(Debug)]
pub enum Event {
    /// The connection is open.
    Connected,
    /// The connection could not be opened; its task has ended.
    ConnectFailed(String),
    /// A call has received its response; the connection is idle again.
    Reply {
        /// Id of the call.
        id: CallId,
        /// The response.
        reply: Reply,
    },
    /// The connection was closed; its task has ended.
    Closed {
        /// The call that was running and whether it was sent.
        call: Option<(CallId, Sent)>,
        /// Cause of the closure.
        cause: String,
    },
}

/// Receives the events of one connection.
pub type EventHandler = Rc<dyn Fn(Event)>;

/// Handle of a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    tx: mpsc::UnboundedSender<Command>,
}

impl Connection {
    /// Creates a handle and the receiver of its commands.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (tx, rx) = mpsc::unbounded();
        (Self { tx }, rx)
    }

    /// Sends a command to the connection. Ignored if the connection has ended.
    pub fn send(&self, command: Command) {
        // The task reports its own end, so a lost command need not be reported.
        let _ = self.tx.unbounded_send(command);
    }
}

/// Opens HTTP/1.1 connections over TCP.
#[derive(Debug, Default, Clone, Copy)]
pub struct HttpDialer;

impl Dialer for HttpDialer {
    fn dial(&self, options: Options, events: EventHandler) -> Connection {
        let (conn, rx) = Connection::new();
        compio::runtime::spawn(run(options, rx, events)).detach();
        conn
    }
}

async fn open(options: &Options) -> Result<(Sender, Driver), String> {
    let connect = TcpStream::connect(options.address);
    let stream = match compio::time::timeout(options.connect_timeout, connect).await {
        Err(_) => return Err("TCP handshake timed out".to_owned()),
        Ok(Err(err)) => return Err(err.to_string()),
        Ok(Ok(stream)) => stream,
    };
    handshake(stream).await.map_err(|err| err.to_string())
}

async fn run(options: Options, mut rx: mpsc::UnboundedReceiver<Command>, events: EventHandler) {
    let (sender, conn) = {
        let mut opening = pin!(open(&options).fuse());
        loop {
            select_biased! {
                opened = opening => match opened {
                    Ok(client) => break client,
                    Err(cause) => return events(Event::ConnectFailed(cause)),
                },
                command = rx.next() => if !matches!(command, Some(Command::Call { .. })) {
                    return events(Event::ConnectFailed("closed before it was established".to_owned()));
                },
            }
        }
    };
    events(Event::Connected);
    let (call, cause) = run_calls(&options, sender, conn, &mut rx, &events).await;
    events(Event::Closed { call, cause });
}

type CloseReason = (Option<(CallId, Sent)>, String);

async fn run_calls(
    options: &Options,
    mut sender: Sender,
    conn: Driver,
    rx: &mut mpsc::UnboundedReceiver<Command>,
    events: &EventHandler,
) -> CloseReason {
    let mut conn = pin!(conn.fuse());
    loop {
        let (id, call) = select_biased! {
            ended = conn => return (None, close_cause(ended.err())),
            command = rx.next() => match command {
                Some(Command::Call { id, call }) => (id, call),
                Some(Command::Close) | None => return (None, "closed".to_owned()),
            },
        };
        let mut exchange = pin!(exchange(options, &mut sender, id, &call).fuse());
        let ended = loop {
            select_biased! {
                ended = exchange => break ended,
                // `exchange` also reports the end of the connection as an error.
                _ = conn => {}
                command = rx.next() => if !matches!(command, Some(Command::Call { .. })) {
                    return (Some((id, Sent::Maybe)), "closed during a call".to_owned());
                },
            }
        };
        match ended {
            Ok(reply) => events(Event::Reply { id, reply }),
            Err((sent, cause)) => return (Some((id, sent)), cause),
        }
    }
}

fn close_cause(err: Option<hyper::Error>) -> String {
    match err {
        Some(err) => err.to_string(),
        None => "closed by the server".to_owned(),
    }
}

async fn exchange(
    options: &Options,
    sender: &mut Sender,
    id: CallId,
    call: &Call,
) -> Result<Reply, (Sent, String)> {
    let req = request(options, id, call).map_err(|err| (Sent::No, err.to_string()))?;
    let res = sender.send(req).await.map_err(|err| {
        let sent = match err {
            SendError::NotSent(_) => Sent::No,
            SendError::MalformedHead(_) | SendError::Malformed(_) => Sent::InvalidResponse,
            SendError::Lost(_) => Sent::Maybe,
        };
        (sent, err.to_string())
    })?;
    let (parts, body) = res.into_parts();
    let body = Limited::new(body, options.max_body).collect().await;
    let body = body.map_err(|err| {
        let sent = if err.is::<LengthLimitError>() {
            Sent::InvalidResponse
        } else {
            Sent::Maybe
        };
        (sent, err.to_string())
    })?;
    let request_id = format!("{}/{id}", options.id_prefix);
    response::parse(
        &request_id,
        call,
        parts.status,
        &parts.headers,
        body.to_bytes(),
    )
    .map_err(|err| (Sent::InvalidResponse, err.to_string()))
}

fn request(
    options: &Options,
    id: CallId,
    call: &Call,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let request_id = |id: &CallId| format!("{}/{id}", options.id_prefix);
    let req = Request::builder()
        .header("host", options.address.to_string())
        .header("x-request-id", request_id(&id));
    let json = |value: serde_json::Value| Full::new(Bytes::from(value.to_string()));
    match call {
        Call::Search(search) => req
            .method("POST")
            .uri("/search")
            .header("x-deadline-ms", search.left.0)
            .header("x-shard", search.service.as_str())
            .header("x-version", search.version.0)
            .body(json(
                serde_json::json!({"query": &*search.query, "limit": search.limit}),
            )),
        Call::Execute(execute) => req
            .method("POST")
            .uri("/execute")
            .header("x-deadline-ms", execute.left.0)
            .header("x-request-key", &execute.key)
            .body(Full::new(execute.operation.clone())),
        Call::Cancel(ids) => {
            let ids: Vec<String> = ids.iter().map(request_id).collect();
            req.method("POST")
                .uri("/cancel")
                .body(json(serde_json::json!({ "ids": ids })))
        }
        Call::Health => req.method("GET").uri("/health").body(Full::default()),
    }
}
