//! Guarantees to callers and to backend servers.

mod sim;

use std::{collections::HashMap, time::Duration};

use jasminepond_forward::{Answer, BackendState, ForwardSettings, Verdict};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, RunStatus};
use proptest::prelude::*;
use sim::{Behavior, MS, Sim, fingerprint, reply, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

fn two_servers(repeat: Repeat) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add("one-0", "one", 20 * MS);
    sim.add("one-1", "one", 20 * MS);
    sim.put_release(1, vec![single(repeat)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Guards against aborting a request that may run once only, whose effect would be unknown, while
/// an equal one is held.
#[test]
fn an_unrepeatable_request_in_progress_is_not_aborted_when_it_is_held() {
    let mut sim = two_servers(Repeat::Never);
    let closed = sim.closed;
    sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(5 * MS);
    sim.forwarder
        .forbid_request(sim.now, fingerprint("/one/x", 1));
    sim.run_actions();
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(sim.closed, closed);
    assert_eq!(sim.answers[0].summary.verdict, Verdict::Served);
}

fn behavior() -> impl Strategy<Value = Behavior> {
    prop_oneof![
        3 => Just(Behavior::Healthy),
        1 => Just(Behavior::Silent),
        1 => Just(Behavior::Crashed),
        1 => Just(Behavior::Slow(10.0)),
        1 => Just(Behavior::Failing(0.7)),
        1 => Just(Behavior::Full),
        1 => Just(Behavior::DropsAnswers),
        1 => Just(Behavior::Replaced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A request that must not be repeated runs at most once, and one that is answered as
    /// not run has not run and does not run later.
    #[test]
    fn unrepeatable_requests_run_at_most_once_and_never_if_refused(
        behaviors in prop::collection::vec((behavior(), 0usize..3, 1u64..400), 1..30),
    ) {
        let mut sim = two_servers(Repeat::Never);
        sim.add("one-2", "one", 20 * MS);
        for (behavior, server, gap) in behaviors {
            sim.set_behavior(server, behavior);
            for _ in 0..3 {
                sim.submit("/one/x", CALLER_TIMEOUT);
                sim.run_for(Duration::from_millis(gap / 3));
            }
        }
        sim.run_for(CALLER_TIMEOUT * 3);
        let mut runs = HashMap::new();
        for server in &sim.servers {
            for req in &server.ran {
                *runs.entry(*req).or_insert(0) += 1;
            }
        }
        for answered in &sim.answers {
            let ran = runs.get(&answered.req).copied().unwrap_or(0);
            prop_assert!(ran <= 1, "{answered:?} ran {ran} times");
            if let Some(Answer::Refused(refusal)) = &answered.answer
                && refusal.kind.response().run == RunStatus::NotRun
            {
                prop_assert_eq!(ran, 0, "{:?}", answered);
            }
        }
    }

    /// Every request is answered by its deadline, whatever the servers do.
    #[test]
    fn every_request_is_answered_by_its_deadline(
        behaviors in prop::collection::vec((behavior(), 0usize..6, 1u64..300), 1..30),
    ) {
        let mut sim = Sim::new(ForwardSettings::default(), 2);
        sim.add_shards(3, 10 * MS, Duration::ZERO, Duration::ZERO);
        sim.put_release(1, vec![search(3, 80, 0.6)]);
        sim.run_for(Duration::from_secs(1));
        let mut submitted = 0;
        for (behavior, server, gap) in behaviors {
            sim.set_behavior(server, behavior);
            sim.submit("/search/x", CALLER_TIMEOUT);
            submitted += 1;
            sim.run_for(Duration::from_millis(gap));
        }
        sim.run_for(CALLER_TIMEOUT);
        prop_assert_eq!(sim.answers.len(), submitted);
        for answered in &sim.answers {
            // The timeout of the route is shorter than the time that the caller has left.
            prop_assert!(answered.summary.took <= Duration::from_millis(800));
            if let Some(Answer::Merged { stamps, missing, .. }) = &answered.answer {
                prop_assert_eq!(stamps.len() + missing, 3);
                prop_assert!(stamps.len() >= 2);
            }
        }
    }
}

/// With a later deadline than the caller's, servers would waste work.
#[test]
fn servers_get_no_more_time_than_the_caller_has_left() {
    let mut sim = two_servers(Repeat::Allowed);
    sim.set_behavior(0, Behavior::Slow(10.0));
    sim.set_behavior(1, Behavior::Slow(10.0));
    let time_left = Duration::from_millis(300);
    sim.submit("/one/x", time_left);
    sim.run_for(time_left);
    assert!(sim.sent_time_left.len() >= 2, "a hedged send was expected");
    let first = sim.sent_time_left[0].1.duration();
    let second = sim.sent_time_left[1].1.duration();
    assert!(first <= time_left && second < first);
}

/// A server that drains or whose entry was removed gets nothing while another server is
/// usable.
#[test_case(true; "it drains")]
#[test_case(false; "its entry was removed")]
fn a_leaving_server_gets_no_new_requests(drains: bool) {
    let mut sim = two_servers(Repeat::Allowed);
    if drains {
        let mut entry = sim.entry(0);
        entry.state = BackendState::Draining;
        sim.put_entry(entry);
    } else {
        sim.remove_entry("one-0");
    }
    let before = sim.servers[0].arrived.len();
    sim.load("/one/x", 50.0, Duration::from_secs(5), CALLER_TIMEOUT);
    assert_eq!(sim.servers[0].arrived.len(), before);
}

/// Entries that expire while the store is unavailable are back within two seconds. Until
/// then, and no longer, the only server must stay in use.
#[test]
fn the_only_server_is_used_for_two_seconds_after_its_entry_lapsed() {
    let mut sim = Sim::new(ForwardSettings::default(), 3);
    sim.add("one-0", "one", 20 * MS);
    sim.put_release(1, vec![single(Repeat::Allowed)]);
    sim.run_for(Duration::from_secs(1));
    sim.remove_entry("one-0");
    sim.run_for(Duration::from_millis(1_500));
    sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(Duration::from_millis(400));
    assert_eq!(sim.answers[0].summary.verdict, Verdict::Served);
    sim.run_for(Duration::from_secs(1));
    sim.submit("/one/x", CALLER_TIMEOUT);
    assert_eq!(sim.answers[1].summary.verdict, Verdict::Refused);
}

/// Connections to the previous process under the same id must not be used.
#[test]
fn a_restarted_server_gets_new_connections() {
    let mut sim = two_servers(Repeat::Allowed);
    let (opened, closed) = (sim.opened, sim.closed);
    let mut entry = sim.entry(0);
    entry.started = Some(2);
    sim.put_entry(entry);
    sim.run_for(Duration::from_millis(100));
    assert_eq!(sim.closed, closed + 1);
    assert_eq!(sim.opened, opened + 1);
}

/// After another server answers at an address, nothing is sent there until the entry
/// changes.
#[test]
fn an_address_taken_by_another_server_gets_no_more_requests() {
    let mut sim = two_servers(Repeat::Never);
    sim.set_behavior(0, Behavior::Replaced);
    sim.load("/one/x", 20.0, Duration::from_secs(3), CALLER_TIMEOUT);
    assert_eq!(sim.servers[0].arrived.len(), 1);
    assert!(
        sim.answers
            .iter()
            .all(|a| a.summary.verdict == Verdict::Served)
    );
}

/// A request in progress keeps the shards of its release, a new one uses those of the new
/// release, and an older release is never applied.
#[test]
fn a_search_takes_all_shards_from_one_release() {
    let mut sim = Sim::new(ForwardSettings::default(), 4);
    sim.add_shards(4, 20 * MS, Duration::ZERO, Duration::ZERO);
    assert!(sim.put_release(5, vec![search(2, 150, 1.0)]));
    sim.run_for(Duration::from_secs(1));
    let old = sim.submit("/search/x", CALLER_TIMEOUT);
    assert!(sim.put_release(7, vec![search(4, 150, 1.0)]));
    assert!(!sim.put_release(6, vec![search(3, 150, 1.0)]));
    let new = sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    let parts = |key| {
        let answered = sim.answers.iter().find(|a| a.req == key).unwrap();
        match &answered.answer {
            Some(Answer::Merged { stamps, .. }) => (stamps.len(), answered.summary.version.0),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(parts(old), (2, 5));
    assert_eq!(parts(new), (4, 7));
}

/// Calls are aborted after their caller disconnected, unless the request must not be
/// repeated: if aborted, its effect would be unknown.
#[test_case(Repeat::Allowed, 1; "a repeatable request is aborted")]
#[test_case(Repeat::Never, 0; "an unrepeatable request runs to completion")]
fn calls_end_when_their_caller_disconnects(repeat: Repeat, closed: usize) {
    let mut sim = two_servers(repeat);
    sim.set_behavior(0, Behavior::Slow(100.0));
    sim.set_behavior(1, Behavior::Slow(100.0));
    let before = sim.closed;
    let key = sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(Duration::from_millis(10));
    sim.caller_left(key);
    sim.run_for(Duration::from_millis(490));
    assert_eq!(sim.closed - before, closed);
    assert_eq!(sim.answers[0].summary.verdict, Verdict::CallerLeft);
}

/// Error responses of servers are forwarded, except those with a status by which the
/// gateway guarantees that the request has not run.
#[test_case(500, true; "a server error")]
#[test_case(504, true; "the deadline at the server")]
#[test_case(503, false; "a status that guarantees not run")]
#[test_case(429, false; "another status that guarantees not run")]
fn an_error_is_forwarded_unless_its_status_guarantees_not_run(status: u16, passed: bool) {
    let mut sim = two_servers(Repeat::Never);
    let key = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(key);
    sim.answer_with(conn, reply(status, "stamp"));
    match &sim.answers[0].answer {
        Some(Answer::Forwarded { reply, .. }) => assert!(passed && reply.status == status),
        Some(Answer::Refused(refusal)) => {
            assert!(!passed && refusal.kind == ErrorKind::OutcomeUnknown);
        }
        other => panic!("{other:?}"),
    }
}

/// A duplicate of a rejection carries the id of the request. If the request is sent again
/// over the same connection, the duplicate is mistaken for the response to that send, and
/// a request that runs is answered as not run.
#[test]
fn a_rejected_request_is_not_sent_again_over_the_same_connection() {
    let mut sim = Sim::new(ForwardSettings::default(), 5);
    sim.add("one-0", "one", 20 * MS);
    sim.put_release(1, vec![single(Repeat::Never)]);
    sim.run_for(Duration::from_secs(1));
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let first = sim.conn_of(req);
    let rejected = jasminepond_forward::Reply {
        not_run: true,
        stamp: None,
        ..reply(503, "")
    };
    sim.answer_with(first, rejected);
    sim.run_for(15 * MS);
    assert_ne!(sim.conn_of(req), first);
}

/// The entry of a draining server is rewritten with a new write count after its grace
/// period. Mistaken for a new server, it got requests for another two seconds.
#[test]
fn a_rewritten_entry_does_not_revive_a_drained_server() {
    let mut sim = Sim::new(ForwardSettings::default(), 6);
    sim.add("one-0", "one", 20 * MS);
    sim.put_release(1, vec![single(Repeat::Never)]);
    sim.run_for(Duration::from_secs(1));
    let mut entry = sim.entry(0);
    entry.state = BackendState::Draining;
    for _ in 0..3 {
        sim.put_entry(entry.clone());
        sim.run_for(Duration::from_millis(1_100));
    }
    sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    assert!(sim.servers[0].arrived.is_empty());
    assert_eq!(sim.answers[0].summary.verdict, Verdict::Refused);
}
