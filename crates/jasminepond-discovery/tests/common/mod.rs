//! Test data.

#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod fleet;

use std::sync::Arc;

use jasminepond_discovery::{Change, Era, Item, Page, Position, Publication, Record, Relay};
use jasminepond_forward::{Backend, BackendState};
use jasminepond_types::{Millis, Timestamp};

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

/// Returns a listing of the operator's keys with this release and no evacuated zone.
pub fn operator_page(release: Option<Item>, position: Position) -> Page {
    let record = |item| Record {
        key: "op/config".to_owned(),
        item,
    };
    Page {
        records: release.into_iter().map(record).collect(),
        has_more: false,
        position,
    }
}

/// Publishes a state that the store confirmed at `confirmed_at`, with these changes.
pub fn publish(relay: &mut Relay, confirmed_at: Timestamp, position: Position, changes: &[Change]) {
    relay.stage(changes.iter().cloned());
    relay.publish(Publication {
        position,
        confirmed_at,
        reads_store: true,
        listed: false,
        settles_at: None,
    });
}
