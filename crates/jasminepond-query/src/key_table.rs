//! Table of the request keys issued by this incarnation of the daemon.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use jasminepond_types::{ErrorKind, Incarnation, InstanceId, Millis, TenantId, Timestamp};
use jasminepond_wire::{ExecuteOutcome, KeyRing};
use rand::{Rng, SeedableRng, rngs::StdRng};
use slotmap::SlotMap;

use crate::{KeyOrigin, RequestDigest, RequestKey};

/// Upper bound on the configured lifetime of a key.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// Retry time returned when recorded outcomes have reached their size limit.
const OUTCOMES_FULL_RETRY: Millis = Millis(1_000);

slotmap::new_key_type! {
    /// Identifies one run of a request key.
    pub struct ExecutionId;
}

/// Limits of a [`KeyTable`].
#[derive(Debug, Clone)]
pub struct KeySettings {
    /// Lifetime of a key, capped at 10 minutes.
    pub lifetime: Duration,
    /// Maximum number of keys issued by one call.
    pub max_keys_per_call: u32,
    /// Maximum number of live keys of one tenant.
    pub max_keys_per_tenant: usize,
    /// Maximum number of live keys of all tenants together.
    pub max_keys: usize,
    /// Total size of recorded outcomes from which on no further key may run.
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

/// Error with which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Time to wait before a retry, for kinds that report one.
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

/// How to handle a request that carries a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it, then call [`KeyTable::finish`].
    Run {
        /// Identifies the new run.
        execution: ExecutionId,
    },
    /// The same request is already running: wait for its outcome.
    Join {
        /// Identifies the existing run.
        execution: ExecutionId,
    },
    /// The request finished earlier with this outcome.
    Done(ExecuteOutcome),
    /// The request is refused.
    Refused(Refusal),
}

#[derive(Debug)]
enum State {
    /// Not used yet.
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

/// The keys issued by this incarnation, with the outcomes of finished requests.
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
    /// Ids in order of issue, which is the order of expiry while the lifetime is
    /// not changed.
    expiry: VecDeque<(Timestamp, u128)>,
    per_tenant: HashMap<TenantId, usize>,
    running: SlotMap<ExecutionId, u128>,
    outcome_bytes: usize,
}

impl KeyTable {
    /// Creates an empty table. `incarnation` must differ from that of every earlier
    /// process on the instance and stay constant while this process runs; `seed`
    /// must come from the operating system's random number generator.
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

    /// Replaces the limits. Keys that were already issued keep their expiry.
    pub fn set_settings(&mut self, settings: KeySettings) {
        self.settings = settings;
    }

    /// Lifetime of keys issued from now on.
    pub fn lifetime(&self) -> Duration {
        self.settings.lifetime.min(MAX_LIFETIME)
    }

    /// Issues `n` keys to `tenant`.
    ///
    /// # Errors
    ///
    /// `BadRequest` if `n` is zero or above the limit of one call, `TenantLimit`
    /// or `Overloaded` if the tenant or the table would hold too many keys.
    pub fn issue(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        n: u32,
    ) -> Result<Vec<RequestKey>, Refusal> {
        self.remove_expired(now);
        if n == 0 || n > self.settings.max_keys_per_call {
            return Err(ErrorKind::BadRequest.into());
        }
        let wanted = n as usize;
        let held = self.per_tenant.get(tenant).copied().unwrap_or(0);
        if held + wanted > self.settings.max_keys_per_tenant {
            return Err(self.refuse_until_expiry(now, ErrorKind::TenantLimit));
        }
        if self.entries.len() + wanted > self.settings.max_keys {
            return Err(self.refuse_until_expiry(now, ErrorKind::Overloaded));
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

    /// Refusal with the time until the oldest key expires as its retry time.
    fn refuse_until_expiry(&self, now: Timestamp, kind: ErrorKind) -> Refusal {
        let oldest = self.expiry.front();
        let wait = oldest.map(|(expires, _)| Millis::from(expires.since(now)));
        Refusal {
            kind,
            retry_after: Some(wait.unwrap_or(OUTCOMES_FULL_RETRY)),
        }
    }

    /// Verifies the MAC of `key` and determines its issuer.
    pub fn classify(&self, key: &RequestKey) -> KeyOrigin {
        key.classify(&self.keys, &self.instance, self.incarnation)
    }

    /// Decides how to handle a request of `tenant` that carries `key`.
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
        self.remove_expired(now);
        match self.classify(key) {
            KeyOrigin::Own => self.begin_own(key.id(), tenant, digest),
            KeyOrigin::Invalid => Begin::Refused(ErrorKind::InvalidKey.into()),
            KeyOrigin::EarlierIncarnation | KeyOrigin::OtherInstance { .. } => {
                Begin::Refused(ErrorKind::OutcomeUnknown.into())
            }
        }
    }

    fn begin_own(&mut self, id: u128, tenant: &TenantId, digest: RequestDigest) -> Begin {
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
                digest: recorded,
            } if *recorded == digest => Begin::Join {
                execution: *execution,
            },
            State::Finished {
                digest: recorded,
                outcome,
            } if *recorded == digest => Begin::Done(outcome.clone()),
            _ => Begin::Refused(ErrorKind::KeyReused.into()),
        }
    }

    /// Records the outcome of a run until the key expires. "Not run" uses up the
    /// key as well: a load balancer may deliver a second copy of the request, which
    /// would otherwise run after its caller was told that it did not. Returns
    /// `false` and ignores the outcome if the run is unknown or has an outcome.
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
            self.remove(id);
        }
        self.remove_expired(now);
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

    /// Removes expired keys. The key of a running request is kept until it finishes.
    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(&(expires, id)) = self.expiry.front() {
            if expires > now {
                return;
            }
            self.expiry.pop_front();
            let running = |e: &Entry| matches!(e.state, State::Running { .. });
            if !self.entries.get(&id).is_some_and(running) {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: u128) {
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

    /// Number of live keys of all tenants.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no live key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of runs that have no outcome yet.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Total size of recorded outcomes in bytes.
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
