//! Checks single answers against what the stand-in backend servers return.
//!
//! A document id is `VERSION.SHARD.QUERYHASH.NUMBER`, so that an answer shows
//! whether it mixes versions or holds a part of another request's answer.

use std::collections::HashMap;

use serde_json::Value;

/// Remembers the hash that belongs to each query.
#[derive(Debug, Default)]
pub struct AnswerChecks {
    hashes: HashMap<String, String>,
}

impl AnswerChecks {
    /// What is wrong with an answer to `query`.
    pub fn check(&mut self, query: &str, answer: &Value) -> Vec<String> {
        let mut wrong = Vec::new();
        let snapshot = answer["snapshot"].to_string();
        for hit in answer["hits"].as_array().into_iter().flatten() {
            let id = hit["id"].as_str().unwrap_or_default();
            let fields: Vec<&str> = id.split('.').collect();
            let [version, shard, hash, _] = fields[..] else {
                wrong.push(format!("unexpected document id {id:?}"));
                continue;
            };
            if version != snapshot {
                wrong.push(format!(
                    "document {id} in an answer from snapshot {snapshot}"
                ));
            }
            if hit["shard"] != shard {
                wrong.push(format!("document {id} listed under shard {}", hit["shard"]));
            }
            let known = self
                .hashes
                .entry(query.to_owned())
                .or_insert_with(|| hash.to_owned());
            if known != hash {
                wrong.push(format!("document {id} belongs to another request"));
            }
        }
        wrong.extend(coverage(answer));
        wrong
    }
}

fn coverage(answer: &Value) -> Option<String> {
    let coverage = &answer["coverage"];
    let shards = coverage["shards"].as_u64().unwrap_or_default();
    let answered = coverage["answered"].as_u64().unwrap_or_default();
    let missing = coverage["missing"].as_array().map_or(0, Vec::len) as u64;
    let adds_up = shards > 0 && shards == answered + missing;
    (!adds_up).then(|| format!("coverage does not add up: {coverage}"))
}
