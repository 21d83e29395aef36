//! A service: its backend servers, its budget and its queue.

use std::sync::Arc;

use jasminepond_ratelimit::WarmUpLimit;
use jasminepond_routes::ServiceName;
use jasminepond_types::Timestamp;
use slotmap::new_key_type;

use crate::{
    PartQueue, RepeatBudget,
    admission::{ReportedWait, ShardLoad},
    server::ServerKey,
};

new_key_type! {
    /// A service.
    pub struct ServiceKey;
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) max_connections: u32,
    /// Path of health requests, if servers answer them.
    pub(crate) health_path: Option<Arc<str>>,
    /// Limit of servers while they are cold, if there is one.
    pub(crate) warm_up: Option<WarmUpLimit>,
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
    /// Load of the shard as this daemon measures it, if it sends the requests.
    pub(crate) load: ShardLoad,
    /// Load of the shard as the daemon that sends the requests has reported it.
    pub(crate) reported: Option<ReportedWait>,
    /// Share of the calls for which servers in the own zone are preferred.
    pub(crate) local_share: f64,
    /// Parts that wait for a connection.
    pub(crate) queue: PartQueue,
}

impl Service {
    pub(crate) fn new(name: ServiceName, max_connections: u32, budget: RepeatBudget) -> Self {
        Self {
            name,
            servers: Vec::new(),
            max_connections,
            health_path: None,
            warm_up: None,
            routed: false,
            budget,
            shard_index: None,
            group: None,
            is_helper_group: false,
            is_relays: false,
            relay_refused_until: Timestamp::ZERO,
            load: ShardLoad::default(),
            reported: None,
            local_share: 1.0,
            queue: PartQueue::default(),
        }
    }

    /// Number of queued parts that go before a new one of this priority.
    pub(crate) fn queued_ahead(&self, priority: u32) -> usize {
        let classes = self.queue.backlogs();
        let ahead = classes.filter(|class| class.priority <= priority);
        ahead.map(|class| class.parts - class.late).sum()
    }
}
