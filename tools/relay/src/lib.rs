//! Relay for TCP connections and UDP datagrams with network faults.
//!
//! ```text
//! standin-relay [--config FILE] [--route JSON]... [--control ADDR]
//! ```
//!
//! * `--config FILE`: `{"routes": [ROUTE, ..]}`, see [`RouteSpec`].
//! * `--route JSON`: one more route, may be repeated.
//! * `--control ADDR`: address of the control endpoint, default `127.0.0.1:0`.
//!
//! Once bound, one JSON line on standard output names the addresses:
//! `{"control": "ip:port", "routes": {"id": "ip:port"}}`.
//!
//! # Control endpoint
//!
//! * `GET /routes`: each route with bound address, target, faults and counters.
//! * `POST /routes` with a ROUTE: adds a route; replies with all routes.
//! * `POST /routes/ID` with any of the fields of [`Patch`]; the id `*` stands
//!   for every route. Replies with the routes concerned.
//! * `POST /routes/ID/cut`: cuts the open connections once; new ones work.
//!
//! # Behaviour
//!
//! Bytes and ends of connections held back by a blackhole are delivered when the
//! mode goes back to `pass`, as TCP does after a partition. Datagrams held back
//! are lost. Each UDP peer gets a socket of its own towards the target, so that
//! replies find their way back.

mod control;
mod options;
mod route;
mod service;
mod tcp;
mod udp;

pub use options::{Options, OptionsError};
pub use route::{Counters, Faults, Mode, Patch, Protocol, RouteSpec, RoutesFile};
pub use service::{Bound, serve};
