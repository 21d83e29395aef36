//! Which changes still have to be sent, and how often each was.

use std::collections::BTreeMap;

/// Which change comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// The least sent, so that news overtakes what most members have.
    LeastSent,
    /// In turns, so that a flood of changes cannot hold any of them back.
    Turns,
}

/// Position in the queue: the number of times sent, if it counts, and then
/// the order of arrival.
type Place = (u32, u64);

/// Changes waiting to be sent on the next datagrams. All operations take
/// logarithmic time, since a configuration change queues every member.
#[derive(Debug)]
pub(crate) struct Queue<K> {
    order: Order,
    waiting: BTreeMap<Place, K>,
    places: BTreeMap<K, (Place, u32)>,
    arrivals: u64,
}

/// What became of a change offered to a datagram.
pub(crate) enum Fit {
    /// It was added.
    Put,
    /// It no longer exists.
    Gone,
    /// It does not fit any more.
    Full,
}

impl<K: Clone + Ord> Queue<K> {
    pub(crate) fn new(order: Order) -> Self {
        Self {
            order,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a change. A newer change of the same thing replaces the older.
    pub(crate) fn push(&mut self, key: K) {
        match (self.places.get_mut(&key), self.order) {
            (Some((_, sent)), Order::Turns) => *sent = 0,
            (Some((place, _)), Order::LeastSent) => {
                self.waiting.remove(place);
                self.insert(key, 0);
            }
            (None, _) => self.insert(key, 0),
        }
    }

    fn insert(&mut self, key: K, sent: u32) {
        self.arrivals += 1;
        let place = match self.order {
            Order::LeastSent => (sent, self.arrivals),
            Order::Turns => (0, self.arrivals),
        };
        self.waiting.insert(place, key.clone());
        self.places.insert(key, (place, sent));
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.places.clear();
    }

    /// Offers changes to `put` until it reports that the next does not fit.
    /// A change that was sent `limit` times is dropped.
    pub(crate) fn fill(&mut self, limit: u32, mut put: impl FnMut(&K) -> Fit) {
        let mut again = Vec::new();
        while let Some((place, key)) = self.waiting.pop_first() {
            let fit = put(&key);
            if matches!(fit, Fit::Full) {
                self.waiting.insert(place, key);
                break;
            }
            let sent = self.places.remove(&key).map_or(0, |(_, sent)| sent + 1);
            if matches!(fit, Fit::Put) && sent < limit {
                again.push((key, sent));
            }
        }
        // Only now, so that no change is offered twice.
        for (key, sent) in again {
            self.insert(key, sent);
        }
    }
}
