//! One WebSocket link to another daemon.
//!
//! The link's task owns the socket and the flow control state. When a link ends, it
//! returns the frames that were definitely not written, so that their requests can be
//! sent to other peers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_channel::mpsc;
use futures_util::{
    FutureExt, SinkExt, StreamExt, select_biased,
    stream::{SplitSink, SplitStream},
};
use jasminepond_types::{Incarnation, InstanceId};
use jasminepond_wire::{
    Credits, Frame, Handshake, HandshakeStep, KeyRing, LocalPeer, MAX_FRAME_BYTES, Peer, Role,
    decode, encode,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::metrics::{Direction, Traffic, TrafficKind};

/// Identifies a link within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Settings common to all links.
#[derive(Debug, Clone)]
pub struct Options {
    /// This daemon's instance.
    pub instance: InstanceId,
    /// This process's incarnation.
    pub incarnation: Incarnation,
    /// Shared keys for authenticating daemons to each other.
    pub keys: KeyRing,
    /// Timeout for connecting and authenticating.
    pub handshake_timeout: Duration,
    /// A link on which no expected frame arrives for this long is closed.
    pub silence_limit: Duration,
    /// Maximum number of outstanding sub-requests from a peer.
    pub window: u32,
    /// Traffic counters of all links.
    pub traffic: Traffic,
}

/// Event of a link.
#[derive(Debug)]
pub enum Event {
    /// The handshake succeeded.
    Up(Rc<Peer>),
    /// A frame arrived.
    Frame(Rc<Peer>, Frame),
    /// The peer's window has no room for this frame; it was not sent.
    Refused(Frame),
    /// The link has ended.
    Down {
        /// Cause.
        cause: String,
        /// Frames that were definitely not written.
        unsent: Vec<Frame>,
    },
}

/// Receives the events of links.
pub type Events = Rc<dyn Fn(LinkId, Event)>;

/// Command to a link.
#[derive(Debug)]
pub enum Command {
    /// Send a frame.
    Send(Frame),
    /// Close after all queued frames have been written.
    Finish,
    /// Close at once.
    Close,
}

/// Receiving end of a link's commands.
pub type Commands = mpsc::UnboundedReceiver<Command>;

type Socket = WebSocketStream<Compat<HyperStream<TcpStream>>>;
type Reader = SplitStream<Socket>;
type Writer = SplitSink<Socket, Message>;

/// Small, because a daemon has links to thousands of others at the target size.
const BUFFER_BYTES: usize = 8 << 10;

/// Maximum number of frames written between two flushes.
const WRITE_BATCH: usize = 64;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(MAX_FRAME_BYTES * 2)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Connects to the instance `expected` at `address` and runs the link until it ends.
pub async fn dial(
    options: Options,
    id: LinkId,
    (expected, address): (InstanceId, SocketAddr),
    rx: Commands,
    events: Events,
) {
    let connect = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|err| err.to_string())?;
        let stream = prepare(stream)?;
        let url = format!("ws://{address}/peer");
        let socket = client_async_with_config(url, stream, Some(websocket_config())).await;
        let (socket, _) = socket.map_err(|err| err.to_string())?;
        authenticate(&options, Role::Dialer, Some(expected), socket).await
    };
    run(&options, id, connect, rx, events).await;
}

/// Accepts a link on `stream` and runs it until it ends.
pub async fn accept(options: Options, id: LinkId, stream: TcpStream, rx: Commands, events: Events) {
    let connect = async {
        let stream = prepare(stream)?;
        let socket = accept_async_with_config(stream, Some(websocket_config())).await;
        let socket = socket.map_err(|err| err.to_string())?;
        authenticate(&options, Role::Acceptor, None, socket).await
    };
    run(&options, id, connect, rx, events).await;
}

fn prepare(stream: TcpStream) -> Result<Compat<HyperStream<TcpStream>>, String> {
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    Ok(HyperStream::new_plain(stream).compat())
}

fn traffic_kind(frame: &Frame) -> TrafficKind {
    match frame {
        Frame::Sync { .. } => TrafficKind::Sync,
        Frame::Hello(_)
        | Frame::Proof(_)
        | Frame::Goodbye
        | Frame::Ping { .. }
        | Frame::Pong { .. }
        | Frame::Unknown { .. } => TrafficKind::Link,
        Frame::Search(_)
        | Frame::PartResults(_)
        | Frame::Cancel(_)
        | Frame::Execute(_)
        | Frame::Executed(_)
        | Frame::ForwardExecute(_)
        | Frame::ForwardExecuted(_)
        | Frame::Credit { .. } => TrafficKind::Work,
    }
}

async fn write(traffic: &Traffic, socket: &mut Socket, frame: &Frame) -> Result<(), String> {
    let mut buf = Vec::new();
    encode(frame, &mut buf).map_err(|err| err.to_string())?;
    traffic.count(Direction::Sent, traffic_kind(frame), buf.len());
    socket
        .send(Message::binary(buf))
        .await
        .map_err(|err| err.to_string())
}

async fn read(traffic: &Traffic, socket: &mut Socket) -> Result<Frame, String> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                let frame = decode(&bytes).map_err(|err| err.to_string())?;
                traffic.count(Direction::Received, traffic_kind(&frame), bytes.len());
                return Ok(frame);
            }
            Some(Ok(_)) => {}
            Some(Err(err)) => return Err(err.to_string()),
            None => return Err("closed during the handshake".to_owned()),
        }
    }
}

async fn authenticate(
    options: &Options,
    role: Role,
    expected: Option<InstanceId>,
    mut socket: Socket,
) -> Result<(Socket, Peer), String> {
    let local = LocalPeer {
        role,
        instance: options.instance.clone(),
        incarnation: options.incarnation,
        nonce: rand::random(),
        expect: expected,
    };
    let (mut handshake, hello) = Handshake::new(options.keys.clone(), local);
    write(&options.traffic, &mut socket, &Frame::Hello(hello)).await?;
    loop {
        let frame = read(&options.traffic, &mut socket).await?;
        match handshake.receive(frame) {
            HandshakeStep::SendProof(proof) => {
                write(&options.traffic, &mut socket, &Frame::Proof(proof)).await?
            }
            HandshakeStep::Established(peer) => return Ok((socket, peer)),
            HandshakeStep::Reject(err) => return Err(err.to_string()),
        }
    }
}

/// Grants the initial credit to the peer and waits for the peer's grant. Otherwise the
/// first requests on a new link would be refused for lack of credit.
async fn open_windows(options: &Options, socket: &mut Socket) -> Result<Credits, String> {
    let mut credits = Credits::new(options.window);
    let n = credits.initial_grant();
    write(&options.traffic, socket, &Frame::Credit { n }).await?;
    loop {
        match read(&options.traffic, socket).await? {
            Frame::Credit { n } => {
                credits.granted(n);
                return Ok(credits);
            }
            Frame::Unknown { .. } => {}
            _ => return Err("unexpected frame before the first credit".to_owned()),
        }
    }
}

async fn run(
    options: &Options,
    id: LinkId,
    connect: impl Future<Output = Result<(Socket, Peer), String>>,
    mut rx: Commands,
    events: Events,
) {
    let establish = async {
        let (mut socket, peer) = connect.await?;
        let credits = open_windows(options, &mut socket).await?;
        Ok((socket, peer, credits))
    };
    let established = match compio::time::timeout(options.handshake_timeout, establish).await {
        Ok(established) => established,
        Err(_) => Err("no handshake in time".to_owned()),
    };
    let mut unsent = Vec::new();
    let cause = match established {
        Err(cause) => cause,
        Ok((socket, peer, credits)) => {
            let link = OpenLink {
                id,
                peer: Rc::new(peer),
                events: events.clone(),
                credits: RefCell::new(credits),
                silence_limit: options.silence_limit,
                frame_expected: Cell::new(false),
                traffic: options.traffic.clone(),
            };
            link.run(socket, &mut rx, &mut unsent).await
        }
    };
    rx.close();
    while let Ok(command) = rx.try_recv() {
        if let Command::Send(frame) = command {
            unsent.push(frame);
        }
    }
    events(id, Event::Down { cause, unsent });
}

struct OpenLink {
    id: LinkId,
    peer: Rc<Peer>,
    events: Events,
    credits: RefCell<Credits>,
    silence_limit: Duration,
    traffic: Traffic,
    /// Whether a request or ping was sent since the last received frame, so that a frame
    /// is expected.
    frame_expected: Cell<bool>,
}

/// Number of sub-requests in a frame that count against the receiver's window.
fn sub_requests(frame: &Frame) -> u32 {
    match frame {
        Frame::Search(search) => u32::try_from(search.parts.len()).unwrap_or(u32::MAX),
        Frame::Execute(_) | Frame::ForwardExecute(_) => 1,
        _ => 0,
    }
}

/// Number of sub-requests that a frame completes.
fn completions(frame: &Frame) -> u32 {
    match frame {
        Frame::PartResults(parts) => u32::try_from(parts.items.len()).unwrap_or(u32::MAX),
        Frame::Executed(_) | Frame::ForwardExecuted(_) => 1,
        _ => 0,
    }
}

impl OpenLink {
    async fn run(&self, socket: Socket, rx: &mut Commands, unsent: &mut Vec<Frame>) -> String {
        let (mut writer, mut reader) = socket.split();
        // The reader sends its pings and pongs through the writer.
        let (control_tx, mut control_rx) = mpsc::unbounded();
        (self.events)(self.id, Event::Up(self.peer.clone()));
        select_biased! {
            cause = pin!(self.write(&mut writer, rx, &mut control_rx, unsent).fuse()) => cause,
            cause = pin!(self.read(&mut reader, &control_tx).fuse()) => cause,
        }
    }

    async fn write(
        &self,
        writer: &mut Writer,
        rx: &mut Commands,
        control_rx: &mut mpsc::UnboundedReceiver<Frame>,
        unsent: &mut Vec<Frame>,
    ) -> String {
        loop {
            let mut next = select_biased! {
                frame = control_rx.next() => frame.map(Command::Send),
                command = rx.next() => command,
            };
            let mut written = 0;
            loop {
                match next {
                    Some(Command::Send(frame)) => {
                        if let Err(cause) = self.feed(writer, frame, unsent).await {
                            return cause;
                        }
                    }
                    Some(Command::Finish) | None => {
                        let _ = writer.close().await;
                        return "finished".to_owned();
                    }
                    Some(Command::Close) => return "closed".to_owned(),
                }
                written += 1;
                if written == WRITE_BATCH {
                    break;
                }
                next = match control_rx.try_recv() {
                    Ok(frame) => Some(Command::Send(frame)),
                    Err(_) => match rx.try_recv() {
                        Ok(command) => Some(command),
                        Err(_) => break,
                    },
                };
            }
            if let Err(err) = writer.flush().await {
                return err.to_string();
            }
        }
    }

    fn count(&self, direction: Direction, frame: &Frame, bytes: usize) {
        self.traffic.count(direction, traffic_kind(frame), bytes);
    }

    async fn feed(
        &self,
        writer: &mut Writer,
        frame: Frame,
        unsent: &mut Vec<Frame>,
    ) -> Result<(), String> {
        let wanted = sub_requests(&frame);
        if wanted > 0 && !self.credits.borrow_mut().try_send(wanted) {
            (self.events)(self.id, Event::Refused(frame));
            return Ok(());
        }
        if wanted > 0 || matches!(frame, Frame::Ping { .. }) {
            self.frame_expected.set(true);
        }
        let mut buf = Vec::new();
        if let Err(err) = encode(&frame, &mut buf) {
            // Nothing was written, so the frame is reported as unsent.
            unsent.push(frame);
            return Err(err.to_string());
        }
        self.count(Direction::Sent, &frame, buf.len());
        writer
            .feed(Message::binary(buf))
            .await
            .map_err(|err| err.to_string())?;
        let completed = completions(&frame);
        let credit = if completed > 0 {
            self.credits.borrow_mut().completed(completed)
        } else {
            None
        };
        if let Some(n) = credit {
            let mut buf = Vec::new();
            let frame = Frame::Credit { n };
            encode(&frame, &mut buf).map_err(|err| err.to_string())?;
            self.count(Direction::Sent, &frame, buf.len());
            writer
                .feed(Message::binary(buf))
                .await
                .map_err(|err| err.to_string())?;
        }
        Ok(())
    }

    async fn read(&self, reader: &mut Reader, control_tx: &mpsc::UnboundedSender<Frame>) -> String {
        let mut silent_periods = 0;
        let mut idle_periods = 0;
        loop {
            let period = self.silence_limit / SILENCE_PERIODS;
            let message = match compio::time::timeout(period, reader.next()).await {
                Err(_) if !self.frame_expected.get() && idle_periods < KEEPALIVE_PERIODS => {
                    idle_periods += 1;
                    continue;
                }
                Err(_) if silent_periods + 1 >= SILENCE_PERIODS => {
                    return "no frame from the peer in time".to_owned();
                }
                Err(_) => {
                    silent_periods += 1;
                    let _ = control_tx.unbounded_send(Frame::Ping {
                        n: u64::from(silent_periods),
                    });
                    continue;
                }
                Ok(message) => message,
            };
            silent_periods = 0;
            idle_periods = 0;
            self.frame_expected.set(false);
            let frame = match message {
                None => return "closed by the peer".to_owned(),
                Some(Err(err)) => return err.to_string(),
                Some(Ok(Message::Binary(bytes))) => match decode(&bytes) {
                    Ok(frame) => {
                        self.count(Direction::Received, &frame, bytes.len());
                        frame
                    }
                    Err(err) => return err.to_string(),
                },
                Some(Ok(_)) => continue,
            };
            if let Err(cause) = self.received(frame, control_tx) {
                return cause;
            }
        }
    }

    fn received(
        &self,
        frame: Frame,
        control_tx: &mpsc::UnboundedSender<Frame>,
    ) -> Result<(), String> {
        let wanted = sub_requests(&frame);
        if wanted > 0 {
            self.credits
                .borrow_mut()
                .received(wanted)
                .map_err(|err| err.to_string())?;
        }
        match frame {
            Frame::Credit { n } => self.credits.borrow_mut().granted(n),
            Frame::Ping { n } => {
                let _ = control_tx.unbounded_send(Frame::Pong { n });
            }
            Frame::Pong { .. } | Frame::Unknown { .. } => {}
            frame => (self.events)(self.id, Event::Frame(self.peer.clone(), frame)),
        }
        Ok(())
    }
}

/// Number of periods into which the silence limit is divided. A silent peer is pinged
/// after each but the last, after which the link is closed.
const SILENCE_PERIODS: u32 = 4;

/// Number of periods without a frame after which a peer is pinged even if no frame is
/// expected from it. Pinging idle links in every period costs 274 us of CPU time per
/// link and second.
const KEEPALIVE_PERIODS: u32 = 20;
