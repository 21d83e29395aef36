//! Measures how fast and at what cost a change of the configuration reaches all
//! daemons, with the state machines in virtual time.
//!
//! The configuration has 40 files of 4 KB; a change replaces one. Prints for each
//! number of daemons and each case: the time from the change at the service until
//! the last daemon has it (worst of five changes), the reads at the service per
//! change and the peak in one second, the messages and bytes (without framing)
//! that one daemon sends per change in addition to its idle traffic, and the bytes
//! per second of the idle traffic.
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

/// Interval between changes: 7,600 changes per day are one per 11 s.
const PERIOD: Duration = Duration::from_secs(11);

/// Reads per second that the service allows.
const READ_LIMIT: u64 = 2_000;

/// Duration of the idle period that is measured before the first change.
const IDLE_PERIOD: Duration = Duration::from_secs(20);

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
        "daemons  case       last daemon  reads/change  peak reads/s  refused  messages  bytes   idle B/s"
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
        tier.publish(&format!("{i:02}.json"), vec![b' '; FILE_BYTES]);
    }
    tier.converge(LIMIT)
        .expect("the first configuration reaches all daemons");
    match case {
        Case::ThirdLost => tier.loss = 1.0 / 3.0,
        Case::ReadLimit => tier.service.limit = Some(READ_LIMIT),
        Case::AllCutOff => {
            tier.service.limit = Some(READ_LIMIT);
            tier.isolate();
        }
        Case::OneChange | Case::TwoAtOnce => {}
    }
    tier.run(IDLE_PERIOD);
    (tier.messages, tier.bytes) = (0, 0);
    tier.run(IDLE_PERIOD);
    let idle = (tier.messages as f64, tier.bytes as f64);
    let idle = (
        idle.0 / IDLE_PERIOD.as_secs_f64(),
        idle.1 / IDLE_PERIOD.as_secs_f64(),
    );
    (tier.messages, tier.bytes) = (0, 0);
    (tier.service.reads, tier.service.peak, tier.service.refused) = (0, 0, 0);
    let start = tier.now;
    let mut last = Duration::ZERO;
    for i in 0..CHANGES {
        let changed = tier.now;
        tier.publish("07.json", vec![b'a' + i as u8; FILE_BYTES]);
        if case == Case::TwoAtOnce {
            tier.publish("08.json", vec![b'a' + i as u8; FILE_BYTES]);
        }
        last = last.max(tier.converge(LIMIT).unwrap_or(LIMIT));
        let passed = tier.now.since(changed);
        tier.run(PERIOD.saturating_sub(passed));
    }
    let time = tier.now.since(start).as_secs_f64();
    let per_change =
        |total: f64, idle: f64| (total - idle * time).max(0.0) / n as f64 / CHANGES as f64;
    println!(
        "{n:>7}  {:<9}  {:>9.2} s  {:>12.0}  {:>12}  {:>7}  {:>8.1}  {:>5.0}  {:>9.0}",
        format!("{case:?}"),
        last.as_secs_f64(),
        tier.service.reads as f64 / CHANGES as f64,
        tier.service.peak,
        tier.service.refused,
        per_change(tier.messages as f64, idle.0),
        per_change(tier.bytes as f64, idle.1),
        idle.1 / n as f64,
    );
}
