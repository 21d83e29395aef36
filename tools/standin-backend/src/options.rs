//! Command line.

use std::{fmt, net::SocketAddr, path::PathBuf};

use lexopt::prelude::*;

use crate::{ServerSpec, ServersFile};

/// Command-line options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Servers to run.
    pub servers: Vec<ServerSpec>,
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Threads over which the servers are spread.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 1,
        }
    }
}

/// An invalid command line or configuration file.
#[derive(Debug)]
pub struct OptionsError(String);

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for OptionsError {}

impl From<lexopt::Error> for OptionsError {
    fn from(e: lexopt::Error) -> Self {
        Self(e.to_string())
    }
}

impl Options {
    /// Parses the command line; see the crate's documentation for the flags.
    ///
    /// # Errors
    ///
    /// An unknown flag, an unreadable file, or an invalid server specification.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, OptionsError> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Long("config") => options.read(parser.value()?.into())?,
                Long("server") => {
                    let text = parser.value()?.string()?;
                    let server = serde_json::from_str(&text)
                        .map_err(|e| OptionsError(format!("--server {text}: {e}")))?;
                    options.servers.push(server);
                }
                Long("control") => options.control = parser.value()?.parse()?,
                Long("threads") => options.threads = parser.value()?.parse()?,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn read(&mut self, path: PathBuf) -> Result<(), OptionsError> {
        let invalid = |e: &dyn fmt::Display| OptionsError(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(&path).map_err(|e| invalid(&e))?;
        let file: ServersFile = serde_json::from_str(&text).map_err(|e| invalid(&e))?;
        self.servers.extend(file.servers);
        Ok(())
    }
}
