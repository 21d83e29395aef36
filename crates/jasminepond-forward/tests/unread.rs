//! Servers that do not read the requests sent to them get no more, and those sent to them go
//! elsewhere where that is allowed.

mod sim;

use std::time::Duration;

use jasminepond_forward::{Answer, ForwardSettings, Refusal, Verdict};
use jasminepond_routes::Repeat;
use jasminepond_types::{ErrorKind, Millis};
use sim::{MS, Sim, single};
use test_case::test_case;

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

fn servers(count: usize, repeat: Repeat) -> Sim {
    let mut sim = Sim::new(ForwardSettings::default(), 11);
    for n in 0..count {
        sim.add(&format!("one-{n}"), "one", 20 * MS);
    }
    sim.put_release(1, vec![single(repeat)]);
    sim.run_for(Duration::from_secs(1));
    sim
}

/// Submits a request, and returns its server after that has stopped to read.
fn stop_reading(sim: &mut Sim) -> usize {
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    let conn = sim.conn_of(req);
    let id = sim.forwarder.server_of(conn).unwrap();
    sim.forwarder.set_unread(sim.now, &id, true);
    sim.run_actions();
    sim.servers.iter().position(|s| s.id == id).unwrap()
}

fn set_unread(sim: &mut Sim, index: usize, unread: bool) {
    let id = sim.servers[index].id.clone();
    sim.forwarder.set_unread(sim.now, &id, unread);
    sim.run_actions();
}

/// Guards against further requests to a server that does not read, and against one that stays
/// unused after it has read.
#[test]
fn a_server_that_does_not_read_gets_no_requests_until_it_does() {
    let mut sim = servers(2, Repeat::Never);
    let slow = stop_reading(&mut sim);
    sim.run_for(100 * MS);
    let before = sim.servers[slow].arrived.len();
    for _ in 0..40 {
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.run_for(30 * MS);
    }
    assert_eq!(sim.servers[slow].arrived.len(), before);
    let served = |a: &&sim::Answered| a.summary.verdict == Verdict::Served;
    assert!(sim.answers.iter().filter(served).count() >= 40);
    set_unread(&mut sim, slow, false);
    for _ in 0..40 {
        sim.submit("/one/x", CALLER_TIMEOUT);
        sim.run_for(5 * MS);
    }
    assert!(sim.servers[slow].arrived.len() > before);
}

/// Guards against requests that wait for a server that does not read although they may be
/// repeated, and against a repetition of those that may not.
#[test_case(Repeat::Allowed, 1; "may be repeated")]
#[test_case(Repeat::Never, 0; "must not be repeated")]
fn requests_in_progress_go_elsewhere_where_that_is_allowed(repeat: Repeat, repeats: usize) {
    let mut sim = servers(2, repeat);
    let slow = stop_reading(&mut sim);
    // At once, before the delay of a hedged send.
    sim.run_for(MS);
    assert_eq!(sim.servers[1 - slow].arrived.len(), repeats);
}

/// Guards against requests that add to what waits for the only server, and against a refusal
/// after which callers try again at once.
#[test]
fn requests_without_another_server_are_refused_as_not_run() {
    let mut sim = servers(1, Repeat::Never);
    stop_reading(&mut sim);
    let req = sim.submit("/one/x", CALLER_TIMEOUT);
    sim.run_for(MS);
    let answer = sim.answers.iter().find(|a| a.req == req).unwrap();
    let Some(Answer::Refused(Refusal {
        kind, retry_after, ..
    })) = &answer.answer
    else {
        panic!("{:?}", answer.answer);
    };
    assert_eq!(*kind, ErrorKind::NoBackend);
    assert!(*retry_after >= Some(Millis(300)), "{retry_after:?}");
    assert_eq!(sim.servers[0].arrived.len(), 1);
}
