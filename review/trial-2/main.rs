//! Runs one case of this review: starts the gateway's processes, stand-ins for the store, the
//! backend servers and the clients, and judges what clients and servers have seen.
//!
//! Uses the standard library only, so that `rustc` alone builds it.

mod backend;
mod client;
mod desk;
mod divided_search;
mod gateway;
mod limit;
mod link;
mod net;
mod partition;
mod regress;
mod store;
mod store_moved;

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "6" => divided_search::run(trouble),
        "7" => partition::run(trouble),
        "8" => regress::run(trouble),
        "9" => limit::run(trouble),
        "10" => store_moved::run(trouble),
        other => Err(format!("there is no case {other:?}")),
    };
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(cause) => {
            println!("the case could not run: {cause}");
            exit(2);
        }
    }
}
