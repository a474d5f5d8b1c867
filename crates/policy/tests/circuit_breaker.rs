//! The circuit breaker before the counter: each transition, and the failures foreseen for it.
mod common;
use chalkdeck::api::*;
use common::*;

/// Makes one window call for a customer and lets it fail; says whether a call was made.
fn call_fails(rig: &mut Rig, customer: u64) -> bool {
    let (_, out) = rig.request(0, 0, customer, 1.0);
    let made = counter_calls(&out);
    for (key, _) in &made {
        rig.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Rejected,
            total: 0.0,
        });
    }
    !made.is_empty()
}

/// Lets three calls fail; with calls failing only a part of the requests is sampled.
fn open_breaker(rig: &mut Rig) {
    assert_eq!(
        (1..100).filter(|c| call_fails(rig, *c)).count(),
        3,
        "closed until three calls failed, then open"
    );
}

#[test]
fn three_failures_in_a_row_open_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    open_breaker(&mut rig);
    assert!(!call_fails(&mut rig, 4), "open: no calls");
}

#[test]
fn two_failures_leave_the_breaker_closed() {
    let mut rig = Rig::new(settings(), 4);
    call_fails(&mut rig, 1);
    call_fails(&mut rig, 2);
    // With calls failing only a part of the requests is sampled; among twenty customers some are.
    let called = (10..30)
        .filter(|c| !counter_calls(&rig.request(0, 0, *c, 1.0).1).is_empty())
        .count();
    assert!(called > 0);
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes() {
    let mut rig = Rig::new(settings(), 4);
    open_breaker(&mut rig);
    rig.advance(5 * S - 1);
    assert!(!call_fails(&mut rig, 4), "still cooling down");
    rig.advance(1);
    let (_, out) = rig.request(0, 0, 5, 1.0);
    let probe = nonzero_adds(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(
        counter_calls(&rig.request(0, 0, 6, 1.0).1).is_empty(),
        "while the probe is in flight there is no other call"
    );
    rig.handle(Event::CounterReplied {
        key: probe[0].0,
        outcome: Outcome::Ok,
        total: 1.0,
    });
    let called = (10..30)
        .filter(|c| !nonzero_adds(&rig.request(0, 0, *c, 1.0).1).is_empty())
        .count();
    assert!(called > 0, "closed again");
}

#[test]
fn a_failed_probe_starts_another_cooldown() {
    let mut rig = Rig::new(settings(), 4);
    open_breaker(&mut rig);
    rig.advance(5 * S);
    assert!(call_fails(&mut rig, 5), "the probe");
    rig.advance(5 * S - 1);
    assert!(!call_fails(&mut rig, 6));
    rig.advance(1);
    assert!(call_fails(&mut rig, 7), "the next probe");
}

#[test]
fn time_outs_open_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    let calls: Vec<_> = (1..=3)
        .flat_map(|c| counter_calls(&rig.request(0, 0, c, 1.0).1))
        .collect();
    rig.advance(80 * MS);
    calls.iter().for_each(|(key, _)| {
        drop(rig.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Timeout,
            total: 0.0,
        }))
    });
    assert!(counter_calls(&rig.request(0, 0, 4, 1.0).1).is_empty());
}

#[test]
fn failures_of_one_key_do_not_open_the_breaker_of_all_customers() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..10 {
        call_fails(&mut rig, 1);
    }
    let called = (10..60)
        .filter(|c| !nonzero_adds(&rig.request(0, 0, *c, 1.0).1).is_empty())
        .count();
    assert!(called > 0, "others still call");
    assert!(
        !call_fails(&mut rig, 1),
        "the busy customer's own breaker is open"
    );
}

#[test]
fn a_counter_that_answers_one_call_in_three_opens_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    let (mut customer, mut calls) = (100, 0);
    for _ in 0..2_000 {
        customer += 1;
        let (_, out) = rig.request(0, 0, customer, 1.0);
        for (key, amount) in counter_calls(&out) {
            // Two failures, one answer, and again: three in a row never come.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            rig.handle(Event::CounterReplied {
                key,
                outcome,
                total: amount,
            });
        }
    }
    let called = (0..200)
        .filter(|c| !nonzero_adds(&rig.request(0, 0, 1_000 + c, 1.0).1).is_empty())
        .count();
    assert_eq!(called, 0, "open");
}

#[test]
fn a_customer_in_half_open_state_leaves_the_common_probe_usable() {
    let mut rig = Rig::new(settings(), 4);
    open_breaker(&mut rig);
    for _ in 0..3 {
        call_fails(&mut rig, 1); // Decided locally.
    }
    rig.advance(5 * S);
    let (_, out) = rig.request(0, 0, 1, 1.0);
    let probe = nonzero_adds(&out);
    assert_eq!(probe.len(), 1);
    rig.handle(Event::CounterReplied {
        key: probe[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    rig.advance(5 * S);
    assert!(call_fails(&mut rig, 9), "the probe was given back");
}

#[test]
fn broken_connections_open_the_breaker_only_while_no_call_is_answered() {
    let calls_made = |is_answering: bool| {
        let mut rig = Rig::new(settings(), 4);
        let mut called = 0;
        for customer in 1..=400 {
            let (_, out) = rig.request(0, 0, customer, 1.0);
            for (key, _) in counter_calls(&out) {
                called += 1;
                // One in two breaks; the counter may answer the others.
                let answered = is_answering && called % 2 == 0;
                let (outcome, total) = if answered {
                    (Outcome::Ok, 1.0)
                } else {
                    (Outcome::Reset, 0.0)
                };
                rig.handle(Event::CounterReplied {
                    key,
                    outcome,
                    total,
                });
            }
            rig.advance(10 * MS);
        }
        called
    };
    // The first breaks before anything was answered, and costs some of the next their call.
    assert!(calls_made(true) >= 350, "{}", calls_made(true));
    assert!(calls_made(false) <= 8, "{}", calls_made(false));
}

#[test]
fn answers_later_than_usual_reduce_the_sample_rate_before_calls_fail() {
    // Calls take the usual time at first; then a queue builds up, or none does.
    let called = |usual: u64, later: u64| {
        let mut rig = Rig::new(settings(), 4);
        let mut called = 0;
        for customer in 1..=400 {
            let (_, out) = rig.request(0, 0, customer, 1.0);
            rig.advance(if customer <= 100 { usual } else { later });
            counter_calls(&out).iter().for_each(|(key, _)| {
                drop(rig.handle(Event::CounterReplied {
                    key: *key,
                    outcome: Outcome::Ok,
                    total: 1.0,
                }))
            });
            called += counter_calls(&out).len();
        }
        called
    };
    assert_eq!(called(2 * MS, 2 * MS), 400);
    // The first answer cannot be distinguished from a queue.
    assert!(
        called(30 * MS, 30 * MS) >= 390,
        "a counter that is far away is no queue"
    );
    assert!(
        (110..200).contains(&called(2 * MS, 60 * MS)),
        "{}",
        called(2 * MS, 60 * MS)
    );
}

#[test]
fn calls_in_flight_together_reduce_the_sample_rate_once_and_it_recovers_within_seconds() {
    let mut rig = Rig::new(settings(), 4);
    // Thirty calls meet one queue at the counter: all are answered late.
    let out: Vec<_> = (1..=30)
        .flat_map(|c| counter_calls(&rig.request(0, 0, c, 1.0).1))
        .collect();
    rig.advance(60 * MS);
    out.iter().for_each(|(key, _)| {
        drop(rig.handle(Event::CounterReplied {
            key: *key,
            outcome: Outcome::Ok,
            total: 1.0,
        }))
    });
    let count_calls = |rig: &mut Rig, customers: std::ops::Range<u64>| {
        let mut called = 0;
        for customer in customers {
            for (key, _) in counter_calls(&rig.request(0, 0, customer, 1.0).1) {
                rig.advance(2 * MS);
                rig.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: 1.0,
                });
                called += 1;
            }
        }
        called
    };
    assert!(count_calls(&mut rig, 100..120) >= 14, "reduced once");
    // Reduced again and again, each time by calls of their own.
    for customer in 200..300 {
        let out = counter_calls(&rig.request(0, 0, customer, 1.0).1);
        rig.advance(60 * MS);
        out.iter().for_each(|(key, _)| {
            drop(rig.handle(Event::CounterReplied {
                key: *key,
                outcome: Outcome::Ok,
                total: 1.0,
            }))
        });
    }
    count_calls(&mut rig, 400..700);
    assert!(
        count_calls(&mut rig, 700..720) >= 18,
        "three hundred requests later nearly all are sampled"
    );
}
