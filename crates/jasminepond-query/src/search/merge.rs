//! Merging of the hits of many shards in a bounded heap.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use jasminepond_types::{ServerId, ServiceId};

use crate::{Hit, RankedHit};

/// A hit and its shard. Better hits compare as greater.
#[derive(Debug, PartialEq, Eq)]
struct Ranked {
    hit: Hit,
    shard: u32,
}

impl Ord for Ranked {
    fn cmp(&self, other: &Self) -> Ordering {
        self.hit
            .score
            .cmp(&other.hit.score)
            .then_with(|| other.hit.id.cmp(&self.hit.id))
            .then_with(|| other.shard.cmp(&self.shard))
    }
}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The best hits so far. The limit bounds the memory, whatever the shards return.
#[derive(Debug)]
pub(super) struct Merge {
    limit: usize,
    count: u64,
    /// Min-heap: the worst kept hit is on top.
    best: BinaryHeap<Reverse<Ranked>>,
}

impl Merge {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            count: 0,
            best: BinaryHeap::new(),
        }
    }

    pub(super) fn clear(&mut self) {
        self.count = 0;
        self.best.clear();
    }

    pub(super) fn add(&mut self, shard: u32, count: u64, hits: Vec<Hit>) {
        self.count = self.count.saturating_add(count);
        for hit in hits {
            self.add_hit(Ranked { hit, shard });
        }
    }

    fn add_hit(&mut self, ranked: Ranked) {
        if self.best.len() < self.limit {
            self.best.push(Reverse(ranked));
            return;
        }
        if let Some(mut worst) = self.best.peek_mut()
            && ranked > worst.0
        {
            *worst = Reverse(ranked);
        }
    }

    /// The number of matches, and the hits from best to worst.
    pub(super) fn take(
        &mut self,
        services: &[(ServiceId, Vec<ServerId>)],
    ) -> (u64, Vec<RankedHit>) {
        let sorted = std::mem::take(&mut self.best).into_sorted_vec();
        let hits = sorted.into_iter().map(|Reverse(ranked)| RankedHit {
            id: ranked.hit.id,
            score: ranked.hit.score,
            shard: services[ranked.shard as usize].0.clone(),
        });
        (self.count, hits.collect())
    }
}
