//! Tells the tasks of backend connections when their sockets can be read.
//!
//! A search sends and receives one message on each of many connections. compio's
//! polling driver adds a socket to its epoll set for each read and removes it after
//! it, and tries to read in vain before: four system calls a response. Here every
//! socket stays in one edge-triggered set, so that a response costs the one call
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

/// Bytes read at a time; holds most parts of a search with their headers.
const READ_BYTES: usize = 8 << 10;

/// Sockets whose events are fetched at a time: the shards of a search, with room.
const EVENTS: usize = 128;

new_key_type! {
    struct SocketKey;
}

/// What is known of a socket since it was last read.
#[derive(Debug, Default)]
struct State {
    /// Something has arrived.
    readable: bool,
    /// The other side has ended the connection; reading goes on until that is seen,
    /// since no further event follows.
    ended: bool,
    waker: Option<Waker>,
}

/// The set of sockets of a process.
#[derive(Debug)]
pub struct SocketSet {
    epoll: PollFd<OwnedFd>,
    sockets: RefCell<SlotMap<SocketKey, State>>,
    /// Filled by each read, so that idle connections hold no buffer.
    scratch: RefCell<Vec<u8>>,
}

impl SocketSet {
    /// An empty set; [`SocketSet::run`] must run beside it.
    ///
    /// # Errors
    ///
    /// The process has no free file descriptor.
    pub fn new() -> io::Result<Rc<Self>> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Rc::new(Self {
            epoll: PollFd::new(epoll)?,
            sockets: RefCell::default(),
            scratch: RefCell::new(Vec::with_capacity(READ_BYTES)),
        }))
    }

    /// Wakes the task of each socket that can be read.
    ///
    /// # Errors
    ///
    /// The set cannot be asked; no connection can be read any more.
    pub async fn run(self: Rc<Self>) -> io::Result<()> {
        let mut events = Vec::with_capacity(EVENTS);
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
                if events.len() < EVENTS {
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

    /// Adds the socket of a connection.
    ///
    /// # Errors
    ///
    /// The system takes no further socket.
    pub fn add(self: &Rc<Self>, stream: TcpStream) -> io::Result<Socket> {
        // What arrived before the socket was added raises an event as well.
        let key = self.sockets.borrow_mut().insert(State::default());
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

/// The socket of a connection, in the set until it is dropped.
#[derive(Debug)]
pub struct Socket {
    set: Rc<SocketSet>,
    key: SocketKey,
    stream: TcpStream,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.set.sockets.borrow_mut().remove(self.key);
        // The stream may be closed later than here if an operation of it is still
        // in progress. A socket that cannot be removed is no longer in the set.
        let _ = epoll::delete(&self.set.epoll, &self.stream);
    }
}

impl Socket {
    /// Appends what has arrived to `buf` and returns its length, 0 at the end.
    ///
    /// # Errors
    ///
    /// The connection broke.
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
                    // A short read has emptied the socket: what comes later raises
                    // another event.
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

    /// Sends as much of `bytes` as the socket takes at once, and returns how much.
    ///
    /// # Errors
    ///
    /// The connection broke.
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

    /// The connection, to write what [`Socket::try_write`] has left.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
}
