//! Starts the tasks of a daemon, connects them, and stops them in order.

use std::{
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use compio::net::{TcpListener, UdpSocket};
use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, select_biased};
use jasminepond_backend::HttpDialer;
use jasminepond_config::{Config, Settings};
use jasminepond_dispatch::Health;
use jasminepond_membership::{LocalMember, Member, MemberState, ReportKind};
use jasminepond_platform::HttpPlatform;
use jasminepond_types::{CpuCapacity, Incarnation, InstanceId};
use jasminepond_wire::{Frame, KeyRing, SharedKey};
use spdlog::{error, info, warn};

use crate::{
    api::Api,
    clock::{Clock, watchdog},
    control, entry,
    metrics::Metrics,
    net::{http, link},
    operators::{Operators, Readiness},
    owner::{self, ReplyTo},
    peers::{self, Directory, PeerAddress},
    stop::{Stop, stop},
};

/// Options for running a daemon.
#[derive(Debug, Clone)]
pub struct Options {
    /// Settings of the process.
    pub settings: Settings,
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For links of other daemons.
    pub peers: SocketAddr,
    /// For membership datagrams.
    pub membership: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Outcome of a daemon's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Graceful shutdown; all requests were answered.
    Drained,
    /// Graceful shutdown that reached its time limit with requests unanswered.
    DrainLimit,
    /// A newer process runs under the same instance.
    Superseded,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drained => "stopped with all requests answered",
            Self::DrainLimit => "stopped at the drain limit with requests left",
            Self::Superseded => "stopped because a newer daemon runs under this instance",
        })
    }
}

/// Reason why a daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("listener {name} on {address}: {source}")]
    Bind {
        /// Which listener.
        name: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The settings contain no platform address.
    #[error("the settings name no platform address")]
    NoPlatform,
    /// The settings contain no peer key.
    #[error("the settings have no peer key")]
    NoPeerKey,
    /// The signal handlers could not be set up.
    #[error("signals: {0}")]
    Signals(io::Error),
}

/// Timeout of a read from the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for connecting and authenticating a link.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A link on which no expected frame arrives for this long is closed.
const LINK_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Maximum number of outstanding sub-requests from one peer.
const LINK_WINDOW: u32 = 8_192;

/// Time for links to flush their queues at the end of a shutdown.
const LINK_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Drain limit when the configured times are zero or no configuration is in effect.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(10);

struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    membership: Rc<UdpSocket>,
    operators: TcpListener,
    bound: Bound,
}

async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
    let failed = |name, address| {
        move |source| StartError::Bind {
            name,
            address,
            source,
        }
    };
    let tcp = async |name, address| {
        let listener = TcpListener::bind(address)
            .await
            .map_err(failed(name, address))?;
        let bound = listener.local_addr().map_err(failed(name, address))?;
        Ok::<_, StartError>((listener, bound))
    };
    let (callers, callers_at) = tcp("callers", settings.callers).await?;
    let (peers, peers_at) = tcp("peers", settings.peers).await?;
    let (operators, operators_at) = tcp("operators", settings.operators).await?;
    let (name, address) = ("membership", settings.membership);
    let membership = UdpSocket::bind(address)
        .await
        .map_err(failed(name, address))?;
    let membership_at = membership.local_addr().map_err(failed(name, address))?;
    let bound = Bound {
        callers: callers_at,
        peers: peers_at,
        membership: membership_at,
        operators: operators_at,
    };
    Ok(Sockets {
        callers,
        peers,
        membership: Rc::new(membership),
        operators,
        bound,
    })
}

fn key_ring(settings: &Settings) -> Result<KeyRing, StartError> {
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    let keys = settings
        .peer_keys
        .iter()
        .filter_map(|key| hex(key.mac_key()).parse().ok());
    let keys: Vec<SharedKey> = keys.collect();
    KeyRing::new(keys).map_err(|_| StartError::NoPeerKey)
}

/// Start time in milliseconds with 12 random low bits: a later run gets a higher
/// number, and two runs started in the same millisecond almost always differ.
pub fn new_incarnation() -> Incarnation {
    let millis = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    Incarnation((millis as u64) << 12 | u64::from(rand::random::<u16>() & 0xfff))
}

/// Senders to all tasks.
#[derive(Clone)]
struct Tasks {
    me: InstanceId,
    entry: entry::Sender,
    owner: owner::Sender,
    control: control::Sender,
    peers: peers::Sender,
}

impl Tasks {
    /// Sends a frame from the entry or control task, locally if `to` is this daemon.
    fn send(&self, to: InstanceId, frame: Frame) {
        if to == self.me {
            let _ = self.owner.unbounded_send(owner::Event::Request {
                from: ReplyTo::Local,
                frame,
            });
        } else {
            let _ = self.peers.unbounded_send(peers::Event::Send { to, frame });
        }
    }

    fn reply(&self, to: ReplyTo, frame: Frame) {
        match to {
            ReplyTo::Local => {
                let event = entry::Event::Frame {
                    from: self.me.clone(),
                    link: None,
                    frame,
                };
                let _ = self.entry.unbounded_send(event);
            }
            ReplyTo::Link(link) => {
                let _ = self
                    .peers
                    .unbounded_send(peers::Event::Reply { link, frame });
            }
        }
    }

    fn on_peers_report(&self, report: peers::Report) {
        match report {
            peers::Report::Frame { link, peer, frame } => {
                let from = peer.instance.clone();
                match frame {
                    Frame::Search(_) | Frame::Cancel(_) | Frame::Execute(_) => {
                        let from = ReplyTo::Link(link);
                        let _ = self
                            .owner
                            .unbounded_send(owner::Event::Request { from, frame });
                    }
                    Frame::Sync { payload } => {
                        let event = control::Event::Sync { from, payload };
                        let _ = self.control.unbounded_send(event);
                    }
                    frame => {
                        let event = entry::Event::Frame {
                            from,
                            link: Some(link),
                            frame,
                        };
                        let _ = self.entry.unbounded_send(event);
                    }
                }
            }
            peers::Report::NotSent { to, frame } => {
                let _ = self
                    .entry
                    .unbounded_send(entry::Event::NotSent { to, frame });
            }
            peers::Report::Busy { frame } => {
                let _ = self.entry.unbounded_send(entry::Event::Busy(frame));
            }
            peers::Report::LinkDown {
                link,
                peer,
                sending,
            } => {
                if sending {
                    let instance = peer.instance.clone();
                    let _ = self.entry.unbounded_send(entry::Event::LinkDown(instance));
                }
                let _ = self.owner.unbounded_send(owner::Event::LinkDown(link));
            }
        }
    }

    fn on_owner_report(&self, report: owner::Report) {
        match report {
            owner::Report::Reply { to, frame } => self.reply(to, frame),
            owner::Report::Server { server, health } => {
                let kind = match health {
                    Health::Draining => ReportKind::Draining,
                    Health::Down => ReportKind::Lost,
                    Health::Ready | Health::Ramping => ReportKind::Back,
                    Health::Failing => return,
                };
                let event = entry::Event::Server(server.clone(), kind);
                let _ = self.entry.unbounded_send(event);
                let _ = self
                    .control
                    .unbounded_send(control::Event::Server(server, kind));
            }
        }
    }
}

fn directory(members: &[Arc<Member>], me: &InstanceId) -> Directory {
    let others = members.iter().filter(|member| member.instance != *me);
    others
        .map(|member| {
            let address = PeerAddress {
                incarnation: member.incarnation,
                address: member.peer_address,
                running: member.state != MemberState::Dead,
                leaving: member.state == MemberState::Leaving,
            };
            (member.instance.clone(), address)
        })
        .collect()
}

/// The parts of the active configuration that are used outside the tasks.
#[derive(Default)]
struct ActiveConfig {
    config: RefCell<Option<Arc<Config>>>,
    /// Limits of the listener for callers.
    limits: http::SharedLimits,
}

impl ActiveConfig {
    fn drain(&self) -> jasminepond_config::Drain {
        self.config
            .borrow()
            .as_ref()
            .map(|config| config.drain)
            .unwrap_or_default()
    }
}

/// A running daemon.
pub struct Daemon {
    bound: Bound,
    tasks: Tasks,
    readiness: Rc<Cell<Readiness>>,
    closing: Rc<Cell<bool>>,
    active_config: Rc<ActiveConfig>,
    callers_stop: crate::stop::StopSender,
    callers_ended: oneshot::Receiver<()>,
    operators_stop: crate::stop::StopSender,
    superseded: oneshot::Receiver<Incarnation>,
}

impl Daemon {
    /// Binds all listeners and starts all tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or the settings lack a platform or peer key.
    pub async fn start(options: Options) -> Result<Self, StartError> {
        let settings = options.settings;
        let keys = key_ring(&settings)?;
        let address = *settings.platform.first().ok_or(StartError::NoPlatform)?;
        let platform = jasminepond_platform::Options {
            address,
            timeout: PLATFORM_TIMEOUT,
        };
        let platform = Rc::new(HttpPlatform::new(platform));
        let sockets = bind(&settings).await?;
        let bound = sockets.bound;
        let me = entry::Identity {
            instance: settings.instance.clone(),
            incarnation: new_incarnation(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        info!(
            "daemon: {} starts in zone {}, callers on {}",
            me.instance, me.zone, bound.callers
        );

        let clock = Clock::start();
        let metrics = Rc::new(Metrics::default());
        let (entry_tx, entry_rx) = mpsc::unbounded();
        let (owner_tx, owner_rx) = mpsc::unbounded();
        let (control_tx, control_rx) = mpsc::unbounded();
        let (peers_tx, peers_rx) = mpsc::unbounded();
        let tasks = Tasks {
            me: me.instance.clone(),
            entry: entry_tx,
            owner: owner_tx,
            control: control_tx,
            peers: peers_tx,
        };
        let readiness = Rc::new(Cell::new(Readiness::Starting));
        let active_config = Rc::new(ActiveConfig::default());
        let (superseded_tx, superseded) = oneshot::channel();

        let spawner = TaskSpawner {
            clock: clock.clone(),
            keys,
            metrics: metrics.clone(),
            tasks: tasks.clone(),
        };
        spawner.spawn_entry(&me, entry_rx);
        spawner.spawn_owner(&me, owner_rx);
        spawner.spawn_peers(&me, sockets.peers, peers_rx);
        let on_control_report =
            control_report_handler(&tasks, &readiness, &active_config, superseded_tx);
        let control = control::Options {
            me: LocalMember {
                instance: me.instance.clone(),
                incarnation: me.incarnation,
                zone: me.zone.clone(),
                region: me.region.clone(),
                processor: CpuCapacity::default(),
                peer_address: settings.advertise.peers.unwrap_or(bound.peers),
                membership_address: settings.advertise.membership.unwrap_or(bound.membership),
            },
            membership: jasminepond_membership::Settings::default(),
            sync: jasminepond_sync::Settings {
                readers_per_zone: settings.sync.readers_per_zone as usize,
                fanout: settings.sync.fanout as usize,
                ..Default::default()
            },
        };
        spawner.spawn_control(
            control,
            platform,
            sockets.membership,
            on_control_report,
            control_rx,
        );
        // Detects a pause even if no task reads the clock.
        compio::runtime::spawn(watchdog(clock, || warn!("daemon: resumed from a pause"))).detach();

        let closing = Rc::new(Cell::new(false));
        let api = Api {
            entry: tasks.entry.clone(),
            metrics: metrics.clone(),
            closing: closing.clone(),
        };
        let (callers_stop, callers_ended) =
            spawn_listener(sockets.callers, Rc::new(api), active_config.limits.clone());
        let operators = Operators {
            me,
            readiness: readiness.clone(),
            metrics,
            entry: tasks.entry.clone(),
            owner: tasks.owner.clone(),
            control: tasks.control.clone(),
            peers: tasks.peers.clone(),
        };
        let (operators_stop, _) = spawn_listener(
            sockets.operators,
            Rc::new(operators),
            http::SharedLimits::default(),
        );
        Ok(Self {
            bound,
            tasks,
            readiness,
            closing,
            active_config,
            callers_stop,
            callers_ended,
            operators_stop,
            superseded,
        })
    }

    /// Addresses on which the daemon listens.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Runs until `stop` or until a newer daemon runs under the same instance,
    /// then shuts down gracefully.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Outcome {
        let superseded = select_biased! {
            _ = std::pin::pin!(stop.fuse()) => false,
            incarnation = (&mut self.superseded).fuse() => match incarnation {
                Ok(incarnation) => {
                    error!("daemon: incarnation {incarnation} runs under this instance");
                    true
                }
                Err(_) => false,
            },
        };
        let drained = self.shut_down().await;
        match (superseded, drained) {
            (true, _) => Outcome::Superseded,
            (false, true) => Outcome::Drained,
            (false, false) => Outcome::DrainLimit,
        }
    }

    /// Shuts down in order: announces the shutdown, refuses new requests, answers the
    /// requests in progress and closes the links. Returns whether all requests were
    /// answered in time.
    async fn shut_down(self) -> bool {
        let drain = self.active_config.drain();
        info!(
            "daemon: stopping, new requests are refused in {}",
            drain.announce_ms
        );
        self.readiness.set(Readiness::Draining);
        self.closing.set(true);
        let _ = self.tasks.control.unbounded_send(control::Event::Leave);
        let _ = self.tasks.peers.unbounded_send(peers::Event::Goodbye);
        let limit = drain.limit_ms.duration().max(drain.announce_ms.duration());
        let limit = if limit.is_zero() {
            DEFAULT_DRAIN_LIMIT
        } else {
            limit
        };
        let tasks = self.tasks.clone();
        let finish = async move {
            compio::time::sleep(drain.announce_ms.duration()).await;
            let (tx, entry_drained) = oneshot::channel();
            let _ = tasks.entry.unbounded_send(entry::Event::Drain(tx));
            self.callers_stop.send();
            let _ = self.callers_ended.await;
            let _ = entry_drained.await;
            let (tx, owner_drained) = oneshot::channel();
            let _ = tasks.owner.unbounded_send(owner::Event::Drain(tx));
            let _ = owner_drained.await;
        };
        let drained = compio::time::timeout(limit, finish).await.is_ok();
        let (tx, links_closed) = oneshot::channel();
        let _ = self.tasks.peers.unbounded_send(peers::Event::Finish(tx));
        let _ = compio::time::timeout(LINK_CLOSE_TIMEOUT, links_closed).await;
        self.operators_stop.send();
        info!("daemon: stopped, all requests answered: {drained}");
        drained
    }
}

fn spawn_listener(
    listener: TcpListener,
    handler: Rc<dyn http::Handler>,
    limits: http::SharedLimits,
) -> (crate::stop::StopSender, oneshot::Receiver<()>) {
    let (stop_tx, stopped) = stop();
    let (ended_tx, ended) = oneshot::channel();
    compio::runtime::spawn(async move {
        http::serve(listener, handler, limits, stopped).await;
        let _ = ended_tx.send(());
    })
    .detach();
    (stop_tx, ended)
}

fn control_report_handler(
    tasks: &Tasks,
    readiness: &Rc<Cell<Readiness>>,
    active_config: &Rc<ActiveConfig>,
    superseded: oneshot::Sender<Incarnation>,
) -> Rc<dyn Fn(control::Report)> {
    let (tasks, readiness, active_config) =
        (tasks.clone(), readiness.clone(), active_config.clone());
    let superseded = Cell::new(Some(superseded));
    Rc::new(move |report| match report {
        control::Report::View(members) => {
            let directory = Arc::new(directory(&members, &tasks.me));
            let _ = tasks
                .peers
                .unbounded_send(peers::Event::Directory(directory));
            let _ = tasks.entry.unbounded_send(entry::Event::View(members));
        }
        control::Report::Server(server, kind) => {
            if kind == ReportKind::Draining {
                let _ = tasks
                    .owner
                    .unbounded_send(owner::Event::Leaving(server.clone()));
            }
            let _ = tasks
                .entry
                .unbounded_send(entry::Event::Server(server, kind));
        }
        control::Report::Confirmed(confirmed) => {
            let _ = tasks
                .entry
                .unbounded_send(entry::Event::Confirmed(confirmed));
        }
        control::Report::Superseded(incarnation) => {
            if let Some(tx) = superseded.take() {
                let _ = tx.send(incarnation);
            }
        }
        control::Report::Config(_, config) => {
            *active_config.limits.borrow_mut() = http::Limits::from(&config.limits);
            *active_config.config.borrow_mut() = Some(config.clone());
            let _ = tasks
                .owner
                .unbounded_send(owner::Event::Config(config.clone()));
            let _ = tasks.entry.unbounded_send(entry::Event::Config(config));
            if readiness.get() == Readiness::Starting {
                readiness.set(Readiness::Ready);
            }
        }
    })
}

/// Spawns the tasks with the resources that they share.
struct TaskSpawner {
    clock: Clock,
    keys: KeyRing,
    metrics: Rc<Metrics>,
    tasks: Tasks,
}

impl TaskSpawner {
    fn spawn_entry(&self, me: &entry::Identity, rx: mpsc::UnboundedReceiver<entry::Event>) {
        let (sender, replier) = (self.tasks.clone(), self.tasks.clone());
        let cx = entry::Context {
            clock: self.clock.clone(),
            me: me.clone(),
            keys: self.keys.clone(),
            send: Rc::new(move |to, frame| sender.send(to, frame)),
            reply: Rc::new(move |link, frame| replier.reply(ReplyTo::Link(link), frame)),
            metrics: self.metrics.clone(),
        };
        compio::runtime::spawn(entry::Entry::new(cx).run(rx)).detach();
    }

    fn spawn_owner(&self, me: &entry::Identity, rx: mpsc::UnboundedReceiver<owner::Event>) {
        let tasks = self.tasks.clone();
        let cx = owner::Context {
            clock: self.clock.clone(),
            dialer: Rc::new(HttpDialer),
            origin: format!("{}-{}", me.instance, me.incarnation).into(),
            tx: self.tasks.owner.clone(),
            report: Rc::new(move |report| tasks.on_owner_report(report)),
        };
        compio::runtime::spawn(owner::Owner::new(cx).run(rx)).detach();
    }

    fn spawn_peers(
        &self,
        me: &entry::Identity,
        listener: TcpListener,
        rx: mpsc::UnboundedReceiver<peers::Event>,
    ) {
        let options = link::Options {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
            keys: self.keys.clone(),
            handshake_timeout: HANDSHAKE_TIMEOUT,
            silence_limit: LINK_SILENCE_LIMIT,
            window: LINK_WINDOW,
            traffic: self.metrics.traffic().clone(),
        };
        let (tx, tasks) = (self.tasks.peers.clone(), self.tasks.clone());
        let report = Rc::new(move |report| tasks.on_peers_report(report));
        let peers = peers::Peers::new(options, self.clock.clone(), tx.clone(), report);
        compio::runtime::spawn(peers.run(rx)).detach();
        compio::runtime::spawn(peers::listen(listener, tx, never_stop())).detach();
    }

    fn spawn_control(
        &self,
        options: control::Options,
        platform: Rc<HttpPlatform>,
        socket: Rc<UdpSocket>,
        report: Rc<dyn Fn(control::Report)>,
        rx: mpsc::UnboundedReceiver<control::Event>,
    ) {
        let (tx, tasks) = (self.tasks.control.clone(), self.tasks.clone());
        compio::runtime::spawn(control::receive(socket.clone(), tx.clone(), never_stop())).detach();
        let cx = control::Context {
            clock: self.clock.clone(),
            keys: self.keys.clone(),
            platform,
            tx,
            report,
            send: Rc::new(move |to, frame| tasks.send(to, frame)),
            metrics: self.metrics.clone(),
        };
        compio::runtime::spawn(control::Control::new(cx, options, socket).run(rx)).detach();
    }
}

/// A signal that is never sent. Links and datagrams are accepted until the process
/// ends, because a draining daemon still completes requests that others have
/// forwarded to it.
fn never_stop() -> Stop {
    let (tx, rx) = stop();
    std::mem::forget(tx);
    rx
}

/// Runs a daemon until SIGTERM or SIGINT. Calls `started` once all listeners are
/// bound.
///
/// # Errors
///
/// See [`Daemon::start`].
pub async fn run(options: Options, started: impl FnOnce(Bound)) -> Result<Outcome, StartError> {
    let daemon = Daemon::start(options).await?;
    started(daemon.bound());
    let signal_received = async {
        let term = compio::signal::unix::signal(SIGTERM);
        let int = compio::signal::unix::signal(SIGINT);
        let signal = select_biased! {
            _ = std::pin::pin!(term.fuse()) => "SIGTERM",
            _ = std::pin::pin!(int.fuse()) => "SIGINT",
        };
        info!("daemon: {signal} received");
    };
    Ok(daemon.run(signal_received).await)
}

/// Signal numbers; they are the same on all Linux architectures.
const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;
