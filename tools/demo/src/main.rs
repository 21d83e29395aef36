//! Command line of the demo.

use std::{process::ExitCode, time::Duration};

use jasminepond_demo::{Deployment, Options, run};
use lexopt::prelude::*;

const HELP: &str = "\
Run a deployment as separate processes on this machine and check its guarantees.

Usage: jasminepond-demo [OPTIONS] [foundry|registry]

Options:
  --daemons N    daemons to start (default 6)
  --seconds N    how long requests are sent (default 8)
  -h, --help     print help

Exits with 0 if all guarantees hold, 1 if one is violated or a process failed, 2
if the command line is invalid.";

fn parse() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(None),
            Long("daemons") => options.daemons = parser.value()?.parse()?,
            Long("seconds") => options.duration = Duration::from_secs(parser.value()?.parse()?),
            Value(name) => {
                options.deployment = match name.string()?.as_str() {
                    "foundry" => Deployment::Foundry,
                    "registry" => Deployment::Registry,
                    other => return Err(format!("unknown deployment {other:?}").into()),
                }
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("jasminepond-demo: {err}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(outcome) => {
            print!("{outcome}");
            if outcome.violations().is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(err) => {
            eprintln!("jasminepond-demo: {err}");
            ExitCode::FAILURE
        }
    }
}
