//! Retries of keyed requests: only where the group that remembers the key is proven by the endpoint list.
mod common;
use chalkdeck::api::*;
use common::*;
use std::net::SocketAddr;

/// The index of the keyed class, whose keys are shared by a cell.
const KEYED: usize = 1;
const MAX_LIST_AGE: u64 = 250 * MILLISECOND;
const ENDPOINTS: u32 = 8;

fn settings_with_list_age() -> Settings {
    Settings {
        max_list_age: Some(TimeDelta::from_micros(MAX_LIST_AGE)),
        ..settings()
    }
}

fn address(port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Endpoint `index`, which listens at the port of this number.
fn entry_at(index: u32, port: u16, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        address: address(port),
        ..entry(index, state, None)
    }
}

fn update(harness: &mut Harness, scope: UpdateScope, entries: Vec<EndpointEntry>) {
    harness.handle(Event::EndpointsUpdated { scope, entries });
}

fn confirm(harness: &mut Harness) {
    let now = Timestamp::from_micros(harness.now);
    harness.handle(Event::EndpointsConfirmed(now));
}

/// A gateway whose endpoints listen at the ports of their numbers.
fn harness(settings: Settings) -> Harness {
    let mut harness = Harness::new(settings, ENDPOINTS);
    let entries = (0..ENDPOINTS).map(|i| entry_at(i, i as u16, EndpointState::InService));
    let entries = entries.collect();
    update(&mut harness, UpdateScope::Complete, entries);
    confirm(&mut harness);
    harness
}

/// Ends the attempt by a reset; returns whether the request was retried. Otherwise it has failed.
fn is_retried(harness: &mut Harness, id: RequestId, endpoint: EndpointId) -> bool {
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Reset);
    let is_retried = sent_attempts(&actions).len() == 1;
    assert_eq!(is_failed(&actions, id), !is_retried);
    is_retried
}

/// Guards against a second run in another cell, where an endpoint listens at the address of one that has gone and the list is
/// too old to show it.
#[test]
fn list_not_confirmed_for_too_long_then_a_keyed_request_is_not_retried() {
    for (age, expected) in [(0, true), (MAX_LIST_AGE, true), (MAX_LIST_AGE + 1, false)] {
        let mut harness = harness(settings_with_list_age());
        harness.advance(age);
        let (id, endpoint) = harness.send_request(KEYED);
        assert_eq!(
            is_retried(&mut harness, id, endpoint),
            expected,
            "list {age} us old"
        );
    }
}

/// Guards against retries by the list of the configuration, which may be old.
#[test]
fn list_never_confirmed_then_a_keyed_request_is_not_retried() {
    let mut harness = Harness::new(settings_with_list_age(), ENDPOINTS);
    let (id, endpoint) = harness.send_request(KEYED);
    assert!(!is_retried(&mut harness, id, endpoint));
}

/// Guards against a list that stays stale although it is confirmed again, in whatever order confirmations arrive.
#[test]
fn list_confirmed_again_then_a_keyed_request_is_retried() {
    let mut harness = harness(settings_with_list_age());
    harness.advance(10 * SECOND);
    confirm(&mut harness);
    let earlier = Timestamp::from_micros(harness.now - 5 * SECOND);
    harness.handle(Event::EndpointsConfirmed(earlier));
    let (id, endpoint) = harness.send_request(KEYED);
    assert!(is_retried(&mut harness, id, endpoint));
}

/// Guards against refusing retries that a stale list cannot harm, and against them where no list is ever confirmed.
#[test]
fn retry_does_not_depend_on_the_list_then_not_prevented_by_its_age() {
    let mut shared_by_all = settings_with_list_age();
    shared_by_all.classes[KEYED].key_scope = KeyScope::All;
    for (settings, class) in [
        (settings_with_list_age(), 0),
        (shared_by_all, KEYED),
        (settings(), KEYED),
    ] {
        let mut harness = harness(settings);
        harness.advance(10 * SECOND);
        let (id, endpoint) = harness.send_request(class);
        assert!(is_retried(&mut harness, id, endpoint), "class {class}");
    }
}

/// What the list may say about the endpoint of an attempt that is in flight.
fn changes_of(endpoint: EndpointId) -> Vec<(&'static str, EndpointEntry)> {
    let index = endpoint.0 as u32;
    let port = endpoint.0 as u16;
    let same = entry_at(index, port, EndpointState::InService);
    vec![
        ("removed", entry_at(index, port, EndpointState::Removed)),
        (
            "at another address",
            entry_at(index, 900, EndpointState::InService),
        ),
        (
            "in another cell",
            EndpointEntry {
                cell: CellId(99),
                ..same.clone()
            },
        ),
        (
            "address taken by another endpoint",
            EndpointEntry {
                endpoint: EndpointId(77),
                cell: CellId(99),
                ..same
            },
        ),
    ]
}

/// Guards against a second run where the attempt may have reached the next endpoint at the same address.
#[test]
fn another_endpoint_may_have_taken_the_address_then_a_keyed_request_is_not_retried() {
    for case in 0..4 {
        for is_restored in [false, true] {
            let mut harness = harness(settings());
            let (id, endpoint) = harness.send_request(KEYED);
            let (name, change) = changes_of(endpoint).swap_remove(case);
            update(&mut harness, UpdateScope::Incremental, vec![change]);
            if is_restored {
                let index = endpoint.0 as u32;
                let original = entry_at(index, index as u16, EndpointState::InService);
                update(&mut harness, UpdateScope::Incremental, vec![original]);
            }
            assert!(
                !is_retried(&mut harness, id, endpoint),
                "{name}, restored: {is_restored}"
            );
        }
    }
}

/// Guards against the same where the complete list leaves the endpoint out.
#[test]
fn endpoint_left_out_of_the_complete_list_then_a_keyed_request_is_not_retried() {
    let mut harness = harness(settings());
    let (id, endpoint) = harness.send_request(KEYED);
    let others = (0..ENDPOINTS).filter(|i| u64::from(*i) != endpoint.0);
    let entries = others.map(|i| entry_at(i, i as u16, EndpointState::InService));
    let entries = entries.collect();
    update(&mut harness, UpdateScope::Complete, entries);
    assert!(!is_retried(&mut harness, id, endpoint));
}

/// Guards against failing requests for updates that leave the address with its endpoint.
#[test]
fn endpoint_drains_or_is_listed_again_then_a_keyed_request_is_retried_in_its_cell() {
    for state in [EndpointState::InService, EndpointState::Draining] {
        for scope in [UpdateScope::Incremental, UpdateScope::Complete] {
            let mut harness = harness(settings());
            let (id, endpoint) = harness.send_request(KEYED);
            let entries = (0..ENDPOINTS).map(|i| {
                let is_endpoint = u64::from(i) == endpoint.0;
                let state = if is_endpoint {
                    state
                } else {
                    EndpointState::InService
                };
                entry_at(i, i as u16, state)
            });
            let entries = entries.collect();
            update(&mut harness, scope, entries);
            assert!(
                is_retried(&mut harness, id, endpoint),
                "{state:?} in {scope:?}"
            );
        }
    }
}
