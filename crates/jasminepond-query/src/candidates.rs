//! Servers that a chooser selects from.

use jasminepond_types::{ServerId, Timestamp};

use crate::MissingReason;

/// The servers of a shard or group that may be used for the next attempt.
#[derive(Debug, Clone, Copy)]
pub struct Candidates<'a> {
    servers: &'a [ServerId],
    excluded: Excluded<'a>,
}

#[derive(Debug, Clone, Copy)]
enum Excluded<'a> {
    Mask(u64),
    List(&'a [usize]),
}

impl<'a> Candidates<'a> {
    /// All of `servers` except those whose bit in `mask` is set. Servers after
    /// the 64th are never candidates.
    pub(crate) fn masked(servers: &'a [ServerId], mask: u64) -> Self {
        Self {
            servers: &servers[..servers.len().min(64)],
            excluded: Excluded::Mask(mask),
        }
    }

    /// All of `servers` except those whose index is in `excluded`.
    pub fn new(servers: &'a [ServerId], excluded: &'a [usize]) -> Self {
        Self {
            servers,
            excluded: Excluded::List(excluded),
        }
    }

    /// Whether the server with this index is a candidate.
    pub fn contains(&self, index: usize) -> bool {
        let excluded = match self.excluded {
            Excluded::Mask(mask) => index < 64 && mask & (1 << index) != 0,
            Excluded::List(list) => list.contains(&index),
        };
        index < self.servers.len() && !excluded
    }

    /// Iterates over the index and id of each candidate.
    ///
    /// ```
    /// use jasminepond_query::Candidates;
    ///
    /// let servers = ["a".parse().unwrap(), "b".parse().unwrap()];
    /// let remaining: Vec<_> = Candidates::new(&servers, &[0]).iter().collect();
    /// assert_eq!(remaining, [(1, &servers[1])]);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (usize, &'a ServerId)> + use<'a> {
        let candidates = *self;
        self.servers
            .iter()
            .enumerate()
            .filter(move |(index, _)| candidates.contains(*index))
    }
}

/// Decision of a chooser.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Use the candidate with this index.
    Use(usize),
    /// No candidate can take the request now; choose again at this time.
    Wait {
        /// When to choose again.
        until: Timestamp,
    },
    /// No candidate is usable.
    None(MissingReason),
}
