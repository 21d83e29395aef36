//! A small model of one service: servers with slots, queues, speeds and pauses, and daemons
//! that choose among them by what they know themselves. No network.

use std::{
    cmp::{Ordering, Reverse},
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use jasminepond_forward::{
    Balance, HeardLoad, SPREAD, ServerLoad, Turn, ZoneCount, local_share, slowness_cost,
    slowness_sample,
};
use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Way of a message between a daemon and a server, in microseconds.
const ONE_WAY: u64 = 400;
/// Half-life of the observations of a server, in seconds.
const HALF_LIFE: f64 = 4.0;
/// Time for which a server that rejected a call is ranked behind others.
const PENALTY: u64 = 60_000;
const QUEUE: usize = 12;
/// Time in which the speed of a server stays the same, in microseconds.
const WOBBLE_PERIOD: u64 = 100_000;
/// Cost factor of a server in another zone.
const REMOTE_COST: f64 = 1.4;

/// Rule by which a daemon chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// Lowest cost, ties by the order of the entries.
    Present,
    Random,
    PowerOfTwo,
    /// Fewest own calls, ties by the order of the entries.
    LeastKnown,
    /// Fewest own calls, ties at random.
    LeastKnownRandom,
    /// Replica ranking with concurrency compensation.
    C3,
    /// Lowest cost, ties by an order of the entries that differs between daemons.
    OwnOrder,
    /// Own calls and the load in the last response, faded by its age, ties at random.
    HeardLoad,
    /// The load of two random servers at the time of the choice, as probes would find it.
    Probes,
    /// A server whose last response stated a free slot, if it was not used since.
    JoinIdle,
    /// Cost times a random factor, drawn for each call.
    RandomFactor,
    /// The rule of the crate: the factor is kept for a period.
    Taken,
    /// The rule of the crate where servers state their load.
    TakenStated,
}

/// What is uneven in a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    UnevenServers,
    /// The speed of each server changes every 100 ms.
    Wobble,
    Pauses,
    UnequalDemand,
    /// The first server is five times slower than the others.
    SlowServer,
}

pub struct Case {
    pub daemons: usize,
    pub servers: usize,
    pub slots: usize,
    pub work: Duration,
    /// Share of the slots that are busy on average.
    pub utilization: f64,
    pub trouble: Trouble,
    pub zones: Option<Zones>,
    /// What the first server states whatever its load is.
    pub lie: Option<ServerLoad>,
    pub seconds: u64,
    pub seed: u64,
}

/// Three availability zones; daemons belong to them in turn.
#[derive(Debug, Clone, Copy)]
pub struct Zones {
    /// Servers of each zone.
    pub servers: [u32; 3],
    /// Demand of the callers of each zone.
    pub demand: [f64; 3],
    /// Skew for which the share of local calls is computed.
    pub skew: f64,
}

impl Zones {
    fn of_server(&self, server: usize) -> usize {
        let mut sum = 0;
        let after = |count: &u32| {
            sum += *count as usize;
            server < sum
        };
        self.servers.iter().position(after).unwrap_or_default()
    }

    fn local_share(&self, daemons: usize) -> f64 {
        let counts = self.servers.map(|servers| ZoneCount {
            daemons: daemons as u32 / 3,
            servers,
        });
        local_share(&counts, self.skew, 1.25)
    }
}

pub struct Outcome {
    /// Calls of the busiest server relative to the mean.
    pub busiest: f64,
    pub p50: Duration,
    pub p99: Duration,
    /// Share of the requests that took more than three times the work.
    pub late: f64,
    /// Calls of the first server relative to the mean.
    pub first: f64,
    /// Share of the calls that stayed in the zone.
    pub local: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Reach(usize),
    Done(usize),
    Back(usize, bool),
    Slow(usize),
}

struct Call {
    daemon: usize,
    server: usize,
    sent: u64,
    arrived: u64,
    answered: bool,
    stated: Option<ServerLoad>,
}

#[derive(Clone)]
struct View {
    calls: usize,
    slowness: f64,
    sampled: u64,
    stalled: bool,
    full_until: u64,
    latency: f64,
    queue: f64,
    heard: Option<HeardLoad>,
    idle: bool,
}

struct Server {
    running: usize,
    waiting: VecDeque<usize>,
    speed: f64,
    pause_at: u64,
    got: u64,
}

pub struct Model {
    case: Case,
    rule: Rule,
    rng: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    names: Vec<String>,
    views: Vec<Vec<View>>,
    balances: Vec<Balance>,
    /// Cumulative shares of the demand.
    demand: Vec<f64>,
    took: Vec<u64>,
    local_share: f64,
    local: u64,
}

fn requests(load: ServerLoad) -> u32 {
    load.running.saturating_add(load.waiting)
}

impl Model {
    pub fn run(case: Case, rule: Rule) -> Outcome {
        let mut rng = StdRng::seed_from_u64(case.seed);
        let servers = (0..case.servers).map(|index| Server {
            running: 0,
            waiting: VecDeque::new(),
            speed: match case.trouble {
                Trouble::UnevenServers => 0.8 + 0.6 * index as f64 / (case.servers - 1) as f64,
                Trouble::SlowServer if index == 0 => 5.0,
                _ => 1.0,
            },
            pause_at: rng.random_range(0..4_500_000),
            got: 0,
        });
        let servers = servers.collect();
        let view = View {
            calls: 0,
            slowness: 1.0,
            sampled: 0,
            stalled: false,
            full_until: 0,
            latency: case.work.as_secs_f64(),
            queue: 0.0,
            heard: None,
            idle: false,
        };
        let weight = |daemon: usize| match (case.zones, case.trouble) {
            (Some(zones), _) => zones.demand[daemon % 3],
            (None, Trouble::UnequalDemand) => 1.0 / (1.0 + (daemon % 10) as f64),
            (None, _) => 1.0,
        };
        let mut sum = 0.0;
        let demand = (0..case.daemons).map(|daemon| {
            sum += weight(daemon);
            sum
        });
        let mut model = Self {
            rule,
            now: 0,
            events: BinaryHeap::new(),
            calls: Vec::new(),
            servers,
            names: (0..case.servers).map(|n| format!("server-{n}")).collect(),
            views: vec![vec![view; case.servers]; case.daemons],
            balances: (0..case.daemons)
                .map(|n| Balance::new(&format!("gateway-{n}-{}", case.seed)))
                .collect(),
            demand: demand.collect(),
            took: Vec::new(),
            local_share: case
                .zones
                .map_or(1.0, |zones| zones.local_share(case.daemons)),
            local: 0,
            rng,
            case,
        };
        model.events.push(Reverse((0, Event::Request)));
        let end = model.case.seconds * 1_000_000;
        while let Some(Reverse((at, event))) = model.events.pop() {
            model.now = at;
            match event {
                Event::Request if at < end => model.request(),
                Event::Request => {}
                Event::Reach(call) => model.reach(call),
                Event::Done(call) => model.done(call),
                Event::Back(call, ran) => model.back(call, ran),
                Event::Slow(call) => model.slow(call),
            }
        }
        model.outcome()
    }

    fn after(&mut self, wait: u64, event: Event) {
        self.events.push(Reverse((self.now + wait, event)));
    }

    fn request(&mut self) {
        let case = &self.case;
        let slots = (case.servers * case.slots) as f64;
        let per_s = case.utilization * slots / case.work.as_secs_f64();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
        self.after((gap * 1e6) as u64, Event::Request);
        let at = self.rng.random::<f64>() * self.demand[self.demand.len() - 1];
        let daemon = self.demand.partition_point(|sum| *sum <= at);
        self.send(daemon, self.now, None);
    }

    /// Sends a request. `tried` is the server of an earlier send.
    fn send(&mut self, daemon: usize, arrived: u64, tried: Option<usize>) {
        let server = self.choose(daemon, tried);
        let view = &mut self.views[daemon][server];
        view.calls += 1;
        view.idle = false;
        let call = self.calls.len();
        self.calls.push(Call {
            daemon,
            server,
            sent: self.now,
            arrived,
            answered: false,
            stated: None,
        });
        self.servers[server].got += 1;
        self.local += u64::from(self.is_local(daemon, server));
        self.after(ONE_WAY, Event::Reach(call));
        let slow = (self.case.work * 2).as_micros() as u64;
        self.after(slow, Event::Slow(call));
    }

    fn is_local(&self, daemon: usize, server: usize) -> bool {
        let zones = self.case.zones.as_ref();
        zones.is_none_or(|zones| zones.of_server(server) == daemon % 3)
    }

    fn choose(&mut self, daemon: usize, tried: Option<usize>) -> usize {
        let count = self.case.servers;
        let random: Vec<f64> = (0..count).map(|_| self.rng.random()).collect();
        let turn = self.balances[daemon].turn(Timestamp::from_micros(self.now));
        let (first, second) = {
            let mut order: Vec<_> = (0..count).collect();
            order.sort_by(|a, b| random[*a].total_cmp(&random[*b]));
            (order[0], order[1])
        };
        let score = |server: usize| {
            let view = &self.views[daemon][server];
            let (cost, tie) = self.cost(daemon, server, turn, random[server]);
            let last = match self.rule {
                Rule::PowerOfTwo | Rule::Probes => server != first && server != second,
                _ => false,
            };
            let standing = match () {
                () if view.stalled => 2,
                () if self.now < view.full_until => 1,
                () => 0,
            };
            (tried == Some(server), standing, last, cost, tie)
        };
        let order = |a: &usize, b: &usize| {
            let (a, b) = (score(*a), score(*b));
            let before = (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2));
            before
                .then(a.3.total_cmp(&b.3))
                .then(a.4.partial_cmp(&b.4).unwrap_or(Ordering::Equal))
        };
        (0..count).min_by(order).unwrap_or_default()
    }

    fn cost(&self, daemon: usize, server: usize, turn: Turn, random: f64) -> (f64, f64) {
        let view = &self.views[daemon][server];
        let calls = view.calls as f64 + 1.0;
        let now = Timestamp::from_micros(self.now);
        let age = (self.now - view.sampled) as f64 / 1e6;
        let slowness = 1.0 + (view.slowness - 1.0) * 0.5_f64.powf(age / HALF_LIFE);
        let clients = self.case.daemons as f64;
        let zone = match self.is_local(daemon, server) {
            true => 1.0,
            false => REMOTE_COST,
        };
        match self.rule {
            Rule::Present => (calls * slowness * zone, 0.0),
            Rule::Random => (0.0, random),
            Rule::PowerOfTwo => (calls * slowness, random),
            Rule::LeastKnown => (calls, 0.0),
            Rule::LeastKnownRandom => (calls, random),
            Rule::C3 => {
                let queue = 1.0 + view.calls as f64 * clients + view.queue;
                (view.latency * queue.powi(3), random)
            }
            Rule::OwnOrder => {
                let place = (server + daemon) % self.case.servers;
                (calls * slowness, place as f64)
            }
            Rule::HeardLoad => {
                let heard = view.heard.map_or(0.0, |heard| {
                    let age = heard.age(now).as_secs_f64();
                    let load = requests(heard.load());
                    f64::from(load) * 0.5_f64.powf(age / self.case.work.as_secs_f64())
                });
                (calls + heard, random)
            }
            Rule::Probes => {
                let state = &self.servers[server];
                ((state.running + state.waiting.len()) as f64, random)
            }
            Rule::JoinIdle => (if view.idle { 0.0 } else { 1.0 }, random),
            Rule::RandomFactor => {
                let factor = 1.0 + (SPREAD - 1.0) * random;
                (calls * slowness_cost(slowness) * factor, 0.0)
            }
            Rule::Taken | Rule::TakenStated => {
                let zone = match turn.prefers_zone("service", self.local_share) {
                    true => zone,
                    false => 1.0,
                };
                let stated = view.heard.filter(|_| self.rule == Rule::TakenStated);
                let load = stated.map_or(1.0, |heard| heard.cost_factor(now, view.calls));
                let factor = turn.factor(&self.names[server]);
                (calls * load * slowness_cost(slowness) * zone * factor, 0.0)
            }
        }
    }

    fn reach(&mut self, call: usize) {
        let server = self.calls[call].server;
        let state = &mut self.servers[server];
        if state.running < self.case.slots {
            self.start(call);
        } else if state.waiting.len() < QUEUE {
            state.waiting.push_back(call);
        } else {
            self.calls[call].stated = Some(self.stated(server));
            self.after(ONE_WAY, Event::Back(call, false));
        }
    }

    /// How long work takes on a server at this moment, relative to its usual speed.
    fn wobble(&self, server: usize) -> f64 {
        if self.case.trouble != Trouble::Wobble {
            return 1.0;
        }
        let machine = Balance::new(&format!("{server}-{}", self.now / WOBBLE_PERIOD));
        let turn = machine.turn(Timestamp::ZERO);
        0.5 + (turn.factor("wobble") - 1.0) / (SPREAD - 1.0)
    }

    fn stated(&self, server: usize) -> ServerLoad {
        let state = &self.servers[server];
        let slow = match self.case.trouble {
            Trouble::SlowServer => state.speed,
            // Servers state 100 for their usual speed, also if it differs between them.
            _ => 1.0,
        };
        let load = ServerLoad {
            running: state.running as u32,
            waiting: state.waiting.len() as u32,
            slots: self.case.slots as u32,
            work_percent: (self.wobble(server) * slow * 100.0) as u32,
        };
        self.case.lie.filter(|_| server == 0).unwrap_or(load)
    }

    fn start(&mut self, call: usize) {
        let server = self.calls[call].server;
        let spread = 0.7 + 0.6 * self.rng.random::<f64>();
        let state = &mut self.servers[server];
        state.running += 1;
        let wobble = self.wobble(server);
        let state = &self.servers[server];
        let mut left = (self.case.work.as_micros() as f64 * spread * state.speed * wobble) as u64;
        if self.case.trouble == Trouble::Pauses {
            let at = (self.now + state.pause_at) % 4_500_000;
            if at < 200_000 {
                left += 200_000 - at;
            } else if at + left > 4_500_000 {
                left += 200_000;
            }
        }
        self.after(left, Event::Done(call));
    }

    fn done(&mut self, call: usize) {
        let server = self.calls[call].server;
        let state = &mut self.servers[server];
        state.running -= 1;
        if let Some(next) = state.waiting.pop_front() {
            self.start(next);
        }
        self.calls[call].stated = Some(self.stated(server));
        self.after(ONE_WAY, Event::Back(call, true));
    }

    fn back(&mut self, key: usize, ran: bool) {
        let now = self.now;
        let work = self.case.work.as_secs_f64();
        let call = &mut self.calls[key];
        call.answered = true;
        let (daemon, server) = (call.daemon, call.server);
        let latency = (now - call.sent) as f64 / 1e6;
        let view = &mut self.views[daemon][server];
        view.calls -= 1;
        view.stalled = false;
        let load = call
            .stated
            .map(|load| HeardLoad::new(Timestamp::from_micros(now), load, view.calls));
        view.idle = call.stated.is_some_and(|load| requests(load) < load.slots);
        view.heard = load.or(view.heard);
        if !ran {
            view.full_until = now + PENALTY;
            let arrived = call.arrived;
            return self.send(daemon, arrived, Some(server));
        }
        let age = (now - view.sampled) as f64 / 1e6;
        let decayed = 1.0 + (view.slowness - 1.0) * 0.5_f64.powf(age / HALF_LIFE);
        let ratio = (latency / work).clamp(0.5, 20.0);
        let sample = match self.rule {
            Rule::RandomFactor | Rule::Taken | Rule::TakenStated => slowness_sample(ratio),
            _ => ratio,
        };
        view.slowness = decayed + (sample - decayed) * 0.2;
        view.sampled = now;
        view.latency += (latency - view.latency) * 0.2;
        let queue = call.stated.map_or(0, requests);
        view.queue += (f64::from(queue) - view.queue) * 0.2;
        self.took.push(now - call.arrived);
    }

    fn slow(&mut self, key: usize) {
        let call = &self.calls[key];
        if call.answered {
            return;
        }
        // There is no second send: it would hide what the first choice was worth.
        self.views[call.daemon][call.server].stalled = true;
    }

    fn outcome(mut self) -> Outcome {
        self.took.sort_unstable();
        let at = |share: f64| {
            let index = (self.took.len() as f64 * share) as usize;
            Duration::from_micros(self.took[index.min(self.took.len() - 1)])
        };
        let got: u64 = self.servers.iter().map(|server| server.got).sum();
        let most = self.servers.iter().map(|server| server.got).max();
        let limit = (self.case.work * 3).as_micros() as u64;
        let late = self.took.iter().filter(|took| **took > limit).count();
        Outcome {
            busiest: most.unwrap_or_default() as f64 * self.servers.len() as f64 / got as f64,
            p50: at(0.5),
            p99: at(0.99),
            late: late as f64 / self.took.len() as f64,
            first: self.servers[0].got as f64 * self.servers.len() as f64 / got as f64,
            local: self.local as f64 / got as f64,
        }
    }
}
