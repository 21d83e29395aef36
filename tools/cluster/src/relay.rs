//! A relay in front of listeners, for network faults.

use std::{net::SocketAddr, path::Path};

use serde_json::{Value, json};

use crate::{ClusterError, Process, address, http::call};

/// Leads nowhere until the daemon has bound its listeners.
const NOWHERE: &str = "127.0.0.1:1";

/// A relay process.
#[derive(Debug)]
pub struct Relay {
    control: SocketAddr,
    _process: Process,
}

impl Relay {
    /// Starts a relay without routes; `scratch` takes its log.
    ///
    /// # Errors
    ///
    /// The program does not start.
    pub fn start(programs: &Path, scratch: &Path) -> Result<Self, ClusterError> {
        let log = scratch.join("relay.log");
        let process = Process::start(programs, "standin-relay", [], &log)?;
        Ok(Self {
            control: address(&process.bound, "control", "standin-relay")?,
            _process: process,
        })
    }

    /// Opens a TCP route and returns the address that leads to `target`.
    ///
    /// # Errors
    ///
    /// The relay does not answer.
    pub fn route(&self, id: &str, target: SocketAddr) -> Result<SocketAddr, ClusterError> {
        let route = json!({"id": id, "protocol": "tcp", "target": target});
        let routes = call(self.control, "/routes", Some(&route))?;
        address(&routes[id], "address", "standin-relay")
    }

    /// Opens the routes of a daemon, or finds those of its earlier run. Returns
    /// the addresses that it advertises.
    pub(crate) fn open(&self, instance: &str) -> Result<Value, ClusterError> {
        let mut advertise = json!({});
        for (name, protocol) in [("peers", "tcp"), ("membership", "udp")] {
            let id = format!("{instance}-{name}");
            let mut routes = call(self.control, "/routes", None)?;
            if routes[&id].is_null() {
                let route = json!({"id": id, "protocol": protocol, "target": NOWHERE});
                routes = call(self.control, "/routes", Some(&route))?;
            }
            advertise[name] = routes[&id]["address"].clone();
        }
        Ok(advertise)
    }

    /// Leads the routes of a daemon to its listeners.
    pub(crate) fn lead(&self, instance: &str, bound: &Value) -> Result<(), ClusterError> {
        for name in ["peers", "membership"] {
            let target = json!({ "target": bound[name] });
            self.patch(&format!("{instance}-{name}"), &target)?;
        }
        Ok(())
    }

    /// Changes a route, see `standin-relay`; `*` stands for every route.
    ///
    /// # Errors
    ///
    /// The relay does not answer.
    pub fn patch(&self, id: &str, patch: &Value) -> Result<(), ClusterError> {
        call(self.control, &format!("/routes/{id}"), Some(patch)).map(drop)
    }
}
