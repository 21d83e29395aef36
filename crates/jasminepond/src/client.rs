//! The `search` and `execute` commands, and requests to a daemon.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use jasminepond_http::{SendError, connect};
use serde_json::{Value, json};

use crate::{
    EXIT_INCOMPLETE, EXIT_OK,
    args::{Execute, Search},
};

/// Timeout of a request. Daemons normally respond earlier, by the request's deadline.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A request to a daemon failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The runtime could not be set up.
    #[error("{0}")]
    Runtime(io::Error),
    /// The address is missing. Ruled out by the command line parser.
    #[error("no address")]
    NoAddress,
    /// The request failed.
    #[error("{address}: {source}")]
    Call {
        /// Address of the daemon.
        address: SocketAddr,
        /// Cause of the failure.
        source: CallError,
    },
    /// The daemon did not respond in time.
    #[error("{0}: timed out waiting for the response")]
    Timeout(SocketAddr),
    /// The operation is not JSON.
    #[error("the operation is not JSON: {0}")]
    Operation(serde_json::Error),
    /// The response lacks a required field.
    #[error("{0}: unexpected response {1}")]
    UnexpectedResponse(SocketAddr, Value),
}

/// A request has no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The daemon did not respond, or with a malformed head.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The body of the response broke off or is malformed.
    #[error(transparent)]
    Body(#[from] hyper::Error),
    /// The body of the response is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Sends a request with an optional JSON body and returns the JSON response.
pub async fn call(
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, ClientError> {
    let exchange = exchange(address, path, body);
    match compio::time::timeout(TIMEOUT, exchange).await {
        Ok(result) => result.map_err(|source| ClientError::Call { address, source }),
        Err(_) => Err(ClientError::Timeout(address)),
    }
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, CallError> {
    let req = Request::builder()
        .uri(path)
        .header("host", address.to_string());
    let req = match body {
        Some(body) => req
            .method(Method::POST)
            .header("content-type", "application/json")
            .body(Full::from(body.to_string())),
        None => req.body(Full::default()),
    };
    let mut conn = connect(address).await?;
    let res = conn.send(req?).await?;
    let body = res.into_body().collect().await?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Prints an error response.
fn print_error(error: &Value) {
    let text = |name: &str| error[name].as_str().unwrap_or_default();
    println!("{}: {}", text("kind"), text("message"));
    let not_run = error["not_run"].as_bool().unwrap_or(false);
    println!(
        "not run: {}",
        if not_run {
            "certain"
        } else {
            "unknown, it may have run"
        }
    );
    if let Some(after) = error["retry_after_ms"].as_u64() {
        println!("come back in: {after} ms");
    }
}

/// Sends a search and prints the response.
pub async fn search(search: Search) -> Result<u8, ClientError> {
    let request = search.request;
    let to = request.to.ok_or(ClientError::NoAddress)?;
    let mut body = json!({
        "tenant": request.tenant,
        "class": request.class,
        "group": request.group,
        "query": search.query,
    });
    if let Some(limit) = search.limit {
        body["limit"] = limit.into();
    }
    if let Some(deadline) = request.deadline_ms {
        body["deadline_ms"] = deadline.into();
    }
    let answer = call(to, "/v1/search", Some(&body)).await?;
    let complete = answer["coverage"]["missing"]
        .as_array()
        .is_some_and(Vec::is_empty);
    if request.json {
        println!("{answer:#}");
    } else if let Some(error) = answer.get("error") {
        print_error(error);
    } else {
        print_results(&answer);
    }
    Ok(if complete { EXIT_OK } else { EXIT_INCOMPLETE })
}

fn print_results(answer: &Value) {
    let coverage = &answer["coverage"];
    println!("snapshot: {}", answer["snapshot"]);
    println!(
        "coverage: {} of {} shards",
        coverage["answered"], coverage["shards"]
    );
    for missing in coverage["missing"].as_array().into_iter().flatten() {
        println!("  missing {}: {}", missing["shard"], missing["reason"]);
    }
    println!("matches: {}", answer["count"]);
    for hit in answer["hits"].as_array().into_iter().flatten() {
        let id = hit["id"].as_str().unwrap_or_default();
        println!(
            "  {:>10.4}  {id}",
            hit["score"].as_f64().unwrap_or_default()
        );
    }
    println!(
        "time: {:.1} ms",
        answer["elapsed_ms"].as_f64().unwrap_or_default()
    );
}

/// Sends a non-idempotent request and prints the outcome.
pub async fn execute(execute: Execute) -> Result<u8, ClientError> {
    let request = execute.request;
    let to = request.to.ok_or(ClientError::NoAddress)?;
    let operation: Value =
        serde_json::from_str(&execute.operation).map_err(ClientError::Operation)?;
    let key = match execute.key {
        Some(key) => key,
        None => new_key(to, &request.tenant).await?,
    };
    // Printed before the request is sent, so that its outcome can be queried even if
    // this process exits first.
    if !request.json {
        println!("key: {key}");
    }
    let mut body = json!({
        "tenant": request.tenant,
        "class": request.class,
        "group": request.group,
        "key": key,
        "operation": operation,
    });
    if let Some(deadline) = request.deadline_ms {
        body["deadline_ms"] = deadline.into();
    }
    let answer = call(to, "/v1/execute", Some(&body)).await?;
    if request.json {
        println!("{answer:#}");
    } else if let Some(error) = answer.get("error") {
        print_error(error);
    } else {
        println!("outcome: done");
        println!("result: {}", answer["result"]);
    }
    Ok(if answer["outcome"] == "done" {
        EXIT_OK
    } else {
        EXIT_INCOMPLETE
    })
}

async fn new_key(to: SocketAddr, tenant: &str) -> Result<String, ClientError> {
    let answer = call(to, "/v1/keys", Some(&json!({"tenant": tenant}))).await?;
    match answer["keys"][0].as_str() {
        Some(key) => Ok(key.to_owned()),
        None => Err(ClientError::UnexpectedResponse(to, answer)),
    }
}
