//! Two daemons, owners and a model backend under loss, repetition, pauses and
//! restarts: no key runs twice, and none that ran is reported as not run.
//!
//! Callers' requests, forwarded requests and outcomes may be lost, repeated and
//! reordered. An `Execute` frame may be lost or late but is not repeated, as a
//! link delivers each frame at most once.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::ServerId;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

const TRIALS: u64 = 20_000;

const KEYS: usize = 3;

/// An attempt and the issuer's incarnation that made it.
type Sent = (ExecutionAttempt, u64);

enum Event {
    /// A caller's request reaches the daemon that issued the key.
    Request(usize),
    /// A caller's request reaches another daemon.
    Forward(usize),
    /// A request reaches the owner of a server, with a time limit.
    Execute(usize, Sent, Duration),
    /// An owner's outcome reaches the issuer.
    Executed(Sent, ExecuteOutcome),
    /// The issuer sees its link break.
    LinkLost(Sent),
    Tick(ExecutionId, u64),
    /// The issuer stops for a while, continues, or is replaced.
    Pause(Duration),
    Resume,
    Restart,
}

/// How often each case occurred.
type Seen = BTreeMap<&'static str, u32>;

const CASES: [&str; 9] = [
    "done",
    "not run",
    "unknown",
    "joined",
    "repeated",
    "refused again",
    "retried",
    "cut by a pause",
    "earlier incarnation",
];

struct Chooser<'a>(&'a mut StdRng);

impl ExecuteChooser for Chooser<'_> {
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

struct World<'a> {
    rng: StdRng,
    now: Timestamp,
    paused_until: Timestamp,
    incarnation: u64,
    issuer: KeyTable,
    other: KeyTable,
    keys: Vec<RequestKey>,
    /// Runs of the issuer's present incarnation.
    runs: BTreeMap<ExecutionId, (usize, Execution)>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next: u64,
    /// Runs of each key at the model backend.
    counter: [u32; KEYS],
    /// Keys that were reported as not run at least once.
    refused: [bool; KEYS],
    /// Runs that reached the backend, and runs reported as not run.
    ran: Vec<(u64, ExecutionId)>,
    told_not_run: Vec<(u64, ExecutionId)>,
    seen: &'a mut Seen,
}

/// A daemon's table whose keys may expire within a trial.
fn short_lived(name: &str, incarnation: u64) -> KeyTable {
    let settings = KeySettings {
        lifetime: Duration::from_millis(400),
        ..KeySettings::default()
    };
    table(name, incarnation, &[OLD], settings)
}

impl World<'_> {
    fn millis(&mut self, most: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..most * 1_000))
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + delay, self.next), event);
    }

    fn handle(&mut self, event: Event) {
        // A paused issuer handles what has arrived only when it resumes.
        if self.now < self.paused_until && !matches!(event, Event::Execute(..)) {
            let wait = self.paused_until.since(self.now);
            return self.after(wait, event);
        }
        let current = self.incarnation;
        match event {
            Event::Request(key) => self.request(key),
            Event::Forward(key) => self.forward(key),
            Event::Execute(key, sent, left) => self.owner(key, sent, left),
            Event::Executed((attempt, incarnation), outcome) if incarnation == current => {
                self.step(attempt.execution, |e, now, cx| {
                    e.on_outcome(now, cx, attempt, outcome)
                });
            }
            Event::LinkLost((attempt, incarnation)) if incarnation == current => {
                self.step(attempt.execution, |e, _, _| e.on_link_lost(attempt));
            }
            Event::Tick(execution, incarnation) if incarnation == current => {
                self.step(execution, |e, now, cx| e.on_tick(now, cx));
            }
            Event::Pause(length) => {
                self.paused_until = self.now + length;
                // What arrived meanwhile may be handled before the watchdog acts.
                let noticed = length + self.millis(4);
                self.after(noticed, Event::Resume);
            }
            Event::Resume => self.resume(),
            Event::Restart => self.restart(),
            _ => {}
        }
    }

    fn count(&mut self, case: &'static str) {
        *self.seen.entry(case).or_default() += 1;
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
                assert!(!self.refused[key], "runs after a refusal as not run");
                self.runs.insert(execution, (key, run));
                self.step(execution, |e, now, cx| e.start(now, cx));
            }
            Begin::Join { .. } => self.count("joined"),
            Begin::Done(outcome) => {
                if self.refused[key] {
                    self.count("refused again");
                }
                self.count("repeated");
                self.tell(key, None, &outcome);
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

    /// The other daemon must not run it, and may deliver it twice or not at all.
    fn forward(&mut self, key: usize) {
        let begin = self
            .other
            .begin(self.now, &self.keys[key], &tenant("t"), digest("{}"));
        assert_eq!(begin, Begin::Refused(ErrorKind::OutcomeUnknown.into()));
        for _ in 0..self.rng.random_range(0..3) {
            let delay = self.millis(30);
            self.after(delay, Event::Request(key));
        }
    }

    fn step(
        &mut self,
        execution: ExecutionId,
        event: impl FnOnce(&mut Execution, Timestamp, &mut dyn ExecuteChooser) -> Vec<ExecuteStep>,
    ) {
        let Some((key, run)) = self.runs.get_mut(&execution) else {
            return;
        };
        let key = *key;
        let was_finished = run.is_finished();
        let steps = event(run, self.now, &mut Chooser(&mut self.rng));
        assert!(!was_finished || steps.is_empty(), "steps after Finish");
        for step in steps {
            self.act(key, execution, step);
        }
    }

    fn act(&mut self, key: usize, execution: ExecutionId, step: ExecuteStep) {
        let incarnation = self.incarnation;
        match step {
            ExecuteStep::Wait { until } => {
                let delay = until.since(self.now);
                self.after(delay, Event::Tick(execution, incarnation));
            }
            ExecuteStep::Finish(outcome) => {
                self.tell(key, Some(execution), &outcome);
                assert!(self.issuer.finish(self.now, execution, outcome));
            }
            ExecuteStep::Send {
                attempt, time_left, ..
            } => {
                if attempt.number > 1 {
                    self.count("retried");
                }
                let (delay, lost) = (self.millis(30), self.millis(40));
                let sent = (attempt, incarnation);
                if self.rng.random_bool(0.9) {
                    self.after(delay, Event::Execute(key, sent, time_left.duration()));
                }
                if self.rng.random_bool(0.2) {
                    self.after(lost, Event::LinkLost(sent));
                }
            }
        }
    }

    fn owner(&mut self, key: usize, sent: Sent, left: Duration) {
        let waited = self.millis(60);
        let outcome = match self.rng.random_range(0..10) {
            _ if waited >= left => not_run(ErrorKind::DeadlineNotRun),
            0..4 => not_run(ErrorKind::Overloaded),
            4 => unknown(),
            choice => {
                self.counter[key] += 1;
                assert_eq!(self.counter[key], 1, "key {key} ran twice");
                self.ran.push((sent.1, sent.0.execution));
                if choice == 5 { unknown() } else { done("{}") }
            }
        };
        for _ in 0..self.rng.random_range(0..3) {
            let delay = waited + self.millis(10);
            self.after(delay, Event::Executed(sent, outcome.clone()));
        }
    }

    /// A caller is told an outcome.
    fn tell(&mut self, key: usize, run: Option<ExecutionId>, outcome: &ExecuteOutcome) {
        match outcome {
            ExecuteOutcome::Done { .. } => {
                assert_eq!(self.counter[key], 1, "done but did not run");
                self.count("done");
            }
            ExecuteOutcome::NotRun { .. } => {
                assert_eq!(self.counter[key], 0, "ran but reported as not run");
                self.count("not run");
                self.refused[key] = true;
                let run = run.map(|run| (self.incarnation, run));
                self.told_not_run.extend(run);
            }
            ExecuteOutcome::Unknown { .. } => self.count("unknown"),
        }
    }

    fn resume(&mut self) {
        let running: Vec<_> = self.runs.keys().copied().collect();
        for execution in running {
            if !self.runs[&execution].1.is_finished() {
                self.count("cut by a pause");
            }
            self.step(execution, |e, _, _| e.on_resumed());
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.issuer = short_lived("a", self.incarnation);
        self.runs.clear();
    }
}

fn trial(seed: u64, seen: &mut Seen) {
    let mut issuer = short_lived("a", 1);
    let now = Timestamp::ZERO;
    let keys = issuer.issue(now, &tenant("t"), KEYS as u32).unwrap();
    let mut world = World {
        rng: StdRng::seed_from_u64(seed),
        now,
        paused_until: now,
        incarnation: 1,
        issuer,
        other: short_lived("b", 1),
        keys,
        runs: BTreeMap::new(),
        events: BTreeMap::new(),
        next: 0,
        counter: [0; KEYS],
        refused: [false; KEYS],
        ran: Vec::new(),
        told_not_run: Vec::new(),
        seen,
    };
    for key in 0..KEYS {
        for _ in 0..world.rng.random_range(1..6) {
            let (delay, at_issuer) = (world.millis(300), world.rng.random_bool(0.6));
            let event = if at_issuer {
                Event::Request
            } else {
                Event::Forward
            };
            world.after(delay, event(key));
        }
    }
    if world.rng.random_bool(0.5) {
        let (start, length) = (world.millis(200), world.millis(100));
        world.after(start, Event::Pause(length));
    }
    if world.rng.random_bool(0.2) {
        let start = world.millis(300);
        world.after(start, Event::Restart);
    }
    while let Some(((at, _), event)) = world.events.pop_first() {
        world.now = world.now.max(at);
        world.handle(event);
    }
    for run in world.runs.values() {
        assert!(run.1.is_finished(), "a run without an outcome");
    }
    for told in &world.told_not_run {
        assert!(
            !world.ran.contains(told),
            "ran after it was reported as not run"
        );
    }
}

/// Guards against a key that runs twice (P5) and against "not run" for one that
/// ran or runs later (P4).
#[test]
fn no_key_runs_twice_and_none_that_ran_is_reported_as_not_run() {
    let mut seen = Seen::default();
    for seed in 0..TRIALS {
        trial(seed, &mut seen);
    }
    println!("{TRIALS} trials: {seen:?}");
    let reached = |case: &&str| seen.get(case).is_some_and(|&n| n > 500);
    assert!(CASES.iter().all(reached), "a case is not reached: {seen:?}");
}
