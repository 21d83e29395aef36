//! Scripted cases of an execution.

use jasminepond_types::ServerId;
use test_case::test_case;

use super::*;

/// Chooses the first candidate, or waits if a time is set.
struct FirstCandidate {
    wait: Option<Timestamp>,
    may_retry: bool,
}

fn first_candidate() -> FirstCandidate {
    FirstCandidate {
        wait: None,
        may_retry: true,
    }
}

impl ExecuteChooser for FirstCandidate {
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

/// An execution on servers `s0`, `s1`, ... with a deadline of 100 ms.
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

/// Formats steps: `>1 s0 90` sends with 90 ms left, `w100` waits until 100 ms.
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

/// Guards against accepting the outcome of another request (P3), against retrying
/// a request that may still run, and against endless retries.
#[test]
fn another_server_gets_the_request_only_after_a_certain_not_run() {
    let (mut e, chooser) = (execution(9), &mut first_candidate());
    assert_eq!(text(&e.start(ms(0), chooser)), ">1 s0 90, w100");
    assert_eq!(text(&e.start(ms(0), chooser)), "");
    assert_eq!(text(&e.on_tick(ms(50), chooser)), "w100");
    let execution = slotmap::KeyData::from_ffi(1 << 32 | 1).into();
    let other_execution = ExecutionAttempt {
        execution,
        number: 1,
    };
    assert_eq!(text(&e.on_link_lost(other_execution)), "");
    assert_eq!(
        text(&e.on_outcome(ms(50), chooser, other_execution, done("{}"))),
        ""
    );
    let mut refuse = |at, n, kind| text(&e.on_outcome(ms(at), chooser, attempt(n), not_run(kind)));
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

/// Guards against a retry after a refusal that applies to every server, or that
/// leaves open whether the request ran.
#[test_case(ErrorKind::DeadlineNotRun, "not run: deadline_not_run 7 ms")]
#[test_case(ErrorKind::BadRequest, "not run: bad_request 7 ms")]
#[test_case(ErrorKind::KeyReused, "=outcome_unknown"; "a kind that may have run")]
fn a_refusal_that_excludes_a_retry_is_final(kind: ErrorKind, finish: &str) {
    let (mut e, chooser) = (execution(2), &mut first_candidate());
    e.start(ms(0), chooser);
    let steps = e.on_outcome(ms(1), chooser, attempt(1), not_run(kind));
    assert_eq!(text(&steps), finish);
}

/// Guards against a retry that the budget refused, and against one if no server is
/// left.
#[test_case(2, false; "refused by the budget")]
#[test_case(1, true; "no server left")]
fn an_impossible_retry_ends_as_not_run(servers: usize, may_retry: bool) {
    let chooser = &mut FirstCandidate {
        wait: None,
        may_retry,
    };
    let mut e = execution(servers);
    e.start(ms(0), chooser);
    let steps = e.on_outcome(ms(1), chooser, attempt(1), not_run(ErrorKind::Draining));
    assert_eq!(text(&steps), "not run: draining 7 ms");
}

/// Guards against "not run" once the request may have been sent (P4).
#[test]
fn a_request_that_may_have_been_sent_ends_as_unknown() {
    let sent = || {
        let mut e = execution(2);
        e.start(ms(0), &mut first_candidate());
        e
    };
    assert_eq!(text(&sent().on_link_lost(attempt(1))), "=outcome_unknown");
    assert_eq!(
        text(&sent().on_tick(ms(100), &mut first_candidate())),
        "=outcome_unknown"
    );
    assert_eq!(text(&sent().on_resumed()), "=outcome_unknown");
    assert_eq!(text(&sent().on_link_lost(attempt(2))), "");
    let mut e = sent();
    e.on_outcome(
        ms(1),
        &mut first_candidate(),
        attempt(1),
        not_run(ErrorKind::Draining),
    );
    assert_eq!(
        text(&e.on_link_lost(attempt(1))),
        "",
        "attempt 1 was refused as not run"
    );
    assert_eq!(text(&e.on_link_lost(attempt(2))), "=outcome_unknown");
    assert!(e.is_finished());
    assert_eq!(text(&e.on_resumed()), "");
}

/// Guards against sending a request after its deadline or after a pause, and
/// against "unknown" for one that certainly was not sent.
#[test]
fn a_request_that_was_not_sent_ends_as_not_run() {
    let chooser = &mut FirstCandidate {
        wait: Some(ms(95)),
        may_retry: true,
    };
    let mut e = execution(2);
    assert_eq!(text(&e.start(ms(0), chooser)), "w90");
    assert_eq!(text(&e.on_link_lost(attempt(0))), "");
    assert_eq!(
        text(&e.on_tick(ms(90), chooser)),
        "not run: deadline_not_run 1000 ms"
    );
    let mut paused = execution(2);
    paused.start(ms(0), chooser);
    assert_eq!(text(&paused.on_resumed()), "not run: not_ready 1000 ms");
    assert_eq!(
        text(&execution(0).start(ms(0), &mut first_candidate())),
        "not run: no_backend 1000 ms"
    );
    let late = text(&execution(2).start(ms(91), &mut first_candidate()));
    assert_eq!(late, "not run: deadline_not_run 1000 ms");
}
