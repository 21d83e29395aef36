//! Properties that hold for any changes, faults and views.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::Tier;
use jasminepond_sync::{Digest, Role, Settings, SyncMessage};
use jasminepond_types::{Millis, Revision};
use proptest::prelude::*;

const SIZE: usize = 8;
const ZONES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Change(u8, u16),
    ChangeInvalid,
    Down(bool),
    Partition(u8),
    Restart(usize),
    Stop(usize),
    TornReads,
    Limit(Option<u64>),
}

fn step() -> impl Strategy<Value = (Step, u64)> {
    let step = prop_oneof![
        4 => (0_u8..4, any::<u16>()).prop_map(|(file, size)| Step::Change(file, size)),
        1 => Just(Step::ChangeInvalid),
        2 => any::<bool>().prop_map(Step::Down),
        2 => any::<u8>().prop_map(Step::Partition),
        1 => (0..SIZE).prop_map(Step::Restart),
        1 => (0..SIZE).prop_map(Step::Stop),
        1 => Just(Step::TornReads),
        1 => prop::option::of(0_u64..4).prop_map(Step::Limit),
    ];
    (step, 0_u64..15_000)
}

fn apply(tier: &mut Tier, step: &Step) {
    match *step {
        Step::Change(file, size) => {
            let bytes = vec![file; usize::from(size) * 4];
            tier.publish(&format!("{file}.json"), bytes);
        }
        Step::ChangeInvalid => {
            let text = format!("{}", tier.service.revision);
            tier.publish("0.json", text);
            tier.invalid.insert(tier.service.revision);
        }
        Step::Down(down) => tier.service.down = down,
        Step::Partition(sides) => tier.partition(|i| usize::from(sides >> i & 1)),
        Step::Restart(i) => tier.restart(i),
        Step::Stop(i) => tier.stop(i),
        Step::TornReads => tier.service.torn_reads = 2,
        Step::Limit(limit) => tier.service.limit = limit,
    }
}

fn message() -> impl Strategy<Value = SyncMessage> {
    let digest = prop::collection::vec(any::<u8>(), 0..3).prop_map(|b| Digest::of(&b));
    let small = (0_u64..5).prop_map(Revision);
    prop_oneof![
        (small.clone(), prop::option::of(digest.clone()))
            .prop_map(|(revision, digest)| SyncMessage::State { revision, digest }),
        (small, digest.clone(), any::<u64>()).prop_map(|(revision, digest, offset)| {
            SyncMessage::Get {
                revision,
                digest,
                offset,
            }
        }),
        (
            digest.clone(),
            0_u64..3,
            any::<u64>(),
            prop::collection::vec(any::<u8>(), 0..3)
        )
            .prop_map(|(digest, offset, total, bytes)| SyncMessage::Chunk {
                digest,
                offset,
                total,
                bytes: Bytes::from(bytes),
            }),
        digest
            .clone()
            .prop_map(|digest| SyncMessage::Missing { digest }),
        (digest, any::<u64>()).prop_map(|(digest, wait)| SyncMessage::Busy {
            digest,
            retry_after: Millis(wait),
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against a revision that decreases (checked with each offer) and
    /// against daemons that miss the newest valid revision after any outages,
    /// partitions, restarts, torn reads, refusals and message loss.
    #[test]
    fn all_daemons_converge_to_newest_valid_revision(
        steps in prop::collection::vec(step(), 0..12),
        loss in 0.0..0.4, seed in any::<u64>(),
    ) {
        let mut tier = Tier::new(Settings::default(), SIZE, ZONES, seed);
        tier.loss = loss;
        for (step, millis) in &steps {
            apply(&mut tier, step);
            tier.run(Duration::from_millis(*millis));
        }
        tier.service.down = false;
        tier.service.limit = None;
        tier.service.torn_reads = 0;
        tier.partition(|_| 0);
        tier.publish("last.json", "{}");
        let time = tier.converge(Duration::from_secs(200));
        prop_assert!(time.is_some(), "not all daemons have {}", tier.service.revision);
        prop_assert_eq!(tier.nodes.iter().map(|n| n.conflicts).sum::<usize>(), 0);
    }

    /// Guards against a revision that is not propagated between peers. Only one
    /// daemon can read it from the service before the outage.
    #[test]
    fn revision_of_one_daemon_reaches_all_without_service(loss in 0.0..0.4, seed in any::<u64>()) {
        let mut tier = Tier::new(Settings::default(), SIZE, ZONES, seed);
        tier.partition(|i| usize::from(i > 0));
        tier.service.down = true;
        tier.run(Duration::from_secs(10));
        tier.nodes[1..].iter_mut().for_each(|n| n.up = false);
        tier.service.down = false;
        tier.publish("a.json", vec![1; 90_000]);
        tier.run(Duration::from_secs(180));
        tier.service.down = true;
        tier.nodes[1..].iter_mut().for_each(|n| n.up = true);
        tier.partition(|_| 0);
        tier.loss = loss;
        prop_assert!(tier.converge(Duration::from_secs(120)).is_some());
    }

    /// Guards against too many or no readers when all daemons have the same view.
    #[test]
    fn readers_stay_within_bounds(
        n in 1_usize..60, zones in 1_usize..6, seed in any::<u64>(),
        stopped in prop::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let mut tier = Tier::new(Settings::default(), n, zones, seed);
        tier.publish("a.json", "{}");
        for i in stopped {
            tier.stop(i.index(n));
        }
        tier.run(Duration::from_secs(20));
        for zone in 0..zones {
            let nodes = tier.nodes.iter().skip(zone).step_by(zones);
            let up: Vec<_> = nodes.filter(|n| n.up).collect();
            let readers = up.iter().filter(|n| n.sync.role() == Role::Reader).count();
            prop_assert_eq!(readers, up.len().min(2));
        }
        prop_assert_eq!(tier.in_role(Role::Substitute), 0);
    }

    /// Guards against reads beyond the budget when every daemon is isolated, also
    /// when all start isolated and know only the size of the instance list.
    #[test]
    fn reads_stay_bounded_when_all_daemons_are_isolated(
        n in 20_usize..120, changes in 1_usize..4, fresh in any::<bool>(), seed in any::<u64>(),
    ) {
        let settings = Settings { read_budget: 20.0, ..Settings::default() };
        let mut tier = Tier::new(settings, n, ZONES, seed);
        tier.publish("a.json", "{}");
        tier.run(Duration::from_secs(10));
        tier.partition(|i| i);
        tier.run(Duration::from_secs(60));
        (tier.service.peak, tier.service.reads) = (0, 0);
        for i in (0..n).filter(|_| fresh) {
            tier.restart(i);
            tier.nodes[i].sync.expect_members(n);
        }
        for i in 0..changes {
            tier.publish("a.json", format!("{i}"));
            tier.run(Duration::from_secs(20));
        }
        // The peak may be three times the budget, since the reads of several random
        // delays can coincide; the mean may not.
        prop_assert!(tier.service.peak <= 60, "{} reads in a second", tier.service.peak);
        prop_assert!(tier.service.reads <= 25 * 20 * changes as u64);
    }

    /// Guards against messages that crash a daemon or put unverified content into
    /// effect.
    #[test]
    fn arbitrary_messages_are_harmless(messages in prop::collection::vec(message(), 0..40)) {
        let mut tier = Tier::new(Settings::default(), 3, 1, 1);
        tier.publish("a.json", "{}");
        tier.run(Duration::from_secs(10));
        tier.service.down = true;
        let from = tier.nodes[1].me.instance.clone();
        for message in messages {
            let now = tier.now;
            let actions = tier.nodes[0].sync.receive(now, from.clone(), message);
            tier.perform(0, actions);
            tier.run(Duration::from_millis(50));
        }
        prop_assert!(tier.all_have(Revision(1)));
    }
}
