//! Tests of the handshake, flow control and datagrams.

use jasminepond_types::Incarnation;
use jasminepond_wire::*;
use proptest::prelude::*;
use test_case::test_case;

const OLD: &str = "the-old-shared-key";
const NEW: &str = "the-new-shared-key";
const OTHER: &str = "a-key-of-someone-else";

fn ring(keys: &[&str]) -> KeyRing {
    KeyRing::new(keys.iter().map(|key| key.parse().unwrap())).unwrap()
}

fn local(role: Role, name: &str, nonce: u8) -> LocalPeer {
    LocalPeer {
        role,
        instance: name.parse().unwrap(),
        incarnation: Incarnation(u64::from(nonce)),
        nonce: [nonce; NONCE_BYTES],
        expect: None,
    }
}

fn proof(next: HandshakeStep) -> Proof {
    match next {
        HandshakeStep::SendProof(proof) => proof,
        other => panic!("{other:?}"),
    }
}

/// Runs a handshake between `a` (dialer) and `b` and returns the last step of each.
fn run(a_keys: &[&str], b_keys: &[&str]) -> (HandshakeStep, HandshakeStep) {
    let (mut a, a_hello) = Handshake::new(ring(a_keys), local(Role::Dialer, "a", 1));
    let (mut b, b_hello) = Handshake::new(ring(b_keys), local(Role::Acceptor, "b", 2));
    let a_proof = proof(a.receive(Frame::Hello(b_hello)));
    let b_proof = proof(b.receive(Frame::Hello(a_hello)));
    (
        a.receive(Frame::Proof(b_proof)),
        b.receive(Frame::Proof(a_proof)),
    )
}

/// Guards against a key rotation that breaks links between daemons that have applied
/// a step and daemons that have not.
#[test_case(&[OLD], &[OLD]; "before")]
#[test_case(&[OLD], &[OLD, NEW]; "new key appended")]
#[test_case(&[NEW, OLD], &[OLD, NEW]; "new key moved to the front")]
#[test_case(&[NEW], &[NEW, OLD]; "old key removed")]
fn key_rotation_keeps_links(a: &[&str], b: &[&str]) {
    let (HandshakeStep::Established(b_seen), HandshakeStep::Established(a_seen)) = run(a, b) else {
        panic!("link was not established")
    };
    assert_eq!(b_seen.instance.as_str(), "b");
    assert_eq!(b_seen.incarnation, Incarnation(2));
    assert_eq!(a_seen.instance.as_str(), "a");
}

/// Guards against accepting a peer that does not have a shared key.
#[test]
fn unknown_key_is_rejected_by_both_sides() {
    let rejected = HandshakeStep::Reject(HandshakeError::UnknownKey);
    assert_eq!(run(&[OLD], &[OTHER]), (rejected.clone(), rejected));
}

fn hello(change: impl FnOnce(&mut Hello)) -> Frame {
    let (_, mut hello) = Handshake::new(ring(&[OLD]), local(Role::Acceptor, "b", 2));
    change(&mut hello);
    Frame::Hello(hello)
}

/// Guards against links to an incompatible daemon, to an unexpected one or to the
/// daemon itself, and against frames before the peer is authenticated.
#[test_case(hello(|h| h.major = MAJOR + 1), HandshakeError::Major(MAJOR + 1); "major version")]
#[test_case(hello(|h| h.instance = "a".parse().unwrap()), HandshakeError::OwnInstance; "own instance")]
#[test_case(hello(|h| h.nonce = [1; NONCE_BYTES]), HandshakeError::OwnInstance; "own nonce")]
#[test_case(hello(|h| h.instance = "c".parse().unwrap()), HandshakeError::OtherInstance("c".parse().unwrap()); "other instance")]
#[test_case(Frame::Credit { n: 1 }, HandshakeError::UnexpectedFrame; "frame before hello")]
#[test_case(Frame::Proof(Proof { mac: [0; 32] }), HandshakeError::UnexpectedFrame; "proof before hello")]
fn invalid_first_frame_is_rejected(frame: Frame, error: HandshakeError) {
    let mut local = local(Role::Dialer, "a", 1);
    local.expect = Some("b".parse().unwrap());
    let (mut a, _) = Handshake::new(ring(&[OLD]), local);
    assert_eq!(a.receive(frame), HandshakeStep::Reject(error));
    let closed = HandshakeStep::Reject(HandshakeError::UnexpectedFrame);
    assert_eq!(a.receive(hello(|_| ())), closed);
}

/// Guards against a peer without a key that reflects our own proof.
#[test]
fn reflected_proof_is_rejected() {
    let (mut a, _) = Handshake::new(ring(&[OLD]), local(Role::Dialer, "a", 1));
    let ours = proof(a.receive(hello(|_| ())));
    let next = a.receive(Frame::Proof(ours));
    assert_eq!(next, HandshakeStep::Reject(HandshakeError::Reflected));
}

/// Guards against a peer without a key that relays a proof made by another daemon:
/// a proof is bound to role, nonces, instances, incarnations and minor version.
#[test_case(local(Role::Dialer, "b", 2), |_| (); "role")]
#[test_case(local(Role::Acceptor, "b", 3), |_| (); "nonce")]
#[test_case(local(Role::Acceptor, "c", 2), |_| (); "instance")]
#[test_case(LocalPeer { incarnation: Incarnation(9), ..local(Role::Acceptor, "b", 2) }, |_| (); "incarnation")]
#[test_case(local(Role::Acceptor, "b", 2), |h| h.minor += 1; "minor version")]
#[test_case(local(Role::Acceptor, "b", 2), |h| h.nonce = [7; 16]; "other link")]
fn proof_for_another_link_is_rejected(signer: LocalPeer, change: fn(&mut Hello)) {
    let (mut a, mut a_hello) = Handshake::new(ring(&[OLD]), local(Role::Dialer, "a", 1));
    let _ = a.receive(hello(|_| ()));
    change(&mut a_hello);
    let (mut oracle, _) = Handshake::new(ring(&[OLD]), signer);
    let relayed = proof(oracle.receive(Frame::Hello(a_hello)));
    let next = a.receive(Frame::Proof(relayed));
    assert_eq!(next, HandshakeStep::Reject(HandshakeError::UnknownKey));
}

/// Guards against accepting forged, corrupted, truncated or oversized datagrams.
#[test]
fn datagrams_are_authenticated_and_limited_in_size() {
    let keys = ring(&[NEW, OLD]);
    let signed = sign_datagram(&ring(&[OLD]), &[9; MAX_DATAGRAM_PAYLOAD]).unwrap();
    assert_eq!(signed.len(), MAX_DATAGRAM_BYTES);
    assert_eq!(
        verify_datagram(&keys, &signed),
        Ok(&[9; MAX_DATAGRAM_PAYLOAD][..])
    );
    assert_eq!(
        verify_datagram(&ring(&[OTHER]), &signed),
        Err(DatagramError::UnknownKey)
    );
    for at in 0..signed.len() {
        let mut damaged = signed.clone();
        damaged[at] ^= 1;
        assert_eq!(
            verify_datagram(&keys, &damaged),
            Err(DatagramError::UnknownKey)
        );
    }
    assert_eq!(
        verify_datagram(&keys, &signed[..15]),
        Err(DatagramError::TooShort(15))
    );
    assert_eq!(
        verify_datagram(&keys, &[0; 1_201]),
        Err(DatagramError::TooLarge(1_201))
    );
    let large = sign_datagram(&keys, &[0; MAX_DATAGRAM_PAYLOAD + 1]);
    assert_eq!(large, Err(DatagramError::TooLarge(1_185)));
    assert!(!keys.verify(Purpose::Datagram, b"", &[]));
}

/// Guards against short keys, an empty key list and keys in debug output.
#[test]
fn short_keys_and_empty_key_lists_are_rejected() {
    assert!("short".parse::<SharedKey>().is_err());
    assert_eq!(KeyRing::new([]).err(), Some(NoKeys));
    let debug = format!("{:?}{:?}", ring(&[OLD]), OLD.parse::<SharedKey>());
    assert!(!debug.contains(OLD), "debug output contains a key: {debug}");
}

/// Guards against accepting requests from a peer that ignores flow control.
#[test]
fn requests_beyond_the_credit_are_rejected() {
    let mut us = Credits::new(8);
    assert!(us.received(1).is_err());
    assert_eq!(us.initial_grant(), 8);
    us.received(8).unwrap();
    assert_eq!(us.received(1), Err(CreditOverrun { sent: 1, credit: 0 }));
}

proptest! {
    /// Guards against more outstanding requests than the largest window so far, and
    /// against lost credit, which would stall the link permanently.
    #[test]
    fn credit_is_bounded_and_never_lost(
        windows in prop::collection::vec(1u32..200, 1..4),
        events in prop::collection::vec((0u8..5, 1u32..40), 0..200),
    ) {
        let largest = *windows.iter().max().unwrap();
        let mut windows = windows.into_iter();
        let mut window = windows.next().unwrap();
        let (mut sender, mut receiver) = (Credits::new(1), Credits::new(window));
        let mut grants = vec![receiver.initial_grant()];
        let (mut requests, mut held) = (Vec::new(), 0);
        for (event, n) in events {
            match event {
                0 if sender.try_send(n) => requests.push(n),
                1 => grants.drain(..).for_each(|n| sender.granted(n)),
                2 => for n in requests.drain(..) {
                    prop_assert!(receiver.received(n).is_ok());
                    held += n;
                },
                3 => {
                    let n = n.min(held);
                    held -= n;
                    grants.extend(receiver.completed(n));
                }
                4 => if let Some(next) = windows.next() {
                    window = next;
                    grants.extend(receiver.set_window(window));
                },
                _ => {}
            }
            prop_assert!(held + requests.iter().sum::<u32>() <= largest);
        }
        for n in requests.drain(..) {
            receiver.received(n).unwrap();
            held += n;
        }
        grants.extend(receiver.completed(held));
        grants.drain(..).for_each(|n| sender.granted(n));
        prop_assert!(sender.available() > window - window.div_ceil(4));
    }
}
