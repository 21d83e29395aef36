//! Callers that send requests until they are stopped.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use serde_json::{Value, json};

use super::{Answer, Ended, Session, Tier, order, search, until};

/// One request and how it ended.
#[derive(Debug, Clone)]
pub struct Record {
    /// The daemon it was sent to.
    pub daemon: usize,
    /// The key of an order; searches have none.
    pub key: Option<String>,
    /// How it ended.
    pub ended: Ended,
}

impl Record {
    /// The answer, if there was one.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.ended {
            Ended::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Checks the answer on its own and against the executions of all keys.
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

/// Callers on threads of their own. Like a load balancer, they leave a daemon
/// that refuses connections or asks them to close theirs.
pub struct Callers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// For each daemon one caller that searches and one that enters orders.
    pub fn start(tier: &Tier) -> Self {
        let shared = Arc::new(Shared::default());
        let daemons = tier.callers();
        let mut threads = Vec::new();
        for first in 0..daemons.len() {
            for orders in [false, true] {
                let caller = Caller {
                    shared: shared.clone(),
                    daemons: daemons.clone(),
                    left: vec![false; daemons.len()],
                    at: first,
                    session: None,
                };
                threads.push(std::thread::spawn(move || caller.run(orders)));
            }
        }
        Self { shared, threads }
    }

    fn answers(&self) -> usize {
        let records = self.shared.records.lock().expect("no caller panics");
        let answered = |record: &&Record| record.answer().is_some_and(|a| a.status == 200);
        records.iter().filter(answered).count()
    }

    /// Waits until this many more requests have succeeded.
    pub fn wait_for_successes(&self, more: usize) {
        let before = self.answers();
        until("requests that succeed", || {
            (self.answers() >= before + more).then_some(())
        });
    }

    /// Stops the callers after their present requests.
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
    /// Daemons that are stopping or gone.
    left: Vec<bool>,
    at: usize,
    session: Option<Session>,
}

impl Caller {
    fn run(mut self, orders: bool) {
        while !self.shared.stop.load(Ordering::Relaxed) && !self.left.iter().all(|left| *left) {
            if orders {
                self.order();
            } else {
                self.send("/v1/search", &search(), None);
            }
        }
    }

    fn order(&mut self) {
        let keys = self.send("/v1/keys", &json!({"tenant": "sales", "count": 1}), None);
        let Some(key) = keys.and_then(|keys| keys.body["keys"][0].as_str().map(str::to_owned))
        else {
            return;
        };
        self.send("/v1/execute", &order(&key), Some(key));
    }

    fn send(&mut self, path: &str, body: &Value, key: Option<String>) -> Option<Answer> {
        if self.left[self.at] {
            self.at = (self.at + 1) % self.daemons.len();
            self.session = None;
            return None;
        }
        let daemon = self.at;
        let ended = match self
            .session
            .take()
            .or_else(|| Session::open(self.daemons[daemon]))
        {
            Some(mut session) => {
                let ended = session.ask(path, body);
                if matches!(&ended, Ended::Answered(answer) if !answer.closing) {
                    self.session = Some(session);
                }
                ended
            }
            None => Ended::Refused,
        };
        self.left[daemon] = self.session.is_none();
        let answer = match &ended {
            Ended::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        // Answers with keys are of no interest; a cut is, whatever was asked.
        if path != "/v1/keys" || !matches!(ended, Ended::Answered(_)) {
            let record = Record { daemon, key, ended };
            let mut records = self.shared.records.lock().expect("no caller panics");
            records.push(record);
        }
        answer
    }
}
