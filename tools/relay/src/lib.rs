//! Relay that injects network faults into TCP connections and UDP datagrams.
//!
//! ```text
//! standin-relay [--config FILE] [--route JSON]... [--control ADDR]
//! ```
//!
//! * `--config FILE`: `{"routes": [ROUTE, ..]}`, see [`RouteSpec`].
//! * `--route JSON`: adds a route; may be repeated.
//! * `--control ADDR`: address of the control endpoint, default `127.0.0.1:0`.
//!
//! Once all listeners are bound, their addresses are printed to standard output as
//! one JSON line:
//! `{"control": "ip:port", "routes": {"id": "ip:port"}}`.
//!
//! # Control endpoint
//!
//! * `GET /routes`: all routes with their bound address, target, faults and counters.
//! * `POST /routes` with a ROUTE: adds a route; replies with all routes.
//! * `POST /routes/ID` with any of the fields of [`Patch`]: updates a route; the id
//!   `*` matches all routes. Replies with the matching routes.
//! * `POST /routes/ID/cut`: closes the open connections once; new ones work.
//!
//! # Behaviour
//!
//! TCP data and connection closes held by a blackhole are delivered when the mode
//! returns to `pass`, as TCP does after a partition heals. Datagrams sent during a
//! blackhole are lost. Each UDP peer has its own socket to the target, so that
//! replies can be matched to the peer.

mod control;
mod options;
mod route;
mod service;
mod tcp;
mod udp;

pub use options::{Options, OptionsError};
pub use route::{Counters, Faults, Mode, Patch, Protocol, RouteSpec, RoutesFile};
pub use service::{Bound, serve};
