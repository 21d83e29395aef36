//! A fake backend server with configurable behaviour.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
};

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::http::{ConnectionAction, Request, response_bytes, serve};

/// How the server responds to searches and executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Runs the request and responds.
    Answer,
    /// Runs the request and responds that it is draining.
    AnswerDraining,
    /// Closes connections as soon as they are accepted.
    CloseBeforeRequest,
    /// Closes the connection after some bytes of a request.
    CloseWithinRequest,
    /// Closes the connection after a request without running it.
    CloseAfterRequest,
    /// Runs the request and closes the connection.
    CloseBeforeResponse,
    /// Runs the request, sends an incomplete response and closes the connection.
    CloseWithinResponse,
    /// Responds with this status and `x-not-run`, without running the request.
    NotRun(u16),
    /// Runs the request and responds with this status.
    Status(u16),
    /// Runs the request and sends bytes that are not HTTP.
    Garbage,
    /// Runs the request and sends a body that is not valid JSON.
    NotJson,
    /// Runs the request and responds with the id of another request.
    OtherRequest,
    /// Runs the request and sends a response above the size limit.
    TooLarge,
    /// Runs the request and never responds.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    reaction: Option<Reaction>,
    /// Requests of any kind, including health calls.
    requests: u64,
    searches: u64,
    /// Executions per request key.
    executions: HashMap<String, u64>,
    /// Searches for "hold" wait while this is set.
    holding: bool,
    held: u64,
}

/// A fake backend server that holds every shard in every version.
#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Backend {
    /// Starts a server.
    pub fn start(reaction: Reaction) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let state = State {
            reaction: Some(reaction),
            ..State::default()
        };
        let backend = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let (on_accept, on_request) = (backend.clone(), backend.clone());
        serve(
            listener,
            move |stream| on_accept.accepted(stream),
            move |request, stream| on_request.handle(request, stream),
        );
        backend
    }

    /// An address that refuses connections.
    pub fn refusing_address() -> SocketAddr {
        // Bound and not listening, so that no other test gets the port.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        let address = socket.local_addr().expect("a bound socket");
        std::mem::forget(socket);
        address.as_socket().expect("an IP address")
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let value = f(&mut self.state.0.lock().expect("no panic in a fake"));
        self.state.1.notify_all();
        value
    }

    /// Changes the reaction.
    pub fn set(&self, reaction: Reaction) {
        self.with(|state| state.reaction = Some(reaction));
    }

    /// Sets whether searches for "hold" wait.
    pub fn hold(&self, holding: bool) {
        self.with(|state| state.holding = holding);
    }

    /// Number of waiting searches.
    pub fn held(&self) -> u64 {
        self.with(|state| state.held)
    }

    /// Number of requests received, including health calls.
    pub fn requests(&self) -> u64 {
        self.with(|state| state.requests)
    }

    /// Number of searches received.
    pub fn searches(&self) -> u64 {
        self.with(|state| state.searches)
    }

    /// Number of executions of the request with this key.
    pub fn executions(&self, key: &str) -> u64 {
        self.with(|state| state.executions.get(key).copied().unwrap_or_default())
    }

    fn reaction(&self) -> Reaction {
        self.with(|state| state.reaction.unwrap_or(Reaction::Answer))
    }

    fn accepted(&self, stream: &mut TcpStream) -> ConnectionAction {
        match self.reaction() {
            Reaction::CloseBeforeRequest => ConnectionAction::Close,
            Reaction::CloseWithinRequest => {
                let _ = stream.read(&mut [0; 16]);
                ConnectionAction::Close
            }
            _ => ConnectionAction::Keep,
        }
    }

    fn wait_while_held(&self) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("no panic in a fake");
        state.held += 1;
        let mut state = changed
            .wait_while(state, |state| state.holding)
            .expect("no panic in a fake");
        state.held -= 1;
    }

    /// Runs a request and returns its result.
    fn run(&self, request: &Request) -> Value {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        if request.path == "/execute" {
            let key = header("x-request-key");
            self.with(|state| *state.executions.entry(key.clone()).or_default() += 1);
            return json!({"result": {"ran": key}});
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let query = body["query"].as_str().unwrap_or_default();
        if query.starts_with("hold") {
            self.wait_while_held();
        }
        let shard = header("x-shard");
        let version: u64 = header("x-version").parse().unwrap_or_default();
        let hits = [json!({"id": format!("{shard}/{query}"), "score": 1.0})];
        json!({"version": version, "shard": shard, "count": 1, "hits": hits})
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
        self.with(|state| state.requests += 1);
        match request.path.as_str() {
            "/health" => {
                let draining = self.reaction() == Reaction::AnswerDraining;
                let state = if draining { "draining" } else { "ready" };
                let body = json!({ "state": state }).to_string();
                stream.write_all(&self.response(request, 200, &[], body.as_bytes()))?;
                return Ok(ConnectionAction::Keep);
            }
            "/cancel" => {
                stream.write_all(&self.response(request, 200, &[], b"{}"))?;
                return Ok(ConnectionAction::Keep);
            }
            "/search" => self.with(|state| state.searches += 1),
            _ => {}
        }
        self.react(self.reaction(), request, stream)
    }

    fn react(
        &self,
        reaction: Reaction,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let ok = |headers: &[(&str, &str)]| {
            let body = self.run(request).to_string();
            self.response(request, 200, headers, body.as_bytes())
        };
        match reaction {
            Reaction::Answer => stream.write_all(&ok(&[]))?,
            Reaction::AnswerDraining => stream.write_all(&ok(&[("x-draining", "1")]))?,
            Reaction::CloseBeforeRequest
            | Reaction::CloseWithinRequest
            | Reaction::CloseAfterRequest => return Ok(ConnectionAction::Close),
            Reaction::CloseBeforeResponse => {
                self.run(request);
                return Ok(ConnectionAction::Close);
            }
            Reaction::CloseWithinResponse => {
                let whole = ok(&[]);
                stream.write_all(&whole[..whole.len() - 8])?;
                return Ok(ConnectionAction::Close);
            }
            Reaction::NotRun(status) => {
                let headers = [("x-not-run", "1"), ("x-versions", "41,42")];
                stream.write_all(&self.response(request, status, &headers, b"{}"))?;
            }
            Reaction::Status(status) => {
                self.run(request);
                stream.write_all(&self.response(request, status, &[], b"{}"))?;
            }
            Reaction::Garbage => {
                self.run(request);
                stream.write_all(b"\x00\xff not HTTP at all\r\n\r\n")?;
            }
            Reaction::NotJson => {
                self.run(request);
                stream.write_all(&self.response(request, 200, &[], b"{\"version\": 1, "))?;
            }
            Reaction::OtherRequest => {
                let body = self.run(request).to_string();
                let headers = [("x-request-id", "someone-else/1")];
                stream.write_all(&response_bytes(200, &headers, body.as_bytes()))?;
            }
            Reaction::TooLarge => {
                self.run(request);
                let body = vec![b' '; 64 << 10];
                stream.write_all(&self.response(request, 200, &[], &body))?;
            }
            Reaction::Silent => {
                self.run(request);
                // Until the daemon closes the connection.
                let _ = stream.read(&mut [0]);
                return Ok(ConnectionAction::Close);
            }
        }
        Ok(ConnectionAction::Keep)
    }

    fn response(
        &self,
        request: &Request,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let id = request.headers.get("x-request-id").cloned();
        let id = id.unwrap_or_default();
        let mut all = vec![("x-request-id", id.as_str())];
        all.extend_from_slice(headers);
        response_bytes(status, &all, body)
    }
}
