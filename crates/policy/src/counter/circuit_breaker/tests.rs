use super::{CircuitBreaker, COOLDOWN};
use crate::api::{TimeDelta, Timestamp};

const START: Timestamp = Timestamp::from_millis(1_000);

fn opened_at(now: Timestamp) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.record_failure(now, false);
    }
    breaker
}

#[test]
fn third_failure_in_a_row_then_the_breaker_is_open() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(START, false);
    breaker.record_failure(START, false);
    assert!(!breaker.is_open() && breaker.allows_call(START));
    breaker.record_failure(START, false);
    assert!(breaker.is_open() && !breaker.allows_call(START));
}

#[test]
fn success_while_closed_then_half_of_the_failures_count() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(START, false);
    breaker.record_failure(START, false);
    breaker.record_success(false);
    breaker.record_failure(START, false);
    assert!(!breaker.is_open(), "two failures count");
    breaker.record_failure(START, false);
    assert!(breaker.is_open(), "three failures count");
}

#[test]
fn cooldown_is_over_then_one_call_probes() {
    let mut breaker = opened_at(START);
    let after = START + COOLDOWN;
    assert!(!breaker.allows_call(after - TimeDelta::from_micros(1)));
    assert!(breaker.allows_call(after));
    breaker.record_call();
    assert!(breaker.is_probing());
    assert!(!breaker.allows_call(after), "the probe has no answer yet");
}

#[test]
fn probe_succeeds_then_the_breaker_is_closed() {
    let mut breaker = opened_at(START);
    breaker.record_call();
    breaker.record_success(true);
    assert!(!breaker.is_open() && !breaker.is_probing());
}

#[test]
fn probe_fails_then_another_cooldown_begins() {
    let mut breaker = opened_at(START);
    let later = START + COOLDOWN;
    breaker.record_call();
    breaker.record_failure(later, true);
    assert!(!breaker.is_probing());
    assert!(!breaker.allows_call(later + COOLDOWN - TimeDelta::from_micros(1)));
    assert!(breaker.allows_call(later + COOLDOWN));
}
