//! Sockets: HTTP listeners and peer links.

pub mod flow;
pub mod http;
pub mod link;
