//! Backend servers that start again under their ids and state a limit, while the store turns
//! some daemons away.

use std::{
    collections::HashMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::Client,
    gateway::{Folder, Gateway, Instance, free_ports},
    net::{Message, Slots, elapsed, note, read_message, respond, save_record, say, spawn},
    store::{Door, Store},
};

const DAEMONS: usize = 6;
const CLIENTS_PER_DAEMON: usize = 16;
const SERVERS: usize = 2;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Daemons that the store turns away: 2 of 6.
const TURNED_AWAY: [usize; 2] = [1, 4];

/// Time for which it does.
const DOWN: Duration = Duration::from_secs(9);

/// Requests a second that a server takes from all daemons together after its start.
const LIMIT: f64 = 20.0;

/// `ContactMs` and the window of the rule, in seconds.
const CONTACT: f64 = 4.0;
const WINDOW: f64 = 4.0;

const WORK: Duration = Duration::from_millis(8);

/// Requests that a server works on at a time.
const SLOTS: usize = 8;

/// A request that a server began to run.
struct Arrival {
    at: f64,
    daemon: usize,
}

struct Server {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    runs: AtomicBool,
    /// Starts so far. From the second on the server states its limit.
    starts: AtomicU64,
    slots: Slots,
    arrivals: Mutex<Vec<Arrival>>,
    first_stated: Mutex<Option<f64>>,
}

impl Server {
    fn start(number: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Arc::new(Self {
            id: format!("i-desk-{number}"),
            zone: ZONES[number % ZONES.len()],
            address: listener.local_addr().unwrap(),
            runs: AtomicBool::new(true),
            starts: AtomicU64::new(1),
            slots: Slots::new(SLOTS),
            arrivals: Mutex::default(),
            first_stated: Mutex::default(),
        });
        let serving = server.clone();
        spawn(move || serving.listen(Some(listener)));
        server
    }

    /// Accepts connections while the server runs. Its port is closed while it does not.
    fn listen(self: Arc<Self>, mut listener: Option<TcpListener>) {
        loop {
            if !self.runs.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept()
            });
            match accepted {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    let start = self.starts.load(Ordering::Relaxed);
                    spawn(move || server.serve(stream, start));
                }
                _ => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Whether the process of that start still runs.
    fn is_up(&self, start: u64) -> bool {
        self.runs.load(Ordering::Relaxed) && self.starts.load(Ordering::Relaxed) == start
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        let _ = stream.set_nodelay(true);
        // A crash closes idle connections as well.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while self.is_up(start) {
            let mut first = [0];
            if let Err(err) = reader.get_ref().peek(&mut first) {
                let waits = [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut];
                match waits.contains(&err.kind()) {
                    true => continue,
                    false => return,
                }
            }
            let Some(request) = read_message(&mut reader) else {
                return;
            };
            let id = request.header("x-request-id").unwrap_or_default();
            let echo = format!("X-Request-Id: {id}\r\n");
            if request.header("x-expect-instance") != Some(&*self.id) {
                let headers = format!("{echo}X-Not-Executed: 1\r\n");
                if !respond(&mut out, 421, &headers, b"") {
                    return;
                }
                continue;
            }
            note(&format!("{} runs request {id}", self.id));
            let daemon = id.split('-').nth(1).and_then(|n| n.parse().ok());
            self.arrivals.lock().unwrap().push(Arrival {
                at: elapsed(),
                daemon: daemon.unwrap_or(usize::MAX),
            });
            self.slots.work(WORK);
            if !self.is_up(start) {
                return;
            }
            let mut headers = format!("{echo}X-Response-Stamp: {}.{id}\r\n", self.id);
            if start > 1 {
                headers.push_str(&format!("Server-Limit: {LIMIT}\r\n"));
                self.first_stated
                    .lock()
                    .unwrap()
                    .get_or_insert_with(elapsed);
            }
            if !respond(&mut out, 200, &headers, b"ok") {
                return;
            }
        }
    }

    fn entry(&self) -> String {
        let start = self.starts.load(Ordering::Relaxed);
        format!(
            r#"{{"Service":"desk","Address":"{}","Zone":"{}","Version":"v1","Slots":{SLOTS},"State":"ready","WarmupLeftMs":0,"Sequence":1,"born":{}}}"#,
            self.address,
            self.zone,
            1_780_000_000_000 + start
        )
    }
}

fn config() -> String {
    r#"{"Version":1,"Routes":[{"Name":"fetch","Host":"h.example","Prefix":"/f/","RouteType":"safe","TimeoutMs":4000,"SloMs":250,"Priority":1,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":100}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#.to_owned()
}

/// When a daemon first passed on an answer with a limit, by server and daemon.
type Passed = Arc<Mutex<HashMap<(String, usize), f64>>>;

fn client(to: SocketAddr, daemon: usize, number: usize, stop: &AtomicBool, passed: &Passed) {
    let mut client = Client::new(to);
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("c-{daemon}-{number}-{count}");
        let headers = [
            ("Host", "h.example"),
            ("X-Request-Id", &*id),
            ("X-Request-Deadline", "4000"),
        ];
        let answer = client.send("GET", "/f/x", &headers);
        let status = answer.as_ref().map_or(0, Message::status);
        let mut pause = 0.05;
        if let Some(answer) = answer {
            let server = answer
                .header("x-response-stamp")
                .and_then(|s| s.split('.').next());
            if let (Some(server), Some(_)) = (server, answer.header("server-limit")) {
                let key = (server.to_owned(), daemon);
                passed.lock().unwrap().entry(key).or_insert_with(elapsed);
            }
            // As told, up to a third of the time that is left.
            let wait = answer
                .header("retry-after")
                .and_then(|wait| wait.parse::<f64>().ok());
            pause = wait.map_or(pause, |wait| wait.min(4.0 / 3.0));
        }
        note(&format!("GET /f/x {id} to {to}: status {status}"));
        thread::sleep(Duration::from_secs_f64(pause));
    }
}

/// Most requests that count in any window, with its start.
fn worst_window(server: &Server, passed: &Passed) -> (usize, f64) {
    let Some(stated) = *server.first_stated.lock().unwrap() else {
        return (0, 0.0);
    };
    let passed = passed.lock().unwrap();
    let arrivals = server.arrivals.lock().unwrap();
    let counts = |arrival: &&Arrival| {
        let passed = passed.get(&(server.id.clone(), arrival.daemon));
        let knows = passed.is_some_and(|passed| arrival.at >= passed + 0.5);
        knows && arrival.at >= stated + CONTACT
    };
    let times: Vec<f64> = arrivals.iter().filter(counts).map(|a| a.at).collect();
    let inside = |from: f64| {
        times
            .iter()
            .filter(move |at| (from..from + WINDOW).contains(at))
    };
    let windows = times.iter().map(|from| (inside(*from).count(), *from));
    windows.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0))
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let servers: Vec<_> = (0..SERVERS).map(Server::start).collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry());
    }
    store.put("op/config", &config());
    let folder = Folder::new()?;
    let ports = free_ports(DAEMONS)?;
    let seeds: Vec<_> = ports.iter().take(3).map(|p| p.operators).collect();
    let doors: Vec<Door> = (0..DAEMONS).map(|_| store.open_door()).collect();
    let mut daemons = Vec::new();
    for (n, ports) in ports.iter().enumerate() {
        let instance = Instance {
            name: &format!("front-{n}"),
            zone: ZONES[n % ZONES.len()],
            ports: *ports,
            seeds: &seeds,
            store: &doors[n],
        };
        daemons.push(Gateway::start(&folder, &instance)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    say(&format!("{DAEMONS} daemons are ready"));
    let stop = Arc::new(AtomicBool::new(false));
    let passed = Passed::default();
    for number in 0..DAEMONS * CLIENTS_PER_DAEMON {
        let (stop, passed) = (stop.clone(), passed.clone());
        let daemon = number % DAEMONS;
        let to = ports[daemon].callers;
        spawn(move || client(to, daemon, number, &stop, &passed));
    }
    thread::sleep(Duration::from_secs(2));
    say("the backend servers crash");
    for server in &servers {
        server.runs.store(false, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_millis(1_500));
    let turn_away = |turns_away: bool| {
        if trouble {
            TURNED_AWAY
                .iter()
                .for_each(|at| doors[*at].turn_away(turns_away));
            let change = if turns_away {
                "answers 503"
            } else {
                "serves again"
            };
            say(&format!("the store {change} to daemons {TURNED_AWAY:?}"));
        }
    };
    turn_away(true);
    thread::sleep(Duration::from_millis(300));
    say(&format!(
        "the backend servers start again under their ids, each with a limit of {LIMIT} a second"
    ));
    for server in &servers {
        server.starts.fetch_add(1, Ordering::Relaxed);
        server.runs.store(true, Ordering::Relaxed);
        store.put(&format!("servers/{}", server.id), &server.entry());
    }
    thread::sleep(DOWN - Duration::from_millis(300));
    turn_away(false);
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let allowed = 1.5 * LIMIT * WINDOW + 5.0;
    let mut kept = true;
    let mut served = 0;
    for server in &servers {
        let (most, from) = worst_window(server, &passed);
        say(&format!(
            "{}: at most {most} requests in 4 s (from {from:.1} s), allowed are {allowed}",
            server.id
        ));
        served += most;
        kept &= most as f64 <= allowed;
    }
    drop(daemons);
    save_record();
    if served < 80 {
        return Err("too few requests reached the servers".to_owned());
    }
    Ok(kept)
}
