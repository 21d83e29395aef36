//! When the state machine has something to do.

use jasminepond_types::Timestamp;

use crate::{Role, Sync, service::Phase};

impl Sync {
    /// When the next read of the service is due, if one waits for its turn.
    /// Without a tick at this time, a folder of 20 files would take as many
    /// regular ticks.
    pub fn next_read(&self) -> Option<Timestamp> {
        let reads = self.role() != Role::Follower && self.service.phase == Phase::Idle;
        reads.then_some(self.service.next_read)
    }
}
