//! Permits of this daemon for one process.

use std::{collections::VecDeque, time::Duration};

use jasminepond_types::Timestamp;

/// Time for which a permit can be used. Limits how many permits of an earlier period can
/// add to those of the next.
pub(crate) const LIFETIME: Duration = Duration::from_millis(500);

/// Time after which a request for permits counts as lost. A round trip between regions, plus
/// the time for which a daemon with little processor time may be delayed.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time constant of the average demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Permits for the demand of this time are kept in stock.
const STOCK_TIME: Duration = Duration::from_millis(200);

/// Shortest time between two requests for permits.
const MIN_RETRY: Duration = Duration::from_millis(5);

/// Demand in requests per second below which no permits are kept in stock, since most of
/// them would expire.
const MIN_STOCK_DEMAND: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct Permit {
    from: Timestamp,
    until: Timestamp,
}

/// A request for permits that has no response yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pending {
    pub(crate) id: u32,
    pub(crate) sent: Timestamp,
    pub(crate) count: u16,
}

impl Pending {
    /// When the request counts as lost if it has no response.
    pub(crate) fn lost_at(&self) -> Timestamp {
        self.sent + ASK_TIMEOUT
    }

    pub(crate) fn is_lost(&self, now: Timestamp) -> bool {
        now >= self.lost_at()
    }
}

/// Permits, and the demand for them.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    permits: VecDeque<Permit>,
    pub(crate) pending: Option<Pending>,
    /// Whether the coordinator left the last request unanswered, and the backup is asked.
    ask_backup: bool,
    /// When a request was last left unanswered.
    backup_since: Timestamp,
    /// No permit is available before this time, according to the coordinator.
    pub(crate) next_at: Timestamp,
    demand: f64,
    demand_at: Timestamp,
}

impl Permits {
    fn add(&mut self, now: Timestamp, delays: &[Duration], lifetime: Duration) {
        for delay in delays {
            let from = now + *delay;
            let until = from + lifetime;
            self.permits.push_back(Permit { from, until });
        }
        self.permits
            .make_contiguous()
            .sort_unstable_by_key(|permit| permit.from);
    }

    /// Removes expired permits.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.permits.retain(|permit| now <= permit.until);
    }

    /// Uses a permit.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        self.expire(now);
        let usable = self.permits.front().is_some_and(|p| p.from <= now);
        usable && self.permits.pop_front().is_some()
    }

    /// When the first permit can be used.
    pub(crate) fn first(&self, now: Timestamp) -> Option<Timestamp> {
        let valid = self.permits.iter().find(|permit| now <= permit.until);
        valid.map(|permit| permit.from)
    }

    /// Records a request that is to be sent to the process if a permit is available.
    pub(crate) fn record_demand(&mut self, now: Timestamp) {
        self.demand = self.demand(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    /// Average demand in requests per second.
    fn demand(&self, now: Timestamp) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Number of permits that are held or requested.
    pub(crate) fn expected(&self, now: Timestamp) -> usize {
        let valid = self.permits.iter().filter(|permit| now <= permit.until);
        let pending = self.pending.filter(|pending| !pending.is_lost(now));
        valid.count() + pending.map_or(0, |pending| usize::from(pending.count))
    }

    /// Number of permits to keep in stock.
    pub(crate) fn stock(&self, now: Timestamp) -> usize {
        let demand = self.demand(now);
        match demand < MIN_STOCK_DEMAND {
            true => 0,
            false => (demand * STOCK_TIME.as_secs_f64()).ceil() as usize,
        }
    }

    /// Adds granted permits. Further ones are available after `next_in`.
    /// Each can be used for `lifetime`.
    pub(crate) fn on_grant(
        &mut self,
        now: Timestamp,
        delays: &[Duration],
        next_in: Duration,
        lifetime: Duration,
    ) {
        self.add(now, delays, lifetime);
        self.next_at = now + next_in.max(MIN_RETRY);
    }

    /// Handles a request that got no response in time.
    pub(crate) fn on_ask_lost(&mut self, now: Timestamp) {
        self.pending = None;
        self.ask_backup = !self.ask_backup;
        self.backup_since = now;
    }

    /// Whether the backup is asked instead of the coordinator, for `time` after the
    /// coordinator did not respond.
    pub(crate) fn asks_backup(&mut self, now: Timestamp, time: Duration) -> bool {
        self.ask_backup &= now.since(self.backup_since) < time;
        self.ask_backup
    }

    /// Drops all permits, after the limit was lifted.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn held(&self) -> usize {
        self.permits.len()
    }
}
