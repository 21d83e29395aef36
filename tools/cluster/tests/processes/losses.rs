//! Daemons that are killed or paused while they work.

use jasminepond_cluster::Signal;

use crate::support::{Callers, Ended, Record, Session, Tier, foundry, order, until};

const SUCCESSES: usize = 150;

/// Callers of daemons that were not harmed have an answer to every request.
fn assert_uncut(records: &[Record], harmed: &[usize]) {
    for record in records
        .iter()
        .filter(|record| !harmed.contains(&record.daemon))
    {
        let answered = matches!(record.ended, Ended::Answered(_));
        assert!(answered, "{record:?}");
    }
}

fn wait_until_seen(tier: &Tier, by: usize, instance: &str, state: &str) {
    until("the other daemons to notice", || {
        (tier.seen(by, instance) == state).then_some(())
    });
}

/// Guards against an order that runs twice, a wrong "not run", and searches that
/// stay incomplete after a daemon has gone without a word.
#[test]
fn killing_a_daemon_harms_only_its_own_callers() {
    let mut tier = foundry(4);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(SUCCESSES);
    tier.nodes[1].process.signal(Signal::KILL).expect("it runs");
    tier.nodes[1].process.wait().expect("it ends");
    callers.wait_for_successes(SUCCESSES);
    wait_until_seen(&tier, 0, "entry-2", "dead");
    callers.wait_for_successes(SUCCESSES);
    tier.wait_until_complete(&[0, 2, 3]);
    let records = callers.stop();
    assert_uncut(&records, &[1]);
    tier.check(&records);

    tier.restart(1).expect("it starts again");
    tier.wait_until_joined().expect("it joins again");
    tier.wait_until_complete(&[0, 1, 2, 3]);
}

/// Guards against a key of a killed daemon that runs again under its next run.
#[test]
fn keys_of_a_killed_daemon_never_run_again() {
    let mut tier = foundry(2);
    let (used, unused) = (tier.key(1), tier.key(1));
    let done = tier.ask(1, "/v1/execute", &order(&used));
    assert_eq!(done.body["outcome"], "done", "{done:?}");
    tier.nodes[1].process.signal(Signal::KILL).expect("it runs");
    tier.nodes[1].process.wait().expect("it ends");
    for key in [&used, &unused] {
        let answer = tier.ask(0, "/v1/execute", &order(key));
        assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
    }
    tier.restart(1).expect("it starts again");
    tier.wait_until_joined().expect("it joins again");
    for daemon in [0, 1] {
        for key in [&used, &unused] {
            let answer = tier.ask(daemon, "/v1/execute", &order(key));
            assert_eq!(answer.kind(), Some("outcome_unknown"), "{answer:?}");
        }
    }
    assert_eq!(tier.executions_of(&used), 1);
    assert_eq!(tier.executions_of(&unused), 0);
}

/// Guards against a daemon that goes on after a pause as if no time had passed:
/// requests whose deadline is over must not reach a server.
#[test]
fn a_paused_daemon_runs_nothing_that_is_over() {
    let tier = foundry(4);
    let callers = Callers::start(&tier);
    callers.wait_for_successes(SUCCESSES);
    let key = tier.key(1);
    let paused = &tier.nodes[1];
    paused.process.signal(Signal::STOP).expect("it runs");
    // Received by the system for the daemon, which does not run.
    let mut late = Session::open(paused.addresses.callers).expect("the listener is open");
    late.send("/v1/execute", &order(&key)).expect("sent");
    // By then the deadline of every request that it had has passed.
    wait_until_seen(&tier, 0, "entry-2", "dead");
    callers.wait_for_successes(SUCCESSES);
    tier.wait_until_complete(&[0, 2, 3]);
    paused.process.signal(Signal::CONT).expect("it is there");
    let late = late.receive().expect("a whole answer");
    tier.wait_until_joined().expect("it joins again");
    callers.wait_for_successes(SUCCESSES);
    let records = callers.stop();
    assert_uncut(&records, &[]);
    tier.check(&records);
    let ran = tier.executions_of(&key);
    let not_run = late.body["error"]["not_run"] == true;
    assert!(
        ran <= 1 && !(not_run && ran > 0),
        "{late:?}, ran {ran} times"
    );
    tier.wait_until_complete(&[0, 1, 2, 3]);
}
