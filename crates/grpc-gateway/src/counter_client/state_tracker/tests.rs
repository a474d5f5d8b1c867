//! Tests of `state_tracker`.

use super::*;

fn answer(incarnation: u64, epoch: u64, position: u64) -> AddResponse {
    AddResponse {
        incarnation,
        epoch,
        position,
        ..AddResponse::default()
    }
}

#[test]
fn counter_restarts_then_recovered_emptied_and_restored_states_differ() {
    let mut tracker = StateTracker::default();
    for (answer, change) in [
        (answer(0, 0, 0), None),
        (answer(7, 1, 10), None),
        (answer(7, 1, 12), None),
        (answer(7, 2, 12), Some(StateChange::Recovered)),
        (answer(7, 3, 4), Some(StateChange::WentBack)),
        (answer(9, 1, 1), Some(StateChange::Emptied)),
        (answer(0, 0, 0), None),
        (answer(9, 1, 2), None),
    ] {
        assert_eq!(tracker.observe(&answer), change, "{answer:?}");
    }
}
