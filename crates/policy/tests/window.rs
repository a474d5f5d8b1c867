//! The window count: its edges, refusals, late answers, lost adds, and the local bucket.
mod common;
use chalkdeck::api::*;
use common::*;

/// One request whose call is answered with this total.
fn with_total(rig: &mut Rig, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = rig.request(0, 0, 1, units);
    let add = adds(&out);
    assert_eq!(add.len(), 1, "one add before sending on");
    assert!(
        sends(&out).is_empty(),
        "nothing is sent on before the answer"
    );
    (
        id,
        rig.tell(Event::CounterReplied {
            key: add[0].0,
            outcome: Outcome::Ok,
            total,
        }),
    )
}

#[test]
fn one_add_of_the_units_then_the_send() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [3.0]);
    let out = rig.tell(Event::CounterReplied {
        key: adds(&out)[0].0,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert_eq!(sends(&out)[0].0, id);
}

#[test]
fn the_allowance_itself_still_goes_on() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = with_total(&mut rig, 2.0, 20.0);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn over_the_allowance_is_refused_added_back_and_told_when_to_come() {
    let mut rig = Rig::new(settings(), 4);
    // Far beyond what any store can hold: twice the burst and more.
    let (id, out) = with_total(&mut rig, 4.0, 43.0);
    let Some(Action::Reject {
        retry_after: Some(wait),
        ..
    }) = out
        .iter()
        .find(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
    else {
        panic!("refused with advice: {out:?}");
    };
    assert!(wait.as_micros() > 0 && wait.as_micros() <= 2 * S);
    assert!(sends(&out).is_empty());
    // Nobody could use what the add takes up: it goes back with the next call, no call is spent on it.
    assert!(adds(&out).is_empty());
}

#[test]
fn a_known_full_window_is_refused_without_a_call() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 2.0, 43.0);
    let (id, out) = rig.request(0, 0, 1, 2.0);
    assert!(refused(&out, id) && adds(&out).is_empty());
}

#[test]
fn a_new_window_asks_again_under_a_new_name() {
    let mut rig = Rig::new(settings(), 4);
    let first = adds(&rig.request(0, 0, 1, 2.0).1)[0].0;
    rig.tell(Event::CounterReplied {
        key: first,
        outcome: Outcome::Ok,
        total: 43.0,
    });
    rig.pass(2 * S);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    assert_eq!(adds(&out).len(), 1);
    assert_ne!(adds(&out)[0].0, first);
}

#[test]
fn gateways_agree_on_the_name() {
    let mut other = settings();
    other.gateway_index = 1;
    let (mut a, mut b) = (Rig::new(settings(), 4), Rig::new(other, 2));
    assert_eq!(
        adds(&a.request(0, 0, 1, 2.0).1)[0].0,
        adds(&b.request(0, 0, 1, 2.0).1)[0].0
    );
}

#[test]
fn an_emptied_counter_gets_our_spend_back() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 4.0, 4.0);
    with_total(&mut rig, 4.0, 8.0);
    // The memory is lost: only this add is there.
    let (_, out) = with_total(&mut rig, 2.0, 2.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).sum::<f64>(), 8.0);
}

#[test]
fn a_refused_add_goes_back_at_once_where_others_could_use_the_room() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 1.0, 20.0);
    rig.pass(2 * S); // Empty then, full now.
    let (id, out) = rig.request(0, 0, 1, 4.0);
    let out = rig.tell(Event::CounterReplied {
        key: adds(&out)[0].0,
        outcome: Outcome::Ok,
        total: 22.0,
    });
    assert!(refused(&out, id), "{out:?}");
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [-4.0]);
}

#[test]
fn a_burst_at_a_windows_end_is_not_granted_again_at_the_next_ones_start() {
    let mut rig = Rig::new(settings(), 4);
    // Windows last 2 s; their edges hang on the customer, so the second burst is tried all over one.
    with_total(&mut rig, 1.0, 1.0);
    rig.pass(6 * S);
    let mut total = 0.0;
    let mut granted = 0;
    let mut last = None;
    for _ in 0..100 {
        let (id, out) = rig.request(0, 0, 1, 1.0);
        for (name, amount) in counts(&out) {
            total = if last.replace(name).is_some_and(|n| n != name) {
                amount
            } else {
                total + amount
            };
            let out = rig.tell(Event::CounterReplied {
                key: name,
                outcome: Outcome::Ok,
                total,
            });
            granted += sends(&out).len();
            sends(&out)
                .iter()
                .for_each(|(id, s)| drop(rig.ended(*id, 0, *s, Outcome::Ok)));
            total += counts(&out).iter().map(|a| a.1).sum::<f64>();
            counts(&out).iter().for_each(|a| {
                drop(rig.tell(Event::CounterReplied {
                    key: a.0,
                    outcome: Outcome::Ok,
                    total,
                }))
            });
        }
        rig.tell(Event::ClientDisconnected(id));
        rig.pass(20 * MS);
    }
    // Twenty that were saved, and two seconds at ten a second.
    assert!((38..=41).contains(&granted), "{granted}");
}

#[test]
fn a_refusal_names_the_time_when_the_store_holds_the_units() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 1.0, 20.0);
    // Empty now: four units take 0.4 s.
    let (id, out) = rig.request(0, 0, 1, 4.0);
    let back = out.iter().find_map(|a| match a {
        Action::Reject {
            request: refused,
            retry_after: back,
        } if *refused == id => *back,
        _ => None,
    });
    let back = back.expect("it is refused with a time").as_micros();
    assert!((380 * MS..=400 * MS).contains(&back), "{back}");
}

#[test]
fn local_spend_goes_out_with_the_next_call() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    // Turned away: nothing was added, the local bucket lets it go on.
    let out = rig.tell(Event::CounterReplied {
        key: adds(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sends(&out).len(), 1);
    let next = (0..50).find_map(|_| adds(&rig.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(
        next.expect("somebody asks") >= 3.0,
        "its own unit and what went on unheard"
    );
}

#[test]
fn without_a_counter_the_share_decides() {
    let mut set = settings();
    set.use_counter = false;
    let mut rig = Rig::new(set, 8);
    let mut through = 0;
    for _ in 0..400 {
        rig.pass(100 * MS);
        let (id, out) = rig.request(0, 0, 1, 1.0);
        assert!(counts(&out).is_empty());
        if let Some((_, server)) = sends(&out).first() {
            through += 1;
            rig.ended(id, 0, *server, Outcome::Ok);
        }
    }
    // 40 s at a share of 5 units a second, and at most one burst's share on top.
    assert!((190..=212).contains(&through), "{through}");
}

#[test]
fn the_cap_on_attempts_out_is_asked_and_let_go() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 2, 1, 1.0);
    let (name, one) = adds(&out)[0];
    assert_eq!(one, 1.0);
    let out = rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: 1.0,
    });
    let server = sends(&out)[0].1;
    let out = rig.ended(id, 0, server, Outcome::Ok);
    assert_eq!(adds(&out), [(name, -1.0)]);
    rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: 0.0,
    });
    let (id, out) = rig.request(0, 2, 1, 1.0);
    assert_eq!(adds(&out), [(name, 1.0)]);
    let out = rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: 3.0,
    });
    assert!(refused(&out, id), "two are out elsewhere");
    assert_eq!(adds(&out), [(name, -1.0)], "and the place goes back");
}

#[test]
fn an_answer_to_a_call_never_made_changes_nothing() {
    let mut rig = Rig::new(settings(), 4);
    assert!(rig
        .tell(Event::CounterReplied {
            key: CounterKey(5),
            outcome: Outcome::Ok,
            total: 1.0
        })
        .is_empty());
}

#[test]
fn unheard_a_gateway_that_carries_nearly_all_gets_the_larger_share() {
    let passed = |others: f64| {
        let mut rig = Rig::new(settings(), 8);
        // Four windows in which this gateway adds four units of a total that others raise.
        for _ in 0..4 {
            rig.pass(2 * S);
            let (id, out) = rig.request(0, 0, 1, 4.0);
            for (name, amount) in counts(&out) {
                let total = if amount > 0.0 { 4.0 + others } else { 0.0 };
                let out = rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Ok,
                    total,
                });
                sends(&out)
                    .iter()
                    .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
            }
        }
        let mut passed = 0;
        for _ in 0..300 {
            rig.pass(100 * MS);
            let (id, mut out) = rig.request(0, 0, 1, 1.0);
            for (name, _) in counts(&out.clone()) {
                out.extend(rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Rejected,
                    total: 0.0,
                }));
            }
            passed += sends(&out).len();
            sends(&out)
                .iter()
                .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
        }
        passed
    };
    let (alone, beside) = (passed(0.0), passed(12.0));
    assert!(alone * 4 > beside * 5, "{alone} against {beside}");
}
