//! Paths of values while files are read.

use std::fmt;

/// A JSON pointer (RFC 6901) as a chain of borrowed segments. It is formatted only
/// for a mistake, since each change of the configuration creates paths for all of
/// 25,000 servers.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Path<'a> {
    /// The whole file.
    Root,
    /// The value of a key of an object.
    Key(&'a Path<'a>, &'a str),
    /// An entry of a list.
    Index(&'a Path<'a>, usize),
}

impl Path<'_> {
    /// The path of a key of the object at this path.
    pub(crate) fn key<'a>(&'a self, key: &'a str) -> Path<'a> {
        Path::Key(self, key)
    }

    /// The path of an entry of the list at this path.
    pub(crate) fn index(&self, index: usize) -> Path<'_> {
        Path::Index(self, index)
    }
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => Ok(()),
            Path::Key(parent, key) => {
                let key = key.replace('~', "~0").replace('/', "~1");
                write!(f, "{parent}/{key}")
            }
            Path::Index(parent, index) => write!(f, "{parent}/{index}"),
        }
    }
}
