//! Invariants of a queue under arbitrary sequences of events.

mod support;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use jasminepond_dispatch::{
    Action, Cancelled, ConnId, Enqueue, LostWork, NotRun, Outcome, ServerQueue, ServerState,
    Settings, Work, WorkId,
};
use jasminepond_types::{Slots, Timestamp, Weight};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Event {
    Enqueue {
        tenant: u8,
        priority: u32,
        time_left: u64,
        idempotent: bool,
    },
    Connected,
    ConnectFailed,
    Complete(usize, Outcome),
    ResponseStarted(usize),
    Close(usize),
    Checked(usize, ServerState),
    Cancel(u64),
    Advance(u64),
    Resume(u64),
    Drain,
    Ready,
    UpdateSettings {
        slots: u32,
        quota: u32,
    },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    let not_run = |reason| Outcome::NotRun {
        reason,
        retry_after: None,
    };
    prop_oneof![
        8 => Just(Outcome::Done),
        2 => Just(Outcome::Failed),
        1 => Just(Outcome::Cancelled),
        2 => Just(not_run(NotRun::Shed)),
        1 => Just(not_run(NotRun::Starting)),
        1 => Just(not_run(NotRun::NotSent)),
        1 => Just(not_run(NotRun::Deadline)),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let enqueue = (0..4u8, 0..3u32, 1..400u64, any::<bool>()).prop_map(
        |(tenant, priority, time_left, idempotent)| Event::Enqueue {
            tenant,
            priority,
            time_left,
            idempotent,
        },
    );
    let state = prop_oneof![
        4 => Just(ServerState::Ready),
        1 => Just(ServerState::Starting),
    ];
    prop_oneof![
        12 => enqueue,
        6 => Just(Event::Connected),
        2 => Just(Event::ConnectFailed),
        10 => (0..8usize, outcome()).prop_map(|(n, outcome)| Event::Complete(n, outcome)),
        1 => (0..8usize).prop_map(Event::ResponseStarted),
        2 => (0..8usize).prop_map(Event::Close),
        4 => (0..8usize, state).prop_map(|(n, state)| Event::Checked(n, state)),
        2 => (0..200u64).prop_map(Event::Cancel),
        10 => (1..60u64).prop_map(Event::Advance),
        1 => (500..5_000u64).prop_map(Event::Resume),
        1 => Just(Event::Drain),
        2 => Just(Event::Ready),
        1 => (1..5u32, 1..5u32).prop_map(|(slots, quota)| Event::UpdateSettings { slots, quota }),
    ]
}

fn settings(slots: u32, connection_quota: u32) -> Settings {
    Settings {
        slots: Slots(slots),
        connection_quota,
        successes_per_slot: 1,
        queue_limit: 16,
        ..Default::default()
    }
}

/// Drives a queue and checks each of its actions.
struct Driver {
    queue: ServerQueue,
    now: Timestamp,
    slots: u32,
    quota: usize,
    last_id: u64,
    conns: Vec<ConnId>,
    opening: usize,
    checking: Vec<ConnId>,
    running: HashMap<ConnId, WorkId>,
    /// Connections of cancelled requests whose response has not arrived.
    abandoned: HashSet<ConnId>,
    waiting: HashSet<WorkId>,
    idempotent: HashMap<WorkId, bool>,
    started: HashMap<WorkId, u32>,
    next_timer: Option<Timestamp>,
}

impl Driver {
    fn new() -> Self {
        Self {
            queue: ServerQueue::new(Timestamp::ZERO, settings(2, 3), 3),
            now: Timestamp::ZERO,
            slots: 2,
            quota: 3,
            last_id: 0,
            conns: Vec::new(),
            opening: 0,
            checking: Vec::new(),
            running: HashMap::new(),
            abandoned: HashSet::new(),
            waiting: HashSet::new(),
            idempotent: HashMap::new(),
            started: HashMap::new(),
            next_timer: None,
        }
    }

    fn end_work(&mut self, work: WorkId) {
        let queued = self.waiting.remove(&work);
        let conn = self.running.iter().find(|(_, w)| **w == work);
        let conn = conn.map(|(conn, _)| *conn);
        if let Some(conn) = conn {
            self.running.remove(&conn);
        }
        assert!(queued || conn.is_some(), "{work} ended twice");
    }

    fn close(&mut self, conn: ConnId) {
        self.conns.retain(|c| *c != conn);
        self.checking.retain(|c| *c != conn);
        self.abandoned.remove(&conn);
        match self.queue.closed(self.now, conn) {
            LostWork::None => assert!(
                !self.running.contains_key(&conn),
                "lost work was not reported"
            ),
            lost @ (LostWork::Retryable { work } | LostWork::OutcomeUnknown { work }) => {
                let retry = lost == LostWork::Retryable { work };
                assert_eq!(
                    retry, self.idempotent[&work],
                    "{work} must not be sent again"
                );
                assert_eq!(self.running.get(&conn), Some(&work));
                self.end_work(work);
            }
        }
    }

    fn run_actions(&mut self) {
        for step in 0.. {
            assert!(step < 1_000, "next() never becomes idle");
            match self.queue.next(self.now) {
                Action::Start { work, conn } => self.start(work, conn),
                Action::Connect => {
                    self.opening += 1;
                    let total = self.opening + self.conns.len();
                    assert!(total <= self.quota, "more connections than the quota");
                }
                Action::Close { conn } => {
                    assert!(self.conns.contains(&conn), "unknown connection");
                    self.close(conn);
                }
                Action::Check { conn } => {
                    assert!(!self.running.contains_key(&conn));
                    assert!(!self.abandoned.contains(&conn));
                    self.checking.push(conn);
                }
                Action::Discard { work, .. } => {
                    assert!(self.waiting.contains(&work), "{work} was not queued");
                    self.end_work(work);
                }
                Action::Idle { until } => {
                    assert!(
                        until.is_none_or(|at| at > self.now),
                        "timer is not in the future"
                    );
                    self.next_timer = until;
                    break;
                }
            }
        }
    }

    fn start(&mut self, work: WorkId, conn: ConnId) {
        assert!(self.waiting.remove(&work), "{work} was not queued");
        assert!(self.conns.contains(&conn), "unknown connection");
        assert!(!self.abandoned.contains(&conn), "connection not drained");
        assert!(!self.checking.contains(&conn), "connection being checked");
        assert!(self.running.insert(conn, work).is_none(), "connection busy");
        let in_use = (self.running.len() + self.abandoned.len()) as u32;
        assert!(in_use <= self.slots, "more running than slots");
        *self.started.entry(work).or_default() += 1;
        assert!(self.started[&work] == 1, "{work} was started twice");
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Enqueue {
                tenant,
                priority,
                time_left,
                idempotent,
            } => self.enqueue(tenant, priority, time_left, idempotent),
            Event::Connected if self.opening > 0 => {
                self.opening -= 1;
                let conn = support::new_conn();
                self.conns.push(conn);
                self.queue.connected(now, conn);
            }
            Event::ConnectFailed if self.opening > 0 => {
                self.opening -= 1;
                self.queue.connect_failed(now);
            }
            Event::Complete(nth, outcome) => self.complete(nth, outcome),
            Event::ResponseStarted(nth) => {
                if let Some(&conn) = self.conns.get(nth) {
                    self.queue.response_started(now, conn);
                }
            }
            Event::Close(nth) => {
                if let Some(&conn) = self.conns.get(nth) {
                    self.close(conn);
                }
            }
            Event::Checked(nth, state) if nth < self.checking.len() => {
                let conn = self.checking.swap_remove(nth);
                self.queue.checked(now, conn, state);
            }
            Event::Cancel(id) => self.cancel(WorkId(id)),
            Event::Advance(millis) => self.now = now + Duration::from_millis(millis),
            Event::Resume(millis) => {
                self.now = now + Duration::from_millis(millis);
                self.queue.resumed(self.now);
            }
            Event::Drain => self.queue.set_draining(now),
            Event::Ready => self.queue.set_ready(now),
            Event::UpdateSettings { slots, quota } => self.update_settings(slots, quota),
            _ => {}
        }
        self.run_actions();
    }

    fn enqueue(&mut self, tenant: u8, priority: u32, time_left: u64, idempotent: bool) {
        self.last_id += 1;
        let id = WorkId(self.last_id);
        let work = Work {
            id,
            tenant: format!("t{tenant}").parse().unwrap(),
            weight: Weight(u32::from(tenant)),
            priority,
            deadline: self.now + Duration::from_millis(time_left),
            idempotent,
        };
        self.idempotent.insert(id, idempotent);
        match self.queue.enqueue(self.now, work) {
            Enqueue::Queued => {
                self.waiting.insert(id);
            }
            Enqueue::Refused { retry_after, .. } => assert!(retry_after.0 > 0),
        }
    }

    fn complete(&mut self, nth: usize, outcome: Outcome) {
        let Some(&conn) = self.conns.get(nth) else {
            return;
        };
        let completed = self.queue.completed(self.now, conn, outcome);
        self.abandoned.remove(&conn);
        assert_eq!(completed, self.running.get(&conn).copied());
        if let Some(work) = completed {
            self.end_work(work);
        }
    }

    fn cancel(&mut self, work: WorkId) {
        let running = self.running.values().any(|w| *w == work);
        match self.queue.cancel(self.now, work) {
            Cancelled::Removed => {
                assert!(self.waiting.contains(&work));
                self.end_work(work);
            }
            Cancelled::SendCancel { conn, via } => {
                assert_eq!(self.running.get(&conn), Some(&work));
                self.end_work(work);
                self.abandoned.insert(conn);
                self.checking.extend(via);
            }
            Cancelled::AlreadyEnded => assert!(!running && !self.waiting.contains(&work)),
        }
    }

    fn update_settings(&mut self, slots: u32, quota: u32) {
        // Requests and connections from before the change may exceed it.
        self.slots = slots.max((self.running.len() + self.abandoned.len()) as u32);
        self.quota = (quota as usize).max(self.conns.len() + self.opening);
        self.queue.update_settings(self.now, settings(slots, quota));
    }

    /// Advances the time from timer to timer until all work has ended. Connection
    /// attempts fail; no other events occur.
    fn settle(&mut self) {
        for _ in 0..10_000 {
            self.run_actions();
            while self.opening > 0 {
                self.opening -= 1;
                self.queue.connect_failed(self.now);
            }
            self.run_actions();
            if self.waiting.is_empty() && self.running.is_empty() {
                return;
            }
            self.now = self
                .next_timer
                .expect("work has not ended but no timer is set");
        }
        panic!("work has not ended after 10,000 steps");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against lost or duplicated work, against requests sent over an
    /// unusable connection, against exceeded limits, and against a queue that
    /// hangs or loops when the server stops responding.
    #[test]
    fn all_work_ends_exactly_once_within_the_limits(
        events in proptest::collection::vec(event(), 1..300),
    ) {
        let mut driver = Driver::new();
        for event in events {
            driver.apply(event);
        }
        driver.settle();
    }
}
