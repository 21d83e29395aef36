//! Properties for arbitrary records, datagrams and network faults.

mod common;

use std::time::Duration;

use common::{Network, local_member};
use jasminepond_membership::{
    Body, ConfigVersion, LocalMember, MAX_DATAGRAM_BYTES, Member, MemberState, Membership, Message,
    Output, Record, Settings, View,
};
use jasminepond_types::{CpuCapacity, Incarnation, Revision, Timestamp};
use proptest::prelude::*;

fn state() -> impl Strategy<Value = MemberState> {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    prop::sample::select(vec![Alive, Suspect, Dead, Leaving])
}

fn record() -> impl Strategy<Value = Member> {
    (
        0_u64..3,
        0_u32..3,
        state(),
        0_u64..3,
        0_u32..2,
        0_u16..2,
        any::<bool>(),
    )
        .prop_map(
            |(incarnation, refutation, state, revision, digest, port, reaches_servers)| {
                let me = local_member(1, incarnation);
                Member {
                    instance: me.instance,
                    incarnation: me.incarnation,
                    refutation,
                    state,
                    zone: me.zone,
                    region: me.region,
                    processor: me.processor,
                    peer_address: ([10, 0, 0, 1], port).into(),
                    membership_address: me.membership_address,
                    config: ConfigVersion(Revision(revision), digest),
                    reaches_servers,
                }
            },
        )
}

fn gossip_to(membership: &mut Membership, records: Vec<Member>) {
    let from = Membership::new(Settings::default(), local_member(9, 1), 0)
        .me()
        .clone();
    let message = Message {
        from,
        body: Body::Gossip,
        records: records.into_iter().map(|r| Record(r, 0)).collect(),
        configs: Vec::new(),
        reports: Vec::new(),
    };
    let address = local_member(9, 1).membership_address;
    membership.receive(Timestamp::ZERO, address, message);
}

proptest! {
    /// Guards against a merge whose result depends on order or duplication.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in record(), b in record(), c in record(),
    ) {
        prop_assert_eq!(a.merge(&b), b.merge(&a));
        prop_assert_eq!(a.merge(&b).merge(&c), a.merge(&b.merge(&c)));
        prop_assert_eq!(a.merge(&a), a.clone());
        prop_assert_eq!(a.merge(&b).merge(&b), a.merge(&b));
    }

    /// Guards against an older incarnation that overrides a newer one, and against
    /// a departure that is overridden by a crash.
    #[test]
    fn merge_keeps_newer_incarnation_and_departure(a in record(), b in record()) {
        let merged = a.merge(&b);
        prop_assert_eq!(merged.incarnation, a.incarnation.max(b.incarnation));
        let left = |m: &Member| {
            m.state == MemberState::Leaving && m.incarnation == merged.incarnation
        };
        prop_assert_eq!(merged.state == MemberState::Leaving, left(&a) || left(&b));
    }

    /// Guards against a view that depends on the order or duplication of gossip.
    #[test]
    fn views_converge_regardless_of_gossip_order(
        (records, shuffled) in prop::collection::vec(record(), 1..12)
            .prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())),
    ) {
        let mut views = Vec::new();
        for list in [records, shuffled] {
            let mut membership = Membership::new(Settings::default(), local_member(0, 1), 1);
            for one in list {
                gossip_to(&mut membership, vec![one.clone()]);
                gossip_to(&mut membership, vec![one]);
            }
            views.push(membership.view().members().to_vec());
        }
        prop_assert_eq!(&views[0], &views[1]);
    }

    /// Guards against a refutation that does not outrank the suspicion, and against
    /// a refutation that changes the incarnation.
    #[test]
    fn daemon_refutes_records_of_its_incarnation(claim in record()) {
        let mut membership = Membership::new(Settings::default(), local_member(1, 1), 1);
        gossip_to(&mut membership, vec![claim.clone()]);
        let own = membership.me();
        prop_assert_eq!(own.incarnation, Incarnation(1));
        prop_assert_eq!(own.state, MemberState::Alive);
        if claim.incarnation <= Incarnation(1) && claim.state != MemberState::Leaving {
            prop_assert!(own.rank() >= claim.rank());
        }
    }

    /// Guards against malformed datagrams that crash a daemon, and against messages
    /// that change when they are encoded and decoded.
    #[test]
    fn malformed_datagrams_do_not_panic(
        buf in prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES),
        at in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        _ = Message::decode(&buf);
        let mut membership = Membership::new(Settings::default(), local_member(1, 1), 1);
        membership.set_seeds([local_member(2, 1).membership_address]);
        for output in membership.tick(Timestamp::ZERO) {
            if let Output::Send { message, .. } = output {
                let mut buf = message.encode();
                prop_assert_eq!(Message::decode(&buf).unwrap(), *message);
                let at = at.index(buf.len());
                buf[at] = byte;
                _ = Message::decode(&buf);
            }
        }
    }
}

/// A daemon with the longest possible ids and addresses.
fn longest_ids(i: usize) -> LocalMember {
    let id = |text: &str| format!("{text}-{i:04}-{}", "x".repeat(50));
    let address = ([0xfd00, 0, 0, 0, 0, 0, 0xffff, i as u16], 60_000).into();
    LocalMember {
        instance: id("instance").parse().unwrap(),
        incarnation: Incarnation(u64::MAX - i as u64),
        zone: id("zonezone").parse().unwrap(),
        region: id("region00").parse().unwrap(),
        processor: CpuCapacity::from_cores(4_000.0).unwrap(),
        peer_address: address,
        membership_address: address,
    }
}

/// Guards against oversized datagrams with long ids, and against a full view that
/// does not fit into the replies of a pull.
#[test]
fn full_view_with_longest_ids_fits_datagrams() {
    let member = |i| {
        Membership::new(Settings::default(), longest_ids(i), 0)
            .me()
            .clone()
    };
    let mut old = Membership::new(Settings::default(), longest_ids(0), 1);
    old.load_view(&View::from_members((0..700).map(member)));
    let mut new = Membership::new(Settings::default(), longest_ids(700), 2);
    new.set_seeds([longest_ids(0).membership_address]);
    let addresses = [longest_ids(0), longest_ids(700)].map(|me| me.membership_address);
    let mut waiting = new.tick(Timestamp::ZERO);
    while let Some(output) = waiting.pop() {
        let Output::Send { to, message } = output else {
            continue;
        };
        assert!(message.encode().len() <= MAX_DATAGRAM_BYTES);
        let pair = [&mut old, &mut new].into_iter().zip(addresses);
        for (membership, address) in pair.filter(|(_, address)| *address == to) {
            let from = addresses[usize::from(address == addresses[0])];
            waiting.extend(membership.receive(Timestamp::ZERO, from, (*message).clone()));
        }
    }
    assert_eq!(new.view().len(), 701);
    assert!(new.is_joined());
}

/// Guards against rejection of datagrams to which a later version adds a field.
#[test]
fn unknown_fields_are_ignored() {
    let mut membership = Membership::new(Settings::default(), local_member(1, 1), 1);
    membership.set_seeds([local_member(2, 1).membership_address]);
    let out = membership.tick(Timestamp::ZERO);
    let Some(Output::Send { message, .. }) = out.first() else {
        panic!("{out:?}")
    };
    let mut value: ciborium::Value = ciborium::from_reader(&message.encode()[..]).unwrap();
    let fields = value.as_map_mut().unwrap();
    fields.push(("zz".into(), vec![ciborium::Value::from(7)].into()));
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).unwrap();
    assert_eq!(Message::decode(&buf).unwrap(), **message);
}

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Leave(usize),
    Pause(usize),
    Partition(u16),
    Heal,
}

const SIZE: usize = 9;

fn fault() -> impl Strategy<Value = (Fault, u64)> {
    let fault = prop_oneof![
        (0..SIZE).prop_map(Fault::Kill),
        (0..SIZE).prop_map(Fault::Restart),
        (0..SIZE).prop_map(Fault::Leave),
        (0..SIZE).prop_map(Fault::Pause),
        (1_u16..1 << SIZE).prop_map(Fault::Partition),
        Just(Fault::Heal),
    ];
    (fault, 0_u64..20_000)
}

/// Final condition of a daemon, which the views must reflect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Expected {
    Runs,
    Left,
    Crashed,
    Paused,
}

fn apply(net: &mut Network, expected: &mut [Expected], fault: &Fault) {
    match *fault {
        Fault::Kill(i) if expected[i] == Expected::Runs => {
            net.kill(i);
            expected[i] = Expected::Crashed;
        }
        Fault::Leave(i) if expected[i] == Expected::Runs => {
            net.leave(i);
            // It keeps running until some daemons know of the departure, as it
            // does while it drains.
            net.run(Duration::from_millis(900));
            net.kill(i);
            expected[i] = Expected::Left;
        }
        Fault::Restart(i) if expected[i] != Expected::Paused => {
            net.restart(i);
            expected[i] = Expected::Runs;
        }
        Fault::Pause(i) if expected[i] == Expected::Runs => {
            net.pause(i);
            expected[i] = Expected::Paused;
        }
        Fault::Pause(i) if expected[i] == Expected::Paused => {
            _ = net.resume(i);
            expected[i] = Expected::Runs;
        }
        Fault::Partition(sides) => {
            for (i, node) in net.nodes.iter_mut().enumerate() {
                node.partition = (sides >> i & 1) as u8;
            }
        }
        Fault::Heal => net.nodes.iter_mut().for_each(|n| n.partition = 0),
        _ => {}
    }
}

/// Asserts that no member went back to an older incarnation, or from a departure
/// to a crash of the same incarnation.
fn assert_no_regression(node: &common::Node) {
    let mut known = std::collections::BTreeMap::new();
    for output in &node.outputs {
        let Output::Changed(change) = output else {
            continue;
        };
        let now = (change.incarnation, change.to == Some(MemberState::Leaving));
        let before = known.insert(&change.instance, now).unwrap_or(now);
        assert!(before.0 <= now.0, "{change:?}");
        let crashed = before == (now.0, true) && change.to == Some(MemberState::Dead);
        assert!(!crashed, "{change:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against views that stay different or wrong after the network has
    /// recovered from any mix of crashes, restarts, departures, pauses,
    /// partitions, loss, duplication and reordering.
    #[test]
    fn views_converge_after_faults(
        faults in prop::collection::vec(fault(), 0..10),
        loss in 0.0..0.4, repeat in 0.0..0.3, delay in 1_u64..900, seed in any::<u64>(),
    ) {
        let mut net = Network::new(Settings::default(), seed);
        net.start(SIZE);
        net.run(Duration::from_secs(10));
        (net.loss, net.repeat, net.delay) = (loss, repeat, delay);
        let mut expected = [Expected::Runs; SIZE];
        for (fault, millis) in &faults {
            apply(&mut net, &mut expected, fault);
            net.run(Duration::from_millis(*millis));
        }
        for i in 0..SIZE {
            if expected[i] == Expected::Paused {
                apply(&mut net, &mut expected, &Fault::Pause(i));
            }
        }
        apply(&mut net, &mut expected, &Fault::Heal);
        (net.loss, net.repeat, net.delay) = (0.0, 0.0, 3);
        net.run(Duration::from_secs(120));
        net.assert_views_equal();
        net.nodes.iter().for_each(assert_no_regression);
        let reader = net.running().next();
        for (i, outcome) in expected.iter().enumerate() {
            let Some(reader) = reader else { break };
            let state = net.state(reader, i);
            match outcome {
                Expected::Runs => prop_assert_eq!(state, Some(MemberState::Alive)),
                // A departure that no daemon received looks like a crash.
                Expected::Left => prop_assert!(
                    matches!(state, None | Some(MemberState::Leaving | MemberState::Dead))
                ),
                Expected::Crashed | Expected::Paused => prop_assert!(
                    matches!(state, None | Some(MemberState::Dead))
                ),
            }
        }
    }
}
