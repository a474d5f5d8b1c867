//! Tests of `timeline`.

use super::*;

#[test]
fn recovery_counts_from_the_last_act() {
    let served = [5, 10, 10, 10, 0, 0, 0, 0, 2, 10, 10].to_vec();
    let timeline = Timeline {
        served,
        trouble: Some((4 * SLOT, 8 * SLOT)),
    };
    assert_eq!(timeline.recovery(), Some(SLOT));
    let down = Timeline {
        served: vec![5, 10, 10, 10, 0, 0],
        trouble: Some((4 * SLOT, 5 * SLOT)),
    };
    assert_eq!(down.recovery(), None);
}
