//! Guards what backend servers ask for: no requests to one that leaves, and none to one
//! that wants none for a time.

mod world;

use std::time::Duration;

use jasminepond_forward::{
    Answer, BackendState, ForwardSettings, Refusal, Reply, RetryAfter, Verdict,
};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use test_case::test_case;
use world::{MS, Mood, World, reply, search, single};

const PATIENCE: Duration = Duration::from_millis(2_000);

fn servers(count: usize, repeat: Repeat) -> World {
    let mut world = World::new(ForwardSettings::default(), 11);
    for n in 0..count {
        world.add(&format!("one-{n}"), "one", 20 * MS);
    }
    world.put_release(1, vec![single(repeat)]);
    world.run_for(Duration::from_secs(1));
    world
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

/// Requests that reached a server from a time on.
fn arrived_since(world: &World, index: usize, from: Timestamp) -> usize {
    let arrived = world.servers[index].arrived.iter();
    arrived.filter(|(at, _)| *at >= from).count()
}

fn submit_many(world: &mut World, count: usize, gap: Duration) {
    for _ in 0..count {
        world.submit("/one/x", PATIENCE);
        world.run_for(gap);
    }
}

/// The server to which the only request in progress was sent.
fn server_of(world: &World, conn: jasminepond_forward::ConnKey) -> usize {
    let id = world.forwarder.server_of(conn).unwrap();
    world.servers.iter().position(|s| s.id == id).unwrap()
}

/// Whatever its answer says besides, a server that announces its stop is not used.
#[test_case(leaving(); "with an answer")]
#[test_case(Reply { not_run: true, stamp: None, ..Reply { leaving: true, ..reply(503, "") } }; "with a rejection")]
#[test_case(Reply { leaving: true, ..reply(500, "stamp") }; "with a failure")]
fn a_server_that_says_so_in_an_answer_gets_no_new_requests(with: Reply) {
    let mut world = servers(2, Repeat::Allowed);
    let req = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(req);
    let index = server_of(&world, conn);
    world.run_for(MS);
    world.answer_with(conn, with);
    let from = world.now;
    submit_many(&mut world, 40, 50 * MS);
    assert_eq!(arrived_since(&world, index, from), 0);
    assert!(arrived_since(&world, 1 - index, from) >= 40);
}

/// Its entry may say "ready" for as long as the store is behind or came back from a copy,
/// and the entry may go and return.
#[test]
fn no_entry_takes_an_announced_stop_back() {
    let mut world = servers(2, Repeat::Allowed);
    let req = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(req);
    let index = server_of(&world, conn);
    world.run_for(MS);
    world.answer_with(conn, leaving());
    let from = world.now;
    let mut entry = world.entry(index);
    for round in 0..8 {
        entry.warm_up_left = Millis(round);
        world.put_entry(entry.clone());
        submit_many(&mut world, 5, 50 * MS);
        if round % 3 == 2 {
            world.remove_entry(&entry.id);
            world.run_for(Duration::from_millis(2_500));
        }
    }
    assert_eq!(arrived_since(&world, index, from), 0);
    entry.started = Some(2);
    world.put_entry(entry);
    world.run_for(500 * MS);
    submit_many(&mut world, 20, 2 * MS);
    assert!(
        arrived_since(&world, index, from) > 0,
        "its next process is another server"
    );
}

/// A process that drains does not become ready again, whatever an older entry says.
#[test]
fn an_older_entry_does_not_take_draining_back() {
    let mut world = servers(2, Repeat::Allowed);
    let mut entry = world.entry(0);
    entry.state = BackendState::Draining;
    world.put_entry(entry.clone());
    let from = world.now;
    entry.state = BackendState::Ready;
    world.put_entry(entry);
    submit_many(&mut world, 40, 100 * MS);
    assert_eq!(arrived_since(&world, 0, from), 0);
}

/// Where every server leaves, as before a repartition is in force, the last one is used
/// for two thirds of the time in which that is allowed, and not longer.
#[test]
fn the_last_servers_are_used_only_while_it_is_allowed() {
    let mut world = World::new(
        ForwardSettings {
            drain_bound: Duration::from_millis(1_500),
            ..ForwardSettings::default()
        },
        12,
    );
    world.add("one-0", "one", 20 * MS);
    world.put_release(1, vec![single(Repeat::Allowed)]);
    world.run_for(Duration::from_secs(1));
    let req = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(req);
    world.answer_with(conn, leaving());
    let from = world.now;
    submit_many(&mut world, 60, 50 * MS);
    let arrived = &world.servers[0].arrived;
    let last = arrived.last().unwrap().0.since(from);
    assert!(last > 900 * MS, "{last:?}");
    assert!(last <= Duration::from_millis(1_000), "{last:?}");
    let refused = world.answers.last().unwrap();
    assert_eq!(refused.summary.verdict, Verdict::Refused);
    assert!(refused.summary.took.is_zero(), "refused at once");
}

/// Parts that wait for a connection and second sends of searches choose servers too.
#[test]
fn parts_that_wait_and_second_sends_avoid_it() {
    let mut world = World::new(ForwardSettings::default(), 13);
    world.add_shards(3, 10 * MS, Duration::ZERO, Duration::ZERO);
    world.put_release(1, vec![search(3, 80, 0.6)]);
    world.run_for(Duration::from_secs(1));
    let first = world.submit("/search/x", PATIENCE);
    for _ in 0..8 {
        world.submit("/search/x", PATIENCE);
    }
    let conn = world.conn_of(first);
    let index = server_of(&world, conn);
    world.run_for(MS);
    world.answer_with(conn, leaving());
    let from = world.now;
    for n in 0..40 {
        let slow = if n % 2 == 0 { 8.0 } else { 1.0 };
        for server in 0..world.servers.len() {
            world.set_mood(server, Mood::Slow(slow));
        }
        world.submit("/search/x", PATIENCE);
        world.run_for(15 * MS);
    }
    assert_eq!(arrived_since(&world, index, from), 0);
}

/// A server that turned a request away with a time gets nothing until it is over, by no
/// way: new requests, repeats, second sends and trials of a server that is thought full.
#[test_case(Repeat::Allowed; "requests that may be repeated")]
#[test_case(Repeat::Never; "requests that may run once")]
fn a_server_that_wants_no_requests_gets_none_until_the_time_is_over(repeat: Repeat) {
    let mut world = servers(2, repeat);
    let req = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(req);
    let index = server_of(&world, conn);
    world.run_for(MS);
    world.answer_with(conn, rejected(Duration::from_millis(3_000)));
    let from = world.now;
    world.set_mood(1 - index, Mood::Slow(12.0));
    submit_many(&mut world, 29, 100 * MS);
    assert_eq!(arrived_since(&world, index, from), 0);
    submit_many(&mut world, 20, 100 * MS);
    assert!(arrived_since(&world, index, from) > 0, "it is used again");
}

/// If nothing else can take them, requests are refused at once, and told when to return.
#[test]
fn what_no_server_wants_is_refused_at_once_with_a_true_time() {
    let mut world = servers(1, Repeat::Allowed);
    let req = world.submit("/one/x", PATIENCE);
    world.run_for(MS);
    world.answer_with(world.conn_of(req), rejected(Duration::from_millis(4_000)));
    assert_eq!(
        world.answers.last().unwrap().summary.verdict,
        Verdict::Refused
    );
    let from = world.now;
    world.run_for(Duration::from_millis(1_000));
    world.submit("/one/x", PATIENCE);
    let last = world.answers.last().unwrap();
    assert!(last.summary.took.is_zero());
    let Some(Answer::Refused(Refusal {
        kind: ErrorKind::NoBackend,
        retry_after: Some(Millis(wait)),
    })) = last.answer
    else {
        panic!("{last:?}");
    };
    assert_eq!(wait, 3_000);
    world.run_for(Duration::from_millis(wait + 10));
    world.submit("/one/x", PATIENCE);
    assert_eq!(arrived_since(&world, 0, from), 1);
}

/// A search that lacks too many shards says when enough of them take requests again, not
/// when the first one does.
#[test]
fn a_search_says_when_enough_shards_are_back() {
    let mut world = World::new(ForwardSettings::default(), 14);
    world.add_shards(4, 10 * MS, Duration::ZERO, Duration::ZERO);
    world.put_release(1, vec![search(4, 80, 0.75)]);
    world.run_for(Duration::from_secs(1));
    // Shard n takes requests again after n + 1 seconds; the last shard is sound.
    for shard in 0..3 {
        for copy in 0..2 {
            world.reject_next(2 * shard + copy, Duration::from_secs(shard as u64 + 1));
        }
    }
    let from = world.now;
    while world.answers.last().is_none_or(|a| a.summary.sends > 0) {
        world.submit("/search/x", PATIENCE);
        world.run_for(MS);
    }
    let Some(Answer::Refused(Refusal {
        retry_after: Some(Millis(wait)),
        ..
    })) = world.answers.last().unwrap().answer
    else {
        panic!("{:?}", world.answers.last());
    };
    let since = world.now.since(from).as_millis() as u64;
    let back = since + wait;
    assert!((1_900..2_200).contains(&back), "{back} ms");
}

#[test]
fn a_time_that_cannot_be_read_is_ignored() {
    let mut world = servers(2, Repeat::Allowed);
    let req = world.submit("/one/x", PATIENCE);
    let conn = world.conn_of(req);
    let index = server_of(&world, conn);
    let unreadable = Reply {
        retry_after: Some(RetryAfter::Invalid),
        ..rejected(Duration::ZERO)
    };
    world.run_for(MS);
    world.answer_with(conn, unreadable);
    let from = world.now;
    submit_many(&mut world, 40, 2 * MS);
    assert!(arrived_since(&world, index, from) > 0);
}

/// The entry of a server may lapse and return while it wants no requests.
#[test]
fn the_time_holds_when_the_entry_goes_and_returns() {
    let mut world = servers(1, Repeat::Allowed);
    let req = world.submit("/one/x", PATIENCE);
    world.run_for(MS);
    world.answer_with(world.conn_of(req), rejected(Duration::from_millis(5_000)));
    let from = world.now;
    let entry = world.entry(0);
    world.remove_entry(&entry.id);
    world.run_for(Duration::from_millis(2_500));
    world.put_entry(entry);
    submit_many(&mut world, 20, 100 * MS);
    assert_eq!(arrived_since(&world, 0, from), 0);
    world.run_for(600 * MS);
    submit_many(&mut world, 1, 100 * MS);
    assert_eq!(arrived_since(&world, 0, from), 1);
}
