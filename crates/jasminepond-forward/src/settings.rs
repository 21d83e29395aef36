//! Settings of the forwarder.

use std::{sync::Arc, time::Duration};

use jasminepond_types::CpuCapacity;

/// Limits on retries and hedged sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatSettings {
    /// Allowed repeated sends per request of a service, over all daemons.
    pub share: f64,
    /// Additional repeated sends per window and service, over all daemons.
    pub slack: f64,
    /// Window over which the slack is allowed.
    pub window: Duration,
    /// Number of daemons among which the slack is divided.
    pub daemons: u32,
}

impl Default for RepeatSettings {
    fn default() -> Self {
        // The share that the users allow, and the slack of the smallest site.
        Self {
            share: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
            daemons: 8,
        }
    }
}

/// Number of daemons on a small site, up to which each daemon probes slow servers at full
/// frequency.
pub const SMALL_SITE_DAEMONS: u32 = 8;

/// Settings of the forwarder.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardSettings {
    /// Instance on which the daemon runs. Daemons agree by it on who grants the permits of
    /// servers with a rate limit.
    pub instance: Arc<str>,
    /// The availability zone of this daemon.
    pub zone: String,
    /// Processor capacity of this daemon.
    pub processor: CpuCapacity,
    /// Limits on repeated sends.
    pub repeat: RepeatSettings,
    /// Time reserved from the decision to answer until the caller has the answer, for
    /// callers that open a connection for the request: two round trips of 3 ms between
    /// caller and daemon, the longest on the sites, plus scheduling delays.
    pub answer_margin: Duration,
    /// Share of the objective after which a request that could not be sent is refused,
    /// so that the caller can still be served in time elsewhere.
    pub wait_share: f64,
    /// Delay of a hedged send as a multiple of the 90th percentile of the latency. Above
    /// 1, so that fewer than a tenth of the requests are hedged.
    pub hedge_delay_factor: f64,
    /// Longest delay of a hedged send as a share of the objective: the answer to a later
    /// one would arrive too late.
    pub hedge_delay_max_share: f64,
    /// Shortest delay of a hedged send. Shorter delays are within the scheduling noise of
    /// a daemon with a quarter of a core.
    pub hedge_delay_min: Duration,
    /// Timeout of a call of a search as a multiple of the objective of its route, at
    /// least [`ForwardSettings::call_timeout_min`].
    pub call_timeout_objectives: f64,
    /// Shortest timeout of a call of a search. Longer than the 200 ms pauses of backend
    /// servers, so that a pause does not cost a connection.
    pub call_timeout_min: Duration,
    /// Time after which a call is aborted when its caller has disconnected: half of the
    /// 500 ms that the users allow, so that the close arrives in time.
    pub abandoned_call_grace: Duration,
    /// Delay before the first reconnect to a server. Doubles with each failure up to
    /// `reconnect_delay_max`.
    pub reconnect_delay_min: Duration,
    /// Longest delay before a reconnect. Below two seconds, the time within which a
    /// recovered server is expected to be used.
    pub reconnect_delay_max: Duration,
    /// Half-life of the observations of a server, so that a server that was slow or
    /// failing is tried again within seconds. Applies to up to [`SMALL_SITE_DAEMONS`]
    /// daemons that use a server; longer for more of them.
    pub half_life_min: Duration,
    /// Longest half-life. A recovered server regains its share of the requests within ten
    /// seconds.
    pub half_life_max: Duration,
    /// Number of daemons that use the same backend servers; set once the daemons are
    /// known.
    pub daemons_sharing: u32,
    /// Cost of a server in another zone relative to one in the same zone: round trips
    /// of 2 ms compared with a few milliseconds of work, and billed traffic between
    /// zones.
    pub remote_cost_factor: f64,
    /// Whether daemons spread their calls evenly over servers of equal speed. Otherwise most
    /// of them prefer the same ones, about whose pauses they then know more.
    pub even_load: bool,
    /// Calls of a server relative to the mean of its service up to which servers in the own
    /// zone are preferred. Infinite: they always are.
    pub max_zone_imbalance: f64,
    /// A connection is not used during this time before the server's idle timeout: the
    /// server may close it while a request is in flight.
    pub idle_margin: Duration,
    /// Time for which a server whose entry was removed is used if no other server is
    /// left. Entries that expired while the store was unavailable are back within two
    /// seconds.
    pub lapse_grace: Duration,
    /// Time after which a server that announced its stop must get no requests.
    pub drain_bound: Duration,
    /// Idle timeout of connections to servers that are not assigned to this daemon: long
    /// enough for a series of requests.
    pub remote_idle_timeout: Duration,
    /// Time for which a server that rejected a request because its queue was full is
    /// ranked behind others: about the time in which a full queue of 12 requests drains.
    pub rejection_penalty: Duration,
    /// Requests that all daemons together may send to a cold server in any second, as a
    /// multiple of what it handles.
    pub warm_up_excess: f64,
    /// Requests in any second beyond that.
    pub warm_up_slack: f64,
    /// Settings for requests that end the servers that run them.
    pub quarantine: jasminepond_quarantine::Settings,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            instance: "".into(),
            zone: String::new(),
            processor: CpuCapacity::default(),
            repeat: RepeatSettings::default(),
            answer_margin: Duration::from_millis(17),
            wait_share: 0.2,
            hedge_delay_factor: 1.2,
            hedge_delay_max_share: 0.45,
            hedge_delay_min: Duration::from_millis(3),
            call_timeout_objectives: 4.0,
            call_timeout_min: Duration::from_millis(350),
            abandoned_call_grace: Duration::from_millis(250),
            reconnect_delay_min: Duration::from_millis(100),
            reconnect_delay_max: Duration::from_millis(1_000),
            half_life_min: Duration::from_millis(1_500),
            half_life_max: Duration::from_millis(4_000),
            daemons_sharing: SMALL_SITE_DAEMONS,
            remote_cost_factor: 1.4,
            even_load: false,
            max_zone_imbalance: f64::INFINITY,
            idle_margin: Duration::from_millis(300),
            lapse_grace: Duration::from_millis(2_000),
            drain_bound: Duration::from_millis(3_000),
            remote_idle_timeout: Duration::from_millis(1_000),
            rejection_penalty: Duration::from_millis(60),
            // The bounds of the users' platform.
            warm_up_excess: 1.5,
            warm_up_slack: 5.0,
            quarantine: jasminepond_quarantine::Settings::default(),
        }
    }
}

impl ForwardSettings {
    /// Time for which a leaving server is used if no other server is left. Ends well
    /// before `drain_bound`, so that queued requests and those in flight arrive in time.
    pub(crate) fn leave_grace(&self) -> Duration {
        self.lapse_grace.min(self.drain_bound * 2 / 3)
    }

    /// Half-life of the observations of a server. Daemons probe slow servers
    /// independently; the half-life grows with their number, so that many daemons
    /// together probe as often as a few.
    pub(crate) fn half_life(&self) -> Duration {
        let factor = f64::from(self.daemons_sharing) / f64::from(SMALL_SITE_DAEMONS);
        let wanted = self.half_life_min.mul_f64(factor.max(1.0));
        wanted.min(self.half_life_max)
    }
}
