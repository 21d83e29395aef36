//! Replays loads at which placement, waiting or second sends decide what callers
//! get. Bounds come from the users' pages: objectives, the least coverage, and
//! the share of repeated sends.

mod world;

use std::time::Duration;

use jasminepond_forward::{
    Answer, Cluster, ForwardSettings, RepeatSettings, SMALL_SITE_DAEMONS, Verdict,
};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use test_case::test_case;
use world::{MS, Mood, World, search, single};

const PATIENCE: Duration = Duration::from_millis(800);

/// Requests a second that one of six daemons gets of the registry's 67.6.
const PER_S: f64 = 11.3;

fn world_of_shards(seed: u64) -> World {
    let mut world = World::new(ForwardSettings::default(), seed);
    let (pause, every) = (Duration::from_millis(200), Duration::from_millis(4_500));
    world.add_shards(20, 20 * MS, pause, every);
    world.put_release(1, vec![search(20, 150, 0.89)]);
    world.run_for(Duration::from_secs(1));
    world
}

/// Load: 20 shards whose two servers pause for 200 ms each 4.5 s, so that most
/// searches meet a pause. Waiting for each part would miss the objective on most.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn searches_meet_their_objective_while_servers_pause(seed: u64) {
    let mut world = world_of_shards(seed);
    let from = world.now;
    world.load("/search/x", PER_S, Duration::from_secs(60), PATIENCE);
    world.run_for(PATIENCE);
    let in_time = world.in_time(from, 150 * MS);
    assert!(in_time > 0.98, "{in_time} in time");
    let searches = world.answers.len() as f64;
    let repeats: u32 = world.answers.iter().map(|a| a.summary.repeats).sum();
    let share = f64::from(repeats) / (searches * 20.0);
    assert!(share < 0.2, "{share} of the sub-requests were repeated");
}

/// Load: one server of five shards falls silent. A daemon that keeps sending to
/// it loses these parts, and second sends run out.
#[test]
fn silent_servers_are_left_alone_after_the_first_calls() {
    let mut world = world_of_shards(4);
    for shard in 0..5 {
        world.set_mood(shard * 2, Mood::Dark);
    }
    world.load("/search/x", PER_S, Duration::from_secs(2), PATIENCE);
    let settled = world.now;
    world.load("/search/x", PER_S, Duration::from_secs(10), PATIENCE);
    let sent_to_silent: usize = (0..5)
        .map(|shard| {
            let arrived = &world.servers[shard * 2].arrived;
            arrived.iter().filter(|(at, _)| *at >= settled).count()
        })
        .sum();
    assert!(
        sent_to_silent <= 5,
        "{sent_to_silent} sent to silent servers"
    );
    let in_time = world.in_time(settled, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
}

/// A server that was silent must be used again soon after it answers, or its
/// shard stays on one server.
#[test]
fn a_server_that_is_back_is_used_again() {
    let mut world = world_of_shards(5);
    world.set_mood(0, Mood::Dark);
    world.load("/search/x", PER_S, Duration::from_secs(5), PATIENCE);
    world.set_mood(0, Mood::Sound);
    let back = world.now;
    world.load("/search/x", PER_S, Duration::from_secs(5), PATIENCE);
    let arrived = &world.servers[0].arrived;
    let used = arrived
        .iter()
        .filter(|(at, _)| *at >= back + Duration::from_secs(2));
    assert!(used.count() > 10);
}

/// Load: one server of every seventh shard works eight times slower.
#[test]
fn slow_servers_get_little() {
    let mut world = world_of_shards(6);
    for shard in [0, 7, 14] {
        world.set_mood(shard * 2, Mood::Slow(8.0));
    }
    world.load("/search/x", PER_S, Duration::from_secs(2), PATIENCE);
    let from = world.now;
    world.load("/search/x", PER_S, Duration::from_secs(20), PATIENCE);
    let in_time = world.in_time(from, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
    for shard in [0, 7, 14] {
        let sent = |server: usize| {
            let arrived = &world.servers[server].arrived;
            arrived.iter().filter(|(at, _)| *at >= from).count()
        };
        let (slow, sound) = (sent(shard * 2), sent(shard * 2 + 1));
        // Half of an equal share.
        assert!(
            slow * 3 < sound,
            "{slow} to the slow server, {sound} to the other"
        );
    }
}

/// Load: the same slow servers, which many daemons use. Each daemon tries a slow
/// server again by itself, so each must do so more rarely the more they are; else
/// 16 daemons together send every search to some of them.
#[test]
fn many_daemons_try_slow_servers_again_more_rarely() {
    let sent_to_slow = |daemons: u32| {
        let mut sent = 0;
        for seed in 0..4 {
            let mut world = world_of_shards(seed);
            let cluster = Cluster { daemons, rank: 0 };
            world.forwarder.set_cluster(world.now, cluster);
            // Each daemon keeps its number of connections.
            world.max_connections = 25 * daemons / SMALL_SITE_DAEMONS;
            world.put_release(2, vec![search(20, 150, 0.89)]);
            for shard in [0, 7, 14] {
                world.set_mood(shard * 2, Mood::Slow(8.0));
            }
            world.load("/search/x", PER_S, Duration::from_secs(20), PATIENCE);
            let slow = [0, 7, 14].map(|shard| world.servers[shard * 2].arrived.len());
            sent += slow.iter().sum::<usize>();
        }
        sent
    };
    let (few, many) = (
        sent_to_slow(SMALL_SITE_DAEMONS),
        sent_to_slow(2 * SMALL_SITE_DAEMONS),
    );
    assert!(many * 4 < few * 3, "{many} of many, {few} of few");
}

/// Load: one server of each shard rejects six in ten of its requests although it
/// is idle. A daemon that takes each rejection for a full queue comes back after
/// it, and the budget for second sends runs out.
#[test]
fn servers_that_reject_while_idle_get_little() {
    let mut world = world_of_shards(12);
    for shard in 0..20 {
        world.set_mood(shard * 2, Mood::Rejecting(0.6));
    }
    world.load("/search/x", PER_S, Duration::from_secs(2), PATIENCE);
    let from = world.now;
    world.load("/search/x", PER_S, Duration::from_secs(20), PATIENCE);
    let in_time = world.in_time(from, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
}

/// Load: all servers of three of 20 shards are down, where two may be missing.
/// Each search must be refused at once and not held to its deadline.
#[test]
fn a_search_that_cannot_be_covered_is_refused_at_once() {
    let mut world = world_of_shards(7);
    for shard in 0..3 {
        world.set_mood(shard * 2, Mood::Crashed);
        world.set_mood(shard * 2 + 1, Mood::Crashed);
    }
    world.run_for(Duration::from_millis(50));
    let key = world.submit("/search/x", PATIENCE);
    let answered = world
        .answers
        .iter()
        .find(|a| a.req == key)
        .expect("answered at once");
    let Some(Answer::Refused(refusal)) = &answered.answer else {
        panic!("{answered:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::NoBackend);
    assert!(
        refusal
            .retry_after
            .is_some_and(|wait| wait <= Millis(1_000))
    );
    assert_eq!(answered.summary.sends, 0);
}

/// With two of 20 shards down the search is answered without them, in time, and
/// says which are missing.
#[test]
fn a_search_without_two_shards_is_answered_in_time() {
    let mut world = world_of_shards(8);
    for server in 0..4 {
        world.set_mood(server, Mood::Crashed);
    }
    world.run_for(Duration::from_millis(50));
    let key = world.submit("/search/x", PATIENCE);
    world.run_for(PATIENCE);
    let answered = world
        .answers
        .iter()
        .find(|a| a.req == key)
        .expect("answered");
    let Some(Answer::Merged {
        stamps, missing, ..
    }) = &answered.answer
    else {
        panic!("{answered:?}");
    };
    assert_eq!((stamps.len(), *missing), (18, 2));
    assert_eq!(answered.summary.verdict, Verdict::Partial);
    assert_eq!(
        answered.summary.missing,
        ["s0:no_server:0/2", "s1:no_server:0/2"]
    );
    assert!(answered.summary.took <= 150 * MS);
}

/// Load: four servers with work for 20 requests a second each get ten times that
/// for a second. What cannot be served in time must be refused early, so that
/// callers can come back, and servers must stay busy with what can.
#[test]
fn a_burst_is_refused_early_and_the_rest_served() {
    let mut world = World::new(ForwardSettings::default(), 9);
    for n in 0..4 {
        world.add(&format!("one-{n}"), "one", 100 * MS);
    }
    world.put_release(1, vec![single(Repeat::Never)]);
    world.run_for(Duration::from_secs(1));
    world.load(
        "/one/x",
        400.0,
        Duration::from_secs(1),
        Duration::from_secs(4),
    );
    world.run_for(Duration::from_secs(5));
    let refused = world
        .answers
        .iter()
        .filter(|a| a.summary.verdict == Verdict::Refused);
    let mut count = 0;
    for answered in refused {
        count += 1;
        // A quarter of the objective, the time within which the users count a
        // refusal as prompt.
        assert!(
            answered.summary.took <= Duration::from_micros(62_500),
            "{answered:?}"
        );
    }
    assert!(count > 0);
    let ran: usize = world.servers.iter().map(|server| server.ran.len()).sum();
    assert!(ran >= 70, "only {ran} of about 80 possible requests ran");
}

/// Load: parts of two routes wait for the same connections. The higher rank must
/// be served first.
#[test]
fn waiting_parts_go_by_rank() {
    let mut world = World::new(ForwardSettings::default(), 10);
    world.add("one-0", "one", 50 * MS);
    let mut low = single(Repeat::Never);
    low.priority = 2;
    let mut high = single(Repeat::Never);
    (high.prefix, high.name) = ("/high/".to_owned(), "high".into());
    high.priority = 1;
    world.put_release(1, vec![low, high]);
    world.run_for(Duration::from_secs(1));
    for _ in 0..3 {
        world.submit("/one/x", Duration::from_secs(4));
    }
    let last = world.submit("/one/x", Duration::from_secs(4));
    let first = world.submit("/high/x", Duration::from_secs(4));
    world.run_for(Duration::from_secs(1));
    let at = |key| {
        let arrived = &world.servers[0].arrived;
        arrived.iter().position(|(_, req)| *req == key)
    };
    assert!(at(first).is_some());
    assert!(at(last).is_none_or(|at_last| at(first) < Some(at_last)));
}

/// Each window of the budget must hold over any time, whatever servers do.
#[test_case(Mood::Failing(0.5); "half of the requests fail")]
#[test_case(Mood::LosesAnswers; "answers are lost")]
#[test_case(Mood::Full; "servers are full")]
#[test_case(Mood::Slow(30.0); "servers are slow")]
fn repeated_sends_stay_within_the_budget(mood: Mood) {
    let daemons = 6;
    let settings = ForwardSettings {
        repeat: RepeatSettings {
            share: 0.2,
            slack: 52.0,
            daemons,
            ..RepeatSettings::default()
        },
        ..ForwardSettings::default()
    };
    let mut world = World::new(settings, 11);
    world.add_shards(4, 20 * MS, Duration::ZERO, Duration::ZERO);
    world.put_release(1, vec![search(4, 150, 0.5)]);
    world.run_for(Duration::from_secs(1));
    for server in 0..8 {
        world.set_mood(server, mood);
    }
    world.load("/search/x", PER_S, Duration::from_secs(30), PATIENCE);
    let window = Duration::from_secs(10);
    for shard in 0..4 {
        let mut arrivals: Vec<_> = world.servers[shard * 2..shard * 2 + 2]
            .iter()
            .flat_map(|server| server.arrived.clone())
            .collect();
        arrivals.sort();
        let mut seen = std::collections::HashSet::new();
        let extra: Vec<Timestamp> = arrivals
            .iter()
            .filter(|(_, req)| !seen.insert(*req))
            .map(|(at, _)| *at)
            .collect();
        for start in &extra {
            let in_window = |at: &Timestamp| *at >= *start && at.since(*start) < window;
            let count = extra.iter().filter(|at| in_window(at)).count() as f64;
            let requests = arrivals.iter().filter(|(at, _)| in_window(at)).count() as f64 - count;
            let allowed = 0.2 * requests + 52.0 / f64::from(daemons);
            assert!(count <= allowed, "{count} repeats, {allowed} allowed");
        }
    }
}

/// Load: all daemons have restarted. Callers that were cut off come back together, after
/// their objective, beside the usual ones, who take two fifths of what the servers can do.
/// The backlog must neither overflow the servers' queues nor delay those who can be in time.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_backlog_does_not_delay_those_who_can_be_in_time(seed: u64) {
    let objective = 120 * MS;
    let mut world = World::new(ForwardSettings::default(), seed);
    let alone = Cluster {
        daemons: 1,
        rank: 0,
    };
    world.forwarder.set_cluster(world.now, alone);
    world.add_shards(20, 15 * MS, Duration::ZERO, Duration::ZERO);
    world.put_release(1, vec![search(20, 120, 0.89)]);
    let from = world.now;
    for _ in 0..2 {
        world.submit("/search/x", PATIENCE);
    }
    for _ in 0..120 {
        world.submit("/search/x", PATIENCE / 2);
    }
    let backlog = world.answers.len() + 122;
    world.load("/search/x", 105.0, Duration::from_secs(2), PATIENCE);
    world.run_for(PATIENCE);
    let early = |a: &&world::Answered| {
        a.summary.verdict == Verdict::Failed && a.summary.took < PATIENCE / 2
    };
    let failed = world.answers.iter().filter(early).count();
    assert_eq!(failed, 0, "failed before their deadline");
    let submitted = world.answers.len() - backlog;
    let in_time = world.in_time(from, objective) * world.answers.len() as f64;
    assert!(
        in_time >= submitted as f64 * 0.9,
        "{in_time} in time of {submitted}"
    );
}
