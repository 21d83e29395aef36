//! Choice of the daemon that grants the permits of a process.

use std::{net::SocketAddr, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ProcessId;

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Daemon {
    /// Instance on which the daemon runs.
    pub instance: Arc<str>,
    /// Address at which the daemon receives messages.
    pub address: SocketAddr,
    /// Whether membership considers the daemon running.
    pub running: bool,
}

/// Share of a limit that the backup grants.
const BACKUP_SHARE: f64 = 0.25;

/// A daemon that grants permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Coordinator {
    /// This daemon.
    Own,
    /// Another daemon.
    Other(Daemon),
}

/// The coordinator of a process and its backup.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Coordinators {
    pub(crate) first: Option<Coordinator>,
    pub(crate) backup: Option<Coordinator>,
}

/// The daemons as this one knows them.
#[derive(Debug, Default)]
pub(crate) struct Daemons {
    instance: Arc<str>,
    others: Vec<Daemon>,
    /// Whether this daemon is about to stop, and so grants no more permits.
    leaving: bool,
    /// Whether the other daemons are known.
    known: bool,
    /// Increased with each change.
    pub(crate) generation: u64,
}

impl Daemons {
    pub(crate) fn new(instance: Arc<str>) -> Self {
        Self {
            instance,
            ..Self::default()
        }
    }

    pub(crate) fn instance(&self) -> &Arc<str> {
        &self.instance
    }

    pub(crate) fn set_others(&mut self, others: Vec<Daemon>) {
        if !self.known || self.others != others {
            self.others = others;
            self.known = true;
            self.generation += 1;
        }
    }

    pub(crate) fn set_leaving(&mut self) {
        self.leaving = true;
        self.generation += 1;
    }

    /// The running daemons with the highest weights. There are none until the daemons are
    /// known: a daemon that considers itself alone would grant the whole limit.
    pub(crate) fn coordinators_of(&self, process: ProcessId) -> Coordinators {
        if !self.known {
            return Coordinators::default();
        }
        let weight = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), process.0);
        let others = self.others.iter().filter(|daemon| daemon.running);
        let others = others.map(|daemon| (weight(&daemon.instance), Some(daemon)));
        let own = (!self.leaving).then(|| (weight(&self.instance), None));
        let (mut first, mut backup) = (None, None);
        for candidate in others.chain(own) {
            if first.is_none_or(|(weight, _)| candidate.0 > weight) {
                backup = first.replace(candidate);
            } else if backup.is_none_or(|(weight, _)| candidate.0 > weight) {
                backup = Some(candidate);
            }
        }
        let coordinator = |(_, daemon): (_, Option<&Daemon>)| match daemon {
            Some(daemon) => Coordinator::Other(daemon.clone()),
            None => Coordinator::Own,
        };
        Coordinators {
            first: first.map(coordinator),
            backup: backup.map(coordinator),
        }
    }

    /// Share of the limit of a process that this daemon may grant. A minority of the
    /// daemons, as after a partition, grants only its part, since the others may grant the
    /// whole limit.
    pub(crate) fn own_share(&self, coordinators: &Coordinators) -> f64 {
        let share = match (&coordinators.first, &coordinators.backup) {
            (Some(Coordinator::Own), _) => 1.0,
            (_, Some(Coordinator::Own)) => BACKUP_SHARE,
            _ => 0.0,
        };
        let known = self.others.len() + 1;
        let running = self.others.iter().filter(|daemon| daemon.running).count() + 1;
        match running * 2 > known {
            true => share,
            false => share * running as f64 / known as f64,
        }
    }
}
