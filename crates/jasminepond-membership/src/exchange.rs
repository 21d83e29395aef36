//! Comparing two views by digest and pulling the records that differ.
//!
//! Joining, healing after a partition and repairing lost gossip all work this
//! way. Datagrams carry it rather than a peer link: a joining daemon knows no
//! peers to open links to, a lost piece costs one more question, and the
//! answering side keeps no state.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use jasminepond_types::{InstanceId, Timestamp};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Member, View};

/// Buckets of a view. Their digests take 256 bytes; at 3,900 members a bucket
/// has about 60 records, and the digests of those take 240 bytes.
pub(crate) const BUCKETS: u8 = 64;

/// Bytes per digest in a message.
const DIGEST_BYTES: usize = 4;

/// Record digests sent with a question. More do not fit beside the sender's
/// record; without them some records are sent needlessly.
const MAX_KNOWN: usize = 150;

/// Questions to one member on the way at the same time.
const PULL_WINDOW: usize = 8;

/// Times that one question is sent.
const PULL_TRIES: u32 = 3;

pub(crate) fn bucket_of(instance: &InstanceId) -> u8 {
    (xxh3_64(instance.as_str().as_bytes()) % u64::from(BUCKETS)) as u8
}

/// Digest of a member's rank. The configuration is left out: it changes at
/// every member at once and would make all views differ.
fn digest(member: &Member) -> u32 {
    let text = member.instance.as_str().as_bytes();
    let state = u8::from(member.state);
    let numbers = (u64::from(member.refutation) << 8) | u64::from(state);
    let seed = member.incarnation.get() ^ numbers.rotate_left(32);
    xxh3_64_with_seed(text, seed) as u32
}

/// One digest per bucket. An empty bucket has digest zero.
pub(crate) fn summary(view: &View) -> Bytes {
    let mut sums = [0_u32; BUCKETS as usize];
    for member in view.members() {
        let at = usize::from(bucket_of(&member.instance));
        sums[at] = sums[at].wrapping_add(digest(member));
    }
    sums.iter().flat_map(|sum| sum.to_be_bytes()).collect()
}

/// Buckets in which `theirs` has records that `ours` may lack.
pub(crate) fn differing(ours: &[u8], theirs: &[u8]) -> Vec<u8> {
    let pairs = ours.chunks(DIGEST_BYTES).zip(theirs.chunks(DIGEST_BYTES));
    let differs = |(a, b): (&[u8], &[u8])| a != b && b != [0; DIGEST_BYTES];
    (0..BUCKETS)
        .zip(pairs)
        .filter(|&(_, pair)| differs(pair))
        .map(|(bucket, _)| bucket)
        .collect()
}

/// Digests of the records after `after` in one bucket.
pub(crate) fn known(view: &View, bucket: u8, after: Option<&InstanceId>) -> Bytes {
    in_bucket(view, bucket, after)
        .take(MAX_KNOWN)
        .flat_map(|member| digest(member).to_be_bytes())
        .collect()
}

/// Records after `after` in one bucket that are not among `known`.
pub(crate) fn lacking<'a>(
    view: &'a View,
    bucket: u8,
    after: Option<&'a InstanceId>,
    known: &[u8],
) -> impl Iterator<Item = &'a Member> {
    let known: Vec<[u8; DIGEST_BYTES]> = known.as_chunks().0.to_vec();
    in_bucket(view, bucket, after).filter(move |m| !known.contains(&digest(m).to_be_bytes()))
}

fn in_bucket<'a>(
    view: &'a View,
    bucket: u8,
    after: Option<&'a InstanceId>,
) -> impl Iterator<Item = &'a Member> {
    view.members()
        .iter()
        .map(|m| &**m)
        .filter(move |m| after.is_none_or(|after| m.instance > *after))
        .filter(move |m| bucket_of(&m.instance) == bucket)
}

/// A question on the way.
#[derive(Debug)]
struct Asked {
    after: Option<InstanceId>,
    at: Timestamp,
    tries: u32,
}

/// A question to send.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Question {
    pub(crate) bucket: u8,
    pub(crate) after: Option<InstanceId>,
}

/// Pulling buckets from one member.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) peer: SocketAddr,
    pub(crate) nonce: u32,
    /// Whether every differing bucket is pulled.
    pub(crate) full: bool,
    waiting: Vec<u8>,
    asked: BTreeMap<u8, Asked>,
}

/// What to do about a pull.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PullStep {
    /// Send these questions.
    Ask(Vec<Question>),
    /// Nothing to do until an answer or a timeout.
    Wait,
    /// Every bucket was answered.
    Done,
    /// The member does not answer.
    Failed,
}

impl Pull {
    pub(crate) fn new(peer: SocketAddr, nonce: u32, full: bool, waiting: Vec<u8>) -> Self {
        Self {
            peer,
            nonce,
            full,
            waiting,
            asked: BTreeMap::new(),
        }
    }

    /// Takes an answer. `last` is the last member in it.
    pub(crate) fn answered(&mut self, bucket: u8, done: bool, last: Option<InstanceId>) {
        let Some(asked) = self.asked.get_mut(&bucket) else {
            return;
        };
        // A repeated answer to an earlier question of the same bucket.
        if last.is_some() && last <= asked.after {
            return;
        }
        match (done, last) {
            (false, Some(last)) => {
                asked.after = Some(last);
                asked.tries = 0;
            }
            _ => {
                self.asked.remove(&bucket);
            }
        }
    }

    /// Questions that are due: new ones and those whose answer is late.
    pub(crate) fn step(&mut self, now: Timestamp, timeout: Duration) -> PullStep {
        let mut questions = Vec::new();
        for (&bucket, asked) in &mut self.asked {
            if asked.tries > 0 && now.since(asked.at) < timeout {
                continue;
            }
            if asked.tries == PULL_TRIES {
                return PullStep::Failed;
            }
            asked.tries += 1;
            asked.at = now;
            let after = asked.after.clone();
            questions.push(Question { bucket, after });
        }
        while self.asked.len() < PULL_WINDOW
            && let Some(bucket) = self.waiting.pop()
        {
            let asked = Asked {
                after: None,
                at: now,
                tries: 1,
            };
            self.asked.insert(bucket, asked);
            let after = None;
            questions.push(Question { bucket, after });
        }
        match (questions.is_empty(), self.asked.is_empty()) {
            (false, _) => PullStep::Ask(questions),
            (true, true) => PullStep::Done,
            (true, false) => PullStep::Wait,
        }
    }
}
