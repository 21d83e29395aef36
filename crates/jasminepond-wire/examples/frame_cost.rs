//! Prints the cost of encoding and decoding `Search` and `PartResults` frames and
//! their size in bytes, per sub-request, for four numbers of sub-requests per frame.
//!
//! Run with `cargo run --release -p jasminepond-wire --example frame_cost`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use jasminepond_types::{Millis, Slots, Version, Weight};
use jasminepond_wire::{
    Frame, Hit, Part, PartOutcome, PartResult, PartResults, Score, Search, ServerCondition,
    ServerHint, decode, encode,
};

/// Sub-requests per frame: one server, an owner of few servers, an owner of many
/// servers, and a whole query.
const SIZES: [u32; 4] = [1, 8, 160, 950];

/// Hits in the answer of one shard.
const HITS: u32 = 10;

/// Sub-requests encoded and decoded per line of output.
const SUB_REQUESTS: u32 = 2_000_000;

/// Number of runs of which the median is printed.
const RUNS: usize = 5;

fn search(parts: u32) -> Frame {
    let part = |part| Part {
        part,
        service: format!("kit-registry-{part:04}").parse().unwrap(),
        server: format!("kit-registry-{part:04}-a").parse().unwrap(),
    };
    Frame::Search(Search {
        id: 123_456_789,
        tenant: "dinas-usaha".parse().unwrap(),
        class: "recall-check".parse().unwrap(),
        priority: 1,
        weight: Weight(3),
        group: "kit-registry".parse().unwrap(),
        version: Version(41),
        query: "{\"kit\": \"juicer 4711\"}".into(),
        limit: HITS,
        left: Millis(230),
        parts: (0..parts).map(part).collect(),
    })
}

fn parts(parts: u32) -> Frame {
    let hit = |part: u32, i: u32| Hit {
        id: format!("kit-{part:04}-{i:06}").into(),
        score: Score::new(f64::from(i) * 0.37 + 0.1).unwrap(),
    };
    let item = |part: u32| PartResult {
        part,
        outcome: PartOutcome::Answer {
            version: Version(41),
            count: 1_234,
            hits: (0..HITS).map(|i| hit(part, i)).collect(),
        },
        hint: Some(ServerHint {
            server: format!("kit-registry-{part:04}-a").parse().unwrap(),
            queued: 3,
            running: 2,
            slots: Slots(2),
            service_us: 10_900,
            condition: ServerCondition::Ready,
            top_priority: 2,
            top_queued: 3,
        }),
    };
    Frame::PartResults(PartResults {
        id: 123_456_789,
        items: (0..parts).map(item).collect(),
    })
}

/// Returns the median time of `work` per sub-request, in nanoseconds.
fn measure(frames: u32, parts: u32, mut work: impl FnMut()) -> f64 {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            (0..frames).for_each(|_| work());
            start.elapsed()
        })
        .collect();
    times.sort();
    times[RUNS / 2].as_nanos() as f64 / f64::from(frames) / f64::from(parts)
}

fn report(name: &str, size: u32, frame: &Frame) {
    let mut buf = Vec::new();
    encode(frame, &mut buf).unwrap();
    let bytes = buf.len();
    let frames = SUB_REQUESTS / RUNS as u32 / size;
    let encoded = measure(frames, size, || {
        buf.clear();
        encode(black_box(frame), &mut buf).unwrap();
    });
    let decoded = measure(frames, size, || {
        black_box(decode(black_box(&buf)).unwrap());
    });
    let per_part = bytes as f64 / f64::from(size);
    println!("{name:<8}{size:>8}{bytes:>12}{per_part:>12.1}{encoded:>12.0}{decoded:>12.0}");
}

fn main() {
    println!("frame      parts  frame bytes  bytes/part  encode ns   decode ns  (per part)");
    for size in SIZES {
        report("Search", size, &search(size));
    }
    for size in SIZES {
        report("Parts", size, &parts(size));
    }
}
