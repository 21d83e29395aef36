//! Tests of the framing of responses. A body with a wrong length reaches a caller as a complete
//! response.

use jasminepond_framing::{BodyLength, FramingError, ResponseKind, body_length};
use test_case::test_case;

fn parse(kind: ResponseKind, headers: &str) -> Result<BodyLength, FramingError> {
    let headers = headers.split('\n').filter_map(|line| line.split_once(':'));
    body_length(kind, headers.map(|(name, value)| (name, value.as_bytes())))
}

/// Guards against a length that is read from a value that is no length.
#[test_case("Content-Length:"; "nothing")]
#[test_case("Content-Length:+5"; "plus")]
#[test_case("Content-Length:-5"; "minus")]
#[test_case("Content-Length:0x5"; "hexadecimal")]
#[test_case("Content-Length:5.0"; "a fraction")]
#[test_case("Content-Length:5 5"; "two words")]
#[test_case("Content-Length:5;"; "a parameter")]
#[test_case("Content-Length:5,"; "an empty element")]
#[test_case("Content-Length:5, 6"; "a list of different lengths")]
#[test_case("Content-Length:5, +5"; "a list with a sign")]
#[test_case("Content-Length:\u{a0}5"; "a space that is not ASCII")]
#[test_case("Content-Length:5\u{b}"; "a vertical tab")]
#[test_case("Content-Length:\u{665}"; "a digit that is not ASCII")]
#[test_case("Content-Length:18446744073709551616"; "a number too large")]
fn malformed_lengths_are_refused(headers: &str) {
    let refused = Err(FramingError::ContentLength);
    assert_eq!(parse(ResponseKind::default(), headers), refused);
    // Not even a response without a body may state them.
    for (status, to_head) in [(200, true), (204, false), (304, false)] {
        let kind = ResponseKind {
            status,
            to_head,
            ..ResponseKind::default()
        };
        assert_eq!(parse(kind, headers), refused);
    }
}

/// Guards against a body that is passed on in a transfer coding, or whose end is guessed.
#[test_case("Transfer-Encoding:"; "nothing")]
#[test_case("Transfer-Encoding:gzip"; "another coding")]
#[test_case("Transfer-Encoding:identity"; "no coding")]
#[test_case("Transfer-Encoding:gzip, chunked"; "two codings")]
#[test_case("Transfer-Encoding:chunked, chunked"; "chunked twice")]
#[test_case("Transfer-Encoding:, chunked"; "an empty element")]
#[test_case("Transfer-Encoding:chunked;a=b"; "a parameter")]
#[test_case("Transfer-Encoding:xchunked"; "an unknown coding")]
fn other_transfer_codings_are_refused(headers: &str) {
    let refused = Err(FramingError::TransferEncoding);
    assert_eq!(parse(ResponseKind::default(), headers), refused);
}

/// Guards against choosing one of several lengths.
#[test_case("Content-Length:5\nContent-Length:6"; "two lengths")]
#[test_case("Content-Length:0\nContent-Length:5"; "first none")]
#[test_case("Content-Length:5\nContent-Length:0"; "then none")]
#[test_case("Content-Length:5\nTransfer-Encoding:chunked"; "a length and chunks")]
#[test_case("Transfer-Encoding:chunked\nContent-Length:0"; "chunks and no length")]
#[test_case("Transfer-Encoding:chunked\nTransfer-Encoding:chunked"; "chunks twice")]
fn conflicting_lengths_are_refused(headers: &str) {
    let refused = Err(FramingError::Conflict);
    assert_eq!(parse(ResponseKind::default(), headers), refused);
}

/// Guards against bytes after a response without a body that are taken for the next response,
/// and against a transfer coding in HTTP/1.0, which does not define any.
#[test]
fn lengths_that_do_not_fit_the_response_are_refused() {
    let no_content = ResponseKind {
        status: 204,
        ..ResponseKind::default()
    };
    let refused = Err(FramingError::UnexpectedBody(204));
    assert_eq!(parse(no_content, "Content-Length:5"), refused);
    assert_eq!(parse(no_content, "Transfer-Encoding:chunked"), refused);
    let http_10 = ResponseKind {
        is_http_10: true,
        ..ResponseKind::default()
    };
    let refused = Err(FramingError::TransferEncoding);
    assert_eq!(parse(http_10, "Transfer-Encoding:chunked"), refused);
}

/// Guards against refusing what the standard allows.
#[test_case(200, "Content-Length:5", BodyLength::Bytes(5); "a length")]
#[test_case(200, "content-length: \t05 ", BodyLength::Bytes(5); "with spaces and a zero")]
#[test_case(200, "Content-Length:5\nX-A:1\nContent-Length:5", BodyLength::Bytes(5); "repeated headers")]
#[test_case(200, "Content-Length:5 , 5", BodyLength::Bytes(5); "a repeated value")]
#[test_case(500, "Content-Length:0", BodyLength::Bytes(0); "an empty body")]
#[test_case(200, "TRANSFER-ENCODING: Chunked", BodyLength::Chunked; "chunks")]
#[test_case(200, "X-A:1", BodyLength::UntilClose; "no length")]
#[test_case(204, "", BodyLength::Bytes(0); "no content")]
#[test_case(204, "Content-Length:0", BodyLength::Bytes(0); "no content and a length of zero")]
#[test_case(304, "Content-Length:5", BodyLength::Bytes(0); "not modified")]
#[test_case(304, "Transfer-Encoding:chunked", BodyLength::Bytes(0); "not modified, in chunks")]
fn valid_lengths_are_read(status: u16, headers: &str, expected: BodyLength) {
    let kind = ResponseKind {
        status,
        ..ResponseKind::default()
    };
    assert_eq!(parse(kind, headers), Ok(expected));
    let to_head = ResponseKind {
        to_head: true,
        ..kind
    };
    assert_eq!(parse(to_head, headers), Ok(BodyLength::Bytes(0)));
}
