//! A one-shot stop signal that several tasks can wait for.

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// Sends the signal, explicitly or when dropped.
#[derive(Debug)]
pub struct StopSender {
    _tx: oneshot::Sender<()>,
}

/// Waits for the signal.
#[derive(Debug, Clone)]
pub struct Stop {
    rx: Shared<oneshot::Receiver<()>>,
}

/// Creates a sender and a receiver of the signal.
pub fn stop() -> (StopSender, Stop) {
    let (tx, rx) = oneshot::channel();
    (StopSender { _tx: tx }, Stop { rx: rx.shared() })
}

impl StopSender {
    /// Sends the signal by dropping the sender.
    pub fn send(self) {}
}

impl Stop {
    /// Returns once the signal has been sent.
    pub async fn wait(self) {
        let _ = self.rx.await;
    }
}
