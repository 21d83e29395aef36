//! Identity of a server process.

use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tells the ids of limits of cold processes from those of stated ones.
const COLD_SEED: u64 = 0x636f_6c64;

/// Identifies a process of a backend server among all daemons. A limit ends with the
/// process, whose id or address may be used again.
///
/// ```
/// use jasminepond_ratelimit::ProcessId;
///
/// let address = "10.0.0.1:80".parse().unwrap();
/// let process = ProcessId::new("i-1", Some(5), address);
/// assert_eq!(process, ProcessId::new("i-1", Some(5), address));
/// assert_ne!(process, ProcessId::new("i-1", Some(6), address));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub(crate) u64);

impl ProcessId {
    /// The process of the server `id` that started at `started` and listens on `address`.
    pub fn new(id: &str, started: Option<u64>, address: SocketAddr) -> Self {
        Self(xxh3_64(format!("{id}\n{started:?}\n{address}").as_bytes()))
    }

    /// The process of a server as it is limited while it is cold. It is a separate process
    /// here, so that a response without a stated limit does not lift this limit, and daemons
    /// of builds that do not know of cold servers can grant its permits.
    ///
    /// ```
    /// use jasminepond_ratelimit::ProcessId;
    ///
    /// let process = ProcessId::new("i-1", None, "10.0.0.1:80".parse().unwrap());
    /// assert_ne!(process.while_cold(), process);
    /// assert_eq!(process.while_cold(), process.while_cold());
    /// ```
    pub fn while_cold(self) -> Self {
        Self(xxh3_64_with_seed(&self.0.to_be_bytes(), COLD_SEED))
    }

    /// Hash that all daemons agree on.
    pub fn hash(self) -> u64 {
        self.0
    }
}
