//! Tests of which responses apply when several calls are in flight.

use super::applied_list::{AppliedList, Verdict};
use super::call::SentRequest;
use crate::endpoint_list::EndpointList;
use chalkdeck::api::UpdateScope;
use chalkdeck_time::Timestamp;

/// A request sent at this time, in seconds.
fn request(sent_at: u64, since: Option<u64>) -> SentRequest {
    SentRequest {
        sent_at: Timestamp::from_millis(sent_at * 1_000),
        since,
    }
}

fn list(version: u64, scope: UpdateScope) -> EndpointList {
    EndpointList {
        version,
        scope,
        endpoints: Vec::new(),
    }
}

/// Version 10, received after five seconds.
fn applied() -> AppliedList {
    let mut applied = AppliedList::default();
    applied.set(10, Timestamp::from_millis(5_000));
    applied
}

/// Guards against a late response that takes the list back to an earlier version.
#[test]
fn older_version_requested_before_the_applied_one_was_received_then_outdated() {
    for scope in [UpdateScope::Complete, UpdateScope::Incremental] {
        let verdict = applied().judge(request(4, Some(8)), &list(9, scope));
        assert_eq!(verdict.ok(), Some(Verdict::Outdated), "{scope:?}");
    }
}

/// Guards against keeping the list of an agent that was restarted and counts anew.
#[test]
fn older_version_requested_after_the_applied_one_was_received_then_only_a_complete_list_applies() {
    let complete = list(3, UpdateScope::Complete);
    let verdict = applied().judge(request(5, None), &complete);
    assert_eq!(verdict.ok(), Some(Verdict::Apply));
    let changes = list(3, UpdateScope::Incremental);
    assert!(applied().judge(request(5, Some(10)), &changes).is_err());
}

/// Guards against dropping a late response that is the first to bring a change.
#[test]
fn changes_since_an_earlier_version_up_to_a_later_one_then_applied() {
    for sent_at in [2, 5] {
        let changes = list(12, UpdateScope::Incremental);
        let verdict = applied().judge(request(sent_at, Some(8)), &changes);
        assert_eq!(verdict.ok(), Some(Verdict::Apply), "sent at {sent_at} s");
    }
}

/// Guards against changes that are applied to a list which lacks the changes before them.
#[test]
fn changes_since_a_version_that_is_not_applied_then_rejected() {
    let changes = list(12, UpdateScope::Incremental);
    assert!(applied().judge(request(5, Some(11)), &changes).is_err());
    assert!(applied().judge(request(5, None), &changes).is_err());
    let nothing_applied = AppliedList::default();
    assert!(nothing_applied
        .judge(request(5, Some(11)), &changes)
        .is_err());
}
