//! Command line.

use std::{net::SocketAddr, path::PathBuf};

use lexopt::prelude::*;

/// What the program is asked to serve.
#[derive(Debug, Clone)]
pub struct Options {
    /// Folder of the first revision.
    pub dir: Option<PathBuf>,
    /// File of the first instance list.
    pub instances: Option<PathBuf>,
    /// Address of the platform.
    pub listen: SocketAddr,
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Number of the first revision.
    pub revision: u64,
    /// Read limit per second.
    pub reads_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            dir: None,
            instances: None,
            listen: any_port,
            control: any_port,
            revision: 1,
            reads_per_s: 2000,
        }
    }
}

impl Options {
    /// Reads the command line; see the crate's documentation for the flags.
    ///
    /// # Errors
    ///
    /// An unknown flag or a faulty value.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Long("dir") => options.dir = Some(parser.value()?.into()),
                Long("instances") => options.instances = Some(parser.value()?.into()),
                Long("listen") => options.listen = parser.value()?.parse()?,
                Long("control") => options.control = parser.value()?.parse()?,
                Long("revision") => options.revision = parser.value()?.parse()?,
                Long("reads-per-s") => options.reads_per_s = parser.value()?.parse()?,
                other => return Err(other.unexpected()),
            }
        }
        Ok(options)
    }
}
