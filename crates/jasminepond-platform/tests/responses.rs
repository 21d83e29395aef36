//! Tests of the client against malformed responses.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use jasminepond_framing::{FramingError, HeadError};
use jasminepond_platform::{HttpReader, HttpResponse, Options, PlatformError};
use test_case::test_case;

/// Interval between checks of what a server has done.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Answers one request with `response` and then closes the connection.
fn answer_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        lines.find(String::is_empty);
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

async fn read(address: SocketAddr) -> Result<HttpResponse, PlatformError> {
    let timeout = Duration::from_secs(5);
    let reader = HttpReader::new(Options { address, timeout });
    reader.get("/v1/kv-key", Duration::ZERO).await
}

/// Guards against taking the headers, such as the era of the store, and the body of a response
/// with an invalid status for those of the store.
#[test_case("000"; "000")]
#[test_case("099"; "099")]
#[test_case("100"; "an interim status as the final one")]
#[test_case("101"; "a change of protocol")]
#[test_case("600"; "600")]
#[test_case("999"; "999")]
#[test_case("+20"; "a sign")]
#[test_case("2000"; "four digits")]
#[compio::test]
async fn responses_with_invalid_statuses_are_refused(status: &str) {
    let address = answer_once(format!(
        "HTTP/1.1 {status} X\r\nStore-Era: 9\r\nContent-Length: 2\r\n\r\n{{}}"
    ));
    let read = read(address).await;
    assert!(
        matches!(read, Err(PlatformError::Unreachable(_))),
        "{read:?}"
    );
}

/// Guards against a body that is not that of the store: in a transfer coding that is not decoded,
/// of a length that is stated in several ways, or after a line of the head that is no field.
#[test_case("200 X", "Content-Length: +2", "{}"; "a length with a sign")]
#[test_case("200 X", "Content-Length: 0\r\nContent-Length: 2", "{}"; "two lengths")]
#[test_case("200 X", "Content-Length: 2\r\nTransfer-Encoding: chunked", "2\r\n{}\r\n0\r\n\r\n"; "a length and chunks")]
#[test_case("200 X", "Transfer-Encoding: gzip", "{}"; "another coding")]
#[test_case("200 X", "Transfer-Encoding: identity\r\nContent-Length: 2", "{}"; "an unknown coding and a length")]
#[test_case("200 X", "Transfer-Encoding: gzip, chunked", "2\r\n{}\r\n0\r\n\r\n"; "two codings")]
#[test_case("200 X", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "2\r\n{}\r\n0\r\n\r\n"; "chunks twice")]
#[test_case("200 X", "Transfer-Encoding: chunked", "2\r\n{}\r\n\r\n\r\n"; "a chunk without a size")]
#[test_case("200 X", "Transfer-Encoding: chunked", "2\r\n{}\r\n"; "no last chunk")]
#[test_case("200 X", "X-A: 1\n\r\nContent-Length: 2", "{}"; "a field that ends with a line feed alone")]
#[test_case("200 X", "X-A: 1\nContent-Length: 2", "{}"; "two fields in a line")]
#[test_case("103 X", "Content-Length: 41", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}"; "a response within an interim one")]
#[test_case("204 X", "Content-Length: 2", "{}"; "a length without content")]
#[test_case("204 X", "Transfer-Encoding: chunked", "0\r\n\r\n"; "chunks without content")]
#[test_case("200 X", "X A: 1\r\nContent-Length: 2", "{}"; "a space in a name")]
#[test_case("200 X", "X\u{1}A: 1\r\nContent-Length: 2", "{}"; "a control byte in a name")]
#[test_case("200 X", "no field\r\nContent-Length: 2", "{}"; "no colon")]
#[compio::test]
async fn malformed_heads_and_bodies_are_refused(status: &str, fields: &str, body: &str) {
    let address = answer_once(format!(
        "HTTP/1.1 {status}\r\nStore-Era: 9\r\n{fields}\r\n\r\n{body}"
    ));
    let read = read(address).await;
    assert!(
        matches!(read, Err(PlatformError::Unreachable(_))),
        "{read:?}"
    );
}

/// Guards against refusing the responses that the standard allows.
#[test_case("1.1 200 X", "Content-Length: 2", "{}"; "a length")]
#[test_case("1.1 200 X", "Content-Length: 2\r\nContent-Length: 2", "{}"; "a repeated length")]
#[test_case("1.1 404 X", "Transfer-Encoding: Chunked", "2;a=b\r\n{}\r\n0\r\nX-A: 1\r\n\r\n"; "chunks")]
#[test_case("1.1 200 X", "X-A: 1", "{}"; "a body until the end of the connection")]
#[test_case("1.0 200 X", "X-A: 1", "{}"; "an older version")]
#[test_case("1.1 200 X", "X-A:\r\nX-B: \t1 \r\nContent-Length:2\t", "{}"; "spaces and an empty value")]
#[test_case("1.1 103 X", "Link: a", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}"; "an interim response")]
#[compio::test]
async fn valid_responses_are_read(status: &str, fields: &str, body: &str) {
    let address = answer_once(format!("HTTP/{status}\r\n{fields}\r\n\r\n{body}"));
    assert_eq!(read(address).await.unwrap().body, b"{}");
}

/// Guards against refusing responses without a body, or waiting for one.
#[test_case(204, "X-A: 1"; "no content")]
#[test_case(204, "Content-Length: 0"; "no content and a length of zero")]
#[test_case(304, "Content-Length: 2"; "not modified")]
#[compio::test]
async fn valid_responses_without_a_body_are_read(status: u16, fields: &str) {
    let address = answer_once(format!("HTTP/1.1 {status} X\r\n{fields}\r\n\r\n"));
    let read = read(address).await.unwrap();
    assert_eq!((read.status, &read.body[..]), (status, &b""[..]));
}

/// Guards against a new connection for each read, and against a read that fails because the store
/// closed the connection while it was idle.
#[test_case(3, 1; "connections stay open")]
#[test_case(1, 3; "each is closed after one response")]
#[compio::test]
async fn connections_are_reused_while_open(per_connection: usize, connections: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counters = (opened.clone(), closed.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counters.0.fetch_add(1, Ordering::Relaxed);
            let mut out = stream.try_clone().unwrap();
            let lines = BufReader::new(stream).lines().map_while(Result::ok);
            for _ in lines.filter(String::is_empty).take(per_connection) {
                out.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")
                    .unwrap();
            }
            drop(out);
            counters.1.fetch_add(1, Ordering::Relaxed);
        }
    });
    let timeout = Duration::from_secs(5);
    let reader = HttpReader::new(Options { address, timeout });
    for responses in 1..=3 {
        let read = reader.get("/v1/kv-key", Duration::ZERO).await.unwrap();
        assert_eq!(read.body, b"{}");
        while closed.load(Ordering::Relaxed) < responses / per_connection {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        // The runtime reports the end of the connection to its task.
        compio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(opened.load(Ordering::Relaxed), connections);
}

/// Guards against connections that stay open after their reads have been given up.
#[test_case(""; "no response")]
#[test_case("HTTP/1.1 200 X\r\nContent-Le"; "a part of the head")]
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{"; "a part of the body")]
#[compio::test]
async fn connections_without_a_response_are_closed(response: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).map(|_| ())
    });
    let timeout = Duration::from_millis(100);
    let reader = HttpReader::new(Options { address, timeout });
    let read = reader.get("/v1/kv-key", Duration::ZERO).await;
    assert!(
        matches!(read, Err(PlatformError::Unreachable(_))),
        "{read:?}"
    );
    // The task of the connection ends while this one sleeps.
    while !server.is_finished() {
        compio::time::sleep(POLL_INTERVAL).await;
    }
    server.join().unwrap().expect("the connection is closed");
}

/// Guards against a malformed head that is refused only in the first response of a connection, or
/// only if it arrives in one piece.
#[test_case("X-A: 1\n\r\nContent-Length: 2", HeadError::Malformed; "a line feed alone")]
#[test_case("Transfer-Encoding: gzip", HeadError::Length(FramingError::TransferEncoding); "another coding")]
#[compio::test]
async fn malformed_heads_are_refused_on_connections_in_use(fields: &'static str, cause: HeadError) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        for fields in ["Content-Length: 2", "Content-Length: 2", fields] {
            lines.find(String::is_empty);
            for byte in format!("HTTP/1.1 200 X\r\n{fields}\r\n\r\n{{}}").bytes() {
                // The client closes the connection within a malformed head.
                let _ = stream.write_all(&[byte]);
            }
        }
    });
    let timeout = Duration::from_secs(5);
    let reader = HttpReader::new(Options { address, timeout });
    for _ in 0..2 {
        let read = reader.get("/v1/kv-key", Duration::ZERO).await.unwrap();
        assert_eq!(read.body, b"{}");
    }
    let read = reader.get("/v1/kv-key", Duration::ZERO).await;
    let Err(PlatformError::Unreachable(stated)) = read else {
        panic!("{read:?}");
    };
    assert_eq!(stated, cause.to_string());
}
