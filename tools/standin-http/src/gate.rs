use std::{cell::RefCell, future::Future, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use compio::net::TcpListener;
use futures_util::future::{Either, select};
use tokio_util::sync::CancellationToken;

use crate::{Reply, Request, accept, serve_stream};

/// Delay before retrying to bind an address that is still in use.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Switches a listener off and on. While the gate is shut, the port refuses connections
/// and open connections are cut.
#[derive(Debug, Clone, Default)]
pub struct Gate(Rc<RefCell<Signals>>);

#[derive(Debug, Default)]
struct Signals {
    /// Cancelled while the gate is shut.
    shut: CancellationToken,
    /// Cancelled when the gate opens again.
    opened: CancellationToken,
}

impl Gate {
    /// Shuts the gate.
    pub fn shut(&self) {
        let mut signals = self.0.borrow_mut();
        if !signals.shut.is_cancelled() {
            signals.opened = CancellationToken::new();
            signals.shut.cancel();
        }
    }

    /// Opens the gate.
    pub fn open(&self) {
        let mut signals = self.0.borrow_mut();
        if signals.shut.is_cancelled() {
            signals.shut = CancellationToken::new();
            signals.opened.cancel();
        }
    }

    fn signals(&self) -> (CancellationToken, CancellationToken) {
        let signals = self.0.borrow();
        (signals.shut.clone(), signals.opened.clone())
    }
}

/// Like [`serve`](crate::serve), but stops and resumes with the gate.
///
/// # Errors
///
/// The address of the listener cannot be read.
pub async fn serve_gated<F, R>(first: TcpListener, gate: Gate, handler: F) -> io::Result<()>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let address = first.local_addr()?;
    let handler = Rc::new(handler);
    let mut listener = Some(first);
    loop {
        let (shut, opened) = gate.signals();
        if shut.is_cancelled() {
            listener = None;
            opened.cancelled().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = rebind(address).await;
            continue;
        };
        let accept = pin!(accept(open));
        if let Either::Left((stream, _)) = select(accept, pin!(shut.cancelled())).await {
            let (shut, handler) = (shut.clone(), handler.clone());
            let serving = async move {
                let serving = pin!(serve_stream(stream, handler));
                select(serving, pin!(shut.cancelled())).await;
            };
            compio::runtime::spawn(serving).detach();
        }
    }
}

async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(_) => {
            compio::time::sleep(REBIND_PAUSE).await;
            None
        }
    }
}
