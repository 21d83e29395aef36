//! Edge-triggered epoll set for the sockets of backend connections.
//!
//! A search sends and receives one message on each of many connections. For each read,
//! compio's polling driver first attempts the read, which fails, then adds the socket to
//! its epoll set, reads, and removes the socket: four system calls per response. Here
//! every socket stays in one edge-triggered set, so that a response takes only the call
//! that reads it.

use std::{
    cell::RefCell,
    future::poll_fn,
    io,
    os::fd::{AsFd, OwnedFd},
    rc::Rc,
    task::{Context, Poll, Waker},
};

use compio::{net::TcpStream, runtime::fd::PollFd};
use rustix::{
    buffer::spare_capacity,
    event::{
        Timespec,
        epoll::{self, CreateFlags, Event, EventData, EventFlags},
    },
    io::Errno,
    net::{RecvFlags, SendFlags, recv, send},
};
use slotmap::{Key, KeyData, SlotMap, new_key_type};

/// Maximum bytes per read. Most responses to a part of a search fit, with their headers.
const READ_BYTES: usize = 8 << 10;

/// Maximum events per `epoll_wait` call, more than the shards of a search.
const MAX_EVENTS: usize = 128;

new_key_type! {
    struct SocketKey;
}

/// State of a socket since its last read.
#[derive(Debug, Default)]
struct SocketState {
    /// Data may be available.
    readable: bool,
    /// The peer has closed the connection or it failed. No further event follows, so the
    /// socket stays readable until a read returns the end or an error.
    ended: bool,
    waker: Option<Waker>,
}

/// Set of the sockets of a process.
#[derive(Debug)]
pub struct SocketSet {
    epoll: PollFd<OwnedFd>,
    sockets: RefCell<SlotMap<SocketKey, SocketState>>,
    /// Shared read buffer, so that idle connections need none.
    scratch: RefCell<Vec<u8>>,
}

impl SocketSet {
    /// Creates an empty set. [`SocketSet::run`] must be polled for it.
    ///
    /// # Errors
    ///
    /// The epoll instance cannot be created, for example for lack of file descriptors.
    pub fn new() -> io::Result<Rc<Self>> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Rc::new(Self {
            epoll: PollFd::new(epoll)?,
            sockets: RefCell::default(),
            scratch: RefCell::new(Vec::with_capacity(READ_BYTES)),
        }))
    }

    /// Waits for events and wakes the tasks of readable sockets.
    ///
    /// # Errors
    ///
    /// Waiting for events failed. Until `run` is called again, no connection is read.
    pub async fn run(self: Rc<Self>) -> io::Result<()> {
        let mut events = Vec::with_capacity(MAX_EVENTS);
        loop {
            self.epoll.read_ready().await?;
            loop {
                events.clear();
                let no_wait = Timespec::default();
                match epoll::wait(&self.epoll, spare_capacity(&mut events), Some(&no_wait)) {
                    Ok(_) => {}
                    Err(Errno::INTR) => continue,
                    Err(err) => return Err(err.into()),
                }
                self.wake(&events);
                if events.len() < MAX_EVENTS {
                    break;
                }
            }
        }
    }

    fn wake(&self, events: &[Event]) {
        let mut sockets = self.sockets.borrow_mut();
        for event in events {
            let Event { flags, data } = *event;
            let key = SocketKey::from(KeyData::from_ffi(data.u64()));
            let Some(state) = sockets.get_mut(key) else {
                continue;
            };
            let end = EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR;
            state.readable = true;
            state.ended |= flags.intersects(end);
            if let Some(waker) = state.waker.take() {
                waker.wake();
            }
        }
    }

    /// Adds the socket of a connection to the set.
    ///
    /// # Errors
    ///
    /// The operating system refuses to add the socket.
    pub fn add(self: &Rc<Self>, stream: TcpStream) -> io::Result<Socket> {
        // Data that arrived before the socket was added raises an event as well.
        let key = self.sockets.borrow_mut().insert(SocketState::default());
        let socket = Socket {
            set: self.clone(),
            key,
            stream,
        };
        let data = EventData::new_u64(key.data().as_ffi());
        let flags = EventFlags::IN | EventFlags::RDHUP | EventFlags::ET;
        epoll::add(&self.epoll, &socket.stream, data, flags)?;
        Ok(socket)
    }
}

/// Socket of a connection, removed from the set on drop.
#[derive(Debug)]
pub struct Socket {
    set: Rc<SocketSet>,
    key: SocketKey,
    stream: TcpStream,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.set.sockets.borrow_mut().remove(self.key);
        // The stream is closed later if one of its operations is still in progress, so it is
        // removed explicitly. Removal fails only if the socket is no longer in the set.
        let _ = epoll::delete(&self.set.epoll, &self.stream);
    }
}

impl Socket {
    /// Waits for data and appends it to `buf`. Returns its length, or 0 at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn read(&self, buf: &mut Vec<u8>) -> io::Result<usize> {
        poll_fn(|cx| self.poll_read(cx, buf)).await
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut Vec<u8>) -> Poll<io::Result<usize>> {
        let mut sockets = self.set.sockets.borrow_mut();
        let Some(state) = sockets.get_mut(self.key) else {
            return Poll::Ready(Ok(0));
        };
        while state.readable {
            let mut scratch = self.set.scratch.borrow_mut();
            scratch.clear();
            let read = recv(
                self.stream.as_fd(),
                spare_capacity(&mut *scratch),
                RecvFlags::DONTWAIT,
            );
            match read {
                Ok((_, len)) => {
                    // A short read has drained the socket. Later data raises another event.
                    state.readable = state.ended || len >= READ_BYTES;
                    buf.extend_from_slice(&scratch);
                    return Poll::Ready(Ok(len));
                }
                Err(Errno::AGAIN) => state.readable = false,
                Err(Errno::INTR) => {}
                Err(err) => return Poll::Ready(Err(err.into())),
            }
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Sends as much of `bytes` as the socket accepts without blocking, and returns the
    /// number of bytes sent.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
            match send(self.stream.as_fd(), bytes, flags) {
                Ok(len) => return Ok(len),
                Err(Errno::AGAIN) => return Ok(0),
                Err(Errno::INTR) => {}
                Err(err) => return Err(err.into()),
            }
        }
    }

    /// Returns the stream, for writing the rest after [`Socket::try_write`].
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
}
