//! Hits are counted once, whatever becomes of reports, sets and sessions.
mod common;

use chalkdeck_access::{
    Action, HitTotals, Rule, RuleHits, RuleStore, RuleVersion, SessionState, StalePolicy, Verdict,
};
use common::{call, rule, rule_set, CUSTOMER};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// More customers than any test has.
const ALL_CUSTOMERS: usize = 100;
/// Caller regions, of which each but the last has a rule of the same name.
const CALLERS: [&str; 4] = ["a", "b", "c", "nowhere"];
/// What decides their calls.
const DECIDING_RULES: [&str; 4] = ["a", "b", "c", "default"];

/// What one gateway reported.
struct Report {
    incarnation: u64,
    hits: Vec<RuleHits>,
}

fn key(version: u64, rule: &str) -> RuleVersion {
    RuleVersion {
        version,
        rule: rule.into(),
    }
}

fn store_with_a_rule_for_each_region() -> RuleStore {
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
    fn reports_in_any_order_and_number_count_once(
        hits in prop::collection::vec((0usize..3, 0usize..4), 1..200),
        order in any::<u64>(),
    ) {
        // Three gateways report after each hit. A report may arrive twice, late or not at all, apart from each gateway's last.
        let mut stores: Vec<RuleStore> = (0..3).map(|_| store_with_a_rule_for_each_region()).collect();
        let mut reports: Vec<Report> = Vec::new();
        let mut expected: BTreeMap<&str, u64> = BTreeMap::new();
        for (gateway, caller) in hits {
            stores[gateway].decide(CUSTOMER, &call(CALLERS[caller], "/x"), SessionState::Live);
            *expected.entry(DECIDING_RULES[caller]).or_default() += 1;
            let hits = stores[gateway].report_hits(ALL_CUSTOMERS);
            reports.push(Report { incarnation: gateway as u64, hits });
        }
        for (gateway, store) in stores.iter_mut().enumerate() {
            store.hits().mark_all_changed();
            let hits = store.report_hits(ALL_CUSTOMERS);
            reports.push(Report { incarnation: gateway as u64, hits });
        }
        let (earlier, last) = reports.split_at(reports.len() - 3);
        let mut random = fastrand::Rng::with_seed(order);
        let mut arriving: Vec<&Report> = Vec::new();
        for report in earlier {
            arriving.extend(vec![report; random.usize(0..3)]);
        }
        arriving.extend(last);
        random.shuffle(&mut arriving);
        let mut totals = HitTotals::default();
        for report in arriving {
            for hits in &report.hits {
                totals.record(report.incarnation, key(hits.version, &hits.rule), hits.count);
            }
        }
        totals.fold(1);
        for (rule, count) in &expected {
            prop_assert_eq!(totals.count(&key(1, rule)), *count, "{}", rule);
        }
        prop_assert_eq!(totals.all().values().sum::<u64>(), expected.values().sum::<u64>());
    }
}

#[test]
fn expired_session_keeps_or_denies_by_the_set_and_replaced_sets_keep_their_hits() {
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
        "the same version again changes nothing"
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
        "it has no set"
    );
    // The hits of the replaced set are reported with those of the new one until a report is confirmed.
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
    store.hits().mark_all_changed();
    assert_eq!(store.report_hits(10), all);
    store.hits().confirm_report();
    assert_eq!(store.report_hits(10), []);
    store.remove(CUSTOMER);
    assert_eq!(
        (store.rule_count(), store.get(CUSTOMER).is_none()),
        (0, true)
    );
    assert_eq!(store.report_hits(10), all[1..]);
}

#[test]
fn compacted_totals_are_bounded_and_lose_no_hits() {
    let mut totals = HitTotals::default();
    for version in 1..50 {
        for rule in 0..10 {
            totals.record(version, key(version, &format!("r{rule}")), 3);
        }
        totals.fold(version);
        totals.compact(40);
    }
    assert!(totals.folded.len() <= 40, "{}", totals.folded.len());
    assert_eq!(totals.all().values().sum::<u64>(), 49 * 10 * 3);
    assert_eq!(
        totals.count(&key(49, "r1")),
        3,
        "the newest keep their version"
    );
    let mut many_names = HitTotals::default();
    for version in 0..500 {
        many_names.record(1, key(version, &format!("rule-{version}")), 2);
    }
    many_names.fold(1);
    many_names.compact(5);
    assert_eq!(
        (
            many_names.folded.len() <= 5,
            many_names.all().values().sum::<u64>()
        ),
        (true, 1_000)
    );
}
