//! Starts the tasks of a gateway and stops them in order.

use std::{
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddr,
    path::PathBuf,
    pin::pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use compio::net::{TcpListener, UdpSocket};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, select_biased};
use hyper::{Method, StatusCode};
use jasminepond_daemon::{
    clock::Clock,
    daemon::new_incarnation,
    net::http::{
        self, BufferedRequest, BufferedResponse, Handler, Limits, SharedLimits, error_response,
        json_response, text_response,
    },
    stop::{Stop, stop},
};
use jasminepond_discovery::{ReaderSettings, settle_time};
use jasminepond_forward::{ForwardSettings, Forwarder, RepeatSettings, RouteReport, ServerReport};
use jasminepond_membership::LocalMember;
use jasminepond_platform::{HttpReader, PlatformError};
use jasminepond_routes::CallerLimits;
use jasminepond_types::ErrorKind;
use serde_json::json;
use spdlog::{error, info, warn};

use crate::{
    Dialect, Log, Settings,
    contain::{log_panics, spawn_essential},
    front::Front,
    helper::Helper,
    hub::Hub,
    members,
    metrics::Metrics,
    readiness::Readiness,
    relay::SharedRelay,
    store::Follower,
};

/// How to run a gateway.
pub struct Options {
    /// File of the settings, read again on SIGHUP.
    pub path: PathBuf,
    /// The settings.
    pub settings: Settings,
    /// Translates between the platform and the gateway.
    pub dialect: Rc<dyn Dialect>,
    /// The log.
    pub log: Log,
}

/// How a gateway ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With all requests answered.
    Drained,
    /// At the limit of its time, with requests left.
    DrainLimit,
    /// After a task that it needs has failed.
    TaskFailed,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drained => "stopped with all requests answered",
            Self::DrainLimit => "stopped at the drain limit with requests left",
            Self::TaskFailed => "stopped after a task of the daemon has failed",
        })
    }
}

/// A gateway could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("listener {name} on {address}: {source}")]
    Bind {
        /// Which listener.
        name: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The UDP socket could not be bound.
    #[error("membership on {address}: {source}")]
    Membership {
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The client of the store could not be set up.
    #[error(transparent)]
    Store(#[from] PlatformError),
    /// The signal handlers could not be set up.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The set of sockets to backend servers could not be set up.
    #[error("epoll: {0}")]
    Sockets(io::Error),
}

/// Connections that may wait to be accepted. A full queue costs a caller seconds,
/// and a daemon that was busy for a second must find all that came meanwhile.
const BACKLOG: i32 = 4_096;

/// Callers' connections open at the same time. Below the descriptors of the
/// smallest daemon, 4,100, with room for those to backend servers.
const MAX_CALLERS: usize = 2_500;

/// Connections of other daemons open at the same time: several of each of hundreds
/// of daemons.
const MAX_PEER_CONNECTIONS: usize = 3_000;

/// Interval of housekeeping: log lines are written and signals are looked at.
const HOUSEKEEPING: Duration = Duration::from_millis(100);

fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listen = || {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    listen().map_err(|source| StartError::Bind {
        name,
        address,
        source,
    })
}

/// Wait before the sockets are watched again after the system refused to.
const WATCH_AGAIN: Duration = Duration::from_millis(100);

/// Wakes the tasks of connections to backend servers.
async fn watch(sockets: Rc<Readiness>) {
    loop {
        if let Err(err) = sockets.clone().run().await {
            error!("gateway: connections to backend servers cannot be watched", kv: { cause: = err });
            compio::time::sleep(WATCH_AGAIN).await;
        }
    }
}

fn limits(front: &CallerLimits) -> Limits {
    Limits {
        max_connections: MAX_CALLERS,
        max_header_bytes: front.max_header_bytes,
        max_body_bytes: front.max_body_bytes,
        read_timeout: front.header_timeout,
        idle_timeout: front.idle_timeout,
    }
}

fn forward_settings(settings: &Settings) -> ForwardSettings {
    ForwardSettings {
        zone: settings.zone.to_string(),
        processor: settings.processor(),
        drain_bound: settings.server_drain_ms.duration(),
        repeat: RepeatSettings {
            share: settings.repeats.share,
            slack: settings.repeats.slack,
            window: Duration::from_secs_f64(settings.repeats.window_s),
            ..RepeatSettings::default()
        },
        ..ForwardSettings::default()
    }
}

fn me(settings: &Settings) -> LocalMember {
    LocalMember {
        instance: settings.instance.clone(),
        incarnation: new_incarnation(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        processor: settings.processor(),
        peer_address: settings.membership,
        membership_address: settings.membership,
    }
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let port = settings.membership.port();
    let seeds = settings.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Answers the platform's question whether the daemon takes new connections.
struct ReadyProbe {
    path: &'static str,
    complete: Rc<Cell<bool>>,
    closing: Rc<Cell<bool>>,
}

impl Handler for ReadyProbe {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let ready = self.complete.get() && !self.closing.get();
        let known = req.head.uri.path() == self.path;
        async move {
            let status = match (known, ready) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            };
            json_response(status, &json!({ "ready": ready }))
        }
        .boxed_local()
    }
}

/// The state of the daemon: counts, the routes in force, and each backend server as
/// it is believed to be.
fn state(hub: &Hub) -> serde_json::Value {
    let now = hub.clock().now();
    hub.read(|forwarder| {
        let status = forwarder.status();
        let route = |route: RouteReport| {
            json!({ "name": *route.name, "host": route.host, "prefix": route.prefix, "target": route.target })
        };
        let server = |server: ServerReport| {
            json!({
                "server": *server.id,
                "service": server.service.as_str(),
                "standing": server.standing,
                "why": server.why,
                "cost": (server.cost * 100.0).round() / 100.0,
                "connections": server.connections,
                "calls": server.calls,
            })
        };
        let routes = forwarder.route_reports().into_iter().map(route);
        let servers = forwarder.server_reports(now).into_iter().map(server);
        json!({
            "release": status.version.0,
            "release_age_ms": now.since(forwarder.released()).as_millis() as u64,
            "servers_down": status.down,
            "requests": status.requests,
            "calls": status.calls,
            "connections": status.connections,
            "waiting": status.waiting,
            "routes": routes.collect::<Vec<_>>(),
            "backend_servers": servers.collect::<Vec<_>>(),
        })
    })
}

/// Answers operators.
struct Operators {
    hub: Rc<Hub>,
}

impl Handler for Operators {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let hub = self.hub.clone();
        async move {
            let path = req.head.uri.path();
            if req.head.method != Method::GET {
                let message = format!("{path} takes GET");
                return error_response(ErrorKind::MethodNotAllowed, &message, None);
            }
            let status = hub.read(|forwarder| forwarder.status());
            match path {
                "/metrics" => {
                    let text = hub.metrics().render(status);
                    text_response(StatusCode::OK, METRICS_TYPE, text)
                }
                "/status" => json_response(StatusCode::OK, &state(&hub)),
                _ => error_response(ErrorKind::NotFound, &format!("there is no {path}"), None),
            }
        }
        .boxed_local()
    }
}

/// Media type of the Prometheus text format as prometheus-client writes it.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// A listener cannot be bound, or the store's client or the signals cannot be
/// set up.
pub async fn run(options: Options) -> Result<Outcome, StartError> {
    let Options {
        path,
        settings,
        dialect,
        log,
    } = options;
    let callers = bind("callers", settings.callers)?;
    let readiness = bind("readiness", settings.readiness)?;
    let operators = bind("operators", settings.operators)?;
    let membership = settings.membership;
    let socket = UdpSocket::bind(membership).await;
    let socket = socket.map_err(|source| StartError::Membership {
        address: membership,
        source,
    })?;
    let peers = bind("peers", settings.membership)?;
    let hup = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, hup.clone())
        .map_err(StartError::Signals)?;
    let http = HttpReader::new(jasminepond_platform::Options {
        address: settings.store.address,
        timeout: settings.store.timeout_ms.duration(),
    })?;
    info!("gateway: starting", kv: {
        instance: = settings.instance,
        zone: = settings.zone,
        callers: = settings.callers,
        store: = settings.store.address,
        version = env!("CARGO_PKG_VERSION"),
    });

    log_panics();
    let (failed, failures) = mpsc::unbounded();
    let clock = Clock::start();
    let metrics = Rc::new(Metrics::default());
    let forwarder = Forwarder::new(forward_settings(&settings));
    let sockets = Readiness::new().map_err(StartError::Sockets)?;
    spawn_essential("sockets", watch(sockets.clone()), failed.clone());
    let (complete, closing) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let hub = Hub::new(
        clock.clone(),
        dialect.headers(),
        forwarder,
        metrics,
        sockets,
        complete.clone(),
    );
    let front_limits = SharedLimits::new(limits(&CallerLimits::default()).into());
    spawn_essential("timers", hub.clone().run_timers(), failed.clone());
    let members = Rc::new(RefCell::default());
    let settled = Rc::new(Cell::new(false));
    let relay = SharedRelay::new(clock.clone(), complete.clone());
    let shared = front_limits.clone();
    let follower = Follower {
        http,
        timeout: settings.store.timeout_ms.duration(),
        reader: ReaderSettings {
            settle: settle_time(settings.store.heartbeat_ms.duration()),
            ..ReaderSettings::default()
        },
        members: members.clone(),
        settled: settled.clone(),
        relay: relay.clone(),
        dialect: dialect.clone(),
        hub: hub.clone(),
        clock: clock.clone(),
        complete: complete.clone(),
        on_limits: Rc::new(move |front| *shared.borrow_mut() = limits(front)),
    };
    spawn_essential("store", follower.run(), failed.clone());
    let (leave, leaving) = stop();
    let membership = members::Follower {
        instance: settings.instance.clone(),
        membership: members::membership(me(&settings), &seeds(&settings)),
        socket: Rc::new(socket),
        clock,
        hub: hub.clone(),
        members,
        settled,
        leaving,
    };
    spawn_essential("membership", membership.run(), failed.clone());
    let probe = ReadyProbe {
        path: dialect.ready_path(),
        complete,
        closing: closing.clone(),
    };
    let log = Rc::new(log);
    compio::runtime::spawn(housekeeping(hup, path, log.clone())).detach();
    for (listener, handler) in [
        (readiness, Rc::new(probe) as Rc<dyn Handler>),
        (operators, Rc::new(Operators { hub: hub.clone() })),
        (
            peers,
            Rc::new(Helper {
                hub: hub.clone(),
                relay,
            }),
        ),
    ] {
        let limits = Limits {
            max_connections: MAX_PEER_CONNECTIONS,
            ..Limits::default()
        };
        let serve = http::serve(listener, handler, SharedLimits::new(limits.into()), never());
        compio::runtime::spawn(serve).detach();
    }
    let front = Front {
        hub: hub.clone(),
        closing: closing.clone(),
    };
    let (stop_callers, stopped) = stop();
    let serving = http::serve(callers, Rc::new(front), front_limits, stopped);
    let serving = compio::runtime::spawn(serving);

    let (signal, expected) = signalled(failures).await;
    info!("gateway: stopping", kv: { signal, announce: = settings.announce_ms });
    closing.set(true);
    // Other daemons ask others for parts of searches from now on.
    leave.send();
    let finish = async {
        compio::time::sleep(settings.announce_ms.duration()).await;
        stop_callers.send();
        let _ = serving.await;
    };
    let outcome = match compio::time::timeout(settings.drain(), finish).await {
        _ if !expected => Outcome::TaskFailed,
        Ok(()) => Outcome::Drained,
        Err(_) => Outcome::DrainLimit,
    };
    let left = hub.read(|forwarder| forwarder.status().requests);
    info!("gateway: stopped", kv: { outcome:, requests_left = left });
    log.flush();
    Ok(outcome)
}

/// Waits for the reason to stop. Returns it, and whether it is a signal.
async fn signalled(mut failures: mpsc::UnboundedReceiver<&'static str>) -> (&'static str, bool) {
    let term = compio::signal::unix::signal(signal_hook::consts::SIGTERM);
    let int = compio::signal::unix::signal(signal_hook::consts::SIGINT);
    select_biased! {
        _ = pin!(term.fuse()) => ("SIGTERM", true),
        _ = pin!(int.fuse()) => ("SIGINT", true),
        failed = failures.next() => (failed.unwrap_or("a failed task"), false),
    }
}

/// Writes log lines, and reads the settings again after SIGHUP.
async fn housekeeping(hup: Arc<AtomicBool>, path: PathBuf, log: Rc<Log>) {
    loop {
        compio::time::sleep(HOUSEKEEPING).await;
        if hup.swap(false, Ordering::Relaxed) {
            // Addresses and bounds hold for the life of the process; a mistake is
            // reported now rather than at the next start.
            match Settings::load(&path) {
                Ok(_) => info!("gateway: the settings were read again"),
                Err(err) => warn!("gateway: the settings were read again", kv: { error: = err }),
            }
        }
        log.flush();
    }
}

/// These listeners serve until the process ends.
fn never() -> Stop {
    let (tx, rx) = stop();
    std::mem::forget(tx);
    rx
}
