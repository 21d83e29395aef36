//! Who reads the store, and whom the others follow.

/// Daemons up to which each reads the store itself: with a call every two seconds
/// they stay below ten calls a second.
const MAX_DIRECT: usize = 16;

/// Daemons that read the store for all others; one may fail and one may be cut off
/// from the store at the same time.
const READERS: usize = 3;

/// Where a daemon learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From the daemon of this rank, which reads the store.
    Daemon(usize),
}

/// Whether each of so many daemons reads the store itself.
pub fn reads_directly(daemons: usize) -> bool {
    daemons <= MAX_DIRECT
}

/// Chooses where a daemon learns of changes. `running` says of each daemon, in the
/// order that all agree on, whether it is thought to run; `rank` is the own place
/// in it, and `failures` counts the calls that failed in a row.
///
/// Three readers are spread over the order, and thereby over zones. A daemon whose
/// reader fails tries the others, then the store once, and begins anew.
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
            (first..end).find(|at| running[*at] || *at == rank)
        })
        .collect();
    let tried = failures as usize % (readers.len() + 1);
    if readers.contains(&rank) || tried == readers.len() {
        return Source::Store;
    }
    Source::Daemon(readers[(rank + tried) % readers.len()])
}
