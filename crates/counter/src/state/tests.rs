//! Tests of `state`.

use super::*;

fn add(caller: u64, number: u64, name: u64) -> Add {
    Add {
        name,
        amount: 1.0,
        lifetime: 1_000,
        caller,
        number,
    }
}

#[test]
fn an_add_that_arrives_twice_counts_once_and_hears_the_same() {
    let mut counts = Counts::new(Limits::default());
    assert_eq!(counts.apply(10, &add(1, 1, 7)), 1.0);
    assert_eq!(
        counts.apply(11, &add(2, 1, 7)),
        2.0,
        "another caller's number is another add"
    );
    assert_eq!(counts.apply(12, &add(1, 1, 7)), 1.0);
    assert_eq!(counts.apply(12, &add(1, 5, 7)), 3.0, "a gap is no matter");
    assert_eq!(
        counts.apply(13, &add(1, 3, 7)),
        4.0,
        "nor what comes out of order"
    );
    assert_eq!((counts.total(7), counts.position()), (Some(4.0), 4));
    assert_eq!(
        (
            counts.apply(14, &add(0, 1, 8)),
            counts.apply(14, &add(0, 1, 8))
        ),
        (1.0, 2.0)
    );
}

#[test]
fn what_is_past_the_horizon_is_refused_and_not_counted() {
    let limits = Limits {
        remembered: 3,
        horizon: 100,
        callers: 2,
        ..Limits::default()
    };
    let mut counts = Counts::new(limits);
    (1..=5).for_each(|n| assert_eq!(counts.apply(10, &add(1, n, 7)), n as f64));
    assert_eq!(
        counts.check(&add(1, 2, 7)),
        Err(Refusal::TooOld),
        "only three are remembered"
    );
    assert_eq!(counts.check(&add(1, 3, 7)), Ok(()));
    counts.apply(200, &add(1, 6, 7));
    assert_eq!(
        counts.check(&add(1, 5, 7)),
        Err(Refusal::TooOld),
        "the horizon has passed"
    );
    counts.apply(201, &add(2, 1, 7));
    counts.apply(202, &add(3, 1, 7));
    assert_eq!(
        counts.check(&add(1, 7, 7)),
        Err(Refusal::Forgotten),
        "two callers are remembered"
    );
    assert_eq!(counts.check(&add(4, 1, 7)), Ok(()));
}

#[test]
fn names_are_bounded_and_end_by_a_clock_that_does_not_go_back() {
    let mut counts = Counts::new(Limits {
        names: 2,
        ..Limits::default()
    });
    counts.apply(5_000, &add(1, 1, 1));
    counts.apply(5_000, &add(1, 2, 2));
    assert_eq!(counts.check(&add(1, 3, 3)), Err(Refusal::Names));
    assert_eq!(counts.check(&add(1, 3, 2)), Ok(()), "known names go on");
    assert_eq!(
        counts.apply(1, &add(1, 3, 2)),
        2.0,
        "a clock gone back ends nothing and starts nothing"
    );
    assert_eq!(counts.apply(6_000, &add(1, 4, 2)), 1.0, "its time is over");
    assert_eq!(counts.check(&add(1, 5, 3)), Ok(()), "1 has ended too");
    assert_eq!(counts.names(), 1);
}

#[test]
fn totals_stay_numbers() {
    let mut counts = Counts::new(Limits::default());
    let huge = |number| Add {
        amount: f64::MAX,
        ..add(1, number, 1)
    };
    counts.apply(1, &huge(1));
    assert_eq!(counts.check(&huge(2)), Err(Refusal::NotFinite));
    assert_eq!(
        counts.check(&Add {
            amount: f64::NAN,
            ..add(1, 2, 1)
        }),
        Err(Refusal::NotFinite)
    );
}
