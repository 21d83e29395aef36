//! The control endpoint.

use std::{collections::BTreeMap, sync::Arc};

use hyper::Method;
use serde_json::{Value, json};
use standin_http::{Reply, Request, error, json as reply};

use crate::{Counters, Patch, Server};

pub(crate) fn handle(servers: &[Arc<Server>], request: &Request) -> Reply {
    match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["servers"]) => reply(200, &describe(servers)),
        (&Method::GET, ["counters"]) => reply(200, &counters(servers)),
        (&Method::GET, ["executions"]) => {
            reply(200, &executions(servers, request.query.contains_key("all")))
        }
        (&Method::POST, ["reset"]) => {
            reset(servers);
            reply(200, &json!({}))
        }
        (&Method::POST, ["servers", id]) => patch(servers, id, request),
        _ => error(404, "no such control operation"),
    }
}

fn patch(servers: &[Arc<Server>], id: &str, request: &Request) -> Reply {
    let patch: Patch = match request.json() {
        Ok(patch) => patch,
        Err(message) => return error(400, message),
    };
    let selected: Vec<_> = servers
        .iter()
        .filter(|s| id == "*" || s.id == id)
        .cloned()
        .collect();
    if selected.is_empty() {
        return error(404, format!("no server `{id}`"));
    }
    for server in &selected {
        server.lock().apply(patch.clone());
    }
    reply(200, &describe(&selected))
}

fn describe(servers: &[Arc<Server>]) -> Value {
    let describe = |server: &Arc<Server>| {
        let state = server.lock();
        let value = json!({
            "address": state.address,
            "spec": state.spec,
            "modes": state.modes,
            "running": state.running,
            "waiting": state.waiting(),
        });
        (server.id.clone(), value)
    };
    json!(servers.iter().map(describe).collect::<BTreeMap<_, _>>())
}

fn counters(servers: &[Arc<Server>]) -> Value {
    let mut total = Counters::default();
    let mut each = BTreeMap::new();
    for server in servers {
        let counters = server.lock().counters;
        total += counters;
        each.insert(&server.id, counters);
    }
    json!({ "servers": each, "total": total })
}

fn executions(servers: &[Arc<Server>], all: bool) -> Value {
    let mut keys = BTreeMap::<String, u64>::new();
    for server in servers {
        for (key, n) in &server.lock().executions {
            *keys.entry(key.clone()).or_default() += n;
        }
    }
    let repeated: BTreeMap<_, _> = keys.iter().filter(|(_, n)| **n > 1).collect();
    let mut value = json!({
        "keys": keys.len(),
        "executions": keys.values().sum::<u64>(),
        "repeated": repeated,
    });
    if all {
        value["all"] = json!(keys);
    }
    value
}

fn reset(servers: &[Arc<Server>]) {
    for server in servers {
        let mut state = server.lock();
        state.counters = Counters::default();
        state.executions.clear();
    }
}
