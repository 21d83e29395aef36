//! Overload of searches over many shards: which searches are refused, which shards the others
//! leave out, and what is felt once the load has gone.

mod cluster;
mod sim;

use std::time::Duration;

use cluster::World;
use jasminepond_forward::{
    Answer, Cluster, ForwardSettings, LoadReport, PeerReply, Reply, Verdict,
};
use jasminepond_types::{ErrorKind, Timestamp};
use sim::{Answered, Behavior, MS, Sim, reply, search};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

const OBJECTIVE: Duration = Duration::from_millis(200);

/// Shards of a group, with three servers of two slots each and 20 ms of work: 300 searches a
/// second at most.
const SHARDS: usize = 15;

const CAPACITY_PER_S: f64 = 300.0;

/// A daemon that sends all requests to the servers of a group of shards, after two seconds of a
/// tenth of the capacity.
fn group(seed: u64) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), seed);
    for shard in 0..SHARDS {
        for copy in 0..3 {
            sim.add(&format!("s{shard}-{copy}"), &format!("s{shard}"), 20 * MS);
        }
    }
    sim.max_connections = 60;
    sim.put_release(1, vec![search(SHARDS, 200, 0.93)]);
    let alone = Cluster {
        daemons: 1,
        rank: 0,
    };
    sim.forwarder.set_cluster(sim.now, alone);
    sim.run_for(SECOND);
    sim.load(
        "/search/x",
        CAPACITY_PER_S / 10.0,
        2 * SECOND,
        CALLER_TIMEOUT,
    );
    sim
}

fn in_time(answered: &Answered) -> bool {
    matches!(answered.answer, Some(Answer::Merged { .. })) && answered.summary.took <= OBJECTIVE
}

fn since(sim: &Sim, from: Timestamp) -> impl Iterator<Item = &Answered> {
    sim.answers
        .iter()
        .filter(move |answered| answered.at >= from)
}

fn is_refused(answered: &&Answered) -> bool {
    matches!(&answered.answer, Some(Answer::Refused(refusal)) if refusal.kind == ErrorKind::Overloaded)
}

/// Guards against searches that are all admitted and of which none reaches its coverage. The
/// bound is the users' goal for each window of two seconds.
#[test_case(2.0)]
#[test_case(4.0)]
#[test_case(8.0)]
fn goodput_holds_under_overload_of_all_shards(factor: f64) {
    let mut sim = group(1);
    for _ in 0..4 {
        let from = sim.now;
        let per_s = CAPACITY_PER_S * factor;
        sim.load("/search/x", per_s, 2 * SECOND, CALLER_TIMEOUT);
        let good = since(&sim, from)
            .filter(|answered| in_time(answered))
            .count();
        let possible = CAPACITY_PER_S * 2.0;
        assert!(
            good as f64 >= 0.85 * possible,
            "{good} of {possible} at {factor} times the capacity"
        );
    }
}

/// Guards against refusals that are answered late, or without a time to come back.
#[test]
fn searches_are_refused_at_once_with_a_time_to_come_back() {
    let mut sim = group(2);
    let from = sim.now;
    sim.load(
        "/search/x",
        CAPACITY_PER_S * 4.0,
        2 * SECOND,
        CALLER_TIMEOUT,
    );
    let refused: Vec<_> = since(&sim, from).filter(is_refused).collect();
    assert!(refused.len() > 100, "{} refused", refused.len());
    for answered in refused {
        assert_eq!(answered.summary.took, Duration::ZERO);
        assert_eq!(answered.summary.sends, 0);
        let Some(Answer::Refused(refusal)) = &answered.answer else {
            unreachable!("only refusals");
        };
        assert!(refusal.retry_after.is_some());
    }
}

/// Guards against refusing searches because of a few slow shards, which each of them may lack.
/// The other shards have room.
#[test]
fn searches_leave_slow_shards_out() {
    let mut sim = group(3);
    for server in 0..3 {
        sim.set_behavior(server, Behavior::Slow(10.0));
    }
    sim.load("/search/x", CAPACITY_PER_S / 2.0, SECOND, CALLER_TIMEOUT);
    let from = sim.now;
    sim.load(
        "/search/x",
        CAPACITY_PER_S / 2.0,
        4 * SECOND,
        CALLER_TIMEOUT,
    );
    let answers: Vec<_> = since(&sim, from).collect();
    let good = answers.iter().filter(|answered| in_time(answered)).count();
    assert!(
        good as f64 >= 0.85 * answers.len() as f64,
        "{good} of {}",
        answers.len()
    );
}

/// Guards against admission control that holds on to a load spike.
#[test]
fn nothing_is_refused_a_second_after_a_load_spike() {
    let mut sim = group(4);
    sim.load(
        "/search/x",
        CAPACITY_PER_S * 6.0,
        3 * SECOND,
        CALLER_TIMEOUT,
    );
    sim.load("/search/x", CAPACITY_PER_S / 4.0, SECOND, CALLER_TIMEOUT);
    let from = sim.now;
    sim.load(
        "/search/x",
        CAPACITY_PER_S / 4.0,
        2 * SECOND,
        CALLER_TIMEOUT,
    );
    sim.run_for(CALLER_TIMEOUT);
    let bad = since(&sim, from)
        .filter(|answered| !in_time(answered))
        .count();
    assert_eq!(bad, 0, "{bad} not in time");
}

/// Guards against a helper that reports an overload that does not exist, or that has ended
/// since: its report counts for a second at most.
#[test]
fn a_report_of_overload_expires() {
    let mut sim = Sim::new(ForwardSettings::default(), 5);
    sim.add_shards(48, 5 * MS, Duration::ZERO, Duration::ZERO);
    let peers = sim.add_peers_as(24, 23);
    let last = Cluster {
        daemons: 24,
        rank: 23,
    };
    sim.forwarder.set_daemons(sim.now, last, peers);
    sim.run_actions();
    sim.put_release(1, vec![search(48, 200, 0.95)]);
    sim.run_for(SECOND);
    let waits: Vec<_> = (0..48).map(|shard| format!("{shard}=900/900")).collect();
    let report: LoadReport = waits.join(",").parse().unwrap();
    let req = sim.submit("/search/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    sim.answer_with(
        conn,
        Reply {
            peer: Some(Box::new(PeerReply {
                load: Some(report),
                ..PeerReply::default()
            })),
            ..reply(200, "part")
        },
    );
    let refused = |sim: &mut Sim| {
        let before = sim.forwarder.status().admission.refused;
        for _ in 0..20 {
            sim.submit("/search/x", CALLER_TIMEOUT);
        }
        sim.forwarder.status().admission.refused - before
    };
    assert!(refused(&mut sim) > 15);
    sim.run_for(SECOND);
    assert_eq!(refused(&mut sim), 0);
}

/// Guards against discarding parts that are ready before the deadline: other daemons return
/// too few shards at the objective, since the servers of some shards take longer.
#[test]
fn the_rest_of_a_search_is_asked_for_until_its_deadline() {
    const SLOW: usize = 8;
    let mut world = World::new(12, search(48, 100, 0.95), 6);
    for shard in 0..48 {
        let work = if shard < SLOW { 300 } else { 10 };
        for _ in 0..2 {
            world.add_server(&format!("s{shard}"), Duration::from_millis(work));
        }
    }
    world.restart_all();
    world.run_until(world.now + SECOND);
    for daemon in 0..12 {
        world.submit(daemon, "/search/x", CALLER_TIMEOUT);
        world.run_until(world.now + SECOND);
    }
    let served = |verdict| matches!(verdict, Verdict::Served | Verdict::Partial);
    let answers = &world.answers;
    assert_eq!(answers.len(), 12);
    for answered in answers {
        assert!(served(answered.summary.verdict), "{:?}", answered.summary);
        assert!(answered.summary.took < CALLER_TIMEOUT);
    }
    // Asking again starts no second run on a server.
    for servers in world.ran.values() {
        let mut once = servers.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), servers.len());
    }
}
