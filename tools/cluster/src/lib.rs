//! Starts the daemons of a deployment and the stand-ins around them as separate
//! processes on loopback, for the demo and for tests.
//!
//! Every process listens on ports that the system chooses, so that several
//! clusters run side by side. The published configuration is the deployment's
//! folder with one more file that holds the addresses.

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
pub use http::{call, text};
pub use process::{Process, Signal};

pub use relay::Relay;

/// A cluster could not be started or asked.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A file or process failed.
    #[error("{what}: {source}")]
    Io {
        /// What was being done.
        what: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The deployment's folder has mistakes.
    #[error("the deployment has mistakes: {0}")]
    Deployment(String),
    /// A process did not say on which addresses it listens.
    #[error("{0} did not print its addresses")]
    NoAddresses(String),
    /// A process did not answer as expected.
    #[error("{address}{path}: {cause}")]
    Http {
        /// Whom.
        address: SocketAddr,
        /// What.
        path: String,
        /// Why.
        cause: String,
    },
    /// A condition did not come true within the time limit.
    #[error("timed out waiting for: {0}")]
    Timeout(String),
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ClusterError {
    let what = what.into();
    move |source| ClusterError::Io { what, source }
}

/// How to start a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Folder of the deployment's configuration.
    pub deployment: PathBuf,
    /// Daemons, spread over the zones in turn.
    pub daemons: usize,
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Scratch folder for settings, logs and server specifications.
    pub scratch: PathBuf,
    /// Service times of the backend servers.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// More configuration, merged last.
    pub overrides: Value,
    /// Log level of the daemons.
    pub log_level: String,
    /// Whether daemons reach each other through relays, for network faults.
    pub relayed: bool,
}

impl Options {
    /// A cluster of 6 daemons for the deployment in `deployment`, with programs
    /// beside the running one.
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

/// The folder that holds the programs of this build. Test programs lie one
/// level deeper than the others.
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

/// Builds the programs in the profile of the running one and returns their
/// folder. Cargo builds only the programs of the package that it runs or tests.
///
/// # Errors
///
/// Cargo cannot be run or the build fails.
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
    let status = command.status().map_err(io("cargo build"))?;
    if status.success() {
        return Ok(folder);
    }
    let failed = std::io::Error::other(status.to_string());
    Err(io("cargo build")(failed))
}

/// Addresses of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// One daemon of the cluster.
#[derive(Debug)]
pub struct Node {
    /// Its instance.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// Its addresses.
    pub addresses: Addresses,
    /// Address to which other daemons send datagrams.
    pub membership: Value,
    /// Its process.
    pub process: Process,
}

/// Daemons and stand-ins that run.
#[derive(Debug)]
pub struct Cluster {
    options: Options,
    deployment: Deployment,
    /// Address of the platform.
    pub platform: SocketAddr,
    platform_control: SocketAddr,
    backend_control: SocketAddr,
    /// File with the specifications of the backend servers and their addresses.
    pub servers_file: PathBuf,
    /// The daemons, some of which may have ended.
    pub nodes: Vec<Node>,
    _platform: Process,
    _backend: Process,
    relay: Option<Relay>,
}

/// Threads of the process that stands in for all backend servers. One thread
/// alone limits the load to about 5,000 sub-requests a second.
const BACKEND_THREADS: usize = 3;

/// Longest wait for a condition. It bounds a failing run; a passing one waits
/// only for the event.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// Waits until `condition` gives a value.
///
/// # Errors
///
/// [`ClusterError::Timeout`] if it does not within a minute.
pub fn wait_for<T>(
    what: &str,
    mut condition: impl FnMut() -> Option<T>,
) -> Result<T, ClusterError> {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return Ok(value);
        }
        if start.elapsed() > WAIT_LIMIT {
            return Err(ClusterError::Timeout(what.to_owned()));
        }
        std::thread::sleep(WAIT_POLL);
    }
}

fn address(bound: &Value, name: &str, program: &str) -> Result<SocketAddr, ClusterError> {
    let text = bound[name].as_str().and_then(|text| text.parse().ok());
    text.ok_or_else(|| ClusterError::NoAddresses(program.to_owned()))
}

impl Cluster {
    /// Starts everything and waits until all daemons are ready and know each
    /// other.
    ///
    /// # Errors
    ///
    /// A program cannot be started, or the daemons do not become ready.
    pub fn start(options: Options) -> Result<Self, ClusterError> {
        std::fs::create_dir_all(&options.scratch).map_err(io("scratch folder"))?;
        let deployment = Deployment::load(&options.deployment)?;
        let servers_file = options.scratch.join("servers.json");
        let specs = deployment.server_specs(&options.service_time, options.seed);
        write(&servers_file, &specs)?;
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
        let backend_control = address(&backend.bound, "control", "standin-backend")?;
        let specs = deployment.with_addresses(specs, &backend.bound["servers"]);
        write(&servers_file, &specs)?;

        let published = options.scratch.join("published");
        deployment.publish(&published, &backend.bound["servers"], &options.overrides)?;
        let platform = Process::start(
            &options.programs,
            "standin-platform",
            ["--dir".into(), published.into()],
            &options.scratch.join("platform.log"),
        )?;
        let platform_at = address(&platform.bound, "platform", "standin-platform")?;
        let platform_control = address(&platform.bound, "control", "standin-platform")?;
        let mut cluster = Self {
            deployment,
            platform: platform_at,
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
        for number in 0..cluster.options.daemons {
            let node = cluster.start_node(number)?;
            cluster.nodes.push(node);
        }
        cluster.wait_until_joined()?;
        Ok(cluster)
    }

    fn start_node(&self, number: usize) -> Result<Node, ClusterError> {
        let instance = format!("entry-{}", number + 1);
        let (zone, region) = self.deployment.zone(number);
        let relay = self.relay.as_ref();
        let advertise = relay.map(|relay| relay.open(&instance)).transpose()?;
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
        write(&file, &settings)?;
        let log = self.options.scratch.join(format!("{instance}.log"));
        let args = ["serve".into(), "--settings".into(), file.into()];
        let process = Process::start(&self.options.programs, "jasminepond", args, &log)?;
        if let Some(relay) = &self.relay {
            relay.lead(&instance, &process.bound)?;
        }
        let membership = match &advertise {
            Some(advertise) => advertise["membership"].clone(),
            None => process.bound["membership"].clone(),
        };
        let addresses = Addresses {
            callers: address(&process.bound, "callers", "jasminepond")?,
            operators: address(&process.bound, "operators", "jasminepond")?,
        };
        let node = Node {
            instance,
            zone,
            addresses,
            membership,
            process,
        };
        self.list(&node, "live")?;
        Ok(node)
    }

    /// Publishes the state of a daemon in the instance list.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn list(&self, node: &Node, state: &str) -> Result<(), ClusterError> {
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
    /// The stand-in does not answer.
    pub fn list_server(&self, server: &str, state: &str) -> Result<(), ClusterError> {
        // The tier takes only the state from the list, not the address.
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

    /// Sets faults between the daemons of a relayed cluster, see `standin-relay`:
    /// on routes to the listeners `peers` or `membership`, or to both with `*`.
    ///
    /// # Errors
    ///
    /// The cluster has no relay, or it does not answer.
    pub fn network(&self, listener: &str, patch: &Value) -> Result<(), ClusterError> {
        let Some(relay) = &self.relay else {
            return Err(ClusterError::NoAddresses("standin-relay".to_owned()));
        };
        if listener == "*" {
            return relay.patch("*", patch);
        }
        let mut nodes = self.nodes.iter();
        nodes.try_for_each(|node| relay.patch(&format!("{}-{listener}", node.instance), patch))
    }

    /// Starts a daemon again under the same instance.
    ///
    /// # Errors
    ///
    /// It cannot be started.
    pub fn restart(&mut self, number: usize) -> Result<(), ClusterError> {
        let node = self.start_node(number)?;
        self.nodes[number] = node;
        Ok(())
    }

    /// Asks a daemon to stop and waits until it has.
    ///
    /// # Errors
    ///
    /// It does not end within a minute.
    pub fn stop_node(&mut self, number: usize) -> Result<ExitStatus, ClusterError> {
        let node = &mut self.nodes[number];
        node.process.signal(Signal::TERM)?;
        node.process.wait()
    }

    /// The state of a daemon as its operators see it.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub fn status(&self, number: usize) -> Result<Value, ClusterError> {
        call(self.nodes[number].addresses.operators, "/status", None)
    }

    /// Waits until every daemon is ready and sees all others alive.
    ///
    /// # Errors
    ///
    /// They are not within a minute.
    pub fn wait_until_joined(&self) -> Result<(), ClusterError> {
        let expected = self.nodes.len();
        wait_for("all daemons ready and joined", || {
            let joined = |number| {
                let status = self.status(number).ok()?;
                let alive = alive(&status);
                (status["readiness"] == "ready" && alive == expected).then_some(())
            };
            (0..expected).try_for_each(joined)
        })
    }

    /// Configuration revision of every daemon that answers.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        let revision = |number: usize| {
            let status = self.status(number).ok()?;
            let revision = status["config"]["revision"].as_u64()?;
            Some((self.nodes[number].instance.clone(), revision))
        };
        (0..self.nodes.len()).filter_map(revision).collect()
    }

    /// Publishes files as one revision and returns its number.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn publish(&self, put: &Value) -> Result<u64, ClusterError> {
        let reply = call(
            self.platform_control,
            "/revisions",
            Some(&json!({ "put": put })),
        )?;
        let revision = reply["revision"].as_u64();
        revision.ok_or_else(|| ClusterError::Http {
            address: self.platform_control,
            path: "/revisions".to_owned(),
            cause: reply.to_string(),
        })
    }

    /// Changes modes of the platform.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn platform_modes(&self, patch: &Value) -> Result<Value, ClusterError> {
        call(self.platform_control, "/modes", Some(patch))
    }

    /// Calls counted by the platform.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn platform_counters(&self) -> Result<Value, ClusterError> {
        call(self.platform_control, "/counters", None)
    }

    /// Changes modes of a backend server, of all with `*`.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn backend(&self, server: &str, patch: &Value) -> Result<Value, ClusterError> {
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
    /// The stand-in does not answer.
    pub fn backend_counters(&self) -> Result<Value, ClusterError> {
        call(self.backend_control, "/counters", None)
    }

    /// Executions per request key.
    ///
    /// # Errors
    ///
    /// The stand-in does not answer.
    pub fn executions(&self) -> Result<Value, ClusterError> {
        call(self.backend_control, "/executions?all=1", None)
    }

    /// Address of the backend servers' control endpoint.
    pub fn backend_control(&self) -> SocketAddr {
        self.backend_control
    }

    /// Callers' addresses of all daemons.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect()
    }
}

/// Daemons that a daemon sees alive.
pub fn alive(status: &Value) -> usize {
    let members = status["config"]["members"].as_array();
    members
        .into_iter()
        .flatten()
        .filter(|member| member["state"] == "alive")
        .count()
}

pub(crate) fn write(path: &Path, value: &Value) -> Result<(), ClusterError> {
    std::fs::write(path, format!("{value:#}\n")).map_err(io(path.display().to_string()))
}
