//! Requests that wait for or run at a backend server.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use jasminepond_backend::{Call, CallOutcome, ExecuteCall, NotRunReason, SearchCall, SearchResult};
use jasminepond_types::{ErrorKind, Millis, ServiceId, TenantId, Timestamp, Version, Weight};
use jasminepond_wire::{ExecuteOutcome, Hit, PartFailure, PartOutcome, Score};
use slotmap::{Key, KeyData, SlotMap, new_key_type};

use super::{ReplyTo, ServerKey};
use crate::net::link::LinkId;

new_key_type! {
    /// A request at its owner.
    pub struct WorkKey;
}

impl WorkKey {
    /// The same key for the decision crate.
    pub fn work_id(self) -> jasminepond_dispatch::WorkId {
        jasminepond_dispatch::WorkId(self.data().as_ffi())
    }

    /// The key of work named by the decision crate.
    pub fn from_work_id(id: jasminepond_dispatch::WorkId) -> Self {
        Self::from(KeyData::from_ffi(id.0))
    }
}

/// What a request asks of its server.
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
        /// Hits wanted.
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
    /// Where the response goes.
    pub from: ReplyTo,
    /// Id that the sender chose.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Share of the tenant.
    pub weight: Weight,
    /// Priority of the class, lower first.
    pub priority: u8,
    /// When the response must be here.
    pub deadline: Timestamp,
    /// What is asked.
    pub task: Task,
}

impl Request {
    /// The call to make at `now`.
    pub fn call(&self, now: Timestamp) -> Call {
        // Rounded down, so that the server never believes it has longer than we wait.
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

/// How a request ended.
#[derive(Debug)]
pub enum Ended {
    /// A shard's result.
    Found(SearchResult),
    /// Result of a non-idempotent request.
    Executed(Bytes),
    /// Certainly not run, by decision of the owner.
    Refused(ErrorKind, Option<Millis>),
    /// Certainly not run, by word of the server.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// The server's retry-after.
        retry_after: Option<Millis>,
        /// Versions that the server holds.
        versions: Vec<Version>,
    },
    /// The server failed with this status; the request may have run.
    Failed(u16),
    /// The connection was lost; the request may have run.
    Lost(String),
    /// The server sent what cannot be used; the request may have run.
    Unreadable(String),
    /// The sender no longer wants the result.
    Cancelled,
}

impl Ended {
    /// Why and how a call ended.
    pub fn of(outcome: CallOutcome) -> Self {
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
                Self::Unreadable("response of another kind".to_owned())
            }
        }
    }

    /// The result of a sub-request.
    pub fn part_outcome(self) -> PartOutcome {
        let failed = |reason, retry_after, versions| PartOutcome::Failed {
            reason,
            retry_after,
            versions,
        };
        match self {
            Self::Found(result) => found(result),
            Self::Refused(kind, retry_after) => failed(refusal(kind), retry_after, Vec::new()),
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
            // One lost connection does not make the server unreachable: the search may
            // try it again.
            Self::Lost(_) | Self::Executed(_) | Self::Failed(_) | Self::Unreadable(_) => {
                failed(PartFailure::Failed, None, Vec::new())
            }
        }
    }

    /// The result of a non-idempotent request.
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
            Self::Lost(cause) => unknown(format!("the connection was lost: {cause}")),
            Self::Unreadable(cause) => unknown(format!("the response cannot be used: {cause}")),
            Self::Cancelled => unknown("cancelled".to_owned()),
            Self::Found(_) => unknown("response of another kind".to_owned()),
        }
    }
}

fn refusal(kind: ErrorKind) -> PartFailure {
    match kind {
        ErrorKind::Overloaded => PartFailure::Overloaded,
        ErrorKind::Draining => PartFailure::Draining,
        ErrorKind::DeadlineNotRun => PartFailure::Timeout,
        ErrorKind::NoBackend => PartFailure::Unreachable,
        _ => PartFailure::Failed,
    }
}

fn found(result: SearchResult) -> PartOutcome {
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
        let (at, part) = ((request.from, request.id), request.part());
        let key = self.work.insert((server, request));
        self.index.entry(at).or_default().push((part, key));
        key
    }

    /// Whether no request is left.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    /// A request that has not ended.
    pub fn get(&self, key: WorkKey) -> Option<&Request> {
        self.work.get(key).map(|(_, request)| request)
    }

    /// Takes out a request.
    pub fn remove(&mut self, key: WorkKey) -> Option<(ServerKey, Request)> {
        let (server, request) = self.work.remove(key)?;
        let at = (request.from, request.id);
        if let Some(parts) = self.index.get_mut(&at) {
            parts.retain(|(_, other)| *other != key);
            if parts.is_empty() {
                self.index.remove(&at);
            }
        }
        Some((server, request))
    }

    /// The request that a sender calls by this id and part.
    pub fn find(&self, from: ReplyTo, id: u64, part: u32) -> Option<WorkKey> {
        let parts = self.index.get(&(from, id))?;
        parts.iter().find(|(p, _)| *p == part).map(|(_, key)| *key)
    }

    /// All requests that came on a link.
    pub fn of_link(&self, link: LinkId) -> Vec<WorkKey> {
        let from = ReplyTo::Link(link);
        let of_link = |(key, (_, request)): (WorkKey, &(ServerKey, Request))| {
            (request.from == from).then_some(key)
        };
        self.work.iter().filter_map(of_link).collect()
    }
}
