//! Tests of request keys, of executions, and of both together under faults.

mod at_most_once;
mod execution;
mod keys;

use bytes::Bytes;
use jasminepond_query::*;
use jasminepond_types::{ErrorKind, Incarnation, Millis, TenantId, Timestamp};

const OLD: &str = "the-old-shared-key";

const fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn table(instance: &str, incarnation: u64, keys: &[&str], settings: KeySettings) -> KeyTable {
    let ring = KeyRing::new(keys.iter().map(|key| key.parse().unwrap())).unwrap();
    let seed = [instance.len() as u8 + incarnation as u8; 32];
    let instance = instance.parse().unwrap();
    KeyTable::new(settings, instance, Incarnation(incarnation), ring, seed)
}

fn tenant(name: &str) -> TenantId {
    name.parse().unwrap()
}

fn digest(operation: &str) -> RequestDigest {
    let class = "orders".parse().unwrap();
    let group = "dispatch".parse().unwrap();
    RequestDigest::new(&tenant("t"), &class, &group, operation.as_bytes())
}

fn done(result: &'static str) -> ExecuteOutcome {
    let result = Bytes::from_static(result.as_bytes());
    ExecuteOutcome::Done { result }
}

fn unknown() -> ExecuteOutcome {
    ExecuteOutcome::Unknown {
        kind: ErrorKind::OutcomeUnknown,
        detail: "connection broke".into(),
    }
}

fn not_run(kind: ErrorKind) -> ExecuteOutcome {
    let retry_after = Some(Millis(7));
    ExecuteOutcome::NotRun { kind, retry_after }
}
