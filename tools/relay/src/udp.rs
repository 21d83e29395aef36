//! UDP datagrams.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use compio::{BufResult, net::UdpSocket, time::sleep_until};
use futures_util::future::{Either, select};

use crate::route::{Direction, Link, Route};

/// Largest datagram.
const DATAGRAM: usize = 64 * 1024;

/// Datagrams delayed at the same time; more are lost.
const MAX_DELAYED: usize = 10_000;

/// Peers with a socket towards the target; datagrams of more peers are lost.
const MAX_PEERS: usize = 1_000;

#[derive(Clone)]
struct Peer {
    link: Link,
    /// Socket towards the target.
    socket: UdpSocket,
}

struct Relay {
    route: Route,
    listener: UdpSocket,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    delayed: Cell<usize>,
}

pub(crate) async fn listen(route: Route, listener: UdpSocket) {
    let relay = Rc::new(Relay {
        route,
        listener,
        peers: RefCell::default(),
        delayed: Cell::new(0),
    });
    loop {
        let buf = Vec::with_capacity(DATAGRAM);
        let BufResult(result, bytes) = relay.listener.recv_from(buf).await;
        // An error here reports an earlier datagram that could not be delivered.
        let Ok((_, from)) = result else { continue };
        let Some(peer) = peer(&relay, from).await else {
            relay.route.count_drop();
            continue;
        };
        let (target, socket) = (relay.route.target(), peer.socket);
        deliver(
            &relay,
            &peer.link,
            Direction::ToTarget,
            socket,
            target,
            bytes,
        );
    }
}

async fn peer(relay: &Rc<Relay>, from: SocketAddr) -> Option<Peer> {
    if let Some(peer) = relay.peers.borrow().get(&from) {
        return Some(peer.clone());
    }
    if relay.peers.borrow().len() >= MAX_PEERS {
        return None;
    }
    let local = SocketAddr::new(relay.listener.local_addr().ok()?.ip(), 0);
    let socket = UdpSocket::bind(local).await.ok()?;
    let link = relay.route.open()?;
    let peer = Peer { link, socket };
    relay.peers.borrow_mut().insert(from, peer.clone());
    compio::runtime::spawn(back(relay.clone(), peer.clone(), from)).detach();
    Some(peer)
}

/// Passes replies until the peer's link is cut.
async fn back(relay: Rc<Relay>, peer: Peer, to: SocketAddr) {
    loop {
        let receive = pin!(peer.socket.recv_from(Vec::with_capacity(DATAGRAM)));
        let cut = pin!(peer.link.cut.cancelled());
        match select(receive, cut).await {
            Either::Left((BufResult(Ok(_), bytes), _)) => {
                let socket = relay.listener.clone();
                deliver(&relay, &peer.link, Direction::Back, socket, to, bytes);
            }
            Either::Left((BufResult(Err(_), _), _)) => {}
            Either::Right(_) => break,
        }
    }
    relay.peers.borrow_mut().remove(&to);
    relay.route.close(&peer.link);
}

fn deliver(
    relay: &Rc<Relay>,
    link: &Link,
    direction: Direction,
    socket: UdpSocket,
    to: SocketAddr,
    bytes: Vec<u8>,
) {
    if relay.delayed.get() >= MAX_DELAYED {
        relay.route.count_drop();
        return;
    }
    if !relay.route.passes(link) {
        return;
    }
    relay.delayed.set(relay.delayed.get() + 1);
    let (relay, due) = (relay.clone(), relay.route.due());
    compio::runtime::spawn(async move {
        sleep_until(due).await;
        relay.delayed.set(relay.delayed.get() - 1);
        relay.route.count_bytes(direction, bytes.len());
        // A datagram that cannot be sent is lost, as on any network.
        let _ = socket.send_to(bytes, to).await;
    })
    .detach();
}
