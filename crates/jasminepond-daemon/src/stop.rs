//! A signal that many tasks wait for.

use futures_channel::oneshot;
use futures_util::{FutureExt, future::Shared};

/// Sends the signal once. Dropping it sends it too.
#[derive(Debug)]
pub struct StopSender {
    _tx: oneshot::Sender<()>,
}

/// Waits for the signal.
#[derive(Debug, Clone)]
pub struct Stop {
    rx: Shared<oneshot::Receiver<()>>,
}

/// A pair of sender and receiver.
pub fn stop() -> (StopSender, Stop) {
    let (tx, rx) = oneshot::channel();
    (StopSender { _tx: tx }, Stop { rx: rx.shared() })
}

impl StopSender {
    /// Sends the signal.
    pub fn send(self) {}
}

impl Stop {
    /// Returns once the signal was sent.
    pub async fn wait(self) {
        let _ = self.rx.await;
    }
}
