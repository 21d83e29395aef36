//! Guards against answers that are incomplete or belong to another request.

use std::time::Duration;

use jasminepond_forward::RetryAfter;
use jasminepond_gateway::{
    ExpectedResponse, HeaderNames, Message, ParseError, Parsed, ResponseReader,
};
use proptest::prelude::*;
use test_case::test_case;

const NAMES: HeaderNames = HeaderNames {
    request_id: "x-id",
    time_left_ms: "x-left",
    expected_server: "x-server",
    stamp: "x-stamp",
    not_run: "x-not-run",
    leaving: "server-leaving",
    store_era: "store-era",
    part_stamps: "x-parts",
    missing_parts: "x-missing",
};

const EXPECTED: ExpectedResponse = ExpectedResponse {
    keep_headers: true,
    has_body: true,
};

/// Reads bytes that arrive at once. Returns the response with the bytes left behind it.
fn read(
    bytes: &[u8],
    ended: bool,
    expected: ExpectedResponse,
) -> Result<Option<(Message, usize)>, ParseError> {
    let mut buf = bytes.to_vec();
    let parsed = ResponseReader::default().advance(&mut buf, ended, &NAMES, expected)?;
    Ok(match parsed {
        Parsed::Incomplete => None,
        Parsed::Complete(message) => Some((*message, buf.len())),
    })
}

/// A whole response and the bytes that it takes.
fn whole(bytes: &[u8], ended: bool) -> (Message, usize) {
    match read(bytes, ended, EXPECTED) {
        Ok(Some((message, left))) => (message, bytes.len() - left),
        other => panic!("{other:?}"),
    }
}

/// Feeds `unit` without end, in reads of 8 KiB. Returns the bytes read until the
/// reader refuses them, and the most that it held.
fn feed(start: &str, unit: &str) -> (usize, usize, ParseError) {
    let mut reader = ResponseReader::default();
    let mut buf = start.as_bytes().to_vec();
    let mut unit = unit.as_bytes().iter().cycle();
    let (mut fed, mut held) = (buf.len(), 0);
    loop {
        match reader.advance(&mut buf, false, &NAMES, EXPECTED) {
            Ok(Parsed::Incomplete) => {}
            Ok(Parsed::Complete(message)) => panic!("{message:?}"),
            Err(err) => return (fed, held, err),
        }
        held = held.max(buf.len() + reader.buffered());
        buf.extend(unit.by_ref().take(8 << 10));
        fed += 8 << 10;
        assert!(
            fed <= 64 << 20,
            "{} bytes held of {fed}",
            buf.len() + reader.buffered()
        );
    }
}

/// Bytes that never become a response are refused before they fill the memory.
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n", 32 << 10; "interim responses")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-a: b\r\n", 32 << 10; "headers")]
#[test_case("HTTP/1.1 200 OK\r\nx-a: ", "b", 32 << 10; "one header")]
#[test_case("HTTP/1.1 200 ", "O", 32 << 10; "a status line")]
#[test_case("", "z", 0; "no status line")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "b", 2 << 20; "a body without length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", 64 << 10; "tiny chunks")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\nb", 4 << 10; "a chunk that is too long")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e", 256; "a chunk extension")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", 256; "the size of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n", 16 << 10; "trailers")]
fn bytes_without_end_are_refused(start: &str, unit: &str, limit: usize) {
    let (fed, held, _) = feed(start, unit);
    // One read beyond the limit, and what precedes it.
    let most = limit + (16 << 10);
    assert!(fed <= most && held <= most, "{held} bytes held of {fed}");
}

/// A head that arrives byte by byte takes as long as its length, not its square: a
/// second for 30 KiB with everything looked at anew each time.
#[test]
fn the_work_is_linear_in_the_bytes() {
    let mut reader = ResponseReader::default();
    let mut buf = Vec::new();
    let started = std::time::Instant::now();
    for byte in b"HTTP/1.1 200 OK\r\nx-a: ".iter().chain(&[b'b'; 30 << 10]) {
        buf.push(*byte);
        let parsed = reader.advance(&mut buf, false, &NAMES, EXPECTED);
        assert_eq!(parsed, Ok(Parsed::Incomplete));
    }
    assert!(started.elapsed() < std::time::Duration::from_millis(250));
}

/// Responses that follow each other in one buffer are told apart.
#[test]
fn a_reader_starts_anew_after_each_response() {
    let one =
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    let two = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nb";
    let mut buf = [&one[..], &two[..]].concat();
    let mut reader = ResponseReader::default();
    for (id, body) in [(b"1", b"a"), (b"2", b"b")] {
        let Ok(Parsed::Complete(message)) = reader.advance(&mut buf, false, &NAMES, EXPECTED)
        else {
            panic!("a whole response");
        };
        assert_eq!(message.request_id.as_deref(), Some(&id[..]));
        assert_eq!(&message.reply.body[..], body);
    }
    assert!(buf.is_empty());
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
        assert_eq!(
            read(&bytes[..end], false, EXPECTED),
            Ok(None),
            "{end} bytes"
        );
        assert_eq!(
            read(&bytes[..end], true, EXPECTED),
            Err(ParseError::Truncated)
        );
    }
    // Byte by byte it is whole with its last one.
    let mut reader = ResponseReader::default();
    let mut buf = Vec::new();
    for (at, byte) in bytes.iter().enumerate() {
        buf.push(*byte);
        let parsed = reader.advance(&mut buf, false, &NAMES, EXPECTED).unwrap();
        assert_eq!(parsed != Parsed::Incomplete, at + 1 == bytes.len());
    }
}

/// A response to `HEAD` states the length of a body that never comes; waiting for
/// it held the caller to its deadline.
#[test]
fn a_response_to_head_has_no_body() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n";
    let expected = ExpectedResponse {
        has_body: false,
        ..EXPECTED
    };
    let Ok(Some((message, left))) = read(bytes, false, expected) else {
        panic!("a whole response");
    };
    assert_eq!((message.reply.body.len(), left), (0, 0));
    assert!(!message.closes);
}

/// A body that ends with its connection is whole only if the connection was
/// closed in order; a reset never reaches the parser as an end.
#[test]
fn a_body_without_length_ends_with_the_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\npart";
    assert_eq!(read(bytes, false, EXPECTED), Ok(None));
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
    assert_eq!(read(text.as_bytes(), false, EXPECTED), Err(expected));
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
        if let Ok(Some((message, left))) = read(&bytes, ended, EXPECTED) {
            prop_assert!(message.reply.body.len() + left <= bytes.len());
        }
    }
}

/// What a server asks for besides its answer.
#[test_case("Server-Leaving: 1\r\n", true, None; "it is about to stop")]
#[test_case("server-leaving: 0\r\n", false, None; "it is not")]
#[test_case("Retry-After: 2\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(2))); "whole seconds")]
#[test_case("Retry-After: 0.25\r\n", false, Some(RetryAfter::Wait(Duration::from_millis(250))); "a fraction")]
#[test_case("Retry-After: 1\r\nRetry-After: 3\r\nRetry-After: x\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(3))); "the longest of several")]
#[test_case("Retry-After: 99999999999999999999\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(300))); "a huge time is bounded")]
#[test_case("Retry-After: -4\r\n", false, Some(RetryAfter::Invalid); "a negative time")]
#[test_case("Retry-After: inf\r\n", false, Some(RetryAfter::Invalid); "infinity")]
#[test_case("Retry-After: \r\n", false, Some(RetryAfter::Invalid); "nothing")]
#[test_case("Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n", false, Some(RetryAfter::Invalid); "a date")]
fn what_a_server_asks_for_is_read(headers: &str, leaving: bool, retry_after: Option<RetryAfter>) {
    let text = format!("HTTP/1.1 503 X\r\n{headers}Content-Length: 0\r\n\r\n");
    let (message, _) = read(text.as_bytes(), false, EXPECTED).unwrap().unwrap();
    assert_eq!(message.reply.leaving, leaving);
    assert_eq!(message.reply.retry_after, retry_after);
}
