//! Stand-in for the platform (section 4.4 of the design page): configuration
//! service and instance list.
//!
//! ```text
//! standin-platform [--dir DIR] [--instances FILE] [--listen ADDR] [--control ADDR]
//!                  [--revision N] [--reads-per-s N]
//! ```
//!
//! * `--dir DIR`: every file in it belongs to the first revision.
//! * `--instances FILE`: the first instance list, `{"instances": [..]}`.
//! * `--listen ADDR`: address of the platform, default `127.0.0.1:0`.
//! * `--control ADDR`: address of the control endpoint, default `127.0.0.1:0`.
//! * `--revision N`: number of the first revision, default 1.
//! * `--reads-per-s N`: read limit, default 2000.
//!
//! Once bound, one JSON line on standard output names the addresses:
//! `{"platform": "ip:port", "control": "ip:port"}`.
//!
//! # Control endpoint
//!
//! * `GET /state`: newest and served revision, modes, revisions held.
//! * `GET /counters`: see [`Counters`]. `POST /reset` sets them to zero.
//! * `POST /revisions` `{"put": {name: value}, "delete": [name], "revision": N}`:
//!   all changes as one revision. A text value is stored as it is, any other
//!   as JSON. `revision` is optional and may repeat a number, which gives two
//!   revisions that conflict. Replies 413 for a value over 1 MB.
//! * `POST /instances` `{"instances": [..]}` replaces the list;
//!   `POST /instances/ID` adds or replaces one; `DELETE /instances/ID` removes
//!   one. Changes are served after `instance_lag_ms`.
//! * `POST /modes` with any of the fields of [`Patch`].
//!
//! # Behaviour
//!
//! Every call is counted and takes one read of the limit, a watch too, however
//! long it is pending. The limit is a token bucket that holds one second's
//! reads; over it the reply is 429. A file is served by name and digest from
//! any revision, so that a reader with an older tree can finish.

mod control;
mod options;
mod platform;
mod service;
mod state;

pub use options::Options;
pub use service::{Bound, serve};
pub use state::{Counters, Down, Instance, Modes, Patch, Torn};
