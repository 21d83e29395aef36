//! Tests of the decisions on the memory held for slow callers and servers, against the 160 MB
//! of the smallest instances.

use std::{net::IpAddr, time::Duration};

use jasminepond_gateway::{
    Admission, Backlog, BacklogLimits, HeldKind, HoldKey, Holder, ResponseRoom, ServerRoom,
};
use jasminepond_types::Timestamp;
use proptest::prelude::*;

const MEMORY_MB: u64 = 160;
const SECOND: Duration = Duration::from_secs(1);

fn backlog() -> Backlog {
    Backlog::new(BacklogLimits::for_memory(MEMORY_MB))
}

fn address(n: u32) -> IpAddr {
    IpAddr::from((0x0a00_0000 + n).to_be_bytes())
}

fn caller(n: u32) -> Holder {
    Holder::Caller(address(n))
}

fn response(backlog: &mut Backlog, now: Timestamp, n: u32) -> HoldKey {
    backlog.open(now, HeldKind::Response, caller(n))
}

/// Guards against memory that grows with the number of callers that do not read: 5,000 of them
/// with 300 KB each would hold 1.5 GB. Those that have been unread for longest are dropped.
#[test]
fn thousands_of_slow_callers_stay_within_the_memory() {
    let mut backlog = backlog();
    let hard = backlog.limits().hard;
    let mut now = Timestamp::ZERO;
    let (mut open, mut dropped) = (Vec::new(), Vec::new());
    for n in 0..5_000 {
        now = now + Duration::from_millis(1);
        let key = response(&mut backlog, now, n);
        open.push(key);
        dropped.extend(backlog.set_response(now, key, 300_000));
        assert!(backlog.total() <= hard, "{} bytes", backlog.total());
    }
    assert!(backlog.peak() <= hard + 300_000);
    // In the order in which they were ready, and no more than needed.
    assert_eq!(dropped, open[..dropped.len()]);
    assert_eq!(open.len() - dropped.len(), hard / 300_000);
    // The rest is dropped in time, and all room is given back.
    let expired = backlog.expired(now + backlog.limits().unread);
    assert_eq!(expired.len(), open.len() - dropped.len());
    assert_eq!(backlog.total(), 0);
    for key in open {
        backlog.close(key);
    }
    assert_eq!(backlog.held_for(&caller(1)), 0);
}

/// Guards against dropping responses of callers that read slowly but steadily while there is
/// room, and against keeping one that is read a byte at a time for ever.
#[test]
fn a_response_is_kept_while_it_is_read() {
    let mut backlog = backlog();
    let start = Timestamp::ZERO;
    let (steady, idle) = (
        response(&mut backlog, start, 1),
        response(&mut backlog, start, 2),
    );
    backlog.set_response(start, steady, 1_000);
    backlog.set_response(start, idle, 1_000);
    let longest = backlog.limits().longest.as_secs();
    for second in 1..longest {
        let now = start + SECOND * second as u32;
        let expired = backlog.expired(now);
        match second {
            5 => assert_eq!(expired, [idle]),
            _ => assert!(expired.is_empty(), "{second} s: {expired:?}"),
        }
        backlog.set_response(now, steady, 1_000 - second as usize);
    }
    let end = start + backlog.limits().longest;
    assert_eq!(backlog.expired(end), [steady]);
    // The next response of a connection is a new one.
    backlog.set_response(end, steady, 500);
    assert!(backlog.expired(end + SECOND).is_empty());
}

/// Guards against a caller that keeps its room by asking for more without reading.
#[test]
fn further_responses_do_not_extend_the_time() {
    let mut backlog = backlog();
    let mut now = Timestamp::ZERO;
    let key = response(&mut backlog, now, 1);
    for bytes in 1..=5 {
        backlog.set_response(now, key, bytes * 1_000);
        assert!(backlog.expired(now).is_empty());
        now = now + SECOND;
    }
    assert_eq!(backlog.expired(now), [key]);
}

/// Guards against large requests that are accepted without room, and against small ones that
/// are refused because of others.
#[test]
fn only_large_requests_are_refused_beyond_the_bound() {
    let mut backlog = backlog();
    let limits = *backlog.limits();
    let now = Timestamp::ZERO;
    let mut admit = |n: u32, bytes: usize| {
        let key = backlog.open(now, HeldKind::Request, caller(n));
        (key, backlog.set_request(key, bytes), backlog.total())
    };
    let mut accepted = Vec::new();
    let refused = (0..).find_map(|n| match admit(n, 256 << 10) {
        (key, Admission::Accept, total) => {
            assert!(total <= limits.daemon);
            accepted.push(key);
            None
        }
        (_, Admission::Refuse { retry_after }, _) => Some(retry_after),
    });
    assert!(refused.is_some_and(|wait| !wait.duration().is_zero()));
    assert_eq!(accepted.len(), limits.daemon / (256 << 10));
    let (_, small, total) = admit(1_000_000, limits.small_request);
    assert_eq!(small, Admission::Accept);
    // With the small requests of all 2,500 connections of callers, the process stays within half
    // of its memory.
    assert!(total + 2_500 * limits.small_request <= MEMORY_MB as usize * 1_000_000 / 2);
    backlog.close(accepted[0]);
    let key = backlog.open(now, HeldKind::Request, caller(7));
    assert_eq!(backlog.set_request(key, 200_000), Admission::Accept);
}

/// Guards against one address that takes all of the room of the others.
#[test]
fn one_caller_does_not_take_all_room() {
    let mut backlog = backlog();
    let now = Timestamp::ZERO;
    let mut admit = |n: u32| {
        let key = backlog.open(now, HeldKind::Request, caller(n));
        backlog.set_request(key, 250_000)
    };
    let accepted = (0..500).filter(|_| admit(1) == Admission::Accept).count();
    assert_eq!(accepted, backlog.limits().caller / 250_000);
    let key = backlog.open(now, HeldKind::Request, caller(2));
    assert_eq!(backlog.set_request(key, 250_000), Admission::Accept);
}

/// Guards against further requests to a server that does not read, against a state that changes
/// with every write, and against a server that stays full after its connections have ended.
#[test]
fn a_server_that_does_not_read_is_full_until_it_has_drained() {
    let mut backlog = backlog();
    let limit = backlog.limits().server;
    let server = |name: &str| Holder::Server(name.into());
    let mut open = |name| backlog.open(Timestamp::ZERO, HeldKind::ServerRequest, server(name));
    let (one, two, other) = (open("slow"), open("slow"), open("other"));
    let mut set = |key, bytes| backlog.set_server_request(key, bytes);
    assert_eq!(set(one, limit - 1), ServerRoom::Unchanged);
    assert_eq!(set(other, limit - 1), ServerRoom::Unchanged);
    assert_eq!(set(two, 1), ServerRoom::Full);
    assert_eq!(set(two, 2), ServerRoom::Unchanged);
    assert_eq!(set(one, 10), ServerRoom::Unchanged);
    assert_eq!(set(one, 0), ServerRoom::Unchanged);
    assert_eq!(backlog.full_servers(), 1);
    assert_eq!(backlog.close(two), ServerRoom::Drained);
    assert_eq!(backlog.full_servers(), 0);
}

/// Guards against servers with endless responses that cause those of others to be dropped.
#[test]
fn endless_responses_do_not_displace_others() {
    let mut backlog = backlog();
    let mut open = || {
        backlog.open(
            Timestamp::ZERO,
            HeldKind::ServerResponse,
            Holder::AllServers,
        )
    };
    let (endless, usual) = (open(), open());
    let limit = backlog.limits().server_responses;
    assert_eq!(
        backlog.set_server_response(endless, limit),
        ResponseRoom::Accept
    );
    assert_eq!(
        backlog.set_server_response(endless, limit + 1),
        ResponseRoom::Drop
    );
    assert_eq!(
        backlog.set_server_response(usual, 200_000),
        ResponseRoom::Accept
    );
}

proptest! {
    /// Guards against a count that drifts from what is held, in any order of events.
    #[test]
    fn counts_match_what_is_held(
        events in prop::collection::vec((0..40_usize, 0..400_000_usize, 0..4_u8), 1..300)
    ) {
        let mut backlog = backlog();
        let mut now = Timestamp::ZERO;
        let mut holds = Vec::new();
        for (n, bytes, event) in events {
            now = now + Duration::from_millis(137);
            if event == 0 || n >= holds.len() {
                let kind = HeldKind::ALL[n % 4];
                holds.push(backlog.open(now, kind, caller(n as u32 % 7)));
                continue;
            }
            match event {
                1 => { backlog.close(holds.swap_remove(n)); }
                2 => { backlog.expired(now); }
                _ => {
                    let key = holds[n];
                    backlog.set_request(key, bytes / 2);
                    backlog.set_response(now, key, bytes);
                }
            }
            let by_kind: usize = HeldKind::ALL.iter().map(|kind| backlog.held(*kind)).sum();
            let by_holder: usize = (0..7).map(|n| backlog.held_for(&caller(n))).sum();
            prop_assert_eq!(by_kind, backlog.total());
            prop_assert_eq!(by_holder, backlog.total());
        }
        for key in holds {
            backlog.close(key);
        }
        prop_assert_eq!(backlog.total(), 0);
    }
}
