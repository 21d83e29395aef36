//! Requests and responses as bytes, so that tests can send what no client would.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

use serde_json::Value;

use super::LIMIT;

/// A request as a fake received it.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// A response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Value,
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// First line, headers and body.
type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read_message(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(invalid("the headers broke off"));
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some((first, headers, body)))
}

/// Reads one whole response; `None` if the connection was closed before it.
pub fn read_response(stream: &mut impl BufRead) -> io::Result<Option<Response>> {
    let Some((first, headers, body)) = read_message(stream)? else {
        return Ok(None);
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Some(Response {
        status: status.ok_or_else(|| invalid("no status"))?,
        headers,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    }))
}

fn read_request(stream: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers, body)) = read_message(stream)? else {
        return Ok(None);
    };
    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
    Ok(Some(Request {
        path,
        headers,
        body,
    }))
}

/// Connects; a read that lasts longer than any test may wait fails.
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream.set_read_timeout(Some(LIMIT)).expect("a valid limit");
    BufReader::new(stream)
}

/// A request with a body.
pub fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Sends bytes on a connection of their own and reads one response.
pub fn send(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = connect(address);
    // The daemon may answer and close before it has read everything.
    let _ = stream.get_mut().write_all(bytes);
    let response = read_response(&mut stream).expect("a whole response");
    response.expect("a response before the end of the connection")
}

/// Posts JSON.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Response {
    send(address, request("POST", path, &body.to_string()).as_bytes())
}

/// Gets JSON.
pub fn get(address: SocketAddr, path: &str) -> Response {
    send(address, request("GET", path, "").as_bytes())
}

/// A response as bytes.
pub fn bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a fake does with a connection after a request.
pub enum Then {
    /// Reads the next request.
    Keep,
    /// Closes it.
    Close,
}

/// Accepts connections, one thread each, until the process ends. `accepted`
/// decides about each before anything is read.
pub fn serve(
    listener: TcpListener,
    accepted: impl Fn(&mut TcpStream) -> Then + Send + Sync + 'static,
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<Then> + Send + Sync + 'static,
) {
    let handlers = Arc::new((accepted, handle));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handlers = handlers.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                if let Then::Keep = handlers.0(&mut stream) {
                    let _ = converse(stream, &handlers.1);
                }
            });
        }
    });
}

fn converse(
    stream: TcpStream,
    handle: &impl Fn(&Request, &mut TcpStream) -> io::Result<Then>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if let Then::Close = handle(&request, reader.get_mut())? {
            break;
        }
    }
    Ok(())
}
