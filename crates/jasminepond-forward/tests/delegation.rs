//! Searches that are divided among daemons: no shard may be lost or counted twice when a
//! helper fails.

mod sim;

use std::time::Duration;

use jasminepond_forward::{
    Answer, Arrival, DelegatedPart, ForwardSettings, Scope, SearchId, Verdict,
};
use sim::{Behavior, MS, Sim, search};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of shards of the search: three groups of 16.
const SHARDS: usize = 48;

fn divided(daemons: u32) -> (Sim, Vec<usize>) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(SHARDS, 200, 0.9)]);
    let peers = sim.add_peers(daemons - 1);
    sim.run_for(Duration::from_secs(1));
    (sim, peers)
}

fn arrived(sim: &Sim, servers: impl IntoIterator<Item = usize>) -> usize {
    let servers = servers.into_iter();
    servers
        .map(|server| sim.servers[server].arrived.len())
        .sum()
}

/// Returns the signatures and the missing shards of the only answer.
fn merged(sim: &Sim) -> (usize, usize) {
    match &sim.answers[0].answer {
        Some(Answer::Merged {
            stamps, missing, ..
        }) => (stamps.len(), *missing),
        other => panic!("{other:?}"),
    }
}

/// A daemon sends the sub-requests of its own group, and one request to a helper of each
/// other group.
#[test]
fn a_search_is_divided_among_the_groups() {
    let (mut sim, peers) = divided(9);
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(merged(&sim), (16 + 2, 0));
    assert_eq!(sim.answers[0].summary.sends, 18);
    assert_eq!(arrived(&sim, peers), 2);
    for shard in 0..SHARDS {
        let sent = arrived(&sim, [shard * 2, shard * 2 + 1]);
        assert_eq!(sent, usize::from(shard % 3 == 0), "shard {shard}");
    }
}

/// Parts that helpers reject as not run are handled locally, and nothing is sent twice.
#[test]
fn a_rejected_part_is_handled_locally() {
    let (mut sim, peers) = divided(9);
    for peer in peers {
        sim.set_behavior(peer, Behavior::Full);
    }
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(merged(&sim), (SHARDS, 0));
    assert!(sim.answers[0].summary.took <= 200 * MS);
}

/// A part whose sub-requests a helper may have sent is not sent again: the helper may have
/// used up the attempts that the route allows for a shard. The search then lacks too many
/// shards and fails immediately.
#[test_case(Behavior::DropsAnswers; "the helper closes the connection")]
#[test_case(Behavior::Failing(1.0); "the helper answers with an error")]
fn a_part_that_may_have_run_is_not_sent_again(behavior: Behavior) {
    let (mut sim, peers) = divided(9);
    for peer in peers {
        sim.set_behavior(peer, behavior);
    }
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(sim.answers[0].summary.verdict, Verdict::Failed);
    assert!(sim.answers[0].summary.took <= 100 * MS);
    for shard in (0..SHARDS).filter(|shard| shard % 3 != 0) {
        assert_eq!(
            arrived(&sim, [shard * 2, shard * 2 + 1]),
            0,
            "shard {shard}"
        );
    }
}

/// A silent helper is detected only when its answer is late. Searches that were delegated
/// to it are answered late with the help of another daemon, and later searches in time.
#[test]
fn a_silent_helper_is_avoided() {
    let (mut sim, peers) = divided(9);
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    for peer in peers {
        if !sim.servers[peer].arrived.is_empty() {
            sim.set_behavior(peer, Behavior::Silent);
        }
    }
    sim.answers.clear();
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(250 * MS);
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    sim.answers.sort_by_key(|answered| answered.summary.took);
    assert_eq!(sim.answers.len(), 2);
    assert_eq!(merged(&sim), (16 + 2, 0));
    assert!(sim.answers[0].summary.took <= 200 * MS);
    sim.answers.remove(0);
    assert_eq!(merged(&sim), (16 + 2, 0));
    assert!(sim.answers[0].summary.took <= CALLER_TIMEOUT);
}

/// Without a helper, the search is handled locally.
#[test_case(7; "too few daemons for three groups")]
#[test_case(9; "the other daemons are down")]
fn a_search_that_cannot_be_divided_is_handled_locally(daemons: u32) {
    let (mut sim, peers) = divided(daemons);
    for peer in peers {
        sim.set_behavior(peer, Behavior::Crashed);
    }
    sim.run_for(Duration::from_secs(1));
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(merged(&sim), (SHARDS, 0));
}

/// A helper answers at the given time with the results received so far, and reports the
/// number of missing shards.
#[test]
fn a_helper_answers_with_partial_results_in_time() {
    let (mut sim, _) = divided(9);
    for copy in 0..2 {
        sim.set_behavior(2 + copy, Behavior::Slow(100.0));
    }
    let route = sim.forwarder.route("localhost", "/search/x").unwrap();
    let delegated = Some(DelegatedPart {
        scope: Scope::Shards(vec![1, 4, 7, 10]),
        min_shards: 1,
        max_attempts: u32::MAX,
        answer_within: 60 * MS,
        repeat: false,
        admitted: false,
        resumes: false,
    });
    let arrival = Arrival {
        route,
        time_left: CALLER_TIMEOUT,
        fingerprint: Default::default(),
        search: SearchId(1),
        caller: Default::default(),
        draw: 0,
        delegated,
    };
    sim.forwarder.submit(sim.now, arrival);
    sim.run_actions();
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(merged(&sim), (3, 1));
    assert_eq!(sim.answers[0].summary.took, 60 * MS);
}
