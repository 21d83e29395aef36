//! The gateway's processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{client::get, store::Door};

/// Ends the process when this one ends, also if that is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Addresses of one daemon.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub operators: SocketAddr,
    pub membership: SocketAddr,
}

/// Finds ports that are free on the addresses of this many daemons.
pub fn free_ports(daemons: usize) -> Result<Vec<Ports>, String> {
    let ips: Vec<IpAddr> = (1..=daemons)
        .map(|n| IpAddr::from([127, 0, 43, n as u8]))
        .collect();
    let free = |port: u16| {
        ips.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        })
    };
    let first = 14_000 + (std::process::id() % 900) as u16 * 16;
    let found: Vec<u16> = (first..first + 2_000)
        .filter(|p| free(*p))
        .take(4)
        .collect();
    let [a, b, c, d] = found[..] else {
        return Err("there are no free ports".to_owned());
    };
    let ports = |ip: &IpAddr| Ports {
        callers: SocketAddr::new(*ip, a),
        readiness: SocketAddr::new(*ip, b),
        operators: SocketAddr::new(*ip, c),
        membership: SocketAddr::new(*ip, d),
    };
    Ok(ips.iter().map(ports).collect())
}

/// One process.
pub struct Gateway {
    pub ports: Ports,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Folder for settings and logs, which is removed on drop unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("jasminepond-trial-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|err| err.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// What the platform fills into the template of the settings, as far as daemons differ.
pub struct Instance<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ports: Ports,
    pub seeds: &'a [SocketAddr],
    pub store: &'a Door,
}

impl Folder {
    /// Writes the settings of a daemon and returns the name of the file.
    pub fn write_settings(&self, instance: &Instance<'_>) -> Result<PathBuf, String> {
        let Instance {
            name,
            zone,
            ports,
            seeds,
            store,
        } = instance;
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            r#"{{"instance": "{name}", "zone": "{zone}", "region": "r", "cores": 0.25, "memory_mb": 260,
"callers": "{}", "readiness": "{}", "operators": "{}", "membership": "{}", "seeds": [{}],
"server_drain_ms": 5000, "store": {{"heartbeat_ms": 1200, "address": "{}"}},
"repeats": {{"share": 0.2, "slack": 54, "window_s": 10}}}}"#,
            ports.callers,
            ports.readiness,
            ports.operators,
            ports.membership,
            seeds.join(", "),
            store.address
        );
        let path = self.0.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|err| err.to_string())?;
        Ok(path)
    }
}

impl Gateway {
    pub fn start(folder: &Folder, instance: &Instance<'_>) -> Result<Self, String> {
        let (name, ports) = (instance.name, instance.ports);
        let path = folder.write_settings(instance)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.0.join(format!("{name}.log")))
            .map_err(|err| err.to_string())?;
        let mut command = Command::new("target/release/jasminepond");
        command.args(["gateway", "--settings"]).arg(&path);
        command.stdin(Stdio::null()).stdout(log);
        // SAFETY: the call is allowed between fork and exec, and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|err| format!("target/release/jasminepond: {err}"))?;
        Ok(Self { ports, child })
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let answer = get(self.ports.readiness, "/v1/ready", &[]);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("a daemon does not become ready".to_owned())
    }

    /// Sends a signal, for example `-HUP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }
}
