//! Listeners and connections.

use std::{
    cell::Cell,
    collections::BTreeMap,
    convert::Infallible,
    future::pending,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use compio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::sleep_until,
};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use serde::Serialize;
use standin_http::Reservation;
use tokio_util::sync::CancellationToken;

use crate::{Options, Server, control, request};

/// Delay before retrying to bind an address that is still in use.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Listen addresses of the program.
#[derive(Debug, Clone, Serialize)]
pub struct Bound {
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Addresses of the servers, by id.
    pub servers: BTreeMap<String, SocketAddr>,
}

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub id: u64,
    /// Cancelled to cut the connection.
    pub cut: CancellationToken,
    /// When the connection cost has elapsed; `None` after the first request waited for it.
    pub ready_at: Cell<Option<Instant>>,
}

/// Binds all listeners, passes the addresses to `bound`, and serves until the process
/// ends.
///
/// # Errors
///
/// An address cannot be bound.
pub fn serve(options: Options, bound: impl FnOnce(Bound)) -> io::Result<()> {
    Runtime::new()?.block_on(serve_all(options, bound))
}

async fn serve_all(options: Options, bound: impl FnOnce(Bound)) -> io::Result<()> {
    let mut servers = Vec::new();
    let mut reservations = Vec::new();
    let mut shares: Vec<Vec<_>> = (0..options.threads.max(1)).map(|_| Vec::new()).collect();
    for (number, spec) in options.servers.into_iter().enumerate() {
        let id = spec.id.clone();
        let bind_error = |e: io::Error| io::Error::new(e.kind(), format!("server {id}: {e}"));
        let reservation = Reservation::new(spec.address).await.map_err(bind_error)?;
        let address = reservation.address();
        let listener = std::net::TcpListener::bind(address).map_err(bind_error)?;
        let server = Arc::new(Server::new(spec, address));
        let share = number % shares.len();
        shares[share].push((server.clone(), listener));
        servers.push(server);
        reservations.push(reservation);
    }
    let control = TcpListener::bind(options.control).await?;
    bound(Bound {
        control: control.local_addr()?,
        servers: servers
            .iter()
            .map(|s| (s.id.clone(), s.lock().address))
            .collect(),
    });
    for share in shares {
        std::thread::Builder::new().spawn(move || serve_share(share))?;
    }
    let servers = Rc::new(servers);
    standin_http::serve(control, move |request| {
        let servers = servers.clone();
        async move { control::handle(&servers, &request) }
    })
    .await;
    Ok(())
}

fn serve_share(share: Vec<(Arc<Server>, std::net::TcpListener)>) {
    let runtime = Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        for (server, listener) in share {
            let listener = TcpListener::from_std(listener).expect("the listener can be registered");
            compio::runtime::spawn(listen(server, listener)).detach();
        }
        pending::<()>().await;
    });
}

async fn listen(server: Arc<Server>, first: TcpListener) {
    let mut listener = Some(first);
    loop {
        let (down, up, address) = {
            let state = server.lock();
            (state.down.clone(), state.up.clone(), state.address)
        };
        if down.is_cancelled() {
            listener = None;
            up.cancelled().await;
            continue;
        }
        let Some(open) = &listener else {
            match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => compio::time::sleep(REBIND_PAUSE).await,
            }
            continue;
        };
        let accept = pin!(standin_http::accept(open));
        if let Either::Left((stream, _)) = select(accept, pin!(down.cancelled())).await {
            handle_accepted(&server, stream);
        }
    }
}

fn handle_accepted(server: &Arc<Server>, stream: TcpStream) {
    let mut state = server.lock();
    if state.take_drop(crate::Stage::BeforeRequest, "") {
        return;
    }
    let Some((id, cut)) = state.connect() else {
        return;
    };
    let cost = Duration::from_millis(state.spec.connect_cost_ms);
    drop(state);
    let connection = Connection {
        id,
        cut,
        ready_at: Cell::new(Some(Instant::now() + cost)),
    };
    compio::runtime::spawn(serve_connection(
        server.clone(),
        stream,
        Rc::new(connection),
    ))
    .detach();
}

async fn serve_connection(server: Arc<Server>, stream: TcpStream, connection: Rc<Connection>) {
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let (server, connection) = (server.clone(), connection.clone());
        async move { Ok::<_, Infallible>(request::respond(server, connection, request).await) }
    });
    let serving = http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    // An error means that the peer closed the connection; no action is needed.
    let _ = select(pin!(serving), pin!(connection.cut.cancelled())).await;
    server.lock().disconnect(connection.id);
}

/// Waits until the connection cost has elapsed.
pub(crate) async fn wait_connect_cost(connection: &Connection) {
    if let Some(ready_at) = connection.ready_at.take() {
        sleep_until(ready_at).await;
    }
}
