//! Loads a deployment folder and derives the input files of the stand-ins from it.

use std::{collections::BTreeMap, path::Path};

use jasminepond_config::{Config, Files, load_folder};
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::{ClusterError, io_error, write_json};

/// Lognormal service times of the backend servers.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceTime {
    /// Median in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Fraction of requests that are slow.
    pub slow_share: f64,
    /// Factor on the service time of slow requests.
    pub slow_factor: f64,
}

impl Default for ServiceTime {
    /// Mean 10.9 ms; 1 % of the requests take ten times as long.
    fn default() -> Self {
        Self {
            median_ms: 9.6,
            sigma: 0.3,
            slow_share: 0.01,
            slow_factor: 10.0,
        }
    }
}

/// A deployment's configuration.
#[derive(Debug, Clone)]
pub struct Deployment {
    files: Files,
    config: Config,
}

impl Deployment {
    /// Loads the deployment from a folder.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Deployment`] with the first mistake that was found.
    pub fn load(folder: &Path) -> Result<Self, ClusterError> {
        let mistake = |mistakes: Vec<jasminepond_config::Mistake>| {
            let first = mistakes
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            ClusterError::Deployment(format!("{}: {first}", folder.display()))
        };
        let files = load_folder(folder).map_err(mistake)?;
        let config = Config::from_files(&files).map_err(mistake)?;
        Ok(Self { files, config })
    }

    /// The merged configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Zone and region of the daemon with this index; zones are assigned round-robin.
    pub fn zone(&self, index: usize) -> (String, String) {
        let zones: Vec<_> = self.config.zones.iter().collect();
        let (zone, settings) = zones[index % zones.len()];
        (zone.to_string(), settings.region.to_string())
    }

    /// Specifications of all backend servers, as read by the backend stand-in.
    pub fn server_specs(&self, service_time: &ServiceTime, seed: u64) -> Value {
        let mut assigned: BTreeMap<&str, (String, Vec<String>, Vec<u64>)> = BTreeMap::new();
        for (group, settings) in &self.config.groups {
            for snapshot in &settings.snapshots {
                for (service, replicas) in &snapshot.services {
                    for server in replicas {
                        let entry = assigned.entry(server.as_str()).or_default();
                        entry.0 = group.to_string();
                        entry.1.push(service.to_string());
                        entry.2.push(snapshot.version.get());
                    }
                }
            }
            for server in &settings.servers {
                assigned.entry(server.as_str()).or_default().0 = group.to_string();
            }
        }
        let spec = |(id, server): (&jasminepond_types::ServerId, &jasminepond_config::Server)| {
            let (group, shards, versions) = assigned.get(id.as_str()).cloned().unwrap_or_default();
            let versions = if versions.is_empty() {
                vec![1]
            } else {
                versions
            };
            json!({
                "id": id,
                "group": group,
                "zone": server.zone,
                "shards": shards,
                "slots": server.slots,
                "connection_limit": server.connection_limit,
                "connect_cost_ms": server.connect_cost_ms,
                "versions": versions,
                "service_time": service_time,
                "seed": seed,
            })
        };
        let servers: Vec<Value> = self.config.servers.iter().map(spec).collect();
        json!({ "servers": servers })
    }

    /// Adds the listen addresses of the stand-in to the specifications.
    pub fn with_addresses(&self, mut specs: Value, bound: &Value) -> Value {
        for spec in specs["servers"].as_array_mut().into_iter().flatten() {
            let id = spec["id"].as_str().unwrap_or_default().to_owned();
            spec["address"] = bound[&id].clone();
        }
        specs
    }

    /// Writes the folder to publish: the files of the deployment, a file with the
    /// addresses and a file with the overrides.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn publish(
        &self,
        folder: &Path,
        bound: &Value,
        overrides: &Value,
    ) -> Result<(), ClusterError> {
        std::fs::create_dir_all(folder).map_err(io_error("published folder"))?;
        for (name, bytes) in &self.files {
            std::fs::write(folder.join(name), bytes).map_err(io_error(name.clone()))?;
        }
        let address =
            |(id, address): (&String, &Value)| (id.clone(), json!({ "address": address }));
        let servers: Map<String, Value> = bound
            .as_object()
            .into_iter()
            .flatten()
            .map(address)
            .collect();
        write_json(
            &folder.join("95-addresses.json"),
            &json!({ "servers": servers }),
        )?;
        write_json(&folder.join("99-overrides.json"), overrides)
    }
}
