//! Keeps what is known about suspected requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use jasminepond_types::Timestamp;
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{
    Admission, Change, Fingerprint, Message, Report, Settings, State,
    message::{Evidence, MAX_RECORDS},
    record::Record,
};

/// Maximum number of records about which others are told at a time. More are told later.
const MAX_TOLD: usize = 4 * MAX_RECORDS;

/// Maximum number of records that wait to be told. Further ones are not told at once, but
/// repeated like all others.
const MAX_UNTOLD: usize = 1_024;

/// Requests that are suspected of ending servers.
#[derive(Debug)]
pub struct Quarantine {
    settings: Settings,
    records: BTreeMap<Fingerprint, Record>,
    peers: Vec<SocketAddr>,
    /// Requests about which other daemons are to be told.
    untold: BTreeSet<Fingerprint>,
    tell_at: Option<Timestamp>,
    repeat_at: Option<Timestamp>,
    /// Records up to this one were repeated last.
    repeated: Fingerprint,
    rng: StdRng,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(Settings::default(), 0)
    }
}

impl Quarantine {
    /// Creates a quarantine without records. Daemons with different seeds tell others in a
    /// different order.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            peers: Vec::new(),
            untold: BTreeSet::new(),
            tell_at: None,
            repeat_at: None,
            repeated: Fingerprint::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the other running daemons. Messages of others are ignored.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// Whether nothing is known about any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a server has ended while it ran the request, and none has answered it since.
    pub fn is_known(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.ends() > 0 || record.is_forbidden())
    }

    /// How a request may be sent.
    pub fn admission(&self, now: Timestamp, fingerprint: Fingerprint) -> Admission {
        let record = self.records.get(&fingerprint);
        record.map_or(Admission::Free, |record| {
            record.admission(now, &self.settings)
        })
    }

    /// What is presumed of a request.
    pub fn state(&self, now: Timestamp, fingerprint: Fingerprint) -> State {
        let record = self.records.get(&fingerprint);
        record.map_or(State::Clear, |record| record.state(now, &self.settings))
    }

    /// Counts a request that was refused because of its [`Admission`].
    pub fn refused(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.refused += 1;
        }
    }

    /// Records that a trial of a request begins.
    pub fn begin_trial(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<Change> {
        self.records.get(&fingerprint)?;
        self.update(now, fingerprint, |record| record.begin_trial(now))
    }

    /// Records that a server process ended while it ran a request, which was its only send if
    /// `in_trial` is set.
    pub fn server_ended(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        process: u64,
        in_trial: bool,
    ) -> Option<Change> {
        self.update(now, fingerprint, |record| {
            record.server_ended(now, process, in_trial);
        })
    }

    /// Records that a server has answered a request.
    pub fn answered(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<Change> {
        let record = self.records.get(&fingerprint)?;
        let nothing = record.state(now, &self.settings) == State::Clear;
        if nothing || record.is_forbidden() {
            return None;
        }
        self.update(now, fingerprint, |record| record.clear(now))
    }

    /// Clears a request at all daemons, by order of an operator. Returns `None` if it is not
    /// known.
    pub fn release(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<Change> {
        self.records.get(&fingerprint)?;
        self.update(now, fingerprint, |record| record.clear(now))
    }

    /// Holds a request at all daemons, by order of an operator.
    pub fn forbid(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<Change> {
        self.update(now, fingerprint, |record| record.forbid(now))
    }

    fn update(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        update: impl FnOnce(&mut Record),
    ) -> Option<Change> {
        self.make_room(now, fingerprint);
        let record = self.records.entry(fingerprint);
        let record = record.or_insert_with(|| Record::new(now));
        let (from, ends) = (record.state(now, &self.settings), record.ends());
        update(record);
        let change = change(now, fingerprint, record, from, &self.settings);
        if from != change.to || ends != change.ends {
            self.tell(now, fingerprint, change.to.max(from));
        }
        (from != change.to).then_some(change)
    }

    /// Arranges that other daemons are told about a request.
    fn tell(&mut self, now: Timestamp, fingerprint: Fingerprint, state: State) {
        if self.untold.len() < MAX_UNTOLD || state >= State::Suspected {
            self.untold.insert(fingerprint);
        }
        let at = match state {
            State::Clear | State::Watched => now + self.settings.batch_time,
            State::Suspected | State::Trial | State::Held => now,
        };
        self.tell_at = Some(self.tell_at.map_or(at, |earlier| earlier.min(at)));
        if self.repeat_at.is_none() {
            self.repeat_at = Some(now + self.settings.repeat_interval);
        }
    }

    /// Drops the records with the least evidence if there are too many.
    fn make_room(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let (max, settings) = (self.settings.max_records, &self.settings);
        if self.records.len() < max || self.records.contains_key(&fingerprint) {
            return;
        }
        self.records
            .retain(|_, record| !record.is_forgotten(now, settings));
        let excess = (self.records.len() + max / 8).saturating_sub(max);
        let mut weights: Vec<_> = self
            .records
            .iter()
            .map(|(key, r)| (r.weight(), *key))
            .collect();
        weights.sort_unstable();
        for (_, key) in weights.into_iter().take(excess) {
            self.records.remove(&key);
        }
    }

    /// Handles a message of another daemon. Returns what has changed.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, message: &Message) -> Vec<Change> {
        if !self.peers.contains(&from) {
            return Vec::new();
        }
        let records = message.0.iter();
        records
            .filter_map(|evidence| self.merge(now, evidence))
            .collect()
    }

    fn merge(&mut self, now: Timestamp, evidence: &Evidence) -> Option<Change> {
        let fingerprint = evidence.fingerprint;
        let is_known = self.records.contains_key(&fingerprint);
        if !is_known && evidence.ends.is_empty() && !evidence.forbidden {
            return None;
        }
        self.make_room(now, fingerprint);
        let record = self.records.entry(fingerprint);
        let record = record.or_insert_with(|| Record::new(now));
        let from = record.state(now, &self.settings);
        let changed = record.merge(now, evidence);
        if record.is_forgotten(now, &self.settings) {
            self.records.remove(&fingerprint);
            return None;
        }
        let change = change(now, fingerprint, record, from, &self.settings);
        if changed {
            self.tell(now, fingerprint, change.to.max(from));
        }
        (from != change.to).then_some(change)
    }

    /// When [`Quarantine::tick`] must be called next.
    pub fn next_tick(&self) -> Option<Timestamp> {
        [self.tell_at, self.repeat_at].into_iter().flatten().min()
    }

    /// Returns the messages to other daemons that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<(SocketAddr, Message)> {
        let mut messages = Vec::new();
        if self.tell_at.is_some_and(|at| at <= now) {
            let told = self.take_untold(now);
            self.push_messages(now, &told, self.settings.fan_out, &mut messages);
            let rest = !self.untold.is_empty();
            self.tell_at = rest.then_some(now + self.settings.batch_time);
        }
        if self.repeat_at.is_some_and(|at| at <= now) {
            self.forget(now);
            let repeated = self.next_repeated();
            self.push_messages(now, &repeated, self.settings.repeat_fan_out, &mut messages);
            let any = !self.records.is_empty();
            self.repeat_at = any.then_some(now + self.settings.repeat_interval);
        }
        messages
    }

    /// Requests about which others are told now, those with most evidence first.
    fn take_untold(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let state = |key: &Fingerprint| std::cmp::Reverse(self.state(now, *key));
        let mut untold: Vec<_> = self.untold.iter().copied().collect();
        untold.sort_by_key(state);
        untold.truncate(MAX_TOLD);
        for key in &untold {
            self.untold.remove(key);
        }
        untold
    }

    /// Requests that are repeated now. Each time, it is the turn of others.
    fn next_repeated(&mut self) -> Vec<Fingerprint> {
        let after = (
            std::ops::Bound::Excluded(self.repeated),
            std::ops::Bound::Unbounded,
        );
        let later = self.records.range(after);
        let first = self.records.range(..=self.repeated);
        let next = later.chain(first).map(|(key, _)| *key);
        let next: Vec<_> = next.take(MAX_RECORDS).collect();
        self.repeated = next.last().copied().unwrap_or_default();
        next
    }

    fn push_messages(
        &mut self,
        now: Timestamp,
        keys: &[Fingerprint],
        fan_out: usize,
        messages: &mut Vec<(SocketAddr, Message)>,
    ) {
        let to: Vec<_> = self.peers.choose_multiple(&mut self.rng, fan_out).collect();
        for keys in keys.chunks(MAX_RECORDS) {
            let evidence = |key: &Fingerprint| Some(self.records.get(key)?.evidence(now, *key));
            let message = Message(keys.iter().filter_map(evidence).collect());
            messages.extend(to.iter().map(|to| (**to, message.clone())));
        }
    }

    fn forget(&mut self, now: Timestamp) {
        let settings = &self.settings;
        self.records
            .retain(|_, record| !record.is_forgotten(now, settings));
    }

    /// The requests that are not clear, for operators.
    pub fn reports(&self, now: Timestamp) -> Vec<Report> {
        let report =
            |(key, record): (&Fingerprint, &Record)| record.report(now, *key, &self.settings);
        let reports = self.records.iter().map(report);
        reports
            .filter(|report| report.state != State::Clear)
            .collect()
    }

    /// Number of requests in a state from `at_least` on.
    pub fn count(&self, now: Timestamp, at_least: State) -> usize {
        let states = self.records.values();
        states
            .filter(|record| record.state(now, &self.settings) >= at_least)
            .count()
    }
}

fn change(
    now: Timestamp,
    fingerprint: Fingerprint,
    record: &Record,
    from: State,
    settings: &Settings,
) -> Change {
    let report = record.report(now, fingerprint, settings);
    Change {
        fingerprint,
        from,
        to: report.state,
        ends: report.ends,
        retry_in: match report.state {
            State::Held => report.retry_in,
            _ => Duration::ZERO,
        },
    }
}
