//! Server processes that are out of use and have asked for something.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use jasminepond_types::Timestamp;

use crate::message::Backend;

/// Processes that are remembered; at ten thousand restarts a day, a day of them.
const MAX_DEPARTED: usize = 10_000;

/// What a process has asked for that no entry takes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wish {
    /// It stops, so it is not to be used again.
    Stops,
    /// It wants no requests until then.
    QuietUntil(Timestamp),
}

#[derive(Debug)]
struct Process {
    address: SocketAddr,
    started: Option<u64>,
    wish: Wish,
}

impl Process {
    fn is(&self, backend: &Backend) -> bool {
        self.address == backend.address && self.started == backend.started
    }
}

/// Remembers what processes asked for whose entry has gone: an entry that shows them
/// again may be older than that.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    processes: HashMap<Arc<str>, Process>,
    /// Their ids, oldest first.
    order: VecDeque<Arc<str>>,
}

impl Departed {
    pub(crate) fn remember(&mut self, backend: &Backend, wish: Wish) {
        let process = Process {
            address: backend.address,
            started: backend.started,
            wish,
        };
        if self.processes.insert(backend.id.clone(), process).is_some() {
            return;
        }
        self.order.push_back(backend.id.clone());
        if self.order.len() > MAX_DEPARTED
            && let Some(oldest) = self.order.pop_front()
        {
            self.processes.remove(&oldest);
        }
    }

    /// What the process of an entry has asked for.
    pub(crate) fn recall(&self, backend: &Backend) -> Option<Wish> {
        let process = self.processes.get(&backend.id)?;
        process.is(backend).then_some(process.wish)
    }

    /// An entry has gone. A process that states no start cannot be told from the next
    /// one under its id, so it is remembered only as long as its entry is there.
    pub(crate) fn entry_gone(&mut self, id: &str) {
        let unnamed = |process: &Process| process.started.is_none();
        if self.processes.get(id).is_some_and(unnamed) {
            self.processes.remove(id);
            self.order.retain(|other| **other != *id);
        }
    }
}
