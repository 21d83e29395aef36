//! Links to the other daemons: dials on demand, finds the link for an instance,
//! and reports lost links to the parts that wait for responses.

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

/// Where a daemon is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its run.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it is believed to be running.
    pub running: bool,
    /// Whether it has announced that it stops.
    pub leaving: bool,
}

/// All daemons that are known.
pub type Directory = BTreeMap<InstanceId, PeerAddress>;

/// What the task is told.
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
    /// Tell all peers that this daemon takes no new work.
    Goodbye,
    /// Close all links when all is written; the sender fires when they are.
    Finish(oneshot::Sender<()>),
    /// Something happened on a link.
    Link(LinkId, link::Event),
    /// A peer has connected.
    Accepted(TcpStream),
    /// Ask for the links that are up.
    Status(oneshot::Sender<Vec<InstanceId>>),
}

/// What the task reports to others.
#[derive(Debug)]
pub enum Report {
    /// A frame arrived.
    Frame {
        /// The link it came on.
        link: LinkId,
        /// Its sender.
        peer: Rc<Peer>,
        /// The frame.
        frame: Frame,
    },
    /// A frame was certainly not sent, because its receiver cannot be reached.
    NotSent {
        /// Its receiver.
        to: InstanceId,
        /// The frame.
        frame: Frame,
    },
    /// A frame was certainly not sent, because its receiver has as many requests
    /// of this daemon as it takes.
    Busy {
        /// The frame.
        frame: Frame,
    },
    /// A link has ended. Responses to frames sent on it will not come, and
    /// responses to frames received on it cannot be sent.
    LinkDown {
        /// The link.
        link: LinkId,
        /// The peer.
        peer: Rc<Peer>,
        /// Whether this daemon sent its requests on the link. Two daemons that dial
        /// each other have two links, and the loss of the other one says nothing
        /// about requests on this one.
        sending: bool,
    },
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Most links accepted from others.
const MAX_ACCEPTED: usize = 8192;

struct Link {
    tx: mpsc::UnboundedSender<Command>,
    /// Known from the start for dialled links, after the handshake for others.
    instance: Option<InstanceId>,
    peer: Option<Rc<Peer>>,
    accepted: bool,
    /// The peer takes no new work.
    finishing: bool,
    /// The process was paused while the link was open.
    stale: bool,
    /// Whether requests of this daemon went out on it.
    carried: bool,
    /// When a frame was last sent or received.
    used: Timestamp,
    /// When it is closed, once it was found idle.
    close_at: Option<Timestamp>,
}

/// A link without a frame for this long is closed by the daemon that dialled it.
/// An idle link costs 36 KB at each end, and a daemon meets thousands of others
/// at the target size.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Time between the goodbye on an idle link and its end, for responses to what
/// the peer has sent at the same moment.
const IDLE_GRACE: Duration = Duration::from_secs(5);

/// Interval at which idle links are looked for.
const SWEEP: Duration = Duration::from_secs(5);

/// The task's state.
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
    /// State without links.
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
        let mut next_sweep = self.clock.now() + SWEEP;
        loop {
            let wait = next_sweep.since(self.clock.now());
            let next = mailbox::next(&mut rx, Some(wait)).await;
            let now = self.clock.now();
            if self.pauses.changed(&self.clock) {
                self.on_woke();
            }
            match next {
                Next::Event(event) => self.handle(event),
                Next::Timer => {}
                Next::Closed => return,
            }
            if now >= next_sweep {
                next_sweep = now + SWEEP;
                self.close_idle(now);
            }
            self.note_finished();
        }
    }

    fn close_idle(&mut self, now: Timestamp) {
        let idle = |(id, link): (&LinkId, &Link)| {
            let idle = link.peer.is_some() && !link.accepted && now.since(link.used) > IDLE_LIMIT;
            (idle && link.close_at.is_none()).then_some(*id)
        };
        let idle: Vec<LinkId> = self.links.iter().filter_map(idle).collect();
        for id in idle {
            if let Some(link) = self.links.get_mut(&id) {
                link.close_at = Some(now + IDLE_GRACE);
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
                    link.used = now;
                    let _ = link.tx.unbounded_send(Command::Send(frame));
                }
            }
            Event::Directory(directory) => self.set_directory(directory),
            Event::Goodbye => {
                self.leaving = true;
                self.tell_all(|| Command::Send(Frame::Goodbye));
            }
            Event::Finish(tx) => {
                self.tell_all(|| Command::Finish);
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
        link.used = now;
        link.carried |= !matches!(frame, Frame::Sync { .. });
        if let Err(err) = link.tx.unbounded_send(Command::Send(frame))
            && let Command::Send(frame) = err.into_inner()
        {
            (self.report)(Report::NotSent { to, frame });
        }
    }

    /// The link for a frame; `None` if its receiver takes no more of its kind.
    fn link_for(&mut self, to: &InstanceId, frame: &Frame) -> Option<LinkId> {
        let known = self.by_instance.get(to).copied();
        let open = known.and_then(|id| self.links.get(&id).map(|link| (id, link.finishing)));
        match open {
            Some((id, false)) => Some(id),
            // Only the issuer of a key can answer for it, also while it drains.
            Some((id, true)) if matches!(frame, Frame::ForwardExecute(_)) => Some(id),
            Some((_, true)) if self.directory.get(to).is_some_and(|peer| peer.leaving) => None,
            // The link is about to be closed because it was idle.
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
            carried: false,
            used: self.clock.now(),
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
                    link.used = now;
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
        // A link accepted from an instance also serves requests to it.
        self.by_instance.entry(peer.instance.clone()).or_insert(id);
    }

    fn on_goodbye(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        // Responses to what was sent still arrive; nothing new goes out on this link.
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
                self.adopt_other_link(instance);
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
                sending: link.carried,
            });
        }
    }

    fn adopt_other_link(&mut self, instance: &InstanceId) {
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
            let replaced = match (&link.peer, known) {
                (Some(peer), Some(known)) => {
                    known.incarnation > peer.incarnation
                        || (known.incarnation == peer.incarnation && !known.running)
                }
                _ => false,
            };
            if replaced {
                // The connection may have gone silent: its requests must not wait for it.
                let _ = link.tx.unbounded_send(Command::Close);
            }
        }
        self.directory = directory;
    }

    /// The process was paused: frames that wait in the sockets are of unknown
    /// age, so all links are closed and what they still bring is dropped.
    fn on_woke(&mut self) {
        for link in self.links.values_mut() {
            link.stale = true;
            let _ = link.tx.unbounded_send(Command::Close);
        }
    }

    fn note_finished(&mut self) {
        if self.links.is_empty()
            && let Some(tx) = self.finished.take()
        {
            let _ = tx.send(());
        }
    }

    fn tell_all(&self, command: impl Fn() -> Command) {
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
