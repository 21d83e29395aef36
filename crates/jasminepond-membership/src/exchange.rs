//! Anti-entropy: comparison of views by digest and pull of differing records.
//!
//! This is used to join, to heal after a partition and to repair lost gossip. It
//! runs over datagrams instead of a peer link because a joining daemon knows no
//! peers to open links to, a lost reply costs only one more request, and the
//! replying side keeps no state.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use jasminepond_types::{InstanceId, Timestamp};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Member, View};

/// Number of buckets of a view. Their digests take 256 bytes. With 3,900 members
/// a bucket has about 60 records, whose digests take 240 bytes.
pub(crate) const BUCKETS: u8 = 64;

/// Encoded size of a digest.
const DIGEST_BYTES: usize = 4;

/// Maximum number of record digests in a request. More do not fit next to the
/// sender's record. Records whose digests are left out may be sent needlessly.
const MAX_KNOWN: usize = 150;

/// Maximum number of requests in flight to one member.
const PULL_WINDOW: usize = 8;

/// Maximum number of times that one request is sent.
const PULL_TRIES: u32 = 3;

pub(crate) fn bucket_of(instance: &InstanceId) -> u8 {
    (xxh3_64(instance.as_str().as_bytes()) % u64::from(BUCKETS)) as u8
}

/// Digest of a member's rank. The configuration version is left out: it changes
/// at all members at the same time and would make all views differ.
fn digest(member: &Member) -> u32 {
    let text = member.instance.as_str().as_bytes();
    let state = u8::from(member.state);
    let numbers = (u64::from(member.refutation) << 8) | u64::from(state);
    let seed = member.incarnation.get() ^ numbers.rotate_left(32);
    xxh3_64_with_seed(text, seed) as u32
}

/// Digests of all buckets. An empty bucket has digest zero.
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

/// Digests of up to [`MAX_KNOWN`] records after `after` in one bucket.
pub(crate) fn known(view: &View, bucket: u8, after: Option<&InstanceId>) -> Bytes {
    in_bucket(view, bucket, after)
        .take(MAX_KNOWN)
        .flat_map(|member| digest(member).to_be_bytes())
        .collect()
}

/// Records after `after` in one bucket whose digests are not in `known`.
pub(crate) fn missing<'a>(
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

/// A pull request in flight.
#[derive(Debug)]
struct InFlight {
    after: Option<InstanceId>,
    at: Timestamp,
    tries: u32,
}

/// A pull request to send.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct PullRequest {
    pub(crate) bucket: u8,
    pub(crate) after: Option<InstanceId>,
}

/// Pull of buckets from one member.
#[derive(Debug)]
pub(crate) struct Pull {
    pub(crate) peer: SocketAddr,
    pub(crate) nonce: u32,
    /// Whether all differing buckets are pulled.
    pub(crate) full: bool,
    pending: Vec<u8>,
    in_flight: BTreeMap<u8, InFlight>,
}

/// Next step of a pull.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PullStep {
    /// Send these requests.
    Send(Vec<PullRequest>),
    /// Nothing to do until a reply or a timeout.
    Wait,
    /// All buckets have been received.
    Done,
    /// The member does not respond.
    Failed,
}

impl Pull {
    pub(crate) fn new(peer: SocketAddr, nonce: u32, full: bool, pending: Vec<u8>) -> Self {
        Self {
            peer,
            nonce,
            full,
            pending,
            in_flight: BTreeMap::new(),
        }
    }

    /// Handles a reply. `last` is the instance of its last record.
    pub(crate) fn on_reply(&mut self, bucket: u8, done: bool, last: Option<InstanceId>) {
        let Some(request) = self.in_flight.get_mut(&bucket) else {
            return;
        };
        // Duplicate reply to an earlier request for the same bucket.
        if last.is_some() && last <= request.after {
            return;
        }
        match (done, last) {
            (false, Some(last)) => {
                request.after = Some(last);
                request.tries = 0;
            }
            _ => {
                self.in_flight.remove(&bucket);
            }
        }
    }

    /// Returns the requests that are due: new ones and those that have timed out.
    pub(crate) fn step(&mut self, now: Timestamp, timeout: Duration) -> PullStep {
        let mut requests = Vec::new();
        for (&bucket, request) in &mut self.in_flight {
            if request.tries > 0 && now.since(request.at) < timeout {
                continue;
            }
            if request.tries == PULL_TRIES {
                return PullStep::Failed;
            }
            request.tries += 1;
            request.at = now;
            let after = request.after.clone();
            requests.push(PullRequest { bucket, after });
        }
        while self.in_flight.len() < PULL_WINDOW
            && let Some(bucket) = self.pending.pop()
        {
            let request = InFlight {
                after: None,
                at: now,
                tries: 1,
            };
            self.in_flight.insert(bucket, request);
            let after = None;
            requests.push(PullRequest { bucket, after });
        }
        match (requests.is_empty(), self.in_flight.is_empty()) {
            (false, _) => PullStep::Send(requests),
            (true, true) => PullStep::Done,
            (true, false) => PullStep::Wait,
        }
    }
}
