//! Searches while the store turns some daemons away and the configuration gets a new route.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    backend::{RECORD, Runs, Server, records},
    client::Client,
    gateway::{Folder, Gateway, Instance, free_ports},
    net::{Message, note, save_record, say, spawn},
    store::{Door, Store},
};

const SHARDS: usize = 40;
const SERVERS_PER_SHARD: usize = 2;
const DAEMONS: usize = 9;

/// With `STORM=1`: more daemons, and configurations in quick succession instead of a store that
/// turns daemons away. Above 16 daemons, most learn of a configuration from others.
const STORM_DAEMONS: usize = 20;
const STORM_CHANGES: u64 = 12;
const STORM_GAP: Duration = Duration::from_millis(330);

const CLIENTS_PER_DAEMON: usize = 2;
const RECORDS_PER_PART: usize = 62;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// `TopK` of the route that is there all the time, and of the one that is added.
const TOP: [usize; 2] = [5, 50];

/// Daemons that the store turns away: 3 of 9, one in each zone.
const TURNED_AWAY: [usize; 3] = [0, 4, 8];

/// Time for which it does.
const DOWN: Duration = Duration::from_secs(9);

fn config(version: u64, with_added: bool) -> String {
    let shards: Vec<_> = (0..SHARDS).map(|n| format!("\"shop-{n}\"")).collect();
    let shards = shards.join(",");
    let route = |name: &str, prefix: &str, top: usize| {
        format!(
            r#"{{"Name":"{name}","Host":"h.example","Prefix":"{prefix}","RouteType":"safe","TimeoutMs":1200,"SloMs":80,"Priority":1,"Gather":[{shards}],"MaxAttempts":2,"TopK":{top},"MinCoverage":0.89}}"#
        )
    };
    let mut routes = vec![route("check", "/p/", TOP[0])];
    if with_added {
        routes.push(route("sweep", "/p/sweep/", TOP[1]));
    }
    let service =
        |n: usize| format!(r#"{{"Name":"shop-{n}","HealthPath":"/health","MaxConns":52}}"#);
    let services: Vec<_> = (0..SHARDS).map(service).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Why an answer breaks MIXED, if it does.
fn fault(id: &str, answer: &Message) -> Option<String> {
    let stamps = answer.headers.iter().filter(|(n, _)| n == "x-part-stamps");
    let stamps = stamps.flat_map(|(_, value)| value.split(',').map(str::trim));
    let mut named = HashSet::new();
    for stamp in stamps {
        let mut words = stamp.split('.');
        let shard = words.next().and_then(|word| word.parse::<usize>().ok());
        let (Some(shard), Some(_), Some(of)) = (shard, words.next(), words.next()) else {
            return Some(format!("{stamp:?} is no signature"));
        };
        if of != id || !named.insert(shard) {
            return Some(format!("signature {stamp:?} of another request, or twice"));
        }
    }
    let missing = answer.header("x-missing-parts");
    let missing = missing.and_then(|m| m.parse::<usize>().ok()).unwrap_or(0);
    if named.len() + missing != SHARDS {
        return Some(format!("{} parts, {missing} missing", named.len()));
    }
    let parts = named
        .iter()
        .flat_map(|shard| records(*shard, RECORDS_PER_PART));
    let mut all: Vec<_> = parts.collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    let greatest = |top: usize| all[..top].concat();
    if TOP.iter().any(|top| answer.body == greatest(*top)) {
        return None;
    }
    let found: HashSet<_> = answer.body.chunks(RECORD).collect();
    let lacking = all[..TOP[1]].iter().filter(|r| !found.contains(&r[..]));
    Some(format!(
        "MIXED, {} of the greatest {} records of the {} parts named are not in the body",
        lacking.count(),
        TOP[1],
        named.len()
    ))
}

#[derive(Default)]
struct Counts {
    successes: usize,
    others: usize,
    by_top: [usize; 2],
    wrong: usize,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let storm = std::env::var("STORM").is_ok_and(|value| value == "1");
    let daemon_count = if storm { STORM_DAEMONS } else { DAEMONS };
    let store = Store::default();
    let runs = Runs::default();
    for shard in 0..SHARDS {
        for copy in 0..SERVERS_PER_SHARD {
            let id = format!("i-{shard}-{copy}");
            let work = Duration::from_millis(3);
            let server = Server::start(&id, shard, RECORDS_PER_PART, work, &runs);
            let zone = ZONES[(shard + copy) % ZONES.len()];
            store.put(
                &format!("servers/{}", server.id),
                &server.entry(&format!("shop-{shard}"), zone),
            );
        }
    }
    store.put("op/config", &config(1, false));

    let folder = Folder::new()?;
    let ports = free_ports(daemon_count)?;
    let seeds: Vec<_> = ports.iter().take(3).map(|p| p.operators).collect();
    let doors: Vec<Door> = (0..daemon_count).map(|_| store.open_door()).collect();
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
    thread::sleep(Duration::from_secs(4));
    say(&format!(
        "{daemon_count} daemons are ready, configuration 1 is in force"
    ));

    let counts = Arc::new(Mutex::new(Counts::default()));
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..daemon_count * CLIENTS_PER_DAEMON {
        let (counts, stop, runs) = (counts.clone(), stop.clone(), runs.clone());
        let to = ports[number % daemon_count].callers;
        spawn(move || {
            let mut client = Client::new(to);
            for count in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("c{number}-{count}");
                let headers = [
                    ("Host", "h.example"),
                    ("X-Request-Id", &id),
                    ("X-Request-Deadline", "1200"),
                ];
                let answer = client.send("GET", "/p/sweep/q", &headers);
                let status = answer.as_ref().map_or(0, Message::status);
                let ran = runs.lock().unwrap().get(&id).map_or(0, Vec::len);
                let mut counts = counts.lock().unwrap();
                let mut fault_of = None;
                let mut records = 0;
                if let Some(answer) = answer.filter(|_| (200..300).contains(&status)) {
                    counts.successes += 1;
                    records = answer.body.len() / RECORD;
                    counts.by_top[usize::from(records != TOP[0])] += 1;
                    fault_of = fault(&id, &answer);
                } else {
                    counts.others += 1;
                }
                let verdict = fault_of.as_deref().unwrap_or("as it should be");
                note(&format!(
                    "GET /p/sweep/q {id} to {to}: ran at {ran} servers, status {status}, {records} records: {verdict}"
                ));
                counts.wrong += usize::from(fault_of.is_some());
                drop(counts);
                thread::sleep(Duration::from_millis(120));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
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
    if storm {
        for version in 2..2 + STORM_CHANGES {
            thread::sleep(STORM_GAP);
            if trouble {
                let adds = version % 2 == 0;
                store.put("op/config", &config(version, adds));
                let change = if adds { "adds" } else { "removes" };
                say(&format!(
                    "configuration {version} {change} the route /p/sweep/"
                ));
            }
        }
    } else {
        turn_away(true);
        thread::sleep(Duration::from_secs(1));
        store.put("op/config", &config(2, true));
        say("configuration 2 adds the route /p/sweep/");
        thread::sleep(DOWN - Duration::from_secs(1));
        turn_away(false);
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1_500));
    let counts = counts.lock().unwrap();
    say(&format!(
        "{} successes ({} with {} records), {} other answers, {} successes that are not the greatest records of their parts",
        counts.successes, counts.by_top[0], TOP[0], counts.others, counts.wrong
    ));
    drop(daemons);
    save_record();
    if counts.successes < 300 {
        return Err("too few requests were served".to_owned());
    }
    Ok(counts.wrong == 0)
}
