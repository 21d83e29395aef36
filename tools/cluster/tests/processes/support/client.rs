//! An HTTP connection that tells how each request ended.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

/// Longest wait for an answer. It bounds a failing run.
const LIMIT: Duration = Duration::from_secs(60);

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    /// The daemon asks the client to go elsewhere.
    pub closing: bool,
}

impl Answer {
    /// The kind of an error.
    pub fn kind(&self) -> Option<&str> {
        self.body["error"]["kind"].as_str()
    }

    /// Whether all shards answered.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.body["coverage"]["answered"] == self.body["coverage"]["shards"]
    }
}

/// How a request ended for the caller.
#[derive(Debug, Clone)]
pub enum Ended {
    /// With a complete answer.
    Answered(Answer),
    /// The connection was refused; nothing was sent.
    Refused,
    /// The connection ended without a complete answer.
    #[expect(dead_code, reason = "the cause is shown by failing tests")]
    Cut(std::io::ErrorKind),
}

/// A connection to one daemon.
pub struct Session {
    stream: BufReader<TcpStream>,
}

impl Session {
    /// Connects, unless the daemon refuses.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(LIMIT)).ok()?;
        Some(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a request without waiting for its answer.
    pub fn send(&mut self, path: &str, body: &Value) -> std::io::Result<()> {
        let body = body.to_string();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: tier\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.stream.get_mut().write_all((head + &body).as_bytes())
    }

    /// Reads an answer.
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
                return Err(broken("the headers broke off"));
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
        let body = serde_json::from_slice(&body).map_err(|_| broken("no JSON"))?;
        Ok(Answer {
            status,
            body,
            closing,
        })
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, path: &str, body: &Value) -> Ended {
        match self.send(path, body).and_then(|()| self.receive()) {
            Ok(answer) => Ended::Answered(answer),
            Err(err) => Ended::Cut(err.kind()),
        }
    }
}

/// Sends a request on a connection of its own.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Ended {
    match Session::open(address) {
        Some(mut session) => session.ask(path, body),
        None => Ended::Refused,
    }
}
