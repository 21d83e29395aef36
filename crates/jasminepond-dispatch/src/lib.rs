//! Queueing and dispatch of work for one backend server.
//!
//! The daemon that owns a server keeps a [`ServerQueue`] for it. The queue holds
//! the waiting work, tracks the server's slots and connections, and decides
//! which action comes next. It does no I/O and reads no clock: the caller passes
//! `now` with each event and performs the actions that [`ServerQueue::next`]
//! returns.
//!
//! ```
//! use jasminepond_dispatch::{
//!     Action, ConnId, Enqueue, Outcome, ServerQueue, Settings, Work, WorkId,
//! };
//! use jasminepond_types::{Timestamp, Weight};
//!
//! let now = Timestamp::from_millis(1);
//! let mut queue = ServerQueue::new(now, Settings::default(), 7);
//! let work = Work {
//!     id: WorkId(1),
//!     tenant: "foundry".parse().unwrap(),
//!     weight: Weight(1),
//!     priority: 0,
//!     deadline: Timestamp::from_millis(250),
//!     idempotent: true,
//! };
//! assert_eq!(queue.enqueue(now, work), Enqueue::Queued);
//! assert_eq!(queue.next(now), Action::Connect);
//! queue.connected(now, ConnId(1));
//! assert_eq!(queue.next(now), Action::Start { work: WorkId(1), conn: ConnId(1) });
//! let later = Timestamp::from_millis(6);
//! assert_eq!(queue.completed(later, ConnId(1), Outcome::Done), Some(WorkId(1)));
//! ```

mod circuit;
mod connections;
mod estimate;
mod fair;
mod lifecycle;
mod limit;
mod schedule;
mod server;
mod service;
mod settings;
mod status;
mod work;

pub use estimate::{Ewma, Quantile};
pub use server::ServerQueue;
pub use settings::Settings;
pub use work::{
    Action, Cancelled, ConnId, Enqueue, Health, Hint, LostWork, NotRun, Outcome, ServerState, Work,
    WorkId,
};
