use std::sync::Arc;

use jasminepond_config::{Acceptance, Accepted, Files, OfferOutcome, RefusalReason, digest};
use jasminepond_types::Revision;
use proptest::prelude::*;

use crate::base::with;

/// Content of an offer: valid files that differ by `n`, or files with a mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    Valid(u8),
    Invalid(u8),
}

fn files_of(content: Content) -> Files {
    match content {
        Content::Valid(n) => with(&format!(r#"{{"routing": {{"queue_limit": {}}}}}"#, n + 1)),
        Content::Invalid(n) => with(&format!(r#"{{"routing": {{"queue": {n}}}}}"#)),
    }
}

fn offers() -> impl Strategy<Value = Vec<(u64, Content)>> {
    let content = prop_oneof![
        3 => (0..3u8).prop_map(Content::Valid),
        1 => (0..2u8).prop_map(Content::Invalid),
    ];
    prop::collection::vec((0..6u64, content), 0..24)
}

/// Distinct revisions, each with one content.
fn distinct_revisions() -> impl Strategy<Value = Vec<(u64, Content)>> {
    let content = prop_oneof![
        3 => (0..3u8).prop_map(Content::Valid),
        1 => Just(Content::Invalid(0)),
    ];
    prop::collection::btree_map(0..8u64, content, 1..8).prop_map(|map| map.into_iter().collect())
}

proptest! {
    // Guards property P8: a stale or restarted service, or a late peer, must not
    // bring an older revision or other content of the same revision into effect.
    #[test]
    fn revision_in_effect_never_decreases(offers in offers()) {
        let mut acceptance = Acceptance::default();
        for (revision, content) in offers {
            let files = files_of(content);
            let before = acceptance.current().cloned();
            let outcome = acceptance.offer(Revision(revision), &files);
            let after = acceptance.current();
            if let OfferOutcome::Accepted(config) = &outcome {
                let after = after.expect("an accepted revision is in effect");
                prop_assert!(before.is_none_or(|before| before.revision < after.revision));
                prop_assert_eq!(after.revision, Revision(revision));
                prop_assert_eq!(after.digest, digest(&files));
                prop_assert!(Arc::ptr_eq(config, &after.config));
                prop_assert!(matches!(content, Content::Valid(_)));
            } else {
                let state = |a: &Accepted| (a.revision, a.digest);
                prop_assert_eq!(before.as_ref().map(state), after.map(state));
            }
        }
    }

    // If each revision has one content, the highest valid revision ends up in
    // effect, whatever the order of the offers.
    #[test]
    fn order_of_offers_does_not_matter(order in distinct_revisions().prop_shuffle()) {
        let valid = |(_, content): &&(u64, Content)| matches!(content, Content::Valid(_));
        let highest = order.iter().filter(valid).map(|(r, _)| Revision(*r)).max();
        let mut acceptance = Acceptance::default();
        for (revision, content) in order {
            acceptance.offer(Revision(revision), &files_of(content));
        }
        prop_assert_eq!(acceptance.current().map(|a| a.revision), highest);
    }
}

#[test]
fn outcome_of_each_kind_of_offer() {
    let mut acceptance = Acceptance::default();
    let (one, two) = (files_of(Content::Valid(1)), files_of(Content::Valid(2)));
    assert!(matches!(
        acceptance.offer(Revision(5), &one),
        OfferOutcome::Accepted(_)
    ));
    assert!(matches!(
        acceptance.offer(Revision(5), &one),
        OfferOutcome::Same
    ));
    assert!(matches!(
        acceptance.offer(Revision(4), &two),
        OfferOutcome::Older
    ));
    assert!(acceptance.last_refusal().is_none());
    assert!(matches!(
        acceptance.offer(Revision(5), &two),
        OfferOutcome::Conflict
    ));
    assert_eq!(
        acceptance.last_refusal().unwrap().reason,
        RefusalReason::Conflict
    );
    assert!(matches!(
        acceptance.offer(Revision(6), &two),
        OfferOutcome::Accepted(_)
    ));
    assert!(acceptance.last_refusal().is_none());
}

#[test]
fn invalid_revision_leaves_the_last_good_one_in_effect() {
    let mut acceptance = Acceptance::default();
    let good = files_of(Content::Valid(1));
    acceptance.offer(Revision(5), &good);
    for _ in 0..2 {
        let OfferOutcome::Invalid(mistakes) =
            acceptance.offer(Revision(9), &files_of(Content::Invalid(0)))
        else {
            panic!("a folder with an unknown key was accepted");
        };
        assert_eq!(mistakes[0].path, "/routing/queue");
    }
    assert_eq!(acceptance.current().unwrap().revision, Revision(5));
    assert_eq!(acceptance.digest(), Some(digest(&good)));
    assert_eq!(
        acceptance.last_refusal().unwrap().to_string(),
        "revision 9 refused: 1 mistakes, first: 20-patch.json: /routing/queue: \
         unknown key, the keys here are mode, objective, owner_candidates, \
         hedge_budget_percent, retry_budget_percent, hedge_quantile_percent, hedge_after_ms, \
         starvation_share, queue_limit, hop_allowance_ms"
    );
}

// Accepting a lower revision does not hide that a higher one was refused.
#[test]
fn refusal_stays_until_a_revision_as_high_is_accepted() {
    let mut acceptance = Acceptance::default();
    acceptance.offer(Revision(9), &files_of(Content::Invalid(0)));
    acceptance.offer(Revision(8), &files_of(Content::Valid(0)));
    assert_eq!(acceptance.last_refusal().unwrap().revision, Revision(9));
    acceptance.offer(Revision(9), &files_of(Content::Valid(1)));
    assert!(acceptance.last_refusal().is_none());
    assert_eq!(acceptance.current().unwrap().revision, Revision(9));
}
