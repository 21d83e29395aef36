//! Parser for the heads of a response: those of interim responses and the final one.

use std::ops::Range;

use crate::{BodyLength, FramingError, ResponseKind, body_length};

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// Maximum bytes of status lines and headers, including those of interim responses.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM: u32 = 16;

/// Statuses of interim responses, which other responses follow.
const INTERIM_STATUSES: Range<u16> = 100..200;

/// Statuses of final responses.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Status with which a server changes to another protocol. No request asks for that.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The bytes are not the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status line or headers are malformed.
    #[error("malformed status line or headers")]
    Malformed,
    /// The head is too long, or there are too many interim responses.
    #[error("the head of the response is too large")]
    TooLarge,
    /// The status is outside 100 to 599, or an interim status in a final response. Servers in
    /// trouble send such responses.
    #[error("invalid status {0:03}")]
    Status(u16),
    /// The headers do not state clearly where the body ends.
    #[error("the length of the body is not clear: {0}")]
    Length(#[from] FramingError),
}

/// Result of [`HeadReader::advance`]. Lengths include the empty line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadStep<T> {
    /// More bytes are needed.
    Incomplete,
    /// The head of an interim response of this length. Another response follows.
    Interim(usize),
    /// The head of the final response of this length, and what was read from it.
    Final(usize, T),
}

/// Reads the heads of a response.
///
/// ```
/// use jasminepond_framing::{BodyLength, HeadReader, HeadStep};
///
/// let mut reader = HeadReader::default();
/// let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// let first = reader.advance(&bytes[..20], false, |_, length| length)?;
/// assert_eq!(first, HeadStep::Incomplete);
/// let second = reader.advance(bytes, false, |_, length| length)?;
/// assert_eq!(second, HeadStep::Final(38, BodyLength::Bytes(2)));
/// # Ok::<(), jasminepond_framing::HeadError>(())
/// ```
#[derive(Debug, Default)]
pub struct HeadReader {
    block: BlockReader,
    /// Number of interim responses so far.
    interim: u32,
    /// Bytes of these responses.
    interim_bytes: usize,
}

impl HeadReader {
    /// Parses the head at the start of `bytes`, which grow until it is complete. `to_head` states
    /// that the request was `HEAD`. `read` gets the head of the final response, and how its body
    /// ends.
    ///
    /// # Errors
    ///
    /// The bytes are malformed or exceed a limit.
    pub fn advance<T>(
        &mut self,
        bytes: &[u8],
        to_head: bool,
        read: impl FnOnce(&httparse::Response<'_, '_>, BodyLength) -> T,
    ) -> Result<HeadStep<T>, HeadError> {
        check_start(bytes)?;
        let end = self.block.advance(bytes);
        let len = match end {
            BlockEnd::At(len) => len,
            BlockEnd::Incomplete => bytes.len(),
            BlockEnd::Malformed => return Err(HeadError::Malformed),
        };
        if self.interim_bytes + len > MAX_HEAD_BYTES {
            return Err(HeadError::TooLarge);
        }
        if end == BlockEnd::Incomplete {
            return Ok(HeadStep::Incomplete);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(&bytes[..len]) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
        }
        if let Some(length) = final_length(&head, to_head)? {
            *self = Self::default();
            return Ok(HeadStep::Final(len, read(&head, length)));
        }
        self.interim += 1;
        self.interim_bytes += len;
        match self.interim > MAX_INTERIM {
            true => Err(HeadError::TooLarge),
            false => Ok(HeadStep::Interim(len)),
        }
    }
}

/// Returns how the body of a final response ends, or `None` for an interim response.
fn final_length(
    head: &httparse::Response<'_, '_>,
    to_head: bool,
) -> Result<Option<BodyLength>, HeadError> {
    let status = head.code.ok_or(HeadError::Malformed)?;
    if !is_valid_status(status, head.headers) {
        return Err(HeadError::Status(status));
    }
    if INTERIM_STATUSES.contains(&status) {
        return Ok(None);
    }
    let kind = ResponseKind {
        status,
        is_http_10: head.version == Some(0),
        to_head,
    };
    let headers = head.headers.iter();
    let length = body_length(kind, headers.map(|header| (header.name, header.value)))?;
    Ok(Some(length))
}

/// Finds the empty line that ends a block of lines, such as a head or trailers. Examines each byte
/// once.
#[derive(Debug, Default)]
pub struct BlockReader {
    /// Bytes at the start of the block already searched.
    scanned: usize,
}

/// End of a block of lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockEnd {
    /// The block has this many bytes, including the empty line.
    At(usize),
    /// The empty line has not been received yet.
    Incomplete,
    /// A line ends with a line feed alone.
    Malformed,
}

impl BlockReader {
    /// Searches `bytes`, which start with the block and grow until the empty line is found.
    ///
    /// ```
    /// use jasminepond_framing::{BlockReader, BlockEnd};
    ///
    /// let mut block = BlockReader::default();
    /// assert_eq!(block.advance(b"a: b\r\n"), BlockEnd::Incomplete);
    /// assert_eq!(block.advance(b"a: b\r\n\r\nbody"), BlockEnd::At(8));
    /// assert_eq!(block.advance(b"a: b\n"), BlockEnd::Malformed);
    /// ```
    pub fn advance(&mut self, bytes: &[u8]) -> BlockEnd {
        let mut at = self.scanned.min(bytes.len());
        self.scanned = bytes.len();
        while let Some(len) = bytes[at..].iter().position(|byte| *byte == b'\n') {
            // httparse accepts a line feed alone. An empty line of that kind within the head
            // would make the rest of the head a part of the body.
            let Some(before) = bytes[..at + len].strip_suffix(b"\r") else {
                return BlockEnd::Malformed;
            };
            at += len + 1;
            if before.is_empty() || before.ends_with(b"\n") {
                self.scanned = 0;
                return BlockEnd::At(at);
            }
        }
        BlockEnd::Incomplete
    }
}

/// Whether a response with these headers may have the status. An interim response has no body,
/// so one that states a length is a final response.
fn is_valid_status(status: u16, headers: &[httparse::Header<'_>]) -> bool {
    let states_body = |header: &httparse::Header<'_>| {
        let names = ["content-length", "transfer-encoding"];
        names
            .iter()
            .any(|name| header.name.eq_ignore_ascii_case(name))
    };
    match status {
        SWITCHING_PROTOCOLS => false,
        status if INTERIM_STATUSES.contains(&status) => !headers.iter().any(states_body),
        status => FINAL_STATUSES.contains(&status),
    }
}

/// Checks that the bytes can be the start of a status line.
fn check_start(rest: &[u8]) -> Result<(), HeadError> {
    let expected = b"HTTP/1.";
    let len = rest.len().min(expected.len());
    match rest[..len] == expected[..len] {
        true => Ok(()),
        false => Err(HeadError::Malformed),
    }
}
