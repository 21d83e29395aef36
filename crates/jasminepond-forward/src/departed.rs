//! Restrictions that outlive the discovery entry of a server process.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use jasminepond_types::Timestamp;

use crate::message::Backend;

/// Maximum number of remembered processes: one day's worth at ten thousand restarts a day.
const MAX_DEPARTED: usize = 10_000;

/// Restriction that a process has asked for and that no entry lifts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Restriction {
    /// The process is stopping and must not be used again.
    Stopping,
    /// The process wants no requests until this time.
    BackOffUntil(Timestamp),
}

#[derive(Debug)]
struct Process {
    address: SocketAddr,
    started: Option<u64>,
    restriction: Restriction,
}

impl Process {
    fn is(&self, backend: &Backend) -> bool {
        self.address == backend.address && self.started == backend.started
    }
}

/// Remembers the restrictions of processes whose entry was removed: an entry that
/// reappears may be older than the restriction.
#[derive(Debug, Default)]
pub(crate) struct DepartedServers {
    processes: HashMap<Arc<str>, Process>,
    /// Ids of the processes, oldest first.
    order: VecDeque<Arc<str>>,
}

impl DepartedServers {
    pub(crate) fn remember(&mut self, backend: &Backend, restriction: Restriction) {
        let process = Process {
            address: backend.address,
            started: backend.started,
            restriction,
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

    /// Restriction of the process that an entry describes.
    pub(crate) fn restriction_of(&self, backend: &Backend) -> Option<Restriction> {
        let process = self.processes.get(&backend.id)?;
        process.is(backend).then_some(process.restriction)
    }

    /// Handles the removal of an entry. A process without a start time cannot be
    /// distinguished from its successor under the same id, so it is forgotten.
    pub(crate) fn on_entry_removed(&mut self, id: &str) {
        let without_start = |process: &Process| process.started.is_none();
        if self.processes.get(id).is_some_and(without_start) {
            self.processes.remove(id);
            self.order.retain(|other| **other != *id);
        }
    }
}
