//! Daemons without shared state together keep the limit of a process, and use it.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use jasminepond_ratelimit::{Availability, Daemon, Message, ProcessId, RateLimit, RateLimiter};
use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

const SECOND: Duration = Duration::from_secs(1);

/// Time from a send to its response.
const RESPONSE_TIME: Duration = Duration::from_millis(20);

/// Longest time until a daemon learns that another one stopped or started.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a start, a freeze or a cut excuses a daemon.
const EXCUSED_TIME: Duration = Duration::from_secs(4);

/// Faults of a simulation.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Share of the datagrams that are lost.
    loss: f64,
    /// Mean number of daemons that are killed and start again, per second.
    kills_per_s: f64,
    /// Mean number of daemons that freeze for up to three seconds, per second.
    freezes_per_s: f64,
    /// Mean number of daemons whose datagrams are lost for up to three seconds, per second.
    cuts_per_s: f64,
}

#[derive(Debug)]
enum Event {
    Request(usize),
    Response(usize, u32, Timestamp, Option<RateLimit>),
    Datagram(usize, usize, Message),
    View(usize, usize, bool),
    Fault,
    Start(usize),
}

struct World {
    now: Timestamp,
    limiters: Vec<RateLimiter>,
    /// Which daemons each daemon considers running.
    views: Vec<Vec<bool>>,
    starts: Vec<u32>,
    down: Vec<bool>,
    frozen_until: Vec<Timestamp>,
    cut_until: Vec<Timestamp>,
    /// When a daemon was last started, frozen or cut off.
    disturbed: Vec<Timestamp>,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending: HashMap<u64, Event>,
    limit: Option<RateLimit>,
    /// Requests per second of all daemons together for which the process is preferred.
    demand: f64,
    faults: Faults,
    /// Time of each send, and whether its daemon was undisturbed.
    sends: Vec<(Timestamp, bool)>,
    rng: StdRng,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + daemon as u16))
}

fn process() -> ProcessId {
    ProcessId::new("i-1", Some(1), "10.0.0.1:80".parse().unwrap())
}

fn name(daemon: usize) -> Arc<str> {
    format!("d{daemon}").into()
}

impl World {
    fn new(daemons: usize, demand: f64, faults: Faults, seed: u64) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(1),
            limiters: (0..daemons).map(|d| RateLimiter::new(name(d))).collect(),
            views: vec![vec![true; daemons]; daemons],
            starts: vec![0; daemons],
            down: vec![false; daemons],
            frozen_until: vec![Timestamp::ZERO; daemons],
            cut_until: vec![Timestamp::ZERO; daemons],
            disturbed: vec![Timestamp::ZERO; daemons],
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            limit: None,
            demand,
            faults,
            sends: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for daemon in 0..daemons {
            world.apply_view(daemon);
            world.next_request(daemon);
        }
        world.next_fault();
        world
    }

    fn push(&mut self, after: Duration, event: Event) {
        let number = self.pending.len() as u64 + self.rng.random::<u64>() / 2;
        self.pending.insert(number, event);
        self.events.push(Reverse((self.now + after, number)));
    }

    fn exponential(&mut self, per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / per_s)
    }

    /// The demand of the daemons differs by a factor of up to four.
    fn next_request(&mut self, daemon: usize) {
        let weight = |daemon: usize| (1 + daemon % 4) as f64;
        let total: f64 = (0..self.limiters.len()).map(weight).sum();
        let after = self.exponential(self.demand * weight(daemon) / total);
        self.push(after, Event::Request(daemon));
    }

    fn next_fault(&mut self) {
        let Faults {
            kills_per_s,
            freezes_per_s,
            cuts_per_s,
            ..
        } = self.faults;
        let per_s = kills_per_s + freezes_per_s + cuts_per_s;
        if per_s > 0.0 {
            let after = self.exponential(per_s);
            self.push(after, Event::Fault);
        }
    }

    fn apply_view(&mut self, daemon: usize) {
        let others = (0..self.limiters.len()).filter(|other| *other != daemon);
        let daemons = others.map(|other| Daemon {
            instance: name(other),
            address: address(other),
            running: self.views[daemon][other],
        });
        let daemons = daemons.collect();
        self.limiters[daemon].set_daemons(self.now, daemons);
    }

    /// Lets the other daemons notice that one stopped or started, each at its own time.
    fn announce(&mut self, daemon: usize, running: bool) {
        for other in 0..self.limiters.len() {
            let after = DETECTION_TIME.mul_f64(self.rng.random());
            self.push(after, Event::View(other, daemon, running));
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            let event = self.pending.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let daemon = match &event {
            Event::Request(daemon)
            | Event::Response(daemon, ..)
            | Event::Datagram(_, daemon, _)
            | Event::View(daemon, ..) => Some(*daemon),
            Event::Fault | Event::Start(_) => None,
        };
        if let Some(daemon) = daemon
            && now < self.frozen_until[daemon]
        {
            let wait = self.frozen_until[daemon].since(now);
            return self.push(wait, event);
        }
        match event {
            Event::Request(daemon) => {
                self.next_request(daemon);
                if !self.down[daemon] {
                    self.request(daemon);
                }
            }
            Event::Response(daemon, starts, sent, limit) => {
                if self.starts[daemon] == starts && !self.down[daemon] {
                    self.limiters[daemon].observe(now, process(), sent, limit);
                }
            }
            Event::Datagram(from, to, message) => {
                if !self.down[to] && now >= self.cut_until[to] {
                    self.limiters[to].receive(now, address(from), message);
                }
            }
            Event::View(daemon, other, running) => {
                self.views[daemon][other] = running;
                self.apply_view(daemon);
            }
            Event::Fault => {
                self.next_fault();
                self.disturb();
            }
            Event::Start(daemon) => {
                self.down[daemon] = false;
                self.starts[daemon] += 1;
                self.disturbed[daemon] = now;
                self.limiters[daemon] = RateLimiter::new(name(daemon));
                self.views[daemon] = self.down.iter().map(|down| !down).collect();
                self.apply_view(daemon);
                self.announce(daemon, true);
            }
        }
        if let Some(daemon) = daemon {
            self.deliver(daemon);
        }
    }

    fn disturb(&mut self) {
        let daemon = self.rng.random_range(0..self.limiters.len());
        let Faults {
            kills_per_s,
            freezes_per_s,
            cuts_per_s,
            ..
        } = self.faults;
        let kind = self.rng.random::<f64>() * (kills_per_s + freezes_per_s + cuts_per_s);
        let time = (3 * SECOND).mul_f64(self.rng.random());
        if kind < kills_per_s {
            if !self.down[daemon] {
                self.down[daemon] = true;
                self.announce(daemon, false);
                self.push(time, Event::Start(daemon));
            }
        } else if kind < kills_per_s + freezes_per_s {
            self.frozen_until[daemon] = self.now + time;
            self.disturbed[daemon] = self.now + time;
        } else {
            self.cut_until[daemon] = self.now + time;
            self.disturbed[daemon] = self.now + time;
        }
    }

    /// Sends a request to the process if a permit is held; otherwise it goes to another
    /// server.
    fn request(&mut self, daemon: usize) {
        let (now, limiter) = (self.now, &mut self.limiters[daemon]);
        let availability = limiter.availability(now, process());
        limiter.record_demand(now, process());
        if matches!(
            availability,
            Availability::Unlimited | Availability::Permitted
        ) {
            assert!(limiter.take(now, process()));
            let undisturbed = now >= self.disturbed[daemon] + EXCUSED_TIME;
            self.sends.push((now, undisturbed));
            let starts = self.starts[daemon];
            let response = Event::Response(daemon, starts, now, self.limit);
            self.push(RESPONSE_TIME, response);
        }
    }

    fn deliver(&mut self, daemon: usize) {
        while let Some((to, message)) = self.limiters[daemon].next_message() {
            let to = usize::from(to.port() - 1_000);
            let lost = self.rng.random_bool(self.faults.loss);
            if !lost && self.now >= self.cut_until[daemon] {
                let after = MS + (4 * MS).mul_f64(self.rng.random());
                self.push(after, Event::Datagram(daemon, to, message));
            }
        }
    }

    fn sends_between(&self, from: Timestamp, end: Timestamp) -> usize {
        let sends = self.sends.iter();
        sends.filter(|(at, _)| (from..end).contains(at)).count()
    }

    /// Largest number of sends of undisturbed daemons within four seconds.
    fn busiest_window(&self, from: Timestamp) -> usize {
        let counted = |(at, undisturbed): &&(Timestamp, bool)| *at >= from && *undisturbed;
        let sends = self.sends.iter().filter(counted).map(|(at, _)| *at);
        let sends: Vec<_> = sends.collect();
        let window = |(first, at): (usize, &Timestamp)| {
            let inside = |other: &&Timestamp| other.since(*at) < 4 * SECOND;
            sends[first..].iter().take_while(inside).count()
        };
        sends.iter().enumerate().map(window).max().unwrap_or(0)
    }
}

/// Largest number of requests in four seconds that a limit allows.
fn allowed(per_second: f64) -> usize {
    (1.5 * 4.0 * per_second + 5.0) as usize
}

fn limited(daemons: usize, per_second: f64, demand: f64, faults: Faults, seed: u64) -> World {
    let mut world = World::new(daemons, demand, faults, seed);
    world.run_for(2 * SECOND);
    world.limit = RateLimit::new(per_second);
    // Each daemon learns of the limit from the responses to its own requests.
    world.run_for(4 * SECOND);
    world
}

/// Daemons with enough demand use most of a limit.
#[test_case(1, 10.0, 0.8; "one daemon")]
#[test_case(6, 22.8, 0.8; "small site")]
#[test_case(7, 1.0, 0.0; "one request per daemon in seven seconds")]
#[test_case(59, 12.4, 0.0; "many daemons")]
#[test_case(195, 8.0, 0.0; "more daemons than requests")]
#[test_case(8, 400.0, 0.9; "high rate")]
fn the_limit_is_kept_and_used(daemons: usize, per_second: f64, used: f64) {
    for seed in 1..=4 {
        let demand = 2.5 * per_second;
        let mut world = limited(daemons, per_second, demand, Faults::default(), seed);
        let from = world.now;
        world.run_for(30 * SECOND);
        let busiest = world.busiest_window(from);
        assert!(busiest <= allowed(per_second), "seed {seed}: {busiest}");
        let sends = world.sends_between(from, world.now) as f64;
        assert!(sends >= used * 30.0 * per_second, "seed {seed}: {sends}");
    }
}

const KILLS: Faults = Faults {
    loss: 0.02,
    kills_per_s: 0.3,
    freezes_per_s: 0.0,
    cuts_per_s: 0.0,
};

const FREEZES: Faults = Faults {
    kills_per_s: 0.0,
    freezes_per_s: 0.3,
    ..KILLS
};

const CUTS: Faults = Faults {
    kills_per_s: 0.0,
    cuts_per_s: 0.3,
    ..KILLS
};

const ALL: Faults = Faults {
    loss: 0.1,
    kills_per_s: 0.3,
    freezes_per_s: 0.3,
    cuts_per_s: 0.3,
};

/// Two coordinators at a time, permits of a daemon that wakes up, and lost messages add
/// less than what a limit allows beyond its rate.
#[test_case(KILLS; "kills")]
#[test_case(FREEZES; "freezes")]
#[test_case(CUTS; "cuts")]
#[test_case(ALL; "all")]
fn the_limit_is_kept_under_faults(faults: Faults) {
    for (daemons, per_second) in [(3, 5.0), (6, 22.8), (8, 1.0), (40, 30.0)] {
        for seed in 1..=10 {
            let demand = 2.5 * per_second;
            let mut world = limited(daemons, per_second, demand, faults, seed);
            let from = world.now;
            world.run_for(40 * SECOND);
            let busiest = world.busiest_window(from);
            assert!(
                busiest <= allowed(per_second),
                "{daemons} daemons, {per_second}/s, seed {seed}: {busiest}"
            );
        }
    }
}

/// A daemon that has not received a limit itself would send without a permit. No daemon has
/// to tell all others.
#[test_case(7; "small site")]
#[test_case(195; "large site")]
#[test_case(3_900; "target size")]
fn all_daemons_are_told_of_a_limit(daemons: usize) {
    let now = Timestamp::from_millis(1);
    let daemon = |other| Daemon {
        instance: name(other),
        address: ([10, 0, 0, 1], other as u16 + 1).into(),
        running: true,
    };
    let mut limiters: Vec<_> = (0..daemons).map(|d| RateLimiter::new(name(d))).collect();
    for (number, limiter) in limiters.iter_mut().enumerate() {
        let others = (0..daemons).filter(|other| *other != number);
        limiter.set_daemons(now, others.map(daemon).collect());
    }
    limiters[0].observe(now, process(), now, RateLimit::new(8.0));
    assert!(deliver_all(&mut limiters, now) <= 9);
    let told = limiters.iter().filter(|l| l.limit(process()).is_some());
    assert_eq!(told.count(), daemons);

    let later = now + 10 * SECOND;
    limiters[0].observe(later, process(), later, None);
    assert!(deliver_all(&mut limiters, later) <= 9);
    let told = limiters.iter().filter(|l| l.limit(process()).is_some());
    assert_eq!(told.count(), 0, "a lifted limit is forgotten");
}

/// Delivers messages until there are none. Returns the largest number that one daemon sent.
fn deliver_all(limiters: &mut [RateLimiter], now: Timestamp) -> usize {
    let mut sent = vec![0; limiters.len()];
    for _ in 0..20 {
        let before = sent.clone();
        for from in 0..limiters.len() {
            while let Some((to, message)) = limiters[from].next_message() {
                sent[from] += 1;
                limiters[usize::from(to.port()) - 1].receive(now, address(0), message);
            }
        }
        if before == sent {
            return sent.into_iter().max().unwrap_or(0);
        }
    }
    panic!("notices are passed on without end");
}
