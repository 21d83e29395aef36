//! The `status` command.

use serde_json::Value;

use crate::{
    EXIT_INCOMPLETE, EXIT_OK,
    args::Status,
    client::{ClientError, call},
};

/// Prints the state of a daemon. The exit code tells whether all running
/// daemons have the same configuration revision.
pub async fn show(status: Status) -> Result<u8, ClientError> {
    let to = status.to.ok_or(ClientError::NoAddress)?;
    let state = call(to, "/status", None).await?;
    if status.json {
        println!("{state:#}");
    } else {
        print(&state);
    }
    Ok(if same_revision(&state) {
        EXIT_OK
    } else {
        EXIT_INCOMPLETE
    })
}

fn members(state: &Value) -> impl Iterator<Item = &Value> {
    state["config"]["members"].as_array().into_iter().flatten()
}

fn same_revision(state: &Value) -> bool {
    let ours = &state["config"]["revision"];
    let running = |member: &&Value| member["state"] == "alive" || member["state"] == "suspect";
    members(state)
        .filter(running)
        .all(|member| member["revision"] == *ours)
}

fn print(state: &Value) {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
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
