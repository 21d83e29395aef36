//! Tests of budgets, hedging, admission and deadlines.

use std::time::Duration;

use jasminepond_routing::{
    Admission, AdmissionDecision, AdmissionSettings, ConcurrencySettings, Deadline, DirectQuota,
    Estimate, ExtraAttempt, HedgeBudget, HedgeDecision, HedgeDenial, Hedging, HedgingSettings,
    Query, RetryBudget, Share,
};
use jasminepond_types::{ConnectionLimit, ErrorKind, Millis, Timestamp};
use proptest::prelude::*;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn estimate(wait: u64, service: u64) -> Estimate {
    Estimate {
        wait: ms(wait),
        wait_now: ms(wait),
        service: ms(service),
        completion: ms(wait + service),
    }
}

proptest! {
    /// Guards against hedged requests or retries that exceed their share in some
    /// window, in particular after an idle period.
    #[test]
    fn a_budget_holds_over_any_window(
        percent in 0..=100u32,
        burst in 0..20u32,
        steps in proptest::collection::vec((0..50u64, 0..20u32), 1..60),
    ) {
        let mut budget = HedgeBudget::new(Share::percent(percent), burst);
        let mut taken_at = Vec::new();
        for (sent, tries) in steps {
            budget.record_sent(sent);
            let taken = (0..tries).filter(|_| budget.try_take()).count() as u64;
            taken_at.push((sent, taken));
        }
        for start in 0..taken_at.len() {
            let (mut sent, mut taken) = (0, 0);
            for (s, t) in &taken_at[start..] {
                sent += s;
                taken += t;
                let limit = u64::from(burst) * 100 + sent * u64::from(percent);
                prop_assert!(taken * 100 <= limit, "{} taken of {} sent", taken, sent);
            }
        }
    }

    /// Guards against a hop that gets more time than the previous one.
    #[test]
    fn remaining_time_never_grows_between_hops(left in 0..100_000u64, spent in 0..300_000u64, hop in 0..10_000u64) {
        let start = Timestamp::from_millis(1);
        let deadline = Deadline::from_remaining(start, Millis(left));
        let now = start + Duration::from_micros(spent);
        let allowance = Duration::from_micros(hop);
        match deadline.remaining_at_next_hop(now, allowance) {
            Some(next) => prop_assert!(next.0 * 1_000 + spent + hop <= left * 1_000),
            None => prop_assert!(left * 1_000 < spent + hop + 1_000),
        }
    }

    /// Guards against daemons in direct mode that together exceed a server's connection
    /// limit.
    #[test]
    fn quotas_stay_within_the_connection_limit(limit in 1..1_000u32, daemons in 1..1_000u32) {
        let quota = DirectQuota { limit: ConnectionLimit(limit), daemons };
        prop_assert!(quota.connections() >= 1);
        prop_assert!(quota.connections() * daemons <= limit.max(daemons));
    }
}

/// Guards against hedged requests and retries that add load to an overloaded server
/// or cannot be answered before the deadline.
#[test_case(0, estimate(0, 10), HedgeDecision::Wait { until: Timestamp::from_millis(50) }, HedgeDecision::Send ; "before the delay")]
#[test_case(60, estimate(0, 10), HedgeDecision::Send, HedgeDecision::Send ; "after the delay")]
#[test_case(60, estimate(10, 10), HedgeDecision::Send, HedgeDecision::Send ; "queue of one service time")]
#[test_case(60, estimate(11, 10), HedgeDecision::Deny(HedgeDenial::Overloaded), HedgeDecision::Deny(HedgeDenial::Overloaded) ; "longer queue")]
#[test_case(245, estimate(0, 10), HedgeDecision::Deny(HedgeDenial::Late), HedgeDecision::Deny(HedgeDenial::Late) ; "no time left")]
fn extra_attempts_are_sent_only_where_useful(
    at: u64,
    target: Estimate,
    hedge: HedgeDecision,
    retry: HedgeDecision,
) {
    let mut hedging = Hedging::new(HedgingSettings::default());
    let group = "g".parse().unwrap();
    let deadline = Deadline::at(Timestamp::from_millis(250));
    let sent_at = Timestamp::ZERO;
    let attempt = ExtraAttempt {
        group: &group,
        sent_at,
        deadline,
        target,
    };
    let now = Timestamp::from_millis(at);
    assert_eq!(hedging.hedge(now, attempt), hedge);
    assert_eq!(hedging.retry(now, attempt), retry);
}

/// Guards against a hedge delay that does not fit the group, with which most requests
/// of a slow group or none of a fast one would be hedged.
#[test]
fn the_hedge_delay_follows_the_quantile_within_the_budget() {
    let budgets = |percent| {
        (
            HedgeBudget::new(Share::percent(percent), 1),
            RetryBudget::default(),
        )
    };
    let (hedges, retries) = budgets(5);
    let mut hedging = Hedging::with_budgets(HedgingSettings::default(), hedges, retries);
    let group = "g".parse().unwrap();
    for n in 0..10_000 {
        hedging.record_latency(&group, ms(20 + n % 100));
    }
    let delay = hedging.delay(&group);
    assert!((ms(105)..ms(125)).contains(&delay), "{delay:?}");
    for _ in 0..10_000 {
        hedging.record_latency(&group, Duration::from_micros(10));
    }
    assert_eq!(hedging.delay(&group), ms(5));
    let deadline = Deadline::at(Timestamp::from_millis(250));
    let (sent_at, target) = (Timestamp::ZERO, estimate(0, 10));
    let attempt = ExtraAttempt {
        group: &group,
        sent_at,
        deadline,
        target,
    };
    let now = Timestamp::from_millis(60);
    assert_eq!(hedging.hedge(now, attempt), HedgeDecision::Send);
    assert!(!hedging.can_hedge());
    assert_eq!(
        hedging.hedge(now, attempt),
        HedgeDecision::Deny(HedgeDenial::Budget)
    );
    hedging.record_sent(20);
    assert_eq!(hedging.hedge(now, attempt), HedgeDecision::Send);
}

/// Guards against capacity spent on queries that will miss their deadline, and
/// against a retry-after that is too short.
#[test_case(estimate(0, 10), 250, None)]
#[test_case(estimate(240, 10), 250, None)]
#[test_case(estimate(300, 10), 250, Some((ErrorKind::Overloaded, 60)))]
#[test_case(estimate(0, 10), 5, Some((ErrorKind::DeadlineNotRun, 1)) ; "never enough time")]
#[test_case(estimate(0, 0), 0, Some((ErrorKind::DeadlineNotRun, 1)) ; "deadline passed")]
fn admission_compares_the_wait_with_the_time_left(
    slowest: Estimate,
    left: u64,
    refused: Option<(ErrorKind, u64)>,
) {
    let mut admission = Admission::default();
    let now = Timestamp::from_millis(1_000);
    let query = Query {
        tenant: &"t".parse().unwrap(),
        tenant_limit: 1,
        priority: 0,
        deadline: Deadline::at(now + ms(left)),
        slowest,
    };
    let expected = refused.map_or(AdmissionDecision::Admit, |(kind, after)| {
        AdmissionDecision::Refuse {
            kind,
            retry_after: Millis(after),
        }
    });
    assert_eq!(admission.admit(now, query), expected);
}

/// Guards against a tenant or a lower class that displaces others.
#[test]
fn admission_limits_tenants_and_classes() {
    let concurrency = ConcurrencySettings {
        initial: 8,
        ..Default::default()
    };
    let settings = AdmissionSettings {
        concurrency,
        ..Default::default()
    };
    let mut admission = Admission::new(settings);
    let now = Timestamp::from_millis(1_000);
    let deadline = Deadline::at(now + ms(250));
    let mut admit = |tenant: &str, priority| {
        let tenant = &tenant.parse().unwrap();
        let (tenant_limit, slowest) = (6, estimate(0, 10));
        let query = Query {
            tenant,
            tenant_limit,
            priority,
            deadline,
            slowest,
        };
        match admission.admit(now, query) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse { kind, retry_after } => {
                assert!(retry_after.0 > 0);
                Some(kind)
            }
        }
    };
    assert!((0..6).all(|_| admit("a", 1).is_none()));
    assert_eq!(admit("a", 1), Some(ErrorKind::TenantLimit));
    assert!((0..2).all(|_| admit("b", 1).is_none()));
    assert_eq!(admit("b", 1), Some(ErrorKind::Overloaded));
    assert_eq!(
        admit("b", 2),
        None,
        "queries of lower classes do not count for a higher class"
    );
    assert_eq!(admit("c", 0), None, "a lower class has a reserved share");
    assert_eq!(admit("c", 0), Some(ErrorKind::Overloaded));
}
