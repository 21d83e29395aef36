//! Routes from callers' requests to services.
//!
//! A [`Release`] is one complete version of the routes, services and limits. A
//! [`RouteTable`] finds the route of a request by host and longest prefix.
//! [`WeightedRoundRobin`] distributes the requests of a route over several services by
//! weight. Nothing here reads a clock or a socket.

mod release;
mod review;
mod split;
mod table;

pub use release::{
    CallerLimits, Release, ReleaseVersion, Repeat, Route, Search, ServiceName, ServiceSpec, Target,
    WeightedService,
};
pub use review::{RouteWarning, review};
pub use split::WeightedRoundRobin;
pub use table::RouteTable;
