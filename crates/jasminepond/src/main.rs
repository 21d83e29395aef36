//! `jasminepond`: runs a daemon or a gateway, checks a configuration folder, and
//! sends requests to running daemons.

mod args;
mod check;
mod client;
mod logging;
mod status;

use std::{error::Error, fmt::Display, process::ExitCode, rc::Rc};

use args::{Command, Gateway, Parsed, Serve};
use jasminepond_config::Settings;
use jasminepond_daemon::Outcome;
use jasminepond_users_platform::UsersPlatform;

/// The command succeeded.
const EXIT_OK: u8 = 0;
/// The command failed, or the configuration has mistakes.
const EXIT_FAILED: u8 = 1;
/// The command line is invalid.
const EXIT_USAGE: u8 = 2;
/// A search did not cover all shards, an operation is not known to have run, or the
/// daemons have different configuration revisions.
const EXIT_INCOMPLETE: u8 = 3;
/// A configuration is valid, but some of its entries are questionable.
const EXIT_WARNINGS: u8 = 4;

fn main() -> ExitCode {
    let code = match args::parse(lexopt::Parser::from_env()) {
        Ok(Parsed::Print(text)) => {
            println!("{text}");
            EXIT_OK
        }
        Ok(Parsed::Run(command)) => run(command),
        Err(err) => {
            eprintln!("jasminepond: {err}");
            eprintln!("Try 'jasminepond --help'.");
            EXIT_USAGE
        }
    };
    ExitCode::from(code)
}

fn run(command: Command) -> u8 {
    match command {
        Command::Serve(serve) => self::serve(serve),
        Command::Gateway(gateway) => self::gateway(gateway),
        Command::Check(options) => block_on(check::run(options)),
        Command::Search(search) => block_on(client::search(search)),
        Command::Execute(execute) => block_on(client::execute(execute)),
        Command::Status(status) => block_on(status::show(status)),
    }
}

fn block_on(command: impl Future<Output = Result<u8, client::ClientError>>) -> u8 {
    let result = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(command),
        Err(err) => Err(client::ClientError::Runtime(err)),
    };
    result.unwrap_or_else(|err| {
        eprintln!("jasminepond: {err}");
        EXIT_FAILED
    })
}

fn serve(serve: Serve) -> u8 {
    let settings = match Settings::load(&serve.settings) {
        Ok(settings) => settings,
        Err(mistakes) => {
            for mistake in mistakes {
                eprintln!("jasminepond: {mistake}");
            }
            return EXIT_FAILED;
        }
    };
    let level = serve.log_level.unwrap_or(settings.log.level);
    let format = serve.log_format.unwrap_or(settings.log.format);
    if let Err(err) = logging::set_up(level, format) {
        eprintln!("jasminepond: setting up the log failed: {err}");
        return EXIT_FAILED;
    }
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("jasminepond: {err}");
            return EXIT_FAILED;
        }
    };
    let options = jasminepond_daemon::Options { settings };
    let started = |bound: jasminepond_daemon::Bound| {
        let addresses = serde_json::json!({
            "callers": bound.callers,
            "peers": bound.peers,
            "membership": bound.membership,
            "operators": bound.operators,
        });
        println!("{addresses}");
    };
    match runtime.block_on(jasminepond_daemon::run(options, started)) {
        Ok(Outcome::Drained) => EXIT_OK,
        Ok(outcome) => report_failure(&outcome),
        Err(err) => report_failure(&err),
    }
}

/// Prints the reason for a failure to standard error.
fn report_failure(why: &dyn Display) -> u8 {
    eprintln!("jasminepond: {why}");
    EXIT_FAILED
}

fn gateway(gateway: Gateway) -> u8 {
    match try_gateway(gateway) {
        Ok(jasminepond_gateway::Outcome::Drained) => EXIT_OK,
        Ok(outcome) => report_failure(&outcome),
        Err(err) => report_failure(&err),
    }
}

fn try_gateway(gateway: Gateway) -> Result<jasminepond_gateway::Outcome, Box<dyn Error>> {
    let settings = jasminepond_gateway::Settings::load(&gateway.settings)?;
    let level = gateway.log_level.unwrap_or(settings.log_level);
    let options = jasminepond_gateway::Options {
        path: gateway.settings,
        settings,
        adapter: Rc::new(UsersPlatform),
        log: jasminepond_gateway::Log::set_up(level)?,
    };
    let runtime = compio::runtime::Runtime::new()?;
    Ok(runtime.block_on(jasminepond_gateway::run(options))?)
}
