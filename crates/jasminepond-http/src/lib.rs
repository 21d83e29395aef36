//! HTTP/1.1 client connections that refuse malformed responses.
//!
//! hyper accepts some responses that do not state clearly where they end, for example with a
//! length beside a transfer coding, in a transfer coding that it does not decode, or with lines
//! that end with a line feed alone. The heads of all responses are therefore checked before hyper
//! reads them.

mod checked;

use std::{io, net::SocketAddr};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use jasminepond_framing::HeadError;

pub use checked::CheckedStream;
use checked::HeadCheck;

/// Future that transfers the bytes of a connection. The connection makes progress only while it is
/// polled.
pub type Driver = http1::Connection<CheckedStream<HyperStream<TcpStream>>, Full<Bytes>>;

/// A request has no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("{0}")]
    NotSent(hyper::Error),
    /// The response is malformed.
    #[error("{0}")]
    MalformedHead(HeadError),
    /// The response is malformed in a way that hyper detects.
    #[error("{0}")]
    Malformed(hyper::Error),
    /// The connection ended before the response. The request may have been sent.
    #[error("{0}")]
    Lost(hyper::Error),
}

/// Sends requests over a connection, one at a time. Dropping it closes the connection.
#[derive(Debug)]
pub struct Sender {
    sender: SendRequest<Full<Bytes>>,
    check: HeadCheck,
}

impl Sender {
    /// Sends a request, once the connection has transferred the response before, and returns the
    /// response. Its body must be read or dropped before the next request.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, or if the response is malformed. The connection cannot
    /// be used any more.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(SendError::NotSent)?;
        self.check.start();
        let res = self.sender.try_send_request(req).await;
        res.map_err(|mut err| {
            // hyper returns the request only if no byte of it was written.
            let is_unsent = err.take_message().is_some();
            let err = err.into_error();
            match self.check.refused() {
                _ if is_unsent => SendError::NotSent(err),
                Some(refused) => SendError::MalformedHead(refused),
                None if err.is_parse() => SendError::Malformed(err),
                None => SendError::Lost(err),
            }
        })
    }
}

/// Prepares a connection for requests.
///
/// # Errors
///
/// Fails if a socket option cannot be set or the connection has ended.
pub async fn handshake(stream: TcpStream) -> io::Result<(Sender, Driver)> {
    // Nagle's algorithm would delay small requests until earlier data is acknowledged.
    stream.set_nodelay(true)?;
    let check = HeadCheck::default();
    let stream = CheckedStream::new(HyperStream::new_plain(stream), check.clone());
    let (sender, driver) = http1::handshake(stream).await.map_err(io::Error::other)?;
    Ok((Sender { sender, check }, driver))
}

/// Opens a connection whose driver runs as a task of its own until the connection ends.
///
/// # Errors
///
/// Fails if the connection cannot be opened.
///
/// ```
/// use std::{error::Error, io::{Read, Write}, net::TcpListener, thread};
///
/// use http_body_util::{BodyExt, Full};
/// use hyper::Request;
///
/// # fn main() -> Result<(), Box<dyn Error>> {
/// let server = TcpListener::bind("127.0.0.1:0")?;
/// let address = server.local_addr()?;
/// thread::spawn(move || {
///     let (mut stream, _) = server.accept().unwrap();
///     let _ = stream.read(&mut [0; 512]).unwrap();
///     let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
///     stream.write_all(response).unwrap();
/// });
/// compio::runtime::Runtime::new()?.block_on(async {
///     let mut conn = jasminepond_http::connect(address).await?;
///     let req = Request::get("/").header("host", address.to_string());
///     let res = conn.send(req.body(Full::default())?).await?;
///     assert_eq!(res.into_body().collect().await?.to_bytes(), "ok");
///     Ok(())
/// })
/// # }
/// ```
pub async fn connect(address: SocketAddr) -> io::Result<Sender> {
    let (sender, driver) = handshake(TcpStream::connect(address).await?).await?;
    compio::runtime::spawn(async move {
        // The sender reports the end of the connection.
        let _ = driver.await;
    })
    .detach();
    Ok(sender)
}
