//! A child process that prints its listen addresses as one line of JSON.

use std::{
    ffi::OsString,
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

use rustix::process::{Pid, kill_process};
use serde_json::Value;

pub use rustix::process::Signal;

use crate::{ClusterError, io_error, wait_for};

/// A child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The addresses printed by the process.
    pub bound: Value,
}

impl Process {
    /// Starts a program and waits until it has printed its addresses.
    ///
    /// # Errors
    ///
    /// The program cannot be started, or exits without printing its addresses.
    pub fn start(
        folder: &Path,
        program: &str,
        args: impl IntoIterator<Item = OsString>,
        log: &Path,
    ) -> Result<Self, ClusterError> {
        let path = folder.join(program);
        let log = File::create(log).map_err(io_error(log.display().to_string()))?;
        let mut child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(io_error(path.display().to_string()))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout)
                .read_line(&mut line)
                .map_err(io_error(program))?;
        }
        match serde_json::from_str(&line) {
            Ok(bound) => Ok(Self { child, bound }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(ClusterError::NoAddresses(program.to_owned()))
            }
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<(), ClusterError> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        match pid {
            Some(pid) => kill_process(pid, signal).map_err(|err| io_error("signal")(err.into())),
            None => Ok(()),
        }
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] after one minute.
    pub fn wait(&mut self) -> Result<ExitStatus, ClusterError> {
        wait_for("a process to exit", || self.child.try_wait().ok().flatten())
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process paused with SIGSTOP. The exit status is not needed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
