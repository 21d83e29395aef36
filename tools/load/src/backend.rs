//! Shard maps, addresses and counters of the backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::Path,
};

use serde::Deserialize;
use serde_json::Value;
use standin_backend::{Counters, ServerSpec, ServersFile};

use crate::{LoadError, plan::read_json};

/// One backend server.
#[derive(Debug, Clone)]
pub struct ServerInfo {
    /// Specification.
    pub spec: ServerSpec,
    /// Address.
    pub address: SocketAddr,
}

/// The servers of each group.
#[derive(Debug, Clone, Default)]
pub struct Servers {
    groups: BTreeMap<String, Vec<ServerInfo>>,
}

impl Servers {
    /// Groups servers that listen on the addresses in their specifications.
    pub fn new(specs: impl IntoIterator<Item = ServerSpec>) -> Self {
        let info = |spec: ServerSpec| ServerInfo {
            address: spec.address,
            spec,
        };
        Self::from_server_infos(specs.into_iter().map(info))
    }

    fn from_server_infos(infos: impl IntoIterator<Item = ServerInfo>) -> Self {
        let mut groups = BTreeMap::<String, Vec<ServerInfo>>::new();
        for info in infos {
            groups
                .entry(info.spec.group.clone())
                .or_default()
                .push(info);
        }
        Self { groups }
    }

    pub(crate) fn read(path: &Path) -> Result<Self, LoadError> {
        let file: ServersFile = read_json(path)?;
        Ok(Self::new(file.servers))
    }

    pub(crate) async fn fetch(controls: &[SocketAddr]) -> Result<Self, LoadError> {
        #[derive(Deserialize)]
        struct ServerDescription {
            address: SocketAddr,
            spec: ServerSpec,
        }
        let mut infos = Vec::new();
        for address in controls {
            let value = get(*address, "/servers").await?;
            let described: BTreeMap<String, ServerDescription> = serde_json::from_value(value)
                .map_err(|e| LoadError::Control {
                    address: *address,
                    reason: e.to_string(),
                })?;
            infos.extend(described.into_values().map(|d| ServerInfo {
                spec: d.spec,
                address: d.address,
            }));
        }
        Ok(Self::from_server_infos(infos))
    }

    /// Servers of a group.
    pub fn group(&self, group: &str) -> &[ServerInfo] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Shards of a group over all its servers; empty for an unknown group.
    pub fn shards(&self, group: &str) -> BTreeSet<String> {
        let servers = self.group(group).iter();
        servers
            .flat_map(|s| s.spec.shards.iter().cloned())
            .collect()
    }

    /// The newest version that any server of a group holds.
    pub fn newest_version(&self, group: &str) -> Option<u64> {
        let servers = self.group(group).iter();
        servers.flat_map(|s| s.spec.versions.iter().copied()).max()
    }
}

async fn get(address: SocketAddr, path: &str) -> Result<Value, LoadError> {
    let control_error = |reason: String| LoadError::Control { address, reason };
    match standin_http::get(address, path).await {
        Ok((200, value)) => Ok(value),
        Ok((status, _)) => Err(control_error(format!("status {status} for {path}"))),
        Err(e) => Err(control_error(e.to_string())),
    }
}

/// Fetches the sum of the counters of all servers.
pub(crate) async fn counters(controls: &[SocketAddr]) -> Result<Counters, LoadError> {
    let mut total = Counters::default();
    for address in controls {
        let value = get(*address, "/counters").await?;
        let part: Counters = serde_json::from_value(value["total"].clone()).unwrap_or_default();
        total += part;
    }
    Ok(total)
}

/// Fetches the number of executions per request key over all servers.
pub(crate) async fn executions(
    controls: &[SocketAddr],
) -> Result<BTreeMap<String, u64>, LoadError> {
    let mut all = BTreeMap::<String, u64>::new();
    for address in controls {
        let value = get(*address, "/executions?all=1").await?;
        let part: BTreeMap<String, u64> =
            serde_json::from_value(value["all"].clone()).unwrap_or_default();
        for (key, n) in part {
            *all.entry(key).or_default() += n;
        }
    }
    Ok(all)
}
