//! Servers of an evacuated availability zone get no request of any kind, and come back
//! gradually.

mod sim;

use std::time::Duration;

use jasminepond_forward::{
    Answer, Arrival, Cluster, DelegatedPart, ForwardSettings, Refusal, Scope, SearchId, Verdict,
};
use jasminepond_routes::Repeat;
use jasminepond_types::{Millis, Timestamp};
use sim::{Behavior, MS, Sim, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time after which a server is used again once its zone is returned to service.
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// A service with one server in each of these zones.
fn servers(zones: &[&str], repeat: Repeat) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 21);
    for (n, zone) in zones.iter().enumerate() {
        let index = sim.add(&format!("one-{n}"), "one", 20 * MS);
        sim.set_zone(index, zone);
    }
    sim.put_release(1, vec![single(repeat)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// A search whose shards have a server each in the zones `za` and `zb`.
fn shards(count: usize, min_coverage: f64) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 22);
    sim.add_shards(count, 10 * MS, Duration::ZERO, Duration::ZERO);
    for index in 0..2 * count {
        sim.set_zone(index, if index % 2 == 0 { "za" } else { "zb" });
    }
    sim.put_release(1, vec![search(count, 80, min_coverage)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Number of requests that a server received since `from`.
fn arrived_since(sim: &Sim, index: usize, from: Timestamp) -> usize {
    let arrived = sim.servers[index].arrived.iter();
    arrived.filter(|(at, _)| *at >= from).count()
}

fn submit_many(sim: &mut Sim, path: &str, count: usize, gap: Duration) {
    for _ in 0..count {
        sim.submit(path, CALLER_TIMEOUT);
        sim.run_for(gap);
    }
}

/// Returns the refusal of the last answer.
fn last_refusal(sim: &Sim) -> Refusal {
    match &sim.answers.last().unwrap().answer {
        Some(Answer::Refused(refusal)) => *refusal,
        other => panic!("{other:?}"),
    }
}

/// First sends, hedged sends, retries and probes of a server that was slow or failing before
/// must avoid the zone, however bad the other servers are.
#[test_case(Behavior::Healthy; "the others are healthy")]
#[test_case(Behavior::Slow(30.0); "the others are slow")]
#[test_case(Behavior::Failing(0.7); "the others fail")]
#[test_case(Behavior::Rejecting(0.7); "the others reject")]
#[test_case(Behavior::Silent; "the others are silent")]
#[test_case(Behavior::Crashed; "the others have crashed")]
fn evacuated_servers_get_no_requests(others: Behavior) {
    let mut sim = shards(6, 0.5);
    let mut singles = servers(&["za", "zb", "zb"], Repeat::Allowed);
    for (sim, path) in [(&mut sim, "/search/x"), (&mut singles, "/one/x")] {
        submit_many(sim, path, 20, 10 * MS);
        sim.run_for(CALLER_TIMEOUT);
        for index in 0..sim.servers.len() {
            if sim.forwarder.server_reports(sim.now).len() > index && index % 2 == 1 {
                sim.set_behavior(index, others);
            }
        }
        sim.set_evacuated(&["za"]);
        let from = sim.now;
        submit_many(sim, path, 200, 10 * MS);
        sim.run_for(CALLER_TIMEOUT);
        let evacuated: Vec<_> = (0..sim.servers.len())
            .filter(|index| match path {
                "/one/x" => *index == 0,
                _ => index % 2 == 0,
            })
            .collect();
        for index in evacuated {
            assert_eq!(arrived_since(sim, index, from), 0, "{path} {index}");
            assert_eq!(sim.connections_to(index), 0, "{path} {index}");
        }
    }
}

/// A call in progress finishes, and its connection is closed then. One that is being opened
/// carries no request.
#[test]
fn calls_in_progress_finish_and_connections_are_closed() {
    let mut sim = servers(&["za"], Repeat::Never);
    let second = sim.add("one-1", "one", 20 * MS);
    sim.set_zone(second, "za");
    assert!(sim.connections_to(second) > 0, "it is being opened");
    let from = sim.now;
    sim.submit("/one/x", CALLER_TIMEOUT);
    assert_eq!(arrived_since(&sim, 0, from), 1);
    sim.run_for(MS);
    sim.set_evacuated(&["za"]);
    assert_eq!(sim.connections_to(0), 1);
    sim.run_for(100 * MS);
    assert_eq!(sim.answers.last().unwrap().summary.verdict, Verdict::Served);
    assert_eq!(sim.connections_to(0) + sim.connections_to(second), 0);
}

/// Queued parts must not be sent when a connection to the zone becomes idle. They go to the
/// other zone.
#[test]
fn waiting_requests_are_sent_elsewhere() {
    let mut sim = servers(&["za", "zb"], Repeat::Never);
    sim.set_behavior(1, Behavior::Slow(1.5));
    for _ in 0..12 {
        sim.submit("/one/x", CALLER_TIMEOUT);
    }
    sim.run_for(MS);
    assert!(sim.forwarder.status().waiting > 0);
    sim.set_evacuated(&["za"]);
    let from = sim.now;
    sim.run_for(CALLER_TIMEOUT);
    assert_eq!(arrived_since(&sim, 0, from), 0);
    assert!(arrived_since(&sim, 1, from) > 0);
    assert_eq!(sim.answers.len(), 12);
}

/// Requests that no server can serve any more must end at once: waiting only takes time from
/// the caller's next attempt.
#[test]
fn waiting_requests_without_another_server_end_at_once() {
    let mut sim = servers(&["za", "za"], Repeat::Never);
    for _ in 0..30 {
        sim.submit("/one/x", CALLER_TIMEOUT);
    }
    let waiting = sim.forwarder.status().waiting;
    assert!(waiting > 0);
    sim.set_evacuated(&["za"]);
    assert_eq!(sim.forwarder.status().waiting, 0);
    assert_eq!(sim.answers.len(), waiting);
    assert_eq!(last_refusal(&sim).retry_after, Some(Millis(5_000)));
    assert_eq!(sim.answers.last().unwrap().summary.evacuated, 1);
}

/// Searches that cannot reach their coverage are refused before any part of them is sent,
/// and those that can are answered without the shards of the zone.
#[test_case(0.5, Verdict::Partial; "the coverage is reached")]
#[test_case(0.8, Verdict::Refused; "the coverage cannot be reached")]
fn search_without_the_shards_of_the_zone(min_coverage: f64, verdict: Verdict) {
    let mut sim = shards(6, min_coverage);
    for index in 0..4 {
        sim.set_zone(index, "za");
    }
    sim.set_evacuated(&["za"]);
    let from = sim.now;
    sim.submit("/search/x", CALLER_TIMEOUT);
    sim.run_for(CALLER_TIMEOUT);
    let answer = sim.answers.last().unwrap();
    assert_eq!(answer.summary.verdict, verdict);
    let sent: usize = (0..12).map(|index| arrived_since(&sim, index, from)).sum();
    match verdict {
        Verdict::Refused => {
            assert!(answer.summary.took.is_zero());
            assert_eq!(
                (sent, last_refusal(&sim).retry_after),
                (0, Some(Millis(5_000)))
            );
        }
        _ => assert_eq!(sent, 4),
    }
}

/// A server that is leaving is used as a last resort, but not in an evacuated zone.
#[test]
fn leaving_servers_of_the_zone_are_no_last_resort() {
    let mut sim = servers(&["za", "zb"], Repeat::Allowed);
    sim.set_evacuated(&["za"]);
    sim.remove_entry("one-0");
    sim.set_behavior(1, Behavior::Crashed);
    let from = sim.now;
    submit_many(&mut sim, "/one/x", 30, 20 * MS);
    assert_eq!(arrived_since(&sim, 0, from), 0);
}

/// Other daemons may not know of the evacuation yet when they delegate.
#[test]
fn delegated_parts_avoid_the_zone() {
    let mut sim = shards(4, 0.5);
    sim.set_evacuated(&["zb"]);
    let from = sim.now;
    for _ in 0..20 {
        let route = sim.forwarder.route("localhost", "/search/x").unwrap();
        let delegated = Some(DelegatedPart {
            scope: Scope::Shards(vec![0, 1, 2]),
            min_shards: 1,
            max_attempts: u32::MAX,
            answer_within: 60 * MS,
            repeat: false,
            admitted: false,
            resumes: false,
        });
        let arrival = Arrival {
            search: SearchId(1),
            caller: Default::default(),
            draw: 0,
            route,
            time_left: CALLER_TIMEOUT,
            fingerprint: Default::default(),
            delegated,
        };
        sim.forwarder.submit(sim.now, arrival);
        sim.run_actions();
        sim.run_for(30 * MS);
    }
    for index in 0..8 {
        assert_eq!(
            arrived_since(&sim, index, from) > 0,
            index % 2 == 0 && index < 6
        );
    }
}

/// Entries that are written during the evacuation, of new, restarted and known servers, must
/// not return them to service.
#[test]
fn entries_written_during_the_evacuation_do_not_lift_it() {
    let mut sim = servers(&["za", "zb"], Repeat::Allowed);
    sim.set_evacuated(&["za"]);
    let from = sim.now;
    let new = sim.add("one-2", "one", 20 * MS);
    sim.set_zone(new, "za");
    for started in 1..4 {
        let mut entry = sim.entry(0);
        (entry.zone, entry.started) = ("za".to_owned(), Some(started));
        sim.put_entry(entry);
        submit_many(&mut sim, "/one/x", 20, 20 * MS);
    }
    assert_eq!(
        arrived_since(&sim, 0, from) + arrived_since(&sim, new, from),
        0
    );
}

/// The end of one evacuation must not end the other.
#[test]
fn zones_are_evacuated_independently() {
    let mut sim = servers(&["za", "zb", "zc"], Repeat::Allowed);
    sim.set_evacuated(&["za", "zb"]);
    sim.run_for(Duration::from_secs(1));
    let status = sim.forwarder.status();
    assert_eq!((status.evacuated_zones, status.held_out), (2, 2));
    sim.set_evacuated(&["zb"]);
    sim.run_for(RETURN_TIME);
    let from = sim.now;
    for _ in 0..20 {
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.run_for(40 * MS);
    }
    let used = |index| arrived_since(&sim, index, from) > 0;
    assert_eq!([used(0), used(1), used(2)], [true, false, true]);
}

/// An evacuation that is revoked before it was in force everywhere must cost no request.
#[test]
fn evacuation_that_is_revoked_at_once_costs_no_request() {
    let mut sim = servers(&["za", "zb"], Repeat::Never);
    for round in 0..50 {
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.run_for(3 * MS);
        if round % 10 == 5 {
            sim.set_evacuated(&["za"]);
            sim.run_for(MS);
            sim.set_evacuated(&[]);
        }
        sim.run_for(37 * MS);
    }
    sim.run_for(CALLER_TIMEOUT);
    let served = |answer: &&sim::Answered| answer.summary.verdict == Verdict::Served;
    assert_eq!(sim.answers.iter().filter(served).count(), 50);
    assert!(sim.connections_to(0) > 0, "it is connected again");
}

/// A zone whose servers are the only ones must be used again at once.
#[test]
fn only_servers_of_a_service_are_used_at_once() {
    let mut sim = servers(&["za", "za"], Repeat::Allowed);
    sim.set_evacuated(&["za"]);
    sim.run_for(Duration::from_secs(1));
    sim.set_evacuated(&[]);
    submit_many(&mut sim, "/one/x", 5, 50 * MS);
    let served = |answer: &sim::Answered| answer.summary.verdict == Verdict::Served;
    assert!(sim.answers.iter().all(served));
}

/// All daemons learn of the return at the same moment. A server must not get connections and
/// requests of all of them at once, and counts as warming up.
#[test]
fn servers_return_gradually_and_as_if_cold() {
    const DAEMONS: usize = 75;
    const STEP: Duration = Duration::from_millis(100);
    let mut opened = vec![0; 22];
    for daemon in 0..DAEMONS {
        let settings = ForwardSettings {
            instance: format!("entry-{daemon}").into(),
            ..ForwardSettings::default()
        };
        let mut sim = Sim::new(settings, 23);
        sim.max_connections = 150;
        let cluster = Cluster {
            daemons: DAEMONS as u32,
            rank: daemon as u32,
        };
        sim.forwarder.set_cluster(sim.now, cluster);
        for (n, zone) in ["za", "zb"].iter().enumerate() {
            let index = sim.add(&format!("one-{n}"), "one", 20 * MS);
            sim.set_zone(index, zone);
        }
        sim.put_release(1, vec![single(Repeat::Allowed)]);
        sim.set_evacuated(&["za"]);
        sim.run_for(Duration::from_secs(1));
        sim.set_evacuated(&[]);
        for opened in &mut opened {
            let before = sim.connections_to(0);
            submit_many(&mut sim, "/one/x", 1, STEP);
            *opened += sim.connections_to(0).saturating_sub(before);
        }
        assert!(
            sim.connections_to(0) > 0,
            "daemon {daemon} uses the server again"
        );
        let reports = sim.forwarder.server_reports(sim.now);
        assert!(reports[0].cost > 1.5 * reports[1].cost, "{reports:?}");
    }
    // A connection takes 6 ms of one of two slots: a quarter of the slots at most.
    let most = opened.iter().max().unwrap();
    assert!(*most <= 8, "{opened:?}");
}

/// With more daemons than connections, a daemon keeps connections to some servers only. If
/// all of these are evacuated, it must keep them to others.
#[test]
fn connections_are_assigned_among_the_remaining_servers() {
    let mut sim = Sim::new(ForwardSettings::default(), 24);
    sim.max_connections = 10;
    let cluster = Cluster {
        daemons: 30,
        rank: 0,
    };
    sim.forwarder.set_cluster(sim.now, cluster);
    for n in 0..6 {
        let index = sim.add(&format!("one-{n}"), "one", 20 * MS);
        sim.set_zone(index, if n < 3 { "za" } else { "zb" });
    }
    sim.put_release(1, vec![single(Repeat::Allowed)]);
    sim.run_for(Duration::from_secs(1));
    let connected = |sim: &Sim| -> Vec<usize> {
        (0..6)
            .filter(|index| sim.connections_to(*index) > 0)
            .collect()
    };
    let before = connected(&sim);
    assert_eq!(before, [0]);
    sim.set_evacuated(&["za"]);
    submit_many(&mut sim, "/one/x", 10, 50 * MS);
    sim.run_for(Duration::from_secs(2));
    let during = connected(&sim);
    assert!(
        during.iter().all(|index| *index >= 3) && !during.is_empty(),
        "{during:?}"
    );
    sim.set_evacuated(&[]);
    sim.run_for(RETURN_TIME);
    assert_eq!(connected(&sim), before);
}

/// Which daemons handle a group must not change with an evacuation, nor may daemons in the
/// zone be avoided: only backend servers are evacuated.
#[test]
fn helpers_of_groups_stay_the_same() {
    const SHARDS: usize = 48;
    let mut sim = Sim::new(ForwardSettings::default(), 25);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    for index in 0..2 * SHARDS {
        sim.set_zone(index, if index % 2 == 0 { "za" } else { "zb" });
    }
    sim.put_release(1, vec![search(SHARDS, 200, 0.9)]);
    let first = sim.servers.len();
    let mut peers = sim.add_peers_as(9, 0);
    for peer in &mut peers {
        let zone = if peer.rank % 2 == 0 { "za" } else { "zb" };
        peer.zone = zone.to_owned();
    }
    sim.set_peers(9, peers);
    sim.run_for(Duration::from_secs(1));
    // A daemon prefers another helper in each period of half a second.
    let asked = |sim: &mut Sim| -> Vec<usize> {
        let from = sim.now;
        for _ in 0..20 {
            submit_many(sim, "/search/x", 1, CALLER_TIMEOUT);
            assert_eq!(sim.answers.last().unwrap().summary.verdict, Verdict::Served);
            sim.run_for(Duration::from_millis(500));
        }
        let peers = first..sim.servers.len();
        peers
            .filter(|peer| arrived_since(sim, *peer, from) > 0)
            .collect()
    };
    let before = asked(&mut sim);
    assert!(!before.is_empty());
    sim.set_evacuated(&["za", "zb"]);
    sim.set_evacuated(&["za"]);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(asked(&mut sim), before);
}

/// Servers that get no requests give no responses, which must not be taken for a partition.
#[test]
fn evacuation_of_all_zones_is_no_loss_of_contact() {
    let mut sim = servers(&["za", "zb"], Repeat::Allowed);
    sim.set_evacuated(&["za", "zb"]);
    submit_many(&mut sim, "/one/x", 40, 250 * MS);
    assert!(sim.contact.is_empty());
    sim.set_evacuated(&[]);
    submit_many(&mut sim, "/one/x", 5, 100 * MS);
    assert_eq!(sim.answers.last().unwrap().summary.verdict, Verdict::Served);
}
