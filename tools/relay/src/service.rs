//! Binding of listeners and the serving loop.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc};

use compio::{
    net::{TcpListener, UdpSocket},
    runtime::Runtime,
};
use serde::Serialize;

use crate::{Options, Protocol, RouteSpec, control, route::Route, tcp, udp};

/// Addresses on which the program listens.
#[derive(Debug, Clone, Serialize)]
pub struct Bound {
    /// Control endpoint.
    pub control: SocketAddr,
    /// Routes by id.
    pub routes: BTreeMap<String, SocketAddr>,
}

pub(crate) enum Listener {
    Tcp(TcpListener),
    Udp(UdpSocket),
}

/// Binds every route, passes the addresses to `on_bound`, and serves until the
/// process ends.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn serve(options: Options, on_bound: impl FnOnce(Bound)) -> io::Result<()> {
    Runtime::new()?.block_on(async {
        let mut routes = Vec::new();
        for spec in options.routes {
            let (route, listener) = bind(spec).await?;
            start(route.clone(), listener);
            routes.push(route);
        }
        let control = TcpListener::bind(options.control).await?;
        on_bound(Bound {
            control: control.local_addr()?,
            routes: routes.iter().map(|r| (r.id(), r.address())).collect(),
        });
        let routes = Rc::new(RefCell::new(routes));
        standin_http::serve(control, move |request| {
            control::handle(routes.clone(), request)
        })
        .await;
        Ok(())
    })
}

pub(crate) async fn bind(spec: RouteSpec) -> io::Result<(Route, Listener)> {
    let (listener, address) = match spec.protocol {
        Protocol::Tcp => {
            let listener = TcpListener::bind(spec.listen).await?;
            let address = listener.local_addr()?;
            (Listener::Tcp(listener), address)
        }
        Protocol::Udp => {
            let socket = UdpSocket::bind(spec.listen).await?;
            let address = socket.local_addr()?;
            (Listener::Udp(socket), address)
        }
    };
    Ok((Route::new(spec, address), listener))
}

pub(crate) fn start(route: Route, listener: Listener) {
    match listener {
        Listener::Tcp(listener) => compio::runtime::spawn(tcp::listen(route, listener)).detach(),
        Listener::Udp(socket) => compio::runtime::spawn(udp::listen(route, socket)).detach(),
    }
}
