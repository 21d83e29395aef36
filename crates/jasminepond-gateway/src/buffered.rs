//! Counts the bytes held for callers and servers, over all connections of a daemon, and carries
//! out what [`Backlog`] decides.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use futures_util::task::AtomicWaker;
use jasminepond_daemon::{
    clock::Clock,
    net::flow::{BodyRefused, Flow},
};
use jasminepond_types::Timestamp;
use spdlog::warn;

use crate::backlog::{
    Admission, Backlog, BacklogLimits, DroppedResponses, HeldKind, HoldKey, Holder, ResponseRoom,
    ServerRoom,
};

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BacklogCounts {
    /// Responses dropped because their callers did not read them.
    pub dropped: DroppedResponses,
    /// Requests refused for lack of memory.
    pub refused: u64,
    /// Times at which a server was found not to read.
    pub servers_full: u64,
}

#[derive(Debug, Default)]
struct Inner {
    backlog: RefCell<Backlog>,
    clock: Option<Clock>,
    /// Connections that wait for the order to drop their response.
    drops: RefCell<HashMap<HoldKey, Rc<DropOrder>>>,
    counts: Cell<BacklogCounts>,
    /// Counts at the last log line.
    logged: Cell<BacklogCounts>,
}

/// Counts the held bytes of all connections.
#[derive(Debug, Clone, Default)]
pub struct BufferedBytes(Rc<Inner>);

impl BufferedBytes {
    /// Creates a count with limits for a process that may use this many megabytes.
    pub fn new(memory_mb: u64, clock: Clock) -> Self {
        let backlog = Backlog::new(BacklogLimits::for_memory(memory_mb));
        Self(Rc::new(Inner {
            backlog: RefCell::new(backlog),
            clock: Some(clock),
            ..Inner::default()
        }))
    }

    /// Returns the share of a new connection to a server, for its unfinished responses. It
    /// starts at zero bytes.
    ///
    /// ```
    /// use jasminepond_gateway::BufferedBytes;
    ///
    /// let buffered = BufferedBytes::default();
    /// let (mut one, mut other) = (buffered.share(), buffered.share());
    /// assert!(one.set(2 << 20) && other.set(1_000));
    /// assert!(!one.set(4 << 20));
    /// drop(one);
    /// assert!(other.set(1 << 20));
    /// ```
    pub fn share(&self) -> BufferShare {
        BufferShare(self.hold(HeldKind::ServerResponse, Holder::AllServers))
    }

    /// Returns the share of a connection to a server, for the requests that its socket has not
    /// accepted.
    pub fn unsent(&self, server: Arc<str>) -> UnsentShare {
        UnsentShare(self.hold(HeldKind::ServerRequest, Holder::Server(server)))
    }

    /// Returns the account of a connection of a caller.
    pub fn caller(&self, address: IpAddr, refuses: bool) -> Rc<dyn Flow> {
        let hold = |kind| self.hold(kind, Holder::Caller(address));
        let response = hold(HeldKind::Response);
        let order = Rc::new(DropOrder::default());
        let mut drops = self.0.drops.borrow_mut();
        drops.insert(response.key, order.clone());
        drop(drops);
        Rc::new(CallerFlow {
            request: hold(HeldKind::Request),
            response,
            order,
            refuses,
        })
    }

    /// Returns all bytes held.
    pub fn total(&self) -> usize {
        self.0.backlog.borrow().total()
    }

    /// Calls `read` with the count.
    pub fn read<T>(&self, read: impl FnOnce(&Backlog) -> T) -> T {
        read(&self.0.backlog.borrow())
    }

    /// Returns the counts since the start of the process.
    pub fn counts(&self) -> BacklogCounts {
        BacklogCounts {
            dropped: self.0.backlog.borrow().dropped(),
            ..self.0.counts.get()
        }
    }

    /// Drops responses that have not been read for too long. Must be called a few times a
    /// second.
    pub fn drop_unread(&self) {
        let expired = self.0.backlog.borrow_mut().expired(self.now());
        self.order_drops(&expired);
    }

    /// Logs what was dropped and refused since the last call, in at most one line.
    pub fn log_changes(&self) {
        let (counts, logged) = (self.counts(), self.0.logged.get());
        if counts == logged {
            return;
        }
        self.0.logged.set(counts);
        warn!("gateway: memory is held for callers or servers that read slowly", kv: {
            responses_dropped = counts.dropped.count - logged.dropped.count,
            bytes_dropped = counts.dropped.bytes - logged.dropped.bytes,
            requests_refused = counts.refused - logged.refused,
            servers_full = counts.servers_full - logged.servers_full,
            held_bytes = self.total(),
        });
    }

    fn now(&self) -> Timestamp {
        let clock = self.0.clock.as_ref();
        clock.map_or(Timestamp::ZERO, |clock| clock.now())
    }

    fn hold(&self, kind: HeldKind, holder: Holder) -> Hold {
        let key = self.0.backlog.borrow_mut().open(self.now(), kind, holder);
        Hold {
            all: self.clone(),
            key,
        }
    }

    fn count(&self, change: impl FnOnce(&mut BacklogCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    fn order_drops(&self, keys: &[HoldKey]) {
        let drops = self.0.drops.borrow();
        for order in keys.iter().filter_map(|key| drops.get(key)) {
            order.given.set(true);
            order.waker.wake();
        }
    }
}

/// Bytes held by one connection, which are given back on drop.
#[derive(Debug)]
struct Hold {
    all: BufferedBytes,
    key: HoldKey,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.all.0.backlog.borrow_mut().close(self.key);
        self.all.0.drops.borrow_mut().remove(&self.key);
    }
}

/// Bytes of the unfinished response of one connection, subtracted from the total on drop.
#[derive(Debug)]
pub struct BufferShare(Hold);

impl BufferShare {
    /// Sets the bytes of the connection. Returns whether they are within the limits.
    pub fn set(&mut self, bytes: usize) -> bool {
        let mut backlog = self.0.all.0.backlog.borrow_mut();
        backlog.set_server_response(self.0.key, bytes) == ResponseRoom::Accept
    }
}

/// Bytes of a request that the socket to a server has not accepted.
#[derive(Debug)]
pub struct UnsentShare(Hold);

impl UnsentShare {
    /// Sets the bytes of the connection.
    pub fn set(&self, bytes: usize) -> ServerRoom {
        let room = {
            let mut backlog = self.0.all.0.backlog.borrow_mut();
            backlog.set_server_request(self.0.key, bytes)
        };
        if room == ServerRoom::Full {
            self.0.all.count(|counts| counts.servers_full += 1);
        }
        room
    }
}

/// Order to drop the response of a connection.
#[derive(Debug, Default)]
struct DropOrder {
    given: Cell<bool>,
    waker: AtomicWaker,
}

/// Account of a connection of a caller.
struct CallerFlow {
    request: Hold,
    response: Hold,
    order: Rc<DropOrder>,
    /// Whether requests may be refused.
    refuses: bool,
}

impl Flow for CallerFlow {
    fn hold_request(&self, bytes: usize) -> Result<(), BodyRefused> {
        let all = &self.request.all;
        let mut backlog = all.0.backlog.borrow_mut();
        if !self.refuses {
            backlog.set_accepted_request(self.request.key, bytes);
            return Ok(());
        }
        match backlog.set_request(self.request.key, bytes) {
            Admission::Accept => Ok(()),
            Admission::Refuse { retry_after } => {
                all.count(|counts| counts.refused += 1);
                Err(BodyRefused { retry_after })
            }
        }
    }

    fn hold_response(&self, unsent: usize) {
        let all = &self.response.all;
        let dropped = {
            let mut backlog = all.0.backlog.borrow_mut();
            backlog.set_response(all.now(), self.response.key, unsent)
        };
        all.order_drops(&dropped);
    }

    fn poll_dropped(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.order.waker.register(cx.waker());
        match self.order.given.get() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }
}
