//! Checks of a search answer against the deterministic results of the stand-in.

use std::collections::BTreeSet;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use standin_backend::{HitId, search_shard};

/// Answer to `POST /v1/search`.
#[derive(Debug, Clone, Deserialize)]
pub struct Answer {
    /// Version, as a number or a text.
    #[serde(deserialize_with = "text")]
    pub snapshot: String,
    /// Coverage.
    pub coverage: Coverage,
    /// Hits in all shards that answered.
    pub count: u64,
    /// Best hits.
    pub hits: Vec<HitAnswer>,
}

/// Coverage of an answer.
#[derive(Debug, Clone, Deserialize)]
pub struct Coverage {
    /// Shards of the snapshot.
    pub shards: u64,
    /// Shards that answered.
    pub answered: u64,
    /// Shards that did not.
    #[serde(default)]
    pub missing: Vec<Missing>,
}

/// A shard that did not answer.
#[derive(Debug, Clone, Deserialize)]
pub struct Missing {
    /// Shard.
    #[serde(deserialize_with = "text")]
    pub shard: String,
    /// Reason.
    pub reason: String,
}

/// A hit of an answer.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HitAnswer {
    /// Hit id.
    pub id: String,
    /// Score.
    pub score: f64,
    /// Shard of the hit.
    #[serde(deserialize_with = "text")]
    pub shard: String,
}

fn text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(match Value::deserialize(deserializer)? {
        Value::String(text) => text,
        other => other.to_string(),
    })
}

/// A way in which an answer is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A hit id is not one of the stand-in's.
    UnknownHit,
    /// A hit belongs to another query.
    ForeignHit,
    /// Hits or snapshot differ in version.
    MixedVersions,
    /// A hit names a shard that its id does not, or a shard of no server.
    WrongShard,
    /// A hit appears twice.
    RepeatedHit,
    /// A hit comes from a shard reported as missing.
    HitOfMissingShard,
    /// Answered and missing shards do not add up to the shards.
    CoverageSum,
    /// The number of shards is not that of the group.
    WrongShardCount,
    /// A missing shard is listed twice, or is not one of the group.
    WrongMissing,
    /// `count` is not the sum over the shards that answered.
    WrongCount,
    /// The hits are not the best ones of the shards that answered, in order.
    WrongHits,
}

/// Checks an answer for `query` and `limit`; `shards` are those of the group, empty
/// if they are not known, which leaves out the checks that need them.
pub fn check(
    answer: &Answer,
    query: &str,
    limit: usize,
    shards: &BTreeSet<String>,
) -> BTreeSet<Violation> {
    let mut found = check_hits(answer, query);
    let coverage = &answer.coverage;
    if coverage.answered + coverage.missing.len() as u64 != coverage.shards {
        found.insert(Violation::CoverageSum);
    }
    let missing: BTreeSet<_> = coverage.missing.iter().map(|m| m.shard.clone()).collect();
    if missing.len() != coverage.missing.len() {
        found.insert(Violation::WrongMissing);
    }
    if answer.hits.iter().any(|h| missing.contains(&h.shard)) {
        found.insert(Violation::HitOfMissingShard);
    }
    if shards.is_empty() {
        return found;
    }
    if coverage.shards != shards.len() as u64 {
        found.insert(Violation::WrongShardCount);
    }
    if !missing.is_subset(shards) {
        found.insert(Violation::WrongMissing);
    }
    if answer.hits.iter().any(|h| !shards.contains(&h.shard)) {
        found.insert(Violation::WrongShard);
    }
    if let Some(version) = version(answer) {
        let answered = shards.difference(&missing);
        found.extend(check_contents(answer, query, limit, version, answered));
    }
    found
}

/// The version of the snapshot, or that of the first hit if the snapshot's name
/// does not end in a number.
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
    let mut found = BTreeSet::new();
    let mut seen = BTreeSet::new();
    let hash = HitId::query_hash(query);
    let version = version(answer);
    for hit in &answer.hits {
        if !seen.insert(&hit.id) {
            found.insert(Violation::RepeatedHit);
        }
        let Ok(id) = hit.id.parse::<HitId>() else {
            found.insert(Violation::UnknownHit);
            continue;
        };
        if id.query != hash {
            found.insert(Violation::ForeignHit);
        }
        if Some(id.version) != version {
            found.insert(Violation::MixedVersions);
        }
        if id.shard != hit.shard {
            found.insert(Violation::WrongShard);
        }
    }
    found
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
        let found = search_shard(query, shard, version, limit);
        count += found.count;
        expected.extend(found.hits.into_iter().map(|hit| HitAnswer {
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
