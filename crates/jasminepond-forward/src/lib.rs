//! Decides how requests are forwarded to backend servers: server selection, queueing,
//! load shedding, hedged and retried sends, partial answers and connections.
//!
//! [`Forwarder`] is a state machine that does no I/O and reads no clock. Each method
//! takes the current time, and [`Forwarder::next_action`] returns what to do.

mod admission;
mod balance;
mod budget;
mod caller_timeouts;
mod connections;
mod contact;
mod departed;
mod evacuation;
mod evenness;
mod forwarder;
mod health;
mod latency;
mod merge;
mod message;
mod queue;
mod report;
mod request;
mod server;
mod service;
mod settings;
mod shard_groups;
mod stated_load;
mod terms;
mod timers;
mod window;

pub use admission::{LoadReport, LoadReportError, ShardWait};
pub use balance::{
    Balance, HeardLoad, PERIOD, SPREAD, Turn, ZoneCount, local_share, slowness_cost,
    slowness_sample,
};
pub use budget::RepeatBudget;
pub use contact::ContactEvent;
pub use evacuation::{EvacuatedZones, ZoneChange};
pub use forwarder::{
    AdmissionCounts, Cluster, ConnectionCounts, DelegationRequest, Forwarder, Peer, Status,
};
pub use latency::{LatencyTracker, Quantile};
pub use merge::{RECORD_BYTES, merge_top_k};
pub use message::{
    Action, Answer, Arrival, Backend, BackendState, CallKey, ConnKey, DelegatedPart,
    EvidenceSource, Exchange, LimitUsage, LostCall, PeerReply, Refusal, Reply, ReqKey, RetryAfter,
    Scope, SearchId, ServerEvent, StatedLimit, Summary, Verdict,
};
pub use queue::{
    Blocked, CallerId, ClassBacklog, Lane, PartId, PartQueue, QueueWait, QueuedPart, ServerChoice,
};
pub use report::{CallReport, QueueReport, RouteReport, ServerReport, ServiceReport, WarmUpReport};
pub use request::ActiveRoute;
pub use server::ServerKey;
pub use service::ServiceKey;
pub use settings::{ForwardSettings, RepeatSettings, SMALL_SITE_DAEMONS};
pub use shard_groups::{Demand, Group, HelperCandidate, ShardGroups};
pub use stated_load::{InvalidServerLoad, ServerLoad, StatedLoad};
pub use terms::{InvalidTerms, SearchTerms};
