//! Command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use lexopt::prelude::*;

/// What the tool is asked to do.
#[derive(Debug, Clone)]
pub enum Command {
    /// Generate load.
    Load(Box<Options>),
    /// Print the ratios of two reports.
    Compare(PathBuf, PathBuf),
}

/// Settings of a load run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Plan file.
    pub plan: PathBuf,
    /// Arrivals per second.
    pub rate: f64,
    /// Time in which requests arrive, after the warm-up.
    pub duration: Duration,
    /// Time before the first reported arrival.
    pub warmup: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Caller addresses of the daemons.
    pub daemons: Vec<SocketAddr>,
    /// Fan out to the backend servers without the tier.
    pub direct: bool,
    /// Clients in direct mode.
    pub clients: usize,
    /// Connections per address.
    pub connections: Option<usize>,
    /// Threads that share the arrivals.
    pub threads: usize,
    /// Requests in flight at the same time.
    pub max_in_flight: usize,
    /// Wait for responses after the last arrival.
    pub drain: Duration,
    /// Configuration file of the stand-in servers.
    pub servers: Option<PathBuf>,
    /// Control endpoints of the stand-in servers.
    pub backend_controls: Vec<SocketAddr>,
    /// Processes whose processor time is reported.
    pub pids: Vec<u32>,
    /// File for the report.
    pub output: Option<PathBuf>,
    /// Print the report as JSON.
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
    /// Faulty command line.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read, written or understood.
    #[error("{file}: {fault}")]
    File {
        /// Path.
        file: String,
        /// What is wrong.
        fault: String,
    },
    /// A control endpoint does not respond as expected.
    #[error("control endpoint {address}: {fault}")]
    Control {
        /// Address.
        address: SocketAddr,
        /// What is wrong.
        fault: String,
    },
}

impl From<lexopt::Error> for LoadError {
    fn from(e: lexopt::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

impl Command {
    /// Reads the command line; see the crate's documentation for the flags.
    ///
    /// # Errors
    ///
    /// [`LoadError::Usage`].
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
        let fault = if self.plan.as_os_str().is_empty() {
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
        Err(LoadError::Usage(fault.to_string()))
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
