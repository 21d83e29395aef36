//! Searches: a [`Search`] with a scripted replica chooser, and a driver that maps
//! servers to attempts.

use std::{collections::BTreeMap, collections::BTreeSet, time::Duration};

use jasminepond_query::{
    Answer, AttemptId, Candidates, Choice, Chooser, Failure, Hit, MissingReason, Objective, Plan,
    Score, Search, SearchSettings, ShardAnswer, ShardMap, Step,
};
use jasminepond_types::{QueryId, ServerId, ServiceId, Timestamp, Version};
use jasminepond_wire::PartFailure;

use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec, list},
    run::format_time,
};

pub(crate) const SPEC: Spec = Spec {
    name: "search",
    setup: &["version"],
    events: &[
        "start",
        "answer",
        "fail",
        "owner-lost",
        "reconnect",
        "avoid",
        "use",
        "tick",
    ],
    outputs: &["send", "cancel", "wait", "finish"],
    mechanisms: &[
        "version-check",
        "duplicate-filter",
        "search-check",
        "incarnation-check",
        "budget",
        "restart",
    ],
    new,
};

const FAILURES: &[(&str, PartFailure)] = &[
    ("failed", PartFailure::Failed),
    ("timeout", PartFailure::Timeout),
    ("overloaded", PartFailure::Overloaded),
    ("version_unavailable", PartFailure::VersionUnavailable),
    ("draining", PartFailure::Draining),
    ("unreachable", PartFailure::Unreachable),
    ("not_owner", PartFailure::NotOwner),
];

/// Chooses the first candidate that is not avoided, and grants hedges and retries
/// up to a fixed number of each.
struct ScriptedChooser {
    avoided: BTreeSet<ServerId>,
    hedge: Option<Duration>,
    service: Duration,
    hedges: u32,
    retries: u32,
    unlimited: bool,
}

impl ScriptedChooser {
    fn take_budget(left: &mut u32, unlimited: bool) -> bool {
        let may = *left > 0 || unlimited;
        *left = left.saturating_sub(1);
        may
    }
}

impl Chooser for ScriptedChooser {
    fn choose(&mut self, _: Timestamp, _: &ServiceId, _: Version, c: Candidates<'_>) -> Choice {
        let mut usable = c.iter().filter(|(_, id)| !self.avoided.contains(*id));
        let none = Choice::None(MissingReason::NoReplica);
        usable.next().map_or(none, |(index, _)| Choice::Use(index))
    }

    fn hedge_after(&mut self, _: Timestamp, _: &ServerId) -> Option<Duration> {
        self.hedge
    }

    fn may_hedge(&mut self, _: Timestamp, _: &ServerId) -> bool {
        Self::take_budget(&mut self.hedges, self.unlimited)
    }

    fn may_retry(&mut self, _: Timestamp, _: &ServerId) -> bool {
        Self::take_budget(&mut self.retries, self.unlimited)
    }

    fn service_time(&mut self, _: Timestamp) -> Duration {
        self.service
    }
}

struct Sent {
    id: AttemptId,
    server: ServerId,
    /// Number of the link over which it was sent, from 1 for each server.
    link: u32,
    open: bool,
}

struct Running {
    search: Search,
    sent: Vec<Sent>,
    wait: Option<Timestamp>,
    finished: u32,
}

struct Searches {
    disabled: String,
    deadline: Duration,
    settings: SearchSettings,
    script: ScriptedChooser,
    versions: Vec<ShardMap>,
    running: BTreeMap<u64, Running>,
    links: BTreeMap<ServerId, u32>,
    sends: u32,
    violation: Option<String>,
}

fn new(args: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    let objective = match args.key_word("objective")? {
        Some("latency") => Objective::Latency {
            max_attempts: args.key_parse("attempts")?.unwrap_or(2),
        },
        _ => Objective::Coverage {
            rounds: args.key_parse("rounds")?.unwrap_or(1),
        },
    };
    let disabled = disabled.unwrap_or_default().to_owned();
    let ms = Duration::from_millis;
    Ok(Box::new(Searches {
        deadline: args.key_time("deadline")?.unwrap_or(ms(250)),
        settings: SearchSettings {
            objective,
            response_allowance: args.key_time("allowance")?.unwrap_or(Duration::ZERO),
            initial_backoff: args.key_time("pause")?.unwrap_or(ms(5)),
        },
        script: ScriptedChooser {
            avoided: BTreeSet::new(),
            hedge: args.key_time("hedge")?,
            service: args.key_time("service")?.unwrap_or(ms(10)),
            hedges: args.key_parse("hedges")?.unwrap_or(u32::MAX),
            retries: args.key_parse("retries")?.unwrap_or(u32::MAX),
            unlimited: disabled == "budget",
        },
        versions: Vec::new(),
        running: BTreeMap::new(),
        links: BTreeMap::new(),
        sends: 0,
        violation: None,
        disabled,
    }))
}

impl Machine for Searches {
    fn setup(&mut self, _: &str, args: &mut Args<'_>) -> Result<(), Error> {
        let version = Version(args.parse("a version such as 42")?);
        args.one_of(&["shards"])?;
        let mut services = Vec::new();
        for (service, servers) in args.lists()? {
            let parsed = servers.iter().map(|s| s.parse()).collect();
            let (Ok(service), Ok(servers)) = (service.parse(), parsed) else {
                return Err(args.error("shard=[server ..] with valid ids"));
            };
            services.push((service, servers));
        }
        let restart = self.disabled != "restart" || self.versions.is_empty();
        if restart {
            self.versions.push(ShardMap { version, services });
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let id = args.key_parse("search")?.unwrap_or(1);
        match word {
            "start" => Ok(self.start(now, id)),
            "answer" => self.answer(now, id, args),
            "fail" => self.fail(now, id, args),
            "owner-lost" => {
                let mut lost = Vec::new();
                while let Some(server) = args.opt_word() {
                    lost.extend(self.close(id, server));
                }
                Ok(self.step(now, id, |s, c| s.on_owner_lost(now, c, lost)))
            }
            "reconnect" => {
                let server: ServerId = args.parse("a server")?;
                let lost: Vec<_> = self.close(id, server.as_str()).collect();
                *self.links.entry(server).or_insert(1) += 1;
                Ok(self.step(now, id, |s, c| s.on_owner_lost(now, c, lost)))
            }
            "avoid" => {
                self.script.avoided.insert(args.parse("a server")?);
                Ok(Vec::new())
            }
            "use" => {
                self.script.avoided.remove(args.word("a server")?);
                Ok(Vec::new())
            }
            _ => {
                let due = |r: &Running| r.wait.is_some_and(|at| at <= now);
                let due: Vec<u64> = self
                    .running
                    .iter()
                    .filter(|(_, r)| due(r))
                    .map(|(id, _)| *id)
                    .collect();
                let mut outs = Vec::new();
                for id in due {
                    if let Some(running) = self.running.get_mut(&id) {
                        running.wait = None;
                    }
                    outs.extend(self.step(now, id, |s, c| s.on_tick(now, c)));
                }
                Ok(outs)
            }
        }
    }

    fn state(
        &mut self,
        _: Timestamp,
        _: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error> {
        Ok(match key {
            "sends" => Some(self.sends.to_string()),
            "finished" => Some(
                self.running
                    .values()
                    .map(|r| r.finished)
                    .sum::<u32>()
                    .to_string(),
            ),
            _ => None,
        })
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    fn next_timer(&self) -> Option<Timestamp> {
        let waits = self.running.values().filter(|r| r.finished == 0);
        waits.filter_map(|r| r.wait).min()
    }
}

impl Searches {
    fn start(&mut self, now: Timestamp, id: u64) -> Vec<Out> {
        let plan = Plan {
            id: QueryId(id),
            group: "group".parse().expect("a valid id"),
            versions: self.versions.clone().into(),
            limit: 10,
        };
        let search = Search::new(plan, now, now + self.deadline, self.settings.clone());
        let Ok(search) = search else {
            return Vec::new();
        };
        let running = Running {
            search,
            sent: Vec::new(),
            wait: None,
            finished: 0,
        };
        self.running.insert(id, running);
        self.step(now, id, |s, c| s.start(now, c))
    }

    /// Closes all open attempts at a server.
    fn close(&mut self, id: u64, server: &str) -> impl Iterator<Item = AttemptId> + use<> {
        let sent = self.running.get_mut(&id).map(|r| &mut r.sent);
        let open = sent.into_iter().flatten();
        let open = open.filter(|s| s.open && s.server.as_str() == server);
        let ids: Vec<AttemptId> = open
            .map(|s| {
                s.open = false;
                s.id
            })
            .collect();
        ids.into_iter()
    }

    /// The attempt that a result belongs to: the last one sent to the server, or
    /// with `attempt=N` the N-th one sent to it.
    fn attempt(&self, id: u64, args: &mut Args<'_>) -> Result<(AttemptId, ServerId, u32), Error> {
        let number: Option<usize> = args.key_parse("attempt")?;
        let missing = args.error("a server that was sent a sub-request");
        let server = args.word("a server")?;
        let sent = self.running.get(&id).map_or(&[][..], |r| &r.sent);
        let mut to = sent.iter().filter(|s| s.server.as_str() == server);
        let found = match number {
            Some(number) => to.nth(number.saturating_sub(1)),
            None => to.next_back(),
        };
        found
            .map(|s| (s.id, s.server.clone(), s.link))
            .ok_or(missing)
    }

    fn answer(&mut self, now: Timestamp, id: u64, args: &mut Args<'_>) -> Result<Vec<Out>, Error> {
        let (mut attempt, server, link) = self.attempt(id, args)?;
        let mut version = Version(args.numbered('v', "a version such as v42")?);
        let to = args.key_parse("to")?.unwrap_or(id);
        let count = args.key_parse("count")?.unwrap_or(0);
        let hits = hits(args)?;
        let Some(running) = self.running.get_mut(&to) else {
            return Err(args.error("`to` naming a started search"));
        };
        if to != id && self.disabled == "search-check" {
            attempt.search = QueryId(to);
        }
        // Answers to requests that were sent over an earlier link are dropped.
        if self.links.get(&server).is_some_and(|&now| now != link) {
            if self.disabled != "incarnation-check" {
                return Ok(Vec::new());
            }
            let open = running.sent.iter().find(|s| s.open && s.server == server);
            attempt = open.map_or(attempt, |s| s.id);
        }
        let is_open = |s: &&mut Sent| s.open && s.id == attempt;
        match running.sent.iter_mut().find(is_open) {
            Some(sent) => sent.open = false,
            None if self.disabled == "duplicate-filter" => {
                if let Some(sent) = running.sent.iter_mut().find(|s| s.open) {
                    sent.open = false;
                    attempt = sent.id;
                }
            }
            None => {}
        }
        if self.disabled == "version-check" {
            version = running.search.version();
        }
        let answer = ShardAnswer {
            version,
            count,
            hits,
        };
        Ok(self.step(now, to, |s, c| s.on_answer(now, c, attempt, answer)))
    }

    fn fail(&mut self, now: Timestamp, id: u64, args: &mut Args<'_>) -> Result<Vec<Out>, Error> {
        let (attempt, ..) = self.attempt(id, args)?;
        let names: Vec<&str> = FAILURES.iter().map(|(name, _)| *name).collect();
        let name = args.one_of(&names)?;
        let failure = FAILURES.iter().find(|(n, _)| *n == name).map(|(_, f)| *f);
        let failure = Failure::from(failure.unwrap_or(PartFailure::Failed));
        let held = args.key_list("held")?;
        let held: Result<Vec<Version>, _> = held.iter().map(|v| v.parse()).collect();
        let held = held.map_err(|_| args.error("versions in `held`"))?;
        let sent = self.running.get_mut(&id).map(|r| &mut r.sent);
        for sent in sent.into_iter().flatten().filter(|s| s.id == attempt) {
            sent.open = false;
        }
        Ok(self.step(now, id, |s, c| {
            s.on_failure(now, c, attempt, failure, &held)
        }))
    }

    fn step(
        &mut self,
        now: Timestamp,
        id: u64,
        event: impl FnOnce(&mut Search, &mut dyn Chooser) -> Vec<Step>,
    ) -> Vec<Out> {
        let Some(running) = self.running.get_mut(&id) else {
            return Vec::new();
        };
        let steps = event(&mut running.search, &mut self.script);
        let tag = |out: Out| if id == 1 { out } else { out.with("search", id) };
        steps
            .into_iter()
            .map(|s| tag(self.out(now, id, s)))
            .collect()
    }

    fn out(&mut self, now: Timestamp, id: u64, step: Step) -> Out {
        let Some(running) = self.running.get_mut(&id) else {
            return Out::default();
        };
        match step {
            Step::Send {
                attempt,
                service,
                server,
                version,
            } => {
                self.sends += 1;
                let out = Out::new([&"send", &service, &server, &format!("v{version}")]);
                let link = self.links.get(&server).copied().unwrap_or(1);
                running.sent.push(Sent {
                    id: attempt,
                    server,
                    link,
                    open: true,
                });
                out.with("left", running.search.time_left(now).0)
            }
            Step::Cancel { attempt } => {
                let mut sent = running.sent.iter_mut();
                let Some(sent) = sent.find(|s| s.id == attempt) else {
                    return Out::new([&"cancel", &"unknown"]);
                };
                sent.open = false;
                Out::new([&"cancel", &sent.server])
            }
            Step::Wait { until } => {
                running.wait = Some(until);
                Out::new([&"wait", &format_time(until)]).optional()
            }
            Step::Finish(answer) => {
                running.finished += 1;
                running.wait = None;
                if let Some(violation) = violation(running.finished, &answer) {
                    self.violation = Some(violation);
                }
                finish(&answer)
            }
        }
    }
}

fn violation(finished: u32, answer: &Answer) -> Option<String> {
    let coverage = &answer.coverage;
    if finished > 1 {
        return Some("a search finished twice".into());
    }
    let shards = coverage.answered + coverage.missing.len();
    (shards != coverage.shards).then(|| format!("{shards} of {} shards", coverage.shards))
}

fn finish(answer: &Answer) -> Out {
    let coverage = &answer.coverage;
    let missing = coverage.missing.iter().map(|(s, why)| format!("{s}:{why}"));
    let hits = answer.hits.iter().map(|h| format!("{}:{}", h.id, h.score));
    Out::new([&"finish", &format!("v{}", answer.version)])
        .with("answered", coverage.answered)
        .with("of", coverage.shards)
        .with("count", answer.count)
        .with("missing", list(missing))
        .with("hits", list(hits))
}

fn hits(args: &mut Args<'_>) -> Result<Vec<Hit>, Error> {
    let mut hits = Vec::new();
    for item in args.key_list("hits")? {
        let hit = item.split_once(':').and_then(|(id, score)| {
            let score = Score::new(score.parse().ok()?).ok()?;
            Some(Hit {
                id: id.into(),
                score,
            })
        });
        hits.push(hit.ok_or_else(|| args.error("hits as [id:score ..]"))?);
    }
    Ok(hits)
}
