//! Command line.

use std::path::PathBuf;

use lexopt::prelude::*;

/// Most daemons of one cluster: a few hundred processes in all.
pub const MAX_DAEMONS: usize = 200;

/// Most configured backend servers: the target size.
pub const MAX_SERVERS: usize = 25_000;

/// Printed by `--help`.
pub const HELP: &str = "\
Measure what daemons cost without callers.

Usage: jasminepond-scale [OPTIONS]

Options:
  --daemons N,..   numbers of daemons (default 7,25,50,100; at most 200)
  --servers N,..   numbers of configured backend servers at 6 daemons
                   (default 100,1000,5000,25000; at most 25000)
  --seconds N      quiet time per number of daemons (default 15)
  --changes N      configuration changes, one in 11.4 s, in a second measured
                   time per number of daemons (default 3)
  --scratch DIR    folder for settings and logs
  -h, --help       print help

An empty list skips its part. The output is two tables and a JSON document.";

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// Numbers of daemons.
    pub daemons: Vec<usize>,
    /// Numbers of configured backend servers.
    pub servers: Vec<usize>,
    /// Quiet time.
    pub seconds: u64,
    /// Changes after the quiet time.
    pub changes: u64,
    /// Folder for settings and logs.
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

fn sizes(flag: &str, text: &str, most: usize) -> Result<Vec<usize>, lexopt::Error> {
    let parse = |item: &str| match item.parse() {
        Ok(size) if (1..=most).contains(&size) => Ok(size),
        _ => {
            let message = format!("{flag}: {item:?} is not a number from 1 to {most}");
            Err(lexopt::Error::Custom(message.into()))
        }
    };
    text.split(',')
        .filter(|item| !item.is_empty())
        .map(parse)
        .collect()
}

impl Options {
    /// Reads the command line; `None` if help was asked for.
    ///
    /// # Errors
    ///
    /// Names the wrong flag or value.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Short('h') | Long("help") => return Ok(None),
                Long("daemons") => {
                    options.daemons = sizes("--daemons", &parser.value()?.string()?, MAX_DAEMONS)?;
                }
                Long("servers") => {
                    options.servers = sizes("--servers", &parser.value()?.string()?, MAX_SERVERS)?;
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
