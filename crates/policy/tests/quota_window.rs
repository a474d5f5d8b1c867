//! The count of a quota window: window boundaries, rejections, refunds, lost adds, and the local bucket.
mod common;
use chalkdeck::api::*;
use common::*;

/// Sends a request and replies to its counter call with the given total.
fn request_with_total(harness: &mut Harness, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, actions) = harness.request(0, 0, 1, units);
    let adds = nonzero_adds(&actions);
    assert_eq!(adds.len(), 1, "one add before the request is sent");
    assert!(
        sent_attempts(&actions).is_empty(),
        "nothing is sent before the reply"
    );
    (
        id,
        harness.handle(Event::CounterReplied {
            key: adds[0].0,
            outcome: Outcome::Ok,
            total,
        }),
    )
}

#[test]
fn the_units_are_counted_before_the_request_is_sent() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(0, 0, 1, 3.0);
    assert_eq!(
        nonzero_adds(&actions)
            .iter()
            .map(|add| add.1)
            .collect::<Vec<_>>(),
        [3.0]
    );
    let actions = harness.handle(Event::CounterReplied {
        key: nonzero_adds(&actions)[0].0,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert_eq!(sent_attempts(&actions)[0].0, id);
}

#[test]
fn a_total_equal_to_the_allowance_is_admitted() {
    let mut harness = Harness::new(settings(), 4);
    let (_, actions) = request_with_total(&mut harness, 2.0, 20.0);
    assert_eq!(sent_attempts(&actions).len(), 1);
}

#[test]
fn a_request_over_the_allowance_is_rejected_with_a_retry_after_and_its_refund_deferred() {
    let mut harness = Harness::new(settings(), 4);
    // More than twice the burst, so that no bucket level admits it.
    let (id, actions) = request_with_total(&mut harness, 4.0, 43.0);
    let Some(Action::Reject {
        retry_after: Some(wait),
        ..
    }) = actions
        .iter()
        .find(|action| matches!(action, Action::Reject { request, .. } if *request == id))
    else {
        panic!("rejected with a retry-after: {actions:?}");
    };
    assert!(wait.as_micros() > 0 && wait.as_micros() <= 2 * SECOND);
    assert!(sent_attempts(&actions).is_empty());
    // No request could use the refunded units, so they are posted with the next call instead of one of their
    // own.
    assert!(nonzero_adds(&actions).is_empty());
}

#[test]
fn a_quota_known_to_be_exhausted_rejects_without_a_call() {
    let mut harness = Harness::new(settings(), 4);
    request_with_total(&mut harness, 2.0, 43.0);
    let (id, actions) = harness.request(0, 0, 1, 2.0);
    assert!(is_rejected(&actions, id) && nonzero_adds(&actions).is_empty());
}

#[test]
fn a_new_window_calls_the_counter_under_a_new_key() {
    let mut harness = Harness::new(settings(), 4);
    let first = nonzero_adds(&harness.request(0, 0, 1, 2.0).1)[0].0;
    harness.handle(Event::CounterReplied {
        key: first,
        outcome: Outcome::Ok,
        total: 43.0,
    });
    harness.advance(2 * SECOND);
    let (_, actions) = harness.request(0, 0, 1, 2.0);
    assert_eq!(nonzero_adds(&actions).len(), 1);
    assert_ne!(nonzero_adds(&actions)[0].0, first);
}

#[test]
fn gateways_agree_on_the_counter_key() {
    let mut other = settings();
    other.gateway_index = 1;
    let (mut first, mut second) = (Harness::new(settings(), 4), Harness::new(other, 2));
    assert_eq!(
        nonzero_adds(&first.request(0, 0, 1, 2.0).1)[0].0,
        nonzero_adds(&second.request(0, 0, 1, 2.0).1)[0].0
    );
}

#[test]
fn units_that_the_counter_lost_are_posted_again() {
    let mut harness = Harness::new(settings(), 4);
    request_with_total(&mut harness, 4.0, 4.0);
    request_with_total(&mut harness, 4.0, 8.0);
    // The counter has lost its state: it has only this add.
    let (_, actions) = request_with_total(&mut harness, 2.0, 2.0);
    assert_eq!(
        nonzero_adds(&actions).iter().map(|add| add.1).sum::<f64>(),
        8.0
    );
}

#[test]
fn rejected_units_are_refunded_at_once_if_others_could_use_them() {
    let mut harness = Harness::new(settings(), 4);
    request_with_total(&mut harness, 1.0, 20.0);
    harness.advance(2 * SECOND); // The quota was empty and is full now.
    let (id, actions) = harness.request(0, 0, 1, 4.0);
    let actions = harness.handle(Event::CounterReplied {
        key: nonzero_adds(&actions)[0].0,
        outcome: Outcome::Ok,
        total: 22.0,
    });
    assert!(is_rejected(&actions, id), "{actions:?}");
    assert_eq!(
        nonzero_adds(&actions)
            .iter()
            .map(|add| add.1)
            .collect::<Vec<_>>(),
        [-4.0]
    );
}

#[test]
fn a_burst_at_the_end_of_a_window_is_not_admitted_again_at_the_start_of_the_next() {
    let mut harness = Harness::new(settings(), 4);
    // Windows last 2 s, and their offset depends on the customer, so requests are sent over the length of a
    // whole window.
    request_with_total(&mut harness, 1.0, 1.0);
    harness.advance(6 * SECOND);
    let mut total = 0.0;
    let mut admitted = 0;
    let mut last_key = None;
    for _ in 0..100 {
        let (id, actions) = harness.request(0, 0, 1, 1.0);
        for (key, amount) in counter_calls(&actions) {
            total = if last_key
                .replace(key)
                .is_some_and(|previous| previous != key)
            {
                amount
            } else {
                total + amount
            };
            let actions = harness.handle(Event::CounterReplied {
                key,
                outcome: Outcome::Ok,
                total,
            });
            admitted += sent_attempts(&actions).len();
            sent_attempts(&actions).iter().for_each(|(id, endpoint)| {
                drop(harness.end_attempt(*id, 0, *endpoint, Outcome::Ok))
            });
            total += counter_calls(&actions).iter().map(|add| add.1).sum::<f64>();
            counter_calls(&actions).iter().for_each(|call| {
                drop(harness.handle(Event::CounterReplied {
                    key: call.0,
                    outcome: Outcome::Ok,
                    total,
                }))
            });
        }
        harness.handle(Event::ClientDisconnected(id));
        harness.advance(20 * MILLISECOND);
    }
    // A burst of twenty, and two seconds at ten units per second.
    assert!((38..=41).contains(&admitted), "{admitted}");
}

#[test]
fn retry_after_is_the_time_until_the_quota_has_the_units() {
    let mut harness = Harness::new(settings(), 4);
    request_with_total(&mut harness, 1.0, 20.0);
    // The quota is empty: four units take 0.4 s to refill.
    let (id, actions) = harness.request(0, 0, 1, 4.0);
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Reject {
            request,
            retry_after,
        } if *request == id => *retry_after,
        _ => None,
    });
    let retry_after = retry_after
        .expect("it is rejected with a retry-after")
        .as_micros();
    assert!(
        (380 * MILLISECOND..=400 * MILLISECOND).contains(&retry_after),
        "{retry_after}"
    );
}

#[test]
fn locally_admitted_units_are_posted_with_the_next_call() {
    let mut harness = Harness::new(settings(), 4);
    let (_, actions) = harness.request(0, 0, 1, 2.0);
    // The counter rejected the call, so nothing was added, and the local bucket admits the request.
    let actions = harness.handle(Event::CounterReplied {
        key: nonzero_adds(&actions)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&actions).len(), 1);
    let next = (0..50).find_map(|_| {
        nonzero_adds(&harness.request(0, 0, 1, 1.0).1)
            .first()
            .map(|add| add.1)
    });
    assert!(
        next.expect("a request is sampled") >= 3.0,
        "its own unit and those admitted without the counter"
    );
}

#[test]
fn without_the_counter_the_local_share_decides() {
    let mut settings = settings();
    settings.use_counter = false;
    let mut harness = Harness::new(settings, 8);
    let mut admitted = 0;
    for _ in 0..400 {
        harness.advance(100 * MILLISECOND);
        let (id, actions) = harness.request(0, 0, 1, 1.0);
        assert!(counter_calls(&actions).is_empty());
        if let Some((_, endpoint)) = sent_attempts(&actions).first() {
            admitted += 1;
            harness.end_attempt(id, 0, *endpoint, Outcome::Ok);
        }
    }
    // 40 s at a share of 5 units per second, plus at most this gateway's share of a burst.
    assert!((190..=212).contains(&admitted), "{admitted}");
}

#[test]
fn a_concurrency_slot_is_counted_and_freed() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(0, 2, 1, 1.0);
    let (key, amount) = nonzero_adds(&actions)[0];
    assert_eq!(amount, 1.0);
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 1.0,
    });
    let endpoint = sent_attempts(&actions)[0].1;
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Ok);
    assert_eq!(nonzero_adds(&actions), [(key, -1.0)]);
    harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 0.0,
    });
    let (id, actions) = harness.request(0, 2, 1, 1.0);
    assert_eq!(nonzero_adds(&actions), [(key, 1.0)]);
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert!(is_rejected(&actions, id), "both slots are in use elsewhere");
    assert_eq!(
        nonzero_adds(&actions),
        [(key, -1.0)],
        "and the slot is released"
    );
}

#[test]
fn a_reply_without_a_call_changes_nothing() {
    let mut harness = Harness::new(settings(), 4);
    assert!(harness
        .handle(Event::CounterReplied {
            key: CounterKey(5),
            outcome: Outcome::Ok,
            total: 1.0
        })
        .is_empty());
}

#[test]
fn without_the_counter_the_local_share_grows_with_the_carried_share_of_the_usage() {
    let count_admitted = |units_of_others: f64| {
        let mut harness = Harness::new(settings(), 8);
        // In four windows this gateway adds four units, and other gateways add the rest of the total.
        for _ in 0..4 {
            harness.advance(2 * SECOND);
            let (id, actions) = harness.request(0, 0, 1, 4.0);
            for (key, amount) in counter_calls(&actions) {
                let total = if amount > 0.0 {
                    4.0 + units_of_others
                } else {
                    0.0
                };
                let actions = harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total,
                });
                sent_attempts(&actions).iter().for_each(|(_, endpoint)| {
                    drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok))
                });
            }
        }
        let mut admitted = 0;
        for _ in 0..300 {
            harness.advance(100 * MILLISECOND);
            let (id, mut actions) = harness.request(0, 0, 1, 1.0);
            for (key, _) in counter_calls(&actions.clone()) {
                actions.extend(harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            admitted += sent_attempts(&actions).len();
            sent_attempts(&actions)
                .iter()
                .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
        }
        admitted
    };
    let (whole_usage, quarter_of_usage) = (count_admitted(0.0), count_admitted(12.0));
    assert!(
        whole_usage * 4 > quarter_of_usage * 5,
        "{whole_usage} against {quarter_of_usage}"
    );
}
