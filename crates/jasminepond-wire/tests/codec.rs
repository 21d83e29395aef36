//! Codec tests: round trips, compatibility with other versions, and limits.

use bytes::Bytes;
use ciborium::Value;
use jasminepond_types::{ErrorKind, Incarnation, Millis, Slots, Version, Weight};
use jasminepond_wire::*;
use proptest::prelude::*;
use test_case::test_case;

fn encode_to_vec(frame: &Frame) -> Vec<u8> {
    let mut buf = Vec::new();
    encode(frame, &mut buf).unwrap();
    buf
}

fn search(parts: u32) -> Frame {
    let part = |part| Part {
        part,
        service: format!("kits-{part}").parse().unwrap(),
        server: format!("kits-{part}-a").parse().unwrap(),
    };
    Frame::Search(Search {
        id: 1 << 40,
        tenant: "registry".parse().unwrap(),
        class: "recall-check".parse().unwrap(),
        priority: 1,
        weight: Weight(3),
        group: "kit-registry".parse().unwrap(),
        version: Version(41),
        query: "{\"kit\": \"4711\"}".into(),
        limit: 20,
        left: Millis(230),
        parts: (0..parts).map(part).collect(),
    })
}

fn hint() -> ServerHint {
    ServerHint {
        server: "kits-1-a".parse().unwrap(),
        queued: 4,
        running: 2,
        slots: Slots(2),
        service_us: 10_900,
        condition: ServerCondition::Draining,
        top_priority: 2,
        top_queued: 3,
    }
}

fn answer(hits: usize) -> PartOutcome {
    let hit = |i: usize| Hit {
        id: format!("doc-{i}").into(),
        score: Score::new(i as f64 * 0.1).unwrap(),
    };
    PartOutcome::Answer {
        version: Version(41),
        count: 1_000,
        hits: (0..hits).map(hit).collect(),
    }
}

fn failed(versions: usize) -> PartOutcome {
    PartOutcome::Failed {
        reason: PartFailure::VersionUnavailable,
        retry_after: Some(Millis(20)),
        versions: vec![Version(40); versions],
    }
}

fn parts(outcome: PartOutcome, hint: Option<ServerHint>) -> Frame {
    let part = 7;
    let items = vec![PartResult {
        part,
        outcome,
        hint,
    }];
    Frame::PartResults(PartResults { id: 9, items })
}

fn execute() -> Frame {
    Frame::Execute(Execute {
        id: 3,
        tenant: "foundry".parse().unwrap(),
        class: "orders".parse().unwrap(),
        priority: 2,
        weight: Weight(1),
        group: "dispatch".parse().unwrap(),
        server: "dispatch-1".parse().unwrap(),
        key: "jk1~entry-1".into(),
        operation: Bytes::from_static(b"{\"iron\": 3}"),
        left: Millis(900),
    })
}

fn forward() -> Frame {
    let request = CallerRequest {
        tenant: "foundry".parse().unwrap(),
        class: "orders".parse().unwrap(),
        group: "dispatch".parse().unwrap(),
        key: "jk1~entry-1".into(),
        operation: vec![b'x'; 9_000].into(),
        left: Millis(900),
    };
    Frame::ForwardExecute(ForwardExecute { id: 4, request })
}

fn executed(outcome: ExecuteOutcome) -> Frame {
    Frame::Executed(Executed { id: 3, outcome })
}

fn done() -> ExecuteOutcome {
    let result = Bytes::from_static(b"{}");
    ExecuteOutcome::Done { result }
}

fn not_run(kind: ErrorKind) -> ExecuteOutcome {
    let retry_after = Some(Millis(5));
    ExecuteOutcome::NotRun { kind, retry_after }
}

fn unknown(kind: ErrorKind, detail: &str) -> ExecuteOutcome {
    let detail = detail.into();
    ExecuteOutcome::Unknown { kind, detail }
}

fn hello() -> Frame {
    Frame::Hello(Hello {
        major: MAJOR,
        minor: MINOR,
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1 << 60),
        nonce: [200; NONCE_BYTES],
    })
}

fn every_frame() -> Vec<Frame> {
    let outcome = unknown(ErrorKind::KeyReused, "link");
    vec![
        hello(),
        Frame::Proof(Proof { mac: [255; 32] }),
        search(3),
        parts(answer(3), Some(hint())),
        parts(answer(MAX_HITS), None),
        parts(failed(2), None),
        Frame::Cancel(Cancel {
            id: 9,
            parts: vec![1, 70_000],
        }),
        execute(),
        executed(done()),
        executed(not_run(ErrorKind::Overloaded)),
        forward(),
        Frame::ForwardExecuted(ForwardExecuted { id: 4, outcome }),
        Frame::Credit { n: 64 },
        Frame::Sync {
            payload: vec![7; 1_000_000].into(),
        },
        Frame::Goodbye,
        Frame::Ping { n: 5 },
        Frame::Pong { n: u64::MAX },
    ]
}

/// Guards against fields encoded in another order than they are decoded, and against
/// a configuration value of 1 MB that does not fit into a frame.
#[test]
fn every_frame_round_trips() {
    for frame in every_frame() {
        assert_eq!(decode(&encode_to_vec(&frame)), Ok(frame));
    }
}

/// Appends a field to each array up to the given nesting depth.
fn append(value: &mut Value, depth: usize) {
    if let Value::Array(elements) = value
        && depth > 0
    {
        elements.iter_mut().for_each(|e| append(e, depth - 1));
        elements.push(Value::Map(vec![(1.into(), Value::Array(vec![]))]));
    }
}

/// Guards against rejecting frames to which a newer minor version added a field.
#[test]
fn appended_fields_are_skipped() {
    for frame in every_frame() {
        let mut value: Value = ciborium::from_reader(&encode_to_vec(&frame)[..]).unwrap();
        append(&mut value, 1);
        let mut buf = Vec::new();
        ciborium::into_writer(&value, &mut buf).unwrap();
        assert_eq!(decode(&buf), Ok(frame));
    }
}

fn edit(frame: &Frame, path: &[usize], change: impl FnOnce(&mut Vec<Value>)) -> Vec<u8> {
    let mut value: Value = ciborium::from_reader(&encode_to_vec(frame)[..]).unwrap();
    let array = path.iter().fold(&mut value, |v, &i| match v {
        Value::Array(elements) => &mut elements[i],
        _ => panic!("no array at {i}"),
    });
    change(array.as_array_mut().unwrap());
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).unwrap();
    buf
}

/// Guards against misreading the element that follows a nested array to which a
/// newer minor version added a field.
#[test_case(search(3), &[11, 1]; "part")]
#[test_case(parts(answer(3), Some(hint())), &[2, 0]; "answered item")]
#[test_case(parts(failed(1), Some(hint())), &[2, 0]; "failed item")]
#[test_case(parts(answer(3), Some(hint())), &[2, 0, 1]; "hint")]
fn appended_nested_fields_are_skipped(frame: Frame, path: &[usize]) {
    let buf = edit(&frame, path, |array| array.push("new".into()));
    assert_eq!(decode(&buf), Ok(frame));
}

/// Guards against rejecting the shorter array of an older minor version.
#[test]
fn missing_optional_fields_are_defaulted() {
    let buf = edit(&parts(failed(1), None), &[2, 0], |item| item.truncate(4));
    let outcome = PartOutcome::Failed {
        reason: PartFailure::VersionUnavailable,
        retry_after: None,
        versions: vec![],
    };
    assert_eq!(decode(&buf), Ok(parts(outcome, None)));
}

/// Guards against closing the link on a value that a newer minor version added, and
/// against decoding such a value as a successful result.
#[test]
fn unknown_values_decode_to_unknown_or_failed() {
    let kind = edit(&Frame::Goodbye, &[], |f| {
        *f = vec![99.into(), Value::Null, "x".into()];
    });
    assert_eq!(decode(&kind), Ok(Frame::Unknown { kind: 99 }));
    let reason = edit(&parts(failed(0), None), &[2, 0], |item| item[3] = 77.into());
    let code = edit(&parts(answer(1), None), &[2, 0], |item| item[2] = 77.into());
    for buf in [reason, code] {
        let Ok(Frame::PartResults(parts)) = decode(&buf) else {
            panic!("frame was not decoded")
        };
        let PartOutcome::Failed { reason, .. } = parts.items[0].outcome else {
            panic!("unknown outcome was decoded as an answer")
        };
        assert_eq!(reason, PartFailure::Failed);
    }
}

fn outcome_with(outcome: ExecuteOutcome, name: &str, value: Value) -> ExecuteOutcome {
    let buf = edit(&executed(outcome), &[], |frame| {
        let fields = frame[2].as_map_mut().unwrap();
        fields.retain(|(key, _)| key.as_text() != Some(name));
        fields.push((name.into(), value));
    });
    match decode(&buf) {
        Ok(Frame::Executed(executed)) => executed.outcome,
        other => panic!("{other:?}"),
    }
}

/// Guards against reporting a request that may have run as not run, and a request
/// that did not run as unknown because its error kind is new to this version
/// (P4, P5).
#[test]
fn unknown_execute_outcomes_keep_the_guarantee() {
    use ErrorKind::*;
    let unknown_code = outcome_with(done(), "code", 9.into());
    assert_eq!(unknown_code, unknown(OutcomeUnknown, ""));
    let without_result = outcome_with(not_run(Overloaded), "code", 0.into());
    assert_eq!(without_result, unknown(OutcomeUnknown, ""));
    let new_kind = outcome_with(not_run(Draining), "kind", "new_kind".into());
    assert_eq!(new_kind, not_run(Overloaded));
    let may_have_run = outcome_with(not_run(Draining), "kind", "key_reused".into());
    assert_eq!(may_have_run, unknown(KeyReused, ""));
    let not_run_kind = outcome_with(unknown(Internal, "d"), "kind", "draining".into());
    assert_eq!(not_run_kind, unknown(OutcomeUnknown, "d"));
}

/// Guards against sending frames for which the receiver would close the link.
#[test_case(search(MAX_PARTS as u32 + 1); "parts")]
#[test_case(parts(answer(MAX_HITS + 1), None); "hits")]
#[test_case(parts(failed(MAX_VERSIONS + 1), None); "versions")]
#[test_case(Frame::Cancel(Cancel { id: 1, parts: vec![0; MAX_PARTS + 1] }); "cancelled parts")]
#[test_case(Frame::Sync { payload: vec![0; MAX_FRAME_BYTES].into() }; "frame")]
#[test_case(Frame::Unknown { kind: 99 }; "unknown kind")]
fn frames_over_a_limit_are_not_encoded(frame: Frame) {
    let mut buf = vec![1, 2, 3];
    assert!(encode(&frame, &mut buf).is_err());
    assert_eq!(buf, [1, 2, 3]);
}

/// A frame cut off after the header of a list that declares 2^32 - 1 elements.
fn truncated_list(frame: &Frame, keep: usize) -> Vec<u8> {
    let start = edit(frame, &[], |fields| fields.truncate(keep));
    let mut buf = vec![0x80 | (keep as u8 + 1)];
    buf.extend_from_slice(&start[1..]);
    buf.extend_from_slice(&[0x9a, 0xff, 0xff, 0xff, 0xff]);
    buf
}

/// Guards against allocating memory for a list that a short frame merely declares:
/// the declared length must be rejected before the first element is read.
#[test_case(truncated_list(&search(0), 11), "at most 4096"; "parts")]
#[test_case(truncated_list(&parts(failed(0), None), 2), "at most 4096"; "items")]
#[test_case(truncated_list(&Frame::Cancel(Cancel { id: 1, parts: vec![] }), 2), "at most 4096"; "cancel")]
fn excessive_declared_length_is_rejected_before_reading(buf: Vec<u8>, text: &str) {
    let Err(DecodeError::Invalid(message)) = decode(&buf) else {
        panic!("frame was accepted")
    };
    assert!(message.contains(text), "{message}");
}

/// Guards against a hit with the score of another hit or with a score that has no
/// total order.
#[test_case(f64::NAN.to_le_bytes().to_vec(); "not a number")]
#[test_case(f64::INFINITY.to_le_bytes().to_vec(); "infinite")]
#[test_case(vec![]; "missing")]
#[test_case(vec![0; 7]; "truncated")]
#[test_case(vec![0; 16]; "one too many")]
fn invalid_scores_are_rejected(scores: Vec<u8>) {
    let buf = edit(&parts(answer(1), None), &[2, 0], |item| {
        item[6] = Value::Bytes(scores);
    });
    assert!(decode(&buf).is_err());
}

/// Guards against unlimited memory use through a list of indefinite length, an
/// oversized id or an oversized frame, and against bytes after the frame.
#[test]
fn size_limits_are_enforced() {
    let indefinite = [&[0x83, 5, 1, 0x9f][..], &vec![0; MAX_PARTS + 1], &[0xff]].concat();
    assert!(decode(&indefinite).is_err());
    let large = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(decode(&large), Err(DecodeError::TooLarge(large.len())));
    let long_id = edit(&parts(answer(1), None), &[2, 0, 5], |ids| {
        ids[0] = "x".repeat(Hit::MAX_ID_BYTES + 1).into();
    });
    assert!(decode(&long_id).is_err());
    let mut trailing = encode_to_vec(&Frame::Goodbye);
    trailing.push(0);
    assert_eq!(decode(&trailing), Err(DecodeError::Trailing(1)));
}

proptest! {
    /// Guards against a panic or an infinite loop on corrupted or malicious input.
    #[test]
    fn corrupted_frames_do_not_panic(
        index in 0usize..17,
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let frame = &every_frame()[index];
        let mut buf = encode_to_vec(frame);
        buf.truncate(20_000);
        for (at, value) in flips {
            let at = at.index(buf.len());
            buf[at] = value;
        }
        let _ = decode(&buf);
        let _ = decode(&buf[..cut.index(buf.len())]);
    }

    /// Guards against numbers and texts that change in a round trip.
    #[test]
    fn any_part_results_round_trip(
        id: u64, part: u32, count: u64, version: u64,
        scores in prop::collection::vec((".{0,40}", -1e300..1e300), 0..30),
    ) {
        let hit = |(id, score): (String, f64)| Hit { id: id.into(), score: Score::new(score).unwrap() };
        let hits = scores.into_iter().map(hit).collect();
        let outcome = PartOutcome::Answer { version: Version(version), count, hits };
        let items = vec![PartResult { part, outcome, hint: None }];
        let frame = Frame::PartResults(PartResults { id, items });
        prop_assert_eq!(decode(&encode_to_vec(&frame)), Ok(frame));
    }
}
