//! Requests that end the servers that run them, in a simulation of several daemons.

mod cluster;
mod sim;

use std::time::Duration;

use cluster::{Answered, World};
use jasminepond_forward::{ForwardSettings, ReqKey, Verdict};
use jasminepond_routes::{Repeat, Route};
use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sim::{Behavior, MS, Sim, search, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which daemons in touch have to act on what one of them has observed.
const CONTACT: Duration = Duration::from_secs(4);

/// Runs that a request may have from then on, once it has ended [`NOTICED_ENDS`] servers.
const MAX_RUNS: usize = 3;
const NOTICED_ENDS: usize = 3;

/// Share of the ordinary requests that have to be served.
const SERVED: f64 = 0.98;

/// Interval at which a deadly request comes.
const DEADLY_INTERVAL: Duration = Duration::from_millis(400);

const SEARCH: &str = "/search/x";
const ONE: &str = "/one/x";

/// Requests of other callers, with the same servers.
const ORDINARY: [&str; 2] = ["/search/y", "/one/y"];

/// Daemons with two servers for each shard, and eight for other requests.
fn world(daemons: usize, shards: usize, repeat: Repeat, seed: u64) -> World {
    let mut searches = search(shards, 150, 0.85);
    searches.max_attempts = 2;
    let one = Route {
        max_attempts: 2,
        ..single(repeat)
    };
    let mut world = World::new(daemons, searches, seed);
    world.add_routes([one]);
    for server in 0..2 * shards {
        world.add_server(&format!("s{}", server / 2), 15 * MS);
    }
    for _ in 0..8 {
        world.add_server("one", 30 * MS);
    }
    world.restart_all();
    load(&mut world, Duration::from_secs(1));
    world
}

/// Lets callers send ordinary requests for a time.
fn load(world: &mut World, time: Duration) {
    let end = world.now + time;
    while world.now < end {
        for path in ORDINARY {
            world.load(path, 40.0, 50 * MS, CALLER_TIMEOUT);
        }
    }
}

fn is_served(answered: &&Answered) -> bool {
    matches!(answered.summary.verdict, Verdict::Served | Verdict::Partial)
}

/// Sends the deadly request to random daemons for a time. A caller that gets no answer comes
/// again at once.
fn send_deadly(world: &mut World, daemons: usize, time: Duration, rng: &mut StdRng) {
    let end = world.now + time;
    let path = world.deadly.expect("a deadly path");
    while world.now < end {
        for _ in 0..2 {
            world.submit(rng.random_range(0..daemons), path, CALLER_TIMEOUT);
            load(world, DEADLY_INTERVAL / 2);
        }
    }
}

/// Runs later than [`CONTACT`] after the request has ended [`NOTICED_ENDS`] servers.
fn late_runs(world: &World) -> usize {
    let mut ends: Vec<_> = world
        .deadly_runs
        .iter()
        .filter_map(|run| run.ended)
        .collect();
    ends.sort_unstable();
    let Some(noticed) = ends.get(NOTICED_ENDS - 1).map(|end| *end + CONTACT) else {
        return 0;
    };
    let runs = world.deadly_runs.iter();
    runs.filter(|run| run.at > noticed).count()
}

/// Guards against sending a request to server after server that it ends: at the first time, at
/// other daemons, and after a while.
#[test_case(SEARCH, Repeat::Allowed, 6, 20; "a search")]
#[test_case(SEARCH, Repeat::Allowed, 12, 48; "a search that is divided among daemons")]
#[test_case(ONE, Repeat::Allowed, 6, 20; "a request to one server")]
#[test_case(ONE, Repeat::Never, 6, 20; "a request that may run once only")]
fn a_request_that_ends_servers_is_held(
    path: &'static str,
    repeat: Repeat,
    daemons: usize,
    shards: usize,
) {
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = world(daemons, shards, repeat, seed);
        world.deadly = Some(path);
        let from = world.now;
        send_deadly(&mut world, daemons, Duration::from_secs(20), &mut rng);
        load(&mut world, Duration::from_secs(1));
        let ended = world
            .deadly_runs
            .iter()
            .filter(|run| run.ended.is_some())
            .count();
        let (late, served) = (late_runs(&world), served(&world, from));
        assert!(ended > 0, "seed {seed}: the request has not run");
        assert!(
            late <= MAX_RUNS,
            "seed {seed}: {late} late runs, {ended} servers ended"
        );
        assert!(
            served >= SERVED,
            "seed {seed}: {served:.3} served, {ended} servers ended"
        );
    }
}

/// Guards against waiting for a response of other servers when there are no other requests.
#[test_case(SEARCH, 20; "a search")]
#[test_case(ONE, 2; "a request to one server")]
fn a_request_that_ends_servers_is_suspected_without_other_requests(path: &'static str, max: usize) {
    for seed in 0..4 {
        let mut world = world(6, 20, Repeat::Allowed, seed);
        world.run_until(world.now + Duration::from_secs(2));
        world.deadly = Some(path);
        world.submit(0, path, CALLER_TIMEOUT);
        world.run_until(world.now + Duration::from_secs(1));
        let ended = world.deadly_runs.iter().filter(|run| run.ended.is_some());
        assert!(ended.count() <= max, "seed {seed}");
        for daemon in 0..6 {
            assert_eq!(world.suspected(daemon), 1, "seed {seed}, daemon {daemon}");
        }
    }
}

/// Ends the server that runs a request. It refuses new connections after a time.
fn end_server_of(sim: &mut Sim, req: ReqKey, refuses_after: Duration) {
    let id = sim.forwarder.server_of(sim.conn_of(req)).unwrap();
    let server = sim.servers.iter().position(|s| s.id == id).unwrap();
    sim.servers[server].refuses_after = refuses_after;
    sim.set_behavior(server, Behavior::Crashed);
}

/// Guards against an answer while it is not known of one server whether it has ended: the caller
/// comes back at once, and the request, which is not suspected yet, ends a third server.
#[test_case(2 * MS, 2 * MS; "at the same time")]
#[test_case(14 * MS, 2 * MS; "the first server later")]
#[test_case(2 * MS, 14 * MS; "the second server later")]
fn a_request_is_answered_when_all_its_servers_are_known_to_have_ended(
    first: Duration,
    second: Duration,
) {
    let mut sim = Sim::new(ForwardSettings::default(), 1);
    for n in 0..5 {
        sim.add(&format!("one-{n}"), "one", 30 * MS);
    }
    sim.add_shards(3, 10 * MS, Duration::ZERO, Duration::ZERO);
    let one = Route {
        max_attempts: 2,
        ..single(Repeat::Allowed)
    };
    sim.put_release(1, vec![one, search(3, 150, 0.85)]);
    sim.run_for(Duration::from_secs(1));
    let req = sim.submit(ONE, CALLER_TIMEOUT);
    end_server_of(&mut sim, req, first);
    end_server_of(&mut sim, req, second);
    while sim.answers.is_empty() {
        sim.run_for(MS);
    }
    assert_eq!(sim.answers[0].summary.verdict, Verdict::Failed);
    let (suspected, _) = sim.forwarder.suspect_counts(sim.now);
    assert_eq!(suspected, 1);
}

/// Guards against a search that ends the servers of one shard again and again, since the others
/// answer it.
#[test_case(6, 20; "searches")]
#[test_case(12, 48; "searches that are divided among daemons")]
fn a_part_that_ends_servers_is_left_out(daemons: usize, shards: usize) {
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = world(daemons, shards, Repeat::Allowed, seed);
        world.deadly = Some(SEARCH);
        world.deadly_service = Some("s7");
        let from = world.now;
        send_deadly(&mut world, daemons, Duration::from_secs(30), &mut rng);
        load(&mut world, Duration::from_secs(1));
        let (late, served) = (late_runs(&world), served(&world, from));
        assert!(late <= MAX_RUNS, "seed {seed}: {late} late runs");
        assert!(served >= SERVED, "seed {seed}: {served:.3} served");
        let deadly = world.answers.iter().filter(|a| world.is_deadly(a.number));
        let answered = deadly.clone().filter(is_served).count();
        assert!(
            answered * 10 >= deadly.count() * 9,
            "seed {seed}: {answered} answered"
        );
    }
}

/// Guards against holding a request that is asked often, since it is in progress when servers end
/// by themselves, again and again.
#[test_case(6, 20; "searches")]
#[test_case(12, 48; "searches that are divided among daemons")]
fn a_request_in_progress_at_many_ends_is_still_served(daemons: usize, shards: usize) {
    for seed in 0..4 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = world(daemons, shards, Repeat::Allowed, seed);
        world.watch_ends();
        world.equal = vec![SEARCH, ONE];
        let from = world.now;
        for _ in 0..60 {
            for path in [SEARCH, ONE] {
                world.submit(rng.random_range(0..daemons), path, CALLER_TIMEOUT);
            }
            let server = rng.random_range(0..world.servers.len());
            load(&mut world, rng.random_range(0..30) * MS);
            world.end_server(server);
            load(&mut world, 500 * MS);
        }
        load(&mut world, Duration::from_secs(1));
        let served = served(&world, from);
        assert!(served >= SERVED, "seed {seed}: {served:.3} served");
        for daemon in 0..daemons {
            assert_eq!(world.held(daemon), 0, "seed {seed}");
        }
    }
}

/// Share of the ordinary requests that were served since `from`.
fn served(world: &World, from: Timestamp) -> f64 {
    let ordinary = |a: &&Answered| a.at >= from && !world.is_deadly(a.number);
    let all = world.answers.iter().filter(ordinary);
    all.clone().filter(is_served).count() as f64 / all.count().max(1) as f64
}
