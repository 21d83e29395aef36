//! Simulated tiers whose daemons start, stop, pause and are partitioned.

mod common;

use std::time::Duration;

use common::{Network, instance};
use jasminepond_membership::{
    Body, Member, MemberState, Message, Output, Record, ReportKind, ServerReport, Settings,
};
use jasminepond_types::{Incarnation, Millis, Revision};
use test_case::test_case;

const MINUTE: Duration = Duration::from_secs(60);

fn started(n: usize) -> Network {
    let mut net = Network::new(Settings::default(), n as u64);
    net.start(n);
    let joined = net.run_until(MINUTE, |net| {
        net.views().iter().all(|v| v.len() == n)
            && net.nodes.iter().all(|n| n.membership.is_joined())
    });
    assert!(joined.is_some(), "{n} daemons did not find each other");
    net
}

/// Guards against tier sizes and loss rates at which daemons do not discover each
/// other or declare healthy ones dead.
#[test_case(2, 0.0)]
#[test_case(7, 0.0)]
#[test_case(7, 0.1)]
#[test_case(70, 0.1)]
fn healthy_daemons_stay_alive(n: usize, loss: f64) {
    let mut net = started(n);
    net.loss = loss;
    net.run(MINUTE * 3);
    let died = |o: &Output| matches!(o, Output::Changed(c) if c.to == Some(MemberState::Dead));
    assert!(net.nodes.iter().all(|n| !n.outputs.iter().any(died)));
    net.loss = 0.0;
    net.run(MINUTE);
    for j in 0..n {
        assert!(net.all_see(j, MemberState::Alive), "{j}");
    }
    net.assert_views_equal();
}

/// Guards against a dead daemon that stays in the view or is removed at different
/// times, and against rejection of its next incarnation.
#[test]
fn crashed_daemon_is_detected_and_removed() {
    let mut net = started(7);
    net.kill(3);
    let dead = net.run_until(MINUTE, |net| net.all_see(3, MemberState::Dead));
    assert!(
        dead.is_some_and(|t| t < Duration::from_secs(12)),
        "{dead:?}"
    );
    // A daemon that learns of the crash later removes the member at the same time.
    net.run(net.settings.forget_after / 2);
    net.restart(5);
    net.run(net.settings.forget_after / 2 + Duration::from_secs(5));
    assert!(net.running().all(|i| net.state(i, 3).is_none()));
    net.restart(3);
    let back = net.run_until(MINUTE, |net| net.all_see(3, MemberState::Alive));
    assert!(back.is_some(), "the new incarnation was rejected");
}

/// Guards against a departure that is later reported as a crash.
#[test]
fn departure_is_not_reported_as_crash() {
    let mut net = started(7);
    net.leave(2);
    net.run(Duration::from_millis(500));
    net.kill(2);
    net.run(MINUTE);
    assert!(net.all_see(2, MemberState::Leaving));
    let crashed =
        |output: &Output| matches!(output, Output::Changed(c) if c.to == Some(MemberState::Dead));
    assert!(net.nodes.iter().all(|n| !n.outputs.iter().any(crashed)));
}

/// Guards against the sides of a partition never contacting each other again.
#[test_case(7, 3)]
#[test_case(40, 20)]
fn partition_heals(n: usize, cut: usize) {
    let mut net = started(n);
    for node in &mut net.nodes[..cut] {
        node.partition = 1;
    }
    net.run(MINUTE);
    assert_eq!(net.state(0, n - 1), Some(MemberState::Dead));
    assert_eq!(net.state(n - 1, 0), Some(MemberState::Dead));
    for node in &mut net.nodes {
        node.partition = 0;
    }
    let healed = net.run_until(MINUTE * 2, |net| {
        (0..n).all(|j| net.all_see(j, MemberState::Alive))
    });
    assert!(healed.is_some(), "the halves did not find each other");
    net.run(MINUTE);
    net.assert_views_equal();
}

/// Guards against a partition that outlasts the removal of the other side from the
/// view: a tombstone must not keep out a member that is itself running.
#[test]
fn removed_members_rejoin_with_same_incarnation() {
    let settings = Settings {
        forget_after: Duration::from_secs(30),
        ..Settings::default()
    };
    let mut net = Network::new(settings, 5);
    net.start(6);
    net.run(Duration::from_secs(10));
    for node in &mut net.nodes[..3] {
        node.partition = 1;
    }
    net.run(MINUTE * 2);
    assert_eq!(net.state(0, 5), None);
    for node in &mut net.nodes {
        node.partition = 0;
    }
    net.run(MINUTE);
    for j in 0..6 {
        assert!(net.all_see(j, MemberState::Alive), "{j}");
    }
}

/// Guards against a resumed daemon that gossips its stale view or acts on it. One
/// member crashes and one leaves during the pause, and both are removed by the
/// others.
#[test]
fn resumed_daemon_does_not_act_on_stale_view() {
    let settings = Settings {
        forget_after: Duration::from_secs(20),
        ..Settings::default()
    };
    let mut net = Network::new(settings, 9);
    net.start(7);
    net.run(Duration::from_secs(10));
    net.pause(0);
    net.kill(1);
    net.leave(2);
    net.run(Duration::from_secs(1));
    net.kill(2);
    net.run(MINUTE);
    for node in &mut net.nodes {
        node.outputs.clear();
    }
    net.nodes[0].partition = 1;
    for output in net.resume(0) {
        let Output::Send { message, .. } = output else {
            continue;
        };
        assert_eq!((message.records, message.configs), (vec![], vec![]));
    }
    net.run(Duration::from_secs(2));
    assert!(!net.nodes[0].membership.is_confirmed());
    let declared_dead =
        |o: &Output| matches!(o, Output::Changed(c) if c.to == Some(MemberState::Dead));
    assert!(!net.nodes[0].outputs.iter().any(declared_dead));
    net.nodes[0].partition = 0;
    net.run(Duration::from_secs(2));
    assert!(net.nodes[0].membership.is_confirmed());
    net.run(MINUTE);
    for i in 3..7 {
        assert_eq!(net.state(i, 0), Some(MemberState::Alive));
        assert_eq!(net.state(i, 1), None);
        let outputs = &net.nodes[i].outputs;
        let revived = |o: &&Output| matches!(o, Output::Changed(c) if c.instance != instance(0));
        assert_eq!(outputs.iter().find(revived), None);
    }
}

/// Guards against a reply to a request from before the pause, still queued in the
/// socket, that confirms the view after it.
#[test]
fn reply_from_before_pause_does_not_confirm_view() {
    let mut net = started(2);
    let now = net.now;
    let asked = net.resume(0);
    let mut answers = Vec::new();
    for output in asked {
        let Output::Send { message, .. } = output else {
            continue;
        };
        let peer = &mut net.nodes[1].membership;
        let from = message.from.membership_address;
        answers.extend(peer.receive(now, from, *message));
    }
    _ = net.resume(0);
    assert!(!answers.is_empty());
    for output in answers {
        let Output::Send { message, .. } = output else {
            continue;
        };
        let from = message.from.membership_address;
        net.nodes[0].membership.receive(now, from, *message);
    }
    assert!(!net.nodes[0].membership.is_confirmed());
}

/// Guards against daemons that stay unconfirmed forever after the whole tier was
/// paused, or because there is no other daemon to reply.
#[test_case(5)]
#[test_case(1)]
fn daemons_paused_together_confirm_each_other(n: usize) {
    let mut net = started_without_join_check(n);
    (0..n).for_each(|i| net.pause(i));
    net.run(MINUTE);
    (0..n).for_each(|i| _ = net.resume(i));
    net.run(Duration::from_secs(10));
    assert!(net.nodes.iter().all(|n| n.membership.is_confirmed()));
}

fn started_without_join_check(n: usize) -> Network {
    let mut net = Network::new(Settings::default(), 3);
    net.start(n);
    net.run(Duration::from_secs(10));
    net
}

/// Guards against two daemons with the same instance that refute each other
/// forever.
#[test]
fn older_incarnation_is_notified_of_newer_one() {
    let mut net = started(4);
    net.pause(1);
    let old = net.nodes[1].membership.me().clone();
    net.restart(1);
    net.run(MINUTE);
    let message = Message {
        from: old.clone(),
        body: Body::Gossip,
        records: Vec::new(),
        configs: Vec::new(),
        reports: Vec::new(),
    };
    let now = net.now;
    let out = net.nodes[0]
        .membership
        .receive(now, old.membership_address, message);
    let notified = |o: &Output| {
        matches!(o, Output::Send { message, .. }
            if message.records.iter().any(|r| r.0.incarnation == Incarnation(2)))
    };
    assert!(out.iter().any(notified));
    assert!(net.all_see(1, MemberState::Alive));
}

/// Guards against an older report that replaces a newer one.
#[test]
fn newest_report_of_a_reporter_is_kept() {
    let mut net = started(2);
    let now = net.now;
    let server: jasminepond_types::ServerId = "heat-4".parse().unwrap();
    let from = net.nodes[1].membership.me().clone();
    let report = |sequence, kind| ServerReport {
        server: server.clone(),
        kind,
        reporter: from.instance.clone(),
        incarnation: from.incarnation,
        sequence,
        age: Millis(5),
    };
    let message = Message {
        from: from.clone(),
        body: Body::Gossip,
        records: Vec::new(),
        configs: Vec::new(),
        reports: vec![report(2, ReportKind::Back), report(1, ReportKind::Lost)],
    };
    let receiver = &mut net.nodes[0].membership;
    let out = receiver.receive(now, from.membership_address, message);
    assert!(out.contains(&Output::Report(report(2, ReportKind::Back))));
    let known: Vec<_> = receiver.reports(now).collect();
    assert_eq!(known, [report(2, ReportKind::Back)]);
}

/// Guards against reports that do not reach all daemons or never expire.
#[test]
fn reports_reach_all_daemons_and_expire() {
    let mut net = started(30);
    let now = net.now;
    let server: jasminepond_types::ServerId = "heat-4".parse().unwrap();
    let reporter = &mut net.nodes[4].membership;
    reporter.report(now, server.clone(), ReportKind::Lost);
    reporter.report(now, server.clone(), ReportKind::Back);
    net.run(Duration::from_secs(6));
    for node in &net.nodes {
        let kinds: Vec<_> = node.membership.reports(net.now).map(|r| r.kind).collect();
        assert_eq!(kinds, [ReportKind::Back]);
    }
    net.run(net.settings.report_ttl);
    for node in &net.nodes {
        assert_eq!(node.membership.reports(net.now).count(), 0);
    }
}

/// Guards against a view, and thus a status page, that lacks the configuration
/// revision of a daemon.
#[test]
fn config_revisions_reach_all_daemons() {
    let mut net = started(30);
    for (i, node) in net.nodes.iter_mut().enumerate() {
        node.membership
            .set_config(Revision(40 + i as u64), &[7; 32]);
        node.membership.set_config(Revision(39), &[7; 32]);
    }
    net.run(MINUTE);
    for node in &net.nodes {
        let view = node.membership.view();
        let revisions: Vec<_> = view.members().iter().map(|m| m.config.0.get()).collect();
        assert_eq!(revisions, (40..70).collect::<Vec<_>>());
    }
}

/// Guards against slow convergence after a power failure, when all instances of a site
/// start within half a second. Daemons that join early know only some of the others, and
/// daemons with different views divide searches differently. The bound is the time within
/// which the site must serve again.
#[test_case(30)]
#[test_case(200)]
fn staggered_starts_converge_within_one_second(n: usize) {
    let mut net = Network::new(Settings::default(), n as u64);
    net.start(n);
    net.run(Duration::from_millis(20));
    let spread = Duration::from_millis(500);
    for i in 0..n {
        net.kill(i);
    }
    for i in 0..n {
        // The order is not that of the instances, and seeds do not start first.
        net.restart((i * 7 + n / 2) % n);
        net.run(spread / n as u32);
    }
    let known = net.run_until(MINUTE, |net| net.views().iter().all(|v| v.len() == n));
    assert!(
        known.is_some_and(|t| t <= Duration::from_secs(1)),
        "{known:?}"
    );
}

/// Guards against daemons that send work to one which reaches no backend server, and against
/// one that stays excluded after it reaches them again.
#[test]
fn all_daemons_learn_which_ones_reach_no_server() {
    let mut net = started(40);
    net.run(MINUTE);
    let seen = |net: &Network, reaches: bool| {
        let others = net.nodes.iter().skip(3);
        others
            .filter(|node| {
                let view = node.membership.view();
                let without = (0..3).map(|i| view.get(&instance(i)).unwrap());
                without
                    .clone()
                    .all(|member| member.reaches_servers == reaches)
                    && view.members().iter().filter(|m| !m.reaches_servers).count()
                        == if reaches { 0 } else { 3 }
            })
            .count()
    };
    for reaches in [false, true] {
        for i in 0..3 {
            net.set_reaches_servers(i, reaches);
        }
        let done = net.run_until(Duration::from_secs(1), |net| seen(net, reaches) == 37);
        assert!(done.is_some(), "{} of 37 know it", seen(&net, reaches));
    }
}

/// Guards against records that earlier versions of the protocol cannot decode.
#[test]
fn a_record_without_servers_has_the_same_fields() {
    let mut net = started(2);
    net.set_reaches_servers(1, false);
    let encoded = |member: &Member| {
        let mut buf = Vec::new();
        ciborium::into_writer(member, &mut buf).unwrap();
        buf
    };
    let me = net.nodes[1].membership.me().clone();
    let reaching = Member {
        reaches_servers: true,
        ..me.clone()
    };
    assert_eq!(encoded(&me), encoded(&reaching));
    let message = Message {
        from: reaching,
        body: Body::Gossip,
        records: vec![Record(me, 0)],
        configs: Vec::new(),
        reports: Vec::new(),
    };
    let decoded = Message::decode(&message.encode()).unwrap();
    assert_eq!(decoded, message);
}
