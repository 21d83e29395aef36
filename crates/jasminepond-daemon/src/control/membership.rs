//! Runs the membership state machine over UDP.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use compio::{buf::BufResult, net::UdpSocket};
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt, select_biased};
use jasminepond_membership::{
    Me, Member, MemberState, Membership, Message, Output, ReportKind, Settings,
};
use jasminepond_types::{Incarnation, Revision, ServerId, Timestamp};
use jasminepond_wire::{KeyRing, MAX_DATAGRAM_BYTES, open, seal};
use spdlog::{debug, info, warn};

use crate::{clock::Clock, stop::Stop};

/// What the task is told.
#[derive(Debug)]
pub enum Event {
    /// A datagram arrived.
    Datagram(SocketAddr, Vec<u8>),
    /// Addresses of daemons from the instance list.
    Seeds(Vec<SocketAddr>),
    /// This daemon has a new configuration in effect.
    Config(Revision, [u8; 32]),
    /// This daemon observed something of a backend server.
    Server(ServerId, ReportKind),
    /// The process has resumed from a pause.
    Woke,
    /// This daemon stops.
    Leave,
    /// Ask for the members and whether the view is confirmed.
    Status(oneshot::Sender<(Vec<Arc<Member>>, bool)>),
}

/// What the task reports.
#[derive(Debug)]
pub enum Report {
    /// The members or their configuration revisions have changed.
    View(Arc<[Arc<Member>]>),
    /// Another daemon observed something of a backend server.
    Server(ServerId, ReportKind),
    /// Whether the view can be acted on.
    Confirmed(bool),
    /// A newer daemon runs under the same instance: this one must stop.
    Superseded(Incarnation),
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// What the task needs from its surroundings.
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// Keys that authenticate datagrams.
    pub keys: KeyRing,
    /// Receives what the task reports.
    pub report: Rc<dyn Fn(Report)>,
}

/// Longest time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);

struct Task {
    cx: Context,
    socket: Rc<UdpSocket>,
    membership: Membership,
    generation: (u64, u64),
    confirmed: bool,
}

/// Receives datagrams until `stop` and passes them to the task.
pub async fn receive(socket: Rc<UdpSocket>, tx: Sender, stop: Stop) {
    let mut stopped = std::pin::pin!(stop.wait().fuse());
    let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buf.clear();
        let BufResult(received, returned) = select_biased! {
            _ = stopped => return,
            received = socket.recv_from(buf).fuse() => received,
        };
        buf = returned;
        match received {
            Ok((len, from)) => {
                let _ = tx.unbounded_send(Event::Datagram(from, buf[..len].to_vec()));
            }
            // A connection-refused notice of an earlier datagram, for example.
            Err(err) => debug!("membership: receiving failed: {err}"),
        }
    }
}

/// Runs the state machine until the channel closes.
pub async fn run(
    cx: Context,
    me: Me,
    socket: Rc<UdpSocket>,
    mut rx: mpsc::UnboundedReceiver<Event>,
) {
    let membership = Membership::new(Settings::default(), me, rand::random());
    let mut task = Task {
        cx,
        socket,
        membership,
        generation: (0, 0),
        confirmed: true,
    };
    let mut next_tick = Timestamp::ZERO;
    loop {
        let now = task.cx.clock.now();
        let event = select_biased! {
            event = rx.next() => match event {
                Some(event) => Some(event),
                None => return,
            },
            _ = compio::time::sleep(next_tick.since(now)).fuse() => None,
        };
        let now = task.cx.clock.now();
        let outputs = match event {
            Some(event) => task.handle(now, event),
            None => {
                let outputs = task.membership.tick(now);
                next_tick = task.membership.next_tick().clamp(now, now + TICK);
                outputs
            }
        };
        task.perform(outputs).await;
        task.publish();
    }
}

impl Task {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Output> {
        match event {
            Event::Datagram(from, datagram) => return self.on_datagram(now, from, &datagram),
            Event::Seeds(addresses) => self.membership.seed(addresses),
            Event::Config(revision, digest) => self.membership.set_config(revision, &digest),
            Event::Server(server, kind) => self.membership.report(now, server, kind),
            Event::Woke => return self.membership.woke(now),
            Event::Leave => return self.membership.leave(now),
            Event::Status(tx) => {
                let members = self.membership.view().members().to_vec();
                let _ = tx.send((members, self.membership.is_confirmed()));
            }
        }
        Vec::new()
    }

    fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, datagram: &[u8]) -> Vec<Output> {
        let payload = match open(&self.cx.keys, datagram) {
            Ok(payload) => payload,
            Err(err) => {
                debug!("membership: datagram from {from} refused: {err}");
                return Vec::new();
            }
        };
        match Message::decode(payload) {
            Ok(message) => self.membership.receive(now, from, message),
            Err(err) => {
                debug!("membership: datagram from {from} refused: {err}");
                Vec::new()
            }
        }
    }

    async fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, &message).await,
                Output::Changed(change) => {
                    let (from, to) = (state_name(change.from), state_name(change.to));
                    info!("membership: {} was {from}, is {to}", change.instance);
                }
                Output::Report(report) => {
                    (self.cx.report)(Report::Server(report.server, report.kind));
                }
                Output::Confirmed => info!("membership: view confirmed after a pause"),
                Output::Superseded(incarnation) => {
                    (self.cx.report)(Report::Superseded(incarnation));
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        let datagram = match seal(&self.cx.keys, &message.encode()) {
            Ok(datagram) => datagram,
            Err(err) => return warn!("membership: a message was not sent: {err}"),
        };
        let BufResult(sent, _) = self.socket.send_to(datagram, to).await;
        if let Err(err) = sent {
            debug!("membership: sending to {to} failed: {err}");
        }
    }

    fn publish(&mut self) {
        let view = self.membership.view();
        let generation = (view.generation(), view.config_generation());
        if generation != self.generation {
            self.generation = generation;
            (self.cx.report)(Report::View(view.members().into()));
        }
        let confirmed = self.membership.is_confirmed();
        if confirmed != self.confirmed {
            self.confirmed = confirmed;
            (self.cx.report)(Report::Confirmed(confirmed));
        }
    }
}

/// The name of a member's state in logs and on the status page.
pub fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        None => "unknown",
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Leaving) => "leaving",
        Some(MemberState::Dead) => "dead",
    }
}
