//! HTTP/1.1 helpers shared by the stand-ins and the load tool: a JSON server
//! for control endpoints and a client for a single connection.

mod client;
mod gate;
mod reservation;
mod server;

pub use client::{CallError, Connection, call, get, post};
pub use gate::{Gate, serve_gated};
pub use reservation::Reservation;
pub use server::{Reply, Request, accept, empty, error, json, read_request, serve, serve_stream};
