//! Waiting of a task for its next event or timer.

use std::{pin::pin, time::Duration};

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{FutureExt, StreamExt, select_biased};

/// What a task waited for.
#[derive(Debug)]
pub enum Next<E> {
    /// An event arrived.
    Event(E),
    /// The time has passed.
    Timer,
    /// Nobody can send events any more.
    Closed,
}

/// Waits for an event, at most for `wait`; without limit if there is none.
pub async fn next<E>(rx: &mut UnboundedReceiver<E>, wait: Option<Duration>) -> Next<E> {
    let timer = async {
        match wait {
            Some(wait) => compio::time::sleep(wait).await,
            None => std::future::pending().await,
        }
    };
    select_biased! {
        event = rx.next() => event.map_or(Next::Closed, Next::Event),
        _ = pin!(timer.fuse()) => Next::Timer,
    }
}
