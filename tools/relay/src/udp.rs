//! Forwarding of UDP datagrams.

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

/// Receive buffer size, large enough for any UDP datagram.
const MAX_DATAGRAM_SIZE: usize = 64 * 1024;

/// Limit of datagrams waiting for their delivery time; further ones are dropped.
const MAX_DELAYED: usize = 10_000;

/// Limit of peers, each with its own socket to the target; datagrams of further
/// peers are dropped.
const MAX_PEERS: usize = 1_000;

#[derive(Clone)]
struct Peer {
    link: Link,
    /// Socket used for this peer's traffic with the target.
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
        let buf = Vec::with_capacity(MAX_DATAGRAM_SIZE);
        let BufResult(result, bytes) = relay.listener.recv_from(buf).await;
        // An error here means that an earlier datagram could not be delivered.
        let Ok((_, from)) = result else { continue };
        let Some(peer) = get_or_add_peer(&relay, from).await else {
            relay.route.count_dropped();
            continue;
        };
        let (target, socket) = (relay.route.target(), peer.socket);
        send_delayed(
            &relay,
            &peer.link,
            Direction::ToTarget,
            socket,
            target,
            bytes,
        );
    }
}

async fn get_or_add_peer(relay: &Rc<Relay>, from: SocketAddr) -> Option<Peer> {
    if let Some(peer) = relay.peers.borrow().get(&from) {
        return Some(peer.clone());
    }
    if relay.peers.borrow().len() >= MAX_PEERS {
        return None;
    }
    let local = SocketAddr::new(relay.listener.local_addr().ok()?.ip(), 0);
    let socket = UdpSocket::bind(local).await.ok()?;
    let link = relay.route.open_link()?;
    let peer = Peer { link, socket };
    relay.peers.borrow_mut().insert(from, peer.clone());
    compio::runtime::spawn(forward_replies(relay.clone(), peer.clone(), from)).detach();
    Some(peer)
}

/// Forwards replies to the peer until its link is cut.
async fn forward_replies(relay: Rc<Relay>, peer: Peer, to: SocketAddr) {
    loop {
        let receive = pin!(peer.socket.recv_from(Vec::with_capacity(MAX_DATAGRAM_SIZE)));
        let cut = pin!(peer.link.cut.cancelled());
        match select(receive, cut).await {
            Either::Left((BufResult(Ok(_), bytes), _)) => {
                let socket = relay.listener.clone();
                send_delayed(&relay, &peer.link, Direction::ToClient, socket, to, bytes);
            }
            Either::Left((BufResult(Err(_), _), _)) => {}
            Either::Right(_) => break,
        }
    }
    relay.peers.borrow_mut().remove(&to);
    relay.route.close_link(&peer.link);
}

fn send_delayed(
    relay: &Rc<Relay>,
    link: &Link,
    direction: Direction,
    socket: UdpSocket,
    to: SocketAddr,
    bytes: Vec<u8>,
) {
    if relay.delayed.get() >= MAX_DELAYED {
        relay.route.count_dropped();
        return;
    }
    if !relay.route.admit_datagram(link) {
        return;
    }
    relay.delayed.set(relay.delayed.get() + 1);
    let (relay, deliver_at) = (relay.clone(), relay.route.delivery_time());
    compio::runtime::spawn(async move {
        sleep_until(deliver_at).await;
        relay.delayed.set(relay.delayed.get() - 1);
        relay.route.count_bytes(direction, bytes.len());
        // Send errors are ignored: UDP gives no delivery guarantee.
        let _ = socket.send_to(bytes, to).await;
    })
    .detach();
}
