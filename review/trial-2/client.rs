//! Stand-in for clients.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::net::{Message, read_message};

/// A kept connection.
pub struct Client {
    to: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    /// Sends a request without a body and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)]) -> Option<Message> {
        self.send_with(method, path, headers, b"")
    }

    /// Sends a request with a body.
    pub fn post(&mut self, path: &str, id: &str, body: &[u8]) -> Option<Message> {
        let length = body.len().to_string();
        let headers = [
            ("Host", "h.example"),
            ("X-Request-Id", id),
            ("X-Request-Deadline", "4000"),
            ("Content-Length", &*length),
        ];
        self.send_with("POST", path, &headers, body)
    }

    fn send_with(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Message> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(self.to).ok()?;
                stream.set_nodelay(true).ok()?;
                stream
                    .set_read_timeout(Some(Duration::from_secs(10)))
                    .ok()?;
                BufReader::new(stream)
            }
        };
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.get_mut().write_all(&bytes).ok()?;
        let answer = read_message(&mut stream)?;
        if answer.header("connection") != Some("close") {
            self.stream = Some(stream);
        }
        Some(answer)
    }
}

/// Sends one request on a connection of its own.
pub fn get(to: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<Message> {
    let mut headers = headers.to_vec();
    headers.push(("Host", "h.example"));
    Client::new(to).send("GET", path, &headers)
}
