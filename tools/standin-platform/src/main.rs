//! Entry point; the library documentation describes the program.

use std::process::ExitCode;

use standin_platform::{Options, serve};

fn main() -> ExitCode {
    let options = match Options::parse(lexopt::Parser::from_env()) {
        Ok(options) => options,
        Err(e) => {
            eprintln!("standin-platform: {e}");
            return ExitCode::from(2);
        }
    };
    let bound = |bound| println!("{}", serde_json::json!(bound));
    match serve(options, bound) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-platform: {e}");
            ExitCode::FAILURE
        }
    }
}
