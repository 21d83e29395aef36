//! The task of one connection to a backend server.

use std::{future::poll_fn, io, net::SocketAddr, pin::pin, rc::Rc, task::Poll, time::Duration};

use bytes::Bytes;
use compio::{BufResult, io::AsyncWriteExt, net::TcpStream};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select_biased};
use jasminepond_forward::{ConnKey, Exchange, LostCall};

use crate::{
    HeaderNames,
    hub::Hub,
    readiness::Socket,
    response::{ExpectedResponse, Message, Parsed, ResponseReader},
};

/// Longest time for the TCP handshake; a server that takes longer is not reached.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// A request to be sent over a connection.
#[derive(Debug)]
pub struct Outgoing {
    /// The whole request.
    pub bytes: Vec<u8>,
    /// Id that the response must bear, if it bears one.
    pub request_id: Bytes,
    /// What the response holds.
    pub expected: ExpectedResponse,
}

/// Sends requests to a connection's task. Dropping it closes the connection.
pub type Sender = mpsc::UnboundedSender<Outgoing>;

/// Opens a connection and serves it until it ends.
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
    // Small requests must not wait for the acknowledgement of earlier ones.
    if let Err(err) = stream.set_nodelay(true) {
        return hub.connect_failed(conn, &err.to_string());
    }
    let socket = match hub.readiness().add(stream) {
        Ok(socket) => socket,
        Err(err) => return hub.connect_failed(conn, &err.to_string()),
    };
    hub.connected(conn);
    match serve(&hub, conn, &socket, &mut rx).await {
        End::Asked => {}
        End::Lost(lost, cause) => hub.closed(conn, lost, &cause),
    }
}

/// Why a connection ends.
enum End {
    /// The hub has let go of it.
    Asked,
    /// It broke, with the call on it in this state.
    Lost(LostCall, String),
}

/// Responses to other requests that are skipped while one is awaited.
const MAX_SKIPPED: u32 = 4;

/// What is read of the responses of a connection.
#[derive(Default)]
struct Reading {
    buf: Vec<u8>,
    reader: ResponseReader,
    /// Whether the server has stated the id of a request on this connection.
    states_ids: bool,
    /// Responses to other requests since the last one that was awaited.
    skipped: u32,
}

/// What the bytes that have arrived amount to.
enum Progress {
    /// The response is not whole.
    Awaited,
    /// It is whole. `closes` says that the connection is of no further use.
    Whole { message: Box<Message>, closes: bool },
    /// The connection is of no use.
    Unusable(String),
}

impl Reading {
    fn advance(&mut self, outgoing: &Outgoing, ended: bool, names: &HeaderNames) -> Progress {
        loop {
            let buf = &mut self.buf;
            let parsed = self.reader.advance(buf, ended, names, outgoing.expected);
            let message = match parsed {
                Ok(Parsed::Incomplete) => return Progress::Awaited,
                Ok(Parsed::Complete(message)) => message,
                Err(err) => return Progress::Unusable(err.to_string()),
            };
            match &message.request_id {
                Some(id) if *id == outgoing.request_id => {}
                // A response to an earlier request may come before the one that is due.
                Some(_) => {
                    self.states_ids = true;
                    self.skipped += 1;
                    if ended || message.closes || self.skipped > MAX_SKIPPED {
                        let cause = "responses to other requests instead of the one awaited";
                        return Progress::Unusable(cause.to_owned());
                    }
                    continue;
                }
                // It may answer an earlier request.
                None if self.states_ids => {
                    let cause = "a response without the id that earlier ones had";
                    return Progress::Unusable(cause.to_owned());
                }
                None => {}
            }
            self.states_ids |= message.request_id.is_some();
            self.skipped = 0;
            // Bytes behind the response belong to no request.
            let closes = message.closes || ended || !self.buf.is_empty();
            return Progress::Whole { message, closes };
        }
    }

    fn held(&self) -> usize {
        self.buf.len() + self.reader.buffered()
    }
}

async fn serve(
    hub: &Rc<Hub>,
    conn: ConnKey,
    socket: &Socket,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> End {
    let mut reading = Reading::default();
    let mut held = hub.buffered_bytes().share();
    let mut call: Option<Outgoing> = None;
    loop {
        let read = loop {
            // The end of an idle connection must be seen before a request is
            // written to it: it then has certainly not been sent.
            select_biased! {
                read = socket.read(&mut reading.buf).fuse() => break read,
                next = rx.next() => {
                    let Some(mut outgoing) = next else { return End::Asked };
                    let bytes = std::mem::take(&mut outgoing.bytes);
                    call = Some(outgoing);
                    match write(socket, bytes, rx).await {
                        Written::Whole => {}
                        Written::Asked => return End::Asked,
                        Written::Failed(err) => return End::Lost(LostCall::MayHaveRun, err.to_string()),
                    }
                }
            }
        };
        let received = match read {
            Ok(len) => len,
            Err(err) => return End::Lost(lost(&call), err.to_string()),
        };
        let Some(outgoing) = &call else {
            let cause = if received == 0 {
                "closed by the server"
            } else {
                "unexpected bytes"
            };
            return End::Lost(LostCall::NotSent, cause.to_owned());
        };
        match reading.advance(outgoing, received == 0, hub.headers()) {
            Progress::Awaited if held.set(reading.held()) => yield_now().await,
            Progress::Awaited => {
                let cause = "too many bytes of unfinished responses";
                return End::Lost(LostCall::MayHaveRun, cause.to_owned());
            }
            Progress::Unusable(cause) => return End::Lost(LostCall::MayHaveRun, cause),
            Progress::Whole { message, closes } => {
                held.set(0);
                call = None;
                hub.replied(conn, exchange(*message, closes));
                if closes {
                    return End::Asked;
                }
            }
        }
    }
}

/// Lets other tasks run: a server that sends without end keeps its socket readable.
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

fn lost(call: &Option<Outgoing>) -> LostCall {
    match call {
        Some(_) => LostCall::MayHaveRun,
        None => LostCall::NotSent,
    }
}

enum Written {
    Whole,
    Asked,
    Failed(io::Error),
}

async fn write(
    socket: &Socket,
    mut bytes: Vec<u8>,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> Written {
    match socket.try_write(&bytes) {
        Ok(len) if len == bytes.len() => return Written::Whole,
        Ok(len) => drop(bytes.drain(..len)),
        Err(err) => return Written::Failed(err),
    }
    let mut stream = socket.stream();
    let mut write = pin!(stream.write_all(bytes).fuse());
    select_biased! {
        BufResult(written, _) = write => match written {
            Ok(()) => Written::Whole,
            Err(err) => Written::Failed(err),
        },
        // No request follows before the response, so the hub has let go.
        _ = rx.next() => Written::Asked,
    }
}
