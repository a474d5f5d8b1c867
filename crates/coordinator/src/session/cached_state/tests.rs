//! Tests of `cached_state`.

use super::*;

const CLUSTER: u64 = 7;

fn rule_set(customer: &str, version: u64) -> wire::RuleSet {
    wire::RuleSet {
        customer: customer.into(),
        version,
        ..wire::RuleSet::default()
    }
}

/// An event that holds the full state.
fn full_state_event(version: u64, customers: &[&str]) -> WatchEvent {
    WatchEvent {
        version,
        whole: true,
        cluster: CLUSTER,
        rules: customers.iter().map(|c| rule_set(c, 1)).collect(),
        ..WatchEvent::default()
    }
}

/// An event without changes, for the versions after `since`.
fn change_event(version: u64, since: u64) -> WatchEvent {
    WatchEvent {
        version,
        since,
        cluster: CLUSTER,
        ..WatchEvent::default()
    }
}

fn state_at(version: u64, customers: &[&str]) -> CachedState {
    let mut state = CachedState::default();
    state.apply(&full_state_event(version, customers));
    state
}

#[test]
fn a_full_state_event_removes_entries_that_it_does_not_list() {
    let mut state = state_at(3, &["a", "b"]);
    let changes = state.apply(&full_state_event(5, &["b", "c"]));
    assert_eq!(changes.rule_customers, ["a", "c"]);
    let customers: Vec<&String> = state.rules.keys().collect();
    assert_eq!(customers, ["b", "c"]);
}

#[test]
fn an_event_after_a_gap_or_older_than_the_state_changes_nothing() {
    let mut state = state_at(5, &["a"]);
    let before = state.clone();
    let after_gap = change_event(9, 8);
    assert!(state.has_gap_before(&after_gap));
    for event in [after_gap, full_state_event(4, &[])] {
        assert!(state.apply(&event).is_empty());
        assert_eq!(state, before);
    }
}

#[test]
fn the_state_of_another_cluster_replaces_a_newer_one() {
    let mut state = state_at(50, &["a"]);
    let other_cluster = WatchEvent {
        cluster: CLUSTER + 1,
        ..full_state_event(2, &["b"])
    };
    let changes = state.apply(&other_cluster);
    assert_eq!(changes.rule_customers, ["a", "b"]);
    assert_eq!((state.version, state.cluster), (2, CLUSTER + 1));
}

#[test]
fn a_service_without_contracts_admits_any_version_and_others_only_admitted_versions() {
    let mut state = state_at(1, &[]);
    let contract = wire::Contract {
        service: "farm.v1.Farm".into(),
        version: "2".into(),
        ..wire::Contract::default()
    };
    let admitted = WatchEvent {
        contracts: vec![contract],
        ..change_event(2, 1)
    };
    assert!(state.apply(&admitted).has_contract_changes);
    assert!(state.admits("other.v1.Other", "1"));
    assert!(state.admits("farm.v1.Farm", "2") && !state.admits("farm.v1.Farm", "1"));
    let retired = WatchEvent {
        retired_contracts: vec!["farm.v1.Farm 2".into()],
        ..change_event(3, 2)
    };
    assert!(state.apply(&retired).has_contract_changes);
    assert!(state.contracts.is_empty());
}

#[test]
fn a_state_converted_to_an_event_and_applied_is_unchanged() {
    let state = state_at(4, &["a", "b"]);
    let mut restored = CachedState::default();
    restored.apply(&state.to_event());
    assert_eq!(restored, state);
}
