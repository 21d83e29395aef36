//! Command line options.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use lexopt::prelude::*;

/// The command to run.
#[derive(Debug, Clone)]
pub enum Command {
    /// Generate load.
    Load(Box<Options>),
    /// Compare two reports.
    Compare(PathBuf, PathBuf),
}

/// Options of a load run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Plan file.
    pub plan: PathBuf,
    /// Arrivals per second.
    pub rate: f64,
    /// Duration of the measured part, after the warm-up.
    pub duration: Duration,
    /// Duration of the warm-up, whose requests are not reported.
    pub warmup: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Caller addresses of the daemons.
    pub daemons: Vec<SocketAddr>,
    /// Bypass the daemons and fan out to the backend servers.
    pub direct: bool,
    /// Number of clients in direct mode.
    pub clients: usize,
    /// Maximum number of connections per address.
    pub connections: Option<usize>,
    /// Worker threads among which the arrivals are divided.
    pub threads: usize,
    /// Maximum number of concurrent requests.
    pub max_in_flight: usize,
    /// Maximum wait for responses after the last arrival.
    pub drain: Duration,
    /// Configuration file of the stand-in servers.
    pub servers: Option<PathBuf>,
    /// Control endpoints of the stand-in servers.
    pub backend_controls: Vec<SocketAddr>,
    /// Processes whose CPU time is reported.
    pub pids: Vec<u32>,
    /// File to which the report is written.
    pub output: Option<PathBuf>,
    /// Print the report as JSON instead of a table.
    pub json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            plan: PathBuf::new(),
            rate: 100.0,
            duration: Duration::from_secs(10),
            warmup: Duration::ZERO,
            seed: 1,
            daemons: Vec::new(),
            direct: false,
            clients: 7,
            connections: None,
            threads: 1,
            max_in_flight: 20_000,
            drain: Duration::from_secs(5),
            servers: None,
            backend_controls: Vec::new(),
            pids: Vec::new(),
            output: None,
            json: false,
        }
    }
}

/// Why a run cannot start or its report cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read, written or parsed.
    #[error("{file}: {reason}")]
    File {
        /// Path.
        file: String,
        /// Cause.
        reason: String,
    },
    /// A control endpoint is unreachable or returned an unexpected response.
    #[error("control endpoint {address}: {reason}")]
    Control {
        /// Address.
        address: SocketAddr,
        /// Cause.
        reason: String,
    },
}

impl From<lexopt::Error> for LoadError {
    fn from(e: lexopt::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

impl Command {
    /// Parses the command line; the flags are described in the crate documentation.
    ///
    /// # Errors
    ///
    /// [`LoadError::Usage`] if an argument is unknown, invalid or missing.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, LoadError> {
        let mut options = Options::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Long("compare") => {
                    return Ok(Self::Compare(
                        parser.value()?.into(),
                        parser.value()?.into(),
                    ));
                }
                Long("plan") => options.plan = parser.value()?.into(),
                Long("rate") => options.rate = parser.value()?.parse()?,
                Long("duration-s") => options.duration = seconds(parser.value()?.parse()?)?,
                Long("warmup-s") => options.warmup = seconds(parser.value()?.parse()?)?,
                Long("seed") => options.seed = parser.value()?.parse()?,
                Long("daemon") => options.daemons.push(parser.value()?.parse()?),
                Long("direct") => options.direct = true,
                Long("clients") => options.clients = parser.value()?.parse()?,
                Long("connections") => options.connections = Some(parser.value()?.parse()?),
                Long("threads") => options.threads = parser.value()?.parse()?,
                Long("max-in-flight") => options.max_in_flight = parser.value()?.parse()?,
                Long("drain-ms") => {
                    options.drain = Duration::from_millis(parser.value()?.parse()?);
                }
                Long("servers") => options.servers = Some(parser.value()?.into()),
                Long("backend-control") => options.backend_controls.push(parser.value()?.parse()?),
                Long("pids") => options.pids = pids(&parser.value()?.string()?)?,
                Long("output") => options.output = Some(parser.value()?.into()),
                Long("json") => options.json = true,
                other => return Err(other.unexpected().into()),
            }
        }
        options.validate()?;
        Ok(Self::Load(Box::new(options)))
    }
}

impl Options {
    fn validate(&self) -> Result<(), LoadError> {
        let message = if self.plan.as_os_str().is_empty() {
            "--plan is required"
        } else if !(self.rate.is_finite() && self.rate > 0.0) {
            "--rate must be above 0"
        } else if self.direct != self.daemons.is_empty() {
            "either --direct or --daemon is required"
        } else if self.clients == 0 || self.threads == 0 {
            "--clients and --threads must be above 0"
        } else if self.direct && self.servers.is_none() && self.backend_controls.is_empty() {
            "--direct requires --servers or --backend-control"
        } else {
            return Ok(());
        };
        Err(LoadError::Usage(message.to_string()))
    }
}

fn seconds(value: f64) -> Result<Duration, LoadError> {
    Duration::try_from_secs_f64(value).map_err(|e| LoadError::Usage(format!("{value} s: {e}")))
}

fn pids(text: &str) -> Result<Vec<u32>, LoadError> {
    let pid = |t: &str| t.trim().parse();
    let all: Result<_, std::num::ParseIntError> = text.split(',').map(pid).collect();
    all.map_err(|e| LoadError::Usage(format!("--pids {text}: {e}")))
}
