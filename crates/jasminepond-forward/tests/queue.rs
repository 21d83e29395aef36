//! Order of queued parts among classes and callers.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use jasminepond_forward::{
    Blocked, CallerId, Lane, PartId, PartQueue, QueuedPart, ReqKey, ServerChoice,
};
use jasminepond_types::Timestamp;
use proptest::prelude::*;
use slotmap::KeyData;
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn id(req: u64) -> PartId {
    let req = ReqKey::from(KeyData::from_ffi((1 << 32) | (req + 1)));
    PartId { req, part: 0 }
}

fn part(req: u64, priority: u32) -> QueuedPart {
    QueuedPart {
        id: id(req),
        caller: CallerId(req),
        draw: req,
        priority,
        lane: Lane::InTime,
        choice: ServerChoice::ANY,
        send_by: NOW,
    }
}

/// Sends the next `turns` parts.
fn send(queue: &mut PartQueue, turns: usize) -> Vec<QueuedPart> {
    let sent = (0..turns).map_while(|_| {
        let next = queue.next(NOW, &Blocked::default())?;
        queue.sent(NOW, next.id).map(|_| next)
    });
    sent.collect()
}

fn by_class(sent: &[QueuedPart]) -> BTreeMap<u32, usize> {
    let mut counts = BTreeMap::new();
    for part in sent {
        *counts.entry(part.priority).or_default() += 1;
    }
    counts
}

fn queue_of(arrivals: &[usize]) -> PartQueue {
    let mut queue = PartQueue::default();
    let mut next = 0;
    for (priority, count) in (0..).zip(arrivals) {
        for _ in 0..*count {
            queue.arrived(NOW, priority);
            queue.push(NOW, part(next, priority));
            next += 1;
        }
    }
    queue
}

/// Guards against strict priority, under which a class starves, and against shares by which a
/// less urgent class is served more often.
#[test_case(2, 0.25)]
#[test_case(3, 0.25)]
#[test_case(4, 0.25)]
#[test_case(6, 1.0 / 6.0; "6, which cannot each have a quarter")]
fn no_class_starves_under_sustained_backlog(classes: usize, share: f64) {
    let mut queue = queue_of(&vec![2_000; classes]);
    let counts: Vec<_> = by_class(&send(&mut queue, 1_200)).into_values().collect();
    assert_eq!(counts.len(), classes);
    for count in &counts {
        assert!(*count as f64 >= 1_200.0 * share - 2.0, "{counts:?}");
    }
    // One turn may be owed.
    assert!(counts.is_sorted_by(|a, b| *a + 1 >= *b), "{counts:?}");
}

/// Guards against a class with little demand that is served more often per request than a
/// more urgent class with much: classes as in the page at 8 times the load of one of them.
#[test_case(&[1_160, 252, 84]; "the most urgent class")]
#[test_case(&[145, 2_016, 84]; "the second class")]
#[test_case(&[145, 252, 672]; "the third class")]
fn a_more_urgent_class_is_served_as_often_per_request(arrivals: &[usize]) {
    let all: usize = arrivals.iter().sum();
    for turns in [all / 8, all / 4, all / 2] {
        let counts = by_class(&send(&mut queue_of(arrivals), turns));
        let rate = |class: u32| {
            let sent = counts.get(&class).copied().unwrap_or(0);
            sent as f64 / arrivals[class as usize] as f64
        };
        let rates = [rate(0), rate(1), rate(2)];
        let mean = turns as f64 / all as f64;
        // What one request is of each class.
        let one = [0, 1, 2].map(|class| 1.0 / arrivals[class] as f64);
        for (rate, one) in rates.iter().zip(&one) {
            assert!(rate + one >= mean / 4.0, "{rates:?} of {mean}");
        }
        assert!(rates[0] + one[0] + one[1] >= rates[1], "{rates:?}");
        assert!(rates[1] + one[1] + one[2] >= rates[2], "{rates:?}");
    }
}

/// Guards against work on requests whose callers gain little from the answer, before requests
/// that can be in time.
#[test]
fn late_parts_come_after_those_in_time() {
    let mut queue = PartQueue::default();
    let late = |req, priority| QueuedPart {
        lane: Lane::Late,
        ..part(req, priority)
    };
    queue.push(NOW, late(1, 0));
    queue.push(NOW, part(2, 0));
    queue.push(NOW, part(3, 1));
    queue.set_late(id(2));
    let sent: Vec<_> = send(&mut queue, 9).iter().map(|part| part.id).collect();
    assert_eq!(sent, [id(3), id(1), id(2)]);
}

/// Guards against a queue in which each part is sent just too late: with first come, first
/// served, this holds for all of them once the backlog exceeds the objective.
#[test]
fn parts_that_cannot_be_in_time_any_more_come_last() {
    let mut queue = PartQueue::default();
    for req in 0..100 {
        let send_by = NOW - Duration::from_millis(1);
        queue.push(
            NOW,
            QueuedPart {
                send_by,
                ..part(req, 0)
            },
        );
    }
    queue.push(NOW, part(100, 0));
    queue.push(NOW, part(101, 1));
    let sent: Vec<_> = send(&mut queue, 3).iter().map(|part| part.id).collect();
    assert_eq!(sent, [id(100), id(101), id(0)]);
}

/// Guards against a class whose requests are all late and that starves.
#[test]
fn a_class_of_late_parts_is_served() {
    let mut queue = queue_of(&[1_000]);
    for req in 2_000..3_000 {
        queue.arrived(NOW, 1);
        let lane = Lane::Late;
        queue.push(
            NOW,
            QueuedPart {
                lane,
                ..part(req, 1)
            },
        );
    }
    let counts = by_class(&send(&mut queue, 400));
    assert!(counts[&1] >= 99, "{counts:?}");
}

/// Guards against requests that may run once and are refused behind repeatable ones, and
/// against repeatable ones that starve.
#[test]
fn parts_that_run_once_do_not_wait_behind_repeatable_ones() {
    let mut queue = queue_of(&[400]);
    let once = |req| QueuedPart {
        lane: Lane::Once,
        ..part(req, 0)
    };
    queue.push(NOW, once(1_000));
    assert_eq!(queue.next(NOW, &Blocked::default()), Some(once(1_000)));
    for req in 1_001..1_400 {
        queue.push(NOW, once(req));
    }
    let sent = send(&mut queue, 200);
    let once = sent.iter().filter(|part| part.lane == Lane::Once).count();
    assert!((149..=151).contains(&once), "{once} of 200");
}

/// Guards against a caller that displaces others by sending ten times as often: it waits for
/// a turn like each of the others.
#[test]
fn a_caller_that_repeats_often_gets_its_turn_only() {
    let mut queue = PartQueue::default();
    let from = |req, caller| QueuedPart {
        caller: CallerId(caller),
        ..part(req, 1)
    };
    let mut next = 0;
    let mut served = BTreeMap::new();
    // Ten callers with one request per round, one with ten. Eleven are served.
    for _ in 0..100 {
        for _ in 0..10 {
            queue.push(NOW, from(next, 0));
            next += 1;
        }
        for caller in 1..=10 {
            queue.push(NOW, from(next, caller));
            next += 1;
        }
        for part in send(&mut queue, 11) {
            *served.entry(part.caller.0).or_insert(0) += 1;
        }
    }
    for caller in 1..=10 {
        assert_eq!(served[&caller], 100, "{served:?}");
    }
    assert_eq!(served[&0], 100);
}

/// Guards against a caller that returns at once after each turn, and that gets more turns under
/// overload since each of its requests has a new draw.
#[test]
fn a_caller_that_returns_at_once_waits_for_others_under_overload() {
    let mut queue = PartQueue::default();
    let from = |req, caller, draw| QueuedPart {
        caller: CallerId(caller),
        draw,
        ..part(req, 1)
    };
    let too_late = NOW - Duration::from_millis(1);
    queue.push(
        NOW,
        QueuedPart {
            send_by: too_late,
            ..part(0, 1)
        },
    );
    // By draw, the parts of caller 7 come first.
    for req in 1..=4 {
        queue.push(NOW, from(req, 8, 100 + req));
    }
    let mut order = Vec::new();
    for req in 10..14 {
        queue.push(NOW, from(req, 7, 1));
        order.extend(send(&mut queue, 2).iter().map(|part| part.caller.0));
    }
    assert_eq!(order, [7, 8, 7, 8, 7, 8, 7, 8]);
}

/// Guards against turns of greedy callers that are not counted.
#[test]
fn turns_of_callers_over_their_share_are_counted() {
    let mut queue = PartQueue::default();
    for (req, caller) in [(1, 7), (2, 7), (3, 8)] {
        let caller = CallerId(caller);
        queue.push(
            NOW,
            QueuedPart {
                caller,
                ..part(req, 1)
            },
        );
    }
    let later = NOW + Duration::from_millis(5);
    let waits = [1, 3, 2].map(|req| queue.sent(later, id(req)).unwrap());
    assert_eq!(waits.map(|wait| wait.over_share), [true, false, false]);
    assert_eq!(waits[0].waited, Duration::from_millis(5));
}

/// Guards against a table that grows with the identities that an attacker makes up.
#[test]
fn the_number_of_callers_is_bounded() {
    let mut queue = queue_of(&[10_000]);
    let backlog = queue.backlogs().next().unwrap();
    assert_eq!(backlog.parts, 10_000);
    assert!(backlog.callers <= 1_024 + 64, "{} callers", backlog.callers);
    let sent: HashSet<_> = send(&mut queue, 20_000).iter().map(|p| p.id).collect();
    assert_eq!(sent.len(), 10_000);
}

/// Guards against a part that cannot be sent and hides others that may use other servers or
/// are more urgent, and against attempts for parts that cannot be sent either.
#[test]
fn a_blocked_part_blocks_equal_ones_only() {
    let tried = ServerChoice::excluding([1]);
    let mut queue = PartQueue::default();
    queue.push(NOW, part(1, 1));
    queue.push(NOW, part(2, 1));
    queue.push(NOW, part(3, 2));
    queue.push(
        NOW,
        QueuedPart {
            choice: tried,
            ..part(4, 2)
        },
    );
    let mut blocked = Blocked::default();
    blocked.add(&part(1, 1));
    assert_eq!(queue.next(NOW, &blocked).unwrap().id, id(4));
    queue.push(NOW, part(5, 0));
    assert_eq!(queue.next(NOW, &blocked).unwrap().id, id(5));
    queue.remove(id(5));
    queue.remove(id(4));
    assert_eq!(queue.next(NOW, &blocked), None);
}

/// Guards against less urgent calls that fill a server's window just before urgent ones
/// arrive, and against a reserve that holds up less urgent parts while urgent ones wait or
/// have stopped.
#[test]
fn a_part_of_the_window_is_kept_for_arrivals_of_more_urgent_classes() {
    let mut queue = PartQueue::default();
    assert_eq!(queue.reserve(NOW, 1, 16), 0);
    queue.arrived(NOW, 0);
    assert_eq!(queue.reserve(NOW, 0, 16), 0);
    assert_eq!(
        [2, 3, 4, 16].map(|window| queue.reserve(NOW, 1, window)),
        [0, 0, 1, 4]
    );
    assert_eq!(queue.reserve(NOW + Duration::from_secs(1), 1, 16), 0);
    queue.push(NOW, part(1, 0));
    assert_eq!(queue.reserve(NOW, 1, 16), 0);
}

proptest! {
    /// Guards against parts that are lost, sent twice, or remain after their request has ended,
    /// whatever the order of events.
    #[test]
    fn every_part_leaves_once(
        steps in prop::collection::vec((0_u8..5, 0_u64..40, 0_u32..3, 0_u64..4, 0_u64..3), 1..400),
    ) {
        let mut queue = PartQueue::default();
        let mut queued = HashSet::new();
        for (step, req, priority, caller, tried) in steps {
            match step {
                0 | 1 => {
                    let choice = ServerChoice::excluding((0..tried).collect::<Vec<_>>());
                    let caller = CallerId(caller);
                    queue.arrived(NOW, priority);
                    queue.push(NOW, QueuedPart { caller, choice, ..part(req, priority) });
                    queued.insert(id(req));
                }
                2 => prop_assert_eq!(queue.remove(id(req)), queued.remove(&id(req))),
                3 => queue.set_late(id(req)),
                _ => match queue.next(NOW, &Blocked::default()) {
                    Some(next) => {
                        prop_assert!(queued.remove(&next.id));
                        prop_assert!(queue.sent(NOW, next.id).is_some());
                    }
                    None => prop_assert!(queued.is_empty()),
                },
            }
            prop_assert_eq!(queue.len(), queued.len());
            let parts: usize = queue.backlogs().map(|backlog| backlog.parts).sum();
            prop_assert_eq!(parts, queued.len());
        }
    }
}
