//! Reports when the state machine needs a tick.

use jasminepond_types::Timestamp;

use crate::{Role, Sync, service::Phase};

impl Sync {
    /// When the next read of the service is due, if this daemon reads and no call
    /// is pending. The caller should tick at this time as well: with the regular
    /// ticks alone, reading a folder of 20 files would take 20 of them.
    pub fn next_read(&self) -> Option<Timestamp> {
        let reads = self.role() != Role::Follower && self.service.phase == Phase::Idle;
        reads.then_some(self.service.next_read)
    }
}
