//! Fair order among callers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{CallerId, PartId, QueuedPart};

/// Number of callers of one flow that are served by turns of their own. Further callers share
/// turns, so that an attacker with many identities cannot make the table grow.
const MAX_CALLERS: usize = 1_024;

/// Number of turns that further callers share.
const SHARED_TURNS: u64 = 64;

/// What is served by turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
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

/// Parts that are interchangeable but for their callers. Callers are served in turn, one part
/// each (round robin: all parts count the same, so no deficit has to be carried over). The parts
/// of one caller go by arrival or, under overload, by their draws. Draws are equal at all queues,
/// so the parts of the same searches are sent at all of them. By arrival, each queue sends the
/// parts that happen to be in time there, and few searches reach their coverage.
#[derive(Debug, Default)]
pub(super) struct Flow {
    members: HashMap<Bucket, Member>,
    turns: BTreeMap<u64, Bucket>,
    next_turn: u64,
    len: usize,
}

impl Flow {
    pub(super) fn insert(&mut self, part: &QueuedPart, seq: u64) -> Bucket {
        let caller = part.caller;
        let own = Bucket::Own(caller);
        let bucket = match self.members.contains_key(&own) || self.members.len() < MAX_CALLERS {
            true => own,
            false => Bucket::Shared(caller.0 % SHARED_TURNS),
        };
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
        member.parts.insert(seq, part.id);
        member.draws.insert((part.draw, seq));
        self.len += 1;
        bucket
    }

    pub(super) fn remove(&mut self, bucket: Bucket, seq: u64, draw: u64) {
        let Some(member) = self.members.get_mut(&bucket) else {
            return;
        };
        member.draws.remove(&(draw, seq));
        self.len -= usize::from(member.parts.remove(&seq).is_some());
        if member.parts.is_empty() {
            self.turns.remove(&member.turn);
            self.members.remove(&bucket);
        }
    }

    /// Removes a part that is sent and ends the turn of its caller. Returns whether the caller
    /// had more parts than the mean.
    pub(super) fn serve(&mut self, bucket: Bucket, seq: u64, draw: u64) -> bool {
        let parts = self.members.get(&bucket).map_or(0, |m| m.parts.len());
        let over_share = parts * self.members.len() > self.len;
        self.remove(bucket, seq, draw);
        if let Some(member) = self.members.get_mut(&bucket) {
            self.turns.remove(&member.turn);
            member.turn = self.next_turn;
            self.turns.insert(self.next_turn, bucket);
            self.next_turn += 1;
        }
        over_share
    }

    /// The next part, with its place in the order of arrival.
    pub(super) fn next(&self, by_draw: bool) -> Option<(u64, PartId)> {
        let (_, bucket) = self.turns.first_key_value()?;
        let member = self.members.get(bucket)?;
        let (first, id) = member.parts.first_key_value()?;
        if !by_draw {
            return Some((*first, *id));
        }
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
