//! Command-line options.

use std::{net::SocketAddr, path::PathBuf};

use lexopt::prelude::*;

/// Options of the program.
#[derive(Debug, Clone)]
pub struct Options {
    /// Directory with the files of the first revision; the revision is empty without it.
    pub dir: Option<PathBuf>,
    /// File with the first instance list; the list is empty without it.
    pub instances: Option<PathBuf>,
    /// Listen address of the configuration service and the instance list.
    pub listen: SocketAddr,
    /// Listen address of the control endpoint.
    pub control: SocketAddr,
    /// Number of the first revision.
    pub revision: u64,
    /// Read limit, in calls per second.
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
    /// Parses the command line; the crate documentation lists the flags.
    ///
    /// # Errors
    ///
    /// Fails on an unknown flag, a missing value or a value that cannot be parsed.
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
