//! Tests of the connection to a backend server against responses with invalid statuses.

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
use jasminepond_backend::{Call, CallId, Command, Dialer, Event, HttpDialer, Options, Sent};
use test_case::test_case;

/// Answers one request with `response` and then waits for the connection to be closed.
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
        let _ = reader.read_line(&mut line);
    });
    address
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
    let address = answer_once(format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: 17\r\n\r\n{{\"state\":\"ready\"}}"
    ));
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
    let refused = matches!(
        event,
        Ok(Some(Event::Closed {
            call: Some((CallId(1), Sent::InvalidResponse)),
            ..
        }))
    );
    assert!(refused, "{event:?}");
}
