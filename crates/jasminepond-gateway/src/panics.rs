//! Confines a panic to the task or request in which it occurred.

use std::{any::Any, future::Future, panic::AssertUnwindSafe};

use futures_channel::mpsc;
use futures_util::FutureExt;
use jasminepond_daemon::net::http::{BufferedResponse, error_response};
use jasminepond_types::ErrorKind;
use spdlog::error;

/// Installs a hook that logs each panic with its source location.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        error!("gateway: a task panicked", kv: { cause = panic_message(info.payload()), place });
    }));
}

fn panic_message(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}

/// Runs a request handler and turns a panic into a 502 response, because the request may
/// already have run on a backend server.
///
/// ```
/// use futures_util::FutureExt;
/// use jasminepond_gateway::catch_panic;
///
/// let res = catch_panic(async { panic!("a bug") }).now_or_never().unwrap();
/// assert_eq!(res.status(), 502);
/// ```
pub async fn catch_panic(handler: impl Future<Output = BufferedResponse>) -> BufferedResponse {
    match AssertUnwindSafe(handler).catch_unwind().await {
        Ok(res) => res,
        Err(_) => error_response(
            ErrorKind::OutcomeUnknown,
            "the request met a fault of this daemon",
            None,
        ),
    }
}

/// Spawns a task that the daemon cannot run without. If the task panics, its name is sent
/// to `failed`, so that the daemon shuts down gracefully and can be restarted.
pub fn spawn_essential(
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
    failed: mpsc::UnboundedSender<&'static str>,
) {
    compio::runtime::spawn(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            error!("gateway: a task that is needed has failed", kv: { task = name });
            // The receiver is gone only if the daemon is already stopping.
            let _ = failed.unbounded_send(name);
        }
    })
    .detach();
}
