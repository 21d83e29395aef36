//! Validation of search answers against the deterministic hits of the
//! stand-in servers.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use standin_backend::{HitId, search_shard};

/// Answer to `POST /v1/search`.
#[derive(Debug, Clone, Deserialize)]
pub struct Answer {
    /// Snapshot version; a JSON number or string.
    #[serde(deserialize_with = "text")]
    pub snapshot: String,
    /// Coverage of the answer.
    pub coverage: Coverage,
    /// Total number of hits in the shards that answered.
    pub count: u64,
    /// Best hits, in descending order of score.
    pub hits: Vec<HitAnswer>,
}

/// Coverage of an answer.
#[derive(Debug, Clone, Deserialize)]
pub struct Coverage {
    /// Shards of the snapshot.
    pub shards: u64,
    /// Shards that answered.
    pub answered: u64,
    /// Shards that did not answer.
    #[serde(default)]
    pub missing: Vec<Missing>,
}

/// A shard that did not answer.
#[derive(Debug, Clone, Deserialize)]
pub struct Missing {
    /// Shard.
    #[serde(deserialize_with = "text")]
    pub shard: String,
    /// Why the shard did not answer.
    pub reason: String,
}

/// A hit of an answer.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HitAnswer {
    /// Hit id.
    pub id: String,
    /// Score.
    pub score: f64,
    /// Shard that returned the hit.
    #[serde(deserialize_with = "text")]
    pub shard: String,
}

fn text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(match Value::deserialize(deserializer)? {
        Value::String(text) => text,
        other => other.to_string(),
    })
}

/// An inconsistency in a search answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A hit id is not a document id of the stand-in servers.
    UnknownHit,
    /// A hit belongs to another query.
    ForeignHit,
    /// A hit has another version than the snapshot.
    MixedVersions,
    /// The shard of a hit differs from the one in its id, or is not one of the group.
    WrongShard,
    /// A hit appears twice.
    RepeatedHit,
    /// A hit comes from a shard reported as missing.
    HitOfMissingShard,
    /// The answered and missing shards do not add up to the total.
    CoverageSum,
    /// The total is not the number of shards of the group.
    WrongShardCount,
    /// A missing shard is listed twice, or is not one of the group.
    WrongMissing,
    /// `count` is not the sum of the hit counts of the shards that answered.
    WrongCount,
    /// The hits are not the best ones of the shards that answered, in order.
    WrongHits,
}

/// Checks an answer to `query` with `limit`. `shards` are the shards of the group; if
/// empty, the checks that depend on them are skipped.
pub fn check(
    answer: &Answer,
    query: &str,
    limit: usize,
    shards: &BTreeSet<String>,
) -> BTreeSet<Violation> {
    let mut violations = check_hits(answer, query);
    let coverage = &answer.coverage;
    if coverage.answered + coverage.missing.len() as u64 != coverage.shards {
        violations.insert(Violation::CoverageSum);
    }
    let missing: BTreeSet<_> = coverage.missing.iter().map(|m| m.shard.clone()).collect();
    if missing.len() != coverage.missing.len() {
        violations.insert(Violation::WrongMissing);
    }
    if answer.hits.iter().any(|h| missing.contains(&h.shard)) {
        violations.insert(Violation::HitOfMissingShard);
    }
    if shards.is_empty() {
        return violations;
    }
    if coverage.shards != shards.len() as u64 {
        violations.insert(Violation::WrongShardCount);
    }
    if !missing.is_subset(shards) {
        violations.insert(Violation::WrongMissing);
    }
    if answer.hits.iter().any(|h| !shards.contains(&h.shard)) {
        violations.insert(Violation::WrongShard);
    }
    if let Some(version) = version(answer) {
        let answered = shards.difference(&missing);
        violations.extend(check_contents(answer, query, limit, version, answered));
    }
    violations
}

/// The version of the snapshot. Falls back to that of the first hit if the name of
/// the snapshot does not end in a number.
fn version(answer: &Answer) -> Option<u64> {
    let first = || {
        let id = answer.hits.first()?.id.parse::<HitId>().ok()?;
        Some(id.version)
    };
    snapshot_version(&answer.snapshot).or_else(first)
}

fn snapshot_version(snapshot: &str) -> Option<u64> {
    let start = snapshot
        .trim_end_matches(|c: char| c.is_ascii_digit())
        .len();
    snapshot[start..].parse().ok()
}

fn check_hits(answer: &Answer, query: &str) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    let mut seen = BTreeSet::new();
    let hash = HitId::query_hash(query);
    let version = version(answer);
    for hit in &answer.hits {
        if !seen.insert(&hit.id) {
            violations.insert(Violation::RepeatedHit);
        }
        let Ok(id) = hit.id.parse::<HitId>() else {
            violations.insert(Violation::UnknownHit);
            continue;
        };
        if id.query != hash {
            violations.insert(Violation::ForeignHit);
        }
        if Some(id.version) != version {
            violations.insert(Violation::MixedVersions);
        }
        if id.shard != hit.shard {
            violations.insert(Violation::WrongShard);
        }
    }
    violations
}

fn check_contents<'a>(
    answer: &Answer,
    query: &str,
    limit: usize,
    version: u64,
    answered: impl Iterator<Item = &'a String>,
) -> Vec<Violation> {
    let mut count = 0;
    let mut expected = Vec::new();
    for shard in answered {
        let expected_documents = search_shard(query, shard, version, limit);
        count += expected_documents.count;
        expected.extend(expected_documents.hits.into_iter().map(|hit| HitAnswer {
            id: hit.id,
            score: hit.score,
            shard: shard.clone(),
        }));
    }
    expected.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    expected.truncate(limit);
    let mut violations = Vec::new();
    if count != answer.count {
        violations.push(Violation::WrongCount);
    }
    if expected != answer.hits {
        violations.push(Violation::WrongHits);
    }
    violations
}
