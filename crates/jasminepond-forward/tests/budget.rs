//! All daemons together must not repeat more sends than the users allow.

use std::time::Duration;

use jasminepond_forward::{RepeatBudget, RepeatSettings};
use jasminepond_types::Timestamp;
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(20);

/// The window of the budget.
const WINDOW: Duration = Duration::from_secs(10);

const SLACK: f64 = 430.0;

const SHARE: f64 = 0.2;

fn settings(daemons: u32) -> RepeatSettings {
    RepeatSettings {
        share: SHARE,
        slack: SLACK,
        window: WINDOW,
        daemons,
    }
}

/// Budget of a daemon that has just started and then learns how many daemons share it.
fn started(daemons: u32) -> RepeatBudget {
    let mut budget = RepeatBudget::new(RepeatSettings {
        daemons: RepeatSettings::default().daemons,
        ..settings(daemons)
    });
    budget.resize(settings(daemons));
    budget
}

/// Repeated sends and requests of all daemons at a time.
type Counted = (Timestamp, u32, u32);

fn assert_within(counted: &[Counted]) {
    for (at, (start, ..)) in counted.iter().enumerate() {
        let inside = counted[at..].iter();
        let inside = inside.take_while(|(at, ..)| at.since(*start) < WINDOW);
        let (repeats, requests) = inside.fold((0, 0), |(repeats, requests), (_, r, n)| {
            (repeats + r, requests + n)
        });
        let allowed = SHARE * f64::from(requests) + SLACK;
        assert!(
            f64::from(repeats) <= allowed,
            "{repeats} repeated of {requests} within the window from {start:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Every daemon repeats as many sends as its budget allows, while four times per window
    /// a daemon restarts or a helper of the group is replaced.
    #[test]
    fn all_daemons_together_stay_within_any_window(
        holders in 1_u32..8,
        per_step in 0_u32..4,
        changes in prop::collection::vec((0_usize..8, any::<bool>()), 1..16),
    ) {
        let mut budgets: Vec<_> = (0..holders).map(|_| started(holders)).collect();
        let mut counted = Vec::new();
        let mut now = Timestamp::from_millis(1);
        let mut changes = changes.into_iter();
        let mut next_change = now + WINDOW / 4;
        while now < Timestamp::from_millis(45_000) {
            if now >= next_change && let Some((at, restarts)) = changes.next() {
                let at = at % budgets.len();
                // Another daemon takes over with its remaining budget, or this one restarts.
                budgets[at] = started(holders);
                if !restarts {
                    while budgets[at].try_take(now) {}
                }
                next_change = now + WINDOW / 4;
            }
            let mut repeats = 0;
            for n in 0..per_step {
                let at = (now.as_micros() as usize + n as usize) % budgets.len();
                budgets[at].earn();
            }
            for budget in &mut budgets {
                while budget.try_take(now) {
                    repeats += 1;
                }
            }
            counted.push((now, repeats, per_step));
            now = now + STEP;
        }
        assert_within(&counted);
    }
}

/// One slow server of a shard makes every search repeat a send, 48 per second for 20
/// seconds. Three helpers share the budget of the shard, as on a site of 195 daemons. With
/// the slack available only once and divided among all daemons, four of five repeats were
/// refused.
#[test]
fn helpers_share_the_slack_of_their_group() {
    let mut budgets: Vec<_> = (0..3).map(|_| started(3)).collect();
    let mut now = Timestamp::from_millis(1);
    let (mut asked, mut granted) = (0, 0);
    while now < Timestamp::from_millis(20_000) {
        let budget = &mut budgets[asked % 3];
        budget.earn();
        asked += 1;
        granted += usize::from(budget.try_take(now));
        now = now + Duration::from_secs(1) / 48;
    }
    // Half of the repeats are enough: the other searches use the other server first.
    assert!(granted * 2 >= asked, "{granted} of {asked}");
}
