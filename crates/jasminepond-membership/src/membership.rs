//! The membership state machine: state, inputs and timers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use jasminepond_types::RegionId;
use jasminepond_types::{Incarnation, InstanceId, Millis, Revision, ServerId, Timestamp, ZoneId};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    Body, ConfigVersion, LocalMember, Member, MemberState, Message, Rank, Record, ReportKind,
    ServerReport, Settings, View,
    exchange::Pull,
    gossip::{Order, Queue},
    merge::Spread,
    probe::Probes,
    reports::{ReportKey, Reports},
    tombstone::Tombstones,
};

/// Number of members and seeds asked for their view at a time, on joining and
/// after a pause.
const JOIN_FANOUT: usize = 3;

/// Number of members notified immediately when this daemon leaves or refutes.
const URGENT_FANOUT: usize = 4;

/// Number of exchanges after joining before their interval starts to grow.
const FAST_EXCHANGES: u32 = 5;

/// Number of members notified immediately when this daemon has joined.
const ANNOUNCE_FANOUT: usize = 256;

/// Number of probes sent to a suspected member just before it is declared dead.
const FINAL_PROBES: u32 = 3;

/// Sequence number of probes whose acks are not tracked.
const UNTRACKED_SEQUENCE: u32 = u32::MAX;

/// Number of suspicion timeouts without a response after which a resumed daemon
/// trusts its own probes again. If it then finds every other member dead, it
/// stops waiting for a response.
const ISOLATED_AFTER_TIMEOUTS: u32 = 2;

/// Action or event for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message to encode.
        message: Box<Message>,
    },
    /// A member changed in [`Membership::view`].
    Changed(Change),
    /// A new report about a backend server was received.
    Report(ServerReport),
    /// The view is confirmed again after [`Membership::on_resume`].
    Confirmed,
    /// Another daemon runs as this instance with the given incarnation, which is
    /// the same as or higher than that of this daemon. This daemon has to stop,
    /// or to restart with a higher incarnation.
    Superseded(Incarnation),
}

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation after the change, or the last known one if the member was
    /// removed.
    pub incarnation: Incarnation,
    /// The previous state, `None` if the member was unknown.
    pub from: Option<MemberState>,
    /// The new state, `None` if the member was removed.
    pub to: Option<MemberState>,
}

/// Suspicion of a member and the time at which it is declared dead.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub(crate) rank: Rank,
    pub(crate) expires: Timestamp,
    /// Number of probes sent to the suspect shortly before the suspicion expires.
    pub(crate) final_probes: u32,
}

/// Times at which periodic work is next due.
#[derive(Debug, Default)]
pub(crate) struct Due {
    probe: Timestamp,
    gossip: Timestamp,
    exchange: Timestamp,
    reports: Timestamp,
    heal: Timestamp,
    join: Timestamp,
}

/// Membership state machine of one daemon.
///
/// ```
/// use jasminepond_membership::{LocalMember, Membership, Settings};
/// use jasminepond_types::{Incarnation, Timestamp};
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
/// let mut membership = Membership::new(Settings::default(), me, 42);
/// membership.set_seeds(["127.0.0.1:7002".parse().unwrap()]);
/// // The first tick requests the view of the seed.
/// assert_eq!(membership.tick(Timestamp::ZERO).len(), 1);
/// assert_eq!(membership.view().len(), 1);
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) rng: StdRng,
    pub(crate) me: Member,
    pub(crate) view: View,
    pub(crate) changes: Queue<InstanceId>,
    pub(crate) config_changes: Queue<InstanceId>,
    pub(crate) report_changes: Queue<ReportKey>,
    pub(crate) reports: Reports,
    pub(crate) report_sequence: u64,
    pub(crate) tombstones: Tombstones,
    pub(crate) suspicions: BTreeMap<InstanceId, Suspicion>,
    pub(crate) gone_since: BTreeMap<InstanceId, Timestamp>,
    pub(crate) zones: BTreeSet<ZoneId>,
    pub(crate) regions: BTreeSet<RegionId>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) probes: Probes,
    pub(crate) pull: Option<Pull>,
    /// Nonce of the current view requests; replies with another one are stale.
    pub(crate) nonce: u32,
    pub(crate) joined: bool,
    /// Number of exchanges started since this daemon joined.
    exchanges: u32,
    /// Time at which the process resumed; `None` once the view is confirmed.
    pub(crate) unconfirmed_since: Option<Timestamp>,
    pub(crate) superseded: Option<Incarnation>,
    pub(crate) due: Due,
    last_tick: Option<Timestamp>,
}

impl Membership {
    /// Creates the state of a daemon that knows only itself. `seed` makes its
    /// random choices reproducible; daemons should use different seeds.
    pub fn new(settings: Settings, me: LocalMember, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let me = me.into_member();
        let mut changes = Queue::new(Order::LeastSent);
        changes.push(me.instance.clone());
        Self {
            view: View::from_members([me.clone()]),
            changes,
            config_changes: Queue::new(Order::RoundRobin),
            report_changes: Queue::new(Order::LeastSent),
            reports: Reports::default(),
            report_sequence: 0,
            tombstones: Tombstones::default(),
            suspicions: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            zones: BTreeSet::from([me.zone.clone()]),
            regions: BTreeSet::from([me.region.clone()]),
            seeds: Vec::new(),
            probes: Probes::new(&mut rng),
            pull: None,
            nonce: rng.random(),
            joined: false,
            exchanges: 0,
            unconfirmed_since: None,
            superseded: None,
            due: Due::default(),
            last_tick: None,
            settings,
            rng,
            me,
        }
    }

    /// The local view of the members.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This daemon's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether the view can be acted on. False from [`Self::on_resume`] until the
    /// view of another member has been received, or until every other member
    /// has been found dead since.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_since.is_none()
    }

    /// Whether a full view was received from another member since the start.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Replaces the seed addresses, which come from the instance list. A seed is
    /// contacted if no member is known at its address. The absence of an address
    /// has no effect on the member there.
    pub fn set_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = addresses.into_iter().collect();
        self.seeds.retain(|&a| a != self.me.membership_address);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }

    /// Loads the members of another daemon's view as if it had just been received
    /// in full, so that a simulation can start with a large tier.
    pub fn load_view(&mut self, view: &View) {
        let me = self.view.get(&self.me.instance).cloned();
        self.view = view.clone();
        if let Some(me) = me {
            self.view.put(Member::clone(&me));
        }
        self.joined = true;
    }

    /// Announces the departure of this daemon. It keeps responding until it stops.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        if self.me.state != MemberState::Leaving {
            self.update_own_record(MemberState::Leaving, &mut out);
            self.gossip_urgently(now, &mut out);
        }
        out
    }

    /// Handles the resumption of the process after a pause. The age of all known
    /// state is unknown, so earlier probes are discarded, only this daemon's own
    /// record is sent, and members are asked for their views.
    pub fn on_resume(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        self.unconfirmed_since = Some(now);
        // Replies to earlier requests may still be queued in a socket.
        self.nonce = self.nonce.wrapping_add(1);
        self.probes.reset();
        self.pull = None;
        self.changes.clear();
        self.config_changes.clear();
        self.report_changes.clear();
        self.restart_suspicions(now);
        self.due = Due {
            probe: now,
            join: now,
            ..Due::default()
        };
        self.refute(now, self.me.refutation, &mut out);
        self.request_views(now, &mut out);
        out
    }

    /// Sets the configuration that this daemon has in effect. A revision older
    /// than the current one is ignored.
    pub fn set_config(&mut self, revision: Revision, digest: &[u8; 32]) {
        let version = ConfigVersion::new(revision, digest);
        if version > self.me.config {
            self.me.config = version;
            self.view.put(self.me.clone());
            self.config_changes.push(self.me.instance.clone());
        }
    }

    /// Sets whether this daemon reaches backend servers, and announces a change at once: the
    /// others send it no work while it does not.
    pub fn set_reaches_servers(&mut self, now: Timestamp, reaches: bool) -> Vec<Output> {
        let mut out = Vec::new();
        if self.me.reaches_servers != reaches {
            self.me.reaches_servers = reaches;
            // Outranks the records that other daemons have.
            self.me.refutation = self.me.refutation.saturating_add(1);
            self.update_own_record(self.me.state, &mut out);
            self.announce(now, &mut out);
        }
        out
    }

    /// Disseminates the state of a backend server as observed by this daemon.
    pub fn report(&mut self, now: Timestamp, server: ServerId, kind: ReportKind) {
        self.report_sequence += 1;
        let report = ServerReport {
            server,
            kind,
            reporter: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            sequence: self.report_sequence,
            age: Millis(0),
        };
        self.merge_report(now, &report);
    }

    /// Resends this daemon's own reports.
    fn tick_reports(&mut self, now: Timestamp) {
        if now < self.due.reports {
            return;
        }
        self.due.reports = now + self.settings.report_interval;
        let own = |report: &ServerReport| {
            report.reporter == self.me.instance && report.incarnation == self.me.incarnation
        };
        let own: Vec<ServerReport> = self.reports.iter(now).filter(own).collect();
        for report in own {
            self.report_sequence += 1;
            let sequence = self.report_sequence;
            self.merge_report(now, &ServerReport { sequence, ..report });
        }
    }

    /// All unexpired reports, including those of this daemon.
    pub fn reports(&self, now: Timestamp) -> impl Iterator<Item = ServerReport> {
        self.reports.iter(now)
    }

    /// The earliest time at which [`Self::tick`] has work to do.
    pub fn next_tick(&self) -> Timestamp {
        let needs_view = !self.joined || !self.is_confirmed();
        let probe = self.probes.current.as_ref().filter(|p| !p.indirect);
        let pull = self.last_tick.filter(|_| self.pull.is_some());
        let times = [
            Some(self.due.probe),
            Some(self.due.gossip),
            Some(self.due.exchange).filter(|_| self.joined),
            Some(self.due.heal).filter(|_| self.joined),
            Some(self.due.join).filter(|_| needs_view && self.pull.is_none()),
            probe.map(|p| p.sent + self.settings.probe_timeout),
            pull.map(|at| at + self.settings.probe_timeout),
        ];
        times.into_iter().flatten().min().unwrap_or_default()
    }

    /// Runs the timers that are due. The caller must call it at
    /// [`Self::next_tick`], and at least every 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        self.compensate_late_tick(now);
        self.tick_probe(now, &mut out);
        self.tick_suspicions(now, &mut out);
        self.tick_exchange(now, &mut out);
        self.tick_reports(now);
        self.tick_gossip(now, &mut out);
        self.expire(now, &mut out);
        self.last_tick = Some(now);
        out
    }

    /// Drops the current probe and extends the suspicions after a late tick: the
    /// ack or the refutation may still be queued in a socket.
    fn compensate_late_tick(&mut self, now: Timestamp) {
        let Some(last) = self.last_tick else {
            return;
        };
        let gap = now.since(last);
        if gap >= self.settings.probe_period {
            self.probes.current = None;
            for suspicion in self.suspicions.values_mut() {
                suspicion.expires = suspicion.expires + gap;
            }
        }
    }

    fn tick_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if now >= self.due.probe {
            self.due.probe = now + self.settings.probe_period;
            self.finish_probe(now, out);
            self.start_probe(now, out);
        }
        self.probe_indirectly(now, out);
        self.probes
            .expire_relays(now, self.settings.probe_period * 2);
    }

    /// Suspects the probed member if it has not responded within this period.
    fn finish_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.current.take() else {
            return;
        };
        let member = self.view.get(&probe.target).map(|m| Member::clone(m));
        let unchanged = member.filter(|m| m.rank() == probe.rank);
        if let Some(member) = unchanged
            && member.state == MemberState::Alive
            && self.can_trust_timeouts(now)
        {
            let state = MemberState::Suspect;
            self.merge_record(now, Record(Member { state, ..member }, 0), Spread::Yes, out);
        }
    }

    fn start_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let me = &self.me.instance;
        let target = self.probes.next_target(&self.view, me, &mut self.rng);
        let Some(member) = target.and_then(|t| self.view.get(&t).cloned()) else {
            return;
        };
        let sequence = self.probes.next_sequence();
        self.probes.current = Some(crate::probe::Probe {
            target: member.instance.clone(),
            rank: member.rank(),
            sequence,
            sent: now,
            indirect: false,
        });
        let target = member.instance.clone();
        self.send_to(now, &member, Body::Probe { sequence, target }, out);
    }

    /// Asks other members to probe the target if it has not responded to the
    /// direct probe.
    fn probe_indirectly(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let timeout = self.settings.probe_timeout;
        let Some(probe) = &mut self.probes.current else {
            return;
        };
        if probe.indirect || now.since(probe.sent) < timeout {
            return;
        }
        probe.indirect = true;
        let (target, sequence) = (probe.target.clone(), probe.sequence);
        for helper in self.random_members(self.settings.indirect_probes, Some(&target)) {
            let target = target.clone();
            self.send_to(now, &helper, Body::IndirectProbe { sequence, target }, out);
        }
    }

    fn tick_suspicions(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        if !self.can_trust_timeouts(now) {
            return;
        }
        self.probe_suspects(now, out);
        let due = self.suspicions.iter().filter(|(_, s)| now >= s.expires);
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            let suspicion = self.suspicions.remove(&instance);
            let member = self.view.get(&instance).map(|m| Member::clone(m));
            let unchanged = |m: &Member| suspicion.as_ref().is_some_and(|s| s.rank == m.rank());
            if let Some(member) = member.filter(unchanged) {
                let state = MemberState::Dead;
                self.merge_record(now, Record(Member { state, ..member }, 0), Spread::Yes, out);
            }
        }
    }

    /// Probes suspected members shortly before they are declared dead, because the
    /// gossip that carries refutations occasionally misses a daemon.
    fn probe_suspects(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let mut targets = Vec::new();
        for (instance, suspicion) in &mut self.suspicions {
            let left = FINAL_PROBES.saturating_sub(suspicion.final_probes);
            let before = self.settings.probe_timeout * left;
            if left > 0 && now + before >= suspicion.expires {
                suspicion.final_probes += 1;
                targets.extend(self.view.get(instance).cloned());
            }
        }
        for member in targets {
            let target = member.instance.clone();
            // Only the sender's record in the ack matters.
            let sequence = UNTRACKED_SEQUENCE;
            self.send_to(now, &member, Body::Probe { sequence, target }, out);
        }
    }

    fn tick_exchange(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.step_pull(now, out);
        let needs_view = !self.joined || !self.is_confirmed();
        if needs_view && self.pull.is_none() && now >= self.due.join {
            self.due.join = now + self.settings.probe_timeout;
            self.request_views(now, out);
        }
        if self.joined && now >= self.due.exchange {
            let period = self.current_exchange_period();
            self.due.exchange = now + self.jittered(period);
            self.exchanges = self.exchanges.saturating_add(1);
            if self.pull.is_none() {
                let peers = self.random_members(1, None);
                self.send_summary(now, peers.iter().map(|m| m.membership_address), out);
            }
        }
        if self.joined && now >= self.due.heal {
            self.due.heal = now + self.jittered(self.settings.heal_period);
            let address = self.unreached_address();
            self.send_summary(now, address, out);
        }
        self.confirm_if_isolated(now, out);
    }

    /// Requests the views of members and seeds, to join or after a pause.
    fn request_views(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let members = self.random_members(JOIN_FANOUT, None);
        let mut peers: Vec<_> = members.iter().map(|m| m.membership_address).collect();
        if peers.len() < JOIN_FANOUT {
            peers.extend(self.random_seeds(JOIN_FANOUT - peers.len()));
        }
        self.send_summary(now, peers, out);
    }

    fn current_exchange_period(&self) -> Duration {
        let first = self.settings.first_exchange_period;
        let doublings = self.exchanges.saturating_sub(FAST_EXCHANGES);
        let doubled = first.saturating_mul(2_u32.saturating_pow(doublings));
        doubled.min(self.settings.exchange_period)
    }

    /// Whether this daemon joined recently, so that its view may lack many members
    /// that joined at the same time.
    pub(crate) fn is_settling(&self) -> bool {
        self.current_exchange_period() < self.settings.exchange_period
    }

    /// Random duration between 0.5 and 1.5 times `period`, so that daemons that
    /// started together do not stay in step.
    fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Whether a resumed daemon has gone without any response for long enough to
    /// trust its own probes.
    fn is_isolated(&self, now: Timestamp) -> bool {
        let timeout = self.settings.suspicion_timeout(self.view.len());
        let since = self.unconfirmed_since;
        since.is_some_and(|at| now.since(at) >= timeout * ISOLATED_AFTER_TIMEOUTS)
    }

    /// Whether a missing response is evidence against the other daemon. After a
    /// pause this daemon is more likely the one without connectivity.
    fn can_trust_timeouts(&self, now: Timestamp) -> bool {
        self.is_confirmed() || self.is_isolated(now)
    }

    fn confirm_if_isolated(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let others = |m: &&std::sync::Arc<Member>| m.instance != self.me.instance;
        let mut others = self.view.members().iter().filter(others);
        let no_others = self.view.len() == 1 && self.seeds.is_empty();
        let isolated = self.is_isolated(now) && others.all(|m| m.is_gone());
        if !self.is_confirmed() && (no_others || isolated) {
            self.confirm(now, out);
        }
    }

    fn tick_gossip(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let idle = self.changes.is_empty() && self.report_changes.is_empty();
        if now < self.due.gossip {
            return;
        }
        self.due.gossip = now + self.settings.gossip_period;
        if !idle {
            for peer in self.random_members(1, None) {
                self.send_to(now, &peer, Body::Gossip, out);
            }
        }
    }

    /// Notifies many members of this daemon's record. Gossip alone takes seconds if hundreds
    /// of daemons change at the same time.
    pub(crate) fn announce(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for peer in self.random_members(ANNOUNCE_FANOUT, None) {
            self.send_to(now, &peer, Body::Gossip, out);
        }
    }

    /// Immediately notifies a few members of a change of this daemon's record.
    pub(crate) fn gossip_urgently(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for peer in self.random_members(URGENT_FANOUT, None) {
            self.send_to(now, &peer, Body::Gossip, out);
        }
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.reports.expire(now, self.settings.report_ttl);
        self.tombstones.expire(now, self.settings.tombstone_ttl);
        let old = |at: Timestamp| now.since(at) >= self.settings.forget_after;
        let due = self.gone_since.iter().filter(|&(_, &at)| old(at));
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            self.forget(now, &instance, out);
        }
    }
}
