//! The request keys that this incarnation of the daemon issued.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use jasminepond_types::{ErrorKind, Incarnation, InstanceId, Millis, TenantId, Timestamp};
use jasminepond_wire::{ExecuteOutcome, KeyRing};
use rand::{Rng, SeedableRng, rngs::StdRng};
use slotmap::SlotMap;

use crate::{KeyOrigin, RequestDigest, RequestKey};

/// Longest lifetime of a key.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// Retry time given when outcomes fill their memory.
const OUTCOMES_FULL_RETRY: Millis = Millis(1_000);

slotmap::new_key_type! {
    /// The run of a request key.
    pub struct ExecutionId;
}

/// Bounds of a [`KeyTable`].
#[derive(Debug, Clone)]
pub struct KeySettings {
    /// Lifetime of a key, at most 10 minutes.
    pub lifetime: Duration,
    /// Keys issued by one call.
    pub max_keys_per_call: u32,
    /// Live keys of one tenant.
    pub max_keys_per_tenant: usize,
    /// Live keys of all tenants.
    pub max_keys: usize,
    /// Bytes of recorded outcomes above which no further key may run.
    pub max_outcome_bytes: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            lifetime: MAX_LIFETIME,
            max_keys_per_call: 1_000,
            max_keys_per_tenant: 10_000,
            max_keys: 50_000,
            max_outcome_bytes: 8 << 20,
        }
    }
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to try again, for kinds that state it.
    pub retry_after: Option<Millis>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl From<Refusal> for ExecuteOutcome {
    fn from(refusal: Refusal) -> Self {
        Self::error(refusal.kind, refusal.retry_after)
    }
}

/// What to do with a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it, then call [`KeyTable::finish`].
    Run {
        /// The run.
        execution: ExecutionId,
    },
    /// The same request is running: wait for its outcome.
    Join {
        /// The run.
        execution: ExecutionId,
    },
    /// The request finished earlier with this outcome.
    Done(ExecuteOutcome),
    /// The request is refused.
    Refused(Refusal),
}

#[derive(Debug)]
enum State {
    /// Not used, or used by a request that certainly did not run.
    Issued,
    Running {
        execution: ExecutionId,
        digest: RequestDigest,
    },
    Finished {
        digest: RequestDigest,
        outcome: ExecuteOutcome,
    },
}

#[derive(Debug)]
struct Entry {
    tenant: TenantId,
    expires: Timestamp,
    state: State,
}

/// The keys issued by this incarnation, with the outcome of those that ran.
///
/// ```
/// use jasminepond_query::{Begin, KeyRing, KeySettings, KeyTable, RequestDigest};
/// use jasminepond_types::{Incarnation, Timestamp};
///
/// let ring = KeyRing::new(["some-shared-key-1".parse().unwrap()]).unwrap();
/// let me = "entry-1".parse().unwrap();
/// let mut table = KeyTable::new(KeySettings::default(), me, Incarnation(7), ring, [0; 32]);
/// let now = Timestamp::ZERO;
/// let tenant = "foundry".parse().unwrap();
/// let key = table.issue(now, &tenant, 1).unwrap().remove(0);
/// let (class, group) = ("orders".parse().unwrap(), "dispatch".parse().unwrap());
/// let digest = RequestDigest::new(&tenant, &class, &group, b"{}");
/// let Begin::Run { execution } = table.begin(now, &key, &tenant, digest) else { panic!() };
/// assert_eq!(table.begin(now, &key, &tenant, digest), Begin::Join { execution });
/// ```
#[derive(Debug)]
pub struct KeyTable {
    settings: KeySettings,
    instance: InstanceId,
    incarnation: Incarnation,
    keys: KeyRing,
    rng: StdRng,
    entries: HashMap<u128, Entry>,
    /// Ids in the order of issue, which is the order of expiry.
    expiry: VecDeque<(Timestamp, u128)>,
    per_tenant: HashMap<TenantId, usize>,
    running: SlotMap<ExecutionId, u128>,
    outcome_bytes: usize,
}

impl KeyTable {
    /// An empty table. `incarnation` must differ from that of every earlier run
    /// on the instance and stay the same while this process runs; `seed` comes
    /// from the operating system's random source.
    pub fn new(
        settings: KeySettings,
        instance: InstanceId,
        incarnation: Incarnation,
        keys: KeyRing,
        seed: [u8; 32],
    ) -> Self {
        Self {
            settings,
            instance,
            incarnation,
            keys,
            rng: StdRng::from_seed(seed),
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            per_tenant: HashMap::new(),
            running: SlotMap::with_key(),
            outcome_bytes: 0,
        }
    }

    /// Puts changed bounds into effect for keys issued from now on.
    pub fn set_settings(&mut self, settings: KeySettings) {
        self.settings = settings;
    }

    /// Lifetime of a key.
    pub fn lifetime(&self) -> Duration {
        self.settings.lifetime.min(MAX_LIFETIME)
    }

    /// Issues `n` keys to `tenant`.
    ///
    /// # Errors
    ///
    /// `BadRequest` if `n` is zero or over the limit of one call, `TenantLimit`
    /// or `Overloaded` if the tenant or the table would hold too many keys.
    pub fn issue(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        n: u32,
    ) -> Result<Vec<RequestKey>, Refusal> {
        self.purge(now);
        if n == 0 || n > self.settings.max_keys_per_call {
            return Err(ErrorKind::BadRequest.into());
        }
        let wanted = n as usize;
        let held = self.per_tenant.get(tenant).copied().unwrap_or(0);
        if held + wanted > self.settings.max_keys_per_tenant {
            return Err(self.full(now, ErrorKind::TenantLimit));
        }
        if self.entries.len() + wanted > self.settings.max_keys {
            return Err(self.full(now, ErrorKind::Overloaded));
        }
        *self.per_tenant.entry(tenant.clone()).or_default() += wanted;
        let expires = now + self.lifetime();
        Ok((0..n).map(|_| self.issue_one(tenant, expires)).collect())
    }

    fn issue_one(&mut self, tenant: &TenantId, expires: Timestamp) -> RequestKey {
        let id = self.rng.random();
        let entry = Entry {
            tenant: tenant.clone(),
            expires,
            state: State::Issued,
        };
        self.entries.insert(id, entry);
        self.expiry.push_back((expires, id));
        let instance = self.instance.clone();
        RequestKey::new(&self.keys, instance, self.incarnation, expires, id)
    }

    /// Refusal until the oldest key expires.
    fn full(&self, now: Timestamp, kind: ErrorKind) -> Refusal {
        let oldest = self.expiry.front();
        let wait = oldest.map(|(expires, _)| Millis::from(expires.since(now)));
        Refusal {
            kind,
            retry_after: Some(wait.unwrap_or(OUTCOMES_FULL_RETRY)),
        }
    }

    /// Whose key it is.
    pub fn classify(&self, key: &RequestKey) -> KeyOrigin {
        key.classify(&self.keys, &self.instance, self.incarnation)
    }

    /// Decides about a request of `tenant` that carries `key`.
    ///
    /// A key of another daemon, of an earlier incarnation or past its expiry is
    /// refused as `OutcomeUnknown`, since an earlier copy may have run.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: &RequestKey,
        tenant: &TenantId,
        digest: RequestDigest,
    ) -> Begin {
        self.purge(now);
        match self.classify(key) {
            KeyOrigin::Own => self.begin_mine(key.id(), tenant, digest),
            KeyOrigin::Invalid => Begin::Refused(ErrorKind::InvalidKey.into()),
            KeyOrigin::EarlierIncarnation | KeyOrigin::OtherInstance { .. } => {
                Begin::Refused(ErrorKind::OutcomeUnknown.into())
            }
        }
    }

    fn begin_mine(&mut self, id: u128, tenant: &TenantId, digest: RequestDigest) -> Begin {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Begin::Refused(ErrorKind::OutcomeUnknown.into());
        };
        if entry.tenant != *tenant {
            return Begin::Refused(ErrorKind::InvalidKey.into());
        }
        match &entry.state {
            State::Issued if self.outcome_bytes >= self.settings.max_outcome_bytes => {
                let outcome = ExecuteOutcome::NotRun {
                    kind: ErrorKind::Overloaded,
                    retry_after: Some(OUTCOMES_FULL_RETRY),
                };
                entry.state = State::Finished {
                    digest,
                    outcome: outcome.clone(),
                };
                Begin::Done(outcome)
            }
            State::Issued => {
                let execution = self.running.insert(id);
                entry.state = State::Running { execution, digest };
                Begin::Run { execution }
            }
            State::Running {
                execution,
                digest: first,
            } if *first == digest => Begin::Join {
                execution: *execution,
            },
            State::Finished {
                digest: first,
                outcome,
            } if *first == digest => Begin::Done(outcome.clone()),
            _ => Begin::Refused(ErrorKind::KeyReused.into()),
        }
    }

    /// Records the outcome of a run until the key expires. A key that was refused
    /// as "not run" is spent too: a load balancer may deliver a second copy of the
    /// request, which would otherwise run after its caller was told that it did
    /// not. Returns whether the run was known; a second outcome of the same run is
    /// ignored.
    pub fn finish(
        &mut self,
        now: Timestamp,
        execution: ExecutionId,
        outcome: ExecuteOutcome,
    ) -> bool {
        let Some(id) = self.running.remove(execution) else {
            return false;
        };
        self.record(id, outcome);
        if self.entries.get(&id).is_some_and(|e| e.expires <= now) {
            self.forget(id);
        }
        self.purge(now);
        true
    }

    fn record(&mut self, id: u128, outcome: ExecuteOutcome) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let State::Running { digest, .. } = entry.state else {
            return;
        };
        self.outcome_bytes += outcome_bytes(&outcome);
        entry.state = State::Finished { digest, outcome };
    }

    /// Forgets expired keys. A running one is kept until it finishes.
    fn purge(&mut self, now: Timestamp) {
        while let Some(&(expires, id)) = self.expiry.front() {
            if expires > now {
                return;
            }
            self.expiry.pop_front();
            let running = |e: &Entry| matches!(e.state, State::Running { .. });
            if !self.entries.get(&id).is_some_and(running) {
                self.forget(id);
            }
        }
    }

    fn forget(&mut self, id: u128) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        if let State::Finished { outcome, .. } = &entry.state {
            self.outcome_bytes -= outcome_bytes(outcome);
        }
        if let Some(held) = self.per_tenant.get_mut(&entry.tenant) {
            *held -= 1;
            if *held == 0 {
                self.per_tenant.remove(&entry.tenant);
            }
        }
    }

    /// Live keys of all tenants.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no live key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Runs without an outcome yet.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Bytes of recorded outcomes.
    pub fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }
}

fn outcome_bytes(outcome: &ExecuteOutcome) -> usize {
    match outcome {
        ExecuteOutcome::Done { result } => result.len(),
        ExecuteOutcome::Unknown { detail, .. } => detail.len(),
        ExecuteOutcome::NotRun { .. } => 0,
    }
}
