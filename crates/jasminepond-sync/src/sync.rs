//! The state machine: its state, its inputs from the daemon, its timers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use jasminepond_membership::{Me, View};
use jasminepond_types::{InstanceId, Millis, Revision, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Digest, Role, ServiceFailure, Settings, SyncMessage,
    peers::Peers,
    pull::Target,
    roles::Roles,
    service::{Phase, Service},
    store::{Complete, Share, Store},
};

/// Peers asked after a pause and before the first configuration.
const SEARCH_PEERS: usize = 3;

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Wait at the service for a revision above `after`. Ends with
    /// [`Sync::service_tree`], [`Sync::service_unchanged`] or
    /// [`Sync::service_failed`].
    Watch {
        /// The revision that is known.
        after: Revision,
    },
    /// Abandon the pending call to the service; its outcome is not reported.
    CancelCall,
    /// Read a file from the service. Ends with [`Sync::service_file`] or
    /// [`Sync::service_failed`].
    FetchFromService {
        /// The name of the file.
        name: Arc<str>,
        /// The digest of the wanted content.
        digest: Digest,
    },
    /// Send a message to a daemon.
    Send {
        /// Where to.
        to: InstanceId,
        /// What.
        message: SyncMessage,
    },
    /// Offer a complete revision to the configuration aggregate. Answered
    /// with [`Sync::accepted`] or [`Sync::refused`]; no other is offered
    /// before.
    Offer {
        /// The revision, higher than the one in effect.
        revision: Revision,
        /// Its files in order of name.
        files: Vec<File>,
    },
    /// This daemon's role has changed.
    RoleChanged(Role),
    /// The same revision exists with different content. The one in effect
    /// stays; neither is spread further because of this.
    Conflict {
        /// The revision.
        revision: Revision,
        /// The digest in effect or being collected here.
        ours: Digest,
        /// The other digest.
        theirs: Digest,
        /// Who has it.
        source: Source,
    },
    /// A revision of the service cannot be used.
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
    /// Its name within the folder.
    pub name: Arc<str>,
    /// Its content.
    pub bytes: Bytes,
}

/// Where a revision came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Service,
    /// Another daemon.
    Peer(InstanceId),
}

/// A revision that this daemon does not use, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The revision.
    pub revision: Revision,
    /// Its digest, none if its list of files was already refused.
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
    /// Time since the service answered a reader that this daemon heard of.
    pub confirmed: Option<Duration>,
    /// This daemon's role.
    pub role: Role,
    /// The newest refused revision.
    pub refused: Option<Refusal>,
    /// The newest revision with two contents.
    pub conflict: Option<Revision>,
    /// The last failure of the service, if this daemon reads it and the
    /// service has not answered since.
    pub service_failure: Option<ServiceFailure>,
}

/// A complete revision that was offered and not answered yet.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) complete: Complete,
    pub(crate) source: Source,
}

/// Times at which periodic work is due.
#[derive(Debug, Default)]
pub(crate) struct Due {
    exchange: Timestamp,
    pub(crate) repeat: Option<Timestamp>,
}

/// Spreading of the configuration at one daemon.
///
/// ```
/// use jasminepond_membership::{Me, Membership, Settings as MembershipSettings};
/// use jasminepond_sync::{Action, Role, Settings, Sync};
/// use jasminepond_types::{Incarnation, Revision, Timestamp};
///
/// let me = Me {
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
    pub(crate) me: Me,
    pub(crate) peers: Peers,
    pub(crate) roles: Roles,
    pub(crate) service: Service,
    pub(crate) store: Store,
    pub(crate) share: Share,
    pub(crate) target: Option<Target>,
    pub(crate) offered: Option<Offered>,
    pub(crate) source: Option<Source>,
    pub(crate) refused: Vec<Refusal>,
    pub(crate) conflicts: BTreeSet<(Revision, Digest)>,
    /// When the service last answered a reader, from its heartbeats.
    pub(crate) confirmed: Option<Timestamp>,
    pub(crate) due: Due,
}

impl Sync {
    /// A daemon without a configuration. `seed` makes its random choices
    /// reproducible; daemons should have different ones.
    pub fn new(settings: Settings, me: Me, seed: u64) -> Self {
        Self {
            share: Share::new(settings.send_burst),
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

    /// The number of daemons on the instance list. It only paces the reads of
    /// a daemon that starts cut off and knows no other.
    pub fn expect_members(&mut self, members: usize) {
        self.peers.most_members = self.peers.most_members.max(members);
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

    /// Does what is due. To be called every 100 ms, with the view of the
    /// membership.
    pub fn tick(&mut self, now: Timestamp, view: &View) -> Vec<Action> {
        let mut out = Vec::new();
        self.peers.update(&self.me, &self.settings, view);
        self.tick_role(now, &mut out);
        self.tick_heartbeat(now, &mut out);
        self.step_service(now, &mut out);
        self.step_pull(now, &mut out);
        self.tick_exchange(now, view, &mut out);
        if self.due.repeat.is_some_and(|at| now >= at) {
            self.due.repeat = None;
            self.announce(now, &mut out);
        }
        out
    }

    /// The process resumed after a pause: peers are asked for the newest
    /// configuration, and a call to the service that was pending is repeated.
    pub fn resumed(&mut self, now: Timestamp) -> Vec<Action> {
        let mut out = Vec::new();
        self.roles.restart(now);
        self.stop_reading(&mut out);
        if let Some(target) = &mut self.target {
            target.reset();
            target.reading = None;
        }
        self.search(now, &mut out);
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
            self.stop_reading(out);
        } else if before == Role::Follower {
            self.pace(now);
        }
    }

    /// Leaves the service alone. What was being read from it is collected
    /// from peers if one has it.
    pub(crate) fn stop_reading(&mut self, out: &mut Vec<Action>) {
        if self.service.phase != Phase::Idle {
            self.service.phase = Phase::Idle;
            out.push(Action::CancelCall);
        }
        self.leave_to_peers();
    }

    pub(crate) fn leave_to_peers(&mut self) {
        if let Some(target) = &mut self.target {
            target.from_service = false;
            target.reading = None;
        }
        self.target.take_if(|t| !t.has_sources());
    }

    fn tick_heartbeat(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.roles.role == Role::Follower || now < self.roles.next_heartbeat {
            return;
        }
        self.roles.next_heartbeat = now + self.settings.heartbeat_period;
        self.roles.sequence += 1;
        let confirmed = self.service.answered;
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
        let searching = self.store.current.is_none();
        let period = match searching {
            true => self.settings.bootstrap_period,
            false => self.settings.exchange_period,
        };
        self.due.exchange = now + period.mul_f64(self.rng.random_range(0.5..1.5));
        if searching {
            return self.search(now, out);
        }
        let newest = Peers::newest(view, self.store.revision());
        let peer = newest.or_else(|| self.peers.any(now, &self.settings, &mut self.rng));
        if let Some(to) = peer {
            let message = self.state();
            out.push(Action::Send { to, message });
        }
    }

    /// Asks some peers for what they have.
    fn search(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut peers = self.peers.mixed(now, &self.settings, &mut self.rng);
        peers.truncate(SEARCH_PEERS);
        for to in peers {
            let message = self.state();
            out.push(Action::Send { to, message });
        }
    }

    pub(crate) fn state(&self) -> SyncMessage {
        SyncMessage::State {
            revision: self.store.revision(),
            digest: self.store.digest(),
        }
    }

    /// Tells some peers what is in effect here.
    pub(crate) fn announce(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for to in self.peers.mixed(now, &self.settings, &mut self.rng) {
            let message = self.state();
            out.push(Action::Send { to, message });
        }
    }
}
