//! Compact running estimates: a mean in 4 bytes and a quantile in 8 bytes.
//!
//! A daemon keeps them for each of up to 25,000 servers, where a histogram per
//! server would exceed the memory budget.

use std::time::Duration;

/// Weight of one sample in a mean, as a divisor.
const EWMA_DIVISOR: f32 = 16.0;

/// Largest step of a quantile estimate relative to the estimate, for the first
/// samples. It falls with the number of samples.
const FIRST_STEP: f32 = 0.5;

/// Smallest step. At 0.1 the estimates of equal servers differed by more than
/// one place in a queue, and replica choice preferred longer queues.
const LAST_STEP: f32 = 0.02;

/// Lowest quantile estimate in microseconds. A relative step cannot leave zero.
const QUANTILE_FLOOR: f32 = 1.0;

/// Exponentially weighted mean of durations. The first sample sets it.
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
    /// A mean that starts at `first`.
    pub fn starting_at(first: Duration) -> Self {
        Self {
            micros: micros(first),
        }
    }

    /// Takes one sample into account.
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
/// estimate by a step proportional to it, up with weight `p` and down with
/// weight `1 - p`, so that it settles where the share `p` of samples is below.
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
    /// An estimate that starts at `first`.
    pub fn starting_at(first: Duration) -> Self {
        Self {
            micros: micros(first).max(QUANTILE_FLOOR),
            step: FIRST_STEP,
        }
    }

    /// Takes one sample into account for the quantile `p` between 0 and 1.
    pub fn add(&mut self, p: f32, sample: Duration) {
        let step = self.micros * self.step;
        // 1/step rises by a constant: the step falls as one over the samples.
        self.step = (self.step / (1.0 + self.step)).max(LAST_STEP);
        if micros(sample) > self.micros {
            self.micros += step * p;
        } else {
            self.micros = (self.micros - step * (1.0 - p)).max(QUANTILE_FLOOR);
        }
    }

    /// The estimate.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros as u64)
    }
}

fn micros(d: Duration) -> f32 {
    d.as_micros() as f32
}
