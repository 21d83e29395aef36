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

/// Time for which a class is taken for overloaded after a part of it was found late.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);

/// Half-life of the counts of a class. Long enough for the mean of a class with a few requests
/// per second, short enough to follow a load spike.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);

/// Demand below which a class without a backlog is forgotten.
const FORGOTTEN_DEMAND: f64 = 0.01;

/// A count that decays with [`DEMAND_HALF_LIFE`].
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    at: Timestamp,
}

impl Count {
    fn get(self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * 0.5_f64.powf(age / DEMAND_HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, now: Timestamp) {
        self.value = self.get(now) + 1.0;
        self.at = now;
    }
}

/// Parts of one class.
#[derive(Debug, Default)]
pub(super) struct Class {
    flows: BTreeMap<(Lane, ServerChoice), Flow>,
    /// Turns that the class is owed.
    owed: f64,
    /// Turns that the repeatable parts are owed while parts that are not have a backlog.
    repeatable_owed: f64,
    arrivals: Count,
    served: Count,
    /// When a part was last found late.
    late_at: Option<Timestamp>,
}

impl Class {
    pub(super) fn arrived(&mut self, now: Timestamp) {
        self.arrivals.add(now);
    }

    /// Counts a part that is sent for the first time.
    pub(super) fn served(&mut self, now: Timestamp) {
        self.served.add(now);
    }

    /// Fraction of the parts that is sent.
    pub(super) fn served_rate(&self, now: Timestamp) -> f64 {
        self.served.get(now) / self.arrivals.get(now).max(1.0)
    }

    pub(super) fn demand(&self, now: Timestamp) -> Demand {
        Demand {
            arrivals: self.arrivals.get(now),
            served_rate: self.served_rate(now),
        }
    }

    pub(super) fn has_arrived_within(&self, now: Timestamp) -> bool {
        self.arrivals.value > 0.0 && now.since(self.arrivals.at) < RESERVE_TIME
    }

    pub(super) fn is_forgotten(&self, now: Timestamp) -> bool {
        self.is_empty() && self.arrivals.get(now) < FORGOTTEN_DEMAND
    }

    pub(super) fn flow(&mut self, lane: Lane, choice: ServerChoice) -> &mut Flow {
        self.flows.entry((lane, choice)).or_default()
    }

    pub(super) fn remove(&mut self, part: &QueuedPart, bucket: Bucket, seq: u64) {
        self.change_flow(part, |flow| flow.remove(bucket, seq, part.draw));
    }

    /// Notes that a part was not sent in time.
    pub(super) fn found_late(&mut self, now: Timestamp) {
        self.late_at = Some(now);
    }

    /// Whether parts of the class have become late, so that not all of them can be sent.
    fn is_overloaded(&self, now: Timestamp) -> bool {
        self.late_at.is_some_and(|at| now.since(at) < OVERLOAD_TIME)
    }

    /// Removes a part that is sent. Returns whether its caller had more parts than the mean.
    pub(super) fn serve(
        &mut self,
        now: Timestamp,
        part: &QueuedPart,
        bucket: Bucket,
        seq: u64,
    ) -> bool {
        let waits = |wanted| self.flows.keys().any(|(lane, _)| *lane == wanted);
        let owed = match waits(Lane::Once) && waits(Lane::InTime) {
            true => self.repeatable_owed + MIN_SHARE,
            false => 0.0,
        };
        let used = if part.lane == Lane::InTime { 1.0 } else { 0.0 };
        self.repeatable_owed = (owed - used).clamp(0.0, MAX_OWED);
        self.change_flow(part, |flow| flow.serve(now, bucket, seq, part.draw))
            .unwrap_or(false)
    }

    fn change_flow<T>(
        &mut self,
        part: &QueuedPart,
        change: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let key = (part.lane, part.choice);
        let flow = self.flows.get_mut(&key)?;
        let result = change(flow);
        if flow.len() == 0 {
            self.flows.remove(&key);
        }
        if self.flows.is_empty() {
            self.owed = 0.0;
            self.repeatable_owed = 0.0;
        }
        Some(result)
    }

    /// The next part of the flows that are not blocked. Of several flows of a lane, which
    /// differ in the servers that they may use, the one whose part arrived first.
    pub(super) fn next(
        &self,
        now: Timestamp,
        is_blocked: impl Fn(ServerChoice) -> bool,
    ) -> Option<(Lane, PartId)> {
        let by_draw = self.is_overloaded(now);
        let order = |lane: Lane| match lane {
            Lane::InTime if self.repeatable_owed >= 1.0 => 0,
            Lane::Once => 1,
            Lane::InTime => 2,
            Lane::Late => 3,
        };
        let open = self.flows.iter().filter(|((_, c), _)| !is_blocked(*c));
        let heads = open.filter_map(|((lane, _), flow)| {
            let (seq, id) = flow.next(by_draw)?;
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

/// What is known about a class with a backlog.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    /// Decaying number of arrivals.
    pub(super) arrivals: f64,
    /// Fraction of its parts that is served.
    pub(super) served_rate: f64,
}

/// Shares of the turns that the classes with a backlog are owed, most urgent first. The most
/// urgent class with parts gets all turns that are left.
///
/// A class is owed [`MIN_SHARE`], or an equal share if there are more than four classes, but no
/// more per arrival than a more urgent class, and nothing while a larger fraction of its parts
/// is served. Otherwise a class with little demand would be served more often than a more urgent
/// one with much. Each class is thus served at least a quarter as often as all together.
pub(super) fn owed_shares(demands: &[Demand]) -> Vec<f64> {
    let total: f64 = demands.iter().map(|demand| demand.arrivals).sum();
    let most = MIN_SHARE.min(1.0 / demands.len().max(1) as f64);
    // Turns per arrival of the classes before. The most urgent one gets its part of all turns
    // at least.
    let mut per_arrival = if total > 0.0 { 1.0 / total } else { f64::MAX };
    let mut lowest_rate = f64::INFINITY;
    let share = |(at, demand): (usize, &Demand)| {
        let share = match at > 0 && demand.arrivals > 0.0 {
            true => most.min(per_arrival * demand.arrivals),
            // A class without known arrivals is not compared.
            false => most,
        };
        if at > 0 && demand.arrivals > 0.0 {
            per_arrival = per_arrival.min(share / demand.arrivals);
        }
        let may_catch_up = is_served_no_more(demand.served_rate, lowest_rate);
        lowest_rate = lowest_rate.min(demand.served_rate);
        if may_catch_up { share } else { 0.0 }
    };
    demands.iter().enumerate().map(share).collect()
}

/// Whether a class is not served more often than a more urgent one.
pub(super) fn is_served_no_more(rate: f64, urgent_rate: f64) -> bool {
    rate <= urgent_rate
}
