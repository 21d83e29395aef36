//! Changes of the published configuration.

use serde_json::{Value, json};

use crate::support::{Tier, foundry, search, until};

fn wait_for_revision(tier: &Tier, revision: u64) {
    until("the revision on all daemons", || {
        let revisions = tier.revisions();
        let all = revisions.len() == tier.nodes.len();
        (all && revisions.values().all(|r| *r == revision)).then_some(())
    });
}

fn config(tier: &Tier, daemon: usize) -> Value {
    tier.status(daemon).expect("it answers")["config"].clone()
}

fn night_shift(tier: &Tier, daemon: usize) -> u16 {
    let mut search = search();
    search["tenant"] = "night-shift".into();
    tier.ask(daemon, "/v1/search", &search).status
}

/// Guards against a change that stays away from some daemon, a broken file that
/// one of them takes, and an older revision that brings back what was removed.
#[test]
fn changes_are_in_effect_everywhere_and_never_revert() {
    let tier = foundry(6);
    let all = 0..tier.nodes.len();
    for daemon in all.clone() {
        assert_eq!(night_shift(&tier, daemon), 403);
    }
    let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
    let good = tier.publish(&change).expect("it answers");
    wait_for_revision(&tier, good);
    for daemon in all.clone() {
        assert_eq!(night_shift(&tier, daemon), 200);
    }

    let broken = json!({"98-broken.json": {"tenants": {"night-shift": {"weight": 0}}}});
    tier.publish(&broken).expect("it answers");
    until("a reader of each zone to refuse the revision", || {
        let readers = all
            .clone()
            .filter(|d| config(&tier, *d)["role"] == "reader");
        let refused = |daemon: usize| config(&tier, daemon)["refused"].is_string();
        let readers: Vec<usize> = readers.collect();
        (!readers.is_empty() && readers.into_iter().all(refused)).then_some(())
    });
    for daemon in all.clone() {
        assert_eq!(config(&tier, daemon)["revision"], good);
        assert_eq!(night_shift(&tier, daemon), 200);
    }

    tier.platform_modes(&json!({"rollback": 1}))
        .expect("it answers");
    let before = tier.platform_counters().expect("it answers");
    until("readers to meet the older revision", || {
        let now = tier.platform_counters().expect("it answers");
        let more = |name: &str| now[name].as_u64() > before[name].as_u64();
        (more("watch") || more("tree")).then_some(())
    });
    for daemon in all.clone() {
        assert_eq!(config(&tier, daemon)["revision"], good);
        assert_eq!(night_shift(&tier, daemon), 200);
    }

    tier.platform_modes(&json!({"rollback": null}))
        .expect("it answers");
    let mended = json!({"98-broken.json": {"tenants": {"night-shift": null}}});
    let newest = tier.publish(&mended).expect("it answers");
    wait_for_revision(&tier, newest);
    for daemon in all {
        assert_eq!(night_shift(&tier, daemon), 403);
        assert!(config(&tier, daemon)["refused"].is_null());
    }
}
