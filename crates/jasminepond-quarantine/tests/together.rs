//! Several daemons that tell each other of suspected requests, on a virtual clock.

use std::{net::SocketAddr, time::Duration};

use jasminepond_quarantine::{
    Admission, Fingerprint, Message, Quarantine, RequestParts, Settings, State,
};
use jasminepond_types::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);

/// Longest delay of a message.
const LATENCY: Duration = Duration::from_millis(40);

/// Time after which all daemons in touch have to know.
const CONTACT: Duration = Duration::from_secs(4);

fn fingerprint(number: u64) -> Fingerprint {
    let body = &number.to_le_bytes();
    Fingerprint::new(&RequestParts {
        body,
        ..RequestParts::default()
    })
}

struct World {
    now: Timestamp,
    daemons: Vec<Quarantine>,
    /// Messages under way: arrival, sender, receiver.
    messages: Vec<(Timestamp, usize, usize, Message)>,
    loss: f64,
    sent: usize,
    bytes: usize,
    rng: StdRng,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 250) as u8, (daemon % 250) as u8], 7_000))
}

fn daemon_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is of no daemon");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}

impl World {
    fn new(daemons: usize, loss: f64, seed: u64) -> Self {
        let mut world = Self {
            now: Timestamp::from_millis(10_000),
            daemons: Vec::new(),
            messages: Vec::new(),
            loss,
            sent: 0,
            bytes: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for daemon in 0..daemons {
            world.daemons.push(new_daemon(daemon, daemons));
        }
        world
    }

    /// Runs for a time in steps of a millisecond.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            self.now = self.now + MS;
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let (due, later) = self.messages.drain(..).partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<_> = due;
        for (_, from, to, message) in due {
            self.daemons[to].receive(now, address(from), &message);
        }
        for from in 0..self.daemons.len() {
            if self.daemons[from].next_tick().is_none_or(|at| at > now) {
                continue;
            }
            for (to, message) in self.daemons[from].tick(now) {
                self.sent += 1;
                self.bytes += message.encode().len();
                let to = daemon_of(to);
                if !self.rng.random_bool(self.loss) {
                    let at = now + LATENCY.mul_f64(self.rng.random());
                    self.messages.push((at, from, to, message));
                }
            }
        }
    }

    /// Whether all daemons presume this of a request.
    fn all(&self, fingerprint: Fingerprint, state: State) -> bool {
        let states = self.daemons.iter();
        let mut states = states.map(|daemon| daemon.state(self.now, fingerprint));
        states.all(|known| known == state)
    }

    /// Holds a request at one daemon, after two servers and that of a trial have ended.
    fn hold(&mut self, daemon: usize, fingerprint: Fingerprint) {
        let quarantine = &mut self.daemons[daemon];
        for process in 0..2 {
            quarantine.server_ended(self.now, fingerprint, process, false);
        }
        assert_eq!(
            quarantine.admission(self.now, fingerprint),
            Admission::Trial
        );
        quarantine.begin_trial(self.now, fingerprint);
        quarantine.server_ended(self.now, fingerprint, 2, true);
    }
}

fn new_daemon(daemon: usize, daemons: usize) -> Quarantine {
    let mut quarantine = Quarantine::new(Settings::default(), daemon as u64);
    let others = (0..daemons).filter(|other| *other != daemon);
    quarantine.set_peers(others.map(address).collect());
    quarantine
}

/// Guards against daemons that go on sending a request that others hold.
#[test]
fn all_daemons_learn_of_a_held_request_in_time() {
    let sites = [(6, 0.3), (91, 0.0), (195, 0.2), (3_900, 0.0), (3_900, 0.2)];
    for (seed, (daemons, loss)) in (0..).zip(sites) {
        let mut world = World::new(daemons, loss, seed);
        world.hold(seed as usize, fingerprint(1));
        let began = world.now;
        while !world.all(fingerprint(1), State::Held) {
            world.run(10 * MS);
            let time = world.now.since(began);
            assert!(time <= CONTACT, "{daemons} daemons, seed {seed}");
        }
        let (time, each) = (world.now.since(began), world.sent as f64 / daemons as f64);
        eprintln!("{daemons} daemons, {loss} lost: {time:?}, {each:.1} messages each");
    }
}

/// Guards against two daemons that each count to two and send a third time.
#[test]
fn ends_that_several_daemons_observed_are_added_and_each_counts_once() {
    let mut world = World::new(6, 0.0, 0);
    let (two, same) = (fingerprint(1), fingerprint(2));
    for daemon in 0..2 {
        let now = world.now;
        world.daemons[daemon].server_ended(now, two, daemon as u64, false);
        world.daemons[daemon].server_ended(now, same, 7, false);
    }
    world.run(CONTACT);
    assert!(world.all(two, State::Suspected));
    assert!(world.all(same, State::Watched));
}

/// Guards against a record that comes back after its request was cleared, from a daemon that has
/// not heard of it or that starts anew.
#[test]
fn a_cleared_request_stays_clear() {
    for seed in 0..8 {
        let mut world = World::new(12, 0.2, seed);
        world.hold(0, fingerprint(1));
        world.run(2 * LATENCY);
        let now = world.now;
        world.daemons[5].answered(now, fingerprint(1));
        world.run(CONTACT);
        assert!(world.all(fingerprint(1), State::Clear), "seed {seed}");
        world.daemons[3] = new_daemon(3, 12);
        world.run(Duration::from_secs(120));
        assert!(world.all(fingerprint(1), State::Clear), "seed {seed}");
    }
}

/// Guards against a daemon that has just started and sends what all others hold.
#[test]
fn a_daemon_that_starts_learns_of_held_requests_in_time() {
    for seed in 0..8 {
        let mut world = World::new(91, 0.2, seed);
        for number in 0..16 {
            world.hold(number as usize, fingerprint(number));
        }
        world.run(Duration::from_secs(10));
        world.daemons[40] = new_daemon(40, 91);
        world.run(CONTACT);
        for number in 0..16 {
            let state = world.daemons[40].state(world.now, fingerprint(number));
            assert_eq!(state, State::Held, "seed {seed}, request {number}");
        }
    }
}

/// Guards against several daemons that try a suspected request at the same time.
#[test]
fn one_daemon_tries_a_suspected_request() {
    let mut world = World::new(6, 0.0, 0);
    let now = world.now;
    for process in 0..2 {
        world.daemons[0].server_ended(now, fingerprint(1), process, false);
    }
    world.run(2 * LATENCY);
    let now = world.now;
    assert_eq!(
        world.daemons[4].admission(now, fingerprint(1)),
        Admission::Trial
    );
    world.daemons[4].begin_trial(now, fingerprint(1));
    world.run(2 * LATENCY);
    for daemon in &world.daemons {
        let admission = daemon.admission(world.now, fingerprint(1));
        assert!(matches!(admission, Admission::Held { .. }), "{admission:?}");
    }
}

/// Guards against trials that come so often that a request which stays deadly ends servers all
/// the time.
#[test]
fn holds_grow_with_each_failed_trial() {
    let (mut quarantine, key) = (Quarantine::default(), fingerprint(1));
    let mut now = Timestamp::from_millis(1);
    for process in 0..2 {
        quarantine.server_ended(now, key, process, false);
    }
    let mut holds = Vec::new();
    for trial in 0..6 {
        assert_eq!(quarantine.admission(now, key), Admission::Trial);
        quarantine.begin_trial(now, key);
        quarantine.server_ended(now, key, 10 + trial, true);
        let Admission::Held { retry_in } = quarantine.admission(now, key) else {
            panic!("not held");
        };
        holds.push(retry_in.as_secs());
        now = now + retry_in;
    }
    assert_eq!(holds, [30, 120, 480, 1_920, 3_600, 3_600]);
}

/// Guards against memory that grows with every server that fails, and against losing what is
/// held to what is not.
#[test]
fn records_are_bounded_and_held_requests_are_kept() {
    let settings = Settings {
        max_records: 64,
        ..Settings::default()
    };
    let mut quarantine = Quarantine::new(settings, 0);
    let now = Timestamp::from_millis(1);
    quarantine.forbid(now, fingerprint(0));
    for number in 1..1_000 {
        quarantine.server_ended(now, fingerprint(number), 1, false);
    }
    assert!(quarantine.reports(now).len() <= 64);
    assert_eq!(quarantine.state(now, fingerprint(0)), State::Held);
    quarantine.set_peers(vec![address(1)]);
    let mut later = now;
    while let Some(at) = quarantine.next_tick() {
        later = at;
        quarantine.tick(at);
    }
    assert!(quarantine.is_empty());
    assert!(later.since(now) <= Duration::from_secs(3_601));
}

/// Guards against records of senders that are not daemons.
#[test]
fn messages_of_others_are_ignored() {
    let (mut quarantine, now) = (new_daemon(0, 3), Timestamp::from_millis(1));
    let mut other = new_daemon(1, 3);
    other.forbid(now, fingerprint(1));
    let (_, message) = other.tick(now).pop().unwrap();
    quarantine.receive(now, address(9), &message);
    assert_eq!(quarantine.state(now, fingerprint(1)), State::Clear);
    quarantine.receive(now, address(1), &message);
    assert_eq!(quarantine.state(now, fingerprint(1)), State::Held);
}

/// Bounds what daemons send while requests are held, of the 27 KB/s that each may use for
/// control.
#[test]
fn held_requests_cost_few_bytes() {
    let mut world = World::new(195, 0.0, 0);
    for number in 0..100 {
        world.hold(number as usize, fingerprint(number));
    }
    world.run(CONTACT);
    world.bytes = 0;
    world.run(Duration::from_secs(10));
    let per_daemon = world.bytes / 10 / world.daemons.len();
    assert!(per_daemon <= 4_000, "{per_daemon} bytes per second");
    assert!(world.sent > 0);
}
