//! Runs scenario files. Exit codes: 0 if all passed, 1 if an expectation failed,
//! 2 if a file or argument is invalid.

use std::process::ExitCode;

use jasminepond_scenario::{Options, run_files};
use lexopt::prelude::*;

const USAGE: &str = "usage: jasminepond-scenario [--list] FILE..";

fn options() -> Result<Options, lexopt::Error> {
    let mut options = Options::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("list") => options.list = true,
            Value(file) => options.files.push(file.into()),
            _ => return Err(arg.unexpected()),
        }
    }
    if options.files.is_empty() {
        return Err("no scenario file is given".into());
    }
    Ok(options)
}

fn main() -> ExitCode {
    match options() {
        Ok(options) => run_files(&options, |line| println!("{line}")).code().into(),
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}
