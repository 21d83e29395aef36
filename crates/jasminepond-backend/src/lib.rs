//! HTTP client to backend servers: one task per connection.
//!
//! A connection carries one call at a time. Its task owns the socket, takes
//! [`Command`]s and reports [`Event`]s; when to open, use and close it is
//! decided elsewhere. The protocol is described in `docs/design.md`, section
//! 4.3.
//!
//! A call that ends without a response says whether any byte of it may have
//! left: [`Sent::No`] is certain, [`Sent::Maybe`] is not. [`Sent::InvalidResponse`] says
//! that the server has responded with what cannot be used.

mod call;
mod conn;
mod response;

pub use call::{
    Call, CallId, CallOutcome, ExecuteCall, Hints, Hit, NotRunReason, Reply, SearchCall,
    SearchResult, ServerState,
};
pub use conn::{Command, Connection, Event, EventHandler, HttpDialer, Options, Sent};
pub use response::{ResponseError, parse};

/// Opens connections to backend servers.
///
/// A trait object, so that the owner's logic can be tested without sockets.
pub trait Dialer {
    /// Starts to connect and returns at once; [`Event::Connected`] or
    /// [`Event::ConnectFailed`] follows on `events`.
    fn dial(&self, options: Options, events: EventHandler) -> Connection;
}
