//! Stand-ins for the platform's store, backends, clients and the platform's process control.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.at(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes a line to the record and to the output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.at(), text.as_ref());
        self.line(text);
    }

    pub fn save(&self, folder: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = fs::write(format!("{folder}/record.txt"), text);
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for n in 0..4 {
            let symbol = BASE64[(bits >> (18 - 6 * n)) as usize & 63] as char;
            text.push(if n <= chunk.len() { symbol } else { '=' });
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A request or response head: first line, and headers by lower-case name.
pub struct Head {
    pub line: String,
    pub headers: BTreeMap<String, String>,
}

/// Reads a head. Returns `None` if the connection has ended.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let line = line.trim_end().to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut text = String::new();
        reader.read_line(&mut text).ok().filter(|len| *len > 0)?;
        let text = text.trim_end();
        if text.is_empty() {
            return Some(Head { line, headers });
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, head: &Head) -> Option<Vec<u8>> {
    let length = head.headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn write_response(out: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    out.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

// ---------------------------------------------------------------------------------------
// The platform's store

struct Change {
    made: Instant,
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Clone)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Value>,
    history: Vec<Change>,
    /// Changes up to this one are forgotten.
    forgotten: u64,
    era: u64,
    copy: Option<(u64, BTreeMap<String, Value>)>,
    away: bool,
    page: usize,
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(page: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = StoreState {
            revision: 100,
            forgotten: 100,
            era: 1,
            page,
            ..StoreState::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream, &Flag::default()));
            }
        });
        store
    }

    /// Another address of the store, for a single machine. While the flag is set, the store
    /// turns that machine away with 503 and serves all others.
    pub fn door(&self) -> (Self, Flag) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, flag) = (listener.local_addr().unwrap(), Flag::default());
        let store = Self {
            address,
            state: self.state.clone(),
        };
        let (served, closed) = (store.clone(), flag.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, closed) = (served.clone(), closed.clone());
                thread::spawn(move || store.serve(stream, &closed));
            }
        });
        (store, flag)
    }

    /// Forgets the changes that are older than `HistoryS`.
    pub fn forget_older(&self, age: Duration) {
        let mut state = self.state.0.lock().unwrap();
        let keep = state
            .history
            .partition_point(|change| change.made.elapsed() > age);
        if let Some(last) = keep.checked_sub(1) {
            state.forgotten = state.history[last].revision;
            state.history.drain(..keep);
        }
    }

    /// Writes a value, or removes it. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(String::into_bytes);
        match &value {
            Some(bytes) => {
                let created = state.items.get(key).map_or(revision, |item| item.created);
                let bytes = bytes.clone();
                let item = Value {
                    bytes,
                    revision,
                    created,
                };
                state.items.insert(key.to_owned(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        let key = key.to_owned();
        state.history.push(Change {
            made: Instant::now(),
            revision,
            key,
            value,
        });
        self.state.1.notify_all();
        revision
    }

    /// Forgets the history up to now. Watches that wait are cut.
    pub fn forget_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.forgotten = state.revision;
        state.history.clear();
        self.state.1.notify_all();
    }

    /// Keeps a copy, to which [`Store::come_back`] returns.
    pub fn keep_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = Some((state.revision, state.items.clone()));
    }

    pub fn go_away(&self) {
        self.state.0.lock().unwrap().away = true;
        self.state.1.notify_all();
    }

    /// Comes back from the copy, in the next era.
    pub fn come_back(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some((revision, items)) = state.copy.clone() {
            state.revision = revision;
            state.items = items;
            state.history.clear();
            state.forgotten = revision;
            state.era += 1;
        }
        state.away = false;
    }

    fn serve(&self, stream: TcpStream, closed: &Flag) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            if closed.load(Ordering::Relaxed) {
                if !write_response(&mut out, 503, "", b"") {
                    return;
                }
                continue;
            }
            let Some(target) = head.line.split(' ').nth(1) else {
                return;
            };
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect();
            let Some((status, body, era)) = self.call(path, &query) else {
                return;
            };
            if closed.load(Ordering::Relaxed) {
                // A watch that was waiting is cut.
                return;
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !write_response(&mut out, status, &headers, body.as_bytes()) {
                return;
            }
        }
    }

    fn call(&self, path: &str, query: &BTreeMap<String, String>) -> Option<(u16, String, u64)> {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        if state.away {
            return None;
        }
        let item = |key: &str, value: &Value| {
            format!(
                r#""Key":"{key}","Value":"{}","Revision":{},"Created":{},"Lease":0"#,
                base64(&value.bytes),
                value.revision,
                value.created
            )
        };
        match path {
            "/v1/kv-key" => {
                let key = text("Key");
                let revision = state.revision;
                let answer = state.items.get(&key).map(|value| {
                    let item = item(&key, value);
                    format!(r#"{{{item},"StoreRevision":{revision}}}"#)
                });
                let status = if answer.is_some() { 200 } else { 404 };
                Some((status, answer.unwrap_or_else(|| "{}".into()), state.era))
            }
            "/v1/kv-range" => {
                let (prefix, after) = (text("Prefix"), text("after"));
                let wanted = |key: &&String| key.starts_with(&prefix) && **key > after;
                let all: Vec<&String> = state.items.keys().filter(wanted).collect();
                let page = &all[..all.len().min(state.page)];
                let items = page.iter().map(|key| {
                    let item = item(key, &state.items[*key]);
                    format!("{{{item}}}")
                });
                let items: Vec<_> = items.collect();
                let body = format!(
                    r#"{{"items":[{}],"HasMore":{},"StoreRevision":{}}}"#,
                    items.join(","),
                    all.len() > page.len(),
                    state.revision
                );
                Some((200, body, state.era))
            }
            "/v1/kv-watch" => {
                let (prefix, after) = (text("Prefix"), number("after"));
                let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
                loop {
                    if state.away {
                        return None;
                    }
                    if after < state.forgotten || after > state.revision {
                        return Some((410, "{}".into(), state.era));
                    }
                    let new = state.history.iter();
                    let new = new.filter(|c| c.revision > after && c.key.starts_with(&prefix));
                    let events: Vec<_> = new
                        .map(|change| match &change.value {
                            Some(bytes) => format!(
                                r#"{{"Key":"{}","Value":"{}","Revision":{},"Created":{},"Lease":0}}"#,
                                change.key,
                                base64(bytes),
                                change.revision,
                                change.revision
                            ),
                            None => format!(
                                r#"{{"Key":"{}","Revision":{},"Deleted":true}}"#,
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"StoreRevision":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return Some((200, body, state.era));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".into(), state.era)),
        }
    }
}

// ---------------------------------------------------------------------------------------
// Backends

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub backend: String,
    pub id: String,
    pub path: String,
}

#[derive(Default)]
struct BackendState {
    leaving: bool,
}

/// Stand-in for a backend.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    sequence: Arc<AtomicU64>,
    state: Arc<Mutex<BackendState>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    work: Duration,
    record: Record,
}

impl Backend {
    pub fn start(
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        id: &str,
        service: &str,
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born: unix_millis(),
            sequence: Arc::new(AtomicU64::new(1)),
            state: Arc::default(),
            arrivals: arrivals.clone(),
            work,
            record: record.clone(),
        };
        let served = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                let serve = move || backend.serve(stream);
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        backend
    }

    /// The entry that the backend writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"zone-a","Version":"1","Slots":4,"State":"{state}","WarmupLeftMs":0,"Sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// From now on all answers say that the backend leaves.
    pub fn leave(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::with_capacity(2048, stream);
        while let Some(head) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_none() {
                return;
            }
            let path = head.line.split(' ').nth(1).unwrap_or("").to_owned();
            let header = |name: &str| head.headers.get(name).cloned().unwrap_or_default();
            let id = header("x-request-id");
            let answer = |out: &mut TcpStream, status: u16, more: &str, body: &[u8]| {
                write_response(out, status, &format!("X-Request-Id: {id}\r\n{more}"), body)
            };
            if header("x-expect-instance") != self.id {
                if !answer(&mut out, 421, "X-Not-Executed: 1\r\n", b"") {
                    return;
                }
                continue;
            }
            let leaving = self.state.lock().unwrap().leaving;
            let arrival = Arrival {
                at: self.record.at(),
                backend: self.id.clone(),
                id: id.clone(),
                path,
            };
            self.record.line(format!(
                "runs {} {} at {}{}",
                arrival.id,
                arrival.path,
                arrival.backend,
                if leaving { " (leaving)" } else { "" }
            ));
            self.arrivals.lock().unwrap().push(arrival);
            thread::sleep(self.work);
            let mut more = format!("X-Response-Stamp: {}.{id}\r\n", self.id);
            if leaving {
                more.push_str("Server-Leaving: 1\r\n");
            }
            if !answer(&mut out, 200, &more, b"0123456789abcdef") {
                return;
            }
        }
    }
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------
// Machines of the system

/// Addresses of a machine: its own loopback address with the ports of the deployment.
#[derive(Clone, Copy)]
pub struct Machine {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub peers: SocketAddr,
}

/// Machines with ports that are free on each of them.
pub fn machines(count: usize) -> Vec<Machine> {
    let free = |address: SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    let on = |n: usize, port: u16| SocketAddr::from(([127, 0, 2, n as u8 + 1], port));
    let first = 12_000 + (std::process::id() % 190) as u16 * 100;
    let ports = (first..first + 400).filter(|port| (0..count).all(|n| free(on(n, *port))));
    let ports: Vec<u16> = ports.take(4).collect();
    assert!(ports.len() == 4, "no free ports");
    let machine = |n| Machine {
        front: on(n, ports[0]),
        ready: on(n, ports[1]),
        control: on(n, ports[2]),
        peers: on(n, ports[3]),
    };
    (0..count).map(machine).collect()
}

/// Figures of a site that the template of the settings uses.
#[derive(Clone, Copy)]
pub struct Site {
    pub cores: f64,
    pub drain_ms: u64,
    pub retry_slack: u64,
}

/// Figures of `sites/vulcan-grate-search.toml`.
pub const SMALL: Site = Site {
    cores: 0.25,
    drain_ms: 3_000,
    retry_slack: 54,
};

/// Figures of `grown/vulcan-grate-search-grown.toml`, for its smallest machines.
pub const GROWN: Site = Site {
    cores: 0.12,
    drain_ms: 5_000,
    retry_slack: 158,
};

/// A daemon of the system on its machine.
pub struct Daemon {
    pub machine: Machine,
    pub name: String,
    path: PathBuf,
    child: Child,
}

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Program of the deploy file.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    // target/review/harness -> target/release/jasminepond
    own.parent()
        .unwrap()
        .with_file_name("release")
        .join("jasminepond")
}

/// Starts the program with the command of the deploy file.
fn spawn(settings: &Path) -> Child {
    let log = fs::File::create(settings.with_extension("log")).unwrap();
    let child = Command::new(program())
        .arg("gateway")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn();
    child.expect("the gateway does not start")
}

impl Daemon {
    pub fn start(folder: &Path, n: usize, all: &[Machine], store: &Store, site: Site) -> Self {
        let machine = all[n];
        let name = format!("front-{n:02}");
        let seeds: Vec<_> = all
            .iter()
            .take(3)
            .map(|m| format!("\"{}\"", m.control))
            .collect();
        let settings = format!(
            r#"{{"instance": "{name}", "zone": "zone-a", "region": "region-a", "cores": {},
"callers": "{}", "readiness": "{}", "operators": "{}", "membership": "{}",
"seeds": [{}], "server_drain_ms": {},
"store": {{ "heartbeat_ms": 1200, "address": "{}" }},
"repeats": {{"share": 0.2, "slack": {}, "window_s": 10}} }}"#,
            site.cores,
            machine.front,
            machine.ready,
            machine.control,
            machine.peers,
            seeds.join(","),
            site.drain_ms,
            store.address,
            site.retry_slack
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let child = spawn(&path);
        Self {
            machine,
            name,
            path,
            child,
        }
    }

    /// Kills the process, and starts it again after a short delay.
    pub fn kill_and_restart(&mut self) {
        signal(self.pid(), SIGKILL);
        let _ = self.child.wait();
        thread::sleep(Duration::from_millis(100));
        self.child = spawn(&self.path);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let answer = get(
            self.machine.ready,
            "/v1/ready",
            "h",
            "r",
            1_000,
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Processor time in seconds, as the platform sees it.
    pub fn cpu(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|t| t.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Peak memory in MB, as the platform sees it.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------
// Clients

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
}

/// Sends a request on a new connection. Returns `None` if there is no complete answer.
pub fn get(
    to: SocketAddr,
    path: &str,
    host: &str,
    id: &str,
    deadline_ms: u64,
    patience: Duration,
) -> Option<Answer> {
    request(to, "GET", path, host, id, deadline_ms, patience).ok()
}

pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    id: &str,
    deadline_ms: u64,
    patience: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let head = read_head(&mut reader).ok_or_else(ended)?;
    read_body(&mut reader, &head).ok_or_else(ended)?;
    let status = head
        .line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Answer {
        status: status.ok_or_else(ended)?,
    })
}

/// Waits until the condition holds. Returns whether it did in time.
pub fn wait_for(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A flag that threads check.
pub type Flag = Arc<AtomicBool>;

/// A kept connection of a client.
pub struct Kept {
    to: SocketAddr,
    stream: Option<(TcpStream, BufReader<TcpStream>)>,
}

/// What came of a request on a kept connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered(u16),
    /// The connection could not be opened, or the request could not be sent.
    NotSent,
    /// The connection ended without a complete answer after the request was sent.
    Closed,
}

impl Kept {
    pub fn new(to: SocketAddr) -> Self {
        Self { to, stream: None }
    }

    fn open(&mut self) -> io::Result<&mut (TcpStream, BufReader<TcpStream>)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(6)))?;
            self.stream = Some((stream.try_clone()?, BufReader::new(stream)));
        }
        self.stream
            .as_mut()
            .ok_or(io::ErrorKind::NotConnected.into())
    }

    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Outcome {
        let outcome = self.try_send(method, path, id, deadline_ms);
        if !matches!(outcome, Outcome::Answered(_)) {
            self.stream = None;
        }
        outcome
    }

    fn try_send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) -> Outcome {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\nContent-Length: 0\r\n\r\n"
        );
        let Ok((out, reader)) = self.open() else {
            return Outcome::NotSent;
        };
        if out.write_all(head.as_bytes()).is_err() {
            return Outcome::NotSent;
        }
        let Some(head) = read_head(reader) else {
            return Outcome::Closed;
        };
        if read_body(reader, &head).is_none() {
            return Outcome::Closed;
        }
        let status = head
            .line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let closes = head
            .headers
            .get("connection")
            .is_some_and(|value| value == "close");
        if closes {
            self.stream = None;
        }
        status.map_or(Outcome::Closed, Outcome::Answered)
    }
}
