//! The control task: cluster membership, and synchronisation of the configuration.
//!
//! One task owns both because synchronisation reads the membership view on each tick,
//! and copying 3,900 members per change would cost more than both state machines.

mod config;
mod members;
mod platform;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use compio::net::UdpSocket;
use futures_channel::{mpsc, oneshot};
use jasminepond_config::{Acceptance, Config};
use jasminepond_membership::{LocalMember, Member, Membership, ReportKind};
use jasminepond_platform::{Instance, Platform, PlatformError, Tree};
use jasminepond_sync::{Sync, SyncStatus};
use jasminepond_types::{Incarnation, InstanceId, Revision, ServerId, Timestamp};
use jasminepond_wire::{Frame, KeyRing};
use serde::Serialize;
use spdlog::warn;

use crate::{
    clock::{Clock, PauseCount},
    mailbox::{self, Next},
    metrics::Metrics,
};

pub use members::{receive, state_name};

/// Input of the task.
#[derive(Debug)]
pub enum Event {
    /// A membership datagram arrived.
    Datagram(SocketAddr, Vec<u8>),
    /// A peer sent a configuration sync message.
    Sync {
        /// The peer.
        from: InstanceId,
        /// The encoded message.
        payload: bytes::Bytes,
    },
    /// This daemon observed a change of a backend server.
    Server(ServerId, ReportKind),
    /// A watch of the configuration service ended; its number and result.
    Watched(u64, Result<Option<Tree>, PlatformError>),
    /// A read of a file from the configuration service ended; its name and result.
    File(Arc<str>, Result<Vec<u8>, PlatformError>),
    /// A read of the instance list ended.
    Instances(Result<Vec<Instance>, PlatformError>),
    /// This daemon is shutting down.
    Leave,
    /// Request the task's status.
    Status(oneshot::Sender<ControlStatus>),
}

/// Output of the task.
#[derive(Debug)]
pub enum Report {
    /// The membership view has changed.
    View(Arc<[Arc<Member>]>),
    /// This or another daemon observed a change of a backend server.
    Server(ServerId, ReportKind),
    /// Whether the membership view is reliable enough to act on.
    Confirmed(bool),
    /// A newer process runs under the same instance: this one must stop.
    Superseded(Incarnation),
    /// A configuration took effect.
    Config(Revision, Arc<Config>),
}

/// Status of the control task.
#[derive(Debug, Clone, Serialize)]
pub struct ControlStatus {
    /// Revision in effect; zero before the first.
    pub revision: Revision,
    /// Digest of its files.
    pub digest: Option<String>,
    /// Milliseconds since a reader confirmed that it is current.
    pub confirmed_ms: Option<u64>,
    /// Role of this daemon in configuration sync.
    pub role: &'static str,
    /// The last refused revision, with the reason.
    pub refused: Option<String>,
    /// Mistakes in the refused revision.
    pub mistakes: Vec<String>,
    /// A revision that was seen with two different contents.
    pub conflict: Option<Revision>,
    /// Number of calls made to the platform by this daemon.
    pub platform_calls: u64,
    /// All known daemons.
    pub members: Vec<MemberStatus>,
}

/// One daemon on the status page.
#[derive(Debug, Clone, Serialize)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its state in the membership view.
    pub state: &'static str,
    /// Its configuration revision in effect.
    pub revision: Revision,
}

/// Sends events to the task.
pub type Sender = mpsc::UnboundedSender<Event>;

/// Dependencies of the task.
pub struct Context {
    /// The process's clock.
    pub clock: Clock,
    /// Keys that authenticate datagrams.
    pub keys: KeyRing,
    /// The platform.
    pub platform: Rc<dyn Platform>,
    /// Sends events back to the task.
    pub tx: Sender,
    /// Receives the task's reports.
    pub report: Rc<dyn Fn(Report)>,
    /// Sends a frame to another daemon.
    pub send: Rc<dyn Fn(InstanceId, Frame)>,
    /// Metrics to update.
    pub metrics: Rc<Metrics>,
}

/// Settings of the task.
#[derive(Debug, Clone)]
pub struct Options {
    /// Identity of this daemon.
    pub me: LocalMember,
    /// Membership settings.
    pub membership: jasminepond_membership::Settings,
    /// Configuration sync settings.
    pub sync: jasminepond_sync::Settings,
}

/// Maximum time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(100);

/// Minimum time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(5);

/// State of the control task.
pub struct Control {
    cx: Context,
    socket: Rc<UdpSocket>,
    membership: Membership,
    sync: Sync,
    acceptance: Acceptance,
    generation: u64,
    confirmed: bool,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    watch: platform::Watch,
    listed: platform::InstanceList,
    calls: u64,
    pauses: PauseCount,
}

impl Control {
    /// Creates the task of a daemon that knows only itself.
    pub fn new(cx: Context, options: Options, socket: Rc<UdpSocket>) -> Self {
        let Options {
            me,
            membership,
            sync,
        } = options;
        Self {
            pauses: PauseCount::new(&cx.clock),
            cx,
            socket,
            membership: Membership::new(membership, me.clone(), rand::random()),
            sync: Sync::new(sync, me, rand::random()),
            acceptance: Acceptance::default(),
            generation: u64::MAX,
            confirmed: true,
            outbox: Vec::new(),
            watch: platform::Watch::default(),
            listed: platform::InstanceList::default(),
            calls: 0,
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Event>) {
        let mut next_tick = Timestamp::ZERO;
        loop {
            let now = self.cx.clock.now();
            let next = mailbox::next(&mut rx, Some(next_tick.since(now))).await;
            let now = self.cx.clock.now();
            if self.pauses.changed(&self.cx.clock) {
                warn!("control: this process was paused");
                self.cx.metrics.paused();
                self.on_resume(now);
            }
            match next {
                Next::Event(event) => {
                    self.handle(now, event);
                    // An event may have set an earlier timer.
                    next_tick = next_tick.min(self.next_tick(now));
                }
                Next::Timer => {}
                Next::Closed => return,
            }
            // Checked after events too, because a steady stream of them would starve the
            // timer.
            if now >= next_tick {
                self.tick(now);
                next_tick = self.next_tick(now);
            }
            self.flush().await;
            self.publish();
        }
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Datagram(from, datagram) => self.on_datagram(now, from, &datagram),
            Event::Sync { from, payload } => self.on_sync(now, from, &payload),
            Event::Server(server, kind) => self.membership.report(now, server, kind),
            Event::Watched(watch, result) => self.on_watched(now, watch, result),
            Event::File(name, result) => self.on_file(now, &name, result),
            Event::Instances(result) => self.on_instances(now, result),
            Event::Leave => {
                let outputs = self.membership.leave(now);
                self.perform_membership(outputs);
            }
            Event::Status(tx) => {
                let _ = tx.send(self.status(now));
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        let outputs = self.membership.tick(now);
        self.perform_membership(outputs);
        let actions = self.sync.tick(now, self.membership.view());
        self.perform_sync(now, actions);
        self.poll_instances(now);
        if let Some(age) = self.sync.status(now).confirmed {
            self.cx.metrics.set_config_age(age.as_secs_f64());
        }
    }

    fn next_tick(&self, now: Timestamp) -> Timestamp {
        let next = self.membership.next_tick();
        let next = self.sync.next_read().map_or(next, |read| next.min(read));
        next.clamp(now + MIN_TICK, now + TICK)
    }

    fn on_resume(&mut self, now: Timestamp) {
        let outputs = self.membership.on_resume(now);
        self.perform_membership(outputs);
        let actions = self.sync.resumed(now);
        self.perform_sync(now, actions);
    }

    fn status(&self, now: Timestamp) -> ControlStatus {
        let SyncStatus {
            revision,
            digest,
            confirmed,
            role,
            refused,
            conflict,
            ..
        } = self.sync.status(now);
        let member = |member: &Arc<Member>| MemberStatus {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            zone: member.zone.to_string(),
            region: member.region.to_string(),
            state: state_name(Some(member.state)),
            revision: member.config.0,
        };
        // A refusal is shown until a revision at least as high is in effect.
        let refused = refused.filter(|refusal| refusal.revision > revision);
        let refused = refused.map(|refusal| format!("{}: {}", refusal.revision, refusal.reason));
        ControlStatus {
            revision,
            digest: digest.map(|digest| digest.to_string()),
            confirmed_ms: confirmed.map(|age| age.as_millis() as u64),
            role: config::role_name(role),
            refused,
            mistakes: self.mistakes(),
            conflict,
            platform_calls: self.calls,
            members: self
                .membership
                .view()
                .members()
                .iter()
                .map(member)
                .collect(),
        }
    }
}
