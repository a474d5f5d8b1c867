//! The count of a quota window: its edges, rejections, late answers, lost adds, and the local bucket.
mod common;
use chalkdeck::api::*;
use common::*;

/// One request whose call is answered with this total.
fn request_with_total(rig: &mut Rig, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = rig.request(0, 0, 1, units);
    let add = nonzero_adds(&out);
    assert_eq!(add.len(), 1, "one add before sending on");
    assert!(
        sent_attempts(&out).is_empty(),
        "nothing is sent on before the answer"
    );
    (
        id,
        rig.handle(Event::CounterReplied {
            key: add[0].0,
            outcome: Outcome::Ok,
            total,
        }),
    )
}

#[test]
fn the_units_are_added_before_the_request_is_sent() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    assert_eq!(
        nonzero_adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(),
        [3.0]
    );
    let out = rig.handle(Event::CounterReplied {
        key: nonzero_adds(&out)[0].0,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert_eq!(sent_attempts(&out)[0].0, id);
}

#[test]
fn a_total_equal_to_the_allowance_is_admitted() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = request_with_total(&mut rig, 2.0, 20.0);
    assert_eq!(sent_attempts(&out).len(), 1);
}

#[test]
fn over_the_allowance_a_request_is_rejected_its_units_given_back_and_retry_after_set() {
    let mut rig = Rig::new(settings(), 4);
    // Far beyond what any bucket can hold: twice the burst and more.
    let (id, out) = request_with_total(&mut rig, 4.0, 43.0);
    let Some(Action::Reject {
        retry_after: Some(wait),
        ..
    }) = out
        .iter()
        .find(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
    else {
        panic!("rejected with a retry-after: {out:?}");
    };
    assert!(wait.as_micros() > 0 && wait.as_micros() <= 2 * S);
    assert!(sent_attempts(&out).is_empty());
    // Nobody could use what the add takes up: it goes back with the next call, no call is spent on it.
    assert!(nonzero_adds(&out).is_empty());
}

#[test]
fn a_window_known_to_be_full_rejects_without_a_call() {
    let mut rig = Rig::new(settings(), 4);
    request_with_total(&mut rig, 2.0, 43.0);
    let (id, out) = rig.request(0, 0, 1, 2.0);
    assert!(is_rejected(&out, id) && nonzero_adds(&out).is_empty());
}

#[test]
fn a_new_window_calls_the_counter_under_a_new_key() {
    let mut rig = Rig::new(settings(), 4);
    let first = nonzero_adds(&rig.request(0, 0, 1, 2.0).1)[0].0;
    rig.handle(Event::CounterReplied {
        key: first,
        outcome: Outcome::Ok,
        total: 43.0,
    });
    rig.advance(2 * S);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    assert_eq!(nonzero_adds(&out).len(), 1);
    assert_ne!(nonzero_adds(&out)[0].0, first);
}

#[test]
fn gateways_agree_on_the_counter_key() {
    let mut other = settings();
    other.gateway_index = 1;
    let (mut a, mut b) = (Rig::new(settings(), 4), Rig::new(other, 2));
    assert_eq!(
        nonzero_adds(&a.request(0, 0, 1, 2.0).1)[0].0,
        nonzero_adds(&b.request(0, 0, 1, 2.0).1)[0].0
    );
}

#[test]
fn a_counter_that_lost_its_memory_gets_our_units_again() {
    let mut rig = Rig::new(settings(), 4);
    request_with_total(&mut rig, 4.0, 4.0);
    request_with_total(&mut rig, 4.0, 8.0);
    // The memory is lost: only this add is there.
    let (_, out) = request_with_total(&mut rig, 2.0, 2.0);
    assert_eq!(nonzero_adds(&out).iter().map(|a| a.1).sum::<f64>(), 8.0);
}

#[test]
fn rejected_units_are_given_back_at_once_where_others_could_use_them() {
    let mut rig = Rig::new(settings(), 4);
    request_with_total(&mut rig, 1.0, 20.0);
    rig.advance(2 * S); // Empty then, full now.
    let (id, out) = rig.request(0, 0, 1, 4.0);
    let out = rig.handle(Event::CounterReplied {
        key: nonzero_adds(&out)[0].0,
        outcome: Outcome::Ok,
        total: 22.0,
    });
    assert!(is_rejected(&out, id), "{out:?}");
    assert_eq!(
        nonzero_adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(),
        [-4.0]
    );
}

#[test]
fn a_burst_at_the_end_of_a_window_is_not_granted_again_at_the_start_of_the_next() {
    let mut rig = Rig::new(settings(), 4);
    // Windows last 2 s; their edges hang on the customer, so the second burst is tried all over one.
    request_with_total(&mut rig, 1.0, 1.0);
    rig.advance(6 * S);
    let mut total = 0.0;
    let mut granted = 0;
    let mut last = None;
    for _ in 0..100 {
        let (id, out) = rig.request(0, 0, 1, 1.0);
        for (key, amount) in counter_calls(&out) {
            total = if last.replace(key).is_some_and(|n| n != key) {
                amount
            } else {
                total + amount
            };
            let out = rig.handle(Event::CounterReplied {
                key,
                outcome: Outcome::Ok,
                total,
            });
            granted += sent_attempts(&out).len();
            sent_attempts(&out)
                .iter()
                .for_each(|(id, s)| drop(rig.end_attempt(*id, 0, *s, Outcome::Ok)));
            total += counter_calls(&out).iter().map(|a| a.1).sum::<f64>();
            counter_calls(&out).iter().for_each(|a| {
                drop(rig.handle(Event::CounterReplied {
                    key: a.0,
                    outcome: Outcome::Ok,
                    total,
                }))
            });
        }
        rig.handle(Event::ClientDisconnected(id));
        rig.advance(20 * MS);
    }
    // Twenty that were saved, and two seconds at ten a second.
    assert!((38..=41).contains(&granted), "{granted}");
}

#[test]
fn retry_after_is_when_the_quota_has_the_units() {
    let mut rig = Rig::new(settings(), 4);
    request_with_total(&mut rig, 1.0, 20.0);
    // Empty now: four units take 0.4 s.
    let (id, out) = rig.request(0, 0, 1, 4.0);
    let back = out.iter().find_map(|a| match a {
        Action::Reject {
            request: rejected,
            retry_after: back,
        } if *rejected == id => *back,
        _ => None,
    });
    let back = back.expect("it is rejected with a retry-after").as_micros();
    assert!((380 * MS..=400 * MS).contains(&back), "{back}");
}

#[test]
fn locally_admitted_units_are_posted_with_the_next_call() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    // Turned away: nothing was added, the local bucket lets it go on.
    let out = rig.handle(Event::CounterReplied {
        key: nonzero_adds(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sent_attempts(&out).len(), 1);
    let next = (0..50).find_map(|_| {
        nonzero_adds(&rig.request(0, 0, 1, 1.0).1)
            .first()
            .map(|a| a.1)
    });
    assert!(
        next.expect("a request is sampled") >= 3.0,
        "its own unit and what was admitted without the counter"
    );
}

#[test]
fn without_a_counter_the_local_share_decides() {
    let mut set = settings();
    set.use_counter = false;
    let mut rig = Rig::new(set, 8);
    let mut through = 0;
    for _ in 0..400 {
        rig.advance(100 * MS);
        let (id, out) = rig.request(0, 0, 1, 1.0);
        assert!(counter_calls(&out).is_empty());
        if let Some((_, endpoint)) = sent_attempts(&out).first() {
            through += 1;
            rig.end_attempt(id, 0, *endpoint, Outcome::Ok);
        }
    }
    // 40 s at a share of 5 units a second, and at most one burst's share on top.
    assert!((190..=212).contains(&through), "{through}");
}

#[test]
fn a_concurrency_slot_is_counted_and_freed() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 2, 1, 1.0);
    let (key, one) = nonzero_adds(&out)[0];
    assert_eq!(one, 1.0);
    let out = rig.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 1.0,
    });
    let endpoint = sent_attempts(&out)[0].1;
    let out = rig.end_attempt(id, 0, endpoint, Outcome::Ok);
    assert_eq!(nonzero_adds(&out), [(key, -1.0)]);
    rig.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 0.0,
    });
    let (id, out) = rig.request(0, 2, 1, 1.0);
    assert_eq!(nonzero_adds(&out), [(key, 1.0)]);
    let out = rig.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert!(is_rejected(&out, id), "two are out elsewhere");
    assert_eq!(
        nonzero_adds(&out),
        [(key, -1.0)],
        "and the slot is given back"
    );
}

#[test]
fn a_reply_without_a_call_changes_nothing() {
    let mut rig = Rig::new(settings(), 4);
    assert!(rig
        .handle(Event::CounterReplied {
            key: CounterKey(5),
            outcome: Outcome::Ok,
            total: 1.0
        })
        .is_empty());
}

#[test]
fn without_the_counter_a_gateway_that_carries_nearly_all_gets_the_larger_share() {
    let passed = |others: f64| {
        let mut rig = Rig::new(settings(), 8);
        // Four windows in which this gateway adds four units of a total that others raise.
        for _ in 0..4 {
            rig.advance(2 * S);
            let (id, out) = rig.request(0, 0, 1, 4.0);
            for (key, amount) in counter_calls(&out) {
                let total = if amount > 0.0 { 4.0 + others } else { 0.0 };
                let out = rig.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total,
                });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, s)| drop(rig.end_attempt(id, 0, *s, Outcome::Ok)));
            }
        }
        let mut passed = 0;
        for _ in 0..300 {
            rig.advance(100 * MS);
            let (id, mut out) = rig.request(0, 0, 1, 1.0);
            for (key, _) in counter_calls(&out.clone()) {
                out.extend(rig.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            passed += sent_attempts(&out).len();
            sent_attempts(&out)
                .iter()
                .for_each(|(_, s)| drop(rig.end_attempt(id, 0, *s, Outcome::Ok)));
        }
        passed
    };
    let (alone, beside) = (passed(0.0), passed(12.0));
    assert!(alone * 4 > beside * 5, "{alone} against {beside}");
}
