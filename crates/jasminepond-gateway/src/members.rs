//! Task that tracks the other daemons.
//!
//! Daemons find each other by the membership protocol. The number of daemons determines
//! each daemon's share of connections and repeated sends. A wrong number leads to
//! connections that a server rejects, but breaks no guarantee to callers.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use compio::{buf::BufResult, net::UdpSocket};
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select_biased};
use jasminepond_daemon::{clock::Clock, stop::Stop};
use jasminepond_discovery::Fleet;
use jasminepond_forward::{Cluster, Peer};
use jasminepond_membership::{LocalMember, MemberState, Membership, Message, Output, Settings};
use jasminepond_quarantine::Message as Evidence;
use jasminepond_ratelimit::Message as LimitMessage;
use jasminepond_types::{InstanceId, Timestamp};
use spdlog::{debug, info};

use crate::hub::{Datagram, Hub};

/// Receive buffer size. The protocol's datagrams stay below the usual path MTU.
const MAX_DATAGRAM_BYTES: usize = 1_500;

/// Time without a new daemon after which the member list is considered complete. It covers
/// several round trips; a daemon learns of all others from any one of them.
const SETTLE_TIME: Duration = Duration::from_millis(40);

/// Minimum time between two updates of the forwarder. If hundreds of daemons start at the
/// same time, the member list changes hundreds of times, and each update redistributes all
/// shards.
const APPLY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the member list is used even if it is still growing. Traffic starts
/// ten seconds after the instances.
const SETTLE_LIMIT: Duration = Duration::from_millis(3_000);

/// The daemons, in an order that all daemons share.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// Index of this daemon.
    pub rank: usize,
    /// Whether each daemon is considered alive.
    pub running: Vec<bool>,
    /// Whether each daemon is considered alive and is not suspected of having failed.
    pub usable: Vec<bool>,
    /// Address of each daemon for calls of other daemons.
    pub addresses: Vec<SocketAddr>,
}

/// Runs the membership protocol and passes the member list to the forwarder.
pub struct MembershipTask {
    /// Instance of this daemon.
    pub instance: InstanceId,
    /// State machine of the protocol.
    pub membership: Membership,
    /// UDP socket of the protocol.
    pub socket: Rc<UdpSocket>,
    /// Clock of the protocol.
    pub clock: Clock,
    /// Passes the member list to the forwarder.
    pub hub: Rc<Hub>,
    /// The daemons, for the task that reads the store.
    pub members: Rc<RefCell<Members>>,
    /// Set once the member list is considered complete.
    pub settled: Rc<Cell<bool>>,
    /// Signal that this daemon is about to stop.
    pub leaving: Stop,
}

/// Creates the state machine of this daemon, with the seeds as first contacts.
pub fn membership(me: LocalMember, seeds: &[SocketAddr]) -> Membership {
    let seed = me.incarnation.0;
    let own = me.membership_address;
    let mut membership = Membership::new(Settings::default(), me, seed);
    membership.set_seeds(seeds.iter().copied().filter(|seed| *seed != own));
    membership
}

/// Limit on queued datagrams. Further ones are dropped; the protocol tolerates loss.
const MAX_QUEUED_DATAGRAMS: usize = 1_024;

async fn receive(socket: Rc<UdpSocket>, mut tx: mpsc::Sender<(SocketAddr, Vec<u8>)>) {
    loop {
        let buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let BufResult(received, mut buf) = socket.recv_from(buf).await;
        match received {
            Ok((len, from)) => {
                buf.truncate(len);
                if tx
                    .try_send((from, buf))
                    .is_err_and(|err| err.is_disconnected())
                {
                    return;
                }
            }
            // For example an ICMP error for a datagram sent earlier.
            Err(err) => debug!("membership: receiving failed", kv: { error: = err }),
        }
    }
}

/// Sends queued datagrams. The forwarder sends none while it executes its actions, so that
/// no request waits for the socket.
async fn send(socket: Rc<UdpSocket>, mut rx: mpsc::Receiver<Datagram>) {
    while let Some((to, bytes)) = rx.next().await {
        let BufResult(sent, _) = socket.send_to(bytes, to).await;
        if let Err(err) = sent {
            debug!("limits: sending failed", kv: { to:, error: = err });
        }
    }
}

impl Members {
    /// Returns the daemons for the selection of a source.
    pub fn fleet(&self) -> Fleet<'_> {
        Fleet {
            addresses: &self.addresses,
            usable: &self.usable,
            rank: self.rank,
        }
    }
}

impl MembershipTask {
    /// Runs the protocol until the process ends.
    pub async fn run(mut self) {
        let (tx, mut rx) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
        compio::runtime::spawn(receive(self.socket.clone(), tx)).detach();
        let (outgoing, queued) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
        compio::runtime::spawn(send(self.socket.clone(), queued)).detach();
        self.hub.set_datagrams(outgoing);
        let (contact, mut contact_changes) = mpsc::unbounded();
        self.hub.set_contact_listener(contact);
        let started = self.clock.now();
        let mut known = 0;
        let mut changed = started;
        let mut applied: Option<Timestamp> = None;
        let leaving = self.leaving.clone();
        let mut leave = std::pin::pin!(leaving.wait().fuse());
        let mut cluster = None;
        let mut generation = None;
        loop {
            let now = self.clock.now();
            let outputs = self.membership.tick(now);
            self.perform(outputs).await;
            let members = self.membership.view().len();
            if members != known {
                (known, changed) = (members, now);
                if applied.is_none() {
                    *self.members.borrow_mut() = self.members();
                }
            }
            let settled = now.since(changed) >= SETTLE_TIME && known > 1;
            let due = match applied {
                Some(at) => now.since(at) >= APPLY_INTERVAL,
                None => settled || now.since(started) >= SETTLE_LIMIT,
            };
            let view = self.membership.view().generation();
            if due && (generation != Some(view) || applied.is_none()) {
                generation = Some(view);
                applied = Some(now);
                self.apply(&mut cluster);
            }
            let next = self.membership.next_tick();
            let next = match applied {
                Some(at) if generation != Some(view) => next.min(at + APPLY_INTERVAL),
                Some(_) => next,
                None => next.min(changed + SETTLE_TIME).min(started + SETTLE_LIMIT),
            };
            let wait = next.since(self.clock.now()).max(MIN_WAIT);
            let datagram = select_biased! {
                _ = leave => {
                    self.hub.change(|forwarder, _| forwarder.set_leaving());
                    let outputs = self.membership.leave(self.clock.now());
                    self.perform(outputs).await;
                    None
                }
                reaches = contact_changes.next().fuse() => {
                    if let Some(reaches) = reaches {
                        let now = self.clock.now();
                        let outputs = self.membership.set_reaches_servers(now, reaches);
                        self.perform(outputs).await;
                    }
                    None
                }
                datagram = rx.next().fuse() => datagram,
                _ = std::pin::pin!(compio::time::sleep(wait).fuse()) => None,
            };
            if let Some((from, bytes)) = datagram {
                self.receive(from, &bytes).await;
            }
        }
    }

    /// Passes the current member list to the forwarder.
    fn apply(&mut self, known: &mut Option<(Cluster, usize)>) {
        let current = self.cluster();
        *self.members.borrow_mut() = self.members();
        self.settled.set(true);
        let peers = self.peers();
        self.hub
            .change(|forwarder, now| forwarder.set_daemons(now, current, peers));
        let members = self.membership.view().members();
        let without_servers = members
            .iter()
            .filter(|member| member.is_reachable() && !member.reaches_servers)
            .count();
        let current = (current, without_servers);
        if known.replace(current) != Some(current) {
            let Cluster { daemons, rank } = current.0;
            info!("membership: daemons", kv: { daemons, rank, without_servers });
        }
    }

    async fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now: Timestamp = self.clock.now();
        if LimitMessage::is_encoded(bytes) {
            return self.receive_limit(from, bytes);
        }
        if Evidence::is_encoded(bytes) {
            return self.receive_evidence(from, bytes);
        }
        match Message::decode(bytes) {
            Ok(message) => {
                let outputs = self.membership.receive(now, from, message);
                self.perform(outputs).await;
            }
            Err(err) => debug!("membership: datagram refused", kv: { from:, error: = err }),
        }
    }

    fn receive_limit(&self, from: SocketAddr, bytes: &[u8]) {
        match LimitMessage::decode(bytes) {
            Ok(message) => self
                .hub
                .change(|forwarder, now| forwarder.receive_limit_message(now, from, message)),
            Err(err) => debug!("limits: datagram refused", kv: { from:, error: = err }),
        }
    }

    fn receive_evidence(&self, from: SocketAddr, bytes: &[u8]) {
        match Evidence::decode(bytes) {
            Ok(message) => self
                .hub
                .change(|forwarder, now| forwarder.receive_evidence(now, from, &message)),
            Err(err) => debug!("suspects: datagram refused", kv: { from:, error: = err }),
        }
    }

    async fn perform(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let BufResult(sent, _) = self.socket.send_to(message.encode(), to).await;
                    if let Err(err) = sent {
                        debug!("membership: sending failed", kv: { to:, error: = err });
                    }
                }
                Output::Changed(change) => {
                    let name = |state| jasminepond_daemon::control::state_name(state);
                    info!("membership: a daemon changed", kv: {
                        daemon: = change.instance,
                        was = name(change.from),
                        is = name(change.to),
                    });
                }
                Output::Superseded(incarnation) => {
                    info!("membership: another run of this instance is known", kv: { incarnation: = incarnation });
                }
                Output::Report(_) | Output::Confirmed => {}
            }
        }
    }

    fn members(&self) -> Members {
        let members = self.membership.view().members();
        Members {
            rank: self.cluster().rank as usize,
            running: members.iter().map(|member| member.is_reachable()).collect(),
            usable: members
                .iter()
                .map(|member| member.state == MemberState::Alive)
                .collect(),
            addresses: members.iter().map(|member| member.peer_address).collect(),
        }
    }

    fn peers(&self) -> Vec<Peer> {
        let members = self.membership.view().members().iter().zip(0..);
        let others = members.filter(|(member, _)| member.instance != self.instance);
        others
            .map(|(member, rank)| Peer {
                instance: member.instance.as_str().into(),
                address: member.peer_address,
                zone: member.zone.to_string(),
                processor: member.processor,
                rank,
                running: member.is_reachable(),
                reaches_servers: member.reaches_servers,
            })
            .collect()
    }

    /// Returns the number of known daemons and this daemon's rank. Daemons that are down are
    /// counted: most of them return, and changing ranks would cost connections.
    fn cluster(&self) -> Cluster {
        let members = self.membership.view().members();
        let before = members
            .iter()
            .filter(|member| member.instance < self.instance);
        Cluster {
            daemons: u32::try_from(members.len()).unwrap_or(u32::MAX).max(1),
            rank: u32::try_from(before.count()).unwrap_or(0),
        }
    }
}

/// Minimum wait, so that a timer that stays due does not cause a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);
