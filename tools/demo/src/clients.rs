//! Clients that send requests one after the other.

use std::{
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::checks::AnswerChecks;

/// Tenant, class and group of a kind of request.
pub type Kind = (&'static str, &'static str, &'static str);

/// What the clients send.
pub struct Workload {
    /// Kinds of searches, sent in turn.
    pub searches: &'static [Kind],
    /// Kind of non-idempotent request.
    pub execute: Kind,
}

/// Spreads requests over the daemons in service, as the platform's load
/// balancer does.
#[derive(Debug)]
pub struct Balancer {
    daemons: RwLock<Vec<Option<SocketAddr>>>,
    next: AtomicUsize,
}

impl Balancer {
    /// All daemons are in service.
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        let daemons = RwLock::new(daemons.into_iter().map(Some).collect());
        Self {
            daemons,
            next: AtomicUsize::new(0),
        }
    }

    /// Takes a daemon out of service.
    pub fn remove(&self, number: usize) {
        if let Ok(mut daemons) = self.daemons.write() {
            daemons[number] = None;
        }
    }

    fn pick(&self) -> Option<SocketAddr> {
        let daemons = self.daemons.read().ok()?;
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        (0..daemons.len()).find_map(|i| daemons[(start + i) % daemons.len()])
    }
}

/// What the clients saw.
#[derive(Debug)]
pub struct Results {
    /// Latency of searches in microseconds.
    pub search_latency: Histogram<u64>,
    /// Latency of non-idempotent requests in microseconds.
    pub execute_latency: Histogram<u64>,
    /// Searches answered.
    pub answered: u64,
    /// Searches answered by all shards.
    pub complete: u64,
    /// Shards asked for and answered over all searches.
    pub shards: (u64, u64),
    /// Requests refused as not run.
    pub refused: u64,
    /// Non-idempotent requests done.
    pub done: u64,
    /// Keys refused as "not run".
    pub not_run_keys: Vec<String>,
    /// Keys done.
    pub done_keys: Vec<String>,
    /// Non-idempotent requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests without a complete answer.
    pub cut: Vec<String>,
    /// What was wrong with answers.
    pub wrong: Vec<String>,
}

impl Default for Results {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are supported");
        Self {
            search_latency: histogram(),
            execute_latency: histogram(),
            answered: 0,
            complete: 0,
            shards: (0, 0),
            refused: 0,
            done: 0,
            not_run_keys: Vec::new(),
            done_keys: Vec::new(),
            unknown: 0,
            cut: Vec::new(),
            wrong: Vec::new(),
        }
    }
}

impl Results {
    fn merge(&mut self, other: Self) {
        // Both histograms have the same settings, so adding cannot fail.
        let _ = self.search_latency.add(other.search_latency);
        let _ = self.execute_latency.add(other.execute_latency);
        self.answered += other.answered;
        self.complete += other.complete;
        self.shards.0 += other.shards.0;
        self.shards.1 += other.shards.1;
        self.refused += other.refused;
        self.done += other.done;
        self.not_run_keys.extend(other.not_run_keys);
        self.done_keys.extend(other.done_keys);
        self.unknown += other.unknown;
        self.cut.extend(other.cut);
        self.wrong.extend(other.wrong);
    }
}

/// Threads that send requests until told to stop.
pub struct Clients {
    threads: Vec<JoinHandle<Results>>,
}

impl Clients {
    /// Starts one thread per client.
    pub fn start(
        workload: &Workload,
        searchers: usize,
        executors: usize,
        balancer: &Arc<Balancer>,
        done: &Arc<AtomicBool>,
    ) -> Self {
        let searcher = |number: usize| {
            let kind = workload.searches[number % workload.searches.len()];
            let client = Client::new(balancer.clone(), done.clone());
            std::thread::spawn(move || {
                client.run(async move |c: &mut Client| c.search(kind, number).await)
            })
        };
        let executor = |_| {
            let kind = workload.execute;
            let client = Client::new(balancer.clone(), done.clone());
            std::thread::spawn(move || {
                client.run(async move |c: &mut Client| c.execute(kind).await)
            })
        };
        let threads = (0..searchers)
            .map(searcher)
            .chain((0..executors).map(executor))
            .collect();
        Self { threads }
    }

    /// Waits for all clients to end their last request.
    pub fn join(self) -> Results {
        let mut all = Results::default();
        for thread in self.threads {
            match thread.join() {
                Ok(results) => all.merge(results),
                Err(_) => all.wrong.push("a client thread panicked".to_owned()),
            }
        }
        all
    }
}

struct Client {
    balancer: Arc<Balancer>,
    done: Arc<AtomicBool>,
    checks: AnswerChecks,
    results: Results,
    sent: u64,
}

/// Pause after a refusal that states no time, and between requests, so that the
/// clients together stay below the capacity of the backend servers.
const PAUSE: Duration = Duration::from_millis(20);

/// Longest wait for an answer, above every deadline.
const TIMEOUT: Duration = Duration::from_secs(30);

impl Client {
    fn new(balancer: Arc<Balancer>, done: Arc<AtomicBool>) -> Self {
        let (checks, results) = (AnswerChecks::default(), Results::default());
        Self {
            balancer,
            done,
            checks,
            results,
            sent: 0,
        }
    }

    fn run(mut self, request: impl AsyncFn(&mut Self) -> Option<()>) -> Results {
        let runtime = match compio::runtime::Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => {
                self.results.wrong.push(format!("no runtime: {err}"));
                return self.results;
            }
        };
        runtime.block_on(async {
            while !self.done.load(Ordering::Relaxed) {
                request(&mut self).await;
                self.sent += 1;
                compio::time::sleep(PAUSE).await;
            }
        });
        self.results
    }

    /// Sends one request; a missing or broken answer is recorded as cut.
    async fn post(&mut self, to: SocketAddr, path: &str, body: &Value) -> Option<Value> {
        let exchange = async {
            let client = cyper::Client::builder().no_proxy().build()?;
            let req = client
                .post(format!("http://{to}{path}"))?
                .body(body.to_string());
            req.send().await?.json::<Value>().await
        };
        match compio::time::timeout(TIMEOUT, exchange).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(err)) => {
                self.results.cut.push(format!("{to}{path}: {err}"));
                None
            }
            Err(_) => {
                self.results.cut.push(format!("{to}{path}: no answer"));
                None
            }
        }
    }

    async fn search(&mut self, (tenant, class, group): Kind, number: usize) -> Option<()> {
        let to = self.balancer.pick()?;
        let query = format!("client {number} query {}", self.sent);
        let body = json!({
            "tenant": tenant, "class": class, "group": group, "query": query, "limit": 10,
        });
        let start = Instant::now();
        let answer = self.post(to, "/v1/search", &body).await?;
        if answer.get("error").is_some() {
            self.results.refused += 1;
            return None;
        }
        let micros = start.elapsed().as_micros() as u64;
        let _ = self.results.search_latency.record(micros);
        self.results.answered += 1;
        let coverage = &answer["coverage"];
        let shards = coverage["shards"].as_u64().unwrap_or_default();
        let answered = coverage["answered"].as_u64().unwrap_or_default();
        self.results.shards.0 += shards;
        self.results.shards.1 += answered;
        self.results.complete += u64::from(shards == answered);
        let wrong = self.checks.check(&query, &answer);
        self.results.wrong.extend(wrong);
        Some(())
    }

    /// Sends one request twice, to two daemons, as a balancer that repeats a
    /// request would.
    async fn execute(&mut self, (tenant, class, group): Kind) -> Option<()> {
        let to = self.balancer.pick()?;
        let keys = self
            .post(to, "/v1/keys", &json!({"tenant": tenant}))
            .await?;
        let Some(key) = keys["keys"][0].as_str() else {
            self.results.refused += 1;
            return None;
        };
        let body = json!({
            "tenant": tenant, "class": class, "group": group, "key": key,
            "operation": {"number": self.sent},
        });
        let start = Instant::now();
        let answer = self.post(to, "/v1/execute", &body).await?;
        let micros = start.elapsed().as_micros() as u64;
        let _ = self.results.execute_latency.record(micros);
        self.count(key, &answer);
        let again = self.balancer.pick()?;
        self.post(again, "/v1/execute", &body).await?;
        Some(())
    }

    fn count(&mut self, key: &str, answer: &Value) {
        if answer["outcome"] == "done" {
            self.results.done += 1;
            self.results.done_keys.push(key.to_owned());
        } else if answer["error"]["not_run"] == true {
            self.results.refused += 1;
            self.results.not_run_keys.push(key.to_owned());
        } else {
            self.results.unknown += 1;
        }
    }
}
