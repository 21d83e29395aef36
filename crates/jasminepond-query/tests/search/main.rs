//! Tests of searches: scripted cases and random interleavings.

mod properties;
mod rules;

use std::time::Duration;

use jasminepond_query::*;
use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};
use jasminepond_wire::PartFailure;

const fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn hit(id: &str, score: f64) -> Hit {
    let (id, score) = (id.into(), Score::new(score).unwrap());
    Hit { id, score }
}

/// A map with shards `s0`, `s1`, ..., which have the given numbers of replicas
/// `s0-0`, `s0-1`, ...
fn shard_map(version: u64, replicas: impl IntoIterator<Item = usize>) -> ShardMap {
    let service = |(s, replicas): (usize, usize)| {
        let server = |r: usize| format!("s{s}-{r}").parse().unwrap();
        let servers = (0..replicas).map(server).collect();
        (format!("s{s}").parse().unwrap(), servers)
    };
    ShardMap {
        version: Version(version),
        services: replicas.into_iter().enumerate().map(service).collect(),
    }
}

fn plan(id: u64, limit: u32, versions: impl IntoIterator<Item = ShardMap>) -> Plan {
    Plan {
        id: QueryId(id),
        group: "kits".parse().unwrap(),
        versions: versions.into_iter().collect(),
        limit,
    }
}
