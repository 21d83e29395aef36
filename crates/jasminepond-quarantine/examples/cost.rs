//! Prints the time that a fingerprint and a check of it take.
//!
//! `cargo run --release -p jasminepond-quarantine --example cost`

use std::{hint::black_box, time::Instant};

use jasminepond_quarantine::{Fingerprint, Quarantine, RequestParts};
use jasminepond_types::Timestamp;

const ROUNDS: u32 = 200_000;

/// Records at their limit.
const RECORDS: u64 = 4_000;

fn main() {
    let now = Timestamp::from_millis(1);
    let mut quarantine = Quarantine::default();
    for number in 0..RECORDS {
        let body = &number.to_le_bytes();
        let other = Fingerprint::new(&RequestParts {
            body,
            ..RequestParts::default()
        });
        quarantine.server_ended(now, other, 1, false);
    }
    for len in [0, 1 << 10, 256 << 10] {
        let body = vec![7; len];
        let rounds = if len > 1 << 10 { ROUNDS / 100 } else { ROUNDS };
        let request = RequestParts {
            method: "GET",
            host: "registry.example",
            path: "/catalogue/kits/32b422?page=36&sort=new",
            body: &body,
            ..RequestParts::default()
        };
        let began = Instant::now();
        for _ in 0..rounds {
            let fingerprint = Fingerprint::new(black_box(&request));
            black_box(quarantine.admission(now, fingerprint));
        }
        let each = began.elapsed() / rounds;
        println!("body of {len} bytes: {each:?}");
    }
}
