//! Blocking HTTP calls with JSON bodies.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;

use crate::ClusterError;

/// Time limit for a response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a GET request, or a POST request if there is a body. The status code is
/// ignored, so that error responses are returned as well.
///
/// # Errors
///
/// There is no response, or its body is not JSON.
pub fn call(address: SocketAddr, path: &str, body: Option<&Value>) -> Result<Value, ClusterError> {
    let text = call_text(address, path, body)?;
    if text.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_str(&text).map_err(|err| ClusterError::Http {
        address,
        path: path.to_owned(),
        cause: format!("{err}: {text}"),
    })
}

/// Like [`call`], but returns the body as text.
///
/// # Errors
///
/// There is no response.
pub fn call_text(
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<String, ClusterError> {
    let failed = |cause: String| ClusterError::Http {
        address,
        path: path.to_owned(),
        cause,
    };
    let runtime = compio::runtime::Runtime::new().map_err(|err| failed(err.to_string()))?;
    let exchange = async {
        let client = cyper::Client::builder().no_proxy().build()?;
        let url = format!("http://{address}{path}");
        let req = match body {
            Some(body) => client
                .post(url)?
                .header("content-type", "application/json")?
                .body(body.to_string()),
            None => client.get(url)?,
        };
        req.send().await?.text().await
    };
    let response = runtime.block_on(async { compio::time::timeout(TIMEOUT, exchange).await });
    match response {
        Ok(Ok(text)) => Ok(text),
        Ok(Err(err)) => Err(failed(err.to_string())),
        Err(_) => Err(failed("no response in time".to_owned())),
    }
}
