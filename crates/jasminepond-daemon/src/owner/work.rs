//! Requests that are queued for or in progress at a backend server.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use jasminepond_backend::{Call, CallOutcome, ExecuteCall, NotRunReason, SearchCall, SearchResult};
use jasminepond_types::{ErrorKind, Millis, ServiceId, TenantId, Timestamp, Version, Weight};
use jasminepond_wire::{ExecuteOutcome, Hit, PartFailure, PartOutcome, Score};
use slotmap::{Key, KeyData, SlotMap, new_key_type};

use super::{ReplyTo, ServerKey};
use crate::net::link::LinkId;

new_key_type! {
    /// Key of a request at its owner.
    pub struct WorkKey;
}

impl WorkKey {
    /// Converts the key to the id used by the dispatch crate.
    pub fn work_id(self) -> jasminepond_dispatch::WorkId {
        jasminepond_dispatch::WorkId(self.data().as_ffi())
    }

    /// Converts an id of the dispatch crate back to the key.
    pub fn from_work_id(id: jasminepond_dispatch::WorkId) -> Self {
        Self::from(KeyData::from_ffi(id.0))
    }
}

/// The operation that a request performs at its server.
#[derive(Debug, Clone)]
pub enum Task {
    /// Search one shard.
    Search {
        /// Number of the part in its search.
        part: u32,
        /// The shard.
        service: ServiceId,
        /// Snapshot version.
        version: Version,
        /// Query text.
        query: Arc<str>,
        /// Maximum number of hits.
        limit: u32,
    },
    /// Run a non-idempotent request.
    Execute {
        /// Request key.
        key: String,
        /// The operation.
        operation: Bytes,
    },
}

/// One request for one server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Receiver of the response.
    pub from: ReplyTo,
    /// Id that the sender assigned.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Fair-share weight of the tenant.
    pub weight: Weight,
    /// Priority of the class, lower first.
    pub priority: u8,
    /// Time by which the response must arrive.
    pub deadline: Timestamp,
    /// The operation.
    pub task: Task,
}

impl Request {
    /// Creates the call to the server, with the time left at `now`.
    pub fn call(&self, now: Timestamp) -> Call {
        // Rounded down, so that the server's deadline is never later than ours.
        let left = Millis(self.deadline.since(now).as_micros() as u64 / 1_000);
        match &self.task {
            Task::Search {
                service,
                version,
                query,
                limit,
                ..
            } => Call::Search(SearchCall {
                service: service.clone(),
                version: *version,
                query: query.clone(),
                limit: *limit,
                left,
            }),
            Task::Execute { key, operation } => Call::Execute(ExecuteCall {
                key: key.clone(),
                operation: operation.clone(),
                left,
            }),
        }
    }

    fn part(&self) -> u32 {
        match self.task {
            Task::Search { part, .. } => part,
            Task::Execute { .. } => EXECUTE_PART,
        }
    }
}

/// Part number under which non-idempotent requests are indexed.
const EXECUTE_PART: u32 = u32::MAX;

/// Outcome of a request at its owner.
#[derive(Debug)]
pub enum Completion {
    /// Result of a search of one shard.
    Found(SearchResult),
    /// Result of a non-idempotent request.
    Executed(Bytes),
    /// Refused by the owner, so the request has not run.
    Refused(ErrorKind, Option<Millis>),
    /// The server responded that the request has not run.
    NotRun {
        /// The server's reason.
        reason: NotRunReason,
        /// The server's retry-after.
        retry_after: Option<Millis>,
        /// Versions that the server holds.
        versions: Vec<Version>,
    },
    /// The server failed with this status; the request may have run.
    Failed(u16),
    /// The connection was lost; the request may have run.
    ConnectionLost(String),
    /// The server sent an invalid response; the request may have run.
    InvalidResponse(String),
    /// Cancelled by the sender.
    Cancelled,
}

impl Completion {
    /// Converts the outcome of a call.
    pub fn from_call(outcome: CallOutcome) -> Self {
        match outcome {
            CallOutcome::Found(result) => Self::Found(result),
            CallOutcome::Executed(result) => Self::Executed(result),
            CallOutcome::NotRun {
                reason,
                retry_after,
                versions,
            } => Self::NotRun {
                reason,
                retry_after,
                versions,
            },
            CallOutcome::Failed { status } => Self::Failed(status),
            CallOutcome::Cancelled => Self::Cancelled,
            CallOutcome::Acknowledged | CallOutcome::Health(_) => {
                Self::InvalidResponse("response of another kind".to_owned())
            }
        }
    }

    /// Converts to the outcome of a sub-request.
    pub fn part_outcome(self) -> PartOutcome {
        let failed = |reason, retry_after, versions| PartOutcome::Failed {
            reason,
            retry_after,
            versions,
        };
        match self {
            Self::Found(result) => search_outcome(result),
            Self::Refused(kind, retry_after) => {
                failed(refusal_failure(kind), retry_after, Vec::new())
            }
            Self::NotRun {
                reason,
                retry_after,
                versions,
            } => {
                let reason = match reason {
                    NotRunReason::Shed => PartFailure::Overloaded,
                    NotRunReason::VersionUnavailable | NotRunReason::WrongShard => {
                        PartFailure::VersionUnavailable
                    }
                    NotRunReason::Deadline => PartFailure::Timeout,
                };
                failed(reason, retry_after, versions)
            }
            Self::Cancelled => failed(PartFailure::Cancelled, None, Vec::new()),
            // `Failed` instead of `Unreachable`: after one lost connection the search
            // may try the server again.
            Self::ConnectionLost(_)
            | Self::Executed(_)
            | Self::Failed(_)
            | Self::InvalidResponse(_) => failed(PartFailure::Failed, None, Vec::new()),
        }
    }

    /// Converts to the outcome of a non-idempotent request.
    pub fn execute_outcome(self) -> ExecuteOutcome {
        let not_run = |kind, retry_after| ExecuteOutcome::NotRun { kind, retry_after };
        let unknown = |detail: String| ExecuteOutcome::Unknown {
            kind: ErrorKind::OutcomeUnknown,
            detail: detail.into(),
        };
        match self {
            Self::Executed(result) => ExecuteOutcome::Done { result },
            Self::Refused(kind, retry_after) => not_run(kind, retry_after),
            Self::NotRun {
                reason: NotRunReason::Deadline,
                retry_after,
                ..
            } => not_run(ErrorKind::DeadlineNotRun, retry_after),
            Self::NotRun { retry_after, .. } => not_run(ErrorKind::Overloaded, retry_after),
            Self::Failed(status) => unknown(format!("the backend server failed with {status}")),
            Self::ConnectionLost(cause) => unknown(format!("the connection was lost: {cause}")),
            Self::InvalidResponse(cause) => {
                unknown(format!("the response cannot be used: {cause}"))
            }
            Self::Cancelled => unknown("cancelled".to_owned()),
            Self::Found(_) => unknown("response of another kind".to_owned()),
        }
    }
}

fn refusal_failure(kind: ErrorKind) -> PartFailure {
    match kind {
        ErrorKind::Overloaded => PartFailure::Overloaded,
        ErrorKind::Draining => PartFailure::Draining,
        ErrorKind::DeadlineNotRun => PartFailure::Timeout,
        ErrorKind::NoBackend => PartFailure::Unreachable,
        _ => PartFailure::Failed,
    }
}

fn search_outcome(result: SearchResult) -> PartOutcome {
    let hits: Result<Vec<Hit>, _> = result
        .hits
        .into_iter()
        .map(|hit| {
            Score::new(hit.score).map(|score| Hit {
                id: hit.id.into(),
                score,
            })
        })
        .collect();
    match hits {
        Ok(hits) => PartOutcome::Answer {
            version: result.version,
            count: result.count,
            hits,
        },
        Err(_) => PartOutcome::Failed {
            reason: PartFailure::Failed,
            retry_after: None,
            versions: Vec::new(),
        },
    }
}

/// All requests at this owner.
#[derive(Debug, Default)]
pub struct WorkTable {
    work: SlotMap<WorkKey, (ServerKey, Request)>,
    index: HashMap<(ReplyTo, u64), Vec<(u32, WorkKey)>>,
}

impl WorkTable {
    /// Adds a request for a server.
    pub fn insert(&mut self, server: ServerKey, request: Request) -> WorkKey {
        let (id, part) = ((request.from, request.id), request.part());
        let key = self.work.insert((server, request));
        self.index.entry(id).or_default().push((part, key));
        key
    }

    /// Whether no request is left.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    /// A request that is not completed.
    pub fn get(&self, key: WorkKey) -> Option<&Request> {
        self.work.get(key).map(|(_, request)| request)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: WorkKey) -> Option<(ServerKey, Request)> {
        let (server, request) = self.work.remove(key)?;
        let id = (request.from, request.id);
        if let Some(parts) = self.index.get_mut(&id) {
            parts.retain(|(_, other)| *other != key);
            if parts.is_empty() {
                self.index.remove(&id);
            }
        }
        Some((server, request))
    }

    /// The request with this sender, id and part.
    pub fn find(&self, from: ReplyTo, id: u64, part: u32) -> Option<WorkKey> {
        let parts = self.index.get(&(from, id))?;
        parts.iter().find(|(p, _)| *p == part).map(|(_, key)| *key)
    }

    /// All requests that arrived on a link.
    pub fn for_link(&self, link: LinkId) -> Vec<WorkKey> {
        let from = ReplyTo::Link(link);
        let for_link = |(key, (_, request)): (WorkKey, &(ServerKey, Request))| {
            (request.from == from).then_some(key)
        };
        self.work.iter().filter_map(for_link).collect()
    }
}
