//! Ids, units and error kinds shared by all crates of jasminepond.
//!
//! This crate does no I/O and reads no clock. Ids are cheap to clone and compare by
//! value; each unit is a type of its own.

mod datagram;
mod error_kind;
mod id;
mod time;
mod unit;

pub use datagram::{DecodeError, expect_end, get_millis};
pub use error_kind::{ErrorKind, ErrorResponse, ParseErrorKindError, RetryAfter, RunStatus};
pub use id::{
    ClassId, GroupId, InstanceId, ParseIdError, RegionId, ServerId, ServiceId, TenantId, ZoneId,
};
pub use time::{Millis, ParseMillisError, Timestamp};
pub use unit::{
    ConnectionLimit, CpuCapacity, Incarnation, ParseCpuCapacityError, ParseUnitError, QueryId,
    Revision, Slots, Version, Weight,
};
