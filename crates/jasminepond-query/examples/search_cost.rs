//! Measures the time per sub-request of a whole search: start, one answer per
//! shard, merge and finish. The time to build the answers is excluded.
//!
//! Run with `cargo run --release -p jasminepond-query --example search_cost`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use jasminepond_query::{
    Candidates, Choice, Chooser, Hit, MissingReason, Plan, Score, Search, SearchSettings,
    ShardAnswer, ShardMap, Step,
};
use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};

/// Number of shards: the smallest and the largest current group, and the target
/// size.
const SIZES: [u32; 3] = [20, 30, 950];

/// Number of hits in the answer of each shard and of the search.
const HITS: u32 = 10;

/// Sub-requests per line of output.
const SUB_REQUESTS: u32 = 500_000;

/// Chooses the first replica and sets a hedge timer, as for most sub-requests.
struct FirstReplica;

impl Chooser for FirstReplica {
    fn choose(&mut self, _: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
        let first = c.iter().next();
        first.map_or(Choice::None(MissingReason::NoReplica), |(i, _)| {
            Choice::Use(i)
        })
    }

    fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
        Some(Duration::from_millis(40))
    }

    fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
        true
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        true
    }

    fn service_time(&mut self, _: Timestamp) -> Duration {
        Duration::from_millis(11)
    }
}

fn versions(shards: u32) -> Arc<[ShardMap]> {
    let service = |shard: u32| {
        let server = |replica: &str| format!("kits-{shard:04}-{replica}").parse().unwrap();
        let service = format!("kits-{shard:04}").parse().unwrap();
        (service, vec![server("a"), server("b")])
    };
    let services = (0..shards).map(service).collect();
    let version = Version(41);
    [ShardMap { version, services }].into()
}

fn answer(shard: u32) -> ShardAnswer {
    let hit = |i: u32| Hit {
        id: format!("kit-{shard:04}-{i:06}").into(),
        score: Score::new(f64::from((shard * 7_919 + i * 104_729) % 10_007)).unwrap(),
    };
    ShardAnswer {
        version: Version(41),
        count: 1_234,
        hits: (0..HITS).map(hit).collect(),
    }
}

fn run(versions: Arc<[ShardMap]>, answers: Vec<ShardAnswer>) -> Vec<Step> {
    let plan = Plan {
        id: QueryId(1),
        group: "kit-registry".parse().unwrap(),
        versions,
        limit: HITS,
    };
    let now = Timestamp::ZERO;
    let deadline = Timestamp::from_millis(250);
    let mut search = Search::new(plan, now, deadline, SearchSettings::default()).unwrap();
    let steps = search.start(now, &mut FirstReplica);
    let attempts = steps.iter().filter_map(|step| match step {
        Step::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let mut last = Vec::new();
    for (attempt, answer) in attempts.zip(answers) {
        last = search.on_answer(now, &mut FirstReplica, attempt, answer);
    }
    last
}

fn main() {
    println!("shards  ns per sub-request");
    for shards in SIZES {
        let versions = versions(shards);
        let searches = SUB_REQUESTS / shards;
        let mut total = Duration::ZERO;
        for _ in 0..searches {
            let answers = (0..shards).map(answer).collect();
            let start = Instant::now();
            black_box(run(versions.clone(), answers));
            total += start.elapsed();
        }
        let per_sub_request = total.as_nanos() / u128::from(searches * shards);
        println!("{shards:>6}{per_sub_request:>20}");
    }
}
