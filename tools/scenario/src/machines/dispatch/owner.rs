//! An owner daemon: its queue, and the work on each connection.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jasminepond_dispatch::{
    Action, ConnId, LostWork, Outcome, ServerQueue, Settings, Work, WorkId,
};
use jasminepond_types::{Timestamp, Weight};

use crate::{Error, args::Args, machine::Out};

/// Number of requests that `warm` sends, enough for every estimate of the queue to
/// settle.
const WARM_REQUESTS: u64 = 100;

/// Long enough to disable a time limit, short enough that adding it to a
/// [`Timestamp`] does not overflow.
pub(super) const NEVER: Duration = Duration::from_secs(1_000_000);

/// Bound on the steps until a queue is idle, above what any scenario needs.
pub(super) const MAX_STEPS: usize = 10_000;

pub(super) struct Owner {
    pub(super) queue: ServerQueue,
    pub(super) names: BTreeMap<WorkId, String>,
    /// The work that runs on each connection.
    pub(super) busy: BTreeMap<ConnId, WorkId>,
    /// Queued or running work.
    pub(super) live: BTreeSet<WorkId>,
    pub(super) conns: u64,
    pub(super) violation: Option<String>,
}

impl Owner {
    /// Records the end of work, and a violation if it had already ended.
    pub(super) fn ended(&mut self, work: WorkId) {
        if !self.live.remove(&work) {
            self.violation = Some(format!("{} ended twice", self.names[&work]));
        }
    }

    pub(super) fn work_id(&mut self, name: &str) -> WorkId {
        let known = self.names.iter().find(|(_, n)| *n == name);
        if let Some((id, _)) = known {
            return *id;
        }
        let id = WorkId(self.names.len() as u64 + 1);
        self.names.insert(id, name.to_owned());
        id
    }

    pub(super) fn parse_work(&self, args: &mut Args<'_>) -> Result<WorkId, Error> {
        let missing = args.error("work that was enqueued");
        let name = args.word("work")?;
        let known = self.names.iter().find(|(_, n)| *n == name);
        known.map(|(id, _)| *id).ok_or(missing)
    }

    /// Reads a connection, given by its name (`c1`) or by the work that runs on it.
    pub(super) fn parse_conn(&self, args: &mut Args<'_>) -> Result<ConnId, Error> {
        let missing = args.error("a connection such as c1, or work that runs");
        let word = args.word("a connection or work")?;
        let number = word.strip_prefix('c').and_then(|n| n.parse().ok());
        let busy = |id: &WorkId| self.names.get(id).is_some_and(|name| name == word);
        let on = self
            .busy
            .iter()
            .find(|(_, id)| busy(id))
            .map(|(conn, _)| *conn);
        on.or(number).ok_or(missing)
    }

    pub(super) fn closed(&mut self, now: Timestamp, conn: ConnId) -> Option<Out> {
        let lost = self.queue.closed(now, conn);
        self.busy.remove(&conn);
        if let LostWork::Retryable { work } | LostWork::OutcomeUnknown { work } = lost {
            self.ended(work);
        }
        match lost {
            LostWork::None => None,
            LostWork::Retryable { work } => Some(Out::new([&"lost", &self.names[&work], &"retry"])),
            LostWork::OutcomeUnknown { work } => {
                Some(Out::new([&"lost", &self.names[&work], &"unknown"]))
            }
        }
    }

    /// Sends requests until the queue uses all slots of the server and has enough
    /// service times for a progress timeout.
    pub(super) fn warm(&mut self, settings: &Settings) {
        let mut now = Timestamp::ZERO;
        let first = 1_000_000;
        let mut next = first;
        while next < first + WARM_REQUESTS || self.queue.hint().slots < settings.slots.get() {
            next += 1;
            let work = Work {
                id: WorkId(next),
                tenant: "t".parse().expect("a valid id"),
                weight: Weight(1),
                priority: 0,
                deadline: now + NEVER,
                idempotent: true,
            };
            self.queue.enqueue(now, work);
            for _ in 0..MAX_STEPS {
                match self.queue.next(now) {
                    Action::Start { conn, .. } => {
                        now = now + settings.initial_service_time;
                        self.queue.completed(now, conn, Outcome::Done);
                    }
                    Action::Connect => {
                        self.conns += 1;
                        self.queue.connected(now, ConnId(self.conns));
                    }
                    _ => break,
                }
            }
        }
    }
}

/// Expands `w1..w3` to `w1`, `w2` and `w3`.
pub(super) fn expand_range(range: &str) -> Option<Vec<String>> {
    let Some((first, last)) = range.split_once("..") else {
        return Some(vec![range.to_owned()]);
    };
    let prefix = first.trim_end_matches(|c: char| c.is_ascii_digit());
    let from: u32 = first[prefix.len()..].parse().ok()?;
    let to: u32 = last.strip_prefix(prefix)?.parse().ok()?;
    Some((from..=to).map(|n| format!("{prefix}{n}")).collect())
}
