//! Choices of many daemons that have no call in progress: ties in cost must not be resolved
//! the same way at all of them.

mod sim;

use std::time::Duration;

use jasminepond_forward::{ForwardSettings, PERIOD, Peer, Reply, StatedLoad};
use jasminepond_routes::Repeat;
use jasminepond_types::CpuCapacity;
use sim::{Behavior, MS, Sim, reply, search, single};
use test_case::test_case;

/// Daemons of the first customer (docs/HARD-LOAD.md).
const DAEMONS: usize = 75;

/// Highest ratio of the calls of the busiest server to the mean.
const GOAL: f64 = 1.25;

const ZONES: [&str; 3] = ["a", "b", "c"];

const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests per daemon.
const REQUESTS: usize = 12;

fn settings(daemon: usize) -> ForwardSettings {
    ForwardSettings {
        instance: format!("gateway-{daemon}").as_str().into(),
        even_load: true,
        ..ForwardSettings::default()
    }
}

fn request(sim: &mut Sim, path: &str) {
    for _ in 0..REQUESTS {
        sim.submit(path, CALLER_TIMEOUT);
        sim.run_for(PERIOD);
    }
}

fn busiest_over_mean(counts: &[usize]) -> f64 {
    let sum: usize = counts.iter().sum();
    let most = counts.iter().max().copied().unwrap_or_default();
    most as f64 * counts.len() as f64 / sum as f64
}

#[test]
fn daemons_choose_different_servers() {
    let mut counts = [0; 7];
    for daemon in 0..DAEMONS {
        let mut sim = Sim::new(settings(daemon), daemon as u64);
        for server in 0..counts.len() {
            sim.add(&format!("one-{server}"), "one", 20 * MS);
        }
        sim.put_release(1, vec![single(Repeat::Allowed)]);
        sim.run_for(CALLER_TIMEOUT);
        request(&mut sim, "/one/x");
        for (count, server) in counts.iter_mut().zip(&sim.servers) {
            *count += server.arrived.len();
        }
    }
    let busiest = busiest_over_mean(&counts);
    assert!(busiest <= GOAL, "{busiest}: {counts:?}");
}

/// All daemons sent a group's part of a search to the first of its three helpers.
#[test]
fn daemons_choose_different_helpers() {
    let mut counts = [0; 8];
    for daemon in 0..DAEMONS {
        let mut sim = Sim::new(settings(daemon), daemon as u64);
        sim.add_shards(48, 10 * MS, Duration::ZERO, Duration::ZERO);
        sim.put_release(1, vec![search(48, 200, 0.9)]);
        let peers = sim.add_peers(8);
        sim.run_for(CALLER_TIMEOUT);
        request(&mut sim, "/search/x");
        for (count, peer) in counts.iter_mut().zip(peers) {
            *count += sim.servers[peer].arrived.len();
        }
    }
    // The helpers of the two groups that this daemon does not help itself.
    let helpers: Vec<_> = counts.into_iter().filter(|count| *count > 0).collect();
    assert_eq!(helpers.len(), 6, "{counts:?}");
    let busiest = busiest_over_mean(&helpers);
    assert!(busiest <= GOAL, "{busiest}: {counts:?}");
}

/// Operators must see unevenness as a number.
#[test]
fn the_ratio_of_the_busiest_server_is_reported() {
    let mut sim = Sim::new(settings(0), 1);
    for server in 0..3 {
        sim.add(&format!("one-{server}"), "one", 20 * MS);
    }
    sim.put_release(1, vec![single(Repeat::Allowed)]);
    assert_eq!(sim.forwarder.busiest_over_mean(sim.now), None);
    sim.load("/one/x", 4.0, Duration::from_secs(900), CALLER_TIMEOUT);
    let report = sim.forwarder.service_reports(sim.now).remove(0);
    assert_eq!((report.service.as_str(), report.servers), ("one", 3));
    assert!((1_000..1_400).contains(&report.sends), "{}", report.sends);
    let ratio = sim.forwarder.busiest_over_mean(sim.now);
    assert!(ratio.is_some_and(|ratio| (1.0..=GOAL).contains(&ratio)));
}

/// The stated load takes effect, fades, and leaves servers that state none as they are.
#[test_case("2,10,2,100", true; "a full queue")]
#[test_case("0,0,2,300", true; "a slow machine")]
#[test_case("0,0,2,50", false; "an idle server")]
#[test_case("2,10,2", false; "malformed")]
fn a_stated_load_raises_the_cost_until_it_fades(value: &str, raises: bool) {
    let mut sim = Sim::new(settings(0), 1);
    for server in 0..2 {
        sim.add(&format!("one-{server}"), "one", 20 * MS);
    }
    sim.put_release(1, vec![single(Repeat::Allowed)]);
    sim.run_for(CALLER_TIMEOUT);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let stated = value.parse().map_or(StatedLoad::Invalid, StatedLoad::Load);
    let answer = Reply {
        server_load: Some(stated),
        ..reply(200, "one")
    };
    sim.answer_with(sim.conn_of(req), answer);
    let costs = |sim: &Sim| {
        let reports = sim.forwarder.server_reports(sim.now);
        let mut costs: Vec<_> = reports.iter().map(|report| report.cost).collect();
        costs.sort_by(f64::total_cmp);
        costs
    };
    let now = costs(&sim);
    assert_eq!(now[0], 1.0);
    assert_eq!(now[1] > 1.5, raises, "{now:?}");
    sim.run_for(Duration::from_secs(1));
    assert!(costs(&sim)[1] < 1.01);
}

/// Three servers per shard, 2 slots and 20 ms of work each, with pauses of 200 ms. Prints what
/// the table of docs/design/load-balancing.md states about pauses.
#[test]
#[ignore = "prints a table"]
fn searches_while_servers_pause() {
    for (rate, slow) in [(11.3, false), (22.6, false), (11.3, true)] {
        let (mut early, mut repeats, mut opened, mut searches) = (0.0, 0, 0, 0);
        for seed in 0..8 {
            let mut sim = Sim::new(settings(seed), seed as u64);
            let (pause, every) = (200 * MS, 4_500 * MS);
            sim.add_shards(20, 20 * MS, pause, every);
            for shard in 0..20 {
                let id = format!("s{shard}-2");
                let server = sim.add(&id, &format!("s{shard}"), 20 * MS);
                let offset = (shard * 631 + seed * 977) as u32 % 4_500 * MS;
                sim.servers[server].pause = Some((pause, every, offset));
            }
            sim.put_release(1, vec![search(20, 150, 0.89)]);
            sim.run_for(Duration::from_secs(1));
            if slow {
                for server in [0, 14, 28] {
                    sim.set_behavior(server, Behavior::Slow(8.0));
                }
            }
            let from = sim.now;
            sim.load("/search/x", rate, Duration::from_secs(60), CALLER_TIMEOUT);
            sim.run_for(CALLER_TIMEOUT);
            early += sim.in_time(from, 50 * MS) / 8.0;
            let answers = sim.answers.iter();
            repeats += answers.map(|answer| answer.summary.repeats).sum::<u32>();
            opened += sim.opened;
            searches += sim.answers.len();
        }
        let repeats = f64::from(repeats) / (searches * 20) as f64;
        println!(
            "{rate}/s, slow {slow}: {early:.3} in 50 ms, {repeats:.4} repeated, {opened} connections"
        );
    }
}

/// Peers of a site with six large daemons in three zones, as the first customer's.
fn peers(own: u32, sim: &mut Sim) -> Vec<Peer> {
    let mut peers = sim.add_peers_as(DAEMONS as u32, own);
    for peer in &mut peers {
        peer.zone = ZONES[peer.rank as usize % 3].to_owned();
        let cores = if peer.rank < 6 { 0.5 } else { 0.12 };
        peer.processor = CpuCapacity::from_cores(cores).expect("valid");
    }
    peers
}

/// The helpers of a group are in few zones. If they preferred their own, the servers of a
/// shard there would get the calls of all three.
#[test]
fn the_own_zone_is_preferred_by_the_daemons_and_servers_of_each_zone() {
    let settings = ForwardSettings {
        zone: ZONES[0].to_owned(),
        processor: CpuCapacity::from_cores(0.5).expect("valid"),
        max_zone_imbalance: 1.25,
        ..settings(0)
    };
    let mut sim = Sim::new(settings, 1);
    for shard in 0..90 {
        for zone in ZONES {
            let server = sim.add(&format!("s{shard}-{zone}"), &format!("s{shard}"), 20 * MS);
            let mut entry = sim.entry(server);
            entry.zone = zone.to_owned();
            sim.put_entry(entry);
        }
    }
    for server in 0..7 {
        let index = sim.add(&format!("one-{server}"), "one", 20 * MS);
        let mut entry = sim.entry(index);
        entry.zone = ZONES[server % 3].to_owned();
        sim.put_entry(entry);
    }
    sim.max_connections = 60;
    sim.put_release(1, vec![search(90, 200, 0.95), single(Repeat::Allowed)]);
    let peers = peers(0, &mut sim);
    sim.set_peers(DAEMONS as u32, peers);
    let share = |service: &str| -> f64 {
        let mut reports = sim.forwarder.service_reports(sim.now).into_iter();
        let report = reports.find(|report| report.service.as_str() == service);
        report.expect("a known service").local_share
    };
    // Two zones have two of seven servers.
    assert!((0.3..0.4).contains(&share("one")), "{}", share("one"));
    for shard in 0..90 {
        let share = share(&format!("s{shard}"));
        assert!(share > 0.0 && share < 0.2, "{share}");
    }
}
