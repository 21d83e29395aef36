//! Loss of contact with all backend servers, by the links of this daemon or otherwise.

mod sim;

use std::time::Duration;

use jasminepond_forward::{ContactEvent, ForwardSettings, Peer};
use jasminepond_routes::Repeat;
use sim::{Behavior, MS, Sim, search, single};
use test_case::test_case;

const SHARDS: usize = 12;

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which a loss of contact has to be noticed after the next request, so that
/// most requests under way can still be served elsewhere.
const NOTICE: Duration = Duration::from_millis(250);

/// Time within which a daemon has to use its servers again after a partition.
const RETURN: Duration = Duration::from_millis(500);

fn started() -> Sim {
    with_shards(SHARDS)
}

fn with_shards(shards: usize) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(shards, 10 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(shards, 150, 0.8)]);
    sim.load("/search/x", 20.0, Duration::from_secs(1), 800 * MS);
    sim
}

fn set_all(sim: &mut Sim, behavior: Behavior) {
    for index in 0..sim.servers.len() {
        sim.set_behavior(index, behavior);
    }
}

fn losses(sim: &Sim) -> usize {
    let lost = |(_, event): &&(_, ContactEvent)| matches!(event, ContactEvent::Lost { .. });
    sim.contact.iter().filter(lost).count()
}

/// Guards against a daemon that takes the loss of its own links for a failure of each server,
/// and against one that stays without servers afterwards.
#[test_case(Behavior::Silent; "silent")]
#[test_case(Behavior::Crashed; "refused")]
fn contact_is_lost_and_regained(behavior: Behavior) {
    let mut sim = started();
    set_all(&mut sim, behavior);
    let since = sim.now;
    sim.load("/search/x", 20.0, Duration::from_secs(3), 800 * MS);
    let lost = sim.contact.first().expect("contact is lost");
    assert!(
        lost.0.since(since) < 100 * MS + NOTICE,
        "{:?}",
        lost.0.since(since)
    );
    set_all(&mut sim, Behavior::Healthy);
    let since = sim.now;
    sim.load("/search/x", 20.0, Duration::from_secs(2), 800 * MS);
    let (at, event) = sim.contact.last().unwrap();
    assert!(matches!(event, ContactEvent::Regained { .. }), "{event:?}");
    assert!(at.since(since) < RETURN, "{:?}", at.since(since));
    assert_eq!(sim.contact.len(), 2, "{:?}", sim.contact);
}

/// Guards against a daemon that blames its own links for servers that have failed: its
/// requests would go to other daemons, which reach no more servers.
#[test_case(3, Behavior::Silent; "three shards are silent")]
#[test_case(9, Behavior::Crashed; "three quarters have crashed")]
#[test_case(SHARDS, Behavior::Slow(10.0); "all are slow")]
#[test_case(SHARDS, Behavior::Failing(1.0); "all fail")]
fn failed_servers_are_no_loss_of_contact(shards: usize, behavior: Behavior) {
    let mut sim = started();
    for index in 0..2 * shards {
        sim.set_behavior(index, behavior);
    }
    sim.load("/search/x", 20.0, Duration::from_secs(5), 800 * MS);
    assert_eq!(losses(&sim), 0, "{:?}", sim.contact);
}

/// Guards against holding requests because connections end that a partition resets, while
/// others stay open until they are used.
#[test]
fn a_daemon_without_links_suspects_no_request() {
    let mut sim = started();
    set_all(&mut sim, Behavior::DropsAnswers);
    sim.refuse_new = true;
    for _ in 0..40 {
        sim.load("/search/x", 40.0, 50 * MS, 800 * MS);
        assert_eq!(sim.forwarder.suspect_counts(sim.now), (0, 0));
    }
    assert_eq!(losses(&sim), 1, "{:?}", sim.contact);
}

/// Guards against a daemon that keeps contact for as long as idle connections seem open, while
/// those that are used are reset and new ones are refused.
#[test]
fn contact_is_lost_although_idle_connections_seem_open() {
    let mut sim = started();
    for n in 0..5 {
        sim.add(&format!("one-{n}"), "one", 10 * MS);
    }
    sim.put_release(2, vec![search(SHARDS, 150, 0.8), single(Repeat::Allowed)]);
    sim.load("/search/x", 20.0, Duration::from_secs(1), 800 * MS);
    set_all(&mut sim, Behavior::DropsAnswers);
    sim.refuse_new = true;
    let since = sim.now;
    sim.load("/search/x", 20.0, Duration::from_secs(2), 800 * MS);
    let lost = sim.contact.first().expect("contact is lost");
    assert!(
        lost.0.since(since) < 100 * MS + NOTICE,
        "{:?}",
        lost.0.since(since)
    );
}

/// Guards against a daemon that gets no requests, and helps others that have to do without it,
/// because all of its idle connections seem open.
#[test_case(Some("/health"), 1; "with health requests")]
#[test_case(None, 0; "without health requests nothing tells")]
fn an_idle_daemon_checks_its_connections_when_others_lose_contact(
    health_path: Option<&str>,
    expected: usize,
) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.health_path = health_path.map(Into::into);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    let peers = sim.add_peers_as(4, 0);
    sim.set_peers(4, peers.clone());
    sim.put_release(1, vec![search(SHARDS, 150, 0.8)]);
    sim.run_for(Duration::from_secs(1));
    let lost = |peer: Peer| Peer {
        reaches_servers: false,
        ..peer
    };
    // The links of the others are cut, not those of this daemon.
    sim.refuse_new = true;
    sim.set_peers(4, peers.iter().cloned().map(lost).collect());
    sim.run_for(NOTICE);
    assert_eq!(losses(&sim), 0, "{:?}", sim.contact);
    sim.set_peers(4, peers.clone());
    sim.run_for(Duration::from_secs(2));
    set_all(&mut sim, Behavior::Resets);
    sim.set_peers(4, peers.into_iter().map(lost).collect());
    sim.run_for(NOTICE);
    assert_eq!(losses(&sim), expected, "{:?}", sim.contact);
}

/// Guards against a request that ends servers with their hosts, so that new connections are not
/// even refused.
#[test]
fn servers_that_end_and_do_not_respond_any_more_are_ended_by_requests() {
    let mut sim = started();
    for n in 0..2 {
        sim.add(&format!("one-{n}"), "one", 10 * MS);
    }
    sim.put_release(2, vec![search(SHARDS, 150, 0.8), single(Repeat::Allowed)]);
    sim.load("/search/x", 20.0, Duration::from_secs(1), 800 * MS);
    for server in sim.servers.len() - 2..sim.servers.len() {
        sim.set_behavior(server, Behavior::Vanishes);
    }
    sim.submit("/one/x", 800 * MS);
    sim.load("/search/x", 20.0, Duration::from_secs(1), 800 * MS);
    assert_eq!(sim.forwarder.suspect_counts(sim.now), (1, 0));
}

/// Guards against holding requests because servers close connections during calls and go on.
#[test]
fn servers_that_close_connections_and_run_are_not_ended_by_requests() {
    let mut sim = started();
    set_all(&mut sim, Behavior::DropsAnswers);
    sim.load("/search/x", 40.0, Duration::from_secs(2), 800 * MS);
    assert_eq!(sim.forwarder.suspect_counts(sim.now), (0, 0));
}

/// Guards against a process that resumes after a pause and takes its own silence for that of
/// the servers.
#[test]
fn a_pause_of_the_process_is_no_loss_of_contact() {
    let mut sim = started();
    for n in 0..20 {
        sim.submit("/search/x", 800 * MS);
        sim.pause(Duration::from_millis(100 + 20 * n));
        sim.run_for(100 * MS);
    }
    assert_eq!(losses(&sim), 0, "{:?}", sim.contact);
}

/// Guards against a daemon that changes its mind with each interruption of a partition.
#[test]
fn short_returns_of_the_links_do_not_count_each_time() {
    let mut sim = started();
    for _ in 0..10 {
        set_all(&mut sim, Behavior::Silent);
        sim.load("/search/x", 20.0, 700 * MS, 800 * MS);
        set_all(&mut sim, Behavior::Healthy);
        sim.load("/search/x", 20.0, 500 * MS, 800 * MS);
    }
    assert!(losses(&sim) <= 5, "{:?}", sim.contact);
}

/// Guards against parts of searches that are sent to daemons which reach no server.
#[test]
fn daemons_without_contact_are_no_helpers() {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(48, 10 * MS, Duration::ZERO, Duration::ZERO);
    let first = sim.servers.len();
    let peers = sim.add_peers_as(30, 0);
    let without: Vec<_> = (0..peers.len()).filter(|at| at % 2 == 0).collect();
    let state = |(at, peer): (usize, Peer)| Peer {
        reaches_servers: !without.contains(&at),
        ..peer
    };
    let peers = peers.into_iter().enumerate().map(state).collect();
    sim.set_peers(30, peers);
    sim.put_release(1, vec![search(48, 150, 0.8)]);
    sim.load("/search/x", 20.0, Duration::from_secs(2), 800 * MS);
    let asked = |at: &usize| !sim.servers[first + at].arrived.is_empty();
    assert_eq!(without.iter().filter(|at| asked(at)).count(), 0);
    assert!((0..29).filter(asked).count() >= 3);
}
/// Guards against a daemon that reaches some servers and gives up the services of others.
#[test_case(Behavior::Silent; "silent")]
#[test_case(Behavior::Crashed; "refused")]
fn services_without_a_path_are_served_through_other_daemons(behavior: Behavior) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    let one = sim.add("one-0", "one", 20 * MS);
    sim.add("one-1", "one", 20 * MS);
    let peers = sim.add_peers(5);
    sim.put_release(1, vec![search(SHARDS, 150, 1.0), single(Repeat::Allowed)]);
    let load = |sim: &mut Sim, time: Duration| {
        let end = sim.now + time;
        while sim.now < end {
            sim.load("/search/x", 20.0, 100 * MS, CALLER_TIMEOUT);
            sim.load("/one/x", 20.0, 100 * MS, CALLER_TIMEOUT);
        }
    };
    load(&mut sim, Duration::from_secs(1));
    for index in [0, 1, one, one + 1] {
        sim.set_behavior(index, behavior);
    }
    load(&mut sim, Duration::from_secs(2));
    let since = sim.now;
    load(&mut sim, Duration::from_secs(4));
    let share = sim.in_time(since + CALLER_TIMEOUT, CALLER_TIMEOUT);
    assert_eq!(sim.contact, [], "contact is not lost");
    assert!(share > 0.98, "{share} served");
    assert!(
        peers
            .iter()
            .any(|peer| !sim.servers[*peer].arrived.is_empty())
    );
}

/// Returns a daemon with five others, and the server of requests that are no searches.
fn with_peers() -> (Sim, usize, Vec<usize>) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    let one = sim.add("one-0", "one", 20 * MS);
    let peers = sim.add_peers(5);
    sim.put_release(1, vec![search(SHARDS, 150, 1.0), single(Repeat::Allowed)]);
    sim.run_for(Duration::from_secs(1));
    (sim, one, peers)
}

/// Guards against requests that burden other daemons although these reach no server of the
/// service either.
#[test]
fn other_daemons_are_seldom_asked_for_services_that_are_down() {
    let (mut sim, one, peers) = with_peers();
    sim.set_behavior(one, Behavior::Crashed);
    for peer in &peers {
        sim.set_behavior(*peer, Behavior::Full);
    }
    let seconds = 5;
    sim.load("/one/x", 40.0, Duration::from_secs(seconds), CALLER_TIMEOUT);
    let asked = peers.iter().map(|peer| sim.servers[*peer].arrived.len());
    // Two daemons a second, and some while the first ones are asked.
    assert!(asked.sum::<usize>() <= 3 * seconds as usize);
    for answered in &sim.answers {
        assert!(answered.summary.took <= 20 * MS, "{:?}", answered.summary);
    }
}

/// Guards against a daemon that stops using its open connections because new ones are
/// refused.
#[test_case(None, Behavior::Healthy; "without health requests")]
#[test_case(Some("/health"), Behavior::Healthy; "with health requests")]
#[test_case(Some("/health"), Behavior::Slow(8.0); "with slow servers")]
fn refused_connections_are_no_loss_of_contact_while_others_are_open(
    health_path: Option<&str>,
    behavior: Behavior,
) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.health_path = health_path.map(Into::into);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    sim.put_release(1, vec![search(SHARDS, 150, 0.8)]);
    sim.load("/search/x", 20.0, Duration::from_secs(1), CALLER_TIMEOUT);
    set_all(&mut sim, behavior);
    sim.refuse_new = true;
    // The daemon connects again to the server that closes its connections.
    sim.run_for(100 * MS);
    sim.set_behavior(0, Behavior::Crashed);
    sim.load("/search/x", 4.0, Duration::from_secs(5), CALLER_TIMEOUT);
    assert_eq!(losses(&sim), 0, "{:?}", sim.contact);
    let share = sim.in_time(sim.now - Duration::from_secs(4), CALLER_TIMEOUT);
    assert!(share > 0.98, "{share} served");
}

/// Guards against requests that reach a server through other daemons although it has asked
/// for none.
#[test]
fn servers_that_want_no_requests_get_none_through_other_daemons() {
    let (mut sim, one, peers) = with_peers();
    sim.reject_next(one, Duration::from_secs(10));
    sim.load("/one/x", 40.0, Duration::from_secs(5), CALLER_TIMEOUT);
    let asked = peers
        .iter()
        .filter(|peer| !sim.servers[**peer].arrived.is_empty());
    assert_eq!((asked.count(), sim.servers[one].arrived.len()), (0, 1));
}

/// Guards against probes that multiply while a server responds now and then.
#[test]
fn probes_stay_few_while_contact_is_lost() {
    let mut sim = with_shards(60);
    set_all(&mut sim, Behavior::Silent);
    sim.load("/search/x", 20.0, Duration::from_secs(1), CALLER_TIMEOUT);
    let before = sim.attempts;
    let seconds = 20;
    for _ in 0..seconds {
        for behavior in [Behavior::Healthy, Behavior::Silent] {
            sim.set_behavior(0, behavior);
            sim.load("/search/x", 20.0, 500 * MS, CALLER_TIMEOUT);
        }
    }
    assert_eq!((sim.contact.len(), losses(&sim)), (1, 1));
    // Three services five times a second, and three more when a server responds.
    let attempts = sim.attempts - before;
    assert!(attempts <= seconds * (15 + 3), "{attempts}");
}
