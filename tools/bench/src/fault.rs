//! Faults that are applied while the load runs.

use std::{str::FromStr, thread, time::Duration};

use jasminepond_cluster::{Cluster, ClusterError, Signal};
use serde_json::{Value, json};

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// One replica of the first shard is 20 times slower.
    SlowReplica,
    /// One replica of every tenth shard is lost without warning.
    LostReplicas,
    /// All servers of one zone are lost.
    LostZone,
    /// One daemon is stopped for 5 s and continued.
    Pause,
    /// All open connections of the first ten servers go silent.
    Silent,
    /// Every daemon is stopped gracefully and started again, one by one.
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
    /// Its name on the command line and in tables.
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

/// Time after the start of the measured part at which a fault begins.
const BEGIN: Duration = Duration::from_millis(1_500);

/// How long a paused daemon stands still.
const PAUSE: Duration = Duration::from_secs(5);

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
    /// Applies the fault. Returns when it has been applied, for a pause or a
    /// rolling restart when it is over.
    ///
    /// # Errors
    ///
    /// A stand-in does not answer or a daemon cannot be signalled.
    pub fn apply(
        self,
        cluster: &mut Cluster,
        specs: &Value,
        group: &str,
    ) -> Result<(), ClusterError> {
        thread::sleep(BEGIN);
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
                thread::sleep(PAUSE);
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
