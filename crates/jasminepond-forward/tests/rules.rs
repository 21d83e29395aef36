//! Guards the promises to callers and to backend servers.

mod world;

use std::{collections::HashMap, time::Duration};

use jasminepond_forward::{Answer, BackendState, ForwardSettings, Verdict};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, RunStatus};
use proptest::prelude::*;
use test_case::test_case;
use world::{MS, Mood, World, reply, search, single};

const PATIENCE: Duration = Duration::from_millis(2_000);

fn two_servers(repeat: Repeat) -> World {
    let mut world = World::new(ForwardSettings::default(), 1);
    world.add("one-0", "one", 20 * MS);
    world.add("one-1", "one", 20 * MS);
    world.put_release(1, vec![single(repeat)]);
    world.run_for(Duration::from_secs(1));
    world
}

fn mood() -> impl Strategy<Value = Mood> {
    prop_oneof![
        3 => Just(Mood::Sound),
        1 => Just(Mood::Dark),
        1 => Just(Mood::Crashed),
        1 => Just(Mood::Slow(10.0)),
        1 => Just(Mood::Failing(0.7)),
        1 => Just(Mood::Full),
        1 => Just(Mood::LosesAnswers),
        1 => Just(Mood::Replaced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A request that must not be repeated runs once at most, and an answer that
    /// says "not run" is true, also later.
    #[test]
    fn a_request_runs_once_and_refusals_are_true(
        moods in prop::collection::vec((mood(), 0usize..3, 1u64..400), 1..30),
    ) {
        let mut world = two_servers(Repeat::Never);
        world.add("one-2", "one", 20 * MS);
        for (mood, server, gap) in moods {
            world.set_mood(server, mood);
            for _ in 0..3 {
                world.submit("/one/x", PATIENCE);
                world.run_for(Duration::from_millis(gap / 3));
            }
        }
        world.run_for(PATIENCE * 3);
        let mut runs = HashMap::new();
        for server in &world.servers {
            for req in &server.ran {
                *runs.entry(*req).or_insert(0) += 1;
            }
        }
        for answered in &world.answers {
            let ran = runs.get(&answered.req).copied().unwrap_or(0);
            prop_assert!(ran <= 1, "{answered:?} ran {ran} times");
            if let Some(Answer::Refused(refusal)) = &answered.answer
                && refusal.kind.response().run == RunStatus::NotRun
            {
                prop_assert_eq!(ran, 0, "{:?}", answered);
            }
        }
    }

    /// Every request is answered by its deadline, whatever servers do.
    #[test]
    fn every_request_is_answered_by_its_deadline(
        moods in prop::collection::vec((mood(), 0usize..6, 1u64..300), 1..30),
    ) {
        let mut world = World::new(ForwardSettings::default(), 2);
        world.add_shards(3, 10 * MS, Duration::ZERO, Duration::ZERO);
        world.put_release(1, vec![search(3, 80, 0.6)]);
        world.run_for(Duration::from_secs(1));
        let mut submitted = 0;
        for (mood, server, gap) in moods {
            world.set_mood(server, mood);
            world.submit("/search/x", PATIENCE);
            submitted += 1;
            world.run_for(Duration::from_millis(gap));
        }
        world.run_for(PATIENCE);
        prop_assert_eq!(world.answers.len(), submitted);
        for answered in &world.answers {
            // The route's timeout is below the caller's patience.
            prop_assert!(answered.summary.took <= Duration::from_millis(800));
            if let Some(Answer::Merged { stamps, missing, .. }) = &answered.answer {
                prop_assert_eq!(stamps.len() + missing, 3);
                prop_assert!(stamps.len() >= 2);
            }
        }
    }
}

/// Time left that exceeds the caller's would keep servers at work in vain.
#[test]
fn servers_are_told_no_more_time_than_is_left() {
    let mut world = two_servers(Repeat::Allowed);
    world.set_mood(0, Mood::Slow(10.0));
    world.set_mood(1, Mood::Slow(10.0));
    let patience = Duration::from_millis(300);
    world.submit("/one/x", patience);
    world.run_for(patience);
    assert!(world.stated.len() >= 2, "a second send was expected");
    let first = world.stated[0].1.duration();
    let second = world.stated[1].1.duration();
    assert!(first <= patience && second < first);
}

/// A server that drains, or whose entry has gone, gets nothing while another is
/// there.
#[test_case(true; "it drains")]
#[test_case(false; "its entry has gone")]
fn a_leaving_server_gets_no_new_requests(drains: bool) {
    let mut world = two_servers(Repeat::Allowed);
    if drains {
        let mut entry = world.entry(0);
        entry.state = BackendState::Draining;
        world.put_entry(entry);
    } else {
        world.remove_entry("one-0");
    }
    let before = world.servers[0].arrived.len();
    world.load("/one/x", 50.0, Duration::from_secs(5), PATIENCE);
    assert_eq!(world.servers[0].arrived.len(), before);
}

/// Entries that lapse while the store is away are back within two seconds: until
/// then the only server must stay in use, and not any longer.
#[test]
fn the_only_server_is_used_for_two_seconds_after_its_entry_lapsed() {
    let mut world = World::new(ForwardSettings::default(), 3);
    world.add("one-0", "one", 20 * MS);
    world.put_release(1, vec![single(Repeat::Allowed)]);
    world.run_for(Duration::from_secs(1));
    world.remove_entry("one-0");
    world.run_for(Duration::from_millis(1_500));
    world.submit("/one/x", PATIENCE);
    world.run_for(Duration::from_millis(400));
    assert_eq!(world.answers[0].summary.verdict, Verdict::Served);
    world.run_for(Duration::from_secs(1));
    world.submit("/one/x", PATIENCE);
    assert_eq!(world.answers[1].summary.verdict, Verdict::Refused);
}

/// Another process under the same id knows nothing of the old one: its
/// connections must not be used.
#[test]
fn a_reborn_server_gets_new_connections() {
    let mut world = two_servers(Repeat::Allowed);
    let (opened, closed) = (world.opened, world.closed);
    let mut entry = world.entry(0);
    entry.started = Some(2);
    world.put_entry(entry);
    world.run_for(Duration::from_millis(100));
    assert_eq!(world.closed, closed + 1);
    assert_eq!(world.opened, opened + 1);
}

/// An address may belong to another server by now. Nothing more is sent there
/// until its entry changes.
#[test]
fn a_server_that_answers_for_another_is_not_asked_again() {
    let mut world = two_servers(Repeat::Never);
    world.set_mood(0, Mood::Replaced);
    world.load("/one/x", 20.0, Duration::from_secs(3), PATIENCE);
    assert_eq!(world.servers[0].arrived.len(), 1);
    assert!(
        world
            .answers
            .iter()
            .all(|a| a.summary.verdict == Verdict::Served)
    );
}

/// A request of an older release keeps its shards, a new one gets the new ones,
/// and an older release never comes back.
#[test]
fn a_search_takes_all_shards_from_one_release() {
    let mut world = World::new(ForwardSettings::default(), 4);
    world.add_shards(4, 20 * MS, Duration::ZERO, Duration::ZERO);
    assert!(world.put_release(5, vec![search(2, 150, 1.0)]));
    world.run_for(Duration::from_secs(1));
    let old = world.submit("/search/x", PATIENCE);
    assert!(world.put_release(7, vec![search(4, 150, 1.0)]));
    assert!(!world.put_release(6, vec![search(3, 150, 1.0)]));
    let new = world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    let parts = |key| {
        let answered = world.answers.iter().find(|a| a.req == key).unwrap();
        match &answered.answer {
            Some(Answer::Merged { stamps, .. }) => (stamps.len(), answered.summary.version.0),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(parts(old), (2, 5));
    assert_eq!(parts(new), (4, 7));
}

/// Work for a caller that has left ends, unless the request must not be
/// repeated: ended half way, its effect would be unknown.
#[test_case(Repeat::Allowed, 1; "a request that may be repeated is ended")]
#[test_case(Repeat::Never, 0; "another one is left to finish")]
fn work_for_a_caller_that_left_ends(repeat: Repeat, closed: usize) {
    let mut world = two_servers(repeat);
    world.set_mood(0, Mood::Slow(100.0));
    world.set_mood(1, Mood::Slow(100.0));
    let before = world.closed;
    let key = world.submit("/one/x", PATIENCE);
    world.run_for(Duration::from_millis(10));
    world.leave(key);
    world.run_for(Duration::from_millis(490));
    assert_eq!(world.closed - before, closed);
    assert_eq!(world.answers[0].summary.verdict, Verdict::CallerLeft);
}

/// A server's own failure is passed on, but not one whose status would promise
/// that the request has not run.
#[test_case(500, true; "a plain failure")]
#[test_case(504, true; "the deadline at the server")]
#[test_case(503, false; "a status that promises not run")]
#[test_case(429, false; "another status that promises not run")]
fn a_failure_is_passed_on_if_it_promises_nothing(status: u16, passed: bool) {
    let mut world = two_servers(Repeat::Never);
    let key = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(key);
    world.answer_with(conn, reply(status, "stamp"));
    match &world.answers[0].answer {
        Some(Answer::Passed(reply)) => assert!(passed && reply.status == status),
        Some(Answer::Refused(refusal)) => {
            assert!(!passed && refusal.kind == ErrorKind::OutcomeUnknown);
        }
        other => panic!("{other:?}"),
    }
}

/// A second copy of a rejection has the id of the request. If the request is sent
/// again over the same connection, the copy is taken for the answer to that send, and
/// the caller is told that a request has not run that runs.
#[test]
fn a_rejected_request_is_not_sent_again_over_the_same_connection() {
    let mut world = World::new(ForwardSettings::default(), 5);
    world.add("one-0", "one", 20 * MS);
    world.put_release(1, vec![single(Repeat::Never)]);
    world.run_for(Duration::from_secs(1));
    let req = world.submit("/one/x", PATIENCE);
    let first = world.conn_of(req);
    let rejected = jasminepond_forward::Reply {
        not_run: true,
        stamp: None,
        ..reply(503, "")
    };
    world.answer_with(first, rejected);
    world.run_for(15 * MS);
    assert_ne!(world.conn_of(req), first);
}

/// The entry of a server that drains is written again after its grace has ended, with a
/// new count. Taken for a new server, it got requests for another two seconds.
#[test]
fn a_server_that_drains_is_not_in_use_again_when_its_entry_is_written_again() {
    let mut world = World::new(ForwardSettings::default(), 6);
    world.add("one-0", "one", 20 * MS);
    world.put_release(1, vec![single(Repeat::Never)]);
    world.run_for(Duration::from_secs(1));
    let mut entry = world.entry(0);
    entry.state = BackendState::Draining;
    for _ in 0..3 {
        world.put_entry(entry.clone());
        world.run_for(Duration::from_millis(1_100));
    }
    world.submit("/one/x", PATIENCE);
    world.run_for(PATIENCE);
    assert!(world.servers[0].arrived.is_empty());
    assert_eq!(world.answers[0].summary.verdict, Verdict::Refused);
}
