//! Stand-in for the platform's configuration service and instance list (section 4.4 of
//! the design page), for tests.
//!
//! ```text
//! standin-platform [--dir DIR] [--instances FILE] [--listen ADDR] [--control ADDR]
//!                  [--revision N] [--reads-per-s N]
//! ```
//!
//! * `--dir DIR`: directory whose files form the first revision.
//! * `--instances FILE`: the first instance list, `{"instances": [..]}`.
//! * `--listen ADDR`: address of the platform, default `127.0.0.1:0`.
//! * `--control ADDR`: address of the control endpoint, default `127.0.0.1:0`.
//! * `--revision N`: number of the first revision, default 1.
//! * `--reads-per-s N`: read limit, default 2000.
//!
//! After binding, the program prints its addresses as one JSON line on standard output:
//! `{"platform": "ip:port", "control": "ip:port"}`.
//!
//! # Control endpoint
//!
//! * `GET /state`: newest and served revision, modes, all revisions, newest instance list.
//! * `GET /counters`: see [`Counters`]. `POST /reset` sets them to zero, except for
//!   `pending_watches`.
//! * `POST /revisions` `{"put": {name: value}, "delete": [name], "revision": N}`:
//!   publishes all changes as one revision. A string is stored as raw text, any other
//!   value as JSON. `revision` is optional; repeating an existing number creates two
//!   conflicting revisions. The response is 413 for a value over 1 MB.
//! * `POST /instances` `{"instances": [..]}` replaces the list;
//!   `POST /instances/ID` adds or replaces an entry; `DELETE /instances/ID` removes it.
//!   Changes are served after `instance_lag_ms`.
//! * `POST /modes` changes the modes; the body has any of the fields of [`Patch`].
//!
//! # Behaviour
//!
//! Every call is counted and takes one token from the read limit; a watch takes one however
//! long it is pending. The limit is a token bucket that holds the reads of one second; when
//! it is empty, the response is 429. A file is looked up by name and digest in all
//! revisions, so that a client with an older tree can still read its files.

mod control;
mod options;
mod platform;
mod service;
mod state;

pub use options::Options;
pub use service::{Bound, serve};
pub use state::{Counters, Down, Instance, Modes, Patch, Torn};
