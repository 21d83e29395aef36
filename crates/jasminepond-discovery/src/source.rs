//! Selection of the daemons that read the store and of the source for all others.

/// Largest number of daemons for which each reads the store itself: with one call every
/// two seconds, they stay below ten calls per second.
const MAX_DIRECT_READERS: usize = 16;

/// Number of daemons that read the store for all others. With three, one may fail while
/// another is cut off from the store.
const READERS: usize = 3;

/// Where a daemon gets changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The daemon with this rank, which reads the store.
    Daemon(usize),
}

/// Whether each daemon reads the store itself if there are this many.
pub fn reads_directly(daemons: usize) -> bool {
    daemons <= MAX_DIRECT_READERS
}

/// Chooses where a daemon gets changes from.
///
/// `running` holds, for each daemon in an order shared by all of them, whether it is
/// considered alive. `rank` is this daemon's index in that order, and `failures` is the
/// number of consecutive failed calls.
///
/// The three readers are spread evenly over the order, and thereby over zones. A daemon
/// whose reader fails tries the other readers, then the store once, and starts over.
///
/// ```
/// use jasminepond_discovery::{Source, choose_source};
///
/// assert_eq!(choose_source(&[true; 7], 3, 0), Source::Store);
/// assert_eq!(choose_source(&[true; 90], 30, 0), Source::Store);
/// assert_eq!(choose_source(&[true; 90], 31, 0), Source::Daemon(30));
/// assert_eq!(choose_source(&[true; 90], 31, 3), Source::Store);
/// ```
pub fn choose_source(running: &[bool], rank: usize, failures: u32) -> Source {
    if reads_directly(running.len()) {
        return Source::Store;
    }
    let readers: Vec<usize> = (0..READERS)
        .filter_map(|n| {
            let first = n * running.len() / READERS;
            let end = (n + 1) * running.len() / READERS;
            (first..end).find(|index| running[*index] || *index == rank)
        })
        .collect();
    let attempt = failures as usize % (readers.len() + 1);
    if readers.contains(&rank) || attempt == readers.len() {
        return Source::Store;
    }
    Source::Daemon(readers[(rank + attempt) % readers.len()])
}
