//! Cases of the review that need processes. Usage: `trial CASE TROUBLE PROGRAM RECORD`, where
//! TROUBLE is 0 for the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run.

mod cases;
mod site;

use std::{path::PathBuf, process::exit, thread, time::Duration};

/// Time after which a case that has not ended counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, trouble, program, record] = &args[..] else {
        eprintln!("usage: trial CASE TROUBLE PROGRAM RECORD");
        exit(2);
    };
    let trouble = trouble != "0";
    let dir = std::env::temp_dir().join(format!("trial-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&dir) {
        eprintln!("{err}");
        exit(2);
    }
    let left = dir.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("the case has not ended in time");
        let _ = std::fs::remove_dir_all(left);
        // The processes that are left end with the group of this one (run.sh).
        exit(2);
    });
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
    let _ = std::fs::remove_dir_all(&dir);
    exit(code);
}
