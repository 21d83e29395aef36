//! Guards against daemons whose state differs from that of the store, whatever order the
//! changes of the store, the reads of its readers and the moves of their followers have.

mod common;

use std::time::Duration;

use common::fleet::{Daemon, Done, Fleet, ReadFrom, ZONES};
use jasminepond_discovery::{Accept, Publication};
use jasminepond_forward::BackendState;
use proptest::prelude::*;

const DAEMONS: usize = 5;
const SERVERS: usize = 6;

/// Something that happens to the store or to a daemon.
#[derive(Debug, Clone)]
enum Action {
    Write {
        server: usize,
        draining: bool,
        restarted: bool,
    },
    Remove(usize),
    Publish,
    Evacuate {
        zone: usize,
        evacuated: bool,
    },
    Compact(bool),
    BackUp,
    Restore,
    Step(usize),
    /// A daemon makes calls until it waits for changes.
    CatchUp(usize),
    Follow(usize, ReadFrom),
    Restart(usize),
    PassTime(Duration),
}

fn source() -> impl Strategy<Value = ReadFrom> {
    prop_oneof![
        Just(ReadFrom::Store),
        (0..DAEMONS).prop_map(ReadFrom::Daemon),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..SERVERS, any::<bool>(), any::<bool>()).prop_map(|(server, draining, restarted)| {
            Action::Write { server, draining, restarted }
        }),
        3 => (0..SERVERS).prop_map(Action::Remove),
        1 => Just(Action::Publish),
        2 => (0..ZONES.len(), any::<bool>()).prop_map(|(zone, evacuated)| {
            Action::Evacuate { zone, evacuated }
        }),
        2 => any::<bool>().prop_map(Action::Compact),
        1 => Just(Action::BackUp),
        1 => Just(Action::Restore),
        8 => (0..DAEMONS).prop_map(Action::Step),
        6 => (0..DAEMONS).prop_map(Action::CatchUp),
        3 => (0..DAEMONS, source()).prop_map(|(daemon, source)| Action::Follow(daemon, source)),
        1 => (0..DAEMONS).prop_map(Action::Restart),
        1 => (0..7_000_u64).prop_map(|ms| Action::PassTime(Duration::from_millis(ms))),
    ]
}

fn perform(fleet: &mut Fleet, action: &Action) {
    match *action {
        Action::Write {
            server,
            draining,
            restarted,
        } => {
            let state = match draining {
                true => BackendState::Draining,
                false => BackendState::Ready,
            };
            fleet.store.write(server, state, restarted);
        }
        Action::Remove(server) => fleet.store.remove(server),
        Action::Publish => fleet.store.publish(),
        Action::Evacuate { zone, evacuated } => fleet.store.set_evacuated(ZONES[zone], evacuated),
        Action::Compact(counts) => fleet.store.compact(counts),
        Action::BackUp => fleet.store.back_up(),
        Action::Restore => fleet.store.restore(fleet.now),
        Action::Step(daemon) => {
            fleet.step(daemon);
        }
        Action::CatchUp(daemon) => catch_up(fleet, daemon),
        Action::Follow(daemon, source) => {
            if source != ReadFrom::Daemon(daemon) {
                fleet.daemons[daemon].source = source;
            }
        }
        Action::Restart(daemon) => {
            let source = fleet.daemons[daemon].source;
            fleet.daemons[daemon] = Daemon {
                source,
                ..Daemon::default()
            };
        }
        Action::PassTime(time) => fleet.pass_time(time),
    }
}

/// Lets a daemon make calls until it waits for changes, at most as many as a whole listing
/// and a watch need twice.
fn catch_up(fleet: &mut Fleet, daemon: usize) {
    for _ in 0..20 {
        if matches!(fleet.step(daemon), Done::Followed | Done::Paused) {
            return;
        }
    }
}

/// Compares what a daemon publishes with the store at that position.
fn check_published(fleet: &Fleet, index: usize) {
    let daemon = &fleet.daemons[index];
    let is_settled = |publication: &Publication| publication.settles_at.is_none();
    if !daemon.published.as_ref().is_some_and(is_settled) {
        return;
    }
    let snapshot = daemon.relay.snapshot(fleet.now, Accept::AnyAge).unwrap();
    let store = &fleet.store.states[&snapshot.position];
    let published: Vec<_> = snapshot.backends.iter().collect();
    let stored: Vec<_> = store.backends.values().collect();
    assert_eq!(
        published, stored,
        "published by daemon {index} at {}",
        snapshot.position
    );
    assert_eq!(
        snapshot.evacuated.as_ref(),
        Some(&store.evacuated),
        "zones published by daemon {index} at {}",
        snapshot.position
    );
    let release = snapshot.release.map_or(0, |release| release.version.0);
    assert!(
        release >= store.release,
        "daemon {index} publishes release {release} at {}, not {}",
        snapshot.position,
        store.release
    );
}

/// Runs all daemons without further changes, two of them as readers, and compares each with
/// the store.
fn check_convergence(fleet: &mut Fleet) {
    let sources = [
        ReadFrom::Store,
        ReadFrom::Store,
        ReadFrom::Daemon(0),
        ReadFrom::Daemon(1),
        ReadFrom::Daemon(2),
    ];
    for (daemon, source) in fleet.daemons.iter_mut().zip(sources) {
        daemon.source = source;
    }
    // Long enough for a restored store to settle at readers and then at their followers.
    const ROUNDS: usize = 150;
    const LAST_ROUNDS: usize = 20;
    for round in 0..ROUNDS {
        for index in 0..DAEMONS {
            let done = fleet.step(index);
            if done == Done::Failed {
                // A daemon whose source fails asks the store.
                let source = std::mem::replace(&mut fleet.daemons[index].source, ReadFrom::Store);
                fleet.step(index);
                fleet.daemons[index].source = source;
            }
            check_published(fleet, index);
            if round >= ROUNDS - LAST_ROUNDS {
                assert!(
                    matches!(done, Done::Followed | Done::Paused),
                    "daemon {index} does not come to rest: {done:?}"
                );
            }
        }
        fleet.pass_time(Duration::from_millis(200));
    }
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        assert!(daemon.reader.is_complete(), "daemon {index} is incomplete");
        assert_eq!(daemon.view, fleet.store.state, "daemon {index}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        ..ProptestConfig::default()
    })]

    /// Guards against removals, drainings, releases and evacuations that are lost on the way to followers,
    /// and against daemons that read the state without end.
    #[test]
    fn followers_converge_to_the_store(actions in prop::collection::vec(action(), 1..80)) {
        let mut fleet = Fleet::new(DAEMONS);
        for action in &actions {
            perform(&mut fleet, action);
            for index in 0..DAEMONS {
                check_published(&fleet, index);
            }
        }
        check_convergence(&mut fleet);
    }
}
