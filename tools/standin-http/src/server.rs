use std::{collections::HashMap, convert::Infallible, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Response, StatusCode, body::Body, body::Incoming, server::conn::http1,
    service::service_fn,
};
use serde::{Serialize, de::DeserializeOwned};

/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// A response with its whole body in memory.
pub type Reply = Response<Full<Bytes>>;

/// A request with its whole body in memory.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string parameters. Values are not percent-decoded.
    pub query: HashMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Path segments, for example `["servers", "s1"]`.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Body as JSON; an empty body is read as `null`.
    ///
    /// # Errors
    ///
    /// The body is not valid JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        let body: &[u8] = if self.body.is_empty() {
            b"null"
        } else {
            &self.body
        };
        serde_json::from_slice(body).map_err(|e| format!("body is not valid: {e}"))
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// A JSON reply.
pub fn json(status: u16, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("reply types serialize to JSON");
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = StatusCode::from_u16(status).expect("status code is valid");
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    reply
}

/// A reply without a body.
pub fn empty(status: u16) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = StatusCode::from_u16(status).expect("status code is valid");
    reply
}

/// A JSON reply `{"error": message}`.
pub fn error(status: u16, message: impl Into<String>) -> Reply {
    json(status, &serde_json::json!({ "error": message.into() }))
}

/// Reads the body of `request`.
///
/// # Errors
///
/// The connection ended or broke within the body.
pub async fn read_request(request: hyper::Request<Incoming>) -> Result<Request, hyper::Error> {
    let (head, body) = request.into_parts();
    // Most requests to the stand-ins without a body are GETs; skip the collector for them.
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        body.collect().await?.to_bytes()
    };
    let query = head.uri.query().unwrap_or_default();
    Ok(Request {
        method: head.method,
        path: head.uri.path().to_string(),
        query: query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
        headers: head.headers,
        body,
    })
}

/// Serves one connection until it ends. Connection errors end it silently.
pub async fn serve_stream<F, R>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move {
            let reply = match read_request(request).await {
                Ok(request) => handler(request).await,
                Err(e) => error(400, e.to_string()),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    // The peer may close the connection at any time; no action is needed.
    let _ = http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

/// Accepts the next connection. A failed accept, for example for lack of file descriptors,
/// is retried after a delay, so that the retries do not occupy the thread.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Accepts connections indefinitely and handles each request with `handler`.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let stream = accept(&listener).await;
        compio::runtime::spawn(serve_stream(stream, handler.clone())).detach();
    }
}
