//! Command line options.

use std::{path::PathBuf, str::FromStr};

use lexopt::prelude::*;

use crate::fault::Fault;

/// Printed by `--help`.
pub const HELP: &str = "\
Compare variants of the tier under load and faults.

Usage: jasminepond-bench [OPTIONS]

Options:
  --deployment NAME   foundry or registry (default foundry)
  --group G           search group of the load (default: the one of 20 services)
  --load L,..         offered load as a share of the group's capacity (default 0.5)
  --fault F,..        none, slow-replica, lost-replicas, lost-zone, pause, silent,
                      rolling (default none)
  --variant V,..      owner, direct, simple, baseline (default owner,direct):
                      owner: forward to the owner of each server
                      direct: each daemon talks to all servers
                      simple: direct, without hedging
                      baseline: the load tool fans out without the tier
  --daemons N         daemons (default 6)
  --deadline-ms N     deadline of each request (default 1000)
  --mix               add a second stream of the class with the lowest priority
  --repeats N         repeats of each variant (default 5)
  --seconds N         measured time of each run (default 8)
  --seed N            seed of arrivals and service times (default 1)
  --programs DIR,..   directories with the programs of several builds to
                      compare; without it, the current tree is built
  --set JSON          configuration merged into every variant, overriding all
                      other settings
  --scratch DIR       directory for logs and reports
  -h, --help          print help";

/// Variant of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Daemons forward requests to the owner of each server.
    Owner,
    /// Every daemon connects to all servers, under a static quota.
    Direct,
    /// Like `Direct`, without hedging.
    Simple,
    /// No daemons: the load generator fans out to the servers.
    Baseline,
}

impl Variant {
    /// Name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Direct => "direct",
            Self::Simple => "simple",
            Self::Baseline => "baseline",
        }
    }
}

impl FromStr for Variant {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Self::Owner, Self::Direct, Self::Simple, Self::Baseline];
        let found = all.into_iter().find(|variant| variant.name() == text);
        found.ok_or_else(|| format!("unknown variant {text:?}"))
    }
}

/// Options of a comparison.
#[derive(Debug, Clone)]
pub struct Options {
    /// Example deployment: `foundry` or `registry`.
    pub deployment: String,
    /// Group to search.
    pub group: String,
    /// Offered loads as shares of the capacity.
    pub loads: Vec<f64>,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Variants to compare.
    pub variants: Vec<Variant>,
    /// Number of daemons.
    pub daemons: usize,
    /// Deadline of each request in milliseconds.
    pub deadline_ms: u64,
    /// Whether to add a second stream, of the class with the lowest priority.
    pub mix: bool,
    /// Repeats of each variant.
    pub repeats: usize,
    /// Measured time of each run in seconds.
    pub seconds: u64,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Directories with the programs of the builds to compare; empty to build the current
    /// tree.
    pub programs: Vec<PathBuf>,
    /// Configuration that overrides all other settings.
    pub set: serde_json::Value,
    /// Directory for logs and reports.
    pub scratch: PathBuf,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployment: "foundry".to_owned(),
            group: String::new(),
            loads: vec![0.5],
            faults: vec![Fault::None],
            variants: vec![Variant::Owner, Variant::Direct],
            daemons: 6,
            deadline_ms: 1_000,
            mix: false,
            repeats: 5,
            seconds: 8,
            seed: 1,
            programs: Vec::new(),
            set: serde_json::json!({}),
            scratch: std::env::temp_dir().join(format!("jasminepond-bench-{}", std::process::id())),
        }
    }
}

fn parse_list<T: FromStr>(text: &str) -> Result<Vec<T>, lexopt::Error>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let parse = |item: &str| {
        item.parse()
            .map_err(|err: T::Err| lexopt::Error::Custom(err.into()))
    };
    text.split(',').map(parse).collect()
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
                Long("deployment") => options.deployment = parser.value()?.string()?,
                Long("group") => options.group = parser.value()?.string()?,
                Long("load") => options.loads = parse_list(&parser.value()?.string()?)?,
                Long("fault") => options.faults = parse_list(&parser.value()?.string()?)?,
                Long("variant") => options.variants = parse_list(&parser.value()?.string()?)?,
                Long("daemons") => options.daemons = parser.value()?.parse()?,
                Long("deadline-ms") => options.deadline_ms = parser.value()?.parse()?,
                Long("mix") => options.mix = true,
                Long("repeats") => options.repeats = parser.value()?.parse()?,
                Long("seconds") => options.seconds = parser.value()?.parse()?,
                Long("seed") => options.seed = parser.value()?.parse()?,
                Long("programs") => options.programs = parse_list(&parser.value()?.string()?)?,
                Long("set") => options.set = parser.value()?.parse()?,
                Long("scratch") => options.scratch = parser.value()?.into(),
                arg => return Err(arg.unexpected()),
            }
        }
        if options.group.is_empty() {
            let foundry = options.deployment == "foundry";
            options.group = if foundry {
                "pattern-shop"
            } else {
                "kit-registry"
            }
            .to_owned();
        }
        Ok(Some(options))
    }
}
