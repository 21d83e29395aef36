//! A bounded pool of connections to one address.

use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, pin::pin, rc::Rc, time::Instant};

use bytes::Bytes;
use compio::time::sleep_until;
use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::{Request, Response};
use standin_http::{CallError, Connection};
use tokio_util::sync::CancellationToken;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection was refused; nothing was sent.
    Connect,
    /// The connection ended after the request may have been sent.
    Broken,
    /// No response in time. True if the request may have been sent.
    Late { sent: bool },
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

/// Place for one connection; frees it when dropped.
struct Lease<'a> {
    pool: &'a Pool,
    connection: Option<Connection>,
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        match self.connection.take() {
            Some(connection) => state.idle.push(connection),
            None => state.open -= 1,
        }
        state.wake_one();
    }
}

/// Entry in the queue of a pool; leaves it when dropped.
struct Waiter<'a> {
    pool: &'a Pool,
    id: u64,
    woken: CancellationToken,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        state.waiting.retain(|(id, _)| *id != self.id);
    }
}

impl State {
    fn wake_one(&mut self) {
        if let Some((_, woken)) = self.waiting.pop_front() {
            woken.cancel();
        }
    }

    /// A place: an idle connection, or room for a new one.
    fn take(&mut self) -> Option<Option<Connection>> {
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

    /// Sends a request, at the latest at `until`. A connection whose response did
    /// not arrive in time is closed.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Bytes>, Failure> {
        let mut lease = self.lease(until).await?;
        let address = self.0.borrow().address;
        let mut sent = false;
        let call = async {
            let mut connection = match lease.connection.take() {
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
                lease.connection = Some(connection);
                Ok(response)
            }
            Some(Err(CallError::Connect(_))) => Err(Failure::Connect),
            Some(Err(CallError::Broken(_))) => Err(Failure::Broken),
            None => Err(Failure::Late { sent }),
        }
    }

    async fn lease(&self, until: Instant) -> Result<Lease<'_>, Failure> {
        // A newcomer does not overtake the requests that wait.
        let mut may_take = self.0.borrow().waiting.is_empty();
        loop {
            let taken = may_take.then(|| self.0.borrow_mut().take()).flatten();
            if let Some(connection) = taken {
                return Ok(Lease {
                    pool: self,
                    connection,
                });
            }
            may_take = true;
            let waiter = self.wait();
            let woken = waiter.woken.clone();
            let timer = pin!(sleep_until(until));
            if let Either::Right(_) = select(pin!(woken.cancelled()), timer).await {
                // A wake-up that arrived at the same time belongs to the next waiter.
                if woken.is_cancelled() {
                    self.0.borrow_mut().wake_one();
                }
                return Err(Failure::Late { sent: false });
            }
        }
    }

    fn wait(&self) -> Waiter<'_> {
        let mut state = self.0.borrow_mut();
        let id = state.next_waiter;
        state.next_waiter += 1;
        let woken = CancellationToken::new();
        state.waiting.push_back((id, woken.clone()));
        Waiter {
            pool: self,
            id,
            woken,
        }
    }
}
