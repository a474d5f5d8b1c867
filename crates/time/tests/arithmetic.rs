//! Arithmetic saturates at the ends of its range.
use chalkdeck_time::{TimeDelta, Timestamp};

#[test]
fn differences_saturate_at_zero() {
    let (early, late) = (Timestamp::from_millis(3), Timestamp::from_millis(5));
    assert_eq!(late - early, TimeDelta::from_micros(2_000));
    assert_eq!(early - late, TimeDelta::ZERO);
    assert_eq!(early - TimeDelta::from_secs(1), Timestamp::ZERO);
}

#[test]
fn sums_and_products_saturate_at_the_maximum() {
    assert_eq!(Timestamp::MAX + TimeDelta::from_secs(1), Timestamp::MAX);
    assert_eq!(TimeDelta::MAX + TimeDelta::MAX, TimeDelta::MAX);
    assert_eq!(TimeDelta::MAX * 3, TimeDelta::MAX);
    assert_eq!(TimeDelta::from_millis(u64::MAX), TimeDelta::MAX);
}

#[test]
fn scaling_rounds_down_and_saturates_at_zero() {
    assert_eq!(
        TimeDelta::from_micros(10).mul_f64(0.25),
        TimeDelta::from_micros(2)
    );
    assert_eq!(TimeDelta::from_micros(10).mul_f64(-1.0), TimeDelta::ZERO);
    assert_eq!(TimeDelta::from_micros(1_500_000).as_secs_f64(), 1.5);
}
