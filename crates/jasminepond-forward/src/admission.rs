//! Admission control for searches: which searches are refused at once, and which shards the
//! others leave out, when shards cannot process all of the load.
//!
//! A daemon that sends requests to the servers of a shard estimates how long one more part
//! waits there ([`ShardLoad`]). The longer the wait, the fewer of the searches the shard
//! takes ([`share`]), by a draw that each search has at all shards alike: a search that one
//! shard too many turns away is lost at all others. The estimate includes every part as soon
//! as it is admitted, so it does not oscillate as measured latencies would. Daemons report it
//! on responses that pass anyway.

use std::{fmt, str::FromStr, time::Duration};

use jasminepond_types::{Millis, Timestamp};

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

/// How long one more part waits for shards, by their index among the shards of the route, as
/// one daemon reports it to another. Parts for shards that are not listed hardly wait.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LoadReport(Vec<(usize, Millis)>);

impl LoadReport {
    /// Creates a report; the longest waits if there are too many.
    pub fn new(waits: impl IntoIterator<Item = (usize, Millis)>) -> Self {
        let mut waits: Vec<_> = waits.into_iter().collect();
        waits.sort_by_key(|(_, wait)| std::cmp::Reverse(*wait));
        waits.truncate(MAX_REPORTED);
        Self(waits)
    }

    /// The reported shards and waits.
    pub fn waits(&self) -> &[(usize, Millis)] {
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
            write!(f, "{comma}{shard}={}", wait.0)?;
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
    /// let report: LoadReport = "3=51,17=80".parse().unwrap();
    /// assert_eq!(report.waits()[0].0, 3);
    /// assert_eq!(report.to_string(), "3=51,17=80");
    /// assert!("3".parse::<LoadReport>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.trim() == NO_SHARDS {
            return Ok(Self::default());
        }
        let wait = |item: &str| {
            let (shard, millis) = item.split_once('=')?;
            let millis = millis.trim().parse().ok()?;
            Some((shard.trim().parse().ok()?, Millis(millis)))
        };
        let waits = text.split(',').take(MAX_REPORTED).map(wait);
        let waits: Option<_> = waits.collect();
        waits.map(Self).ok_or(LoadReportError)
    }
}

/// A wait that another daemon has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReportedWait {
    pub(crate) wait: Millis,
    pub(crate) at: Timestamp,
}

impl ReportedWait {
    /// The wait in seconds as far as the report is still believed: its effect fades with its
    /// age.
    pub(crate) fn at(self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        self.wait.duration().as_secs_f64() * (1.0 - age.min(1.0))
    }
}

/// Throughput of one shard, as measured by a daemon that sends requests to its servers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct ShardLoad {
    /// Parts answered per second while others waited, and when that was measured last.
    throughput: Option<(f64, Timestamp)>,
    answered: u32,
}

impl ShardLoad {
    pub(crate) fn on_answered(&mut self) {
        self.answered = self.answered.saturating_add(1);
    }

    /// Ends an interval of the measurement. `busy` states whether parts wait: otherwise, the
    /// servers may be able to process more.
    pub(crate) fn measure(&mut self, now: Timestamp, busy: bool) {
        let rate = f64::from(std::mem::take(&mut self.answered)) / MEASURE_INTERVAL.as_secs_f64();
        if busy {
            let known = self.known(now).unwrap_or(rate);
            let throughput = known + (rate - known) * INTERVAL_WEIGHT;
            self.throughput = Some((throughput, now));
        }
    }

    fn known(&self, now: Timestamp) -> Option<f64> {
        let (throughput, at) = self.throughput?;
        (now.since(at) < THROUGHPUT_LIFETIME).then_some(throughput)
    }

    /// Seconds for which one more part waits behind `queued` others. `nominal` is the
    /// throughput of the shard in parts per second that is assumed until one was measured.
    pub(crate) fn wait(&self, now: Timestamp, queued: f64, nominal: f64) -> f64 {
        queued / self.known(now).unwrap_or(nominal).max(MIN_THROUGHPUT)
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
/// number of shards that its answer may lack. `draw` is uniform in 0..1 and the same wherever
/// the search is decided about; `skip` returns a draw for one shard.
///
/// A share `b` of the searches is admitted, the largest one for which each admitted search
/// leaves out no more than the planned number of shards on average if every shard takes its
/// share: a search leaves a shard with share `s` out with probability `1 - s / b`. So if few
/// shards are overloaded, all searches are served and lack different ones, and if all are,
/// the same searches are refused by all shards.
pub(crate) fn plan(
    shares: &[f64],
    missing: usize,
    draw: f64,
    mut skip: impl FnMut(usize) -> f64,
) -> Plan {
    if shares.iter().all(|share| *share >= 1.0) {
        return Plan::Without(Vec::new());
    }
    let allowed = missing as f64 * PLANNED_MISSING;
    let admitted = admitted_share(shares, allowed);
    if draw >= admitted {
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
