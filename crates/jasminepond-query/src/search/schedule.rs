//! Scheduling of the attempts of each shard: first attempts, retries and hedged
//! requests.

use std::{cmp::Reverse, time::Duration};

use jasminepond_types::Timestamp;

use crate::{Candidates, Choice};

use super::{
    Cx, MissingReason, Objective, Search, Step,
    shard::{Attempt, Shard},
};

/// Minimum delay of a shard's timer, so that a chooser that returns a past time
/// cannot cause a busy loop.
const MIN_WAIT: Duration = Duration::from_micros(500);

/// The backoff grows to 16 times its initial length.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Next action for a shard that has no attempt in flight.
enum Action {
    Send(usize),
    Wait(Timestamp),
    GiveUp {
        reason: MissingReason,
        /// Whether the version is the cause, so that a search of another version
        /// may cover the shard.
        lacks_version: bool,
    },
}

impl Search {
    /// Carries out the next action of an open shard that has no attempt in flight.
    pub(super) fn advance(&mut self, cx: &mut Cx<'_>, shard: usize) {
        match self.next_action(cx, shard) {
            Action::Send(replica) => self.send(cx, shard, replica, false),
            Action::Wait(until) => self.set_timer(cx, shard, until),
            Action::GiveUp {
                reason,
                lacks_version,
            } => self.give_up(shard, reason, lacks_version),
        }
    }

    fn next_action(&mut self, cx: &mut Cx<'_>, shard: usize) -> Action {
        let plan = &self.plan.versions[self.current];
        let (service, replicas) = &plan.services[shard];
        let state = &mut self.shards[shard];
        if !state.has_untried(replicas.len()) {
            return self.next_round(cx.now, shard);
        }
        if state.attempts >= self.settings.objective.max_attempts() {
            return state.give_up();
        }
        let candidates = Candidates::masked(replicas, state.tried);
        match cx.chooser.choose(cx.now, service, plan.version, candidates) {
            Choice::Use(replica) if candidates.contains(replica) => {
                let retry = state.attempts > 0;
                if retry && !cx.chooser.may_retry(cx.now, &replicas[replica]) {
                    return self.retry_refused(cx.now, shard);
                }
                Action::Send(replica)
            }
            Choice::Use(_) => state.give_up(),
            Choice::Wait { until } => Action::Wait(until),
            Choice::None(reason) if state.attempts == 0 => Action::GiveUp {
                reason,
                lacks_version: reason == MissingReason::VersionUnavailable,
            },
            Choice::None(_) => self.next_round(cx.now, shard),
        }
    }

    /// Starts another round, as no replica is left in this one, or gives the shard
    /// up.
    fn next_round(&mut self, now: Timestamp, shard: usize) -> Action {
        let replicas = self.replica_count(shard);
        let state = &mut self.shards[shard];
        match self.settings.objective {
            Objective::Coverage { rounds } if state.next_round(replicas, rounds) => {
                Action::Wait(self.after_backoff(now, shard))
            }
            _ => state.give_up(),
        }
    }

    /// Delays a retry that the budget refused, or gives the shard up.
    fn retry_refused(&mut self, now: Timestamp, shard: usize) -> Action {
        match self.settings.objective {
            Objective::Coverage { .. } => Action::Wait(self.after_backoff(now, shard)),
            Objective::Latency { .. } => self.shards[shard].give_up(),
        }
    }

    /// End of an exponential backoff, without which many searches with many shards
    /// would query an exhausted budget every few milliseconds.
    fn after_backoff(&mut self, now: Timestamp, shard: usize) -> Timestamp {
        let state = &mut self.shards[shard];
        let factor = 1 << state.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        state.backoffs += 1;
        now + self.settings.initial_backoff * factor
    }

    fn replica_count(&self, shard: usize) -> usize {
        self.plan.versions[self.current].services[shard].1.len()
    }

    fn send(&mut self, cx: &mut Cx<'_>, shard: usize, replica: usize, hedged: bool) {
        let plan = &self.plan.versions[self.current];
        let (service, replicas) = &plan.services[shard];
        let server = &replicas[replica];
        let part = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            shard: shard as u32,
            replica: replica as u8,
            open: true,
        });
        cx.steps.push(Step::Send {
            attempt: self.attempt_id(part),
            service: service.clone(),
            server: server.clone(),
            version: plan.version,
        });
        let state = &mut self.shards[shard];
        state.tried |= 1 << replica;
        state.due = None;
        state.add_in_flight(part);
        if hedged {
            return;
        }
        state.attempts += 1;
        if state.has_untried(replicas.len())
            && let Some(delay) = cx.chooser.hedge_after(cx.now, server)
        {
            self.set_timer(cx, shard, cx.now + delay);
        }
    }

    /// Sends a hedged request for a shard that has one attempt in flight.
    fn hedge(&mut self, cx: &mut Cx<'_>, shard: usize) {
        let plan = &self.plan.versions[self.current];
        let (service, replicas) = &plan.services[shard];
        let candidates = Candidates::masked(replicas, self.shards[shard].tried);
        match cx.chooser.choose(cx.now, service, plan.version, candidates) {
            Choice::Use(replica) if candidates.contains(replica) => {
                if cx.chooser.may_hedge(cx.now, &replicas[replica]) {
                    self.send(cx, shard, replica, true);
                } else {
                    let until = self.after_backoff(cx.now, shard);
                    self.set_timer(cx, shard, until);
                }
            }
            Choice::Wait { until } => self.set_timer(cx, shard, until),
            Choice::Use(_) | Choice::None(_) => {}
        }
    }

    fn set_timer(&mut self, cx: &Cx<'_>, shard: usize, until: Timestamp) {
        let until = until.max(cx.now + MIN_WAIT);
        self.shards[shard].due = Some(until);
        self.timers.push(Reverse((until, shard as u32)));
    }

    pub(super) fn run_timers(&mut self, cx: &mut Cx<'_>) {
        while let Some(&Reverse((at, shard))) = self.timers.peek() {
            if at > cx.now || cx.now >= self.finish_at {
                return;
            }
            self.timers.pop();
            self.run_timer(cx, at, shard as usize);
        }
    }

    fn run_timer(&mut self, cx: &mut Cx<'_>, at: Timestamp, shard: usize) {
        let state = &mut self.shards[shard];
        if state.due != Some(at) || !state.is_open() {
            return;
        }
        state.due = None;
        if state.is_in_flight() {
            self.hedge(cx, shard);
        } else {
            self.advance(cx, shard);
        }
    }
}

impl Objective {
    const fn max_attempts(self) -> u32 {
        match self {
            Self::Coverage { .. } => u32::MAX,
            Self::Latency { max_attempts } => max_attempts,
        }
    }
}

impl Shard {
    /// Gives the shard up for the reason of its last failure.
    fn give_up(&self) -> Action {
        Action::GiveUp {
            reason: self.last_reason,
            lacks_version: self.lacks_version(),
        }
    }
}
