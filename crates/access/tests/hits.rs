//! Tests that each hit is counted exactly once when reports are lost, repeated or reordered, sets are replaced and sessions expire.
mod common;

use chalkdeck_access::{
    Action, HitTotals, Rule, RuleHits, RuleStore, RuleVersion, SessionState, StalePolicy, Verdict,
};
use common::{call, rule, rule_set, CUSTOMER};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Larger than the number of customers in any test.
const ALL_CUSTOMERS: usize = 100;
/// Caller regions. Each except the last has a rule whose id is the region.
const CALLERS: [&str; 4] = ["a", "b", "c", "nowhere"];
/// The rule ids under which calls from these regions are counted.
const DECIDING_RULES: [&str; 4] = ["a", "b", "c", "default"];

/// A report of one gateway.
struct Report {
    incarnation: u64,
    hits: Vec<RuleHits>,
}

fn rule_version(version: u64, rule: &str) -> RuleVersion {
    RuleVersion {
        version,
        rule: rule.into(),
    }
}

fn store_with_one_rule_per_region() -> RuleStore {
    let rules: Vec<Rule> = CALLERS[..3]
        .iter()
        .map(|region| rule(region, Action::Allow, &[region], &[]))
        .collect();
    let mut store = RuleStore::default();
    assert!(store.insert(rule_set(1, Action::Deny, StalePolicy::Keep, rules)));
    store
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn hits_are_counted_once_when_reports_are_lost_repeated_or_reordered(
        hits in prop::collection::vec((0usize..3, 0usize..4), 1..200),
        seed in any::<u64>(),
    ) {
        // Three gateways report after each hit. A report may arrive twice, late or not at all, except each gateway's last one.
        let mut stores: Vec<RuleStore> = (0..3).map(|_| store_with_one_rule_per_region()).collect();
        let mut reports: Vec<Report> = Vec::new();
        let mut expected: BTreeMap<&str, u64> = BTreeMap::new();
        for (gateway, caller) in hits {
            stores[gateway].decide(CUSTOMER, &call(CALLERS[caller], "/x"), SessionState::Live);
            *expected.entry(DECIDING_RULES[caller]).or_default() += 1;
            let hits = stores[gateway].report_hits(ALL_CUSTOMERS);
            reports.push(Report { incarnation: gateway as u64, hits });
        }
        for (gateway, store) in stores.iter_mut().enumerate() {
            store.hit_counter_mut().mark_all_changed();
            let hits = store.report_hits(ALL_CUSTOMERS);
            reports.push(Report { incarnation: gateway as u64, hits });
        }
        let (earlier, last) = reports.split_at(reports.len() - 3);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut arriving: Vec<&Report> = Vec::new();
        for report in earlier {
            arriving.extend(vec![report; random.usize(0..3)]);
        }
        arriving.extend(last);
        random.shuffle(&mut arriving);
        let mut totals = HitTotals::default();
        for report in arriving {
            for hits in &report.hits {
                totals.record(report.incarnation, rule_version(hits.version, &hits.rule), hits.count);
            }
        }
        totals.fold(1);
        for (rule, count) in &expected {
            prop_assert_eq!(totals.count(&rule_version(1, rule)), *count, "{}", rule);
        }
        prop_assert_eq!(totals.all().values().sum::<u64>(), expected.values().sum::<u64>());
    }
}

#[test]
fn expired_session_follows_the_stale_policy_and_hits_of_replaced_sets_are_reported() {
    let mut store = RuleStore::default();
    let no_west = vec![rule("no-west", Action::Deny, &["west"], &[])];
    assert!(store.insert(rule_set(1, Action::Allow, StalePolicy::Keep, no_west)));
    let east = call("east", "/x");
    assert_eq!(
        store.decide(CUSTOMER, &east, SessionState::Expired),
        Verdict::Admitted
    );
    assert!(store.insert(rule_set(2, Action::Allow, StalePolicy::Deny, Vec::new())));
    assert!(
        !store.insert(rule_set(2, Action::Deny, StalePolicy::Keep, Vec::new())),
        "a set with the same version changes nothing"
    );
    assert_eq!(
        store.decide(CUSTOMER, &east, SessionState::Live),
        Verdict::Admitted
    );
    let denied = Verdict::Denied {
        rule: "stale".into(),
        version: 2,
        is_stale: true,
    };
    assert_eq!(store.decide(CUSTOMER, &east, SessionState::Expired), denied);
    assert_eq!(
        store.decide("somebody", &east, SessionState::Expired),
        Verdict::Admitted,
        "a customer without a set is not restricted"
    );
    // Until a report is confirmed, each report contains the hits of the replaced set as well as those of the new set.
    let hits = |version, rule: &str, count| RuleHits {
        customer: CUSTOMER.into(),
        version,
        rule: rule.into(),
        count,
    };
    let all = vec![
        hits(1, "default", 1),
        hits(2, "default", 1),
        hits(2, "stale", 1),
    ];
    assert_eq!(store.report_hits(10), all);
    store.hit_counter_mut().mark_all_changed();
    assert_eq!(store.report_hits(10), all);
    store.hit_counter_mut().confirm_report();
    assert_eq!(store.report_hits(10), []);
    store.remove(CUSTOMER);
    assert_eq!(
        (store.rule_count(), store.get(CUSTOMER).is_none()),
        (0, true)
    );
    assert_eq!(store.report_hits(10), all[1..]);
}

#[test]
fn compaction_limits_the_number_of_counts_and_loses_no_hits() {
    let mut totals = HitTotals::default();
    for version in 1..50 {
        for rule in 0..10 {
            totals.record(version, rule_version(version, &format!("r{rule}")), 3);
        }
        totals.fold(version);
        totals.compact(40);
    }
    assert!(totals.folded.len() <= 40, "{}", totals.folded.len());
    assert_eq!(totals.all().values().sum::<u64>(), 49 * 10 * 3);
    assert_eq!(
        totals.count(&rule_version(49, "r1")),
        3,
        "the newest version is not merged"
    );
    let mut many_rules = HitTotals::default();
    for version in 0..500 {
        many_rules.record(1, rule_version(version, &format!("rule-{version}")), 2);
    }
    many_rules.fold(1);
    many_rules.compact(5);
    assert_eq!(
        (
            many_rules.folded.len() <= 5,
            many_rules.all().values().sum::<u64>()
        ),
        (true, 1_000)
    );
}
