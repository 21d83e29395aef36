//! Command line options.

use std::path::PathBuf;

use lexopt::prelude::*;

/// Maximum number of daemons of a cluster, which limits a run to a few hundred
/// processes.
pub const MAX_DAEMONS: usize = 200;

/// Maximum number of configured backend servers: the target size.
pub const MAX_SERVERS: usize = 25_000;

/// Printed by `--help`.
pub const HELP: &str = "\
Measure the cost of daemons without callers.

Usage: jasminepond-scale [OPTIONS]

Options:
  --daemons N,..   numbers of daemons (default 7,25,50,100; at most 200)
  --servers N,..   numbers of configured backend servers at 6 daemons
                   (default 100,1000,5000,25000; at most 25000)
  --seconds N      idle time measured per number of daemons (default 15)
  --changes N      configuration changes, one every 11.4 s, published in a
                   second measured period per number of daemons (default 3)
  --scratch DIR    directory for settings and logs
  -h, --help       print help

An empty list skips that measurement. The output is two tables and a JSON document.";

/// Options of a measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Numbers of daemons.
    pub daemons: Vec<usize>,
    /// Numbers of configured backend servers.
    pub servers: Vec<usize>,
    /// Measured idle time in seconds.
    pub seconds: u64,
    /// Number of configuration changes after the idle time.
    pub changes: u64,
    /// Directory for settings and logs.
    pub scratch: PathBuf,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: vec![7, 25, 50, 100],
            servers: vec![100, 1_000, 5_000, 25_000],
            seconds: 15,
            changes: 3,
            scratch: std::env::temp_dir().join(format!("jasminepond-scale-{}", std::process::id())),
        }
    }
}

fn parse_sizes(flag: &str, text: &str, max: usize) -> Result<Vec<usize>, lexopt::Error> {
    let parse = |item: &str| match item.parse() {
        Ok(size) if (1..=max).contains(&size) => Ok(size),
        _ => {
            let message = format!("{flag}: {item:?} is not a number from 1 to {max}");
            Err(lexopt::Error::Custom(message.into()))
        }
    };
    text.split(',')
        .filter(|item| !item.is_empty())
        .map(parse)
        .collect()
}

impl Options {
    /// Parses the command line; returns `None` for `--help`.
    ///
    /// # Errors
    ///
    /// An argument is unknown or invalid; the error names it.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Short('h') | Long("help") => return Ok(None),
                Long("daemons") => {
                    options.daemons =
                        parse_sizes("--daemons", &parser.value()?.string()?, MAX_DAEMONS)?;
                }
                Long("servers") => {
                    options.servers =
                        parse_sizes("--servers", &parser.value()?.string()?, MAX_SERVERS)?;
                }
                Long("seconds") => options.seconds = parser.value()?.parse()?,
                Long("changes") => options.changes = parser.value()?.parse()?,
                Long("scratch") => options.scratch = parser.value()?.into(),
                arg => return Err(arg.unexpected()),
            }
        }
        if options.seconds == 0 {
            return Err("--seconds: must be at least 1".into());
        }
        Ok(Some(options))
    }
}
