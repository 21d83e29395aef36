//! Non-idempotent requests: several daemons, each with its [`KeyTable`] and
//! [`Execution`]s, the links between them, and servers that count the runs of each
//! request key.

mod faults;
mod servers;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use jasminepond_query::{
    Begin, Candidates, Choice, ExecuteChooser, ExecuteOutcome, ExecuteSettings, ExecuteStep,
    Execution, ExecutionAttempt, KeyOrigin, KeyRing, KeySettings, KeyTable, MissingReason,
    RequestDigest, RequestKey,
};
use jasminepond_types::{ErrorKind, Incarnation, ServerId, TenantId, Timestamp};

use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec},
    run::format_time,
};

pub(crate) const SPEC: Spec = Spec {
    name: "execute",
    setup: &["daemon", "servers"],
    events: &[
        "issue", "request", "runs", "reply", "lose", "down", "up", "tick", "kill", "restart",
        "pause", "wake", "cut", "heal",
    ],
    outputs: &["issued", "send", "join", "respond", "broken", "wait"],
    mechanisms: &[
        "key-table",
        "forwarding",
        "incarnation-check",
        "expiry-check",
        "unknown-after-send",
        "pause-check",
        "suspended-clock",
    ],
    new,
};

/// Delay before an execution without a usable server chooses again.
const RECHOOSE_INTERVAL: Duration = Duration::from_millis(20);

struct ScriptedChooser<'a>(&'a BTreeSet<ServerId>);

impl ExecuteChooser for ScriptedChooser<'_> {
    fn choose(&mut self, now: Timestamp, candidates: Candidates<'_>) -> Choice {
        let mut usable = candidates.iter().filter(|(_, id)| !self.0.contains(*id));
        let until = now + RECHOOSE_INTERVAL;
        match usable.next() {
            Some((index, _)) => Choice::Use(index),
            None if candidates.iter().next().is_some() => Choice::Wait { until },
            None => Choice::None(MissingReason::NoReplica),
        }
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        true
    }
}

struct Run {
    key: String,
    execution: Execution,
    /// The daemons whose callers wait for the outcome.
    waiting: Vec<String>,
    wait: Option<Timestamp>,
}

struct Daemon {
    incarnation: u64,
    table: KeyTable,
    up: bool,
    paused: bool,
    /// When the last pause began.
    paused_at: Timestamp,
    /// Lag of a clock that stops during a pause.
    clock_lag: Duration,
    runs: Vec<Run>,
}

struct Sent {
    key: String,
    server: ServerId,
    daemon: String,
    incarnation: u64,
    attempt: ExecutionAttempt,
    /// Whether the server ran it, or it is certain that it will not run.
    decided: bool,
}

struct Cluster {
    disabled: String,
    lifetime: Duration,
    ring: KeyRing,
    servers: Vec<ServerId>,
    down: BTreeSet<ServerId>,
    daemons: BTreeMap<String, Daemon>,
    keys: HashMap<String, RequestKey>,
    /// Issues execution ids for requests that the key table refused, while a check
    /// of the table is disabled.
    unchecked_keys: KeyTable,
    cut: BTreeSet<(String, String)>,
    sent: Vec<Sent>,
    /// Number of runs at the servers, by key.
    run_counts: BTreeMap<String, u32>,
    /// Length of `sent` when a caller was last told that the request did not run, by
    /// key. Entries before it must not run afterwards.
    not_run: BTreeMap<String, usize>,
    violation: Option<String>,
}

fn new(args: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    let shared = "scenario-shared-key".parse().expect("a valid key");
    let ring = KeyRing::new([shared]).expect("one key");
    let lifetime = args.key_time("lifetime")?;
    Ok(Box::new(Cluster {
        disabled: disabled.unwrap_or_default().to_owned(),
        lifetime: lifetime.unwrap_or(Duration::from_secs(600)),
        unchecked_keys: table("rogue", 0, Duration::from_secs(600), &ring),
        ring,
        servers: Vec::new(),
        down: BTreeSet::new(),
        daemons: BTreeMap::new(),
        keys: HashMap::new(),
        cut: BTreeSet::new(),
        sent: Vec::new(),
        run_counts: BTreeMap::new(),
        not_run: BTreeMap::new(),
        violation: None,
    }))
}

fn table(name: &str, incarnation: u64, lifetime: Duration, ring: &KeyRing) -> KeyTable {
    let settings = KeySettings {
        lifetime,
        ..KeySettings::default()
    };
    let name = name.parse().expect("a valid id");
    let seed = [incarnation as u8; 32];
    KeyTable::new(settings, name, Incarnation(incarnation), ring.clone(), seed)
}

fn tenant() -> TenantId {
    "tenant".parse().expect("a valid id")
}

fn digest(operation: &str) -> RequestDigest {
    let class = "class".parse().expect("a valid id");
    let group = "group".parse().expect("a valid id");
    RequestDigest::new(&tenant(), &class, &group, operation.as_bytes())
}

impl Machine for Cluster {
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error> {
        while args.expect_end().is_err() {
            if word == "servers" {
                self.servers.push(args.parse("a server")?);
                continue;
            }
            let name = args.word("a daemon")?;
            let table = table(name, 1, self.lifetime, &self.ring);
            let daemon = Daemon {
                incarnation: 1,
                table,
                up: true,
                paused: false,
                paused_at: Timestamp::ZERO,
                clock_lag: Duration::ZERO,
                runs: Vec::new(),
            };
            self.daemons.insert(name.into(), daemon);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        match word {
            "issue" => self.issue(now, args),
            "request" => self.request(now, args),
            "runs" => {
                let at = self.find_sent(args)?;
                self.mark_decided(at, args)?;
                self.record_run(at);
                Ok(Vec::new())
            }
            "reply" => self.reply(now, args),
            "lose" => self.lose_link(now, args),
            "down" | "up" => {
                while args.expect_end().is_err() {
                    let server = args.parse("a server")?;
                    match word {
                        "down" => self.down.insert(server),
                        _ => self.down.remove(&server),
                    };
                }
                Ok(Vec::new())
            }
            "cut" | "heal" => self.cut_or_heal(word, args),
            "tick" => Ok(self.tick(now)),
            _ => self.apply_fault(now, word, args),
        }
    }

    fn state(
        &mut self,
        _: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error> {
        let name = args.word("a key")?;
        let ran = self.run_counts.get(name).copied().unwrap_or(0);
        let sent = self.sent.iter().filter(|s| s.key == name).count();
        Ok(match key {
            "ran" => Some(ran.to_string()),
            "sent" => Some(sent.to_string()),
            _ => None,
        })
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    fn next_timer(&self) -> Option<Timestamp> {
        let running = self.daemons.values().filter(|d| d.up && !d.paused);
        running.flat_map(|d| &d.runs).filter_map(|r| r.wait).min()
    }
}

impl Cluster {
    fn issue(&mut self, now: Timestamp, args: &mut Args<'_>) -> Result<Vec<Out>, Error> {
        let daemon = args.word("a daemon")?;
        let key = args.word("a name for the key")?;
        let issued = self.daemons.get_mut(daemon);
        let issued = issued.and_then(|d| d.table.issue(now, &tenant(), 1).ok());
        let Some(issued) = issued.and_then(|mut keys| keys.pop()) else {
            return Err(args.error("a daemon that can issue keys"));
        };
        self.keys.insert(key.into(), issued);
        Ok(vec![Out::new([&"issued", &key]).optional()])
    }

    fn request(&mut self, now: Timestamp, args: &mut Args<'_>) -> Result<Vec<Out>, Error> {
        let via = args.word("a daemon")?;
        let key = args.word("a key")?;
        let operation = args.key_word("op")?.unwrap_or("op");
        let limit = args.key_time("deadline")?;
        let deadline = now + limit.unwrap_or(Duration::from_millis(250));
        let unknown = args.error("a daemon and a key that exist");
        let (Some(text), Some(daemon)) = (self.keys.get(key), self.daemons.get(via)) else {
            return Err(unknown);
        };
        if !daemon.up {
            return Ok(vec![Out::new([&"broken", &key]).with("via", via)]);
        }
        let issuer = match daemon.table.classify(text) {
            KeyOrigin::OtherInstance {
                instance,
                incarnation,
            } if self.disabled != "forwarding" => {
                let name = instance.as_str();
                let peer = self.daemons.get(name);
                let reachable = peer
                    .is_some_and(|p| p.up && !p.paused && p.incarnation == incarnation.get())
                    && !self.is_partitioned(via, name);
                if !reachable {
                    return Ok(vec![self.respond(key, via, &unknown_outcome())]);
                }
                name.to_owned()
            }
            _ => via.to_owned(),
        };
        Ok(self.begin(now, &issuer, via, key, operation, deadline))
    }

    /// Starts, joins, answers or refuses a request at the daemon that is responsible
    /// for its key.
    fn begin(
        &mut self,
        now: Timestamp,
        at: &str,
        via: &str,
        key: &str,
        operation: &str,
        deadline: Timestamp,
    ) -> Vec<Out> {
        let text = self.keys[key].clone();
        let daemon = self.daemons.get_mut(at).expect("a known daemon");
        let class = daemon.table.classify(&text);
        let begin = daemon.table.begin(now, &text, &tenant(), digest(operation));
        let begin = match (self.disabled.as_str(), &begin, &class) {
            ("key-table", Begin::Join { .. } | Begin::Done(_), _)
            | ("forwarding", Begin::Refused(_), KeyOrigin::OtherInstance { .. })
            | ("incarnation-check", Begin::Refused(_), KeyOrigin::EarlierIncarnation)
            | ("expiry-check", Begin::Refused(_), KeyOrigin::Own) => {
                let keys = self.unchecked_keys.issue(now, &tenant(), 1).expect("a key");
                self.unchecked_keys
                    .begin(now, &keys[0], &tenant(), digest(operation))
            }
            _ => begin,
        };
        match begin {
            Begin::Run { execution } => {
                let servers: Arc<[ServerId]> = self.servers.clone().into();
                let settings = ExecuteSettings::default();
                let mut run = Run {
                    key: key.to_owned(),
                    execution: Execution::new(execution, servers, deadline, settings),
                    waiting: vec![via.to_owned()],
                    wait: None,
                };
                let steps = run.execution.start(now, &mut ScriptedChooser(&self.down));
                self.daemon(at).runs.push(run);
                let last = self.daemon(at).runs.len() - 1;
                self.steps(now, at, last, steps)
            }
            Begin::Join { execution } => {
                let mut runs = self.daemon(at).runs.iter_mut();
                if let Some(run) = runs.find(|r| r.execution.id() == execution) {
                    run.waiting.push(via.to_owned());
                }
                vec![Out::new([&"join", &key]).with("via", via)]
            }
            Begin::Done(outcome) => vec![self.respond(key, via, &outcome)],
            Begin::Refused(refusal) => {
                vec![Out::new([&"respond", &key, &refusal.kind]).with("via", via)]
            }
        }
    }

    fn daemon(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).expect("a known daemon")
    }

    fn steps(
        &mut self,
        now: Timestamp,
        at: &str,
        index: usize,
        steps: Vec<ExecuteStep>,
    ) -> Vec<Out> {
        let mut outs = Vec::new();
        let mut finished = None;
        let daemon = self.daemons.get_mut(at).expect("a known daemon");
        let run = &mut daemon.runs[index];
        for step in steps {
            match step {
                ExecuteStep::Send {
                    attempt,
                    server,
                    time_left,
                } => {
                    let out = Out::new([&"send", &run.key, &server]);
                    outs.push(out.with("from", at).with("left", time_left.0));
                    self.sent.push(Sent {
                        key: run.key.clone(),
                        server,
                        daemon: at.to_owned(),
                        incarnation: daemon.incarnation,
                        attempt,
                        decided: false,
                    });
                }
                ExecuteStep::Wait { until } => {
                    run.wait = Some(until);
                    outs.push(Out::new([&"wait", &format_time(until)]).optional());
                }
                ExecuteStep::Finish(outcome) => finished = Some(outcome),
            }
        }
        if let Some(outcome) = finished {
            let run = daemon.runs.remove(index);
            daemon
                .table
                .finish(now, run.execution.id(), outcome.clone());
            for via in &run.waiting {
                outs.push(self.respond(&run.key, via, &outcome));
            }
        }
        outs
    }

    fn respond(&mut self, key: &str, via: &str, outcome: &ExecuteOutcome) -> Out {
        let out =
            |what: &dyn std::fmt::Display| Out::new([&"respond", &key, what]).with("via", via);
        match outcome {
            ExecuteOutcome::Done { result } => {
                out(&"done").with("result", String::from_utf8_lossy(result))
            }
            ExecuteOutcome::NotRun { kind, retry_after } => {
                self.not_run.insert(key.to_owned(), self.sent.len());
                if self.run_counts.contains_key(key) {
                    self.violation = Some(format!("{key} ran and was reported as not run"));
                }
                let retry = retry_after.map_or(0, |m| m.0);
                out(&"not_run").with("kind", kind).with("retry", retry)
            }
            ExecuteOutcome::Unknown { .. } => out(&"unknown"),
        }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<Out> {
        let mut outs = Vec::new();
        for name in self.daemons.keys().cloned().collect::<Vec<_>>() {
            let daemon = self.daemon(&name);
            if !daemon.up || daemon.paused {
                continue;
            }
            for index in (0..daemon.runs.len()).rev() {
                outs.extend(self.tick_run(now, &name, index));
            }
        }
        outs
    }

    fn tick_run(&mut self, now: Timestamp, name: &str, index: usize) -> Vec<Out> {
        let daemon = self.daemons.get_mut(name).expect("a known daemon");
        let run = &mut daemon.runs[index];
        if run.wait.is_none_or(|at| at > now) {
            return Vec::new();
        }
        run.wait = None;
        let clock = now - daemon.clock_lag;
        let steps = run
            .execution
            .on_tick(clock, &mut ScriptedChooser(&self.down));
        self.steps(now, name, index, steps)
    }
}

fn unknown_outcome() -> ExecuteOutcome {
    ExecuteOutcome::Unknown {
        kind: ErrorKind::OutcomeUnknown,
        detail: "the issuer cannot be reached".into(),
    }
}
