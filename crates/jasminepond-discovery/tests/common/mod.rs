//! Test data.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::sync::Arc;

use jasminepond_discovery::{Era, Position};
use jasminepond_forward::{Backend, BackendState};
use jasminepond_types::Millis;

/// Returns a position of the first era.
pub fn at(change: u64) -> Position {
    Position::new(Era(1), change)
}

/// Returns the entry of a ready server.
pub fn backend(id: &str) -> Backend {
    Backend {
        id: Arc::from(id),
        service: "s".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".to_owned(),
        slots: 1,
        state: BackendState::Ready,
        warm_up_left: Millis(0),
        started: Some(1),
        writes: 1,
    }
}
