//! The entry role: takes callers' requests, sends sub-requests to the owners of
//! the backend servers and puts the answers together.

mod chooser;
mod execute;
mod search;
mod timers;

use std::{collections::HashMap, rc::Rc, sync::Arc};

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

/// A search as a caller states it.
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
    /// Hits wanted; the configured limit if not stated.
    pub limit: Option<u32>,
    /// Deadline; the default of the class if not stated.
    pub deadline: Option<Millis>,
}

/// A non-idempotent request as a caller states it.
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
    /// Deadline; the default of the class if not stated.
    pub deadline: Option<Millis>,
}

/// A request was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// What to tell the caller.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same refusal with a time to come back.
    pub fn retry_after(self, after: Millis) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}

/// Keys issued to a caller and their lifetime.
pub type IssuedKeys = (Vec<RequestKey>, Millis);

/// What the entry task is told.
#[derive(Debug)]
pub enum Event {
    /// A caller searches. Dropping the receiver abandons the search.
    Search(
        SearchRequest,
        oneshot::Sender<Result<SearchAnswer, Refusal>>,
    ),
    /// A caller wants request keys.
    IssueKeys {
        /// Tenant, not yet checked.
        tenant: String,
        /// How many.
        count: u32,
        /// Receives the keys.
        reply: oneshot::Sender<Result<IssuedKeys, Refusal>>,
    },
    /// A caller has a non-idempotent request.
    Execute(
        ExecuteRequest,
        oneshot::Sender<Result<ExecuteOutcome, Refusal>>,
    ),
    /// A frame from an owner, or a forwarded request.
    Frame {
        /// The daemon that sent it.
        from: InstanceId,
        /// The link it came on; `None` within this daemon.
        link: Option<LinkId>,
        /// The frame.
        frame: Frame,
    },
    /// A frame was certainly not sent.
    NotSent {
        /// Its receiver.
        to: InstanceId,
        /// The frame.
        frame: Frame,
    },
    /// A frame was certainly not sent, because its receiver takes no more
    /// requests of this daemon at present.
    Busy(Frame),
    /// Responses to frames sent to this daemon before will not come.
    LinkDown(InstanceId),
    /// A configuration came into effect.
    Config(Arc<Config>),
    /// The view of the other daemons has changed.
    View(Arc<[Arc<Member>]>),
    /// Something was observed of a backend server.
    Server(ServerId, ReportKind),
    /// Whether the membership view can be acted on.
    Confirmed(bool),
    /// Refuse new requests; the sender fires when all have been answered.
    Drain(oneshot::Sender<()>),
    /// Ask for the state.
    Status(oneshot::Sender<EntryStatus>),
}

/// State of the entry role for the status page.
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Searches in progress.
    pub searches: usize,
    /// Non-idempotent requests in progress.
    pub executes: usize,
    /// Request keys held.
    pub keys: usize,
    /// Queries that admission lets run at the same time.
    pub admission_limit: u32,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Whether the membership view can be acted on.
    pub confirmed: bool,
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its instance.
    pub instance: InstanceId,
    /// This run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// What the task needs from its surroundings.
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// Who this daemon is.
    pub me: Identity,
    /// Keys that authenticate request keys.
    pub keys: KeyRing,
    /// Sends a frame to a daemon, this one included.
    pub send: Rc<dyn Fn(InstanceId, Frame)>,
    /// Sends a frame on a link.
    pub reply: Rc<dyn Fn(LinkId, Frame)>,
    /// Counts what happens.
    pub metrics: Rc<Metrics>,
}

/// Events handled before frames are sent.
const BATCH: usize = 256;

/// Time for which an owner that could not be reached is passed over, unless the
/// membership view changes before.
const UNREACHABLE_FOR: std::time::Duration = std::time::Duration::from_millis(1_000);

/// Retry-after while the daemon drains: the load balancer has other daemons.
const DRAINING_RETRY: Millis = Millis(100);

/// Retry-after while the daemon has no configuration or has just resumed.
const NOT_READY_RETRY: Millis = Millis(500);

/// Retry-after above a limit of requests in progress.
const IN_FLIGHT_RETRY: Millis = Millis(100);

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

/// What both kinds of request use to route.
struct Routing {
    ownership: Ownership,
    replicas: Replicas,
    hedging: Hedging,
    admission: Admission,
    candidates: Vec<Candidate>,
    unreachable: HashMap<InstanceId, Timestamp>,
}

/// The task's state.
pub struct Entry {
    cx: Context,
    config: Option<Arc<Config>>,
    plans: HashMap<GroupId, Arc<[ShardMap]>>,
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
    /// State without configuration; requests are refused as not ready.
    pub fn new(cx: Context) -> Self {
        let keys = key_table(&cx);
        let mut entry = Self {
            pauses: PauseCount::new(&cx.clock),
            cx,
            config: None,
            plans: HashMap::new(),
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
                self.on_woke();
            }
            match next {
                Next::Event(event) => self.handle_batch(event, &mut rx),
                Next::Timer => {}
                Next::Closed => return,
            }
            self.run_timers();
            self.flush();
            self.note_drained();
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
        self.search_owner_lost(&instance);
        self.execute_owner_lost(&instance);
    }

    fn mark_unreachable(&mut self, instance: &InstanceId) {
        let until = self.cx.clock.now() + UNREACHABLE_FOR;
        if self
            .routing
            .unreachable
            .insert(instance.clone(), until)
            .is_none()
        {
            self.rebuild_ownership();
        }
        self.timers.add(until, timers::Due::Reachable);
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
        // A daemon that drains hands its servers to the others but remains its own
        // last resort.
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
        self.plans = config
            .groups
            .iter()
            .filter(|(_, group)| group.kind == GroupKind::Search)
            .map(|(id, group)| (id.clone(), search::plan(group)))
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
            // The owner's own hints carry the loss; a report of another daemon may be
            // about its side of a partition.
            ReportKind::Lost => {}
        }
    }

    fn on_woke(&mut self) {
        self.confirmed = false;
        self.execute_resumed();
    }

    /// The daemon that owns a server, this one in direct mode.
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

    fn ready(&self) -> Result<Arc<Config>, Refusal> {
        if self.draining {
            let refusal = Refusal::new(ErrorKind::Draining, "this daemon is shutting down");
            return Err(refusal.retry_after(DRAINING_RETRY));
        }
        self.config.clone().ok_or_else(|| {
            let refusal = Refusal::new(ErrorKind::NotReady, "no configuration yet");
            refusal.retry_after(NOT_READY_RETRY)
        })
    }

    /// Refuses requests above the limits of the daemon and of the tenant.
    /// `tenants` counts the tenant's requests of this kind in progress.
    fn has_room(&self, checked: &Checked, tenants: usize) -> Result<(), Refusal> {
        let in_flight = self.searches.len() + self.executes.len();
        let refuse = |kind, message: &str| {
            let refusal = Refusal::new(kind, message);
            Err(refusal.retry_after(IN_FLIGHT_RETRY))
        };
        if in_flight >= checked.config.limits.max_in_flight as usize {
            return refuse(ErrorKind::Overloaded, "too many requests are in progress");
        }
        if tenants >= checked.tenant_limit as usize {
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
                timers::Due::Reachable => self.rebuild_ownership(),
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

    fn note_drained(&mut self) {
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

/// A request that was checked against the configuration.
struct Checked {
    config: Arc<Config>,
    caller: CallerRequest,
    priority: u8,
    weight: jasminepond_types::Weight,
    tenant_limit: u32,
}

/// Names of a request before they were checked.
struct Names<'a> {
    tenant: &'a str,
    class: &'a str,
    group: &'a str,
    deadline: Option<Millis>,
}

fn check(config: Arc<Config>, names: &Names<'_>, kind: GroupKind) -> Result<Checked, Refusal> {
    let unknown = |kind, what: &str, name: &str| {
        Refusal::new(kind, format!("{what} {name:?} is not configured"))
    };
    let (tenant_id, tenant) = config
        .tenants
        .get_key_value(names.tenant)
        .ok_or_else(|| unknown(ErrorKind::UnknownTenant, "tenant", names.tenant))?;
    let (class_id, class) = config
        .classes
        .get_key_value(names.class)
        .ok_or_else(|| unknown(ErrorKind::UnknownClass, "class", names.class))?;
    let (group_id, group) = config
        .groups
        .get_key_value(names.group)
        .filter(|(_, group)| group.kind == kind)
        .ok_or_else(|| unknown(ErrorKind::UnknownGroup, "group", names.group))?;
    if !group.allows_tenant(tenant_id) {
        let message = format!("tenant {tenant_id} may not use group {group_id}");
        return Err(Refusal::new(ErrorKind::UnknownTenant, message));
    }
    if !group.allows_class(class_id) {
        let message = format!("class {class_id} does not apply to group {group_id}");
        return Err(Refusal::new(ErrorKind::UnknownClass, message));
    }
    let left = names.deadline.unwrap_or(class.default_deadline_ms);
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

/// Priority as the decision crates count it: a higher number goes first.
fn rank(priority: u8) -> u32 {
    u32::from(u8::MAX - priority)
}
