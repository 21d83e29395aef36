//! Handling datagrams.

use std::net::SocketAddr;

use bytes::Bytes;
use jasminepond_types::{InstanceId, Timestamp};
use rand::seq::SliceRandom;

use crate::{
    Body, Member, MemberState, Membership, Message, Output, Record,
    exchange::{self, Pull, PullStep},
    learn::Spread,
    send::Room,
};

impl Membership {
    /// Takes a datagram that arrived from an authenticated daemon.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        let sender = message.from.clone();
        if sender.instance == self.me.instance {
            self.learn(now, Record(sender, 0), Spread::Yes, &mut out);
            return out;
        }
        self.learn(now, Record(sender.clone(), 0), Spread::Yes, &mut out);
        let last = message.records.last().map(|r| r.0.instance.clone());
        let piece = matches!(message.body, Body::PullReply { .. });
        let full = piece && self.pull.as_ref().is_some_and(|p| p.full);
        for record in message.records {
            // Who joins has nothing to tell. Later a suspicion must reach the suspect.
            let known = !self.joined || record.0.state == MemberState::Alive;
            let spread = match full && known {
                true => Spread::No,
                false => Spread::Yes,
            };
            self.learn(now, record, spread, &mut out);
        }
        for note in &message.configs {
            self.learn_config(note);
        }
        for report in message.reports {
            if self.learn_report(now, &report) {
                out.push(Output::Report(report));
            }
        }
        self.handle(now, from, &sender, message.body, last, &mut out);
        self.tell_sender(now, from, sender, &mut out);
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
                self.probe_for(now, from, sequence, target, out);
            }
            Body::Ack { sequence, target } => self.acked(now, sender, sequence, target, out),
            Body::Summary { nonce, buckets } => self.compare(now, from, nonce, &buckets, out),
            Body::SummaryReply {
                nonce,
                buckets,
                confirmed,
            } => {
                let usable = confirmed || !self.waits_for_confirmed(now);
                if nonce == self.nonce && usable {
                    self.compared(now, from, &buckets, out);
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
                self.take_piece(now, from, (nonce, bucket), done, last, out);
            }
        }
    }

    fn probe_for(
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
        let own = self.probes.relay(now, target.clone(), origin, sequence);
        let body = Body::Probe {
            sequence: own,
            target,
        };
        self.send_to(now, &member, body, out);
    }

    fn acked(
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

    /// Whether an answer from a member that was itself paused does not count.
    /// If all were paused together they have to do with each other's answers.
    fn waits_for_confirmed(&self, now: Timestamp) -> bool {
        let patience = self.settings.suspicion_timeout(self.view.len());
        let since = self.unconfirmed_since;
        since.is_some_and(|at| now.since(at) < patience)
    }

    fn compare(
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
        // A daemon that is itself looking for a view pulls from those that
        // answer its own question.
        if self.joined && confirmed {
            let differing = exchange::differing(&ours, theirs);
            self.start_pull(now, from, differing, out);
        }
    }

    fn compared(
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

    /// Sends the questions of the pull that are due.
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
            PullStep::Ask(questions) => {
                for question in questions {
                    let known =
                        exchange::known(&self.view, question.bucket, question.after.as_ref());
                    let body = Body::Pull {
                        nonce,
                        bucket: question.bucket,
                        after: question.after,
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
        // After a pause the other records are not passed on.
        if self.is_confirmed() {
            for member in exchange::lacking(&self.view, bucket, after.as_ref(), known) {
                let record = self.record(now, member);
                if !room.take(&record, 0) {
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

    fn take_piece(
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
            pull.answered(bucket, done, last);
            self.step_pull(now, out);
        }
    }

    /// A daemon that speaks but is believed dead or suspect is told, so that
    /// it can refute.
    fn tell_sender(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        sender: Member,
        out: &mut Vec<Output>,
    ) {
        let known = self.view.get(&sender.instance).map(|m| self.record(now, m));
        let buried = self.tombstones.rank(&sender.instance);
        let record = match (known, buried) {
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
