//! Tests of request keys and of the key table.

use std::time::Duration;

use test_case::test_case;

use super::*;

const NEW: &str = "the-new-shared-key";

fn small_table() -> KeyTable {
    let settings = KeySettings {
        lifetime: Duration::from_millis(100),
        max_keys_per_call: 4,
        max_keys_per_tenant: 4,
        max_keys: 6,
        max_outcome_bytes: 10,
    };
    table("a", 7, &[OLD], settings)
}

fn issue(table: &mut KeyTable) -> RequestKey {
    table.issue(ms(0), &tenant("t"), 1).unwrap().remove(0)
}

fn begin(table: &mut KeyTable, at: u64, key: &RequestKey) -> Begin {
    table.begin(ms(at), key, &tenant("t"), digest("{}"))
}

fn run(table: &mut KeyTable, at: u64, key: &RequestKey) -> ExecutionId {
    match begin(table, at, key) {
        Begin::Run { execution } => execution,
        other => panic!("{other:?}"),
    }
}

fn refused(begin: Begin) -> ErrorKind {
    match begin {
        Begin::Refused(refusal) => refusal.kind,
        other => panic!("{other:?}"),
    }
}

/// Guards against another daemon that takes a key for its own, and against a daemon
/// or a later incarnation that runs a key which it did not issue.
#[test]
fn a_key_identifies_its_issuer() {
    let mut issuer = table("a", 7, &[OLD], KeySettings::default());
    let key: RequestKey = issue(&mut issuer).to_string().parse().unwrap();
    assert_eq!(issuer.classify(&key), KeyOrigin::Own);
    let mut restarted = table("a", 8, &[OLD], KeySettings::default());
    let earlier = KeyOrigin::EarlierIncarnation;
    assert_eq!(restarted.classify(&key), earlier);
    let mut other = table("b", 7, &[NEW, OLD], KeySettings::default());
    let instance = "a".parse().unwrap();
    let incarnation = Incarnation(7);
    let foreign = KeyOrigin::OtherInstance {
        instance,
        incarnation,
    };
    assert_eq!(other.classify(&key), foreign);
    let mut other_secret = table("a", 7, &[NEW], KeySettings::default());
    assert_eq!(other_secret.classify(&key), KeyOrigin::Invalid);
    let kinds = [&mut restarted, &mut other, &mut other_secret].map(|t| refused(begin(t, 0, &key)));
    use ErrorKind::*;
    assert_eq!(kinds, [OutcomeUnknown, OutcomeUnknown, InvalidKey]);
}

/// Guards against forged keys: a change to any character is detected.
#[test]
fn a_changed_key_is_invalid() {
    let mut table = small_table();
    let text = issue(&mut table).to_string();
    for (at, old) in text.char_indices() {
        let new = if old == '1' { '2' } else { '1' };
        let mut changed = text.clone();
        changed.replace_range(at..=at, &new.to_string());
        if let Ok(key) = changed.parse::<RequestKey>() {
            assert_eq!(table.classify(&key), KeyOrigin::Invalid, "{changed}");
            let kind = refused(begin(&mut table, 0, &key));
            assert_eq!(kind, ErrorKind::InvalidKey, "{changed}");
        }
    }
}

/// Guards against accepting malformed keys.
#[test_case("")]
#[test_case("jk2~a~7~1~00000000000000000000000000000001~00000000000000000000000000000001")]
#[test_case("jk1~a~7~1~01~00000000000000000000000000000001"; "short id")]
#[test_case("jk1~a~7~1~00000000000000000000000000000001"; "no mac")]
#[test_case("jk1~A~7~1~00000000000000000000000000000001~00000000000000000000000000000001"; "instance")]
#[test_case("jk1~a~x~1~00000000000000000000000000000001~00000000000000000000000000000001"; "incarnation")]
#[test_case(&"~".repeat(300); "long")]
fn malformed_keys_are_rejected(text: &str) {
    assert!(text.parse::<RequestKey>().is_err());
}

/// Guards against a second run of a key in any state (P5), against a copy that
/// runs after the caller was told "not run" (P4), and against a lost outcome.
#[test_case(done("ok"))]
#[test_case(unknown())]
#[test_case(not_run(ErrorKind::Overloaded))]
fn a_key_runs_once_whatever_its_outcome(outcome: ExecuteOutcome) {
    let mut table = small_table();
    let key = issue(&mut table);
    let execution = run(&mut table, 0, &key);
    assert_eq!(begin(&mut table, 1, &key), Begin::Join { execution });
    assert!(table.finish(ms(2), execution, outcome.clone()));
    assert!(
        !table.finish(ms(3), execution, done("late")),
        "second outcome accepted"
    );
    assert_eq!(begin(&mut table, 99, &key), Begin::Done(outcome));
}

/// Guards against returning the outcome of another request (P3).
#[test]
fn a_key_serves_one_request_of_one_tenant() {
    let mut table = small_table();
    let key = issue(&mut table);
    let foreign = |t: &mut KeyTable| refused(t.begin(ms(1), &key, &tenant("u"), digest("{}")));
    let changed = |t: &mut KeyTable| refused(t.begin(ms(1), &key, &tenant("t"), digest("[]")));
    assert_eq!(foreign(&mut table), ErrorKind::InvalidKey);
    let execution = run(&mut table, 0, &key);
    assert_eq!(foreign(&mut table), ErrorKind::InvalidKey);
    assert_eq!(changed(&mut table), ErrorKind::KeyReused);
    table.finish(ms(1), execution, done("ok"));
    assert_eq!(foreign(&mut table), ErrorKind::InvalidKey);
    assert_eq!(changed(&mut table), ErrorKind::KeyReused);
}

/// Guards against an expired key that runs, that is reported as not run, or that is
/// removed while its request runs, so that it could run again.
#[test]
fn an_expired_key_has_an_unknown_outcome() {
    let mut table = small_table();
    let (unused, finished, running) = (issue(&mut table), issue(&mut table), issue(&mut table));
    let execution = run(&mut table, 0, &finished);
    table.finish(ms(1), execution, done("ok"));
    let execution = run(&mut table, 99, &running);
    let unknown = ErrorKind::OutcomeUnknown;
    assert_eq!(refused(begin(&mut table, 100, &unused)), unknown);
    assert_eq!(refused(begin(&mut table, 100, &finished)), unknown);
    assert_eq!(begin(&mut table, 500, &running), Begin::Join { execution });
    assert!(table.finish(ms(501), execution, not_run(ErrorKind::Overloaded)));
    assert_eq!(refused(begin(&mut table, 502, &running)), unknown);
    let remaining = (table.len(), table.running(), table.outcome_bytes());
    assert_eq!(remaining, (0, 0, 0));
}

/// Guards against a tenant that takes all keys, against unbounded memory, and
/// against limits that stay exhausted after keys have expired.
#[test]
fn keys_are_limited_per_tenant_and_in_total() {
    let mut table = small_table();
    let mut try_issue = |at, name, n| match table.issue(ms(at), &tenant(name), n) {
        Ok(keys) => Ok(keys.len()),
        Err(refusal) => Err((refusal.kind, refusal.retry_after)),
    };
    assert_eq!(try_issue(0, "t", 0), Err((ErrorKind::BadRequest, None)));
    assert_eq!(try_issue(0, "t", 5), Err((ErrorKind::BadRequest, None)));
    assert_eq!(try_issue(0, "t", 3), Ok(3));
    let wait = Some(Millis(90));
    assert_eq!(try_issue(10, "t", 2), Err((ErrorKind::TenantLimit, wait)));
    assert_eq!(try_issue(10, "u", 3), Ok(3));
    assert_eq!(try_issue(10, "v", 1), Err((ErrorKind::Overloaded, wait)));
    assert_eq!(try_issue(100, "t", 3), Ok(3));
}

/// Guards against outcomes that exhaust the memory: at the limit, further keys are
/// refused as not run, and no recorded outcome is dropped.
#[test]
fn recorded_outcomes_are_limited_in_bytes() {
    let mut table = small_table();
    let (first, second) = (issue(&mut table), issue(&mut table));
    let execution = run(&mut table, 0, &first);
    table.finish(ms(1), execution, done("more than ten bytes"));
    let full = Begin::Done(ExecuteOutcome::NotRun {
        kind: ErrorKind::Overloaded,
        retry_after: Some(Millis(1_000)),
    });
    assert_eq!(begin(&mut table, 2, &second), full);
    assert_eq!(begin(&mut table, 3, &second), full, "the key is used up");
    let kept = Begin::Done(done("more than ten bytes"));
    assert_eq!(begin(&mut table, 2, &first), kept);
}
