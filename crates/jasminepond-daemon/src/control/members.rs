//! Membership part of the control task: datagrams and the membership view.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

use compio::{buf::BufResult, net::UdpSocket};
use futures_util::{FutureExt, select_biased};
use jasminepond_membership::{MemberState, Message, Output};
use jasminepond_types::Timestamp;
use jasminepond_wire::{MAX_DATAGRAM_BYTES, sign_datagram, verify_datagram};
use spdlog::{debug, info, warn};

use super::{Control, Event, Report, Sender};
use crate::{
    metrics::{Direction, TrafficKind},
    stop::Stop,
};

/// Receives datagrams until `stop` and forwards them to the task.
pub async fn receive(socket: Rc<UdpSocket>, tx: Sender, stop: Stop) {
    let mut stopped = std::pin::pin!(stop.wait().fuse());
    loop {
        let buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let BufResult(received, mut buf) = select_biased! {
            _ = stopped => return,
            received = socket.recv_from(buf).fuse() => received,
        };
        match received {
            Ok((len, from)) => {
                buf.truncate(len);
                let _ = tx.unbounded_send(Event::Datagram(from, buf));
            }
            // For example an ICMP port-unreachable error for an earlier datagram.
            Err(err) => debug!("membership: receiving failed: {err}"),
        }
    }
}

/// The name of a member's state in logs and on the status page.
pub fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        None => "unknown",
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Leaving) => "leaving",
        Some(MemberState::Dead) => "dead",
    }
}

impl Control {
    pub(super) fn on_datagram(&mut self, now: Timestamp, from: SocketAddr, datagram: &[u8]) {
        let traffic = self.cx.metrics.traffic();
        traffic.count(Direction::Received, TrafficKind::Membership, datagram.len());
        let message = verify_datagram(&self.cx.keys, datagram)
            .map_err(|err| err.to_string())
            .and_then(|payload| Message::decode(payload).map_err(|err| err.to_string()));
        match message {
            Ok(message) => {
                let outputs = self.membership.receive(now, from, message);
                self.perform_membership(outputs);
            }
            Err(err) => debug!("membership: datagram from {from} refused: {err}"),
        }
    }

    pub(super) fn perform_membership(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    match sign_datagram(&self.cx.keys, &message.encode()) {
                        Ok(datagram) => self.outbox.push((to, datagram)),
                        Err(err) => warn!("membership: a message was not sent: {err}"),
                    }
                }
                Output::Changed(change) => {
                    let (from, to) = (state_name(change.from), state_name(change.to));
                    info!("membership: {} was {from}, is {to}", change.instance);
                }
                Output::Report(report) => {
                    (self.cx.report)(Report::Server(report.server, report.kind));
                }
                Output::Confirmed => info!("membership: view confirmed after a pause"),
                Output::Superseded(incarnation) => {
                    (self.cx.report)(Report::Superseded(incarnation));
                }
            }
        }
    }

    /// Sends the queued datagrams.
    pub(super) async fn flush(&mut self) {
        for (to, datagram) in std::mem::take(&mut self.outbox) {
            let BufResult(sent, _) = self.socket.send_to(datagram, to).await;
            match sent {
                Ok(len) => {
                    let traffic = self.cx.metrics.traffic();
                    traffic.count(Direction::Sent, TrafficKind::Membership, len);
                }
                Err(err) => debug!("membership: sending to {to} failed: {err}"),
            }
        }
    }

    /// Reports a changed view to the other tasks.
    pub(super) fn publish(&mut self) {
        let view = self.membership.view();
        if view.generation() != self.generation {
            self.generation = view.generation();
            let mut counts: BTreeMap<&'static str, usize> = ["alive", "suspect", "leaving", "dead"]
                .map(|state| (state, 0))
                .into();
            for member in view.members() {
                *counts.entry(state_name(Some(member.state))).or_default() += 1;
            }
            self.cx.metrics.set_members(counts);
            (self.cx.report)(Report::View(view.members().into()));
        }
        let confirmed = self.membership.is_confirmed();
        if confirmed != self.confirmed {
            self.confirmed = confirmed;
            (self.cx.report)(Report::Confirmed(confirmed));
        }
    }
}
