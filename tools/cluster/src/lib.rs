//! Starts the daemons of a deployment and the stand-ins around them as separate
//! processes on loopback, for the demo and for tests.
//!
//! Every process listens on ports assigned by the operating system, so that several
//! clusters can run at the same time. The published configuration consists of the
//! files of the deployment folder, one file with the addresses of the backend
//! servers and one with the overrides.

mod deployment;
mod http;
mod process;
mod relay;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

pub use deployment::{Deployment, ServiceTime};
pub use http::{call, call_text};
pub use process::{Process, Signal};

pub use relay::Relay;

/// An error while starting or controlling a cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An operation on a file or process failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The deployment folder is invalid.
    #[error("the deployment has mistakes: {0}")]
    Deployment(String),
    /// A process did not print its listen addresses.
    #[error("{0} did not print its addresses")]
    NoAddresses(String),
    /// An HTTP request failed or its response was unexpected.
    #[error("{address}{path}: {cause}")]
    Http {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the request.
        path: String,
        /// The cause.
        cause: String,
    },
    /// A condition was not met within the time limit.
    #[error("timed out waiting for: {0}")]
    Timeout(String),
}

pub(crate) fn io_error(
    operation: impl Into<String>,
) -> impl FnOnce(std::io::Error) -> ClusterError {
    let operation = operation.into();
    move |source| ClusterError::Io { operation, source }
}

/// Settings of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Folder of the deployment's configuration.
    pub deployment: PathBuf,
    /// Number of daemons, assigned to the zones round-robin.
    pub daemons: usize,
    /// Folder with the compiled programs.
    pub programs: PathBuf,
    /// Scratch folder for settings, logs and server specifications.
    pub scratch: PathBuf,
    /// Service times of the backend servers.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Additional configuration, merged last.
    pub overrides: Value,
    /// Log level of the daemons.
    pub log_level: String,
    /// Whether traffic between daemons passes through a relay, which can inject
    /// network faults.
    pub relayed: bool,
}

impl Options {
    /// Settings for a cluster of 6 daemons with the deployment in `deployment` and
    /// the programs of [`programs_folder`].
    pub fn new(deployment: impl Into<PathBuf>, scratch: impl Into<PathBuf>) -> Self {
        Self {
            deployment: deployment.into(),
            daemons: 6,
            programs: programs_folder(),
            scratch: scratch.into(),
            service_time: ServiceTime::default(),
            seed: 1,
            overrides: json!({}),
            log_level: "info".to_owned(),
            relayed: false,
        }
    }
}

/// The folder with the programs of this build. Test and example executables are
/// one level below it.
pub fn programs_folder() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    let folder = program.parent().map(Path::to_owned).unwrap_or_default();
    match folder.file_name() {
        Some(name) if name == "deps" || name == "examples" => {
            folder.parent().map(Path::to_owned).unwrap_or_default()
        }
        _ => folder,
    }
}

/// Packages whose programs a cluster starts.
const PROGRAMS: [&str; 5] = [
    "jasminepond",
    "standin-backend",
    "standin-platform",
    "standin-relay",
    "jasminepond-load",
];

/// Builds the programs with the profile of the running executable and returns their
/// folder. Needed because `cargo run` and `cargo test` build only the programs of
/// the selected package.
///
/// # Errors
///
/// Cargo cannot be started or the build fails.
pub fn build_programs() -> Result<PathBuf, ClusterError> {
    let folder = programs_folder();
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--bins"]);
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command.args(PROGRAMS.iter().flat_map(|package| ["-p", *package]));
    if let Some(target) = folder.parent() {
        command.arg("--target-dir").arg(target);
    }
    if folder.file_name().is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    let status = command.status().map_err(io_error("cargo build"))?;
    if status.success() {
        return Ok(folder);
    }
    let failed = std::io::Error::other(status.to_string());
    Err(io_error("cargo build")(failed))
}

/// Addresses of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// One daemon of the cluster.
#[derive(Debug)]
pub struct Node {
    /// Instance id.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Listen addresses.
    pub addresses: Addresses,
    /// Address to which other daemons send membership datagrams.
    pub membership: Value,
    /// Child process.
    pub process: Process,
}

/// A running cluster: daemons and stand-ins.
#[derive(Debug)]
pub struct Cluster {
    options: Options,
    deployment: Deployment,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    platform_control: SocketAddr,
    backend_control: SocketAddr,
    /// File with the specifications of the backend servers and their addresses.
    pub servers_file: PathBuf,
    /// The daemons, including those that have exited.
    pub nodes: Vec<Node>,
    _platform: Process,
    _backend: Process,
    relay: Option<Relay>,
}

/// Threads of the backend stand-in, one process for all backend servers. A single
/// thread handles at most about 5,000 sub-requests per second.
const BACKEND_THREADS: usize = 3;

/// Time limit for a condition. Reached only by failing runs.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Interval at which a condition is polled.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value.
///
/// # Errors
///
/// [`ClusterError::Timeout`] after one minute.
pub fn wait_for<T>(
    description: &str,
    mut condition: impl FnMut() -> Option<T>,
) -> Result<T, ClusterError> {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return Ok(value);
        }
        if start.elapsed() > WAIT_LIMIT {
            return Err(ClusterError::Timeout(description.to_owned()));
        }
        std::thread::sleep(WAIT_POLL);
    }
}

fn bound_address(bound: &Value, name: &str, program: &str) -> Result<SocketAddr, ClusterError> {
    let text = bound[name].as_str().and_then(|text| text.parse().ok());
    text.ok_or_else(|| ClusterError::NoAddresses(program.to_owned()))
}

impl Cluster {
    /// Starts all processes and waits until every daemon is ready and sees all
    /// others alive.
    ///
    /// # Errors
    ///
    /// A program cannot be started, or the daemons do not become ready.
    pub fn start(options: Options) -> Result<Self, ClusterError> {
        std::fs::create_dir_all(&options.scratch).map_err(io_error("scratch folder"))?;
        let deployment = Deployment::load(&options.deployment)?;
        let servers_file = options.scratch.join("servers.json");
        let specs = deployment.server_specs(&options.service_time, options.seed);
        write_json(&servers_file, &specs)?;
        let backend = Process::start(
            &options.programs,
            "standin-backend",
            [
                "--config".into(),
                servers_file.clone().into(),
                "--threads".into(),
                BACKEND_THREADS.to_string().into(),
            ],
            &options.scratch.join("backend.log"),
        )?;
        let backend_control = bound_address(&backend.bound, "control", "standin-backend")?;
        let specs = deployment.with_addresses(specs, &backend.bound["servers"]);
        write_json(&servers_file, &specs)?;

        let published = options.scratch.join("published");
        deployment.publish(&published, &backend.bound["servers"], &options.overrides)?;
        let platform = Process::start(
            &options.programs,
            "standin-platform",
            ["--dir".into(), published.into()],
            &options.scratch.join("platform.log"),
        )?;
        let platform_address = bound_address(&platform.bound, "platform", "standin-platform")?;
        let platform_control = bound_address(&platform.bound, "control", "standin-platform")?;
        let mut cluster = Self {
            deployment,
            platform: platform_address,
            platform_control,
            backend_control,
            servers_file,
            nodes: Vec::new(),
            _platform: platform,
            _backend: backend,
            relay: None,
            options,
        };
        if cluster.options.relayed {
            let options = &cluster.options;
            cluster.relay = Some(Relay::start(&options.programs, &options.scratch)?);
        }
        for index in 0..cluster.options.daemons {
            let node = cluster.start_node(index)?;
            cluster.nodes.push(node);
        }
        cluster.wait_until_joined()?;
        Ok(cluster)
    }

    fn start_node(&self, index: usize) -> Result<Node, ClusterError> {
        let instance = format!("entry-{}", index + 1);
        let (zone, region) = self.deployment.zone(index);
        let relay = self.relay.as_ref();
        let advertise = relay
            .map(|relay| relay.open_daemon_routes(&instance))
            .transpose()?;
        let settings = json!({
            "instance": instance,
            "zone": zone,
            "region": region,
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "membership": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "advertise": advertise.clone().unwrap_or_else(|| json!({})),
            "platform": [self.platform],
            "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"],
            "log": {"level": self.options.log_level, "format": "text"},
        });
        let file = self.options.scratch.join(format!("{instance}.json"));
        write_json(&file, &settings)?;
        let log = self.options.scratch.join(format!("{instance}.log"));
        let args = ["serve".into(), "--settings".into(), file.into()];
        let process = Process::start(&self.options.programs, "jasminepond", args, &log)?;
        if let Some(relay) = &self.relay {
            relay.set_daemon_targets(&instance, &process.bound)?;
        }
        let membership = match &advertise {
            Some(advertise) => advertise["membership"].clone(),
            None => process.bound["membership"].clone(),
        };
        let addresses = Addresses {
            callers: bound_address(&process.bound, "callers", "jasminepond")?,
            operators: bound_address(&process.bound, "operators", "jasminepond")?,
        };
        let node = Node {
            instance,
            zone,
            addresses,
            membership,
            process,
        };
        self.set_listed_state(&node, "live")?;
        Ok(node)
    }

    /// Publishes the state of a daemon in the instance list.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn set_listed_state(&self, node: &Node, state: &str) -> Result<(), ClusterError> {
        let entry = json!({
            "id": node.instance,
            "role": "daemon",
            "zone": node.zone,
            "address": node.membership,
            "state": state,
        });
        let path = format!("/instances/{}", node.instance);
        call(self.platform_control, &path, Some(&entry)).map(drop)
    }

    /// Publishes the state of a backend server in the instance list.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn set_listed_server_state(&self, server: &str, state: &str) -> Result<(), ClusterError> {
        // Daemons read only the state of a backend server from the list, not its address.
        let entry = json!({
            "id": server,
            "role": "backend",
            "zone": "unknown",
            "address": "127.0.0.1:1",
            "state": state,
        });
        let path = format!("/instances/{server}");
        call(self.platform_control, &path, Some(&entry)).map(drop)
    }

    /// Changes the network faults between the daemons of a relayed cluster, see
    /// `standin-relay`. `listener` selects the routes to `peers` or `membership`
    /// listeners; `*` selects both.
    ///
    /// # Errors
    ///
    /// The cluster has no relay, or the relay does not respond.
    pub fn patch_network(&self, listener: &str, patch: &Value) -> Result<(), ClusterError> {
        let Some(relay) = &self.relay else {
            return Err(ClusterError::NoAddresses("standin-relay".to_owned()));
        };
        if listener == "*" {
            return relay.patch("*", patch);
        }
        let mut nodes = self.nodes.iter();
        nodes.try_for_each(|node| relay.patch(&format!("{}-{listener}", node.instance), patch))
    }

    /// Restarts a daemon with the same instance id.
    ///
    /// # Errors
    ///
    /// The daemon cannot be started.
    pub fn restart(&mut self, index: usize) -> Result<(), ClusterError> {
        let node = self.start_node(index)?;
        self.nodes[index] = node;
        Ok(())
    }

    /// Sends SIGTERM to a daemon and waits until it has exited.
    ///
    /// # Errors
    ///
    /// The daemon does not exit within one minute.
    pub fn stop_node(&mut self, index: usize) -> Result<ExitStatus, ClusterError> {
        let node = &mut self.nodes[index];
        node.process.signal(Signal::TERM)?;
        node.process.wait()
    }

    /// The status page of a daemon.
    ///
    /// # Errors
    ///
    /// The daemon does not respond.
    pub fn status(&self, index: usize) -> Result<Value, ClusterError> {
        call(self.nodes[index].addresses.operators, "/status", None)
    }

    /// Waits until every daemon is ready and sees all others alive.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] after one minute.
    pub fn wait_until_joined(&self) -> Result<(), ClusterError> {
        let expected = self.nodes.len();
        wait_for("all daemons ready and joined", || {
            let joined = |index| {
                let status = self.status(index).ok()?;
                let alive = count_alive(&status);
                (status["readiness"] == "ready" && alive == expected).then_some(())
            };
            (0..expected).try_for_each(joined)
        })
    }

    /// Configuration revision of every daemon that responds, by instance id.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        let revision = |index: usize| {
            let status = self.status(index).ok()?;
            let revision = status["config"]["revision"].as_u64()?;
            Some((self.nodes[index].instance.clone(), revision))
        };
        (0..self.nodes.len()).filter_map(revision).collect()
    }

    /// Publishes files as one revision and returns the revision number.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn publish(&self, put: &Value) -> Result<u64, ClusterError> {
        let response = call(
            self.platform_control,
            "/revisions",
            Some(&json!({ "put": put })),
        )?;
        let revision = response["revision"].as_u64();
        revision.ok_or_else(|| ClusterError::Http {
            address: self.platform_control,
            path: "/revisions".to_owned(),
            cause: response.to_string(),
        })
    }

    /// Changes the modes of the platform.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn patch_platform(&self, patch: &Value) -> Result<Value, ClusterError> {
        call(self.platform_control, "/modes", Some(patch))
    }

    /// Call counters of the platform.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn platform_counters(&self) -> Result<Value, ClusterError> {
        call(self.platform_control, "/counters", None)
    }

    /// Changes the modes of a backend server; `*` selects all.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn patch_backend(&self, server: &str, patch: &Value) -> Result<Value, ClusterError> {
        call(
            self.backend_control,
            &format!("/servers/{server}"),
            Some(patch),
        )
    }

    /// Counters of the backend servers.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn backend_counters(&self) -> Result<Value, ClusterError> {
        call(self.backend_control, "/counters", None)
    }

    /// Number of executions by request key.
    ///
    /// # Errors
    ///
    /// The stand-in does not respond.
    pub fn executions(&self) -> Result<Value, ClusterError> {
        call(self.backend_control, "/executions?all=1", None)
    }

    /// Address of the backend servers' control endpoint.
    pub fn backend_control(&self) -> SocketAddr {
        self.backend_control
    }

    /// Addresses of all daemons' listeners for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect()
    }
}

/// Number of members that the daemon with this status sees as alive, itself
/// included.
pub fn count_alive(status: &Value) -> usize {
    let members = status["config"]["members"].as_array();
    members
        .into_iter()
        .flatten()
        .filter(|member| member["state"] == "alive")
        .count()
}

pub(crate) fn write_json(path: &Path, value: &Value) -> Result<(), ClusterError> {
    std::fs::write(path, format!("{value:#}\n")).map_err(io_error(path.display().to_string()))
}
