//! The state machine: its state, its inputs and its timers.

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
    learn::Spread,
    probe::Probes,
    reports::{ReportKey, Reports},
    tombstone::Tombstones,
};

/// Seeds contacted at a time while joining.
const JOIN_FANOUT: usize = 3;

/// Members told at once when this daemon leaves or refutes.
const URGENT_FANOUT: usize = 4;

/// Exchanges after joining before the time between two begins to grow.
const FIRST_EXCHANGES: u32 = 5;

/// Members told at once when this daemon has joined.
const ANNOUNCE_FANOUT: usize = 256;

/// Questions to a suspected member before it is declared dead.
const LAST_QUESTIONS: u32 = 3;

/// Sequence number of probes whose answers are not waited for.
const UNCOUNTED: u32 = u32::MAX;

/// Suspicion timeouts after which a resumed daemon that finds every other
/// member dead stops waiting for an answer.
const ALONE_AFTER: u32 = 2;

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// A member changed in [`Membership::view`].
    Changed(Change),
    /// A report about a backend server arrived for the first time.
    Report(ServerReport),
    /// The view is confirmed again after [`Membership::on_resume`].
    Confirmed,
    /// Another daemon runs under this instance with this or a higher
    /// incarnation. This one has to stop or to restart with a higher one.
    Superseded(Incarnation),
}

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation after the change, or the last one if it was forgotten.
    pub incarnation: Incarnation,
    /// The state before, none if it was not known.
    pub from: Option<MemberState>,
    /// The state after, none if it was forgotten.
    pub to: Option<MemberState>,
}

/// A suspected member and when it is declared dead.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub(crate) rank: Rank,
    pub(crate) until: Timestamp,
    /// Questions to the suspect before the end.
    pub(crate) asked: u32,
}

/// Times at which periodic work is due.
#[derive(Debug, Default)]
pub(crate) struct Due {
    probe: Timestamp,
    gossip: Timestamp,
    exchange: Timestamp,
    reports: Timestamp,
    heal: Timestamp,
    join: Timestamp,
}

/// Membership of one daemon.
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
/// // The first thing to do is to ask the seed for its view.
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
    pub(crate) gone: BTreeMap<InstanceId, Timestamp>,
    pub(crate) zones: BTreeSet<ZoneId>,
    pub(crate) regions: BTreeSet<RegionId>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) probes: Probes,
    pub(crate) pull: Option<Pull>,
    /// Number of the last question for a view; older answers are stale.
    pub(crate) nonce: u32,
    pub(crate) joined: bool,
    /// Exchanges that were begun since this daemon joined.
    exchanges: u32,
    /// When the process resumed, until a member has answered.
    pub(crate) unconfirmed_since: Option<Timestamp>,
    pub(crate) superseded: Option<Incarnation>,
    pub(crate) due: Due,
    last_tick: Option<Timestamp>,
}

impl Membership {
    /// A daemon that knows only itself. `seed` makes its random choices
    /// reproducible; daemons should have different ones.
    pub fn new(settings: Settings, me: LocalMember, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let me = me.member();
        let mut changes = Queue::new(Order::LeastSent);
        changes.push(me.instance.clone());
        Self {
            view: View::from_members([me.clone()]),
            changes,
            config_changes: Queue::new(Order::Turns),
            report_changes: Queue::new(Order::LeastSent),
            reports: Reports::default(),
            report_sequence: 0,
            tombstones: Tombstones::default(),
            suspicions: BTreeMap::new(),
            gone: BTreeMap::new(),
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

    /// The members as this daemon sees them.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This daemon's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether the view can be acted on. False from [`Self::on_resume`] until
    /// another member has answered, or until every other member has been
    /// found dead since.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_since.is_none()
    }

    /// Whether a full view was received from another member since the start.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Replaces the addresses from the instance list. They are contacted if
    /// no member is known under them; an address that is missing from the
    /// list says nothing.
    pub fn set_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = addresses.into_iter().collect();
        self.seeds.retain(|&a| a != self.me.membership_address);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }

    /// Takes over the members of another daemon's view as if it had just been
    /// received in full. Lets a simulation start with a large tier.
    pub fn load_view(&mut self, view: &View) {
        let me = self.view.get(&self.me.instance).cloned();
        self.view = view.clone();
        if let Some(me) = me {
            self.view.put(Member::clone(&me));
        }
        self.joined = true;
    }

    /// Announces that this daemon leaves. It keeps answering until it stops.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        if self.me.state != MemberState::Leaving {
            self.set_me(MemberState::Leaving, &mut out);
            self.tell_urgently(now, &mut out);
        }
        out
    }

    /// The process resumed after a pause. Everything known is of unknown age:
    /// nothing is concluded from earlier probes, nothing but this daemon's own
    /// record is passed on, and a member is asked for its view.
    pub fn on_resume(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        self.unconfirmed_since = Some(now);
        // Answers to earlier questions may still wait in a socket.
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
        self.ask_for_view(now, &mut out);
        out
    }

    /// The configuration that this daemon has in effect. An older revision
    /// than the one set before is ignored.
    pub fn set_config(&mut self, revision: Revision, digest: &[u8; 32]) {
        let mark = ConfigVersion::new(revision, digest);
        if mark > self.me.config {
            self.me.config = mark;
            self.view.put(self.me.clone());
            self.config_changes.push(self.me.instance.clone());
        }
    }

    /// Spreads what this daemon observed of a backend server.
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
        self.learn_report(now, &report);
    }

    /// Spreads this daemon's own reports again.
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
            self.learn_report(now, &ServerReport { sequence, ..report });
        }
    }

    /// All reports that have not expired, this daemon's own included.
    pub fn reports(&self, now: Timestamp) -> impl Iterator<Item = ServerReport> {
        self.reports.iter(now)
    }

    /// When [`Self::tick`] has something to do at the earliest.
    pub fn next_tick(&self) -> Timestamp {
        let searching = !self.joined || !self.is_confirmed();
        let probe = self.probes.current.as_ref().filter(|p| !p.indirect);
        let pull = self.last_tick.filter(|_| self.pull.is_some());
        let times = [
            Some(self.due.probe),
            Some(self.due.gossip),
            Some(self.due.exchange).filter(|_| self.joined),
            Some(self.due.heal).filter(|_| self.joined),
            Some(self.due.join).filter(|_| searching && self.pull.is_none()),
            probe.map(|p| p.sent + self.settings.probe_timeout),
            pull.map(|at| at + self.settings.probe_timeout),
        ];
        times.into_iter().flatten().min().unwrap_or_default()
    }

    /// Does what is due. To be called at [`Self::next_tick`], at the latest
    /// every 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        let mut out = Vec::new();
        self.notice_late_tick(now);
        self.tick_probe(now, &mut out);
        self.tick_suspicions(now, &mut out);
        self.tick_views(now, &mut out);
        self.tick_reports(now);
        self.tick_gossip(now, &mut out);
        self.expire(now, &mut out);
        self.last_tick = Some(now);
        out
    }

    /// A probe is not missed and a suspicion does not end because this daemon
    /// was late: the answer may be waiting in a socket.
    fn notice_late_tick(&mut self, now: Timestamp) {
        let Some(last) = self.last_tick else {
            return;
        };
        let gap = now.since(last);
        if gap >= self.settings.probe_period {
            self.probes.current = None;
            for suspicion in self.suspicions.values_mut() {
                suspicion.until = suspicion.until + gap;
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

    /// Suspects the member that has not answered in this period.
    fn finish_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.current.take() else {
            return;
        };
        let member = self.view.get(&probe.target).map(|m| Member::clone(m));
        let unchanged = member.filter(|m| m.rank() == probe.rank);
        if let Some(member) = unchanged
            && member.state == MemberState::Alive
            && self.can_conclude(now)
        {
            let state = MemberState::Suspect;
            self.learn(now, Record(Member { state, ..member }, 0), Spread::Yes, out);
        }
    }

    fn start_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let me = &self.me.instance;
        let target = self.probes.next_target(&self.view, me, &mut self.rng);
        let Some(member) = target.and_then(|t| self.view.get(&t).cloned()) else {
            return;
        };
        let sequence = self.probes.sequence();
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

    /// Asks others to probe the member that has not answered directly.
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
        if !self.can_conclude(now) {
            return;
        }
        self.ask_suspects(now, out);
        let due = self.suspicions.iter().filter(|(_, s)| now >= s.until);
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            let suspicion = self.suspicions.remove(&instance);
            let member = self.view.get(&instance).map(|m| Member::clone(m));
            let unchanged = |m: &Member| suspicion.as_ref().is_some_and(|s| s.rank == m.rank());
            if let Some(member) = member.filter(unchanged) {
                let state = MemberState::Dead;
                self.learn(now, Record(Member { state, ..member }, 0), Spread::Yes, out);
            }
        }
    }

    /// Asks members before they are declared dead. Their refutations spread by gossip,
    /// which misses a daemon now and then.
    fn ask_suspects(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let mut targets = Vec::new();
        for (instance, suspicion) in &mut self.suspicions {
            let left = LAST_QUESTIONS.saturating_sub(suspicion.asked);
            let before = self.settings.probe_timeout * left;
            if left > 0 && now + before >= suspicion.until {
                suspicion.asked += 1;
                targets.extend(self.view.get(instance).cloned());
            }
        }
        for member in targets {
            let target = member.instance.clone();
            // Only the record in the answer counts.
            let sequence = UNCOUNTED;
            self.send_to(now, &member, Body::Probe { sequence, target }, out);
        }
    }

    fn tick_views(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.step_pull(now, out);
        let searching = !self.joined || !self.is_confirmed();
        if searching && self.pull.is_none() && now >= self.due.join {
            self.due.join = now + self.settings.probe_timeout;
            self.ask_for_view(now, out);
        }
        if self.joined && now >= self.due.exchange {
            let period = self.present_exchange_period();
            self.due.exchange = now + self.jittered(period);
            self.exchanges = self.exchanges.saturating_add(1);
            if self.pull.is_none() {
                let peers = self.random_members(1, None);
                self.summarise_to(now, peers.iter().map(|m| m.membership_address), out);
            }
        }
        if self.joined && now >= self.due.heal {
            self.due.heal = now + self.jittered(self.settings.heal_period);
            let address = self.unreached_address();
            self.summarise_to(now, address, out);
        }
        self.give_up_waiting(now, out);
    }

    /// Asks members and seeds for their views, to join or after a pause.
    fn ask_for_view(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let members = self.random_members(JOIN_FANOUT, None);
        let mut peers: Vec<_> = members.iter().map(|m| m.membership_address).collect();
        if peers.len() < JOIN_FANOUT {
            peers.extend(self.random_seeds(JOIN_FANOUT - peers.len()));
        }
        self.summarise_to(now, peers, out);
    }

    fn present_exchange_period(&self) -> Duration {
        let first = self.settings.first_exchange_period;
        let doublings = self.exchanges.saturating_sub(FIRST_EXCHANGES);
        let doubled = first.saturating_mul(2_u32.saturating_pow(doublings));
        doubled.min(self.settings.exchange_period)
    }

    /// Whether this daemon has joined lately, so that its view may lack many others
    /// that joined at the same time.
    pub(crate) fn is_settling(&self) -> bool {
        self.present_exchange_period() < self.settings.exchange_period
    }

    /// A time between half and one and a half of `period`, so that daemons
    /// that started together spread out.
    fn jittered(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Whether a resumed daemon has waited long enough without any answer to
    /// conclude from its own probes.
    fn is_alone_since(&self, now: Timestamp) -> bool {
        let timeout = self.settings.suspicion_timeout(self.view.len());
        let since = self.unconfirmed_since;
        since.is_some_and(|at| now.since(at) >= timeout * ALONE_AFTER)
    }

    /// Whether a missed answer says something about the other daemon. After a
    /// pause it more likely says that this one is cut off.
    fn can_conclude(&self, now: Timestamp) -> bool {
        self.is_confirmed() || self.is_alone_since(now)
    }

    fn give_up_waiting(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let others = |m: &&std::sync::Arc<Member>| m.instance != self.me.instance;
        let mut others = self.view.members().iter().filter(others);
        let nobody = self.view.len() == 1 && self.seeds.is_empty();
        let alone = self.is_alone_since(now) && others.all(|m| m.is_gone());
        if !self.is_confirmed() && (nobody || alone) {
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

    /// Tells the members that this daemon has joined. Gossip alone takes seconds if
    /// hundreds join at the same time.
    pub(crate) fn announce(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for peer in self.random_members(ANNOUNCE_FANOUT, None) {
            self.send_to(now, &peer, Body::Gossip, out);
        }
    }

    /// Tells a few members at once about this daemon's own change.
    pub(crate) fn tell_urgently(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        for peer in self.random_members(URGENT_FANOUT, None) {
            self.send_to(now, &peer, Body::Gossip, out);
        }
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.reports.expire(now, self.settings.report_ttl);
        self.tombstones.expire(now, self.settings.tombstone_ttl);
        let old = |at: Timestamp| now.since(at) >= self.settings.forget_after;
        let due = self.gone.iter().filter(|&(_, &at)| old(at));
        let due: Vec<InstanceId> = due.map(|(instance, _)| instance.clone()).collect();
        for instance in due {
            self.forget(now, &instance, out);
        }
    }
}
