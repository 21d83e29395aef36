use std::{fmt, io, net::SocketAddr};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use serde_json::Value;

/// A failed call.
#[derive(Debug)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    Connect(io::Error),
    /// The connection ended or broke after the request may have been sent.
    Broken(hyper::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "connection not opened: {e}"),
            Self::Broken(e) => write!(f, "connection broken: {e}"),
        }
    }
}

impl std::error::Error for CallError {}

/// One HTTP/1.1 connection, used for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection. Its driver task ends when this value is dropped.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if the peer refuses.
    pub async fn open(addr: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(addr).await.map_err(CallError::Connect)?;
        // Each request is written as a whole; Nagle's algorithm would only add delay.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(CallError::Broken)?;
        compio::runtime::spawn(async move {
            let _ = driver.await;
        })
        .detach();
        Ok(Self { sender })
    }

    /// True until the peer is known to have closed the connection. A connection
    /// whose response has just been read counts as open: [`send`](Self::send) waits
    /// until it can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] if the connection ended before the response did.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        self.sender.ready().await.map_err(CallError::Broken)?;
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(CallError::Broken)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(CallError::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

/// Sends one request on a new connection. A response body that is not JSON is returned
/// as `null`.
///
/// # Errors
///
/// See [`CallError`].
pub async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), CallError> {
    let bytes = body.map(|b| b.to_string()).unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::from(bytes)))
        .expect("method and path form a valid request");
    let response = Connection::open(addr).await?.send(request).await?;
    let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
    Ok((response.status().as_u16(), value))
}

/// `GET path`, see [`call`].
///
/// # Errors
///
/// See [`CallError`].
pub async fn get(addr: SocketAddr, path: &str) -> Result<(u16, Value), CallError> {
    call(addr, "GET", path, None).await
}

/// `POST path`, see [`call`].
///
/// # Errors
///
/// See [`CallError`].
pub async fn post(addr: SocketAddr, path: &str, body: &Value) -> Result<(u16, Value), CallError> {
    call(addr, "POST", path, Some(body)).await
}
