//! Entries for the tests.

use std::sync::Arc;

use jasminepond_forward::{Backend, BackendState};
use jasminepond_types::Millis;

/// An entry of a sound server.
pub fn backend(id: &str) -> Backend {
    Backend {
        id: Arc::from(id),
        service: "s".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z".to_owned(),
        slots: 1,
        state: BackendState::Ready,
        warm_up_left: Millis(0),
        started: None,
    }
}
