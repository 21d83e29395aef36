//! Compares variants of the tier under load and faults.
//!
//! Each repeat runs all variants one after the other, each on a new cluster and with
//! the same seed, so that slow changes of the machine's load affect all variants
//! alike. The table shows the median and range over the repeats, and the ratio to the
//! first variant.

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
