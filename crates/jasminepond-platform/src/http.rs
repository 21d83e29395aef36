//! HTTP client of the platform.

use std::{cell::RefCell, net::SocketAddr, pin::pin, time::Duration};

use cyper::Client;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use hyper::HeaderMap;
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
    client: RefCell<Client>,
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
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(options: Options) -> Result<Self, PlatformError> {
        let reader = HttpReader::new(options)?;
        Ok(Self { reader })
    }

    async fn get(&self, path: &str, extra: Duration) -> Result<(u16, Vec<u8>), PlatformError> {
        let res = self.reader.get(path, extra).await?;
        Ok((res.status, res.body))
    }
}

impl HttpReader {
    /// Creates a reader without opening a connection.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(options: Options) -> Result<Self, PlatformError> {
        let client = RefCell::new(new_client()?);
        Ok(Self { options, client })
    }

    /// Sends a GET request for `path` and returns the response, whose status is from 200 to
    /// 499. The head of the response may take `extra` in addition to the configured timeout.
    ///
    /// # Errors
    ///
    /// Fails if there is no response in time, on status 429, on a status below 200 or of 500 or
    /// more, and if the body is too large.
    pub async fn get(&self, path: &str, extra: Duration) -> Result<HttpResponse, PlatformError> {
        self.get_within(path, self.options.timeout + extra).await
    }

    /// Sends a GET request as [`HttpReader::get`] does. The head of the response may take
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if there is no response in time, on status 429, on a status below 200 or of 500 or
    /// more, and if the body is too large.
    pub async fn get_within(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let url = format!("http://{}{path}", self.options.address);
        let client = self.client.borrow().clone();
        let head = async { client.get(url)?.send().await };
        let result = match compio::time::timeout(timeout, head).await {
            Err(_) => Err(PlatformError::Unreachable("no response in time".to_owned())),
            Ok(Err(err)) => Err(PlatformError::Unreachable(err.to_string())),
            Ok(Ok(res)) => self.read_response(res).await,
        };
        if matches!(result, Err(PlatformError::Unreachable(_))) {
            // A pooled connection may be dead, so the next read opens a new one.
            *self.client.borrow_mut() = new_client()?;
        }
        result
    }

    async fn read_response(&self, res: cyper::Response) -> Result<HttpResponse, PlatformError> {
        let (status, headers) = (res.status().as_u16(), res.headers().clone());
        let body = read_body(res, self.options.timeout);
        let body = compio::time::timeout(MAX_BODY_TIME, body).await;
        let body =
            body.map_err(|_| PlatformError::Unreachable("the body is slow".to_owned()))??;
        match status {
            429 => Err(PlatformError::RateLimited),
            // Those outside 200 to 599 are none of a response: hyper skips interim ones.
            ..200 | 500.. => Err(PlatformError::Unreachable(format!("status {status}"))),
            _ => Ok(HttpResponse {
                status,
                headers,
                body,
            }),
        }
    }
}

/// Reads the whole body, of which each part has to arrive within `timeout`.
async fn read_body(res: cyper::Response, timeout: Duration) -> Result<Vec<u8>, PlatformError> {
    let mut chunks = pin!(res.bytes_stream());
    let mut body = Vec::new();
    loop {
        let chunk = match compio::time::timeout(timeout, chunks.next()).await {
            Err(_) => return Err(PlatformError::Unreachable("the body broke off".to_owned())),
            Ok(None) => return Ok(body),
            Ok(Some(Err(err))) => return Err(PlatformError::Unreachable(err.to_string())),
            Ok(Some(Ok(chunk))) => chunk,
        };
        let chunk: bytes::Bytes = chunk;
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Err(PlatformError::TooLarge {
                limit: MAX_BODY_BYTES,
            });
        }
    }
}

fn new_client() -> Result<Client, PlatformError> {
    // The platform is addressed by IP, so proxy settings of the environment are ignored.
    Client::builder()
        .no_proxy()
        .build()
        .map_err(|err| PlatformError::Unreachable(err.to_string()))
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
