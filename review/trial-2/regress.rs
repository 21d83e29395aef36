//! A daemon that the store turns away is partitioned from the backend servers for a while.

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
    link::Link,
    net::{Message, elapsed, note, save_record, say, spawn},
    store::{Door, Store},
};

const DAEMONS: usize = 3;
const CLIENTS_PER_DAEMON: usize = 2;
const SERVERS_PER_SERVICE: usize = 2;

/// The daemon that the disruptions meet: 1 of 3.
const STRUCK: usize = 0;

/// Time for which the store turns it away, and for which it has no path to the servers.
const DOWN: Duration = Duration::from_secs(9);
const PARTITION: Duration = Duration::from_secs(3);

/// `RollbackSlackMs`.
const SLACK: f64 = 0.25;

fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"orders","Host":"h.example","Prefix":"/o/","RouteType":"unsafe","TimeoutMs":4000,"SloMs":250,"Priority":1,"Service":"{service}","MaxAttempts":2}}],"Services":[{{"Name":"desk","MaxConns":100}},{{"Name":"lab","MaxConns":100}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// A request to the daemon that the disruptions meet, and the service that ran it, if any did.
struct Ran {
    id: String,
    sent: f64,
    answered: f64,
    by: Option<String>,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let desks: Vec<_> = ["desk", "lab"]
        .into_iter()
        .flat_map(|service| (0..SERVERS_PER_SERVICE).map(move |n| (service, n)))
        .map(|(service, n)| Desk::start(&format!("i-{service}-{n}"), service))
        .collect();
    for desk in &desks {
        store.put(&format!("servers/{}", desk.id), &desk.entry());
    }
    store.put("op/config", &config(1, "desk"));
    let folder = Folder::new()?;
    let ports = free_ports(DAEMONS)?;
    let seeds: Vec<_> = ports.iter().map(|p| p.operators).collect();
    let mut doors: Vec<Door> = (0..DAEMONS).map(|_| store.open_door()).collect();
    let links: Vec<_> = desks.iter().map(|desk| Link::start(desk.address)).collect();
    // The path of this daemon to each server leads over a link.
    let paths = desks.iter().zip(&links);
    let paths = paths
        .map(|(desk, link)| (desk.address, link.address))
        .collect();
    doors[STRUCK] = store.open_door_with(paths);
    let names: Vec<_> = (0..DAEMONS).map(|n| format!("front-{n}")).collect();
    let mut daemons = Vec::new();
    for n in 0..DAEMONS {
        let instance = Instance {
            name: &names[n],
            zone: "a",
            ports: ports[n],
            seeds: &seeds,
            store: &doors[n],
        };
        daemons.push(Gateway::start(&folder, &instance)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    say(&format!(
        "{DAEMONS} daemons are ready, configuration 1 is in force"
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<Vec<Ran>>> = Arc::default();
    for number in 0..DAEMONS * CLIENTS_PER_DAEMON {
        let (stop, all) = (stop.clone(), all.clone());
        let daemon = number % DAEMONS;
        let to = ports[daemon].callers;
        spawn(move || {
            let mut client = Client::new(to);
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("c{number}-{count}");
                let sent = elapsed();
                let answer = client.post("/o/x", &id, b"order");
                let answered = elapsed();
                let status = answer.as_ref().map_or(0, Message::status);
                let stamp = answer.as_ref().and_then(|a| a.header("x-response-stamp"));
                let by = stamp.and_then(|s| s.split('.').next()).map(str::to_owned);
                note(&format!(
                    "POST /o/x {id} to {to}, sent at {sent:.3}: status {status}, run by {by:?}"
                ));
                if daemon == STRUCK {
                    all.lock().unwrap().push(Ran {
                        id,
                        sent,
                        answered,
                        by,
                    });
                }
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        doors[STRUCK].turn_away(true);
        say(&format!("the store answers 503 to daemon {STRUCK}"));
    }
    thread::sleep(Duration::from_millis(500));
    store.put("op/config", &config(2, "lab"));
    say("configuration 2 moves the route to another service");
    thread::sleep(Duration::from_millis(500));
    if trouble {
        links.iter().for_each(|link| link.cut(true));
        say(&format!(
            "daemon {STRUCK} has no path to the backend servers"
        ));
    }
    thread::sleep(PARTITION);
    if trouble {
        links.iter().for_each(|link| link.cut(false));
        say("it has one again");
    }
    thread::sleep(DOWN - PARTITION - Duration::from_secs(1));
    if trouble {
        doors[STRUCK].turn_away(false);
        say("the store serves it again");
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let all = all.lock().unwrap();
    let new = all.iter().filter(|ran| ran.by.as_deref() == Some("lab"));
    let Some(seen) = new.map(|ran| ran.answered).reduce(f64::min) else {
        return Err("no request was run by the new service".to_owned());
    };
    let went_back = |ran: &&Ran| ran.by.as_deref() == Some("desk") && ran.sent > seen + SLACK;
    let back: Vec<_> = all.iter().filter(went_back).collect();
    for ran in &back {
        note(&format!("went back: {}, sent at {:.3}", ran.id, ran.sent));
    }
    let first = back.first().map_or(0.0, |ran| ran.sent - seen);
    let last = back.last().map_or(0.0, |ran| ran.sent - seen);
    say(&format!(
        "at {seen:.3} a request to daemon {STRUCK} was run by the new service; {} sent {first:.2} s to {last:.2} s later were run by the old one",
        back.len()
    ));
    drop(daemons);
    save_record();
    Ok(back.is_empty())
}
