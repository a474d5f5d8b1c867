//! Versions count as in use while customers declare or call them.

use chalkdeck_contract::VersionsInUse;

const DAY_MS: u64 = 86_400_000;
/// A version that no customer declares is unused after this time without a call.
const UNUSED_AFTER_MS: u64 = 30 * DAY_MS;

#[test]
fn version_is_in_use_while_it_is_declared_or_called() {
    let mut in_use = VersionsInUse::default();
    in_use.declare("v1", "harvest-1", true, Some(800));
    in_use.record_calls("v2", "harvest-2", 5, 10 * DAY_MS);
    assert_eq!(in_use.versions(11 * DAY_MS, UNUSED_AFTER_MS), ["v1", "v2"]);
    assert_eq!(
        in_use.versions(41 * DAY_MS, UNUSED_AFTER_MS),
        ["v1"],
        "the last call of v2 was more than 30 days ago"
    );
    in_use.declare("v1", "harvest-1", false, None);
    assert_eq!(in_use.versions(11 * DAY_MS, UNUSED_AFTER_MS), ["v2"]);
}

#[test]
fn retired_version_is_in_use_again_after_a_later_call() {
    let mut in_use = VersionsInUse::default();
    in_use.record_calls("v2", "harvest-2", 5, 10 * DAY_MS);
    in_use.retire("v2", 12 * DAY_MS);
    assert_eq!(
        (
            in_use.versions(13 * DAY_MS, UNUSED_AFTER_MS),
            in_use.called_after_retirement()
        ),
        (Vec::new(), Vec::new())
    );
    in_use.record_calls("v2", "harvest-3", 1, 14 * DAY_MS);
    assert_eq!(
        (
            in_use.versions(15 * DAY_MS, UNUSED_AFTER_MS),
            in_use.called_after_retirement()
        ),
        (vec!["v2".to_string()], vec!["v2".to_string()])
    );
    let users = in_use.users("v2", 15 * DAY_MS, UNUSED_AFTER_MS);
    let customers: Vec<&str> = users.iter().map(|user| user.customer.as_str()).collect();
    assert_eq!(customers, ["harvest-3"]);
}

#[test]
fn tracked_customers_of_a_version_are_bounded_and_all_calls_are_counted() {
    let mut in_use = VersionsInUse::default();
    for customer in 0..10_050 {
        in_use.record_calls("v3", &format!("c{customer}"), 1, DAY_MS);
    }
    let uses = &in_use.uses["v3"];
    assert!(uses.len() <= 10_001);
    assert_eq!(
        uses.values()
            .map(|version_use| version_use.calls)
            .sum::<u64>(),
        10_050,
        "all calls are counted"
    );
}

#[test]
fn call_in_the_same_clock_step_as_the_retirement_counts_as_later() {
    let is_unused = |in_use: &VersionsInUse| in_use.users("1", 500, 10_000).is_empty();
    let mut in_use = VersionsInUse::default();
    in_use.record_calls("1", "a", 3, 500);
    in_use.retire("1", 500);
    assert!(is_unused(&in_use) && in_use.called_after_retirement().is_empty());
    in_use.record_calls("1", "a", 1, 500);
    assert_eq!(
        (
            in_use.users("1", 500, 10_000).len(),
            in_use.called_after_retirement()
        ),
        (1, vec!["1".to_string()])
    );
    in_use.retire("1", 500);
    assert!(
        is_unused(&in_use) && in_use.called_after_retirement().is_empty(),
        "retired again"
    );
}
