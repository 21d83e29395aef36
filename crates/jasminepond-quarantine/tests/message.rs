//! The format of messages between daemons.

use std::time::Duration;

use jasminepond_quarantine::{DecodeError, Evidence, Fingerprint, Message};
use proptest::prelude::*;

/// A message of the first version of the format.
const RECORDED: &str = "510101000102030405060708090a0b0c0d0e0f0b020200000000000000070000000000000009\
                        000000030000001400000028";

fn bytes(text: &str) -> Vec<u8> {
    let digits: Vec<_> = text.chars().filter(char::is_ascii_hexdigit).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs
        .map(|pair| u8::from_str_radix(&pair, 16).unwrap())
        .collect()
}

/// Guards against a change of the format without a new version: builds run side by side.
#[test]
fn a_recorded_message_is_understood() {
    let message = Message(vec![Evidence {
        fingerprint: "000102030405060708090a0b0c0d0e0f".parse().unwrap(),
        ends: vec![7, 9],
        ended_age: Some(Duration::from_millis(3)),
        failed_trials: 2,
        trial_age: Some(Duration::from_millis(20)),
        cleared_age: Some(Duration::from_millis(40)),
        forbidden: false,
    }]);
    assert_eq!(Message::decode(&bytes(RECORDED)), Ok(message.clone()));
    assert_eq!(message.encode(), bytes(RECORDED));
}

#[test]
fn other_versions_and_excess_records_are_refused() {
    let mut message = bytes(RECORDED);
    message[1] = 2;
    assert_eq!(Message::decode(&message), Err(DecodeError::Unknown));
    message[1] = 1;
    message[2] = 17;
    assert_eq!(Message::decode(&message), Err(DecodeError::Range));
    message[2] = 1;
    message.push(0);
    assert_eq!(Message::decode(&message), Err(DecodeError::Length));
}

proptest! {
    /// Guards against a datagram that ends a daemon.
    #[test]
    fn any_bytes_are_decoded_or_refused(mut message: Vec<u8>, valid: bool, cut: usize) {
        if valid {
            message = bytes(RECORDED);
            message.truncate(cut % (message.len() + 1));
        }
        if let Ok(decoded) = Message::decode(&message) {
            prop_assert_eq!(decoded.encode(), message);
        }
    }
}

#[test]
fn a_fingerprint_separates_the_parts_of_a_request() {
    use jasminepond_quarantine::RequestParts;
    let request = |method, host, path| {
        Fingerprint::new(&RequestParts {
            method,
            host,
            path,
            ..RequestParts::default()
        })
    };
    assert_ne!(request("GET", "ab", "/c"), request("GET", "a", "b/c"));
    assert_ne!(request("GET", "a", "/c"), request("POST", "a", "/c"));
    assert!("0".repeat(31).parse::<Fingerprint>().is_err());
    assert!("g".repeat(32).parse::<Fingerprint>().is_err());
}
