//! Parses HTTP responses of backend servers.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use jasminepond_types::{Millis, Version};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::call::{Call, CallOutcome, Hints, NotRunReason, Reply, ServerState};

/// A response does not belong to the call or is malformed.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The response has the id of another request: requests and responses on the
    /// connection no longer match.
    #[error("response is for request {found:?}, expected {expected:?}")]
    OtherRequest {
        /// Request id of the call.
        expected: String,
        /// Request id in the response.
        found: String,
    },
    /// The body does not conform to the protocol.
    #[error("response body: {0}")]
    Body(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct ExecuteBody<'a> {
    #[serde(borrow)]
    result: &'a RawValue,
}

#[derive(Deserialize)]
struct HealthBody {
    state: ServerState,
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn hints(headers: &HeaderMap) -> Hints {
    let load = header_str(headers, "x-load").and_then(|load| {
        let (running, slots) = load.split_once('/')?;
        Some((running.parse().ok()?, slots.parse().ok()?))
    });
    Hints {
        draining: header_str(headers, "x-draining") == Some("1"),
        load,
    }
}

fn not_run(status: StatusCode, headers: &HeaderMap) -> CallOutcome {
    let reason = match status {
        StatusCode::GONE => NotRunReason::VersionUnavailable,
        StatusCode::CONFLICT => NotRunReason::WrongShard,
        StatusCode::GATEWAY_TIMEOUT => NotRunReason::Deadline,
        _ => NotRunReason::Shed,
    };
    let retry_after = header_str(headers, "retry-after-ms")
        .and_then(|ms| ms.parse().ok())
        .map(Millis);
    let versions = header_str(headers, "x-versions")
        .unwrap_or_default()
        .split(',')
        .filter_map(|version| version.trim().parse::<Version>().ok())
        .collect();
    CallOutcome::NotRun {
        reason,
        retry_after,
        versions,
    }
}

/// Turns an HTTP response into a [`Reply`] to the call with the request id `id`.
///
/// # Errors
///
/// [`ResponseError::OtherRequest`] if the response has the id of another request, and
/// [`ResponseError::Body`] if the body of a successful response is malformed. The
/// connection must be closed after either of them.
pub fn parse(
    id: &str,
    call: &Call,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Reply, ResponseError> {
    if let Some(found) = header_str(headers, "x-request-id")
        && found != id
    {
        let (expected, found) = (id.to_owned(), found.to_owned());
        return Err(ResponseError::OtherRequest { expected, found });
    }
    let outcome = if header_str(headers, "x-not-run") == Some("1") {
        not_run(status, headers)
    } else if status == StatusCode::OK {
        match call {
            Call::Search(_) => CallOutcome::Found(serde_json::from_slice(&body)?),
            Call::Execute(_) => {
                let ExecuteBody { result } = serde_json::from_slice(&body)?;
                CallOutcome::Executed(Bytes::copy_from_slice(result.get().as_bytes()))
            }
            Call::Cancel(_) => CallOutcome::Acknowledged,
            Call::Health => CallOutcome::Health(serde_json::from_slice::<HealthBody>(&body)?.state),
        }
    } else if status.as_u16() == CANCELLED_STATUS {
        CallOutcome::Cancelled
    } else {
        CallOutcome::Failed {
            status: status.as_u16(),
        }
    };
    Ok(Reply {
        outcome,
        hints: hints(headers),
    })
}

/// HTTP status of the response to a cancelled call.
const CANCELLED_STATUS: u16 = 499;
