//! Reaction to faults of the server, its connections and this process.

mod support;

use std::time::Duration;

use jasminepond_dispatch::{
    Action, Cancelled, ConnId, Enqueue, Health, LostWork, NotRun, Outcome, ServerQueue,
    ServerState, Settings, Work, WorkId,
};
use jasminepond_types::{ErrorKind, Millis, Slots, Timestamp};
use support::{ms, new_conn, run, run_all, warm, work};
use test_case::test_case;

fn settings(slots: u32) -> Settings {
    Settings {
        slots: Slots(slots),
        connection_quota: slots + 1,
        ..Default::default()
    }
}

fn start(queue: &mut ServerQueue, now: Timestamp, ids: std::ops::Range<u64>) -> Vec<ConnId> {
    for id in ids {
        assert_eq!(queue.enqueue(now, work(id)), Enqueue::Queued);
    }
    run(queue, now).into_iter().map(|(_, conn)| conn).collect()
}

fn not_run(reason: NotRun) -> Outcome {
    let retry_after = Some(Millis(40));
    Outcome::NotRun {
        reason,
        retry_after,
    }
}

/// Guards against overloading a server that sheds, and against a single burst of
/// shed responses reducing the limit to its minimum.
#[test]
fn slots_halve_once_per_round_trip() {
    let mut queue = warm(settings(8));
    let conns = start(&mut queue, ms(500), 0..8);
    assert_eq!(conns.len(), 8);
    for conn in conns {
        queue.completed(ms(505), conn, not_run(NotRun::Shed));
    }
    assert_eq!(queue.hint().slots, 4);
    let conns = start(&mut queue, ms(506), 10..20);
    assert_eq!(conns.len(), 4);
    queue.completed(ms(511), conns[0], not_run(NotRun::Shed));
    assert_eq!(queue.hint().slots, 2);
}

/// Guards against sending full load to a cold server.
#[test_case(warm(settings(3)) ; "returned from draining")]
#[test_case(ServerQueue::new(ms(0), settings(3), 1) ; "new")]
fn a_server_ramps_up_from_one_slot(mut queue: ServerQueue) {
    queue.set_draining(ms(500));
    run(&mut queue, ms(500));
    queue.set_ready(ms(500));
    let mut used = Vec::new();
    for round in 0..20 {
        let now = ms(600 + round * 20);
        let mut conns = start(&mut queue, now, round * 10..round * 10 + 6);
        used.push(conns.len());
        while !conns.is_empty() {
            for conn in conns {
                queue.completed(now + Duration::from_millis(5), conn, Outcome::Done);
            }
            conns = start(&mut queue, now, 0..0);
        }
    }
    assert_eq!(used[0], 1);
    assert!(used.is_sorted(), "{used:?}");
    assert_eq!(used.last(), Some(&3));
}

/// Guards against a server that fails fast attracting all work.
#[test]
fn a_fast_failure_holds_its_slot() {
    let mut queue = warm(settings(1));
    let conns = start(&mut queue, ms(500), 0..2);
    queue.completed(ms(501), conns[0], Outcome::Failed);
    assert_eq!(run(&mut queue, ms(501)), []);
    let Action::Idle { until: Some(until) } = queue.next(ms(501)) else {
        panic!("not idle");
    };
    assert!((ms(510)..ms(540)).contains(&until), "{until}");
    assert_eq!(run(&mut queue, until).len(), 1);
}

/// Guards against an unresponsive connection occupying its slot forever, against
/// a retry of work that is not idempotent, and against use of other connections
/// to the server without a check.
#[test_case(true, LostWork::Retryable { work: WorkId(0) } ; "idempotent is retried")]
#[test_case(false, LostWork::OutcomeUnknown { work: WorkId(0) } ; "other work is unknown")]
fn an_unresponsive_connection_is_closed(idempotent: bool, expected: LostWork) {
    let mut queue = warm(settings(2));
    let deadline = ms(900);
    let work = Work {
        idempotent,
        deadline,
        ..work(0)
    };
    queue.enqueue(ms(500), work);
    let (_, conn) = run(&mut queue, ms(500))[0];
    assert!(matches!(queue.next(ms(949)), Action::Idle { .. }));
    assert_eq!(queue.next(ms(950)), Action::Close { conn });
    assert_eq!(queue.closed(ms(950), conn), expected);
    assert!(matches!(queue.next(ms(950)), Action::Check { .. }));
}

/// Guards against waiting for the deadline on a dead connection: there must be
/// time left to try another replica. Work that is not idempotent cannot be sent
/// to another replica, so an early timeout would only lose its outcome.
#[test_case(true, ms(3_400)..ms(3_501) ; "idempotent")]
#[test_case(false, ms(1_000_050)..ms(1_000_051) ; "other work")]
fn the_progress_timeout_follows_the_service_times(
    idempotent: bool,
    expected: std::ops::Range<Timestamp>,
) {
    let mut queue = warm(settings(1));
    let mut now = ms(1_000);
    for id in 0..200 {
        let conn = start(&mut queue, now, id..id + 1)[0];
        now = now + Duration::from_millis(10);
        queue.completed(now, conn, Outcome::Done);
    }
    queue.enqueue(
        now,
        Work {
            idempotent,
            ..work(1_000)
        },
    );
    let (_, conn) = run(&mut queue, now)[0];
    loop {
        match queue.next(now) {
            Action::Idle { until } => now = until.unwrap(),
            Action::Check { conn } => queue.checked(now, conn, ServerState::Ready),
            Action::Close { conn: closed } if closed == conn => break,
            Action::Close { conn: other } => assert_eq!(queue.closed(now, other), LostWork::None),
            other => panic!("{other:?}"),
        }
    }
    assert!(expected.contains(&now), "{now}");
}

/// Guards against a late response being assigned to another request, and against
/// cancelled requests exceeding the slot limit.
#[test]
fn a_cancelled_request_is_drained_before_its_connection_is_reused() {
    let mut queue = warm(Settings {
        connection_quota: 4,
        ..settings(1)
    });
    let conn = start(&mut queue, ms(500), 0..1)[0];
    let Cancelled::SendCancel { conn: on, via } = queue.cancel(ms(501), WorkId(0)) else {
        panic!("not running");
    };
    assert_eq!(on, conn);
    let via = via.expect("an idle connection");
    assert_ne!(via, conn);
    queue.checked(ms(502), via, ServerState::Ready);
    assert_eq!(
        start(&mut queue, ms(502), 1..2),
        [],
        "the slot is still in use"
    );
    assert_eq!(queue.completed(ms(510), conn, Outcome::Done), None);
    assert_eq!(run(&mut queue, ms(510)).len(), 1);
    queue.cancel(ms(511), WorkId(1));
    assert_eq!(queue.next(ms(1_511)), Action::Close { conn });
}

/// Guards against many connection attempts to a server that is down, against
/// queued work waiting for it, and against sending work to a process that accepts
/// connections but hangs.
#[test]
fn a_server_that_is_down_is_probed_by_one_connection_at_a_time() {
    let mut queue = ServerQueue::new(ms(0), settings(2), 1);
    queue.enqueue(ms(1), work(0));
    let mut now = ms(1);
    let mut delays = Vec::new();
    assert_eq!(queue.next(now), Action::Connect);
    assert_eq!(queue.next(now), Action::Connect, "one per warm connection");
    queue.connect_failed(now);
    queue.connect_failed(now);
    now = now + Settings::default().initial_backoff * 2;
    assert_eq!(queue.next(now), Action::Connect);
    assert!(
        matches!(queue.next(now), Action::Idle { .. }),
        "one attempt at a time"
    );
    queue.connect_failed(now);
    while delays.len() < 8 {
        match queue.next(now) {
            Action::Connect => queue.connect_failed(now),
            Action::Discard {
                work: WorkId(0),
                kind,
            } => assert_eq!(kind, ErrorKind::NoBackend),
            Action::Idle { until: Some(until) } => {
                delays.push(until.since(now));
                now = until;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(queue.hint().health, Health::Down);
    assert!(delays[7] > delays[2] * 4, "{delays:?}");
    assert!(matches!(
        queue.enqueue(now, work(1)),
        Enqueue::Refused {
            kind: ErrorKind::NoBackend,
            ..
        }
    ));
    assert_eq!(queue.next(now), Action::Connect);
    assert!(
        matches!(queue.next(now), Action::Idle { .. }),
        "one probe at a time"
    );
    let conn = new_conn();
    queue.connected(now, conn);
    assert_eq!(queue.next(now), Action::Check { conn });
    assert_eq!(queue.hint().health, Health::Down);
    queue.checked(now, conn, ServerState::Ready);
    assert_eq!(queue.hint().health, Health::Ramping);
    assert_eq!(start(&mut queue, now, 2..5), [conn]);
}

/// Guards against marking a server as down that has only reached its connection
/// limit: its open connections still work.
#[test]
fn refused_connections_do_not_mark_a_responding_server_down() {
    let mut queue = ServerQueue::new(ms(0), settings(2), 1);
    queue.enqueue(ms(1), work(0));
    assert_eq!(queue.next(ms(1)), Action::Connect);
    let conn = new_conn();
    queue.connected(ms(1), conn);
    let mut now = ms(1);
    let mut refused = 0;
    for step in 0.. {
        assert!(step < 100, "refused only {refused} times");
        match queue.next(now) {
            Action::Start { .. } => {
                queue.completed(now, conn, Outcome::Done);
            }
            Action::Connect if refused == 4 => break,
            Action::Connect => {
                refused += 1;
                queue.connect_failed(now);
            }
            // The response follows after all refusals.
            Action::Check { .. } => {}
            Action::Idle { until } => now = until.unwrap(),
            other => panic!("{other:?}"),
        }
    }
    assert_ne!(queue.hint().health, Health::Down);
    queue.checked(now, conn, ServerState::Ready);
    assert_eq!(start(&mut queue, now, 1..2), [conn]);
}

/// Guards against a server that has recovered staying unused because a
/// non-idempotent request still waits for its deadline.
#[test]
fn a_pending_request_does_not_delay_the_probe() {
    let mut queue = warm(settings(3));
    queue.enqueue(
        ms(500),
        Work {
            idempotent: false,
            ..work(0)
        },
    );
    let (_, pending) = run(&mut queue, ms(500))[0];
    for id in 1..4 {
        let now = ms(500 + id * 50);
        let conn = start(&mut queue, now, id..id + 1)[0];
        queue.closed(now, conn);
    }
    assert_eq!(queue.hint().health, Health::Down);
    run(&mut queue, ms(650));
    let Action::Idle { until: Some(until) } = queue.next(ms(650)) else {
        panic!("not idle");
    };
    run(&mut queue, until);
    assert_eq!(queue.hint().health, Health::Ramping);
    assert!(queue.completed(ms(900), pending, Outcome::Done).is_some());
}

/// Guards against sending new work to a draining server and against aborting
/// requests that run on it.
#[test_case(|queue, _| queue.set_draining(ms(510)) ; "reported by the caller")]
#[test_case(|queue, conn| {
    queue.completed(ms(510), conn, not_run(NotRun::Draining));
} ; "reported by the server")]
fn a_draining_server_completes_running_work(drain: fn(&mut ServerQueue, ConnId)) {
    let mut queue = warm(settings(2));
    let conns = start(&mut queue, ms(500), 0..4);
    drain(&mut queue, conns[0]);
    let (started, discarded) = run_all(&mut queue, ms(510));
    assert_eq!(started, []);
    assert!(
        discarded
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::Draining)
    );
    assert_eq!(discarded.len(), 2);
    assert!(matches!(
        queue.enqueue(ms(511), work(9)),
        Enqueue::Refused {
            kind: ErrorKind::Draining,
            ..
        }
    ));
    assert!(queue.completed(ms(520), conns[1], Outcome::Done).is_some());
    queue.completed(ms(520), conns[0], Outcome::Done);
    run(&mut queue, ms(520));
    assert!(queue.is_drained());
}

/// Guards against a resumed process using stale state: expired work is
/// discarded, non-idempotent work gets time for a response that may already have
/// arrived, and idle connections are checked.
#[test_case(true, true ; "expired idempotent request is closed")]
#[test_case(false, false ; "other request may still complete")]
fn state_is_revalidated_after_a_pause(idempotent: bool, closed: bool) {
    let mut queue = warm(settings(1));
    let deadline = ms(700);
    queue.enqueue(
        ms(500),
        Work {
            idempotent,
            deadline,
            ..work(0)
        },
    );
    let (_, conn) = run(&mut queue, ms(500))[0];
    queue.enqueue(
        ms(500),
        Work {
            deadline,
            ..work(1)
        },
    );
    queue.resumed(ms(9_000));
    let next = queue.next(ms(9_000));
    assert_eq!(next == Action::Close { conn }, closed);
    if !closed {
        assert_eq!(
            next,
            Action::Discard {
                work: WorkId(1),
                kind: ErrorKind::DeadlineNotRun
            }
        );
        assert!(matches!(queue.next(ms(9_000)), Action::Check { .. }));
        assert_eq!(
            queue.completed(ms(9_001), conn, Outcome::Done),
            Some(WorkId(0))
        );
    }
}

/// Guards against reading a response of unknown age from the connection of a
/// cancelled request.
#[test]
fn connections_being_drained_are_closed_after_a_pause() {
    let mut queue = warm(settings(1));
    let conn = start(&mut queue, ms(500), 0..1)[0];
    queue.cancel(ms(501), WorkId(0));
    queue.resumed(ms(1_200));
    assert_eq!(queue.next(ms(1_200)), Action::Close { conn });
}

/// Guards against exceeding a lowered connection quota for longer than needed.
#[test]
fn a_lower_quota_closes_idle_connections() {
    let mut queue = warm(settings(3));
    assert!(queue.connections() > 1);
    queue.update_settings(
        ms(500),
        Settings {
            connection_quota: 1,
            ..settings(3)
        },
    );
    run(&mut queue, ms(500));
    assert_eq!(queue.connections(), 1);
}

/// Guards against a slot limit that grows without evidence that the server can
/// handle more.
#[test]
fn the_slot_limit_grows_only_when_all_slots_are_used() {
    let mut queue = warm(settings(4));
    let conns = start(&mut queue, ms(500), 0..4);
    for conn in conns {
        queue.completed(ms(501), conn, not_run(NotRun::Shed));
    }
    for id in 10..60 {
        let now = ms(1_000 + id * 10);
        let conn = start(&mut queue, now, id..id + 1)[0];
        queue.completed(now + Duration::from_millis(5), conn, Outcome::Done);
    }
    assert_eq!(queue.hint().slots, 2);
}

/// Guards against sending a request on a connection that the server closed while
/// it was idle, and against keeping idle connections forever.
#[test]
fn idle_connections_are_checked_and_then_closed() {
    let mut queue = warm(settings(2));
    assert!(queue.connections() > 0);
    let (mut now, mut checks) = (ms(1_000), 0);
    for _ in 0..100 {
        if queue.connections() == 0 {
            break;
        }
        match queue.next(now) {
            Action::Check { conn } => {
                checks += 1;
                queue.checked(now, conn, ServerState::Ready);
            }
            Action::Close { conn } => assert_eq!(queue.closed(now, conn), LostWork::None),
            Action::Idle { until } => now = until.unwrap(),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(queue.connections(), 0);
    assert!(checks >= 5, "{checks} checks");
    assert!((ms(55_000)..ms(75_000)).contains(&now), "{now}");
}

/// Guards against sending to a server before its retry-after has passed.
#[test_case(NotRun::Shed ; "no slot at all")]
#[test_case(NotRun::Starting ; "still starting")]
fn the_retry_after_of_a_server_is_respected(reason: NotRun) {
    let mut queue = warm(settings(1));
    let conn = start(&mut queue, ms(500), 0..2)[0];
    queue.completed(ms(501), conn, not_run(reason));
    assert_eq!(run(&mut queue, ms(540)), []);
    assert_eq!(run(&mut queue, ms(541)).len(), 1);
}
