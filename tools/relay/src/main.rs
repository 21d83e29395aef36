//! Entry point; see the library's documentation.

use std::process::ExitCode;

use standin_relay::{Options, serve};

fn main() -> ExitCode {
    let options = match Options::parse(lexopt::Parser::from_env()) {
        Ok(options) => options,
        Err(e) => {
            eprintln!("standin-relay: {e}");
            return ExitCode::from(2);
        }
    };
    let on_bound = |bound| println!("{}", serde_json::json!(bound));
    match serve(options, on_bound) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-relay: {e}");
            ExitCode::FAILURE
        }
    }
}
