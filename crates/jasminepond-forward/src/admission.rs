//! Admission control for searches: which searches are refused at once, and which shards the
//! others leave out, when shards cannot process all of the load.
//!
//! A daemon that sends requests to the servers of a shard estimates how long one more part
//! waits there ([`ShardLoad`]), and reports it to others on responses that pass anyway. The
//! longer the wait, the fewer of the searches the shard takes ([`share`]). The daemon that a
//! caller has asked decides for all shards together ([`plan`]), since a search that one shard
//! too many turns away is lost at all others. The estimate includes every part as soon as it
//! is admitted, so it does not oscillate as measured latencies would.

use std::{collections::HashMap, fmt, str::FromStr, time::Duration};

use jasminepond_types::{Millis, Timestamp};

use crate::CallerId;

/// Interval over which the throughput of a shard is measured.
pub(crate) const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of the newest interval in the throughput of a shard.
const INTERVAL_WEIGHT: f64 = 0.3;

/// Time for which a measured throughput holds. Servers recover within seconds.
const THROUGHPUT_LIFETIME: Duration = Duration::from_secs(2);

/// Lowest throughput that is assumed, in parts per second, so that a shard that has stopped
/// for a moment is tried again.
const MIN_THROUGHPUT: f64 = 10.0;

/// Wait, as a share of the objective, up to which a shard takes all searches.
const SHORT_WAIT: f64 = 0.25;

/// Wait, as a share of the objective, from which a shard takes none. Service, a hedged send
/// and the answer must fit into the rest.
const LONG_WAIT: f64 = 0.5;

/// Time after which a report is forgotten, so that a daemon that is partitioned or wrong
/// does not hold others back for longer.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Share of the shards that a search may lack that it leaves out under overload. The rest is
/// reserved for servers that fail.
const PLANNED_MISSING: f64 = 0.75;

/// Half-life of the number of searches of a caller.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Maximum number of callers whose rates are known; a few kilobytes.
const MAX_CALLERS: usize = 256;

/// Steps of the bisection in [`admitted_share`], which make its result exact to a thousandth.
const BISECTIONS: u32 = 10;

/// Maximum number of shards in a report. A helper handles a few groups of about 16 shards.
const MAX_REPORTED: usize = 128;

/// Text of a report without shards.
const NO_SHARDS: &str = "none";

/// Returns the share of the searches that a shard takes if one more part waits for this time,
/// as a share of the objective of the search.
pub(crate) fn share(wait: f64) -> f64 {
    ((LONG_WAIT - wait) / (LONG_WAIT - SHORT_WAIT)).clamp(0.0, 1.0)
}

/// How long one more part waits for a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ShardWait {
    /// A part of the least urgent class.
    pub least_urgent: Millis,
    /// A part of the most urgent class.
    pub most_urgent: Millis,
}

/// How long parts wait for shards, by their index among the shards of the route, as one daemon
/// reports it to another. Parts for shards that are not listed hardly wait.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadReport(Vec<(usize, ShardWait)>);

impl LoadReport {
    /// Creates a report; the longest waits if there are too many.
    pub fn new(waits: impl IntoIterator<Item = (usize, ShardWait)>) -> Self {
        let mut waits: Vec<_> = waits.into_iter().collect();
        waits.sort_by_key(|(_, wait)| std::cmp::Reverse(*wait));
        waits.truncate(MAX_REPORTED);
        Self(waits)
    }

    /// The reported shards and waits.
    pub fn waits(&self) -> &[(usize, ShardWait)] {
        &self.0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str(NO_SHARDS);
        }
        for (at, (shard, wait)) in self.0.iter().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let ShardWait {
                least_urgent,
                most_urgent,
            } = wait;
            write!(f, "{comma}{shard}={}/{}", least_urgent.0, most_urgent.0)?;
        }
        Ok(())
    }
}

/// The text is not a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a list of shards and waits")]
pub struct LoadReportError;

impl FromStr for LoadReport {
    type Err = LoadReportError;

    /// Parses the text that `Display` writes.
    ///
    /// ```
    /// use jasminepond_forward::LoadReport;
    ///
    /// let report: LoadReport = "3=51/4,17=80/0".parse().unwrap();
    /// assert_eq!(report.waits()[0].0, 3);
    /// assert_eq!(report.to_string(), "3=51/4,17=80/0");
    /// assert!("3".parse::<LoadReport>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.trim() == NO_SHARDS {
            return Ok(Self::default());
        }
        let wait = |item: &str| {
            let (shard, waits) = item.split_once('=')?;
            let (least, most) = waits.split_once('/')?;
            let wait = ShardWait {
                least_urgent: Millis(least.trim().parse().ok()?),
                most_urgent: Millis(most.trim().parse().ok()?),
            };
            Some((shard.trim().parse().ok()?, wait))
        };
        let waits = text.split(',').take(MAX_REPORTED).map(wait);
        let waits: Option<_> = waits.collect();
        waits.map(Self).ok_or(LoadReportError)
    }
}

/// A wait that another daemon has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReportedWait {
    pub(crate) wait: ShardWait,
    pub(crate) at: Timestamp,
}

impl ReportedWait {
    /// The wait in seconds as far as the report is still believed: its effect fades with its
    /// age.
    pub(crate) fn at(self, now: Timestamp, most_urgent: bool) -> f64 {
        let wait = match most_urgent {
            true => self.wait.most_urgent,
            false => self.wait.least_urgent,
        };
        let age = now.since(self.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        wait.duration().as_secs_f64() * (1.0 - age.min(1.0))
    }
}

/// Throughput of one shard, as measured by a daemon that sends requests to its servers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct ShardLoad {
    /// Parts answered per second while others waited, and the end of that interval.
    throughput: Option<(f64, Timestamp)>,
    answered: u32,
    /// Whether parts waited at the end of the last interval.
    busy: bool,
}

impl ShardLoad {
    pub(crate) fn on_answered(&mut self) {
        self.answered = self.answered.saturating_add(1);
    }

    /// Ends an interval of the measurement. `busy` states whether parts wait: unless they did at
    /// both ends of the interval, the servers may be able to process more.
    pub(crate) fn measure(&mut self, now: Timestamp, busy: bool) {
        let rate = f64::from(std::mem::take(&mut self.answered)) / MEASURE_INTERVAL.as_secs_f64();
        let known = self.known(now).unwrap_or(rate);
        if std::mem::replace(&mut self.busy, busy) && busy {
            let throughput = known + (rate - known) * INTERVAL_WEIGHT;
            self.throughput = Some((throughput, now));
        } else if rate > known {
            self.throughput = Some((rate, now));
        }
    }

    fn known(&self, now: Timestamp) -> Option<f64> {
        let (throughput, at) = self.throughput?;
        (now.since(at) < THROUGHPUT_LIFETIME).then_some(throughput)
    }

    /// Parts per second that the shard can process. `nominal` applies until there is a measurement.
    pub(crate) fn throughput(&self, now: Timestamp, nominal: f64) -> f64 {
        self.known(now).unwrap_or(nominal).max(MIN_THROUGHPUT)
    }
}

/// Rates of the searches of callers.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct CallerRates {
    /// Searches of each caller, halved in each [`RATE_HALF_LIFE`].
    searches: HashMap<CallerId, f64>,
    halved_at: Timestamp,
}

impl CallerRates {
    /// Records a search of a caller.
    pub(crate) fn record(&mut self, now: Timestamp, caller: CallerId) {
        if now.since(self.halved_at) >= RATE_HALF_LIFE {
            self.halved_at = now;
            self.searches.retain(|_, searches| {
                *searches /= 2.0;
                *searches >= 0.5
            });
        }
        if self.searches.len() < MAX_CALLERS || self.searches.contains_key(&caller) {
            *self.searches.entry(caller).or_default() += 1.0;
        }
    }

    /// Share of the searches of a caller that is admitted if a share `admitted` of those of all
    /// callers is: callers share what is admitted by max-min fairness, so those who send
    /// little lose nothing as long as others send more than their part.
    pub(crate) fn share_of(&self, caller: CallerId, admitted: f64) -> f64 {
        let Some(own) = self.searches.get(&caller) else {
            return admitted;
        };
        let mut rates: Vec<_> = self.searches.values().copied().collect();
        rates.sort_by(f64::total_cmp);
        let mut left = admitted * rates.iter().sum::<f64>();
        let mut part = f64::INFINITY;
        for (at, rate) in rates.iter().enumerate() {
            let equal = left / (rates.len() - at) as f64;
            if *rate > equal {
                part = equal;
                break;
            }
            left -= rate;
        }
        (part / own).min(1.0)
    }
}

/// Decision about one search.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Plan {
    /// Send it, but leave these shards out, by their position.
    Without(Vec<usize>),
    /// Refuse it. The number is the share of such searches that is admitted.
    Refuse(f64),
}

/// Decides about a search whose shards take the given shares of the searches. `missing` is the
/// number of shards that its answer may lack. `chance` returns the chance of its caller if a
/// share of all searches is admitted. `draw` is uniform in 0..1; `skip` returns a draw for one
/// shard.
///
/// A share `b` of the searches is admitted, the largest one for which each admitted search
/// leaves out no more than the planned number of shards on average if every shard takes its
/// share: a search leaves a shard with share `s` out with probability `1 - s / b`. So if few
/// shards are overloaded, all searches are served and lack different ones, and if all are,
/// the searches that are refused are refused at all shards.
pub(crate) fn plan(
    shares: &[f64],
    missing: usize,
    chance: impl FnOnce(f64) -> f64,
    draw: f64,
    mut skip: impl FnMut(usize) -> f64,
) -> Plan {
    if shares.iter().all(|share| *share >= 1.0) {
        return Plan::Without(Vec::new());
    }
    // One overloaded shard is left out even if the search may lack no other.
    let allowed = (missing as f64 * PLANNED_MISSING).max(missing.min(1) as f64);
    let admitted = admitted_share(shares, allowed);
    if draw >= chance(admitted) {
        return Plan::Refuse(admitted);
    }
    let mut left_out: Vec<(f64, usize)> = Vec::new();
    for (at, share) in shares.iter().enumerate() {
        let excess = skip(at) - (share / admitted).min(1.0);
        if excess >= 0.0 {
            left_out.push((excess, at));
        }
    }
    // The number varies around its mean; the coverage must not depend on luck.
    left_out.sort_by(|a, b| b.0.total_cmp(&a.0));
    left_out.truncate(allowed.ceil() as usize);
    Plan::Without(left_out.into_iter().map(|(_, at)| at).collect())
}

/// Largest share of the searches that can be admitted if each leaves out `allowed` shards on
/// average.
fn admitted_share(shares: &[f64], allowed: f64) -> f64 {
    let left_out = |admitted: f64| -> f64 {
        let shares = shares.iter();
        shares.map(|share| (1.0 - share / admitted).max(0.0)).sum()
    };
    if left_out(1.0) <= allowed {
        return 1.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if left_out(middle) <= allowed {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
