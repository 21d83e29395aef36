//! A fake configuration service and instance list with configurable faults.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
};

use serde_json::{Value, json};

use super::http::{ConnectionAction, Request, response_bytes, serve};

/// Fault of the configuration service. The instance list keeps working, because a
/// daemon without known peers could not find any otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Closes connections.
    Down,
    /// Accepts requests, but closes their connections only when the fault ends.
    Hanging,
    /// Responds with status 429.
    Limited,
    /// Responds with status 500.
    Failing,
    /// Lists a new revision, but serves other file contents than listed.
    Torn,
    /// Lists a file above the size limit.
    TooLarge,
    /// Sends a tree that is not valid JSON.
    Malformed,
    /// Sends a response above the size limit.
    Endless,
    /// Lists a lower revision than before.
    Older,
    /// Answers every watch immediately with the same revision.
    Stale,
}

#[derive(Default)]
struct State {
    revision: u64,
    files: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, Value>,
    fault: Option<Fault>,
    /// Number of calls that met the current fault.
    faulty_calls: u64,
}

/// The fake platform.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

impl Platform {
    /// Starts the platform with one file as revision 10.
    pub fn start(folder: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let state = State {
            revision: 10,
            files: BTreeMap::from([("10-all.json".to_owned(), folder.to_string().into_bytes())]),
            ..State::default()
        };
        let platform = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = platform.clone();
        serve(
            listener,
            |_| ConnectionAction::Keep,
            move |request, stream| served.handle(request, stream),
        );
        platform
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let value = f(&mut self.state.0.lock().expect("no panic in a fake"));
        self.state.1.notify_all();
        value
    }

    /// Publishes a file in a new revision and returns the revision number.
    pub fn publish(&self, name: &str, content: &str) -> u64 {
        self.with(|state| {
            state.files.insert(name.to_owned(), content.into());
            state.revision += 1;
            state.revision
        })
    }

    /// Sets or clears the fault.
    pub fn fail(&self, fault: Option<Fault>) {
        self.with(|state| {
            state.fault = fault;
            state.faulty_calls = 0;
        });
    }

    /// Number of calls to the configuration service that met the current fault.
    pub fn faulty_calls(&self) -> u64 {
        self.with(|state| state.faulty_calls)
    }

    /// Adds an instance to the list, or replaces it.
    pub fn list(&self, id: &str, role: &str, address: SocketAddr, state: &str) {
        let entry = json!({
            "id": id, "role": role, "zone": "z1", "address": address, "state": state,
        });
        self.with(|state| state.instances.insert(id.to_owned(), entry));
    }

    fn tree(state: &State) -> Value {
        let file = |(name, bytes): (&String, &Vec<u8>)| json!({"name": name, "digest": digest(bytes), "size": bytes.len()});
        let files: Vec<Value> = state.files.iter().map(file).collect();
        json!({"revision": state.revision, "files": files})
    }

    /// Waits until the revision is newer than `after`, a fault is set or 5 s have passed.
    fn watch(&self, after: u64) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().expect("no panic in a fake");
        // Bounds the wait of this thread; the client ends a watch by closing the connection.
        let limit = std::time::Duration::from_secs(5);
        let nothing_new = |state: &mut State| state.revision <= after && state.fault.is_none();
        let _ = changed.wait_timeout_while(state, limit, nothing_new);
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path == "/v1/instances" {
            let list = self
                .with(|state| json!({"instances": state.instances.values().collect::<Vec<_>>()}));
            stream.write_all(&response_bytes(200, &[], list.to_string().as_bytes()))?;
            return Ok(ConnectionAction::Keep);
        }
        let after = query.split('&').find_map(|p| p.strip_prefix("after="));
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        if path == "/v1/watch" {
            self.watch(after);
        }
        let fault = self.with(|state| {
            state.faulty_calls += u64::from(state.fault.is_some());
            state.fault
        });
        if let Some(fault) = fault {
            return self.fault(fault, path, stream);
        }
        let answer = self.with(|state| match path.strip_prefix("/v1/files/") {
            Some(name) => state
                .files
                .get(name)
                .map(|file| response_bytes(200, &[], file)),
            None if path == "/v1/watch" && state.revision <= after => {
                Some(response_bytes(204, &[], b""))
            }
            None => Some(response_bytes(
                200,
                &[],
                Self::tree(state).to_string().as_bytes(),
            )),
        });
        stream.write_all(&answer.unwrap_or_else(|| response_bytes(404, &[], b"{}")))?;
        Ok(ConnectionAction::Keep)
    }

    fn fault(
        &self,
        fault: Fault,
        path: &str,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let mut tree = self.with(|state| Self::tree(state));
        let revision = tree["revision"].as_u64().unwrap_or_default();
        match fault {
            Fault::Down => return Ok(ConnectionAction::Close),
            Fault::Hanging => {
                let (lock, changed) = &*self.state;
                let state = lock.lock().expect("no panic in a fake");
                let hangs = |state: &mut State| state.fault == Some(Fault::Hanging);
                drop(changed.wait_while(state, hangs));
                return Ok(ConnectionAction::Close);
            }
            Fault::Limited => stream.write_all(&response_bytes(429, &[], b"{}"))?,
            Fault::Failing => stream.write_all(&response_bytes(500, &[], b"{}"))?,
            Fault::Malformed => stream.write_all(&response_bytes(200, &[], b"{\"revision\": "))?,
            Fault::Endless => stream.write_all(&response_bytes(200, &[], &vec![b' '; 9 << 20]))?,
            Fault::Torn if path.starts_with("/v1/files/") => {
                stream.write_all(&response_bytes(200, &[], b"{}"))?;
            }
            Fault::Torn => {
                tree["revision"] = (revision + 1).into();
                tree["files"][0]["digest"] = digest(b"a newer content").into();
                stream.write_all(&response_bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::TooLarge => {
                tree["revision"] = (revision + 1).into();
                tree["files"][0]["size"] = (2 << 20).into();
                stream.write_all(&response_bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::Older => {
                tree["revision"] = (revision - 1).into();
                stream.write_all(&response_bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::Stale => {
                stream.write_all(&response_bytes(200, &[], tree.to_string().as_bytes()))?
            }
        }
        Ok(ConnectionAction::Keep)
    }
}
