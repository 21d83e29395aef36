//! Command line entry point; see the documentation of the library.

use std::{fs, path::Path, process::ExitCode};

use jasminepond_load::{Command, LoadError, Options, Report, compare, run, table};

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let result = match Command::parse(lexopt::Parser::from_env()) {
        Ok(Command::Load(options)) => load(&options),
        Ok(Command::Compare(a, b)) => compare_files(&a, &b),
        Err(e) => Err(e),
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jasminepond-load: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn load(options: &Options) -> Result<ExitCode, LoadError> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be built");
    let report = runtime.block_on(run(options))?;
    let json = serde_json::to_string_pretty(&report).expect("a report serializes to JSON");
    if let Some(path) = &options.output {
        fs::write(path, &json).map_err(|e| file_error(path, e))?;
    }
    let text = if options.json { json } else { table(&report) };
    println!("{}", text.trim_end());
    let passed = report.violations.is_empty() && report.execute_violations.is_empty();
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn compare_files(a: &Path, b: &Path) -> Result<ExitCode, LoadError> {
    print!("{}", compare(&read(a)?, &read(b)?));
    Ok(ExitCode::SUCCESS)
}

fn read(path: &Path) -> Result<Report, LoadError> {
    let text = fs::read_to_string(path).map_err(|e| file_error(path, e))?;
    serde_json::from_str(&text).map_err(|e| file_error(path, e))
}

fn file_error(path: &Path, reason: impl std::fmt::Display) -> LoadError {
    LoadError::File {
        file: path.display().to_string(),
        reason: reason.to_string(),
    }
}
