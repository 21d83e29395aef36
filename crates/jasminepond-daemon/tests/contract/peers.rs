//! Contract tests of the protocol between daemons (section 4.5 of the design page).

use std::net::{TcpStream, UdpSocket};

use jasminepond_types::{Incarnation, Millis};
use jasminepond_wire::{
    Frame, Handshake, HandshakeStep, KeyRing, LocalPeer, MAJOR, MAX_PARTS, Part, Role, Search,
    decode, encode, sign_datagram,
};
use serde_json::{Value, json};
use test_case::test_case;
use tokio_tungstenite::tungstenite::{Message, WebSocket, client};

use crate::support::{
    Backend, KEY, Platform, Reaction, TIMEOUT, TestDaemon, folder, post, wait_for,
};

struct Fixture {
    daemon: TestDaemon,
    backend: Backend,
    platform: Platform,
}

fn start() -> Fixture {
    let backend = Backend::start(Reaction::Answer);
    let platform = Platform::start(&folder(&[vec![backend.address]]));
    let daemon = TestDaemon::start("entry-1", platform.address);
    Fixture {
        daemon,
        backend,
        platform,
    }
}

impl Fixture {
    /// Instances with an established link to the daemon.
    fn links(&self) -> Vec<String> {
        let links = self.daemon.status()["links"].clone();
        serde_json::from_value(links).expect("a list of instances")
    }

    /// Asserts that the daemon still serves callers.
    fn assert_serves(&self) {
        let body = json!({"tenant": "t1", "class": "c1", "group": "find", "query": "q"});
        let response = post(self.daemon.bound.callers, "/v1/search", &body);
        assert_eq!(response.body["coverage"]["answered"], 1, "{response:?}");
    }
}

fn ring(key: &str) -> KeyRing {
    // Derives the shared key from the configured text as the daemon's settings do.
    let key: jasminepond_config::PeerKey = key.parse().expect("a valid key");
    let hex: String = key
        .mac_key()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    KeyRing::new([hex.parse().expect("a long key")]).expect("one key")
}

/// A peer that speaks the protocol only as far as a test needs.
struct Peer {
    socket: WebSocket<TcpStream>,
}

impl Peer {
    fn connect(daemon: &TestDaemon) -> Self {
        let address = daemon.bound.peers;
        let stream = TcpStream::connect(address).expect("the daemon accepts links");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a valid limit");
        let (socket, _) = client(format!("ws://{address}/peer"), stream).expect("an upgrade");
        Self { socket }
    }

    fn send(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes).expect("a valid frame");
        self.send_bytes(bytes);
    }

    fn send_bytes(&mut self, bytes: Vec<u8>) {
        // The daemon may already have closed the link; the next read detects this.
        let _ = self.socket.send(Message::binary(bytes));
    }

    /// The next frame; `None` once the link is closed.
    fn receive(&mut self) -> Option<Frame> {
        loop {
            match self.socket.read() {
                Ok(Message::Binary(bytes)) => return Some(decode(&bytes).expect("a valid frame")),
                Ok(Message::Close(_)) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    fn wait_until_closed(&mut self) {
        while self.receive().is_some() {}
    }

    /// Authenticates as `name`; returns whether the daemon accepted it.
    fn authenticate(&mut self, name: &str, key: &str, major: u16) -> bool {
        let local = LocalPeer {
            role: Role::Dialer,
            instance: name.parse().expect("a valid id"),
            incarnation: Incarnation(1),
            nonce: [7; 16],
            expect: None,
        };
        let (mut handshake, hello) = Handshake::new(ring(key), local);
        self.send(&Frame::Hello(jasminepond_wire::Hello { major, ..hello }));
        while let Some(frame) = self.receive() {
            match handshake.receive(frame) {
                HandshakeStep::SendProof(proof) => self.send(&Frame::Proof(proof)),
                // The first frame of each side after its proof grants credit.
                HandshakeStep::Established(_) => {
                    self.send(&Frame::Credit { n: 1 });
                    return matches!(self.receive(), Some(Frame::Credit { .. }));
                }
                HandshakeStep::Reject(_) => {
                    self.wait_until_closed();
                    return false;
                }
            }
        }
        false
    }

    fn authenticated(daemon: &TestDaemon, name: &str) -> Self {
        let mut peer = Self::connect(daemon);
        assert!(peer.authenticate(name, KEY, MAJOR));
        peer
    }

    /// Asserts that the daemon answers a ping on the link.
    fn assert_open(&mut self) {
        self.send(&Frame::Ping { n: 4242 });
        while let Some(frame) = self.receive() {
            if frame == (Frame::Pong { n: 4242 }) {
                return;
            }
        }
        panic!("the link was closed");
    }
}

fn search(id: u64, parts: usize) -> Frame {
    let part = |number: usize| Part {
        part: number as u32,
        service: "shard-1".parse().expect("a valid id"),
        server: "server-1-a".parse().expect("a valid id"),
    };
    Frame::Search(Search {
        id,
        tenant: "t1".parse().expect("a valid id"),
        class: "c1".parse().expect("a valid id"),
        priority: 0,
        weight: Default::default(),
        group: "find".parse().expect("a valid id"),
        version: jasminepond_types::Version(1),
        query: "hold".into(),
        limit: 1,
        left: Millis(20_000),
        parts: (0..parts).map(part).collect(),
    })
}

/// Guards against links with unauthenticated processes or incompatible versions.
#[test_case("ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100", MAJOR; "wrong key")]
#[test_case(KEY, MAJOR + 1; "newer major version")]
#[test_case(KEY, MAJOR - 1; "older major version")]
fn an_unauthenticated_or_incompatible_peer_is_rejected(key: &str, major: u16) {
    let fixture = start();
    let mut peer = Peer::connect(&fixture.daemon);
    assert!(!peer.authenticate("entry-9", key, major));
    assert!(fixture.links().is_empty());
    fixture.assert_serves();
}

/// Guards against requests from a peer that has not authenticated.
#[test]
fn a_request_before_the_handshake_closes_the_link() {
    let fixture = start();
    let mut peer = Peer::connect(&fixture.daemon);
    peer.send(&search(1, 1));
    peer.wait_until_closed();
    assert_eq!(fixture.backend.searches(), 0);
    fixture.assert_serves();
}

fn frame_bytes(kind: u64, rest: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x82, 0x19];
    bytes.extend_from_slice(&(kind as u16).to_be_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

/// Guards against broken rolling upgrades, in which newer daemons send frame kinds that
/// older ones do not know.
#[test]
fn an_unknown_frame_kind_is_ignored() {
    let fixture = start();
    let mut peer = Peer::authenticated(&fixture.daemon, "entry-9");
    peer.send_bytes(frame_bytes(60_000, &[0xf6]));
    peer.assert_open();
    fixture.assert_serves();
}

/// Guards against a link that stays open after a malformed frame, and against effects
/// on other links.
#[test_case(&[0x82]; "truncated array")]
#[test_case(&[0xff, 0xff, 0xff]; "not CBOR")]
#[test_case(&[]; "empty")]
#[test_case(&[0xf6]; "not an array")]
fn a_malformed_frame_closes_only_its_link(bytes: &[u8]) {
    let fixture = start();
    let mut good = Peer::authenticated(&fixture.daemon, "entry-8");
    let mut bad = Peer::authenticated(&fixture.daemon, "entry-9");
    bad.send_bytes(bytes.to_vec());
    bad.wait_until_closed();
    good.assert_open();
    assert_eq!(fixture.links(), ["entry-8"]);
    fixture.assert_serves();
}

/// Guards against a peer that exceeds its credit and fills the queues.
#[test]
fn sub_requests_beyond_the_credit_close_the_link() {
    let fixture = start();
    fixture.backend.hold(true);
    let mut good = Peer::authenticated(&fixture.daemon, "entry-8");
    let mut bad = Peer::authenticated(&fixture.daemon, "entry-9");
    for id in 0..4 {
        bad.send(&search(id, MAX_PARTS));
    }
    bad.wait_until_closed();
    fixture.backend.hold(false);
    good.assert_open();
    fixture.assert_serves();
}

/// Guards against requests that wait for an unresponsive peer.
#[test]
fn the_link_to_an_unresponsive_peer_is_closed() {
    let fixture = start();
    let _silent = Peer::authenticated(&fixture.daemon, "entry-9");
    wait_for("the link to be up", || {
        (fixture.links() == ["entry-9"]).then_some(())
    });
    // The peer reads nothing and answers no pings.
    wait_for("the link to be closed", || {
        fixture.links().is_empty().then_some(())
    });
    fixture.assert_serves();
}

/// Guards against members that are injected with forged datagrams.
#[test]
fn forged_datagrams_are_ignored() {
    let fixture = start();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let to = fixture.daemon.bound.membership;
    let wrong = ring("ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100");
    let mut changed = sign_datagram(&ring(KEY), b"\x81\x00").expect("it fits");
    if let Some(last) = changed.last_mut() {
        *last ^= 1;
    }
    let forged: [Vec<u8>; 6] = [
        Vec::new(),
        vec![0; 1_200],
        vec![0xff; 65_000],
        sign_datagram(&wrong, b"\x81\x00").expect("it fits"),
        sign_datagram(&ring(KEY), b"no message").expect("it fits"),
        changed,
    ];
    for datagram in &forged {
        socket.send_to(datagram, to).expect("sent");
    }
    // Datagrams are read in order: once another daemon has joined, the forged ones have
    // been read.
    fixture.platform.list("entry-1", "daemon", to, "live");
    let second = TestDaemon::start("entry-2", fixture.platform.address);
    let members = |daemon: &TestDaemon| -> Vec<String> {
        let status = daemon.status();
        let members = status["config"]["members"].as_array().cloned();
        let name = |member: &Value| member["instance"].as_str().unwrap_or_default().to_owned();
        members.unwrap_or_default().iter().map(name).collect()
    };
    for daemon in [&fixture.daemon, &second] {
        wait_for("both to know each other", || {
            (members(daemon) == ["entry-1", "entry-2"]).then_some(())
        });
    }
    fixture.assert_serves();
}
