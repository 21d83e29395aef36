//! Prints the cost of routing decisions and the memory per server for several numbers
//! of servers, with as many daemons per zone as at the target size.
//!
//! Run with `cargo run --release -p jasminepond-routing --example routing_cost`.

use std::{
    fs,
    time::{Duration, Instant},
};

use jasminepond_dispatch::{Health, Hint};
use jasminepond_routing::{
    Admission, AttemptOutcome, Candidate, Choice, Deadline, Estimate, FinishedQuery, Ownership,
    Query, ReplicaRequest, ReplicaSettings, Replicas,
};
use jasminepond_types::{ServerId, TenantId, Timestamp, Version, ZoneId};

const SIZES: [usize; 4] = [100, 1_000, 5_000, 25_000];
const ZONES: usize = 17;
const DAEMONS: usize = 3_900;
const REQUESTS: usize = 1_000_000;
const HINT: Hint = Hint {
    queued: 0,
    top_priority: 0,
    top_queued: 0,
    running: 1,
    slots: 2,
    service_us: 100,
    health: Health::Ready,
};

/// Returns the resident memory in bytes, or zero if `/proc` does not provide it.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn nanos_per<T>(count: usize, operation: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = operation();
    (start.elapsed().as_nanos() as f64 / count as f64, result)
}

fn zone(n: usize) -> ZoneId {
    format!("zone-{}", n % ZONES).parse().expect("valid id")
}

fn candidates() -> Vec<Candidate> {
    let candidate = |n: usize| Candidate {
        instance: format!("daemon-{n}").parse().expect("valid id"),
        zone: zone(n),
        region: format!("region-{}", n % ZONES % 6)
            .parse()
            .expect("valid id"),
        usable: true,
    };
    (0..DAEMONS).map(candidate).collect()
}

/// Sends one sub-request to one of two replicas.
fn sub_request(replicas: &mut Replicas, now: Timestamp, pair: &[ServerId]) {
    let req = ReplicaRequest {
        servers: pair,
        version: Version(1),
        priority: 0,
        exclude: &[],
        can_hedge: true,
    };
    if let Choice::Use { server } = replicas.choose(now, req) {
        replicas.record_sent(now, &server);
        replicas.record_outcome(
            now,
            &server,
            Duration::from_micros(120),
            AttemptOutcome::Done,
        );
        replicas.record_hint(now, &server, HINT);
    }
}

fn measure(servers: usize) -> (Replicas, Ownership) {
    let ids: Vec<ServerId> = (0..servers)
        .map(|n| format!("server-{servers}-{n}").parse().expect("valid id"))
        .collect();
    let now = Timestamp::from_millis(1_000);
    let start = resident_bytes();
    let mut replicas = Replicas::new(ReplicaSettings::default(), 1);
    for id in &ids {
        replicas.record_hint(now, id, HINT);
    }
    let replica_bytes = (resident_bytes() - start) / servers as u64;
    let (choose, ()) = nanos_per(REQUESTS, || {
        for request in 0..REQUESTS {
            let at = request.wrapping_mul(7_919) % (servers - 1);
            sub_request(&mut replicas, now, &ids[at..at + 2]);
        }
    });
    let mut all = candidates();
    let mut ownership = Ownership::default();
    ownership.rebuild(&all);
    let start = resident_bytes();
    let (first, ()) = nanos_per(servers, || {
        for (n, id) in ids.iter().enumerate() {
            ownership.owner(id, &zone(n));
        }
    });
    let owner_bytes = (resident_bytes() - start) / servers as u64;
    let (lookup, ()) = nanos_per(REQUESTS, || {
        let zones: Vec<ZoneId> = (0..ZONES).map(zone).collect();
        for request in 0..REQUESTS {
            let at = request.wrapping_mul(7_919) % servers;
            ownership.owner(&ids[at], &zones[at % ZONES]);
        }
    });
    let removed = all.swap_remove(7);
    let (leave, moved) = nanos_per(1, || ownership.rebuild(&all));
    all.push(removed);
    let (join, _) = nanos_per(1, || ownership.rebuild(&all));
    println!(
        "{servers:7}  {choose:14.0}  {replica_bytes:13}  {first:8.0}  {lookup:9.0}  \
         {owner_bytes:11}  {:8.0}  {:7.0}  {moved:5}",
        leave / 1_000.0,
        join / 1_000.0,
    );
    (replicas, ownership)
}

fn admission() -> f64 {
    let mut admission = Admission::default();
    let tenant: TenantId = "tenant".parse().expect("valid id");
    let slowest = Estimate::default();
    let latency = Duration::from_millis(10);
    let (nanos, ()) = nanos_per(REQUESTS, || {
        for request in 0..REQUESTS as u64 {
            let now = Timestamp::from_micros(request);
            let query = Query {
                tenant: &tenant,
                tenant_limit: 10,
                priority: (request % 3) as u32,
                deadline: Deadline::at(now + Duration::from_millis(250)),
                slowest,
            };
            admission.admit(now, query);
            let finished = FinishedQuery {
                latency,
                slowest,
                in_time: true,
            };
            admission.record_finished(now, &tenant, query.priority, finished);
        }
    });
    nanos
}

fn main() {
    println!("admit and finish: {:.0} ns", admission());
    println!(
        "servers  ns/sub-request  bytes/replica  ns/first  ns/lookup  bytes/owned  \
         us/leave  us/join  moved"
    );
    // The results for smaller sizes are kept, since memory that they freed would be
    // reused and hide the growth.
    let kept: Vec<_> = SIZES.into_iter().map(measure).collect();
    drop(kept);
}
