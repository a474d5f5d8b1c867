//! Which requests ask the counter where many gateways share it, and what becomes of the others.
mod common;
use chalkdeck::api::*;
use common::*;

/// One of three hundred gateways; classes 0 and 1 are safe and worth one and four.
fn one_of_many(seed: u64) -> Rig {
    let mut set = Settings {
        gateways: 300,
        gateway_index: 3,
        ..settings()
    };
    set.classes[1] = Class {
        priority_weight: 4.0,
        ..set.classes[0].clone()
    };
    Rig::seeded(seed, set, 50)
}

/// A request of a customer; what it led to, once it was served where it was sent on.
fn told(rig: &mut Rig, class: usize, customer: u64, units: f64) -> Vec<Action> {
    let (id, out) = rig.request(class, 0, customer, units);
    sends(&out)
        .iter()
        .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
    out
}

/// A request that asks: its id, the count's name and the amount.
fn asking(rig: &mut Rig, customer: u64, units: f64) -> (RequestId, CounterKey, f64) {
    let asked = (0..2_000).find_map(|_| {
        let (id, out) = rig.request(0, 0, customer, units);
        sends(&out)
            .iter()
            .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
        adds(&out)
            .first()
            .map(|(name, amount)| (id, *name, *amount))
    });
    asked.expect("one of them asks")
}

/// Answers with a line at the counter until few ask.
fn drown(rig: &mut Rig) {
    for customer in 10_000..10_400 {
        let out = told(rig, 0, customer, 1.0);
        rig.pass(if customer < 10_100 { 2 * MS } else { 40 * MS });
        for (name, amount) in counts(&out) {
            for (id, server) in sends(&rig.tell(Event::CounterReplied {
                key: name,
                outcome: Outcome::Ok,
                total: amount,
            })) {
                rig.ended(id, 0, server, Outcome::Ok);
            }
        }
    }
}

#[test]
fn one_in_ten_of_three_hundred_gateways_asks_with_its_first_request_and_all_of_a_few_do() {
    let first = |gateways: u32| {
        let asks = |seed: &u64| {
            let set = Settings {
                gateways,
                ..settings()
            };
            !counts(&Rig::seeded(*seed, set, 50).request(0, 0, 1, 1.0).1).is_empty()
        };
        (0..300).filter(asks).count()
    };
    assert!((10..60).contains(&first(300)), "{}", first(300));
    assert_eq!(first(30), 300);
}

#[test]
fn dear_requests_ask_before_cheap_ones() {
    let mut rig = one_of_many(7);
    drown(&mut rig);
    let mut asked = [0, 0];
    for i in 0..600 {
        let class = usize::from(i % 3 == 0);
        for (name, _) in counts(&told(&mut rig, class, 20_000 + i, 1.0)) {
            asked[class] += 1;
            rig.pass(40 * MS);
            for (id, server) in sends(&rig.tell(Event::CounterReplied {
                key: name,
                outcome: Outcome::Ok,
                total: 1.0,
            })) {
                rig.ended(id, 0, server, Outcome::Ok);
            }
        }
    }
    // 400 cheap ones, 200 that are worth four times as much.
    assert!(asked[1] > 3 * asked[0] && asked[0] > 0, "{asked:?}");
}

#[test]
fn those_that_ask_stand_in_the_count_for_those_that_do_not() {
    let (mut units, mut counted) = (0.0, 0.0);
    for seed in 0..40 {
        let mut rig = one_of_many(seed);
        drown(&mut rig);
        for customer in 1..=400 {
            units += 1.0;
            let out = told(&mut rig, 0, customer, 1.0);
            // Each answer comes as late as leaves the share as it is.
            rig.pass(11_600);
            for (name, amount) in counts(&out) {
                counted += amount;
                assert!(amount <= 20.0, "never more than a burst");
                for (id, server) in sends(&rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Ok,
                    total: amount,
                })) {
                    rig.ended(id, 0, server, Outcome::Ok);
                }
            }
        }
    }
    let part: f64 = counted / units;
    assert!(
        (0.8..1.2).contains(&part),
        "{part} of what was used is on the counts"
    );
}

#[test]
fn a_request_that_does_not_ask_goes_by_what_was_last_heard() {
    let mut rig = one_of_many(7);
    let went = |rig: &mut Rig| {
        let unasked =
            (0..200).find_map(|_| Some(told(rig, 0, 1, 0.5)).filter(|out| counts(out).is_empty()));
        !sends(&unasked.expect("few ask")).is_empty()
    };
    assert!(went(&mut rig), "nothing was heard of the customer yet");
    let (id, name, amount) = asking(&mut rig, 1, 0.5);
    let out = rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: amount + 20.0,
    });
    assert!(refused(&out, id));
    rig.pass(2 * S + 500 * MS); // Another window, of which nothing is known.
    assert!(!went(&mut rig), "over its quota a moment ago");
    rig.pass(15 * S);
    assert!(went(&mut rig), "too long ago to count");
}

#[test]
fn a_request_is_decided_by_its_own_units_and_takes_back_all_that_it_added() {
    let mut rig = one_of_many(7);
    drown(&mut rig);
    let (id, name, amount) = asking(&mut rig, 1, 1.0);
    assert!(amount > 4.0, "it stands for others: {amount}");
    // Nineteen units of others and its own one fit; those that it stands for would not.
    let out = rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: amount + 19.0,
    });
    assert_eq!(sends(&out).first().map(|s| s.0), Some(id), "{out:?}");

    let (id, name, amount) = asking(&mut rig, 2, 4.0);
    let out = rig.tell(Event::CounterReplied {
        key: name,
        outcome: Outcome::Ok,
        total: amount + 17.0,
    });
    assert!(refused(&out, id), "{out:?}");
    assert_eq!(
        adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(),
        [-amount]
    );
}

#[test]
fn what_waits_to_be_taken_back_is_reckoned_once() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = rig.request(0, 0, 1, 4.0);
    let out = rig.tell(Event::CounterReplied {
        key: adds(&out)[0].0,
        outcome: Outcome::Ok,
        total: 23.5,
    });
    assert!(
        adds(&out).is_empty(),
        "half a unit of room is left: it goes back with the next call"
    );
    let (id, out) = rig.request(0, 0, 1, 4.0);
    assert!(refused(&out, id) && adds(&out).is_empty(), "known full");
}

#[test]
fn a_late_answer_now_and_then_sheds_nothing() {
    let shed = |every: u64| {
        let mut rig = one_of_many(7);
        let mut shed = 0;
        for i in 0..600 {
            rig.pass(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            shed += u32::from(refused(&out, id));
            for (_, server) in sends(&out) {
                let took = if i % every == 0 { 700 * MS } else { 50 * MS };
                rig.pass(took);
                rig.ended_after(id, 0, server, Outcome::Ok, took);
            }
        }
        shed
    };
    assert!(shed(20) <= 40, "{}", shed(20));
    assert!(shed(2) > 150, "{}", shed(2));
}

#[test]
fn shedding_ends_with_its_cause_where_few_answers_come() {
    let mut shed = 0;
    for me in 0..20 {
        let mut rig = one_of_many(me);
        for i in 0..160 {
            rig.pass(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            // Four in ten answers are late at first; soon after the last of them fewer are shed.
            let took = if i < 100 && i % 5 < 2 {
                700 * MS
            } else {
                50 * MS
            };
            shed += u32::from(i >= 110 && refused(&out, id));
            for (_, server) in sends(&out) {
                rig.pass(took);
                rig.ended_after(id, 0, server, Outcome::Ok, took);
            }
        }
    }
    assert!(shed <= 730, "{shed} of 1,000");
}
