//! Faults injected under load.

use std::{str::FromStr, thread, time::Duration};

use jasminepond_cluster::{Cluster, ClusterError, Signal};
use serde_json::{Value, json};

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One replica of the first shard is 20 times slower.
    SlowReplica,
    /// One replica of every tenth shard crashes.
    LostReplicas,
    /// All servers of one zone crash.
    LostZone,
    /// One daemon is suspended for 5 s and resumed.
    Pause,
    /// The first ten servers stop responding, with their connections left open.
    Silent,
    /// All daemons are gracefully restarted, one after the other.
    Rolling,
}

const ALL: [(Fault, &str); 7] = [
    (Fault::None, "none"),
    (Fault::SlowReplica, "slow-replica"),
    (Fault::LostReplicas, "lost-replicas"),
    (Fault::LostZone, "lost-zone"),
    (Fault::Pause, "pause"),
    (Fault::Silent, "silent"),
    (Fault::Rolling, "rolling"),
];

impl Fault {
    /// Name on the command line and in tables.
    pub fn name(self) -> &'static str {
        ALL.iter()
            .find(|(fault, _)| *fault == self)
            .map_or("", |(_, name)| name)
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = ALL.iter().find(|(_, name)| *name == text);
        found
            .map(|(fault, _)| *fault)
            .ok_or_else(|| format!("unknown fault {text:?}"))
    }
}

/// Delay of the fault after the start of the measured part.
const FAULT_DELAY: Duration = Duration::from_millis(1_500);

/// How long a daemon is suspended.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// Servers of `group`, in the order of its shards, first replica first.
fn servers(specs: &Value, group: &str) -> Vec<(String, String)> {
    let of_group = |spec: &&Value| spec["group"] == group;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let all = specs["servers"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(of_group);
    all.map(|spec| (text(&spec["id"]), text(&spec["zone"])))
        .collect()
}

impl Fault {
    /// Injects the fault. Returns once it is in effect; for a pause or a rolling restart,
    /// once that is over.
    ///
    /// # Errors
    ///
    /// A stand-in server does not respond, or a daemon cannot be signalled.
    pub fn apply(
        self,
        cluster: &mut Cluster,
        specs: &Value,
        group: &str,
    ) -> Result<(), ClusterError> {
        thread::sleep(FAULT_DELAY);
        let servers = servers(specs, group);
        let down = json!({"down": true});
        match self {
            Self::None => {}
            Self::SlowReplica => {
                cluster.patch_backend(&servers[0].0, &json!({"slow_factor": 20.0}))?;
            }
            Self::LostReplicas => {
                for (server, _) in servers.iter().step_by(20) {
                    cluster.patch_backend(server, &down)?;
                }
            }
            Self::LostZone => {
                let zone = servers[0].1.clone();
                for (server, _) in servers.iter().filter(|(_, z)| *z == zone) {
                    cluster.patch_backend(server, &down)?;
                }
            }
            Self::Pause => {
                let paused = &cluster.nodes[1].process;
                paused.signal(Signal::STOP)?;
                thread::sleep(PAUSE_DURATION);
                paused.signal(Signal::CONT)?;
            }
            Self::Silent => {
                for (server, _) in servers.iter().take(10) {
                    cluster.patch_backend(server, &json!({"silent": true}))?;
                }
            }
            Self::Rolling => {
                for number in 0..cluster.nodes.len() {
                    cluster.stop_node(number)?;
                    cluster.restart(number)?;
                    cluster.wait_until_joined()?;
                }
            }
        }
        Ok(())
    }
}
