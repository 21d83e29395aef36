//! Manages links to other daemons: dials on demand, selects the link for an
//! instance, and reports lost links to the tasks that wait for responses.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use compio::net::{TcpListener, TcpStream};
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, select_biased};
use jasminepond_types::{Incarnation, InstanceId, Timestamp};
use jasminepond_wire::{Frame, Peer};
use spdlog::{debug, info, warn};

use crate::{
    clock::{Clock, PauseCount},
    mailbox::{self, Next},
    net::link::{self, Command, LinkId},
};

/// Address and state of another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it is not considered dead; it may be suspect.
    pub running: bool,
    /// Whether it has announced its shutdown.
    pub leaving: bool,
}

/// All other known daemons.
pub type Directory = BTreeMap<InstanceId, PeerAddress>;

/// Input of the task.
#[derive(Debug)]
pub enum Event {
    /// Send a frame to an instance, dialling it if needed.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The frame.
        frame: Frame,
    },
    /// Send a frame on a link; dropped if the link has ended.
    Reply {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// The view of the other daemons has changed.
    Directory(Arc<Directory>),
    /// Notify all peers that this daemon accepts no new requests.
    Goodbye,
    /// Close each link after its queued frames are written; the sender is completed
    /// once all links are closed.
    Finish(oneshot::Sender<()>),
    /// An event of a link.
    Link(LinkId, link::Event),
    /// A peer has connected.
    Accepted(TcpStream),
    /// Request the instances with an established link.
    Status(oneshot::Sender<Vec<InstanceId>>),
}

/// Output of the task.
#[derive(Debug)]
pub enum Report {
    /// A frame arrived.
    Frame {
        /// The link that it arrived on.
        link: LinkId,
        /// Its sender.
        peer: Rc<Peer>,
        /// The frame.
        frame: Frame,
    },
    /// A frame was definitely not sent because its receiver is unreachable.
    NotSent {
        /// Its receiver.
        to: InstanceId,
        /// The frame.
        frame: Frame,
    },
    /// A frame was definitely not sent because the receiver's window for requests
    /// from this daemon is full.
    Busy {
        /// The frame.
        frame: Frame,
    },
    /// A link has ended. Responses to frames sent on it will not arrive, and
    /// responses to frames received on it cannot be sent.
    LinkDown {
        /// The link.
        link: LinkId,
        /// The peer.
        peer: Rc<Peer>,
        /// Whether this daemon sent requests on the link. Two daemons that dial each
        /// other have two links, and losing one does not affect requests sent on the
        /// other.
        sending: bool,
    },
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Maximum number of accepted links.
const MAX_ACCEPTED: usize = 8192;

struct Link {
    tx: mpsc::UnboundedSender<Command>,
    /// Known from the start for dialled links, and after the handshake for accepted ones.
    instance: Option<InstanceId>,
    peer: Option<Rc<Peer>>,
    accepted: bool,
    /// The peer accepts no new requests, or the link is being closed because it is idle.
    finishing: bool,
    /// The process was paused while the link was open; received frames are dropped.
    stale: bool,
    /// Whether this daemon sent requests on it.
    sent_requests: bool,
    /// When a frame was last sent or received.
    last_used: Timestamp,
    /// Time at which the link is closed, if it is idle.
    close_at: Option<Timestamp>,
}

/// A link without a frame for this long is closed by the daemon that dialled it.
/// An idle link costs 36 KB at each end, and a daemon connects to thousands of
/// others at the target size.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Time between sending the goodbye on an idle link and closing it, so that requests
/// which the peer sends meanwhile can still be answered.
const IDLE_CLOSE_DELAY: Duration = Duration::from_secs(5);

/// Interval between checks for idle links.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// State of the peers task.
pub struct Peers {
    options: link::Options,
    tx: Sender,
    report: Rc<dyn Fn(Report)>,
    directory: Arc<Directory>,
    links: HashMap<LinkId, Link>,
    by_instance: HashMap<InstanceId, LinkId>,
    next_link: u64,
    leaving: bool,
    finished: Option<oneshot::Sender<()>>,
    clock: Clock,
    pauses: PauseCount,
}

impl Peers {
    /// Creates the task without links.
    pub fn new(
        options: link::Options,
        clock: Clock,
        tx: Sender,
        report: Rc<dyn Fn(Report)>,
    ) -> Self {
        Self {
            pauses: PauseCount::new(&clock),
            clock,
            leaving: false,
            finished: None,
            options,
            tx,
            report,
            directory: Arc::default(),
            links: HashMap::new(),
            by_instance: HashMap::new(),
            next_link: 0,
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut next_idle_check = self.clock.now() + IDLE_CHECK_INTERVAL;
        loop {
            let wait = next_idle_check.since(self.clock.now());
            let next = mailbox::next(&mut rx, Some(wait)).await;
            let now = self.clock.now();
            if self.pauses.changed(&self.clock) {
                self.on_resume();
            }
            match next {
                Next::Event(event) => self.handle(event),
                Next::Timer => {}
                Next::Closed => return,
            }
            if now >= next_idle_check {
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                self.close_idle(now);
            }
            self.notify_if_finished();
        }
    }

    fn close_idle(&mut self, now: Timestamp) {
        let idle = |(id, link): (&LinkId, &Link)| {
            let idle =
                link.peer.is_some() && !link.accepted && now.since(link.last_used) > IDLE_LIMIT;
            (idle && link.close_at.is_none()).then_some(*id)
        };
        let idle: Vec<LinkId> = self.links.iter().filter_map(idle).collect();
        for id in idle {
            if let Some(link) = self.links.get_mut(&id) {
                link.close_at = Some(now + IDLE_CLOSE_DELAY);
                link.finishing = true;
                let _ = link.tx.unbounded_send(Command::Send(Frame::Goodbye));
            }
        }
        for link in self.links.values() {
            if link.close_at.is_some_and(|at| at <= now) {
                let _ = link.tx.unbounded_send(Command::Finish);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send { to, frame } => self.send(to, frame),
            Event::Reply { link, frame } => {
                let now = self.clock.now();
                if let Some(link) = self.links.get_mut(&link) {
                    link.last_used = now;
                    let _ = link.tx.unbounded_send(Command::Send(frame));
                }
            }
            Event::Directory(directory) => self.set_directory(directory),
            Event::Goodbye => {
                self.leaving = true;
                self.broadcast(|| Command::Send(Frame::Goodbye));
            }
            Event::Finish(tx) => {
                self.broadcast(|| Command::Finish);
                self.finished = Some(tx);
            }
            Event::Link(id, event) => self.on_link(id, event),
            Event::Accepted(stream) => self.accept(stream),
            Event::Status(tx) => {
                let up = self.links.values().filter_map(|link| link.peer.as_ref());
                let _ = tx.send(up.map(|peer| peer.instance.clone()).collect());
            }
        }
    }

    fn send(&mut self, to: InstanceId, frame: Frame) {
        let now = self.clock.now();
        let link = self.link_for(&to, &frame);
        let Some(link) = link.and_then(|id| self.links.get_mut(&id)) else {
            return (self.report)(Report::NotSent { to, frame });
        };
        link.last_used = now;
        link.sent_requests |= !matches!(frame, Frame::Sync { .. });
        if let Err(err) = link.tx.unbounded_send(Command::Send(frame))
            && let Command::Send(frame) = err.into_inner()
        {
            (self.report)(Report::NotSent { to, frame });
        }
    }

    /// The link on which to send a frame; `None` if the receiver is unreachable or
    /// accepts no more frames of this kind.
    fn link_for(&mut self, to: &InstanceId, frame: &Frame) -> Option<LinkId> {
        let known = self.by_instance.get(to).copied();
        let open = known.and_then(|id| self.links.get(&id).map(|link| (id, link.finishing)));
        match open {
            Some((id, false)) => Some(id),
            // Only the issuer of a key can execute it, even while draining.
            Some((id, true)) if matches!(frame, Frame::ForwardExecute(_)) => Some(id),
            Some((_, true)) if self.directory.get(to).is_some_and(|peer| peer.leaving) => None,
            // The link is being closed because it was idle.
            Some((_, true)) | None => self.dial(to),
        }
    }

    fn new_link(&mut self, instance: Option<InstanceId>) -> (LinkId, link::Commands) {
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let (tx, rx) = mpsc::unbounded();
        let accepted = instance.is_none();
        let link = Link {
            tx,
            instance,
            peer: None,
            accepted,
            finishing: false,
            stale: false,
            sent_requests: false,
            last_used: self.clock.now(),
            close_at: None,
        };
        self.links.insert(id, link);
        (id, rx)
    }

    fn events(&self) -> link::Events {
        let tx = self.tx.clone();
        Rc::new(move |id, event| {
            let _ = tx.unbounded_send(Event::Link(id, event));
        })
    }

    fn dial(&mut self, to: &InstanceId) -> Option<LinkId> {
        let address = self.directory.get(to).filter(|peer| peer.running)?.address;
        let (id, rx) = self.new_link(Some(to.clone()));
        self.by_instance.insert(to.clone(), id);
        let target = (to.clone(), address);
        let task = link::dial(self.options.clone(), id, target, rx, self.events());
        compio::runtime::spawn(task).detach();
        Some(id)
    }

    fn accept(&mut self, stream: TcpStream) {
        let accepted = self.links.values().filter(|link| link.accepted).count();
        if accepted >= MAX_ACCEPTED {
            warn!("peers: too many links, one was closed");
            return;
        }
        let (id, rx) = self.new_link(None);
        let task = link::accept(self.options.clone(), id, stream, rx, self.events());
        compio::runtime::spawn(task).detach();
    }

    fn on_link(&mut self, id: LinkId, event: link::Event) {
        let stale = self.links.get(&id).is_none_or(|link| link.stale);
        match event {
            link::Event::Frame(..) if stale => {}
            link::Event::Up(peer) => self.on_up(id, peer),
            link::Event::Frame(_, Frame::Goodbye) => self.on_goodbye(id),
            link::Event::Frame(peer, frame) => {
                let now = self.clock.now();
                if let Some(link) = self.links.get_mut(&id) {
                    link.last_used = now;
                }
                (self.report)(Report::Frame {
                    link: id,
                    peer,
                    frame,
                });
            }
            link::Event::Refused(frame) => (self.report)(Report::Busy { frame }),
            link::Event::Down { cause, unsent } => self.on_down(id, &cause, unsent),
        }
    }

    fn on_up(&mut self, id: LinkId, peer: Rc<Peer>) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        debug!("peers: link to {} is up", peer.instance);
        link.instance = Some(peer.instance.clone());
        link.peer = Some(peer.clone());
        if self.leaving {
            let _ = link.tx.unbounded_send(Command::Send(Frame::Goodbye));
        }
        // An accepted link also carries requests to the instance.
        self.by_instance.entry(peer.instance.clone()).or_insert(id);
    }

    fn on_goodbye(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        // Responses to earlier requests still arrive; no new requests are sent.
        link.finishing = true;
    }

    fn on_down(&mut self, id: LinkId, cause: &str, unsent: Vec<Frame>) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if let Some(instance) = &link.instance {
            info!("peers: link to {instance} ended: {cause}");
            if self.by_instance.get(instance) == Some(&id) {
                self.by_instance.remove(instance);
                self.select_remaining_link(instance);
            }
            for frame in unsent {
                (self.report)(Report::NotSent {
                    to: instance.clone(),
                    frame,
                });
            }
        } else {
            info!("peers: a link was refused: {cause}");
        }
        if let Some(peer) = link.peer {
            (self.report)(Report::LinkDown {
                link: id,
                peer,
                sending: link.sent_requests,
            });
        }
    }

    fn select_remaining_link(&mut self, instance: &InstanceId) {
        let of_instance =
            |link: &Link| link.peer.is_some() && link.instance.as_ref() == Some(instance);
        let other = self.links.iter().find(|(_, link)| of_instance(link));
        if let Some((&id, _)) = other {
            self.by_instance.insert(instance.clone(), id);
        }
    }

    fn set_directory(&mut self, directory: Arc<Directory>) {
        for link in self.links.values() {
            let Some(instance) = &link.instance else {
                continue;
            };
            let known = directory.get(instance);
            let obsolete = match (&link.peer, known) {
                (Some(peer), Some(known)) => {
                    known.incarnation > peer.incarnation
                        || (known.incarnation == peer.incarnation && !known.running)
                }
                _ => false,
            };
            if obsolete {
                // The connection may be dead: requests on it must not wait for a response.
                let _ = link.tx.unbounded_send(Command::Close);
            }
        }
        self.directory = directory;
    }

    /// Closes all links after a pause of the process and drops the frames that they
    /// still deliver, because the age of frames in the socket buffers is unknown.
    fn on_resume(&mut self) {
        for link in self.links.values_mut() {
            link.stale = true;
            let _ = link.tx.unbounded_send(Command::Close);
        }
    }

    fn notify_if_finished(&mut self) {
        if self.links.is_empty()
            && let Some(tx) = self.finished.take()
        {
            let _ = tx.send(());
        }
    }

    fn broadcast(&self, command: impl Fn() -> Command) {
        for link in self.links.values() {
            let _ = link.tx.unbounded_send(command());
        }
    }
}

/// Accepts links until `stop`.
pub async fn listen(listener: TcpListener, tx: Sender, stop: crate::stop::Stop) {
    let mut stopped = std::pin::pin!(stop.wait().fuse());
    loop {
        select_biased! {
            _ = stopped => return,
            accepted = listener.accept().fuse() => match accepted {
                Ok((stream, _)) => {
                    let _ = tx.unbounded_send(Event::Accepted(stream));
                }
                Err(err) => {
                    warn!("peers: accepting a link failed: {err}");
                    compio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
        }
    }
}

const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
