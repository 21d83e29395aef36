//! Stand-in for backend servers (section 4.3 of the design page). One process
//! runs any number of servers.
//!
//! ```text
//! standin-backend [--config FILE] [--server JSON]... [--control ADDR] [--threads N]
//! ```
//!
//! * `--config FILE`: `{"servers": [SERVER, ..]}`, see [`ServerSpec`] for the
//!   fields and their defaults.
//! * `--server JSON`: an additional server; may be repeated.
//! * `--control ADDR`: address of the control endpoint, default `127.0.0.1:0`.
//! * `--threads N`: threads over which the servers are spread, default 1.
//!
//! Once every listener is bound, one JSON line on standard output names the
//! addresses: `{"control": "ip:port", "servers": {"id": "ip:port"}}`.
//!
//! # Control endpoint
//!
//! * `GET /servers`: the servers with bound address, specification and modes.
//! * `GET /counters`: `{"servers": {id: COUNTERS}, "total": COUNTERS}`, see
//!   [`Counters`].
//! * `GET /executions`: `{"keys", "executions", "repeated": {key: n}}`, the
//!   executions per request key over all servers; `?all=1` adds `"all"` with
//!   every key.
//! * `POST /reset`: sets all counters and executions to zero.
//! * `POST /servers/ID` with any of the fields of [`Patch`]; the id `*` selects
//!   all servers. Responds with the selected servers.
//!
//! # Behaviour
//!
//! A connection over the limit is closed immediately. The first request of a
//! connection is delayed until the connection cost has elapsed. A request is then
//! refused (starting, draining, version or shard not held, deadline passed,
//! overload), queued, or run in a slot. The service time is lognormal with a fixed
//! seed. A request keeps running when its caller disconnects; only `POST /cancel`
//! ends a search early. An execute that has started is never cancelled.
//! A silent connection accepts requests without processing them and withholds
//! responses until `silent` is set to false.

mod control;
mod options;
mod request;
mod search;
mod server;
mod service;
mod spec;

pub use options::{Options, OptionsError};
pub use search::{Hit, HitId, SearchResult, search_shard};
pub use server::{Counters, Server};
pub use service::{Bound, serve};
pub use spec::{DropAfter, Modes, Patch, ServerSpec, ServersFile, ServiceTime, Stage};
