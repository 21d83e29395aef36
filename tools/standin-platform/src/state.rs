//! Revisions, instance list, modes and counters.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize};
use tokio_util::sync::CancellationToken;

/// Largest file that the configuration service stores, in bytes.
pub(crate) const VALUE_LIMIT: usize = 1_000_000;

/// Calls since the start or the last reset.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// `GET /v1/tree`.
    pub tree: u64,
    /// `GET /v1/watch`; each call counts once, however long it is pending.
    pub watch: u64,
    /// `GET /v1/files/..`.
    pub files: u64,
    /// `GET /v1/instances`.
    pub instances: u64,
    /// Calls among the above that were refused with 429.
    pub limited: u64,
    /// Watches that are pending now; a reset keeps the value.
    pub pending_watches: u64,
    /// Bytes served in files and trees.
    pub bytes: u64,
}

/// Kind of outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// New connections are refused and open ones are closed.
    Refuse,
    /// Connections are accepted and requests get no response until the mode ends.
    Hang,
}

/// Torn read: tree and files come from different revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Torn {
    /// Revision of the tree.
    pub tree: u64,
    /// Revision of the files. It is served regardless of the requested digest.
    pub files: u64,
}

/// Fault modes, which a test can change while the platform runs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Modes {
    /// Outage; `None` while the platform responds.
    pub down: Option<Down>,
    /// Tree, files, watches and instance list keep the state they had when the mode was set.
    pub stale: bool,
    /// Revision to serve instead of the newest.
    pub rollback: Option<u64>,
    /// Revisions to serve for a torn read.
    pub torn: Option<Torn>,
    /// Delay of each response, in ms.
    pub delay_ms: u64,
    /// Delay until a change of the instance list is served, in ms.
    pub instance_lag_ms: u64,
}

/// Change of modes: an absent field leaves its mode unchanged, `null` ends the mode.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// See [`Modes::down`].
    #[serde(deserialize_with = "present")]
    pub down: Option<Option<Down>>,
    /// See [`Modes::stale`].
    pub stale: Option<bool>,
    /// See [`Modes::rollback`].
    #[serde(deserialize_with = "present")]
    pub rollback: Option<Option<u64>>,
    /// See [`Modes::torn`].
    #[serde(deserialize_with = "present")]
    pub torn: Option<Option<Torn>>,
    /// See [`Modes::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Modes::instance_lag_ms`].
    pub instance_lag_ms: Option<u64>,
}

/// Distinguishes `null` (`Some(None)`) from an absent field (`None`).
fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Option<Option<T>>, D::Error> {
    Option::<T>::deserialize(deserializer).map(Some)
}

/// One entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier.
    pub id: String,
    /// `daemon` or `backend`.
    pub role: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Address, `ip:port`.
    pub address: String,
    /// `live` or `leaving`.
    #[serde(default = "live")]
    pub state: String,
}

fn live() -> String {
    "live".to_string()
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct File {
    pub digest: String,
    pub bytes: Bytes,
}

impl File {
    pub fn new(bytes: Bytes) -> Self {
        Self {
            digest: blake3::hash(&bytes).to_hex().to_string(),
            bytes,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub revision: u64,
    pub files: BTreeMap<String, File>,
}

#[derive(Debug)]
pub(crate) struct State {
    /// In the order of publication, newest last.
    pub history: Vec<Snapshot>,
    pub modes: Modes,
    pub counters: Counters,
    /// Cancelled and replaced on every change, which makes pending watches check again.
    changed: CancellationToken,
    /// Instance lists, each with the time from which it is served.
    instance_lists: Vec<(Instant, Vec<Instance>)>,
    /// State served in stale mode: length of the visible history and the instance list.
    frozen: Option<(usize, Vec<Instance>)>,
    tokens: f64,
    refilled_at: Instant,
    reads_per_s: f64,
}

impl State {
    pub fn new(first: Snapshot, instances: Vec<Instance>, reads_per_s: u64) -> Self {
        let now = Instant::now();
        Self {
            history: vec![first],
            modes: Modes::default(),
            counters: Counters::default(),
            changed: CancellationToken::new(),
            instance_lists: vec![(now, instances)],
            frozen: None,
            tokens: reads_per_s as f64,
            refilled_at: now,
            reads_per_s: reads_per_s as f64,
        }
    }

    pub fn newest(&self) -> &Snapshot {
        self.history.last().expect("the first revision stays")
    }

    /// Token that is cancelled on the next change of the served state.
    pub fn changed(&self) -> CancellationToken {
        self.changed.clone()
    }

    fn notify(&mut self) {
        std::mem::take(&mut self.changed).cancel();
    }

    /// Takes one token from the read limit; returns false and counts the refusal if none is left.
    pub fn try_take_read(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * self.reads_per_s;
        self.tokens = (self.tokens + refill).min(self.reads_per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.counters.limited += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub fn publish(&mut self, snapshot: Snapshot) {
        self.history.push(snapshot);
        self.notify();
    }

    pub fn snapshot(&self, revision: u64) -> Option<&Snapshot> {
        self.history.iter().rev().find(|f| f.revision == revision)
    }

    fn visible_history(&self) -> &[Snapshot] {
        match &self.frozen {
            Some((n, _)) => &self.history[..*n],
            None => &self.history,
        }
    }

    /// The snapshot that `GET /v1/tree` describes.
    pub fn served_tree(&self) -> &Snapshot {
        let selected = self.modes.torn.map(|t| t.tree).or(self.modes.rollback);
        let newest = || {
            self.visible_history()
                .last()
                .expect("the first revision stays")
        };
        selected
            .and_then(|r| self.snapshot(r))
            .unwrap_or_else(newest)
    }

    pub fn served_file(&self, name: &str, digest: Option<&str>) -> Option<&File> {
        if let Some(torn) = self.modes.torn {
            return self.snapshot(torn.files)?.files.get(name);
        }
        let Some(digest) = digest else {
            return self.served_tree().files.get(name);
        };
        let files = self
            .visible_history()
            .iter()
            .rev()
            .filter_map(|f| f.files.get(name));
        files.into_iter().find(|file| file.digest == digest)
    }

    pub fn served_instances(&self, now: Instant) -> &[Instance] {
        if let Some((_, list)) = &self.frozen {
            return list;
        }
        let served = self
            .instance_lists
            .iter()
            .rev()
            .find(|(from, _)| *from <= now);
        served.map_or(&[], |(_, list)| list)
    }

    pub fn newest_instances(&self) -> &[Instance] {
        self.instance_lists.last().map_or(&[], |(_, list)| list)
    }

    pub fn set_instances(&mut self, now: Instant, list: Vec<Instance>) {
        let served = self
            .instance_lists
            .iter()
            .rposition(|(from, _)| *from <= now);
        self.instance_lists.drain(..served.unwrap_or(0));
        let mut from = now + Duration::from_millis(self.modes.instance_lag_ms);
        // Keeps the lists in the order of their changes when the lag is reduced.
        if let Some((last, _)) = self.instance_lists.last() {
            from = from.max(*last);
        }
        self.instance_lists.push((from, list));
    }

    pub fn apply(&mut self, now: Instant, patch: Patch) -> Result<(), String> {
        let torn = patch.torn.flatten().map(|t| [t.tree, t.files]);
        let revisions = torn.into_iter().flatten().chain(patch.rollback.flatten());
        for revision in revisions {
            if self.snapshot(revision).is_none() {
                return Err(format!("revision {revision} does not exist"));
            }
        }
        if let Some(down) = patch.down {
            self.modes.down = down;
        }
        if let Some(rollback) = patch.rollback {
            self.modes.rollback = rollback;
        }
        if let Some(torn) = patch.torn {
            self.modes.torn = torn;
        }
        if let Some(delay_ms) = patch.delay_ms {
            self.modes.delay_ms = delay_ms;
        }
        if let Some(lag_ms) = patch.instance_lag_ms {
            self.modes.instance_lag_ms = lag_ms;
        }
        if let Some(stale) = patch.stale {
            self.set_stale(now, stale);
        }
        self.notify();
        Ok(())
    }

    fn set_stale(&mut self, now: Instant, stale: bool) {
        self.modes.stale = stale;
        if !stale {
            self.frozen = None;
        } else if self.frozen.is_none() {
            self.frozen = Some((self.history.len(), self.served_instances(now).to_vec()));
        }
    }
}
