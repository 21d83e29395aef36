//! The entry role: receives callers' requests, sends sub-requests to the owners of
//! the backend servers and merges the responses.

mod chooser;
mod execute;
mod search;
mod timers;

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
};

use futures_channel::{mpsc, oneshot};
use jasminepond_config::{Config, ConnectionMode, GroupKind};
use jasminepond_membership::{Member, MemberState, ReportKind};
use jasminepond_query::{ExecuteOutcome, KeyRing, KeySettings, KeyTable, RequestKey, ShardMap};
use jasminepond_routing::{
    Admission, AdmissionSettings, Candidate, Hedging, HedgingSettings, Ownership, ReplicaSettings,
    Replicas,
};
use jasminepond_types::{
    ErrorKind, GroupId, Incarnation, InstanceId, Millis, RegionId, ServerId, Timestamp, ZoneId,
};
use jasminepond_wire::{CallerRequest, Frame};
use serde::Serialize;
use spdlog::warn;

use crate::{
    clock::{Clock, PauseCount},
    mailbox::{self, Next},
    metrics::Metrics,
    net::link::LinkId,
};

use execute::Executes;
use search::Searches;
use timers::Timers;

pub use search::SearchAnswer;

/// A search as received from a caller.
#[derive(Debug, Clone)]
pub struct SearchRequest {
    /// Tenant, not yet checked.
    pub tenant: String,
    /// Class, not yet checked.
    pub class: String,
    /// Group, not yet checked.
    pub group: String,
    /// Query text.
    pub query: String,
    /// Maximum number of hits; the configured limit if absent.
    pub limit: Option<u32>,
    /// Time left until the deadline; the default of the class if absent.
    pub deadline: Option<Millis>,
}

/// A non-idempotent request as received from a caller.
#[derive(Debug, Clone)]
pub struct ExecuteRequest {
    /// Tenant, not yet checked.
    pub tenant: String,
    /// Class, not yet checked.
    pub class: String,
    /// Group, not yet checked.
    pub group: String,
    /// Request key, not yet checked.
    pub key: String,
    /// The operation as JSON.
    pub operation: bytes::Bytes,
    /// Time left until the deadline; the default of the class if absent.
    pub deadline: Option<Millis>,
}

/// The error returned for a request that was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: ErrorKind,
    /// Error message for the caller.
    pub message: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal without a retry-after.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the retry-after.
    pub fn retry_after(self, after: Millis) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// Request keys issued to a caller, and their lifetime.
pub type IssuedKeys = (Vec<RequestKey>, Millis);

/// Input of the entry task.
#[derive(Debug)]
pub enum Event {
    /// A caller's search. Dropping the receiver abandons the search.
    Search(
        SearchRequest,
        oneshot::Sender<Result<SearchAnswer, Refusal>>,
    ),
    /// A caller's request for request keys.
    IssueKeys {
        /// Tenant, not yet checked.
        tenant: String,
        /// Number of keys requested.
        count: u32,
        /// Receives the keys.
        reply: oneshot::Sender<Result<IssuedKeys, Refusal>>,
    },
    /// A caller's non-idempotent request.
    Execute(
        ExecuteRequest,
        oneshot::Sender<Result<ExecuteOutcome, Refusal>>,
    ),
    /// A response from an owner, or a request forwarded by another daemon.
    Frame {
        /// The daemon that sent it.
        from: InstanceId,
        /// The link it arrived on; `None` within this daemon.
        link: Option<LinkId>,
        /// The frame.
        frame: Frame,
    },
    /// A frame is known not to have been sent.
    NotSent {
        /// The daemon that it was addressed to.
        to: InstanceId,
        /// The frame.
        frame: Frame,
    },
    /// A frame is known not to have been sent, because its receiver currently
    /// accepts no more requests from this daemon.
    Busy(Frame),
    /// The link to this daemon is down: frames sent on it get no response.
    LinkDown(InstanceId),
    /// A configuration came into effect.
    Config(Arc<Config>),
    /// The membership view has changed.
    View(Arc<[Arc<Member>]>),
    /// A state change of a backend server was reported.
    Server(ServerId, ReportKind),
    /// Whether the membership view has been confirmed since the last pause of the
    /// process.
    Confirmed(bool),
    /// Refuse new requests and signal the sender once all have been answered.
    Drain(oneshot::Sender<()>),
    /// Returns the state for the status page.
    Status(oneshot::Sender<EntryStatus>),
}

/// State of the entry role for the status page.
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Searches in progress.
    pub searches: usize,
    /// Non-idempotent requests in progress.
    pub executes: usize,
    /// Entries of the request key table.
    pub keys: usize,
    /// Searches that admission control allows at the same time.
    pub admission_limit: u32,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Whether the membership view has been confirmed since the last pause.
    pub confirmed: bool,
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Identity and location of this daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its instance.
    pub instance: InstanceId,
    /// Incarnation of this run of the process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// Dependencies of the task.
pub struct Context {
    /// The clock of the process.
    pub clock: Clock,
    /// Identity of this daemon.
    pub me: Identity,
    /// Keys that authenticate request keys.
    pub keys: KeyRing,
    /// Sends a frame to a daemon, which may be this one.
    pub send: Rc<dyn Fn(InstanceId, Frame)>,
    /// Sends a frame on a link.
    pub reply: Rc<dyn Fn(LinkId, Frame)>,
    /// Metrics of the daemon.
    pub metrics: Rc<Metrics>,
}

/// Maximum number of events handled before the collected frames are sent.
const BATCH: usize = 256;

/// Time for which an owner that could not be reached is not chosen. A change of
/// the membership view does not end it early.
const UNREACHABLE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_000);

/// Retry-after while the daemon drains. Short, because the load balancer has
/// other daemons to send the retry to.
const DRAINING_RETRY_AFTER: Millis = Millis(100);

/// Retry-after while the daemon has no configuration or has just resumed.
const NOT_READY_RETRY_AFTER: Millis = Millis(500);

/// Retry-after when a limit on requests in progress is reached.
const IN_FLIGHT_RETRY_AFTER: Millis = Millis(100);

fn key_table(cx: &Context) -> KeyTable {
    let me = &cx.me;
    let (instance, keys) = (me.instance.clone(), cx.keys.clone());
    KeyTable::new(
        KeySettings::default(),
        instance,
        me.incarnation,
        keys,
        rand::random(),
    )
}

/// Routing state shared by searches and non-idempotent requests.
struct Routing {
    ownership: Ownership,
    replicas: Replicas,
    hedging: Hedging,
    admission: Admission,
    candidates: Vec<Candidate>,
    unreachable: HashMap<InstanceId, Timestamp>,
}

/// State of the entry task.
pub struct Entry {
    cx: Context,
    config: Option<Arc<Config>>,
    shard_maps: HashMap<GroupId, Arc<[ShardMap]>>,
    routing: Routing,
    keys: KeyTable,
    searches: Searches,
    executes: Executes,
    timers: Timers,
    next_id: u64,
    confirmed: bool,
    drained: Option<oneshot::Sender<()>>,
    draining: bool,
    pauses: PauseCount,
}

impl Entry {
    /// Creates the state without a configuration; requests are refused as not ready.
    pub fn new(cx: Context) -> Self {
        let keys = key_table(&cx);
        let mut entry = Self {
            pauses: PauseCount::new(&cx.clock),
            cx,
            config: None,
            shard_maps: HashMap::new(),
            routing: Routing {
                ownership: Ownership::default(),
                replicas: Replicas::new(ReplicaSettings::default(), rand::random()),
                hedging: Hedging::new(HedgingSettings::default()),
                admission: Admission::new(AdmissionSettings::default()),
                candidates: Vec::new(),
                unreachable: HashMap::new(),
            },
            keys,
            searches: Searches::default(),
            executes: Executes::default(),
            timers: Timers::default(),
            next_id: 1,
            confirmed: true,
            drained: None,
            draining: false,
        };
        entry.on_view(&[]);
        entry
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        loop {
            let now = self.cx.clock.now();
            let wait = self.timers.next().map(|at| at.since(now));
            let next = mailbox::next(&mut rx, wait).await;
            self.cx.clock.now();
            if self.pauses.changed(&self.cx.clock) {
                self.on_resumed();
            }
            match next {
                Next::Event(event) => self.handle_batch(event, &mut rx),
                Next::Timer => {}
                Next::Closed => return,
            }
            self.run_timers();
            self.flush();
            self.signal_drained();
        }
    }

    fn handle_batch(&mut self, first: Event, rx: &mut mpsc::UnboundedReceiver<Event>) {
        self.handle(first);
        for _ in 1..BATCH {
            match rx.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => break,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Search(req, reply) => self.on_search(req, reply),
            Event::IssueKeys {
                tenant,
                count,
                reply,
            } => {
                let _ = reply.send(self.issue_keys(&tenant, count));
            }
            Event::Execute(req, reply) => self.on_execute(req, reply),
            Event::Frame { from, link, frame } => self.on_frame(from, link, frame),
            Event::NotSent { to, frame } => self.on_not_sent(to, frame),
            Event::Busy(frame) => self.on_busy(frame),
            Event::LinkDown(instance) => self.on_link_down(instance),
            Event::Config(config) => self.on_config(config),
            Event::View(members) => self.on_view(&members),
            Event::Server(server, kind) => self.on_server(&server, kind),
            Event::Confirmed(confirmed) => self.confirmed = confirmed,
            Event::Drain(reply) => {
                self.draining = true;
                self.drained = Some(reply);
            }
            Event::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn on_frame(&mut self, from: InstanceId, link: Option<LinkId>, frame: Frame) {
        match frame {
            Frame::PartResults(parts) => self.on_parts(&from, parts),
            Frame::Executed(executed) => self.on_executed(&from, executed),
            Frame::ForwardExecuted(executed) => self.on_forward_executed(&from, executed),
            Frame::ForwardExecute(forward) => {
                if let Some(link) = link {
                    self.on_forwarded(link, forward);
                }
            }
            _ => {}
        }
    }

    fn on_not_sent(&mut self, to: InstanceId, frame: Frame) {
        self.mark_unreachable(&to);
        match frame {
            Frame::Search(search) => self.on_search_not_sent(search),
            Frame::Execute(execute) => self.on_execute_not_sent(execute.id),
            Frame::ForwardExecute(forward) => self.on_forward_lost(forward.id),
            _ => {}
        }
    }

    fn on_busy(&mut self, frame: Frame) {
        match frame {
            Frame::Search(search) => self.on_search_busy(search),
            Frame::Execute(execute) => self.on_execute_busy(execute.id),
            Frame::ForwardExecute(forward) => self.on_forward_lost(forward.id),
            _ => {}
        }
    }

    fn on_link_down(&mut self, instance: InstanceId) {
        self.mark_unreachable(&instance);
        self.on_search_owner_lost(&instance);
        self.on_execute_owner_lost(&instance);
    }

    fn mark_unreachable(&mut self, instance: &InstanceId) {
        let until = self.cx.clock.now() + UNREACHABLE_TIMEOUT;
        if self
            .routing
            .unreachable
            .insert(instance.clone(), until)
            .is_none()
        {
            self.rebuild_ownership();
        }
        self.timers.add(until, timers::Due::RetryOwner);
    }

    fn rebuild_ownership(&mut self) {
        let now = self.cx.clock.now();
        let routing = &mut self.routing;
        routing.unreachable.retain(|_, until| *until > now);
        let candidates: Vec<Candidate> = routing
            .candidates
            .iter()
            .map(|candidate| Candidate {
                usable: candidate.usable && !routing.unreachable.contains_key(&candidate.instance),
                ..candidate.clone()
            })
            .collect();
        routing.ownership.rebuild(&candidates);
    }

    fn on_view(&mut self, members: &[Arc<Member>]) {
        let me = &self.cx.me;
        let others = members
            .iter()
            .filter(|member| member.instance != me.instance);
        let mut candidates: Vec<Candidate> = others
            .map(|member| Candidate {
                instance: member.instance.clone(),
                zone: member.zone.clone(),
                region: member.region.clone(),
                usable: member.state == MemberState::Alive,
            })
            .collect();
        // A draining daemon leaves its servers to the others, but stays usable as
        // owner for its own requests when no other daemon is.
        let alone = !candidates.iter().any(|candidate| candidate.usable);
        candidates.push(Candidate {
            instance: me.instance.clone(),
            zone: me.zone.clone(),
            region: me.region.clone(),
            usable: !self.draining || alone,
        });
        self.routing.candidates = candidates;
        self.rebuild_ownership();
    }

    fn on_config(&mut self, config: Arc<Config>) {
        self.shard_maps = config
            .groups
            .iter()
            .filter(|(_, group)| group.kind == GroupKind::Search)
            .map(|(id, group)| (id.clone(), search::shard_maps(group)))
            .collect();
        let routing = &mut self.routing;
        for (zone, settings) in &config.zones {
            routing.ownership.set_zone_region(zone, &settings.region);
        }
        routing
            .ownership
            .retain(|server| config.servers.contains_key(server));
        routing
            .replicas
            .retain(|server| config.servers.contains_key(server));
        let evacuated = config.servers.iter();
        let evacuated = evacuated.filter(|(_, server)| !config.may_send_to(server));
        let evacuated = evacuated.map(|(id, _)| id.clone()).collect();
        routing
            .replicas
            .set_evacuated(self.cx.clock.now(), evacuated);
        log_evacuations(self.config.as_deref(), &config);
        let routing = &mut self.routing;
        routing
            .hedging
            .retain(|group| config.groups.contains_key(group));
        let old = self.config.as_ref().map(|config| config.routing);
        if old != Some(config.routing) {
            let (settings, hedges, retries) = chooser::hedging(&config.routing);
            routing.hedging = Hedging::with_budgets(settings, hedges, retries);
        }
        self.keys.set_settings(KeySettings {
            lifetime: config.limits.key_lifetime_ms.duration(),
            max_keys: config.limits.max_issued_keys as usize,
            ..KeySettings::default()
        });
        self.config = Some(config);
    }

    fn on_server(&mut self, server: &ServerId, kind: ReportKind) {
        let now = self.cx.clock.now();
        match kind {
            ReportKind::Draining => self.routing.replicas.mark_draining(now, server),
            ReportKind::Back => self.routing.replicas.mark_available(now, server),
            // The owner's hints already report an unreachable server. A report of
            // another daemon may only reflect its side of a network partition.
            ReportKind::Lost => {}
        }
    }

    fn on_resumed(&mut self) {
        self.confirmed = false;
        self.on_executes_resumed();
    }

    /// The daemon that owns a server; this daemon in direct mode.
    fn owner(&mut self, server: &ServerId) -> InstanceId {
        let me = &self.cx.me.instance;
        let Some(config) = &self.config else {
            return me.clone();
        };
        if config.routing.mode == ConnectionMode::Direct {
            return me.clone();
        }
        let zone = config.servers.get(server).map(|server| &server.zone);
        let owner = zone.and_then(|zone| self.routing.ownership.owner(server, zone));
        owner.unwrap_or_else(|| me.clone())
    }

    fn new_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    fn ready_config(&self) -> Result<Arc<Config>, Refusal> {
        if self.draining {
            let refusal = Refusal::new(ErrorKind::Draining, "this daemon is shutting down");
            return Err(refusal.retry_after(DRAINING_RETRY_AFTER));
        }
        self.config.clone().ok_or_else(|| {
            let refusal = Refusal::new(ErrorKind::NotReady, "no configuration yet");
            refusal.retry_after(NOT_READY_RETRY_AFTER)
        })
    }

    /// Refuses a request that exceeds the limits of the daemon or of the tenant.
    /// `tenant_in_flight` is the number of the tenant's requests of this kind in
    /// progress.
    fn check_limits(&self, checked: &Checked, tenant_in_flight: usize) -> Result<(), Refusal> {
        let in_flight = self.searches.len() + self.executes.len();
        let refuse = |kind, message: &str| {
            let refusal = Refusal::new(kind, message);
            Err(refusal.retry_after(IN_FLIGHT_RETRY_AFTER))
        };
        if in_flight >= checked.config.limits.max_in_flight as usize {
            return refuse(ErrorKind::Overloaded, "too many requests are in progress");
        }
        if tenant_in_flight >= checked.tenant_limit as usize {
            return refuse(
                ErrorKind::TenantLimit,
                "too many requests of this tenant are in progress",
            );
        }
        Ok(())
    }

    fn run_timers(&mut self) {
        let now = self.cx.clock.now();
        while let Some(due) = self.timers.pop(now) {
            match due {
                timers::Due::Search(id) => self.on_search_timer(id),
                timers::Due::Execution(id) => self.on_execution_timer(id),
                timers::Due::Forward(id) => self.on_forward_timer(id),
                timers::Due::RetryOwner => self.rebuild_ownership(),
            }
        }
    }

    /// Sends the collected sub-requests.
    fn flush(&mut self) {
        for (to, frame) in self.searches.take_frames() {
            (self.cx.send)(to, frame);
        }
        let admission = &self.routing.admission;
        self.cx
            .metrics
            .set_admission(admission.in_progress(), admission.limit(u32::from(u8::MAX)));
    }

    fn signal_drained(&mut self) {
        if self.searches.is_empty()
            && self.executes.is_empty()
            && let Some(reply) = self.drained.take()
        {
            let _ = reply.send(());
        }
    }

    fn status(&self) -> EntryStatus {
        EntryStatus {
            searches: self.searches.len(),
            executes: self.executes.len(),
            keys: self.keys.len(),
            admission_limit: self.routing.admission.limit(u32::from(u8::MAX)),
            draining: self.draining,
            confirmed: self.confirmed,
        }
    }
}

/// Logs the zones whose evacuation begins or ends with a configuration.
fn log_evacuations(old: Option<&Config>, new: &Config) {
    let none = BTreeSet::new();
    let before = old.map_or(&none, |old| &old.evacuated_zones);
    for zone in new.evacuated_zones.difference(before) {
        warn!("config: zone {zone} is evacuated; its servers get no requests");
    }
    for zone in before.difference(&new.evacuated_zones) {
        warn!("config: the evacuation of zone {zone} is lifted");
    }
}

/// A request whose parameters are valid under the configuration.
struct Checked {
    config: Arc<Config>,
    caller: CallerRequest,
    priority: u8,
    weight: jasminepond_types::Weight,
    tenant_limit: u32,
}

/// Parameters of a request, not yet checked.
struct RequestParams<'a> {
    tenant: &'a str,
    class: &'a str,
    group: &'a str,
    deadline: Option<Millis>,
}

fn check(
    config: Arc<Config>,
    params: &RequestParams<'_>,
    kind: GroupKind,
) -> Result<Checked, Refusal> {
    let not_configured = |kind, what: &str, name: &str| {
        Refusal::new(kind, format!("{what} {name:?} is not configured"))
    };
    let (tenant_id, tenant) = config
        .tenants
        .get_key_value(params.tenant)
        .ok_or_else(|| not_configured(ErrorKind::UnknownTenant, "tenant", params.tenant))?;
    let (class_id, class) = config
        .classes
        .get_key_value(params.class)
        .ok_or_else(|| not_configured(ErrorKind::UnknownClass, "class", params.class))?;
    let (group_id, group) = config
        .groups
        .get_key_value(params.group)
        .filter(|(_, group)| group.kind == kind)
        .ok_or_else(|| not_configured(ErrorKind::UnknownGroup, "group", params.group))?;
    if !group.allows_tenant(tenant_id) {
        let message = format!("tenant {tenant_id} may not use group {group_id}");
        return Err(Refusal::new(ErrorKind::UnknownTenant, message));
    }
    if !group.allows_class(class_id) {
        let message = format!("class {class_id} does not apply to group {group_id}");
        return Err(Refusal::new(ErrorKind::UnknownClass, message));
    }
    let left = params.deadline.unwrap_or(class.default_deadline_ms);
    if left.0 == 0 || left > class.max_deadline_ms {
        let message = format!(
            "deadline_ms is {}, allowed are 1 to {}",
            left.0, class.max_deadline_ms.0
        );
        return Err(Refusal::new(ErrorKind::BadDeadline, message));
    }
    let caller = CallerRequest {
        tenant: tenant_id.clone(),
        class: class_id.clone(),
        group: group_id.clone(),
        key: "".into(),
        operation: bytes::Bytes::new(),
        left,
    };
    Ok(Checked {
        priority: u8::try_from(class.priority).unwrap_or(u8::MAX),
        weight: tenant.weight,
        tenant_limit: tenant.max_in_flight.unwrap_or(u32::MAX),
        caller,
        config: config.clone(),
    })
}

/// Converts a configured priority, where the lowest number goes first, to the rank
/// used by the routing and dispatch crates, where the highest goes first.
fn rank(priority: u8) -> u32 {
    u32::from(u8::MAX - priority)
}
