//! What several limiters grant and tell each other together.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jasminepond_ratelimit::{
    Ask, Availability, Daemon, Message, ProcessId, RateLimit, RateLimiter, Statement,
};
use jasminepond_types::Timestamp;
use test_case::test_case;

const MS: Duration = Duration::from_millis(1);

const SECOND: Duration = Duration::from_secs(1);

fn process() -> ProcessId {
    ProcessId::new("i-1", Some(1), "10.0.0.1:80".parse().unwrap())
}

fn name(daemon: usize) -> Arc<str> {
    format!("d{daemon}").into()
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], daemon as u16 + 1))
}

/// Limiters that know each other.
fn limiters(daemons: usize, now: Timestamp) -> Vec<RateLimiter> {
    let daemon = |other| Daemon {
        instance: name(other),
        address: address(other),
        running: true,
    };
    let limiter = |number| {
        let mut limiter = RateLimiter::new(name(number));
        let others = (0..daemons).filter(|other| *other != number);
        limiter.set_daemons(now, others.map(daemon).collect());
        limiter
    };
    (0..daemons).map(limiter).collect()
}

/// Some daemons reach only the coordinator, the others only the backup, and all want more
/// than the limit.
#[test_case(1.0)]
#[test_case(22.8)]
#[test_case(400.0)]
fn the_coordinator_and_the_backup_together_stay_within_the_allowed_window(per_second: f64) {
    let start = Timestamp::from_millis(1);
    let mut limiters = limiters(6, start);
    let mut granted = Vec::new();
    for millis in (0..30_000).step_by(10) {
        let now = start + millis * MS;
        for limiter in &mut limiters {
            let ask = Ask {
                process: process(),
                id: millis,
                statement: Statement {
                    limit: RateLimit::new(per_second),
                    age: Duration::ZERO,
                },
                count: 8,
                wait: 100 * MS,
            };
            limiter.receive(now, address(9), Message::Ask(ask));
            while let Some((_, message)) = limiter.next_message() {
                if let Message::Grant(grant) = message {
                    granted.extend(grant.delays.iter().map(|delay| now + *delay));
                }
            }
        }
    }
    granted.sort_unstable();
    // A permit can be used for half a second.
    let span = 4 * SECOND + 500 * MS;
    let window = |(first, at): (usize, &Timestamp)| {
        let inside = |other: &&Timestamp| other.since(*at) < span;
        granted[first..].iter().take_while(inside).count()
    };
    let busiest = granted.iter().enumerate().map(window).max().unwrap_or(0);
    let allowed = (1.5 * 4.0 * per_second + 5.0) as usize;
    assert!(busiest <= allowed, "{busiest} of {allowed}");
    assert!(
        granted.len() as f64 >= 29.0 * per_second,
        "{}",
        granted.len()
    );
}

/// While the coordinator does not respond, the others still use a part of the limit.
#[test]
fn the_backup_grants_permits_while_the_coordinator_does_not_respond() {
    let start = Timestamp::from_millis(1);
    let mut limiters = limiters(6, start);
    limiters[0].observe(start, process(), start, RateLimit::new(30.0));
    let coordinator = limiters[0].report(start, process()).unwrap().coordinator;
    let silent = (0..6).find(|number| Some(name(*number)) == coordinator);
    let asker = (0..6).find(|number| Some(*number) != silent).unwrap();
    limiters[asker].observe(start, process(), start, RateLimit::new(30.0));
    let mut sends = 0;
    for millis in (0..5_000).step_by(10) {
        let now = start + millis * MS;
        limiters[asker].request(now, process(), 1, now + SECOND);
        while let Some((to, message)) = limiters[asker].next_message() {
            let to = usize::from(to.port()) - 1;
            if Some(to) == silent {
                continue;
            }
            limiters[to].receive(now, address(asker), message);
            while let Some((_, message)) = limiters[to].next_message() {
                limiters[asker].receive(now, address(to), message);
            }
        }
        let permitted = limiters[asker].availability(now, process()) == Availability::Permitted;
        sends += u32::from(permitted && limiters[asker].take(now, process()));
    }
    assert!((25..=60).contains(&sends), "{sends} of 150");
}

/// A daemon that has not received a limit itself would send without a permit. No daemon has
/// to tell all others.
#[test_case(7; "small site")]
#[test_case(195; "large site")]
#[test_case(3_900; "target size")]
fn all_daemons_are_told_of_a_limit(daemons: usize) {
    let now = Timestamp::from_millis(1);
    let mut limiters = limiters(daemons, now);
    limiters[0].observe(now, process(), now, RateLimit::new(8.0));
    assert!(deliver_all(&mut limiters, now) <= 9);
    let told = limiters.iter().filter(|l| l.limit(process()).is_some());
    assert_eq!(told.count(), daemons);

    let later = now + 10 * SECOND;
    limiters[0].observe(later, process(), later, None);
    assert!(deliver_all(&mut limiters, later) <= 9);
    let told = limiters.iter().filter(|l| l.limit(process()).is_some());
    assert_eq!(told.count(), 0, "a lifted limit is forgotten");
}

/// Delivers messages until there are none. Returns the largest number that one daemon sent.
fn deliver_all(limiters: &mut [RateLimiter], now: Timestamp) -> usize {
    let mut sent = vec![0; limiters.len()];
    for _ in 0..20 {
        let before = sent.clone();
        for from in 0..limiters.len() {
            while let Some((to, message)) = limiters[from].next_message() {
                sent[from] += 1;
                limiters[usize::from(to.port()) - 1].receive(now, address(0), message);
            }
        }
        if before == sent {
            return sent.into_iter().max().unwrap_or(0);
        }
    }
    panic!("notices are passed on without end");
}

/// Ages exclude the time that messages take. A statement that daemons send to and fro must
/// not seem newer each time, or no response could lift the limit.
#[test]
fn a_statement_that_is_sent_back_does_not_become_newer() {
    let start = Timestamp::from_millis(1);
    let delay = 40 * MS;
    let mut limiters = limiters(2, start);
    limiters[0].observe(start, process(), start, RateLimit::new(5.0));
    let mut now = start;
    for _ in 0..200 {
        now = now + 10 * MS;
        for from in 0..2 {
            limiters[from].request(now, process(), 1, now + SECOND);
            while let Some((_, message)) = limiters[from].next_message() {
                limiters[1 - from].receive(now + delay, address(from), message);
            }
        }
    }
    for limiter in &limiters {
        let age = limiter.report(now, process()).unwrap().age;
        assert!(age >= now.since(start) - 2 * delay, "{age:?}");
    }
}
