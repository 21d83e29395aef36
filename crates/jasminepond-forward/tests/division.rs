//! Guards against servers that get more connections than they accept, and against
//! searches that are refused for lack of them, at any size of a site.

mod world;

use std::{sync::Arc, time::Duration};

use jasminepond_forward::{Candidate, Cluster, Demand, Division, ForwardSettings, Peer};
use jasminepond_types::CpuCapacity;
use test_case::test_case;
use world::{MS, World, search};

fn daemons(count: u32) -> Vec<Candidate> {
    let zones = ["a", "b", "c"];
    let daemon = |rank: u32| Candidate {
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

/// Each shard belongs to one group, each group has helpers, and they stand in the
/// zone of their servers unless a larger instance elsewhere has much less to do.
#[test]
fn every_shard_has_helpers_near_its_servers() {
    for count in [6, 9, 14, 39, 73, 195, 302] {
        for shards in [5, 20, 45, 87, 129, 200] {
            for connections in [9, 14, 26, 58, 120] {
                let division = Division::new(&daemons(count), &demand(shards, connections));
                for shard in 0..shards {
                    let group = division.group_of(shard, &["a", "b"]);
                    let helpers = group.map(|group| &division.groups()[group as usize].helpers);
                    assert_eq!(helpers.is_some(), division.is_divided());
                    assert!(helpers.is_none_or(|helpers| !helpers.is_empty()));
                }
            }
        }
    }
    let division = Division::new(&daemons(195), &demand(87, 120));
    let all = daemons(195);
    for group in division.groups() {
        let zone = |rank: &u32| Some(all[*rank as usize].zone.clone());
        assert!(group.helpers.iter().all(|rank| zone(rank) == group.zone));
        let large = |rank: &u32| all[*rank as usize].processor.cores() > 0.4;
        assert!(group.helpers.iter().all(large), "{group:?}");
    }
}

/// A daemon that fails is replaced, and the helpers of few groups change.
#[test]
fn a_helper_that_fails_is_replaced() {
    let mut all = daemons(195);
    let demand = demand(87, 120);
    let before = Division::new(&all, &demand);
    let failed = before.groups()[0].helpers[0];
    all[failed as usize].running = false;
    let after = Division::new(&all, &demand);
    for (group, was) in after.groups().iter().zip(before.groups()) {
        assert!(!group.helpers.contains(&failed));
        assert_eq!(group.helpers.len(), was.helpers.len());
    }
}

/// A daemon of `count` with this rank, its searches and its connections to servers.
fn member(count: u32, rank: u32, shards: usize, connections: u32) -> World {
    let mut world = World::new(ForwardSettings::default(), u64::from(rank) + 1);
    world.max_connections = connections;
    world.add_shards(shards, 5 * MS, Duration::ZERO, Duration::ZERO);
    let peers: Vec<Peer> = world.add_peers_as(count, rank);
    let cluster = Cluster {
        daemons: count,
        rank,
    };
    world.forwarder.set_daemons(world.now, cluster, peers);
    world.carry_out();
    world.put_release(1, vec![search(shards, 200, 0.9)]);
    world.run_for(Duration::from_secs(1));
    world
}

/// Load: every daemon of a site has eight searches in progress at the same time. The
/// connections that one server gets from all of them stay below what it accepts, and
/// each search is answered in full.
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
        let mut world = member(count, rank, shards, accepted);
        for _ in 0..8 {
            world.submit("/search/x", Duration::from_millis(800));
        }
        let mut most = vec![0; shards * 2];
        for _ in 0..40 {
            world.run_for(5 * MS);
            for (server, most) in most.iter_mut().enumerate() {
                *most = world.connections_to(server).max(*most);
            }
        }
        world.run_for(Duration::from_secs(1));
        for (held, most) in held.iter_mut().zip(most) {
            *held += most;
        }
        for answered in &world.answers {
            let verdict = answered.summary.verdict;
            assert_eq!(verdict, jasminepond_forward::Verdict::Served, "rank {rank}");
        }
        assert_eq!(world.answers.len(), 8);
    }
    let most = held.into_iter().max().unwrap();
    assert!(most <= accepted as usize, "{most} connections to a server");
}

/// Load: the servers of a repartition start seconds before a release names them. 195
/// daemons that each connect to all 258 of them exceed what they accept.
#[test]
fn servers_that_no_route_leads_to_get_no_connections() {
    let mut world = member(195, 3, 87, 120);
    let before = world.opened;
    for shard in 0..129 {
        world.add(&format!("new{shard}"), &format!("new{shard}"), 5 * MS);
    }
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.opened, before);
}
