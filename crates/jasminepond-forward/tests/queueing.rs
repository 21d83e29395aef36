//! Loads that the rules of the queue answer, at simulated servers.

mod sim;

use std::time::{Duration, Instant};

use jasminepond_forward::{Answer, CallerId, ForwardSettings, QueueWait, ReqKey, Verdict};
use jasminepond_routes::{Repeat, Route};
use jasminepond_types::{ErrorKind, Millis, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};
use sim::{Behavior, MS, Sim, search, single};
use test_case::test_case;

/// A search over one shard at `/search/PRIORITY/`.
fn class(priority: u32, objective: u64, timeout: u64) -> Route {
    Route {
        name: priority.to_string().as_str().into(),
        prefix: format!("/search/{priority}/"),
        timeout: Millis(timeout),
        priority,
        ..search(1, objective, 1.0)
    }
}

/// Mean time that the server works on a request, as on an urgent one of the first customer.
const WORK: Duration = Duration::from_millis(7);

/// Two slots at one server: about 285 requests per second.
fn one_server(routes: Vec<Route>) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add("s0-0", "s0", WORK);
    sim.put_release(1, routes);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Requests of a class that arrive regularly from one caller.
struct Load {
    path: &'static str,
    caller: u64,
    per_s: f64,
    time_left: Duration,
}

/// Submits the loads as Poisson processes. Returns the requests of each, and the times in the
/// queue.
fn run(sim: &mut Sim, loads: &[Load], time: Duration) -> (Vec<Vec<ReqKey>>, Vec<QueueWait>) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut arrivals = Vec::new();
    for (index, load) in loads.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / load.per_s);
            if at > time {
                break;
            }
            arrivals.push((sim.now + at, index));
        }
    }
    arrivals.sort();
    let (mut reqs, mut waits) = (vec![Vec::new(); loads.len()], Vec::new());
    for (at, index) in arrivals {
        sim.run_until(at);
        sim.caller = CallerId(loads[index].caller);
        reqs[index].push(sim.submit(loads[index].path, loads[index].time_left));
        waits.extend(std::iter::from_fn(|| sim.forwarder.next_queue_wait()));
    }
    sim.run_for(Duration::from_secs(5));
    (reqs, waits)
}

/// Share of requests that were answered within a time.
fn served(sim: &Sim, reqs: &[ReqKey], within: Duration) -> f64 {
    let good = sim.answers.iter().filter(|answered| {
        let success = matches!(answered.answer, Some(Answer::Merged { .. }));
        success && answered.summary.took <= within && reqs.contains(&answered.req)
    });
    good.count() as f64 / reqs.len().max(1) as f64
}

/// Three classes at three times the capacity of a server with two slots. Guards against urgent
/// requests that miss their objective behind others, and against a class that starves.
#[test]
fn urgent_classes_meet_their_objectives_and_none_starves() {
    let mut sim = one_server(vec![
        class(0, 50, 400),
        class(1, 200, 800),
        class(2, 1_200, 4_000),
    ]);
    let load = |path, per_s, time_left| Load {
        path,
        caller: 1,
        per_s,
        time_left: Duration::from_millis(time_left),
    };
    let loads = [
        load("/search/0/", 70.0, 400),
        load("/search/1/", 430.0, 800),
        load("/search/2/", 350.0, 4_000),
    ];
    let (reqs, _) = run(&mut sim, &loads, Duration::from_secs(20));
    let limits = [50, 200, 1_200].map(Duration::from_millis);
    let in_time = [0, 1, 2].map(|c| served(&sim, &reqs[c], limits[c]));
    let whole = [0, 1, 2].map(|c| served(&sim, &reqs[c], 4_000 * MS));
    println!("in time {in_time:?}, served {whole:?}");
    let all: usize = reqs.iter().map(Vec::len).sum();
    let sent: f64 = (0..3).map(|c| whole[c] * reqs[c].len() as f64).sum();
    let mean = sent / all as f64;
    assert!(whole.iter().all(|share| *share >= mean / 4.0), "{whole:?}");
    assert!(whole.is_sorted_by(|a, b| a >= b), "{whole:?}");
    // The server, which also queues, is left to the urgent class within its objective.
    assert!(in_time[0] > 0.85, "{in_time:?}");
}

/// One caller sends ten times as often as each of ten others, at twice the capacity. Guards
/// against callers that displace others by repeating.
#[test]
fn a_caller_that_repeats_often_does_not_displace_others() {
    let mut sim = one_server(vec![class(1, 200, 800)]);
    let load = |caller, per_s| Load {
        path: "/search/1/",
        caller,
        per_s,
        time_left: 800 * MS,
    };
    let mut loads: Vec<_> = (1..=10).map(|caller| load(caller, 17.0)).collect();
    loads.push(load(0, 400.0));
    let (reqs, _) = run(&mut sim, &loads, Duration::from_secs(20));
    let others: Vec<_> = reqs[..10].concat();
    let share = served(&sim, &others, 800 * MS);
    let greedy = served(&sim, &reqs[10], 800 * MS);
    println!("others {share}, greedy {greedy}");
    assert!(
        share > 0.95,
        "{share} of the others, {greedy} of the caller"
    );
}

/// Queues `count` searches at a server that does not answer. Returns the time of an event, on
/// which one part can be sent.
fn event_time(count: usize) -> Duration {
    let mut sim = one_server(vec![class(1, 60_000, 120_000)]);
    sim.set_behavior(0, Behavior::Full);
    let busy = |sim: &Sim| sim.forwarder.status().waiting;
    sim.set_behavior(0, Behavior::Slow(1e6));
    let mut reqs = Vec::new();
    while busy(&sim) < count {
        reqs.push(sim.submit("/search/1/", Duration::from_secs(120)));
    }
    let mut spent = Duration::ZERO;
    for req in &reqs[..20.min(reqs.len())] {
        if !sim.servers[0].ran.contains(req) {
            continue;
        }
        let conn = sim.conn_of(*req);
        let began = Instant::now();
        sim.answer_with(conn, sim::reply(200, "stamp"));
        spent = spent.max(began.elapsed());
    }
    spent
}

/// Guards against a cost per event that grows with the backlog: with each queued part tried
/// again at each event, it grows a hundredfold here.
#[test]
fn an_event_costs_the_same_with_ten_thousand_queued_parts() {
    let fastest = |count| (0..5).map(|_| event_time(count)).min().unwrap();
    let (few, many) = (fastest(100), fastest(10_000));
    println!("{few:?} with 100, {many:?} with 10000");
    assert!(
        many < few * 10 + MS / 2,
        "{few:?} with 100, {many:?} with 10000"
    );
}

/// Guards against parts of callers that have left and that stay in the queue.
#[test]
fn parts_of_callers_that_leave_are_removed_at_once() {
    let mut sim = one_server(vec![class(1, 60_000, 120_000)]);
    sim.set_behavior(0, Behavior::Slow(1e6));
    let submit = |sim: &mut Sim| sim.submit("/search/1/", Duration::from_secs(120));
    let reqs: Vec<_> = (0..1_000).map(|_| submit(&mut sim)).collect();
    let queued = sim.forwarder.status().waiting;
    let sent = reqs.len() - queued;
    for (left, req) in reqs[sent..].iter().rev().enumerate() {
        sim.caller_left(*req);
        assert_eq!(sim.forwarder.status().waiting, queued - left - 1);
    }
    assert!(sim.forwarder.queue_reports().is_empty());
}

fn refused_not_run(sim: &Sim, req: ReqKey) -> bool {
    let answered = sim.answers.iter().find(|answered| answered.req == req);
    let refused = answered.and_then(|answered| answered.answer.as_ref());
    let overloaded = matches!(refused, Some(Answer::Refused(refusal))
        if refusal.kind == ErrorKind::Overloaded && refusal.retry_after.is_some());
    let ran = sim.servers.iter().any(|server| server.ran.contains(&req));
    overloaded && !ran && answered.is_some_and(|a| a.summary.verdict == Verdict::Refused)
}

/// Routes to service `one`: at `/one/` for requests that run once, at `/many/` for others.
fn once_and_many() -> Vec<Route> {
    let many = Route {
        name: "many".into(),
        prefix: "/many/".to_owned(),
        ..single(Repeat::Allowed)
    };
    vec![single(Repeat::Never), many]
}

fn busy_server() -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add("one-0", "one", 20 * MS);
    sim.put_release(1, once_and_many());
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Guards against a request that may run once, cannot be sent, and is reported with an unknown
/// outcome or sent later.
#[test]
fn a_request_that_runs_once_and_cannot_be_sent_is_refused_as_not_run() {
    let mut sim = busy_server();
    sim.set_behavior(0, Behavior::Slow(1e6));
    for _ in 0..50 {
        sim.submit("/many/", 4_000 * MS);
    }
    let req = sim.submit("/one/", 4_000 * MS);
    // A fifth of the objective of 250 ms.
    sim.run_for(51 * MS);
    assert!(refused_not_run(&sim, req));
    sim.run_for(Duration::from_secs(5));
    assert!(refused_not_run(&sim, req));
}

/// Guards against requests that may run once and are refused, since repeatable ones of the
/// same class that wait before them use up their time.
#[test]
fn a_request_that_runs_once_does_not_wait_behind_repeatable_ones() {
    let mut sim = busy_server();
    for _ in 0..100 {
        sim.submit("/many/", 4_000 * MS);
    }
    sim.run_for(5 * MS);
    let req = sim.submit("/one/", 4_000 * MS);
    // The server ends a request in this time, and the others are not refused yet.
    sim.run_for(30 * MS);
    let server = &sim.servers[0];
    let received = server.arrived.iter().any(|(_, other)| *other == req);
    assert!(received, "not sent after {} others", server.arrived.len());
}

/// Three shards with one server each, of which a search may run once.
fn search_once() -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    for shard in ["s0", "s1", "s2"] {
        sim.add(shard, shard, 20 * MS);
    }
    let once = Route {
        name: "once".into(),
        prefix: "/once/".to_owned(),
        repeat: Repeat::Never,
        ..search(3, 250, 1.0)
    };
    let first = Route {
        name: "first".into(),
        prefix: "/first/".to_owned(),
        ..search(1, 250, 1.0)
    };
    sim.put_release(1, vec![once, first]);
    sim.run_for(Duration::from_secs(1));
    sim
}

fn ran(sim: &Sim, req: ReqKey) -> usize {
    let servers = sim.servers.iter();
    servers.filter(|server| server.ran.contains(&req)).count()
}

/// Guards against a search that may run once and of which some parts run before it turns out
/// that another one cannot be sent: its outcome would be unknown.
#[test]
fn no_part_of_a_search_that_runs_once_is_sent_before_all_can_be() {
    let mut sim = search_once();
    sim.set_behavior(0, Behavior::Slow(1e6));
    for _ in 0..20 {
        sim.submit("/first/", 4_000 * MS);
    }
    let req = sim.submit("/once/", 4_000 * MS);
    sim.run_for(51 * MS);
    assert!(refused_not_run(&sim, req));
    sim.run_for(Duration::from_secs(5));
    assert_eq!(ran(&sim, req), 0);
}

/// Guards against a search that may run once and is refused although its servers become free
/// in time.
#[test]
fn a_search_that_runs_once_waits_for_all_of_its_servers() {
    let mut sim = search_once();
    let other = sim.submit("/first/", 4_000 * MS);
    let req = sim.submit("/once/", 4_000 * MS);
    assert_eq!((ran(&sim, other), ran(&sim, req)), (1, 0));
    sim.run_for(200 * MS);
    assert_eq!(ran(&sim, req), 3);
    assert_eq!(sim.answers[1].summary.verdict, Verdict::Served);
}

/// A server that takes many calls at once has a backlog of less urgent requests, and an urgent
/// request every 50 ms. Guards against urgent requests that wait, since less urgent ones have
/// just filled the server's window.
#[test]
fn urgent_requests_find_room_beside_a_backlog() {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add("s0-0", "s0", 20 * MS);
    sim.servers[0].slots = 16;
    sim.max_connections = 400;
    sim.put_release(1, vec![class(0, 50, 400), class(1, 200, 800)]);
    sim.run_for(Duration::from_secs(1));
    let load = |path, per_s, time_left| Load {
        path,
        caller: 1,
        per_s,
        time_left: time_left * MS,
    };
    let loads = [
        load("/search/0/", 20.0, 400),
        load("/search/1/", 2_000.0, 800),
    ];
    let (reqs, waits) = run(&mut sim, &loads, Duration::from_secs(10));
    let queued = waits.iter().filter(|wait| wait.priority == 0).count();
    println!("{queued} of {} urgent requests were queued", reqs[0].len());
    assert!(waits.len() > queued, "no backlog");
    // Most of them find room.
    assert!(queued * 2 < reqs[0].len(), "{queued} of {}", reqs[0].len());
    let in_time = served(&sim, &reqs[0], 50 * MS);
    assert!(in_time > 0.9, "{in_time} in time");
}

/// Searches wait for connections to other daemons, of which there are four to each. Guards
/// against urgent searches that wait there behind less urgent ones.
#[test]
fn urgent_searches_go_first_over_connections_to_other_daemons() {
    const SHARDS: usize = 48;
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    sim.add_shards(SHARDS, 10 * MS, Duration::ZERO, Duration::ZERO);
    let route = |name: &str, priority| Route {
        name: name.into(),
        prefix: format!("/{name}/"),
        priority,
        ..search(SHARDS, 400, 0.3)
    };
    sim.put_release(1, vec![route("urgent", 0), route("other", 1)]);
    let peers = sim.add_peers(8);
    sim.run_for(Duration::from_secs(1));
    for _ in 0..40 {
        sim.submit("/other/", 800 * MS);
    }
    let received = |sim: &Sim, req| {
        let mut arrived = peers.iter().flat_map(|peer| &sim.servers[*peer].arrived);
        arrived.any(|(_, other)| *other == req)
    };
    let last = sim.submit("/other/", 800 * MS);
    let urgent = sim.submit("/urgent/", 800 * MS);
    assert!(!received(&sim, urgent), "connections are free");
    while !received(&sim, urgent) {
        sim.run_for(MS);
        assert!(!received(&sim, last), "a less urgent search went first");
        assert!(sim.now < Timestamp::from_millis(1_200), "not sent");
    }
}

/// Searches over 20 shards at twice what their servers can do. Guards against queues that each
/// send parts of different searches, of which few reach their coverage.
#[test_case(1)]
#[test_case(20)]
#[test_case(2_000; "a caller for each search")]
fn queues_send_parts_of_the_same_searches_under_overload(callers: u64) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    for shard in 0..20 {
        sim.add(&format!("s{shard}-0"), &format!("s{shard}"), 20 * MS);
    }
    let route = Route {
        prefix: "/search/1/".to_owned(),
        ..search(20, 200, 0.95)
    };
    sim.put_release(1, vec![route]);
    sim.run_for(Duration::from_secs(1));
    let load = |caller| Load {
        path: "/search/1/",
        caller,
        per_s: 200.0 / callers as f64,
        time_left: 800 * MS,
    };
    let loads: Vec<_> = (0..callers).map(load).collect();
    let (reqs, _) = run(&mut sim, &loads, Duration::from_secs(10));
    let in_time = served(&sim, &reqs.concat(), 200 * MS);
    println!("{in_time} of the searches in time");
    // Half of the 0.5 that the servers can do; admission control does the rest.
    assert!(in_time > 0.25, "{in_time} in time");
}

/// Guards against times in the queue that are not reported, and against a report at each event.
#[test]
fn queues_are_reported() {
    let mut sim = one_server(vec![class(0, 50, 400), class(1, 200, 800)]);
    for _ in 0..200 {
        sim.submit("/search/1/", 800 * MS);
        sim.submit("/search/0/", 400 * MS);
    }
    let reports = sim.forwarder.queue_reports();
    let classes: Vec<_> = reports.iter().map(|report| report.priority).collect();
    assert_eq!(classes, [0, 1]);
    let now = sim.now;
    assert!(sim.forwarder.backlog_report(now).is_some());
    assert!(sim.forwarder.backlog_report(now + 9_999 * MS).is_none());
    sim.run_for(100 * MS);
    let waits: Vec<_> = std::iter::from_fn(|| sim.forwarder.next_queue_wait()).collect();
    assert!(waits.iter().any(|wait| wait.waited > Duration::ZERO));
    assert!(sim.now > Timestamp::ZERO);
}
