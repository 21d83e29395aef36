//! Tests of the response parser: a caller must not receive a response that is incomplete or
//! belongs to another request.

use std::time::Duration;

use jasminepond_forward::{RetryAfter, ServerLoad, StatedLimit, StatedLoad};
use jasminepond_framing::FramingError;
use jasminepond_gateway::{
    ExpectedResponse, HeaderNames, Message, ParseError, Parsed, ResponseReader,
};
use jasminepond_ratelimit::RateLimit;
use proptest::prelude::*;
use test_case::test_case;

const NAMES: HeaderNames = HeaderNames {
    request_id: "x-id",
    time_left_ms: "x-left",
    expected_server: "x-server",
    stamp: "x-stamp",
    not_run: "x-not-run",
    leaving: "server-leaving",
    rate_limit: "server-limit",
    server_load: "x-server-load",
    store_era: "store-era",
    part_stamps: "x-parts",
    missing_parts: "x-missing",
    warm_up_left: "x-warm-up",
};

const EXPECTED: ExpectedResponse = ExpectedResponse {
    keep_headers: true,
    has_body: true,
};

/// Parses bytes that arrive at once. Returns the response and the number of bytes after it.
fn parse(
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

/// Parses a complete response. Returns it with its length in bytes.
fn parse_complete(bytes: &[u8], ended: bool) -> (Message, usize) {
    match parse(bytes, ended, EXPECTED) {
        Ok(Some((message, left))) => (message, bytes.len() - left),
        other => panic!("{other:?}"),
    }
}

/// Feeds repetitions of `unit` in reads of 8 KiB until the reader refuses them. Returns the
/// number of bytes fed, the maximum number of bytes buffered, and the error.
fn feed(start: &str, unit: &str) -> (usize, usize, ParseError) {
    let mut reader = ResponseReader::default();
    let mut buf = start.as_bytes().to_vec();
    let mut unit = unit.as_bytes().iter().cycle();
    let (mut fed, mut buffered) = (buf.len(), 0);
    loop {
        match reader.advance(&mut buf, false, &NAMES, EXPECTED) {
            Ok(Parsed::Incomplete) => {}
            Ok(Parsed::Complete(message)) => panic!("{message:?}"),
            Err(err) => return (fed, buffered, err),
        }
        buffered = buffered.max(buf.len() + reader.buffered());
        buf.extend(unit.by_ref().take(8 << 10));
        fed += 8 << 10;
        assert!(
            fed <= 64 << 20,
            "{} bytes buffered of {fed}",
            buf.len() + reader.buffered()
        );
    }
}

/// Responses that never end are refused before they exhaust memory.
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
fn endless_response_is_refused(start: &str, unit: &str, limit: usize) {
    let (fed, buffered, _) = feed(start, unit);
    // Allow for one read beyond the limit and the bytes before the repeated part.
    let most = limit + (16 << 10);
    assert!(
        fed <= most && buffered <= most,
        "{buffered} bytes buffered of {fed}"
    );
}

/// Parsing a head that arrives byte by byte takes linear time. With a full scan of the
/// buffer after each byte, 30 KiB take a second.
#[test]
fn parsing_takes_linear_time() {
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

/// Consecutive responses in one buffer are separated.
#[test]
fn consecutive_responses_are_separated() {
    let one =
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    let two = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nb";
    let mut buf = [&one[..], &two[..]].concat();
    let mut reader = ResponseReader::default();
    for (id, body) in [(b"1", b"a"), (b"2", b"b")] {
        let Ok(Parsed::Complete(message)) = reader.advance(&mut buf, false, &NAMES, EXPECTED)
        else {
            panic!("expected a complete response");
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
fn only_complete_response_is_returned(text: &str, body: usize) {
    let bytes = text.as_bytes();
    let (message, used) = parse_complete(bytes, false);
    assert_eq!((message.reply.body.len(), used), (body, bytes.len()));
    for end in 0..bytes.len() {
        assert_eq!(
            parse(&bytes[..end], false, EXPECTED),
            Ok(None),
            "{end} bytes"
        );
        assert_eq!(
            parse(&bytes[..end], true, EXPECTED),
            Err(ParseError::Truncated)
        );
    }
    // Fed byte by byte, the response is complete with its last byte.
    let mut reader = ResponseReader::default();
    let mut buf = Vec::new();
    for (at, byte) in bytes.iter().enumerate() {
        buf.push(*byte);
        let parsed = reader.advance(&mut buf, false, &NAMES, EXPECTED).unwrap();
        assert_eq!(parsed != Parsed::Incomplete, at + 1 == bytes.len());
    }
}

/// A response to `HEAD` states the length of a body that is not sent. Waiting for the body
/// would delay the caller until its deadline.
#[test]
fn response_to_head_has_no_body() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\n";
    let expected = ExpectedResponse {
        has_body: false,
        ..EXPECTED
    };
    let Ok(Some((message, left))) = parse(bytes, false, expected) else {
        panic!("expected a complete response");
    };
    assert_eq!((message.reply.body.len(), left), (0, 0));
    assert!(!message.closes);
}

/// A body that ends with its connection is complete only if the connection was closed
/// gracefully. A reset is never reported to the parser as the end.
#[test]
fn body_without_length_ends_with_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\npart";
    assert_eq!(parse(bytes, false, EXPECTED), Ok(None));
    let (message, _) = parse_complete(bytes, true);
    assert!(message.closes);
    assert_eq!(&message.reply.body[..], b"part");
}

/// Bytes after a response are left to the connection's task.
#[test]
fn bytes_after_response_stay_in_buffer() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let (message, used) = parse_complete(bytes, false);
    assert_eq!(
        (&message.reply.body[..], used),
        (&b"ok"[..], bytes.len() - 17)
    );
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", ParseError::Length(FramingError::Conflict); "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nhello", ParseError::Length(FramingError::Conflict); "two lengths, the first zero")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", ParseError::Length(FramingError::ContentLength); "a negative length")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello", ParseError::Length(FramingError::ContentLength); "a length with a sign")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::Length(FramingError::Conflict); "length and chunks")]
#[test_case("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ParseError::Length(FramingError::TransferEncoding); "chunks in an older version")]
#[test_case("HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\nhello", ParseError::Length(FramingError::UnexpectedBody(204)); "a length without content")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ParseError::Chunk; "a chunk without length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", ParseError::Chunk; "a chunk longer than stated")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", ParseError::TooLarge; "too large")]
#[test_case("not a response\r\n\r\n", ParseError::Head; "another protocol")]
fn malformed_response_is_refused(text: &str, expected: ParseError) {
    assert_eq!(parse(text.as_bytes(), false, EXPECTED), Err(expected));
}

/// Headers that determine repeated sends and callers' answers are parsed.
#[test]
fn routing_headers_are_parsed() {
    let text = "HTTP/1.1 503 Busy\r\nX-ID: 7\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=5, max=9\r\n\
                Connection: Close\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n";
    let (message, _) = parse_complete(text.as_bytes(), false);
    assert_eq!(message.request_id.as_deref(), Some(&b"7"[..]));
    assert!(message.reply.not_run && message.reply.encoded && message.closes);
    assert_eq!(message.keep_alive.map(|time| time.as_secs()), Some(5));
    assert!(!message.reply.is_success());
    let (message, _) = parse_complete(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", false);
    assert!(message.reply.wrong_server);
}

proptest! {
    /// Arbitrary bytes from a server must not crash the daemon.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        head in "(HTTP/1.1 [0-9]{3} OK\r\n)?(Content-Length: [0-9]{1,3}\r\n|Transfer-Encoding: chunked\r\n|[a-z-]{1,8}: [ -~]{0,8}\r\n){0,4}(\r\n)?",
        rest in prop::collection::vec(any::<u8>(), 0..64),
        ended in any::<bool>(),
    ) {
        let mut bytes = head.into_bytes();
        bytes.extend(rest);
        if let Ok(Some((message, left))) = parse(&bytes, ended, EXPECTED) {
            prop_assert!(message.reply.body.len() + left <= bytes.len());
        }
    }
}

/// Headers by which a server asks for fewer or no requests are parsed.
#[test_case("Server-Leaving: 1\r\n", true, None; "stopping")]
#[test_case("server-leaving: 0\r\n", false, None; "not stopping")]
#[test_case("Retry-After: 2\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(2))); "whole seconds")]
#[test_case("Retry-After: 0.25\r\n", false, Some(RetryAfter::Wait(Duration::from_millis(250))); "a fraction")]
#[test_case("Retry-After: 1\r\nRetry-After: 3\r\nRetry-After: x\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(3))); "the longest of several")]
#[test_case("Retry-After: 99999999999999999999\r\n", false, Some(RetryAfter::Wait(Duration::from_secs(300))); "a huge time is bounded")]
#[test_case("Retry-After: -4\r\n", false, Some(RetryAfter::Invalid); "a negative time")]
#[test_case("Retry-After: inf\r\n", false, Some(RetryAfter::Invalid); "infinity")]
#[test_case("Retry-After: \r\n", false, Some(RetryAfter::Invalid); "nothing")]
#[test_case("Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n", false, Some(RetryAfter::Invalid); "a date")]
fn leaving_and_retry_after_are_parsed(
    headers: &str,
    leaving: bool,
    retry_after: Option<RetryAfter>,
) {
    let text = format!("HTTP/1.1 503 X\r\n{headers}Content-Length: 0\r\n\r\n");
    let (message, _) = parse(text.as_bytes(), false, EXPECTED).unwrap().unwrap();
    assert_eq!(message.reply.leaving, leaving);
    assert_eq!(message.reply.retry_after, retry_after);
}

/// A malformed load must not be mistaken for one; of several values, the last valid one takes
/// effect.
#[test_case("X-Server-Load: 3,1,4,130\r\n", Some((3, 1, 4, 130)); "as specified")]
#[test_case("x-server-load:  3, 1 ,4,\t130\r\n", Some((3, 1, 4, 130)); "with spaces")]
#[test_case("X-Server-Load: 3,1,4,130\r\nX-Server-Load: none\r\n", Some((3, 1, 4, 130)); "once malformed")]
#[test_case("X-Server-Load: none\r\nX-Server-Load: 3,1,4,130\r\n", Some((3, 1, 4, 130)); "first malformed")]
#[test_case("X-Server-Load:\r\n", None; "no value")]
#[test_case("X-Server-Load: 3,1,4\r\n", None; "a number is missing")]
#[test_case("X-Server-Load: 3,1,4,130,7\r\n", None; "a number too many")]
#[test_case("X-Server-Load: 3,+1,4,130\r\n", None; "a sign")]
#[test_case("X-Server-Load: 3,1,0,130\r\n", None; "no slots")]
#[test_case("X-Server-Load: 3,1,4,1e9\r\n", None; "no integer")]
#[test_case("X-Server-Load: 3,1,4,4294967296\r\n", None; "a number too large")]
#[test_case("X-Server-Load: \u{ff}\r\n", None; "letters beyond ASCII")]
fn stated_loads_are_read(headers: &str, load: Option<(u32, u32, u32, u32)>) {
    let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{headers}\r\n");
    let (message, _) = parse_complete(bytes.as_bytes(), false);
    let expected = load.map(|(running, waiting, slots, work_percent)| ServerLoad {
        running,
        waiting,
        slots,
        work_percent,
    });
    let expected = expected.map_or(StatedLoad::Invalid, StatedLoad::Load);
    assert_eq!(message.reply.server_load, Some(expected));
}

/// A rate limit is read once, in whatever response it is stated; of several, the lowest
/// takes effect.
#[test_case("200 OK", "Server-Limit: 22.8\r\n", Some(22.8); "in a success")]
#[test_case("500 Failed", "server-limit: 3\r\n", Some(3.0); "in a failure")]
#[test_case("503 Full", "Server-Limit: 0.5\r\nRetry-After: 1\r\n", Some(0.5); "in a rejection")]
#[test_case("200 OK", "Server-Limit: 9\r\nServer-Limit: 4\r\n", Some(4.0); "twice")]
#[test_case("200 OK", "Server-Limit: 4\r\nServer-Limit: many\r\n", Some(4.0); "once invalid")]
#[test_case("200 OK", "Server-Limit: -4\r\n", None; "negative")]
#[test_case("200 OK", "Server-Limit:\r\n", None; "empty")]
#[test_case("200 OK", "Server-Limit: \u{ff}\r\n", None; "not ASCII")]
fn stated_rate_limits_are_read(status: &str, headers: &str, limit: Option<f64>) {
    let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{headers}\r\n");
    let (message, _) = parse_complete(bytes.as_bytes(), false);
    let expected = limit.and_then(RateLimit::new);
    let expected = expected.map_or(StatedLimit::Invalid, StatedLimit::Limit);
    assert_eq!(message.reply.rate_limit, Some(expected));
}

#[test]
fn a_response_without_a_rate_limit_states_none() {
    let (message, _) = parse_complete(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    assert_eq!(message.reply.rate_limit, None);
}

/// Of several values, the longest time counts; what is no time is as if it were absent.
#[test_case("X-Warm-Up: 1200\r\n", Some(1_200); "a time")]
#[test_case("X-Warm-Up: 0\r\n", Some(0); "zero")]
#[test_case("X-Warm-Up: 5\r\nX-Warm-Up: 70\r\n", Some(70); "twice")]
#[test_case("X-Warm-Up: soon\r\n", None; "a word")]
#[test_case("", None; "absent")]
fn stated_warm_up_is_read(headers: &str, left: Option<u64>) {
    let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{headers}\r\n");
    let (message, _) = parse_complete(bytes.as_bytes(), false);
    assert_eq!(message.reply.warm_up_left.map(|left| left.0), left);
}

/// Guards against passing on, or counting as a response, what a server in trouble sends: a
/// status outside 100 to 599, one that is no number, or an interim status as the final one.
#[test_case("000 X"; "000")]
#[test_case("099 X"; "099")]
#[test_case("600 X"; "600")]
#[test_case("999 X"; "999")]
#[test_case("101 Switching Protocols"; "a change of protocol")]
#[test_case("100 Continue"; "an interim status as the final one")]
#[test_case("199 X"; "the last interim status as the final one")]
#[test_case("+20 X"; "a sign")]
#[test_case("-20 X"; "a negative number")]
#[test_case(" 20 X"; "a leading space")]
#[test_case("20  X"; "a trailing space")]
#[test_case("2000 X"; "four digits")]
#[test_case("20 X"; "two digits")]
#[test_case("2x0 X"; "a letter")]
#[test_case("\u{662}00 X"; "a digit that is not ASCII")]
#[test_case(""; "no status")]
fn responses_with_invalid_statuses_are_refused(status: &str) {
    let headers = "X-Id: 1\r\nX-Stamp: s\r\nServer-Limit: 4\r\n";
    for body in ["", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"] {
        let len = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {len}\r\n\r\n{body}");
        let mut buf = text.into_bytes();
        let mut reader = ResponseReader::default();
        let parsed = reader.advance(&mut buf, false, &NAMES, EXPECTED);
        let refused = matches!(parsed, Err(ParseError::Status(_) | ParseError::Head));
        assert!(refused, "{parsed:?}");
        assert_eq!(reader.rate_limit(b"1"), None);
    }
}

/// Guards against refusing the statuses that a server may send.
#[test]
fn responses_with_valid_statuses_are_read() {
    for status in 200..=599 {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let (message, _) = parse_complete(text.as_bytes(), false);
        assert_eq!(message.reply.status, status);
    }
    let (message, _) = parse_complete(
        b"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 204 X\r\n\r\n",
        false,
    );
    assert_eq!(message.reply.status, 204);
}

/// Guards against an empty line within the head that ends with a line feed alone: the rest of the
/// head would be the body. An empty line before the head is refused in whatever parts it arrives.
#[test_case("HTTP/1.1 200 OK\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "after the status line")]
#[test_case("HTTP/1.1 200 OK\r\nX-A: 1\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "after a field")]
#[test_case("HTTP/1.1 200 OK\r\nX-A: 1\n\r\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "before an empty line")]
#[test_case("HTTP/1.1 200 OK\r\n\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "as an empty line")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nhello", ParseError::Head; "at the end of the head")]
#[test_case("HTTP/1.1 100 X\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "in an interim response")]
#[test_case("\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "before the status line")]
#[test_case("\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ParseError::Head; "an empty line before the status line")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\nX-A: 1\r\n\r\n", ParseError::Chunk; "before a trailer")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: 1\n\r\n", ParseError::Chunk; "after a trailer")]
fn malformed_lines_are_refused(text: &str, expected: ParseError) {
    assert_eq!(parse(text.as_bytes(), true, EXPECTED), Err(expected));
    // Fed byte by byte, the response is refused as well.
    let mut reader = ResponseReader::default();
    let mut buf = Vec::new();
    let refused = text.bytes().find_map(|byte| {
        buf.push(byte);
        reader.advance(&mut buf, false, &NAMES, EXPECTED).err()
    });
    assert_eq!(refused, Some(expected));
}

/// Guards against a chunk-size line without a number that is read as the last chunk, so that a
/// body that broke off looks complete, and against lines that other readers end elsewhere.
#[test_case(""; "nothing")]
#[test_case(" "; "a space")]
#[test_case(";a=b"; "an extension alone")]
#[test_case("0 "; "a space at the end")]
#[test_case(" 0"; "a leading space")]
#[test_case("+0"; "a sign")]
#[test_case("0x0"; "a prefix")]
#[test_case("0 0"; "two numbers")]
#[test_case("0;a\nb"; "a line feed in an extension")]
#[test_case("0;a\rb"; "a carriage return in an extension")]
#[test_case("0;a\0b"; "a control byte in an extension")]
#[test_case("10000000000000000"; "a number too large")]
fn malformed_chunk_sizes_are_refused(line: &str) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}5\r\nhello\r\n{line}\r\n\r\n");
    let parsed = parse(text.as_bytes(), true, EXPECTED);
    let refused = [ParseError::Chunk, ParseError::TooLarge];
    assert!(
        parsed.as_ref().is_err_and(|err| refused.contains(err)),
        "{parsed:?}"
    );
}

/// Guards against refusing chunk-size lines that the standard allows.
#[test_case("5"; "a number")]
#[test_case("005"; "leading zeros")]
#[test_case("5;a"; "an extension")]
#[test_case("5;a=\"b;\tc\";d=\u{e9}"; "a quoted extension")]
#[test_case("5 \t; a = b"; "spaces around an extension")]
fn valid_chunk_sizes_are_read(line: &str) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}{line}\r\nhello\r\n0\r\nX-A: 1\r\n\r\n");
    let (message, _) = parse_complete(text.as_bytes(), false);
    assert_eq!(&message.reply.body[..], b"hello");
}

/// Guards against passing on a field whose name is no token (RFC 9110, section 5.1), or whose
/// value holds a control byte. Names of 40 bytes are read in vectors of several bytes at a time.
#[test]
fn fields_that_are_malformed_are_refused() {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let is_text = |byte: u8| byte == b'\t' || !byte.is_ascii_control();
    let response = |field: &[u8]| {
        let (start, end) = ("HTTP/1.1 200 OK\r\n", "\r\nContent-Length: 2\r\n\r\nok");
        let bytes = [start.as_bytes(), field, end.as_bytes()].concat();
        parse(&bytes, false, EXPECTED)
    };
    for (byte, len) in (0..=u8::MAX).flat_map(|byte| [(byte, 3), (byte, 40)]) {
        for at in [0, 1, len - 1] {
            let mut text = vec![b'x'; len];
            text[at] = byte;
            let parsed = response(&[&text, &b": 1"[..]].concat());
            // A colon within the name ends it.
            let is_name = is_token(byte) || (byte == b':' && at > 0);
            assert_eq!(
                parsed.is_ok(),
                is_name,
                "{byte:#x} at {at} of a name: {parsed:?}"
            );
            let parsed = response(&[&b"x-a: "[..], &text].concat());
            assert_eq!(
                parsed.is_ok(),
                is_text(byte),
                "{byte:#x} at {at} of a value: {parsed:?}"
            );
        }
    }
}

const SOUND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Guards against a malformed response that is refused only if it arrives in one piece, or as the
/// first one of a connection, or as a final one.
#[test_case("HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello"; "a status")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: +5\r\n\r\nhello"; "a length")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nhello"; "two lengths")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nhello"; "chunks and a length")]
#[test_case("HTTP/1.1 200 X\r\nX A: 1\r\nContent-Length: 5\r\n\r\nhello"; "a space in a name")]
#[test_case("HTTP/1.1 200 X\r\nX\u{1}A: 1\r\nContent-Length: 5\r\n\r\nhello"; "a control byte in a name")]
#[test_case("HTTP/1.1 200 X\r\nno field\r\nContent-Length: 5\r\n\r\nhello"; "no colon")]
#[test_case("HTTP/1.1 200 X\r\nX-A: 1\n\r\nContent-Length: 5\r\n\r\nhello"; "a line feed alone")]
#[test_case("HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"; "a name in an interim response")]
#[test_case("HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"; "a length in an interim response")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n"; "a chunk size")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: 1\r\n\r\n"; "a name in trailers")]
fn malformed_responses_are_refused_however_they_arrive(text: &str) {
    assert!(parse(text.as_bytes(), true, EXPECTED).is_err());
    for parts in [1, usize::MAX] {
        let mut reader = ResponseReader::default();
        let mut buf = Vec::new();
        let mut complete = 0;
        let text = [SOUND, SOUND, text].concat();
        let refused = text.as_bytes().chunks(parts).any(|part| {
            buf.extend_from_slice(part);
            loop {
                match reader.advance(&mut buf, false, &NAMES, EXPECTED) {
                    Ok(Parsed::Complete(_)) => complete += 1,
                    Ok(Parsed::Incomplete) => return false,
                    Err(_) => return true,
                }
            }
        });
        assert!(refused && complete == 2, "{complete} responses");
    }
}

/// Guards against refusing fields that the standard allows.
#[test_case("X-A:"; "an empty value")]
#[test_case("X-A: \t "; "a value of spaces")]
#[test_case("X-A:1"; "no space")]
#[test_case("X-A: \t1 2\t "; "spaces around a value")]
#[test_case("X-A: \u{e9}"; "letters beyond ASCII")]
#[test_case("!#$%&'*+-.^_`|~0aZ: 1"; "all special characters of a name")]
fn valid_fields_are_read(field: &str) {
    for status in [200, 204, 304] {
        let text = format!("HTTP/1.1 {status} X\r\n{field}\r\nContent-Length: 0\r\n\r\n");
        let (message, used) = parse_complete(text.as_bytes(), false);
        assert_eq!((message.reply.status, used), (status, text.len()));
        let kept = message.reply.headers.iter();
        let kept = kept.filter(|(name, _)| !name.eq_ignore_ascii_case(b"content-length"));
        assert_eq!(kept.count(), 1);
    }
}
