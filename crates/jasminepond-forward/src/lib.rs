//! Decides how requests are forwarded to backend servers: placement, waiting,
//! refusal, repeated sends, partial answers and connections.
//!
//! [`Forwarder`] is a state machine without sockets or clocks. Each method takes
//! the present time, and [`Forwarder::next_action`] returns what to do.

mod budget;
mod departed;
mod division;
mod forwarder;
mod latency;
mod merge;
mod message;
mod patience;
mod report;
mod request;
mod server;
mod service;
mod settings;
mod timers;
mod window;

pub use budget::RepeatBudget;
pub use division::{Candidate, Demand, Division, Group};
pub use forwarder::{Cluster, Delegation, Forwarder, Peer, Status};
pub use latency::{LatencyTracker, Quantile};
pub use merge::{RECORD_BYTES, greatest};
pub use message::{
    Action, Answer, Arrival, Backend, BackendState, Belief, CallKey, ConnKey, Delegated, Exchange,
    Lost, Refusal, Reply, ReqKey, RetryAfter, Summary, Verdict,
};
pub use report::{RouteReport, ServerReport};
pub use request::ActiveRoute;
pub use server::ServerKey;
pub use service::ServiceKey;
pub use settings::{FEW_DAEMONS, ForwardSettings, RepeatSettings};
