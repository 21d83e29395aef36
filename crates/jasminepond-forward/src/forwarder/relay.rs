//! Requests that other daemons send on, because this one has no path to the servers.
//!
//! A request takes one more hop at most: a daemon that receives it from another one sends
//! it to a backend server or refuses it.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_routes::ServiceName;
use jasminepond_types::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    Forwarder, Peer,
    delegate::{MAX_HELPERS_TRIED, peer_entry},
};
use crate::{
    message::{Backend, DelegatedPart, ReqKey, Scope},
    request::{Delegated, Part, PartState, Req},
    server::{Server, Standing},
    service::ServiceKey,
};

/// Name of the internal service whose servers are the daemons that send requests on. No
/// service of a release has such a name.
pub(super) const RELAYS: &str = "\0relays";

/// Maximum number of daemons that send requests of this one on, about half of them in its
/// availability zone.
const MAX_RELAYS: usize = 8;

/// Maximum number of daemons that are tried in turn for one request without contact. When a
/// partition begins, some of them do not know yet that they are partitioned as well.
const MAX_RELAYS_TRIED: u32 = 4;

/// Time for which a service is not relayed again after other daemons had no server for it.
const REFUSED_TIME: Duration = Duration::from_secs(1);

impl Forwarder {
    /// Entries of the daemons that send requests of this one on. Daemons choose different
    /// ones, so that those of a partitioned zone spread their load.
    pub(super) fn relay_entries(&self) -> Vec<Backend> {
        let seed = xxh3_64(self.settings.instance.as_bytes());
        let weight = |peer: &&Peer| xxh3_64_with_seed(peer.instance.as_bytes(), seed);
        let usable = |peer: &&Peer| peer.running && peer.reaches_servers;
        let mut peers: Vec<_> = self.peers.iter().filter(usable).collect();
        peers.sort_by_key(weight);
        let near = |peer: &&Peer| peer.zone == self.settings.zone;
        let (near, mut others): (Vec<_>, Vec<_>) = peers.into_iter().partition(near);
        let (first, rest) = near.split_at(near.len().min(MAX_RELAYS / 2));
        others.extend(rest);
        let chosen = first.iter().chain(&others).take(MAX_RELAYS);
        chosen
            .map(|peer| peer_entry(RELAYS.into(), "relay", peer))
            .collect()
    }

    pub(super) fn relays(&mut self) -> ServiceKey {
        self.service(&RELAYS.into())
    }

    /// Whether another daemon should be asked for a service, since this one reaches none of
    /// its servers. Servers that stop or want no requests for a time get none through other
    /// daemons either.
    pub(super) fn needs_relay(&self, now: Timestamp, service: ServiceKey) -> bool {
        if self.contact.is_lost() {
            return true;
        }
        let servers = &self.services[service].servers;
        let mut servers = servers.iter().map(|key| &self.servers[*key]);
        let used = |server: &Server| server.standing(now, &self.settings).is_some();
        let reached = |server: &Server| used(server) && server.may_be_reached();
        let wanted = |server: &Server| server.wants_requests(now) && !server.may_be_reached();
        !servers.clone().any(reached) && servers.any(wanted)
    }

    /// Whether another daemon can be asked for a service.
    pub(super) fn can_relay(&self, now: Timestamp, service: ServiceKey) -> bool {
        let refused = now < self.services[service].relay_refused_until;
        let relays = self.services_by_name.get(&ServiceName::from(RELAYS));
        // A daemon may be slow because of the servers, so it is used if there is no other.
        let answers = |key: &crate::ServerKey| {
            let standing = self.servers[*key].standing(now, &self.settings);
            standing.is_some_and(|standing| standing <= Standing::Stalled)
        };
        let mut relays = relays
            .into_iter()
            .flat_map(|key| &self.services[*key].servers);
        !refused && relays.any(answers)
    }

    /// Lets another daemon send a part on that this one cannot send. Returns whether it does.
    pub(super) fn relay_part(&mut self, now: Timestamp, key: ReqKey, index: usize) -> bool {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let Some(attempts) = self.attempts_left(req, part) else {
            return false;
        };
        let wanted = self.needs_relay(now, part.service) && self.can_relay(now, part.service);
        if req.from_peer || !wanted || now >= req.deadline {
            return false;
        }
        let Some(delegated) = as_delegated(req, part) else {
            return false;
        };
        let relays = self.relays();
        self.unqueue(key, index);
        let part = &mut self.reqs[key].parts[index];
        part.repeat = part.runs > 0;
        part.max_attempts = attempts;
        part.delegated = Some(delegated);
        part.service = relays;
        self.place(now, key, index);
        true
    }

    /// Number of servers to which other daemons may send a part, or `None` if it must not be
    /// sent again.
    fn attempts_left(&self, req: &Req, part: &Part) -> Option<u32> {
        let servers = self.services[part.service].servers.len();
        match part.runs {
            0 => Some(req.max_attempts),
            _ if !req.route.may_repeat() => None,
            // All servers of the service together are within the limit.
            _ if servers <= req.max_attempts as usize => Some(req.max_attempts),
            runs => Some(req.max_attempts.saturating_sub(runs)).filter(|left| *left > 0),
        }
    }

    /// Lets other daemons send on all parts of requests in progress, after this one has lost
    /// contact. Parts that other daemons delegated to it are given up: those daemons ask
    /// others.
    pub(super) fn relay_requests(&mut self, now: Timestamp) {
        let reqs: Vec<_> = self.reqs.keys().collect();
        for key in reqs {
            if self.reqs[key].from_peer {
                self.give_up_parts(key);
            } else if self.reqs[key].route.is_search() {
                self.relay_shards(now, key);
            } else if self.reqs[key].parts.first().is_some_and(is_local) {
                self.relay_part(now, key, 0);
            }
            self.settle(now, key);
        }
    }

    fn give_up_parts(&mut self, key: ReqKey) {
        for index in 0..self.reqs[key].parts.len() {
            self.mark_missing(key, index, "no_contact");
        }
    }

    /// Combines the open parts of a search into one for each group of helpers, or into one
    /// for another daemon if searches are not divided.
    fn relay_shards(&mut self, now: Timestamp, key: ReqKey) {
        let relays = self.relays();
        let mut combined: BTreeMap<(ServiceKey, bool), (Vec<usize>, u32)> = BTreeMap::new();
        for index in 0..self.reqs[key].parts.len() {
            let req = &self.reqs[key];
            let part = &req.parts[index];
            let service = part.service;
            let (Some(attempts), true) = (self.attempts_left(req, part), is_local(part)) else {
                continue;
            };
            let Some(shard) = req.route.shards().iter().position(|s| *s == service) else {
                continue;
            };
            let sent = part.runs > 0;
            let group = self.services[service].group;
            let group = group.map(|group| self.group_service(group));
            let to = match group {
                Some(group) if self.has_helper(now, group) => group,
                _ if self.can_relay(now, service) => relays,
                _ => continue,
            };
            let (shards, fewest) = combined.entry((to, sent)).or_insert((Vec::new(), attempts));
            shards.push(shard);
            *fewest = attempts.min(*fewest);
            self.unqueue(key, index);
            self.reqs[key].parts[index].hand_over();
        }
        for ((to, sent), (shards, attempts)) in combined {
            let parts = &mut self.reqs[key].parts;
            let index = parts.len();
            parts.push(Part {
                repeat: sent,
                max_attempts: attempts,
                ..Part::delegated(to, shards.into())
            });
            self.place(now, key, index);
        }
    }

    /// Whether a request comes from a daemon that reaches no server for it, and not from one
    /// that divides its searches.
    pub(super) fn is_relayed_here(&self, delegated: &DelegatedPart) -> bool {
        delegated.scope == Scope::Whole || !self.shard_groups.is_divided()
    }

    /// Maximum number of daemons that are tried in turn for a part.
    pub(super) fn max_tried(&self, part: &Part) -> u32 {
        match self.is_relayed(part) && self.contact.is_lost() {
            true => MAX_RELAYS_TRIED,
            false => MAX_HELPERS_TRIED,
        }
    }

    /// Remembers that another daemon had no server either for the services of a part.
    pub(super) fn on_relay_refused(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        if self.contact.is_lost() {
            return;
        }
        for service in self.services_of(key, index) {
            self.services[service].relay_refused_until = now + REFUSED_TIME;
        }
    }

    /// Services of a delegated part.
    pub(super) fn services_of(&self, key: ReqKey, index: usize) -> Vec<ServiceKey> {
        let req = &self.reqs[key];
        match &req.parts[index].delegated {
            Some(Delegated::Shards(shards)) => {
                let known = shards
                    .iter()
                    .filter_map(|shard| req.route.shards().get(*shard));
                known.copied().collect()
            }
            Some(Delegated::Whole(service)) => vec![*service],
            None => vec![req.parts[index].service],
        }
    }

    pub(super) fn is_relayed(&self, part: &Part) -> bool {
        self.services[part.service].is_relays
    }
}

fn is_local(part: &Part) -> bool {
    part.is_open() && part.delegated.is_none()
}

fn as_delegated(req: &Req, part: &Part) -> Option<Delegated> {
    if !req.route.is_search() {
        return Some(Delegated::Whole(part.service));
    }
    let shard = req.route.shards().iter().position(|s| *s == part.service)?;
    Some(Delegated::Shards([shard].into()))
}

impl Part {
    /// Marks a part as handled by a part that is added.
    pub(super) fn hand_over(&mut self) {
        self.state = PartState::Missing("taken_over");
        self.weight = 0;
    }
}
