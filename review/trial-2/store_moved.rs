//! The settings file names another address of the store, and SIGHUP says so.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::Client,
    desk::Desk,
    gateway::{Folder, Gateway, Instance, free_ports},
    net::{Message, elapsed, note, save_record, say, spawn},
    store::{Door, Store},
};

const DAEMONS: usize = 5;

/// Daemons whose settings change: 3 of 5.
const CHANGED: usize = 3;

/// Time between two of them.
const GAP: Duration = Duration::from_millis(500);

const CLIENTS_PER_DAEMON: usize = 2;

/// `ContactMs` and `ConfigApplyMs`.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: f64 = 3.0;

fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"orders","Host":"h.example","Prefix":"/o/","RouteType":"unsafe","TimeoutMs":4000,"SloMs":250,"Priority":1,"Service":"{service}","MaxAttempts":2}}],"Services":[{{"Name":"desk","MaxConns":100}},{{"Name":"lab","MaxConns":100}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// When a request was sent, and the service that ran it, if any did.
type Ran = Arc<Mutex<Vec<(f64, Option<String>)>>>;

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let desks = [Desk::start("i-desk", "desk"), Desk::start("i-lab", "lab")];
    for desk in &desks {
        store.put(&format!("servers/{}", desk.id), &desk.entry());
    }
    store.put("op/config", &config(1, "desk"));
    let folder = Folder::new()?;
    let ports = free_ports(DAEMONS)?;
    let seeds: Vec<_> = ports.iter().map(|p| p.operators).collect();
    let doors: Vec<Door> = (0..DAEMONS).map(|_| store.open_door()).collect();
    let new = store.open_door();
    let names: Vec<_> = (0..DAEMONS).map(|n| format!("front-{n}")).collect();
    let instance = |n: usize, store| Instance {
        name: &names[n],
        zone: "a",
        ports: ports[n],
        seeds: &seeds,
        store,
    };
    let mut daemons = Vec::new();
    for n in 0..DAEMONS {
        daemons.push(Gateway::start(&folder, &instance(n, &doors[n]))?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    say(&format!(
        "{DAEMONS} daemons are ready, configuration 1 is in force"
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let ran = Ran::default();
    for number in 0..DAEMONS * CLIENTS_PER_DAEMON {
        let (stop, ran) = (stop.clone(), ran.clone());
        let to = ports[number % DAEMONS].callers;
        spawn(move || {
            let mut client = Client::new(to);
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("c{number}-{count}");
                let headers = [
                    ("Host", "h.example"),
                    ("X-Request-Id", &*id),
                    ("X-Request-Deadline", "4000"),
                ];
                let sent = elapsed();
                let answer = client.send("GET", "/o/x", &headers);
                let status = answer.as_ref().map_or(0, Message::status);
                let stamp = answer.as_ref().and_then(|a| a.header("x-response-stamp"));
                let service = stamp.and_then(|s| s.split('.').next()).map(str::to_owned);
                note(&format!(
                    "GET /o/x {id} to {to}, sent at {sent:.3}: status {status}, run by {service:?}"
                ));
                ran.lock().unwrap().push((sent, service));
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        for n in 0..CHANGED {
            folder.write_settings(&instance(n, &new))?;
            daemons[n].signal("-HUP");
            doors[n].close();
            thread::sleep(GAP);
        }
        say(&format!(
            "the settings of {CHANGED} daemons name another address of the store; they got SIGHUP"
        ));
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    store.put("op/config", &config(2, "lab"));
    let acknowledged = elapsed();
    say(&format!(
        "{acknowledged:.3}: configuration 2 moves the route to another service"
    ));
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let ran = ran.lock().unwrap();
    let late = |sent: f64| sent > acknowledged + CONFIG_APPLY;
    let by = |service: &str| {
        let ran = ran
            .iter()
            .filter(|(sent, by)| late(*sent) && by.as_deref() == Some(service));
        ran.count()
    };
    let (by_old, by_new) = (by("desk"), by("lab"));
    say(&format!(
        "of the requests sent later than {CONFIG_APPLY} s after that, the old service ran {by_old}, the new one {by_new}"
    ));
    drop(daemons);
    save_record();
    if by_old + by_new < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(by_old == 0)
}
