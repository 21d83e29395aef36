//! Load generator: callers that send requests until they are stopped.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use serde_json::{Value, json};

use super::{Answer, Outcome, Session, TestCluster, execute_body, search_body, until};

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// Index of the daemon it was sent to.
    pub daemon: usize,
    /// Key of an execute request; `None` for searches.
    pub key: Option<String>,
    pub outcome: Outcome,
}

impl Record {
    /// The response, if it was complete.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.outcome {
            Outcome::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Checks that the response is consistent in itself and with the executions of
    /// all keys.
    pub fn check(&self, executions: &Value) {
        let Some(answer) = self.answer() else {
            return;
        };
        let error = &answer.body["error"];
        if !error.is_null() {
            assert!(error["not_run"].is_boolean(), "{self:?}");
        }
        let Some(key) = &self.key else {
            return self.check_search(answer);
        };
        let ran = executions[key].as_u64().unwrap_or(0);
        assert!(ran <= 1, "{self:?} ran {ran} times");
        if answer.body["outcome"] == "done" {
            assert_eq!(ran, 1, "{self:?}");
            assert_eq!(answer.body["result"]["key"], **key, "{self:?}");
        }
        if error["not_run"] == true {
            assert_eq!(ran, 0, "{self:?}");
        }
    }

    fn check_search(&self, answer: &Answer) {
        if answer.status != 200 {
            return;
        }
        let coverage = &answer.body["coverage"];
        let missing = coverage["missing"].as_array().map_or(0, Vec::len) as u64;
        let answered = coverage["answered"].as_u64().unwrap_or(0);
        assert_eq!(coverage["shards"], answered + missing, "{self:?}");
        assert!(answer.body["snapshot"].is_u64(), "{self:?}");
    }
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    records: Mutex<Vec<Record>>,
}

/// Callers, each on its own thread. Like a load balancer, they stop using a daemon
/// that refuses connections or sends `Connection: close`.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts one caller that searches and one that executes for each daemon.
    pub fn start(cluster: &TestCluster) -> Self {
        let shared = Arc::new(Shared::default());
        let daemons = cluster.caller_addresses();
        let mut threads = Vec::new();
        for first in 0..daemons.len() {
            for executes in [false, true] {
                let caller = Caller {
                    shared: shared.clone(),
                    daemons: daemons.clone(),
                    unavailable: vec![false; daemons.len()],
                    current: first,
                    session: None,
                };
                threads.push(std::thread::spawn(move || caller.run(executes)));
            }
        }
        Self { shared, threads }
    }

    fn successes(&self) -> usize {
        let records = self.shared.records.lock().expect("no caller panics");
        let answered = |record: &&Record| record.answer().is_some_and(|a| a.status == 200);
        records.iter().filter(answered).count()
    }

    /// Waits until `more` further requests have succeeded.
    pub fn wait_for_successes(&self, more: usize) {
        let before = self.successes();
        until("requests to succeed", || {
            (self.successes() >= before + more).then_some(())
        });
    }

    /// Stops the callers after their current requests and returns all records.
    pub fn stop(self) -> Vec<Record> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller panics");
        }
        let records = self.shared.records.lock().expect("no caller panics");
        records.clone()
    }
}

struct Caller {
    shared: Arc<Shared>,
    daemons: Vec<SocketAddr>,
    /// Whether each daemon is stopping or has refused a connection.
    unavailable: Vec<bool>,
    /// Index of the daemon in use.
    current: usize,
    session: Option<Session>,
}

impl Caller {
    fn run(mut self, executes: bool) {
        while !self.shared.stop.load(Ordering::Relaxed)
            && !self.unavailable.iter().all(|down| *down)
        {
            if executes {
                self.execute();
            } else {
                self.send("/v1/search", &search_body(), None);
            }
        }
    }

    fn execute(&mut self) {
        let keys = self.send("/v1/keys", &json!({"tenant": "sales", "count": 1}), None);
        let Some(key) = keys.and_then(|keys| keys.body["keys"][0].as_str().map(str::to_owned))
        else {
            return;
        };
        self.send("/v1/execute", &execute_body(&key), Some(key));
    }

    fn send(&mut self, path: &str, body: &Value, key: Option<String>) -> Option<Answer> {
        if self.unavailable[self.current] {
            self.current = (self.current + 1) % self.daemons.len();
            self.session = None;
            return None;
        }
        let daemon = self.current;
        let outcome = match self
            .session
            .take()
            .or_else(|| Session::open(self.daemons[daemon]))
        {
            Some(mut session) => {
                let outcome = session.request(path, body);
                if matches!(&outcome, Outcome::Answered(answer) if !answer.closing) {
                    self.session = Some(session);
                }
                outcome
            }
            None => Outcome::Refused,
        };
        self.unavailable[daemon] = self.session.is_none();
        let answer = match &outcome {
            Outcome::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        // Successful key requests are not recorded; failures of any request are.
        if path != "/v1/keys" || !matches!(outcome, Outcome::Answered(_)) {
            let record = Record {
                daemon,
                key,
                outcome,
            };
            let mut records = self.shared.records.lock().expect("no caller panics");
            records.push(record);
        }
        answer
    }
}
