//! Which changes still have to be sent, and how often each was.

use std::collections::VecDeque;

/// Changes waiting to be sent on the next datagrams, the least sent first.
#[derive(Debug)]
pub(crate) struct Queue<K> {
    pending: VecDeque<(K, u32)>,
    order: Order,
}

/// Which change comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// The least sent, so that news overtakes what most members have.
    LeastSent,
    /// In turns, so that a flood of changes cannot hold any of them back.
    Turns,
}

impl<K: Clone + PartialEq> Queue<K> {
    pub(crate) fn new(order: Order) -> Self {
        Self {
            pending: VecDeque::new(),
            order,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a change. A newer change of the same thing replaces the older.
    pub(crate) fn push(&mut self, key: K) {
        let waiting = self.pending.iter().position(|(other, _)| *other == key);
        match (waiting, self.order) {
            (Some(at), Order::Turns) => self.pending[at].1 = 0,
            (None, Order::Turns) => self.pending.push_back((key, 0)),
            (Some(at), Order::LeastSent) => {
                self.pending.remove(at);
                self.pending.push_front((key, 0));
            }
            (None, Order::LeastSent) => self.pending.push_front((key, 0)),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Offers changes to `put` until it reports that the next does not fit.
    /// A change that was sent `limit` times is dropped.
    pub(crate) fn fill(&mut self, limit: u32, mut put: impl FnMut(&K) -> Fit) {
        let mut sent = Vec::new();
        while let Some((key, times)) = self.pending.pop_front() {
            match put(&key) {
                Fit::Put => sent.push((key, times + 1)),
                Fit::Gone => {}
                Fit::Full => {
                    self.pending.push_front((key, times));
                    break;
                }
            }
        }
        for (key, times) in sent {
            if times < limit {
                self.put_back(key, times);
            }
        }
    }

    fn put_back(&mut self, key: K, times: u32) {
        let at = match self.order {
            Order::LeastSent => self.pending.partition_point(|&(_, t)| t <= times),
            Order::Turns => self.pending.len(),
        };
        self.pending.insert(at, (key, times));
    }
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
