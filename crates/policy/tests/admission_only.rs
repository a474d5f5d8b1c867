//! Admission-only requests: decided like other requests, but no endpoint is selected.
mod common;
use chalkdeck::api::*;
use common::*;

const ADMISSION_ONLY_CLASS: usize = 4;

fn harness_without_counter() -> Harness {
    let mut settings = settings();
    settings.use_counter = false;
    settings.classes.push(Class {
        is_admission_only: true,
        ..class(Idempotency::NonIdempotent, KeyScope::All)
    });
    Harness::new(settings, 0)
}

fn is_granted(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Grant(id))
}

#[test]
fn admission_selects_no_endpoint_and_is_limited_by_the_quota() {
    let mut harness = harness_without_counter();
    let mut granted = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(ADMISSION_ONLY_CLASS, 0, 5, 1.0);
        granted += usize::from(is_granted(&actions, id));
        assert!(actions
            .iter()
            .all(|action| !matches!(action, Action::SendAttempt { .. })));
        assert!(
            is_granted(&actions, id)
                || actions
                    .iter()
                    .any(|action| matches!(action, Action::Reject { .. })),
            "answered at once"
        );
    }
    // The burst is twenty units, of which this gateway has half without the counter.
    assert!((4..=20).contains(&granted), "{granted}");
}

#[test]
fn a_concurrency_slot_is_held_until_the_caller_is_done() {
    let mut harness = harness_without_counter();
    let (first, actions) = harness.request(ADMISSION_ONLY_CLASS, 2, 5, 1.0);
    assert!(is_granted(&actions, first));
    assert!(
        harness
            .advance(20 * SECOND)
            .iter()
            .all(|action| !matches!(action, Action::Reject { request: id, .. } if *id == first)),
        "no deadline"
    );
    let (second, actions) = harness.request(ADMISSION_ONLY_CLASS, 2, 5, 1.0);
    assert!(
        !is_granted(&actions, second),
        "this gateway's share is one of two slots"
    );
    harness.handle(Event::ClientDisconnected(first));
    let (third, actions) = harness.request(ADMISSION_ONLY_CLASS, 2, 5, 1.0);
    assert!(is_granted(&actions, third));
}

#[test]
fn settled_units_are_posted_with_the_next_call() {
    let mut settings = settings();
    settings.classes.push(Class {
        is_admission_only: true,
        ..class(Idempotency::NonIdempotent, KeyScope::All)
    });
    let mut harness = Harness::new(settings, 0);
    let first_counter_call = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::AddToCounter { key, amount, .. } = a {
                Some((*key, *amount))
            } else {
                None
            }
        })
    };
    let (first, actions) = harness.request(ADMISSION_ONLY_CLASS, 0, 5, 4.0);
    let (key, amount) = first_counter_call(&actions).expect("it is counted");
    assert_eq!(amount, 4.0);
    let actions = harness.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 4.0,
    });
    assert!(is_granted(&actions, first));
    let status = harness.engine.quota_status(
        Timestamp::from_micros(harness.now),
        CustomerId(5),
        PlanId(0),
    );
    assert_eq!((status.limit, status.remaining), (20.0, 16.0));
    harness.handle(Event::UnitsSettled {
        request: first,
        units: 1.0,
    });
    harness.handle(Event::ClientDisconnected(first));
    let status = harness.engine.quota_status(
        Timestamp::from_micros(harness.now),
        CustomerId(5),
        PlanId(0),
    );
    assert_eq!(status.remaining, 19.0);
    let (_, actions) = harness.request(ADMISSION_ONLY_CLASS, 0, 5, 2.0);
    assert_eq!(
        first_counter_call(&actions).expect("it is counted").1,
        -1.0,
        "adds two units and refunds three"
    );
}
