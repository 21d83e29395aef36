//! Choosing receivers and building datagrams.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use jasminepond_types::{InstanceId, Timestamp};
use rand::{Rng, seq::IndexedRandom};
use serde::Serialize;

use crate::{
    Body, MAX_DATAGRAM_BYTES, Member, MemberConfig, MemberState, Membership, Message, Output,
    Record, codec::encoded_size, exchange, gossip::Fit,
};

/// Field names and array headers of the three lists of a message.
const LIST_HEADER_BYTES: usize = 16;

/// Part of a datagram that changes of members leave to reports.
const REPORT_BYTES: usize = 200;

/// Revisions of other members per datagram. Every member changes its revision
/// at once, so that this, and not the number of changes, bounds their cost.
const MAX_CONFIG_NOTES: usize = 16;

/// Views up to this size are searched for random members as a whole.
const SMALL_VIEW: usize = 64;

/// Random picks per wanted member in larger views.
const PICKS_PER_MEMBER: usize = 16;

/// Bytes left in a datagram.
pub(crate) struct Room(usize);

impl Room {
    pub(crate) fn after(message: &Message) -> Self {
        let used = encoded_size(message) + LIST_HEADER_BYTES;
        Self(MAX_DATAGRAM_BYTES.saturating_sub(used))
    }

    /// Whether the value fits beside `reserve` bytes; if so it is accounted.
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

    /// A member's record with the time since it died or left.
    pub(crate) fn record(&self, now: Timestamp, member: &Member) -> Record {
        let since = self.gone.get(&member.instance);
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
        // A member that is suspected or dead hears it first from us.
        if member.state != MemberState::Alive && self.is_confirmed() {
            message.records.push(self.record(now, member));
        }
        let room = Room::after(&message);
        self.finish(now, member.membership_address, message, room, out);
    }

    /// Sends to an address, whoever is there.
    pub(crate) fn send_to_address(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        let message = self.message(body);
        let room = Room::after(&message);
        self.finish(now, to, message, room, out);
    }

    /// Fills the rest of the datagram with changes and sends it.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        mut message: Message,
        mut room: Room,
        out: &mut Vec<Output>,
    ) {
        // After a pause only this daemon's own record is certain.
        if self.is_confirmed() {
            self.add_records(now, &mut message, &mut room);
            self.add_reports(now, &mut message, &mut room);
            self.add_configs(&mut message, &mut room);
        }
        let message = Box::new(message);
        out.push(Output::Send { to, message });
    }

    fn add_records(&mut self, now: Timestamp, message: &mut Message, room: &mut Room) {
        let limit = self.settings.transmissions(self.view.len());
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
                return Fit::Gone;
            };
            // The sender's own record is in every message.
            if *instance == self.me.instance {
                return Fit::Put;
            }
            let record = self.record(now, member);
            if !room.take(&record, reserve) {
                return Fit::Full;
            }
            message.records.push(record);
            Fit::Put
        });
        self.changes = changes;
    }

    fn add_reports(&mut self, now: Timestamp, message: &mut Message, room: &mut Room) {
        let limit = self.settings.transmissions(self.view.len());
        let reports = &self.reports;
        self.report_changes.fill(limit, |key| {
            let Some(report) = reports.get(now, key) else {
                return Fit::Gone;
            };
            if !room.take(&report, 0) {
                return Fit::Full;
            }
            message.reports.push(report);
            Fit::Put
        });
    }

    fn add_configs(&mut self, message: &mut Message, room: &mut Room) {
        let limit = self.settings.transmissions(self.view.len());
        let (view, me) = (&self.view, &self.me);
        self.config_changes.fill(limit, |instance| {
            let Some(member) = view.get(instance) else {
                return Fit::Gone;
            };
            if *instance == me.instance {
                return Fit::Gone;
            }
            let note = MemberConfig(instance.clone(), member.incarnation, member.config);
            if message.configs.len() == MAX_CONFIG_NOTES || !room.take(&note, 0) {
                return Fit::Full;
            }
            message.configs.push(note);
            Fit::Put
        });
    }

    /// Sends digests of the view and asks for the receivers'.
    pub(crate) fn summarise_to(
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

    /// Different reachable members other than this daemon and `except`.
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

    /// The address of a random dead member or of a seed that is no member.
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
