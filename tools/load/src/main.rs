//! Entry point; see the library's documentation.

use std::{fs, path::Path, process::ExitCode};

use jasminepond_load::{Command, LoadError, Options, Report, compare, run, table};

const USAGE: u8 = 2;

fn main() -> ExitCode {
    let done = match Command::parse(lexopt::Parser::from_env()) {
        Ok(Command::Load(options)) => load(&options),
        Ok(Command::Compare(a, b)) => compare_files(&a, &b),
        Err(e) => Err(e),
    };
    match done {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jasminepond-load: {e}");
            ExitCode::from(USAGE)
        }
    }
}

fn load(options: &Options) -> Result<ExitCode, LoadError> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime can be built");
    let report = runtime.block_on(run(options))?;
    let json = serde_json::to_string_pretty(&report).expect("a report serializes to JSON");
    if let Some(path) = &options.output {
        fs::write(path, &json).map_err(|e| fault(path, e))?;
    }
    let text = if options.json { json } else { table(&report) };
    println!("{}", text.trim_end());
    let sound = report.violations.is_empty() && report.execute_violations.is_empty();
    Ok(if sound {
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
    let text = fs::read_to_string(path).map_err(|e| fault(path, e))?;
    serde_json::from_str(&text).map_err(|e| fault(path, e))
}

fn fault(path: &Path, fault: impl std::fmt::Display) -> LoadError {
    LoadError::File {
        file: path.display().to_string(),
        fault: fault.to_string(),
    }
}
