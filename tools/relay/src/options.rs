//! Command-line options.

use std::{fmt, net::SocketAddr, path::PathBuf};

use lexopt::prelude::*;

use crate::{RouteSpec, RoutesFile};

/// Settings from the command line and configuration files.
#[derive(Debug, Clone)]
pub struct Options {
    /// Routes to serve.
    pub routes: Vec<RouteSpec>,
    /// Address of the control endpoint.
    pub control: SocketAddr,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
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
    /// Returns an error for an unknown flag, an unreadable file, or an invalid route
    /// specification.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, OptionsError> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Long("config") => options.read_config(parser.value()?.into())?,
                Long("route") => {
                    let text = parser.value()?.string()?;
                    let route = serde_json::from_str(&text)
                        .map_err(|e| OptionsError(format!("--route {text}: {e}")))?;
                    options.routes.push(route);
                }
                Long("control") => options.control = parser.value()?.parse()?,
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn read_config(&mut self, path: PathBuf) -> Result<(), OptionsError> {
        let with_path = |e: &dyn fmt::Display| OptionsError(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(&path).map_err(|e| with_path(&e))?;
        let file: RoutesFile = serde_json::from_str(&text).map_err(|e| with_path(&e))?;
        self.routes.extend(file.routes);
        Ok(())
    }
}
