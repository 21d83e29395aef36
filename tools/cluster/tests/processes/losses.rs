//! Daemons that are killed or paused under load.

use jasminepond_cluster::Signal;

use crate::support::{
    Callers, Outcome, Record, Session, TestCluster, execute_body, foundry, until,
};

const SUCCESSES: usize = 150;

/// Asserts that every request to a daemon outside `failed` got a complete response.
fn assert_answered_except(records: &[Record], failed: &[usize]) {
    for record in records
        .iter()
        .filter(|record| !failed.contains(&record.daemon))
    {
        let answered = matches!(record.outcome, Outcome::Answered(_));
        assert!(answered, "{record:?}");
    }
}

fn wait_for_member_state(cluster: &TestCluster, observer: usize, instance: &str, state: &str) {
    until("another daemon to see the new state", || {
        (cluster.member_state(observer, instance) == state).then_some(())
    });
}

/// Guards against a request that is executed twice, a wrong `not_run`, and searches
/// that stay incomplete after a daemon was killed.
#[test]
fn killing_a_daemon_affects_only_its_own_callers() {
    let mut cluster = foundry(4);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(SUCCESSES);
    cluster.nodes[1]
        .process
        .signal(Signal::KILL)
        .expect("the process runs");
    cluster.nodes[1].process.wait().expect("the process exits");
    callers.wait_for_successes(SUCCESSES);
    wait_for_member_state(&cluster, 0, "entry-2", "dead");
    callers.wait_for_successes(SUCCESSES);
    cluster.wait_until_complete(&[0, 2, 3]);
    let records = callers.stop();
    assert_answered_except(&records, &[1]);
    cluster.check(&records);

    cluster.restart(1).expect("the daemon restarts");
    cluster.wait_until_joined().expect("the daemon rejoins");
    cluster.wait_until_complete(&[0, 1, 2, 3]);
}

/// Guards against a key of a killed daemon that is executed again after its restart.
#[test]
fn keys_of_a_killed_daemon_are_never_executed_again() {
    let mut cluster = foundry(2);
    let (used, unused) = (cluster.key(1), cluster.key(1));
    let done = cluster.request(1, "/v1/execute", &execute_body(&used));
    assert_eq!(done.body["outcome"], "done", "{done:?}");
    cluster.nodes[1]
        .process
        .signal(Signal::KILL)
        .expect("the process runs");
    cluster.nodes[1].process.wait().expect("the process exits");
    for key in [&used, &unused] {
        let answer = cluster.request(0, "/v1/execute", &execute_body(key));
        assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
    }
    cluster.restart(1).expect("the daemon restarts");
    cluster.wait_until_joined().expect("the daemon rejoins");
    for daemon in [0, 1] {
        for key in [&used, &unused] {
            let answer = cluster.request(daemon, "/v1/execute", &execute_body(key));
            assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
        }
    }
    assert_eq!(cluster.executions_of(&used), 1);
    assert_eq!(cluster.executions_of(&unused), 0);
}

/// Guards against a daemon that continues after a pause as if no time had passed:
/// requests whose deadline has passed must not reach a server.
#[test]
fn a_resumed_daemon_executes_no_expired_request() {
    let cluster = foundry(4);
    let callers = Callers::start(&cluster);
    callers.wait_for_successes(SUCCESSES);
    let key = cluster.key(1);
    let paused = &cluster.nodes[1];
    paused
        .process
        .signal(Signal::STOP)
        .expect("the process runs");
    // Accepted by the kernel; the daemon is paused.
    let mut late = Session::open(paused.addresses.callers).expect("the listener is open");
    late.send("/v1/execute", &execute_body(&key)).expect("sent");
    // By then the deadlines of all its requests have passed.
    wait_for_member_state(&cluster, 0, "entry-2", "dead");
    callers.wait_for_successes(SUCCESSES);
    cluster.wait_until_complete(&[0, 2, 3]);
    paused
        .process
        .signal(Signal::CONT)
        .expect("the process exists");
    let late = late.receive().expect("a complete response");
    cluster.wait_until_joined().expect("the daemon rejoins");
    callers.wait_for_successes(SUCCESSES);
    let records = callers.stop();
    assert_answered_except(&records, &[]);
    cluster.check(&records);
    let ran = cluster.executions_of(&key);
    let not_run = late.body["error"]["not_run"] == true;
    assert!(
        ran <= 1 && !(not_run && ran > 0),
        "{late:?}, ran {ran} times"
    );
    cluster.wait_until_complete(&[0, 1, 2, 3]);
}
