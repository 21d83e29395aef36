//! Prints the cost of a whole search per sub-request: start, one answer per
//! shard, merge and finish. Making the answers is not part of the time.
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

/// Shards of a search: today's smallest and largest group, and the target size.
const SIZES: [u32; 3] = [20, 30, 950];

/// Hits in the answer of one shard, and in the answer of the search.
const HITS: u32 = 10;

/// Sub-requests per line of output.
const SUB_REQUESTS: u32 = 500_000;

/// Chooses the first replica and arms a hedge timer, as most sub-requests do.
struct First;

impl Chooser for First {
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
    let sent = search.start(now, &mut First);
    let attempts = sent.iter().filter_map(|step| match step {
        Step::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let mut last = Vec::new();
    for (attempt, answer) in attempts.zip(answers) {
        last = search.on_answer(now, &mut First, attempt, answer);
    }
    last
}

fn main() {
    println!("shards  ns per sub-request");
    for shards in SIZES {
        let versions = versions(shards);
        let searches = SUB_REQUESTS / shards;
        let mut spent = Duration::ZERO;
        for _ in 0..searches {
            let answers = (0..shards).map(answer).collect();
            let start = Instant::now();
            black_box(run(versions.clone(), answers));
            spent += start.elapsed();
        }
        let each = spent.as_nanos() / u128::from(searches * shards);
        println!("{shards:>6}{each:>20}");
    }
}
