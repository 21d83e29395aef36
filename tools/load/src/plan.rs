//! The plan: the mix of requests to send.

use std::path::Path;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::LoadError;

/// The mix of requests.
///
/// ```
/// let plan: jasminepond_load::Plan = serde_json::from_str(
///     r#"{"streams": [{"tenant": "jateng", "class": "recall", "group": "kit-registry"}]}"#,
/// ).unwrap();
/// assert_eq!(plan.streams[0].deadline_ms, 250);
/// ```
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Streams, selected by weight for each arrival.
    pub streams: Vec<Stream>,
}

/// A stream of requests of one tenant and class to one group.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Tenant.
    pub tenant: String,
    /// Class.
    pub class: String,
    /// Group.
    pub group: String,
    /// Relative frequency, default 1.
    #[serde(default = "one")]
    pub weight: f64,
    /// Kind of request, default `search`.
    #[serde(default)]
    pub kind: Kind,
    /// Maximum number of hits, default 10.
    #[serde(default = "ten")]
    pub limit: usize,
    /// Deadline in ms, default 250.
    #[serde(default = "deadline")]
    pub deadline_ms: u64,
    /// Number of distinct query texts, default 1000.
    #[serde(default = "texts")]
    pub texts: u64,
}

/// Kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// `POST /v1/search`.
    #[default]
    Search,
    /// `POST /v1/keys`, then `POST /v1/execute`.
    Execute,
}

impl Plan {
    /// Reads a plan file.
    ///
    /// # Errors
    ///
    /// [`LoadError::File`] if the file cannot be read or parsed, a weight is negative or
    /// not finite, or no stream has a positive weight.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let plan: Self = read_json(path)?;
        let valid = plan
            .streams
            .iter()
            .all(|s| s.weight.is_finite() && s.weight >= 0.0)
            && plan.streams.iter().any(|s| s.weight > 0.0);
        if valid {
            return Ok(plan);
        }
        Err(LoadError::File {
            file: path.display().to_string(),
            reason: "weights must be at least 0, one of them above 0".to_string(),
        })
    }
}

pub(crate) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, LoadError> {
    let file_error = |reason: String| LoadError::File {
        file: path.display().to_string(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| file_error(e.to_string()))
}

fn one() -> f64 {
    1.0
}

fn ten() -> usize {
    10
}

fn deadline() -> u64 {
    250
}

fn texts() -> u64 {
    1000
}
