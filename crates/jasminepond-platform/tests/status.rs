//! Tests of the client against responses with invalid statuses.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use jasminepond_platform::{HttpReader, Options, PlatformError};
use test_case::test_case;

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
    let timeout = Duration::from_secs(5);
    let reader = HttpReader::new(Options { address, timeout }).unwrap();
    let read = reader.get("/v1/kv-key", Duration::ZERO).await;
    assert!(
        matches!(read, Err(PlatformError::Unreachable(_))),
        "{read:?}"
    );
}
