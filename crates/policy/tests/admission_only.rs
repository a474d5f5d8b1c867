//! Admission-only requests: decided as any other, but no endpoint is selected.
mod common;
use chalkdeck::api::*;
use common::*;

const OWN: usize = 4;

fn rig() -> Rig {
    let mut set = settings();
    set.use_counter = false;
    set.classes.push(Class {
        is_admission_only: true,
        ..class(Idempotency::NonIdempotent, KeyScope::All)
    });
    Rig::new(set, 0)
}

fn is_granted(out: &[Action], id: RequestId) -> bool {
    out.contains(&Action::Grant(id))
}

#[test]
fn admission_needs_no_endpoint_and_is_limited_by_the_quota() {
    let mut rig = rig();
    let mut granted_in_all = 0;
    for _ in 0..200 {
        let (id, out) = rig.request(OWN, 0, 5, 1.0);
        granted_in_all += usize::from(is_granted(&out, id));
        assert!(out.iter().all(|a| !matches!(a, Action::SendAttempt { .. })));
        assert!(
            is_granted(&out, id) || out.iter().any(|a| matches!(a, Action::Reject { .. })),
            "answered at once"
        );
    }
    // Twenty units at once, of which this gateway has half without the counter.
    assert!((4..=20).contains(&granted_in_all), "{granted_in_all}");
}

#[test]
fn a_concurrency_slot_is_held_until_the_caller_is_done() {
    let mut rig = rig();
    let (a, out) = rig.request(OWN, 2, 5, 1.0);
    assert!(is_granted(&out, a));
    assert!(
        rig.advance(20 * S)
            .iter()
            .all(|x| !matches!(x, Action::Reject { request: id, .. } if *id == a)),
        "no deadline"
    );
    let (b, out) = rig.request(OWN, 2, 5, 1.0);
    assert!(!is_granted(&out, b), "one slot of two is this gateway's");
    rig.handle(Event::ClientDisconnected(a));
    let (c, out) = rig.request(OWN, 2, 5, 1.0);
    assert!(is_granted(&out, c));
}

#[test]
fn settled_units_are_posted_with_the_next_call() {
    let mut set = settings();
    set.classes.push(Class {
        is_admission_only: true,
        ..class(Idempotency::NonIdempotent, KeyScope::All)
    });
    let mut rig = Rig::new(set, 0);
    let count = |out: &[Action]| {
        out.iter().find_map(|a| {
            if let Action::AddToCounter { key, amount, .. } = a {
                Some((*key, *amount))
            } else {
                None
            }
        })
    };
    let (a, out) = rig.request(OWN, 0, 5, 4.0);
    let (key, amount) = count(&out).expect("it is counted");
    assert_eq!(amount, 4.0);
    let out = rig.handle(Event::CounterReplied {
        key,
        outcome: Outcome::Ok,
        total: 4.0,
    });
    assert!(is_granted(&out, a));
    let status = rig
        .engine
        .quota_status(Timestamp::from_micros(rig.now), CustomerId(5), PlanId(0));
    assert_eq!((status.limit, status.remaining), (20.0, 16.0));
    rig.handle(Event::UnitsSettled {
        request: a,
        units: 1.0,
    });
    rig.handle(Event::ClientDisconnected(a));
    let status = rig
        .engine
        .quota_status(Timestamp::from_micros(rig.now), CustomerId(5), PlanId(0));
    assert_eq!(status.remaining, 19.0);
    let (_, out) = rig.request(OWN, 0, 5, 2.0);
    assert_eq!(
        count(&out).expect("it is counted").1,
        -1.0,
        "two more, and three that were given back"
    );
}
