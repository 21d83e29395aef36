//! The `status` command.

use serde_json::Value;

use crate::{
    EXIT_INCOMPLETE, EXIT_OK,
    args::Status,
    client::{ClientError, call},
};

/// Prints the state of a daemon or gateway. For a daemon, the exit code tells whether
/// all running daemons have the same configuration revision.
pub async fn show(status: Status) -> Result<u8, ClientError> {
    let to = status.to.ok_or(ClientError::NoAddress)?;
    let state = call(to, "/status", None).await?;
    let is_gateway = state.get("backend_servers").is_some();
    if status.json {
        println!("{state:#}");
    } else if is_gateway {
        print_gateway(&state);
    } else {
        print_daemon(&state);
    }
    if is_gateway {
        return Ok(EXIT_OK);
    }
    Ok(if all_on_same_revision(&state) {
        EXIT_OK
    } else {
        EXIT_INCOMPLETE
    })
}

fn members(state: &Value) -> impl Iterator<Item = &Value> {
    state["config"]["members"].as_array().into_iter().flatten()
}

fn all_on_same_revision(state: &Value) -> bool {
    let local = &state["config"]["revision"];
    let running = |member: &&Value| member["state"] == "alive" || member["state"] == "suspect";
    members(state)
        .filter(running)
        .all(|member| member["revision"] == *local)
}

fn print_daemon(state: &Value) {
    println!(
        "{} (incarnation {}, zone {}): {}",
        text(&state["instance"]),
        state["incarnation"],
        text(&state["zone"]),
        text(&state["readiness"]),
    );
    let config = &state["config"];
    println!(
        "configuration: revision {}, {}",
        config["revision"],
        text(&config["role"])
    );
    if let Some(refused) = config["refused"].as_str() {
        println!("  refused: {refused}");
    }
    if let Some(age) = config["confirmed_ms"].as_u64() {
        println!("  confirmed as current {age} ms ago");
    }
    println!("daemons:");
    for member in members(state) {
        println!(
            "  {:<20} {:<12} {:<8} revision {}",
            text(&member["instance"]),
            text(&member["zone"]),
            text(&member["state"]),
            member["revision"],
        );
    }
    println!("servers owned or used here:");
    for server in state["servers"].as_array().into_iter().flatten() {
        println!(
            "  {:<24} {:<9} running {}/{} queued {} connections {}",
            text(&server["server"]),
            text(&server["health"]),
            server["running"],
            server["slots"],
            server["queued"],
            server["connections"],
        );
    }
}

fn print_gateway(state: &Value) {
    println!(
        "release {}, in force for {} ms; {} requests in progress, {} parts waiting",
        state["release"], state["release_age_ms"], state["requests"], state["waiting"],
    );
    let store = &state["store"];
    println!(
        "state of the store at position {}, confirmed {} ms ago, learnt from {}",
        text(&store["position"]),
        store["age_ms"],
        text(&store["source"]),
    );
    if let Some(lost) = state["contact_lost_ms"].as_u64() {
        println!(
            "no backend server has responded for {lost} ms; requests go through other daemons"
        );
    }
    for suspect in state["suspects"].as_array().into_iter().flatten() {
        println!(
            "request {} {}: {} servers ended while they ran it, the last {} ms ago; {} failed trials, {} refused here, tried again in {} ms",
            text(&suspect["fingerprint"]),
            text(&suspect["state"]),
            suspect["servers_ended"],
            suspect["last_end_ms"],
            suspect["failed_trials"],
            suspect["refused"],
            suspect["retry_ms"],
        );
    }
    println!("routes:");
    for route in state["routes"].as_array().into_iter().flatten() {
        println!(
            "  {:<16} {}{} -> {}",
            text(&route["name"]),
            text(&route["host"]),
            text(&route["prefix"]),
            text(&route["target"]),
        );
    }
    println!("backend servers:");
    for server in state["backend_servers"].as_array().into_iter().flatten() {
        println!(
            "  {:<20} {:<16} {:<8} cost {} calls {} connections {}: {}",
            text(&server["server"]),
            text(&server["service"]),
            text(&server["standing"]),
            server["cost"],
            server["calls"],
            server["connections"],
            text(&server["why"]),
        );
        print_limit(&server["limit"]);
        print_warm_up(&server["warm_up"]);
    }
}

fn print_warm_up(warm_up: &Value) {
    let state = text(&warm_up["state"]);
    if warm_up.is_object() && state != "warm" {
        println!("    whether it is cold: {state}");
        print_limit(&warm_up["limit"]);
    }
}

fn print_limit(limit: &Value) {
    if limit.is_null() {
        return;
    }
    println!(
        "    limit {} requests per second, learned {} ms ago; permits from {}, {} held",
        limit["per_second"],
        limit["age_ms"],
        text(&limit["coordinator"]),
        limit["permits"],
    );
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
