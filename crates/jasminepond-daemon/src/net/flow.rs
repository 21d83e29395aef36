//! Memory held for the connections of a listener, and writes that show how much of a response
//! its client has not accepted.

use std::{
    io::{self, IoSlice},
    task::{Context, Poll, ready},
};

use compio::{net::TcpStream, runtime::fd::PollFd};
use jasminepond_types::Millis;
use rustix::{
    io::Errno,
    net::{SendAncillaryBuffer, SendFlags, sendmsg, sockopt},
};

/// A request must be refused as not run, since there is no room for its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRefused {
    /// When the client may try again.
    pub retry_after: Millis,
}

/// Account of the memory held for one connection.
pub trait Flow {
    /// Sets the bytes of the body of a request, as announced or received so far.
    ///
    /// # Errors
    ///
    /// The request must be refused as not run.
    fn hold_request(&self, bytes: usize) -> Result<(), BodyRefused>;

    /// Sets the bytes of a response that the socket has not accepted.
    fn hold_response(&self, unsent: usize);

    /// Ready once the response must be dropped and the connection reset.
    fn poll_dropped(&self, cx: &mut Context<'_>) -> Poll<()>;
}

/// Size of the send buffer of a socket whose memory is accounted. By default, the system buffers
/// up to 4 MB for each connection. 64 KiB are more than a link of 200 Mbit/s holds in 2 ms.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Time in milliseconds after which the system resets a connection whose client does not accept
/// the part of a response that is in the send buffer. Longer than the time after which a
/// response is dropped that the process holds.
const SEND_BUFFER_TIMEOUT_MS: u32 = 10_000;

/// Bounds what the system holds for a connection.
///
/// # Errors
///
/// The operating system refuses the options.
pub fn bound_send_buffer(socket: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_send_buffer_size(socket, SEND_BUFFER_BYTES)?;
    sockopt::set_tcp_user_timeout(socket, SEND_BUFFER_TIMEOUT_MS)?;
    Ok(())
}

/// Sends without a buffer in the process, so that what was accepted has left the process. The
/// stream of cyper-core accepts up to 64 MB at once.
pub(super) struct DirectWriter {
    socket: TcpStream,
    /// Set while the socket accepts no bytes.
    writable: Option<PollFd<TcpStream>>,
}

impl DirectWriter {
    pub(super) fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            writable: None,
        }
    }

    pub(super) fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            if let Some(writable) = &self.writable {
                ready!(writable.poll_write_ready(cx))?;
                self.writable = None;
            }
            let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
            let mut control = SendAncillaryBuffer::default();
            match sendmsg(&self.socket, bytes, &mut control, flags) {
                Ok(len) => return Poll::Ready(Ok(len)),
                Err(Errno::AGAIN) => {
                    self.writable = Some(PollFd::new(self.socket.clone())?);
                }
                Err(Errno::INTR) => {}
                Err(err) => return Poll::Ready(Err(err.into())),
            }
        }
    }
}
