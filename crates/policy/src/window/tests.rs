use super::{QuotaWindow, WindowCounter, WindowPosition};
use crate::api::{CustomerId, Plan, TimeDelta, Timestamp};
use crate::counter::calls::CounterPurpose;

const START: Timestamp = Timestamp::from_millis(1_000);

fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        max_concurrency: 0.0,
        priority_multiplier: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

#[test]
fn without_a_ceiling_a_window_admits_one_burst_in_the_time_that_refills_it() {
    let window = QuotaWindow::for_plan(&plan());
    assert_eq!(window.length, TimeDelta::from_secs(2));
    assert_eq!(window.allowance, 20.0);
}

#[test]
fn with_a_ceiling_a_window_has_half_the_length_and_allowance() {
    let window = QuotaWindow::for_plan(&Plan {
        ceiling_rate: 20.0,
        ceiling_burst: 40.0,
        ..plan()
    });
    assert_eq!(window.length, TimeDelta::from_secs(1));
    assert_eq!(window.allowance, 10.0);
}

#[test]
fn the_next_index_begins_at_the_end_of_a_window() {
    let length = TimeDelta::from_secs(2);
    let customer = CustomerId(7);
    let position = WindowPosition::at(START, customer, length);
    let next = WindowPosition::at(START + position.remaining, customer, length);
    assert_eq!(next.index, position.index + 1);
    assert_eq!(next.remaining, length);
}

#[test]
fn units_after_a_total_are_subtracted_from_the_available_ones() {
    let mut counter = WindowCounter {
        bucket_level: 20.0,
        bucket_refilled_at: START,
        ..WindowCounter::default()
    };
    counter.observe_total(START, 5.0, &plan());
    assert_eq!(counter.available(START, 5.0, &plan()), 15.0);
    counter.unposted = 3.0;
    assert_eq!(counter.known_total(), 8.0);
    assert_eq!(
        counter.available(START, counter.known_total(), &plan()),
        12.0
    );
}

#[test]
fn units_lost_by_the_counter_become_unposted_again() {
    let mut counter = WindowCounter::default();
    assert_eq!(counter.confirm_add(6.0, 6.0, CounterPurpose::Quota), 0.0);
    let lost = counter.confirm_add(2.0, 2.0, CounterPurpose::Quota);
    assert_eq!(lost, 6.0);
    assert_eq!((counter.unposted, counter.posted), (6.0, 2.0));
}

#[test]
fn slots_lost_by_the_counter_stay_posted() {
    let mut counter = WindowCounter::default();
    assert_eq!(
        counter.confirm_add(6.0, 1.0, CounterPurpose::Concurrency),
        0.0
    );
    assert_eq!((counter.unposted, counter.posted), (0.0, 6.0));
}
