//! Messages that daemons of the build before (b5f13ec) send and understand.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jasminepond_forward::{DelegatedPart, DelegationRequest, Scope};
use jasminepond_gateway::{read_headers, write_headers};
use jasminepond_membership::Message as MemberMessage;
use jasminepond_quarantine::{Evidence, Fingerprint, Message};
use jasminepond_ratelimit::Message as LimitMessage;
use jasminepond_routes::ReleaseVersion;
use jasminepond_types::Millis;

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
    };
    assert_eq!(
        (read.part, read.shard_set),
        (part, 17_760_946_852_244_074_613)
    );
}

/// Guards against headers that the build before does not know where no request is suspected.
#[test]
fn parts_of_ordinary_requests_are_delegated_as_before() {
    let delegation = DelegationRequest {
        shards: Some([10].into()),
        shard_set: 17_760_946_852_244_074_613,
        release: ReleaseVersion(3),
        answer_within: Millis(29),
        min_shards: 1,
        repeat: false,
        max_attempts: 2,
        admitted: false,
    };
    let mut bytes = Vec::new();
    write_headers(&mut bytes, &delegation);
    let expected: String = RECORDED
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    assert_eq!(String::from_utf8(bytes).unwrap(), expected);
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
