//! Servers that do not read the requests sent to them.

use jasminepond_types::Timestamp;

use super::Forwarder;
use crate::message::ServerEvent;

impl Forwarder {
    /// Handles a server that does not read requests, or reads them again. Until it does, it gets
    /// no further requests, and those that it has not answered are sent elsewhere where that is
    /// allowed.
    pub fn set_unread(&mut self, now: Timestamp, id: &str, unread: bool) {
        let Some(&key) = self.servers_by_id.get(id) else {
            return;
        };
        let server = &mut self.servers[key];
        if std::mem::replace(&mut server.unread, unread) == unread {
            return;
        }
        let service = server.service;
        if unread {
            let calls = server.calls.clone();
            self.log_server_event(key, ServerEvent::Unread);
            for call in calls {
                self.hedge(now, call);
            }
        } else {
            self.log_server_event(key, ServerEvent::Recovered);
        }
        self.place_waiting(now, service);
    }
}
