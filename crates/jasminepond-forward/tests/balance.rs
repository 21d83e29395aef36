//! Evenness of the load on servers, on a model of daemons and servers without a network.

mod balance_model;

use std::time::Duration;

use balance_model::{Case, Model, Outcome, Rule, Trouble, Zones};
use jasminepond_forward::{HeardLoad, ServerLoad};
use jasminepond_types::Timestamp;
use proptest::prelude::*;
use test_case::test_case;

const RULES: [Rule; 13] = [
    Rule::Present,
    Rule::Random,
    Rule::PowerOfTwo,
    Rule::LeastKnown,
    Rule::LeastKnownRandom,
    Rule::C3,
    Rule::OwnOrder,
    Rule::HeardLoad,
    Rule::Probes,
    Rule::JoinIdle,
    Rule::RandomFactor,
    Rule::Taken,
    Rule::TakenStated,
];

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::UnevenServers,
    Trouble::Wobble,
    Trouble::Pauses,
    Trouble::UnequalDemand,
    Trouble::SlowServer,
];

/// Highest ratio of the calls of the busiest server to the mean (docs/HARD-LOAD.md).
const GOAL: f64 = 1.25;

fn case(daemons: usize, utilization: f64, trouble: Trouble) -> Case {
    let (servers, slots, work, seconds) = match daemons {
        6 => (3, 2, 20, 60),
        75 => (7, 4, 160, 150),
        195 => (9, 4, 40, 60),
        _ => (24, 4, 40, 40),
    };
    let work = Duration::from_millis(work);
    Case {
        daemons,
        servers,
        slots,
        work,
        utilization,
        trouble,
        zones: None,
        lie: None,
        seconds,
        seed: 1,
    }
}

fn zones(daemons: usize, servers: [u32; 3], demand: [f64; 3], skew: f64) -> Case {
    Case {
        servers: servers.iter().sum::<u32>() as usize,
        zones: Some(Zones {
            servers,
            demand,
            skew,
        }),
        ..case(daemons, 0.5, Trouble::None)
    }
}

/// All daemons chose the same server, since ties were resolved by the order of the entries.
#[test_case(6)]
#[test_case(75)]
#[test_case(195)]
#[test_case(3_900)]
fn no_server_is_much_busier_than_the_mean(daemons: usize) {
    for trouble in TROUBLES {
        if trouble == Trouble::SlowServer {
            // The others rightly get its share.
            continue;
        }
        for (utilization, rule) in [
            (0.1, Rule::Taken),
            (0.5, Rule::Taken),
            (0.1, Rule::TakenStated),
            (0.5, Rule::TakenStated),
        ] {
            let outcome = Model::run(case(daemons, utilization, trouble), rule);
            let busiest = outcome.busiest;
            assert!(
                busiest <= GOAL,
                "{trouble:?}, {utilization}, {rule:?}: {busiest}"
            );
        }
    }
}

/// An even number of calls must not be bought with calls to a slow server.
#[test_case(0.1)]
#[test_case(0.5)]
fn a_slow_server_gets_far_less(utilization: f64) {
    let outcome = Model::run(case(6, utilization, Trouble::SlowServer), Rule::Taken);
    assert!(outcome.first < 0.5, "{} of the mean", outcome.first);
}

/// A zone with fewer servers, or with more demand, must not overload its own servers.
#[test_case([3, 2, 2], [1.0, 1.0, 1.0]; "fewer servers in two zones")]
#[test_case([2, 2, 2], [1.5, 0.9, 0.6]; "more demand in one zone")]
#[test_case([2, 1, 0], [1.0, 1.0, 1.0]; "a zone without servers")]
fn the_own_zone_is_preferred_as_far_as_its_servers_are_not_busier(
    servers: [u32; 3],
    demand: [f64; 3],
) {
    let outcome = Model::run(zones(75, servers, demand, 1.5), Rule::Taken);
    assert!(outcome.busiest <= GOAL, "{}", outcome.busiest);
}

/// Bytes between zones cost money, so calls stay in the zone where that is even.
#[test]
fn calls_of_helpers_with_equal_demand_stay_in_the_zone() {
    let outcome = Model::run(zones(6, [1, 1, 1], [1.0; 3], 1.25), Rule::Taken);
    let present = Model::run(zones(6, [1, 1, 1], [1.0; 3], 1.25), Rule::Present);
    assert!(outcome.busiest <= GOAL, "{}", outcome.busiest);
    let (taken, before) = (outcome.local, present.local);
    assert!(taken > before - 0.05, "{taken} local, {before} before");
}

/// A server must not attract all calls by stating that it is idle, nor disturb the others by
/// stating that it is full.
#[test_case("0,0,4,0"; "idle and fast")]
#[test_case("0,0,4294967295,0"; "endless slots")]
#[test_case("4,12,4,100"; "full")]
#[test_case("4294967295,4294967295,1,4294967295"; "absurd")]
fn a_server_that_states_a_wrong_load_has_bounded_influence(lie: &str) {
    for daemons in [6, 75] {
        for utilization in [0.1, 0.5] {
            let lie = lie.parse().ok();
            assert!(lie.is_some());
            let case = Case {
                lie,
                ..case(daemons, utilization, Trouble::None)
            };
            let mean_of_others = case.servers as f64 / (case.servers - 1) as f64;
            let outcome = Model::run(case, Rule::TakenStated);
            let (first, busiest) = (outcome.first, outcome.busiest);
            assert!(first < 2.0, "{daemons}, {utilization}: {first}");
            // The calls that it does not get are spread evenly.
            let allowed = GOAL * mean_of_others.max(first);
            assert!(busiest <= allowed, "{daemons}, {utilization}: {busiest}");
            assert!(outcome.late < 0.01, "{}", outcome.late);
        }
    }
}

proptest! {
    /// Whatever a server states, its cost stays within bounds.
    #[test]
    fn the_cost_of_a_stated_load_is_bounded(
        (running, waiting, slots, work_percent) in (0..=u32::MAX, 0..=u32::MAX, 1..=u32::MAX, 0..=u32::MAX),
        own_then in 0..1_000_usize,
        own_now in 0..1_000_usize,
        age in 0..10_000_u64,
    ) {
        let load = ServerLoad { running, waiting, slots, work_percent };
        let heard = HeardLoad::new(Timestamp::ZERO, load, own_then);
        let factor = heard.cost_factor(Timestamp::from_millis(age), own_now);
        prop_assert!((1.0..=4.0).contains(&factor), "{}", factor);
    }
}

fn cell(outcome: &Outcome) -> String {
    let (p50, p99) = (outcome.p50.as_millis(), outcome.p99.as_millis());
    let late = outcome.late * 100.0;
    format!(" {:.2}, {p50}/{p99}, {late:.1}% |", outcome.busiest)
}

/// Prints the comparison in docs/design/load-balancing.md.
#[test]
#[ignore = "prints a table"]
fn compare_rules() {
    for daemons in [6, 75, 195, 3_900] {
        for utilization in [0.1, 0.5] {
            println!("\n{daemons} daemons, {utilization} of the slots busy\n");
            for rule in RULES {
                let run = |trouble| Model::run(case(daemons, utilization, trouble), rule);
                let cells: Vec<_> = TROUBLES.map(run).iter().map(cell).collect();
                println!("| {rule:?} |{}", cells.concat());
            }
        }
    }
    for (servers, demand) in [
        ([3, 2, 2], [1.0; 3]),
        ([2, 2, 2], [1.5, 0.9, 0.6]),
        ([2, 2, 2], [1.0; 3]),
        ([2, 1, 0], [1.0; 3]),
    ] {
        for rule in [Rule::Present, Rule::Random, Rule::Taken] {
            let outcome = Model::run(zones(75, servers, demand, 1.5), rule);
            let local = outcome.local;
            println!(
                "| {servers:?} {demand:?} | {rule:?} |{} {local:.2} |",
                cell(&outcome)
            );
        }
    }
}
