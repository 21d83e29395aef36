//! Guards searches that are divided among daemons: no shard may be lost or counted
//! twice when a daemon that helps fails.

mod world;

use std::time::Duration;

use jasminepond_forward::{Answer, Arrival, DelegatedPart, ForwardSettings, Verdict};
use test_case::test_case;
use world::{MS, Mood, World, search};

const PATIENCE: Duration = Duration::from_millis(800);

/// Shards of the search: three groups of 16.
const SHARDS: usize = 48;

fn divided(daemons: u32) -> (World, Vec<usize>) {
    let mut world = World::new(ForwardSettings::default(), 1);
    world.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    world.put_release(1, vec![search(SHARDS, 200, 0.9)]);
    let peers = world.add_peers(daemons - 1);
    world.run_for(Duration::from_secs(1));
    (world, peers)
}

fn arrived(world: &World, servers: impl IntoIterator<Item = usize>) -> usize {
    let servers = servers.into_iter();
    servers
        .map(|server| world.servers[server].arrived.len())
        .sum()
}

/// Returns the signatures and the missing shards of the only answer.
fn merged(world: &World) -> (usize, usize) {
    match &world.answers[0].answer {
        Some(Answer::Merged {
            stamps, missing, ..
        }) => (stamps.len(), *missing),
        other => panic!("{other:?}"),
    }
}

/// A daemon sends the shards of its own group, and one request to each other one.
#[test]
fn a_search_is_divided_among_the_groups() {
    let (mut world, peers) = divided(9);
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    assert_eq!(merged(&world), (16 + 2, 0));
    assert_eq!(world.answers[0].summary.sends, 18);
    assert_eq!(arrived(&world, peers), 2);
    for shard in 0..SHARDS {
        let sent = arrived(&world, [shard * 2, shard * 2 + 1]);
        assert_eq!(sent, usize::from(shard % 3 == 0), "shard {shard}");
    }
}

/// What another daemon says that it has not done is done here, and nothing twice.
#[test]
fn a_refused_part_is_taken_over() {
    let (mut world, peers) = divided(9);
    for peer in peers {
        world.set_mood(peer, Mood::Full);
    }
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    assert_eq!(merged(&world), (SHARDS, 0));
    assert!(world.answers[0].summary.took <= 200 * MS);
}

/// A part that another daemon may have sent on is not done again: that daemon may
/// have used all servers that the route allows for a shard. Too much is missing
/// then, and the caller is told at once.
#[test_case(Mood::LosesAnswers; "it ends the connection")]
#[test_case(Mood::Failing(1.0); "it answers with a failure")]
fn a_part_that_may_have_run_is_not_done_again(mood: Mood) {
    let (mut world, peers) = divided(9);
    for peer in peers {
        world.set_mood(peer, mood);
    }
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    assert_eq!(world.answers[0].summary.verdict, Verdict::Failed);
    assert!(world.answers[0].summary.took <= 100 * MS);
    for shard in (0..SHARDS).filter(|shard| shard % 3 != 0) {
        assert_eq!(
            arrived(&world, [shard * 2, shard * 2 + 1]),
            0,
            "shard {shard}"
        );
    }
}

/// A daemon that falls silent is found out only after it should have answered. The
/// searches that have asked it are answered late, with the help of another one, and
/// later searches in time.
#[test]
fn a_silent_daemon_is_set_aside() {
    let (mut world, peers) = divided(9);
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    for peer in peers {
        if !world.servers[peer].arrived.is_empty() {
            world.set_mood(peer, Mood::Dark);
        }
    }
    world.answers.clear();
    world.submit("/search/x", PATIENCE);
    world.run_for(250 * MS);
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    world.answers.sort_by_key(|answered| answered.summary.took);
    assert_eq!(world.answers.len(), 2);
    assert_eq!(merged(&world), (16 + 2, 0));
    assert!(world.answers[0].summary.took <= 200 * MS);
    world.answers.remove(0);
    assert_eq!(merged(&world), (16 + 2, 0));
    assert!(world.answers[0].summary.took <= PATIENCE);
}

/// Without a daemon to ask, the search is done here.
#[test_case(7; "too few daemons for three groups")]
#[test_case(9; "the other daemons are gone")]
fn a_search_that_cannot_be_divided_is_done_here(daemons: u32) {
    let (mut world, peers) = divided(daemons);
    for peer in peers {
        world.set_mood(peer, Mood::Crashed);
    }
    world.run_for(Duration::from_secs(1));
    world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    assert_eq!(merged(&world), (SHARDS, 0));
}

/// A daemon that helps answers with what it has by the given time, and says how
/// much is missing.
#[test]
fn a_helping_daemon_answers_in_part() {
    let (mut world, _) = divided(9);
    for copy in 0..2 {
        world.set_mood(2 + copy, Mood::Slow(100.0));
    }
    let route = world.forwarder.route("localhost", "/search/x").unwrap();
    let delegated = Some(DelegatedPart {
        shards: vec![1, 4, 7, 10],
        answer_within: 60 * MS,
        repeat: false,
    });
    let arrival = Arrival {
        route,
        time_left: PATIENCE,
        delegated,
    };
    world.forwarder.submit(world.now, arrival);
    world.carry_out();
    world.run_for(PATIENCE);
    assert_eq!(merged(&world), (3, 1));
    assert_eq!(world.answers[0].summary.took, 60 * MS);
}
