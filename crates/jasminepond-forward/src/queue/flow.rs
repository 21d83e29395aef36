//! Fair order among callers.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use jasminepond_types::Timestamp;

use super::{CallerId, PartId, QueuedPart};

/// Number of callers of one flow that are served by turns of their own. Further callers share
/// turns, so that an attacker with many identities cannot make the table grow.
const MAX_CALLERS: usize = 1_024;

/// Number of turns that further callers share.
const SHARED_TURNS: u64 = 64;

/// Time for which turns are counted under overload.
const PERIOD: Duration = Duration::from_secs(1);

/// What is served by turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Bucket {
    /// One caller.
    Own(CallerId),
    /// Several callers, beyond [`MAX_CALLERS`].
    Shared(u64),
}

#[derive(Debug)]
struct Member {
    /// Number of its next turn.
    turn: u64,
    /// Parts by order of arrival.
    parts: BTreeMap<u64, PartId>,
    /// The same parts by their draws, with their order of arrival.
    draws: BTreeSet<(u64, u64)>,
}

/// Order of callers under overload: turns in the current period, the first draw, the caller.
type Rank = (u32, u64, Bucket);

/// Parts that are interchangeable but for their callers. Callers are served in turn, one part
/// each (round robin: all parts count the same, so no deficit has to be carried over), and the
/// parts of one caller by arrival.
///
/// Under overload the next caller is one with the fewest turns in the current period, and of
/// these the one whose part has the lowest draw. Draws are equal at all queues, so all send the
/// parts of the same searches. By arrival, each queue sends the parts that happen to be in time
/// there, and few searches reach their coverage.
#[derive(Debug, Default)]
pub(super) struct Flow {
    members: HashMap<Bucket, Member>,
    turns: BTreeMap<u64, Bucket>,
    next_turn: u64,
    len: usize,
    ranks: BTreeSet<Rank>,
    /// Turns in the current period, also of callers that have no parts at the moment.
    served: HashMap<Bucket, u32>,
    period: u64,
}

impl Flow {
    pub(super) fn insert(&mut self, part: &QueuedPart, seq: u64) -> Bucket {
        let caller = part.caller;
        let own = Bucket::Own(caller);
        let bucket = match self.members.contains_key(&own) || self.members.len() < MAX_CALLERS {
            true => own,
            false => Bucket::Shared(caller.0 % SHARED_TURNS),
        };
        self.change(bucket, |member| {
            member.parts.insert(seq, part.id);
            member.draws.insert((part.draw, seq));
        });
        self.len += 1;
        bucket
    }

    /// Changes the parts of a caller, which is added or removed as needed.
    fn change(&mut self, bucket: Bucket, change: impl FnOnce(&mut Member)) {
        let served = self.served.get(&bucket).copied().unwrap_or(0);
        let member = self.members.entry(bucket).or_insert_with(|| {
            let turn = self.next_turn;
            self.next_turn += 1;
            self.turns.insert(turn, bucket);
            Member {
                turn,
                parts: BTreeMap::new(),
                draws: BTreeSet::new(),
            }
        });
        if let Some((draw, _)) = member.draws.first() {
            self.ranks.remove(&(served, *draw, bucket));
        }
        change(member);
        if let Some((draw, _)) = member.draws.first() {
            self.ranks.insert((served, *draw, bucket));
        } else {
            self.turns.remove(&member.turn);
            self.members.remove(&bucket);
        }
    }

    pub(super) fn remove(&mut self, bucket: Bucket, seq: u64, draw: u64) {
        self.change(bucket, |member| {
            member.parts.remove(&seq);
            member.draws.remove(&(draw, seq));
        });
        self.len -= 1;
    }

    /// Removes a part that is sent and ends the turn of its caller. Returns whether the caller
    /// had more parts than the mean.
    pub(super) fn serve(&mut self, now: Timestamp, bucket: Bucket, seq: u64, draw: u64) -> bool {
        let parts = self.members.get(&bucket).map_or(0, |m| m.parts.len());
        let over_share = parts * self.members.len() > self.len;
        self.begin_period(now);
        self.remove(bucket, seq, draw);
        self.count_turn(bucket);
        if let Some(member) = self.members.get_mut(&bucket) {
            self.turns.remove(&member.turn);
            member.turn = self.next_turn;
            self.turns.insert(self.next_turn, bucket);
            self.next_turn += 1;
        }
        over_share
    }

    fn count_turn(&mut self, bucket: Bucket) {
        if !self.served.contains_key(&bucket) && self.served.len() >= MAX_CALLERS {
            return;
        }
        let served = self.served.entry(bucket).or_default();
        let first = self.members.get(&bucket).and_then(|m| m.draws.first());
        if let Some((draw, _)) = first {
            self.ranks.remove(&(*served, *draw, bucket));
            self.ranks.insert((*served + 1, *draw, bucket));
        }
        *served += 1;
    }

    /// Forgets the turns of an earlier period. Callers that come once only would otherwise always
    /// go before those that stay.
    fn begin_period(&mut self, now: Timestamp) {
        let period = now.as_micros() / PERIOD.as_micros() as u64;
        if std::mem::replace(&mut self.period, period) == period {
            return;
        }
        self.served.clear();
        let ranks = std::mem::take(&mut self.ranks).into_iter();
        self.ranks = ranks.map(|(_, draw, bucket)| (0, draw, bucket)).collect();
    }

    /// The next part, with its place in the order of arrival.
    pub(super) fn next(&self, by_draw: bool) -> Option<(u64, PartId)> {
        if !by_draw {
            let (_, bucket) = self.turns.first_key_value()?;
            let (seq, id) = self.members.get(bucket)?.parts.first_key_value()?;
            return Some((*seq, *id));
        }
        let (.., bucket) = self.ranks.first()?;
        let member = self.members.get(bucket)?;
        let (_, seq) = member.draws.first()?;
        Some((*seq, *member.parts.get(seq)?))
    }

    /// Whether parts of other callers wait.
    pub(super) fn has_others(&self, caller: CallerId) -> bool {
        self.members.len() > usize::from(self.members.contains_key(&Bucket::Own(caller)))
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn callers(&self) -> usize {
        self.members.len()
    }
}
