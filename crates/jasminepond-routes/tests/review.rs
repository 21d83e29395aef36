//! Guards against releases whose entries can never match or contradict each other.

use jasminepond_routes::{
    Release, Repeat, Route, Search, ServiceName, ServiceSpec, Target, WeightedService, review,
};
use jasminepond_types::Millis;
use test_case::test_case;

fn name(name: &str) -> ServiceName {
    name.into()
}

fn route(name: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        target,
        repeat: Repeat::Allowed,
        timeout: Millis(800),
        objective: Millis(200),
        max_attempts: 2,
        priority: 1,
    }
}

fn search(shards: &[&str], top_k: usize, min_coverage: f64) -> Target {
    Target::Search(Search {
        shards: shards.iter().map(|shard| name(shard)).collect(),
        top_k,
        min_coverage,
    })
}

fn release() -> Release {
    let spec = ServiceSpec {
        max_connections: 25,
        ..Default::default()
    };
    Release {
        routes: vec![
            route("orders", "/o/", Target::Service(name("one"))),
            route("search", "/s/", search(&["s0", "s1"], 10, 0.95)),
        ],
        services: ["one", "s0", "s1"]
            .map(|service| (name(service), spec.clone()))
            .into(),
        ..Release::default()
    }
}

/// Guards against warnings about a release in which everything has an effect.
#[test]
fn a_plain_release_has_no_warnings() {
    assert_eq!(review(&release()), []);
}

#[test_case(|r| r.routes.push(route("twin", "/o/", Target::Service(name("one")))), "route orders", true, "route twin has"; "an equal prefix")]
#[test_case(|r| r.routes[1].prefix = "/s".to_owned(), "route search", true, "no path"; "a prefix without a slash at its end")]
#[test_case(|r| r.routes[1].name = "orders".into(), "route orders", false, "same name"; "an equal name")]
#[test_case(|r| r.routes[0].objective = Millis(900), "route orders", false, "objective"; "an objective after the timeout")]
#[test_case(|r| r.routes[0].max_attempts = 0, "route orders", false, "max_attempts"; "no attempts")]
#[test_case(|r| { r.services.remove("one"); }, "route orders", false, "service one"; "an unknown service")]
#[test_case(|r| { r.services.insert(name("two"), ServiceSpec { max_connections: 1, ..Default::default() }); }, "service two", true, "no route"; "a service without a route")]
#[test_case(|r| r.routes[1].target = search(&["s0", "s1", "s0"], 10, 1.0), "route search", false, "2 times"; "a shard twice")]
#[test_case(|r| r.routes[1].target = search(&["s0", "s1"], 10, 1.5), "route search", false, "coverage"; "a coverage above one")]
#[test_case(|r| r.routes[1].target = search(&["s0", "s1"], 0, 1.0), "route search", true, "results"; "a search without results")]
fn questionable_entries_are_named(
    change: fn(&mut Release),
    entry: &str,
    unused: bool,
    reason: &str,
) {
    let mut release = release();
    change(&mut release);
    let warnings = review(&release);
    let [warning] = &warnings[..] else {
        panic!("{warnings:?}");
    };
    assert_eq!((warning.entry.as_str(), warning.unused), (entry, unused));
    assert!(warning.reason.contains(reason), "{warning:?}");
}

/// Guards against a part of a split that gets no requests unnoticed.
#[test]
fn a_part_without_weight_is_named() {
    let mut release = release();
    let part = |service, weight| WeightedService {
        service: name(service),
        weight,
    };
    release.routes[0].target = Target::Split(vec![part("one", 3), part("s0", 0)]);
    assert_eq!(review(&release)[0].reason, "service s0 has weight 0");
}
