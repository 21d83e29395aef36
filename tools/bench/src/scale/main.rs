//! Measures the cost of daemons without callers, by the number of daemons and of
//! configured backend servers.
//!
//! Each daemon is a separate process on loopback. The slopes in `docs/CAPACITY.md`
//! come from these figures.

mod daemons;
mod measure;
mod options;
mod servers;
mod table;

use std::{error::Error, process::ExitCode};

use options::Options;
use serde_json::json;
use table::Table;

type BoxError = Box<dyn Error>;

fn main() -> ExitCode {
    let options = match Options::parse(lexopt::Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("jasminepond-scale: {err}");
            return ExitCode::from(2);
        }
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("jasminepond-scale: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), BoxError> {
    let programs = jasminepond_cluster::build_programs()?;
    let mut by_daemons = Table::default();
    for &daemons in &options.daemons {
        let row = daemons::measure(options, &programs, daemons)?;
        eprintln!("{daemons} daemons: {}", row.summary());
        by_daemons.add(row);
    }
    let mut by_servers = Table::default();
    for &servers in &options.servers {
        let row = servers::measure(options, &programs, servers)?;
        eprintln!("{servers} servers: {}", row.summary());
        by_servers.add(row);
    }
    println!("{}\n{}", by_daemons.markdown(), by_servers.markdown());
    let all = json!({ "daemons": by_daemons.json(), "servers": by_servers.json() });
    println!("{all:#}");
    Ok(())
}
