//! Random interleavings of all events of several concurrent searches.

use std::collections::HashMap;

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use super::*;

/// Makes random choices.
struct RandomChooser(StdRng);

impl Chooser for RandomChooser {
    fn choose(&mut self, now: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
        let candidates: Vec<_> = c.iter().collect();
        match self.0.random_range(0..20) {
            0 => Choice::None(MissingReason::NoReplica),
            1 => Choice::None(MissingReason::VersionUnavailable),
            2 => Choice::Use(self.0.random_range(0..70)),
            3 | 4 => Choice::Wait {
                until: now + Duration::from_millis(self.0.random_range(0..20)),
            },
            _ => Choice::Use(candidates.choose(&mut self.0).unwrap().0),
        }
    }

    fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
        let millis = self.0.random_range(0..80);
        self.0
            .random_bool(0.7)
            .then(|| Duration::from_millis(millis))
    }

    fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.0.random()
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        self.0.random()
    }

    fn service_time(&mut self, _: Timestamp) -> Duration {
        Duration::from_millis(self.0.random_range(0..60))
    }
}

/// Reference model of a search, against which its steps are checked.
struct Model {
    plan: Plan,
    version: Version,
    /// Every attempt sent, with its shard; `true` while its result is awaited.
    attempts: HashMap<AttemptId, (ServiceId, bool)>,
    /// Accepted answers of the current version.
    answers: HashMap<ServiceId, ShardAnswer>,
    finished: Option<Answer>,
    until: Timestamp,
}

impl Model {
    fn services(&self) -> &[(ServiceId, Vec<ServerId>)] {
        let mut versions = self.plan.versions.iter();
        let version = versions.find(|v| v.version == self.version);
        &version.unwrap().services
    }

    /// Checks the steps that an event at `now` returned.
    fn check(&mut self, search: &Search, steps: Vec<Step>, now: Timestamp) {
        assert!(
            self.finished.is_none() || steps.is_empty(),
            "steps after Finish"
        );
        if search.version() != self.version {
            self.version = search.version();
            self.answers.clear();
        }
        for step in steps {
            assert!(self.finished.is_none(), "Finish is not the last step");
            self.step(step);
        }
        if self.finished.is_none() {
            assert!(now < ms(245), "not finished in time");
            assert!(self.until <= ms(245), "no timer at or before the deadline");
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send {
                attempt,
                service,
                server,
                version,
            } => {
                let awaited = |(s, awaited): &&(ServiceId, bool)| *s == service && *awaited;
                let in_flight = self.attempts.values().filter(awaited).count();
                assert!(in_flight < 2, "three attempts for one shard");
                assert!(!self.answers.contains_key(&service), "shard is answered");
                // Sub-requests of a version that was abandoned within the same event do not
                // belong to the current version.
                if version == self.version {
                    let shard = self.services().iter().find(|(s, _)| *s == service);
                    assert!(shard.unwrap().1.contains(&server));
                }
                let old = self.attempts.insert(attempt, (service, true));
                assert!(old.is_none(), "attempt id used twice");
            }
            Step::Cancel { attempt } => {
                let (_, awaited) = self.attempts.get_mut(&attempt).unwrap();
                assert!(
                    std::mem::take(awaited),
                    "cancelled twice or after its result"
                );
            }
            Step::Wait { until } => self.until = until,
            Step::Finish(answer) => self.finish(answer),
        }
    }

    fn finish(&mut self, answer: Answer) {
        assert!(
            self.attempts.values().all(|(_, awaited)| !awaited),
            "attempts still open after Finish"
        );
        assert_eq!(answer.version, self.version);
        let services = self.services();
        let missing = |(s, _): &&(ServiceId, _)| !self.answers.contains_key(s);
        let missing: Vec<_> = services.iter().filter(missing).map(|(s, _)| s).collect();
        let listed: Vec<_> = answer.coverage.missing.iter().map(|(s, _)| s).collect();
        assert_eq!(listed, missing);
        assert_eq!(answer.coverage.shards, services.len());
        assert_eq!(answer.coverage.answered + listed.len(), services.len());
        assert_eq!(
            answer.count,
            self.answers.values().map(|a| a.count).sum::<u64>()
        );
        let mut all: Vec<_> = self
            .answers
            .iter()
            .flat_map(|(shard, a)| a.hits.iter().map(move |hit| (hit.clone(), shard.clone())))
            .collect();
        all.sort_by(|a, b| b.0.score.cmp(&a.0.score).then_with(|| a.0.id.cmp(&b.0.id)));
        all.truncate(self.plan.limit as usize);
        let hits = answer.hits.iter();
        let hits = hits.map(|h| (hit(&h.id, h.score.get()), h.shard.clone()));
        assert_eq!(hits.collect::<Vec<_>>(), all);
        self.finished = Some(answer);
    }

    /// Records the result of an attempt if it is awaited.
    fn record_result(&mut self, attempt: AttemptId, answer: Option<&ShardAnswer>) {
        if attempt.search != self.plan.id || self.finished.is_some() {
            return;
        }
        let Some((service, awaited)) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if std::mem::take(awaited)
            && let Some(answer) = answer.filter(|a| a.version == self.version)
        {
            let old = self.answers.insert(service.clone(), answer.clone());
            assert!(old.is_none(), "shard answered twice");
        }
    }
}

fn random_plan(rng: &mut StdRng, id: u64) -> Plan {
    let versions = rng.random_range(1u64..4);
    let version = |v| {
        let shards = rng.random_range(0..6);
        let replicas: Vec<_> = (0..shards).map(|_| rng.random_range(0..4)).collect();
        shard_map(42 - v, replicas)
    };
    plan(id, 7, (0..versions).map(version))
}

fn random_answer(rng: &mut StdRng, version: Version, unique: &mut u32) -> ShardAnswer {
    let version = if rng.random_bool(0.8) {
        version
    } else {
        Version(rng.random_range(39..44))
    };
    let hits = (0..rng.random_range(0..5)).map(|_| {
        *unique += 1;
        hit(&unique.to_string(), f64::from(rng.random_range(0..4)))
    });
    ShardAnswer {
        version,
        hits: hits.collect(),
        count: rng.random_range(0..100),
    }
}

fn random_failure(rng: &mut StdRng) -> Failure {
    // Unavailable versions cause restarts, so they are made frequent.
    if rng.random_bool(0.5) {
        return PartFailure::VersionUnavailable.into();
    }
    (*PartFailure::ALL.choose(rng).unwrap()).into()
}

/// Runs several searches at once, each of which also gets results that belong to
/// the others. Returns their answers and how many of them restarted.
fn run(seed: u64) -> (Vec<Answer>, usize) {
    let rng = &mut StdRng::seed_from_u64(seed);
    let chooser = &mut RandomChooser(StdRng::seed_from_u64(!seed));
    let objective = if rng.random() {
        Objective::Coverage {
            rounds: rng.random_range(1..4),
        }
    } else {
        Objective::Latency {
            max_attempts: rng.random_range(1..4),
        }
    };
    let settings = SearchSettings {
        objective,
        ..SearchSettings::default()
    };
    let mut searches: Vec<_> = (0..3)
        .map(|id| {
            let plan = random_plan(rng, id);
            let search = Search::new(plan.clone(), ms(0), ms(250), settings.clone()).unwrap();
            let model = Model {
                version: search.version(),
                plan,
                attempts: HashMap::new(),
                answers: HashMap::new(),
                finished: None,
                until: ms(0),
            };
            (search, model)
        })
        .collect();
    let (mut now, mut unique) = (ms(0), 0);
    for (search, model) in &mut searches {
        let steps = search.start(now, chooser);
        model.check(search, steps, now);
    }
    while now < ms(260) {
        now = now + Duration::from_micros(rng.random_range(0..4_000));
        let sent = searches.iter().flat_map(|(_, m)| m.attempts.keys());
        let mut known: Vec<_> = sent.copied().collect();
        known.sort();
        let (search, model) = &mut searches[rng.random_range(0..3)];
        let attempt = known.choose(rng).copied().unwrap_or(AttemptId {
            search: QueryId(0),
            part: 0,
        });
        let steps = match rng.random_range(0..10) {
            0..5 => {
                let answer = random_answer(rng, model.version, &mut unique);
                model.record_result(attempt, Some(&answer));
                search.on_answer(now, chooser, attempt, answer)
            }
            5..8 => {
                model.record_result(attempt, None);
                let held = [Version(rng.random_range(39..43))];
                let held = &held[..rng.random_range(0..2)];
                search.on_failure(now, chooser, attempt, random_failure(rng), held)
            }
            8 => {
                let lost: Vec<_> = known.into_iter().filter(|_| rng.random_bool(0.2)).collect();
                lost.iter()
                    .for_each(|&attempt| model.record_result(attempt, None));
                search.on_owner_lost(now, chooser, lost)
            }
            _ => search.on_tick(now, chooser),
        };
        model.check(search, steps, now);
        for (search, model) in &mut searches {
            if model.until <= now {
                let steps = search.on_tick(now, chooser);
                model.check(search, steps, now);
            }
        }
    }
    let restarted = |(_, m): &&(Search, Model)| m.version != m.plan.versions[0].version;
    let restarts = searches.iter().filter(restarted).count();
    let answers = searches
        .into_iter()
        .map(|(_, m)| m.finished.expect("search did not finish"));
    (answers.collect(), restarts)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against mixed versions, shards counted twice, inconsistent coverage,
    /// results accepted from another search, a missing or repeated Finish, and attempts
    /// that are still open after it.
    #[test]
    fn every_interleaving_gives_one_accurate_answer(seed: u64) {
        run(seed);
    }
}

/// Guards against a property test whose random runs no longer reach the cases it
/// is meant to cover.
#[test]
fn the_interleavings_reach_restarts_and_partial_answers() {
    let (mut restarts, mut partial, mut complete) = (0, 0, 0);
    for seed in 0..300 {
        let (answers, restarted) = run(seed);
        restarts += restarted;
        for answer in answers.iter().filter(|a| a.coverage.answered > 0) {
            let is_complete = answer.coverage.missing.is_empty();
            complete += u32::from(is_complete);
            partial += u32::from(!is_complete);
        }
    }
    assert!(
        restarts > 20 && partial > 20 && complete > 20,
        "{restarts} {partial} {complete}"
    );
}
