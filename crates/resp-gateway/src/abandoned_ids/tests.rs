//! Tests of the ids of abandoned requests.

use super::{AbandonedIds, MAX_IDS};
use chalkdeck_time::{TimeDelta, Timestamp};

const KEPT_FOR: TimeDelta = TimeDelta::from_secs(3);
const START: Timestamp = Timestamp::from_millis(1_000);

#[test]
fn id_is_refused_until_the_attempts_have_ended() {
    let mut ids = AbandonedIds::new(KEPT_FOR);
    ids.insert(START, b"a");
    assert!(ids.contains(START + TimeDelta::from_millis(2_999), b"a"));
    assert!(!ids.contains(START + KEPT_FOR, b"a"));
}

#[test]
fn ever_new_ids_then_only_the_newest_are_kept() {
    let mut ids = AbandonedIds::new(KEPT_FOR);
    for number in 0..3 * MAX_IDS {
        ids.insert(START, number.to_string().as_bytes());
        assert!(ids.ids.len() <= MAX_IDS && ids.expiries.len() <= MAX_IDS);
    }
    assert!(!ids.contains(START, b"0"));
    assert!(ids.contains(START, (3 * MAX_IDS - 1).to_string().as_bytes()));
}
