//! A bounded pool of HTTP connections to one address.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, pin::pin, rc::Rc, time::Instant};

use bytes::Bytes;
use compio::time::sleep_until;
use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::{Request, Response};
use standin_http::{CallError, Connection};
use tokio_util::sync::CancellationToken;

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection could not be opened; nothing was sent.
    Connect,
    /// The connection closed after the request may have been sent.
    Broken,
    /// No response in time; `sent` if the request may have been sent.
    TimedOut { sent: bool },
}

#[derive(Debug, Clone)]
pub(crate) struct Pool(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    address: SocketAddr,
    limit: usize,
    open: usize,
    idle: Vec<Connection>,
    waiting: VecDeque<(u64, CancellationToken)>,
    next_waiter: u64,
}

/// One of the pool's connection slots, released when dropped.
struct Slot<'a> {
    pool: &'a Pool,
    connection: Option<Connection>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        match self.connection.take() {
            Some(connection) => state.idle.push(connection),
            None => state.open -= 1,
        }
        state.notify_one();
    }
}

/// Entry in the wait queue of a pool, removed when dropped.
struct Waiter<'a> {
    pool: &'a Pool,
    id: u64,
    notified: CancellationToken,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        state.waiting.retain(|(id, _)| *id != self.id);
    }
}

impl State {
    fn notify_one(&mut self) {
        if let Some((_, notified)) = self.waiting.pop_front() {
            notified.cancel();
        }
    }

    /// Reserves a slot: `Some(Some(_))` with an idle connection, `Some(None)` if a new
    /// one may be opened, `None` if the pool is exhausted.
    fn try_acquire(&mut self) -> Option<Option<Connection>> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_open() {
                return Some(Some(connection));
            }
            self.open -= 1;
        }
        if self.open < self.limit {
            self.open += 1;
            return Some(None);
        }
        None
    }
}

impl Pool {
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self(Rc::new(RefCell::new(State {
            address,
            limit: limit.max(1),
            open: 0,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            next_waiter: 0,
        })))
    }

    /// Sends a request and waits for its response until `until`. A connection whose
    /// response did not arrive in time is closed.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let mut slot = self.acquire(until).await?;
        let address = self.0.borrow().address;
        let mut sent = false;
        let call = async {
            let mut connection = match slot.connection.take() {
                Some(connection) => connection,
                None => Connection::open(address).await?,
            };
            sent = true;
            let response = connection.send(request).await?;
            Ok((connection, response))
        };
        let done = {
            let call = pin!(call);
            match select(call, pin!(sleep_until(until))).await {
                Either::Left((done, _)) => Some(done),
                Either::Right(_) => None,
            }
        };
        match done {
            Some(Ok((connection, response))) => {
                slot.connection = Some(connection);
                Ok(response)
            }
            Some(Err(CallError::Connect(_))) => Err(Failure::Connect),
            Some(Err(CallError::Broken(_))) => Err(Failure::Broken),
            None => Err(Failure::TimedOut { sent }),
        }
    }

    async fn acquire(&self, until: Instant) -> Result<Slot<'_>, Failure> {
        // A new request does not overtake those in the wait queue.
        let mut may_acquire = self.0.borrow().waiting.is_empty();
        loop {
            let acquired = may_acquire
                .then(|| self.0.borrow_mut().try_acquire())
                .flatten();
            if let Some(connection) = acquired {
                return Ok(Slot {
                    pool: self,
                    connection,
                });
            }
            may_acquire = true;
            let waiter = self.enqueue();
            let notified = waiter.notified.clone();
            let timer = pin!(sleep_until(until));
            if let Either::Right(_) = select(pin!(notified.cancelled()), timer).await {
                // A notification that raced with the timeout is passed to the next waiter.
                if notified.is_cancelled() {
                    self.0.borrow_mut().notify_one();
                }
                return Err(Failure::TimedOut { sent: false });
            }
        }
    }

    fn enqueue(&self) -> Waiter<'_> {
        let mut state = self.0.borrow_mut();
        let id = state.next_waiter;
        state.next_waiter += 1;
        let notified = CancellationToken::new();
        state.waiting.push_back((id, notified.clone()));
        Waiter {
            pool: self,
            id,
            notified,
        }
    }
}
