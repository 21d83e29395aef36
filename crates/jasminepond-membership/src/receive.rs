//! Handling of received messages.

use std::net::SocketAddr;

use bytes::Bytes;
use jasminepond_types::{InstanceId, Timestamp};
use rand::seq::SliceRandom;

use crate::{
    Body, Member, MemberState, Membership, Message, Output, Record,
    exchange::{self, Pull, PullStep},
    merge::Spread,
    send::Room,
};

impl Membership {
    /// Handles a message from an authenticated daemon.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        let sender = message.from.clone();
        if sender.instance == self.me.instance {
            self.merge_record(now, Record(sender, 0), Spread::Yes, &mut out);
            return out;
        }
        self.merge_record(now, Record(sender.clone(), 0), Spread::Yes, &mut out);
        let last = message.records.last().map(|r| r.0.instance.clone());
        let is_pull_reply = matches!(message.body, Body::PullReply { .. });
        let full_pull = is_pull_reply && self.pull.as_ref().is_some_and(|p| p.full);
        for record in message.records {
            // The other members already have the records that a joining daemon pulls.
            // Once joined, it disseminates records of members that are not alive, so that
            // a suspect can refute.
            let widely_known = !self.joined || record.0.state == MemberState::Alive;
            let spread = match full_pull && widely_known {
                true => Spread::No,
                false => Spread::Yes,
            };
            self.merge_record(now, record, spread, &mut out);
        }
        for config in &message.configs {
            self.merge_config(config);
        }
        for report in message.reports {
            if self.merge_report(now, &report) {
                out.push(Output::Report(report));
            }
        }
        self.handle(now, from, &sender, message.body, last, &mut out);
        self.correct_sender(now, from, sender, &mut out);
        out
    }

    fn handle(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: &Member,
        body: Body,
        last: Option<InstanceId>,
        out: &mut Vec<Output>,
    ) {
        match body {
            Body::Gossip => {}
            Body::Probe { sequence, target } => {
                let body = match target == self.me.instance {
                    true => Body::Ack { sequence, target },
                    false => Body::Gossip,
                };
                self.send_to_address(now, from, body, out);
            }
            Body::IndirectProbe { sequence, target } => {
                self.relay_probe(now, from, sequence, target, out);
            }
            Body::Ack { sequence, target } => self.handle_ack(now, sender, sequence, target, out),
            Body::Summary { nonce, buckets } => {
                self.answer_summary(now, from, nonce, &buckets, out)
            }
            Body::SummaryReply {
                nonce,
                buckets,
                confirmed,
            } => {
                let usable = confirmed || !self.requires_confirmed_peer(now);
                if nonce == self.nonce && usable {
                    self.handle_summary_reply(now, from, &buckets, out);
                }
            }
            Body::Pull {
                nonce,
                bucket,
                after,
                known,
            } => {
                self.answer_pull(now, from, (nonce, bucket), after, &known, out);
            }
            Body::PullReply {
                nonce,
                bucket,
                done,
            } => {
                self.handle_pull_reply(now, from, (nonce, bucket), done, last, out);
            }
        }
    }

    fn relay_probe(
        &mut self,
        now: Timestamp,
        origin: SocketAddr,
        sequence: u32,
        target: InstanceId,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.view.get(&target).cloned() else {
            return;
        };
        let relay_sequence = self.probes.relay(now, target.clone(), origin, sequence);
        let body = Body::Probe {
            sequence: relay_sequence,
            target,
        };
        self.send_to(now, &member, body, out);
    }

    fn handle_ack(
        &mut self,
        now: Timestamp,
        sender: &Member,
        sequence: u32,
        target: InstanceId,
        out: &mut Vec<Output>,
    ) {
        let current = self.probes.current.as_ref();
        if current.is_some_and(|p| p.sequence == sequence && p.target == target) {
            self.probes.current = None;
            return;
        }
        if sender.instance == target
            && let Some(relay) = self.probes.take_relay(sequence, &target)
        {
            let sequence = relay.sequence;
            self.send_to_address(now, relay.origin, Body::Ack { sequence, target }, out);
        }
    }

    /// Whether summary replies from members with an unconfirmed view are ignored. This
    /// holds for at most one suspicion timeout: if all members were paused together,
    /// only members with an unconfirmed view can reply.
    fn requires_confirmed_peer(&self, now: Timestamp) -> bool {
        let timeout = self.settings.suspicion_timeout(self.view.len());
        let since = self.unconfirmed_since;
        since.is_some_and(|at| now.since(at) < timeout)
    }

    fn answer_summary(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        nonce: u32,
        theirs: &Bytes,
        out: &mut Vec<Output>,
    ) {
        let ours = exchange::summary(&self.view);
        let buckets = match ours == *theirs {
            true => Bytes::new(),
            false => ours.clone(),
        };
        let confirmed = self.is_confirmed();
        let body = Body::SummaryReply {
            nonce,
            buckets,
            confirmed,
        };
        self.send_to_address(now, from, body, out);
        // A daemon whose own view is incomplete or unconfirmed pulls only from members
        // that reply to its own summary.
        if self.joined && confirmed {
            let differing = exchange::differing(&ours, theirs);
            self.start_pull(now, from, differing, out);
        }
    }

    fn handle_summary_reply(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        theirs: &Bytes,
        out: &mut Vec<Output>,
    ) {
        let ours = exchange::summary(&self.view);
        let differing = exchange::differing(&ours, theirs);
        if differing.is_empty() {
            self.confirm(now, out);
        } else {
            self.start_pull(now, from, differing, out);
        }
    }

    fn start_pull(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        mut buckets: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        if self.pull.is_some() || buckets.is_empty() {
            return;
        }
        let full = !self.joined || !self.is_confirmed() || self.is_settling();
        if !full {
            buckets.shuffle(&mut self.rng);
            buckets.truncate(self.settings.exchange_buckets);
        }
        self.pull = Some(Pull::new(from, self.nonce, full, buckets));
        self.step_pull(now, out);
    }

    /// Sends the requests of the current pull that are due.
    pub(crate) fn step_pull(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        let (peer, nonce, full) = (pull.peer, pull.nonce, pull.full);
        match pull.step(now, self.settings.probe_timeout) {
            PullStep::Wait => {}
            PullStep::Failed => self.pull = None,
            PullStep::Done => {
                self.pull = None;
                if full {
                    self.confirm(now, out);
                }
            }
            PullStep::Send(requests) => {
                for request in requests {
                    let known = exchange::known(&self.view, request.bucket, request.after.as_ref());
                    let body = Body::Pull {
                        nonce,
                        bucket: request.bucket,
                        after: request.after,
                        known,
                    };
                    self.send_to_address(now, peer, body, out);
                }
            }
        }
    }

    fn answer_pull(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        (nonce, bucket): (u32, u8),
        after: Option<InstanceId>,
        known: &Bytes,
        out: &mut Vec<Output>,
    ) {
        let done = true;
        let mut message = self.message(Body::PullReply {
            nonce,
            bucket,
            done,
        });
        let mut room = Room::after(&message);
        // After a pause the records of other members are stale and not sent.
        if self.is_confirmed() {
            for member in exchange::missing(&self.view, bucket, after.as_ref(), known) {
                let record = self.record(now, member);
                if !room.take_record(&record, 0) {
                    let done = false;
                    message.body = Body::PullReply {
                        nonce,
                        bucket,
                        done,
                    };
                    break;
                }
                message.records.push(record);
            }
        }
        let message = Box::new(message);
        out.push(Output::Send { to: from, message });
    }

    fn handle_pull_reply(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        (nonce, bucket): (u32, u8),
        done: bool,
        last: Option<InstanceId>,
        out: &mut Vec<Output>,
    ) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        if pull.peer == from && pull.nonce == nonce {
            pull.on_reply(bucket, done, last);
            self.step_pull(now, out);
        }
    }

    /// Sends the known record back to a sender that is recorded as suspect or dead,
    /// or has been removed from the view, so that it can refute.
    fn correct_sender(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: Member,
        out: &mut Vec<Output>,
    ) {
        let known = self.view.get(&sender.instance).map(|m| self.record(now, m));
        let tombstone_rank = self.tombstones.rank(&sender.instance);
        let record = match (known, tombstone_rank) {
            (Some(known), _) if known.0.rank() > sender.rank() => known,
            (None, Some(rank)) if rank >= sender.rank() && sender.state == MemberState::Alive => {
                Record(
                    Member {
                        incarnation: rank.incarnation(),
                        refutation: rank.refutation(),
                        state: MemberState::Dead,
                        ..sender
                    },
                    0,
                )
            }
            _ => return,
        };
        if self.is_confirmed() {
            let mut message = self.message(Body::Gossip);
            message.records.push(record);
            let message = Box::new(message);
            out.push(Output::Send { to: from, message });
        }
    }
}
