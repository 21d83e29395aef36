//! A service: its backend servers, its budget and its queue.

use jasminepond_routes::ServiceName;
use jasminepond_types::Timestamp;
use slotmap::new_key_type;

use crate::{PartQueue, RepeatBudget, server::ServerKey};

new_key_type! {
    /// A service.
    pub struct ServiceKey;
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) max_connections: u32,
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
    /// Parts that wait for a connection.
    pub(crate) queue: PartQueue,
}

impl Service {
    pub(crate) fn new(name: ServiceName, max_connections: u32, budget: RepeatBudget) -> Self {
        Self {
            name,
            servers: Vec::new(),
            max_connections,
            routed: false,
            budget,
            shard_index: None,
            group: None,
            is_helper_group: false,
            is_relays: false,
            relay_refused_until: Timestamp::ZERO,
            queue: PartQueue::default(),
        }
    }
}
