//! The circuit breaker of the counter: its transitions, and the failures that do or don't open it.
mod common;
use chalkdeck::api::*;
use common::*;

/// Sends a request of a customer and lets its counter call fail. Returns whether a call was made.
fn fail_counter_call(harness: &mut Harness, customer: u64) -> bool {
    let (_, actions) = harness.request(0, 0, customer, 1.0);
    let calls = counter_calls(&actions);
    for (key, _) in &calls {
        harness.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Rejected,
            total: 0.0,
        });
    }
    !calls.is_empty()
}

/// Lets calls fail until the breaker opens. While calls fail, only a fraction of the requests is sampled.
fn open_breaker(harness: &mut Harness) {
    assert_eq!(
        (1..100)
            .filter(|customer| fail_counter_call(harness, *customer))
            .count(),
        3,
        "three calls, after which the breaker is open"
    );
}

#[test]
fn three_failures_in_a_row_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    assert!(!fail_counter_call(&mut harness, 4), "open: no calls");
}

#[test]
fn two_failures_leave_the_breaker_closed() {
    let mut harness = Harness::new(settings(), 4);
    fail_counter_call(&mut harness, 1);
    fail_counter_call(&mut harness, 2);
    // While calls fail, only a fraction of the requests is sampled; among those of twenty customers some are.
    let called = (10..30)
        .filter(|customer| !counter_calls(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(called > 0);
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(5 * SECOND - 1);
    assert!(!fail_counter_call(&mut harness, 4), "still cooling down");
    harness.advance(1);
    let (_, actions) = harness.request(0, 0, 5, 1.0);
    let probe = nonzero_adds(&actions);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(
        counter_calls(&harness.request(0, 0, 6, 1.0).1).is_empty(),
        "while the probe is in flight there is no other call"
    );
    harness.handle(Event::CounterReplied {
        key: probe[0].0,
        outcome: Outcome::Ok,
        total: 1.0,
    });
    let called = (10..30)
        .filter(|customer| !nonzero_adds(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(called > 0, "closed again");
}

#[test]
fn a_failed_probe_starts_another_cooldown() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    harness.advance(5 * SECOND);
    assert!(fail_counter_call(&mut harness, 5), "the probe");
    harness.advance(5 * SECOND - 1);
    assert!(!fail_counter_call(&mut harness, 6));
    harness.advance(1);
    assert!(fail_counter_call(&mut harness, 7), "the next probe");
}

#[test]
fn timeouts_open_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    let calls: Vec<_> = (1..=3)
        .flat_map(|customer| counter_calls(&harness.request(0, 0, customer, 1.0).1))
        .collect();
    harness.advance(80 * MILLISECOND);
    calls.iter().for_each(|(key, _)| {
        drop(harness.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Timeout,
            total: 0.0,
        }))
    });
    assert!(counter_calls(&harness.request(0, 0, 4, 1.0).1).is_empty());
}

#[test]
fn failures_of_one_customer_do_not_open_the_common_breaker() {
    let mut harness = Harness::new(settings(), 4);
    for _ in 0..10 {
        fail_counter_call(&mut harness, 1);
    }
    let called = (10..60)
        .filter(|customer| !nonzero_adds(&harness.request(0, 0, *customer, 1.0).1).is_empty())
        .count();
    assert!(called > 0, "other customers still call");
    assert!(
        !fail_counter_call(&mut harness, 1),
        "the busy customer's own breaker is open"
    );
}

#[test]
fn a_counter_that_answers_one_call_in_three_opens_the_breaker() {
    let mut harness = Harness::new(settings(), 4);
    let (mut customer, mut call_count) = (100, 0);
    for _ in 0..2_000 {
        customer += 1;
        let (_, actions) = harness.request(0, 0, customer, 1.0);
        for (key, amount) in counter_calls(&actions) {
            // Every third call succeeds, so there are never three consecutive failures.
            call_count += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || call_count % 3 == 0 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            harness.handle(Event::CounterReplied {
                key,
                outcome,
                total: amount,
            });
        }
    }
    let called = (0..200)
        .filter(|customer| {
            !nonzero_adds(&harness.request(0, 0, 1_000 + customer, 1.0).1).is_empty()
        })
        .count();
    assert_eq!(called, 0, "open");
}

#[test]
fn a_failed_probe_of_a_failing_customer_leaves_the_common_probe_usable() {
    let mut harness = Harness::new(settings(), 4);
    open_breaker(&mut harness);
    for _ in 0..3 {
        fail_counter_call(&mut harness, 1); // Decided locally.
    }
    harness.advance(5 * SECOND);
    let (_, actions) = harness.request(0, 0, 1, 1.0);
    let probe = nonzero_adds(&actions);
    assert_eq!(probe.len(), 1);
    harness.handle(Event::CounterReplied {
        key: probe[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    harness.advance(5 * SECOND);
    assert!(fail_counter_call(&mut harness, 9), "another call may probe");
}

#[test]
fn connection_failures_open_the_breaker_only_while_no_call_succeeds() {
    let calls_made = |is_answering: bool| {
        let mut harness = Harness::new(settings(), 4);
        let mut called = 0;
        for customer in 1..=400 {
            let (_, actions) = harness.request(0, 0, customer, 1.0);
            for (key, _) in counter_calls(&actions) {
                called += 1;
                // Every other call fails with its connection; the rest succeed if `is_answering`.
                let is_success = is_answering && called % 2 == 0;
                let (outcome, total) = if is_success {
                    (Outcome::Ok, 1.0)
                } else {
                    (Outcome::Reset, 0.0)
                };
                harness.handle(Event::CounterReplied {
                    key,
                    outcome,
                    total,
                });
            }
            harness.advance(10 * MILLISECOND);
        }
        called
    };
    // The first call fails before any has succeeded, which reduces the sample rate at first.
    assert!(calls_made(true) >= 350, "{}", calls_made(true));
    assert!(calls_made(false) <= 8, "{}", calls_made(false));
}

#[test]
fn replies_above_the_base_latency_reduce_the_sample_rate_before_calls_fail() {
    // The first 100 calls have one latency, later ones the same or, with a queue, a higher one.
    let count_calls = |first_latency: u64, later_latency: u64| {
        let mut harness = Harness::new(settings(), 4);
        let mut called = 0;
        for customer in 1..=400 {
            let (_, actions) = harness.request(0, 0, customer, 1.0);
            harness.advance(if customer <= 100 {
                first_latency
            } else {
                later_latency
            });
            counter_calls(&actions).iter().for_each(|(key, _)| {
                drop(harness.handle(Event::CounterReplied {
                    key: *key,
                    outcome: Outcome::Ok,
                    total: 1.0,
                }))
            });
            called += counter_calls(&actions).len();
        }
        called
    };
    assert_eq!(count_calls(2 * MILLISECOND, 2 * MILLISECOND), 400);
    // The first reply cannot be distinguished from a queue.
    assert!(
        count_calls(30 * MILLISECOND, 30 * MILLISECOND) >= 390,
        "a high base latency is not taken for a queue"
    );
    assert!(
        (110..200).contains(&count_calls(2 * MILLISECOND, 60 * MILLISECOND)),
        "{}",
        count_calls(2 * MILLISECOND, 60 * MILLISECOND)
    );
}

#[test]
fn calls_in_flight_together_reduce_the_sample_rate_once_and_it_recovers_within_seconds() {
    let mut harness = Harness::new(settings(), 4);
    // Thirty calls are in one queue at the counter, so all replies are late.
    let actions: Vec<_> = (1..=30)
        .flat_map(|customer| counter_calls(&harness.request(0, 0, customer, 1.0).1))
        .collect();
    harness.advance(60 * MILLISECOND);
    actions.iter().for_each(|(key, _)| {
        drop(harness.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Ok,
            total: 1.0,
        }))
    });
    let count_calls = |harness: &mut Harness, customers: std::ops::Range<u64>| {
        let mut called = 0;
        for customer in customers {
            for (key, _) in counter_calls(&harness.request(0, 0, customer, 1.0).1) {
                harness.advance(2 * MILLISECOND);
                harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: 1.0,
                });
                called += 1;
            }
        }
        called
    };
    assert!(count_calls(&mut harness, 100..120) >= 14, "reduced once");
    // Late replies to calls one after another reduce the rate repeatedly.
    for customer in 200..300 {
        let actions = counter_calls(&harness.request(0, 0, customer, 1.0).1);
        harness.advance(60 * MILLISECOND);
        actions.iter().for_each(|(key, _)| {
            drop(harness.handle(Event::CounterReplied {
                key: *key,
                outcome: Outcome::Ok,
                total: 1.0,
            }))
        });
    }
    count_calls(&mut harness, 400..700);
    assert!(
        count_calls(&mut harness, 700..720) >= 18,
        "after 300 requests nearly all are sampled"
    );
}
