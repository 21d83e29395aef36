//! Requests that are suspected of ending the servers that run them.
//!
//! A connection that ends during a call may be that of a server that was ended by the request,
//! that failed by itself, or that runs and has closed one connection. A new connection tells
//! whether the server runs. Until then, and as long as no other server has answered, the request
//! is sent to no further server. An answer of any server clears it.
//!
//! A search that is answered by some shards may still end the servers of another one. Its part
//! for that shard is then suspected on its own, and left out if it has to be.

use std::{net::SocketAddr, time::Duration};

use jasminepond_quarantine::{Admission, Change, Fingerprint, Message, Report, State};
use jasminepond_ratelimit::ProcessId;
use jasminepond_types::{ErrorKind, Millis, Timestamp};

use super::{ConnState, Forwarder, RETRY_AFTER_DEFAULT};
use crate::{
    contact::Failure,
    message::{Action, CallKey, EvidenceSource, Reply, ReqKey, RetryAfter},
    request::{Delegated, Part, PartState, Req, Trial},
    server::ServerKey,
    timers::Timer,
};

/// Time after which a server whose connections ended counts as running if it is still not known
/// whether it does. Longer than an attempt to connect takes.
const CUT_MEMORY: Duration = Duration::from_secs(1);

/// Time after which servers that refuse connections do not count as ended if no other server has
/// responded to what began later: this daemon has probably lost its links. Covers a probe.
const LINKS_WAIT: Duration = Duration::from_millis(40);

/// Number of servers that are probed to find out whether this daemon has lost its links.
const LINK_PROBES: usize = 2;

/// Longest time by which the answer to a request without success is delayed until it is known
/// whether its servers have ended. Covers a round trip to another region. The caller may come
/// back at once, and other daemons should know by then.
const VERDICT_WAIT: Duration = Duration::from_millis(20);

/// Number of servers that must remain for a service when one of them gets a trial.
const SPARE_SERVERS: usize = 1;

/// Share of the parts of a request whose servers have ended from which its calls in progress are
/// aborted. With fewer, an answer that clears it may be on its way.
const ABORT_SHARE: f64 = 0.5;

/// Smallest number of ended servers from which calls in progress are aborted.
const ABORT_ENDS: u32 = 3;

/// Reason for a missing part of a request that was given up.
pub(super) const SUSPECTED: &str = "suspected";

/// A call whose connection ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct CutCall {
    server: ServerKey,
    process: ProcessId,
    fingerprint: Fingerprint,
    req: ReqKey,
    in_trial: bool,
    at: Timestamp,
    /// Whether the request is sent to no further server because of it.
    restrains: bool,
    /// Whether the server accepts no new connection.
    refused: bool,
}

/// What to do with a request that is sent to no further server.
enum NextStep {
    /// Its calls in progress, or whether servers run, decide.
    Wait,
    /// Send its parts as usual.
    Resume,
    /// Send this part only.
    Try(usize),
    /// Answer the caller without success.
    GiveUp,
}

impl Forwarder {
    /// Refuses a request that is held, and arranges a trial of one that is suspected.
    pub(super) fn refuse_suspect(&mut self, now: Timestamp, key: ReqKey) -> bool {
        let req = &self.reqs[key];
        if self.quarantine.is_empty() || req.admitted {
            return false;
        }
        let fingerprint = req.fingerprint;
        let retry_in = match self.quarantine.admission(now, fingerprint) {
            Admission::Free => return false,
            Admission::Trial => match self.trial_part(now, key) {
                Some(part) => {
                    self.begin_trial(now, key, part);
                    return false;
                }
                None => RETRY_AFTER_DEFAULT,
            },
            Admission::Held { retry_in } => retry_in,
        };
        self.quarantine.refused(fingerprint);
        self.reqs[key].given_up = true;
        let retry_after = Some(Millis::from(retry_in));
        self.refuse(now, key, ErrorKind::Quarantined, retry_after);
        true
    }

    /// Refuses a request that was given up without having run.
    pub(super) fn refuse_given_up(&mut self, now: Timestamp, key: ReqKey) {
        let req = &self.reqs[key];
        let retry_in = match self.quarantine.admission(now, req.fingerprint) {
            Admission::Held { retry_in } => retry_in,
            Admission::Free | Admission::Trial => RETRY_AFTER_DEFAULT,
        };
        let retry_after = Some(Millis::from(retry_in.max(req.retry_after)));
        self.refuse(now, key, ErrorKind::Quarantined, retry_after);
    }

    /// Part of a request for a trial: one whose service has the most usable servers, and has
    /// others left if this one ends.
    fn trial_part(&mut self, now: Timestamp, key: ReqKey) -> Option<usize> {
        let req = &self.reqs[key];
        let sendable = |part: &Part| {
            part.is_open()
                && (part.runs == 0 || req.route.may_repeat() && part.runs < req.max_attempts)
        };
        let usable = |(index, part): (usize, &Part)| {
            let usable = self.untried_servers(now, part);
            self.has_spare_server(now, part).then_some((usable, index))
        };
        let parts = req.parts.iter().enumerate();
        let parts = parts.filter(|(_, part)| sendable(part));
        let (local, delegated): (Vec<_>, Vec<_>) =
            parts.partition(|(_, part)| part.delegated.is_none());
        // The first one of equals.
        let best = local.into_iter().filter_map(usable);
        let best = best.max_by_key(|(usable, index)| (*usable, std::cmp::Reverse(*index)));
        if let Some((_, index)) = best {
            return Some(index);
        }
        let unsent = delegated
            .into_iter()
            .find(|(_, part)| part.delegations == 0);
        let index = unsent.map(|(index, _)| index)?;
        Some(self.split_off_shard(key, index))
    }

    /// Divides a delegated part of a search that was not sent, so that one part has one shard.
    /// Returns its index.
    fn split_off_shard(&mut self, key: ReqKey, index: usize) -> usize {
        let parts = &mut self.reqs[key].parts;
        let part = &mut parts[index];
        let service = part.service;
        match &part.delegated {
            Some(Delegated::Shards(shards)) if shards.len() > 1 => {
                let (first, rest) = (shards[0], shards[1..].into());
                *part = Part::delegated(service, rest);
                parts.push(Part::delegated(service, [first].into()));
                parts.len() - 1
            }
            _ => index,
        }
    }

    fn begin_trial(&mut self, now: Timestamp, key: ReqKey, part: usize) {
        let req = &mut self.reqs[key];
        (req.cut, req.ended) = (0, 0);
        req.trial = Some(Trial {
            part,
            runs_before: req.parts[part].runs,
        });
        let change = self.quarantine.begin_trial(now, req.fingerprint);
        self.on_suspect_change(now, change, EvidenceSource::Own);
    }

    /// Handles the end of a connection during a call, before the call is settled.
    pub(super) fn observe_cut_call(&mut self, now: Timestamp, key: CallKey) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let (req, key, in_trial) = (call.req, call.server, call.in_trial);
        let answered = call.request_answered || self.reqs.get(req).is_some_and(|req| req.answered);
        // A server that stops as announced closes its connections at the end.
        let stopping = |key: ServerKey| self.servers[key].leaving_since.is_some();
        if call.delegated || !self.is_known(key) || stopping(key) {
            return;
        }
        let is_search = call.route.is_search();
        let of_part = |req: &Req| req.parts[call.part].in_trial;
        let of_part = is_search && (answered || self.reqs.get(req).is_some_and(of_part));
        let (fingerprint, restrains) = match of_part {
            _ if answered && !is_search => return,
            true => (self.part_fingerprint(call.fingerprint, key), false),
            false => (call.fingerprint, self.restrains(call.fingerprint, req)),
        };
        self.cut_calls.push(CutCall {
            server: key,
            process: self.servers[key].process,
            fingerprint,
            req,
            in_trial,
            at: now,
            restrains,
            refused: false,
        });
        self.timers.set(now + CUT_MEMORY, Timer::Cut);
        self.timers.set(now + LINKS_WAIT, Timer::Cut);
        self.timers.set(now + VERDICT_WAIT, Timer::Verdict(req));
        if let Some(state) = self.reqs.get_mut(req).filter(|_| restrains) {
            // The first end does not restrain a request with a single part. From the second one on
            // the answer waits for both: a caller that has it earlier comes back before the request
            // is suspected.
            let of_req = |cut: &&mut CutCall| cut.req == req && cut.fingerprint == fingerprint;
            for cut in self.cut_calls.iter_mut().filter(of_req) {
                state.cut += u32::from(!cut.restrains);
                cut.restrains = true;
            }
            state.cut += 1;
            self.hold_waiting(req);
        }
        let probed = self.servers[key].conns.iter().any(|conn| {
            let conn = &self.conns[*conn];
            conn.state == ConnState::Opening && conn.opened >= now
        });
        // The next request finds out otherwise.
        if !probed && !of_part && self.servers[key].access.is_open(now) {
            self.start_connection(now, key);
        }
    }

    /// Whether a request is sent to no further server after a connection has ended. One with a
    /// single part may be sent once more: it is suspected from the second end on.
    fn restrains(&self, fingerprint: Fingerprint, key: ReqKey) -> bool {
        let equal = |cut: &CutCall| cut.fingerprint == fingerprint;
        let is_first = !self.quarantine.is_known(fingerprint) && !self.cut_calls.iter().any(equal);
        let req = self.reqs.get(key);
        req.is_none_or(|req| req.parts.len() > 1 || req.trial.is_some()) || !is_first
    }

    /// Handles that a server accepts a connection that was begun at `since`: the calls whose
    /// connections ended before say nothing about their requests.
    pub(super) fn on_server_runs(&mut self, now: Timestamp, key: ServerKey, since: Timestamp) {
        self.settle_cut_calls(now, |cut| {
            cut.server == key && cut.at <= since && !cut.refused
        });
    }

    /// Whether the answer to a request waits for whether its servers have ended.
    pub(super) fn awaits_verdict(&self, now: Timestamp, req: &Req) -> bool {
        let is_recent =
            |cut: &CutCall| cut.fingerprint == req.fingerprint && now.since(cut.at) < VERDICT_WAIT;
        let waits = !req.answered && req.cut > req.ended && now < req.deadline;
        waits && self.cut_calls.iter().any(is_recent)
    }

    /// Gives up waiting for whether servers have ended, and for whether this daemon reaches
    /// others.
    pub(super) fn expire_cut_calls(&mut self, now: Timestamp) {
        let wait = |cut: &CutCall| if cut.refused { LINKS_WAIT } else { CUT_MEMORY };
        self.settle_cut_calls(now, |cut| now.since(cut.at) >= wait(cut));
    }

    fn settle_cut_calls(&mut self, now: Timestamp, settled: impl Fn(&CutCall) -> bool) {
        let (settled, rest) = self.cut_calls.iter().copied().partition(settled);
        self.cut_calls = rest;
        let settled: Vec<CutCall> = settled;
        for cut in settled {
            if let Some(req) = self.reqs.get_mut(cut.req).filter(|_| cut.restrains) {
                req.cut = req.cut.saturating_sub(1);
                match req.is_restrained() {
                    true => self.review_request(now, cut.req),
                    false => {
                        self.resume(now, cut.req);
                        self.settle(now, cut.req);
                    }
                }
            }
        }
    }

    /// Handles that a server refuses a connection that was begun at `since`, or does not respond.
    pub(super) fn on_server_refuses(&mut self, now: Timestamp, key: ServerKey, since: Timestamp) {
        let mut ended = None;
        for cut in &mut self.cut_calls {
            if cut.server == key && cut.at <= since && !cut.refused {
                cut.refused = true;
                ended = ended.max(Some(cut.at));
            }
        }
        if let Some(at) = ended {
            // Connections that are still open may be reset as well once they are used.
            self.observe_silence(now, key, at, Failure::Unanswered);
        }
        self.confirm_ended_servers(now);
        let unconfirmed = self.cut_calls.iter().filter(|cut| cut.refused);
        let newest = unconfirmed.map(|cut| cut.at).max();
        if newest.is_some_and(|at| self.links_probed_at <= at) {
            self.links_probed_at = now;
            self.probe_servers(now, LINK_PROBES);
        }
    }

    /// Records the servers that have ended, once another server shows that it is not this daemon
    /// that has lost its links.
    pub(super) fn confirm_ended_servers(&mut self, now: Timestamp) {
        if self.cut_calls.is_empty() || self.contact.is_lost() {
            return;
        }
        let confirmed = |cut: &CutCall| cut.refused && self.contact.reaches_since(cut.at);
        let (confirmed, rest): (Vec<_>, Vec<_>) =
            self.cut_calls.iter().partition(|cut| confirmed(cut));
        self.cut_calls = rest;
        for cut in confirmed {
            let process = cut.process.hash();
            let of_part = self.part_fingerprint(cut.fingerprint, cut.server);
            if let Some(req) = self.reqs.get_mut(cut.req).filter(|_| cut.restrains) {
                req.ended += 1;
                req.ends.push((of_part, process));
            }
            let change = self
                .quarantine
                .server_ended(now, cut.fingerprint, process, cut.in_trial);
            self.on_suspect_change(now, change, EvidenceSource::Own);
            self.review_request(now, cut.req);
        }
    }

    /// Forgets the connections that ended, because this daemon has lost its links.
    pub(super) fn forget_cut_calls(&mut self) {
        for cut in std::mem::take(&mut self.cut_calls) {
            if let Some(req) = self.reqs.get_mut(cut.req) {
                (req.cut, req.ended) = (0, 0);
            }
        }
    }

    /// Fingerprint of the part of a request that a server runs.
    fn part_fingerprint(&self, fingerprint: Fingerprint, server: ServerKey) -> Fingerprint {
        let service = self.servers.get(server).map(|server| server.service);
        service.map_or(fingerprint, |service| {
            fingerprint.of_part(self.services[service].name.as_str())
        })
    }

    /// Whether a part of a search may be sent to the servers of its service.
    pub(super) fn admit_part(&mut self, now: Timestamp, key: ReqKey, index: usize) -> bool {
        let req = &self.reqs[key];
        let part = &req.parts[index];
        let is_own = part.delegated.is_none() && req.route.is_search();
        if self.quarantine.is_empty() || !is_own || part.in_trial {
            return true;
        }
        let service = &self.services[part.service];
        let fingerprint = req.fingerprint.of_part(service.name.as_str());
        match self.quarantine.admission(now, fingerprint) {
            Admission::Free => true,
            Admission::Held { .. } => false,
            Admission::Trial if !self.has_spare_server(now, part) => false,
            Admission::Trial => {
                self.reqs[key].parts[index].in_trial = true;
                let change = self.quarantine.begin_trial(now, fingerprint);
                self.on_suspect_change(now, change, EvidenceSource::Own);
                true
            }
        }
    }

    /// Whether the service of a part has a server left if one of its servers ends.
    fn has_spare_server(&self, now: Timestamp, part: &Part) -> bool {
        let servers = self.services[part.service].servers.len();
        self.untried_servers(now, part) >= (SPARE_SERVERS + 1).min(servers).max(1)
    }

    /// Number of usable servers that have not received a part. One that has may still end.
    fn untried_servers(&self, now: Timestamp, part: &Part) -> usize {
        let servers = self.services[part.service].servers.iter();
        let untried = servers.filter(|key| !part.tried.contains(key));
        let usable =
            untried.filter(|key| self.servers[**key].standing(now, &self.settings).is_some());
        usable.count()
    }

    /// Takes what ended for the fault of single parts, since another part is answered.
    fn attribute_to_parts(&mut self, now: Timestamp, key: ReqKey) {
        let req = &mut self.reqs[key];
        if !req.route.is_search() {
            return self.cut_calls.retain(|cut| cut.req != key);
        }
        for (fingerprint, process) in std::mem::take(&mut req.ends) {
            let change = self
                .quarantine
                .server_ended(now, fingerprint, process, false);
            self.on_suspect_change(now, change, EvidenceSource::Own);
        }
        for at in 0..self.cut_calls.len() {
            let cut = self.cut_calls[at];
            if cut.req == key && cut.restrains {
                let fingerprint = self.part_fingerprint(cut.fingerprint, cut.server);
                let cut = &mut self.cut_calls[at];
                (cut.fingerprint, cut.restrains) = (fingerprint, false);
            }
        }
    }

    /// Handles the answer of a server to a part.
    pub(super) fn on_part_answered(&mut self, now: Timestamp, key: ReqKey, index: usize) {
        if !self.quarantine.is_empty() {
            let req = &self.reqs[key];
            let part = &req.parts[index];
            let name = &self.services[part.service].name;
            let fingerprint = req.fingerprint.of_part(name.as_str());
            let change = self.quarantine.answered(now, fingerprint);
            self.on_suspect_change(now, change, EvidenceSource::Own);
        }
        self.attribute_to_parts(now, key);
        let req = &mut self.reqs[key];
        let restrained = req.is_restrained();
        req.admitted |= restrained;
        req.answered = true;
        (req.cut, req.ended) = (0, 0);
        let fingerprint = req.fingerprint;
        let change = self.quarantine.answered(now, fingerprint);
        self.on_suspect_change(now, change, EvidenceSource::Own);
        if restrained {
            self.resume(now, key);
        }
    }

    /// Keeps in the calls of a request that ends whether it was answered.
    pub(super) fn keep_request_answered(&mut self, req: &Req) {
        for call in req.parts.iter().flat_map(|part| &part.calls) {
            if let Some(call) = self.calls.get_mut(*call) {
                call.request_answered = req.answered;
            }
        }
    }

    /// Sends the parts of a request that were held.
    fn resume(&mut self, now: Timestamp, key: ReqKey) {
        for index in 0..self.reqs[key].parts.len() {
            let part = &self.reqs[key].parts[index];
            if !matches!(part.state, PartState::Held) {
                continue;
            }
            match (&part.delegated, part.sends) {
                (_, 0) => self.place(now, key, index),
                (Some(_), _) => self.retry_delegated(now, key, index),
                (None, _) => self.retry_part(now, key, index, "connection_lost"),
            }
        }
    }

    /// Decides about a request that is sent to no further server.
    pub(super) fn review_request(&mut self, now: Timestamp, key: ReqKey) {
        let next_step = match self.reqs.get(key) {
            Some(req) if req.is_restrained() => self.next_step(now, key),
            _ => return,
        };
        match next_step {
            NextStep::Wait => {}
            NextStep::Resume => {
                let req = &mut self.reqs[key];
                (req.cut, req.ended) = (0, 0);
                self.resume(now, key);
            }
            NextStep::Try(part) => {
                self.begin_trial(now, key, part);
                if self.take_token(now, key, part) {
                    self.place(now, key, part);
                }
            }
            NextStep::GiveUp => self.give_up(now, key),
        }
        self.settle(now, key);
    }

    fn next_step(&mut self, now: Timestamp, key: ReqKey) -> NextStep {
        if self.reqs[key].has_ended_most() {
            self.abort_calls(now, key);
        }
        let req = &self.reqs[key];
        let in_progress = |part: &Part| matches!(part.state, PartState::Waiting | PartState::Sent);
        if req.cut > req.ended || req.parts.iter().any(in_progress) {
            return NextStep::Wait;
        }
        if req.trial.is_some() {
            return NextStep::GiveUp;
        }
        match self.quarantine.admission(now, req.fingerprint) {
            Admission::Free => NextStep::Resume,
            // The daemon that was asked first may know of answers to other parts.
            Admission::Trial if req.from_peer => NextStep::GiveUp,
            Admission::Trial => match self.trial_part(now, key) {
                Some(part) => NextStep::Try(part),
                None => NextStep::GiveUp,
            },
            Admission::Held { .. } => NextStep::GiveUp,
        }
    }

    fn give_up(&mut self, now: Timestamp, key: ReqKey) {
        self.abort_calls(now, key);
        let req = &mut self.reqs[key];
        req.given_up = true;
        self.quarantine.refused(req.fingerprint);
        for index in 0..self.reqs[key].parts.len() {
            self.mark_missing(key, index, SUSPECTED);
        }
    }

    /// Aborts the calls of a request, so that servers which have not ended yet stop their work.
    pub(super) fn abort_calls(&mut self, now: Timestamp, key: ReqKey) {
        let parts = &self.reqs[key].parts;
        let calls: Vec<_> = parts.iter().flat_map(|part| part.calls.clone()).collect();
        for call in calls {
            let Some(call) = self.take_call(call) else {
                continue;
            };
            self.abort_conn(now, call.conn);
            let part = &mut self.reqs[key].parts[call.part];
            if part.is_open() {
                part.state = PartState::Held;
            }
            if self.is_known(call.server) {
                self.preconnect(now, call.server);
            }
        }
    }

    /// Handles what has changed about a request: aborts its calls if it is held.
    fn on_suspect_change(
        &mut self,
        now: Timestamp,
        change: Option<Change>,
        source: EvidenceSource,
    ) {
        if let Some(change) = change {
            if change.from.max(change.to) >= State::Suspected {
                self.actions
                    .push_back(Action::LogSuspect { change, source });
            }
            self.stop_suspect(now, change);
        }
        self.tell_others(now);
    }

    /// Aborts the calls in progress of a request that is held and that no server has answered.
    fn stop_suspect(&mut self, now: Timestamp, change: Change) {
        if change.to != State::Held {
            return;
        }
        let stopped = |req: &Req| {
            // Aborting a request that may run once only would leave its effect unknown.
            let is_it = req.fingerprint == change.fingerprint && req.route.may_repeat();
            is_it && !req.answered && !req.in_trial()
        };
        let reqs = self.reqs.iter().filter(|(_, req)| stopped(req));
        let reqs: Vec<_> = reqs.map(|(key, _)| key).collect();
        for key in reqs {
            self.stop(now, key);
        }
    }

    fn stop(&mut self, now: Timestamp, key: ReqKey) {
        self.abort_calls(now, key);
        let req = &mut self.reqs[key];
        // A request that was stopped because of other daemons has ended no server itself.
        if req.cut == 0 {
            (req.cut, req.ended) = (1, 1);
        }
        self.hold_waiting(key);
        self.review_request(now, key);
    }

    /// Handles that another daemon presumes of a part that it ends servers.
    pub(super) fn on_peer_suspects(
        &mut self,
        now: Timestamp,
        key: ReqKey,
        index: usize,
        reply: &Reply,
    ) {
        let req = &mut self.reqs[key];
        if let Some(RetryAfter::Wait(wait)) = reply.retry_after {
            req.retry_after = req.retry_after.max(wait);
        }
        if req.answered {
            req.admitted = true;
            return self.retry_delegated(now, key, index);
        }
        req.cut += 1;
        req.ended += 1;
        req.parts[index].state = PartState::Held;
    }

    /// Sends the messages about suspected requests that are due.
    pub(super) fn tell_others(&mut self, now: Timestamp) {
        if self.quarantine_tick.is_some_and(|at| at <= now) {
            self.quarantine_tick = None;
        }
        if self.quarantine.next_tick().is_some_and(|at| at <= now) {
            for (to, message) in self.quarantine.tick(now) {
                self.actions.push_back(Action::SendEvidence { to, message });
            }
        }
        if let Some(next) = self.quarantine.next_tick()
            && self.quarantine_tick.is_none_or(|at| next < at)
        {
            self.quarantine_tick = Some(next);
            self.timers.set(next, Timer::Quarantine);
        }
    }

    /// Passes the running daemons on to the quarantine.
    pub(super) fn set_quarantine_peers(&mut self) {
        let running = self.peers.iter().filter(|peer| peer.running);
        let peers = running.map(|peer| peer.address).collect();
        self.quarantine.set_peers(peers);
    }

    /// Handles a message about suspected requests from another daemon.
    pub fn receive_evidence(&mut self, now: Timestamp, from: SocketAddr, message: &Message) {
        for change in self.quarantine.receive(now, from, message) {
            self.on_suspect_change(now, Some(change), EvidenceSource::Peer(from));
        }
        self.tell_others(now);
    }

    /// The requests that are suspected of ending servers, for operators.
    pub fn suspect_reports(&self, now: Timestamp) -> Vec<Report> {
        self.quarantine.reports(now)
    }

    /// Numbers of requests that are suspected, and of those that are held.
    pub fn suspect_counts(&self, now: Timestamp) -> (usize, usize) {
        let count = |state| self.quarantine.count(now, state);
        (count(State::Suspected), count(State::Held))
    }

    /// Lets a suspected request be sent again, at all daemons. Returns whether it was known.
    pub fn release_request(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let change = self.quarantine.release(now, fingerprint);
        self.on_suspect_change(now, change, EvidenceSource::Operator);
        change.is_some()
    }

    /// Holds a request at all daemons.
    pub fn forbid_request(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let change = self.quarantine.forbid(now, fingerprint);
        self.on_suspect_change(now, change, EvidenceSource::Operator);
    }
}

impl Req {
    /// Whether so many servers have ended that no answer is expected of the others.
    fn has_ended_most(&self) -> bool {
        let sent = self.parts.iter().filter(|part| part.sends > 0).count();
        self.ended >= ABORT_ENDS && f64::from(self.ended) >= ABORT_SHARE * sent as f64
    }
}
