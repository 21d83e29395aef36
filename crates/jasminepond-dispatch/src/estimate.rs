//! Compact running estimates: a mean in 4 bytes and a quantile in 8 bytes.
//!
//! A daemon keeps them for each of up to 25,000 servers; a histogram per server
//! would exceed the memory budget.

use std::time::Duration;

/// Reciprocal of the weight of one sample in a mean.
const EWMA_DIVISOR: f32 = 16.0;

/// Step of a quantile estimate at the first sample, relative to the estimate.
/// The step shrinks with the number of samples.
const INITIAL_STEP: f32 = 0.5;

/// Smallest relative step. At 0.1, the estimates of equal servers differed by
/// more than one queue position, and replica selection preferred longer queues.
const MIN_STEP: f32 = 0.02;

/// Lowest quantile estimate in microseconds. Steps are relative, so an estimate
/// of zero would never change.
const QUANTILE_FLOOR: f32 = 1.0;

/// Exponentially weighted moving average of durations, initialized by the first
/// sample.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_dispatch::Ewma;
///
/// let mut mean = Ewma::default();
/// assert_eq!(mean.get(), None);
/// mean.add(Duration::from_millis(8));
/// assert_eq!(mean.get(), Some(Duration::from_millis(8)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Ewma {
    micros: f32,
}

impl Ewma {
    /// Creates a mean with `initial` as its first value.
    pub fn starting_at(initial: Duration) -> Self {
        Self {
            micros: micros(initial),
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = micros(sample);
        if self.micros == 0.0 {
            self.micros = sample;
        } else {
            self.micros += (sample - self.micros) / EWMA_DIVISOR;
        }
    }

    /// The mean, or `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        (self.micros > 0.0).then(|| Duration::from_micros(self.micros as u64))
    }
}

/// Quantile of durations by stochastic approximation: each sample moves the
/// estimate by a step proportional to the estimate, up with weight `p` and down
/// with weight `1 - p`, so that it converges to the value below which the share
/// `p` of the samples lies.
///
/// ```
/// use std::time::Duration;
/// use jasminepond_dispatch::Quantile;
///
/// let mut median = Quantile::starting_at(Duration::from_millis(1));
/// for i in 0..1_000 {
///     median.add(0.5, Duration::from_millis(5 + i % 11));
/// }
/// assert!((8..=12).contains(&median.get().as_millis()));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Quantile {
    micros: f32,
    step: f32,
}

impl Quantile {
    /// Creates an estimate with `initial` as its first value.
    pub fn starting_at(initial: Duration) -> Self {
        Self {
            micros: micros(initial).max(QUANTILE_FLOOR),
            step: INITIAL_STEP,
        }
    }

    /// Adds a sample. `p` is the quantile, between 0 and 1.
    pub fn add(&mut self, p: f32, sample: Duration) {
        let step = self.micros * self.step;
        // `1 / step` grows by one per sample, so the step is inversely
        // proportional to the number of samples.
        self.step = (self.step / (1.0 + self.step)).max(MIN_STEP);
        if micros(sample) > self.micros {
            self.micros += step * p;
        } else {
            self.micros = (self.micros - step * (1.0 - p)).max(QUANTILE_FLOOR);
        }
    }

    /// The current estimate.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros as u64)
    }
}

fn micros(d: Duration) -> f32 {
    d.as_micros() as f32
}
