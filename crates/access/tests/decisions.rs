//! Tests of rule sets: decisions compared with a reference implementation, validation, the dry run, and the capacity of the store.
mod common;

use chalkdeck_access::{
    Action, Call, CallHistory, CallKind, CompiledRules, Rule, RuleIndex, RuleSet, RuleSetError,
    RuleStore, SessionState, StalePolicy, Verdict,
};
use common::{call, rule, rule_set, to_strings};
use proptest::prelude::*;
use std::collections::BTreeMap;

const PATHS: [&str; 6] = [
    "/farm.v1.Farm/View",
    "/farm.v1.Farm/Vi",
    "/farm.v1.Farm/",
    "/farm.v1.Market/Sell",
    "/",
    "/x",
];
const ROUTES: [&str; 7] = [
    "/farm.v1.Farm/View",
    "/farm.v1.Farm/*",
    "/farm.v1.*",
    "/*",
    "/x",
    "/farm.v1.Farm/Vi*",
    "/farm.v1.Market/Sell",
];
const REGIONS: [&str; 4] = ["east", "west", "north", ""];
const CLASSES: [&str; 2] = ["view", "sale"];

fn action(is_denied: bool) -> Action {
    if is_denied {
        Action::Deny
    } else {
        Action::Allow
    }
}

fn any_values(
    choices: &'static [&'static str],
    max_len_exclusive: usize,
) -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec(prop::sample::select(choices), 0..max_len_exclusive)
        .prop_map(|texts| to_strings(&texts))
}

fn any_rule() -> impl Strategy<Value = Rule> {
    let fields = (
        any::<bool>(),
        any_values(&REGIONS[..3], 3),
        any_values(&REGIONS[..3], 2),
        any_values(&ROUTES, 3),
        any_values(&CLASSES, 2),
    );
    fields.prop_map(
        |(is_denied, caller_regions, gateway_regions, routes, classes)| Rule {
            id: String::new(),
            action: action(is_denied),
            caller_regions,
            gateway_regions,
            routes,
            classes,
        },
    )
}

/// Returns a call for every combination of the tested regions, paths and classes.
fn all_calls() -> Vec<Call<'static>> {
    let mut calls = Vec::new();
    for caller_region in REGIONS {
        for gateway_region in REGIONS {
            for path in PATHS {
                for class in CLASSES {
                    calls.push(Call {
                        caller_region,
                        gateway_region,
                        path,
                        class,
                    });
                }
            }
        }
    }
    calls
}

/// Reference implementation: decides by scanning the rules in order, without an index or a cache.
fn decide_by_linear_scan(set: &RuleSet, call: &Call) -> (Action, Option<RuleIndex>) {
    let field_matches =
        |values: &[String], value: &str| values.is_empty() || values.iter().any(|v| v == value);
    let matches_route = |route: &String| match route.strip_suffix('*') {
        Some(prefix) => call.path.starts_with(prefix),
        None => route == call.path,
    };
    for (index, rule) in set.rules.iter().enumerate() {
        if field_matches(&rule.caller_regions, call.caller_region)
            && field_matches(&rule.gateway_regions, call.gateway_region)
            && (rule.routes.is_empty() || rule.routes.iter().any(matches_route))
            && field_matches(&rule.classes, call.class)
        {
            return (rule.action, Some(RuleIndex(index as u32)));
        }
    }
    (set.default_action, None)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn compiled_set_decides_like_a_linear_scan(
        rules in prop::collection::vec(any_rule(), 0..12),
        is_denied in any::<bool>(),
    ) {
        let indexed_rules = rules.into_iter().enumerate();
        let rules = indexed_rules.map(|(index, rule)| Rule { id: format!("r{index}"), ..rule }).collect();
        let set = rule_set(1, action(is_denied), StalePolicy::Keep, rules);
        prop_assert_eq!(set.check(), Ok(()));
        let compiled = CompiledRules::new(set.clone());
        // The second iteration reads the decisions from the cache.
        for _ in 0..2 {
            for call in all_calls() {
                let decision = compiled.decide(&call);
                prop_assert_eq!((decision.action, decision.rule), decide_by_linear_scan(&set, &call), "{:?}", call);
            }
        }
    }
}

fn check_error(rules: Vec<Rule>) -> RuleSetError {
    rule_set(1, Action::Allow, StalePolicy::Keep, rules)
        .check()
        .expect_err("the set is invalid")
}

#[test]
fn error_for_an_invalid_set_names_the_problem() {
    let valid = rule("a", Action::Deny, &["west"], &["/x"]);
    assert!(matches!(
        check_error(vec![valid.clone(), valid.clone()]),
        RuleSetError::InvalidId { index: 1, .. }
    ));
    assert!(matches!(
        check_error(vec![rule("", Action::Deny, &[], &[])]),
        RuleSetError::InvalidId { index: 0, .. }
    ));
    for route in ["x", "/a*b", "/*/x", ""] {
        let error = check_error(vec![rule("a", Action::Deny, &[], &[route])]);
        assert!(
            matches!(
                error,
                RuleSetError::InvalidValue {
                    field: "routes",
                    ..
                }
            ),
            "{route}: {error}"
        );
    }
    assert!(matches!(
        check_error(vec![rule("a", Action::Deny, &[""; 1], &[])]),
        RuleSetError::InvalidValue { .. }
    ));
    assert!(matches!(
        check_error(vec![rule("a", Action::Deny, &["w"; 65], &[])]),
        RuleSetError::TooManyValues { found: 65, .. }
    ));
    let too_many = (0..20_001)
        .map(|number| rule(&number.to_string(), Action::Deny, &[], &[]))
        .collect();
    assert_eq!(check_error(too_many), RuleSetError::TooManyRules(20_001));
}

#[test]
fn route_that_ends_in_a_multibyte_character_is_validated_without_a_panic() {
    let rules = vec![rule("a", Action::Deny, &[], &["/café"])];
    let set = rule_set(1, Action::Allow, StalePolicy::Keep, rules);
    assert_eq!(set.check(), Ok(()));
    let error = check_error(vec![rule("a", Action::Deny, &[], &["/*é"])]);
    assert!(matches!(error, RuleSetError::InvalidValue { .. }));
}

#[test]
fn dry_run_detects_a_set_that_locks_out_its_customer() {
    let mut history = CallHistory::default();
    let kind = |caller_region: &str| CallKind::from(&call(caller_region, "/x"));
    history.record(kind("east"), 5);
    history.start_period();
    history.record(kind("west"), 2);
    let no_west = vec![rule("no-west", Action::Deny, &["west"], &[])];
    let partial = history.dry_run(&rule_set(1, Action::Allow, StalePolicy::Keep, no_west));
    assert_eq!(
        (partial.calls, partial.denied, partial.locks_out()),
        (7, 2, false)
    );
    assert_eq!(
        partial.by_rule,
        BTreeMap::from([("default".to_string(), 5), ("no-west".to_string(), 2)])
    );
    let deny_all = rule_set(1, Action::Deny, StalePolicy::Keep, Vec::new());
    assert!(history.dry_run(&deny_all).locks_out());
    assert!(
        !CallHistory::default().dry_run(&deny_all).locks_out(),
        "an empty history locks nobody out"
    );
    for number in 0..300 {
        history.record(kind(&format!("r{number}")), 1);
    }
    assert_eq!(history.other_calls(), 45, "the number of kinds is limited");
}

#[test]
fn store_accepts_200000_rules_and_rejects_one_more() {
    let mut store = RuleStore::default();
    let set_of = |customer: String, rules: Vec<Rule>| RuleSet {
        customer,
        ..rule_set(1, Action::Allow, StalePolicy::Keep, rules)
    };
    for customer in 0..100 {
        let rules = (0..2_000)
            .map(|number| {
                let route = format!("/s{number}/*");
                rule(&format!("r{number}"), Action::Deny, &["west"], &[&route])
            })
            .collect();
        assert!(store.insert(set_of(format!("c{customer}"), rules)));
    }
    assert_eq!(store.rule_count(), 200_000);
    let one_more = vec![rule("a", Action::Deny, &[], &[])];
    assert!(!store.insert(set_of("more".into(), one_more)));
    assert_eq!(
        store.decide("c7", &call("west", "/s1999/x"), SessionState::Live),
        Verdict::Denied {
            rule: "r1999".into(),
            version: 1,
            is_stale: false
        }
    );
    assert_eq!(
        store.decide("c7", &call("east", "/s1999/x"), SessionState::Live),
        Verdict::Admitted
    );
}
