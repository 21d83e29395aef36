//! Dispatch to a backend server: one [`ServerQueue`] per owner daemon, and a driver
//! that opens and closes connections.

mod owner;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jasminepond_dispatch::{
    Action, Cancelled, ConnId, Enqueue, Health, NotRun, Outcome, ServerQueue, ServerState,
    Settings, Work,
};
use jasminepond_types::{Millis, Slots, Timestamp, Weight};

use owner::{MAX_STEPS, NEVER, Owner, expand_range};

use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec, list},
    run::format_time,
};

pub(crate) const SPEC: Spec = Spec {
    name: "dispatch",
    setup: &["owners", "warm"],
    events: &[
        "enqueue",
        "connected",
        "connect-failed",
        "answered",
        "progressed",
        "closed",
        "checked",
        "cancel",
        "leaving",
        "returned",
        "woke",
        "next",
        "serve",
    ],
    outputs: &[
        "queued",
        "refused",
        "open",
        "start",
        "close",
        "check",
        "expire",
        "lost",
        "cancelled",
        "served",
        "dropped",
        "idle",
    ],
    mechanisms: &[
        "priority",
        "starvation-share",
        "fair-shares",
        "deadline-check",
        "queue-limit",
        "progress-timeout",
        "idle-check",
        "circuit",
        "drain",
        "ramp",
        "pause-check",
        "once",
    ],
    new,
};

/// Added to all times of the scenario, so that `warm` can use the time before.
const TIME_OFFSET: Duration = Duration::from_secs(10);

struct Owners {
    disabled: String,
    settings: Settings,
    manual: bool,
    owners: BTreeMap<String, Owner>,
}

fn new(args: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    let d = Settings::default();
    let mut settings = Settings {
        slots: args.key_parse("slots")?.map_or(d.slots, Slots),
        connection_quota: args.key_parse("quota")?.unwrap_or(d.connection_quota),
        queue_limit: args.key_parse("queue")?.unwrap_or(d.queue_limit),
        warm_connections: args.key_parse("warm")?.unwrap_or(0),
        initial_service_time: args.key_time("service")?.unwrap_or(d.initial_service_time),
        ..d
    };
    let disabled = disabled.unwrap_or_default();
    match disabled {
        "starvation-share" => settings.starvation_share = u32::MAX,
        "queue-limit" => settings.queue_limit = u32::MAX,
        "progress-timeout" => settings.min_progress_timeout = NEVER,
        "idle-check" => settings.idle_check_after = NEVER,
        "circuit" => settings.failure_threshold = u32::MAX,
        _ => {}
    }
    let mut owners = Owners {
        disabled: disabled.to_owned(),
        settings,
        manual: args.key_word("connect")? == Some("manual"),
        owners: BTreeMap::new(),
    };
    owners.add("owner");
    Ok(Box::new(owners))
}

impl Machine for Owners {
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error> {
        if word == "warm" {
            for owner in self.owners.values_mut() {
                owner.warm(&self.settings);
            }
            return Ok(());
        }
        self.owners.clear();
        while let Some(name) = args.opt_word() {
            self.add(name);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        let on = args.key_word("on")?;
        let first = self.owners.keys().next().cloned().unwrap_or_default();
        let name = on.map_or(first, str::to_owned);
        let Some(mut owner) = self.owners.remove(&name) else {
            return Err(args.error("`on` naming an owner"));
        };
        let now = now + TIME_OFFSET;
        let mut outs = self.apply(now, word, args, &mut owner)?;
        self.run_actions(now, &mut owner, &mut outs);
        self.owners.insert(name.clone(), owner);
        if on.is_some() {
            outs = outs.into_iter().map(|o| o.with("on", &name)).collect();
        }
        Ok(outs)
    }

    fn violation(&self) -> Option<String> {
        self.owners
            .values()
            .find_map(|owner| owner.violation.clone())
    }

    fn state(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error> {
        let first = self.owners.keys().next().cloned().unwrap_or_default();
        let name = args.opt_word().map_or(first, str::to_owned);
        let Some(owner) = self.owners.get(&name) else {
            return Err(args.error("an owner"));
        };
        let hint = owner.queue.hint();
        let health = match hint.health {
            Health::Ready => "ready",
            Health::Ramping => "ramping",
            Health::Failing => "failing",
            Health::Down => "down",
            Health::Draining => "draining",
        };
        Ok(match key {
            "health" => Some(health.into()),
            "slots" => Some(hint.slots.to_string()),
            "running" => Some(hint.running.to_string()),
            "queued" => Some(hint.queued.to_string()),
            "connections" => Some(owner.queue.connections().to_string()),
            "drained" => Some(owner.queue.is_drained().to_string()),
            "idle" => Some(format!(
                "{}ms",
                owner.queue.idle_time(now + TIME_OFFSET).as_millis()
            )),
            _ => None,
        })
    }
}

impl Owners {
    fn add(&mut self, name: &str) {
        let queue = ServerQueue::new(Timestamp::ZERO, self.settings.clone(), 1);
        let owner = Owner {
            queue,
            names: BTreeMap::new(),
            busy: BTreeMap::new(),
            live: BTreeSet::new(),
            conns: 0,
            violation: None,
        };
        self.owners.insert(name.into(), owner);
    }

    fn apply(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
        owner: &mut Owner,
    ) -> Result<Vec<Out>, Error> {
        let mut outs = Vec::new();
        let queue = &mut owner.queue;
        match word {
            "enqueue" => outs = self.enqueue(now, args, owner)?,
            "connected" => {
                owner.conns += 1;
                queue.connected(now, ConnId(owner.conns));
            }
            "connect-failed" => queue.connect_failed(now),
            "answered" => outs.extend(self.answered(now, args, owner)?),
            "progressed" => {
                let conn = owner.parse_conn(args)?;
                owner.queue.response_started(now, conn);
            }
            "closed" => {
                let conn = owner.parse_conn(args)?;
                outs.extend(owner.closed(now, conn));
            }
            "checked" => {
                let conn = owner.parse_conn(args)?;
                let state = match args.one_of(&["ready", "starting", "draining"])? {
                    "ready" => ServerState::Ready,
                    "starting" => ServerState::Starting,
                    _ => ServerState::Draining,
                };
                owner.queue.checked(now, conn, state);
            }
            "cancel" => {
                let work = owner.parse_work(args)?;
                outs.push(match owner.queue.cancel(now, work) {
                    Cancelled::Removed => {
                        owner.ended(work);
                        Out::new([&"cancelled", &"removed"])
                    }
                    Cancelled::SendCancel { conn, via } => {
                        owner.ended(work);
                        let via = via.map_or("none".into(), |c| format!("c{c}"));
                        let out = Out::new([&"cancelled", &"running", &format!("c{conn}")]);
                        out.with("via", via)
                    }
                    Cancelled::AlreadyEnded => Out::new([&"cancelled", &"gone"]),
                });
            }
            "leaving" if self.disabled != "drain" => queue.set_draining(now),
            "returned" => queue.set_ready(now),
            "woke" if self.disabled != "pause-check" => queue.resumed(now),
            "serve" => outs = self.serve(now, args, owner)?,
            _ => {}
        }
        Ok(outs)
    }

    fn enqueue(
        &self,
        now: Timestamp,
        args: &mut Args<'_>,
        owner: &mut Owner,
    ) -> Result<Vec<Out>, Error> {
        let range = args.word("work such as w1 or w1..w9")?;
        let deadline = args
            .key_time("deadline")?
            .unwrap_or(Duration::from_secs(60));
        let tenant = args.key_parse("tenant")?;
        let class = args.key_parse("class")?.unwrap_or(0);
        let weight = args.key_parse("weight")?.unwrap_or(1);
        let once = args.opt_word() == Some("once");
        let mut outs = Vec::new();
        for name in expand_range(range).ok_or_else(|| args.error("work such as w1 or w1..w9"))? {
            let id = owner.work_id(&name);
            let shared_tenant = "t".parse().expect("a valid id");
            let deadline = match self.disabled.as_str() {
                "deadline-check" => now + NEVER,
                _ => now + deadline,
            };
            let work = Work {
                id,
                tenant: match (&tenant, self.disabled.as_str()) {
                    (Some(tenant), other) if other != "fair-shares" => Clone::clone(tenant),
                    _ => shared_tenant,
                },
                weight: Weight(weight),
                priority: if self.disabled == "priority" {
                    0
                } else {
                    class
                },
                deadline,
                idempotent: !once || self.disabled == "once",
            };
            outs.push(match owner.queue.enqueue(now, work) {
                Enqueue::Queued => {
                    owner.live.insert(id);
                    Out::new([&"queued", &name]).optional()
                }
                Enqueue::Refused { kind, retry_after } => {
                    Out::new([&"refused", &name, &kind]).with("retry", retry_after.0)
                }
            });
        }
        Ok(outs)
    }

    fn answered(
        &self,
        now: Timestamp,
        args: &mut Args<'_>,
        owner: &mut Owner,
    ) -> Result<Option<Out>, Error> {
        let conn = owner.parse_conn(args)?;
        let words = [
            "done",
            "failed",
            "cancelled",
            "shed",
            "draining",
            "starting",
            "version",
            "deadline",
            "not-sent",
        ];
        let word = args.one_of(&words)?;
        let retry_after = args.key_parse("retry")?.map(Millis);
        let not_run = |reason| Outcome::NotRun {
            reason,
            retry_after,
        };
        let outcome = match word {
            "done" => Outcome::Done,
            "failed" => Outcome::Failed,
            "cancelled" => Outcome::Cancelled,
            "shed" => not_run(NotRun::Shed),
            "draining" if self.disabled == "drain" => not_run(NotRun::VersionUnavailable),
            "draining" => not_run(NotRun::Draining),
            "starting" if self.disabled == "ramp" => not_run(NotRun::VersionUnavailable),
            "starting" => not_run(NotRun::Starting),
            "version" => not_run(NotRun::VersionUnavailable),
            "deadline" => not_run(NotRun::Deadline),
            _ => not_run(NotRun::NotSent),
        };
        let work = owner.queue.completed(now, conn, outcome);
        let busy = owner.busy.remove(&conn);
        if let Some(work) = work {
            owner.ended(work);
        }
        let dropped = work.is_none() || work != busy;
        let name = busy.and_then(|id| owner.names.get(&id));
        let name = name.map_or("unknown", String::as_str);
        Ok(dropped.then(|| Out::new([&"dropped", &name])))
    }

    /// Completes all running work every `each` until `n` items of work have started.
    fn serve(
        &self,
        now: Timestamp,
        args: &mut Args<'_>,
        owner: &mut Owner,
    ) -> Result<Vec<Out>, Error> {
        let n: usize = args.parse("a number of pieces of work")?;
        let each = args.key_time("each")?.unwrap_or(Duration::from_millis(10));
        let mut served = Vec::new();
        let mut outs = Vec::new();
        let mut at = now;
        for _ in 0..MAX_STEPS {
            self.run_actions(at, owner, &mut outs);
            for out in outs.drain(..).filter(|o| o.words[0] == "start") {
                served.push(out.words[1].clone());
            }
            if served.len() >= n {
                break;
            }
            at = at + each;
            for conn in std::mem::take(&mut owner.busy).into_keys() {
                if let Some(work) = owner.queue.completed(at, conn, Outcome::Done) {
                    owner.ended(work);
                }
            }
        }
        served.truncate(n);
        Ok(vec![Out::new([&"served", &list(served)])])
    }

    /// Performs the actions of the queue until it is idle.
    fn run_actions(&self, now: Timestamp, owner: &mut Owner, outs: &mut Vec<Out>) {
        for _ in 0..MAX_STEPS {
            match owner.queue.next(now) {
                Action::Start { work, conn } => {
                    owner.busy.insert(conn, work);
                    outs.push(Out::new([
                        &"start",
                        &owner.names[&work],
                        &format!("c{conn}"),
                    ]));
                }
                Action::Connect if self.manual => outs.push(Out::new([&"open"])),
                Action::Connect => {
                    owner.conns += 1;
                    outs.push(Out::new([&"open"]).optional());
                    owner.queue.connected(now, ConnId(owner.conns));
                }
                Action::Close { conn } => {
                    outs.push(Out::new([&"close", &format!("c{conn}")]));
                    outs.extend(owner.closed(now, conn));
                }
                Action::Check { conn } => outs.push(Out::new([&"check", &format!("c{conn}")])),
                Action::Discard { work, kind } => {
                    owner.ended(work);
                    outs.push(Out::new([&"expire", &owner.names[&work], &kind]));
                }
                Action::Idle { until } => {
                    self.check_invariants(owner, until);
                    if let Some(until) = until {
                        outs.push(
                            Out::new([&"idle", &format_time(until - TIME_OFFSET)]).optional(),
                        );
                    }
                    return;
                }
            }
        }
        outs.push(Out::new([&"idle", &"never"]));
    }

    /// Checks that no more requests run than the server has slots, and that queued
    /// work has a timer or running work that will start it.
    fn check_invariants(&self, owner: &mut Owner, until: Option<Timestamp>) {
        let (busy, slots) = (owner.busy.len(), self.settings.slots.get());
        if busy > slots as usize {
            owner.violation = Some(format!("{busy} requests at a server of {slots} slots"));
        }
        if until.is_none() && busy == 0 && !self.manual && owner.queue.hint().queued > 0 {
            owner.violation = Some("work is queued and nothing wakes the queue".into());
        }
    }
}
