//! Simulation of many state machines in one process. They exchange encoded
//! datagrams in virtual time over a network with loss, duplication, delay and
//! partitions.

#![allow(dead_code, reason = "each test uses only part of the module")]

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use jasminepond_membership::{
    LocalMember, MAX_DATAGRAM_BYTES, Member, MemberState, Membership, Message, Output, Settings,
};
use jasminepond_types::{Incarnation, InstanceId, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Event at a point in virtual time.
enum Event {
    Tick(usize, Incarnation),
    Datagram(usize, usize, Vec<u8>),
}

pub struct Node {
    pub membership: Membership,
    pub incarnation: Incarnation,
    pub up: bool,
    pub partition: u8,
    pub outputs: Vec<Output>,
}

pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Timestamp,
    pub rng: StdRng,
    pub settings: Settings,
    /// Fractions of datagrams that are lost (`loss`) and duplicated (`repeat`).
    pub loss: f64,
    pub repeat: f64,
    /// Longest delay of a datagram in milliseconds.
    pub delay: u64,
    pub messages: u64,
    pub bytes: u64,
    events: BTreeMap<(Timestamp, u64), Event>,
    count: u64,
    addresses: BTreeMap<SocketAddr, usize>,
}

pub fn instance(i: usize) -> InstanceId {
    format!("entry-{i:04}").parse().unwrap()
}

fn address(i: usize) -> SocketAddr {
    let [_, _, a, b] = (i as u32).to_be_bytes();
    SocketAddr::from(([10, 1, a, b], 7_000))
}

pub fn local_member(i: usize, incarnation: u64) -> LocalMember {
    LocalMember {
        instance: instance(i),
        incarnation: Incarnation(incarnation),
        zone: format!("zone-{:02}", i % 17).parse().unwrap(),
        region: format!("region-{}", i % 17 % 6).parse().unwrap(),
        processor: Default::default(),
        peer_address: address(i),
        membership_address: address(i),
    }
}

impl Network {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            settings,
            loss: 0.0,
            repeat: 0.0,
            delay: 3,
            messages: 0,
            bytes: 0,
            events: BTreeMap::new(),
            count: 0,
            addresses: BTreeMap::new(),
        }
    }

    /// Starts daemons, each with all others as seeds.
    pub fn start(&mut self, n: usize) {
        for i in 0..n {
            self.addresses.insert(address(i), i);
            let node = self.node(i, 1, n);
            self.nodes.push(node);
            self.schedule_tick(i);
        }
    }

    /// Starts daemons whose views already contain all of them.
    pub fn start_joined(&mut self, n: usize) {
        self.start(n);
        let members = self.nodes.iter().map(|n| n.membership.me().clone());
        let view = jasminepond_membership::View::from_members(members);
        for node in &mut self.nodes {
            node.membership.load_view(&view);
        }
    }

    fn node(&mut self, i: usize, incarnation: u64, n: usize) -> Node {
        let seed = self.rng.random();
        let me = local_member(i, incarnation);
        let mut membership = Membership::new(self.settings.clone(), me, seed);
        membership.set_seeds((0..n).map(address));
        Node {
            membership,
            incarnation: Incarnation(incarnation),
            up: true,
            partition: 0,
            outputs: Vec::new(),
        }
    }

    /// Stops a daemon without announcing its departure.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    /// Starts a daemon with a new incarnation.
    pub fn restart(&mut self, i: usize) {
        let incarnation = self.nodes[i].incarnation.get() + 1;
        let n = self.nodes.len();
        self.nodes[i] = self.node(i, incarnation, n);
        self.schedule_tick(i);
    }

    pub fn leave(&mut self, i: usize) {
        let now = self.now;
        let out = self.nodes[i].membership.leave(now);
        self.perform(i, out);
    }

    /// The daemon neither ticks nor receives until [`Self::resume`].
    pub fn set_reaches_servers(&mut self, i: usize, reaches: bool) {
        let now = self.now;
        let out = self.nodes[i].membership.set_reaches_servers(now, reaches);
        self.perform(i, out);
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    /// Resumes a paused daemon and returns its immediate outputs.
    pub fn resume(&mut self, i: usize) -> Vec<Output> {
        self.nodes[i].up = true;
        let now = self.now;
        let out = self.nodes[i].membership.on_resume(now);
        self.perform(i, out.clone());
        self.schedule_tick(i);
        out
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn schedule_tick(&mut self, i: usize) {
        let node = &self.nodes[i];
        // Ticks are spread out, as they are in a running tier.
        let jitter = self.rng.random_range(1..1_000);
        let jitter = self.now + Duration::from_millis(jitter);
        let at = match node.membership.next_tick() {
            next if next > self.now => next,
            _ => jitter,
        };
        let incarnation = node.incarnation;
        self.push(at, Event::Tick(i, incarnation));
    }

    /// Runs for the given virtual time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            self.now = next.key().0;
            let event = next.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(i, incarnation) => {
                let node = &mut self.nodes[i];
                if node.up && node.incarnation == incarnation {
                    let out = node.membership.tick(now);
                    self.perform(i, out);
                    self.schedule_tick(i);
                }
            }
            Event::Datagram(from, to, buf) => {
                let cut = self.nodes[from].partition != self.nodes[to].partition;
                if self.nodes[to].up && !cut {
                    let message = Message::decode(&buf).unwrap();
                    let out = self.nodes[to]
                        .membership
                        .receive(now, address(from), message);
                    self.perform(to, out);
                }
            }
        }
    }

    fn perform(&mut self, i: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(i, to, &message),
                other => self.nodes[i].outputs.push(other),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let buf = message.encode();
        assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
        self.messages += 1;
        self.bytes += buf.len() as u64;
        let to = self.addresses[&to];
        let copies = match self.rng.random_bool(self.repeat) {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            if !self.rng.random_bool(self.loss) {
                let delay = self.rng.random_range(1..=self.delay);
                let at = self.now + Duration::from_millis(delay);
                self.push(at, Event::Datagram(from, to, buf.clone()));
            }
        }
    }

    /// State of daemon `j` in the view of daemon `i`.
    pub fn state(&self, i: usize, j: usize) -> Option<MemberState> {
        let view = self.nodes[i].membership.view();
        view.get(&instance(j)).map(|m| m.state)
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].up)
    }

    /// Whether daemon `j` has `state` in the view of every other running daemon.
    pub fn all_see(&self, j: usize, state: MemberState) -> bool {
        let others = self.running().filter(|&i| i != j);
        others.into_iter().all(|i| self.state(i, j) == Some(state))
    }

    /// The views of all running daemons without configuration versions.
    pub fn views(&self) -> Vec<Vec<Member>> {
        let strip = |m: &std::sync::Arc<Member>| Member {
            config: Default::default(),
            ..Member::clone(m)
        };
        let view = |i: usize| self.nodes[i].membership.view().members().iter().map(strip);
        self.running().map(|i| view(i).collect()).collect()
    }

    pub fn assert_views_equal(&self) {
        let views = self.views();
        for view in &views {
            assert_eq!(view, &views[0]);
        }
    }

    /// Runs until `done` holds and returns the elapsed virtual time, or `None` after
    /// `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(50));
        }
        None
    }
}
