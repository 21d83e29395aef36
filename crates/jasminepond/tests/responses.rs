//! Tests of the command line against malformed responses of a daemon.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};

use test_case::test_case;

/// Response to a search of one shard, of 62 bytes.
const FOUND: &str = r#"{"coverage":{"shards":1,"answered":1,"missing":[]},"hits":[]}
"#;

/// Answers one request with `response` and then closes the connection.
fn answer_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let (mut line, mut len) = (String::new(), 0);
        while reader.read_line(&mut line).is_ok_and(|len| len > 2) {
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                len = value.trim().parse().unwrap();
            }
            line.clear();
        }
        // A connection closed with unread bytes is reset.
        reader.read_exact(&mut vec![0; len]).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

fn search(response: String) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jasminepond"))
        .args(["search", "--to", &answer_once(response).to_string()])
        .args(["--tenant", "t", "--class", "c", "--group", "g", "query"])
        .output()
        .unwrap()
}

/// Guards against printing a response whose status is invalid, whose head does not state clearly
/// where the body ends, or whose head holds a line that is no field, as the result of a search.
#[test_case("000 X", "Content-Length: 62", FOUND; "status 000")]
#[test_case("101 X", "Content-Length: 62", FOUND; "a change of protocol")]
#[test_case("600 X", "Content-Length: 62", FOUND; "status 600")]
#[test_case("999 X", "Content-Length: 62", FOUND; "status 999")]
#[test_case("200 X", "Content-Length: +62", FOUND; "a length with a sign")]
#[test_case("200 X", "Content-Length: 62\r\nTransfer-Encoding: gzip", FOUND; "a length and another coding")]
#[test_case("200 X", "Transfer-Encoding: gzip", FOUND; "another coding")]
#[test_case("200 X", "X-A: 1\n", FOUND; "an empty line that ends the head early")]
#[test_case("200 X", "X A: 1\r\nContent-Length: 62", FOUND; "a space in a name")]
#[test_case("200 X", "X\u{1}A: 1\r\nContent-Length: 62", FOUND; "a control byte in a name")]
fn malformed_responses_are_refused(status: &str, fields: &str, body: &str) {
    let output = search(format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}"));
    assert!(!output.status.success(), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
}

/// Guards against refusing the responses that the standard allows.
#[test_case("Content-Length: 62"; "a length")]
#[test_case("Connection: close"; "a body until the end of the connection")]
fn valid_responses_are_printed(fields: &str) {
    let output = search(format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n{FOUND}"));
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains("coverage: 1 of 1 shards"), "{printed}");
}
