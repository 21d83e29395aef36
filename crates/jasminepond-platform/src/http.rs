//! HTTP client of the platform.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use futures_util::{FutureExt, future::LocalBoxFuture};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, body::Incoming};
use jasminepond_http::{SendError, Sender, connect};
use jasminepond_types::Revision;
use serde::{Deserialize, de::DeserializeOwned};

use crate::{FileEntry, Instance, MAX_FILE_BYTES, Platform, PlatformError, Tree};

/// Maximum size of a response body in bytes. The largest response is an instance list of
/// 30,000 entries of 150 bytes each.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Longest time for the body of a response, so that a source that sends it slowly is given
/// up in the end.
const MAX_BODY_TIME: Duration = Duration::from_secs(5);

/// Settings of the client.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address of the configuration service and instance list.
    pub address: SocketAddr,
    /// Timeout of a read, until the head of the response and then between parts of its
    /// body. A watch may take this much longer than the requested wait.
    pub timeout: Duration,
}

/// Reads over HTTP with limits on time and response size.
pub struct HttpReader {
    options: Options,
    /// Open connections without a request: at most as many as there were reads at a time.
    idle: RefCell<Vec<Sender>>,
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Client of the platform's HTTP interface.
pub struct HttpPlatform {
    reader: HttpReader,
}

#[derive(Deserialize)]
struct InstanceList {
    instances: Vec<Instance>,
}

impl HttpPlatform {
    /// Creates a client without opening a connection.
    pub fn new(options: Options) -> Self {
        let reader = HttpReader::new(options);
        Self { reader }
    }

    async fn get(&self, path: &str, extra: Duration) -> Result<(u16, Vec<u8>), PlatformError> {
        let res = self.reader.get(path, extra).await?;
        Ok((res.status, res.body))
    }
}

impl HttpReader {
    /// Creates a reader without opening a connection.
    pub fn new(options: Options) -> Self {
        let idle = RefCell::default();
        Self { options, idle }
    }

    /// Sends a GET request for `path` and returns the response, whose status is from 200 to
    /// 499. The head of the response may take `extra` in addition to the configured timeout.
    ///
    /// # Errors
    ///
    /// Fails if there is no response in time, if it is malformed, on status 429, on a status of 500
    /// or more, and if the body is too large.
    pub async fn get(&self, path: &str, extra: Duration) -> Result<HttpResponse, PlatformError> {
        self.get_within(path, self.options.timeout + extra).await
    }

    /// Sends a GET request as [`HttpReader::get`] does. The head of the response may take
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if there is no response in time, if it is malformed, on status 429, on a status of 500
    /// or more, and if the body is too large.
    pub async fn get_within(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let result = match compio::time::timeout(timeout, self.send(path)).await {
            Err(_) => Err(PlatformError::Unreachable("no response in time".to_owned())),
            Ok(Err(err)) => Err(err),
            Ok(Ok((conn, res))) => self.read_response(conn, res).await,
        };
        if matches!(result, Err(PlatformError::Unreachable(_))) {
            // An idle connection may be dead, so the next read opens a new one.
            self.idle.borrow_mut().clear();
        }
        result
    }

    /// Sends a request over an idle connection, or over a new one if there is none.
    async fn send(&self, path: &str) -> Result<(Sender, Response<Incoming>), PlatformError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let is_reused = idle.is_some();
            let mut conn = match idle {
                Some(conn) => conn,
                None => connect(self.options.address).await.map_err(unreachable)?,
            };
            let req = Request::get(path).header("host", self.options.address.to_string());
            let req = req.body(Full::default()).map_err(unreachable)?;
            match conn.send(req).await {
                Ok(res) => return Ok((conn, res)),
                // Closed while it was idle.
                Err(SendError::NotSent(_)) if is_reused => {}
                Err(err) => return Err(unreachable(err)),
            }
        }
    }

    async fn read_response(
        &self,
        conn: Sender,
        res: Response<Incoming>,
    ) -> Result<HttpResponse, PlatformError> {
        let (head, body) = res.into_parts();
        let body = read_body(body, self.options.timeout);
        let body = compio::time::timeout(MAX_BODY_TIME, body).await;
        let body =
            body.map_err(|_| PlatformError::Unreachable("the body is slow".to_owned()))??;
        self.idle.borrow_mut().push(conn);
        match head.status.as_u16() {
            429 => Err(PlatformError::RateLimited),
            status @ 500.. => Err(PlatformError::Unreachable(format!("status {status}"))),
            status => Ok(HttpResponse {
                status,
                headers: head.headers,
                body,
            }),
        }
    }
}

fn unreachable(err: impl ToString) -> PlatformError {
    PlatformError::Unreachable(err.to_string())
}

/// Reads the whole body, of which each part has to arrive within `timeout`.
async fn read_body(mut res: Incoming, timeout: Duration) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    loop {
        let frame = match compio::time::timeout(timeout, res.frame()).await {
            Err(_) => return Err(PlatformError::Unreachable("the body broke off".to_owned())),
            Ok(None) => return Ok(body),
            Ok(Some(frame)) => frame.map_err(unreachable)?,
        };
        // Trailers are ignored.
        let chunk = frame.into_data().unwrap_or_default();
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Err(PlatformError::TooLarge {
                limit: MAX_BODY_BYTES,
            });
        }
    }
}

fn json<T: DeserializeOwned>((status, body): (u16, Vec<u8>)) -> Result<T, PlatformError> {
    if status != 200 {
        return Err(PlatformError::Malformed(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(|err| PlatformError::Malformed(err.to_string()))
}

fn check_sizes(tree: Tree) -> Result<Tree, PlatformError> {
    let too_large = |file: &&FileEntry| file.size > MAX_FILE_BYTES as u64;
    match tree.files.iter().find(too_large) {
        Some(file) => Err(PlatformError::Malformed(format!(
            "{} has {} bytes",
            file.name, file.size
        ))),
        None => Ok(tree),
    }
}

impl Platform for HttpPlatform {
    fn tree(&self) -> LocalBoxFuture<'_, Result<Tree, PlatformError>> {
        async move { check_sizes(json(self.get("/v1/tree", Duration::ZERO).await?)?) }.boxed_local()
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Tree>, PlatformError>> {
        async move {
            let path = format!("/v1/watch?after={after}&timeout_ms={}", wait.as_millis());
            match self.get(&path, wait).await? {
                (204, _) => Ok(None),
                response => Ok(Some(check_sizes(json(response)?)?)),
            }
        }
        .boxed_local()
    }

    fn file(
        &self,
        name: String,
        digest: String,
    ) -> LocalBoxFuture<'_, Result<Vec<u8>, PlatformError>> {
        async move {
            let path = format!("/v1/files/{name}?digest={digest}");
            let body = match self.get(&path, Duration::ZERO).await? {
                (200, body) => body,
                (404, _) => return Err(PlatformError::NotFound),
                (status, _) => return Err(PlatformError::Malformed(format!("status {status}"))),
            };
            // Only the digest proves that the content belongs to the listed revision.
            if blake3::hash(&body).to_hex().as_str() != digest {
                return Err(PlatformError::NotFound);
            }
            Ok(body)
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, PlatformError>> {
        async move {
            let list: InstanceList = json(self.get("/v1/instances", Duration::ZERO).await?)?;
            Ok(list.instances)
        }
        .boxed_local()
    }
}
