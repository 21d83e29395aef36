//! Direct mode: clients that fan out to the backend servers without a daemon, as a
//! baseline for the tier.
//!
//! Each client has its own connections and its own load estimates. For each shard
//! it selects the server with the fewest outstanding requests of this client, and
//! retries on another server after a failure, within the deadline. Requests are
//! neither hedged nor queued.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::{Request, Response};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Deserialize;
use serde_json::json;
use standin_backend::Hit;

use crate::{
    Answer, Arrival, Coverage, HitAnswer, Missing, Servers, Stream, check,
    pool::{Failure, Pool},
    stats::{Outcome, SearchOutcome},
    tier::failed,
};

/// Maximum number of servers tried per shard, including the first.
const MAX_ATTEMPTS: usize = 2;

#[derive(Debug)]
pub(crate) struct Direct {
    clients: Vec<Client>,
    servers: Servers,
    seed: u64,
}

#[derive(Debug)]
struct Client {
    number: usize,
    backends: BTreeMap<SocketAddr, Backend>,
    rng: RefCell<SmallRng>,
    requests: Cell<u64>,
}

#[derive(Debug)]
struct Backend {
    pool: Pool,
    outstanding: Cell<usize>,
}

#[derive(Deserialize)]
struct ShardAnswer {
    version: u64,
    count: u64,
    hits: Vec<Hit>,
}

/// A search of one shard, or an execute request.
struct SubRequest<'a> {
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    candidates: Vec<&'a Backend>,
    until: Instant,
}

impl Direct {
    pub fn new(
        servers: Servers,
        groups: &BTreeSet<String>,
        clients: usize,
        connections: Option<usize>,
        seed: u64,
    ) -> Self {
        let client = |number| {
            let infos = groups.iter().flat_map(|g| servers.group(g));
            let backend = |info: &crate::ServerInfo| {
                let limit = connections.unwrap_or(info.spec.connection_limit / clients);
                let backend = Backend {
                    pool: Pool::new(info.address, limit),
                    outstanding: Cell::new(0),
                };
                (info.address, backend)
            };
            Client {
                number,
                backends: infos.map(backend).collect(),
                rng: RefCell::new(SmallRng::seed_from_u64(seed ^ number as u64)),
                requests: Cell::new(0),
            }
        };
        Self {
            clients: (0..clients).map(client).collect(),
            seed,
            servers,
        }
    }

    fn client(&self, arrival: &Arrival) -> &Client {
        &self.clients[arrival.number as usize % self.clients.len()]
    }

    pub async fn search(
        &self,
        arrival: &Arrival,
        stream: &Stream,
        shards: &BTreeSet<String>,
        started: Instant,
    ) -> Outcome {
        let Some(version) = self.servers.newest_version(&stream.group) else {
            return Outcome::Failed {
                reason: "unknown_group",
                key: None,
            };
        };
        let client = self.client(arrival);
        let until = started + Duration::from_millis(stream.deadline_ms);
        let searches = shards.iter().map(|shard| async move {
            let sub_request = SubRequest {
                path: "/search",
                headers: vec![
                    ("x-shard", shard.clone()),
                    ("x-version", version.to_string()),
                ],
                body: json!({ "query": arrival.text, "limit": stream.limit }).to_string(),
                candidates: self.candidates(client, &stream.group, Some(shard)),
                until,
            };
            (shard, search_shard(client, &sub_request).await)
        });
        let answer = merge(version, stream.limit, join_all(searches).await);
        let violations = check(&answer, &arrival.text, stream.limit, shards);
        let sample = (!violations.is_empty())
            .then(|| format!("{violations:?} for `{}`: {answer:?}", arrival.text));
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
        let client = self.client(arrival);
        let key = format!(
            "direct-{}-{}-{}",
            std::process::id(),
            self.seed,
            arrival.number
        );
        let sub_request = SubRequest {
            path: "/execute",
            headers: vec![("x-request-key", key.clone())],
            body: json!({ "operation": arrival.text }).to_string(),
            candidates: self.candidates(client, &stream.group, None),
            until: started + Duration::from_millis(stream.deadline_ms),
        };
        match client.send(&sub_request).await {
            Ok(response) if response.status() == 200 => Outcome::Done { key },
            Ok(response) => Outcome::Refused {
                kind: response.status().as_str().to_string(),
                not_run: is_not_run(&response),
                key: Some(key),
            },
            Err(failure) => failed(failure, Some(key)),
        }
    }

    fn candidates<'a>(
        &self,
        client: &'a Client,
        group: &str,
        shard: Option<&String>,
    ) -> Vec<&'a Backend> {
        let infos = self.servers.group(group).iter();
        let holds = |info: &&crate::ServerInfo| {
            shard.is_none_or(|s| info.spec.shards.is_empty() || info.spec.shards.contains(s))
        };
        let backends = infos
            .filter(holds)
            .filter_map(|i| client.backends.get(&i.address));
        backends.collect()
    }
}

fn is_not_run(response: &Response<Bytes>) -> bool {
    response
        .headers()
        .get("x-not-run")
        .is_some_and(|v| v == "1")
}

impl Client {
    /// Sends the sub-request to one candidate after the other until one succeeds or
    /// [`MAX_ATTEMPTS`] is reached. A search is retried after any failure other than a
    /// timeout, an execute request only if it certainly did not run.
    async fn send(&self, sub_request: &SubRequest<'_>) -> Result<Response<Bytes>, Failure> {
        let mut remaining = sub_request.candidates.clone();
        let mut last = Err(Failure::Connect);
        for _ in 0..MAX_ATTEMPTS {
            let Some(backend) = self.select(&mut remaining) else {
                break;
            };
            backend.outstanding.set(backend.outstanding.get() + 1);
            let _outstanding = OutstandingGuard(&backend.outstanding);
            last = backend
                .pool
                .send(self.request(sub_request), sub_request.until)
                .await;
            let retry = match &last {
                Ok(response) if response.status() == 200 => false,
                Ok(response) => sub_request.path == "/search" || is_not_run(response),
                Err(Failure::Connect) => true,
                Err(Failure::Broken) => sub_request.path == "/search",
                Err(Failure::TimedOut { .. }) => false,
            };
            if !retry {
                break;
            }
        }
        last
    }

    /// Removes and returns the server with the fewest outstanding requests. Ties are
    /// broken at random.
    fn select<'a>(&self, remaining: &mut Vec<&'a Backend>) -> Option<&'a Backend> {
        let least = remaining.iter().map(|p| p.outstanding.get()).min()?;
        let tied: Vec<_> = (0..remaining.len())
            .filter(|i| remaining[*i].outstanding.get() == least)
            .collect();
        let selected = self.rng.borrow_mut().random_range(0..tied.len());
        Some(remaining.swap_remove(tied[selected]))
    }

    fn request(&self, sub_request: &SubRequest<'_>) -> Request<Full<Bytes>> {
        let number = self.requests.replace(self.requests.get() + 1);
        let timeout = sub_request.until.saturating_duration_since(Instant::now());
        let mut builder = Request::post(sub_request.path)
            .header("host", "backend")
            .header("x-request-id", format!("{}-{number}", self.number))
            .header("x-deadline-ms", timeout.as_millis().to_string());
        for (name, value) in &sub_request.headers {
            builder = builder.header(*name, value);
        }
        let body = Full::new(Bytes::from(sub_request.body.clone()));
        builder.body(body).expect("path and headers are valid")
    }
}

/// Decrements the count of outstanding requests when dropped, also if the request is
/// cancelled at the end of the run.
struct OutstandingGuard<'a>(&'a Cell<usize>);

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn search_shard(
    client: &Client,
    sub_request: &SubRequest<'_>,
) -> Result<ShardAnswer, String> {
    match client.send(sub_request).await {
        Ok(response) if response.status() == 200 => {
            serde_json::from_slice(response.body()).map_err(|_| "unreadable".to_string())
        }
        Ok(response) => Err(format!("status_{}", response.status().as_u16())),
        Err(Failure::TimedOut { .. }) => Err("timeout".to_string()),
        Err(_) => Err("failed".to_string()),
    }
}

fn merge(
    version: u64,
    limit: usize,
    shard_answers: Vec<(&String, Result<ShardAnswer, String>)>,
) -> Answer {
    let mut answer = Answer {
        snapshot: version.to_string(),
        coverage: Coverage {
            shards: shard_answers.len() as u64,
            answered: 0,
            missing: Vec::new(),
        },
        count: 0,
        hits: Vec::new(),
    };
    for (shard, shard_answer) in shard_answers {
        let shard = shard.clone();
        match shard_answer {
            Ok(shard_answer) if shard_answer.version == version => {
                answer.coverage.answered += 1;
                answer.count += shard_answer.count;
                answer
                    .hits
                    .extend(shard_answer.hits.into_iter().map(|hit| HitAnswer {
                        id: hit.id,
                        score: hit.score,
                        shard: shard.clone(),
                    }));
            }
            Ok(_) => answer.coverage.missing.push(Missing {
                shard,
                reason: "wrong_version".to_string(),
            }),
            Err(reason) => answer.coverage.missing.push(Missing { shard, reason }),
        }
    }
    let order =
        |a: &HitAnswer, b: &HitAnswer| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id));
    answer.hits.sort_by(order);
    answer.hits.truncate(limit);
    answer
}
