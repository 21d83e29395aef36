//! Randomized simulation of two daemons, owners and a model backend with message
//! loss, duplicates, pauses and restarts: no key runs twice, and none that ran is
//! reported as not run.
//!
//! Callers' requests, forwarded requests and outcomes may be lost, duplicated and
//! reordered. An `Execute` frame may be lost or delayed but is never duplicated,
//! since a link delivers each frame at most once.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::ServerId;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

const TRIALS: u64 = 20_000;

const KEYS: usize = 3;

/// An attempt and the incarnation of the issuer that sent it.
type Sent = (ExecutionAttempt, u64);

enum Event {
    /// A caller's request reaches the daemon that issued the key.
    Request(usize),
    /// A caller's request reaches another daemon.
    Forward(usize),
    /// A request reaches the owner of a server, with the time left for it.
    Execute(usize, Sent, Duration),
    /// The outcome from an owner reaches the issuer.
    Executed(Sent, ExecuteOutcome),
    /// The issuer detects the loss of its link.
    LinkLost(Sent),
    Tick(ExecutionId, u64),
    /// The issuer is paused, resumes, or is replaced by a new incarnation.
    Pause(Duration),
    Resume,
    Restart,
}

/// Number of times that each case occurred.
type CaseCounts = BTreeMap<&'static str, u32>;

const CASES: [&str; 9] = [
    "done",
    "not run",
    "unknown",
    "joined",
    "repeated",
    "refused again",
    "retried",
    "interrupted by a pause",
    "earlier incarnation",
];

struct RandomChooser<'a>(&'a mut StdRng);

impl ExecuteChooser for RandomChooser<'_> {
    fn choose(&mut self, now: Timestamp, candidates: Candidates<'_>) -> Choice {
        match (self.0.random_range(0..8), candidates.iter().last()) {
            (0, _) => Choice::Wait {
                until: now + Duration::from_millis(3),
            },
            (1, _) | (_, None) => Choice::None(MissingReason::NoReplica),
            (_, Some((index, _))) => Choice::Use(index),
        }
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.0.random_bool(0.8)
    }
}

struct Simulation<'a> {
    rng: StdRng,
    now: Timestamp,
    paused_until: Timestamp,
    incarnation: u64,
    issuer: KeyTable,
    other: KeyTable,
    keys: Vec<RequestKey>,
    /// Executions of the issuer's current incarnation.
    runs: BTreeMap<ExecutionId, (usize, Execution)>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event_id: u64,
    /// How often each key ran at the model backend.
    run_counts: [u32; KEYS],
    /// Keys that were reported as not run at least once.
    refused: [bool; KEYS],
    /// Executions that ran at the backend, and those reported as not run.
    ran: Vec<(u64, ExecutionId)>,
    reported_not_run: Vec<(u64, ExecutionId)>,
    case_counts: &'a mut CaseCounts,
}

/// A key table whose keys may expire within a trial.
fn short_lived(name: &str, incarnation: u64) -> KeyTable {
    let settings = KeySettings {
        lifetime: Duration::from_millis(400),
        ..KeySettings::default()
    };
    table(name, incarnation, &[OLD], settings)
}

impl Simulation<'_> {
    fn random_delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..max_ms * 1_000))
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event_id += 1;
        self.events
            .insert((self.now + delay, self.next_event_id), event);
    }

    fn handle(&mut self, event: Event) {
        // A paused issuer handles pending events only after it resumes.
        if self.now < self.paused_until && !matches!(event, Event::Execute(..)) {
            let wait = self.paused_until.since(self.now);
            return self.schedule(wait, event);
        }
        let current = self.incarnation;
        match event {
            Event::Request(key) => self.request(key),
            Event::Forward(key) => self.forward(key),
            Event::Execute(key, sent, left) => self.execute_at_owner(key, sent, left),
            Event::Executed((attempt, incarnation), outcome) if incarnation == current => {
                self.apply_event(attempt.execution, |e, now, cx| {
                    e.on_outcome(now, cx, attempt, outcome)
                });
            }
            Event::LinkLost((attempt, incarnation)) if incarnation == current => {
                self.apply_event(attempt.execution, |e, _, _| e.on_link_lost(attempt));
            }
            Event::Tick(execution, incarnation) if incarnation == current => {
                self.apply_event(execution, |e, now, cx| e.on_tick(now, cx));
            }
            Event::Pause(length) => {
                self.paused_until = self.now + length;
                // Pending events may be handled before the watchdog detects the pause.
                let noticed = length + self.random_delay(4);
                self.schedule(noticed, Event::Resume);
            }
            Event::Resume => self.resume(),
            Event::Restart => self.restart(),
            _ => {}
        }
    }

    fn count(&mut self, case: &'static str) {
        *self.case_counts.entry(case).or_default() += 1;
    }

    fn request(&mut self, key: usize) {
        let request = digest("{}");
        let begin = self
            .issuer
            .begin(self.now, &self.keys[key], &tenant("t"), request);
        match begin {
            Begin::Run { execution } => {
                let servers = (0..3).map(|i| format!("s{i}").parse().unwrap()).collect();
                let deadline = self.now + Duration::from_millis(60);
                let settings = ExecuteSettings::default();
                let run = Execution::new(execution, servers, deadline, settings);
                assert!(!self.refused[key], "runs after it was reported as not run");
                self.runs.insert(execution, (key, run));
                self.apply_event(execution, |e, now, cx| e.start(now, cx));
            }
            Begin::Join { .. } => self.count("joined"),
            Begin::Done(outcome) => {
                if self.refused[key] {
                    self.count("refused again");
                }
                self.count("repeated");
                self.report(key, None, &outcome);
            }
            Begin::Refused(refusal) => {
                let unknown = ErrorKind::OutcomeUnknown;
                assert_eq!(refusal.kind, unknown, "a key that may have run");
                if self.incarnation > 1 {
                    self.count("earlier incarnation");
                }
            }
        }
    }

    /// The other daemon must not run the request. It may forward it once, twice or
    /// not at all.
    fn forward(&mut self, key: usize) {
        let begin = self
            .other
            .begin(self.now, &self.keys[key], &tenant("t"), digest("{}"));
        assert_eq!(begin, Begin::Refused(ErrorKind::OutcomeUnknown.into()));
        for _ in 0..self.rng.random_range(0..3) {
            let delay = self.random_delay(30);
            self.schedule(delay, Event::Request(key));
        }
    }

    fn apply_event(
        &mut self,
        execution: ExecutionId,
        event: impl FnOnce(&mut Execution, Timestamp, &mut dyn ExecuteChooser) -> Vec<ExecuteStep>,
    ) {
        let Some((key, run)) = self.runs.get_mut(&execution) else {
            return;
        };
        let key = *key;
        let was_finished = run.is_finished();
        let steps = event(run, self.now, &mut RandomChooser(&mut self.rng));
        assert!(!was_finished || steps.is_empty(), "steps after Finish");
        for step in steps {
            self.apply_step(key, execution, step);
        }
    }

    fn apply_step(&mut self, key: usize, execution: ExecutionId, step: ExecuteStep) {
        let incarnation = self.incarnation;
        match step {
            ExecuteStep::Wait { until } => {
                let delay = until.since(self.now);
                self.schedule(delay, Event::Tick(execution, incarnation));
            }
            ExecuteStep::Finish(outcome) => {
                self.report(key, Some(execution), &outcome);
                assert!(self.issuer.finish(self.now, execution, outcome));
            }
            ExecuteStep::Send {
                attempt, time_left, ..
            } => {
                if attempt.number > 1 {
                    self.count("retried");
                }
                let (delay, lost) = (self.random_delay(30), self.random_delay(40));
                let sent = (attempt, incarnation);
                if self.rng.random_bool(0.9) {
                    self.schedule(delay, Event::Execute(key, sent, time_left.duration()));
                }
                if self.rng.random_bool(0.2) {
                    self.schedule(lost, Event::LinkLost(sent));
                }
            }
        }
    }

    fn execute_at_owner(&mut self, key: usize, sent: Sent, left: Duration) {
        let waited = self.random_delay(60);
        let outcome = match self.rng.random_range(0..10) {
            _ if waited >= left => not_run(ErrorKind::DeadlineNotRun),
            0..4 => not_run(ErrorKind::Overloaded),
            4 => unknown(),
            choice => {
                self.run_counts[key] += 1;
                assert_eq!(self.run_counts[key], 1, "key {key} ran twice");
                self.ran.push((sent.1, sent.0.execution));
                if choice == 5 { unknown() } else { done("{}") }
            }
        };
        for _ in 0..self.rng.random_range(0..3) {
            let delay = waited + self.random_delay(10);
            self.schedule(delay, Event::Executed(sent, outcome.clone()));
        }
    }

    /// Checks and counts an outcome that is reported to a caller.
    fn report(&mut self, key: usize, run: Option<ExecutionId>, outcome: &ExecuteOutcome) {
        match outcome {
            ExecuteOutcome::Done { .. } => {
                assert_eq!(self.run_counts[key], 1, "done but did not run");
                self.count("done");
            }
            ExecuteOutcome::NotRun { .. } => {
                assert_eq!(self.run_counts[key], 0, "ran but reported as not run");
                self.count("not run");
                self.refused[key] = true;
                let run = run.map(|run| (self.incarnation, run));
                self.reported_not_run.extend(run);
            }
            ExecuteOutcome::Unknown { .. } => self.count("unknown"),
        }
    }

    fn resume(&mut self) {
        let running: Vec<_> = self.runs.keys().copied().collect();
        for execution in running {
            if !self.runs[&execution].1.is_finished() {
                self.count("interrupted by a pause");
            }
            self.apply_event(execution, |e, _, _| e.on_resumed());
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.issuer = short_lived("a", self.incarnation);
        self.runs.clear();
    }
}

fn trial(seed: u64, case_counts: &mut CaseCounts) {
    let mut issuer = short_lived("a", 1);
    let now = Timestamp::ZERO;
    let keys = issuer.issue(now, &tenant("t"), KEYS as u32).unwrap();
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(seed),
        now,
        paused_until: now,
        incarnation: 1,
        issuer,
        other: short_lived("b", 1),
        keys,
        runs: BTreeMap::new(),
        events: BTreeMap::new(),
        next_event_id: 0,
        run_counts: [0; KEYS],
        refused: [false; KEYS],
        ran: Vec::new(),
        reported_not_run: Vec::new(),
        case_counts,
    };
    for key in 0..KEYS {
        for _ in 0..simulation.rng.random_range(1..6) {
            let (delay, at_issuer) = (
                simulation.random_delay(300),
                simulation.rng.random_bool(0.6),
            );
            let event = if at_issuer {
                Event::Request
            } else {
                Event::Forward
            };
            simulation.schedule(delay, event(key));
        }
    }
    if simulation.rng.random_bool(0.5) {
        let (start, length) = (simulation.random_delay(200), simulation.random_delay(100));
        simulation.schedule(start, Event::Pause(length));
    }
    if simulation.rng.random_bool(0.2) {
        let start = simulation.random_delay(300);
        simulation.schedule(start, Event::Restart);
    }
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = simulation.now.max(at);
        simulation.handle(event);
    }
    for run in simulation.runs.values() {
        assert!(run.1.is_finished(), "a run without an outcome");
    }
    for reported in &simulation.reported_not_run {
        assert!(
            !simulation.ran.contains(reported),
            "ran after it was reported as not run"
        );
    }
}

/// Guards against a key that runs twice (P5), and against "not run" reported for
/// one that ran or runs later (P4).
#[test]
fn no_key_runs_twice_and_none_that_ran_is_reported_as_not_run() {
    let mut case_counts = CaseCounts::default();
    for seed in 0..TRIALS {
        trial(seed, &mut case_counts);
    }
    println!("{TRIALS} trials: {case_counts:?}");
    let reached = |case: &&str| case_counts.get(case).is_some_and(|&n| n > 500);
    assert!(
        CASES.iter().all(reached),
        "a case is not reached: {case_counts:?}"
    );
}
