//! A relay in front of listeners that injects network faults.

use std::{net::SocketAddr, path::Path};

use serde_json::{Value, json};

use crate::{ClusterError, Process, bound_address, http::call};

/// Target of a daemon's routes until it has bound its listeners.
const PLACEHOLDER_TARGET: &str = "127.0.0.1:1";

/// A relay process.
#[derive(Debug)]
pub struct Relay {
    control: SocketAddr,
    _process: Process,
}

impl Relay {
    /// Starts a relay without routes. Its log is written to the folder `scratch`.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(programs: &Path, scratch: &Path) -> Result<Self, ClusterError> {
        let log = scratch.join("relay.log");
        let process = Process::start(programs, "standin-relay", [], &log)?;
        Ok(Self {
            control: bound_address(&process.bound, "control", "standin-relay")?,
            _process: process,
        })
    }

    /// Opens a TCP route to `target` and returns its listen address.
    ///
    /// # Errors
    ///
    /// The relay does not respond.
    pub fn open_route(&self, id: &str, target: SocketAddr) -> Result<SocketAddr, ClusterError> {
        let route = json!({"id": id, "protocol": "tcp", "target": target});
        let routes = call(self.control, "/routes", Some(&route))?;
        bound_address(&routes[id], "address", "standin-relay")
    }

    /// Opens the routes of a daemon, or reuses those of its previous run. Returns the
    /// addresses for the daemon to advertise.
    pub(crate) fn open_daemon_routes(&self, instance: &str) -> Result<Value, ClusterError> {
        let mut advertise = json!({});
        for (name, protocol) in [("peers", "tcp"), ("membership", "udp")] {
            let id = format!("{instance}-{name}");
            let mut routes = call(self.control, "/routes", None)?;
            if routes[&id].is_null() {
                let route = json!({"id": id, "protocol": protocol, "target": PLACEHOLDER_TARGET});
                routes = call(self.control, "/routes", Some(&route))?;
            }
            advertise[name] = routes[&id]["address"].clone();
        }
        Ok(advertise)
    }

    /// Sets the targets of a daemon's routes to its listeners.
    pub(crate) fn set_daemon_targets(
        &self,
        instance: &str,
        bound: &Value,
    ) -> Result<(), ClusterError> {
        for name in ["peers", "membership"] {
            let target = json!({ "target": bound[name] });
            self.patch(&format!("{instance}-{name}"), &target)?;
        }
        Ok(())
    }

    /// Changes a route, see `standin-relay`; `*` selects all routes.
    ///
    /// # Errors
    ///
    /// The relay does not respond.
    pub fn patch(&self, id: &str, patch: &Value) -> Result<(), ClusterError> {
        call(self.control, &format!("/routes/{id}"), Some(patch)).map(drop)
    }
}
