//! Load that servers state in their responses.

use std::str::FromStr;

/// Load of a server at the time of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that the server works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the server works on at most; at least one.
    pub slots: u32,
    /// How long work takes on its machine at this moment; 100 is as usual.
    pub work_percent: u32,
}

/// A stated load is not four numbers, or has no slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidServerLoad;

impl FromStr for ServerLoad {
    type Err = InvalidServerLoad;

    /// Parses the numbers of running and waiting requests and of slots, and the duration of
    /// work in percent of the usual one, separated by commas.
    ///
    /// ```
    /// use jasminepond_forward::{InvalidServerLoad, ServerLoad};
    ///
    /// let load: ServerLoad = "3, 0,4,130".parse().unwrap();
    /// assert_eq!((load.running, load.slots, load.work_percent), (3, 4, 130));
    /// assert_eq!("3,0,4".parse::<ServerLoad>(), Err(InvalidServerLoad));
    /// assert_eq!("-3,0,4,100".parse::<ServerLoad>(), Err(InvalidServerLoad));
    /// assert_eq!("3,0,0,100".parse::<ServerLoad>(), Err(InvalidServerLoad));
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(',').map(number);
        let mut next = || fields.next().flatten().ok_or(InvalidServerLoad);
        let load = Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            work_percent: next()?,
        };
        match fields.next() {
            None if load.slots > 0 => Ok(load),
            _ => Err(InvalidServerLoad),
        }
    }
}

/// Parses digits only: `parse` alone would accept a sign.
fn number(field: &str) -> Option<u32> {
    let field = field.trim_matches([' ', '\t']);
    let digits = field.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| field.parse().ok()).flatten()
}

/// What a response states about the load of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedLoad {
    /// The load.
    Load(ServerLoad),
    /// The value is malformed.
    Invalid,
}
