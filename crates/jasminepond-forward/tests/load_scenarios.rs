//! Load scenarios whose outcome depends on server selection, queueing and hedging. Bounds
//! come from the users' requirements: objectives, minimum coverage, and the share of
//! repeated sends.

mod sim;

use std::time::Duration;

use jasminepond_forward::{
    Answer, Cluster, ForwardSettings, RepeatSettings, SMALL_SITE_DAEMONS, Verdict,
};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use sim::{Behavior, MS, Sim, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests per second of one of six daemons that share 67.6 searches of the registry.
const PER_S: f64 = 11.3;

fn sim_with_shards(seed: u64) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), seed);
    let (pause, every) = (Duration::from_millis(200), Duration::from_millis(4_500));
    sim.add_shards(20, 20 * MS, pause, every);
    sim.put_release(1, vec![search(20, 150, 0.89)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// The two servers of each of 20 shards pause for 200 ms every 4.5 s, so that most searches
/// meet a pause. If they waited for every part, most would miss the objective.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn searches_meet_their_objective_while_servers_pause(seed: u64) {
    let mut sim = sim_with_shards(seed);
    let from = sim.now;
    sim.load("/search/x", PER_S, Duration::from_secs(60), CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    let in_time = sim.in_time(from, 150 * MS);
    assert!(in_time > 0.98, "{in_time} in time");
    let searches = sim.answers.len() as f64;
    let repeats: u32 = sim.answers.iter().map(|a| a.summary.repeats).sum();
    let share = f64::from(repeats) / (searches * 20.0);
    assert!(share < 0.2, "{share} of the sub-requests were repeated");
}

/// One server of each of five shards stops answering. A daemon that keeps sending to it
/// loses these parts and exhausts the budget for repeated sends.
#[test]
fn silent_servers_get_no_more_than_a_few_calls() {
    let mut sim = sim_with_shards(4);
    for shard in 0..5 {
        sim.set_behavior(shard * 2, Behavior::Silent);
    }
    sim.load("/search/x", PER_S, Duration::from_secs(2), CALLER_TIMEOUT);
    let settled = sim.now;
    sim.load("/search/x", PER_S, Duration::from_secs(10), CALLER_TIMEOUT);
    let sent_to_silent: usize = (0..5)
        .map(|shard| {
            let arrived = &sim.servers[shard * 2].arrived;
            arrived.iter().filter(|(at, _)| *at >= settled).count()
        })
        .sum();
    assert!(
        sent_to_silent <= 5,
        "{sent_to_silent} sent to silent servers"
    );
    let in_time = sim.in_time(settled, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
}

/// A silent server must be used again soon after it recovers, or its shard depends on one
/// server.
#[test]
fn a_recovered_server_is_used_again() {
    let mut sim = sim_with_shards(5);
    sim.set_behavior(0, Behavior::Silent);
    sim.load("/search/x", PER_S, Duration::from_secs(5), CALLER_TIMEOUT);
    sim.set_behavior(0, Behavior::Healthy);
    let back = sim.now;
    sim.load("/search/x", PER_S, Duration::from_secs(5), CALLER_TIMEOUT);
    let arrived = &sim.servers[0].arrived;
    let used = arrived
        .iter()
        .filter(|(at, _)| *at >= back + Duration::from_secs(2));
    assert!(used.count() > 10);
}

/// One server of every seventh shard is eight times slower.
#[test]
fn slow_servers_get_few_requests() {
    let mut sim = sim_with_shards(6);
    for shard in [0, 7, 14] {
        sim.set_behavior(shard * 2, Behavior::Slow(8.0));
    }
    sim.load("/search/x", PER_S, Duration::from_secs(2), CALLER_TIMEOUT);
    let from = sim.now;
    sim.load("/search/x", PER_S, Duration::from_secs(20), CALLER_TIMEOUT);
    let in_time = sim.in_time(from, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
    for shard in [0, 7, 14] {
        let sent = |server: usize| {
            let arrived = &sim.servers[server].arrived;
            arrived.iter().filter(|(at, _)| *at >= from).count()
        };
        let (slow, healthy) = (sent(shard * 2), sent(shard * 2 + 1));
        // Half of an equal share.
        assert!(
            slow * 3 < healthy,
            "{slow} to the slow server, {healthy} to the other"
        );
    }
}

/// The same slow servers are used by many daemons. Daemons probe slow servers
/// independently, so each must probe less often the more daemons there are. Otherwise 16
/// daemons together send every search to some of the slow servers.
#[test]
fn many_daemons_probe_slow_servers_less_often() {
    let sent_to_slow = |daemons: u32| {
        let mut sent = 0;
        for seed in 0..4 {
            let mut sim = sim_with_shards(seed);
            let cluster = Cluster { daemons, rank: 0 };
            sim.forwarder.set_cluster(sim.now, cluster);
            // Keeps the number of connections per daemon constant.
            sim.max_connections = 25 * daemons / SMALL_SITE_DAEMONS;
            sim.put_release(2, vec![search(20, 150, 0.89)]);
            for shard in [0, 7, 14] {
                sim.set_behavior(shard * 2, Behavior::Slow(8.0));
            }
            sim.load("/search/x", PER_S, Duration::from_secs(20), CALLER_TIMEOUT);
            let slow = [0, 7, 14].map(|shard| sim.servers[shard * 2].arrived.len());
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

/// One server of each shard rejects 60% of its requests although it is idle. A daemon that
/// takes each rejection for a full queue returns to the server too early and exhausts the
/// budget for repeated sends.
#[test]
fn searches_meet_their_objective_while_idle_servers_reject() {
    let mut sim = sim_with_shards(12);
    for shard in 0..20 {
        sim.set_behavior(shard * 2, Behavior::Rejecting(0.6));
    }
    sim.load("/search/x", PER_S, Duration::from_secs(2), CALLER_TIMEOUT);
    let from = sim.now;
    sim.load("/search/x", PER_S, Duration::from_secs(20), CALLER_TIMEOUT);
    let in_time = sim.in_time(from, 150 * MS);
    assert!(in_time > 0.95, "{in_time} in time");
}

/// All servers of three of 20 shards are down, but at most two shards may be missing. A
/// search must be refused immediately instead of at its deadline.
#[test]
fn a_search_that_cannot_reach_its_coverage_is_refused_immediately() {
    let mut sim = sim_with_shards(7);
    for shard in 0..3 {
        sim.set_behavior(shard * 2, Behavior::Crashed);
        sim.set_behavior(shard * 2 + 1, Behavior::Crashed);
    }
    sim.run_for(Duration::from_millis(50));
    let key = sim.submit("/search/x", CALLER_TIMEOUT);
    let answered = sim
        .answers
        .iter()
        .find(|a| a.req == key)
        .expect("answered immediately");
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

/// With two of 20 shards down, a search is answered in time without them and reports which
/// are missing.
#[test]
fn a_search_without_two_shards_is_answered_in_time() {
    let mut sim = sim_with_shards(8);
    for server in 0..4 {
        sim.set_behavior(server, Behavior::Crashed);
    }
    sim.run_for(Duration::from_millis(50));
    let key = sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    let answered = sim.answers.iter().find(|a| a.req == key).expect("answered");
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

/// Four servers with a capacity of 20 requests per second each receive 400 requests within
/// a second. Requests that cannot be served in time must be refused early, so that
/// callers can retry, and servers must stay busy with the others.
#[test]
fn a_burst_is_refused_early_and_the_rest_served() {
    let mut sim = Sim::new(ForwardSettings::default(), 9);
    for n in 0..4 {
        sim.add(&format!("one-{n}"), "one", 100 * MS);
    }
    sim.put_release(1, vec![single(Repeat::Never)]);
    sim.run_for(Duration::from_secs(1));
    sim.load(
        "/one/x",
        400.0,
        Duration::from_secs(1),
        Duration::from_secs(4),
    );
    sim.run_for(Duration::from_secs(5));
    let refused = sim
        .answers
        .iter()
        .filter(|a| a.summary.verdict == Verdict::Refused);
    let mut count = 0;
    for answered in refused {
        count += 1;
        // A quarter of the objective, within which the users count a refusal as prompt.
        assert!(
            answered.summary.took <= Duration::from_micros(62_500),
            "{answered:?}"
        );
    }
    assert!(count > 0);
    let ran: usize = sim.servers.iter().map(|server| server.ran.len()).sum();
    assert!(ran >= 70, "only {ran} of about 80 possible requests ran");
}

/// Parts of two routes wait for the same connection. The higher priority must go first.
#[test]
fn queued_parts_are_sent_by_priority() {
    let mut sim = Sim::new(ForwardSettings::default(), 10);
    sim.add("one-0", "one", 50 * MS);
    let mut low = single(Repeat::Never);
    low.priority = 2;
    let mut high = single(Repeat::Never);
    (high.prefix, high.name) = ("/high/".to_owned(), "high".into());
    high.priority = 1;
    sim.put_release(1, vec![low, high]);
    sim.run_for(Duration::from_secs(1));
    for _ in 0..3 {
        sim.submit("/one/x", Duration::from_secs(4));
    }
    let last = sim.submit("/one/x", Duration::from_secs(4));
    let first = sim.submit("/high/x", Duration::from_secs(4));
    sim.run_for(Duration::from_secs(1));
    let at = |key| {
        let arrived = &sim.servers[0].arrived;
        arrived.iter().position(|(_, req)| *req == key)
    };
    assert!(at(first).is_some());
    assert!(at(last).is_none_or(|at_last| at(first) < Some(at_last)));
}

/// The budget must hold in every window, whatever the servers do.
#[test_case(Behavior::Failing(0.5); "half of the requests fail")]
#[test_case(Behavior::DropsAnswers; "answers are lost")]
#[test_case(Behavior::Full; "servers are full")]
#[test_case(Behavior::Slow(30.0); "servers are slow")]
fn repeated_sends_stay_within_the_budget(behavior: Behavior) {
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
    let mut sim = Sim::new(settings, 11);
    sim.add_shards(4, 20 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(4, 150, 0.5)]);
    sim.run_for(Duration::from_secs(1));
    for server in 0..8 {
        sim.set_behavior(server, behavior);
    }
    sim.load("/search/x", PER_S, Duration::from_secs(30), CALLER_TIMEOUT);
    let window = Duration::from_secs(10);
    for shard in 0..4 {
        let mut arrivals: Vec<_> = sim.servers[shard * 2..shard * 2 + 2]
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

/// After a restart of all daemons, disconnected callers return together when their objective
/// has already passed, while other callers use two fifths of the servers' capacity. The
/// backlog must neither overflow the servers' queues nor delay requests that can be in time.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_backlog_does_not_delay_requests_that_can_be_in_time(seed: u64) {
    let objective = 120 * MS;
    let mut sim = Sim::new(ForwardSettings::default(), seed);
    let alone = Cluster {
        daemons: 1,
        rank: 0,
    };
    sim.forwarder.set_cluster(sim.now, alone);
    sim.add_shards(20, 15 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(20, 120, 0.89)]);
    let from = sim.now;
    for _ in 0..2 {
        sim.submit("/search/x", CALLER_TIMEOUT);
    }
    for _ in 0..120 {
        sim.submit("/search/x", CALLER_TIMEOUT / 2);
    }
    let backlog = sim.answers.len() + 122;
    sim.load("/search/x", 105.0, Duration::from_secs(2), CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    let early = |a: &&sim::Answered| {
        a.summary.verdict == Verdict::Failed && a.summary.took < CALLER_TIMEOUT / 2
    };
    let failed = sim.answers.iter().filter(early).count();
    assert_eq!(failed, 0, "failed before their deadline");
    let submitted = sim.answers.len() - backlog;
    let in_time = sim.in_time(from, objective) * sim.answers.len() as f64;
    assert!(
        in_time >= submitted as f64 * 0.9,
        "{in_time} in time of {submitted}"
    );
}
