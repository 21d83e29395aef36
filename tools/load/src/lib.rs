//! Load tool with open-loop arrivals.
//!
//! ```text
//! jasminepond-load --plan FILE --rate R --duration-s S (--daemon ADDR.. | --direct)
//!     [--seed N] [--warmup-s S] [--drain-ms MS] [--max-in-flight N] [--connections N]
//!     [--servers FILE] [--backend-control ADDR].. [--clients N] [--pids PID,..]
//!     [--threads N] [--output FILE] [--json]
//! jasminepond-load --compare A.json B.json
//! ```
//!
//! * `--plan FILE`: tenants, classes and groups, see [`Plan`].
//! * `--rate R`, `--duration-s S`, `--seed N`: a Poisson process of R arrivals
//!   per second. Equal values give the same arrivals in both modes.
//! * `--daemon ADDR`: a caller address, may be repeated; used round-robin.
//! * `--direct`: fan out to the backend servers without the tier, by `--clients N`
//!   clients (default 7) that share no state. Servers come from `--servers` or
//!   `--backend-control`.
//! * `--servers FILE`: configuration file of the stand-in servers. Shard maps for
//!   the checks, addresses for `--direct`.
//! * `--backend-control ADDR`: control endpoint of a `standin-backend`, may be
//!   repeated: counters for the extra load and executions per key, and the
//!   servers if `--servers` is absent.
//! * `--connections N`: connections per address. Default 256 per daemon, and with
//!   `--direct` the server's limit divided by the clients, at least 1.
//! * `--threads N` (default 1): threads that share the arrivals. A client of the
//!   direct mode belongs to one thread; connections to a daemon are divided.
//! * `--warmup-s S`: arrivals in this time are sent but not reported. Default 0.
//! * `--max-in-flight N` (default 20000): arrivals beyond it count as `not_sent`.
//! * `--drain-ms MS` (default 5000): wait for responses after the last arrival;
//!   then the remaining requests are dropped and count as `abandoned`.
//! * `--pids PID,..`: processes whose processor time is reported per sub-request.
//!   The tool's own process is always reported.
//! * `--output FILE` writes the report as JSON; `--json` prints it in place of
//!   the table.
//!
//! Latency counts from the scheduled arrival, so that a stalled tier or a stalled
//! load tool shows in it. Extra load is the sub-requests received by the backend
//! servers divided by the shards of the answered queries. Exit code 1 if an
//! answer violates a check, 2 for a faulty command line.

mod arrivals;
mod backend;
mod check;
mod compare;
mod direct;
mod lane;
mod options;
mod plan;
mod pool;
mod process;
mod report;
mod run;
mod table;
mod tally;
mod tier;

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
