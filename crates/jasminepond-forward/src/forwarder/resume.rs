//! Searches that other daemons answer in part first and complete later.
//!
//! A daemon that handles a part of a search answers shortly before the objective with what it
//! has. If all parts together do not reach the coverage, the search is late, but its caller
//! still waits: the rest is then asked for at the same daemon, whose calls are in progress.

use std::time::Duration;

use jasminepond_types::Timestamp;
use slotmap::KeyData;

use super::Forwarder;
use crate::{
    message::{Action, Answer, ReqKey, SearchId, Verdict},
    request::{Part, PartState, Req},
    service::ServiceKey,
    timers::Timer,
};

/// Time before the deadline of a search within which the rest is not asked for.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Maximum number of parts of one search that ask for a rest.
const MAX_RESUMES: usize = 24;

/// Maximum number of searches whose calls are kept for later. Each takes a few kilobytes.
const MAX_PARKED: usize = 1_000;

impl Forwarder {
    /// Indexes of the shards that a search still waits for.
    pub(super) fn unfinished_shards(&self, req: &Req) -> Vec<usize> {
        if !req.resumable {
            return Vec::new();
        }
        let index = |part: &Part| {
            let mut shards = req.route.shards().iter();
            shards.position(|shard| *shard == part.service)
        };
        let open = req.parts.iter().filter(|part| part.is_local_and_open());
        open.filter_map(index).collect()
    }

    /// Answers a delegated search in part and keeps its calls in progress. Parts that were not
    /// sent yet are withdrawn.
    pub(super) fn park(&mut self, now: Timestamp, key: ReqKey, answer: Answer, verdict: Verdict) {
        let id = self.parked_id(key);
        let Some(id) = id.filter(|_| self.parked.len() < MAX_PARKED) else {
            return self.finish(now, key, Some(answer), verdict);
        };
        let summary = self.summary(now, &self.reqs[key], verdict);
        self.unqueue_all(key);
        let req = &mut self.reqs[key];
        req.parked = true;
        for part in req.parts.iter_mut().filter(|part| part.is_waiting()) {
            part.state = PartState::Held;
        }
        self.parked.insert(id, key);
        self.actions.push_back(Action::Answer {
            req: key,
            answer: Some(answer),
            summary,
        });
    }

    /// Id of a search that is answered in part: no two parts of it have a shard in common.
    fn parked_id(&self, key: ReqKey) -> Option<(SearchId, ServiceKey)> {
        let req = &self.reqs[key];
        Some((req.search, req.parts.first()?.service))
    }

    /// Forgets a search that was answered in part.
    pub(super) fn unpark(&mut self, key: ReqKey) {
        self.unqueue_all(key);
        let id = self.parked_id(key);
        if let Some(req) = self.reqs.remove(key) {
            if let Some(id) = id
                && self.parked.get(&id) == Some(&key)
            {
                self.parked.remove(&id);
            }
            self.keep_request_answered(&req);
        }
    }

    /// Takes the search that was answered in part and of which a request asks for the rest.
    fn take_parked(&mut self, key: ReqKey) -> Option<Req> {
        let req = &self.reqs[key];
        let (search, fingerprint) = (req.search, req.fingerprint);
        let shard = req.parts.first()?.service;
        let range = (search, ServiceKey::from(KeyData::from_ffi(0)))
            ..=(search, ServiceKey::from(KeyData::from_ffi(u64::MAX)));
        let has_shard = |parked: &Req| parked.parts.iter().any(|part| part.service == shard);
        let mut found = self.parked.range(range);
        let (id, parked) = found.find(|(_, parked)| {
            let parked = self.reqs.get(**parked);
            // A caller may use a request id twice at the same time.
            parked.is_some_and(|parked| has_shard(parked) && parked.fingerprint == fingerprint)
        })?;
        let (id, parked) = (*id, *parked);
        self.parked.remove(&id);
        self.reqs.remove(parked)
    }

    /// Continues a search that was answered in part, as a request for the shards of `key`.
    /// Refuses it as not run if nothing is known of it. A shard that is not part of it is not
    /// asked: other servers may have run its part.
    pub(super) fn complete_parked(&mut self, now: Timestamp, key: ReqKey) {
        let Some(parked) = self.take_parked(key) else {
            return self.refuse(now, key, jasminepond_types::ErrorKind::NoBackend, None);
        };
        for index in 0..self.reqs[key].parts.len() {
            let service = self.reqs[key].parts[index].service;
            if !parked.parts.iter().any(|part| part.service == service) {
                self.mark_missing(key, index, "unknown");
            }
        }
        for mut part in parked.parts {
            let req = &mut self.reqs[key];
            let same = |other: &Part| other.service == part.service;
            let Some(index) = req.parts.iter().position(same) else {
                continue;
            };
            match &part.state {
                PartState::Done(_) => req.done += part.weight,
                PartState::Missing(_) => req.missing += part.weight,
                PartState::Held if part.calls.is_empty() => part.state = PartState::Waiting,
                _ => {}
            }
            for call in &part.calls {
                if let Some(call) = self.calls.get_mut(*call) {
                    (call.req, call.part) = (key, index);
                }
            }
            req.parts[index] = part;
        }
        let req = &mut self.reqs[key];
        (req.answered, req.past_answer_by) = (parked.answered, true);
        // Searches that can still be in time go first.
        (req.late, req.resumed) = (true, true);
        // Slow calls were not hedged in the meantime.
        let calls: Vec<_> = req
            .parts
            .iter()
            .flat_map(|part| part.calls.clone())
            .collect();
        for call in calls {
            self.timers.set(now, Timer::Hedge(call));
        }
        self.timers.set(req.deadline, Timer::Deadline(key));
        let waiting = |part: &Part| part.is_waiting() && part.calls.is_empty();
        let unsent: Vec<_> = (0..req.parts.len())
            .filter(|index| waiting(&req.parts[*index]))
            .collect();
        for index in unsent {
            match self.reqs[key].parts[index].sends {
                0 => self.place(now, key, index),
                // Its call was lost in the meantime.
                _ => self.retry_part(now, key, index, "connection_lost"),
            }
        }
        self.settle(now, key);
    }

    /// Asks other daemons for the rest of a search that cannot reach its coverage with what
    /// they have returned. Returns whether there is something to wait for.
    pub(super) fn ask_for_rest(&mut self, now: Timestamp, key: ReqKey) -> bool {
        let req = &mut self.reqs[key];
        let asked = req.parts.iter().filter(|part| part.resumes.is_some());
        if now + MIN_TIME_LEFT >= req.deadline || asked.count() >= MAX_RESUMES {
            return false;
        }
        let mut rest = Vec::new();
        for part in &mut req.parts {
            let PartState::Done(reply) = &mut part.state else {
                continue;
            };
            let unfinished = reply.peer.as_mut().map(|peer| &mut peer.unfinished);
            let unfinished = unfinished.map(std::mem::take).unwrap_or_default();
            let helper = part.tried.last().copied();
            if let Some(helper) = helper.filter(|_| !unfinished.is_empty()) {
                rest.push((part.service, helper, unfinished));
            }
        }
        let found: usize = rest.iter().map(|(.., shards)| shards.len()).sum();
        if req.shards - req.missing + found < req.min_shards || rest.is_empty() {
            return false;
        }
        req.past_answer_by = true;
        let first = req.parts.len();
        for (service, helper, shards) in rest {
            req.missing = req.missing.saturating_sub(shards.len());
            let mut part = Part::delegated(service, shards.into());
            part.resumes = Some(helper);
            part.repeat = true;
            req.parts.push(part);
        }
        for index in first..self.reqs[key].parts.len() {
            self.place(now, key, index);
        }
        true
    }
}
