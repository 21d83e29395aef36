//! The callers' HTTP interface; `docs/API.md` describes it.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::{Method, StatusCode, header::HeaderValue};
use jasminepond_query::ExecuteOutcome;
use jasminepond_types::{ErrorKind, Millis};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{json, value::RawValue};

use crate::{
    entry::{self, ExecuteRequest, Refusal, SearchAnswer, SearchRequest},
    metrics::Metrics,
    net::http::{BufferedRequest, BufferedResponse, Handler, error_response, json_response},
};

/// HTTP handler for callers.
pub struct Api {
    /// Sends events to the entry task.
    pub entry: entry::Sender,
    /// Counts refusals.
    pub metrics: Rc<Metrics>,
    /// Set during shutdown: responses then ask clients to close the connection.
    pub closing: Rc<Cell<bool>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SearchBody {
    tenant: String,
    class: String,
    group: String,
    query: String,
    limit: Option<u32>,
    deadline_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysBody {
    tenant: String,
    #[serde(default = "one")]
    count: u32,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExecuteBody<'a> {
    tenant: String,
    class: String,
    group: String,
    key: String,
    #[serde(borrow)]
    operation: &'a RawValue,
    deadline_ms: Option<u64>,
}

/// Paths of the interface; all require POST.
const PATHS: [&str; 3] = ["/v1/search", "/v1/keys", "/v1/execute"];

impl Handler for Api {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let (entry, metrics, closing) = (
            self.entry.clone(),
            self.metrics.clone(),
            self.closing.clone(),
        );
        async move {
            let mut res = match route(entry, req).await {
                Ok(res) => res,
                Err(refusal) => {
                    metrics.refused(refusal.kind);
                    error_response(refusal.kind, &refusal.message, refusal.retry_after)
                }
            };
            if closing.get() {
                res.headers_mut()
                    .insert("connection", HeaderValue::from_static("close"));
            }
            res
        }
        .boxed_local()
    }

    fn refused(&self, kind: ErrorKind) {
        self.metrics.refused(kind);
    }
}

async fn route(entry: entry::Sender, req: BufferedRequest) -> Result<BufferedResponse, Refusal> {
    let path = req.head.uri.path();
    if !PATHS.contains(&path) {
        return Err(Refusal::new(
            ErrorKind::NotFound,
            format!("there is no {path}"),
        ));
    }
    if req.head.method != Method::POST {
        let message = format!("{path} takes POST");
        return Err(Refusal::new(ErrorKind::MethodNotAllowed, message));
    }
    match path {
        "/v1/search" => search(entry, &req.body).await,
        "/v1/keys" => keys(entry, &req.body).await,
        _ => execute(entry, &req.body).await,
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|err| Refusal::new(ErrorKind::BadRequest, format!("request body: {err}")))
}

/// Refusal for an entry task that has ended. This does not happen while the process
/// runs.
fn entry_task_ended() -> Refusal {
    Refusal::new(ErrorKind::Internal, "the entry task has ended")
}

async fn ask<T>(
    entry: &entry::Sender,
    event: impl FnOnce(oneshot::Sender<Result<T, Refusal>>) -> entry::Event,
) -> Result<T, Refusal> {
    let (tx, rx) = oneshot::channel();
    entry
        .unbounded_send(event(tx))
        .map_err(|_| entry_task_ended())?;
    rx.await.map_err(|_| entry_task_ended())?
}

async fn search(entry: entry::Sender, body: &[u8]) -> Result<BufferedResponse, Refusal> {
    let body: SearchBody = parse(body)?;
    let req = SearchRequest {
        tenant: body.tenant,
        class: body.class,
        group: body.group,
        query: body.query,
        limit: body.limit,
        deadline: body.deadline_ms.map(Millis),
    };
    let answer = ask(&entry, |tx| entry::Event::Search(req, tx)).await?;
    Ok(json_response(StatusCode::OK, &search_json(&answer)))
}

fn search_json(SearchAnswer { answer, elapsed }: &SearchAnswer) -> serde_json::Value {
    let missing: Vec<_> = answer
        .coverage
        .missing
        .iter()
        .map(|(shard, reason)| json!({"shard": shard, "reason": reason.as_str()}))
        .collect();
    let hits: Vec<_> = answer
        .hits
        .iter()
        .map(|hit| json!({"id": hit.id, "score": hit.score.get(), "shard": hit.shard}))
        .collect();
    json!({
        "snapshot": answer.version,
        "coverage": {
            "shards": answer.coverage.shards,
            "answered": answer.coverage.answered,
            "missing": missing,
        },
        "count": answer.count,
        "limited": answer.limited,
        "hits": hits,
        "elapsed_ms": elapsed.as_secs_f64() * 1_000.0,
    })
}

async fn keys(entry: entry::Sender, body: &[u8]) -> Result<BufferedResponse, Refusal> {
    let body: KeysBody = parse(body)?;
    let KeysBody { tenant, count } = body;
    let (keys, lifetime) = ask(&entry, |reply| entry::Event::IssueKeys {
        tenant,
        count,
        reply,
    })
    .await?;
    let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
    Ok(json_response(
        StatusCode::OK,
        &json!({"keys": keys, "expires_in_ms": lifetime}),
    ))
}

async fn execute(entry: entry::Sender, body: &[u8]) -> Result<BufferedResponse, Refusal> {
    let body: ExecuteBody<'_> = parse(body)?;
    let key = body.key.clone();
    let req = ExecuteRequest {
        tenant: body.tenant,
        class: body.class,
        group: body.group,
        key: body.key,
        operation: Bytes::copy_from_slice(body.operation.get().as_bytes()),
        deadline: body.deadline_ms.map(Millis),
    };
    match ask(&entry, |tx| entry::Event::Execute(req, tx)).await? {
        ExecuteOutcome::Done { result } => {
            let result = json_or_text(&result);
            let done = json!({"outcome": "done", "key": key, "result": result});
            Ok(json_response(StatusCode::OK, &done))
        }
        ExecuteOutcome::NotRun { kind, retry_after } => {
            let refusal = Refusal::new(kind, "the request was not run and its key is spent");
            Err(Refusal {
                retry_after,
                ..refusal
            })
        }
        ExecuteOutcome::Unknown { kind, detail } if detail.is_empty() => Err(Refusal::new(
            kind,
            "an earlier copy of the request may have run",
        )),
        ExecuteOutcome::Unknown { kind, detail } => Err(Refusal::new(kind, detail)),
    }
}

fn json_or_text(result: &[u8]) -> serde_json::Value {
    from_slice(result).unwrap_or_else(|| String::from_utf8_lossy(result).into())
}

fn from_slice<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    serde_json::from_slice(bytes).ok()
}
