//! Request arrivals as a seeded Poisson process.

use std::time::Duration;

use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, rngs::SmallRng};
use rand_distr::{Distribution, Exp};

use crate::Plan;

/// One arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Sequence number, starting at 0.
    pub number: u64,
    /// Scheduled time, relative to the start of the run.
    pub at: Duration,
    /// Index of the stream in the plan.
    pub stream: usize,
    /// Query or operation text.
    pub text: String,
}

/// Generates arrivals at `rate` per second for `duration`. The sequence is
/// determined by the arguments. It is empty if no stream has a positive weight or the rate is not positive.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_load::{Plan, arrivals};
///
/// let plan: Plan = serde_json::from_str(
///     r#"{"streams": [{"tenant": "t", "class": "c", "group": "g"}]}"#,
/// ).unwrap();
/// let second = Duration::from_secs(1);
/// let first: Vec<_> = arrivals(&plan, 50.0, second, 7).collect();
/// assert_eq!(first, arrivals(&plan, 50.0, second, 7).collect::<Vec<_>>());
/// ```
pub fn arrivals(
    plan: &Plan,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> impl Iterator<Item = Arrival> + use<> {
    let streams = WeightedIndex::new(plan.streams.iter().map(|s| s.weight)).ok();
    let intervals = Exp::new(rate).ok().filter(|_| rate > 0.0);
    let texts: Vec<u64> = plan.streams.iter().map(|s| s.texts.max(1)).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut number = 0;
    std::iter::from_fn(move || {
        at += intervals.as_ref()?.sample(&mut rng);
        if at >= duration.as_secs_f64() {
            return None;
        }
        let stream = streams.as_ref()?.sample(&mut rng);
        let text = rng.random_range(0..texts[stream]);
        let arrival = Arrival {
            number,
            at: Duration::from_secs_f64(at),
            stream,
            text: format!("query {text}"),
        };
        number += 1;
        Some(arrival)
    })
}
