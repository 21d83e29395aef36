//! Guards against answers that are incomplete or belong to another request.

use jasminepond_gateway::{HeaderNames, ParseError, Parsed, Wanted, parse};
use proptest::prelude::*;
use test_case::test_case;

const NAMES: HeaderNames = HeaderNames {
    request_id: "x-id",
    time_left_ms: "x-left",
    expected_server: "x-server",
    stamp: "x-stamp",
    not_run: "x-not-run",
    part_stamps: "x-parts",
    missing_parts: "x-missing",
};

const WANTED: Wanted = Wanted {
    headers: true,
    body: true,
};

fn whole(bytes: &[u8], ended: bool) -> (jasminepond_gateway::Message, usize) {
    match parse(bytes, ended, &NAMES, WANTED) {
        Ok(Parsed::Complete(message, used)) => (*message, used),
        other => panic!("{other:?}"),
    }
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 4; "with a length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", 4; "in chunks")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 4; "after an interim response")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", 0; "without a body")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0; "with an empty body")]
fn a_whole_response_is_read_and_each_part_of_it_is_not(text: &str, body: usize) {
    let bytes = text.as_bytes();
    let (message, used) = whole(bytes, false);
    assert_eq!((message.reply.body.len(), used), (body, bytes.len()));
    for end in 0..bytes.len() {
        match parse(&bytes[..end], false, &NAMES, WANTED) {
            Ok(Parsed::Incomplete(needed)) => assert!(needed > end),
            other => panic!("{end} bytes: {other:?}"),
        }
        assert_eq!(
            parse(&bytes[..end], true, &NAMES, WANTED),
            Err(ParseError::BrokenOff)
        );
    }
}

/// A response to `HEAD` states the length of a body that never comes; waiting for
/// it held the caller to its deadline.
#[test]
fn a_response_to_head_has_no_body() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n";
    let wanted = Wanted {
        body: false,
        ..WANTED
    };
    let Ok(Parsed::Complete(message, used)) = parse(bytes, false, &NAMES, wanted) else {
        panic!("a whole response");
    };
    assert_eq!((message.reply.body.len(), used), (0, bytes.len()));
    assert!(!message.closes);
}

/// A body that ends with its connection is whole only if the connection was
/// closed in order; a reset never reaches the parser as an end.
#[test]
fn a_body_without_length_ends_with_the_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\npart";
    assert!(matches!(
        parse(bytes, false, &NAMES, WANTED),
        Ok(Parsed::Incomplete(_))
    ));
    let (message, _) = whole(bytes, true);
    assert!(message.closes);
    assert_eq!(&message.reply.body[..], b"part");
}

/// Bytes behind a response are left for the connection to judge.
#[test]
fn bytes_behind_a_response_are_not_part_of_it() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (message, used) = whole(bytes, false);
    assert_eq!(
        (&message.reply.body[..], used),
        (&b"ok"[..], bytes.len() - 17)
    );
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", ParseError::Length; "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", ParseError::Length; "a negative length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::Length; "length and chunks")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ParseError::Chunk; "a chunk without length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", ParseError::Chunk; "a chunk longer than stated")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", ParseError::TooLarge; "too large")]
#[test_case("not a response\r\n\r\n", ParseError::Head; "another protocol")]
fn bytes_that_are_no_response_are_refused(text: &str, expected: ParseError) {
    assert_eq!(parse(text.as_bytes(), false, &NAMES, WANTED), Err(expected));
}

/// What decides about repeats and callers' answers must be read from the headers.
#[test]
fn headers_that_decide_are_read() {
    let text = "HTTP/1.1 503 Busy\r\nX-ID: 7\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=5, max=9\r\n\
                Connection: Close\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n";
    let (message, _) = whole(text.as_bytes(), false);
    assert_eq!(message.request_id.as_deref(), Some(&b"7"[..]));
    assert!(message.reply.not_run && message.reply.encoded && message.closes);
    assert_eq!(message.keep_alive.map(|time| time.as_secs()), Some(5));
    assert!(!message.reply.is_success());
    let (message, _) = whole(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", false);
    assert!(message.reply.wrong_server);
}

proptest! {
    /// No bytes of a server may stop the daemon.
    #[test]
    fn any_bytes_are_handled(
        head in "(HTTP/1.1 [0-9]{3} OK\r\n)?(Content-Length: [0-9]{1,3}\r\n|Transfer-Encoding: chunked\r\n|[a-z-]{1,8}: [ -~]{0,8}\r\n){0,4}(\r\n)?",
        rest in prop::collection::vec(any::<u8>(), 0..64),
        ended in any::<bool>(),
    ) {
        let mut bytes = head.into_bytes();
        bytes.extend(rest);
        if let Ok(Parsed::Complete(message, used)) = parse(&bytes, ended, &NAMES, WANTED) {
            prop_assert!(used <= bytes.len() && message.reply.body.len() <= used);
        }
    }
}
