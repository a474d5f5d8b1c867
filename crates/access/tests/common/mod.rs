//! Constructors for rules, rule sets and calls in tests.
#![allow(
    dead_code,
    reason = "each test program that includes this module uses only a part of it"
)]

use chalkdeck_access::{Action, Call, Rule, RuleSet, StalePolicy};

pub const CUSTOMER: &str = "harvest-1";

pub fn rule(id: &str, action: Action, caller_regions: &[&str], routes: &[&str]) -> Rule {
    Rule {
        id: id.into(),
        action,
        caller_regions: to_strings(caller_regions),
        gateway_regions: Vec::new(),
        routes: to_strings(routes),
        classes: Vec::new(),
    }
}

pub fn rule_set(
    version: u64,
    default_action: Action,
    stale_policy: StalePolicy,
    rules: Vec<Rule>,
) -> RuleSet {
    RuleSet {
        customer: CUSTOMER.into(),
        version,
        default_action,
        stale_policy,
        rules,
    }
}

pub fn call<'a>(caller_region: &'a str, path: &'a str) -> Call<'a> {
    Call {
        caller_region,
        gateway_region: "north",
        path,
        class: "view",
    }
}

pub fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| text.to_string()).collect()
}
