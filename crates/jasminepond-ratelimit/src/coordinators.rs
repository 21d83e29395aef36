//! Choice of the daemon that grants the permits of a process.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use jasminepond_types::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{ProcessId, warm_up};

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

/// Share of a limit that the backup grants. In four seconds, with the permits of the half
/// second before, both together grant six times the limit per second.
pub(crate) const BACKUP_SHARE: f64 = 1.0 / 3.0;

/// Longest time between two messages of others in which a daemon considers itself in touch.
/// Shorter than the time after which others consider a silent daemon dead.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Number of daemons to which one daemon passes on a notice.
pub(crate) const FAN_OUT: usize = 8;

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
    /// When an uninterrupted series of messages of other daemons began, and when the last one
    /// arrived.
    heard: Option<(Timestamp, Timestamp)>,
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

    /// Records a message of another daemon.
    pub(crate) fn on_heard(&mut self, now: Timestamp) {
        let series = self
            .heard
            .filter(|(_, last)| now.since(*last) < MAX_SILENCE);
        let began = series.map_or(now, |(began, _)| began);
        self.heard = Some((began, now));
    }

    /// Whether others have sent messages without a long interruption. A daemon that was cut
    /// off or frozen does not know at first that others have replaced it.
    pub(crate) fn is_in_touch(&self, now: Timestamp) -> bool {
        let recent = |(began, last): (Timestamp, Timestamp)| {
            now.since(last) < MAX_SILENCE && now.since(began) >= warm_up::HOLD_OFF
        };
        self.heard.is_some_and(recent) || !self.others.iter().any(|other| other.running)
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

    /// The daemons to which a notice is passed on for those with hashes in `range`, each with
    /// the part of the range that it covers.
    pub(crate) fn notified(&self, range: (u64, u64)) -> Vec<(SocketAddr, (u64, u64))> {
        let others = self.others.iter().filter(|daemon| daemon.running);
        let hashed = others.map(|daemon| (hash(&daemon.instance), daemon.address));
        let mut inside: Vec<_> = hashed
            .filter(|(hash, _)| (range.0..=range.1).contains(hash))
            .collect();
        inside.sort_unstable_by_key(|(hash, _)| *hash);
        let parts = inside.chunks(inside.len().div_ceil(FAN_OUT).max(1));
        let covered = parts.filter_map(|part| {
            let (first, last) = (part.first()?, part.last()?);
            Some((first.1, (first.0, last.0)))
        });
        covered.collect()
    }

    /// The daemons that are running in `others` and were not before.
    pub(crate) fn newly_running(&self, others: &[Daemon]) -> Vec<SocketAddr> {
        let known = self.others.iter().filter(|daemon| daemon.running);
        let known: HashSet<&str> = known.map(|daemon| &*daemon.instance).collect();
        let running = others.iter().filter(|daemon| daemon.running);
        let new = running.filter(|daemon| !known.contains(&*daemon.instance));
        new.map(|daemon| daemon.address).collect()
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

/// Position of a daemon among those that pass on notices.
fn hash(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}
