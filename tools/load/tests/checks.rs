//! Each kind of incorrect answer must be detected: performance figures are
//! meaningless if the answers are wrong.

use std::collections::BTreeSet;

use jasminepond_load::{Answer, Violation, check};
use serde_json::{Value, json};
use standin_backend::search_shard;
use test_case::test_case;

const QUERY: &str = "ladle";
const LIMIT: usize = 5;

fn shards() -> BTreeSet<String> {
    ["a", "b", "c"].map(String::from).into()
}

/// The correct answer of the shards a and b at `version`, with c missing.
fn answer(query: &str, version: u64) -> Value {
    let mut count = 0;
    let mut hits = Vec::new();
    for shard in ["a", "b"] {
        let found = search_shard(query, shard, version, LIMIT);
        count += found.count;
        hits.extend(found.hits.into_iter().map(|h| (h, shard)));
    }
    hits.sort_by(|(a, _), (b, _)| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits.truncate(LIMIT);
    let hits: Vec<_> = hits
        .into_iter()
        .map(|(h, shard)| json!({"id": h.id, "score": h.score, "shard": shard}))
        .collect();
    let missing = json!([{"shard": "c", "reason": "timeout"}]);
    json!({
        "snapshot": version,
        "coverage": {"shards": 3, "answered": 2, "missing": missing},
        "count": count,
        "hits": hits,
        "elapsed_ms": 3,
    })
}

fn violations(answer: Value) -> BTreeSet<Violation> {
    let answer: Answer = serde_json::from_value(answer).expect("answer is readable");
    check(&answer, QUERY, LIMIT, &shards())
}

/// Guards against false positives.
#[test_case(answer(QUERY, 41); "number as snapshot")]
#[test_case({ let mut a = answer(QUERY, 41); a["snapshot"] = json!("v41"); a }; "text as snapshot")]
fn correct_answer_has_no_violations(answer: Value) {
    assert_eq!(violations(answer), BTreeSet::new());
}

#[test_case(|a| a["hits"] = answer("other", 41)["hits"].clone(), Violation::ForeignHit; "hits of another query")]
#[test_case(|a| a["hits"][0] = answer(QUERY, 42)["hits"][0].clone(), Violation::MixedVersions; "one hit of another version")]
#[test_case(|a| a["snapshot"] = json!(42), Violation::MixedVersions; "hits of another version than the snapshot")]
#[test_case(|a| a["hits"][0]["shard"] = json!("c"), Violation::WrongShard; "hit with another shard")]
#[test_case(|a| a["hits"][0]["id"] = json!("x"), Violation::UnknownHit; "unknown hit")]
#[test_case(|a| a["hits"][1] = a["hits"][0].clone(), Violation::RepeatedHit; "hit counted twice")]
#[test_case(|a| a["coverage"]["missing"][0]["shard"] = a["hits"][0]["shard"].clone(), Violation::HitOfMissingShard; "missing shard with a hit")]
#[test_case(|a| a["coverage"]["answered"] = json!(3), Violation::CoverageSum; "shard counted as answered and missing")]
#[test_case(|a| a["coverage"]["missing"] = json!([]), Violation::CoverageSum; "missing shard not listed")]
#[test_case(|a| a["coverage"]["shards"] = json!(2), Violation::WrongShardCount; "shards left out")]
#[test_case(|a| a["coverage"]["missing"][0]["shard"] = json!("z"), Violation::WrongMissing; "unknown missing shard")]
#[test_case(|a| a["count"] = json!(a["count"].as_u64().unwrap() + 1), Violation::WrongCount; "late answer counted")]
#[test_case(|a| { a["hits"].as_array_mut().unwrap().remove(0); }, Violation::WrongHits; "best hit lost")]
#[test_case(|a| a["hits"].as_array_mut().unwrap().reverse(), Violation::WrongHits; "hits out of order")]
fn incorrect_answer_is_detected(change: fn(&mut Value), expected: Violation) {
    let mut wrong = answer(QUERY, 41);
    change(&mut wrong);
    let found = violations(wrong);
    assert!(found.contains(&expected), "found {found:?}");
}

/// Without a shard map, hits of another version or query must still be detected.
#[test]
fn versions_and_queries_are_checked_without_a_shard_map() {
    let mut wrong = answer("other", 41);
    wrong["hits"][0] = answer("other", 42)["hits"][0].clone();
    let answer: Answer = serde_json::from_value(wrong).unwrap();
    let found = check(&answer, QUERY, LIMIT, &BTreeSet::new());
    let expected = BTreeSet::from([Violation::ForeignHit, Violation::MixedVersions]);
    assert_eq!(found, expected);
}
