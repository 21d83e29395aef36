//! Configuration: one [`Sync`] and one [`Acceptance`] per daemon, a service
//! with a latency of 2 ms, and peer messages with a latency of 1 ms.

mod service;

use std::{collections::BTreeSet, time::Duration};

use jasminepond_config::{Acceptance, Files, OfferOutcome};
use jasminepond_membership::{ConfigVersion, Member, MemberState, View};
use jasminepond_sync::{Action, Digest, File, Settings, Source, Sync, SyncMessage};
use jasminepond_types::{Revision, Timestamp};

use super::membership::local_member;
use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec},
    net::{Change, MESSAGE_DELAY, Net, merge_values},
};

pub(crate) const SPEC: Spec = Spec {
    name: "config",
    setup: &["daemon", "late", "seed"],
    events: &[
        "run", "publish", "service", "offer", "dead", "kill", "restart", "pause", "wake", "cut",
        "heal",
    ],
    outputs: &["offer", "inforce", "invalid"],
    mechanisms: &[
        "revision-check",
        "validation",
        "conflict-check",
        "peers",
        "torn-read-check",
    ],
    new,
};

/// Interval between the ticks of a daemon.
const TICK: Duration = Duration::from_millis(100);

/// Latency of a call to the service.
const SERVICE_DELAY: Duration = Duration::from_millis(2);

/// The base file of a minimal valid configuration.
const BASE: &str = r#"{
    "zones": {"za": {"region": "ra"}},
    "tenants": {"ta": {}},
    "classes": {"ca": {"priority": 0, "default_deadline_ms": 250, "max_deadline_ms": 2000}},
    "shapes": {"small": {"slots": 2, "connection_limit": 25, "connect_cost_ms": 6}},
    "servers": {"s1": {"shape": "small", "zone": "za", "address": "127.0.0.1:9001"}},
    "groups": {"run": {"kind": "execute", "servers": ["s1"]}}
}"#;

enum Event {
    Tick {
        at: usize,
        incarnation: u64,
    },
    Message {
        from: usize,
        to: usize,
        message: SyncMessage,
    },
    Watched {
        at: usize,
        call: u64,
        after: Revision,
    },
    Fetched {
        at: usize,
        call: u64,
        name: String,
        digest: Digest,
    },
}

struct Daemon {
    sync: Sync,
    acceptance: Acceptance,
    /// Number of the pending call to the service.
    call: u64,
    /// Set while a watch waits for a revision above this one.
    watching: Option<Revision>,
    /// Revision in effect, as callers of the daemon see it.
    effective: Revision,
}

#[derive(Clone, PartialEq, Eq)]
enum Mode {
    Up,
    Down,
    Refusing,
    /// Answers every watch immediately with this revision.
    Stale(Revision, Files),
    /// The file list and the files belong to different revisions.
    Torn,
}

struct Cluster {
    disabled: String,
    /// Mixed into the random seed of every daemon.
    seed: u64,
    net: Net<Event>,
    daemons: Vec<Daemon>,
    dead: BTreeSet<usize>,
    /// How the service answers each daemon.
    modes: Vec<Mode>,
    revision: Revision,
    files: Files,
    outs: Vec<Out>,
    started: bool,
    violation: Option<String>,
}

fn new(_: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    Ok(Box::new(Cluster {
        disabled: disabled.unwrap_or_default().to_owned(),
        seed: 0,
        net: Net::new(),
        daemons: Vec::new(),
        dead: BTreeSet::new(),
        modes: Vec::new(),
        revision: Revision(0),
        files: Files::new(),
        outs: Vec::new(),
        started: false,
        violation: None,
    }))
}

/// Configuration files for `content`: `broken` is not valid JSON, `invalid` fails
/// validation, and any other word is the name of a tenant.
fn folder(content: &str) -> Files {
    let patch = match content {
        "broken" => r#"{"tenants": "#.to_owned(),
        "invalid" => r#"{"classes": {"ca": {"priority": "high"}}}"#.to_owned(),
        name => format!(r#"{{"tenants": {{"{name}": {{}}}}}}"#),
    };
    let file = |name: &str, text: &str| (name.to_owned(), text.as_bytes().to_vec());
    Files::from([file("10-base.json", BASE), file("20-patch.json", &patch)])
}

fn daemon(index: usize, name: &str, incarnation: u64, seed: u64) -> Daemon {
    let seed = seed * 10_000 + incarnation * 100 + index as u64;
    Daemon {
        sync: Sync::new(
            Settings::default(),
            local_member(index, name, incarnation),
            seed,
        ),
        acceptance: Acceptance::default(),
        call: 0,
        watching: None,
        effective: Revision(0),
    }
}

impl Machine for Cluster {
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error> {
        if word == "seed" {
            self.seed = args.parse("a number")?;
        }
        while let Some(name) = args.opt_word() {
            let index = self.net.add(name);
            self.net.processes[index].up = word == "daemon";
            self.daemons.push(daemon(index, name, 1, self.seed));
            self.modes.push(Mode::Up);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        if !std::mem::replace(&mut self.started, true) {
            (0..self.daemons.len()).for_each(|i| self.schedule_tick(Timestamp::ZERO, i));
        }
        self.advance(now);
        match word {
            "run" => {}
            "publish" => {
                self.revision = Revision(args.parse("a revision")?);
                self.files = folder(args.word("a content")?);
                self.end_answered_watches(now);
            }
            "service" => {
                let mode = match args.one_of(&["up", "down", "refusing", "stale", "torn"])? {
                    "up" => Mode::Up,
                    "down" => Mode::Down,
                    "refusing" => Mode::Refusing,
                    "stale" => {
                        let revision = Revision(args.parse("a revision")?);
                        Mode::Stale(revision, folder(args.word("a content")?))
                    }
                    _ => Mode::Torn,
                };
                let to = match args.expect_end() {
                    Ok(()) => &self.net.names.clone()[..],
                    Err(_) => args.list("a list of daemons")?,
                };
                for name in to {
                    let at = self.net.find(name);
                    let at = at.ok_or_else(|| args.error("a list of daemons that exist"))?;
                    self.modes[at] = mode.clone();
                }
                self.end_answered_watches(now);
            }
            "offer" => {
                let at = self.net.parse_daemon(args)?;
                let revision = Revision(args.parse("a revision")?);
                let files = folder(args.word("a content")?);
                let offer = self.apply_revision(at, revision, &files);
                let name = self.net.names[at].clone();
                self.outs
                    .push(Out::new([&"offer", &name, &offer_name(&offer)]));
            }
            "dead" => {
                let at = self.net.parse_daemon(args)?;
                self.dead.insert(at);
            }
            _ => {
                let change = self.net.apply_fault(word, args)?;
                self.apply_change(now, &change);
            }
        }
        Ok(std::mem::take(&mut self.outs))
    }

    fn state(
        &mut self,
        now: Timestamp,
        args: &mut Args<'_>,
        key: &str,
    ) -> Result<Option<String>, Error> {
        self.advance(now);
        let named = self.net.select(args)?;
        let values = named.into_iter().map(|i| self.value(now, i, key));
        Ok(values.collect::<Option<Vec<String>>>().map(merge_values))
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }
}

impl Cluster {
    fn value(&self, now: Timestamp, i: usize, key: &str) -> Option<String> {
        let daemon = &self.daemons[i];
        let state = daemon.sync.status(now);
        let or_none = |r: Option<Revision>| r.map_or("none".into(), |r| r.to_string());
        Some(match key {
            "revision" => daemon.effective.to_string(),
            "spreads" => state.revision.to_string(),
            "role" => format!("{:?}", state.role).to_lowercase(),
            "refused" => or_none(state.refused.map(|r| r.revision)),
            "conflict" => or_none(state.conflict),
            "source" => match state.source {
                None => "none".into(),
                Some(Source::Service) => "service".into(),
                Some(Source::Peer(_)) => "peer".into(),
            },
            _ => return None,
        })
    }

    /// Staggers the ticks of the daemons, as different start times do in production.
    fn schedule_tick(&mut self, now: Timestamp, at: usize) {
        let incarnation = self.net.processes[at].incarnation;
        let first = now + Duration::from_millis(7 * at as u64);
        self.net.push(first, Event::Tick { at, incarnation });
    }

    /// All daemons, with those that the scenario declares `dead` marked as such.
    /// Killed and paused daemons stay alive in the view.
    fn view(&self) -> View {
        let member = |i: usize| {
            let me = local_member(i, &self.net.names[i], self.net.processes[i].incarnation);
            Member {
                instance: me.instance,
                incarnation: me.incarnation,
                refutation: 0,
                state: match self.dead.contains(&i) {
                    true => MemberState::Dead,
                    false => MemberState::Alive,
                },
                zone: me.zone,
                region: me.region,
                processor: me.processor,
                peer_address: me.peer_address,
                membership_address: me.membership_address,
                config: ConfigVersion::default(),
                reaches_servers: true,
            }
        };
        View::from_members((0..self.daemons.len()).map(member))
    }

    fn advance(&mut self, end: Timestamp) {
        while let Some((now, event)) = self.net.pop(end) {
            match event {
                Event::Tick { at, incarnation } => {
                    if self.net.processes[at].incarnation != incarnation {
                        continue;
                    }
                    if self.net.is_running(at) {
                        let view = self.view();
                        let actions = self.daemons[at].sync.tick(now, &view);
                        self.perform(now, at, actions);
                    }
                    self.net.push(now + TICK, Event::Tick { at, incarnation });
                }
                Event::Message { from, to, message } => {
                    if self.net.can_reach(from, to) && self.disabled != "peers" {
                        let from = local_member(from, &self.net.names[from], 1).instance;
                        let actions = self.daemons[to].sync.receive(now, from, message);
                        self.perform(now, to, actions);
                    }
                }
                Event::Watched { at, call, after } => {
                    if self.is_awaiting(at, call) {
                        self.watched(now, at, after);
                    }
                }
                Event::Fetched {
                    at,
                    call,
                    name,
                    digest,
                } => {
                    if self.is_awaiting(at, call) {
                        self.fetched(now, at, &name, digest);
                    }
                }
            }
        }
    }

    fn is_awaiting(&self, at: usize, call: u64) -> bool {
        self.daemons[at].call == call && self.net.is_running(at)
    }

    fn perform(&mut self, now: Timestamp, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Watch { after } => {
                    let call = self.next_call(at);
                    self.net
                        .push(now + SERVICE_DELAY, Event::Watched { at, call, after });
                }
                Action::FetchFromService { name, digest } => {
                    let call = self.next_call(at);
                    let name = name.to_string();
                    let event = Event::Fetched {
                        at,
                        call,
                        name,
                        digest,
                    };
                    self.net.push(now + SERVICE_DELAY, event);
                }
                Action::CancelCall => {
                    self.next_call(at);
                }
                Action::Send { to, message } => {
                    if let Some(to) = self.net.find(to.as_str()) {
                        let from = at;
                        self.net
                            .push(now + MESSAGE_DELAY, Event::Message { from, to, message });
                    }
                }
                Action::Offer { revision, files } => self.offer(now, at, revision, files),
                Action::RoleChanged(_)
                | Action::Conflict { .. }
                | Action::RefusedRevision { .. } => {}
            }
        }
    }

    fn next_call(&mut self, at: usize) -> u64 {
        let daemon = &mut self.daemons[at];
        daemon.watching = None;
        daemon.call += 1;
        daemon.call
    }

    fn offer(&mut self, now: Timestamp, at: usize, revision: Revision, files: Vec<File>) {
        let pair = |f: File| (f.name.to_string(), f.bytes.to_vec());
        let files: Files = files.into_iter().map(pair).collect();
        let name = self.net.names[at].clone();
        let offer = self.apply_revision(at, revision, &files);
        let sync = &mut self.daemons[at].sync;
        let actions = match &offer {
            OfferOutcome::Accepted(_) => {
                self.outs
                    .push(Out::new([&"inforce", &name, &revision]).optional());
                sync.accepted(now, revision)
            }
            OfferOutcome::Invalid(_) if self.disabled == "validation" => {
                self.daemons[at].effective = revision;
                self.daemons[at].sync.accepted(now, revision)
            }
            _ => {
                self.outs
                    .push(Out::new([&"invalid", &name, &revision]).optional());
                sync.refused(now, revision, offer_name(&offer))
            }
        };
        self.perform(now, at, actions);
    }

    /// Offers a revision to the [`Acceptance`] and records the revision that is in
    /// effect afterwards.
    fn apply_revision(&mut self, at: usize, revision: Revision, files: &Files) -> OfferOutcome {
        let daemon = &mut self.daemons[at];
        let same = daemon.effective == revision;
        if self.disabled == "revision-check" || (self.disabled == "conflict-check" && same) {
            daemon.acceptance = Acceptance::default();
        }
        let offer = daemon.acceptance.offer(revision, files);
        let current = daemon.acceptance.current().map(|a| a.revision);
        let current = current.unwrap_or(daemon.effective);
        if current < daemon.effective {
            let (name, before) = (&self.net.names[at], daemon.effective);
            self.violation = Some(format!("{name} went back from {before} to {current}"));
        }
        daemon.effective = current;
        offer
    }

    fn apply_change(&mut self, now: Timestamp, change: &Change) {
        match *change {
            Change::Restarted(i) => {
                let incarnation = self.net.processes[i].incarnation;
                self.daemons[i] = daemon(i, &self.net.names[i], incarnation, self.seed);
                self.dead.remove(&i);
                self.schedule_tick(now, i);
            }
            Change::Resumed(i) => {
                let actions = self.daemons[i].sync.resumed(now);
                self.perform(now, i, actions);
            }
            _ => {}
        }
    }
}

fn offer_name(offer: &OfferOutcome) -> &'static str {
    match offer {
        OfferOutcome::Accepted(_) => "accepted",
        OfferOutcome::Older => "older",
        OfferOutcome::Same => "same",
        OfferOutcome::Conflict => "conflict",
        OfferOutcome::Invalid(_) => "invalid",
    }
}
