//! Raw HTTP requests and responses, so that tests can send malformed messages.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

use serde_json::Value;

use super::TIMEOUT;

/// A request received by a fake server.
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
            return Err(invalid("incomplete headers"));
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

/// Reads one complete response; `None` if the connection was closed before it.
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

/// Connects with a read timeout of [`TIMEOUT`].
pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the daemon accepts connections");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a valid limit");
    BufReader::new(stream)
}

/// Formats a request with a body.
pub fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Sends bytes on a new connection and reads one response.
pub fn send(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = connect(address);
    // The daemon may respond and close before it has read everything.
    let _ = stream.get_mut().write_all(bytes);
    let response = read_response(&mut stream).expect("a whole response");
    response.expect("a response before the end of the connection")
}

/// Sends a POST request with a JSON body.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Response {
    send(address, request("POST", path, &body.to_string()).as_bytes())
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str) -> Response {
    send(address, request("GET", path, "").as_bytes())
}

/// Formats a response.
pub fn response_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a fake server does with a connection after a request.
pub enum ConnectionAction {
    /// Read the next request.
    Keep,
    /// Close the connection.
    Close,
}

/// Accepts connections, one thread each, until the process ends. `accepted` decides
/// whether to serve a connection before anything is read from it.
pub fn serve(
    listener: TcpListener,
    accepted: impl Fn(&mut TcpStream) -> ConnectionAction + Send + Sync + 'static,
    handle: impl Fn(&Request, &mut TcpStream) -> io::Result<ConnectionAction> + Send + Sync + 'static,
) {
    let handlers = Arc::new((accepted, handle));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handlers = handlers.clone();
            std::thread::spawn(move || {
                let mut stream = stream;
                if let ConnectionAction::Keep = handlers.0(&mut stream) {
                    let _ = serve_connection(stream, &handlers.1);
                }
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handle: &impl Fn(&Request, &mut TcpStream) -> io::Result<ConnectionAction>,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if let ConnectionAction::Close = handle(&request, reader.get_mut())? {
            break;
        }
    }
    Ok(())
}
