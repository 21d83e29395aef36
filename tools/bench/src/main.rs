//! Compares variants of the tier under load and faults.
//!
//! Each repeat starts one cluster per variant in turn, so that all variants see
//! the same machine, and runs the load tool with the same seed. The table gives
//! medians over the repeats, their spread, and ratios to the first variant.

mod fault;
mod options;
mod results;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = match options::Options::parse(lexopt::Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("jasminepond-bench: {err}");
            return ExitCode::from(2);
        }
    };
    match run::run(&options) {
        Ok(results) => {
            print!("{}", results.table());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("jasminepond-bench: {err}");
            ExitCode::FAILURE
        }
    }
}
