//! Configuration service and instance list that fail as they are told.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
};

use serde_json::{Value, json};

use super::http::{Request, Then, bytes, serve};

/// How the configuration service fails. The instance list keeps working, since
/// a daemon that knows no peer could not learn of any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Closes connections.
    Down,
    /// Takes requests and closes their connections when the fault ends.
    Hanging,
    /// Answers 429.
    Limited,
    /// Answers 500.
    Failing,
    /// Lists a new revision and serves files of the old one.
    Torn,
    /// Lists a file above the limit of the service.
    TooLarge,
    /// Sends a tree that is not JSON.
    Malformed,
    /// Sends more than any response has.
    Endless,
    /// Lists a revision lower than the newest.
    Older,
    /// Answers every watch with the same revision at once.
    Stale,
}

#[derive(Default)]
struct State {
    revision: u64,
    files: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, Value>,
    fault: Option<Fault>,
    /// Calls that met the fault.
    faulty_calls: u64,
}

/// The platform.
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
            |_| Then::Keep,
            move |request, stream| served.handle(request, stream),
        );
        platform
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let value = f(&mut self.state.0.lock().expect("no panic in a fake"));
        self.state.1.notify_all();
        value
    }

    /// Publishes one more file as a revision; returns its number.
    pub fn publish(&self, name: &str, content: &str) -> u64 {
        self.with(|state| {
            state.files.insert(name.to_owned(), content.into());
            state.revision += 1;
            state.revision
        })
    }

    /// Starts or ends a fault.
    pub fn fail(&self, fault: Option<Fault>) {
        self.with(|state| {
            state.fault = fault;
            state.faulty_calls = 0;
        });
    }

    /// Calls of the configuration service that met the present fault.
    pub fn faulty_calls(&self) -> u64 {
        self.with(|state| state.faulty_calls)
    }

    /// Lists an instance.
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

    /// Waits until a watch has something to say.
    fn watch(&self, after: u64) {
        let (lock, changed) = &*self.state;
        let state = lock.lock().expect("no panic in a fake");
        // The caller closes the connection when the watch is over.
        let limit = std::time::Duration::from_secs(5);
        let nothing_new = |state: &mut State| state.revision <= after && state.fault.is_none();
        let _ = changed.wait_timeout_while(state, limit, nothing_new);
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Then> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path == "/v1/instances" {
            let list = self
                .with(|state| json!({"instances": state.instances.values().collect::<Vec<_>>()}));
            stream.write_all(&bytes(200, &[], list.to_string().as_bytes()))?;
            return Ok(Then::Keep);
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
            Some(name) => state.files.get(name).map(|file| bytes(200, &[], file)),
            None if path == "/v1/watch" && state.revision <= after => Some(bytes(204, &[], b"")),
            None => Some(bytes(200, &[], Self::tree(state).to_string().as_bytes())),
        });
        stream.write_all(&answer.unwrap_or_else(|| bytes(404, &[], b"{}")))?;
        Ok(Then::Keep)
    }

    fn fault(&self, fault: Fault, path: &str, stream: &mut TcpStream) -> io::Result<Then> {
        let mut tree = self.with(|state| Self::tree(state));
        let revision = tree["revision"].as_u64().unwrap_or_default();
        match fault {
            Fault::Down => return Ok(Then::Close),
            Fault::Hanging => {
                let (lock, changed) = &*self.state;
                let state = lock.lock().expect("no panic in a fake");
                let hangs = |state: &mut State| state.fault == Some(Fault::Hanging);
                drop(changed.wait_while(state, hangs));
                return Ok(Then::Close);
            }
            Fault::Limited => stream.write_all(&bytes(429, &[], b"{}"))?,
            Fault::Failing => stream.write_all(&bytes(500, &[], b"{}"))?,
            Fault::Malformed => stream.write_all(&bytes(200, &[], b"{\"revision\": "))?,
            Fault::Endless => stream.write_all(&bytes(200, &[], &vec![b' '; 9 << 20]))?,
            Fault::Torn if path.starts_with("/v1/files/") => {
                stream.write_all(&bytes(200, &[], b"{}"))?;
            }
            Fault::Torn => {
                tree["revision"] = (revision + 1).into();
                tree["files"][0]["digest"] = digest(b"a newer content").into();
                stream.write_all(&bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::TooLarge => {
                tree["revision"] = (revision + 1).into();
                tree["files"][0]["size"] = (2 << 20).into();
                stream.write_all(&bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::Older => {
                tree["revision"] = (revision - 1).into();
                stream.write_all(&bytes(200, &[], tree.to_string().as_bytes()))?;
            }
            Fault::Stale => stream.write_all(&bytes(200, &[], tree.to_string().as_bytes()))?,
        }
        Ok(Then::Keep)
    }
}
