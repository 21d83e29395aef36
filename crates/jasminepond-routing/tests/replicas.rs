//! Tests of the choice of a replica.

use std::time::Duration;

use jasminepond_dispatch::{Health, Hint};
use jasminepond_routing::{
    AttemptOutcome, Choice, ReplicaRequest, ReplicaSettings, Replicas, UnavailableReason,
};
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

/// Returns two warm replicas with equal latencies and hints.
fn warm_replicas(settings: ReplicaSettings) -> Replicas {
    let mut replicas = Replicas::new(settings, 1);
    for _ in 0..30 {
        for server in servers() {
            replicas.record_sent(NOW, &server);
            replicas.record_outcome(
                NOW,
                &server,
                Duration::from_millis(10),
                AttemptOutcome::Done,
            );
            replicas.record_hint(NOW, &server, hint(0, Health::Ready));
        }
    }
    replicas
}

/// Returns how often each replica is chosen in 1,000 choices.
fn choice_counts(replicas: &mut Replicas, now: Timestamp, can_hedge: bool) -> [u32; 2] {
    let servers = servers();
    let mut counts = [0, 0];
    for _ in 0..1_000 {
        let req = ReplicaRequest {
            servers: &servers,
            version: VERSION,
            priority: 1,
            exclude: &[],
            can_hedge,
        };
        match replicas.choose(now, req) {
            Choice::Use { server } if server == servers[0] => counts[0] += 1,
            Choice::Use { .. } => counts[1] += 1,
            Choice::None { reason } => panic!("{reason:?}"),
        }
    }
    counts
}

type Event = fn(&mut Replicas, &ServerId);

/// Guards against load on a replica that any signal shows to be worse.
#[test_case(|r, s| r.record_hint(NOW, s, hint(5, Health::Ready)) ; "long queue")]
#[test_case(|r, s| r.record_hint(NOW, s, hint(0, Health::Failing)) ; "owner reports failures")]
#[test_case(|r, s| r.record_hint(NOW, s, hint(0, Health::Down)) ; "owner reports it down")]
#[test_case(|r, s| r.record_hint(NOW, s, hint(0, Health::Draining)) ; "owner reports drain")]
#[test_case(|r, s| r.mark_draining(NOW, s) ; "reported as draining")]
#[test_case(|r, s| r.mark_version_missing(NOW, s, VERSION) ; "version not held")]
#[test_case(|r, s| for _ in 0..9 { r.record_sent(NOW, s) } ; "many outstanding")]
#[test_case(|r, s| { r.record_sent(NOW, s); r.record_outcome(NOW, s, Duration::from_micros(50), AttemptOutcome::Failed) } ; "failed fast")]
#[test_case(|r, s| { r.record_sent(NOW, s); r.record_outcome(NOW, s, Duration::from_millis(250), AttemptOutcome::Lost) } ; "lost")]
#[test_case(|r, s| { r.mark_available(NOW, s); r.record_sent(NOW, s) } ; "ramping up")]
fn a_worse_replica_is_avoided(event: Event) {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let [a, b] = choice_counts(&mut replicas, NOW, false);
    assert!((400..600).contains(&a), "{a} to {b}");
    event(&mut replicas, &servers()[0]);
    assert_eq!(choice_counts(&mut replicas, NOW, false), [0, 1_000]);
}

/// Guards against a sub-request that is sent although no replica can answer it, and
/// against a wrong reason in the coverage of the query.
#[test_case(|_, _| {}, true, UnavailableReason::Tried)]
#[test_case(|r, s| r.mark_draining(NOW, s), false, UnavailableReason::Draining)]
#[test_case(|r, s| r.record_hint(NOW, s, hint(0, Health::Down)), false, UnavailableReason::Down)]
#[test_case(|r, s| r.mark_version_missing(NOW, s, VERSION), false, UnavailableReason::VersionUnavailable)]
fn the_reason_is_given_if_no_replica_is_available(
    event: Event,
    tried: bool,
    expected: UnavailableReason,
) {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let servers = servers();
    servers
        .iter()
        .for_each(|server| event(&mut replicas, server));
    let req = ReplicaRequest {
        servers: &servers,
        version: VERSION,
        priority: 1,
        exclude: if tried { &servers } else { &[] },
        can_hedge: true,
    };
    let reason = expected;
    assert_eq!(replicas.choose(NOW, req), Choice::None { reason });
    let req = ReplicaRequest {
        servers: &[],
        ..req
    };
    let reason = UnavailableReason::NoReplica;
    assert_eq!(replicas.choose(NOW, req), Choice::None { reason });
}

/// Guards against a server that has recovered and is never used again, and against
/// exploration when no hedged request can be sent if the response is slow.
#[test_case(1, true, true ; "hedged request possible")]
#[test_case(1, false, false ; "no hedged request possible")]
#[test_case(8, true, false ; "backs off after many failures")]
fn a_stale_replica_is_explored(failures: u32, can_hedge: bool, explored: bool) {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let [a, b] = servers().try_into().unwrap();
    for _ in 0..failures {
        replicas.record_sent(NOW, &a);
        replicas.record_outcome(NOW, &a, Duration::from_millis(1), AttemptOutcome::Failed);
    }
    let later = NOW + Duration::from_secs(2);
    replicas.record_sent(later, &b);
    let [a, _] = choice_counts(&mut replicas, later, can_hedge);
    assert_eq!((1..50).contains(&a), explored, "{a} in 1,000");
    assert!(a < 50);
}

/// Guards against a server that fails repeatedly and is used again as soon as one that
/// failed once.
#[test_case(1, true ; "after one failure")]
#[test_case(8, false ; "after eight failures")]
fn penalties_grow_with_failures_and_decay(failures: u32, used: bool) {
    let mut replicas = warm_replicas(ReplicaSettings {
        ramp_after_failures: u8::MAX,
        ..Default::default()
    });
    let a = &servers()[0];
    for _ in 0..failures {
        replicas.record_sent(NOW, a);
        replicas.record_outcome(NOW, a, Duration::from_millis(1), AttemptOutcome::Failed);
    }
    let later = NOW + Duration::from_secs(8);
    assert_eq!(choice_counts(&mut replicas, later, false)[0] > 0, used);
}

/// Guards against sending all requests between two hints to the same server.
#[test]
fn requests_sent_after_a_hint_add_to_the_wait() {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let a = &servers()[0];
    replicas.record_hint(NOW, a, hint(4, Health::Ready));
    let before = replicas.estimate(NOW, a, 1).wait;
    replicas.record_sent(NOW, a);
    assert!(replicas.estimate(NOW, a, 1).wait > before);
}

/// Guards against using a draining server because of a hint that is older than the
/// report, and against avoiding a server that has become available again.
#[test_case(Duration::from_secs(1), false ; "hint may be older than the report")]
#[test_case(Duration::from_secs(3), true ; "hint is newer")]
fn a_hint_ends_draining_only_after_the_grace_period(after: Duration, returned: bool) {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    replicas.mark_draining(NOW, &servers()[0]);
    replicas.mark_draining(NOW, &servers()[1]);
    let now = NOW + after;
    replicas.record_hint(now, &servers()[0], hint(0, Health::Ready));
    let servers = servers();
    let req = ReplicaRequest {
        servers: &servers,
        version: VERSION,
        priority: 1,
        exclude: &[],
        can_hedge: false,
    };
    let chosen = matches!(replicas.choose(now, req), Choice::Use { .. });
    assert_eq!(chosen, returned);
}

/// Guards against counting the queue of lower classes in the wait of the highest class.
#[test]
fn a_higher_class_waits_only_for_a_slot() {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let server = &servers()[0];
    replicas.record_hint(NOW, server, hint(8, Health::Ready));
    assert!(replicas.estimate(NOW, server, 1).is_overloaded());
    assert!(!replicas.estimate(NOW, server, 2).is_overloaded());
}

/// Guards against load on a replica in an evacuated zone, also if it is the best or the only
/// one, and against full load on it as soon as it is back.
#[test]
fn evacuated_replicas_are_not_chosen_and_ramp_up_afterwards() {
    let mut replicas = warm_replicas(ReplicaSettings::default());
    let [a, b] = [&servers()[0], &servers()[1]];
    let evacuated = |ids: &[&ServerId]| ids.iter().map(|id| (*id).clone()).collect();
    // One request is all that a server gets at first while it ramps up.
    replicas.record_sent(NOW, a);
    let before = replicas.estimate(NOW, a, 1).completion;
    replicas.set_evacuated(NOW, evacuated(&[a]));
    replicas.record_hint(NOW, b, hint(20, Health::Failing));
    assert_eq!(choice_counts(&mut replicas, NOW, true), [0, 1_000]);
    replicas.set_evacuated(NOW, evacuated(&[a, b]));
    let servers = servers();
    let req = ReplicaRequest {
        servers: &servers,
        version: VERSION,
        priority: 1,
        exclude: &[],
        can_hedge: true,
    };
    let reason = UnavailableReason::Evacuated;
    assert_eq!(replicas.choose(NOW, req), Choice::None { reason });
    replicas.set_evacuated(NOW, evacuated(&[b]));
    assert_eq!(choice_counts(&mut replicas, NOW, true), [1_000, 0]);
    assert!(
        replicas.estimate(NOW, a, 1).completion > before,
        "it ramps up"
    );
}
