//! Decides on the memory that a daemon holds for callers and backend servers that read or send
//! slowly. Without sockets and clocks.

use std::{collections::HashMap, net::IpAddr, sync::Arc, time::Duration};

use jasminepond_types::{Millis, Timestamp};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Bytes held for one connection.
    pub struct HoldKey;
}

/// Memory of the smallest instances, assumed if the settings state none.
pub const DEFAULT_MEMORY_MB: u64 = 160;

/// `Retry-After` of requests that are refused for lack of memory. Within it, a caller that
/// reads at 1 Mbit/s frees 125 KB.
const RETRY_AFTER: Millis = Millis(1_000);

/// Limits of a [`Backlog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogLimits {
    /// Bytes from which on large requests are refused.
    pub daemon: usize,
    /// Bytes that are never exceeded by responses: those that have been unread for longest are
    /// dropped.
    pub hard: usize,
    /// Bytes held for one address of callers, from which on its large requests are refused.
    pub caller: usize,
    /// Bytes of requests not accepted by the sockets to one server, from which on it gets no
    /// further request.
    pub server: usize,
    /// Bytes of unfinished responses of all servers.
    pub server_responses: usize,
    /// Requests of up to this size are not refused.
    pub small_request: usize,
    /// Time after which a response is dropped if its caller reads none of it.
    pub unread: Duration,
    /// Time after which a response is dropped even if its caller reads some of it.
    pub longest: Duration,
}

impl BacklogLimits {
    /// Limits for a process that may use this many megabytes.
    ///
    /// ```
    /// use jasminepond_gateway::BacklogLimits;
    ///
    /// let limits = BacklogLimits::for_memory(160);
    /// assert_eq!((limits.daemon, limits.hard), (40_000_000, 60_000_000));
    /// assert!(limits.caller < limits.daemon && limits.server < limits.caller);
    /// ```
    pub fn for_memory(megabytes: u64) -> Self {
        let megabytes = usize::try_from(megabytes).unwrap_or(usize::MAX);
        let memory = megabytes.saturating_mul(1_000_000);
        // The rest is left for the routes, the servers, and up to 20 KB for each of 5,500
        // connections.
        let daemon = memory / 4;
        Self {
            daemon,
            hard: daemon / 2 * 3,
            caller: daemon / 2,
            server: daemon / 16,
            server_responses: MIN_SERVER_RESPONSES.max(memory / 50),
            // 20 MB for the 2,500 connections of callers.
            small_request: 8 << 10,
            unread: Duration::from_secs(5),
            longest: Duration::from_secs(60),
        }
    }
}

/// Least bytes of unfinished responses of all servers, more than that of the largest one.
const MIN_SERVER_RESPONSES: usize = 3 << 20;

/// Bytes of an unfinished response that a connection may hold even if the limit is reached, so
/// that servers with endless responses do not cause those of other servers to be dropped.
const GUARANTEED_RESPONSE_BYTES: usize = 256 << 10;

/// For whom bytes are held.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Holder {
    /// Callers with this address.
    Caller(IpAddr),
    /// The backend server or daemon with this id.
    Server(Arc<str>),
    /// All backend servers together.
    AllServers,
}

/// What is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HeldKind {
    /// Bodies of requests, from their announcement until the answer.
    Request,
    /// Responses that a caller has not read.
    Response,
    /// Requests that the socket to a server has not accepted.
    ServerRequest,
    /// Unfinished responses of servers.
    ServerResponse,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Request,
        Self::Response,
        Self::ServerRequest,
        Self::ServerResponse,
    ];

    /// Name in metrics and on the status page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
            Self::ServerRequest => "server_request",
            Self::ServerResponse => "server_response",
        }
    }
}

/// What to do with a request whose body has not been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Read it.
    Accept,
    /// Refuse it as not run.
    Refuse {
        /// When the caller may try again.
        retry_after: Millis,
    },
}

/// What to do with a server to which a request is being written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRoom {
    /// Nothing has changed.
    Unchanged,
    /// Send no further requests to it, and those that wait there elsewhere.
    Full,
    /// It has accepted the requests: send to it again.
    Drained,
}

/// What to do with an unfinished response of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseRoom {
    /// Read on.
    Accept,
    /// Close the connection.
    Drop,
}

#[derive(Debug)]
struct Hold {
    holder: Holder,
    kind: HeldKind,
    bytes: usize,
    /// When the current response was ready, and when the caller last read some of it.
    since: Timestamp,
    progress: Timestamp,
}

/// Bytes held for one caller or server.
#[derive(Debug, Default)]
struct HolderState {
    bytes: usize,
    holds: usize,
    /// Whether a server gets no further requests.
    full: bool,
}

/// Counts the bytes held, by kind and by holder.
#[derive(Debug)]
pub struct Backlog {
    limits: BacklogLimits,
    holds: SlotMap<HoldKey, Hold>,
    holders: HashMap<Holder, HolderState>,
    bytes: [usize; 4],
    peak: usize,
    dropped: DroppedResponses,
}

/// Responses that were dropped since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DroppedResponses {
    /// Number of connections.
    pub count: u64,
    /// Bytes that were held for them.
    pub bytes: u64,
}

impl Default for Backlog {
    fn default() -> Self {
        Self::new(BacklogLimits::for_memory(DEFAULT_MEMORY_MB))
    }
}

impl Backlog {
    /// Creates an empty count.
    ///
    /// ```
    /// use jasminepond_gateway::{Admission, Backlog, BacklogLimits, HeldKind, Holder};
    /// use jasminepond_types::Timestamp;
    ///
    /// let mut backlog = Backlog::new(BacklogLimits::for_memory(160));
    /// let caller = Holder::Caller([10, 0, 0, 1].into());
    /// let now = Timestamp::ZERO;
    /// let (one, other) = (HeldKind::Response, HeldKind::Request);
    /// let response = backlog.open(now, one, caller.clone());
    /// let request = backlog.open(now, other, caller);
    /// backlog.set_response(now, response, 39_900_000);
    /// assert_eq!(backlog.set_request(request, 4_000), Admission::Accept);
    /// assert_ne!(backlog.set_request(request, 200_000), Admission::Accept);
    /// backlog.close(response);
    /// assert_eq!(backlog.set_request(request, 200_000), Admission::Accept);
    /// ```
    pub fn new(limits: BacklogLimits) -> Self {
        Self {
            limits,
            holds: SlotMap::default(),
            holders: HashMap::new(),
            bytes: [0; 4],
            peak: 0,
            dropped: DroppedResponses::default(),
        }
    }

    /// Returns the responses that were dropped since the start.
    pub fn dropped(&self) -> DroppedResponses {
        self.dropped
    }

    /// Returns the limits.
    pub fn limits(&self) -> &BacklogLimits {
        &self.limits
    }

    /// Returns the bytes held of a kind.
    pub fn held(&self, kind: HeldKind) -> usize {
        self.bytes[kind as usize]
    }

    /// Returns all bytes held.
    pub fn total(&self) -> usize {
        self.bytes.iter().sum()
    }

    /// Returns the most bytes ever held.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the bytes held for a caller or server.
    pub fn held_for(&self, holder: &Holder) -> usize {
        self.holders.get(holder).map_or(0, |state| state.bytes)
    }

    /// Returns the number of servers that get no requests until they read.
    pub fn full_servers(&self) -> usize {
        self.holders.values().filter(|state| state.full).count()
    }

    /// Starts to count for a connection, with no bytes.
    pub fn open(&mut self, now: Timestamp, kind: HeldKind, holder: Holder) -> HoldKey {
        self.holders.entry(holder.clone()).or_default().holds += 1;
        self.holds.insert(Hold {
            holder,
            kind,
            bytes: 0,
            since: now,
            progress: now,
        })
    }

    /// Ends the count for a connection. Returns [`ServerRoom::Drained`] if its server accepts
    /// requests again.
    pub fn close(&mut self, key: HoldKey) -> ServerRoom {
        self.set(key, 0);
        let Some(hold) = self.holds.remove(key) else {
            return ServerRoom::Unchanged;
        };
        let Some(state) = self.holders.get_mut(&hold.holder) else {
            return ServerRoom::Unchanged;
        };
        state.holds -= 1;
        let drained = state.full && state.bytes == 0;
        state.full &= !drained;
        if state.holds == 0 {
            self.holders.remove(&hold.holder);
        }
        match drained {
            true => ServerRoom::Drained,
            false => ServerRoom::Unchanged,
        }
    }

    /// Sets the bytes of a request, stated or received so far. They are held only if the request
    /// is accepted.
    pub fn set_request(&mut self, key: HoldKey, bytes: usize) -> Admission {
        let Some(hold) = self.holds.get(key) else {
            return Admission::Accept;
        };
        let added = bytes.saturating_sub(hold.bytes);
        let fits = self.total() + added <= self.limits.daemon
            && self.held_for(&hold.holder) + added <= self.limits.caller;
        if added > 0 && bytes > self.limits.small_request && !fits {
            return Admission::Refuse {
                retry_after: RETRY_AFTER,
            };
        }
        self.set(key, bytes);
        Admission::Accept
    }

    /// Sets the bytes of a request that another daemon has accepted.
    pub fn set_accepted_request(&mut self, key: HoldKey, bytes: usize) {
        self.set(key, bytes);
    }

    /// Sets the bytes of a response that its caller has not read. Returns the connections whose
    /// responses must be dropped, so that this one fits.
    pub fn set_response(&mut self, now: Timestamp, key: HoldKey, bytes: usize) -> Vec<HoldKey> {
        let Some(hold) = self.holds.get_mut(key) else {
            return Vec::new();
        };
        if hold.bytes == 0 {
            hold.since = now;
        }
        // A further response to the same caller is none that it has read.
        if hold.bytes == 0 || bytes < hold.bytes {
            hold.progress = now;
        }
        self.set(key, bytes);
        let mut dropped = Vec::new();
        while self.total() > self.limits.hard {
            // Requests and small holds alone may be above the limit.
            let Some(victim) = self.longest_unread() else {
                break;
            };
            self.drop_response(victim);
            dropped.push(victim);
        }
        dropped
    }

    /// Sets the bytes of a request that the socket to its server has not accepted.
    pub fn set_server_request(&mut self, key: HoldKey, bytes: usize) -> ServerRoom {
        self.set(key, bytes);
        let limit = self.limits.server;
        let holder = self.holds.get(key).map(|hold| &hold.holder);
        let Some(state) = holder.and_then(|holder| self.holders.get_mut(holder)) else {
            return ServerRoom::Unchanged;
        };
        // It counts as full until it has drained, so that it does not change with each write.
        let full = match state.full {
            true => state.bytes > 0,
            false => state.bytes >= limit,
        };
        match (std::mem::replace(&mut state.full, full), full) {
            (false, true) => ServerRoom::Full,
            (true, false) => ServerRoom::Drained,
            _ => ServerRoom::Unchanged,
        }
    }

    /// Sets the bytes of an unfinished response of a server.
    pub fn set_server_response(&mut self, key: HoldKey, bytes: usize) -> ResponseRoom {
        self.set(key, bytes);
        let all = self.held(HeldKind::ServerResponse);
        match bytes <= GUARANTEED_RESPONSE_BYTES || all <= self.limits.server_responses {
            true => ResponseRoom::Accept,
            false => ResponseRoom::Drop,
        }
    }

    /// Returns the connections whose responses must be dropped because their callers do not read
    /// them. The bytes are no longer counted.
    pub fn expired(&mut self, now: Timestamp) -> Vec<HoldKey> {
        if self.held(HeldKind::Response) == 0 {
            return Vec::new();
        }
        let BacklogLimits {
            unread, longest, ..
        } = self.limits;
        let is_expired = |hold: &Hold| {
            hold.kind == HeldKind::Response
                && hold.bytes > 0
                && (now.since(hold.progress) >= unread || now.since(hold.since) >= longest)
        };
        let holds = self.holds.iter();
        let expired: Vec<_> = holds
            .filter(|(_, hold)| is_expired(hold))
            .map(|(key, _)| key)
            .collect();
        for key in &expired {
            self.drop_response(*key);
        }
        expired
    }

    /// Returns the response that has been unread for longest, the largest among equals.
    fn longest_unread(&self) -> Option<HoldKey> {
        let holds = self.holds.iter();
        let unread = holds.filter(|(_, hold)| hold.kind == HeldKind::Response && hold.bytes > 0);
        unread
            .min_by_key(|(_, hold)| (hold.progress, std::cmp::Reverse(hold.bytes)))
            .map(|(key, _)| key)
    }

    fn drop_response(&mut self, key: HoldKey) {
        self.dropped.count += 1;
        self.dropped.bytes += self.holds.get(key).map_or(0, |hold| hold.bytes as u64);
        self.set(key, 0);
    }

    fn set(&mut self, key: HoldKey, bytes: usize) {
        let Some(hold) = self.holds.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut hold.bytes, bytes);
        let kind = &mut self.bytes[hold.kind as usize];
        *kind = *kind - before + bytes;
        if let Some(state) = self.holders.get_mut(&hold.holder) {
            state.bytes = state.bytes - before + bytes;
        }
        self.peak = self.peak.max(self.total());
    }
}
