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

/// An event that holds the whole state.
fn whole_event(version: u64, customers: &[&str]) -> WatchEvent {
    WatchEvent {
        version,
        whole: true,
        cluster: CLUSTER,
        rules: customers.iter().map(|c| rule_set(c, 1)).collect(),
        ..WatchEvent::default()
    }
}

/// An event with what has changed since a version.
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
    state.apply(&whole_event(version, customers));
    state
}

#[test]
fn a_whole_event_removes_what_it_does_not_name() {
    let mut state = state_at(3, &["a", "b"]);
    let changes = state.apply(&whole_event(5, &["b", "c"]));
    assert_eq!(changes.rules, ["a", "c"]);
    let customers: Vec<&String> = state.rules.keys().collect();
    assert_eq!(customers, ["b", "c"]);
}

#[test]
fn an_event_after_a_gap_or_older_than_the_state_changes_nothing() {
    let mut state = state_at(5, &["a"]);
    let before = state.clone();
    let after_gap = change_event(9, 8);
    assert!(state.has_gap_before(&after_gap));
    for event in [after_gap, whole_event(4, &[])] {
        assert!(state.apply(&event).is_empty());
        assert_eq!(state, before);
    }
}

#[test]
fn a_state_of_another_fleet_replaces_a_newer_one() {
    let mut state = state_at(50, &["a"]);
    let other_fleet = WatchEvent {
        cluster: CLUSTER + 1,
        ..whole_event(2, &["b"])
    };
    let changes = state.apply(&other_fleet);
    assert_eq!(changes.rules, ["a", "b"]);
    assert_eq!((state.version, state.cluster), (2, CLUSTER + 1));
}

#[test]
fn a_service_without_contracts_admits_every_version_and_others_only_admitted_ones() {
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
    assert!(state.apply(&admitted).contracts);
    assert!(state.admits("other.v1.Other", "1"));
    assert!(state.admits("farm.v1.Farm", "2") && !state.admits("farm.v1.Farm", "1"));
    let retired = WatchEvent {
        retired_contracts: vec!["farm.v1.Farm 2".into()],
        ..change_event(3, 2)
    };
    assert!(state.apply(&retired).contracts);
    assert!(state.contracts.is_empty());
}

#[test]
fn a_state_as_one_event_restores_the_same_state() {
    let state = state_at(4, &["a", "b"]);
    let mut restored = CachedState::default();
    restored.apply(&state.to_event());
    assert_eq!(restored, state);
}
