//! Changes that reach every daemon whatever the service and the network do.

mod common;

use std::time::Duration;

use common::Tier;
use jasminepond_membership::{ConfigMark, Member, MemberState};
use jasminepond_sync::{
    Action, Digest, FileRef, MAX_FILE_BYTES, Role, ServiceFailure, Settings, Source, SyncMessage,
};
use jasminepond_types::Revision;
use test_case::test_case;

const MINUTE: Duration = Duration::from_secs(60);

fn tier(n: usize, zones: usize) -> Tier {
    let mut tier = Tier::new(Settings::default(), n, zones, n as u64);
    tier.change("a.json", "{}");
    tier.change("b.json", vec![b'x'; 100_000]);
    assert!(tier.settle(MINUTE).is_some(), "first configuration");
    tier
}

/// Guards against daemons that are missed, and against more readers than
/// needed.
#[test_case(1, 1)]
#[test_case(7, 4)]
#[test_case(60, 3)]
fn a_change_reaches_everyone(n: usize, zones: usize) {
    let mut tier = tier(n, zones);
    tier.run(MINUTE);
    assert_eq!(tier.in_role(Role::Substitute), 0);
    assert_eq!(tier.in_role(Role::Reader), n.min(2 * zones));
    for i in 0..5 {
        tier.change("a.json", format!("{i}"));
        let time = tier.settle(MINUTE);
        assert!(time.is_some_and(|t| t < Duration::from_secs(3)), "{time:?}");
    }
    let page = tier.nodes[0].sync.status(tier.now);
    assert_eq!(page.revision, tier.service.revision);
    assert!(page.confirmed.is_some_and(|age| age < MINUTE));
}

/// Guards against sending files that did not change.
#[test]
fn only_changed_files_are_sent() {
    let mut tier = tier(20, 2);
    tier.bytes = 0;
    tier.change("a.json", "[]");
    assert!(tier.settle(MINUTE).is_some());
    assert!(tier.bytes < 20 * 5_000, "{} bytes", tier.bytes);
}

/// Guards against a daemon that stays without configuration while the service
/// is down.
#[test]
fn a_daemon_that_starts_in_an_outage_asks_its_peers() {
    let mut tier = tier(7, 3);
    tier.service.down = true;
    tier.run(MINUTE);
    tier.restart(4);
    let time = tier.settle(MINUTE);
    assert!(time.is_some_and(|t| t < Duration::from_secs(5)), "{time:?}");
    let source = tier.nodes[4].sync.status(tier.now).source;
    assert!(matches!(source, Some(Source::Peer(_))), "{source:?}");
}

/// Guards against a stale or restarted service that takes the tier back.
#[test]
fn a_stale_service_changes_nothing() {
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
    let page = tier.nodes[0].sync.status(tier.now);
    assert_eq!(page.service_failure, Some(ServiceFailure::Stale));
    tier.run(MINUTE);
    assert!(tier.all_have(revision));
}

/// Guards against a list and files of different revisions, and against a loop
/// of reads while the service stays inconsistent.
#[test_case(1)]
#[test_case(40)]
fn a_torn_read_is_repeated(times: u32) {
    let mut tier = tier(3, 1);
    tier.service.reads = 0;
    tier.service.tear = times;
    tier.change("torn.json", "first");
    assert!(tier.settle(MINUTE * 5).is_some());
    let reads = u64::from(times) * 12 + 60;
    assert!(tier.service.reads < reads, "{}", tier.service.reads);
}

/// Guards against a file beyond the limit, and against a refused revision that
/// blocks the next or is read in a loop.
#[test]
fn an_unusable_revision_is_skipped() {
    let mut tier = tier(7, 3);
    let good = tier.service.revision;
    tier.service.reads = 0;
    tier.change("big.json", vec![0; MAX_FILE_BYTES as usize + 1]);
    tier.run(MINUTE);
    assert!(tier.all_have(good));
    assert!(tier.nodes.iter().any(|n| !n.refused.is_empty()));
    tier.service.files.remove("big.json");
    tier.change("a.json", "invalid");
    tier.invalid.insert(tier.service.revision);
    tier.run(MINUTE);
    assert!(tier.all_have(good));
    assert!(tier.service.reads < 100, "{}", tier.service.reads);
    tier.change("a.json", "valid");
    assert!(tier.settle(MINUTE).is_some());
}

/// Guards against content that replaces other content under one revision.
#[test]
fn a_conflict_is_reported_and_not_spread() {
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
    let page = tier.nodes[0].sync.status(tier.now);
    assert_eq!((page.digest, page.conflict), (digest, Some(revision)));
}

/// Guards against a zone without a reader while the view still lists readers
/// that are silent, and against all its daemons reading at once.
#[test]
fn few_substitutes_read_for_silent_readers() {
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
    tier.change("a.json", "[1]");
    assert!(tier.settle(MINUTE).is_some());
    for &i in &readers {
        tier.nodes[i].up = true;
    }
    tier.run(MINUTE);
    assert_eq!(tier.in_role(Role::Substitute), 0);
}

/// Guards against a whole zone that starts to read at once when no heartbeat
/// gets through.
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

/// Guards against daemons that go on reading because their views miss the
/// readers that all others know.
#[test]
fn too_many_readers_step_back() {
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

/// Guards against daemons that together read more than the service allows
/// while each believes to be alone, and against their never being served.
#[test]
fn isolated_daemons_share_the_reads() {
    let settings = Settings {
        read_budget: 50.0,
        ..Settings::default()
    };
    let mut tier = Tier::new(settings, 200, 5, 3);
    tier.service.limit = Some(100);
    tier.change("a.json", "{}");
    assert!(tier.settle(MINUTE).is_some());
    tier.cut(|i| i);
    tier.run(MINUTE * 2);
    tier.service.peak = 0;
    tier.change("a.json", "[]");
    assert!(tier.settle(MINUTE * 2).is_some());
    assert!(tier.service.peak <= 100, "{}", tier.service.peak);
}

/// Guards against large files that use up the share of bytes of a daemon, and
/// against a share that blocks the change for ever.
#[test]
fn large_files_respect_the_share_of_bytes() {
    let settings = Settings {
        send_rate: 20_000.0,
        send_burst: 200_000.0,
        ..Settings::default()
    };
    let mut tier = Tier::new(settings, 6, 1, 8);
    tier.change("large.json", vec![7; MAX_FILE_BYTES as usize]);
    let start = tier.now;
    assert!(tier.settle(MINUTE * 10).is_some());
    let time = tier.now.since(start).as_secs_f64();
    let most = 6.0 * (200_000.0 + 20_000.0 * time + 2_000.0 * time);
    assert!(
        (tier.bytes as f64) < most,
        "{} bytes in {time} s",
        tier.bytes
    );
}

/// Guards against a resumed daemon that waits for the next announcement.
#[test]
fn a_resumed_daemon_asks_its_peers() {
    let mut tier = tier(7, 1);
    tier.nodes[3].up = false;
    tier.change("a.json", "[]");
    assert!(tier.settle(MINUTE).is_some());
    tier.nodes[3].up = true;
    let now = tier.now;
    let actions = tier.nodes[3].sync.resumed(now);
    tier.perform(3, actions);
    let time = tier.settle(MINUTE);
    assert!(
        time.is_some_and(|t| t < Duration::from_millis(200)),
        "{time:?}"
    );
}

/// Guards against a revision that was announced while its only holder was cut
/// off, and that no announcement or heartbeat repeats.
#[test]
fn peers_ask_each_other_for_what_they_missed() {
    let mut tier = tier(3, 3);
    tier.run(MINUTE);
    tier.cut(|i| usize::from(i > 0));
    tier.nodes[1..].iter_mut().for_each(|n| n.up = false);
    tier.change("a.json", "[]");
    assert!(tier.settle(MINUTE).is_some());
    tier.run(MINUTE);
    tier.service.down = true;
    tier.nodes[1..].iter_mut().for_each(|n| n.up = true);
    tier.cut(|_| 0);
    assert!(tier.settle(MINUTE).is_some());
}

/// Guards against a newer revision in the membership view that is ignored.
#[test]
fn a_member_with_a_newer_revision_is_asked() {
    let mut tier = tier(60, 1);
    let ahead = tier.nodes[33].me.instance.clone();
    let member = Member::clone(tier.views[0].get(&ahead).unwrap());
    let config = ConfigMark(Revision(9), 0);
    tier.views[0].put(Member { config, ..member });
    let sync = &mut tier.nodes[0].sync;
    let later = tier.now + MINUTE;
    let actions = sync.tick(later, &tier.views[0]);
    let asked = |a: &Action| matches!(a, Action::Send { to, message: SyncMessage::State { .. } } if *to == ahead);
    assert!(actions.iter().any(asked), "{actions:?}");
}

/// Guards against files of one revision that are sent to complete another.
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

/// Guards against content that does not have the announced digest, from a
/// peer or from the service.
#[test_case(true)]
#[test_case(false)]
fn wrong_content_is_not_used(from_service: bool) {
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
        let piece = SyncMessage::Chunk {
            digest: Digest::of(b"new"),
            offset: 0,
            total: 3,
            bytes: wrong.into(),
        };
        sync.receive(now, from, piece)
    };
    assert_eq!(actions, []);
}
