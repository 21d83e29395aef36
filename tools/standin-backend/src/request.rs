//! Handles one request, from its headers to its response.

use std::{
    pin::{Pin, pin},
    rc::{Rc, Weak},
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::time::{sleep, sleep_until};
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::HeaderValue,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::{
    Server, Stage, search_shard,
    server::Admission,
    service::{Connection, wait_connect_cost},
};

/// Delay after the first half of a response, so that it is sent before the connection
/// is cut.
const HALF_RESPONSE_PAUSE: Duration = Duration::from_millis(5);

/// Deadline of a request without `x-deadline-ms`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Status code of a cancelled request.
const CANCELLED: u16 = 499;

type Reply = Response<ReplyBody>;

#[derive(Debug, Clone)]
struct Answer {
    status: u16,
    not_run: bool,
    headers: Vec<(&'static str, String)>,
    body: Value,
}

impl Answer {
    fn done(body: Value) -> Self {
        Self {
            status: 200,
            not_run: false,
            headers: Vec::new(),
            body,
        }
    }

    fn not_run(status: u16, reason: &str) -> Self {
        Self {
            status,
            not_run: true,
            headers: Vec::new(),
            body: json!({ "error": reason }),
        }
    }

    fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

#[derive(Debug)]
struct Job {
    path: String,
    request_id: String,
    key: Option<String>,
    shard: String,
    version: u64,
    query: String,
    limit: usize,
    deadline: Instant,
}

#[derive(Deserialize)]
struct SearchBody {
    query: String,
    limit: usize,
}

pub(crate) async fn respond(
    server: Arc<Server>,
    connection: Rc<Connection>,
    request: hyper::Request<Incoming>,
) -> Reply {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_string();
    if matches!(path.as_str(), "/search" | "/execute") {
        server.lock().counters.received += 1;
    }
    wait_while_silent(&server, &connection).await;
    cut_at(&server, &connection, Stage::WithinRequest, &path).await;
    let Ok(body) = body.collect().await.map(|b| b.to_bytes()) else {
        return finish(&server, "", Answer::not_run(400, "body is incomplete"));
    };
    let request_id = header(&head.headers, "x-request-id").to_string();
    let answer = match (&head.method, path.as_str()) {
        (&Method::GET, "/health") => health(&server),
        (&Method::POST, "/cancel") => cancel(&server, &body),
        (&Method::POST, "/search" | "/execute") => {
            cut_at(&server, &connection, Stage::AfterRequest, &path).await;
            wait_connect_cost(&connection).await;
            match parse(&path, &head.headers, &body, arrived) {
                Ok(job) => run(&server, job).await,
                Err(reason) => Answer::not_run(400, &reason),
            }
        }
        _ => Answer::not_run(404, "no such path"),
    };
    wait_while_silent(&server, &connection).await;
    cut_at(&server, &connection, Stage::BeforeResponse, &path).await;
    let mut reply = finish(&server, &request_id, answer);
    if server.lock().take_drop(Stage::WithinResponse, &path) {
        reply.body_mut().cut = Some(connection.cut.clone());
    }
    reply
}

async fn wait_while_silent(server: &Server, connection: &Connection) {
    loop {
        let silence = server.lock().silence(connection.id);
        match silence {
            Some(ended) => ended.cancelled().await,
            None => return,
        }
    }
}

async fn cut_at(server: &Server, connection: &Connection, stage: Stage, path: &str) {
    let cut = server.lock().take_drop(stage, path);
    if cut {
        connection.cut.cancel();
        // The connection's task drops this future together with the stream.
        std::future::pending::<()>().await;
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

fn parse(path: &str, headers: &HeaderMap, body: &Bytes, arrived: Instant) -> Result<Job, String> {
    let deadline = match header(headers, "x-deadline-ms") {
        "" => DEFAULT_DEADLINE,
        text => Duration::from_millis(text.parse().map_err(|e| format!("x-deadline-ms: {e}"))?),
    };
    let mut job = Job {
        path: path.to_string(),
        request_id: header(headers, "x-request-id").to_string(),
        key: None,
        shard: header(headers, "x-shard").to_string(),
        version: 0,
        query: String::new(),
        limit: 0,
        deadline: arrived + deadline,
    };
    if path == "/execute" {
        job.key = Some(header(headers, "x-request-key").to_string());
        return Ok(job);
    }
    job.version = header(headers, "x-version")
        .parse()
        .map_err(|e| format!("x-version: {e}"))?;
    let search: SearchBody = serde_json::from_slice(body).map_err(|e| format!("body: {e}"))?;
    job.query = search.query;
    job.limit = search.limit;
    Ok(job)
}

fn health(server: &Server) -> Answer {
    let state = server.lock();
    let name = if state.modes.draining {
        "draining"
    } else if Instant::now() < state.ready_at {
        "starting"
    } else {
        "ready"
    };
    Answer::done(json!({ "state": name }))
}

fn cancel(server: &Server, body: &Bytes) -> Answer {
    #[derive(Deserialize)]
    struct Ids {
        ids: Vec<String>,
    }
    let Ok(Ids { ids }) = serde_json::from_slice(body) else {
        return Answer::not_run(400, "body is not a list of ids");
    };
    let mut state = server.lock();
    let found: usize = ids.iter().map(|id| state.cancel(id)).sum();
    Answer::done(json!({ "found": found }))
}

/// Refuses the request or runs it in a task that continues when its connection ends.
async fn run(server: &Arc<Server>, job: Job) -> Answer {
    if let Some(refusal) = refuse(server, &job) {
        return refusal;
    }
    // Dropped together with this future when the connection ends.
    let caller = Rc::new(());
    let task = admit_and_run(server.clone(), job, Rc::downgrade(&caller))
        .boxed_local()
        .shared();
    compio::runtime::spawn(task.clone()).detach();
    task.await
}

fn refuse(server: &Server, job: &Job) -> Option<Answer> {
    let mut state = server.lock();
    let now = Instant::now();
    if state.modes.fail_fast {
        state.counters.failed += 1;
        let mut failed = Answer::not_run(500, "failed");
        failed.not_run = false;
        return Some(failed);
    }
    if state.modes.draining || now < state.ready_at {
        state.counters.not_ready += 1;
        let ready_in = state.ready_at.saturating_duration_since(now).as_millis();
        let reason = if state.modes.draining {
            "draining"
        } else {
            "starting"
        };
        return Some(Answer::not_run(503, reason).with("retry-after-ms", ready_in.max(1)));
    }
    if job.path == "/search" {
        let shards = &state.spec.shards;
        if !shards.is_empty() && !shards.contains(&job.shard) {
            state.counters.not_held += 1;
            return Some(Answer::not_run(409, "shard is not held"));
        }
        if !state.spec.versions.contains(&job.version) {
            state.counters.not_held += 1;
            let versions: Vec<_> = state.spec.versions.iter().map(u64::to_string).collect();
            let refusal = Answer::not_run(410, "version is not held");
            return Some(refusal.with("x-versions", versions.join(",")));
        }
    }
    (now >= job.deadline).then(|| expired(&mut state.counters.expired))
}

fn expired(counter: &mut u64) -> Answer {
    *counter += 1;
    Answer::not_run(504, "deadline passed before the request ran")
}

async fn admit_and_run(server: Arc<Server>, job: Job, caller: Weak<()>) -> Answer {
    let (ticket, cancel) = server.lock().register_request(&job.request_id);
    let answer = match wait_for_slot(&server, &job, &cancel).await {
        Ok(()) => run_in_slot(&server, &job, &cancel, &caller).await,
        Err(refusal) => refusal,
    };
    server.lock().unregister_request(ticket);
    answer
}

async fn wait_for_slot(
    server: &Server,
    job: &Job,
    cancel: &CancellationToken,
) -> Result<(), Answer> {
    let admission = server.lock().admit();
    let (ticket, granted) = match admission {
        Admission::Run => return Ok(()),
        Admission::Shed => {
            let retry_ms = server.lock().spec.service_time.median_ms.ceil() as u64;
            return Err(Answer::not_run(503, "overloaded").with("retry-after-ms", retry_ms.max(1)));
        }
        Admission::Wait { ticket, granted } => (ticket, granted),
    };
    let cancelled = pin!(cancel.cancelled());
    let deadline = pin!(sleep_until(job.deadline));
    let abandoned = select(cancelled, deadline);
    let outcome = match select(pin!(granted.cancelled()), abandoned).await {
        Either::Left(_) => return Ok(()),
        Either::Right((outcome, _)) => outcome,
    };
    let mut state = server.lock();
    state.leave_queue(ticket);
    Err(match outcome {
        Either::Left(_) => {
            state.counters.cancelled += 1;
            Answer::not_run(CANCELLED, "cancelled")
        }
        Either::Right(_) => expired(&mut state.counters.expired),
    })
}

async fn run_in_slot(
    server: &Server,
    job: &Job,
    cancel: &CancellationToken,
    caller: &Weak<()>,
) -> Answer {
    let started = Instant::now();
    let service_time = start_run(server, job);
    let cancelled = async {
        match &job.key {
            Some(_) => std::future::pending().await,
            None => cancel.cancelled().await,
        }
    };
    let finished = pin!(sleep(service_time));
    let was_cancelled = matches!(select(finished, pin!(cancelled)).await, Either::Right(_));
    let mut state = server.lock();
    state.release_slot();
    state.counters.busy_us += started.elapsed().as_micros() as u64;
    let useless = caller.strong_count() == 0 || Instant::now() > job.deadline;
    if was_cancelled || useless {
        state.counters.wasted += 1;
    }
    if was_cancelled {
        state.counters.cancelled += 1;
        let mut answer = Answer::not_run(CANCELLED, "cancelled");
        answer.not_run = false;
        return answer;
    }
    drop(state);
    run_result(server, job)
}

/// Counts the run and samples its service time.
fn start_run(server: &Server, job: &Job) -> Duration {
    let mut state = server.lock();
    state.counters.executed += 1;
    if let Some(key) = &job.key {
        *state.executions.entry(key.clone()).or_default() += 1;
    }
    state.sample_service_time()
}

fn run_result(server: &Server, job: &Job) -> Answer {
    if let Some(key) = &job.key {
        return Answer::done(json!({ "result": { "key": key, "server": server.id } }));
    }
    let found = search_shard(&job.query, &job.shard, job.version, job.limit);
    Answer::done(json!({
        "version": job.version,
        "shard": job.shard,
        "count": found.count,
        "hits": found.hits,
    }))
}

fn finish(server: &Server, request_id: &str, answer: Answer) -> Reply {
    let body = Bytes::from(answer.body.to_string());
    let mut reply = Response::new(ReplyBody::new(body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).expect("status code is valid");
    let headers = reply.headers_mut();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set("content-type", "application/json");
    set("x-request-id", request_id);
    if answer.not_run {
        set("x-not-run", "1");
    }
    let state = server.lock();
    if state.modes.draining {
        set("x-draining", "1");
    }
    set("x-load", &format!("{}/{}", state.running, state.spec.slots));
    for (name, value) in &answer.headers {
        set(name, value);
    }
    reply
}

/// A response body that can cut its connection after the first half.
pub(crate) struct ReplyBody {
    full: Full<Bytes>,
    cut: Option<CancellationToken>,
    half_sent: bool,
}

impl ReplyBody {
    fn new(bytes: Bytes) -> Self {
        Self {
            full: Full::new(bytes),
            cut: None,
            half_sent: false,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(cut) = self.cut.clone() else {
            return Pin::new(&mut self.full).poll_frame(cx);
        };
        if self.half_sent {
            return Poll::Pending;
        }
        self.half_sent = true;
        compio::runtime::spawn(async move {
            sleep(HALF_RESPONSE_PAUSE).await;
            cut.cancel();
        })
        .detach();
        let half = |bytes: Bytes| bytes.slice(..bytes.len() / 2);
        let first = Pin::new(&mut self.full).poll_frame(cx);
        first.map(|f| f.map(|f| f.map(|f| f.map_data(half))))
    }

    fn is_end_stream(&self) -> bool {
        self.cut.is_none() && self.full.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.full.size_hint()
    }
}
