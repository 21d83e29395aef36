//! Searches in progress.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_channel::oneshot;
use jasminepond_config::{Group, GroupKind, Objective};
use jasminepond_query::{
    Answer, AttemptId, Failure, MissingReason, Plan, Search, SearchSettings, ShardAnswer, ShardMap,
    Step,
};
use jasminepond_routing::{
    AdmissionDecision, AttemptOutcome, Deadline, Estimate, FinishedQuery, Query,
};
use jasminepond_types::{
    ErrorKind, InstanceId, Millis, QueryId, ServerId, ServiceId, Timestamp, Version,
};
use jasminepond_wire::{
    Cancel, Frame, MAX_PARTS, Part, PartFailure, PartOutcome, PartResult, PartResults,
    Search as SearchFrame,
};

use super::{
    Entry, Refusal, RequestParams, SearchRequest, check,
    chooser::{self, RequestChooser},
    rank,
    timers::Due,
};
use crate::metrics::SentKind;

/// The answer to a search.
#[derive(Debug)]
pub struct SearchAnswer {
    /// The merged hits and their shard coverage.
    pub answer: Answer,
    /// Time from the arrival of the request to the answer.
    pub elapsed: Duration,
}

type ReplySender = oneshot::Sender<Result<SearchAnswer, Refusal>>;

/// A sub-request that was sent.
struct SentPart {
    service: ServiceId,
    owner: InstanceId,
    server: ServerId,
    version: Version,
    at: Timestamp,
    open: bool,
    reroutes: u8,
}

/// Maximum number of other owners that one sub-request is sent to when links are
/// down.
const MAX_REROUTES: u8 = 3;

struct Running {
    search: Search,
    checked: super::Checked,
    query: Box<str>,
    limit: u32,
    started: Timestamp,
    deadline: Timestamp,
    reply: ReplySender,
    sent: Vec<SentPart>,
    /// Estimate for the slowest shard at admission.
    slowest: Estimate,
}

impl Running {
    /// Creates a frame without parts.
    fn frame(&self, now: Timestamp, id: QueryId, version: Version) -> SearchFrame {
        let caller = &self.checked.caller;
        let allowance = self.checked.config.routing.hop_allowance_ms;
        SearchFrame {
            id: id.get(),
            tenant: caller.tenant.clone(),
            class: caller.class.clone(),
            priority: self.checked.priority,
            weight: self.checked.weight,
            group: caller.group.clone(),
            version,
            query: self.query.clone(),
            limit: self.limit,
            left: Millis(self.search.time_left(now).0.saturating_sub(allowance.0)),
            parts: Vec::new(),
        }
    }
}

/// A search that passed admission control.
struct AdmittedSearch {
    checked: super::Checked,
    limit: u32,
    slowest: Estimate,
}

/// Classifies a new sub-request for a shard by the sub-requests already sent.
fn sent_kind(before: &[SentPart], service: &ServiceId) -> SentKind {
    let mut earlier = before
        .iter()
        .filter(|sent| sent.service == *service)
        .peekable();
    if earlier.peek().is_none() {
        SentKind::First
    } else if earlier.any(|sent| sent.open) {
        SentKind::Hedge
    } else {
        SentKind::Retry
    }
}

/// All searches in progress, and frames not yet sent.
#[derive(Default)]
pub struct Searches {
    running: HashMap<QueryId, Running>,
    frames: Vec<(InstanceId, Frame)>,
}

impl Searches {
    /// Takes the frames collected since the last call.
    pub fn take_frames(&mut self) -> Vec<(InstanceId, Frame)> {
        std::mem::take(&mut self.frames)
    }

    /// Adds a sub-request to the pending frame for its owner, or to a new frame.
    fn add(
        &mut self,
        now: Timestamp,
        id: QueryId,
        owner: InstanceId,
        version: Version,
        part: Part,
    ) {
        let existing = self
            .frames
            .iter_mut()
            .rev()
            .find_map(|(to, frame)| match frame {
                Frame::Search(search)
                    if *to == owner
                        && search.id == id.get()
                        && search.version == version
                        && search.parts.len() < MAX_PARTS =>
                {
                    Some(search)
                }
                _ => None,
            });
        if let Some(search) = existing {
            return search.parts.push(part);
        }
        let Some(running) = self.running.get(&id) else {
            return;
        };
        let mut frame = running.frame(now, id, version);
        frame.parts.push(part);
        self.frames.push((owner, Frame::Search(frame)));
    }

    /// Adds one cancel frame per owner.
    fn add_cancels(&mut self, id: QueryId, cancels: HashMap<InstanceId, Vec<u32>>) {
        for (owner, parts) in cancels {
            let cancel = Cancel {
                id: id.get(),
                parts,
            };
            self.frames.push((owner, Frame::Cancel(cancel)));
        }
    }

    /// Whether no search is in progress.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Number of searches in progress.
    pub fn len(&self) -> usize {
        self.running.len()
    }
}

/// The shard maps of the snapshot versions that a search of the group may use,
/// newest first.
pub fn shard_maps(group: &Group) -> Arc<[ShardMap]> {
    let shard_map = |snapshot: &jasminepond_config::Snapshot| ShardMap {
        version: snapshot.version,
        services: snapshot
            .services
            .iter()
            .map(|(id, r)| (id.clone(), r.clone()))
            .collect(),
    };
    group.snapshots.iter().map(shard_map).collect()
}

fn search_settings(objective: Objective) -> SearchSettings {
    let objective = match objective {
        Objective::Coverage => jasminepond_query::Objective::Coverage { rounds: 2 },
        Objective::Latency => jasminepond_query::Objective::Latency { max_attempts: 3 },
    };
    SearchSettings {
        objective,
        ..SearchSettings::default()
    }
}

impl Entry {
    pub(super) fn on_search(&mut self, req: SearchRequest, reply: ReplySender) {
        match self.admit_search(&req) {
            Ok(admitted) => self.start_search(req, admitted, reply),
            Err(refusal) => {
                self.cx.metrics.refused(refusal.kind);
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn admit_search(&mut self, req: &SearchRequest) -> Result<AdmittedSearch, Refusal> {
        let now = self.cx.clock.now();
        let config = self.ready_config()?;
        let max_hits = config.limits.max_hits;
        let params = RequestParams {
            tenant: &req.tenant,
            class: &req.class,
            group: &req.group,
            deadline: req.deadline,
        };
        let checked = check(config, &params, GroupKind::Search)?;
        // Admission control itself limits the searches of each tenant.
        self.check_limits(&checked, 0)?;
        let limit = req.limit.unwrap_or(max_hits);
        if limit == 0 || limit > max_hits {
            let message = format!("limit is {limit}, allowed are 1 to {max_hits}");
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        let slowest = self.slowest_shard(now, &checked);
        let query = Query {
            tenant: &checked.caller.tenant,
            tenant_limit: checked.tenant_limit,
            priority: rank(checked.priority),
            deadline: Deadline::from_remaining(now, checked.caller.left),
            slowest,
        };
        match self.routing.admission.admit(now, query) {
            AdmissionDecision::Admit => Ok(AdmittedSearch {
                checked,
                limit,
                slowest,
            }),
            AdmissionDecision::Refuse { kind, retry_after } => {
                let refusal = Refusal::new(kind, "no capacity before the deadline");
                Err(refusal.retry_after(retry_after))
            }
        }
    }

    /// Estimate for the shard whose best replica is slowest.
    fn slowest_shard(&self, now: Timestamp, checked: &super::Checked) -> Estimate {
        let priority = rank(checked.priority);
        let versions = self.shard_maps.get(&checked.caller.group);
        let Some(newest) = versions.and_then(|versions| versions.first()) else {
            return Estimate::default();
        };
        let replicas = &self.routing.replicas;
        let best = |servers: &Vec<ServerId>| {
            let estimates = servers
                .iter()
                .map(|server| replicas.estimate(now, server, priority));
            estimates.min_by_key(|estimate| estimate.wait + estimate.service)
        };
        let shards = newest
            .services
            .iter()
            .filter_map(|(_, servers)| best(servers));
        shards
            .max_by_key(|estimate| estimate.wait + estimate.service)
            .unwrap_or_default()
    }

    fn start_search(&mut self, req: SearchRequest, admitted: AdmittedSearch, reply: ReplySender) {
        let AdmittedSearch {
            checked,
            limit,
            slowest,
        } = admitted;
        let now = self.cx.clock.now();
        let id = QueryId(self.new_id());
        let deadline = now + checked.caller.left.duration();
        let versions = self
            .shard_maps
            .get(&checked.caller.group)
            .cloned()
            .unwrap_or_default();
        let plan = Plan {
            id,
            group: checked.caller.group.clone(),
            versions,
            limit,
        };
        let settings = search_settings(checked.config.routing.objective);
        let Ok(search) = Search::new(plan, now, deadline, settings) else {
            let refusal = Refusal::new(ErrorKind::NoBackend, "the group has no snapshot");
            let _ = reply.send(Err(refusal));
            return;
        };
        let query = req.query.into();
        let sent = Vec::new();
        let running = Running {
            search,
            checked,
            query,
            limit,
            started: now,
            deadline,
            reply,
            sent,
            slowest,
        };
        self.searches.running.insert(id, running);
        self.drive(id, |search, now, chooser| search.start(now, chooser));
    }

    /// Passes an event to the state machine of a search and performs the returned
    /// steps.
    fn drive(
        &mut self,
        id: QueryId,
        event: impl FnOnce(&mut Search, Timestamp, &mut RequestChooser<'_>) -> Vec<Step>,
    ) {
        let now = self.cx.clock.now();
        let Some(running) = self.searches.running.get_mut(&id) else {
            return;
        };
        let group = running.checked.caller.group.clone();
        let mut chooser = RequestChooser {
            routing: &mut self.routing,
            group: &group,
            rank: rank(running.checked.priority),
            deadline: running.deadline,
        };
        let initial = running.sent.is_empty();
        let steps = event(&mut running.search, now, &mut chooser);
        let mut cancels: HashMap<InstanceId, Vec<u32>> = HashMap::new();
        for step in steps {
            match step {
                Step::Send {
                    attempt,
                    service,
                    server,
                    version,
                } => {
                    let part = Part {
                        part: attempt.part,
                        service,
                        server,
                    };
                    self.send_part(now, id, part, version, initial);
                }
                Step::Cancel { attempt } => {
                    if let Some(owner) = self.end_attempt(now, attempt, AttemptOutcome::Cancelled) {
                        cancels.entry(owner).or_default().push(attempt.part);
                    }
                }
                Step::Wait { until } => self.timers.add(until, Due::Search(id)),
                Step::Finish(answer) => self.finish_search(now, id, answer),
            }
        }
        self.searches.add_cancels(id, cancels);
    }

    fn send_part(
        &mut self,
        now: Timestamp,
        id: QueryId,
        part: Part,
        version: Version,
        initial: bool,
    ) {
        let owner = self.owner(&part.server);
        let Some(running) = self.searches.running.get_mut(&id) else {
            return;
        };
        let kind = if initial {
            SentKind::First
        } else {
            sent_kind(&running.sent, &part.service)
        };
        self.routing.replicas.record_sent(now, &part.server);
        self.routing.hedging.record_sent(1);
        self.cx.metrics.sent(&running.checked.caller.group, kind);
        running.sent.push(SentPart {
            service: part.service.clone(),
            owner: owner.clone(),
            server: part.server.clone(),
            version,
            at: now,
            open: true,
            reroutes: 0,
        });
        self.searches.add(now, id, owner, version, part);
    }

    /// Marks a sub-request as ended and returns its owner; `None` if it had already
    /// ended.
    fn end_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<InstanceId> {
        let running = self.searches.running.get_mut(&attempt.search)?;
        let sent = running.sent.get_mut(attempt.part as usize)?;
        if !std::mem::replace(&mut sent.open, false) {
            return None;
        }
        let latency = now.since(sent.at);
        self.routing
            .replicas
            .record_outcome(now, &sent.server, latency, outcome);
        if outcome == AttemptOutcome::Done {
            self.routing
                .hedging
                .record_latency(&running.checked.caller.group, latency);
        }
        Some(sent.owner.clone())
    }

    pub(super) fn on_parts(&mut self, from: &InstanceId, parts: PartResults) {
        let id = QueryId(parts.id);
        for item in parts.items {
            self.on_part(from, id, item);
        }
    }

    fn on_part(&mut self, from: &InstanceId, id: QueryId, item: PartResult) {
        let now = self.cx.clock.now();
        if let Some(hint) = &item.hint {
            self.routing
                .replicas
                .record_hint(now, &hint.server, chooser::dispatch_hint(hint));
        }
        let attempt = AttemptId {
            search: id,
            part: item.part,
        };
        // Only the owner that the part was last sent to may answer it.
        let Some(running) = self.searches.running.get(&id) else {
            return;
        };
        let sent = running.sent.get(item.part as usize);
        let Some(sent) = sent.filter(|sent| sent.owner == *from && sent.open) else {
            return;
        };
        let (server, version) = (sent.server.clone(), sent.version);
        match item.outcome {
            PartOutcome::Answer {
                version,
                count,
                hits,
            } => {
                self.end_attempt(now, attempt, AttemptOutcome::Done);
                let answer = ShardAnswer {
                    version,
                    count,
                    hits,
                };
                self.drive(id, |search, now, chooser| {
                    search.on_answer(now, chooser, attempt, answer)
                });
            }
            PartOutcome::Failed {
                reason, versions, ..
            } => {
                self.record_failure(now, &server, version, reason);
                self.end_attempt(now, attempt, attempt_outcome(reason));
                self.drive(id, |search, now, chooser| {
                    search.on_failure(now, chooser, attempt, Failure::from(reason), &versions)
                });
            }
        }
    }

    fn record_failure(
        &mut self,
        now: Timestamp,
        server: &ServerId,
        version: Version,
        reason: PartFailure,
    ) {
        let replicas = &mut self.routing.replicas;
        match reason {
            PartFailure::VersionUnavailable => replicas.mark_version_missing(now, server, version),
            PartFailure::Draining => replicas.mark_draining(now, server),
            _ => {}
        }
    }

    /// Sends sub-requests that are known not to have been sent to the next owner of
    /// their server. This does not count as a retry, since no backend server has
    /// received them.
    pub(super) fn on_search_not_sent(&mut self, frame: SearchFrame) {
        let now = self.cx.clock.now();
        let id = QueryId(frame.id);
        let mut lost = Vec::new();
        for part in frame.parts {
            let owner = self.owner(&part.server);
            let Some(running) = self.searches.running.get_mut(&id) else {
                return;
            };
            let Some(sent) = running.sent.get_mut(part.part as usize) else {
                continue;
            };
            if !sent.open {
                continue;
            }
            if sent.owner == owner || sent.reroutes >= MAX_REROUTES {
                lost.push(AttemptId {
                    search: id,
                    part: part.part,
                });
                continue;
            }
            sent.reroutes += 1;
            sent.owner = owner.clone();
            self.searches.add(now, id, owner, frame.version, part);
        }
        if !lost.is_empty() {
            self.on_attempts_lost(id, lost);
        }
    }

    /// Treats sub-requests as refused by an owner that accepts no more of them.
    pub(super) fn on_search_busy(&mut self, frame: SearchFrame) {
        let id = QueryId(frame.id);
        for part in frame.parts {
            let Some(running) = self.searches.running.get(&id) else {
                return;
            };
            let Some(sent) = running.sent.get(part.part as usize) else {
                continue;
            };
            let owner = sent.owner.clone();
            let outcome = PartOutcome::Failed {
                reason: PartFailure::Overloaded,
                retry_after: None,
                versions: Vec::new(),
            };
            let item = PartResult {
                part: part.part,
                outcome,
                hint: None,
            };
            self.on_part(&owner, id, item);
        }
    }

    pub(super) fn on_search_owner_lost(&mut self, owner: &InstanceId) {
        let affected: Vec<QueryId> = self.searches.running.keys().copied().collect();
        for id in affected {
            let Some(running) = self.searches.running.get(&id) else {
                continue;
            };
            let open = |(_, sent): &(usize, &SentPart)| sent.open && sent.owner == *owner;
            let lost: Vec<_> = running
                .sent
                .iter()
                .enumerate()
                .filter(open)
                .map(|(part, _)| AttemptId {
                    search: id,
                    part: part as u32,
                })
                .collect();
            if !lost.is_empty() {
                self.on_attempts_lost(id, lost);
            }
        }
    }

    fn on_attempts_lost(&mut self, id: QueryId, lost: Vec<AttemptId>) {
        let now = self.cx.clock.now();
        for attempt in &lost {
            // Recorded as cancelled: the owner failed, not the server.
            self.end_attempt(now, *attempt, AttemptOutcome::Cancelled);
        }
        self.drive(id, |search, now, chooser| {
            search.on_owner_lost(now, chooser, lost)
        });
    }

    pub(super) fn on_search_timer(&mut self, id: QueryId) {
        let Some(running) = self.searches.running.get(&id) else {
            return;
        };
        if running.reply.is_canceled() {
            // The caller has dropped the receiver.
            return self.abandon_search(id);
        }
        self.drive(id, |search, now, chooser| search.on_tick(now, chooser));
    }

    fn abandon_search(&mut self, id: QueryId) {
        let now = self.cx.clock.now();
        let Some(running) = self.searches.running.get(&id) else {
            return;
        };
        let parts = 0..u32::try_from(running.sent.len()).unwrap_or(u32::MAX);
        let mut cancels: HashMap<InstanceId, Vec<u32>> = HashMap::new();
        for part in parts {
            let attempt = AttemptId { search: id, part };
            if let Some(owner) = self.end_attempt(now, attempt, AttemptOutcome::Cancelled) {
                cancels.entry(owner).or_default().push(part);
            }
        }
        self.searches.add_cancels(id, cancels);
        if let Some(running) = self.searches.running.remove(&id) {
            self.release_admission(now, &running, true);
        }
    }

    fn finish_search(&mut self, now: Timestamp, id: QueryId, answer: Answer) {
        let Some(running) = self.searches.running.remove(&id) else {
            return;
        };
        self.release_admission(now, &running, is_in_time(&answer));
        let elapsed = now.since(running.started);
        let caller = &running.checked.caller;
        let labels = (&caller.tenant, &caller.class, &caller.group);
        self.cx
            .metrics
            .searched(labels, elapsed.as_secs_f64(), &answer);
        let _ = running.reply.send(Ok(SearchAnswer { answer, elapsed }));
    }

    fn release_admission(&mut self, now: Timestamp, running: &Running, in_time: bool) {
        let finished = FinishedQuery {
            latency: now.since(running.started),
            slowest: running.slowest,
            in_time,
        };
        let tenant = &running.checked.caller.tenant;
        let priority = rank(running.checked.priority);
        self.routing
            .admission
            .record_finished(now, tenant, priority, finished);
    }
}

/// Whether no shard is missing for lack of time or capacity.
fn is_in_time(answer: &Answer) -> bool {
    let late = |reason: &MissingReason| {
        matches!(reason, MissingReason::Timeout | MissingReason::Overloaded)
    };
    !answer
        .coverage
        .missing
        .iter()
        .any(|(_, reason)| late(reason))
}

fn attempt_outcome(reason: PartFailure) -> AttemptOutcome {
    match reason {
        PartFailure::Failed | PartFailure::WrongVersion => AttemptOutcome::Failed,
        PartFailure::Overloaded => AttemptOutcome::Refused,
        PartFailure::Timeout | PartFailure::Unreachable => AttemptOutcome::Lost,
        PartFailure::Cancelled => AttemptOutcome::Cancelled,
        PartFailure::VersionUnavailable | PartFailure::Draining | PartFailure::NotOwner => {
            AttemptOutcome::NotRun
        }
    }
}
