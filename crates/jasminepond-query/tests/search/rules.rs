//! Scripted cases of a search: events and the steps expected from each.

use test_case::test_case;

use super::*;

const LATENCY: Objective = Objective::Latency { max_attempts: 2 };
const COVERAGE: Objective = Objective::Coverage { rounds: 1 };
const TWO_ROUNDS: Objective = Objective::Coverage { rounds: 2 };

/// Chooses the first live candidate. The `set` lines of a script change the rest.
#[derive(Default)]
struct Script {
    dead: Vec<String>,
    lacking: bool,
    wait: Option<Timestamp>,
    hedge: bool,
    no_hedge: bool,
    no_retry: bool,
}

impl Script {
    fn set(&mut self, name: &str, value: &str) {
        let on = value == "on";
        match name {
            "dead" => self.dead.push(value.into()),
            "lacking" => self.lacking = on,
            "wait" => self.wait = Some(ms(value.parse().unwrap())),
            "hedge" => self.hedge = on,
            "no-hedge" => self.no_hedge = on,
            "no-retry" => self.no_retry = on,
            _ => panic!("unknown setting {name}"),
        }
    }
}

impl Chooser for Script {
    fn choose(&mut self, _: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
        if let Some(until) = self.wait {
            return Choice::Wait { until };
        }
        let live = |(_, s): &(usize, &ServerId)| !self.dead.iter().any(|d| d == s.as_str());
        match c.iter().find(live) {
            Some((index, _)) => Choice::Use(index),
            None if self.lacking => Choice::None(MissingReason::VersionUnavailable),
            None => Choice::None(MissingReason::NoReplica),
        }
    }

    fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
        self.hedge.then_some(Duration::from_millis(30))
    }

    fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
        !self.no_hedge
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        !self.no_retry
    }

    fn service_time(&mut self, _: Timestamp) -> Duration {
        Duration::from_millis(20)
    }
}

/// A plan of search 7 over versions 42, 41, ..., all with the same shards.
fn uniform(versions: u64, shards: usize, replicas: usize) -> Plan {
    let version = |v| shard_map(42 - v, vec![replicas; shards]);
    plan(7, 3, (0..versions).map(version))
}

fn failure(name: &str) -> Failure {
    let mut all = PartFailure::ALL.iter();
    (*all.find(|f| format!("{f:?}") == name).unwrap()).into()
}

/// Parses `part` or `search/part`.
fn attempt(text: &str) -> AttemptId {
    let (search, part) = text.split_once('/').unwrap_or(("7", text));
    AttemptId {
        search: search.parse().unwrap(),
        part: part.parse().unwrap(),
    }
}

/// Parses `version count id:score ...`.
fn answer(words: &[&str]) -> ShardAnswer {
    let hit = |word: &&str| {
        let (id, score) = word.split_once(':').unwrap();
        hit(id, score.parse().unwrap())
    };
    ShardAnswer {
        version: words[0].parse().unwrap(),
        count: words[1].parse().unwrap(),
        hits: words[2..].iter().map(hit).collect(),
    }
}

/// Formats steps: `>0 s0-1@42` sends, `x0` cancels, `w30` waits until 30 ms, and
/// `=42 1/2 s0:timeout` finishes. ` #count id@shard ...` lists the hits, with a `+`
/// if there are more matches.
fn text(steps: &[Step]) -> String {
    let step = |step: &Step| match step {
        Step::Send {
            attempt,
            server,
            version,
            ..
        } => {
            format!(">{} {server}@{version}", attempt.part)
        }
        Step::Cancel { attempt } => format!("x{}", attempt.part),
        Step::Wait { until } => format!("w{}", until.as_micros() / 1_000),
        Step::Finish(a) => {
            let missing = a.coverage.missing.iter();
            let missing: String = missing.map(|(s, r)| format!(" {s}:{r}")).collect();
            let hits = a.hits.iter();
            let hits: String = hits.map(|h| format!(" {}@{}", h.id, h.shard)).collect();
            let count = if a.count > 0 {
                format!(" #{}", a.count)
            } else {
                String::new()
            };
            let more = if a.limited { "+" } else { "" };
            let (answered, shards) = (a.coverage.answered, a.coverage.shards);
            format!(
                "={} {answered}/{shards}{missing}{count}{hits}{more}",
                a.version
            )
        }
    };
    steps.iter().map(step).collect::<Vec<_>>().join(", ")
}

/// Runs lines of `time event -> steps` on a search with a deadline of 250 ms.
fn run(plan: Plan, objective: Objective, script: &str) {
    let settings = SearchSettings {
        objective,
        ..SearchSettings::default()
    };
    let mut search = Search::new(plan, ms(0), ms(250), settings).unwrap();
    let chooser = &mut Script::default();
    for line in script
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
    {
        let (event, expected) = line.split_once("->").unwrap_or((line, ""));
        let words: Vec<_> = event.split_whitespace().collect();
        let now = || ms(words[0].parse().unwrap());
        let steps = match words[1..] {
            [name, value] if words[0] == "set" => {
                chooser.set(name, value);
                continue;
            }
            ["start"] => search.start(now(), chooser),
            ["tick"] => search.on_tick(now(), chooser),
            ["ok", part, ..] => {
                search.on_answer(now(), chooser, attempt(part), answer(&words[3..]))
            }
            ["fail", part, reason, ..] => {
                let held: Vec<_> = words[4..].iter().map(|v| v.parse().unwrap()).collect();
                search.on_failure(now(), chooser, attempt(part), failure(reason), &held)
            }
            ["lost", ..] => {
                search.on_owner_lost(now(), chooser, words[2..].iter().map(|part| attempt(part)))
            }
            _ => panic!("unknown event in {line}"),
        };
        assert_eq!(text(&steps), expected.trim(), "{line}");
    }
}

/// Guards against miscounting empty, repeated or late answers and those for
/// another search.
#[test]
fn each_shard_counts_once() {
    run(
        uniform(1, 2, 1),
        COVERAGE,
        "
        0 start -> >0 s0-0@42, >1 s1-0@42, w245
        0 start ->
        1 ok 0 42 0 ->
        2 ok 0 42 9 a:1 ->
        2 ok 8/1 42 0 ->
        2 ok 2 42 0 ->
        3 ok 1 42 1 b:1 -> =42 2/2 #1 b@s1
        4 ok 1 42 0 ->
        300 tick ->",
    );
}

/// Guards against an unstable order of hits and against a result that is truncated
/// but not marked as such.
#[test]
fn hits_are_the_best_of_all_shards_in_a_fixed_order() {
    run(
        uniform(1, 2, 1),
        COVERAGE,
        "
        0 start -> >0 s0-0@42, >1 s1-0@42, w245
        1 ok 1 42 9 c:1 b:2 z:-3 ->
        1 ok 0 42 2 a:1 c:1 -> =42 2/2 #11 b@s1 a@s0 c@s0+",
    );
}

/// Guards against an answer that mixes versions: an answer from another version is
/// a failure, and another replica is tried.
#[test]
fn an_answer_from_another_version_is_a_failure() {
    run(
        uniform(1, 1, 2),
        COVERAGE,
        "
        0 start -> >0 s0-0@42, w245
        1 ok 0 41 5 a:1 -> >1 s0-1@42
        2 ok 1 43 5 a:1 -> =42 0/1 s0:failed",
    );
}

/// Guards against accepting answers from an abandoned version, and against a
/// restart with a version that the servers reported not to hold.
#[test]
fn a_withdrawn_version_restarts_the_search() {
    run(
        uniform(3, 2, 2),
        COVERAGE,
        "
        0 start -> >0 s0-0@42, >1 s1-0@42, w245
        1 ok 0 42 5 old:9 ->
        2 fail 1 VersionUnavailable 40 -> >2 s1-1@42
        3 fail 2 VersionUnavailable 40 -> >3 s0-0@40, >4 s1-0@40
        4 ok 2 42 5 old:9 ->
        5 ok 3 40 0 ->
        6 ok 4 40 0 -> =40 2/2",
    );
}

/// Guards against a restart with too little time, with no version left, or because
/// of overload, which would multiply the load; and against an answer that misses a
/// shard although a restart is possible.
#[test_case(uniform(2, 2, 1), COVERAGE, "
    0 start -> >0 s0-0@42, >1 s1-0@42, w245
    226 fail 0 VersionUnavailable 41 ->
    245 tick -> x1, =42 0/2 s0:version_unavailable s1:timeout"; "no time")]
#[test_case(uniform(2, 1, 1), COVERAGE, "
    0 start -> >0 s0-0@42, w245
    1 fail 0 VersionUnavailable 42 39 -> =42 0/1 s0:version_unavailable"; "no version")]
#[test_case(uniform(2, 1, 2), COVERAGE, "
    0 start -> >0 s0-0@42, w245
    1 fail 0 Overloaded -> >1 s0-1@42
    2 fail 1 VersionUnavailable 41 -> =42 0/1 s0:version_unavailable"; "overload")]
#[test_case(uniform(2, 1, 2), COVERAGE, "
    0 start -> >0 s0-0@42, w245
    1 fail 0 Unreachable -> >1 s0-1@42
    2 fail 1 VersionUnavailable 41 -> >2 s0-0@41
    3 fail 2 VersionUnavailable -> >3 s0-1@41
    4 fail 3 VersionUnavailable -> =41 0/1 s0:version_unavailable"; "other replica is unreachable")]
#[test_case(uniform(2, 1, 3), LATENCY, "
    0 start -> >0 s0-0@42, w245
    set no-retry on
    1 fail 0 VersionUnavailable -> >1 s0-0@41"; "retry refused by the budget")]
#[test_case(uniform(3, 1, 1), COVERAGE, "
    set dead s0-0
    set lacking on
    0 start -> =40 0/1 s0:version_unavailable"; "chooser finds no replica with the version")]
fn a_search_restarts_only_when_that_can_help(plan: Plan, objective: Objective, script: &str) {
    run(plan, objective, script);
}

/// Guards against hedged requests that count a shard twice, leave the slower
/// attempt open, ignore the budget, follow another hedged request, or are followed
/// by a retry while the other attempt is in flight.
#[test_case("
    0 start -> >0 s0-0@42, w30
    29 tick -> w30
    set no-hedge on
    30 tick -> w35
    35 tick -> w45
    set no-hedge off
    45 tick -> >1 s0-1@42, w245
    99 tick -> w245
    100 ok 1 42 0 -> x0, =42 1/1"; "hedge wins")]
#[test_case("
    0 start -> >0 s0-0@42, w30
    30 tick -> >1 s0-1@42, w245
    31 fail 0 Failed ->
    32 fail 1 Failed -> >2 s0-2@42"; "both fail")]
fn hedged_requests(script: &str) {
    run(
        uniform(1, 1, 3),
        COVERAGE,
        &format!("set hedge on\n{script}"),
    );
}

/// Guards against giving a shard up while a replica is live, against retries that
/// the budget refused, and against retrying a replica that does not hold the
/// version.
#[test]
fn coverage_delays_a_refused_retry_and_tries_every_replica() {
    run(
        uniform(1, 1, 3),
        TWO_ROUNDS,
        "
        0 start -> >0 s0-0@42, w245
        set no-retry on
        1 fail 0 Overloaded -> w6
        6 tick -> w16
        set no-retry off
        16 tick -> >1 s0-1@42, w245
        17 fail 1 VersionUnavailable -> >2 s0-2@42
        18 fail 2 Timeout -> w38
        38 tick -> >3 s0-0@42, w245
        39 fail 3 Overloaded -> >4 s0-2@42
        40 fail 4 Overloaded -> =42 0/1 s0:overloaded",
    );
}

/// Guards against delaying the answer for coverage if the objective is latency.
#[test_case("1 fail 0 Failed -> >1 s0-1@42\n 2 fail 1 Failed -> =42 0/1 s0:failed"; "attempts")]
#[test_case("set no-retry on\n 1 fail 0 Failed -> =42 0/1 s0:failed"; "budget")]
fn latency_objective_gives_a_shard_up_early(script: &str) {
    let start = "0 start -> >0 s0-0@42, w245\n";
    run(uniform(1, 1, 3), LATENCY, &format!("{start}{script}"));
}

/// Guards against losing a shard with the owner of its server, and against an
/// endless loop between two daemons that both deny owning a server.
#[test]
fn a_lost_owner_allows_one_more_attempt() {
    run(
        uniform(1, 2, 1),
        COVERAGE,
        "
        0 start -> >0 s0-0@42, >1 s1-0@42, w245
        1 lost 0 1 9 -> >2 s0-0@42, >3 s1-0@42
        2 fail 2 NotOwner ->
        3 ok 3 42 0 -> =42 1/2 s0:owner_lost",
    );
}

/// Guards against reporting the wrong reason for a missing shard.
#[test_case("Failed", "failed")]
#[test_case("Timeout", "timeout")]
#[test_case("Overloaded", "overloaded")]
#[test_case("VersionUnavailable", "version_unavailable")]
#[test_case("WrongVersion", "failed")]
#[test_case("Draining", "no_replica")]
#[test_case("Unreachable", "no_replica")]
#[test_case("Cancelled", "failed")]
fn a_failure_maps_to_a_missing_reason(name: &str, reason: &str) {
    let start = "0 start -> >0 s0-0@42, w245\n";
    let fail = format!("1 fail 0 {name} -> =42 0/1 s0:{reason}");
    run(uniform(1, 1, 1), COVERAGE, &format!("{start}{fail}"));
}

/// Guards against a search that hangs, panics or runs in a busy loop if there is
/// nothing to search or the chooser returns an unusable choice.
#[test_case(uniform(1, 0, 0), "0 start -> =42 0/0"; "no shard")]
#[test_case(uniform(1, 1, 0), "0 start -> =42 0/1 s0:no_replica"; "no replica")]
#[test_case(uniform(1, 1, 1), "250 start -> >0 s0-0@42, x0, =42 0/1 s0:timeout"; "deadline passed")]
#[test_case(uniform(1, 1, 1), "
    set wait 0
    9 start -> w9
    9 tick -> w9
    245 tick -> =42 0/1 s0:timeout"; "wait for a past time")]
fn a_search_finishes_with_degenerate_plans_and_choices(plan: Plan, script: &str) {
    run(plan, COVERAGE, script);
}

/// Guards against full coverage reported for a plan without versions.
#[test]
fn a_plan_needs_a_version() {
    let search = Search::new(uniform(0, 0, 0), ms(0), ms(9), SearchSettings::default());
    assert_eq!(search.err(), Some(NoVersions));
}
