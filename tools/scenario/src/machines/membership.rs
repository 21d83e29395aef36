//! Membership: one [`Membership`] per daemon, and datagrams with a latency of 1 ms.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jasminepond_membership::{
    LocalMember, Member, MemberState, Membership, Message, Output, ReportKind, Settings, View,
};
use jasminepond_types::{Incarnation, InstanceId, Timestamp};

use crate::{
    Error,
    args::Args,
    machine::{Machine, Out, Spec},
    net::{Change, MESSAGE_DELAY, Net, merge_values},
};

pub(crate) const SPEC: Spec = Spec {
    name: "membership",
    setup: &["daemon", "late", "seed"],
    events: &[
        "run", "leave", "report", "replay", "kill", "restart", "pause", "wake", "cut", "heal",
    ],
    outputs: &["superseded", "confirmed"],
    mechanisms: &[
        "incarnation-check",
        "refutation",
        "pause-check",
        "reports",
        "suspicion",
    ],
    new,
};

/// Interval between the ticks of a daemon.
const TICK: Duration = Duration::from_millis(50);

enum Event {
    Tick {
        at: usize,
        incarnation: u64,
    },
    Message {
        from: usize,
        to: usize,
        message: Box<Message>,
    },
}

struct Daemons {
    disabled: String,
    settings: Settings,
    /// Mixed into the random seed of every daemon.
    seed: u64,
    net: Net<Event>,
    members: Vec<Membership>,
    /// The last datagram that each daemon sent in its current incarnation.
    last_sent: BTreeMap<usize, Message>,
    /// The last datagram of each daemon's previous incarnation, for `replay`.
    earlier_sent: BTreeMap<usize, Message>,
    outs: Vec<Out>,
    started: bool,
    violation: Option<String>,
}

fn new(args: &mut Args<'_>, disabled: Option<&str>) -> Result<Box<dyn Machine>, Error> {
    let disabled = disabled.unwrap_or_default().to_owned();
    let mut settings = Settings::default();
    if disabled == "suspicion" {
        settings.suspicion_multiplier = 0;
    }
    if let Some(age) = args.key_time("forget")? {
        settings.forget_after = age;
    }
    Ok(Box::new(Daemons {
        disabled,
        settings,
        seed: 0,
        net: Net::new(),
        members: Vec::new(),
        last_sent: BTreeMap::new(),
        earlier_sent: BTreeMap::new(),
        outs: Vec::new(),
        started: false,
        violation: None,
    }))
}

pub(crate) fn local_member(index: usize, name: &str, incarnation: u64) -> LocalMember {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
    LocalMember {
        instance: name.parse().expect("a valid id"),
        incarnation: Incarnation(incarnation),
        zone: format!("z{}", index % 2).parse().expect("a valid id"),
        region: "r".parse().expect("a valid id"),
        processor: Default::default(),
        peer_address: address,
        membership_address: address,
    }
}

impl Machine for Daemons {
    fn setup(&mut self, word: &str, args: &mut Args<'_>) -> Result<(), Error> {
        if word == "seed" {
            self.seed = args.parse("a number")?;
        }
        while let Some(name) = args.opt_word() {
            let index = self.net.add(name);
            self.net.processes[index].up = word == "daemon";
            let me = local_member(index, name, 1);
            let member = Membership::new(self.settings.clone(), me, self.rng_seed(index, 1));
            self.members.push(member);
        }
        Ok(())
    }

    fn event(
        &mut self,
        now: Timestamp,
        word: &str,
        args: &mut Args<'_>,
    ) -> Result<Vec<Out>, Error> {
        self.start();
        self.advance(now);
        match word {
            "run" => {}
            "leave" => {
                let i = self.net.parse_daemon(args)?;
                let out = self.members[i].leave(now);
                self.perform(now, i, out);
            }
            "report" => {
                let i = self.net.parse_daemon(args)?;
                let server = args.parse("a server")?;
                let kind = match args.one_of(&["draining", "lost", "back"])? {
                    "draining" => ReportKind::Draining,
                    "lost" => ReportKind::Lost,
                    _ => ReportKind::Back,
                };
                if self.disabled != "reports" {
                    self.members[i].report(now, server, kind);
                }
            }
            "replay" => {
                let (from, to) = (self.net.parse_daemon(args)?, self.net.parse_daemon(args)?);
                let missing = args.error("a daemon with an earlier run");
                let mut message = self.earlier_sent.get(&from).cloned().ok_or(missing)?;
                if self.disabled == "incarnation-check" {
                    message.from.incarnation = Incarnation(self.net.processes[from].incarnation);
                }
                self.receive(now, from, to, message);
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
        let about = key.rsplit_once(':').map_or(key, |(_, name)| name);
        let others = named.into_iter().filter(|&i| self.net.names[i] != about);
        let others: Vec<usize> = others.collect();
        let values: Option<Vec<String>> = others
            .into_iter()
            .map(|i| self.value(now, i, key))
            .collect();
        Ok(values.map(merge_values))
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }
}

impl Daemons {
    /// Loads the running daemons into each other's views and schedules their ticks.
    fn start(&mut self) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let first: Vec<usize> = self.net.running().collect();
        let me = |i: &usize| self.members[*i].me().clone();
        let view = View::from_members(first.iter().map(me));
        for i in first {
            self.members[i].load_view(&view);
            self.load_seeds(i);
            self.schedule_tick(Timestamp::ZERO, i);
        }
    }

    fn rng_seed(&self, i: usize, incarnation: u64) -> u64 {
        self.seed * 10_000 + incarnation * 100 + i as u64
    }

    fn load_seeds(&mut self, i: usize) {
        let all = self.members.iter().map(|m| m.me().membership_address);
        let all: Vec<SocketAddr> = all.collect();
        self.members[i].set_seeds(all);
    }

    /// Staggers the ticks of the daemons, as different start times do in production.
    fn schedule_tick(&mut self, now: Timestamp, at: usize) {
        let incarnation = self.net.processes[at].incarnation;
        let first = now + Duration::from_millis(7 * at as u64);
        self.net.push(first, Event::Tick { at, incarnation });
    }

    fn advance(&mut self, end: Timestamp) {
        while let Some((now, event)) = self.net.pop(end) {
            match event {
                Event::Tick { at, incarnation } => {
                    if self.net.processes[at].incarnation != incarnation
                        || !self.net.processes[at].up
                    {
                        continue;
                    }
                    if self.net.is_running(at) {
                        let out = self.members[at].tick(now);
                        self.perform(now, at, out);
                    }
                    self.net.push(now + TICK, Event::Tick { at, incarnation });
                }
                Event::Message { from, to, message } => {
                    if self.net.can_reach(from, to) {
                        self.receive(now, from, to, *message);
                    }
                }
            }
        }
    }

    fn receive(&mut self, now: Timestamp, from: usize, to: usize, mut message: Message) {
        if self.disabled == "refutation" {
            message.from.refutation = 0;
            for record in &mut message.records {
                record.0.refutation = 0;
            }
        }
        let address = self.members[from].me().membership_address;
        let before = self.incarnations(to);
        let out = self.members[to].receive(now, address, message);
        for (instance, incarnation) in before {
            let after = self.members[to].view().get(&instance);
            if after.is_some_and(|m| m.incarnation < incarnation) {
                self.violation = Some(format!("{instance} fell below incarnation {incarnation}"));
            }
        }
        self.perform(now, to, out);
    }

    fn incarnations(&self, i: usize) -> Vec<(InstanceId, Incarnation)> {
        let members = self.members[i].view().members();
        let pair = |m: &std::sync::Arc<Member>| (m.instance.clone(), m.incarnation);
        members.iter().map(pair).collect()
    }

    fn perform(&mut self, now: Timestamp, from: usize, outputs: Vec<Output>) {
        let name = self.net.names[from].clone();
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let by_address = |m: &Membership| m.me().membership_address == to;
                    let Some(to) = self.members.iter().position(by_address) else {
                        continue;
                    };
                    self.last_sent.insert(from, (*message).clone());
                    let event = Event::Message { from, to, message };
                    self.net.push(now + MESSAGE_DELAY, event);
                }
                Output::Confirmed => {
                    self.outs.push(Out::new([&"confirmed", &name]).optional());
                }
                Output::Superseded(_) => self.outs.push(Out::new([&"superseded", &name])),
                Output::Changed(_) | Output::Report(_) => {}
            }
        }
    }

    fn apply_change(&mut self, now: Timestamp, change: &Change) {
        match *change {
            Change::Restarted(i) => {
                if let Some(last) = self.last_sent.remove(&i) {
                    self.earlier_sent.insert(i, last);
                }
                let incarnation = self.net.processes[i].incarnation;
                let me = local_member(i, &self.net.names[i], incarnation);
                self.members[i] =
                    Membership::new(self.settings.clone(), me, self.rng_seed(i, incarnation));
                self.load_seeds(i);
                self.schedule_tick(now, i);
            }
            Change::Resumed(i) if self.disabled != "pause-check" => {
                let out = self.members[i].on_resume(now);
                self.perform(now, i, out);
            }
            _ => {}
        }
    }

    /// The keys are `NAME`, `incarnation:NAME`, `report:SERVER`, `confirmed` and
    /// `members`.
    fn value(&self, now: Timestamp, i: usize, key: &str) -> Option<String> {
        let member = &self.members[i];
        let find = |name: &str| {
            self.net.find(name)?;
            let found = member.view().get(&name.parse::<InstanceId>().ok()?);
            Some(found.cloned())
        };
        match key.split_once(':') {
            Some(("incarnation", name)) => {
                let found = find(name)?;
                Some(found.map_or("none".into(), |m| m.incarnation.to_string()))
            }
            Some(("report", server)) => {
                let mut reports = member.reports(now);
                let found = reports.find(|r| r.server.as_str() == server);
                Some(found.map_or("none".into(), |r| format!("{:?}", r.kind).to_lowercase()))
            }
            None if key == "confirmed" => Some(member.is_confirmed().to_string()),
            None if key == "members" => {
                let alive = member.view().in_state(MemberState::Alive);
                Some(alive.count().to_string())
            }
            None => {
                let found = find(key)?;
                Some(found.map_or("none".into(), |m| format!("{:?}", m.state).to_lowercase()))
            }
            _ => None,
        }
    }
}
