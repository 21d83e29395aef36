//! Distribution of changes to all daemons under faults of the service and of the
//! network.

mod common;

use std::time::Duration;

use common::Tier;
use jasminepond_membership::{ConfigVersion, Member, MemberState};
use jasminepond_sync::{
    Action, Digest, FileRef, MAX_FILE_BYTES, Role, ServiceFailure, Settings, Source, SyncMessage,
};
use jasminepond_types::Revision;
use test_case::test_case;

const MINUTE: Duration = Duration::from_secs(60);

fn tier(n: usize, zones: usize) -> Tier {
    let mut tier = Tier::new(Settings::default(), n, zones, n as u64);
    tier.publish("a.json", "{}");
    tier.publish("b.json", vec![b'x'; 100_000]);
    assert!(tier.converge(MINUTE).is_some(), "first configuration");
    tier
}

/// Guards against daemons that a change does not reach, and against more readers
/// than needed.
#[test_case(1, 1)]
#[test_case(7, 4)]
#[test_case(60, 3)]
fn change_reaches_all_daemons(n: usize, zones: usize) {
    let mut tier = tier(n, zones);
    tier.run(MINUTE);
    assert_eq!(tier.in_role(Role::Substitute), 0);
    assert_eq!(tier.in_role(Role::Reader), n.min(2 * zones));
    for i in 0..5 {
        tier.publish("a.json", format!("{i}"));
        let time = tier.converge(MINUTE);
        assert!(time.is_some_and(|t| t < Duration::from_secs(3)), "{time:?}");
    }
    let status = tier.nodes[0].sync.status(tier.now);
    assert_eq!(status.revision, tier.service.revision);
    assert!(status.confirmed.is_some_and(|age| age < MINUTE));
}

/// Guards against sending unchanged files.
#[test]
fn only_changed_files_are_sent() {
    let mut tier = tier(20, 2);
    tier.bytes = 0;
    tier.publish("a.json", "[]");
    assert!(tier.converge(MINUTE).is_some());
    assert!(tier.bytes < 20 * 5_000, "{} bytes", tier.bytes);
}

/// Guards against a daemon that has no configuration while the service is down.
#[test]
fn daemon_started_during_outage_fetches_from_peers() {
    let mut tier = tier(7, 3);
    tier.service.down = true;
    tier.run(MINUTE);
    tier.restart(4);
    let time = tier.converge(MINUTE);
    assert!(time.is_some_and(|t| t < Duration::from_secs(5)), "{time:?}");
    let source = tier.nodes[4].sync.status(tier.now).source;
    assert!(matches!(source, Some(Source::Peer(_))), "{source:?}");
}

/// Guards against a stale or restarted service that brings an older revision into
/// effect.
#[test]
fn stale_revision_from_service_is_ignored() {
    let mut tier = tier(7, 3);
    let revision = tier.service.revision;
    tier.service.revision = Revision(1);
    for i in 0..7 {
        let files = vec![FileRef {
            name: "old.json".into(),
            digest: Digest::of(b"old"),
            size: 3,
        }];
        let now = tier.now;
        let actions = tier.nodes[i].sync.service_tree(now, Revision(1), files);
        assert_eq!(actions, []);
    }
    let status = tier.nodes[0].sync.status(tier.now);
    assert_eq!(status.service_failure, Some(ServiceFailure::Stale));
    tier.run(MINUTE);
    assert!(tier.all_have(revision));
}

/// Guards against combining a list and files of different revisions, and against a
/// tight loop of reads while the service stays inconsistent.
#[test_case(1)]
#[test_case(40)]
fn torn_read_is_retried(times: u32) {
    let mut tier = tier(3, 1);
    tier.service.reads = 0;
    tier.service.torn_reads = times;
    tier.publish("torn.json", "first");
    assert!(tier.converge(MINUTE * 5).is_some());
    let reads = u64::from(times) * 12 + 60;
    assert!(tier.service.reads < reads, "{}", tier.service.reads);
}

/// Guards against a file above the size limit, and against a refused revision that
/// blocks the next one or is read in a loop.
#[test]
fn invalid_revision_is_skipped() {
    let mut tier = tier(7, 3);
    let good = tier.service.revision;
    tier.service.reads = 0;
    tier.publish("big.json", vec![0; MAX_FILE_BYTES as usize + 1]);
    tier.run(MINUTE);
    assert!(tier.all_have(good));
    assert!(tier.nodes.iter().any(|n| !n.refused.is_empty()));
    tier.service.files.remove("big.json");
    tier.publish("a.json", "invalid");
    tier.invalid.insert(tier.service.revision);
    tier.run(MINUTE);
    assert!(tier.all_have(good));
    assert!(tier.service.reads < 100, "{}", tier.service.reads);
    tier.publish("a.json", "valid");
    assert!(tier.converge(MINUTE).is_some());
}

/// Guards against replacing the content of a revision that is in effect.
#[test]
fn conflict_is_reported_once_and_not_propagated() {
    let mut tier = tier(7, 3);
    let revision = tier.service.revision;
    let digest = tier.nodes[0].sync.status(tier.now).digest;
    let (now, from) = (tier.now, tier.nodes[1].me.instance.clone());
    let theirs = Some(Digest::of(b"other"));
    for _ in 0..2 {
        let message = SyncMessage::State {
            revision,
            digest: theirs,
        };
        let actions = tier.nodes[0].sync.receive(now, from.clone(), message);
        tier.perform(0, actions);
    }
    tier.run(MINUTE);
    let conflicts: Vec<_> = tier.nodes.iter().map(|n| n.conflicts).collect();
    assert_eq!(conflicts, [1, 0, 0, 0, 0, 0, 0]);
    let status = tier.nodes[0].sync.status(tier.now);
    assert_eq!((status.digest, status.conflict), (digest, Some(revision)));
}

/// Guards against a zone without a reader while the view still contains readers
/// that send no heartbeats, and against all daemons of the zone reading at once.
#[test]
fn few_substitutes_replace_unresponsive_readers() {
    let mut tier = tier(120, 2);
    let readers: Vec<usize> = (0..120)
        .filter(|&i| tier.nodes[i].sync.role() == Role::Reader)
        .collect();
    for &i in &readers {
        tier.nodes[i].up = false;
    }
    let mut most = 0;
    for _ in 0..6_000 {
        tier.run(Duration::from_millis(10));
        most = most.max(tier.in_role(Role::Substitute));
    }
    assert!((2..=6).contains(&most), "{most} substitutes");
    tier.publish("a.json", "[1]");
    assert!(tier.converge(MINUTE).is_some());
    for &i in &readers {
        tier.nodes[i].up = true;
    }
    tier.run(MINUTE);
    assert_eq!(tier.in_role(Role::Substitute), 0);
}

/// Guards against all daemons of a zone starting to read at once when every
/// heartbeat is lost.
#[test]
fn substitutes_start_one_after_the_other() {
    let mut tier = tier(120, 2);
    tier.loss = 1.0;
    tier.run(Duration::from_secs(7));
    let first = tier.in_role(Role::Substitute);
    assert!((1..40).contains(&first), "{first} substitutes");
    tier.run(MINUTE);
    assert_eq!(tier.in_role(Role::Substitute), 116);
}

/// Guards against daemons that keep reading because their views do not contain the
/// readers that all others see.
#[test]
fn surplus_readers_become_followers() {
    let mut tier = tier(40, 1);
    let reads = |tier: &Tier, i: usize| tier.nodes[i].sync.role() == Role::Reader;
    let readers: Vec<usize> = (0..40).filter(|&i| reads(&tier, i)).collect();
    let mut stale = tier.views[0].clone();
    for &i in &readers {
        let known = stale.get(&tier.nodes[i].me.instance).unwrap();
        let state = MemberState::Dead;
        let dead = Member {
            state,
            ..Member::clone(known)
        };
        stale.put(dead);
    }
    tier.views.push(stale);
    (0..40).for_each(|i| tier.nodes[i].view = usize::from(!readers.contains(&i)));
    tier.run(MINUTE);
    assert!(readers.iter().all(|&i| reads(&tier, i)));
    assert_eq!(tier.in_role(Role::Reader), 2);
}

/// Guards against isolated daemons that together exceed the read limit of the
/// service, and against daemons that never get the change.
#[test]
fn isolated_daemons_stay_within_read_limit() {
    let settings = Settings {
        read_budget: 50.0,
        ..Settings::default()
    };
    let mut tier = Tier::new(settings, 200, 5, 3);
    tier.service.limit = Some(100);
    tier.publish("a.json", "{}");
    assert!(tier.converge(MINUTE).is_some());
    tier.partition(|i| i);
    tier.run(MINUTE * 2);
    tier.service.peak = 0;
    tier.publish("a.json", "[]");
    assert!(tier.converge(MINUTE * 2).is_some());
    assert!(tier.service.peak <= 100, "{}", tier.service.peak);
}

/// Guards against large files that exceed the send budget of a daemon, and against
/// a send budget that blocks the change forever.
#[test]
fn large_files_stay_within_send_budget() {
    let settings = Settings {
        send_rate: 20_000.0,
        send_burst: 200_000.0,
        ..Settings::default()
    };
    let mut tier = Tier::new(settings, 6, 1, 8);
    tier.publish("large.json", vec![7; MAX_FILE_BYTES as usize]);
    let start = tier.now;
    assert!(tier.converge(MINUTE * 10).is_some());
    let time = tier.now.since(start).as_secs_f64();
    let most = 6.0 * (200_000.0 + 20_000.0 * time + 2_000.0 * time);
    assert!(
        (tier.bytes as f64) < most,
        "{} bytes in {time} s",
        tier.bytes
    );
}

/// Guards against a resumed daemon that stays outdated until the next announcement.
#[test]
fn resumed_daemon_queries_peers() {
    let mut tier = tier(7, 1);
    tier.nodes[3].up = false;
    tier.publish("a.json", "[]");
    assert!(tier.converge(MINUTE).is_some());
    tier.nodes[3].up = true;
    let now = tier.now;
    let actions = tier.nodes[3].sync.resumed(now);
    tier.perform(3, actions);
    let time = tier.converge(MINUTE);
    assert!(
        time.is_some_and(|t| t < Duration::from_millis(200)),
        "{time:?}"
    );
}

/// Guards against a revision that was announced while the only daemon with it was
/// isolated, and that no announcement or heartbeat repeats.
#[test]
fn missed_revision_is_fetched_by_periodic_exchange() {
    let mut tier = tier(3, 3);
    tier.run(MINUTE);
    tier.partition(|i| usize::from(i > 0));
    tier.nodes[1..].iter_mut().for_each(|n| n.up = false);
    tier.publish("a.json", "[]");
    assert!(tier.converge(MINUTE).is_some());
    tier.run(MINUTE);
    tier.service.down = true;
    tier.nodes[1..].iter_mut().for_each(|n| n.up = true);
    tier.partition(|_| 0);
    assert!(tier.converge(MINUTE).is_some());
}

/// Guards against ignoring a newer revision in the membership view.
#[test]
fn member_with_newer_revision_is_queried() {
    let mut tier = tier(60, 1);
    let ahead = tier.nodes[33].me.instance.clone();
    let member = Member::clone(tier.views[0].get(&ahead).unwrap());
    let config = ConfigVersion(Revision(9), 0);
    tier.views[0].put(Member { config, ..member });
    let sync = &mut tier.nodes[0].sync;
    let later = tier.now + MINUTE;
    let actions = sync.tick(later, &tier.views[0]);
    let asked = |a: &Action| matches!(a, Action::Send { to, message: SyncMessage::State { .. } } if *to == ahead);
    assert!(actions.iter().any(asked), "{actions:?}");
}

/// Guards against sending files of one revision in response to requests for
/// another.
#[test_case(1)]
#[test_case(3)]
fn only_the_revision_in_effect_is_served(wanted: u64) {
    let mut tier = tier(2, 1);
    let revision = Revision(wanted);
    let digest = Digest::of(b"{}");
    let get = SyncMessage::Get {
        revision,
        digest,
        offset: 0,
    };
    let (now, from) = (tier.now, tier.nodes[1].me.instance.clone());
    let actions = tier.nodes[0].sync.receive(now, from, get);
    let served = |a: &Action| {
        matches!(
            a,
            Action::Send {
                message: SyncMessage::Chunk { .. },
                ..
            }
        )
    };
    assert!(!actions.iter().any(served), "{actions:?}");
}

/// Guards against using content from a peer or from the service that does not match
/// the announced digest.
#[test_case(true)]
#[test_case(false)]
fn content_with_wrong_digest_is_rejected(from_service: bool) {
    let mut tier = tier(2, 1);
    let (now, from) = (tier.now, tier.nodes[1].me.instance.clone());
    let sync = &mut tier.nodes[0].sync;
    let digest = Digest::of(b"new");
    let (revision, wrong) = (Revision(9), "old");
    let actions = if from_service {
        let file = FileRef {
            name: "a.json".into(),
            digest,
            size: 3,
        };
        sync.service_tree(now, revision, vec![file]);
        let later = now + Duration::from_secs(1);
        let actions = sync.tick(later, &tier.views[0]);
        let name = "a.json".into();
        assert!(actions.contains(&Action::FetchFromService { name, digest }));
        sync.service_file(later, "a.json", wrong.into())
    } else {
        let digest = Some(digest);
        let asked = sync.receive(now, from.clone(), SyncMessage::State { revision, digest });
        assert_eq!(asked.len(), 1);
        let chunk = SyncMessage::Chunk {
            digest: Digest::of(b"new"),
            offset: 0,
            total: 3,
            bytes: wrong.into(),
        };
        sync.receive(now, from, chunk)
    };
    assert_eq!(actions, []);
}
