//! Starts the tasks of a gateway and shuts them down gracefully.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
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
use jasminepond_forward::{
    ForwardSettings, Forwarder, HeardLoad, QueueReport, RepeatSettings, RouteReport, ServerReport,
    ServiceReport, WarmUpReport,
};
use jasminepond_membership::LocalMember;
use jasminepond_platform::HttpReader;
use jasminepond_quarantine::{Fingerprint, Report};
use jasminepond_ratelimit::LimitReport;
use jasminepond_routes::CallerLimits;
use jasminepond_types::{ErrorKind, Timestamp};
use serde_json::json;
use spdlog::{error, info, warn};

use crate::{
    BufferedBytes, HeldKind, Log, PlatformAdapter, Settings,
    callers::CallerHandler,
    hub::Hub,
    members,
    metrics::Metrics,
    panics::{log_panics, spawn_essential},
    peers::PeerHandler,
    socket_set::SocketSet,
    store::StoreTask,
    store_relay::SharedRelay,
};

/// Options of a gateway process.
pub struct Options {
    /// Settings file, checked again on SIGHUP.
    pub path: PathBuf,
    /// The settings.
    pub settings: Settings,
    /// Translates between the platform and the gateway.
    pub adapter: Rc<dyn PlatformAdapter>,
    /// The log.
    pub log: Log,
}

/// How a gateway stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All requests were answered.
    Drained,
    /// The drain limit passed with requests left.
    DrainLimit,
    /// A task that the daemon cannot run without has failed.
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
        /// Name of the listener.
        name: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The UDP socket could not be bound.
    #[error("membership on {address}: {source}")]
    Membership {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The epoll instance for connections to backend servers could not be created.
    #[error("epoll: {0}")]
    Sockets(io::Error),
}

/// Length of the accept queues. A connection attempt at a full queue is delayed by
/// seconds, so the queue must hold all that arrive while a daemon is busy for a second.
const BACKLOG: i32 = 4_096;

/// Limit on open connections of callers. The smallest daemon has 4,100 file descriptors;
/// the rest is left for connections to backend servers.
const MAX_CALLER_CONNECTIONS: usize = 2_500;

/// Limit on open connections per listener for the readiness check, operators and other
/// daemons. Hundreds of daemons open several each.
const MAX_PEER_CONNECTIONS: usize = 3_000;

/// Interval at which a stopping daemon checks whether requests of other daemons are answered.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which log lines are written and SIGHUP is checked.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between log lines about callers and servers that read slowly.
const BACKLOG_LOG_INTERVAL: Duration = Duration::from_secs(1);

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

/// Delay before polling is resumed after an epoll error.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Polls the sockets of connections to backend servers, and resumes after errors.
async fn poll_sockets(sockets: Rc<SocketSet>) {
    loop {
        if let Err(err) = sockets.clone().run().await {
            error!("gateway: connections to backend servers cannot be watched", kv: { cause: = err });
            compio::time::sleep(POLL_RETRY_DELAY).await;
        }
    }
}

fn caller_limits(release: &CallerLimits) -> Limits {
    Limits {
        max_connections: MAX_CALLER_CONNECTIONS,
        max_header_bytes: release.max_header_bytes,
        max_body_bytes: release.max_body_bytes,
        read_timeout: release.header_timeout,
        idle_timeout: release.idle_timeout,
    }
}

/// Room for the headers that daemons add to requests which they pass on.
const PEER_HEADER_BYTES: usize = 16 << 10;

/// Limits of requests of other daemons, which pass on those of their callers.
fn peer_limits(release: &CallerLimits) -> Limits {
    let own = Limits::default();
    Limits {
        max_connections: MAX_PEER_CONNECTIONS,
        max_header_bytes: release.max_header_bytes + PEER_HEADER_BYTES,
        max_body_bytes: release.max_body_bytes.max(own.max_body_bytes),
        ..own
    }
}

fn forward_settings(settings: &Settings) -> ForwardSettings {
    ForwardSettings {
        even_load: settings.even_load,
        instance: settings.instance.as_str().into(),
        zone: settings.zone.to_string(),
        processor: settings.processor(),
        drain_bound: settings.server_drain_ms.duration(),
        repeat: RepeatSettings {
            share: settings.repeats.share,
            slack: settings.repeats.slack,
            window: Duration::from_secs_f64(settings.repeats.window_s),
            ..RepeatSettings::default()
        },
        warm_up_excess: settings.warmup_excess,
        warm_up_slack: settings.warmup_slack,
        ..ForwardSettings::default()
    }
}

fn own_member(settings: &Settings) -> LocalMember {
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

/// Handles the platform's readiness check: whether the daemon accepts new connections.
struct ReadinessHandler {
    path: &'static str,
    complete: Rc<Cell<bool>>,
    closing: Rc<Cell<bool>>,
}

impl Handler for ReadinessHandler {
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

fn limit_status(limit: LimitReport) -> serde_json::Value {
    json!({
        "per_second": limit.limit.per_second(),
        "age_ms": limit.age.as_millis() as u64,
        "coordinator": limit.coordinator.as_deref(),
        "permits": limit.permits,
    })
}

fn load_status(now: Timestamp, heard: HeardLoad) -> serde_json::Value {
    let load = heard.load();
    json!({
        "running": load.running,
        "waiting": load.waiting,
        "slots": load.slots,
        "work_percent": load.work_percent,
        "age_ms": heard.age(now).as_millis() as u64,
    })
}

/// Servers in the last window of five minutes. The name of a group of helpers begins with
/// a zero byte, which is left out.
fn service_status(service: ServiceReport) -> serde_json::Value {
    let ratio = service.busiest_over_mean;
    json!({
        "service": service.service.as_str().trim_start_matches('\0'),
        "servers": service.servers,
        "sends": service.sends,
        "busiest_over_mean": ratio.map(|ratio| (ratio * 100.0).round() / 100.0),
        "local_share": (service.local_share * 100.0).round() / 100.0,
    })
}

fn warm_up_status(warm_up: WarmUpReport) -> serde_json::Value {
    json!({
        "state": warm_up.warmth.as_str(),
        "per_second": warm_up.per_second,
        "limit": warm_up.limit.map(limit_status),
    })
}

fn store_status(hub: &Hub) -> serde_json::Value {
    let state = hub.store_state();
    json!({
        "source": state.source.to_string(),
        "age_ms": hub.clock().now().since(state.confirmed_at).as_millis() as u64,
        "position": state.position.to_string(),
    })
}

/// Memory held for callers and servers that read slowly.
fn held_status(hub: &Hub) -> serde_json::Value {
    let counts = hub.buffered_bytes().counts();
    hub.buffered_bytes().read(|backlog| {
        let kinds = HeldKind::ALL.iter();
        let bytes: BTreeMap<_, _> = kinds
            .map(|kind| (kind.as_str(), backlog.held(*kind)))
            .collect();
        json!({
            "bytes": bytes,
            "peak_bytes": backlog.peak(),
            "limit_bytes": backlog.limits().daemon,
            "responses_dropped": counts.dropped.count,
            "requests_refused": counts.refused,
            "servers_not_reading": backlog.full_servers(),
        })
    })
}

/// Builds the status page: counts, the active routes, and the presumed state of each
/// backend server.
fn status_page(hub: &Hub) -> serde_json::Value {
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
                "connection_limit": server.connection_limit,
                "calls": server.calls,
                "sends": server.sends,
                "load": server.load.map(|heard| load_status(now, heard)),
                "limit": server.limit.map(limit_status),
                "warm_up": server.warm_up.map(warm_up_status),
            })
        };
        let suspects = forwarder.suspect_reports(now).into_iter();
        let suspects = suspects.map(suspect_status);
        let routes = forwarder.route_reports().into_iter().map(route);
        let servers = forwarder.server_reports(now).into_iter().map(server);
        let services = forwarder.service_reports(now).into_iter();
        let services = services.map(service_status);
        let evacuated = forwarder.evacuated_zones(now).into_iter();
        let evacuated = evacuated
            .map(|(zone, age)| json!({ "zone": *zone, "age_ms": age.as_millis() as u64 }));
        json!({
            "release": status.version.0,
            "store": store_status(hub),
            "release_age_ms": now.since(forwarder.released()).as_millis() as u64,
            "contact_lost_ms": forwarder.contact_lost_for(now).map(|time| time.as_millis() as u64),
            "servers_down": status.down,
            "servers_limited": status.limited,
            "evacuated_zones": evacuated.collect::<Vec<_>>(),
            "servers_evacuated": status.held_out,
            "servers_cold": forwarder.cold_counts(now).0,
            "requests": status.requests,
            "calls": status.calls,
            "connections": status.connections,
            "connections_reset": forwarder.connection_counts().reset,
            "connections_refused": forwarder.connection_counts().refused,
            "waiting": status.waiting,
            "overloaded_shards": status.overloaded_shards,
            "admission": {
                "refused": status.admission.refused,
                "shards_left_out": status.admission.left_out,
            },
            "queues": forwarder.queue_reports().into_iter().map(queue_status).collect::<Vec<_>>(),
            "held": held_status(hub),
            "routes": routes.collect::<Vec<_>>(),
            "suspects": suspects.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(),
            "backend_servers": servers.collect::<Vec<_>>(),
        })
    })
}

fn queue_status(report: QueueReport) -> serde_json::Value {
    json!({
        "priority": report.priority,
        "parts": report.parts,
        "late": report.late,
        "services": report.services,
        "callers": report.callers,
    })
}

/// What an operator orders about a request that ends servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SuspectOrder {
    /// It may be sent again.
    Release,
    /// It must not be sent.
    Forbid,
}

impl SuspectOrder {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            "/suspects/release" => Some(Self::Release),
            "/suspects/forbid" => Some(Self::Forbid),
            _ => None,
        }
    }
}

/// Carries out an order about the request whose fingerprint is the body.
fn carry_out(hub: &Rc<Hub>, order: SuspectOrder, body: &[u8]) -> BufferedResponse {
    let text = String::from_utf8_lossy(body);
    let fingerprint: Fingerprint = match text.trim().parse() {
        Ok(fingerprint) => fingerprint,
        Err(err) => return error_response(ErrorKind::BadRequest, &format!("{err}"), None),
    };
    let known = hub.change(|forwarder, now| match order {
        SuspectOrder::Release => forwarder.release_request(now, fingerprint),
        SuspectOrder::Forbid => {
            forwarder.forbid_request(now, fingerprint);
            true
        }
    });
    match known {
        true => json_response(StatusCode::OK, &json!({ "fingerprint": text.trim() })),
        false => {
            let message = "no server ended while it ran a request with this fingerprint";
            error_response(ErrorKind::NotFound, message, None)
        }
    }
}

fn suspect_status(suspect: Report) -> serde_json::Value {
    let millis = |time: Duration| time.as_millis() as u64;
    json!({
        "fingerprint": suspect.fingerprint.to_string(),
        "state": suspect.state.as_str(),
        "servers_ended": suspect.ends,
        "known_ms": millis(suspect.age),
        "last_end_ms": millis(suspect.ended_age),
        "failed_trials": suspect.failed_trials,
        "retry_ms": millis(suspect.retry_in),
        "refused": suspect.refused,
        "forbidden": suspect.forbidden,
    })
}

/// Handles HTTP requests of operators.
struct OperatorHandler {
    hub: Rc<Hub>,
}

impl Handler for OperatorHandler {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let hub = self.hub.clone();
        async move {
            let path = req.head.uri.path();
            let order = SuspectOrder::from_path(path);
            let method = match order {
                Some(_) => Method::POST,
                None => Method::GET,
            };
            if req.head.method != method {
                let message = format!("{path} takes {method}");
                return error_response(ErrorKind::MethodNotAllowed, &message, None);
            }
            if let Some(order) = order {
                return carry_out(&hub, order, &req.body);
            }
            match path {
                "/metrics" => {
                    let now = hub.clock().now();
                    let read =
                        |f: &Forwarder| (f.status(), f.queue_reports(), f.suspect_counts(now));
                    let (status, queues, suspects) = hub.read(read);
                    hub.metrics()
                        .set_connections(hub.read(Forwarder::connection_counts));
                    hub.metrics().set_cold(hub.read(|f| f.cold_counts(now)));
                    let state_age = now.since(hub.store_state().confirmed_at);
                    let ratio = hub.read(|f| f.busiest_over_mean(now));
                    hub.metrics().set_busiest_over_mean(ratio);
                    hub.buffered_bytes().read(|backlog| {
                        let counts = hub.buffered_bytes().counts();
                        hub.metrics().set_backlog(backlog, counts);
                    });
                    let text = hub.metrics().render(status, &queues, suspects, state_age);
                    text_response(StatusCode::OK, METRICS_MEDIA_TYPE, text)
                }
                "/status" => json_response(StatusCode::OK, &status_page(&hub)),
                _ => error_response(ErrorKind::NotFound, &format!("there is no {path}"), None),
            }
        }
        .boxed_local()
    }
}

/// Media type of the text format that prometheus-client writes.
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// A listener cannot be bound, or the client for the store, the epoll instance or a signal
/// handler cannot be created.
pub async fn run(options: Options) -> Result<Outcome, StartError> {
    let Options {
        path,
        settings,
        adapter,
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
    });
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
    let sockets = SocketSet::new().map_err(StartError::Sockets)?;
    spawn_essential("sockets", poll_sockets(sockets.clone()), failed.clone());
    let (complete, closing) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let hub = Hub::new(
        clock.clone(),
        adapter.headers(),
        forwarder,
        metrics,
        sockets,
        BufferedBytes::new(settings.memory_mb, clock.clone()),
        complete.clone(),
    );
    let shared_limits = SharedLimits::new(caller_limits(&CallerLimits::default()).into());
    spawn_essential("timers", hub.clone().run_timers(), failed.clone());
    let members = Rc::new(RefCell::default());
    let settled = Rc::new(Cell::new(false));
    let relay = SharedRelay::new(clock.clone(), complete.clone());
    let updated = shared_limits.clone();
    let shared_peer_limits = SharedLimits::new(peer_limits(&CallerLimits::default()).into());
    let updated_peers = shared_peer_limits.clone();
    let store_task = StoreTask {
        http,
        timeout: settings.store.timeout_ms.duration(),
        reader: ReaderSettings {
            settle: settle_time(settings.store.heartbeat_ms.duration()),
            ..ReaderSettings::default()
        },
        members: members.clone(),
        settled: settled.clone(),
        relay: relay.clone(),
        adapter: adapter.clone(),
        hub: hub.clone(),
        clock: clock.clone(),
        complete: complete.clone(),
        on_limits: Rc::new(move |release| {
            *updated.borrow_mut() = caller_limits(release);
            *updated_peers.borrow_mut() = peer_limits(release);
        }),
    };
    spawn_essential("store", store_task.run(), failed.clone());
    let (leave, leaving) = stop();
    let membership = members::MembershipTask {
        instance: settings.instance.clone(),
        membership: members::membership(own_member(&settings), &seeds(&settings)),
        socket: Rc::new(socket),
        clock,
        hub: hub.clone(),
        members,
        settled,
        leaving,
    };
    spawn_essential("membership", membership.run(), failed.clone());
    let probe = ReadinessHandler {
        path: adapter.ready_path(),
        complete,
        closing: closing.clone(),
    };
    let log = Rc::new(log);
    compio::runtime::spawn(run_housekeeping(hup, path, log.clone(), hub.clone())).detach();
    let operator = Rc::new(OperatorHandler { hub: hub.clone() });
    let peer = Rc::new(PeerHandler {
        hub: hub.clone(),
        relay,
    });
    let limits = Limits {
        max_connections: MAX_PEER_CONNECTIONS,
        ..Limits::default()
    };
    let limits = SharedLimits::new(limits.into());
    for (listener, handler, limits) in [
        (readiness, Rc::new(probe) as Rc<dyn Handler>, limits.clone()),
        (operators, operator, limits),
        (peers, peer, shared_peer_limits),
    ] {
        let serve = http::serve(listener, handler, limits, never_stop());
        compio::runtime::spawn(serve).detach();
    }
    let handler = CallerHandler {
        hub: hub.clone(),
        closing: closing.clone(),
    };
    let (stop_callers, stopped) = stop();
    let serving = http::serve(callers, Rc::new(handler), shared_limits, stopped);
    let serving = compio::runtime::spawn(serving);

    let (signal, is_signal) = stop_reason(failures).await;
    info!("gateway: stopping", kv: { signal, announce: = settings.announce_ms });
    closing.set(true);
    // From now on other daemons delegate parts of searches elsewhere.
    leave.send();
    let finish = async {
        compio::time::sleep(settings.announce_ms.duration()).await;
        stop_callers.send();
        let _ = serving.await;
        // What is left comes from other daemons.
        while hub.read(|forwarder| forwarder.status().requests) > 0 {
            compio::time::sleep(DRAIN_INTERVAL).await;
        }
    };
    let outcome = match compio::time::timeout(settings.drain(), finish).await {
        _ if !is_signal => Outcome::TaskFailed,
        Ok(()) => Outcome::Drained,
        Err(_) => Outcome::DrainLimit,
    };
    let requests_left = hub.read(|forwarder| forwarder.status().requests);
    info!("gateway: stopped", kv: { outcome:, requests_left });
    log.flush();
    Ok(outcome)
}

/// Waits for a signal to stop or the failure of a task. Returns the name of the signal or
/// task, and whether it was a signal.
async fn stop_reason(mut failures: mpsc::UnboundedReceiver<&'static str>) -> (&'static str, bool) {
    let term = compio::signal::unix::signal(signal_hook::consts::SIGTERM);
    let int = compio::signal::unix::signal(signal_hook::consts::SIGINT);
    select_biased! {
        _ = pin!(term.fuse()) => ("SIGTERM", true),
        _ = pin!(int.fuse()) => ("SIGINT", true),
        failed = failures.next() => (failed.unwrap_or("a failed task"), false),
    }
}

/// Writes log lines, drops responses that nobody reads, and checks the settings file after
/// SIGHUP.
async fn run_housekeeping(hup: Arc<AtomicBool>, path: PathBuf, log: Rc<Log>, hub: Rc<Hub>) {
    let mut logged = hub.clock().now();
    loop {
        compio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        hub.buffered_bytes().drop_unread();
        let now = hub.clock().now();
        if now.since(logged) >= BACKLOG_LOG_INTERVAL {
            logged = now;
            hub.buffered_bytes().log_changes();
        }
        if hup.swap(false, Ordering::Relaxed) {
            // Addresses and limits stay unchanged until the process ends. A mistake in the
            // file is reported now rather than at the next start.
            match Settings::load(&path) {
                Ok(_) => info!("gateway: the settings were read again"),
                Err(err) => warn!("gateway: the settings were read again", kv: { error: = err }),
            }
        }
        log.flush();
    }
}

/// Returns a stop signal that is never sent, for listeners that serve until the process
/// ends.
fn never_stop() -> Stop {
    let (tx, rx) = stop();
    std::mem::forget(tx);
    rx
}
