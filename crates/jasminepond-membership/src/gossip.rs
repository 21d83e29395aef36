//! Queues of changes to disseminate, with the number of transmissions of each.

use std::collections::BTreeMap;

/// Order in which queued changes are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// Least transmitted first, so that new changes overtake those that most
    /// members already have.
    LeastSent,
    /// In turn, so that a flood of changes cannot starve any of them.
    RoundRobin,
}

/// Position in the queue: the number of transmissions, always zero for
/// [`Order::RoundRobin`], then the order of arrival.
type Position = (u32, u64);

/// Changes queued for the next datagrams. Operations on one change take logarithmic
/// time, because a new configuration queues a change of every member.
#[derive(Debug)]
pub(crate) struct Queue<K> {
    order: Order,
    waiting: BTreeMap<Position, K>,
    positions: BTreeMap<K, (Position, u32)>,
    arrivals: u64,
}

/// Outcome of offering a change to a datagram.
pub(crate) enum Fit {
    /// The change was added.
    Added,
    /// The change is obsolete and leaves the queue.
    Stale,
    /// The change does not fit the remaining space.
    Full,
}

impl<K: Clone + Ord> Queue<K> {
    pub(crate) fn new(order: Order) -> Self {
        Self {
            order,
            waiting: BTreeMap::new(),
            positions: BTreeMap::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a change. It replaces an earlier change with the same key.
    pub(crate) fn push(&mut self, key: K) {
        match (self.positions.get_mut(&key), self.order) {
            (Some((_, sent)), Order::RoundRobin) => *sent = 0,
            (Some((position, _)), Order::LeastSent) => {
                self.waiting.remove(position);
                self.insert(key, 0);
            }
            (None, _) => self.insert(key, 0),
        }
    }

    fn insert(&mut self, key: K, sent: u32) {
        self.arrivals += 1;
        let position = match self.order {
            Order::LeastSent => (sent, self.arrivals),
            Order::RoundRobin => (0, self.arrivals),
        };
        self.waiting.insert(position, key.clone());
        self.positions.insert(key, (position, sent));
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.positions.clear();
    }

    /// Offers changes to `put` until one does not fit. A change that has been sent
    /// `limit` times is dropped.
    pub(crate) fn fill(&mut self, limit: u32, mut put: impl FnMut(&K) -> Fit) {
        let mut requeued = Vec::new();
        while let Some((position, key)) = self.waiting.pop_first() {
            let fit = put(&key);
            if matches!(fit, Fit::Full) {
                self.waiting.insert(position, key);
                break;
            }
            let sent = self.positions.remove(&key).map_or(0, |(_, sent)| sent + 1);
            if matches!(fit, Fit::Added) && sent < limit {
                requeued.push((key, sent));
            }
        }
        // Requeued only now, so that no change is offered twice.
        for (key, sent) in requeued {
            self.insert(key, sent);
        }
    }
}
