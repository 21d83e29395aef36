//! A service: its backend servers, its budget and its queue.

use std::{collections::VecDeque, sync::Arc};

use jasminepond_ratelimit::WarmUpLimit;
use jasminepond_routes::ServiceName;
use jasminepond_types::Timestamp;
use slotmap::new_key_type;

use crate::{RepeatBudget, message::ReqKey, server::ServerKey};

new_key_type! {
    /// A service.
    pub struct ServiceKey;
}

/// A queued part of a request that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    /// Whether the objective of the request has passed. Requests that can still meet
    /// their objective go first.
    pub(crate) late: bool,
    pub(crate) priority: u32,
    pub(crate) req: ReqKey,
    pub(crate) part: usize,
}

/// How the servers of a service are limited while they are cold.
#[derive(Debug, Clone)]
pub(crate) struct WarmUp {
    pub(crate) limit: WarmUpLimit,
    /// Path of health requests, if servers answer them.
    pub(crate) health_path: Option<Arc<str>>,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) max_connections: u32,
    /// Set if servers are limited while they are cold.
    pub(crate) warm_up: Option<WarmUp>,
    /// Whether a route of the release in force leads to it.
    pub(crate) routed: bool,
    pub(crate) budget: RepeatBudget,
    /// Index among the shards of a search.
    pub(crate) shard_index: Option<usize>,
    /// Group that contains this shard, if searches are divided.
    pub(crate) group: Option<u32>,
    /// Whether the servers of the service are other daemons.
    pub(crate) is_helper_group: bool,
    /// Whether these daemons send on requests of this one.
    pub(crate) is_relays: bool,
    /// Until when other daemons are not asked for this service, because they had no server
    /// for it either.
    pub(crate) relay_refused_until: Timestamp,
    waiting: VecDeque<Waiting>,
}

impl Service {
    pub(crate) fn new(name: ServiceName, max_connections: u32, budget: RepeatBudget) -> Self {
        Self {
            name,
            servers: Vec::new(),
            max_connections,
            warm_up: None,
            routed: false,
            budget,
            shard_index: None,
            group: None,
            is_helper_group: false,
            is_relays: false,
            relay_refused_until: Timestamp::ZERO,
            waiting: VecDeque::new(),
        }
    }

    /// Queues a part behind those of the same or a higher priority.
    pub(crate) fn enqueue(&mut self, part: Waiting) {
        let before = self
            .waiting
            .iter()
            .rposition(|w| (w.late, w.priority) <= (part.late, part.priority));
        let at = before.map_or(0, |at| at + 1);
        self.waiting.insert(at, part);
    }

    /// Removes all queued parts, in order.
    pub(crate) fn take_waiting(&mut self) -> VecDeque<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
