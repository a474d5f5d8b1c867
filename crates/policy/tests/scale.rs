//! What holds where hundreds of gateways see a request or two a second each.
mod common;
use chalkdeck::api::*;
use common::*;
use std::collections::BTreeMap;

fn one_of(gateways: u32, gateway_index: u32, servers: u32) -> Rig {
    Rig::seeded(
        u64::from(gateway_index),
        Settings {
            gateways,
            gateway_index,
            ..settings()
        },
        servers,
    )
}

/// A request of a customer that comes through many gateways.
fn wide(rig: &mut Rig, resent: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next);
    rig.next += 1;
    let deadline = Timestamp::from_micros(rig.now + 3 * S);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(rig.next));
    let arrival = IncomingRequest {
        id,
        class,
        plan,
        customer,
        customer_gateways: 200,
        deadline,
        units: 2.0,
        is_retry: resent,
    };
    (id, rig.tell(Event::RequestArrived(arrival)))
}

#[test]
fn each_gateway_keeps_to_its_own_part_and_the_parts_cover_the_fleet_evenly() {
    let mut gateways_at = BTreeMap::new();
    for me in 0..100 {
        let mut rig = one_of(100, me, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            rig.pass(500 * MS);
            let (id, server) = rig.sent(0);
            rig.ended(id, 0, server, Outcome::Ok);
            *used.entry(server).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {me} used {} of 50", used.len());
        used.into_keys()
            .for_each(|server| *gateways_at.entry(server).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "no server is left out");
    let (least, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(most <= least.map(|l| l * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn late_answers_make_a_small_gateway_shed_and_quick_ones_do_not() {
    let refusals = |took: u64| {
        let mut rig = one_of(200, 3, 50);
        let mut refusals = 0;
        for _ in 0..200 {
            rig.pass(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            refusals += u32::from(refused(&out, id));
            for (_, server) in sends(&out) {
                rig.pass(took);
                rig.ended_after(id, 0, server, Outcome::Ok, took);
            }
        }
        refusals
    };
    assert_eq!(refusals(50 * MS), 0);
    assert!(
        refusals(700 * MS) > 100,
        "one at a time, never two out, and still it sheds"
    );
}

#[test]
fn while_calls_fail_repeats_are_not_guessed_but_first_tries_are() {
    let mut rig = one_of(200, 3, 50);
    let (mut went, mut calls) = ([0, 0], 0);
    for i in 0..1_200 {
        rig.pass(300 * MS);
        let resent = i % 2 == 1;
        let (id, mut out) = wide(&mut rig, resent);
        // Every third call is turned away, so the breaker stays closed.
        let mut failed = false;
        for (name, _) in counts(&out) {
            calls += 1;
            failed = calls % 3 == 0;
            let outcome = if failed {
                Outcome::Rejected
            } else {
                Outcome::Ok
            };
            out.extend(rig.tell(Event::CounterReplied {
                key: name,
                outcome,
                total: 2.0,
            }));
        }
        let guessed = failed && !sends(&out).is_empty();
        went[usize::from(resent)] += u32::from(guessed);
        sends(&out)
            .iter()
            .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
    }
    assert!(went[0] > 10, "first tries: {went:?}");
    assert_eq!(went[1], 0, "repeats");
}

#[test]
fn a_share_of_less_than_one_request_still_lets_one_go() {
    let mut rig = one_of(200, 3, 50);
    rig.pass(300 * MS);
    let asked = (0..100).find_map(|_| {
        let (id, out) = wide(&mut rig, false);
        sends(&out)
            .iter()
            .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
        (!counts(&out).is_empty()).then_some((id, out))
    });
    let (id, out) = asked.expect("one of a hundred asks");
    let out = rig.tell(Event::CounterReplied {
        key: counts(&out)[0].0,
        outcome: Outcome::Rejected,
        total: 0.0,
    });
    assert_eq!(sends(&out).first().map(|s| s.0), Some(id));
}

/// A request of one customer of that plan, which comes through all gateways, while the counter takes no call.
fn unheard(rig: &mut Rig, plan: usize) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next);
    rig.next += 1;
    let deadline = Timestamp::from_micros(rig.now + 3 * S);
    let (plan, customer) = (PlanId(plan), CustomerId(9));
    let a = IncomingRequest {
        id,
        plan,
        customer,
        customer_gateways: 200,
        deadline,
        units: 1.0,
        ..IncomingRequest::default()
    };
    let mut out = rig.tell(Event::RequestArrived(a));
    for (name, _) in counts(&out) {
        out.extend(rig.tell(Event::CounterReplied {
            key: name,
            outcome: Outcome::Rejected,
            total: 0.0,
        }));
    }
    (id, out)
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_keep_one_ceiling_by_their_sum() {
    // 20 units a second up to 40, over 200 gateways that each have a request every second.
    let mut rigs: Vec<Rig> = (0..200).map(|me| one_of(200, me, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for rig in &mut rigs {
            rig.pass(S);
            let (id, out) = unheard(rig, 1);
            level -= sends(&out).len() as f64;
            lowest = lowest.min(level);
            sends(&out)
                .iter()
                .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}

#[test]
fn a_gateway_that_sees_a_server_seldom_puts_it_aside_once_it_waited_there_in_vain() {
    let mut rig = one_of(200, 3, 50);
    let (mut slow, mut hits) = (None, 0);
    for _ in 0..60 {
        rig.pass(500 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let Some(&(_, server)) = sends(&out).first() else {
            continue;
        };
        let jammed = *slow.get_or_insert(server) == server;
        hits += u32::from(jammed);
        if jammed {
            rig.pass(3 * S); // Called off at the deadline.
        }
        let (outcome, took) = if jammed {
            (Outcome::Cancelled, 3 * S)
        } else {
            (Outcome::Ok, 50 * MS)
        };
        rig.ended_after(id, 0, server, outcome, took);
    }
    assert!(
        hits <= 6,
        "in thirty seconds of eight servers in turn, {hits} went to the jammed one"
    );
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_share_two_places_by_their_sum() {
    // One customer with two places asks at each of 200 gateways twice a second; answers take 100 ms.
    let mut rigs: Vec<Rig> = (0..200).map(|me| one_of(200, me, 50)).collect();
    let mut later = 0;
    for round in 0..120 {
        for rig in &mut rigs {
            rig.pass(400 * MS);
            let out = unheard(rig, 2).1;
            rig.pass(100 * MS);
            later += if round >= 38 { sends(&out).len() } else { 0 };
            for (id, server) in sends(&out) {
                rig.ended_after(id, 0, server, Outcome::Ok, 100 * MS);
            }
        }
    }
    let out_on_average = later as f64 * 0.1 / 41.0;
    assert!(
        (0.5..=2.0).contains(&out_on_average),
        "{out_on_average} out in two places"
    );
}

#[test]
fn in_a_jam_a_small_gateway_has_less_out_than_in_calm() {
    let mut rig = one_of(200, 3, 50);
    let mut waiting: Vec<(u64, RequestId, EndpointId)> = Vec::new();
    let mut sent = 0;
    for step in 0..2_000u64 {
        let mut out = rig.pass(50 * MS);
        let jam = step >= 600;
        let takes = if jam { 1_500 * MS } else { 100 * MS };
        for (until, id, server) in std::mem::take(&mut waiting) {
            if until > rig.now {
                waiting.push((until, id, server));
                continue;
            }
            out.extend(rig.ended_after(id, 0, server, Outcome::Ok, takes));
        }
        // In the jam clients repeat what was refused.
        if jam || step % 10 == 0 {
            out.extend(rig.request(0, 3, 1, 1.0).1);
        }
        for (id, server) in sends(&out) {
            waiting.push((rig.now + takes, id, server));
            sent += u32::from(step >= 1_000);
        }
    }
    // What passes by chance alone has 1.2 out on average, 39 sends; calm and the jam's first moments had a third.
    assert!(
        (1..=20).contains(&sent),
        "{sent} sent into the jam in fifty seconds"
    );
}

#[test]
fn what_is_shed_is_told_to_come_back_soon_and_not_all_at_once_where_settings_allow_it() {
    for retry_after in [true, false] {
        let set = Settings {
            gateways: 200,
            gateway_index: 3,
            send_retry_after: retry_after,
            ..settings()
        };
        let (mut rig, mut hints) = (Rig::seeded(3, set, 50), Vec::new());
        for _ in 0..300 {
            rig.pass(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            let hint = |a: &Action| {
                if let Action::Reject {
                    retry_after: hint, ..
                } = a
                {
                    Some(*hint)
                } else {
                    None
                }
            };
            hints.extend(out.iter().find_map(hint));
            for (_, server) in sends(&out) {
                rig.ended_after(id, 0, server, Outcome::Ok, 700 * MS);
            }
        }
        assert!(
            hints.len() > 50,
            "it sheds, and answers in the same event: {}",
            hints.len()
        );
        assert!(hints.iter().all(|h| h.is_some() == retry_after));
        let mut waits: Vec<TimeDelta> = hints.into_iter().flatten().collect();
        assert!(
            waits
                .iter()
                .all(|w| *w > TimeDelta::from_micros(0) && *w < TimeDelta::from_micros(240 * MS)),
            "well within the aim"
        );
        waits.dedup();
        assert!(!retry_after || waits.len() > 50, "spread by chance");
    }
}
