//! Open-loop load generator.
//!
//! ```text
//! jasminepond-load --plan FILE --rate R --duration-s S (--daemon ADDR.. | --direct)
//!     [--seed N] [--warmup-s S] [--drain-ms MS] [--max-in-flight N] [--connections N]
//!     [--servers FILE] [--backend-control ADDR].. [--clients N] [--pids PID,..]
//!     [--threads N] [--output FILE] [--json]
//! jasminepond-load --compare A.json B.json
//! ```
//!
//! * `--plan FILE`: the request mix, see [`Plan`].
//! * `--rate R`, `--duration-s S`, `--seed N`: a Poisson process of R arrivals
//!   per second. The same values give the same arrivals in both modes.
//! * `--daemon ADDR`: caller address of a daemon; may be repeated. Arrivals are distributed
//!   round-robin.
//! * `--direct`: bypass the daemons and fan out to the backend servers from
//!   `--clients N` (default 7) clients that share no state. Servers come from `--servers` or
//!   `--backend-control`.
//! * `--servers FILE`: configuration file of the stand-in servers. Provides the shard
//!   maps for the checks and the addresses for `--direct`.
//! * `--backend-control ADDR`: control endpoint of a `standin-backend`, may be
//!   repeated. Provides the counters for the extra load, the executions per key,
//!   and the server list if `--servers` is absent.
//! * `--connections N`: connections per address. Default 256 per daemon, and with
//!   `--direct` the server's limit divided by the clients, at least 1.
//! * `--threads N` (default 1): worker threads among which the arrivals are divided.
//!   In direct mode each client belongs to one thread; otherwise the connections to
//!   a daemon are divided among the threads.
//! * `--warmup-s S`: arrivals during this time are sent but not reported. Default 0.
//! * `--max-in-flight N` (default 20000): arrivals above this limit are not sent and
//!   count as `not_sent`.
//! * `--drain-ms MS` (default 5000): how long to wait for responses after the last arrival.
//!   Requests still in flight after that are cancelled and count as `abandoned`.
//! * `--pids PID,..`: processes whose CPU time is reported per sub-request. The CPU
//!   time of the load generator itself is always reported.
//! * `--output FILE` writes the report as JSON; `--json` prints it instead of
//!   the table.
//!
//! Latency is measured from the scheduled arrival, so it includes stalls of the
//! daemons and of the load generator itself. Extra load is the sub-requests received by the backend
//! servers divided by the shards of the answered queries.
//!
//! Exits with 1 if an answer fails a check, with 2 if the command line is invalid.

mod arrivals;
mod backend;
mod check;
mod compare;
mod direct;
mod options;
mod plan;
mod pool;
mod process;
mod report;
mod run;
mod stats;
mod table;
mod tier;
mod worker;

pub use arrivals::{Arrival, arrivals};
pub use backend::{ServerInfo, Servers};
pub use check::{Answer, Coverage, HitAnswer, Missing, Violation, check};
pub use compare::compare;
pub use options::{Command, LoadError, Options};
pub use plan::{Kind, Plan, Stream};
pub use process::cpu_ticks;
pub use report::{ClassReport, ExtraLoad, Latency, ProcessReport, Report};
pub use run::run;
pub use table::table;
