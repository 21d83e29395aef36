//! Selection of receivers and assembly of messages.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use jasminepond_types::{InstanceId, Timestamp};
use rand::{Rng, seq::IndexedRandom};
use serde::Serialize;

use crate::{
    Body, MAX_DATAGRAM_BYTES, Member, MemberConfig, MemberState, Membership, Message, Output,
    Record, codec::encoded_size, exchange, gossip::Fit,
};

/// Encoded size of the field names and array headers of the three lists of a
/// message.
const LIST_HEADER_BYTES: usize = 16;

/// Encoded size of the position of a record in a message.
const POSITION_BYTES: usize = 2;

/// Bytes of each datagram that member records leave free for reports while any
/// are queued.
const REPORT_BYTES: usize = 200;

/// Maximum number of configuration versions of other members per datagram. All
/// members change their revision at the same time, so the cost is bounded here
/// and not by the number of changes.
const MAX_MEMBER_CONFIGS: usize = 16;

/// Views up to this size are scanned in full to choose random members.
const SMALL_VIEW: usize = 64;

/// Number of random draws per requested member in larger views.
const PICKS_PER_MEMBER: usize = 16;

/// Bytes left in a datagram.
pub(crate) struct Room(usize);

impl Room {
    pub(crate) fn after(message: &Message) -> Self {
        let used = encoded_size(message) + LIST_HEADER_BYTES;
        Self(MAX_DATAGRAM_BYTES.saturating_sub(used))
    }

    /// Performs [`Room::take`] for a record and its position.
    pub(crate) fn take_record(&mut self, record: &Record, reserve: usize) -> bool {
        let fits = self.take(record, reserve + POSITION_BYTES);
        if fits && !record.0.reaches_servers {
            self.0 -= POSITION_BYTES;
        }
        fits
    }

    /// Deducts the size of the value if it fits with `reserve` bytes left over.
    /// Returns whether it did.
    pub(crate) fn take(&mut self, value: &impl Serialize, reserve: usize) -> bool {
        let size = encoded_size(value);
        let fits = size + reserve <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}

impl Membership {
    pub(crate) fn message(&self, body: Body) -> Message {
        Message {
            from: self.me.clone(),
            body,
            records: Vec::new(),
            configs: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// The record of a member with the time since it died or left.
    pub(crate) fn record(&self, now: Timestamp, member: &Member) -> Record {
        let since = self.gone_since.get(&member.instance);
        let age = since.map_or(0, |&at| now.since(at).as_secs());
        Record(member.clone(), u32::try_from(age).unwrap_or(u32::MAX))
    }

    pub(crate) fn send_to(
        &mut self,
        now: Timestamp,
        member: &Member,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        let mut message = self.message(body);
        // A suspected or dead member is sent its own record, so that it can
        // refute.
        if member.state != MemberState::Alive && self.is_confirmed() {
            message.records.push(self.record(now, member));
        }
        let room = Room::after(&message);
        self.fill_and_send(now, member.membership_address, message, room, out);
    }

    /// Sends to an address without requiring a known member there.
    pub(crate) fn send_to_address(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        let message = self.message(body);
        let room = Room::after(&message);
        self.fill_and_send(now, to, message, room, out);
    }

    /// Fills the remaining space of the datagram with changes and sends it.
    pub(crate) fn fill_and_send(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        mut message: Message,
        mut room: Room,
        out: &mut Vec<Output>,
    ) {
        // After a pause only this daemon's own record is known to be current.
        if self.is_confirmed() {
            self.add_records(now, &mut message, &mut room);
            self.add_reports(now, &mut message, &mut room);
            self.add_configs(&mut message, &mut room);
        }
        let message = Box::new(message);
        out.push(Output::Send { to, message });
    }

    fn add_records(&mut self, now: Timestamp, message: &mut Message, room: &mut Room) {
        let limit = self.settings.retransmit_limit(self.view.len());
        let reserve = match self.report_changes.is_empty() {
            true => 0,
            false => REPORT_BYTES,
        };
        let mut changes = std::mem::replace(
            &mut self.changes,
            crate::gossip::Queue::new(crate::gossip::Order::LeastSent),
        );
        changes.fill(limit, |instance| {
            let Some(member) = self.view.get(instance) else {
                return Fit::Stale;
            };
            // Every message contains the sender's own record.
            if *instance == self.me.instance {
                return Fit::Added;
            }
            let record = self.record(now, member);
            if !room.take_record(&record, reserve) {
                return Fit::Full;
            }
            message.records.push(record);
            Fit::Added
        });
        self.changes = changes;
    }

    fn add_reports(&mut self, now: Timestamp, message: &mut Message, room: &mut Room) {
        let limit = self.settings.retransmit_limit(self.view.len());
        let reports = &self.reports;
        self.report_changes.fill(limit, |key| {
            let Some(report) = reports.get(now, key) else {
                return Fit::Stale;
            };
            if !room.take(&report, 0) {
                return Fit::Full;
            }
            message.reports.push(report);
            Fit::Added
        });
    }

    fn add_configs(&mut self, message: &mut Message, room: &mut Room) {
        let limit = self.settings.retransmit_limit(self.view.len());
        let (view, me) = (&self.view, &self.me);
        self.config_changes.fill(limit, |instance| {
            let Some(member) = view.get(instance) else {
                return Fit::Stale;
            };
            if *instance == me.instance {
                return Fit::Stale;
            }
            let config = MemberConfig(instance.clone(), member.incarnation, member.config);
            if message.configs.len() == MAX_MEMBER_CONFIGS || !room.take(&config, 0) {
                return Fit::Full;
            }
            message.configs.push(config);
            Fit::Added
        });
    }

    /// Sends digests of the view and requests those of the receivers.
    pub(crate) fn send_summary(
        &mut self,
        now: Timestamp,
        peers: impl IntoIterator<Item = SocketAddr>,
        out: &mut Vec<Output>,
    ) {
        let buckets = exchange::summary(&self.view);
        let nonce = self.nonce;
        for peer in peers {
            let buckets = buckets.clone();
            let known = self.member_at(peer);
            let body = Body::Summary { nonce, buckets };
            match known {
                Some(member) => self.send_to(now, &member, body, out),
                None => self.send_to_address(now, peer, body, out),
            }
        }
    }

    fn member_at(&self, address: SocketAddr) -> Option<Arc<Member>> {
        let mut members = self.view.members().iter();
        members.find(|m| m.membership_address == address).cloned()
    }

    /// Up to `count` distinct random reachable members other than this daemon and
    /// `except`.
    pub(crate) fn random_members(
        &mut self,
        count: usize,
        except: Option<&InstanceId>,
    ) -> Vec<Arc<Member>> {
        let me = &self.me.instance;
        let wanted =
            |m: &&Arc<Member>| m.is_reachable() && m.instance != *me && Some(&m.instance) != except;
        let members = self.view.members();
        if members.len() <= SMALL_VIEW {
            let all: Vec<_> = members.iter().filter(wanted).collect();
            let chosen = all.choose_multiple(&mut self.rng, count);
            return chosen.map(|m| Arc::clone(m)).collect();
        }
        let mut chosen: Vec<Arc<Member>> = Vec::with_capacity(count);
        for _ in 0..count * PICKS_PER_MEMBER {
            let member = &members[self.rng.random_range(0..members.len())];
            if chosen.len() < count && wanted(&member) && !chosen.contains(member) {
                chosen.push(member.clone());
            }
        }
        chosen
    }

    pub(crate) fn random_seeds(&mut self, count: usize) -> Vec<SocketAddr> {
        let chosen = self.seeds.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
    }

    /// The address of a random dead member or of a seed at which no reachable
    /// member is known.
    pub(crate) fn unreached_address(&mut self) -> Option<SocketAddr> {
        let members = self.view.members().iter();
        let reached: BTreeSet<SocketAddr> = members
            .filter(|m| m.is_reachable())
            .map(|m| m.membership_address)
            .collect();
        let dead = self.view.in_state(MemberState::Dead);
        let dead = dead.map(|m| m.membership_address);
        let unreached: Vec<SocketAddr> = dead
            .chain(self.seeds.iter().copied())
            .filter(|a| !reached.contains(a))
            .collect();
        unreached.choose(&mut self.rng).copied()
    }
}
