//! Single rules of an execution.

use jasminepond_types::ServerId;
use test_case::test_case;

use super::*;

/// Takes the first candidate.
struct First {
    wait: Option<Timestamp>,
    may_retry: bool,
}

fn first() -> First {
    First {
        wait: None,
        may_retry: true,
    }
}

impl ExecuteChooser for First {
    fn choose(&mut self, _: Timestamp, candidates: Candidates<'_>) -> Choice {
        if let Some(until) = self.wait {
            return Choice::Wait { until };
        }
        let first = candidates.iter().next();
        first.map_or(Choice::None(MissingReason::NoReplica), |(i, _)| {
            Choice::Use(i)
        })
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.may_retry
    }
}

/// A run on servers `s0`, `s1`, ... with a deadline of 100 ms.
fn execution(servers: usize) -> Execution {
    let server = |i| format!("s{i}").parse().unwrap();
    let servers = (0..servers).map(server).collect();
    let id = ExecutionId::default();
    Execution::new(id, servers, ms(100), ExecuteSettings::default())
}

fn attempt(number: u32) -> ExecutionAttempt {
    let execution = ExecutionId::default();
    ExecutionAttempt { execution, number }
}

/// Steps in short: `>1 s0 90` sends with 90 ms left, `w100` waits.
fn text(steps: &[ExecuteStep]) -> String {
    let step = |step: &ExecuteStep| match step {
        ExecuteStep::Send {
            attempt,
            server,
            time_left,
        } => format!(">{} {server} {}", attempt.number, time_left.0),
        ExecuteStep::Wait { until } => format!("w{}", until.as_micros() / 1_000),
        ExecuteStep::Finish(ExecuteOutcome::Done { .. }) => "done".into(),
        ExecuteStep::Finish(ExecuteOutcome::Unknown { kind, .. }) => format!("={kind}"),
        ExecuteStep::Finish(ExecuteOutcome::NotRun { kind, retry_after }) => {
            format!("not run: {kind} {}", retry_after.unwrap())
        }
    };
    steps.iter().map(step).collect::<Vec<_>>().join(", ")
}

/// Guards against an outcome of another request (P3), against a retry of a request
/// that may run, against a retry without permission or for a reason that holds
/// everywhere, and against endless retries.
#[test]
fn another_server_gets_the_request_only_after_a_certain_not_run() {
    let (mut e, cx) = (execution(9), &mut first());
    assert_eq!(text(&e.start(ms(0), cx)), ">1 s0 90, w100");
    assert_eq!(text(&e.start(ms(0), cx)), "");
    assert_eq!(text(&e.on_tick(ms(50), cx)), "w100");
    let execution = slotmap::KeyData::from_ffi(1 << 32 | 1).into();
    let foreign = ExecutionAttempt {
        execution,
        number: 1,
    };
    assert_eq!(text(&e.on_link_lost(foreign)), "");
    assert_eq!(text(&e.on_outcome(ms(50), cx, foreign, done("{}"))), "");
    let mut refuse = |at, n, kind| text(&e.on_outcome(ms(at), cx, attempt(n), not_run(kind)));
    assert_eq!(
        refuse(50, 2, ErrorKind::Draining),
        "",
        "attempt not made yet"
    );
    assert_eq!(refuse(50, 1, ErrorKind::Draining), ">2 s1 40");
    assert_eq!(refuse(51, 1, ErrorKind::Draining), "", "repeated outcome");
    assert_eq!(refuse(60, 2, ErrorKind::Overloaded), ">3 s2 30");
    assert_eq!(
        refuse(61, 3, ErrorKind::NoBackend),
        "not run: no_backend 7 ms"
    );
    assert_eq!(refuse(62, 3, ErrorKind::NoBackend), "");
}

/// Guards against the same, for reasons that do not allow another server.
#[test_case(ErrorKind::DeadlineNotRun, "not run: deadline_not_run 7 ms")]
#[test_case(ErrorKind::BadRequest, "not run: bad_request 7 ms")]
#[test_case(ErrorKind::KeyReused, "=outcome_unknown"; "a kind that may have run")]
fn other_refusals_finish(kind: ErrorKind, finish: &str) {
    let (mut e, cx) = (execution(2), &mut first());
    e.start(ms(0), cx);
    let steps = e.on_outcome(ms(1), cx, attempt(1), not_run(kind));
    assert_eq!(text(&steps), finish);
}

/// Guards against a retry that the budget refuses and one without a server left.
#[test_case(2, false; "no permission")]
#[test_case(1, true; "no server left")]
fn a_retry_that_is_not_possible_finishes(servers: usize, may_retry: bool) {
    let cx = &mut First {
        wait: None,
        may_retry,
    };
    let mut e = execution(servers);
    e.start(ms(0), cx);
    let steps = e.on_outcome(ms(1), cx, attempt(1), not_run(ErrorKind::Draining));
    assert_eq!(text(&steps), "not run: draining 7 ms");
}

/// Guards against "not run" once the request may have left (P4).
#[test]
fn what_may_have_left_is_unknown() {
    let sent = || {
        let mut e = execution(2);
        e.start(ms(0), &mut first());
        e
    };
    assert_eq!(text(&sent().on_link_lost(attempt(1))), "=outcome_unknown");
    assert_eq!(
        text(&sent().on_tick(ms(100), &mut first())),
        "=outcome_unknown"
    );
    assert_eq!(text(&sent().on_resumed()), "=outcome_unknown");
    assert_eq!(text(&sent().on_link_lost(attempt(2))), "");
    let mut e = sent();
    e.on_outcome(
        ms(1),
        &mut first(),
        attempt(1),
        not_run(ErrorKind::Draining),
    );
    assert_eq!(
        text(&e.on_link_lost(attempt(1))),
        "",
        "that attempt did not run"
    );
    assert_eq!(text(&e.on_link_lost(attempt(2))), "=outcome_unknown");
    assert!(e.is_finished());
    assert_eq!(text(&e.on_resumed()), "");
}

/// Guards against a request that is sent after its deadline or after a pause, and
/// against "unknown" where it certainly did not leave.
#[test]
fn what_was_not_sent_is_not_run() {
    let cx = &mut First {
        wait: Some(ms(95)),
        may_retry: true,
    };
    let mut e = execution(2);
    assert_eq!(text(&e.start(ms(0), cx)), "w90");
    assert_eq!(text(&e.on_link_lost(attempt(0))), "");
    assert_eq!(
        text(&e.on_tick(ms(90), cx)),
        "not run: deadline_not_run 1000 ms"
    );
    let mut paused = execution(2);
    paused.start(ms(0), cx);
    assert_eq!(text(&paused.on_resumed()), "not run: not_ready 1000 ms");
    assert_eq!(
        text(&execution(0).start(ms(0), &mut first())),
        "not run: no_backend 1000 ms"
    );
    let late = text(&execution(2).start(ms(91), &mut first()));
    assert_eq!(late, "not run: deadline_not_run 1000 ms");
}
