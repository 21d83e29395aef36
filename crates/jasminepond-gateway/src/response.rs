//! Reads the responses of backend servers.

use std::{ops::Range, time::Duration};

use bytes::Bytes;
use jasminepond_forward::Reply;

use crate::HeaderNames;

/// Most headers of a response that are read.
const MAX_HEADERS: usize = 64;

/// Longest accepted status line with headers, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Longest accepted body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Status of a server that is not the one that the request names.
const MISDIRECTED: u16 = 421;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wanted {
    /// Whether the headers of the response are passed on.
    pub headers: bool,
    /// Whether a body follows the headers; none does if the method was `HEAD`,
    /// although they state the length that it would have.
    pub body: bool,
}

impl Default for Wanted {
    fn default() -> Self {
        Self {
            headers: false,
            body: true,
        }
    }
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Id of the request that it answers, if the server states it.
    pub request_id: Option<Bytes>,
    /// The response.
    pub reply: Reply,
    /// How long the connection may be idle, if the server says so.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends after the response.
    pub closes: bool,
}

/// How far a response has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parsed {
    /// It needs at least this many bytes in all.
    Incomplete(usize),
    /// It is whole and takes this many bytes.
    Complete(Box<Message>, usize),
}

/// Bytes are not a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The status line or headers are malformed.
    #[error("malformed status line or headers")]
    Head,
    /// The length of the body is not a number or is stated in two ways.
    #[error("the length of the body is not clear")]
    Length,
    /// A chunk is malformed.
    #[error("malformed chunk")]
    Chunk,
    /// Head or body are larger than accepted.
    #[error("the response is too large")]
    TooLarge,
    /// The connection ended within the response.
    #[error("the response broke off")]
    BrokenOff,
}

enum Framing {
    Empty,
    Length(usize),
    Chunked,
    UntilClose,
}

/// Reads the response at the start of `buf`. `ended` says that the server has
/// closed its side.
///
/// # Errors
///
/// The bytes are not a response, or it broke off.
///
/// ```
/// use jasminepond_gateway::{HeaderNames, Parsed, Wanted, parse};
///
/// let names = HeaderNames {
///     request_id: "x-id", time_left_ms: "x-left", expected_server: "x-server",
///     stamp: "x-stamp", not_run: "x-not-run", part_stamps: "x-parts", missing_parts: "x-missing",
/// };
/// let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
/// let Ok(Parsed::Complete(message, used)) = parse(bytes, false, &names, Wanted::default()) else {
///     panic!("a whole response");
/// };
/// assert_eq!((&message.reply.body[..], used), (&b"ok"[..], bytes.len()));
/// let part = parse(&bytes[..30], false, &names, Wanted::default());
/// assert!(matches!(part, Ok(Parsed::Incomplete(_))));
/// ```
pub fn parse(
    buf: &[u8],
    ended: bool,
    names: &HeaderNames,
    wanted: Wanted,
) -> Result<Parsed, ParseError> {
    match parse_at(buf, ended, names, wanted) {
        Ok(Parsed::Incomplete(_)) if ended => Err(ParseError::BrokenOff),
        result => result,
    }
}

fn parse_at(
    buf: &[u8],
    ended: bool,
    names: &HeaderNames,
    wanted: Wanted,
) -> Result<Parsed, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_len = match head.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD_BYTES => {
            return Err(ParseError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(Parsed::Incomplete(buf.len() + 1)),
        Err(_) => return Err(ParseError::Head),
    };
    let status = head.code.ok_or(ParseError::Head)?;
    if (100..200).contains(&status) {
        // An interim response: the real one follows.
        return Ok(match parse_at(&buf[head_len..], ended, names, wanted)? {
            Parsed::Incomplete(needed) => Parsed::Incomplete(head_len + needed),
            Parsed::Complete(message, used) => Parsed::Complete(message, head_len + used),
        });
    }
    let mut message = Message {
        request_id: None,
        reply: Reply {
            status,
            stamp: None,
            missing: 0,
            not_run: false,
            wrong_server: status == MISDIRECTED,
            encoded: false,
            headers: Vec::new(),
            body: Bytes::new(),
        },
        keep_alive: None,
        closes: head.version == Some(0),
    };
    let framing = read_headers(&mut message, head.headers, names, wanted.headers)?;
    let (body, used) = match framing {
        _ if status == 204 || status == 304 || !wanted.body => (Bytes::new(), head_len),
        Framing::Empty => (Bytes::new(), head_len),
        Framing::Length(len) if len > MAX_BODY_BYTES => return Err(ParseError::TooLarge),
        Framing::Length(len) => match buf.get(head_len..head_len + len) {
            Some(body) => (Bytes::copy_from_slice(body), head_len + len),
            None => return Ok(Parsed::Incomplete(head_len + len)),
        },
        Framing::Chunked => match chunked(&buf[head_len..])? {
            Some((body, len)) => (body, head_len + len),
            None => return Ok(Parsed::Incomplete(buf.len() + 1)),
        },
        Framing::UntilClose if buf.len() - head_len > MAX_BODY_BYTES => {
            return Err(ParseError::TooLarge);
        }
        Framing::UntilClose if !ended => return Ok(Parsed::Incomplete(buf.len() + 1)),
        Framing::UntilClose => {
            message.closes = true;
            (Bytes::copy_from_slice(&buf[head_len..]), buf.len())
        }
    };
    message.reply.body = body;
    Ok(Parsed::Complete(Box::new(message), used))
}

fn read_headers(
    message: &mut Message,
    headers: &[httparse::Header<'_>],
    names: &HeaderNames,
    pass_on: bool,
) -> Result<Framing, ParseError> {
    let mut framing = Framing::UntilClose;
    for header in headers {
        let (name, value) = (header.name, header.value);
        let is = |other: &str| name.eq_ignore_ascii_case(other);
        if is("content-length") {
            let len = std::str::from_utf8(value).ok();
            let len = len.and_then(|len| len.trim().parse().ok());
            let len = len.ok_or(ParseError::Length)?;
            framing = match framing {
                Framing::Length(other) if other != len => return Err(ParseError::Length),
                Framing::Chunked => return Err(ParseError::Length),
                _ if len == 0 => Framing::Empty,
                _ => Framing::Length(len),
            };
        } else if is("transfer-encoding") {
            if !matches!(framing, Framing::UntilClose) || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ParseError::Length);
            }
            framing = Framing::Chunked;
        } else if is("connection") {
            let value = value.to_ascii_lowercase();
            message.closes |= value.windows(5).any(|word| word == b"close");
        } else if is("keep-alive") {
            message.keep_alive = keep_alive(value);
        } else if is(names.request_id) {
            message.request_id = Some(Bytes::copy_from_slice(value));
            keep(message, header, pass_on);
        } else if is(names.missing_parts) {
            let missing = std::str::from_utf8(value).ok();
            message.reply.missing = missing.and_then(|m| m.trim().parse().ok()).unwrap_or(0);
        } else if is(names.stamp) || is(names.part_stamps) {
            message.reply.stamp = Some(Bytes::copy_from_slice(value));
        } else if is(names.not_run) {
            message.reply.not_run = true;
        } else {
            if is("content-encoding") {
                message.reply.encoded |= !value.eq_ignore_ascii_case(b"identity");
            }
            keep(message, header, pass_on && !is("trailer") && !is("upgrade"));
        }
    }
    Ok(framing)
}

fn keep(message: &mut Message, header: &httparse::Header<'_>, pass_on: bool) {
    if pass_on {
        let name = Bytes::copy_from_slice(header.name.as_bytes());
        let value = Bytes::copy_from_slice(header.value);
        message.reply.headers.push((name, value));
    }
}

/// The `timeout` of a `Keep-Alive` header, in whole seconds.
fn keep_alive(value: &[u8]) -> Option<Duration> {
    let value = std::str::from_utf8(value).ok()?;
    let timeout = value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then_some(seconds)
    })?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// The body in chunks at the start of `buf` and its length there, or `None` if it
/// is not whole.
fn chunked(buf: &[u8]) -> Result<Option<(Bytes, usize)>, ParseError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (head, len) = match httparse::parse_chunk_size(&buf[at..]) {
            Ok(httparse::Status::Complete((head, len))) => (head, len),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ParseError::Chunk),
        };
        if len > (MAX_BODY_BYTES - body.len()) as u64 {
            return Err(ParseError::TooLarge);
        }
        at += head;
        if len == 0 {
            return trailers(buf, at).map(|end| end.map(|end| (body.into(), end)));
        }
        let Range { start, end } = at..at + len as usize;
        match buf.get(end..end + 2) {
            Some(b"\r\n") => body.extend_from_slice(&buf[start..end]),
            Some(_) => return Err(ParseError::Chunk),
            None => return Ok(None),
        }
        at = end + 2;
    }
}

/// Where the trailers that begin at `at` end, or `None` if they are not whole.
fn trailers(buf: &[u8], at: usize) -> Result<Option<usize>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&buf[at..], &mut headers) {
        Ok(httparse::Status::Complete((len, _))) => Ok(Some(at + len)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ParseError::Chunk),
    }
}
