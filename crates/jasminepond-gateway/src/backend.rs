//! The task of one connection to a backend server.

use std::{io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{BufResult, io::AsyncWriteExt, net::TcpStream};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select_biased};
use jasminepond_forward::{ConnKey, Exchange, Lost};

use crate::{
    hub::Hub,
    readiness::Socket,
    response::{Message, Parsed, Wanted, parse},
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
    pub wanted: Wanted,
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
    Lost(Lost, String),
}

async fn serve(
    hub: &Rc<Hub>,
    conn: ConnKey,
    socket: &Socket,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> End {
    let mut buf = Vec::new();
    let mut needed = 0;
    let mut call: Option<Outgoing> = None;
    loop {
        let read = loop {
            // The end of an idle connection must be seen before a request is
            // written to it: it then has certainly not been sent.
            select_biased! {
                read = socket.read(&mut buf).fuse() => break read,
                next = rx.next() => {
                    let Some(mut outgoing) = next else { return End::Asked };
                    let bytes = std::mem::take(&mut outgoing.bytes);
                    call = Some(outgoing);
                    match write(socket, bytes, rx).await {
                        Written::Whole => {}
                        Written::Asked => return End::Asked,
                        Written::Failed(err) => return End::Lost(Lost::Unknown, err.to_string()),
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
            return End::Lost(Lost::NotSent, cause.to_owned());
        };
        let ended = received == 0;
        // A response to an earlier request may come before the one that is due.
        while buf.len() >= needed.max(1) || ended {
            let parsed = parse(&buf, ended, hub.headers(), outgoing.wanted);
            let (message, used) = match parsed {
                Err(err) => return End::Lost(Lost::Unknown, err.to_string()),
                Ok(Parsed::Incomplete(more)) => {
                    needed = more;
                    break;
                }
                Ok(Parsed::Complete(message, used)) => (message, used),
            };
            buf.drain(..used);
            needed = 0;
            let other = |id: &Bytes| *id != outgoing.request_id;
            if message.request_id.as_ref().is_some_and(other) {
                if ended || message.closes {
                    let cause = "ended after a response to another request";
                    return End::Lost(Lost::Unknown, cause.to_owned());
                }
                continue;
            }
            // Bytes behind the response belong to no request.
            let closes = message.closes || ended || !buf.is_empty();
            call = None;
            hub.replied(conn, exchange(*message, closes));
            if closes {
                return End::Asked;
            }
            break;
        }
    }
}

fn exchange(message: Message, closes: bool) -> Exchange {
    Exchange {
        reply: message.reply,
        keep_alive: message.keep_alive,
        closes,
    }
}

fn lost(call: &Option<Outgoing>) -> Lost {
    match call {
        Some(_) => Lost::Unknown,
        None => Lost::NotSent,
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
