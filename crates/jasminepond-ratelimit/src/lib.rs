//! Rate limits that backend servers state for all daemons together.

mod rate;

pub use rate::{ParseRateLimitError, RateLimit};
