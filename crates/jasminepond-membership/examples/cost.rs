//! Measures the cost of the membership protocol on its state machines.
//!
//! Runs many daemons in one process and virtual time, with 0.12 departures and
//! arrivals per second and a new configuration revision at every daemon each
//! 8.3 s. Prints for each tier size:
//!
//! * bytes and datagrams sent per daemon and second, without IP and UDP headers,
//! * the time until all daemons know of a departure, and of a crash,
//! * the time to join,
//! * the share of members in a view whose revision is current 8.3 s after the
//!   change,
//! * the CPU time per daemon and second, including that of the simulation,
//! * the memory per member.
//!
//! ```text
//! cargo run --release -p jasminepond-membership --example cost -- 7 25 3900:40
//! ```
//!
//! A size may be followed by the virtual seconds to measure, 120 by default.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    fs,
    time::{Duration, Instant},
};

use common::Network;
use jasminepond_membership::{LocalMember, MemberState, Membership, Settings, View};
use jasminepond_types::Revision;
use rand::Rng;

/// Virtual seconds to measure by default, in which about 14 events happen.
const SECONDS: u64 = 120;

/// Interval between departures and arrivals: 10,000 events a day.
const EVENT_PERIOD: Duration = Duration::from_millis(8_333);

/// Total number of member records per size when measuring memory.
const MEASURED_MEMBERS: usize = 200_000;

const PAGE_BYTES: usize = 4_096;

fn main() {
    let sizes: Vec<(usize, u64)> = std::env::args().skip(1).filter_map(|a| size(&a)).collect();
    println!(
        "daemons  B/s sent  datagrams/s  leave to all  crash to all  join  current  us CPU/s  B/member"
    );
    // Measured before the simulations, so that no freed memory is reused.
    let memory: Vec<_> = sizes.iter().map(|&(n, _)| memberships(n)).collect();
    for ((n, seconds), (_, bytes)) in sizes.into_iter().zip(memory) {
        measure(n, Duration::from_secs(seconds), bytes);
    }
}

/// Parses `n` or `n:seconds`.
fn size(text: &str) -> Option<(usize, u64)> {
    let (n, seconds) = text.split_once(':').unwrap_or((text, ""));
    Some((n.parse().ok()?, seconds.parse().unwrap_or(SECONDS)))
}

fn measure(n: usize, time: Duration, member_bytes: usize) {
    let mut net = Network::new(Settings::default(), 1);
    net.start_joined(n);
    net.run(Duration::from_secs(30));
    (net.messages, net.bytes) = (0, 0);
    let wall = Instant::now();
    let (mut leave, mut join) = (Vec::new(), Vec::new());
    let mut left = None;
    let mut current = Vec::new();
    for revision in 1..=time.as_millis() / EVENT_PERIOD.as_millis() {
        let revision = Revision(revision as u64);
        for node in &mut net.nodes {
            node.membership.set_config(revision, &[0; 32]);
        }
        let end = net.now + EVENT_PERIOD;
        match left.take() {
            None => {
                let i = net.rng.random_range(0..n);
                net.leave(i);
                let known = |net: &Network| net.all_see(i, MemberState::Leaving);
                leave.extend(net.run_until(EVENT_PERIOD, known));
                net.kill(i);
                left = Some(i);
            }
            Some(i) => {
                net.restart(i);
                let joined = |net: &Network| net.nodes[i].membership.is_joined();
                join.extend(net.run_until(EVENT_PERIOD, joined));
            }
        }
        net.run(end.since(net.now));
        current.push(share_current(&net, revision));
    }
    let cpu = wall.elapsed().as_secs_f64();
    let per_daemon = |x: u64| x as f64 / n as f64 / time.as_secs_f64();
    let (bytes, messages) = (per_daemon(net.bytes), per_daemon(net.messages));
    let crash = crash(&mut net);
    let worst = |times: &[Duration]| times.iter().max().copied().unwrap_or_default();
    println!(
        "{n:>7}  {bytes:>8.0}  {messages:>11.1}  {:>12.2?}  {crash:>12.2?}  {:>4.2?}  {:>6.0}%  {:>8.0}  {:>8}",
        worst(&leave),
        worst(&join),
        100.0 * current.iter().sum::<f64>() / current.len() as f64,
        per_daemon((cpu * 1e6) as u64),
        member_bytes,
    );
}

/// Fraction of the reachable members that have the given revision, in the views of
/// up to 50 daemons.
fn share_current(net: &Network, revision: Revision) -> f64 {
    let views = net
        .running()
        .take(50)
        .map(|i| net.nodes[i].membership.view());
    let members = views.flat_map(|v| v.members()).filter(|m| m.is_reachable());
    let (mut all, mut current) = (0, 0);
    for member in members {
        all += 1;
        current += usize::from(member.config.revision() == revision);
    }
    current as f64 / all as f64
}

/// Time from a crash until all running daemons have declared the member dead.
fn crash(net: &mut Network) -> Duration {
    let i = net.running().next().expect("daemons run");
    net.kill(i);
    let known = |net: &Network| net.all_see(i, MemberState::Dead);
    net.run_until(Duration::from_secs(120), known)
        .unwrap_or_default()
}

/// Creates daemons that share no memory, and measures their resident memory per
/// member.
fn memberships(n: usize) -> (Vec<Membership>, usize) {
    let copies = MEASURED_MEMBERS / n;
    let before = resident();
    let memberships = (0..copies).map(|i| loaded_membership(i, n)).collect();
    (
        memberships,
        resident().saturating_sub(before) / (copies * n),
    )
}

fn loaded_membership(i: usize, n: usize) -> Membership {
    let mut membership = Membership::new(
        Settings::default(),
        common::local_member(i % n, 1),
        i as u64,
    );
    // One copy of each zone and region, as in a view built from messages.
    let named: Vec<_> = (0..17).map(|j| common::local_member(j, 1)).collect();
    let member = |j: usize| {
        let LocalMember { zone, region, .. } = named[j % named.len()].clone();
        let me = LocalMember {
            zone,
            region,
            ..common::local_member(j, 1)
        };
        Membership::new(Settings::default(), me, 0).me().clone()
    };
    membership.load_view(&View::from_members((0..n).map(member)));
    membership
}

fn resident() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
