//! Routing decisions of an entry daemon: ownership, replica choice, hedge and retry
//! budgets, and admission.

use std::time::Duration;

use jasminepond_dispatch::{Health, Hint};
use jasminepond_routing::{
    Admission, AdmissionDecision, AdmissionSettings, AttemptOutcome, Candidate, Choice,
    ConcurrencySettings, Deadline, Estimate, ExtraAttempt, FinishedQuery, HedgeBudget,
    HedgeDecision, Hedging, HedgingSettings, Ownership, Query, ReplicaRequest, ReplicaSettings,
    Replicas, RetryBudget, Share,
};
use jasminepond_types::{ServerId, Timestamp};

use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec},
};

pub(crate) const SPEC: Spec = Spec {
    name: "routing",
    setup: &[],
    events: &[
        "members", "owner", "choose", "ended", "leaving", "returned", "lacks", "hint", "sent",
        "hedge", "retry", "admit", "finished",
    ],
    outputs: &[
        "moved", "owner", "use", "none", "hedged", "retried", "go", "refuse",
    ],
    mechanisms: &[
        "drain-report",
        "version-memory",
        "budget",
        "failure-penalty",
        "admission",
    ],
    new,
};

struct Entry {
    disabled: String,
    ownership: Ownership,
    replicas: Replicas,
    hedging: Hedging,
    admission: Admission,
}

fn new(args: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    let disabled = disabled.unwrap_or_default().to_owned();
    let mut replicas = ReplicaSettings {
        explore_share: 0.0,
        ..ReplicaSettings::default()
    };
    if disabled == "failure-penalty" {
        replicas.failure_penalty = Duration::ZERO;
    }
    let burst = args.key_parse("burst")?.unwrap_or(48);
    let (hedges, retries) = match disabled.as_str() {
        "budget" => (Share::percent(100), Share::percent(100)),
        _ => (Share::percent(5), Share::percent(10)),
    };
    let mut concurrency = ConcurrencySettings::default();
    if let Some(limit) = args.key_parse("limit")? {
        concurrency.initial = limit;
    }
    Ok(Box::new(Entry {
        ownership: Ownership::default(),
        replicas: Replicas::new(replicas, 7),
        hedging: Hedging::with_budgets(
            HedgingSettings::default(),
            HedgeBudget::new(hedges, burst),
            RetryBudget::new(retries, burst),
        ),
        admission: Admission::new(AdmissionSettings {
            concurrency,
            ..AdmissionSettings::default()
        }),
        disabled,
    }))
}

impl Machine for Entry {
    fn setup(&mut self, _: &str, _: &mut Args<'_>) -> Result<(), Error> {
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let out = match word {
            "members" => Some(self.members(args)?),
            "owner" => {
                let (server, zone) = (args.parse("a server")?, args.parse("a zone")?);
                let owner = self.ownership.owner(&server, &zone);
                let owner = owner.map_or("none".into(), |o| o.to_string());
                Some(Out::new([&"owner", &owner]))
            }
            "choose" => Some(self.choose(now, args)?),
            "hedge" | "retry" => Some(self.extra_requests(now, word, args)?),
            "sent" => {
                self.hedging
                    .record_sent(args.parse("a number of sub-requests")?);
                None
            }
            "admit" => Some(self.admit(now, args)?),
            "finished" => {
                let tenant = args.parse("a tenant")?;
                let class = args.key_parse("class")?.unwrap_or(0);
                let used = FinishedQuery {
                    latency: args.time("a time")?,
                    slowest: Estimate::default(),
                    in_time: true,
                };
                self.admission.record_finished(now, &tenant, class, used);
                None
            }
            _ => {
                self.server_event(now, word, args)?;
                None
            }
        };
        Ok(out.into_iter().collect())
    }

    fn state(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error> {
        Ok(match key {
            "in-progress" => Some(self.admission.in_progress().to_string()),
            "limit" => {
                let class = args.key_parse("class")?.unwrap_or(0);
                Some(self.admission.limit(class).to_string())
            }
            "overloaded" => {
                let server = args.parse("a server")?;
                let estimate = self.replicas.estimate(now, &server, 0);
                Some(estimate.is_overloaded().to_string())
            }
            _ => None,
        })
    }
}

impl Entry {
    /// Reads daemons with zone and region, as in `[d1:za:ra d2:za:ra:leaving]`.
    fn members(&mut self, args: &mut Args<'_>) -> Result<Out, Error> {
        let mut candidates = Vec::new();
        let invalid = args.error("[daemon:zone:region ..]");
        for item in args.list("[daemon:zone:region ..]")? {
            let fields: Vec<&str> = item.split(':').collect();
            let (instance, zone, region, usable) = match fields[..] {
                [instance, zone, region] => (instance, zone, region, true),
                [instance, zone, region, "leaving"] => (instance, zone, region, false),
                _ => return Err(invalid),
            };
            let (Ok(instance), Ok(zone), Ok(region)) =
                (instance.parse(), zone.parse(), region.parse())
            else {
                return Err(invalid);
            };
            candidates.push(Candidate {
                instance,
                zone,
                region,
                usable,
            });
        }
        let moved = self.ownership.rebuild(&candidates);
        Ok(Out::new([&"moved", &moved]).optional())
    }

    fn choose(&mut self, now: Timestamp, args: &mut Args<'_>) -> Result<Out, Error> {
        let servers = ids(args.list("[server ..]")?, args)?;
        let version = args.numbered('v', "a version such as v42")?;
        let exclude = ids(args.key_list("exclude")?, args)?;
        let request = ReplicaRequest {
            servers: &servers,
            version: jasminepond_types::Version(version),
            priority: args.key_parse("class")?.unwrap_or(0),
            exclude: &exclude,
            can_hedge: false,
        };
        Ok(match self.replicas.choose(now, request) {
            Choice::Use { server } => {
                self.replicas.record_sent(now, &server);
                Out::new([&"use", &server])
            }
            Choice::None { reason } => {
                let reason = format!("{reason:?}").to_lowercase();
                Out::new([&"none", &reason])
            }
        })
    }

    fn server_event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<(), Error> {
        let id: ServerId = args.parse("a server")?;
        match word {
            "leaving" if self.disabled == "drain-report" => {}
            "leaving" => self.replicas.mark_draining(now, &id),
            "returned" => self.replicas.mark_available(now, &id),
            "lacks" => {
                let version = args.numbered('v', "a version such as v42")?;
                if self.disabled != "version-memory" {
                    let version = jasminepond_types::Version(version);
                    self.replicas.mark_version_missing(now, &id, version);
                }
            }
            "ended" => {
                let latency = args.time("a time")?;
                let reply = match args.one_of(&["done", "failed", "refused", "not_run", "lost"])? {
                    "done" => AttemptOutcome::Done,
                    "failed" => AttemptOutcome::Failed,
                    "refused" => AttemptOutcome::Refused,
                    "not_run" => AttemptOutcome::NotRun,
                    _ => AttemptOutcome::Lost,
                };
                self.replicas.record_outcome(now, &id, latency, reply);
            }
            _ => {
                let hint = self.hint(args)?;
                self.replicas.record_hint(now, &id, hint);
            }
        }
        Ok(())
    }

    fn hint(&self, args: &mut Args<'_>) -> Result<Hint, Error> {
        let health = args.one_of(&["ready", "ramping", "failing", "down", "draining"])?;
        let service = args.key_time("service")?;
        let service = service.unwrap_or(Duration::from_millis(10));
        let queued = args.key_parse("queued")?.unwrap_or(0);
        Ok(Hint {
            queued,
            top_priority: 0,
            top_queued: queued,
            running: args.key_parse("running")?.unwrap_or(0),
            slots: args.key_parse("slots")?.unwrap_or(2),
            service_us: service.as_micros() as u32,
            health: match health {
                "ramping" => Health::Ramping,
                "failing" => Health::Failing,
                "down" => Health::Down,
                "draining" if self.disabled != "drain-report" => Health::Draining,
                _ => Health::Ready,
            },
        })
    }

    /// Requests `n` hedges or retries and returns how many are granted.
    fn extra_requests(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Out, Error> {
        let n: u32 = args.parse("a number of requests")?;
        let target = match args.key_parse::<ServerId>("target")? {
            Some(server) => self.replicas.estimate(now, &server, 0),
            None => Estimate::default(),
        };
        let group = "group".parse().expect("a valid id");
        let deadline = args.key_time("deadline")?;
        let request = ExtraAttempt {
            group: &group,
            sent_at: Timestamp::ZERO,
            deadline: Deadline::at(now + deadline.unwrap_or(Duration::from_millis(250))),
            target,
        };
        let mut granted = 0;
        for _ in 0..n {
            let hedge = match word {
                "hedge" => self.hedging.hedge(now, request),
                _ => self.hedging.retry(now, request),
            };
            granted += u32::from(hedge == HedgeDecision::Send);
        }
        let word = if word == "hedge" { "hedged" } else { "retried" };
        Ok(Out::new([&word, &granted]))
    }

    fn admit(&mut self, now: Timestamp, args: &mut Args<'_>) -> Result<Out, Error> {
        let tenant = args.parse("a tenant")?;
        let ms = Duration::from_millis;
        let deadline = args.key_time("deadline")?.unwrap_or(ms(250));
        let wait = args.key_time("wait")?.unwrap_or_default();
        let service = args.key_time("service")?.unwrap_or(ms(10));
        let query = Query {
            tenant: &tenant,
            tenant_limit: args.key_parse("tenant-limit")?.unwrap_or(u32::MAX),
            priority: args.key_parse("class")?.unwrap_or(0),
            deadline: Deadline::at(now + deadline),
            slowest: Estimate {
                wait,
                service,
                completion: wait + service,
                ..Estimate::default()
            },
        };
        if self.disabled == "admission" {
            return Ok(Out::new([&"go"]));
        }
        Ok(match self.admission.admit(now, query) {
            AdmissionDecision::Admit => Out::new([&"go"]),
            AdmissionDecision::Refuse { kind, retry_after } => {
                Out::new([&"refuse", &kind]).with("retry", retry_after.0)
            }
        })
    }
}

fn ids(items: &[String], args: &Args<'_>) -> Result<Vec<ServerId>, Error> {
    let ids: Result<Vec<ServerId>, _> = items.iter().map(|i| i.parse()).collect();
    ids.map_err(|_| args.error("a list of valid server ids"))
}
