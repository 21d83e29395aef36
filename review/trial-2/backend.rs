//! Stand-in for backend servers of shards.

use std::{
    collections::HashMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::net::{Slots, random, read_message, respond, spawn};

/// Requests that a server works on at a time.
const SLOTS: usize = 2;

/// Bytes of a record.
pub const RECORD: usize = 16;

/// The records of a shard. All of its servers have the same ones.
pub fn records(shard: usize, count: usize) -> Vec<[u8; RECORD]> {
    let mut state = 0x9e37_79b9_7f4a_7c15 ^ (shard as u64 + 1).wrapping_mul(0xd134_2543_de82_ef95);
    for _ in 0..8 {
        random(&mut state);
    }
    let mut record = || {
        let mut bytes = [0; RECORD];
        bytes[..8].copy_from_slice(&random(&mut state).to_be_bytes());
        bytes[8..].copy_from_slice(&random(&mut state).to_be_bytes());
        bytes
    };
    (0..count).map(|_| record()).collect()
}

/// Servers at which requests ran, by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// A server of a shard.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

impl Server {
    /// Starts a server that works for `work` on each request. It signs its answers with its
    /// shard, its id and the id of the request.
    pub fn start(id: &str, shard: usize, count: usize, work: Duration, runs: &Runs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let body: Arc<Vec<u8>> = Arc::new(records(shard, count).concat());
        let (name, runs) = (id.to_owned(), runs.clone());
        let slots = Arc::new(Slots::new(SLOTS));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, body, runs) = (name.clone(), body.clone(), runs.clone());
                let slots = slots.clone();
                spawn(move || serve(stream, (&name, shard), &body, (work, &slots), &runs));
            }
        });
        Self {
            id: id.to_owned(),
            address,
        }
    }

    /// The server's entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"{zone}","Version":"v1","Slots":{SLOTS},"State":"ready","WarmupLeftMs":0,"Sequence":1,"born":1780000000000}}"#,
            self.address
        )
    }
}

fn serve(
    stream: TcpStream,
    (name, shard): (&str, usize),
    body: &[u8],
    (work, slots): (Duration, &Slots),
    runs: &Mutex<HashMap<String, Vec<String>>>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("x-request-id").unwrap_or_default();
        if request.header("x-expect-instance") != Some(name) {
            let headers = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
            if !respond(&mut out, 421, &headers, b"") {
                return;
            }
            continue;
        }
        let mut all = runs.lock().unwrap();
        all.entry(id.to_owned()).or_default().push(name.to_owned());
        drop(all);
        slots.work(work);
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Stamp: {shard}.{name}.{id}\r\n");
        if !respond(&mut out, 200, &headers, body) {
            return;
        }
    }
}
