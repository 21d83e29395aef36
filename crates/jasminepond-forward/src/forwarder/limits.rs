//! Rate limits that backend servers state.

use std::time::Duration;

use jasminepond_types::Timestamp;

use super::Forwarder;
use crate::{
    message::{Reply, ServerEvent, StatedLimit},
    request::Part,
    server::{Server, ServerKey},
    timers::Timer,
};

/// Interval at which the sends to a limited server are reported.
const USAGE_INTERVAL: Duration = Duration::from_secs(4);

impl Forwarder {
    /// Records whether a server states a rate limit in its response.
    pub(super) fn observe_limit(&mut self, now: Timestamp, key: ServerKey, reply: &Reply) {
        let Some(server) = self.servers.get_mut(key).filter(|_| !reply.wrong_server) else {
            return;
        };
        let known = server.limit;
        let event = match reply.rate_limit {
            Some(StatedLimit::Limit(limit)) if known != Some(limit) => {
                server.limit = Some(limit);
                if known.is_none() {
                    server.sends = Default::default();
                    self.timers
                        .set(now + USAGE_INTERVAL, Timer::LimitUsage(key));
                }
                ServerEvent::Limited { limit }
            }
            Some(StatedLimit::Invalid) => ServerEvent::InvalidLimit,
            None if known.is_some() => {
                server.limit = None;
                ServerEvent::LimitLifted
            }
            Some(StatedLimit::Limit(_)) | None => return,
        };
        self.log_server_event(key, event);
    }

    /// Reports what this daemon sent to a limited server since the last report.
    pub(super) fn report_limit_usage(&mut self, now: Timestamp, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let Some(limit) = server.limit else {
            return;
        };
        let sends = std::mem::take(&mut server.sends);
        self.timers
            .set(now + USAGE_INTERVAL, Timer::LimitUsage(key));
        if sends.total() > 0 {
            self.log_server_event(key, ServerEvent::LimitUsage { limit, sends });
        }
    }
}

/// Counts a send of a part to a server. Called before the part's own counters change.
pub(super) fn count_send(server: &mut Server, part: &Part) {
    let sends = &mut server.sends;
    match (part.sends, part.calls.is_empty()) {
        (0, _) => sends.first += 1,
        (_, false) => sends.hedged += 1,
        (_, true) => sends.retried += 1,
    }
}
