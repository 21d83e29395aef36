//! Single rules of a search.

use std::{collections::HashSet, time::Duration};

use jasminepond_query::*;
use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};
use jasminepond_wire::PartFailure;
use test_case::test_case;

const LATENCY: Objective = Objective::Latency { max_attempts: 2 };
const COVERAGE: Objective = Objective::Coverage { rounds: 1 };

const fn ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A chooser whose decisions a test sets.
struct Script {
    dead: HashSet<&'static str>,
    none: MissingReason,
    wait: Option<Timestamp>,
    hedge_after: Option<Duration>,
    may_hedge: bool,
    may_retry: bool,
    service_time: Duration,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            dead: HashSet::new(),
            none: MissingReason::NoReplica,
            wait: None,
            hedge_after: None,
            may_hedge: true,
            may_retry: true,
            service_time: Duration::from_millis(20),
        }
    }
}

impl Chooser for Script {
    fn choose(&mut self, _: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
        if let Some(until) = self.wait {
            return Choice::Wait { until };
        }
        let mut live = c.iter().filter(|(_, s)| !self.dead.contains(s.as_str()));
        live.next()
            .map_or(Choice::None(self.none), |(i, _)| Choice::Use(i))
    }

    fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
        self.hedge_after
    }

    fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.may_hedge
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.may_retry
    }

    fn service_time(&mut self, _: Timestamp) -> Duration {
        self.service_time
    }
}

/// Versions 42, 41, ... with shards `s0`, `s1`, ... of replicas `s0-0`, `s0-1`, ...
fn plan(versions: u64, shards: usize, replicas: usize) -> Plan {
    let service = |s: usize| {
        let server = |r: usize| format!("s{s}-{r}").parse().unwrap();
        let servers = (0..replicas).map(server).collect();
        (format!("s{s}").parse().unwrap(), servers)
    };
    let version = |v: u64| VersionPlan {
        version: Version(42 - v),
        services: (0..shards).map(service).collect(),
    };
    Plan {
        id: QueryId(7),
        group: "kits".parse().unwrap(),
        versions: (0..versions).map(version).collect(),
        limit: 3,
    }
}

fn search(plan: Plan, objective: Objective) -> Search {
    let settings = Settings {
        objective,
        ..Settings::default()
    };
    Search::new(plan, ms(0), ms(250), settings).unwrap()
}

fn id(part: u32) -> AttemptId {
    let search = QueryId(7);
    AttemptId { search, part }
}

fn empty(version: u64) -> ShardAnswer {
    hits(version, 0, &[])
}

fn hits(version: u64, count: u64, hits: &[(&str, f64)]) -> ShardAnswer {
    let hit = |&(id, value): &(&str, f64)| Hit {
        id: id.into(),
        score: Score::new(value).unwrap(),
    };
    ShardAnswer {
        version: Version(version),
        count,
        hits: hits.iter().map(hit).collect(),
    }
}

fn failure(part: PartFailure) -> Failure {
    Failure::Part(part)
}

/// Steps in short: `>0 s0-1@42` sends, `x0` cancels, `w30` waits until 30 ms,
/// `=42 1/2 s0:timeout` finishes.
fn text(steps: &[Step]) -> String {
    let step = |step: &Step| match step {
        Step::Send {
            attempt,
            server,
            version,
            ..
        } => format!(">{} {server}@{version}", attempt.part),
        Step::Cancel { attempt } => format!("x{}", attempt.part),
        Step::Wait { until } => format!("w{}", until.as_micros() / 1_000),
        Step::Finish(a) => {
            let missing = a.coverage.missing.iter();
            let missing: String = missing.map(|(s, r)| format!(" {s}:{r}")).collect();
            let (answered, shards) = (a.coverage.answered, a.coverage.shards);
            format!("={} {answered}/{shards}{missing}", a.version)
        }
    };
    steps.iter().map(step).collect::<Vec<_>>().join(", ")
}

/// Guards against an empty, repeated, foreign or late answer being miscounted.
#[test]
fn each_shard_counts_once() {
    let (mut s, cx) = (search(plan(1, 2, 1), COVERAGE), &mut Script::default());
    assert_eq!(text(&s.start(ms(0), cx)), ">0 s0-0@42, >1 s1-0@42, w245");
    assert_eq!(text(&s.start(ms(0), cx)), "");
    assert_eq!(text(&s.on_answer(ms(1), cx, id(0), empty(42))), "");
    assert_eq!(
        text(&s.on_answer(ms(2), cx, id(0), hits(42, 9, &[("a", 1.0)]))),
        ""
    );
    let foreign = AttemptId {
        search: QueryId(8),
        part: 1,
    };
    assert_eq!(text(&s.on_answer(ms(2), cx, foreign, empty(42))), "");
    assert_eq!(text(&s.on_answer(ms(2), cx, id(2), empty(42))), "");
    let steps = s.on_answer(ms(3), cx, id(1), hits(42, 1, &[("b", 1.0)]));
    assert_eq!(text(&steps), "=42 2/2");
    let Some(Step::Finish(answer)) = steps.last() else {
        panic!()
    };
    assert_eq!(
        (answer.count, answer.hits.len(), answer.limited),
        (1, 1, false)
    );
    assert_eq!(text(&s.on_answer(ms(4), cx, id(1), empty(42))), "");
    assert_eq!(text(&s.on_tick(ms(300), cx)), "");
}

/// Guards against an unstable order of hits and a wrong statement that all
/// matches are listed.
#[test]
fn hits_are_the_best_of_all_shards_in_a_fixed_order() {
    let (mut s, cx) = (search(plan(1, 2, 1), COVERAGE), &mut Script::default());
    s.start(ms(0), cx);
    s.on_answer(
        ms(1),
        cx,
        id(1),
        hits(42, 9, &[("c", 1.0), ("b", 2.0), ("z", -3.0)]),
    );
    let steps = s.on_answer(ms(1), cx, id(0), hits(42, 2, &[("a", 1.0), ("c", 1.0)]));
    let [Step::Finish(answer)] = &steps[..] else {
        panic!()
    };
    let order: Vec<_> = answer
        .hits
        .iter()
        .map(|h| (&*h.id, h.shard.as_str()))
        .collect();
    assert_eq!(order, [("b", "s1"), ("a", "s0"), ("c", "s0")]);
    assert_eq!((answer.count, answer.limited), (11, true));
}

/// Guards against an answer that mixes versions: a wrong version is a failure,
/// and the other replica is tried.
#[test]
fn an_answer_from_another_version_is_a_failure() {
    let (mut s, cx) = (search(plan(1, 1, 2), COVERAGE), &mut Script::default());
    s.start(ms(0), cx);
    assert_eq!(
        text(&s.on_answer(ms(1), cx, id(0), empty(41))),
        ">1 s0-1@42"
    );
    assert_eq!(
        text(&s.on_answer(ms(2), cx, id(1), empty(43))),
        "=42 0/1 s0:failed"
    );
}

fn lack(s: &mut Search, cx: &mut Script, at: u64, part: u32, held: &[u64]) -> String {
    let held: Vec<_> = held.iter().map(|&v| Version(v)).collect();
    let lacking = failure(PartFailure::VersionUnavailable);
    text(&s.on_failure(ms(at), cx, id(part), lacking, &held))
}

/// Guards against answers of an abandoned version, and against a restart on a
/// version that the servers said they do not hold.
#[test]
fn a_withdrawn_version_restarts_the_search() {
    let (mut s, cx) = (search(plan(3, 2, 2), COVERAGE), &mut Script::default());
    s.start(ms(0), cx);
    s.on_answer(ms(1), cx, id(0), hits(42, 5, &[("old", 9.0)]));
    assert_eq!(lack(&mut s, cx, 2, 1, &[40]), ">2 s1-1@42");
    assert_eq!(lack(&mut s, cx, 3, 2, &[40]), ">3 s0-0@40, >4 s1-0@40");
    assert_eq!(text(&s.on_answer(ms(4), cx, id(2), empty(42))), "");
    s.on_answer(ms(5), cx, id(3), empty(40));
    let steps = s.on_answer(ms(6), cx, id(4), empty(40));
    assert_eq!(text(&steps), "=40 2/2");
    let [Step::Finish(answer)] = &steps[..] else {
        panic!()
    };
    assert_eq!((answer.count, answer.hits.len()), (0, 0));
}

/// Guards against a restart without time for it, without a version left, or
/// because of load, which would multiply the load.
#[test]
fn a_search_restarts_only_when_that_can_help() {
    let cx = &mut Script::default();
    let mut late = search(plan(2, 2, 1), COVERAGE);
    late.start(ms(0), cx);
    assert_eq!(lack(&mut late, cx, 226, 0, &[41]), "");
    assert_eq!(
        text(&late.on_tick(ms(245), cx)),
        "x1, =42 0/2 s0:version_unavailable, s1:timeout".replace(", s1", " s1")
    );
    let mut none = search(plan(2, 1, 1), COVERAGE);
    none.start(ms(0), cx);
    assert_eq!(
        lack(&mut none, cx, 1, 0, &[42, 39]),
        "=42 0/1 s0:version_unavailable"
    );
    let mut loaded = search(plan(2, 1, 2), COVERAGE);
    loaded.start(ms(0), cx);
    loaded.on_failure(ms(1), cx, id(0), failure(PartFailure::Overloaded), &[]);
    assert_eq!(
        lack(&mut loaded, cx, 2, 1, &[41]),
        "=42 0/1 s0:version_unavailable"
    );
    let mut gone = search(plan(2, 1, 2), COVERAGE);
    gone.start(ms(0), cx);
    gone.on_failure(ms(1), cx, id(0), failure(PartFailure::Unreachable), &[]);
    assert_eq!(lack(&mut gone, cx, 2, 1, &[41]), ">2 s0-0@41");
    assert_eq!(lack(&mut gone, cx, 3, 2, &[]), ">3 s0-1@41");
    assert_eq!(
        lack(&mut gone, cx, 4, 3, &[]),
        "=41 0/1 s0:version_unavailable"
    );
}

/// Guards against a chooser that knows that no replica holds the newest version
/// being ignored, and against restarting for ever.
#[test]
fn the_chooser_can_rule_out_a_version() {
    let cx = &mut Script {
        dead: ["s0-0"].into(),
        none: MissingReason::VersionUnavailable,
        ..Script::default()
    };
    let mut s = search(plan(3, 1, 1), COVERAGE);
    assert_eq!(text(&s.start(ms(0), cx)), "=40 0/1 s0:version_unavailable");
}

/// Guards against a hedged request that counts twice, that leaves its loser
/// running, that ignores the budget, or that follows another one.
#[test]
fn hedged_requests_cancel_the_loser() {
    let cx = &mut Script {
        hedge_after: Some(Duration::from_millis(30)),
        may_hedge: false,
        ..Script::default()
    };
    let mut s = search(plan(1, 1, 3), COVERAGE);
    assert_eq!(text(&s.start(ms(0), cx)), ">0 s0-0@42, w30");
    assert_eq!(text(&s.on_tick(ms(29), cx)), "w30");
    assert_eq!(text(&s.on_tick(ms(30), cx)), "w35");
    cx.may_hedge = true;
    assert_eq!(text(&s.on_tick(ms(35), cx)), ">1 s0-1@42, w245");
    assert_eq!(text(&s.on_tick(ms(99), cx)), "w245");
    assert_eq!(
        text(&s.on_answer(ms(100), cx, id(1), empty(42))),
        "x0, =42 1/1"
    );
}

/// Guards against a retry while a hedged request is still in flight.
#[test]
fn a_failed_attempt_leaves_the_other_one_running() {
    let cx = &mut Script {
        hedge_after: Some(Duration::from_millis(30)),
        ..Script::default()
    };
    let mut s = search(plan(1, 1, 3), COVERAGE);
    s.start(ms(0), cx);
    s.on_tick(ms(30), cx);
    let failed = failure(PartFailure::Failed);
    assert_eq!(text(&s.on_failure(ms(31), cx, id(0), failed, &[])), "");
    assert_eq!(
        text(&s.on_failure(ms(32), cx, id(1), failed, &[])),
        ">2 s0-2@42"
    );
}

/// Guards against giving a shard up for coverage while a replica is live, and
/// against retries without permission.
#[test]
fn coverage_delays_a_refused_retry_and_tries_every_replica() {
    let cx = &mut Script {
        may_retry: false,
        ..Script::default()
    };
    let overloaded = failure(PartFailure::Overloaded);
    let mut s = search(plan(1, 1, 2), Objective::Coverage { rounds: 2 });
    s.start(ms(0), cx);
    assert_eq!(text(&s.on_failure(ms(1), cx, id(0), overloaded, &[])), "w6");
    assert_eq!(text(&s.on_tick(ms(6), cx)), "w11");
    cx.may_retry = true;
    assert_eq!(text(&s.on_tick(ms(11), cx)), ">1 s0-1@42, w245");
    assert_eq!(
        text(&s.on_failure(ms(12), cx, id(1), overloaded, &[])),
        "w17"
    );
    assert_eq!(text(&s.on_tick(ms(17), cx)), ">2 s0-0@42, w245");
    s.on_failure(ms(18), cx, id(2), overloaded, &[]);
    assert_eq!(
        text(&s.on_failure(ms(19), cx, id(3), overloaded, &[])),
        "=42 0/1 s0:overloaded"
    );
}

/// Guards against late answers for the sake of coverage where latency matters.
#[test]
fn latency_gives_up_early() {
    let failed = failure(PartFailure::Failed);
    let cx = &mut Script::default();
    let mut s = search(plan(1, 1, 3), LATENCY);
    s.start(ms(0), cx);
    assert_eq!(
        text(&s.on_failure(ms(1), cx, id(0), failed, &[])),
        ">1 s0-1@42"
    );
    assert_eq!(
        text(&s.on_failure(ms(2), cx, id(1), failed, &[])),
        "=42 0/1 s0:failed"
    );
    cx.may_retry = false;
    let mut refused = search(plan(1, 1, 3), LATENCY);
    refused.start(ms(0), cx);
    assert_eq!(
        text(&refused.on_failure(ms(1), cx, id(0), failed, &[])),
        "=42 0/1 s0:failed"
    );
}

/// Guards against a lost owner that loses the shard, and against an endless loop
/// between two daemons that both disclaim a server.
#[test]
fn a_lost_owner_is_replaced_once() {
    let cx = &mut Script::default();
    let mut s = search(plan(1, 2, 1), COVERAGE);
    s.start(ms(0), cx);
    let steps = s.on_owner_lost(ms(1), cx, [id(0), id(1), id(9)]);
    assert_eq!(text(&steps), ">2 s0-0@42, >3 s1-0@42");
    let not_owner = PartFailure::NotOwner.into();
    assert_eq!(text(&s.on_failure(ms(2), cx, id(2), not_owner, &[])), "");
    let steps = s.on_answer(ms(3), cx, id(3), empty(42));
    assert_eq!(text(&steps), "=42 1/2 s0:owner_lost");
}

/// Guards against a missing shard that is reported with a wrong reason.
#[test_case(PartFailure::Failed, "failed")]
#[test_case(PartFailure::Timeout, "timeout")]
#[test_case(PartFailure::Overloaded, "overloaded")]
#[test_case(PartFailure::VersionUnavailable, "version_unavailable")]
#[test_case(PartFailure::WrongVersion, "failed")]
#[test_case(PartFailure::Draining, "no_replica")]
#[test_case(PartFailure::Unreachable, "no_replica")]
#[test_case(PartFailure::Cancelled, "failed")]
fn failures_become_reasons(part: PartFailure, reason: &str) {
    let (mut s, cx) = (search(plan(1, 1, 1), COVERAGE), &mut Script::default());
    s.start(ms(0), cx);
    let steps = s.on_failure(ms(1), cx, id(0), failure(part), &[]);
    assert_eq!(text(&steps), format!("=42 0/1 s0:{reason}"));
}

/// Guards against a search that hangs, panics or asks in a busy loop where there
/// is nothing to search or the chooser's decision is of no use.
#[test]
fn degenerate_plans_and_choices_end() {
    let cx = &mut Script::default();
    assert!(Search::new(plan(0, 0, 0), ms(0), ms(9), Settings::default()).is_err());
    assert_eq!(
        text(&search(plan(1, 0, 0), COVERAGE).start(ms(0), cx)),
        "=42 0/0"
    );
    let mut none = search(plan(1, 1, 0), COVERAGE);
    assert_eq!(text(&none.start(ms(0), cx)), "=42 0/1 s0:no_replica");
    let mut past = search(plan(1, 1, 1), COVERAGE);
    assert_eq!(
        text(&past.start(ms(250), cx)),
        ">0 s0-0@42, x0, =42 0/1 s0:timeout"
    );
    cx.wait = Some(ms(0));
    let mut waiting = search(plan(1, 1, 1), COVERAGE);
    let [Step::Wait { until }] = waiting.start(ms(9), cx)[..] else {
        panic!()
    };
    assert!(until > ms(9));
    assert_eq!(text(&waiting.on_tick(ms(245), cx)), "=42 0/1 s0:timeout");
}
