//! Guards against requests that are sent to the wrong service.

use jasminepond_routes::{RouteTable, WeightedRoundRobin};
use proptest::prelude::*;
use test_case::test_case;

#[test_case("a.example", "/x/y/z", Some("/x/y/"); "the longest prefix wins")]
#[test_case("a.example", "/x/yz", Some("/x/"); "a prefix ends at a slash")]
#[test_case("a.example", "/x", None; "a path shorter than every prefix has no route")]
#[test_case("a.example", "/q?p=/x/", None; "the query is not part of the path")]
#[test_case("b.example", "/x/y/z", None; "another host has no route")]
fn finds_the_route(host: &str, path: &str, expected: Option<&str>) {
    let mut table = RouteTable::default();
    for prefix in ["/x/", "/x/y/", "/v/"] {
        table.insert("a.example", prefix, prefix);
    }
    assert_eq!(table.find(host, path).copied(), expected);
}

proptest! {
    /// The share of each service must stay close to its weight.
    #[test]
    fn shares_follow_the_weights(weights in prop::collection::vec(0u32..20, 1..5), n in 1usize..300) {
        let total: u32 = weights.iter().sum();
        let mut chooser = WeightedRoundRobin::new(weights.clone());
        let mut counts = vec![0u32; weights.len()];
        for _ in 0..n {
            match chooser.choose() {
                Some(index) => counts[index] += 1,
                None => prop_assert_eq!(total, 0),
            }
        }
        if total > 0 {
            for (count, weight) in counts.iter().zip(&weights) {
                let share = n as f64 * f64::from(*weight) / f64::from(total);
                prop_assert!((f64::from(*count) - share).abs() < weights.len() as f64);
            }
        }
    }

    /// The lookup by slashes must find the same route as a scan over all prefixes.
    #[test]
    fn lookup_agrees_with_a_scan(path in "/([ab]{1,2}/){0,4}[ab]{0,2}", prefixes in prop::collection::vec("/([ab]{1,2}/){0,3}", 0..6)) {
        let mut table = RouteTable::default();
        for prefix in &prefixes {
            table.insert("h", prefix, prefix.clone());
        }
        let expected = prefixes.iter().filter(|p| path.starts_with(p.as_str())).max_by_key(|p| p.len());
        prop_assert_eq!(table.find("h", &path), expected);
    }
}
