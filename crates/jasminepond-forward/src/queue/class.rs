//! Turns among request classes.

use std::{collections::BTreeMap, time::Duration};

use jasminepond_types::Timestamp;

use super::{Bucket, Flow, Lane, PartId, QueuedPart, ServerChoice};

/// Share of the turns of which no class gets less while it has a backlog.
const MIN_SHARE: f64 = 0.25;

/// Largest number of turns that a class can be owed, so that one that could not be served for
/// a time is not served at the cost of all others afterwards.
const MAX_OWED: f64 = 2.0;

/// Time within which an arrival of a more urgent class keeps its reserve.
const RESERVE_TIME: Duration = Duration::from_secs(1);

/// Half-life of the demand of a class. Long enough for the mean of a class with a few requests
/// per second, short enough to follow a load spike.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);

/// Demand below which a class without a backlog is forgotten.
const FORGOTTEN_DEMAND: f64 = 0.01;

/// Parts of one class.
#[derive(Debug, Default)]
pub(super) struct Class {
    flows: BTreeMap<(Lane, ServerChoice), Flow>,
    /// Turns that the class is owed.
    owed: f64,
    /// Turns that the repeatable parts are owed while parts that are not have a backlog.
    repeatable_owed: f64,
    /// Decaying number of arrivals, at the time of the last one.
    arrivals: f64,
    last_arrival: Option<Timestamp>,
}

impl Class {
    pub(super) fn arrived(&mut self, now: Timestamp) {
        self.arrivals = self.demand(now) + 1.0;
        self.last_arrival = Some(now);
    }

    /// Decaying number of arrivals.
    pub(super) fn demand(&self, now: Timestamp) -> f64 {
        let age = self.last_arrival.map_or(Duration::ZERO, |at| now.since(at));
        self.arrivals * 0.5_f64.powf(age.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64())
    }

    pub(super) fn has_arrived_within(&self, now: Timestamp) -> bool {
        self.last_arrival
            .is_some_and(|at| now.since(at) < RESERVE_TIME)
    }

    pub(super) fn is_forgotten(&self, now: Timestamp) -> bool {
        self.is_empty() && self.demand(now) < FORGOTTEN_DEMAND
    }

    pub(super) fn flow(&mut self, lane: Lane, choice: ServerChoice) -> &mut Flow {
        self.flows.entry((lane, choice)).or_default()
    }

    pub(super) fn remove(&mut self, lane: Lane, choice: ServerChoice, bucket: Bucket, seq: u64) {
        self.change_flow(lane, choice, |flow| flow.remove(bucket, seq));
    }

    /// Removes a part that is sent. Returns whether its caller had more parts than the mean.
    pub(super) fn serve(
        &mut self,
        lane: Lane,
        choice: ServerChoice,
        bucket: Bucket,
        seq: u64,
    ) -> bool {
        let waits = |wanted| self.flows.keys().any(|(lane, _)| *lane == wanted);
        let owed = match waits(Lane::Once) && waits(Lane::InTime) {
            true => self.repeatable_owed + MIN_SHARE,
            false => 0.0,
        };
        let used = if lane == Lane::InTime { 1.0 } else { 0.0 };
        self.repeatable_owed = (owed - used).clamp(0.0, MAX_OWED);
        self.change_flow(lane, choice, |flow| flow.serve(bucket, seq))
            .unwrap_or(false)
    }

    fn change_flow<T>(
        &mut self,
        lane: Lane,
        choice: ServerChoice,
        change: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let flow = self.flows.get_mut(&(lane, choice))?;
        let result = change(flow);
        if flow.len() == 0 {
            self.flows.remove(&(lane, choice));
        }
        if self.flows.is_empty() {
            self.owed = 0.0;
            self.repeatable_owed = 0.0;
        }
        Some(result)
    }

    /// The next part of the flows that are not blocked. Of several flows of a lane, which
    /// differ in the servers that they may use, the one whose part arrived first.
    pub(super) fn next(&self, is_blocked: impl Fn(ServerChoice) -> bool) -> Option<(Lane, PartId)> {
        let order = |lane: Lane| match lane {
            Lane::InTime if self.repeatable_owed >= 1.0 => 0,
            Lane::Once => 1,
            Lane::InTime => 2,
            Lane::Late => 3,
        };
        let open = self.flows.iter().filter(|((_, c), _)| !is_blocked(*c));
        let heads = open.filter_map(|((lane, _), flow)| {
            let (seq, id) = flow.next()?;
            Some((order(*lane), seq, *lane, id))
        });
        heads.min().map(|(.., lane, id)| (lane, id))
    }

    /// Credits one turn of all classes with a backlog.
    pub(super) fn credit(&mut self, share: f64, served: bool) {
        let used = if served { 1.0 } else { 0.0 };
        self.owed = (self.owed + share - used).clamp(0.0, MAX_OWED);
    }

    pub(super) fn is_owed(&self) -> bool {
        // Sums of shares such as 1/5 are slightly below 1.
        self.owed >= 1.0 - 1e-9
    }

    pub(super) fn owed(&self) -> f64 {
        self.owed
    }

    pub(super) fn waits_for(&self, choice: ServerChoice) -> bool {
        self.flows.keys().any(|(_, waits_for)| *waits_for == choice)
    }

    /// Whether a part of another caller comes before a new one.
    pub(super) fn is_behind(&self, part: &QueuedPart) -> bool {
        let mut flows = self.flows.iter();
        flows.any(|((lane, choice), flow)| {
            *lane <= part.lane && *choice == part.choice && flow.has_others(part.caller)
        })
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(super) fn parts(&self, counted: impl Fn(Lane) -> bool) -> usize {
        let flows = self.flows.iter().filter(|((lane, _), _)| counted(*lane));
        flows.map(|(_, flow)| flow.len()).sum()
    }

    pub(super) fn callers(&self) -> usize {
        self.flows.values().map(Flow::callers).max().unwrap_or(0)
    }
}

/// Shares of the turns that the classes with a backlog are guaranteed, most urgent first, by
/// their demands. The most urgent class with parts gets all turns that are left.
///
/// A class gets [`MIN_SHARE`], or an equal share if there are more than four classes, but not
/// more per arrival than a more urgent class: the fraction of its parts that is served would
/// otherwise exceed that of the more urgent class, whose demand is higher. Each class is thus
/// served at least a quarter as often per arrival as all classes together.
pub(super) fn guarantees(demands: &[f64]) -> Vec<f64> {
    let total: f64 = demands.iter().sum();
    let most = MIN_SHARE.min(1.0 / demands.len().max(1) as f64);
    // Turns per arrival of the classes before. The most urgent one gets its part of all turns
    // at least.
    let mut rate = if total > 0.0 { 1.0 / total } else { f64::MAX };
    let share = |(at, demand): (usize, &f64)| {
        // A class without known arrivals is not compared.
        if at == 0 || *demand <= 0.0 {
            return most;
        }
        let share = most.min(rate * demand);
        rate = rate.min(share / demand);
        share
    };
    demands.iter().enumerate().map(share).collect()
}
