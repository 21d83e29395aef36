//! Reads the responses of backend servers.
//!
//! A server in trouble may send anything, without end. Each byte is looked at once or
//! twice, and everything that is kept has a limit.

use std::time::Duration;

use bytes::Bytes;
use jasminepond_forward::{Reply, RetryAfter};

use crate::HeaderNames;

/// Most headers of a response that are read.
const MAX_HEADERS: usize = 64;

/// Longest accepted status line with headers, in bytes, those of interim responses
/// included.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most interim responses before the response.
const MAX_INTERIM: u32 = 16;

/// Longest accepted body in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;

/// Longest line before a chunk, in bytes, with its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Bytes of chunk lines that may exceed those of the body.
const MAX_FRAMING_BYTES: usize = 8 << 10;

/// Longest accepted trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Status of a server that is not the one that the request names.
const MISDIRECTED: u16 = 421;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedResponse {
    /// Whether the headers of the response are passed on.
    pub keep_headers: bool,
    /// Whether a body follows the headers; none does if the method was `HEAD`,
    /// although they state the length that it would have.
    pub has_body: bool,
}

impl Default for ExpectedResponse {
    fn default() -> Self {
        Self {
            keep_headers: false,
            has_body: true,
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
    /// More bytes are needed.
    Incomplete,
    /// It is whole.
    Complete(Box<Message>),
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
    Truncated,
}

/// Where the body of a response ends.
enum Framing {
    Empty,
    Length(usize),
    Chunked,
    UntilClose,
}

/// What comes next.
#[derive(Debug, Default)]
enum Phase {
    #[default]
    Head,
    /// The rest of a body with a length.
    Length(Partial, usize),
    /// The line before a chunk.
    ChunkLine(Partial),
    /// The rest of a chunk and the end of its line.
    Chunk(Partial, usize),
    Trailers(Partial),
    UntilClose(Partial),
}

/// A response whose body is not whole.
#[derive(Debug)]
struct Partial {
    message: Box<Message>,
    body: Vec<u8>,
    /// Bytes of chunk lines.
    framing: usize,
}

/// What a step of the reader leads to.
enum Step {
    /// Go on in this phase.
    To(Phase),
    /// Wait for more bytes in this phase.
    Wait(Phase),
    Whole(Partial),
}

/// Reads one response after the other from the bytes of a connection.
///
/// ```
/// use jasminepond_gateway::{HeaderNames, Parsed, ResponseReader, ExpectedResponse};
///
/// let names = HeaderNames {
///     request_id: "x-id", time_left_ms: "x-left", expected_server: "x-server",
///     stamp: "x-stamp", not_run: "x-not-run", leaving: "x-leaving", store_era: "x-era",
///     part_stamps: "x-parts", missing_parts: "x-missing",
/// };
/// let bytes = b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
/// let mut reader = ResponseReader::default();
/// let mut buf = bytes[..30].to_vec();
/// let first = reader.advance(&mut buf, false, &names, ExpectedResponse::default());
/// assert_eq!(first, Ok(Parsed::Incomplete));
/// buf.extend_from_slice(&bytes[30..]);
/// let Ok(Parsed::Complete(message)) = reader.advance(&mut buf, false, &names, ExpectedResponse::default())
/// else {
///     panic!("a whole response");
/// };
/// assert_eq!((&message.reply.body[..], buf.len()), (&b"ok"[..], 0));
/// ```
#[derive(Debug, Default)]
pub struct ResponseReader {
    phase: Phase,
    /// Bytes at the start of the buffer that hold no end of a head or of trailers.
    scanned: usize,
    /// Bytes of heads before the response.
    interim_bytes: usize,
    interim: u32,
}

impl ResponseReader {
    /// Takes the bytes of a response from the start of `buf`. `ended` says that the
    /// server has closed its side. Bytes behind a whole response stay in `buf`.
    ///
    /// # Errors
    ///
    /// The bytes are not a response, exceed a limit, or broke off. The connection is
    /// of no use any more.
    pub fn advance(
        &mut self,
        buf: &mut Vec<u8>,
        ended: bool,
        names: &HeaderNames,
        expected: ExpectedResponse,
    ) -> Result<Parsed, ParseError> {
        let mut at = 0;
        loop {
            let phase = std::mem::take(&mut self.phase);
            let step = match phase {
                Phase::Head => self.head(buf, &mut at, names, expected)?,
                Phase::Length(partial, left) => body(partial, left, buf, &mut at),
                Phase::ChunkLine(partial) => chunk_line(partial, buf, &mut at)?,
                Phase::Chunk(partial, left) => chunk(partial, left, buf, &mut at)?,
                Phase::Trailers(partial) => self.trailers(partial, buf, &mut at)?,
                Phase::UntilClose(partial) => until_close(partial, ended, buf, &mut at)?,
            };
            match step {
                Step::To(phase) => self.phase = phase,
                Step::Wait(_) if ended => return Err(ParseError::Truncated),
                Step::Wait(phase) => {
                    self.phase = phase;
                    buf.drain(..at);
                    return Ok(Parsed::Incomplete);
                }
                Step::Whole(mut partial) => {
                    buf.drain(..at);
                    *self = Self::default();
                    partial.message.reply.body = partial.body.into();
                    return Ok(Parsed::Complete(partial.message));
                }
            }
        }
    }

    /// Bytes of the body that are kept until it is whole.
    pub fn buffered(&self) -> usize {
        match &self.phase {
            Phase::Head => 0,
            Phase::Length(partial, _)
            | Phase::ChunkLine(partial)
            | Phase::Chunk(partial, _)
            | Phase::Trailers(partial)
            | Phase::UntilClose(partial) => partial.body.len(),
        }
    }

    fn head(
        &mut self,
        buf: &[u8],
        at: &mut usize,
        names: &HeaderNames,
        expected: ExpectedResponse,
    ) -> Result<Step, ParseError> {
        let rest = &buf[*at..];
        let Some(len) = self.block_end(rest) else {
            if self.interim_bytes + rest.len() > MAX_HEAD_BYTES {
                return Err(ParseError::TooLarge);
            }
            // What cannot become a status line need not be waited for.
            check_start(rest)?;
            return Ok(Step::Wait(Phase::Head));
        };
        if self.interim_bytes + len > MAX_HEAD_BYTES {
            return Err(ParseError::TooLarge);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(&rest[..len]) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) | Err(_) => return Err(ParseError::Head),
        }
        *at += len;
        let status = head.code.ok_or(ParseError::Head)?;
        if (100..200).contains(&status) {
            // An interim response: the real one follows.
            self.interim += 1;
            self.interim_bytes += len;
            if self.interim > MAX_INTERIM {
                return Err(ParseError::TooLarge);
            }
            return Ok(Step::To(Phase::Head));
        }
        let mut message = Box::new(Message {
            request_id: None,
            reply: Reply {
                status,
                stamp: None,
                missing: 0,
                not_run: false,
                wrong_server: status == MISDIRECTED,
                leaving: false,
                retry_after: None,
                encoded: false,
                headers: Vec::new(),
                body: Bytes::new(),
            },
            keep_alive: None,
            closes: head.version == Some(0),
        });
        let framing = read_headers(&mut message, head.headers, names, expected.keep_headers)?;
        let partial = Partial {
            message,
            body: Vec::new(),
            framing: 0,
        };
        Ok(match framing {
            _ if status == 204 || status == 304 || !expected.has_body => Step::Whole(partial),
            Framing::Empty => Step::Whole(partial),
            Framing::Length(len) if len > MAX_BODY_BYTES => return Err(ParseError::TooLarge),
            Framing::Length(len) => Step::To(Phase::Length(partial, len)),
            Framing::Chunked => Step::To(Phase::ChunkLine(partial)),
            Framing::UntilClose => Step::To(Phase::UntilClose(partial)),
        })
    }

    fn trailers(
        &mut self,
        partial: Partial,
        buf: &[u8],
        at: &mut usize,
    ) -> Result<Step, ParseError> {
        let rest = &buf[*at..];
        let empty = rest.starts_with(b"\r\n").then_some(2);
        let Some(len) = empty.or_else(|| self.block_end(rest)) else {
            if rest.len() > MAX_TRAILER_BYTES {
                return Err(ParseError::TooLarge);
            }
            return Ok(Step::Wait(Phase::Trailers(partial)));
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(&rest[..len], &mut headers) {
            Ok(httparse::Status::Complete(_)) => {
                *at += len;
                Ok(Step::Whole(partial))
            }
            _ => Err(ParseError::Chunk),
        }
    }

    /// Length of the lines at the start of `rest` up to and with the first empty one,
    /// or `None` if it has not arrived. Looks at each byte once.
    fn block_end(&mut self, rest: &[u8]) -> Option<usize> {
        let mut at = self.scanned.min(rest.len());
        let mut end = None;
        while let Some(len) = rest[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + len;
            let before = &rest[..line_end];
            at = line_end + 1;
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                end = Some(at);
                break;
            }
        }
        self.scanned = if end.is_some() { 0 } else { rest.len() };
        end
    }
}

/// Whether bytes may be the start of a status line.
fn check_start(rest: &[u8]) -> Result<(), ParseError> {
    let expected = b"HTTP/1.";
    let len = rest.len().min(expected.len());
    match rest[..len] == expected[..len] {
        true => Ok(()),
        false => Err(ParseError::Head),
    }
}

fn body(mut partial: Partial, left: usize, buf: &[u8], at: &mut usize) -> Step {
    let len = left.min(buf.len() - *at);
    partial.body.extend_from_slice(&buf[*at..*at + len]);
    *at += len;
    match left - len {
        0 => Step::Whole(partial),
        left => Step::Wait(Phase::Length(partial, left)),
    }
}

fn chunk_line(mut partial: Partial, buf: &[u8], at: &mut usize) -> Result<Step, ParseError> {
    let rest = &buf[*at..];
    let (line, len) =
        match httparse::parse_chunk_size(&rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)]) {
            Ok(httparse::Status::Complete(chunk)) => chunk,
            Ok(httparse::Status::Partial) if rest.len() >= MAX_CHUNK_LINE_BYTES => {
                return Err(ParseError::TooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(Step::Wait(Phase::ChunkLine(partial))),
            Err(_) => return Err(ParseError::Chunk),
        };
    *at += line;
    partial.framing += line + 2;
    let framing_allowed = partial.body.len() + MAX_FRAMING_BYTES;
    if len > (MAX_BODY_BYTES - partial.body.len()) as u64 || partial.framing > framing_allowed {
        return Err(ParseError::TooLarge);
    }
    Ok(Step::To(match len {
        0 => Phase::Trailers(partial),
        len => Phase::Chunk(partial, len as usize),
    }))
}

fn chunk(
    mut partial: Partial,
    left: usize,
    buf: &[u8],
    at: &mut usize,
) -> Result<Step, ParseError> {
    let len = left.min(buf.len() - *at);
    partial.body.extend_from_slice(&buf[*at..*at + len]);
    *at += len;
    let left = left - len;
    match &buf[*at..] {
        _ if left > 0 => Ok(Step::Wait(Phase::Chunk(partial, left))),
        [] | [b'\r'] => Ok(Step::Wait(Phase::Chunk(partial, 0))),
        [b'\r', b'\n', ..] => {
            *at += 2;
            Ok(Step::To(Phase::ChunkLine(partial)))
        }
        _ => Err(ParseError::Chunk),
    }
}

fn until_close(
    mut partial: Partial,
    ended: bool,
    buf: &[u8],
    at: &mut usize,
) -> Result<Step, ParseError> {
    partial.body.extend_from_slice(&buf[*at..]);
    *at = buf.len();
    if partial.body.len() > MAX_BODY_BYTES {
        return Err(ParseError::TooLarge);
    }
    if !ended {
        return Ok(Step::Wait(Phase::UntilClose(partial)));
    }
    partial.message.closes = true;
    Ok(Step::Whole(partial))
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
        } else if is(names.leaving) {
            message.reply.leaving = value.trim_ascii() != b"0";
            keep(message, header, pass_on);
        } else if is("retry-after") {
            note_retry_after(&mut message.reply, value);
            keep(message, header, pass_on);
        } else {
            if is("content-encoding") {
                message.reply.encoded |= !value.eq_ignore_ascii_case(b"identity");
            }
            keep(message, header, pass_on && !is("trailer") && !is("upgrade"));
        }
    }
    Ok(framing)
}

/// Of several values the longest wait holds.
fn note_retry_after(reply: &mut Reply, value: &[u8]) {
    let stated = std::str::from_utf8(value).map_or(RetryAfter::Invalid, |text| {
        let Ok(stated) = text.parse();
        stated
    });
    reply.retry_after = match (reply.retry_after, stated) {
        (Some(RetryAfter::Wait(a)), RetryAfter::Wait(b)) => Some(RetryAfter::Wait(a.max(b))),
        (Some(known @ RetryAfter::Wait(_)), RetryAfter::Invalid) => Some(known),
        (_, stated) => Some(stated),
    };
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
