//! An HTTP client that reports the outcome of each request.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

/// Time limit for a response. Reached only by failing runs.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    /// The response has `Connection: close`.
    pub closing: bool,
}

impl Answer {
    /// Error kind, if the response is an error.
    pub fn kind(&self) -> Option<&str> {
        self.body["error"]["kind"].as_str()
    }

    /// Whether this is a search result that covers all shards.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.body["coverage"]["answered"] == self.body["coverage"]["shards"]
    }
}

/// Outcome of a request for the caller.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A complete response arrived.
    Answered(Answer),
    /// The connection was refused; nothing was sent.
    Refused,
    /// The connection ended without a complete response.
    #[expect(dead_code, reason = "failing tests print the cause")]
    Cut(std::io::ErrorKind),
}

/// A connection to one daemon.
pub struct Session {
    stream: BufReader<TcpStream>,
}

impl Session {
    /// Connects; `None` if the connection is refused.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        Some(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a request without waiting for its response.
    pub fn send(&mut self, path: &str, body: &Value) -> std::io::Result<()> {
        let body = body.to_string();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: tier\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.stream.get_mut().write_all((head + &body).as_bytes())
    }

    /// Reads a response.
    pub fn receive(&mut self) -> std::io::Result<Answer> {
        let broken = |what: &str| std::io::Error::other(what.to_owned());
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| broken("no status line"))?;
        let (mut length, mut closing) = (0, false);
        loop {
            line.clear();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(broken("connection closed within the headers"));
            }
            let header = line.trim_end().to_lowercase();
            match header.split_once(": ") {
                Some(("content-length", text)) => length = text.parse().unwrap_or(0),
                Some(("connection", "close")) => closing = true,
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        let body = serde_json::from_slice(&body).map_err(|_| broken("body is not JSON"))?;
        Ok(Answer {
            status,
            body,
            closing,
        })
    }

    /// Sends a request and reads its response.
    pub fn request(&mut self, path: &str, body: &Value) -> Outcome {
        match self.send(path, body).and_then(|()| self.receive()) {
            Ok(answer) => Outcome::Answered(answer),
            Err(err) => Outcome::Cut(err.kind()),
        }
    }
}

/// Sends a request on a new connection.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Outcome {
    match Session::open(address) {
        Some(mut session) => session.request(path, body),
        None => Outcome::Refused,
    }
}
