//! The state machine: its state, inputs, actions and periodic work.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use jasminepond_membership::{LocalMember, View};
use jasminepond_types::{InstanceId, Millis, Revision, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Digest, Role, ServiceFailure, Settings, SyncMessage,
    peers::Peers,
    pull::Target,
    roles::Roles,
    service::{Phase, Service},
    store::{CompleteRevision, Store, TokenBucket},
};

/// Number of peers queried after a pause and before the first configuration.
const QUERY_PEERS: usize = 3;

/// What the caller has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Watch the service for a revision above `after`. Completed by
    /// [`Sync::service_tree`], [`Sync::service_unchanged`] or
    /// [`Sync::service_failed`].
    Watch {
        /// The latest known revision.
        after: Revision,
    },
    /// Cancel the pending call to the service and do not report its result.
    CancelCall,
    /// Read a file from the service. Completed by [`Sync::service_file`] or
    /// [`Sync::service_failed`].
    FetchFromService {
        /// The name of the file.
        name: Arc<str>,
        /// The digest of the content.
        digest: Digest,
    },
    /// Send a message to a daemon.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: SyncMessage,
    },
    /// Put a complete revision into effect or refuse it. Completed by
    /// [`Sync::accepted`] or [`Sync::refused`]; no other revision is offered
    /// before that.
    Offer {
        /// The revision, higher than the one in effect.
        revision: Revision,
        /// Its files, sorted by name.
        files: Vec<File>,
    },
    /// This daemon's role has changed.
    RoleChanged(Role),
    /// The same revision exists with different content. The one in effect stays,
    /// and the conflict causes no further announcements.
    Conflict {
        /// The revision.
        revision: Revision,
        /// The digest in effect or being fetched here.
        ours: Digest,
        /// The other digest.
        theirs: Digest,
        /// Where the other digest came from.
        source: Source,
    },
    /// A revision is invalid and is not used.
    RefusedRevision {
        /// The revision.
        revision: Revision,
        /// Why.
        reason: String,
    },
}

/// A file of a complete revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// Name within the folder.
    pub name: Arc<str>,
    /// Content.
    pub bytes: Bytes,
}

/// The origin of a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Service,
    /// Another daemon.
    Peer(InstanceId),
}

/// A revision that this daemon does not use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The revision.
    pub revision: Revision,
    /// The digest of the list of files, `None` if the list itself is invalid.
    pub digest: Option<Digest>,
    /// Why.
    pub reason: String,
}

/// The state for the status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncStatus {
    /// The revision in effect, zero before the first.
    pub revision: Revision,
    /// The digest of its list of files.
    pub digest: Option<Digest>,
    /// Where it came from.
    pub source: Option<Source>,
    /// Time since the last successful call to the service by a reader that this
    /// daemon received a heartbeat from.
    pub confirmed: Option<Duration>,
    /// This daemon's role.
    pub role: Role,
    /// The newest refused revision.
    pub refused: Option<Refusal>,
    /// The newest revision with two contents.
    pub conflict: Option<Revision>,
    /// The last failure of the service, if this daemon reads it and no call has
    /// succeeded since.
    pub service_failure: Option<ServiceFailure>,
}

/// A complete revision whose offer is pending.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) complete: CompleteRevision,
    pub(crate) source: Source,
}

/// When periodic work is due.
#[derive(Debug, Default)]
pub(crate) struct Due {
    exchange: Timestamp,
    pub(crate) reannounce: Option<Timestamp>,
}

/// Distribution of the configuration at one daemon.
///
/// ```
/// use jasminepond_membership::{LocalMember, Membership, Settings as MembershipSettings};
/// use jasminepond_sync::{Action, Role, Settings, Sync};
/// use jasminepond_types::{Incarnation, Revision, Timestamp};
///
/// let me = LocalMember {
///     instance: "entry-1".parse().unwrap(),
///     incarnation: Incarnation(1),
///     zone: "a".parse().unwrap(),
///     region: "r".parse().unwrap(),
///     processor: Default::default(),
///     peer_address: "127.0.0.1:7000".parse().unwrap(),
///     membership_address: "127.0.0.1:7001".parse().unwrap(),
/// };
/// let membership = Membership::new(MembershipSettings::default(), me.clone(), 1);
/// let mut sync = Sync::new(Settings::default(), me, 2);
/// // The only daemon of its zone reads the service.
/// let actions = sync.tick(Timestamp::ZERO, membership.view());
/// assert!(actions.contains(&Action::RoleChanged(Role::Reader)));
/// let actions = sync.tick(Timestamp::from_millis(100), membership.view());
/// assert_eq!(actions, [Action::Watch { after: Revision(0) }]);
/// ```
#[derive(Debug)]
pub struct Sync {
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) me: LocalMember,
    pub(crate) peers: Peers,
    pub(crate) roles: Roles,
    pub(crate) service: Service,
    pub(crate) store: Store,
    pub(crate) send_budget: TokenBucket,
    pub(crate) target: Option<Target>,
    pub(crate) offered: Option<Offered>,
    pub(crate) source: Option<Source>,
    pub(crate) refused: Vec<Refusal>,
    pub(crate) conflicts: BTreeSet<(Revision, Digest)>,
    /// Time of the last successful call to the service by any reader, from this
    /// daemon's own calls and from heartbeats.
    pub(crate) confirmed: Option<Timestamp>,
    pub(crate) due: Due,
}

impl Sync {
    /// Creates a daemon without a configuration. `seed` makes its random choices
    /// reproducible; each daemon should have a different one.
    pub fn new(settings: Settings, me: LocalMember, seed: u64) -> Self {
        Self {
            send_budget: TokenBucket::new(settings.send_burst),
            rng: StdRng::seed_from_u64(seed),
            peers: Peers::default(),
            roles: Roles::new(),
            service: Service::new(),
            store: Store::default(),
            target: None,
            offered: None,
            source: None,
            refused: Vec::new(),
            conflicts: BTreeSet::new(),
            confirmed: None,
            due: Due::default(),
            settings,
            me,
        }
    }

    /// Sets the number of daemons on the instance list. It only affects how a
    /// daemon that starts behind a partition, without known peers, paces its reads.
    pub fn expect_members(&mut self, members: usize) {
        self.peers.max_members = self.peers.max_members.max(members);
    }

    /// This daemon's role.
    pub fn role(&self) -> Role {
        self.roles.role
    }

    /// The state for the status page.
    pub fn status(&self, now: Timestamp) -> SyncStatus {
        let reads = self.roles.role != Role::Follower;
        SyncStatus {
            revision: self.store.revision(),
            digest: self.store.digest(),
            source: self.source.clone(),
            confirmed: self.confirmed.map(|at| now.since(at)),
            role: self.roles.role,
            refused: self.refused.iter().max_by_key(|r| r.revision).cloned(),
            conflict: self.conflicts.last().map(|&(revision, _)| revision),
            service_failure: self.service.last_failure.filter(|_| reads),
        }
    }

    /// Performs the work that is due. To be called every 100 ms with the current
    /// membership view.
    pub fn tick(&mut self, now: Timestamp, view: &View) -> Vec<Action> {
        let mut out = Vec::new();
        self.peers.update(&self.me, &self.settings, view);
        self.tick_role(now, &mut out);
        self.tick_heartbeat(now, &mut out);
        self.step_service(now, &mut out);
        self.step_pull(now, &mut out);
        self.tick_exchange(now, view, &mut out);
        if self.due.reannounce.is_some_and(|at| now >= at) {
            self.due.reannounce = None;
            self.announce(now, &mut out);
        }
        out
    }

    /// The process resumed after a pause. Queries peers for the newest
    /// configuration and repeats the call to the service that was pending.
    pub fn resumed(&mut self, now: Timestamp) -> Vec<Action> {
        let mut out = Vec::new();
        self.roles.reset(now);
        self.cancel_reading(&mut out);
        if let Some(target) = &mut self.target {
            target.reset();
            target.fetching = None;
        }
        self.query_peers(now, &mut out);
        out
    }

    fn tick_role(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let before = self.roles.role;
        let me = &self.me.instance;
        let role = self
            .roles
            .decide(now, me, &self.peers, &self.settings, &mut self.rng);
        if role == before {
            return;
        }
        self.roles.role = role;
        out.push(Action::RoleChanged(role));
        if role == Role::Follower {
            self.cancel_reading(out);
        } else if before == Role::Follower {
            self.pace(now);
        }
    }

    /// Cancels the pending call to the service. A revision that was being read
    /// from it is fetched from peers if one has it.
    pub(crate) fn cancel_reading(&mut self, out: &mut Vec<Action>) {
        if self.service.phase != Phase::Idle {
            self.service.phase = Phase::Idle;
            out.push(Action::CancelCall);
        }
        self.continue_from_peers();
    }

    pub(crate) fn continue_from_peers(&mut self) {
        if let Some(target) = &mut self.target {
            target.from_service = false;
            target.fetching = None;
        }
        self.target.take_if(|t| !t.has_sources());
    }

    fn tick_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.roles.role == Role::Follower || now < self.roles.next_heartbeat {
            return;
        }
        self.roles.next_heartbeat = now + self.settings.heartbeat_period;
        self.roles.sequence += 1;
        let confirmed = self.service.last_success;
        let message = SyncMessage::Heartbeat {
            reader: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            sequence: self.roles.sequence,
            substitute: self.roles.role == Role::Substitute,
            revision: self.store.revision(),
            digest: self.store.digest(),
            confirmed: confirmed.map(|at| Millis::from(now.since(at))),
        };
        for to in self.peers.near(&mut self.rng, self.settings.fanout) {
            let message = message.clone();
            out.push(Action::Send { to, message });
        }
    }

    fn tick_exchange(&mut self, now: Timestamp, view: &View, out: &mut Vec<Action>) {
        if now < self.due.exchange {
            return;
        }
        let bootstrapping = self.store.current.is_none();
        let period = match bootstrapping {
            true => self.settings.bootstrap_period,
            false => self.settings.exchange_period,
        };
        self.due.exchange = now + period.mul_f64(self.rng.random_range(0.5..1.5));
        if bootstrapping {
            return self.query_peers(now, out);
        }
        let newest = Peers::newest(view, self.store.revision());
        let peer = newest.or_else(|| self.peers.random_peer(now, &self.settings, &mut self.rng));
        if let Some(to) = peer {
            let message = self.state_message();
            out.push(Action::Send { to, message });
        }
    }

    /// Sends the state to some peers, so that those with a newer revision respond.
    fn query_peers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut peers = self
            .peers
            .announcement_peers(now, &self.settings, &mut self.rng);
        peers.truncate(QUERY_PEERS);
        for to in peers {
            let message = self.state_message();
            out.push(Action::Send { to, message });
        }
    }

    pub(crate) fn state_message(&self) -> SyncMessage {
        SyncMessage::State {
            revision: self.store.revision(),
            digest: self.store.digest(),
        }
    }

    /// Announces the revision in effect to some peers.
    pub(crate) fn announce(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for to in self
            .peers
            .announcement_peers(now, &self.settings, &mut self.rng)
        {
            let message = self.state_message();
            out.push(Action::Send { to, message });
        }
    }
}
