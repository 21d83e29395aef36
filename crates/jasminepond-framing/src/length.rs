//! Length of a body, as the headers and chunks state it.

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// After this number of bytes.
    Bytes(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Properties of a response that determine its framing in addition to its headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseKind {
    /// Status of a final response.
    pub status: u16,
    /// Whether the response is of HTTP/1.0, which has no transfer codings.
    pub is_http_10: bool,
    /// Whether the request was `HEAD`. The response states the length of a body that is not
    /// sent.
    pub to_head: bool,
}

impl Default for ResponseKind {
    fn default() -> Self {
        Self {
            status: 200,
            is_http_10: false,
            to_head: false,
        }
    }
}

/// The head of a response does not state clearly where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// A `Content-Length` is not a decimal number, or is a list of different numbers.
    #[error("invalid Content-Length")]
    ContentLength,
    /// A `Transfer-Encoding` is not `chunked` alone, or is used in HTTP/1.0.
    #[error("unsupported Transfer-Encoding")]
    TransferEncoding,
    /// Several headers state the length in different ways.
    #[error("conflicting lengths of the body")]
    Conflict,
    /// The status does not allow a body, but the headers state one.
    #[error("a body is stated for status {0}")]
    UnexpectedBody(u16),
}

/// Returns how the body of a response with these headers, as pairs of name and value, ends.
///
/// # Errors
///
/// The headers are malformed, conflict with each other, or do not fit the status.
///
/// ```
/// use jasminepond_framing::{BodyLength, FramingError, ResponseKind, body_length};
///
/// let kind = ResponseKind::default();
/// let length = [("Content-Length", &b"5"[..])];
/// assert_eq!(body_length(kind, length), Ok(BodyLength::Bytes(5)));
/// let lengths = [("Content-Length", &b"5"[..]), ("Content-Length", b"6")];
/// assert_eq!(body_length(kind, lengths), Err(FramingError::Conflict));
/// ```
pub fn body_length<'a>(
    kind: ResponseKind,
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
) -> Result<BodyLength, FramingError> {
    let mut stated = None;
    for (name, value) in headers {
        let length = if name.eq_ignore_ascii_case("content-length") {
            BodyLength::Bytes(content_length(value)?)
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            transfer_encoding(kind, value)?
        } else {
            continue;
        };
        match stated {
            None => stated = Some(length),
            // Repetitions of one length are valid (RFC 9112, section 6.3). `chunked` must not
            // be applied twice.
            Some(BodyLength::Bytes(_)) if stated == Some(length) => {}
            Some(_) => return Err(FramingError::Conflict),
        }
    }
    match (kind.status, stated) {
        // The length is that of the response to a GET request.
        (304, _) => Ok(BodyLength::Bytes(0)),
        _ if kind.to_head => Ok(BodyLength::Bytes(0)),
        (204, None | Some(BodyLength::Bytes(0))) => Ok(BodyLength::Bytes(0)),
        (204, Some(_)) => Err(FramingError::UnexpectedBody(kind.status)),
        (_, stated) => Ok(stated.unwrap_or(BodyLength::UntilClose)),
    }
}

/// Parses a chunk-size line without its line end. Extensions are ignored. Returns `None` if the
/// line is malformed or the size does not fit.
///
/// ```
/// use jasminepond_framing::parse_chunk_size;
///
/// assert_eq!(parse_chunk_size(b"1a;name=value"), Some(26));
/// // An empty line is not the last chunk.
/// assert_eq!(parse_chunk_size(b""), None);
/// ```
pub fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (size, rest) = line.split_at(digits.count());
    let is_text = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    let is_extension = trim(rest).starts_with(b";") && rest.iter().all(is_text);
    if !rest.is_empty() && !is_extension {
        return None;
    }
    // Fails for a line without digits.
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()
}

/// Parses a `Content-Length`: a number, or a list that repeats it.
fn content_length(value: &[u8]) -> Result<u64, FramingError> {
    let mut elements = value.split(|byte| *byte == b',').map(decimal);
    let first = elements.next().flatten();
    match elements.all(|element| element == first) {
        true => first.ok_or(FramingError::ContentLength),
        false => Err(FramingError::ContentLength),
    }
}

/// Parses a decimal number. [`str::parse`] would also accept a sign.
fn decimal(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(trim(text)).ok()?;
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    is_decimal.then(|| text.parse().ok()).flatten()
}

/// Codings other than `chunked` are refused: a body in them is not that of the server.
fn transfer_encoding(kind: ResponseKind, value: &[u8]) -> Result<BodyLength, FramingError> {
    let is_chunked = trim(value).eq_ignore_ascii_case(b"chunked");
    match is_chunked && !kind.is_http_10 {
        true => Ok(BodyLength::Chunked),
        false => Err(FramingError::TransferEncoding),
    }
}

/// Removes the spaces and tabs that may surround a value. Other white space is part of it.
fn trim(mut value: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = value {
        value = rest;
    }
    value
}
