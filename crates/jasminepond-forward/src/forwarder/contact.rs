//! Observations of the contact with backend servers.

use std::time::Duration;

use jasminepond_types::Timestamp;

use super::Forwarder;
use crate::{contact::ContactEvent, message::Action, server::ServerKey};

impl Forwarder {
    /// Time for which no backend server has responded, if contact with all of them is lost.
    pub fn contact_lost_for(&self, now: Timestamp) -> Option<Duration> {
        self.contact.lost_for(now)
    }

    /// Records that a server responded or accepted a connection.
    pub(super) fn observe_contact(&mut self, now: Timestamp, key: ServerKey) {
        if self.is_backend(key) {
            let event = self.contact.heard(now);
            self.log_contact(event);
        }
    }

    /// Records that a server does not respond.
    pub(super) fn observe_silence(&mut self, now: Timestamp, key: ServerKey) {
        if self.is_backend(key) {
            let event = self.contact.unanswered(now, self.servers[key].service);
            self.log_contact(event);
        }
    }

    /// Whether this is a backend server, and not another daemon.
    fn is_backend(&self, key: ServerKey) -> bool {
        let server = self.servers.get(key);
        server.is_some_and(|server| !self.services[server.service].is_helper_group)
    }

    fn log_contact(&mut self, event: Option<ContactEvent>) {
        self.actions.extend(event.map(Action::LogContact));
    }
}
