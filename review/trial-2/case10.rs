//! The configuration allows longer bodies, and clients keep their connections.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client::Client,
    desk::Desk,
    gateway::{Folder, Gateway, Instance, free_ports},
    net::{Message, note, save_record, say, spawn},
    store::Store,
};

const DAEMONS: usize = 3;
const CLIENTS_PER_DAEMON: usize = 8;
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// `MaxBodyBytes` before and after the change.
const LIMITS: [usize; 2] = [65_536, 262_144];

const LONG_BODY: usize = 100_000;

fn config(version: u64, max_body: usize) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"orders","Host":"h.example","Prefix":"/o/","RouteType":"unsafe","TimeoutMs":4000,"SloMs":250,"Priority":1,"Service":"desk","MaxAttempts":2}}],"Services":[{{"Name":"desk","MaxConns":100}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{max_body},"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let desk = Desk::start("i-desk", "desk");
    store.put(&format!("servers/{}", desk.id), &desk.entry());
    let first = LIMITS[usize::from(!trouble)];
    store.put("op/config", &config(1, first));
    let folder = Folder::new()?;
    let ports = free_ports(DAEMONS)?;
    let seeds: Vec<_> = ports.iter().map(|p| p.operators).collect();
    let door = store.open_door();
    let mut daemons = Vec::new();
    for (n, ports) in ports.iter().enumerate() {
        let instance = Instance {
            name: &format!("front-{n}"),
            zone: "a",
            ports: *ports,
            seeds: &seeds,
            store: &door,
        };
        daemons.push(Gateway::start(&folder, &instance)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    say(&format!(
        "{DAEMONS} daemons are ready, configuration 1 allows bodies of {first} bytes"
    ));
    let statuses: Arc<Mutex<Vec<u16>>> = Arc::default();
    for number in 0..DAEMONS * CLIENTS_PER_DAEMON {
        let statuses = statuses.clone();
        let to = ports[number % DAEMONS].callers;
        spawn(move || {
            let mut client = Client::new(to);
            // Short bodies each second, over the change; then a long one.
            for count in 0..10 {
                let len = if count < 9 { 1_000 } else { LONG_BODY };
                let id = format!("c{number}-{count}");
                let answer = client.post("/o/x", &id, &vec![b'x'; len]);
                let status = answer.as_ref().map_or(0, Message::status);
                note(&format!(
                    "POST /o/x {id} to {to} with {len} bytes: status {status}"
                ));
                statuses.lock().unwrap().push(status);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    thread::sleep(Duration::from_millis(2_500));
    if trouble {
        store.put("op/config", &config(2, LIMITS[1]));
        say(&format!(
            "configuration 2 allows bodies of {} bytes",
            LIMITS[1]
        ));
    }
    thread::sleep(CONFIG_APPLY + Duration::from_millis(6_500));
    let statuses = statuses.lock().unwrap();
    let all = statuses.len();
    let denied = statuses.iter().filter(|s| **s == 413).count();
    let allowed = 5.0 + all as f64 / 500.0;
    say(&format!(
        "{denied} of {all} requests were refused with 413, allowed are {allowed:.1}"
    ));
    drop(daemons);
    save_record();
    if all < DAEMONS * CLIENTS_PER_DAEMON * 10 {
        return Err("too few requests were answered".to_owned());
    }
    Ok(denied as f64 <= allowed)
}
