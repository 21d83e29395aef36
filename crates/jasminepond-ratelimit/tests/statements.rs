//! Statements about limits that overtake each other, and messages between daemons.

use std::time::Duration;

use jasminepond_ratelimit::{
    Ask, Availability, Daemon, Grant, LimitChange, Message, ProcessId, RateLimit, RateLimiter,
    Statement,
};
use jasminepond_types::Timestamp;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

const SECOND: Duration = Duration::from_secs(1);

const START: Timestamp = Timestamp::from_micros(1_000_000);

fn process(number: u64) -> ProcessId {
    ProcessId::new("i-1", Some(number), "10.0.0.1:80".parse().unwrap())
}

fn limit(per_second: f64) -> Option<RateLimit> {
    RateLimit::new(per_second)
}

/// A limiter that grants its permits itself.
fn alone() -> RateLimiter {
    let mut limiter = RateLimiter::new("a".into());
    limiter.set_daemons(START, vec![]);
    limiter
}

/// Number of requests that can be sent in a period with a new demand every millisecond.
fn sends(limiter: &mut RateLimiter, from: Timestamp, time: Duration) -> usize {
    let mut sends = 0;
    for millis in 0..time.as_millis() as u32 {
        let now = from + millis * MS;
        limiter.request(now, process(1), 1, now);
        let permitted = limiter.availability(now, process(1)) == Availability::Permitted;
        sends += usize::from(permitted && limiter.take(now, process(1)));
    }
    sends
}

/// A response that was under way when the limit was stated arrives after it.
#[test]
fn a_response_to_an_earlier_request_does_not_lift_or_raise_a_limit() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START - 20 * MS, limit(5.0));
    for stated in [None, limit(50.0)] {
        let change = limiter.observe(START + 5 * MS, process(1), START - 10 * MS, stated);
        assert_eq!(change, None);
        assert_eq!(limiter.limit(process(1)), limit(5.0));
    }
    let lower = limiter.observe(START + 5 * MS, process(1), START - 10 * MS, limit(2.0));
    assert_eq!(lower, Some(LimitChange::Limited(limit(2.0).unwrap())));
    let lifted = limiter.observe(START + 30 * MS, process(1), START + 10 * MS, None);
    assert_eq!(lifted, Some(LimitChange::Lifted));
    assert_eq!(
        limiter.availability(START + 30 * MS, process(1)),
        Availability::Unlimited
    );
}

/// What daemons tell each other has an age, so that of two statements the newer one holds.
#[test]
fn an_older_statement_of_another_daemon_does_not_restore_a_lifted_limit() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START, limit(5.0));
    limiter.observe(START + SECOND, process(1), START + 990 * MS, None);
    let ask = |age| {
        Message::Ask(Ask {
            process: process(1),
            id: 1,
            statement: Statement {
                limit: limit(5.0),
                age,
            },
            count: 1,
            wait: SECOND,
        })
    };
    let from = "10.0.0.2:80".parse().unwrap();
    let older = limiter.receive(START + 2 * SECOND, from, ask(1_500 * MS));
    assert_eq!(older.change, None);
    let newer = limiter.receive(START + 2 * SECOND, from, ask(500 * MS));
    assert_eq!(
        newer.change,
        Some(LimitChange::Limited(limit(5.0).unwrap()))
    );
}

/// A new process under the same id and address starts without a limit.
#[test]
fn a_limit_ends_with_its_process() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START, limit(5.0));
    let next = limiter.availability(START, process(2));
    assert_eq!(next, Availability::Unlimited);
}

/// Permits that a daemon did not use, for example while it was frozen, do not add to those
/// of a later time.
#[test]
fn permits_expire() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START, limit(100.0));
    limiter.request(START, process(1), 40, START + SECOND);
    assert_eq!(limiter.expected(START, process(1)), 40);
    let later = START + 5 * SECOND;
    assert_eq!(
        limiter.availability(later, process(1)),
        Availability::Unknown
    );
    assert!(!limiter.take(later, process(1)));
}

/// The time of the next permit was computed for the previous limit.
#[test]
fn a_raised_limit_takes_effect_at_once() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START, limit(0.1));
    assert!(sends(&mut limiter, START, SECOND) <= 1);
    let now = START + SECOND;
    limiter.observe(now, process(1), now, limit(100.0));
    limiter.request(now, process(1), 1, now + SECOND);
    let Availability::NotBefore(at) = limiter.availability(now, process(1)) else {
        panic!("a permit is expected");
    };
    assert!(at <= now + 100 * MS, "{at:?}");
}

/// Only a response can lift a limit, so even a limit of zero lets a request through now and
/// then.
#[test]
fn a_limit_of_zero_is_tried_rarely() {
    let mut limiter = alone();
    limiter.observe(START, process(1), START, limit(0.0));
    let sends = sends(&mut limiter, START, 60 * SECOND);
    assert!((6..=13).contains(&sends), "{sends}");
}

/// A daemon that does not know the others yet could grant the whole limit once more.
#[test]
fn no_permits_are_granted_before_the_other_daemons_are_known() {
    let mut limiter = RateLimiter::new("a".into());
    limiter.observe(START, process(1), START, limit(100.0));
    assert_eq!(sends(&mut limiter, START, 5 * SECOND), 0);
    limiter.set_daemons(START, vec![]);
    assert!(sends(&mut limiter, START + 5 * SECOND, 5 * SECOND) > 400);
}

/// After a partition, the smaller part grants its share only.
#[test]
fn a_minority_of_the_daemons_grants_its_share() {
    let other = |number: u16, running| Daemon {
        instance: format!("b{number}").into(),
        address: ([10, 0, 0, 2], number).into(),
        running,
    };
    let mut limiter = RateLimiter::new("a".into());
    limiter.set_daemons(START, (0..5).map(|number| other(number, false)).collect());
    limiter.observe(START, process(1), START, limit(60.0));
    let sends = sends(&mut limiter, START, 10 * SECOND);
    assert!((90..=110).contains(&sends), "{sends}");
}

/// A daemon that is about to stop leaves the permits to the others.
#[test]
fn a_leaving_daemon_grants_no_permits() {
    let mut limiter = alone();
    limiter.set_leaving();
    limiter.observe(START, process(1), START, limit(100.0));
    assert_eq!(sends(&mut limiter, START, SECOND), 0);
}

/// Memory stays bounded while servers that state limits come and go.
#[test]
fn limits_of_processes_that_are_gone_are_forgotten() {
    let mut limiter = alone();
    for number in 0..30_000 {
        let now = START + number as u32 * MS;
        limiter.observe(now, process(number), now, limit(5.0));
    }
    let known = (0..30_000).filter(|number| limiter.limit(process(*number)).is_some());
    assert!(known.count() <= 10_000);
    assert!(limiter.limit(process(29_999)).is_some());
}

proptest! {
    #[test]
    fn any_datagram_is_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::decode(&bytes);
        let mut prefixed = vec![b'L', 1, 1 + bytes.len() as u8 % 2];
        prefixed.extend(bytes);
        if let Ok(message) = Message::decode(&prefixed) {
            let mut limiter = alone();
            let from = "10.0.0.2:80".parse().unwrap();
            limiter.receive(START, from, message);
            while limiter.next_message().is_some() {}
        }
    }

    #[test]
    fn messages_survive_encoding(
        number: u64,
        id: u32,
        per_second in prop::option::of(0.0..1e6),
        age in 0..100_000_u32,
        delays in prop::collection::vec(0..60_000_u32, 0..=64),
    ) {
        let statement = Statement { limit: per_second.and_then(RateLimit::new), age: age * MS };
        let message = Message::Grant(Grant {
            process: process(number),
            id,
            statement,
            delays: delays.into_iter().map(|delay| delay * MS).collect(),
            next_in: age * MS,
        });
        let bytes = message.encode();
        prop_assert!(bytes.len() <= 176);
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
        prop_assert!(Message::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}
