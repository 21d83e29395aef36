//! Each test covers one fault that the routing tier's tests inject through the
//! relay. If the relay forwarded or dropped anything else, those tests would
//! exercise a different fault.

use std::{future::Future, net::SocketAddr, sync::mpsc};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};
use futures_util::future::{Either, select};
use serde_json::{Value, json};
use standin_http::{get, post};
use standin_relay::{Bound, Options, serve};
use test_case::test_case;

/// Longer than any test takes.
const FOREVER_MS: u64 = 60_000;

/// Size in bytes of a transfer that takes many chunks.
const LARGE: usize = 5_000_000;

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime can be built")
        .block_on(test)
}

/// Starts a relay with the routes `r` and `reference`, both to `target`.
fn start(protocol: &str, target: SocketAddr) -> Bound {
    let route = |id| {
        let spec = json!({"id": id, "protocol": protocol, "target": target});
        serde_json::from_value(spec).expect("specification is valid")
    };
    let options = Options {
        routes: vec![route("r"), route("reference")],
        ..Options::default()
    };
    let (tx, rx) = mpsc::channel::<Bound>();
    std::thread::spawn(move || serve(options, move |bound| tx.send(bound).expect("test waits")));
    rx.recv().expect("relay starts")
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let echo = async move {
                loop {
                    let BufResult(n, bytes) = stream.read(Vec::with_capacity(4096)).await;
                    if n.unwrap_or(0) == 0 || stream.write_all(bytes).await.0.is_err() {
                        let _ = stream.shutdown().await;
                        return;
                    }
                }
            };
            compio::runtime::spawn(echo).detach();
        }
    };
    compio::runtime::spawn(serve).detach();
    address
}

async fn echo(stream: &mut TcpStream, text: &'static str) -> std::io::Result<()> {
    stream.write_all(text).await.0?;
    let BufResult(result, bytes) = stream.read_exact(vec![0; text.len()]).await;
    result?;
    assert_eq!(bytes, text.as_bytes());
    Ok(())
}

async fn new_echo(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    echo(&mut stream, "new").await
}

async fn patch_route(bound: &Bound, patch: Value) {
    let (status, reply) = post(bound.control, "/routes/r", &patch).await.unwrap();
    assert_eq!(status, 200, "{reply}");
}

async fn counter(bound: &Bound, name: &str) -> u64 {
    let (_, routes) = get(bound.control, "/routes").await.unwrap();
    routes["r"]["counters"][name]
        .as_u64()
        .expect("counter exists")
}

/// Asserts that `other` completes before `held`, and returns the pending `held`.
async fn assert_held_while<H, O>(held: H, other: O) -> H
where
    H: Future + Unpin,
    O: Future<Output = std::io::Result<()>>,
{
    match select(held, Box::pin(other)).await {
        Either::Left(_) => panic!("traffic was forwarded that should be held"),
        Either::Right((result, held)) => {
            result.expect("the other connection works");
            held
        }
    }
}

/// A lost or reordered chunk would look like a codec fault in the routing tier.
#[test_case(0; "without delay")]
#[test_case(1; "with delay")]
fn large_transfer_and_eof_are_forwarded(delay_ms: u64) {
    run(async {
        let bound = start("tcp", echo_server().await);
        patch_route(&bound, json!({"delay_ms": delay_ms})).await;
        let stream = TcpStream::connect(bound.routes["r"]).await.unwrap();
        let sent: Vec<u8> = (0..LARGE).map(|i| (i % 251) as u8).collect();
        let (mut rx, mut tx) = (stream.clone(), stream);
        let expected = sent.clone();
        let sending = compio::runtime::spawn(async move {
            tx.write_all(sent).await.0.unwrap();
            tx.shutdown().await.unwrap();
        });
        let BufResult(n, received) = rx.read_to_end(Vec::new()).await;
        sending.await.unwrap();
        assert_eq!(n.unwrap(), LARGE);
        assert!(received == expected, "bytes differ");
        assert_eq!(counter(&bound, "bytes_back").await, LARGE as u64);
    });
}

/// TCP delivers pending bytes after a partition heals, so the relay must not lose them.
#[test]
fn blackhole_existing_holds_only_open_connections() {
    run(async {
        let bound = start("tcp", echo_server().await);
        let mut old = TcpStream::connect(bound.routes["r"]).await.unwrap();
        echo(&mut old, "before").await.unwrap();
        patch_route(&bound, json!({"mode": "blackhole_existing"})).await;
        let held = Box::pin(echo(&mut old, "held"));
        let held = assert_held_while(held, new_echo(bound.routes["r"])).await;
        patch_route(&bound, json!({"mode": "pass"})).await;
        held.await.unwrap();
    });
}

/// A blackhole that forwards data of new connections would not simulate a partition.
#[test]
fn blackhole_holds_open_and_new_connections() {
    run(async {
        let bound = start("tcp", echo_server().await);
        let mut old = TcpStream::connect(bound.routes["r"]).await.unwrap();
        echo(&mut old, "before").await.unwrap();
        patch_route(&bound, json!({"mode": "blackhole"})).await;
        let mut new = TcpStream::connect(bound.routes["r"]).await.unwrap();
        let both = async { futures_util::join!(echo(&mut old, "old"), echo(&mut new, "new")) };
        let either = Box::pin(both);
        let held = assert_held_while(either, new_echo(bound.routes["reference"])).await;
        assert_eq!(
            counter(&bound, "bytes_to_target").await,
            "before".len() as u64
        );
        patch_route(&bound, json!({"mode": "pass"})).await;
        let (old, new) = held.await;
        old.unwrap();
        new.unwrap();
    });
}

/// A cut that leaves a connection open would act as a blackhole instead.
#[test_case("/routes/r", json!({"mode": "cut"}), false; "cut mode")]
#[test_case("/routes/r/cut", json!({}), true; "cut once")]
fn cut_closes_open_connections(path: &str, body: Value, new_works: bool) {
    run(async {
        let bound = start("tcp", echo_server().await);
        let mut old = TcpStream::connect(bound.routes["r"]).await.unwrap();
        echo(&mut old, "before").await.unwrap();
        assert_eq!(post(bound.control, path, &body).await.unwrap().0, 200);
        echo(&mut old, "after").await.unwrap_err();
        assert_eq!(new_echo(bound.routes["r"]).await.is_ok(), new_works);
        patch_route(&bound, json!({"mode": "pass"})).await;
        new_echo(bound.routes["r"]).await.unwrap();
    });
}

/// If the delay were not applied, latency between zones would be too low.
#[test]
fn delay_holds_traffic() {
    run(async {
        let bound = start("tcp", echo_server().await);
        patch_route(&bound, json!({"delay_ms": FOREVER_MS})).await;
        let held = Box::pin(new_echo(bound.routes["r"]));
        let _held = assert_held_while(held, new_echo(bound.routes["reference"])).await;
        assert_eq!(counter(&bound, "bytes_to_target").await, 0);
    });
}

/// If replies were not routed back, every membership probe would fail.
#[test]
fn datagrams_and_replies_are_forwarded() {
    run(async {
        let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let bound = start("udp", server.local_addr().unwrap());
        let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        client.send_to("ping", bound.routes["r"]).await.0.unwrap();
        let BufResult(received, bytes) = server.recv_from(Vec::with_capacity(64)).await;
        assert_eq!(bytes, b"ping");
        server.send_to("pong", received.unwrap().1).await.0.unwrap();
        let BufResult(received, bytes) = client.recv_from(Vec::with_capacity(64)).await;
        assert_eq!(bytes, b"pong");
        assert_eq!(received.unwrap().1, bound.routes["r"]);
        assert_eq!(counter(&bound, "datagrams").await, 2);
    });
}

/// Faults must also apply to datagrams, or membership is never tested under faults.
#[test_case(json!({"loss": 1.0}); "all lost")]
#[test_case(json!({"mode": "cut"}); "cut")]
#[test_case(json!({"mode": "blackhole"}); "blackhole")]
fn datagrams_are_dropped(patch: Value) {
    run(async {
        let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let bound = start("udp", server.local_addr().unwrap());
        let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        patch_route(&bound, patch).await;
        client.send_to("lost", bound.routes["r"]).await.0.unwrap();
        while counter(&bound, "datagrams_dropped").await == 0 {}
        patch_route(&bound, json!({"mode": "pass", "loss": 0.0})).await;
        client.send_to("passed", bound.routes["r"]).await.0.unwrap();
        let BufResult(_, bytes) = server.recv_from(Vec::with_capacity(64)).await;
        assert_eq!(bytes, b"passed");
    });
}

/// Loss that differs between runs makes a failed test hard to reproduce.
#[test]
fn datagram_loss_is_reproducible() {
    let losses = || {
        run(async {
            let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let bound = start("udp", server.local_addr().unwrap());
            let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            patch_route(&bound, json!({"loss": 0.5})).await;
            let mut dropped = Vec::new();
            for n in 1..=20 {
                client.send_to("x", bound.routes["r"]).await.0.unwrap();
                while counter(&bound, "datagrams").await
                    + counter(&bound, "datagrams_dropped").await
                    < n
                {}
                dropped.push(counter(&bound, "datagrams_dropped").await);
            }
            dropped
        })
    };
    assert_eq!(losses(), losses());
}

/// Scenarios that add a daemon need a route to it.
#[test]
fn route_can_be_added() {
    run(async {
        let target = echo_server().await;
        let bound = start("tcp", target);
        let spec = json!({"id": "added", "target": target});
        let (status, routes) = post(bound.control, "/routes", &spec).await.unwrap();
        assert_eq!(status, 200);
        let address = routes["added"]["address"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        new_echo(address).await.unwrap();
        assert_eq!(post(bound.control, "/routes", &spec).await.unwrap().0, 409);
    });
}
