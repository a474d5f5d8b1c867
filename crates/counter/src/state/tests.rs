//! Tests of `state`.

use super::*;

fn increment(caller: u64, number: u64, name: u64) -> Increment {
    Increment {
        name: NameId(name),
        amount: 1.0,
        lifetime: TimeDelta::from_millis(1),
        caller: CallerId(caller),
        number,
    }
}

/// Applies an increment at a time in microseconds.
fn apply(state: &mut CounterState, time: u64, increment: &Increment) -> f64 {
    state.apply(Timestamp::from_micros(time), increment)
}

#[test]
fn increment_arrives_twice_then_it_counts_once_and_gets_the_same_total() {
    let mut state = CounterState::new(Limits::default());
    assert_eq!(apply(&mut state, 10, &increment(1, 1, 7)), 1.0);
    assert_eq!(
        apply(&mut state, 11, &increment(2, 1, 7)),
        2.0,
        "sequence numbers are separate for each caller"
    );
    assert_eq!(apply(&mut state, 12, &increment(1, 1, 7)), 1.0);
    assert_eq!(
        apply(&mut state, 12, &increment(1, 5, 7)),
        3.0,
        "numbers may be skipped"
    );
    assert_eq!(
        apply(&mut state, 13, &increment(1, 3, 7)),
        4.0,
        "numbers may come out of order"
    );
    assert_eq!((state.total(NameId(7)), state.position()), (Some(4.0), 4));
    let anonymous = increment(0, 1, 8);
    assert_eq!(
        (
            apply(&mut state, 14, &anonymous),
            apply(&mut state, 14, &anonymous)
        ),
        (1.0, 2.0)
    );
}

#[test]
fn increment_is_no_longer_remembered_then_it_is_rejected() {
    let limits = Limits {
        increments_per_caller: 3,
        horizon: TimeDelta::from_micros(100),
        callers: 2,
        ..Limits::default()
    };
    let mut state = CounterState::new(limits);
    for number in 1..=5 {
        let total = apply(&mut state, 10, &increment(1, number, 7));
        assert_eq!(total, number as f64);
    }
    assert_eq!(
        state.check(&increment(1, 2, 7)),
        Err(Rejection::TooOld),
        "only three are remembered"
    );
    assert_eq!(state.check(&increment(1, 3, 7)), Ok(()));
    apply(&mut state, 200, &increment(1, 6, 7));
    assert_eq!(
        state.check(&increment(1, 5, 7)),
        Err(Rejection::TooOld),
        "the horizon has passed"
    );
    apply(&mut state, 201, &increment(2, 1, 7));
    apply(&mut state, 202, &increment(3, 1, 7));
    assert_eq!(
        state.check(&increment(1, 7, 7)),
        Err(Rejection::ForgottenCaller),
        "two callers are remembered"
    );
    assert_eq!(state.check(&increment(4, 1, 7)), Ok(()));
}

#[test]
fn names_are_at_the_limit_then_new_ones_are_rejected_until_one_expires() {
    let mut state = CounterState::new(Limits {
        names: 2,
        ..Limits::default()
    });
    apply(&mut state, 5_000, &increment(1, 1, 1));
    apply(&mut state, 5_000, &increment(1, 2, 2));
    assert_eq!(
        state.check(&increment(1, 3, 3)),
        Err(Rejection::TooManyNames)
    );
    assert_eq!(
        state.check(&increment(1, 3, 2)),
        Ok(()),
        "known names are still counted"
    );
    assert_eq!(
        apply(&mut state, 1, &increment(1, 3, 2)),
        2.0,
        "a clock that goes backwards does not expire or reset a name"
    );
    assert_eq!(
        apply(&mut state, 6_000, &increment(1, 4, 2)),
        1.0,
        "the name has expired"
    );
    assert_eq!(
        state.check(&increment(1, 5, 3)),
        Ok(()),
        "name 1 has expired too"
    );
    assert_eq!(state.name_count(), 1);
}

#[test]
fn total_would_not_be_finite_then_increment_is_rejected() {
    let mut state = CounterState::new(Limits::default());
    let huge = |number| Increment {
        amount: f64::MAX,
        ..increment(1, number, 1)
    };
    apply(&mut state, 1, &huge(1));
    assert_eq!(state.check(&huge(2)), Err(Rejection::NotFinite));
    assert_eq!(
        state.check(&Increment {
            amount: f64::NAN,
            ..increment(1, 2, 1)
        }),
        Err(Rejection::NotFinite)
    );
}
