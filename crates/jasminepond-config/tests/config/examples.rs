use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::PathBuf,
};

use jasminepond_config::{
    Acceptance, CheckOptions, Config, GroupKind, Objective, OfferOutcome, Settings, check,
    load_folder,
};
use jasminepond_types::{Revision, ServerId, ZoneId};
use test_case::test_case;

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn load(name: &str) -> Config {
    let outcome = check(&CheckOptions {
        folder: example(name),
        ..CheckOptions::default()
    });
    assert!(outcome.is_valid(), "{}", outcome.text);
    outcome.result.unwrap().config
}

fn servers_of(config: &Config, group: &str) -> Vec<ServerId> {
    let group = &config.groups[group];
    let replicas = group
        .snapshots
        .iter()
        .flat_map(|s| s.services.values().flatten());
    replicas.chain(&group.servers).cloned().collect()
}

#[test_case("foundry")]
#[test_case("registry")]
fn example_is_accepted(name: &str) {
    let files = load_folder(&example(name)).unwrap();
    assert!(
        files.len() >= 10,
        "several small files, found {}",
        files.len()
    );
    let outcome = Acceptance::default().offer(Revision(1), &files);
    assert!(matches!(outcome, OfferOutcome::Accepted(_)), "{outcome:?}");
}

/// The rows are those of section 1.4 of the design document: group, kind, services,
/// backend servers, slots, connections, ms per new connection.
#[test_case("foundry", "pattern-shop", GroupKind::Search, 20, 40, (2, 25, 6))]
#[test_case("foundry", "sales-office", GroupKind::Search, 30, 60, (2, 25, 6))]
#[test_case("foundry", "dispatch", GroupKind::Execute, 0, 4, (3, 100, 1))]
#[test_case("foundry", "quality-lab", GroupKind::Execute, 0, 4, (3, 100, 1))]
#[test_case("registry", "kit-registry", GroupKind::Search, 20, 40, (2, 25, 6))]
#[test_case("registry", "loan-portal", GroupKind::Search, 30, 60, (2, 25, 6))]
#[test_case("registry", "permits", GroupKind::Execute, 0, 15, (2, 35, 1))]
#[test_case("registry", "inspection-reports", GroupKind::Execute, 0, 7, (2, 35, 1))]
fn group_has_the_documented_size(
    name: &str,
    group: &str,
    kind: GroupKind,
    services: usize,
    servers: usize,
    shape: (u32, u32, u64),
) {
    let config = load(name);
    let found = &config.groups[group];
    assert_eq!(found.kind, kind);
    assert_eq!(
        found
            .snapshots
            .iter()
            .map(|s| s.services.len())
            .sum::<usize>(),
        services
    );
    let ids = servers_of(&config, group);
    assert_eq!(ids.len(), servers);
    for id in &ids {
        let server = &config.servers[id];
        let values = (
            server.slots.get(),
            server.connection_limit.get(),
            server.connect_cost_ms.0,
        );
        assert_eq!(values, shape, "{id}");
        assert!(server.address.ip().is_loopback(), "{id}");
    }
}

#[test_case("foundry", 4, 108, Objective::Latency)]
#[test_case("registry", 3, 122, Objective::Coverage)]
fn deployment_has_the_documented_size(
    name: &str,
    zones: usize,
    servers: usize,
    objective: Objective,
) {
    let config = load(name);
    assert_eq!(config.zones.len(), zones);
    let regions: BTreeSet<_> = config.zones.values().map(|zone| &zone.region).collect();
    assert_eq!(regions.len(), 1);
    assert_eq!(config.routing.objective, objective);
    let used: BTreeSet<_> = config
        .groups
        .keys()
        .flat_map(|group| servers_of(&config, group.as_str()))
        .collect();
    assert_eq!(used.len(), servers, "no server is in two groups");
    assert_eq!(config.servers.len(), servers, "no server is unused");
}

// Each service must keep one replica after the loss of a zone.
#[test_case("foundry")]
#[test_case("registry")]
fn replicas_are_in_different_zones(name: &str) {
    let config = load(name);
    for group in config.groups.values() {
        for (service, replicas) in group.snapshots.iter().flat_map(|s| &s.services) {
            let zones: BTreeSet<_> = replicas.iter().map(|id| &config.servers[id].zone).collect();
            assert_eq!((replicas.len(), zones.len()), (2, 2), "{service}");
        }
    }
}

// A zone with many more servers than another would be a bottleneck.
#[test_case("foundry")]
#[test_case("registry")]
fn servers_are_balanced_over_zones(name: &str) {
    let config = load(name);
    for group in config.groups.keys() {
        let mut count: BTreeMap<&ZoneId, usize> = config.zones.keys().map(|z| (z, 0)).collect();
        for id in servers_of(&config, group.as_str()) {
            *count.get_mut(&config.servers[&id].zone).unwrap() += 1;
        }
        let (least, most) = (count.values().min().unwrap(), count.values().max().unwrap());
        assert!(most - least <= 2, "{group}: {count:?}");
    }
}

#[test]
fn recall_checks_have_the_highest_priority() {
    let config = load("registry");
    let recall = config.classes["recall-check"].priority;
    let others = config
        .classes
        .iter()
        .filter(|(id, _)| id.as_str() != "recall-check");
    assert_eq!(recall, 0);
    assert!(others.clone().count() > 0);
    assert!(
        others
            .map(|(_, class)| class.priority)
            .all(|priority| priority > recall)
    );
}

// Guards against overrides that only repeat values of earlier files and so do not
// demonstrate merging.
#[test_case("foundry")]
#[test_case("registry")]
fn overrides_change_the_configuration(name: &str) {
    let mut files = load_folder(&example(name)).unwrap();
    let with = Config::from_files(&files).unwrap();
    assert!(files.remove("90-overrides.json").is_some());
    assert_ne!(Config::from_files(&files).unwrap(), with);
}

#[test_case("foundry")]
#[test_case("registry")]
fn daemon_settings_match_the_folder(name: &str) {
    let config = load(name);
    let folder = example(&format!("{name}-daemons"));
    let paths: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    let daemons: Vec<_> = paths
        .iter()
        .map(|path| Settings::load(path).unwrap())
        .collect();
    assert_eq!(daemons.len(), 6);
    let zones: BTreeSet<_> = daemons.iter().map(|d| &d.zone).collect();
    assert_eq!(zones, config.zones.keys().collect());
    assert!(
        daemons
            .iter()
            .all(|d| config.region_of(&d.zone) == Some(&d.region))
    );
    let instances: BTreeSet<_> = daemons.iter().map(|d| &d.instance).collect();
    let mut addresses: BTreeSet<_> = config.servers.values().map(|s| s.address).collect();
    for daemon in &daemons {
        addresses.extend([
            daemon.callers,
            daemon.peers,
            daemon.membership,
            daemon.operators,
        ]);
    }
    assert_eq!(instances.len(), 6);
    assert_eq!(
        addresses.len(),
        config.servers.len() + 6 * 4,
        "every address is used once"
    );
    assert!(daemons.iter().all(|d| d.peer_keys == daemons[0].peer_keys));
}
