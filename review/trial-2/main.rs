//! Runs one case of this review: starts the gateway's processes, stand-ins for the store, the
//! backend servers and the clients, and judges what clients and servers have seen.
//!
//! Uses the standard library only, so that `rustc` alone builds it.

mod backend;
mod case10;
mod case6;
mod case7;
mod case8;
mod case9;
mod client;
mod desk;
mod gateway;
mod link;
mod net;
mod store;

use std::process::exit;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "6" => case6::run(trouble),
        "7" => case7::run(trouble),
        "8" => case8::run(trouble),
        "9" => case9::run(trouble),
        "10" => case10::run(trouble),
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
