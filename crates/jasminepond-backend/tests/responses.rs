//! Tests of the connection to a backend server against malformed responses.

use std::{
    cell::RefCell,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread,
    time::Duration,
};

use futures_channel::mpsc;
use futures_util::StreamExt;
use jasminepond_backend::{
    Call, CallId, CallOutcome, Command, Dialer, Event, HttpDialer, Options, Sent, ServerState,
};
use test_case::test_case;

/// Body of a successful health check.
const READY: &str = "{\"state\":\"ready\"}";

/// Answers one request with `response`, and closes the connection once the client has closed it or
/// waits for more.
fn answer_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|len| len > 2) {
            line.clear();
        }
        stream.write_all(response.as_bytes()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        let _ = reader.read_line(&mut line);
    });
    address
}

/// Returns the event of a health check to which the server sends `response`.
async fn health_check(response: String) -> Option<Event> {
    let address = answer_once(response);
    let options = Options {
        address,
        id_prefix: "p".into(),
        connect_timeout: Duration::from_secs(5),
        max_body: 1 << 10,
    };
    let (tx, mut events) = mpsc::unbounded();
    let tx = RefCell::new(tx);
    let conn = HttpDialer.dial(
        options,
        Rc::new(move |event| {
            let _ = tx.borrow_mut().unbounded_send(event);
        }),
    );
    let connected = events.next().await;
    assert!(matches!(connected, Some(Event::Connected)), "{connected:?}");
    let (id, call) = (CallId(1), Call::Health);
    conn.send(Command::Call { id, call });
    let event = compio::time::timeout(Duration::from_secs(5), events.next()).await;
    event.expect("an event in time")
}

/// Whether the server's response is invalid and its connection closed.
fn is_refused(event: &Option<Event>) -> bool {
    matches!(
        event,
        Some(Event::Closed {
            call: Some((CallId(1), Sent::InvalidResponse)),
            ..
        })
    )
}

/// Guards against counting a response with an invalid status as the outcome of a call, in
/// particular as one that guarantees that the call did not run.
#[test_case("000", ""; "000")]
#[test_case("099", ""; "099")]
#[test_case("101", "Upgrade: x\r\nConnection: upgrade\r\n"; "a change of protocol")]
#[test_case("600", ""; "600")]
#[test_case("999", "X-Not-Run: 1\r\n"; "999 that states not run")]
#[test_case("+20", ""; "a sign")]
#[compio::test]
async fn responses_with_invalid_statuses_are_refused(status: &str, headers: &str) {
    let event = health_check(format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: 17\r\n\r\n{READY}"
    ));
    let event = event.await;
    assert!(is_refused(&event), "{event:?}");
}

/// Guards against counting a response as the outcome of a call although its head does not state
/// clearly where the body ends, or holds a line that is no field.
#[test_case("200 X", "Content-Length: +17", READY; "a length with a sign")]
#[test_case("200 X", "Content-Length: 0\r\nContent-Length: 17", READY; "two lengths")]
#[test_case("200 X", "Content-Length: 17\r\nTransfer-Encoding: chunked", "11\r\n{\"state\":\"ready\"}\r\n0\r\n\r\n"; "a length and chunks")]
#[test_case("200 X", "Transfer-Encoding: identity\r\nContent-Length: 17", READY; "an unknown coding and a length")]
#[test_case("200 X", "Transfer-Encoding: gzip, chunked", "11\r\n{\"state\":\"ready\"}\r\n0\r\n\r\n"; "two codings")]
#[test_case("503 X", "X-Not-Run: 1\r\nTransfer-Encoding: gzip", READY; "another coding of a call that did not run")]
#[test_case("204 X", "X-Not-Run: 1\r\nContent-Length: 17", READY; "a length without content")]
#[test_case("200 X", "X-A: 1\nContent-Length: 17", READY; "two fields in a line")]
#[test_case("200 X", "X-A: 1\n", READY; "an empty line that ends the head early")]
#[test_case("103 X", "Content-Length: 57", "HTTP/1.1 200 X\r\nContent-Length: 17\r\n\r\n{\"state\":\"ready\"}"; "a response within an interim one")]
#[test_case("200 X", "X A: 1\r\nContent-Length: 17", READY; "a space in a name")]
#[test_case("200 X", "X\u{1}A: 1\r\nContent-Length: 17", READY; "a control byte in a name")]
#[test_case("200 X", "no field\r\nContent-Length: 17", READY; "no colon")]
#[compio::test]
async fn malformed_heads_are_refused(status: &str, fields: &str, body: &str) {
    let event = health_check(format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}")).await;
    assert!(is_refused(&event), "{event:?}");
}

/// Guards against refusing the responses that the standard allows.
#[test_case("200 X", "Content-Length: 17\r\nContent-Length: 17", READY; "a repeated length")]
#[test_case("200 X", "Transfer-Encoding: Chunked", "11;a=b\r\n{\"state\":\"ready\"}\r\n0\r\nX-A: 1\r\n\r\n"; "chunks")]
#[test_case("103 X", "Link: a", "HTTP/1.1 200 X\r\nContent-Length: 17\r\n\r\n{\"state\":\"ready\"}"; "an interim response")]
#[test_case("200 X", "Connection: close", READY; "a body until the end of the connection")]
#[compio::test]
async fn valid_responses_are_read(status: &str, fields: &str, body: &str) {
    let event = health_check(format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}")).await;
    let Some(Event::Reply { reply, .. }) = &event else {
        panic!("{event:?}");
    };
    let ready = CallOutcome::Health(ServerState::Ready);
    assert_eq!(reply.outcome, ready);
}
