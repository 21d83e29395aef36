//! Validation of search answers against the documents of the stand-in servers.
//!
//! A document id is `VERSION.SHARD.QUERYHASH.NUMBER`, so a mix of
//! snapshot versions or a hit of another request is visible in the answer.

use std::collections::HashMap;

use serde_json::Value;

/// Checks answers. Keeps the hash of each query from its first hit.
#[derive(Debug, Default)]
pub struct AnswerChecker {
    hashes: HashMap<String, String>,
}

impl AnswerChecker {
    /// Returns the violations in an answer to `query`.
    pub fn check(&mut self, query: &str, answer: &Value) -> Vec<String> {
        let mut violations = Vec::new();
        let snapshot = answer["snapshot"].to_string();
        for hit in answer["hits"].as_array().into_iter().flatten() {
            let id = hit["id"].as_str().unwrap_or_default();
            let fields: Vec<&str> = id.split('.').collect();
            let [version, shard, hash, _] = fields[..] else {
                violations.push(format!("unexpected document id {id:?}"));
                continue;
            };
            if version != snapshot {
                violations.push(format!(
                    "document {id} in an answer from snapshot {snapshot}"
                ));
            }
            if hit["shard"] != shard {
                violations.push(format!("document {id} listed under shard {}", hit["shard"]));
            }
            let expected = self
                .hashes
                .entry(query.to_owned())
                .or_insert_with(|| hash.to_owned());
            if expected != hash {
                violations.push(format!("document {id} belongs to another request"));
            }
        }
        violations.extend(check_coverage(answer));
        violations
    }
}

fn check_coverage(answer: &Value) -> Option<String> {
    let coverage = &answer["coverage"];
    let shards = coverage["shards"].as_u64().unwrap_or_default();
    let answered = coverage["answered"].as_u64().unwrap_or_default();
    let missing = coverage["missing"].as_array().map_or(0, Vec::len) as u64;
    let adds_up = shards > 0 && shards == answered + missing;
    (!adds_up).then(|| format!("coverage does not add up: {coverage}"))
}
