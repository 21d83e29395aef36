//! Stand-in for the platform's store: items, a revision, and watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::net::{base64, read_message, respond, spawn};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String, Vec<u8>)>,
}

/// The store. Each daemon has an address of its own, so that single ones can be turned away.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// One address of the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    turns_away: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
    /// Addresses of servers, and those by which a daemon reaches them from its place.
    paths: Arc<Vec<(SocketAddr, SocketAddr)>>,
    store: Store,
}

impl Door {
    /// Answers every call with 503 from now on, also those that wait, or none any more.
    pub fn turn_away(&self, turns_away: bool) {
        self.turns_away.store(turns_away, Ordering::Relaxed);
        self.store.0.1.notify_all();
    }

    /// Ends all connections and refuses new ones.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.store.0.1.notify_all();
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }
}

impl Store {
    pub fn open_door(&self) -> Door {
        self.open_door_with(Vec::new())
    }

    /// Opens an address for a daemon that reaches servers over links of its own.
    pub fn open_door_with(&self, paths: Vec<(SocketAddr, SocketAddr)>) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let door = Door {
            address: listener.local_addr().unwrap(),
            turns_away: Arc::default(),
            closed: Arc::default(),
            paths: Arc::new(paths),
            store: self.clone(),
        };
        let serving = door.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.closed.load(Ordering::Relaxed) {
                    return;
                }
                let door = serving.clone();
                spawn(move || door.serve(stream));
            }
        });
        door
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.as_bytes().to_vec();
        state
            .items
            .insert(key.to_owned(), (revision, value.clone()));
        state.history.push((revision, key.to_owned(), value));
        self.0.1.notify_all();
    }
}

fn item(key: &str, revision: u64, value: &[u8], paths: &[(SocketAddr, SocketAddr)]) -> String {
    let mut text = String::from_utf8_lossy(value).into_owned();
    for (address, path) in paths {
        text = text.replace(&format!("\"{address}\""), &format!("\"{path}\""));
    }
    let value = base64(text.as_bytes());
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#
    )
}

impl Door {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.call(request.path());
            if self.closed.load(Ordering::Relaxed) {
                return;
            }
            let kind = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if !respond(&mut out, status, kind, body.as_bytes()) {
                return;
            }
        }
    }

    fn call(&self, path: &str) -> (u16, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(other, _)| *other == name);
            value.map_or("", |(_, value)| value)
        };
        if self.turns_away.load(Ordering::Relaxed) {
            return (503, "{}".to_owned());
        }
        match call {
            "/v1/kv-range" => self.range(param("Prefix"), param("after")),
            "/v1/kv-watch" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = param("WaitMs").parse().unwrap_or(0);
                self.watch(after, Duration::from_millis(wait))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.store.0.0.lock().unwrap();
        let inside = |key: &str| key.starts_with(prefix) && key > after;
        let mut items = state.items.iter().filter(|(key, _)| inside(key));
        let page: Vec<_> = items.by_ref().take(500).collect();
        let has_more = items.next().is_some();
        let page = page
            .iter()
            .map(|(key, (r, value))| item(key, *r, value, &self.paths));
        let page: Vec<_> = page.collect();
        let revision = state.revision;
        let items = page.join(",");
        let body =
            format!(r#"{{"items":[{items}],"HasMore":{has_more},"StoreRevision":{revision}}}"#);
        (200, body)
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let (lock, changed) = &*self.store.0;
        let mut state = lock.lock().unwrap();
        loop {
            if self.turns_away.load(Ordering::Relaxed) || self.closed.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            let newer = state.history.iter().filter(|(r, _, _)| *r > after);
            let events: Vec<_> = newer
                .map(|(r, key, value)| item(key, *r, value, &self.paths))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                let body = format!(r#"{{"events":[{events}],"StoreRevision":{revision}}}"#);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
