//! Functions shared by the tests.

#![allow(dead_code, unreachable_pub, missing_docs)]

use jasminepond_dispatch::{
    Action, ConnId, Enqueue, Outcome, ServerQueue, ServerState, Settings, Work, WorkId,
};
use jasminepond_types::{ErrorKind, Timestamp, Weight};

pub fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Idempotent work of tenant `t` with a distant deadline.
pub fn work(id: u64) -> Work {
    Work {
        id: WorkId(id),
        tenant: "t".parse().unwrap(),
        weight: Weight(1),
        priority: 0,
        deadline: ms(1_000_000),
        idempotent: true,
    }
}

/// A queue whose slot limit has grown to the configured maximum.
pub fn warm(settings: Settings) -> ServerQueue {
    let slots = settings.slots.get();
    let mut queue = ServerQueue::new(ms(0), settings, 1);
    let mut id = 1_000_000;
    let mut now = ms(0);
    while queue.hint().slots < slots {
        for _ in 0..slots {
            id += 1;
            assert_eq!(queue.enqueue(now, work(id)), Enqueue::Queued);
        }
        loop {
            let started = run(&mut queue, now);
            if started.is_empty() {
                break;
            }
            now = now + std::time::Duration::from_millis(10);
            for (_, conn) in started {
                queue.completed(now, conn, Outcome::Done);
            }
        }
    }
    queue
}

/// Performs actions until the queue is idle and returns the started work.
/// Connection attempts and checks succeed immediately.
pub fn run(queue: &mut ServerQueue, now: Timestamp) -> Vec<(WorkId, ConnId)> {
    run_all(queue, now).0
}

type Started = Vec<(WorkId, ConnId)>;
type Discarded = Vec<(WorkId, ErrorKind)>;

/// Like [`run`], but also returns the work that ended unsent.
pub fn run_all(queue: &mut ServerQueue, now: Timestamp) -> (Started, Discarded) {
    let (mut started, mut discarded) = (Vec::new(), Vec::new());
    for step in 0.. {
        assert!(step < 10_000, "next() never becomes idle");
        match queue.next(now) {
            Action::Start { work, conn } => started.push((work, conn)),
            Action::Connect => queue.connected(now, new_conn()),
            Action::Close { conn } => {
                queue.closed(now, conn);
            }
            Action::Check { conn } => queue.checked(now, conn, ServerState::Ready),
            Action::Discard { work, kind } => discarded.push((work, kind)),
            Action::Idle { .. } => break,
        }
    }
    (started, discarded)
}

pub fn new_conn() -> ConnId {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnId(NEXT.fetch_add(1, Ordering::Relaxed))
}
