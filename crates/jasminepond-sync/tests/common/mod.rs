//! Simulation of many state machines and a configuration service in virtual time,
//! over a network with loss, delay and partitions.

#![allow(dead_code, reason = "each user needs only some of the items")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use jasminepond_membership::{LocalMember, Member, MemberState, Membership, View};
use jasminepond_sync::{
    Action, Digest, FileRef, MAX_CHUNK_BYTES, Role, ServiceFailure, Settings, Sync, SyncMessage,
};
use jasminepond_types::{Incarnation, InstanceId, Revision, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TICK: Duration = Duration::from_millis(100);
const SERVICE_DELAY: Duration = Duration::from_millis(3);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum one-way delays within a zone, between zones and between regions.
const DELAYS_MICROS: [u64; 3] = [250, 1_500, 40_000];

#[derive(Clone)]
enum Response {
    Tree(Revision, Vec<FileRef>),
    Unchanged,
    File(Arc<str>, Bytes),
    Failed(ServiceFailure),
}

enum Event {
    Tick(usize, u64),
    Message(usize, usize, SyncMessage),
    Call(usize, u64, Call),
    Response(usize, u64, Response),
}

enum Call {
    Watch(Revision),
    File(Arc<str>, Digest),
}

/// The configuration service.
#[derive(Default)]
pub struct Service {
    pub revision: Revision,
    pub files: BTreeMap<Arc<str>, Bytes>,
    pub down: bool,
    /// Number of further reads of the list after each of which a file changes, so
    /// that the list and the file do not match.
    pub torn_reads: u32,
    /// Reads per second above which calls are refused.
    pub limit: Option<u64>,
    pub reads: u64,
    pub refused: u64,
    /// Highest number of reads in one second.
    pub peak: u64,
    second: (u64, u64),
    watches: Vec<(usize, u64, Revision, Timestamp)>,
}

impl Service {
    fn tree(&self) -> Response {
        let file = |(name, bytes): (&Arc<str>, &Bytes)| FileRef {
            name: name.clone(),
            digest: Digest::of(bytes),
            size: bytes.len() as u64,
        };
        Response::Tree(self.revision, self.files.iter().map(file).collect())
    }

    /// Counts a read and returns whether it is within the limit.
    fn read(&mut self, now: Timestamp) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.second.0 != second {
            self.second = (second, 0);
        }
        self.second.1 += 1;
        self.reads += 1;
        self.peak = self.peak.max(self.second.1);
        let allowed = self.limit.is_none_or(|limit| self.second.1 <= limit);
        self.refused += u64::from(!allowed);
        allowed
    }
}

pub struct Node {
    pub sync: Sync,
    pub me: LocalMember,
    pub up: bool,
    pub side: usize,
    /// Index of the node's view, equal to its side unless set otherwise.
    pub view: usize,
    /// The revision accepted last.
    pub revision: Revision,
    pub conflicts: usize,
    pub refused: Vec<Revision>,
    run: u64,
    call: u64,
}

pub struct Tier {
    pub nodes: Vec<Node>,
    /// The view on each side of a partition.
    pub views: Vec<View>,
    pub service: Service,
    pub now: Timestamp,
    pub rng: StdRng,
    pub settings: Settings,
    pub loss: f64,
    pub messages: u64,
    pub bytes: u64,
    /// Heartbeats among the messages.
    pub heartbeats: u64,
    /// Revisions that the caller of the state machine refuses.
    pub invalid: BTreeSet<Revision>,
    events: BTreeMap<(Timestamp, u64), Event>,
    count: u64,
    index: BTreeMap<InstanceId, usize>,
}

fn me(i: usize, zones: usize, incarnation: u64) -> LocalMember {
    let [_, _, a, b] = (i as u32).to_be_bytes();
    let address = ([10, 1, a, b], 7_000).into();
    let zone = i % zones;
    LocalMember {
        instance: format!("entry-{i:04}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        zone: format!("zone-{zone:02}").parse().unwrap(),
        region: format!("region-{}", zone * 6 / zones.max(6))
            .parse()
            .unwrap(),
        processor: Default::default(),
        peer_address: address,
        membership_address: address,
    }
}

fn member(me: &LocalMember, state: MemberState) -> Member {
    let own = Membership::new(Default::default(), me.clone(), 0)
        .me()
        .clone();
    Member { state, ..own }
}

impl Tier {
    pub fn new(settings: Settings, n: usize, zones: usize, seed: u64) -> Self {
        let mut tier = Self {
            nodes: Vec::new(),
            views: vec![View::default()],
            service: Service::default(),
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            settings,
            loss: 0.0,
            messages: 0,
            bytes: 0,
            heartbeats: 0,
            invalid: BTreeSet::new(),
            events: BTreeMap::new(),
            count: 0,
            index: BTreeMap::new(),
        };
        for i in 0..n {
            let me = me(i, zones, 1);
            tier.views[0].put(member(&me, MemberState::Alive));
            tier.index.insert(me.instance.clone(), i);
            let node = tier.node(me, 0, 0);
            tier.nodes.push(node);
            tier.schedule_tick(i);
        }
        tier
    }

    fn node(&mut self, me: LocalMember, side: usize, run: u64) -> Node {
        let seed = self.rng.random();
        Node {
            sync: Sync::new(self.settings.clone(), me.clone(), seed),
            me,
            up: true,
            side,
            view: side,
            revision: Revision(0),
            conflicts: 0,
            refused: Vec::new(),
            run,
            call: 0,
        }
    }

    pub fn stop(&mut self, i: usize) {
        self.nodes[i].up = false;
        self.nodes[i].run += 1;
        self.update_views();
    }

    /// Restarts daemon `i` with a new incarnation and without a configuration.
    pub fn restart(&mut self, i: usize) {
        let run = self.nodes[i].run + 1;
        let mut me = self.nodes[i].me.clone();
        me.incarnation.0 += 1;
        let call = self.nodes[i].call;
        self.nodes[i] = self.node(me, self.nodes[i].side, run);
        self.nodes[i].call = call + 1;
        self.update_views();
        self.schedule_tick(i);
    }

    /// Partitions the network so that daemon `i` is on side `side(i)`.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.side = side(i);
            node.view = node.side;
        }
        let sides = self.nodes.iter().map(|n| n.side).max().unwrap_or(0) + 1;
        let view = self.views[0].clone();
        self.views.resize(sides, view);
        self.update_views();
    }

    /// Isolates every daemon, with all others removed from its view.
    pub fn isolate(&mut self) {
        let alone = |n: &Node| View::from_members([member(&n.me, MemberState::Alive)]);
        self.views = self.nodes.iter().map(alone).collect();
        for (i, node) in self.nodes.iter_mut().enumerate() {
            (node.side, node.view) = (i, i);
        }
    }

    /// Updates all views immediately to the daemons that can be reached.
    pub fn update_views(&mut self) {
        for (side, view) in self.views.iter_mut().enumerate() {
            for node in &self.nodes {
                let state = match node.up && node.side == side {
                    true => MemberState::Alive,
                    false => MemberState::Dead,
                };
                let known = view.get(&node.me.instance);
                let same =
                    known.is_some_and(|m| m.state == state && m.incarnation == node.me.incarnation);
                if !same {
                    view.put(member(&node.me, state));
                }
            }
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn schedule_tick(&mut self, i: usize) {
        let offset = self.rng.random_range(1..=TICK.as_micros() as u64);
        let run = self.nodes[i].run;
        self.push(
            self.now + Duration::from_micros(offset),
            Event::Tick(i, run),
        );
    }

    /// Publishes a revision at the service with one file added or changed.
    pub fn publish(&mut self, name: &str, bytes: impl Into<Bytes>) {
        self.service.files.insert(name.into(), bytes.into());
        self.service.revision.0 += 1;
        self.complete_watches();
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            self.now = next.key().0;
            let event = next.remove();
            self.handle(event);
        }
        self.now = end;
    }

    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    pub fn all_have(&self, revision: Revision) -> bool {
        let mut up = self.nodes.iter().filter(|n| n.up);
        up.all(|n| n.revision == revision)
    }

    /// Runs until all daemons have the revision of the service.
    pub fn converge(&mut self, limit: Duration) -> Option<Duration> {
        self.run_until(limit, |tier| tier.all_have(tier.service.revision))
    }

    pub fn in_role(&self, role: Role) -> usize {
        let up = self.nodes.iter().filter(|n| n.up);
        up.filter(|n| n.sync.role() == role).count()
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(i, run) => {
                if self.nodes[i].run != run {
                    return;
                }
                // A daemon that is not up is paused and continues later.
                self.push(now + TICK, Event::Tick(i, run));
                if self.nodes[i].up {
                    let node = &mut self.nodes[i];
                    let actions = node.sync.tick(now, &self.views[node.view]);
                    self.perform(i, actions);
                    self.expire_watches();
                }
            }
            Event::Message(from, to, message) => {
                let (from, node) = (&self.nodes[from], &self.nodes[to]);
                if node.up && from.side == node.side {
                    let from = from.me.instance.clone();
                    let actions = self.nodes[to].sync.receive(now, from, message);
                    self.perform(to, actions);
                }
            }
            Event::Call(i, call, request) => self.serve(i, call, request),
            Event::Response(i, call, response) => {
                let node = &mut self.nodes[i];
                if node.call == call && node.up {
                    let sync = &mut node.sync;
                    let actions = match response {
                        Response::Tree(revision, files) => sync.service_tree(now, revision, files),
                        Response::Unchanged => sync.service_unchanged(now),
                        Response::File(name, bytes) => sync.service_file(now, &name, bytes),
                        Response::Failed(failure) => sync.service_failed(now, failure),
                    };
                    self.perform(i, actions);
                }
            }
        }
    }

    fn serve(&mut self, i: usize, call: u64, request: Call) {
        if self.service.down {
            return self.respond(i, call, Response::Failed(ServiceFailure::Unavailable));
        }
        if !self.service.read(self.now) {
            return self.respond(i, call, Response::Failed(ServiceFailure::Refused));
        }
        match request {
            Call::Watch(after) if self.service.revision > after => {
                let tree = self.service.tree();
                self.respond(i, call, tree);
                if self.service.torn_reads > 0 {
                    self.service.torn_reads -= 1;
                    let text = format!("torn {}", self.service.torn_reads);
                    self.publish("torn.json", text);
                }
            }
            Call::Watch(after) => {
                let until = self.now + WATCH_TIMEOUT;
                self.service.watches.push((i, call, after, until));
            }
            Call::File(name, digest) => {
                let bytes = self.service.files.get(&name);
                let response = match bytes.filter(|b| Digest::of(b) == digest) {
                    Some(bytes) => Response::File(name, bytes.clone()),
                    None => Response::Failed(ServiceFailure::FileChanged),
                };
                self.respond(i, call, response);
            }
        }
    }

    fn respond(&mut self, i: usize, call: u64, response: Response) {
        self.push(self.now + SERVICE_DELAY, Event::Response(i, call, response));
    }

    fn complete_watches(&mut self) {
        let tree = self.service.tree();
        let revision = self.service.revision;
        for watch in std::mem::take(&mut self.service.watches) {
            match watch {
                (i, call, after, _) if after < revision => self.respond(i, call, tree.clone()),
                _ => self.service.watches.push(watch),
            }
        }
    }

    /// Completes expired watches. They are sorted by expiry.
    fn expire_watches(&mut self) {
        let now = self.now;
        while self.service.watches.first().is_some_and(|w| w.3 <= now) {
            let (i, call, ..) = self.service.watches.remove(0);
            self.respond(i, call, Response::Unchanged);
        }
    }

    pub fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(i, &to, message),
                Action::Watch { after } => self.call(i, Call::Watch(after)),
                Action::FetchFromService { name, digest } => self.call(i, Call::File(name, digest)),
                Action::CancelCall => {
                    self.nodes[i].call += 1;
                    self.service.watches.retain(|w| w.0 != i);
                }
                Action::Offer { revision, files } => self.offer(i, revision, files),
                Action::RefusedRevision { revision, .. } => self.nodes[i].refused.push(revision),
                Action::Conflict { .. } => self.nodes[i].conflicts += 1,
                Action::RoleChanged(_) => {}
            }
        }
    }

    fn call(&mut self, i: usize, request: Call) {
        self.nodes[i].call += 1;
        let call = self.nodes[i].call;
        self.push(self.now + SERVICE_DELAY, Event::Call(i, call, request));
    }

    /// Accepts or refuses an offer, and checks what must hold for any offer.
    fn offer(&mut self, i: usize, revision: Revision, files: Vec<jasminepond_sync::File>) {
        let now = self.now;
        let node = &mut self.nodes[i];
        assert!(revision > node.revision, "the revision in effect decreased");
        assert!(files.is_sorted_by(|a, b| a.name < b.name));
        let actions = match self.invalid.contains(&revision) {
            true => node.sync.refused(now, revision, "invalid"),
            false => {
                node.revision = revision;
                node.sync.accepted(now, revision)
            }
        };
        self.perform(i, actions);
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: SyncMessage) {
        let mut buf = Vec::new();
        ciborium::into_writer(&message, &mut buf).unwrap();
        assert!(buf.len() <= MAX_CHUNK_BYTES + 128, "{} bytes", buf.len());
        let decoded: SyncMessage = ciborium::from_reader(&buf[..]).unwrap();
        self.messages += 1;
        self.bytes += buf.len() as u64;
        self.heartbeats += u64::from(matches!(message, SyncMessage::Heartbeat { .. }));
        let to = self.index[to];
        if self.rng.random_bool(self.loss) {
            return;
        }
        let (a, b) = (&self.nodes[from].me, &self.nodes[to].me);
        let distance = usize::from(a.zone != b.zone) + usize::from(a.region != b.region);
        let micros = DELAYS_MICROS[distance];
        let micros = self.rng.random_range(micros..micros * 2);
        let at = self.now + Duration::from_micros(micros);
        self.push(at, Event::Message(from, to, decoded));
    }
}
