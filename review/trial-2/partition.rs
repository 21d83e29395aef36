//! All daemons of a zone are partitioned from the backend servers.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    backend::{Runs, Server},
    client::Client,
    desk::Desk,
    gateway::{Folder, Gateway, Instance, free_ports},
    link::Link,
    net::{Message, elapsed, note, random, save_record, say, spawn},
    store::{Door, Store},
};

const SHARDS: usize = 40;
const SERVERS_PER_SHARD: usize = 2;

/// Services whose requests go to one server, and their numbers of servers. Nobody sends requests
/// to the second one while the case runs.
const DESKS: [(&str, usize); 2] = [("desk", 4), ("board", 3)];

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Daemons of the three zones. Those of the first one are partitioned.
const DAEMONS: [usize; 3] = [8, 4, 4];

const PARTITION: Duration = Duration::from_secs(10);

/// `ContactMs`, in seconds.
const CONTACT: f64 = 5.0;

/// Pause of a client between two requests: 300 to 900 ms.
const PAUSE_MS: [u64; 2] = [300, 600];

/// Path, deadline in milliseconds, and weight of each kind of request.
const KINDS: [(&str, &str, u64); 3] = [
    ("/p/sweep/q", "1200", 6),
    ("/p/peek/q", "600", 2),
    ("/f/x", "5000", 2),
];

fn config() -> String {
    let shards: Vec<_> = (0..SHARDS).map(|n| format!("\"shop-{n}\"")).collect();
    let shards = shards.join(",");
    let search = |name: &str, prefix: &str, top: usize, slo: u64, least: f64| {
        format!(
            r#"{{"Name":"{name}","Host":"h.example","Prefix":"{prefix}","RouteType":"safe","TimeoutMs":1200,"SloMs":{slo},"Priority":1,"Gather":[{shards}],"MaxAttempts":2,"TopK":{top},"MinCoverage":{least}}}"#
        )
    };
    let single = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"h.example","Prefix":"{prefix}","RouteType":"safe","TimeoutMs":5000,"SloMs":500,"Priority":2,"Service":"{service}","MaxAttempts":2}}"#
        )
    };
    let routes = [
        search("sweep", "/p/sweep/", 10, 120, 0.89),
        search("peek", "/p/peek/", 5, 60, 0.75),
        single("fetch", "/f/", "desk"),
        single("board", "/b/", "board"),
    ];
    let mut services: Vec<_> = (0..SHARDS)
        .map(|n| format!(r#"{{"Name":"shop-{n}","HealthPath":"/health","MaxConns":58}}"#))
        .collect();
    services.extend(
        DESKS.map(|(name, _)| {
            format!(r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":500}}"#)
        }),
    );
    format!(
        r#"{{"Version":1,"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A request that a client sent, each of them a first try.
struct Try {
    sent: f64,
    is_partitioned: bool,
    is_served: bool,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let runs = Runs::default();
    let mut servers = Vec::new();
    for shard in 0..SHARDS {
        for copy in 0..SERVERS_PER_SHARD {
            let id = format!("i-{shard}-{copy}");
            let server = Server::start(&id, shard, 12, Duration::from_millis(3), &runs);
            let zone = ZONES[(shard + copy) % ZONES.len()];
            let entry = server.entry(&format!("shop-{shard}"), zone);
            store.put(&format!("servers/{id}"), &entry);
            servers.push(server.address);
        }
    }
    for (service, count) in DESKS {
        for number in 0..count {
            let desk = Desk::start(&format!("i-{service}-{number}"), service);
            store.put(&format!("servers/{}", desk.id), &desk.entry());
            servers.push(desk.address);
        }
    }
    store.put("op/config", &config());

    let zones = ZONES.iter().zip(DAEMONS);
    let zones: Vec<&str> = zones.flat_map(|(zone, count)| vec![*zone; count]).collect();
    let folder = Folder::new()?;
    let ports = free_ports(zones.len())?;
    let seeds: Vec<_> = ports.iter().rev().take(3).map(|p| p.operators).collect();
    let mut links = Vec::new();
    let mut daemons = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        let paths = match n < DAEMONS[0] {
            false => Vec::new(),
            true => {
                // The paths of this daemon to the servers lead over links.
                let own: Vec<_> = servers.iter().map(|server| Link::start(*server)).collect();
                let paths = servers.iter().zip(&own).map(|(s, link)| (*s, link.address));
                let paths = paths.collect();
                links.extend(own);
                paths
            }
        };
        let door: Door = store.open_door_with(paths);
        let instance = Instance {
            name: &format!("front-{n:02}"),
            zone,
            ports: ports[n],
            seeds: &seeds,
            store: &door,
        };
        daemons.push(Gateway::start(&folder, &instance)?);
    }
    for daemon in &daemons {
        daemon.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    say(&format!("{} daemons are ready", daemons.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    for (number, ports) in ports.iter().enumerate() {
        let (stop, tries, to) = (stop.clone(), tries.clone(), ports.callers);
        spawn(move || {
            let mut client = Client::new(to);
            let mut seed = number as u64 * 7_919 + 13;
            for count in 0.. {
                let pause = PAUSE_MS[0] + random(&mut seed) % PAUSE_MS[1];
                thread::sleep(Duration::from_millis(pause));
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let mut left = random(&mut seed) % KINDS.iter().map(|kind| kind.2).sum::<u64>();
                let kind = KINDS.iter().find(|kind| {
                    let is_it = left < kind.2;
                    left = left.saturating_sub(kind.2);
                    is_it
                });
                let (path, deadline, _) = kind.unwrap_or(&KINDS[0]);
                let id = format!("c{number}-{count}");
                let headers = [
                    ("Host", "h.example"),
                    ("X-Request-Id", &*id),
                    ("X-Request-Deadline", *deadline),
                ];
                let sent = elapsed();
                let answer = client.send("GET", path, &headers);
                let status = answer.as_ref().map_or(0, Message::status);
                note(&format!(
                    "GET {path} {id} to {to}, sent at {sent:.3}: status {status}"
                ));
                tries.lock().unwrap().push(Try {
                    sent,
                    is_partitioned: number < DAEMONS[0],
                    is_served: (200..300).contains(&status),
                });
            }
        });
    }
    thread::sleep(Duration::from_secs(8));
    let began = elapsed();
    if trouble {
        links.iter().for_each(|link| link.cut(true));
        say(&format!(
            "{began:.3}: the {} daemons of zone a are partitioned from all backend servers",
            DAEMONS[0]
        ));
    }
    thread::sleep(PARTITION);
    let ended = elapsed();
    if trouble {
        links.iter().for_each(|link| link.cut(false));
        say(&format!("{ended:.3}: the partition ends"));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));

    let tries = tries.lock().unwrap();
    let counted = |t: &&Try| t.sent >= began + CONTACT && t.sent < ended;
    let of = |is_partitioned: bool| {
        let counted = tries.iter().filter(counted);
        let all: Vec<_> = counted
            .filter(|t| t.is_partitioned == is_partitioned)
            .collect();
        (all.iter().filter(|t| t.is_served).count(), all.len())
    };
    let ((served, all), (served_others, others)) = (of(true), of(false));
    say(&format!(
        "from {CONTACT} s after its begin to its end, {served} of {all} first tries were served at the daemons of zone a, {served_others} of {others} at the others"
    ));
    drop(daemons);
    save_record();
    if all < 20 || others < 20 {
        return Err("too few requests were sent".to_owned());
    }
    let share = served as f64 / all as f64;
    let share_others = served_others as f64 / others as f64;
    let failed = (all - served) as f64;
    let is_less = share < share_others * 2.0 / 3.0;
    Ok(!(is_less && failed > 10.0 + (all + others) as f64 / 50.0))
}
