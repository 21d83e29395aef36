//! Order in which queued parts of requests are sent: among request classes, and among the
//! callers of a class.
//!
//! [`PartQueue`] decides only. It has no sockets and no clock, and does not know servers: who
//! places parts asks for the next one, tries to send it, and reports what became of it. The
//! rules and the reasons for them are in `docs/design/queueing.md`.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use jasminepond_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::ReqKey;

mod caller;
mod class;
mod flow;

pub use caller::CallerId;
use class::Class;
use flow::{Bucket, Flow};

/// A part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// The request.
    pub req: ReqKey,
    /// Index of the part in the request.
    pub part: usize,
}

/// Place of a part among those of its class, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// The request may be executed once only. It is refused if it cannot be sent soon, and is
    /// not sent again after a failure, so it does not wait behind requests that can be.
    Once,
    /// The request can still meet its objective.
    InTime,
    /// The objective of the request has passed.
    Late,
}

/// Which servers of a service a part may use. Parts with equal choices of one class are
/// interchangeable: if one of them cannot be sent, neither can the others.
///
/// ```
/// use jasminepond_forward::ServerChoice;
///
/// assert_eq!(ServerChoice::excluding([]), ServerChoice::ANY);
/// assert_eq!(ServerChoice::excluding([1, 2]), ServerChoice::excluding([2, 1]));
/// assert_ne!(ServerChoice::excluding([1]), ServerChoice::ANY);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerChoice(u64);

impl ServerChoice {
    /// All servers of the service.
    pub const ANY: Self = Self(0);

    /// All servers but those with these keys, to which the part was sent before.
    pub fn excluding(tried: impl IntoIterator<Item = u64>) -> Self {
        let mut tried: Vec<u64> = tried.into_iter().collect();
        if tried.is_empty() {
            return Self::ANY;
        }
        tried.sort_unstable();
        let bytes: Vec<u8> = tried.iter().flat_map(|key| key.to_le_bytes()).collect();
        Self(xxh3_64(&bytes).max(1))
    }
}

/// A part that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPart {
    /// The part.
    pub id: PartId,
    /// Caller of the request.
    pub caller: CallerId,
    /// Number by which all daemons choose the same requests of a caller under overload.
    pub draw: u64,
    /// Class of the request, 0 is the most urgent one.
    pub priority: u32,
    /// Place among the parts of its class.
    pub lane: Lane,
    /// Servers that it may use.
    pub choice: ServerChoice,
    /// Time after which it is sent too late for an answer within the objective.
    pub send_by: Timestamp,
}

/// How long a part was queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueWait {
    /// Class of the request.
    pub priority: u32,
    /// Time in the queue.
    pub waited: Duration,
    /// Whether the caller had more parts queued than the mean of the callers beside it.
    pub over_share: bool,
}

/// Queued parts of one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClassBacklog {
    /// Class of the requests.
    pub priority: u32,
    /// Parts.
    pub parts: usize,
    /// Those whose objective has passed.
    pub late: usize,
    /// Largest number of callers that are served in turn, of any flow of the class.
    pub callers: usize,
}

/// Choices for which a part could not be sent, in one round of placing.
#[derive(Debug, Clone, Default)]
pub struct Blocked {
    /// Most urgent class that could not be sent, by choice.
    classes: BTreeMap<ServerChoice, u32>,
}

impl Blocked {
    /// Notes that a part could not be sent. Parts of the same choice that are as urgent or
    /// less cannot be sent either.
    pub fn add(&mut self, part: &QueuedPart) {
        let class = self.classes.entry(part.choice).or_insert(part.priority);
        *class = part.priority.min(*class);
    }

    fn contains(&self, priority: u32, choice: ServerChoice) -> bool {
        self.classes.get(&choice).is_some_and(|c| *c <= priority)
    }
}

/// Where a part is queued.
#[derive(Debug, Clone, Copy)]
struct Place {
    part: QueuedPart,
    bucket: Bucket,
    seq: u64,
    since: Timestamp,
}

/// The queued parts of a service.
///
/// ```
/// use jasminepond_forward::{Blocked, CallerId, Lane, PartId, PartQueue, QueuedPart, ServerChoice};
/// use jasminepond_types::Timestamp;
/// use slotmap::KeyData;
///
/// let now = Timestamp::ZERO;
/// let part = |req, caller| QueuedPart {
///     id: PartId { req: KeyData::from_ffi(req).into(), part: 0 },
///     caller: CallerId(caller),
///     draw: req,
///     priority: 1,
///     lane: Lane::InTime,
///     choice: ServerChoice::ANY,
///     send_by: now,
/// };
/// let mut queue = PartQueue::default();
/// // The first caller has queued two parts before the second one.
/// for (req, caller) in [(1, 7), (2, 7), (3, 8)] {
///     queue.push(now, part(req, caller));
/// }
/// let mut order = Vec::new();
/// while let Some(next) = queue.next(now, &Blocked::default()) {
///     order.push(next.caller.0);
///     queue.sent(now, next.id);
/// }
/// assert_eq!(order, [7, 8, 7]);
/// ```
#[derive(Debug, Default)]
pub struct PartQueue {
    classes: BTreeMap<u32, Class>,
    places: HashMap<PartId, Place>,
    next_seq: u64,
}

impl PartQueue {
    /// Notes a new part of a class, whether it is queued or not.
    pub fn arrived(&mut self, now: Timestamp, priority: u32) {
        if !self.classes.contains_key(&priority) {
            self.classes.retain(|_, class| !class.is_forgotten(now));
        }
        self.classes.entry(priority).or_default().arrived(now);
    }

    /// Queues a part. One that is already queued moves.
    pub fn push(&mut self, now: Timestamp, part: QueuedPart) {
        self.remove(part.id);
        let seq = self.next_seq;
        self.next_seq += 1;
        self.insert(part, seq, now);
    }

    fn insert(&mut self, part: QueuedPart, seq: u64, since: Timestamp) {
        let class = self.classes.entry(part.priority).or_default();
        let flow = class.flow(part.lane, part.choice);
        let bucket = flow.insert(&part, seq);
        let place = Place {
            part,
            bucket,
            seq,
            since,
        };
        self.places.insert(part.id, place);
    }

    /// Removes a part. Returns whether it was queued.
    pub fn remove(&mut self, id: PartId) -> bool {
        self.take(id).is_some()
    }

    fn take(&mut self, id: PartId) -> Option<Place> {
        let place = self.places.remove(&id)?;
        if let Some(class) = self.classes.get_mut(&place.part.priority) {
            class.remove(&place.part, place.bucket, place.seq);
        }
        Some(place)
    }

    /// Moves a part behind those that can be in time, since its objective has passed.
    pub fn set_late(&mut self, id: PartId) {
        if let Some(Place {
            part, seq, since, ..
        }) = self.take(id)
        {
            let part = QueuedPart {
                lane: Lane::Late,
                ..part
            };
            self.insert(part, seq, since);
        }
    }

    /// The part to send next, without those that could not be sent in this round. Parts that it
    /// finds too late for their objectives move behind those that can be in time.
    pub fn next(&mut self, now: Timestamp, blocked: &Blocked) -> Option<QueuedPart> {
        loop {
            let part = self.head(now, blocked)?;
            if part.lane == Lane::Late || now <= part.send_by {
                return Some(part);
            }
            self.set_late(part.id);
            if let Some(class) = self.classes.get_mut(&part.priority) {
                class.found_late(now);
            }
        }
    }

    fn head(&self, now: Timestamp, blocked: &Blocked) -> Option<QueuedPart> {
        let heads = self.classes.iter().filter_map(|(priority, class)| {
            let head = class.next(now, |choice| blocked.contains(*priority, choice))?;
            Some((*priority, class, head))
        });
        let heads: Vec<_> = heads.collect();
        let owed = heads.iter().filter(|(_, class, _)| class.is_owed());
        // Of equal ones the most urgent class, which comes first.
        let owed = owed.reduce(|a, b| if b.1.owed() > a.1.owed() { b } else { a });
        let (.., head) = owed.or_else(|| unowed(now, &heads))?;
        self.places.get(&head.1).map(|place| place.part)
    }

    /// Removes a part that is sent, which uses up a turn of its class and its caller.
    pub fn sent(&mut self, now: Timestamp, id: PartId) -> Option<QueueWait> {
        let Place {
            part,
            bucket,
            seq,
            since,
        } = self.places.remove(&id)?;
        self.use_turn(now, part.priority);
        if part.choice == ServerChoice::ANY {
            self.sent_at_once(now, part.priority);
        }
        let class = self.classes.get_mut(&part.priority)?;
        let over_share = class.serve(now, &part, bucket, seq);
        Some(QueueWait {
            priority: part.priority,
            waited: now.since(since),
            over_share,
        })
    }

    /// Notes a new part that is sent without being queued.
    pub fn sent_at_once(&mut self, now: Timestamp, priority: u32) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.served(now);
        }
    }

    /// Credits the classes that wait, and takes the turn from the class that is served.
    fn use_turn(&mut self, now: Timestamp, served: u32) {
        let waiting = self.classes.iter().filter(|(_, class)| !class.is_empty());
        let demands = waiting.map(|(priority, class)| (*priority, class.demand(now)));
        let (priorities, demands): (Vec<_>, Vec<_>) = demands.unzip();
        for (priority, share) in priorities.iter().zip(class::owed_shares(&demands)) {
            if let Some(class) = self.classes.get_mut(priority) {
                class.credit(share, *priority == served);
            }
        }
    }

    /// Whether a part of a more urgent class or of another caller waits for the same servers
    /// and comes before a new part. Only parts of its own caller are no reason to queue a part
    /// for which a connection is free.
    pub fn is_behind(&self, part: &QueuedPart) -> bool {
        let mut urgent = self.classes.range(..part.priority);
        let own = self.classes.get(&part.priority);
        urgent.any(|(_, class)| class.waits_for(part.choice))
            || own.is_some_and(|class| class.is_behind(part))
    }

    /// Number of calls of a server's concurrency window that a class leaves to more urgent
    /// ones: none unless a more urgent part arrived within the last second. While a more
    /// urgent part is queued, the order of the queue decides instead.
    pub fn reserve(&self, now: Timestamp, priority: u32, window: usize) -> usize {
        if window < RESERVE_MIN_WINDOW {
            return 0;
        }
        let mut urgent = self.classes.range(..priority).map(|(_, class)| class);
        let arrives = urgent.clone().any(|class| class.has_arrived_within(now));
        match arrives && urgent.all(Class::is_empty) {
            true => window / RESERVE_DIVISOR,
            false => 0,
        }
    }

    /// Number of queued parts.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a part is queued.
    pub fn contains(&self, id: PartId) -> bool {
        self.places.contains_key(&id)
    }

    /// The queued parts by class, most urgent first.
    pub fn backlogs(&self) -> impl Iterator<Item = ClassBacklog> {
        let waiting = self.classes.iter().filter(|(_, class)| !class.is_empty());
        waiting.map(|(priority, class)| ClassBacklog {
            priority: *priority,
            parts: class.parts(|_| true),
            late: class.parts(|lane| lane == Lane::Late),
            callers: class.callers(),
        })
    }
}

/// The next part of a class, with the class.
type Head<'a> = (u32, &'a Class, (Lane, PartId));

/// The head of the most urgent class with parts that can be in time, or of the most urgent one
/// with late parts: in place of the former if a smaller fraction of its parts is served, so that
/// a less urgent class is not served more often because its objective is longer.
fn unowed<'a, 'b>(now: Timestamp, heads: &'a [Head<'b>]) -> Option<&'a Head<'b>> {
    let is_late = |lane: Lane| lane == Lane::Late;
    let first = heads.iter().min_by_key(|(p, _, h)| (is_late(h.0), *p))?;
    let rate = first.1.served_rate(now);
    let mut urgent = heads.iter().take_while(|head| head.0 < first.0);
    urgent
        .find(|head| !class::is_served_no_more(rate, head.1.served_rate(now)))
        .or(Some(first))
}

/// Smallest window of which a part is reserved. Of two or three calls a reserved one would
/// cost a third or more of the throughput, and an urgent part waits for a few calls only.
const RESERVE_MIN_WINDOW: usize = 4;

/// The reserve is this fraction of the window. With an eighth, bursts of urgent parts met full
/// windows more often, and fewer of them were in time than without a reserve.
const RESERVE_DIVISOR: usize = 4;
