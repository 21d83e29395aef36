//! Keeps the rate limits that backend servers state for all daemons together.
//!
//! Daemons share no state. For each limited server process, all daemons agree on one of
//! them, the coordinator, by rendezvous hashing over the running daemons. It holds the only
//! token bucket of the process. The others request permits from it for the requests that
//! they have, and a permit that is not used soon expires. The limit is thereby divided by
//! demand, and a daemon that crashes, freezes or is cut off strands a fraction of a second
//! of it.
//!
//! The second daemon in the same order is the backup. It grants a third of the limit to
//! daemons that get no response from the coordinator, so that both together stay within
//! one and a half times the limit, however much their views differ.
//!
//! A limit applies to daemons that have not received it in a response, too. The coordinator
//! therefore tells the others, along a tree.
//!
//! [`RateLimiter`] does no I/O and reads no clock.

mod allocator;
mod belief;
mod coordinators;
mod limiter;
mod message;
mod permits;
mod process;
mod rate;
mod warm_up;

pub use coordinators::Daemon;
pub use jasminepond_types::DecodeError;
pub use limiter::{Availability, LimitChange, LimitReport, RateLimiter, Received};
pub use message::{Ask, Grant, Message, Notice, Statement};
pub use process::ProcessId;
pub use rate::{ParseRateLimitError, RateLimit};
pub use warm_up::{CHECK_INTERVAL, Guard, WARM_LEASE, WarmUpLimit, Warmth};
