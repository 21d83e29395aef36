//! Tests of connections against responses that nobody asked for.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use http_body_util::{BodyExt, Full};
use hyper::Request;
use jasminepond_http::connect;
use test_case::test_case;

const SOUND: &str = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";

/// Accepts one connection and sends `extra` in the same segment as the response to the first
/// request, and nothing after the second one.
fn answer_first(extra: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let mut lines = lines.map_while(Result::ok);
        lines.find(String::is_empty);
        let response = [SOUND, extra].concat();
        stream.write_all(response.as_bytes()).unwrap();
        // Until the second request, or the end of the connection.
        lines.find(String::is_empty);
    });
    address
}

/// Guards against bytes that arrived with the response before, which are not checked, as the
/// response to the next request.
#[test_case("HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra"; "a second response")]
#[test_case("HTTP/1.1 200 X\r\nX-A: 1\n\r\nContent-Length: 5\r\n\r\nextra"; "a malformed one")]
#[test_case("HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\nextra"; "one in another coding")]
#[test_case("HTTP/1.1 200 X\r\nX-A: "; "a part of one")]
#[compio::test]
async fn extra_bytes_are_not_the_next_response(extra: &'static str) {
    let address = answer_first(extra);
    let mut conn = connect(address).await.unwrap();
    let request = || {
        let req = Request::get("/").header("host", address.to_string());
        req.body(Full::default()).unwrap()
    };
    let first = conn.send(request()).await.unwrap().into_body();
    assert_eq!(first.collect().await.unwrap().to_bytes(), "ok");
    let second = conn.send(request()).await;
    assert!(second.is_err(), "{second:?}");
}
