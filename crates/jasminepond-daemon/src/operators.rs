//! The operators' HTTP interface: metrics, health, readiness and status.

use std::{cell::Cell, rc::Rc};

use futures_channel::oneshot;
use futures_util::{FutureExt, future::LocalBoxFuture};
use hyper::{Method, StatusCode};
use jasminepond_types::ErrorKind;
use serde_json::json;

use crate::{
    control, entry,
    metrics::Metrics,
    net::http::{
        BufferedRequest, BufferedResponse, Handler, error_response, json_response, text_response,
    },
    owner, peers,
};

/// Readiness that load balancers act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It has no configuration yet.
    Starting,
    /// It serves requests.
    Ready,
    /// It is shutting down.
    Draining,
}

impl Readiness {
    fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// HTTP handler for operators.
#[derive(Clone)]
pub struct Operators {
    /// Identity of this daemon.
    pub me: entry::Identity,
    /// Current readiness.
    pub readiness: Rc<Cell<Readiness>>,
    /// Metrics to export.
    pub metrics: Rc<Metrics>,
    /// Sends events to the entry task.
    pub entry: entry::Sender,
    /// Sends events to the owner task.
    pub owner: owner::Sender,
    /// Sends events to the control task.
    pub control: control::Sender,
    /// Sends events to the peers task.
    pub peers: peers::Sender,
}

impl Handler for Operators {
    fn handle(&self, req: BufferedRequest) -> LocalBoxFuture<'static, BufferedResponse> {
        let operators = self.clone();
        async move { operators.route(&req).await }.boxed_local()
    }
}

/// Media type of the text format that prometheus-client produces.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

impl Operators {
    async fn route(&self, req: &BufferedRequest) -> BufferedResponse {
        let path = req.head.uri.path();
        if req.head.method != Method::GET {
            let message = format!("{path} takes GET");
            return error_response(ErrorKind::MethodNotAllowed, &message, None);
        }
        match path {
            "/metrics" => {
                text_response(StatusCode::OK, METRICS_CONTENT_TYPE, self.metrics.render())
            }
            "/healthz" => json_response(StatusCode::OK, &json!({"status": "ok"})),
            "/readyz" => self.readyz(),
            "/status" => self.status().await,
            _ => error_response(ErrorKind::NotFound, &format!("there is no {path}"), None),
        }
    }

    fn readyz(&self) -> BufferedResponse {
        let readiness = self.readiness.get();
        let status = match readiness {
            Readiness::Ready => StatusCode::OK,
            Readiness::Starting | Readiness::Draining => StatusCode::SERVICE_UNAVAILABLE,
        };
        json_response(status, &json!({"status": readiness.as_str()}))
    }

    async fn status(&self) -> BufferedResponse {
        let entry = ask(&self.entry, entry::Event::Status).await;
        let servers = ask(&self.owner, owner::Event::Status).await;
        let control = ask(&self.control, control::Event::Status).await;
        let links = ask(&self.peers, peers::Event::Status).await;
        let status = json!({
            "instance": self.me.instance,
            "incarnation": self.me.incarnation,
            "zone": self.me.zone,
            "region": self.me.region,
            "version": env!("CARGO_PKG_VERSION"),
            "readiness": self.readiness.get().as_str(),
            "config": control,
            "entry": entry,
            "servers": servers,
            "links": links,
        });
        json_response(StatusCode::OK, &status)
    }
}

async fn ask<E, T>(
    tx: &futures_channel::mpsc::UnboundedSender<E>,
    event: impl FnOnce(oneshot::Sender<T>) -> E,
) -> Option<T> {
    let (reply, rx) = oneshot::channel();
    tx.unbounded_send(event(reply)).ok()?;
    rx.await.ok()
}
