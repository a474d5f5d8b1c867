use super::{CircuitBreaker, COOLDOWN};
use crate::api::{TimeDelta, Timestamp};

const START: Timestamp = Timestamp::from_millis(1_000);

fn breaker_opened_at(now: Timestamp) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.record_failure(now, false);
    }
    breaker
}

#[test]
fn the_third_consecutive_failure_opens_the_breaker() {
    let mut breaker = CircuitBreaker::default();
    breaker.record_failure(START, false);
    breaker.record_failure(START, false);
    assert!(!breaker.is_open() && breaker.allows_call(START));
    breaker.record_failure(START, false);
    assert!(breaker.is_open() && !breaker.allows_call(START));
}

#[test]
fn a_success_while_closed_halves_the_failures() {
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
fn after_the_cooldown_one_call_probes() {
    let mut breaker = breaker_opened_at(START);
    let after = START + COOLDOWN;
    assert!(!breaker.allows_call(after - TimeDelta::from_micros(1)));
    assert!(breaker.allows_call(after));
    breaker.record_call();
    assert!(breaker.is_probing());
    assert!(!breaker.allows_call(after), "the probe has no answer yet");
}

#[test]
fn a_successful_probe_closes_the_breaker() {
    let mut breaker = breaker_opened_at(START);
    breaker.record_call();
    breaker.record_success(true);
    assert!(!breaker.is_open() && !breaker.is_probing());
}

#[test]
fn a_failed_probe_begins_another_cooldown() {
    let mut breaker = breaker_opened_at(START);
    let later = START + COOLDOWN;
    breaker.record_call();
    breaker.record_failure(later, true);
    assert!(!breaker.is_probing());
    assert!(!breaker.allows_call(later + COOLDOWN - TimeDelta::from_micros(1)));
    assert!(breaker.allows_call(later + COOLDOWN));
}
