//! Store of reports about backend servers: the newest per server and reporter.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::{Incarnation, InstanceId, Millis, ServerId, Timestamp};

use crate::{ReportKind, ServerReport};

/// Key of a stored report.
pub(crate) type ReportKey = (ServerId, InstanceId);

#[derive(Debug, Clone)]
struct Entry {
    kind: ReportKind,
    incarnation: Incarnation,
    sequence: u64,
    at: Timestamp,
}

/// Unexpired reports.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    entries: BTreeMap<ReportKey, Entry>,
}

impl Reports {
    /// Stores a report if it is newer than the known one, unexpired and not evicted
    /// at once by the limit. Returns whether it was stored.
    pub(crate) fn insert(
        &mut self,
        now: Timestamp,
        report: &ServerReport,
        age: Duration,
        limit: usize,
    ) -> bool {
        if report.age.duration() >= age {
            return false;
        }
        let key = (report.server.clone(), report.reporter.clone());
        let version = (report.incarnation, report.sequence);
        let known = self.entries.get(&key);
        if known.is_some_and(|e| (e.incarnation, e.sequence) >= version) {
            return false;
        }
        let entry = Entry {
            kind: report.kind,
            incarnation: report.incarnation,
            sequence: report.sequence,
            at: now - report.age.duration(),
        };
        self.entries.insert(key.clone(), entry);
        while self.entries.len() > limit {
            self.evict_oldest();
        }
        self.entries.contains_key(&key)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }

    pub(crate) fn expire(&mut self, now: Timestamp, age: Duration) {
        self.entries.retain(|_, e| now.since(e.at) < age);
    }

    pub(crate) fn get(&self, now: Timestamp, key: &ReportKey) -> Option<ServerReport> {
        let entry = self.entries.get(key)?;
        Some(report(now, key, entry))
    }

    pub(crate) fn iter(&self, now: Timestamp) -> impl Iterator<Item = ServerReport> {
        self.entries.iter().map(move |(key, e)| report(now, key, e))
    }
}

fn report(now: Timestamp, key: &ReportKey, entry: &Entry) -> ServerReport {
    ServerReport {
        server: key.0.clone(),
        kind: entry.kind,
        reporter: key.1.clone(),
        incarnation: entry.incarnation,
        sequence: entry.sequence,
        age: Millis::from(now.since(entry.at)),
    }
}
