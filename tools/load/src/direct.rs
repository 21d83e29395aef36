//! The baseline: clients that fan out to the backend servers without the tier.
//!
//! Each client has its own connections and its own view of the servers. For each
//! shard it selects the server with the fewest of its own requests outstanding and
//! tries another one after a failure, within the deadline. There are no hedged
//! requests and no queue.

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
    tally::{Outcome, SearchOutcome},
    tier::failed,
};

/// Servers tried per shard.
const ATTEMPTS: usize = 2;

#[derive(Debug)]
pub(crate) struct Direct {
    clients: Vec<Client>,
    servers: Servers,
    seed: u64,
}

#[derive(Debug)]
struct Client {
    number: usize,
    peers: BTreeMap<SocketAddr, Peer>,
    random: RefCell<SmallRng>,
    requests: Cell<u64>,
}

#[derive(Debug)]
struct Peer {
    pool: Pool,
    outstanding: Cell<usize>,
}

#[derive(Deserialize)]
struct ShardAnswer {
    version: u64,
    count: u64,
    hits: Vec<Hit>,
}

/// What is sent for one shard, or for an execute.
struct Part<'a> {
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    candidates: Vec<&'a Peer>,
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
            let peer = |info: &crate::ServerInfo| {
                let limit = connections.unwrap_or(info.spec.connection_limit / clients);
                let peer = Peer {
                    pool: Pool::new(info.address, limit),
                    outstanding: Cell::new(0),
                };
                (info.address, peer)
            };
            Client {
                number,
                peers: infos.map(peer).collect(),
                random: RefCell::new(SmallRng::seed_from_u64(seed ^ number as u64)),
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
                what: "unknown_group",
                key: None,
            };
        };
        let client = self.client(arrival);
        let until = started + Duration::from_millis(stream.deadline_ms);
        let parts = shards.iter().map(|shard| async move {
            let part = Part {
                path: "/search",
                headers: vec![
                    ("x-shard", shard.clone()),
                    ("x-version", version.to_string()),
                ],
                body: json!({ "query": arrival.text, "limit": stream.limit }).to_string(),
                candidates: self.candidates(client, &stream.group, Some(shard)),
                until,
            };
            (shard, search_part(client, &part).await)
        });
        let answer = merge(version, stream.limit, join_all(parts).await);
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
        let part = Part {
            path: "/execute",
            headers: vec![("x-request-key", key.clone())],
            body: json!({ "operation": arrival.text }).to_string(),
            candidates: self.candidates(client, &stream.group, None),
            until: started + Duration::from_millis(stream.deadline_ms),
        };
        match client.send(&part).await {
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
    ) -> Vec<&'a Peer> {
        let infos = self.servers.group(group).iter();
        let holds = |info: &&crate::ServerInfo| {
            shard.is_none_or(|s| info.spec.shards.is_empty() || info.spec.shards.contains(s))
        };
        let peers = infos
            .filter(holds)
            .filter_map(|i| client.peers.get(&i.address));
        peers.collect()
    }
}

fn is_not_run(response: &Response<Bytes>) -> bool {
    response
        .headers()
        .get("x-not-run")
        .is_some_and(|v| v == "1")
}

impl Client {
    /// Tries servers until one responds. A search is tried again after any failure,
    /// an execute only if it certainly did not run.
    async fn send(&self, part: &Part<'_>) -> Result<Response<Bytes>, Failure> {
        let mut left = part.candidates.clone();
        let mut last = Err(Failure::Connect);
        for _ in 0..ATTEMPTS {
            let Some(peer) = self.select(&mut left) else {
                break;
            };
            peer.outstanding.set(peer.outstanding.get() + 1);
            let _outstanding = Outstanding(&peer.outstanding);
            last = peer.pool.send(self.request(part), part.until).await;
            let again = match &last {
                Ok(response) if response.status() == 200 => false,
                Ok(response) => part.path == "/search" || is_not_run(response),
                Err(Failure::Connect) => true,
                Err(Failure::Broken) => part.path == "/search",
                Err(Failure::Late { .. }) => false,
            };
            if !again {
                break;
            }
        }
        last
    }

    /// Takes the peer with the fewest requests outstanding, a random one of several.
    fn select<'a>(&self, left: &mut Vec<&'a Peer>) -> Option<&'a Peer> {
        let least = left.iter().map(|p| p.outstanding.get()).min()?;
        let equal: Vec<_> = (0..left.len())
            .filter(|i| left[*i].outstanding.get() == least)
            .collect();
        let selected = self.random.borrow_mut().random_range(0..equal.len());
        Some(left.swap_remove(equal[selected]))
    }

    fn request(&self, part: &Part<'_>) -> Request<Full<Bytes>> {
        let number = self.requests.replace(self.requests.get() + 1);
        let left = part.until.saturating_duration_since(Instant::now());
        let mut builder = Request::post(part.path)
            .header("host", "backend")
            .header("x-request-id", format!("{}-{number}", self.number))
            .header("x-deadline-ms", left.as_millis().to_string());
        for (name, value) in &part.headers {
            builder = builder.header(*name, value);
        }
        let body = Full::new(Bytes::from(part.body.clone()));
        builder.body(body).expect("path and headers are valid")
    }
}

/// Counts a request as outstanding until dropped, also when the run ends.
struct Outstanding<'a>(&'a Cell<usize>);

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn search_part(client: &Client, part: &Part<'_>) -> Result<ShardAnswer, String> {
    match client.send(part).await {
        Ok(response) if response.status() == 200 => {
            serde_json::from_slice(response.body()).map_err(|_| "unreadable".to_string())
        }
        Ok(response) => Err(format!("status_{}", response.status().as_u16())),
        Err(Failure::Late { .. }) => Err("timeout".to_string()),
        Err(_) => Err("failed".to_string()),
    }
}

fn merge(version: u64, limit: usize, parts: Vec<(&String, Result<ShardAnswer, String>)>) -> Answer {
    let mut answer = Answer {
        snapshot: version.to_string(),
        coverage: Coverage {
            shards: parts.len() as u64,
            answered: 0,
            missing: Vec::new(),
        },
        count: 0,
        hits: Vec::new(),
    };
    for (shard, part) in parts {
        let shard = shard.clone();
        match part {
            Ok(part) if part.version == version => {
                answer.coverage.answered += 1;
                answer.count += part.count;
                answer
                    .hits
                    .extend(part.hits.into_iter().map(|hit| HitAnswer {
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
