//! Heads of HTTP/1.1 responses, and where their bodies end (RFC 9112).
//!
//! A response whose head is malformed, or does not state clearly where the body ends, is refused:
//! otherwise a caller would get a part of the body, or bytes that are not part of it, as a complete
//! response.

mod head;
mod length;

pub use head::{BlockEnd, BlockReader, HeadError, HeadReader, HeadStep};
pub use length::{BodyLength, FramingError, ResponseKind, body_length, parse_chunk_size};
