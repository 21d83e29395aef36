//! The control endpoint.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Instant};

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use standin_http::{Gate, Reply, Request, error, json as reply};

use crate::{
    Counters, Down, Instance, Patch,
    state::{File, Snapshot, State, VALUE_LIMIT},
};

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Change {
    put: BTreeMap<String, Value>,
    delete: Vec<String>,
    revision: Option<u64>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct InstanceList {
    pub instances: Vec<Instance>,
}

pub(crate) fn handle(state: &Rc<RefCell<State>>, gate: &Gate, request: &Request) -> Reply {
    let mut state = state.borrow_mut();
    let result = match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["state"]) => Ok(describe(&state)),
        (&Method::GET, ["counters"]) => Ok(json!(state.counters)),
        (&Method::POST, ["reset"]) => Ok(reset(&mut state)),
        (&Method::POST, ["revisions"]) => publish(&mut state, request),
        (&Method::POST, ["modes"]) => set_modes(&mut state, gate, request),
        (&Method::POST, ["instances"]) => replace_instances(&mut state, request),
        (&Method::POST, ["instances", id]) => put_instance(&mut state, id, request),
        (&Method::DELETE, ["instances", id]) => Ok(remove_instance(&mut state, id)),
        _ => Err((404, "no such control operation".to_string())),
    };
    match result {
        Ok(value) => reply(200, &value),
        Err((status, message)) => error(status, message),
    }
}

type ControlResult = Result<Value, (u16, String)>;

fn bad_request(message: String) -> (u16, String) {
    (400, message)
}

fn describe(state: &State) -> Value {
    let revisions: Vec<_> = state.history.iter().map(|f| f.revision).collect();
    json!({
        "revision": state.newest().revision,
        "served_revision": state.served_tree().revision,
        "modes": state.modes,
        "revisions": revisions,
        "instances": state.newest_instances(),
    })
}

fn reset(state: &mut State) -> Value {
    state.counters = Counters {
        pending_watches: state.counters.pending_watches,
        ..Counters::default()
    };
    json!({})
}

fn publish(state: &mut State, request: &Request) -> ControlResult {
    let change: Change = request.json().map_err(bad_request)?;
    let mut files = state.newest().files.clone();
    for name in change.delete {
        if files.remove(&name).is_none() {
            return Err((404, format!("no file `{name}`")));
        }
    }
    for (name, value) in change.put {
        check_name(&name).map_err(bad_request)?;
        let bytes = match value {
            Value::String(text) => Bytes::from(text),
            other => Bytes::from(other.to_string()),
        };
        if bytes.len() > VALUE_LIMIT {
            return Err((413, format!("`{name}` is larger than {VALUE_LIMIT} bytes")));
        }
        files.insert(name, File::new(bytes));
    }
    let highest = state.history.iter().map(|f| f.revision).max();
    let revision = change.revision.or(highest.map(|r| r + 1)).unwrap_or(1);
    state.publish(Snapshot { revision, files });
    Ok(json!({ "revision": revision }))
}

/// Allows only characters that need no percent-encoding: a file name is a path segment
/// of a URL, and segments are not decoded.
pub(crate) fn check_name(name: &str) -> Result<(), String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || !name.chars().all(valid) {
        return Err(format!("`{name}` is not a file name"));
    }
    Ok(())
}

fn set_modes(state: &mut State, gate: &Gate, request: &Request) -> ControlResult {
    let patch: Patch = request.json().map_err(bad_request)?;
    state.apply(Instant::now(), patch).map_err(bad_request)?;
    match state.modes.down {
        Some(Down::Refuse) => gate.shut(),
        _ => gate.open(),
    }
    Ok(describe(state))
}

fn replace_instances(state: &mut State, request: &Request) -> ControlResult {
    let list: InstanceList = request.json().map_err(bad_request)?;
    state.set_instances(Instant::now(), list.instances);
    Ok(json!({}))
}

fn put_instance(state: &mut State, id: &str, request: &Request) -> ControlResult {
    let instance: Instance = request.json().map_err(bad_request)?;
    if instance.id != id {
        return Err(bad_request(format!(
            "the body names instance `{}`",
            instance.id
        )));
    }
    let mut list = state.newest_instances().to_vec();
    match list.iter_mut().find(|i| i.id == id) {
        Some(entry) => *entry = instance,
        None => list.push(instance),
    }
    state.set_instances(Instant::now(), list);
    Ok(json!({}))
}

fn remove_instance(state: &mut State, id: &str) -> Value {
    let mut list = state.newest_instances().to_vec();
    list.retain(|i| i.id != id);
    state.set_instances(Instant::now(), list);
    json!({})
}
