//! Parsing of the command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use jasminepond_config::{LogFormat, LogLevel, OutputFormat};
use lexopt::{Arg, Parser, ValueExt};

/// A command to run.
#[derive(Debug)]
pub enum Command {
    /// Run a daemon.
    Serve(Serve),
    /// Run a gateway.
    Gateway(Gateway),
    /// Check a configuration folder.
    Check(Check),
    /// Send a search.
    Search(Search),
    /// Send a non-idempotent request.
    Execute(Execute),
    /// Show the state of a daemon.
    Status(Status),
}

/// A parsed command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run a command.
    Run(Command),
    /// Print a text, such as the help, and exit.
    Print(String),
}

/// Options of `serve`.
#[derive(Debug, Default)]
pub struct Serve {
    /// Settings file of the process.
    pub settings: PathBuf,
    /// Overrides the log level of the settings.
    pub log_level: Option<LogLevel>,
    /// Overrides the log format of the settings.
    pub log_format: Option<LogFormat>,
}

/// Options of `gateway`.
#[derive(Debug, Default)]
pub struct Gateway {
    /// Settings file of the process.
    pub settings: PathBuf,
    /// Overrides the log level of the settings.
    pub log_level: Option<LogLevel>,
}

/// What `check` compares with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Against {
    /// A folder, or a file with a release.
    Path(PathBuf),
    /// Operators' address of a daemon or gateway.
    Daemon(SocketAddr),
}

/// Options of `check`.
#[derive(Debug)]
pub struct Check {
    /// The folder, or the file if `release` is set.
    pub path: PathBuf,
    /// Whether to check a release of a gateway.
    pub release: bool,
    /// The output format.
    pub format: OutputFormat,
    /// The version in force.
    pub against: Option<Against>,
}

/// Options common to `search` and `execute`.
#[derive(Debug, Default)]
pub struct Request {
    /// Address at which a daemon accepts requests of callers.
    pub to: Option<SocketAddr>,
    /// Tenant.
    pub tenant: String,
    /// Class.
    pub class: String,
    /// Group.
    pub group: String,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether to print the response as JSON.
    pub json: bool,
}

/// Options of `search`.
#[derive(Debug, Default)]
pub struct Search {
    /// Common options.
    pub request: Request,
    /// Maximum number of hits.
    pub limit: Option<u32>,
    /// Query text.
    pub query: String,
}

/// Options of `execute`.
#[derive(Debug, Default)]
pub struct Execute {
    /// Common options.
    pub request: Request,
    /// Request key of an earlier attempt. A new key is requested if it is not given.
    pub key: Option<String>,
    /// The operation as JSON.
    pub operation: String,
}

/// Options of `status`.
#[derive(Debug, Default)]
pub struct Status {
    /// Address at which a daemon accepts requests of operators.
    pub to: Option<SocketAddr>,
    /// Whether to print the whole state as JSON.
    pub json: bool,
}

/// The command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// A flag or value is invalid.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
    /// The command does not exist.
    #[error(
        "unknown command {0:?}; commands are serve, gateway, check, search, execute and status"
    )]
    UnknownCommand(String),
    /// A required argument is missing.
    #[error("{command}: {what} is missing")]
    Missing {
        /// The command.
        command: &'static str,
        /// The missing argument.
        what: &'static str,
    },
}

const HELP: &str = "\
jasminepond: a query tier in front of many shards

Usage: jasminepond COMMAND [OPTIONS]

Commands:
  serve    run a daemon
  gateway  forward HTTP requests to backend servers, with routes from a store
  check    check a configuration folder and print the merged result
  search   send a search to a daemon
  execute  send a non-idempotent request to a daemon
  status   show the state of a daemon and of all daemons known to it

Options:
  -h, --help     print help; 'jasminepond COMMAND --help' for one command
  -V, --version  print the version

Exit codes:
  0  done
  1  failed; for 'check': the folder has mistakes
  2  the command line is invalid
  3  a search did not cover all shards, or a request was not completed
  4  for 'check': valid, with warnings";

const SERVE_HELP: &str = "\
Run a daemon until SIGTERM or SIGINT.

Usage: jasminepond serve --settings FILE [OPTIONS]

Options:
  --settings FILE    settings of the process (docs/CONFIGURATION.md)
  --log-level LEVEL  critical, error, warn, info, debug or trace
  --log-format FORMAT  text or json

Prints the bound addresses as one line of JSON on standard output; the log goes
to standard error. After a signal, exits with 0 once all requests are answered,
or with 1 if the drain limit passes first. Exits with 1 if it cannot start.";

const GATEWAY_HELP: &str = "\
Forward HTTP requests to backend servers until SIGTERM or SIGINT.

Usage: jasminepond gateway --settings FILE [OPTIONS]

Options:
  --settings FILE    settings of the process (docs/PLATFORM.md)
  --log-level LEVEL  critical, error, warn, info, debug or trace

The log goes to standard output, one JSON object per line. SIGHUP checks the
settings file again. After a signal, exits with 0 once all requests are answered,
or with 1 if the drain limit passes first. Exits with 1 if it cannot start.";

const CHECK_HELP: &str = "\
Check a configuration folder, or a release of a gateway, before it is deployed.

Usage: jasminepond check [OPTIONS] FOLDER
       jasminepond check [OPTIONS] --release FILE

Options:
  --release FILE   check a release of a gateway, as it is written to the store
  --against WHAT   print the differences from the version in force: a folder or
                   file, or the operators' address of a daemon or gateway
  --format FORMAT  text or json
  --json           as --format json

Prints the merged configuration, or each mistake with file, path and reason;
then warnings about entries that have no effect or contradict each other, and
the differences. A daemon tells only whether it has the same files, a gateway
the version and which routes it has.

Exit codes:
  0  valid
  1  there are mistakes, or the version in force cannot be read
  2  the command line is invalid
  4  valid, with warnings";

const SEARCH_HELP: &str = "\
Send a search and print the response with its coverage.

Usage: jasminepond search --to ADDRESS --tenant T --class C --group G [OPTIONS] QUERY

Options:
  --to ADDRESS      callers' address of a daemon, for example 127.0.0.1:7000
  --tenant T        tenant
  --class C         class
  --group G         group of services to search
  --limit N         maximum number of hits
  --deadline-ms N   deadline in milliseconds
  --json            print the whole response as JSON

Exits with 0 if all shards answered, with 3 if some are missing or the search
was refused, with 1 if the daemon did not respond.";

const EXECUTE_HELP: &str = "\
Send a non-idempotent request, with a new key unless one is given.

Usage: jasminepond execute --to ADDRESS --tenant T --class C --group G [OPTIONS] OPERATION

Options:
  --to ADDRESS      callers' address of a daemon
  --tenant T        tenant
  --class C         class
  --group G         group of servers, one of which runs the operation
  --key KEY         key of an earlier attempt, to learn its outcome
  --deadline-ms N   deadline in milliseconds
  --json            print the whole response as JSON

OPERATION is JSON and is not interpreted. Exits with 0 if it was done, with 3 if
it was not run or the outcome is unknown, with 1 if the daemon did not respond.";

const STATUS_HELP: &str = "\
Show the state of a daemon, and the configuration revision of every daemon.

Usage: jasminepond status --to ADDRESS [--json]

Options:
  --to ADDRESS  operators' address of a daemon
  --json        print the whole state as JSON

Exits with 0 if all running daemons have the same revision, otherwise with 3.";

/// Parses the command line.
///
/// # Errors
///
/// A flag, value or command is invalid, or a required argument is missing.
pub fn parse(mut parser: Parser) -> Result<Parsed, UsageError> {
    match parser.next()? {
        None => Ok(Parsed::Print(HELP.to_owned())),
        Some(Arg::Short('h') | Arg::Long("help")) => Ok(Parsed::Print(HELP.to_owned())),
        Some(Arg::Short('V') | Arg::Long("version")) => Ok(version()),
        Some(Arg::Value(command)) => match command.string()?.as_str() {
            "serve" => serve(parser),
            "gateway" => gateway(parser),
            "check" => check(parser),
            "search" => search(parser),
            "execute" => execute(parser),
            "status" => status(parser),
            "help" => Ok(Parsed::Print(HELP.to_owned())),
            other => Err(UsageError::UnknownCommand(other.to_owned())),
        },
        Some(arg) => Err(arg.unexpected().into()),
    }
}

fn version() -> Parsed {
    Parsed::Print(format!("jasminepond {}", env!("CARGO_PKG_VERSION")))
}

/// Handles `--help` and `--version` of a command.
fn help_or_version(arg: &Arg<'_>, help: &str) -> Option<Parsed> {
    match arg {
        Arg::Short('h') | Arg::Long("help") => Some(Parsed::Print(help.to_owned())),
        Arg::Short('V') | Arg::Long("version") => Some(version()),
        _ => None,
    }
}

fn serve(mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut serve = Serve::default();
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, SERVE_HELP) {
            return Ok(printed);
        }
        match arg {
            Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Arg::Long("log-level") => serve.log_level = Some(parser.value()?.parse()?),
            Arg::Long("log-format") => serve.log_format = Some(parser.value()?.parse()?),
            arg => return Err(arg.unexpected().into()),
        }
    }
    serve.settings = settings.ok_or(UsageError::Missing {
        command: "serve",
        what: "--settings",
    })?;
    Ok(Parsed::Run(Command::Serve(serve)))
}

fn gateway(mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut gateway = Gateway::default();
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, GATEWAY_HELP) {
            return Ok(printed);
        }
        match arg {
            Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Arg::Long("log-level") => gateway.log_level = Some(parser.value()?.parse()?),
            arg => return Err(arg.unexpected().into()),
        }
    }
    gateway.settings = settings.ok_or(UsageError::Missing {
        command: "gateway",
        what: "--settings",
    })?;
    Ok(Parsed::Run(Command::Gateway(gateway)))
}

fn check(mut parser: Parser) -> Result<Parsed, UsageError> {
    let (mut path, mut release, mut against) = (None, false, None);
    let mut format = OutputFormat::default();
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, CHECK_HELP) {
            return Ok(printed);
        }
        match arg {
            Arg::Long("format") => format = parser.value()?.parse()?,
            Arg::Long("json") => format = OutputFormat::Json,
            Arg::Long("release") if path.is_none() => {
                path = Some(PathBuf::from(parser.value()?));
                release = true;
            }
            Arg::Long("against") => against = Some(Against::from(parser.value()?)),
            Arg::Value(folder) if path.is_none() => path = Some(PathBuf::from(folder)),
            arg => return Err(arg.unexpected().into()),
        }
    }
    let path = path.ok_or(UsageError::Missing {
        command: "check",
        what: "FOLDER",
    })?;
    Ok(Parsed::Run(Command::Check(Check {
        path,
        release,
        format,
        against,
    })))
}

impl From<OsString> for Against {
    fn from(value: OsString) -> Self {
        match value.to_str().and_then(|text| text.parse().ok()) {
            Some(address) => Self::Daemon(address),
            None => Self::Path(value.into()),
        }
    }
}

impl Request {
    /// Parses a common flag and its value. Returns `false` if `name` is not one.
    fn parse_flag(&mut self, name: &str, parser: &mut Parser) -> Result<bool, UsageError> {
        match name {
            "to" => self.to = Some(parser.value()?.parse()?),
            "tenant" => self.tenant = parser.value()?.string()?,
            "class" => self.class = parser.value()?.string()?,
            "group" => self.group = parser.value()?.string()?,
            "deadline-ms" => self.deadline_ms = Some(parser.value()?.parse()?),
            "json" => self.json = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn check_required(&self, command: &'static str) -> Result<(), UsageError> {
        let missing = [
            (self.to.is_none(), "--to"),
            (self.tenant.is_empty(), "--tenant"),
            (self.class.is_empty(), "--class"),
            (self.group.is_empty(), "--group"),
        ];
        match missing.into_iter().find(|(missing, _)| *missing) {
            Some((_, what)) => Err(UsageError::Missing { command, what }),
            None => Ok(()),
        }
    }
}

/// An argument that does not borrow the parser.
enum OwnedArg {
    Long(String),
    Short(char),
    Value(OsString),
}

impl From<Arg<'_>> for OwnedArg {
    fn from(arg: Arg<'_>) -> Self {
        match arg {
            Arg::Long(name) => Self::Long(name.to_owned()),
            Arg::Short(name) => Self::Short(name),
            Arg::Value(value) => Self::Value(value),
        }
    }
}

impl OwnedArg {
    fn unexpected(self) -> UsageError {
        match self {
            Self::Long(name) => Arg::Long(&name).unexpected().into(),
            Self::Short(name) => Arg::Short(name).unexpected().into(),
            Self::Value(value) => Arg::Value(value).unexpected().into(),
        }
    }
}

fn search(mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut search = Search::default();
    let mut query = None;
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, SEARCH_HELP) {
            return Ok(printed);
        }
        match OwnedArg::from(arg) {
            OwnedArg::Long(name) if name == "limit" => {
                search.limit = Some(parser.value()?.parse()?)
            }
            OwnedArg::Long(name) if search.request.parse_flag(&name, &mut parser)? => {}
            OwnedArg::Value(text) if query.is_none() => query = Some(text.string()?),
            arg => return Err(arg.unexpected()),
        }
    }
    search.request.check_required("search")?;
    search.query = query.ok_or(UsageError::Missing {
        command: "search",
        what: "QUERY",
    })?;
    Ok(Parsed::Run(Command::Search(search)))
}

fn execute(mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut execute = Execute::default();
    let mut operation = None;
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, EXECUTE_HELP) {
            return Ok(printed);
        }
        match OwnedArg::from(arg) {
            OwnedArg::Long(name) if name == "key" => execute.key = Some(parser.value()?.string()?),
            OwnedArg::Long(name) if execute.request.parse_flag(&name, &mut parser)? => {}
            OwnedArg::Value(text) if operation.is_none() => operation = Some(text.string()?),
            arg => return Err(arg.unexpected()),
        }
    }
    execute.request.check_required("execute")?;
    let missing = UsageError::Missing {
        command: "execute",
        what: "OPERATION",
    };
    execute.operation = operation.ok_or(missing)?;
    Ok(Parsed::Run(Command::Execute(execute)))
}

fn status(mut parser: Parser) -> Result<Parsed, UsageError> {
    let mut status = Status::default();
    while let Some(arg) = parser.next()? {
        if let Some(printed) = help_or_version(&arg, STATUS_HELP) {
            return Ok(printed);
        }
        match arg {
            Arg::Long("to") => status.to = Some(parser.value()?.parse()?),
            Arg::Long("json") => status.json = true,
            arg => return Err(arg.unexpected().into()),
        }
    }
    if status.to.is_none() {
        return Err(UsageError::Missing {
            command: "status",
            what: "--to",
        });
    }
    Ok(Parsed::Run(Command::Status(status)))
}
