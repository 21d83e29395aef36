//! Sockets: HTTP listeners and peer links.

pub mod http;
pub mod link;
