//! Deterministic search results, which a checker can compute independently.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Largest number of hits of one shard for a query.
const MAX_HITS: u64 = 40;

/// Scores have 10 fractional bits, so that JSON represents them exactly.
const SCORE_STEPS: u64 = 1 << 20;
const SCORE_SCALE: f64 = 1024.0;

/// A search hit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Hit id, see [`HitId`].
    pub id: String,
    /// Score; higher is better.
    pub score: f64,
}

/// Result of one shard for one query.
#[derive(Debug, Clone, PartialEq)]
pub struct SearchResult {
    /// Hits in the shard, 0 to 40.
    pub count: u64,
    /// The best `limit` hits, by descending score, then by id.
    pub hits: Vec<Hit>,
}

/// The parts of a hit id: `VERSION.SHARD.QUERYHASH.NUMBER`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HitId {
    /// Version of the index.
    pub version: u64,
    /// Id of the shard.
    pub shard: String,
    /// Hash of the query text.
    pub query: u64,
    /// Number of the hit within its shard and query.
    pub number: u64,
}

impl HitId {
    /// Hash of a query text, as used in hit ids.
    pub fn query_hash(query: &str) -> u64 {
        xxh3_64(query.as_bytes())
    }
}

impl fmt::Display for HitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            shard,
            query,
            number,
        } = self;
        write!(f, "{version}.{shard}.{query:016x}.{number}")
    }
}

impl FromStr for HitId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = || {
            let (version, rest) = text.split_once('.')?;
            let (rest, number) = rest.rsplit_once('.')?;
            let (shard, query) = rest.rsplit_once('.')?;
            Some(Self {
                version: version.parse().ok()?,
                shard: shard.to_string(),
                query: u64::from_str_radix(query, 16).ok()?,
                number: number.parse().ok()?,
            })
        };
        parse().ok_or_else(|| format!("`{text}` is not a hit id of the stand-in"))
    }
}

/// Result of `query` on `shard` at index version `version`.
///
/// ```
/// use standin_backend::search_shard;
///
/// let all = search_shard("ladle", "7", 41, 100);
/// assert_eq!(all.count as usize, all.hits.len());
/// assert_eq!(search_shard("ladle", "7", 41, 3).hits, all.hits[..all.hits.len().min(3)]);
/// ```
pub fn search_shard(query: &str, shard: &str, version: u64, limit: usize) -> SearchResult {
    let query = HitId::query_hash(query);
    let seed = xxh3_64_with_seed(shard.as_bytes(), query ^ version);
    let count = seed % (MAX_HITS + 1);
    let mut hits: Vec<Hit> = (0..count)
        .map(|number| {
            let hash = xxh3_64_with_seed(&number.to_le_bytes(), seed);
            let id = HitId {
                version,
                shard: shard.to_string(),
                query,
                number,
            };
            Hit {
                id: id.to_string(),
                score: (hash % SCORE_STEPS) as f64 / SCORE_SCALE,
            }
        })
        .collect();
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    hits.truncate(limit);
    SearchResult { count, hits }
}
