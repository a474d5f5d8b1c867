use super::TokenBucket;
use crate::api::{TimeDelta, Timestamp};

const START: Timestamp = Timestamp::from_millis(1_000);

fn bucket(level: f64) -> TokenBucket {
    TokenBucket {
        level,
        capacity: 10.0,
        rate: 2.0,
        refilled_at: START,
    }
}

#[test]
fn the_bucket_refills_up_to_its_capacity() {
    let mut bucket = bucket(1.0);
    bucket.refill(START + TimeDelta::from_secs(2));
    assert_eq!(bucket.level, 5.0);
    bucket.refill(START + TimeDelta::from_secs(60));
    assert_eq!(bucket.level, 10.0);
}

#[test]
fn nothing_is_taken_if_units_are_missing() {
    let mut bucket = bucket(1.0);
    assert!(!bucket.try_take(START, 1.5));
    assert_eq!(bucket.level, 1.0);
    assert!(bucket.try_take(START, 1.0));
    assert_eq!(bucket.level, 0.0);
}

#[test]
fn a_debt_is_refilled_before_units_are_available() {
    let mut bucket = bucket(-4.0);
    assert!(!bucket.try_take(START + TimeDelta::from_secs(2), 1.0));
    assert!(bucket.try_take(START + TimeDelta::from_millis(2_500), 1.0));
}

#[test]
fn an_earlier_time_does_not_change_the_bucket() {
    let mut bucket = bucket(1.0);
    bucket.refill(START - TimeDelta::from_secs(1));
    assert_eq!(bucket.level, 1.0);
    assert_eq!(bucket.refilled_at, START);
}
