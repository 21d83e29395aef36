//! The platform over HTTP.

use std::{cell::RefCell, net::SocketAddr, pin::pin, time::Duration};

use cyper::Client;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use hyper::HeaderMap;
use jasminepond_types::Revision;
use serde::{Deserialize, de::DeserializeOwned};

use crate::{FileEntry, Instance, MAX_FILE_BYTES, Platform, PlatformError, Tree};

/// Longest accepted response in bytes. An instance list of 30,000 entries at 150 bytes each
/// is the largest response.
const MAX_BODY_BYTES: usize = 8 << 20;

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address of the configuration service and instance list.
    pub address: SocketAddr,
    /// Longest time for a read; a watch may take this much longer than asked.
    pub timeout: Duration,
}

/// Reads over HTTP with limits on time and size.
pub struct HttpReader {
    options: Options,
    client: RefCell<Client>,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
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
    /// A client; nothing is connected yet.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(options: Options) -> Result<Self, PlatformError> {
        let reader = HttpReader::new(options)?;
        Ok(Self { reader })
    }

    async fn get(&self, path: &str, extra: Duration) -> Result<(u16, Vec<u8>), PlatformError> {
        let answer = self.reader.get(path, extra).await?;
        Ok((answer.status, answer.body))
    }
}

impl HttpReader {
    /// A reader; nothing is connected yet.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(options: Options) -> Result<Self, PlatformError> {
        let client = RefCell::new(new_client()?);
        Ok(Self { options, client })
    }

    /// The answer, with a status below 500, to a GET of `path`, which may take `extra`
    /// more than the time of the options.
    ///
    /// # Errors
    ///
    /// No response in time, a refusal, a status of 500 or more, or a body that is
    /// too large.
    pub async fn get(&self, path: &str, extra: Duration) -> Result<HttpResponse, PlatformError> {
        let url = format!("http://{}{path}", self.options.address);
        let client = self.client.borrow().clone();
        let read = async {
            let res = client.get(url)?.send().await?;
            let (status, headers) = (res.status().as_u16(), res.headers().clone());
            Ok::<_, cyper::Error>((status, headers, limited_body(res).await?))
        };
        let result = match compio::time::timeout(self.options.timeout + extra, read).await {
            Err(_) => Err(PlatformError::Unreachable("no response in time".to_owned())),
            Ok(Err(err)) => Err(PlatformError::Unreachable(err.to_string())),
            Ok(Ok((_, _, None))) => Err(PlatformError::Malformed("body too large".to_owned())),
            Ok(Ok((429, ..))) => Err(PlatformError::RateLimited),
            Ok(Ok((status, ..))) if status >= 500 => {
                Err(PlatformError::Unreachable(format!("status {status}")))
            }
            Ok(Ok((status, headers, Some(body)))) => Ok(HttpResponse {
                status,
                headers,
                body,
            }),
        };
        if matches!(result, Err(PlatformError::Unreachable(_))) {
            // A pooled connection may have gone silent: the next read opens a new one.
            *self.client.borrow_mut() = new_client()?;
        }
        result
    }
}

/// The whole body, or `None` if it exceeds the limit.
async fn limited_body(res: cyper::Response) -> Result<Option<Vec<u8>>, cyper::Error> {
    let mut chunks = pin!(res.bytes_stream());
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk: bytes::Bytes = chunk?;
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Ok(None);
        }
    }
    Ok(Some(body))
}

fn new_client() -> Result<Client, PlatformError> {
    // The platform is reached by IP address; proxy variables of the environment do not apply.
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

fn checked(tree: Tree) -> Result<Tree, PlatformError> {
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
        async move { checked(json(self.get("/v1/tree", Duration::ZERO).await?)?) }.boxed_local()
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
                response => Ok(Some(checked(json(response)?)?)),
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
            // The digest is the proof that the content belongs to the listed revision.
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
