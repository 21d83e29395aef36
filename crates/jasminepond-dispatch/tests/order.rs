//! Dispatch order by class, tenant and deadline, and refusal of work.

mod support;

use jasminepond_dispatch::{Enqueue, Outcome, ServerQueue, Settings, Work, WorkId};
use jasminepond_types::{ErrorKind, Millis, Slots, Timestamp, Weight};
use proptest::prelude::*;
use support::{ms, run, run_all, warm, work};

fn one_slot() -> ServerQueue {
    warm(Settings {
        slots: Slots(1),
        queue_limit: 64,
        ..Default::default()
    })
}

/// Dispatches all work one request at a time and returns the ids in that order.
fn dispatch_order(queue: &mut ServerQueue, mut now: Timestamp) -> Vec<u64> {
    let mut order = Vec::new();
    loop {
        let started = run(queue, now);
        let Some(&(work, conn)) = started.first() else {
            return order;
        };
        assert_eq!(started.len(), 1);
        order.push(work.0);
        now = now + std::time::Duration::from_millis(10);
        queue.completed(now, conn, Outcome::Done);
    }
}

fn work_of(tenant: &str, weight: u32, id: u64) -> Work {
    Work {
        tenant: tenant.parse().unwrap(),
        weight: Weight(weight),
        ..work(id)
    }
}

/// Guards against lower classes delaying the highest one, and against the highest
/// one starving them: one dispatch in eight goes to the lower classes, oldest
/// first.
#[test]
fn class_priority_is_strict_except_for_the_starvation_share() {
    let mut queue = one_slot();
    for id in 0..4 {
        let priority = 1 - (id % 2) as u32;
        queue.enqueue(
            ms(500),
            Work {
                priority,
                ..work(id)
            },
        );
    }
    for id in 100..120 {
        queue.enqueue(
            ms(500),
            Work {
                priority: 9,
                ..work(id)
            },
        );
    }
    let order = dispatch_order(&mut queue, ms(500));
    let low: Vec<(usize, u64)> = order
        .iter()
        .copied()
        .enumerate()
        .filter(|(_, id)| *id < 100)
        .collect();
    assert_eq!(low, [(7, 0), (15, 1), (22, 2), (23, 3)]);
}

/// Guards against a tenant taking more than its weight while others wait.
#[test]
fn tenants_share_by_weight() {
    let mut queue = one_slot();
    for id in 0..20 {
        queue.enqueue(ms(500), work_of("light", 1, id));
        queue.enqueue(ms(500), work_of("heavy", 3, 100 + id));
    }
    let order = dispatch_order(&mut queue, ms(500));
    let light = order[..16].iter().filter(|id| **id < 100).count();
    assert_eq!(light, 4);
}

/// Guards against skipping a tenant in the round when the one before it has no
/// more work.
#[test]
fn removing_a_tenant_does_not_skip_the_next() {
    let mut queue = one_slot();
    for (tenant, id) in [("a", 1), ("b", 2), ("c", 3), ("b", 4), ("c", 5)] {
        queue.enqueue(ms(500), work_of(tenant, 1, id));
    }
    assert_eq!(dispatch_order(&mut queue, ms(500)), [1, 2, 3, 4, 5]);
}

/// Guards against urgent work of a tenant waiting behind its work with later
/// deadlines.
#[test]
fn earliest_deadline_first_within_a_tenant() {
    let mut queue = one_slot();
    for (id, deadline) in [(1, 9_000), (2, 8_000), (3, 8_500)] {
        let deadline = ms(deadline);
        queue.enqueue(
            ms(500),
            Work {
                deadline,
                ..work(id)
            },
        );
    }
    assert_eq!(dispatch_order(&mut queue, ms(500)), [2, 3, 1]);
}

/// Guards against accepting work that is discarded later, against a retry-after
/// that is too short to help, and against lower classes causing the refusal of a
/// higher one.
#[test]
fn work_that_cannot_finish_is_refused_by_class() {
    let mut queue = one_slot();
    let mut accepted = 0;
    let mut refused = None;
    for id in 0..64 {
        let deadline = ms(600);
        match queue.enqueue(
            ms(500),
            Work {
                deadline,
                ..work(id)
            },
        ) {
            Enqueue::Queued => accepted += 1,
            Enqueue::Refused { kind, retry_after } => {
                refused.get_or_insert((kind, retry_after));
            }
        }
    }
    // 100 ms at about 10 ms each.
    assert!((8..=12).contains(&accepted), "{accepted} accepted");
    let (kind, Millis(retry_after)) = refused.unwrap();
    assert_eq!(kind, ErrorKind::Overloaded);
    assert!((1..=20).contains(&retry_after), "{retry_after} ms");
    let urgent = Work {
        priority: 9,
        deadline: ms(530),
        ..work(1_000)
    };
    assert_eq!(queue.enqueue(ms(500), urgent), Enqueue::Queued);
}

/// Guards against one tenant filling the queue and blocking all others.
#[test]
fn a_full_queue_evicts_work_for_a_tenant_below_its_share() {
    let mut queue = one_slot();
    for id in 0..64 {
        assert_eq!(queue.enqueue(ms(500), work_of("a", 1, id)), Enqueue::Queued);
    }
    assert!(matches!(
        queue.enqueue(ms(500), work_of("a", 1, 64)),
        Enqueue::Refused {
            kind: ErrorKind::Overloaded,
            ..
        }
    ));
    assert_eq!(queue.enqueue(ms(500), work_of("b", 1, 65)), Enqueue::Queued);
    let (_, discarded) = run_all(&mut queue, ms(500));
    assert_eq!(discarded, [(WorkId(63), ErrorKind::Overloaded)]);
}

/// Guards against sending work that the server cannot finish in time.
#[test]
fn work_with_less_time_than_the_median_is_discarded_unsent() {
    let mut queue = one_slot();
    let deadline = ms(525);
    queue.enqueue(ms(500), work(1));
    let started = run(&mut queue, ms(500));
    queue.enqueue(
        ms(500),
        Work {
            deadline,
            ..work(2)
        },
    );
    let (started_late, discarded) = run_all(&mut queue, ms(520));
    assert_eq!(started_late, []);
    assert_eq!(discarded, [(WorkId(2), ErrorKind::DeadlineNotRun)]);
    assert_eq!(started[0].0, WorkId(1));
}

/// Guards against a service time estimate from a slow period keeping a recovered
/// server unused forever.
#[test]
fn an_unused_server_accepts_work_regardless_of_the_estimate() {
    let mut queue = warm(Settings {
        slots: Slots(1),
        initial_service_time: std::time::Duration::from_secs(5),
        ..Default::default()
    });
    let deadline = ms(600);
    assert_eq!(
        queue.enqueue(
            ms(500),
            Work {
                deadline,
                ..work(1)
            }
        ),
        Enqueue::Queued
    );
    assert_eq!(run(&mut queue, ms(500)).len(), 1);
    assert!(matches!(
        queue.enqueue(
            ms(500),
            Work {
                deadline,
                ..work(2)
            }
        ),
        Enqueue::Refused { .. }
    ));
}

proptest! {
    /// Guards against unbounded waits: regardless of arrivals in higher classes,
    /// a request waits at most one starvation share for each older request of the
    /// lower classes and for itself.
    #[test]
    fn waiting_time_of_lower_classes_is_bounded(
        arrivals in proptest::collection::vec((1..4u32, 0..3u8, 1..9u32), 100..300),
    ) {
        let mut queue = one_slot();
        let mut now = ms(500);
        let mut queued_low = 0;
        for id in 0..5 {
            queue.enqueue(now, Work { priority: 0, ..work(id) });
            queued_low += 1;
        }
        let mut dispatches = 0;
        for (at, (priority, tenant, weight)) in arrivals.into_iter().enumerate() {
            let next = work_of(&format!("t{tenant}"), weight, 1_000 + at as u64);
            queue.enqueue(now, Work { priority, ..next });
            for (work, conn) in run(&mut queue, now) {
                dispatches += 1;
                queued_low -= usize::from(work.0 < 5);
                now = now + std::time::Duration::from_millis(10);
                queue.completed(now, conn, Outcome::Done);
            }
        }
        // One request arrives per dispatch, so at most two older requests of
        // other lower classes are ahead of each.
        prop_assert!(dispatches >= 100);
        prop_assert_eq!(queued_low, 0, "after {} dispatches", dispatches);
    }
}
