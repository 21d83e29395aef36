//! Waits for the next event or timer of a task.

use std::{pin::pin, time::Duration};

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{FutureExt, StreamExt, select_biased};

/// Result of [`next`].
#[derive(Debug)]
pub enum Next<E> {
    /// An event arrived.
    Event(E),
    /// The timeout has expired.
    Timer,
    /// All senders were dropped.
    Closed,
}

/// Waits for an event for at most `timeout`, or indefinitely if it is `None`.
pub async fn next<E>(rx: &mut UnboundedReceiver<E>, timeout: Option<Duration>) -> Next<E> {
    let timer = async {
        match timeout {
            Some(timeout) => compio::time::sleep(timeout).await,
            None => std::future::pending().await,
        }
    };
    select_biased! {
        event = rx.next() => event.map_or(Next::Closed, Next::Event),
        _ = pin!(timer.fuse()) => Next::Timer,
    }
}
