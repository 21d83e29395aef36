//! Stopping servers get no new requests, and servers that send `Retry-After` get none
//! until it is over.

mod sim;

use std::time::Duration;

use jasminepond_forward::{
    Answer, BackendState, ForwardSettings, Refusal, Reply, RetryAfter, Verdict,
};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use sim::{Behavior, MS, Sim, reply, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

fn servers(count: usize, repeat: Repeat) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 11);
    for n in 0..count {
        sim.add(&format!("one-{n}"), "one", 20 * MS);
    }
    sim.put_release(1, vec![single(repeat)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

fn leaving() -> Reply {
    Reply {
        leaving: true,
        ..reply(200, "stamp")
    }
}

fn rejected(wait: Duration) -> Reply {
    Reply {
        not_run: true,
        stamp: None,
        retry_after: Some(RetryAfter::Wait(wait)),
        ..reply(503, "")
    }
}

/// Number of requests that a server received since `from`.
fn arrived_since(sim: &Sim, index: usize, from: Timestamp) -> usize {
    let arrived = sim.servers[index].arrived.iter();
    arrived.filter(|(at, _)| *at >= from).count()
}

fn submit_many(sim: &mut Sim, count: usize, gap: Duration) {
    for _ in 0..count {
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.run_for(gap);
    }
}

/// Index of the server of a connection.
fn server_of(sim: &Sim, conn: jasminepond_forward::ConnKey) -> usize {
    let id = sim.forwarder.server_of(conn).unwrap();
    sim.servers.iter().position(|s| s.id == id).unwrap()
}

/// A server that announces its stop is not used, whatever its response is otherwise.
#[test_case(leaving(); "with an answer")]
#[test_case(Reply { not_run: true, stamp: None, ..Reply { leaving: true, ..reply(503, "") } }; "with a rejection")]
#[test_case(Reply { leaving: true, ..reply(500, "stamp") }; "with a failure")]
fn a_server_that_announces_its_stop_gets_no_new_requests(with: Reply) {
    let mut sim = servers(2, Repeat::Allowed);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    let index = server_of(&sim, conn);
    sim.run_for(MS);
    sim.answer_with(conn, with);
    let from = sim.now;
    submit_many(&mut sim, 40, 50 * MS);
    assert_eq!(arrived_since(&sim, index, from), 0);
    assert!(arrived_since(&sim, 1 - index, from) >= 40);
}

/// While the store is behind or was restored from a copy, an entry may still be ready, or
/// be removed and added again.
#[test]
fn entries_do_not_revoke_an_announced_stop() {
    let mut sim = servers(2, Repeat::Allowed);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    let index = server_of(&sim, conn);
    sim.run_for(MS);
    sim.answer_with(conn, leaving());
    let from = sim.now;
    let mut entry = sim.entry(index);
    for round in 0..8 {
        entry.warm_up_left = Millis(round);
        sim.put_entry(entry.clone());
        submit_many(&mut sim, 5, 50 * MS);
        if round % 3 == 2 {
            sim.remove_entry(&entry.id);
            sim.run_for(Duration::from_millis(2_500));
        }
    }
    assert_eq!(arrived_since(&sim, index, from), 0);
    entry.started = Some(2);
    sim.put_entry(entry);
    sim.run_for(500 * MS);
    submit_many(&mut sim, 20, 2 * MS);
    assert!(
        arrived_since(&sim, index, from) > 0,
        "a new process under the same id is used"
    );
}

/// A draining process does not become ready again because of an older entry.
#[test]
fn an_older_entry_does_not_revoke_draining() {
    let mut sim = servers(2, Repeat::Allowed);
    let mut entry = sim.entry(0);
    entry.state = BackendState::Draining;
    sim.put_entry(entry.clone());
    let from = sim.now;
    entry.state = BackendState::Ready;
    sim.put_entry(entry);
    submit_many(&mut sim, 40, 100 * MS);
    assert_eq!(arrived_since(&sim, 0, from), 0);
}

/// If all servers are stopping, as shortly before a repartition takes effect, the last one
/// is used for two thirds of the time that is allowed, and not longer.
#[test]
fn the_last_stopping_server_is_used_only_within_the_grace_period() {
    let mut sim = Sim::new(
        ForwardSettings {
            drain_bound: Duration::from_millis(1_500),
            ..ForwardSettings::default()
        },
        12,
    );
    sim.add("one-0", "one", 20 * MS);
    sim.put_release(1, vec![single(Repeat::Allowed)]);
    sim.run_for(Duration::from_secs(1));
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    sim.answer_with(conn, leaving());
    let from = sim.now;
    submit_many(&mut sim, 60, 50 * MS);
    let arrived = &sim.servers[0].arrived;
    let last = arrived.last().unwrap().0.since(from);
    assert!(last > 900 * MS, "{last:?}");
    assert!(last <= Duration::from_millis(1_000), "{last:?}");
    let refused = sim.answers.last().unwrap();
    assert_eq!(refused.summary.verdict, Verdict::Refused);
    assert!(refused.summary.took.is_zero(), "refused immediately");
}

/// Server selection for queued parts and hedged sends also skips stopping servers.
#[test]
fn queued_parts_and_hedged_sends_avoid_a_stopping_server() {
    let mut sim = Sim::new(ForwardSettings::default(), 13);
    sim.add_shards(3, 10 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(3, 80, 0.6)]);
    sim.run_for(Duration::from_secs(1));
    let first = sim.submit("/search/x", CALLER_TIMEOUT);
    for _ in 0..8 {
        sim.submit("/search/x", CALLER_TIMEOUT);
    }
    let conn = sim.conn_of(first);
    let index = server_of(&sim, conn);
    sim.run_for(MS);
    sim.answer_with(conn, leaving());
    let from = sim.now;
    for n in 0..40 {
        let slow = if n % 2 == 0 { 8.0 } else { 1.0 };
        for server in 0..sim.servers.len() {
            sim.set_behavior(server, Behavior::Slow(slow));
        }
        sim.submit("/search/x", CALLER_TIMEOUT);
        sim.run_for(15 * MS);
    }
    assert_eq!(arrived_since(&sim, index, from), 0);
}

/// A server that rejects a request with `Retry-After` gets nothing until it is over:
/// neither new requests nor retries, hedged sends or probes of a full server.
#[test_case(Repeat::Allowed; "requests that may be repeated")]
#[test_case(Repeat::Never; "requests that may run once")]
fn a_server_gets_no_requests_before_its_retry_after_is_over(repeat: Repeat) {
    let mut sim = servers(2, repeat);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    let index = server_of(&sim, conn);
    sim.run_for(MS);
    sim.answer_with(conn, rejected(Duration::from_millis(3_000)));
    let from = sim.now;
    sim.set_behavior(1 - index, Behavior::Slow(12.0));
    submit_many(&mut sim, 29, 100 * MS);
    assert_eq!(arrived_since(&sim, index, from), 0);
    submit_many(&mut sim, 20, 100 * MS);
    assert!(arrived_since(&sim, index, from) > 0, "it is used again");
}

/// Without another server, requests are refused immediately with the remaining
/// `Retry-After`.
#[test]
fn requests_without_a_usable_server_are_refused_with_its_retry_after() {
    let mut sim = servers(1, Repeat::Allowed);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(MS);
    sim.answer_with(sim.conn_of(req), rejected(Duration::from_millis(4_000)));
    assert_eq!(
        sim.answers.last().unwrap().summary.verdict,
        Verdict::Refused
    );
    let from = sim.now;
    sim.run_for(Duration::from_millis(1_000));
    sim.submit("/one/x", CALLER_TIMEOUT);
    let last = sim.answers.last().unwrap();
    assert!(last.summary.took.is_zero());
    let Some(Answer::Refused(Refusal {
        kind: ErrorKind::NoBackend,
        retry_after: Some(Millis(wait)),
        ..
    })) = last.answer
    else {
        panic!("{last:?}");
    };
    assert_eq!(wait, 3_000);
    sim.run_for(Duration::from_millis(wait + 10));
    sim.submit("/one/x", CALLER_TIMEOUT);
    assert_eq!(arrived_since(&sim, 0, from), 1);
}

/// The `Retry-After` of a search without enough shards is the time until enough of them
/// accept requests again, not until the first one does.
#[test]
fn retry_after_of_a_search_waits_for_enough_shards() {
    let mut sim = Sim::new(ForwardSettings::default(), 14);
    sim.add_shards(4, 10 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(4, 80, 0.75)]);
    sim.run_for(Duration::from_secs(1));
    // Shard n accepts requests again after n + 1 seconds; the last shard is healthy.
    for shard in 0..3 {
        for copy in 0..2 {
            sim.reject_next(2 * shard + copy, Duration::from_secs(shard as u64 + 1));
        }
    }
    let from = sim.now;
    while sim.answers.last().is_none_or(|a| a.summary.sends > 0) {
        sim.submit("/search/x", CALLER_TIMEOUT);
        sim.run_for(MS);
    }
    let Some(Answer::Refused(Refusal {
        retry_after: Some(Millis(wait)),
        ..
    })) = sim.answers.last().unwrap().answer
    else {
        panic!("{:?}", sim.answers.last());
    };
    let since = sim.now.since(from).as_millis() as u64;
    let back = since + wait;
    assert!((1_900..2_200).contains(&back), "{back} ms");
}

#[test]
fn an_invalid_retry_after_is_ignored() {
    let mut sim = servers(2, Repeat::Allowed);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    let index = server_of(&sim, conn);
    let unreadable = Reply {
        retry_after: Some(RetryAfter::Invalid),
        ..rejected(Duration::ZERO)
    };
    sim.run_for(MS);
    sim.answer_with(conn, unreadable);
    let from = sim.now;
    submit_many(&mut sim, 40, 2 * MS);
    assert!(arrived_since(&sim, index, from) > 0);
}

/// The entry of a server may expire and return during its `Retry-After`.
#[test]
fn retry_after_holds_when_the_entry_is_removed_and_added_again() {
    let mut sim = servers(1, Repeat::Allowed);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(MS);
    sim.answer_with(sim.conn_of(req), rejected(Duration::from_millis(5_000)));
    let from = sim.now;
    let entry = sim.entry(0);
    sim.remove_entry(&entry.id);
    sim.run_for(Duration::from_millis(2_500));
    sim.put_entry(entry);
    submit_many(&mut sim, 20, 100 * MS);
    assert_eq!(arrived_since(&sim, 0, from), 0);
    sim.run_for(600 * MS);
    submit_many(&mut sim, 1, 100 * MS);
    assert_eq!(arrived_since(&sim, 0, from), 1);
}
