//! Stream that checks the heads of the responses that are read from it.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use jasminepond_framing::{HeadError, HeadReader, HeadStep};

/// Maximum bytes that are read at once while a head is checked.
const READ_BYTES: usize = 8 << 10;

#[derive(Debug, Default)]
enum State {
    /// The final head has been read, or no request has been sent.
    #[default]
    Passed,
    /// The bytes of the head so far.
    Reading(HeadReader, Vec<u8>),
    Refused(HeadError),
}

/// State of the check, shared by a stream and the sender of its requests.
#[derive(Debug, Clone, Default)]
pub struct HeadCheck(Rc<RefCell<State>>);

impl HeadCheck {
    /// The next bytes are those of a response.
    pub fn start(&self) {
        *self.0.borrow_mut() = State::Reading(HeadReader::default(), Vec::new());
    }

    /// Returns why the response was refused, if it was.
    pub fn refused(&self) -> Option<HeadError> {
        match &*self.0.borrow() {
            State::Refused(err) => Some(*err),
            State::Passed | State::Reading(..) => None,
        }
    }

    fn is_passed(&self) -> bool {
        matches!(*self.0.borrow(), State::Passed)
    }

    fn advance(&self, received: &[u8]) -> Result<(), HeadError> {
        let mut state = self.0.borrow_mut();
        let (reader, bytes) = match &mut *state {
            State::Passed => return Ok(()),
            State::Refused(err) => return Err(*err),
            State::Reading(reader, bytes) => (reader, bytes),
        };
        bytes.extend_from_slice(received);
        match read_heads(reader, bytes) {
            Ok(false) => return Ok(()),
            Ok(true) => *state = State::Passed,
            Err(err) => {
                *state = State::Refused(err);
                return Err(err);
            }
        }
        Ok(())
    }
}

/// Removes the heads of interim responses from `bytes`. Returns whether the final head is complete.
fn read_heads(reader: &mut HeadReader, bytes: &mut Vec<u8>) -> Result<bool, HeadError> {
    loop {
        match reader.advance(bytes, false, |_, _| ())? {
            HeadStep::Incomplete => return Ok(false),
            HeadStep::Interim(len) => drop(bytes.drain(..len)),
            HeadStep::Final(..) => return Ok(true),
        }
    }
}

/// Stream of a connection to a server. A read fails if it returns a malformed head.
#[derive(Debug)]
pub struct CheckedStream<S> {
    inner: S,
    check: HeadCheck,
}

impl<S> CheckedStream<S> {
    pub(crate) fn new(inner: S, check: HeadCheck) -> Self {
        Self { inner, check }
    }
}

impl<S: Read + Unpin> Read for CheckedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, check } = self.get_mut();
        if check.is_passed() {
            return Pin::new(inner).poll_read(cx, cursor);
        }
        let mut bytes = [0; READ_BYTES];
        let len = cursor.remaining().min(READ_BYTES);
        let mut buf = ReadBuf::new(&mut bytes[..len]);
        ready!(Pin::new(inner).poll_read(cx, buf.unfilled()))?;
        let received = buf.filled();
        check
            .advance(received)
            .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
        cursor.put_slice(received);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for CheckedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bufs)
    }
}
