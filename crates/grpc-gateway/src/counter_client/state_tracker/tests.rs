//! Tests of `state_tracker`.

use super::*;

fn response(incarnation: u64, epoch: u64, position: u64) -> AddResponse {
    AddResponse {
        incarnation,
        epoch,
        position,
        ..AddResponse::default()
    }
}

#[test]
fn recovered_lost_and_rolled_back_totals_are_told_apart() {
    let mut tracker = StateTracker::default();
    for (response, change) in [
        (response(0, 0, 0), None),
        (response(7, 1, 10), None),
        (response(7, 1, 12), None),
        (response(7, 2, 12), Some(StateChange::Recovered)),
        (response(7, 3, 4), Some(StateChange::RolledBack)),
        (response(9, 1, 1), Some(StateChange::LostTotals)),
        (response(0, 0, 0), None),
        (response(9, 1, 2), None),
    ] {
        assert_eq!(tracker.observe(&response), change, "{response:?}");
    }
}
