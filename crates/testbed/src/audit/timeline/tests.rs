//! Tests of `timeline`.

use super::*;

#[test]
fn recovery_is_measured_from_the_last_action() {
    let served = [5, 10, 10, 10, 0, 0, 0, 0, 2, 10, 10].to_vec();
    let timeline = Timeline {
        served,
        trouble_us: Some((4 * SLOT_US, 8 * SLOT_US)),
    };
    assert_eq!(timeline.recovery_us(), Some(SLOT_US));
    let unrecovered = Timeline {
        served: vec![5, 10, 10, 10, 0, 0],
        trouble_us: Some((4 * SLOT_US, 5 * SLOT_US)),
    };
    assert_eq!(unrecovered.recovery_us(), None);
}
