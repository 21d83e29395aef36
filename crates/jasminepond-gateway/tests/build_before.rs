//! Messages that daemons of the builds before (b5f13ec, 64d0a00) send and understand.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jasminepond_discovery::{Change, Changes, Confirmation, Era, Position, Snapshot};
use jasminepond_forward::{
    Backend, CallerId, DelegatedPart, DelegationRequest, EvacuatedZones, Scope,
};
use jasminepond_gateway::{read_headers, write_headers};
use jasminepond_membership::Message as MemberMessage;
use jasminepond_quarantine::{Evidence, Fingerprint, Message};
use jasminepond_ratelimit::Message as LimitMessage;
use jasminepond_routes::{Release, ReleaseVersion};
use jasminepond_types::Millis;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use test_case::test_case;

/// Headers of a part that b5f13ec delegated.
const RECORDED: [(&str, &str); 4] = [
    ("x-jasminepond-shards", "10"),
    ("x-jasminepond-shard-set", "17760946852244074613"),
    ("x-jasminepond-answer-within", "29"),
    ("x-jasminepond-max-attempts", "2"),
];

fn recorded() -> HeaderMap {
    let header = |(name, value): (&'static str, &'static str)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    };
    RECORDED.into_iter().map(header).collect()
}

/// Guards against refusing parts that the build before delegates.
#[test]
fn a_recorded_part_is_understood() {
    let read = read_headers(&recorded()).unwrap();
    let part = DelegatedPart {
        scope: Scope::Shards(vec![10]),
        answer_within: Duration::from_millis(29),
        min_shards: 1,
        repeat: false,
        max_attempts: 2,
        admitted: false,
        resumes: false,
    };
    assert_eq!(
        (read.part, read.shard_set),
        (part, 17_760_946_852_244_074_613)
    );
}

const TERMS: &str =
    "release=3 top-k=50 attempts=2 repeat=1 timeout-ms=1200 objective-ms=80 priority=1";

/// Guards against further headers that the builds before do not know where no request is
/// suspected. They pass the terms on to servers, which ignore them.
#[test]
fn parts_of_ordinary_requests_are_delegated_as_before() {
    let delegation = DelegationRequest {
        shards: Some([10].into()),
        shard_set: 17_760_946_852_244_074_613,
        release: ReleaseVersion(3),
        terms: TERMS.parse().ok(),
        answer_within: Millis(29),
        min_shards: 1,
        repeat: false,
        max_attempts: 2,
        admitted: false,
        resumes: false,
        caller: None,
    };
    let mut bytes = Vec::new();
    write_headers(&mut bytes, &delegation);
    let expected = RECORDED.iter().chain(&[("x-jasminepond-terms", TERMS)]);
    let expected: String = expected
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    assert_eq!(String::from_utf8(bytes).unwrap(), expected);
}

/// Guards against refusing the parts of builds that do not state the terms of searches, and
/// against handling a part by other terms because some are malformed.
#[test]
fn the_terms_of_a_part_are_optional_but_complete() {
    assert_eq!(read_headers(&recorded()).unwrap().terms, None);
    let read = |terms: &'static str| {
        let mut headers = recorded();
        headers.insert("x-jasminepond-terms", HeaderValue::from_static(terms));
        read_headers(&headers).map(|read| read.terms)
    };
    assert_eq!(read(TERMS), Some(TERMS.parse().ok()));
    assert_eq!(read("release=3 top-k=50"), None);
}

/// Guards against refusing the parts of builds that do not name the caller, and against taking
/// the value of another build for a malformed part.
#[test_case("", None; "a build before the header")]
#[test_case("00000000000000ff", Some(CallerId(255)); "this build")]
#[test_case("not a hash", None; "an unknown format")]
fn the_caller_of_a_part_is_optional(value: &'static str, expected: Option<CallerId>) {
    let mut headers = recorded();
    if !value.is_empty() {
        headers.insert("x-jasminepond-caller", HeaderValue::from_static(value));
    }
    assert_eq!(read_headers(&headers).unwrap().caller, expected);
}

/// Guards against credentials of callers in messages between daemons.
#[test]
fn a_part_names_its_caller_by_a_hash() {
    let caller = CallerId::from_authorization(b"Bearer secret");
    let delegation = DelegationRequest {
        shards: Some([10].into()),
        shard_set: 1,
        release: ReleaseVersion(3),
        terms: None,
        answer_within: Millis(29),
        min_shards: 1,
        repeat: false,
        max_attempts: 2,
        admitted: false,
        caller: Some(caller),
        resumes: false,
    };
    let mut bytes = Vec::new();
    write_headers(&mut bytes, &delegation);
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.ends_with(&format!("x-jasminepond-caller: {caller}\r\n")));
    assert!(!text.contains("secret"));
}

/// Guards against datagrams about suspected requests that the build before takes for others.
#[test]
fn evidence_is_no_message_of_membership_or_limits() {
    for records in 0..=16 {
        let evidence = Evidence {
            fingerprint: Fingerprint::default(),
            ends: vec![1, 2, 3],
            ended_age: Some(Duration::from_millis(5)),
            failed_trials: 1,
            trial_age: Some(Duration::ZERO),
            cleared_age: None,
            forbidden: false,
        };
        let bytes = Message(vec![evidence; records]).encode();
        assert!(!LimitMessage::is_encoded(&bytes));
        assert!(MemberMessage::decode(&bytes).is_err());
        assert!(bytes.len() <= 1_200);
    }
}

/// Changes of the store as 64d0a00 sends and reads them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ChangesBefore {
    position: Position,
    changes: Vec<Change>,
}

/// A state of the store as 64d0a00 sends and reads it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct SnapshotBefore {
    position: Position,
    release: Option<Box<Release>>,
    backends: Vec<Backend>,
    #[serde(default)]
    settles_in: Millis,
}

fn recode<T: DeserializeOwned>(value: &impl Serialize) -> T {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// Guards against fields of states and changes that the other build refuses or needs.
#[test]
fn states_of_the_store_are_understood_both_ways() {
    let position = Position::new(Era(1), 7);
    let removed = Change::BackendRemoved {
        id: "a".to_owned(),
        reason: "removed".to_owned(),
    };
    let confirmation = Some(Confirmation {
        age: Millis(20),
        held: Millis(300),
    });
    let evacuated: Option<EvacuatedZones> = Some(["za"].into_iter().collect());
    let changes = Changes {
        position,
        changes: vec![removed],
        listed: true,
        release: Some(ReleaseVersion(3)),
        settles_in: Millis(100),
        confirmation,
        evacuated: evacuated.clone(),
    };
    let before: ChangesBefore = recode(&changes);
    assert_eq!(
        (before.position, &before.changes),
        (position, &changes.changes)
    );
    let now: Changes = recode(&before);
    let expected = Changes {
        listed: false,
        release: None,
        settles_in: Millis(0),
        confirmation: None,
        // Not the empty set: the other build does not know.
        evacuated: None,
        ..changes
    };
    assert_eq!(now, expected);

    let snapshot = Snapshot {
        position,
        release: Some(Box::new(Release::default())),
        backends: Vec::new(),
        settles_in: Millis(5),
        confirmation,
        evacuated,
    };
    let before: SnapshotBefore = recode(&snapshot);
    assert_eq!((before.position, before.settles_in), (position, Millis(5)));
    let now: Snapshot = recode(&before);
    assert_eq!(recode::<Snapshot>(&snapshot), snapshot);
    let expected = Snapshot {
        confirmation: None,
        evacuated: None,
        ..snapshot
    };
    assert_eq!(now, expected);
}

/// Guards against a change that the build before cannot decode.
#[test]
fn evacuated_zones_are_no_change_on_the_wire() {
    let change = Change::Evacuated(["za"].into_iter().collect());
    assert!(ciborium::into_writer(&change, Vec::new()).is_err());
}
