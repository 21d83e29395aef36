//! How fast and at what cost a change of the configuration spreads, measured
//! on the state machines in virtual time.
//!
//! The configuration has 40 files of 4 KB; a change replaces one. Prints per
//! size and case: the time from the change at the service until the last
//! daemon has it (worst of five changes), the reads at the service per change
//! and the most in one second, the messages and bytes (without framing) that
//! one daemon sends per change beyond its quiet traffic, and the quiet bytes
//! per second.
//!
//! ```text
//! cargo run --release -p jasminepond-sync --example spread -- 7 25 50
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::Tier;
use jasminepond_sync::Settings;

const ZONES: usize = 17;
const FILES: usize = 40;
const FILE_BYTES: usize = 4_096;
const CHANGES: usize = 5;
const LIMIT: Duration = Duration::from_secs(120);

/// Time between two changes, one per 11 s at 7,600 a day.
const PERIOD: Duration = Duration::from_secs(11);

/// Reads per second that the service allows.
const READ_LIMIT: u64 = 2_000;

/// Quiet time that is measured before the first change.
const QUIET: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Case {
    OneChange,
    TwoAtOnce,
    ThirdLost,
    ReadLimit,
    AllCutOff,
}

const CASES: [Case; 5] = [
    Case::OneChange,
    Case::TwoAtOnce,
    Case::ThirdLost,
    Case::ReadLimit,
    Case::AllCutOff,
];

fn main() {
    let sizes = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    println!(
        "daemons  case       last daemon  reads/change  peak reads/s  refused  messages  bytes  quiet B/s"
    );
    for n in sizes {
        for case in CASES {
            measure(n, case);
        }
    }
}

fn measure(n: usize, case: Case) {
    let mut tier = Tier::new(Settings::default(), n, ZONES.min(n), 1);
    for i in 0..FILES {
        tier.change(&format!("{i:02}.json"), vec![b' '; FILE_BYTES]);
    }
    tier.settle(LIMIT).expect("the first configuration spreads");
    match case {
        Case::ThirdLost => tier.loss = 1.0 / 3.0,
        Case::ReadLimit => tier.service.limit = Some(READ_LIMIT),
        Case::AllCutOff => {
            tier.service.limit = Some(READ_LIMIT);
            tier.isolate();
        }
        Case::OneChange | Case::TwoAtOnce => {}
    }
    tier.run(QUIET);
    (tier.messages, tier.bytes) = (0, 0);
    tier.run(QUIET);
    let quiet = (tier.messages as f64, tier.bytes as f64);
    let quiet = (quiet.0 / QUIET.as_secs_f64(), quiet.1 / QUIET.as_secs_f64());
    (tier.messages, tier.bytes) = (0, 0);
    (tier.service.reads, tier.service.peak, tier.service.refused) = (0, 0, 0);
    let start = tier.now;
    let mut last = Duration::ZERO;
    for i in 0..CHANGES {
        let changed = tier.now;
        tier.change("07.json", vec![b'a' + i as u8; FILE_BYTES]);
        if case == Case::TwoAtOnce {
            tier.change("08.json", vec![b'a' + i as u8; FILE_BYTES]);
        }
        last = last.max(tier.settle(LIMIT).unwrap_or(LIMIT));
        let passed = tier.now.since(changed);
        tier.run(PERIOD.saturating_sub(passed));
    }
    let time = tier.now.since(start).as_secs_f64();
    let per_change =
        |total: f64, quiet: f64| (total - quiet * time).max(0.0) / n as f64 / CHANGES as f64;
    println!(
        "{n:>7}  {:<9}  {:>9.2} s  {:>12.0}  {:>12}  {:>7}  {:>8.1}  {:>5.0}  {:>9.0}",
        format!("{case:?}"),
        last.as_secs_f64(),
        tier.service.reads as f64 / CHANGES as f64,
        tier.service.peak,
        tier.service.refused,
        per_change(tier.messages as f64, quiet.0),
        per_change(tier.bytes as f64, quiet.1),
        quiet.1 / n as f64,
    );
}
