//! Ids, units and error kinds shared by every crate of jasminepond.
//!
//! Nothing here touches a socket or a clock. Ids are cheap to clone and compare
//! by value; units carry their dimension in the type.

mod error_kind;
mod id;
mod time;
mod unit;

pub use error_kind::{ErrorKind, ErrorResponse, ParseErrorKindError, RetryAfter, RunStatus};
pub use id::{
    ClassId, GroupId, InstanceId, ParseIdError, RegionId, ServerId, ServiceId, TenantId, ZoneId,
};
pub use time::{Millis, ParseMillisError, Timestamp};
pub use unit::{
    ConnectionLimit, CpuCapacity, Incarnation, ParseCpuCapacityError, ParseUnitError, QueryId,
    Revision, Slots, Version, Weight,
};
