//! Whether this daemon is in contact with any backend server.
//!
//! A daemon that loses its own links and a daemon whose servers have all failed observe the
//! same about each single server. What differs is the number of services: servers of several
//! services do not stop responding at the same moment.

use std::{collections::BTreeSet, time::Duration};

use jasminepond_types::Timestamp;

use crate::service::ServiceKey;

/// Shortest silence of all servers that is taken for a loss of contact.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Number of services whose servers must be silent.
const MIN_SERVICES: usize = 3;

/// A change of the contact with backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactEvent {
    /// No server responds.
    Lost {
        /// Time since any server responded.
        silence: Duration,
        /// Number of services whose servers were tried since then.
        services: usize,
    },
    /// A server responds again.
    Regained {
        /// Time for which no server responded.
        lost_for: Duration,
    },
}

/// Contact of this daemon with all backend servers together.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// When any server last responded or accepted a connection.
    heard: Timestamp,
    /// Services with a server that failed to respond since then.
    silent: BTreeSet<ServiceKey>,
    lost_since: Option<Timestamp>,
}

impl Contact {
    /// Records a sign of life of a server.
    pub(crate) fn heard(&mut self, now: Timestamp) -> Option<ContactEvent> {
        self.heard = now;
        self.silent.clear();
        let since = self.lost_since.take()?;
        let lost_for = now.since(since);
        Some(ContactEvent::Regained { lost_for })
    }

    /// Records that a server of a service failed to respond in time, or that no connection
    /// to it could be opened.
    pub(crate) fn unanswered(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
    ) -> Option<ContactEvent> {
        self.silent.insert(service);
        let silence = now.since(self.heard);
        let services = self.silent.len();
        if self.lost_since.is_some() || silence < MIN_SILENCE || services < MIN_SERVICES {
            return None;
        }
        self.lost_since = Some(self.heard);
        Some(ContactEvent::Lost { silence, services })
    }

    /// Time for which no server has responded, if contact is lost.
    pub(crate) fn lost_for(&self, now: Timestamp) -> Option<Duration> {
        self.lost_since.map(|since| now.since(since))
    }
}
