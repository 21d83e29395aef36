//! Choice of a replica.

use std::time::Duration;

use jasminepond_dispatch::{Health, Hint};
use jasminepond_routing::{Ask, Choice, NoChoice, ReplicaSettings, Replicas, Reply};
use jasminepond_types::{ServerId, Timestamp, Version};
use test_case::test_case;

const NOW: Timestamp = Timestamp::from_millis(100_000);
const VERSION: Version = Version(7);

fn servers() -> Vec<ServerId> {
    ["a", "b"].map(|name| name.parse().unwrap()).to_vec()
}

fn hint(queued: u32, health: Health) -> Hint {
    Hint {
        queued,
        top_priority: 1,
        top_queued: queued,
        running: 2,
        slots: 2,
        service_us: 10_000,
        health,
    }
}

/// Both replicas warm, with equal latencies and hints.
fn warm(settings: ReplicaSettings) -> Replicas {
    let mut replicas = Replicas::new(settings, 1);
    for _ in 0..30 {
        for server in servers() {
            replicas.sent(NOW, &server);
            replicas.ended(NOW, &server, Duration::from_millis(10), Reply::Done);
            replicas.hinted(NOW, &server, hint(0, Health::Ready));
        }
    }
    replicas
}

/// How often each replica is chosen out of 1,000.
fn counts(replicas: &mut Replicas, now: Timestamp, can_hedge: bool) -> [u32; 2] {
    let servers = servers();
    let mut counts = [0, 0];
    for _ in 0..1_000 {
        let ask = Ask {
            servers: &servers,
            version: VERSION,
            priority: 1,
            exclude: &[],
            can_hedge,
        };
        match replicas.choose(now, ask) {
            Choice::Use { server } if server == servers[0] => counts[0] += 1,
            Choice::Use { .. } => counts[1] += 1,
            Choice::None { reason } => panic!("{reason:?}"),
        }
    }
    counts
}

type Event = fn(&mut Replicas, &ServerId);

/// Guards against load on a replica that is known to be worse, by any signal.
#[test_case(|r, s| r.hinted(NOW, s, hint(5, Health::Ready)) ; "long queue")]
#[test_case(|r, s| r.hinted(NOW, s, hint(0, Health::Failing)) ; "owner reports failures")]
#[test_case(|r, s| r.hinted(NOW, s, hint(0, Health::Down)) ; "owner reports it down")]
#[test_case(|r, s| r.hinted(NOW, s, hint(0, Health::Draining)) ; "owner reports drain")]
#[test_case(|r, s| r.leaving(NOW, s) ; "reported as leaving")]
#[test_case(|r, s| r.lacks_version(NOW, s, VERSION) ; "version not held")]
#[test_case(|r, s| for _ in 0..9 { r.sent(NOW, s) } ; "many outstanding")]
#[test_case(|r, s| { r.sent(NOW, s); r.ended(NOW, s, Duration::from_micros(50), Reply::Failed) } ; "failed fast")]
#[test_case(|r, s| { r.sent(NOW, s); r.ended(NOW, s, Duration::from_millis(250), Reply::Lost) } ; "lost")]
#[test_case(|r, s| { r.returned(NOW, s); r.sent(NOW, s) } ; "ramping up")]
fn a_worse_replica_is_avoided(event: Event) {
    let mut replicas = warm(ReplicaSettings::default());
    let [a, b] = counts(&mut replicas, NOW, false);
    assert!((400..600).contains(&a), "{a} to {b}");
    event(&mut replicas, &servers()[0]);
    assert_eq!(counts(&mut replicas, NOW, false), [0, 1_000]);
}

/// Guards against a query that cannot be answered being sent anyway, and
/// against a wrong reason in its coverage.
#[test_case(|_, _| {}, true, NoChoice::Tried)]
#[test_case(|r, s| r.leaving(NOW, s), false, NoChoice::Draining)]
#[test_case(|r, s| r.hinted(NOW, s, hint(0, Health::Down)), false, NoChoice::Down)]
#[test_case(|r, s| r.lacks_version(NOW, s, VERSION), false, NoChoice::VersionUnavailable)]
fn no_choice_has_a_reason(event: Event, tried: bool, expected: NoChoice) {
    let mut replicas = warm(ReplicaSettings::default());
    let servers = servers();
    servers
        .iter()
        .for_each(|server| event(&mut replicas, server));
    let ask = Ask {
        servers: &servers,
        version: VERSION,
        priority: 1,
        exclude: if tried { &servers } else { &[] },
        can_hedge: true,
    };
    let reason = expected;
    assert_eq!(replicas.choose(NOW, ask), Choice::None { reason });
    let ask = Ask {
        servers: &[],
        ..ask
    };
    let reason = NoChoice::NoReplica;
    assert_eq!(replicas.choose(NOW, ask), Choice::None { reason });
}

/// Guards against a recovered server never being found again, and against
/// exploring when no hedged request could cover a slow response.
#[test_case(1, true, true ; "hedging can cover")]
#[test_case(1, false, false ; "hedging cannot cover")]
#[test_case(8, true, false ; "backs off after many failures")]
fn a_stale_replica_is_explored(failures: u32, can_hedge: bool, explored: bool) {
    let mut replicas = warm(ReplicaSettings::default());
    let [a, b] = servers().try_into().unwrap();
    for _ in 0..failures {
        replicas.sent(NOW, &a);
        replicas.ended(NOW, &a, Duration::from_millis(1), Reply::Failed);
    }
    let later = NOW + Duration::from_secs(2);
    replicas.sent(later, &b);
    let [a, _] = counts(&mut replicas, later, can_hedge);
    assert_eq!((1..50).contains(&a), explored, "{a} in 1,000");
    assert!(a < 50);
}

/// Guards against a server that keeps failing being used as soon as one that
/// failed once.
#[test_case(1, true ; "after one failure")]
#[test_case(8, false ; "after eight failures")]
fn penalties_grow_with_failures_and_decay(failures: u32, used: bool) {
    let mut replicas = warm(ReplicaSettings {
        cold_after: u8::MAX,
        ..Default::default()
    });
    let a = &servers()[0];
    for _ in 0..failures {
        replicas.sent(NOW, a);
        replicas.ended(NOW, a, Duration::from_millis(1), Reply::Failed);
    }
    let later = NOW + Duration::from_secs(8);
    assert_eq!(counts(&mut replicas, later, false)[0] > 0, used);
}

/// Guards against all requests between two hints going to the same server.
#[test]
fn requests_sent_after_a_hint_count() {
    let mut replicas = warm(ReplicaSettings::default());
    let a = &servers()[0];
    replicas.hinted(NOW, a, hint(4, Health::Ready));
    let before = replicas.estimate(NOW, a, 1).wait;
    replicas.sent(NOW, a);
    assert!(replicas.estimate(NOW, a, 1).wait > before);
}

/// Guards against a hint from before the drain report bringing back a leaving
/// server, and against the report keeping out a server that has returned.
#[test_case(Duration::from_secs(1), false ; "hint may be older than the report")]
#[test_case(Duration::from_secs(3), true ; "hint is newer")]
fn a_hint_ends_a_drain_only_after_it_settled(after: Duration, returned: bool) {
    let mut replicas = warm(ReplicaSettings::default());
    replicas.leaving(NOW, &servers()[0]);
    replicas.leaving(NOW, &servers()[1]);
    let now = NOW + after;
    replicas.hinted(now, &servers()[0], hint(0, Health::Ready));
    let servers = servers();
    let ask = Ask {
        servers: &servers,
        version: VERSION,
        priority: 1,
        exclude: &[],
        can_hedge: false,
    };
    let chosen = matches!(replicas.choose(now, ask), Choice::Use { .. });
    assert_eq!(chosen, returned);
}

/// Guards against the highest class seeing the queue of lower classes as its
/// own wait.
#[test]
fn a_higher_class_waits_only_for_a_slot() {
    let mut replicas = warm(ReplicaSettings::default());
    let server = &servers()[0];
    replicas.hinted(NOW, server, hint(8, Health::Ready));
    assert!(replicas.estimate(NOW, server, 1).is_overloaded());
    assert!(!replicas.estimate(NOW, server, 2).is_overloaded());
}
