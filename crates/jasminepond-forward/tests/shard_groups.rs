//! Connections stay within the limits of servers, and searches are not refused for lack of
//! connections, at any size of a site.

mod sim;

use std::{sync::Arc, time::Duration};

use jasminepond_forward::{Cluster, Demand, ForwardSettings, HelperCandidate, Peer, ShardGroups};
use jasminepond_types::CpuCapacity;
use sim::{MS, Sim, search};
use test_case::test_case;

fn daemons(count: u32) -> Vec<HelperCandidate> {
    let zones = ["a", "b", "c"];
    let daemon = |rank: u32| HelperCandidate {
        rank,
        zone: zones[rank as usize % 3].into(),
        processor: CpuCapacity::from_cores(if rank.is_multiple_of(10) { 0.5 } else { 0.12 })
            .unwrap(),
        running: true,
    };
    (0..count).map(daemon).collect()
}

fn demand(shards: usize, connections: u32) -> Demand {
    Demand {
        shards,
        connections,
        zones: ["a", "b"].map(Arc::from).to_vec(),
    }
}

/// Each shard belongs to one group and each group has helpers. They are in the zone of
/// their servers unless a larger instance elsewhere has far less load.
#[test]
fn every_shard_has_helpers_near_its_servers() {
    for count in [6, 9, 14, 39, 73, 195, 302] {
        for shards in [5, 20, 45, 87, 129, 200] {
            for connections in [9, 14, 26, 58, 120] {
                let groups = ShardGroups::new(&daemons(count), &demand(shards, connections));
                for shard in 0..shards {
                    let group = groups.group_of(shard, &["a", "b"]);
                    let helpers = group.map(|group| &groups.groups()[group as usize].helpers);
                    assert_eq!(helpers.is_some(), groups.is_divided());
                    assert!(helpers.is_none_or(|helpers| !helpers.is_empty()));
                }
            }
        }
    }
    let groups = ShardGroups::new(&daemons(195), &demand(87, 120));
    let all = daemons(195);
    for group in groups.groups() {
        let zone = |rank: &u32| Some(all[*rank as usize].zone.clone());
        assert!(group.helpers.iter().all(|rank| zone(rank) == group.zone));
        let large = |rank: &u32| all[*rank as usize].processor.cores() > 0.4;
        assert!(group.helpers.iter().all(large), "{group:?}");
    }
}

/// A failed helper is replaced in all groups.
#[test]
fn a_helper_that_fails_is_replaced() {
    let mut all = daemons(195);
    let demand = demand(87, 120);
    let before = ShardGroups::new(&all, &demand);
    let failed = before.groups()[0].helpers[0];
    all[failed as usize].running = false;
    let after = ShardGroups::new(&all, &demand);
    for (group, was) in after.groups().iter().zip(before.groups()) {
        assert!(!group.helpers.contains(&failed));
        assert_eq!(group.helpers.len(), was.helpers.len());
    }
}

/// Simulates one of `count` daemons with its servers and its search route.
fn member(count: u32, rank: u32, shards: usize, connections: u32) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), u64::from(rank) + 1);
    sim.max_connections = connections;
    sim.add_shards(shards, 5 * MS, Duration::ZERO, Duration::ZERO);
    let peers: Vec<Peer> = sim.add_peers_as(count, rank);
    let cluster = Cluster {
        daemons: count,
        rank,
    };
    sim.forwarder.set_daemons(sim.now, cluster, peers);
    sim.run_actions();
    sim.put_release(1, vec![search(shards, 200, 0.9)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Every daemon of a site runs eight searches concurrently. The connections of all daemons
/// to one server stay within its limit, and each search is answered completely.
#[test_case(6, 20, 26)]
#[test_case(8, 20, 9)]
#[test_case(9, 20, 9; "the first size at which connections are scarce")]
#[test_case(8, 45, 14)]
#[test_case(39, 30, 14)]
#[test_case(39, 60, 14)]
#[test_case(73, 90, 58)]
#[test_case(101, 87, 120)]
#[test_case(195, 87, 120)]
#[test_case(302, 129, 120)]
#[test_case(302, 5, 30; "few shards and many daemons")]
fn servers_get_no_more_connections_than_they_accept(count: u32, shards: usize, accepted: u32) {
    let mut held = vec![0; shards * 2];
    for rank in 0..count {
        let mut sim = member(count, rank, shards, accepted);
        for _ in 0..8 {
            sim.submit("/search/x", Duration::from_millis(800));
        }
        let mut most = vec![0; shards * 2];
        for _ in 0..40 {
            sim.run_for(5 * MS);
            for (server, most) in most.iter_mut().enumerate() {
                *most = sim.connections_to(server).max(*most);
            }
        }
        sim.run_for(Duration::from_secs(1));
        for (held, most) in held.iter_mut().zip(most) {
            *held += most;
        }
        for answered in &sim.answers {
            let verdict = answered.summary.verdict;
            assert_eq!(verdict, jasminepond_forward::Verdict::Served, "rank {rank}");
        }
        assert_eq!(sim.answers.len(), 8);
    }
    let most = held.into_iter().max().unwrap();
    assert!(most <= accepted as usize, "{most} connections to a server");
}

/// The servers of a repartition start seconds before a release names them. If 195 daemons
/// each connect to all 258 of them, the connection limits are exceeded.
#[test]
fn servers_without_a_route_get_no_connections() {
    let mut sim = member(195, 3, 87, 120);
    let before = sim.opened;
    for shard in 0..129 {
        sim.add(&format!("new{shard}"), &format!("new{shard}"), 5 * MS);
    }
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.opened, before);
}
