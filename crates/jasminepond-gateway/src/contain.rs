//! Keeps a panic within the task or request in which it happened.

use std::{any::Any, future::Future, panic::AssertUnwindSafe};

use futures_channel::mpsc;
use futures_util::FutureExt;
use jasminepond_daemon::net::http::{BufferedResponse, error_response};
use jasminepond_types::ErrorKind;
use spdlog::error;

/// Logs each panic with its place.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        error!("gateway: a task panicked", kv: { cause = cause(info.payload()), place });
    }));
}

fn cause(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}

/// Answers a request, also if that panics. The request may have run by then.
///
/// ```
/// use futures_util::FutureExt;
/// use jasminepond_gateway::contained;
///
/// let res = contained(async { panic!("a mistake") }).now_or_never().unwrap();
/// assert_eq!(res.status(), 502);
/// ```
pub async fn contained(answer: impl Future<Output = BufferedResponse>) -> BufferedResponse {
    match AssertUnwindSafe(answer).catch_unwind().await {
        Ok(res) => res,
        Err(_) => error_response(
            ErrorKind::OutcomeUnknown,
            "the request met a fault of this daemon",
            None,
        ),
    }
}

/// Runs a task without which the daemon is of no use. If it panics, its name is sent to
/// `failed`, so that the daemon stops in order and is started anew.
pub fn spawn_essential(
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
    failed: mpsc::UnboundedSender<&'static str>,
) {
    compio::runtime::spawn(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            error!("gateway: a task that is needed has failed", kv: { task = name });
            // Without a receiver the daemon stops already.
            let _ = failed.unbounded_send(name);
        }
    })
    .detach();
}
