//! JSON over HTTP, one call at a time.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;

use crate::ClusterError;

/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// GET, or POST with a body. The answer's status is not looked at: refusals are
/// answers too.
///
/// # Errors
///
/// There is no answer, or it is not JSON.
pub fn call(address: SocketAddr, path: &str, body: Option<&Value>) -> Result<Value, ClusterError> {
    let text = text(address, path, body)?;
    if text.is_empty() {
        return Ok(Value::Null);
    }
    serde_json::from_str(&text).map_err(|err| ClusterError::Http {
        address,
        path: path.to_owned(),
        cause: format!("{err}: {text}"),
    })
}

/// Like [`call`], for an answer that is not JSON.
///
/// # Errors
///
/// There is no answer.
pub fn text(address: SocketAddr, path: &str, body: Option<&Value>) -> Result<String, ClusterError> {
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
    let answer = runtime.block_on(async { compio::time::timeout(TIMEOUT, exchange).await });
    match answer {
        Ok(Ok(text)) => Ok(text),
        Ok(Err(err)) => Err(failed(err.to_string())),
        Err(_) => Err(failed("no answer in time".to_owned())),
    }
}
