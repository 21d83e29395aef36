//! HTTP client for backend servers, with one task per connection.
//!
//! A connection carries one call at a time. Its task owns the socket, executes
//! [`Command`]s and reports [`Event`]s; the caller decides when to open, use and
//! close it. The protocol is described in `docs/design.md`, section 4.3.
//!
//! If a call ends without a valid response, [`Sent`] tells whether it may have been
//! sent: [`Sent::No`] guarantees that no byte was written, [`Sent::Maybe`] does not.
//! [`Sent::InvalidResponse`] means that the server's response is unusable.

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
/// Used as a trait object, so that the owner's logic can be tested without sockets.
pub trait Dialer {
    /// Starts to connect and returns immediately; [`Event::Connected`] or
    /// [`Event::ConnectFailed`] is passed to `events` later.
    fn dial(&self, options: Options, events: EventHandler) -> Connection;
}
