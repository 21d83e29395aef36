//! Chooses replicas for searches and executions, and decides whether to hedge or
//! retry.

use std::time::Duration;

use jasminepond_dispatch as dispatch;
use jasminepond_query::{Candidates, Choice, Chooser, ExecuteChooser, MissingReason};
use jasminepond_routing::{
    self as routing, Deadline, ExtraAttempt, HedgeBudget, HedgeDecision, HedgingSettings,
    ReplicaRequest, RetryBudget, Share, UnavailableReason,
};
use jasminepond_types::{GroupId, ServerId, ServiceId, Timestamp, Version};
use jasminepond_wire::{ServerCondition, ServerHint};

use super::{Routing, rank};

/// The configured hedging settings, hedge budget and retry budget.
pub fn hedging(cfg: &jasminepond_config::Routing) -> (HedgingSettings, HedgeBudget, RetryBudget) {
    let settings = match cfg.hedge_after() {
        jasminepond_config::HedgeAfter::Fixed(after) => HedgingSettings {
            // The fixed delay is the floor; the quantile is 0 so as not to exceed it.
            quantile: 0.0,
            floor: after.duration(),
            ..Default::default()
        },
        jasminepond_config::HedgeAfter::Quantile(percent) => HedgingSettings {
            quantile: percent.fraction() as f32,
            ..Default::default()
        },
    };
    let share = |percent: jasminepond_config::Percent| {
        Share::percent((percent.fraction() * 100.0).round() as u32)
    };
    let hedges = HedgeBudget::new(share(cfg.hedge_budget_percent), BUDGET_BURST);
    let retries = RetryBudget::new(share(cfg.retry_budget_percent), BUDGET_BURST);
    (settings, hedges, retries)
}

/// Hedges or retries that may be sent at once after a period without any.
const BUDGET_BURST: u32 = 48;

/// Converts an owner's hint from its wire form to the type of the dispatch crate.
pub fn dispatch_hint(hint: &ServerHint) -> dispatch::Hint {
    dispatch::Hint {
        queued: hint.queued,
        top_priority: rank(hint.top_priority),
        top_queued: hint.top_queued,
        running: hint.running,
        slots: hint.slots.get(),
        service_us: hint.service_us,
        health: dispatch_health(hint.condition),
    }
}

fn dispatch_health(condition: ServerCondition) -> dispatch::Health {
    match condition {
        ServerCondition::Ready => dispatch::Health::Ready,
        ServerCondition::Ramping => dispatch::Health::Ramping,
        ServerCondition::Failing => dispatch::Health::Failing,
        ServerCondition::Down => dispatch::Health::Down,
        ServerCondition::Draining => dispatch::Health::Draining,
    }
}

/// Makes the routing decisions for one request.
pub struct RequestChooser<'a> {
    /// Routing state of the daemon.
    pub routing: &'a mut Routing,
    /// Group of the request.
    pub group: &'a GroupId,
    /// Rank of its class, highest first.
    pub rank: u32,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

impl RequestChooser<'_> {
    fn choose_replica(
        &mut self,
        now: Timestamp,
        version: Version,
        candidates: Candidates<'_>,
    ) -> Choice {
        let (indexes, servers): (Vec<usize>, Vec<ServerId>) = candidates
            .iter()
            .map(|(index, server)| (index, server.clone()))
            .unzip();
        let req = ReplicaRequest {
            servers: &servers,
            version,
            priority: self.rank,
            exclude: &[],
            can_hedge: self.routing.hedging.can_hedge(),
        };
        match self.routing.replicas.choose(now, req) {
            routing::Choice::Use { server } => {
                let chosen = servers.iter().position(|candidate| *candidate == server);
                match chosen {
                    Some(at) => Choice::Use(indexes[at]),
                    None => Choice::None(MissingReason::Failed),
                }
            }
            routing::Choice::None { reason } => Choice::None(missing_reason(reason)),
        }
    }

    fn extra_attempt<'b>(&'b self, now: Timestamp, server: &ServerId) -> ExtraAttempt<'b> {
        ExtraAttempt {
            group: self.group,
            // Zero, because the search has already waited for the hedge delay.
            sent_at: Timestamp::ZERO,
            deadline: Deadline::at(self.deadline),
            target: self.routing.replicas.estimate(now, server, self.rank),
        }
    }
}

fn missing_reason(reason: UnavailableReason) -> MissingReason {
    match reason {
        UnavailableReason::Tried => MissingReason::Failed,
        UnavailableReason::NoReplica
        | UnavailableReason::Evacuated
        | UnavailableReason::Draining
        | UnavailableReason::Down => MissingReason::NoReplica,
        UnavailableReason::VersionUnavailable => MissingReason::VersionUnavailable,
    }
}

impl Chooser for RequestChooser<'_> {
    fn choose(
        &mut self,
        now: Timestamp,
        _service: &ServiceId,
        version: Version,
        candidates: Candidates<'_>,
    ) -> Choice {
        self.choose_replica(now, version, candidates)
    }

    fn hedge_after(&mut self, _now: Timestamp, _server: &ServerId) -> Option<Duration> {
        Some(self.routing.hedging.delay(self.group))
    }

    fn may_hedge(&mut self, now: Timestamp, server: &ServerId) -> bool {
        let attempt = ExtraAttempt {
            group: self.group,
            ..self.extra_attempt(now, server)
        };
        self.routing.hedging.hedge(now, attempt) == HedgeDecision::Send
    }

    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool {
        let attempt = ExtraAttempt {
            group: self.group,
            ..self.extra_attempt(now, server)
        };
        self.routing.hedging.retry(now, attempt) == HedgeDecision::Send
    }

    fn service_time(&mut self, _now: Timestamp) -> Duration {
        self.routing.hedging.delay(self.group)
    }
}

impl ExecuteChooser for RequestChooser<'_> {
    fn choose(&mut self, now: Timestamp, candidates: Candidates<'_>) -> Choice {
        self.choose_replica(now, Version(0), candidates)
    }

    fn may_retry(&mut self, now: Timestamp, server: &ServerId) -> bool {
        Chooser::may_retry(self, now, server)
    }
}
