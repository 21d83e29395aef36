//! Closed-loop clients: each sends its next request after the previous response.

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

use crate::checks::AnswerChecker;

/// Tenant, class and group of a kind of request.
pub type RequestKind = (&'static str, &'static str, &'static str);

/// What the clients send.
pub struct Workload {
    /// Kinds of searches, distributed over the clients.
    pub searches: &'static [RequestKind],
    /// Kind of non-idempotent requests.
    pub execute: RequestKind,
}

/// Distributes requests round-robin over the daemons in service, like the load
/// balancer of the platform.
#[derive(Debug)]
pub struct Balancer {
    daemons: RwLock<Vec<Option<SocketAddr>>>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer with all `daemons` in service.
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

    fn next_daemon(&self) -> Option<SocketAddr> {
        let daemons = self.daemons.read().ok()?;
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        (0..daemons.len()).find_map(|i| daemons[(start + i) % daemons.len()])
    }
}

/// Results of all clients.
#[derive(Debug)]
pub struct ClientResults {
    /// Latency of searches in microseconds.
    pub search_latency: Histogram<u64>,
    /// Latency of non-idempotent requests in microseconds.
    pub execute_latency: Histogram<u64>,
    /// Searches answered.
    pub answered: u64,
    /// Searches to which every shard answered.
    pub complete: u64,
    /// Shards queried and shards that answered, over all searches.
    pub shards: (u64, u64),
    /// Requests rejected without having run.
    pub refused: u64,
    /// Completed non-idempotent requests.
    pub done: u64,
    /// Keys of non-idempotent requests rejected as not run.
    pub not_run_keys: Vec<String>,
    /// Keys of completed non-idempotent requests.
    pub done_keys: Vec<String>,
    /// Non-idempotent requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests without a complete response, with the cause.
    pub failed: Vec<String>,
    /// Violations found in answers.
    pub violations: Vec<String>,
}

impl Default for ClientResults {
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
            failed: Vec::new(),
            violations: Vec::new(),
        }
    }
}

impl ClientResults {
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
        self.failed.extend(other.failed);
        self.violations.extend(other.violations);
    }
}

/// Client threads, which send requests until `done` is set.
pub struct Clients {
    threads: Vec<JoinHandle<ClientResults>>,
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

    /// Waits for all clients to complete their last request.
    pub fn join(self) -> ClientResults {
        let mut all = ClientResults::default();
        for thread in self.threads {
            match thread.join() {
                Ok(results) => all.merge(results),
                Err(_) => all.violations.push("a client thread panicked".to_owned()),
            }
        }
        all
    }
}

struct Client {
    balancer: Arc<Balancer>,
    done: Arc<AtomicBool>,
    checker: AnswerChecker,
    results: ClientResults,
    sent: u64,
}

/// Pause after each request, so that the clients together stay below the capacity of
/// the backend servers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a request, longer than every deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

impl Client {
    fn new(balancer: Arc<Balancer>, done: Arc<AtomicBool>) -> Self {
        let (checker, results) = (AnswerChecker::default(), ClientResults::default());
        Self {
            balancer,
            done,
            checker,
            results,
            sent: 0,
        }
    }

    fn run(mut self, request: impl AsyncFn(&mut Self) -> Option<()>) -> ClientResults {
        let runtime = match compio::runtime::Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => {
                self.results
                    .violations
                    .push(format!("cannot create the async runtime: {err}"));
                return self.results;
            }
        };
        runtime.block_on(async {
            while !self.done.load(Ordering::Relaxed) {
                request(&mut self).await;
                self.sent += 1;
                compio::time::sleep(REQUEST_INTERVAL).await;
            }
        });
        self.results
    }

    /// Sends one request; a missing or incomplete response is recorded as failed.
    async fn post(&mut self, to: SocketAddr, path: &str, body: &Value) -> Option<Value> {
        let exchange = async {
            let client = cyper::Client::builder().no_proxy().build()?;
            let req = client
                .post(format!("http://{to}{path}"))?
                .body(body.to_string());
            req.send().await?.json::<Value>().await
        };
        match compio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(err)) => {
                self.results.failed.push(format!("{to}{path}: {err}"));
                None
            }
            Err(_) => {
                self.results.failed.push(format!(
                    "{to}{path}: no response within {REQUEST_TIMEOUT:?}"
                ));
                None
            }
        }
    }

    async fn search(&mut self, (tenant, class, group): RequestKind, number: usize) -> Option<()> {
        let to = self.balancer.next_daemon()?;
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
        let violations = self.checker.check(&query, &answer);
        self.results.violations.extend(violations);
        Some(())
    }

    /// Sends the same request to two daemons, like a load balancer that retries it.
    async fn execute(&mut self, (tenant, class, group): RequestKind) -> Option<()> {
        let to = self.balancer.next_daemon()?;
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
        self.record_outcome(key, &answer);
        let second_daemon = self.balancer.next_daemon()?;
        self.post(second_daemon, "/v1/execute", &body).await?;
        Some(())
    }

    fn record_outcome(&mut self, key: &str, answer: &Value) {
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
