//! Fleets in virtual time, of which parts are cut off. Guards against daemons that use an old
//! state although the store answers them, and against fleets that call the store too often.

use std::{net::SocketAddr, time::Duration};

use jasminepond_discovery::{Fleet, Plan, Source, SourceFailure, Sources};
use jasminepond_types::Timestamp;
use test_case::test_case;

const TICK: Duration = Duration::from_millis(10);

/// Time until the store answers a call that need not wait.
const STORE_TIME: Duration = Duration::from_millis(10);

/// Time within which few daemons may call the store.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Timeout of a call to the store, in addition to its wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which all daemons know that another one is silent. With 195 daemons this takes
/// about as long, and with 3,900 longer.
const SUSPICION_TIME: Duration = Duration::from_secs(8);

/// Age above which a daemon may break the bound on a release.
const MAX_AGE: Duration = Duration::from_secs(3);

const CALM: Duration = Duration::from_secs(10);
const CUT: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy)]
struct Call {
    source: Source,
    started: Timestamp,
    wait: Duration,
    timeout: Duration,
    /// Confirmation that the other daemon had when it was asked.
    known: Timestamp,
}

struct Daemon {
    sources: Sources,
    confirmed_at: Timestamp,
    call: Option<Call>,
    paused_until: Timestamp,
    /// Whether other daemons and this one reach each other.
    linked: bool,
    reaches_store: bool,
}

struct Simulation {
    now: Timestamp,
    addresses: Vec<SocketAddr>,
    usable: Vec<bool>,
    daemons: Vec<Daemon>,
    store_available: bool,
    store_calls: usize,
    /// Most calls to the store within [`BURST_TIME`] of the last run.
    burst: usize,
    /// Largest age at a daemon that the store answers.
    oldest: Duration,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 1));
        let daemon = |rank| Daemon {
            sources: Sources::default(),
            confirmed_at: Timestamp::ZERO,
            call: None,
            paused_until: Timestamp::from_millis(37 * rank as u64 % 1_400),
            linked: true,
            reaches_store: true,
        };
        Self {
            now: Timestamp::ZERO,
            addresses: (0..count).map(address).collect(),
            usable: vec![true; count],
            daemons: (0..count).map(daemon).collect(),
            store_available: true,
            store_calls: 0,
            burst: 0,
            oldest: Duration::ZERO,
        }
    }

    /// Returns the ranks of the daemons that read the store while all is well.
    fn readers(&self) -> Vec<usize> {
        let reads = |rank: &usize| {
            let plan =
                Sources::default().plan(Timestamp::ZERO, Timestamp::ZERO, &self.fleet(*rank));
            matches!(plan, Plan::CallStore { .. })
        };
        (0..self.daemons.len()).filter(reads).collect()
    }

    fn fleet(&self, rank: usize) -> Fleet<'_> {
        Fleet {
            addresses: &self.addresses,
            usable: &self.usable,
            rank,
        }
    }

    fn answers(&self, rank: usize) -> bool {
        self.store_available && self.daemons[rank].reaches_store
    }

    /// Runs the fleet and returns the number of calls to the store.
    fn run(&mut self, time: Duration) -> usize {
        let before = self.store_calls;
        let end = self.now + time;
        let (mut burst_ends, mut burst_began) = (self.now + BURST_TIME, before);
        self.burst = 0;
        while self.now < end {
            self.now = self.now + TICK;
            if self.now >= burst_ends {
                self.burst = self.burst.max(self.store_calls - burst_began);
                (burst_ends, burst_began) = (self.now + BURST_TIME, self.store_calls);
            }
            for rank in 0..self.daemons.len() {
                self.step(rank);
                if self.answers(rank) {
                    let age = self.now.since(self.daemons[rank].confirmed_at);
                    self.oldest = self.oldest.max(age);
                }
            }
        }
        self.store_calls - before
    }

    fn step(&mut self, rank: usize) {
        match self.daemons[rank].call {
            Some(call) => self.finish(rank, call),
            None => self.start(rank),
        }
    }

    fn start(&mut self, rank: usize) {
        let daemon = &self.daemons[rank];
        if self.now < daemon.paused_until {
            return;
        }
        let plan = daemon
            .sources
            .plan(self.now, daemon.confirmed_at, &self.fleet(rank));
        let (source, wait, timeout) = match plan {
            Plan::Pause(until) => {
                self.daemons[rank].paused_until = until;
                return;
            }
            Plan::CallStore { wait } => {
                self.store_calls += 1;
                (Source::Store, wait, wait + STORE_TIMEOUT)
            }
            Plan::AskDaemon {
                address,
                wait,
                timeout,
            } => (Source::Daemon(address), wait, timeout),
        };
        let known = match source {
            Source::Store => Timestamp::ZERO,
            Source::Daemon(address) => self.daemons[self.rank_of(address)].confirmed_at,
        };
        self.daemons[rank].call = Some(Call {
            source,
            started: self.now,
            wait,
            timeout,
            known,
        });
    }

    fn rank_of(&self, address: SocketAddr) -> usize {
        let mut addresses = self.addresses.iter();
        addresses.position(|other| *other == address).unwrap()
    }

    fn finish(&mut self, rank: usize, call: Call) {
        let elapsed = self.now.since(call.started);
        let confirmed_at = match call.source {
            Source::Store if self.answers(rank) => {
                (elapsed >= call.wait + STORE_TIME).then_some(self.now)
            }
            Source::Store => None,
            Source::Daemon(address) => {
                let other = &self.daemons[self.rank_of(address)];
                let linked = other.linked && self.daemons[rank].linked;
                let news = other.confirmed_at > call.known || elapsed >= call.wait;
                (linked && news).then_some(other.confirmed_at)
            }
        };
        let failure = match confirmed_at {
            None if elapsed < call.timeout => return,
            None => Some(SourceFailure::Unreachable),
            Some(at) if self.daemons[rank].sources.is_stale(self.now, at) => {
                Some(SourceFailure::Stale)
            }
            Some(_) => None,
        };
        let fleet = Fleet {
            addresses: &self.addresses,
            usable: &self.usable,
            rank,
        };
        let daemon = &mut self.daemons[rank];
        daemon.call = None;
        if let Some(at) = confirmed_at {
            daemon.confirmed_at = daemon.confirmed_at.max(at);
        }
        match failure {
            None => daemon.sources.on_confirmed(call.source),
            Some(reason) => {
                daemon
                    .sources
                    .on_failure(self.now, call.source, reason, &fleet);
            }
        }
    }

    /// Cuts daemons off from the others, and from the store if `from_store` is set, and runs
    /// the fleet until the others know. Returns the number of calls to the store.
    fn cut(&mut self, ranks: &[usize], from_store: bool) -> usize {
        for rank in ranks {
            self.daemons[*rank].linked = false;
            self.daemons[*rank].reaches_store = !from_store;
        }
        let calls = self.run(SUSPICION_TIME);
        let burst = self.burst;
        for rank in ranks {
            self.usable[*rank] = false;
        }
        let calls = calls + self.run(CUT - SUSPICION_TIME);
        self.burst = self.burst.max(burst);
        calls
    }

    /// Ends all cuts and runs the fleet. Returns the number of calls to the store.
    fn heal(&mut self) -> usize {
        let confirmed_at = self.now;
        for daemon in &mut self.daemons {
            if !daemon.reaches_store {
                // The bound begins when the daemon reaches the store again.
                daemon.confirmed_at = daemon.confirmed_at.max(confirmed_at);
            }
            (daemon.linked, daemon.reaches_store) = (true, true);
        }
        self.store_available = true;
        self.usable.fill(true);
        self.run(CALM)
    }
}

/// Calls to the store in `time` if all daemons in `readers` read it without pause.
fn calls_of(readers: usize, time: Duration) -> usize {
    const CALLS_PER_SECOND: f64 = 0.75;
    (readers as f64 * time.as_secs_f64() * CALLS_PER_SECOND) as usize
}

#[test_case(17)]
#[test_case(59)]
#[test_case(195)]
fn calm_fleet_is_current_with_few_calls(daemons: usize) {
    let mut fleet = Simulation::new(daemons);
    fleet.run(CALM);
    let calls = fleet.run(CALM);
    assert!(calls <= calls_of(3, CALM), "{calls} calls");
    assert!(fleet.oldest < Duration::from_secs(2), "{:?}", fleet.oldest);
}

/// A third of the daemons is cut off from the others. Those that reach the store must read it
/// themselves, and must not when they are linked again.
#[test_case(17, false)]
#[test_case(59, false)]
#[test_case(195, false)]
#[test_case(17, true; "17 from the store too")]
#[test_case(59, true; "59 from the store too")]
#[test_case(195, true; "195 from the store too")]
fn a_third_is_cut_off(daemons: usize, from_store: bool) {
    let mut fleet = Simulation::new(daemons);
    fleet.run(CALM);
    let cut: Vec<_> = (0..daemons).filter(|rank| rank % 3 == 1).collect();
    let calls = fleet.cut(&cut, from_store);
    let reading = if from_store { 0 } else { cut.len() };
    // Those that the store does not answer try it every two seconds.
    let trying = cut.len() - reading;
    let limit = calls_of(reading + 3, CUT) + trying * 12;
    assert!(calls <= limit, "{calls} calls, {limit} allowed");
    let healed = fleet.heal();
    let limit = calls_of(3, CALM) + 7 * cut.len();
    assert!(healed <= limit, "{healed} calls after, {limit} allowed");
    let later = fleet.run(CALM);
    assert!(later <= calls_of(3, CALM), "{later} calls at last");
    assert!(fleet.oldest <= MAX_AGE, "{:?}", fleet.oldest);
}

/// All daemons that read the store are silent at the same moment. Their successors must turn to
/// the store in time, and the others must turn to those.
#[test_case(17)]
#[test_case(59)]
#[test_case(195)]
fn all_readers_are_silent(daemons: usize) {
    let mut fleet = Simulation::new(daemons);
    fleet.run(CALM);
    let calls = fleet.cut(&fleet.readers(), true);
    let limit = calls_of(7, CUT);
    assert!(calls <= limit, "{calls} calls, {limit} allowed");
    assert!(fleet.burst <= 6, "{} calls at once", fleet.burst);
    fleet.heal();
    assert!(fleet.oldest <= MAX_AGE, "{:?}", fleet.oldest);
}

/// The store is unavailable. Followers must not load it, and must be current soon after it is
/// back.
#[test_case(17)]
#[test_case(59)]
#[test_case(195)]
fn the_store_is_unavailable(daemons: usize) {
    const CURRENT_AFTER: Duration = Duration::from_secs(1);
    let mut fleet = Simulation::new(daemons);
    fleet.run(CALM);
    fleet.store_available = false;
    let calls = fleet.run(CUT);
    let limit = calls_of(3, CUT) * 3 + 7 * daemons;
    assert!(calls <= limit, "{calls} calls, {limit} allowed");
    assert!(
        fleet.burst <= daemons.div_ceil(2),
        "{} calls at once",
        fleet.burst
    );
    let back = fleet.now;
    fleet.store_available = true;
    fleet.oldest = Duration::ZERO;
    fleet.run(CURRENT_AFTER);
    let late = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.confirmed_at < back);
    assert_eq!(late.count(), 0);
}
