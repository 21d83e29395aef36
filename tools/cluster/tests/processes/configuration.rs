//! Changes of the published configuration.

use serde_json::{Value, json};

use crate::support::{TestCluster, foundry, search_body, until};

fn wait_for_revision(cluster: &TestCluster, revision: u64) {
    until("all daemons to apply the revision", || {
        let revisions = cluster.revisions();
        let all = revisions.len() == cluster.nodes.len();
        (all && revisions.values().all(|r| *r == revision)).then_some(())
    });
}

fn config(cluster: &TestCluster, daemon: usize) -> Value {
    cluster.status(daemon).expect("the stand-in responds")["config"].clone()
}

fn night_shift_search_status(cluster: &TestCluster, daemon: usize) -> u16 {
    let mut search = search_body();
    search["tenant"] = "night-shift".into();
    cluster.request(daemon, "/v1/search", &search).status
}

/// Guards against a change that does not reach every daemon, an invalid file that a
/// daemon applies, and an older revision that undoes a change.
#[test]
fn changes_are_in_effect_everywhere_and_never_revert() {
    let cluster = foundry(6);
    let all = 0..cluster.nodes.len();
    for daemon in all.clone() {
        assert_eq!(night_shift_search_status(&cluster, daemon), 403);
    }
    let change = json!({"97-change.json": {"tenants": {"night-shift": {}}}});
    let good = cluster.publish(&change).expect("the stand-in responds");
    wait_for_revision(&cluster, good);
    for daemon in all.clone() {
        assert_eq!(night_shift_search_status(&cluster, daemon), 200);
    }

    let broken = json!({"98-broken.json": {"tenants": {"night-shift": {"weight": 0}}}});
    cluster.publish(&broken).expect("the stand-in responds");
    until("a reader of each zone to refuse the revision", || {
        let readers = all
            .clone()
            .filter(|d| config(&cluster, *d)["role"] == "reader");
        let refused = |daemon: usize| config(&cluster, daemon)["refused"].is_string();
        let readers: Vec<usize> = readers.collect();
        (!readers.is_empty() && readers.into_iter().all(refused)).then_some(())
    });
    for daemon in all.clone() {
        assert_eq!(config(&cluster, daemon)["revision"], good);
        assert_eq!(night_shift_search_status(&cluster, daemon), 200);
    }

    cluster
        .patch_platform(&json!({"rollback": 1}))
        .expect("the stand-in responds");
    let before = cluster.platform_counters().expect("the stand-in responds");
    until("readers to read the older revision", || {
        let now = cluster.platform_counters().expect("the stand-in responds");
        let more = |name: &str| now[name].as_u64() > before[name].as_u64();
        (more("watch") || more("tree")).then_some(())
    });
    for daemon in all.clone() {
        assert_eq!(config(&cluster, daemon)["revision"], good);
        assert_eq!(night_shift_search_status(&cluster, daemon), 200);
    }

    cluster
        .patch_platform(&json!({"rollback": null}))
        .expect("the stand-in responds");
    let repaired = json!({"98-broken.json": {"tenants": {"night-shift": null}}});
    let newest = cluster.publish(&repaired).expect("the stand-in responds");
    wait_for_revision(&cluster, newest);
    for daemon in all {
        assert_eq!(night_shift_search_status(&cluster, daemon), 403);
        assert!(config(&cluster, daemon)["refused"].is_null());
    }
}
