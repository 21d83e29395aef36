//! Tier mode: requests through the daemons.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    Answer, Arrival, Stream, check,
    pool::{Failure, Pool},
    stats::{Outcome, SearchOutcome},
};

/// How long after the deadline a response is still accepted, so that late responses
/// are counted as such.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub(crate) struct Tier {
    daemons: Vec<(SocketAddr, Pool)>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorAnswer,
}

#[derive(Deserialize)]
struct ErrorAnswer {
    kind: String,
    #[serde(default)]
    not_run: bool,
}

impl Tier {
    pub fn new(daemons: &[SocketAddr], connections: usize) -> Self {
        let pool = |address: &SocketAddr| (*address, Pool::new(*address, connections));
        Self {
            daemons: daemons.iter().map(pool).collect(),
        }
    }

    pub async fn search(
        &self,
        arrival: &Arrival,
        stream: &Stream,
        shards: &BTreeSet<String>,
        started: Instant,
    ) -> Outcome {
        let body = json!({
            "tenant": stream.tenant,
            "class": stream.class,
            "group": stream.group,
            "query": arrival.text,
            "limit": stream.limit,
            "deadline_ms": stream.deadline_ms,
        });
        let until = started + Duration::from_millis(stream.deadline_ms) + RESPONSE_GRACE;
        let response = match self.call(arrival, "/v1/search", &body, until).await {
            Ok(response) => response,
            Err(failure) => return failed(failure, None),
        };
        if response.status() != 200 {
            return refused(&response, None);
        }
        let Ok(answer) = serde_json::from_slice::<Answer>(response.body()) else {
            return unreadable_response(None);
        };
        let violations = check(&answer, &arrival.text, stream.limit, shards);
        let sample = (!violations.is_empty()).then(|| {
            let body = String::from_utf8_lossy(response.body()).into_owned();
            format!("{violations:?} for `{}`: {body}", arrival.text)
        });
        Outcome::Search(SearchOutcome {
            shards: answer.coverage.shards,
            answered: answer.coverage.answered,
            missing: answer
                .coverage
                .missing
                .into_iter()
                .map(|m| m.reason)
                .collect(),
            violations: violations.into_iter().collect(),
            sample,
        })
    }

    pub async fn execute(&self, arrival: &Arrival, stream: &Stream, started: Instant) -> Outcome {
        let until = started + Duration::from_millis(stream.deadline_ms) + RESPONSE_GRACE;
        let body = json!({ "tenant": stream.tenant, "count": 1 });
        let key = match self.call(arrival, "/v1/keys", &body, until).await {
            Ok(response) if response.status() == 200 => first_key(&response),
            Ok(response) => return refused(&response, None),
            Err(failure) => return failed(failure, None),
        };
        let Some(key) = key else {
            return unreadable_response(None);
        };
        let body = json!({
            "tenant": stream.tenant,
            "class": stream.class,
            "group": stream.group,
            "key": key,
            "operation": arrival.text,
            "deadline_ms": stream.deadline_ms,
        });
        match self.call(arrival, "/v1/execute", &body, until).await {
            Ok(response) if response.status() == 200 => done(&response, key),
            Ok(response) => refused(&response, Some(key)),
            Err(failure) => failed(failure, Some(key)),
        }
    }

    async fn call(
        &self,
        arrival: &Arrival,
        path: &str,
        body: &Value,
        until: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let (address, pool) = &self.daemons[arrival.number as usize % self.daemons.len()];
        let request = Request::post(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("path and headers are valid");
        pool.send(request, until).await
    }
}

fn first_key(response: &Response<Bytes>) -> Option<String> {
    #[derive(Deserialize)]
    struct Keys {
        keys: Vec<String>,
    }
    let keys: Keys = serde_json::from_slice(response.body()).ok()?;
    keys.keys.into_iter().next()
}

fn done(response: &Response<Bytes>, key: String) -> Outcome {
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    if body["outcome"] == "done" && body["key"] == *key {
        return Outcome::Done { key };
    }
    unreadable_response(Some(key))
}

fn refused(response: &Response<Bytes>, key: Option<String>) -> Outcome {
    match serde_json::from_slice::<ErrorBody>(response.body()) {
        Ok(ErrorBody { error }) => Outcome::Refused {
            kind: error.kind,
            not_run: error.not_run,
            key,
        },
        Err(_) => unreadable_response(key),
    }
}

fn unreadable_response(key: Option<String>) -> Outcome {
    Outcome::Failed {
        reason: "unreadable_response",
        key,
    }
}

pub(crate) fn failed(failure: Failure, key: Option<String>) -> Outcome {
    let reason = match failure {
        Failure::Connect => "connection_refused",
        Failure::Broken => "connection_broken",
        Failure::TimedOut { sent: true } => "no_response",
        Failure::TimedOut { sent: false } => "no_connection_in_time",
    };
    Outcome::Failed { reason, key }
}
