//! Cases of the review that need processes. Usage: `trial CASE PROGRAM RECORD`, with `TROUBLE=0`
//! for the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod cases;
mod site;

use std::{path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &args[..] else {
        eprintln!("usage: trial CASE PROGRAM RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = std::env::temp_dir().join(format!("trial-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&dir) {
        eprintln!("{err}");
        exit(2);
    }
    let run = || {
        cases::run(
            case,
            trouble,
            PathBuf::from(program),
            dir.clone(),
            &PathBuf::from(record),
        )
    };
    let code = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)) {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(err)) => {
            eprintln!("{err}");
            2
        }
        Err(_) => 2,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        eprintln!("{}", dir.display());
    }
    exit(code);
}
