//! Choice of a server, health, further attempts and what waits.
mod common;
use chalkdeck::api::*;
use common::*;

#[test]
fn work_spreads_by_what_is_out() {
    let mut rig = Rig::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| rig.sent(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of four gets one before any gets two");
}

#[test]
fn an_unreachable_server_is_ejected_and_tried_again_later() {
    let mut rig = Rig::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        rig.pass(10 * MS);
        let (id, server) = rig.sent(0);
        let bad = server == EndpointId(0);
        hits += u32::from(bad);
        let out = rig.ended(
            id,
            0,
            server,
            if bad {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        assert!(!bad || sends(&out).iter().all(|s| s.1 == EndpointId(1)));
        sends(&out)
            .iter()
            .for_each(|(id, s)| drop(rig.ended(*id, 1, *s, Outcome::Ok)));
    }
    assert!((1..=3).contains(&hits), "{hits}");
    rig.pass(9 * S);
    let tried = (0..10).any(|_| {
        let (id, server) = rig.sent(0);
        rig.ended(id, 0, server, Outcome::Ok);
        server == EndpointId(0)
    });
    assert!(tried);
}

#[test]
fn time_outs_everywhere_eject_nobody() {
    let mut rig = Rig::new(settings(), 4);
    let mut last = Vec::new();
    for i in 0..200 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            rig.pass(20 * MS);
            // Every server alike: one answer in three.
            let outcome = if i % 3 == 0 {
                Outcome::Ok
            } else {
                Outcome::Timeout
            };
            let out = rig.ended(id, 0, server, outcome);
            sends(&out)
                .iter()
                .for_each(|(id, s)| drop(rig.ended(*id, 1, *s, Outcome::Ok)));
            if i >= 150 {
                last.push(server);
            }
        }
    }
    last.sort();
    last.dedup();
    assert!(last.len() >= 3, "still in use: {last:?}");
}

#[test]
fn further_attempts_stay_within_the_retry_budget() {
    let mut rig = Rig::new(settings(), 4);
    let (mut tries, mut first) = (0, 0);
    for _ in 0..500 {
        rig.pass(50 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sends(&out), 0);
        first += out.len();
        while let Some((_, server)) = out.first().copied() {
            tries += 1;
            out = sends(&rig.ended(id, attempt, server, Outcome::Error));
            attempt += 1;
        }
    }
    let further = tries - first;
    assert!(
        further > 0 && further as f64 <= 20.0 + 0.2 * 500.0,
        "{further} of {first}"
    );
}

#[test]
fn with_every_server_full_the_request_waits_and_then_is_refused() {
    let mut rig = Rig::new(settings(), 1);
    rig.sent(0);
    rig.sent(0);
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(sends(&out).is_empty() && !refused(&out, id), "it waits");
    assert!(
        refused(&rig.pass(400 * MS), id),
        "not past what the aim allows"
    );
}

#[test]
fn a_held_request_goes_when_a_server_is_free_and_the_dearest_first() {
    let mut set = settings();
    set.classes[3].priority_weight = 5.0;
    let mut rig = Rig::new(set, 1);
    let (first, server) = rig.sent(0);
    rig.sent(0);
    let (cheap, _) = rig.request(0, 3, 1, 1.0);
    let (dear, _) = rig.request(3, 3, 1, 1.0);
    let out = rig.ended(first, 0, server, Outcome::Ok);
    assert_eq!(sends(&out), [(dear, server)]);
    assert_ne!(cheap, dear);
}

#[test]
fn a_lost_subscription_is_renewed() {
    let mut set = settings();
    set.requires_subscription = true;
    let mut rig = Rig::new(set, 1);
    assert!(rig.done.contains(&Action::Subscribe));
    rig.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Unavailable,
        entries: Vec::new(),
    });
    assert!(rig.pass(S).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 6);
        for i in 0..200 {
            rig.pass(7 * MS);
            let (id, out) = rig.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (name, _) in counts(&out) {
                let out = rig.tell(Event::CounterReplied {
                    key: name,
                    outcome: Outcome::Ok,
                    total: (i % 17) as f64,
                });
                sends(&out)
                    .iter()
                    .for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
            }
        }
        rig.done
    };
    assert_eq!(run(), run());
}

#[test]
fn senseless_settings_are_refused() {
    let bad = |change: fn(&mut Settings)| {
        let mut set = settings();
        change(&mut set);
        chalkdeck::DecisionEngine::new(1, set).is_err()
    };
    assert!(bad(|s| s.gateways = 0));
    assert!(bad(|s| s.gateway_index = 2));
    assert!(bad(|s| s.plans[0].rate = -1.0));
    assert!(bad(|s| s.plans[0].priority_multiplier = f64::NAN));
    assert!(bad(|s| s.plans[0].burst = 0.0));
    assert!(!bad(|_| ()));
}

#[test]
fn late_answers_lower_what_may_be_out_even_below_one_a_server() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            rig.ended_after(id, 0, server, Outcome::Ok, 600 * MS);
        }
        rig.pass(300 * MS);
    }
    let at_once = (0..8)
        .map(|_| sends(&rig.request(0, 3, 1, 1.0).1).len())
        .sum::<usize>();
    assert_eq!(at_once, 1, "one attempt out over all four");
}

#[test]
fn attempts_are_given_up_early_only_at_a_server_out_of_line() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..40 {
        rig.pass(100 * MS);
        let (id, server) = rig.sent(0);
        rig.ended(id, 0, server, Outcome::Ok);
    }
    let waits = |out: &[Action], now: u64| {
        let until = |a: &Action| {
            if let Action::SendAttempt {
                endpoint: s,
                deadline: until,
                ..
            } = a
            {
                Some((*s, until.as_micros() - now))
            } else {
                None
            }
        };
        out.iter().find_map(until).expect("sent on")
    };
    let (id, out) = rig.request(0, 3, 1, 1.0);
    let (silent, wait) = waits(&out, rig.now);
    assert_eq!(
        wait,
        3 * S,
        "at a server like the others it may take its time"
    );
    // The further attempt goes to the other server and stays out there.
    rig.ended_after(id, 0, silent, Outcome::Timeout, 3 * S);
    rig.pass(2 * S);
    let (server, wait) = waits(&rig.request(0, 3, 1, 1.0).1, rig.now);
    assert_eq!(server, silent, "it is tried again");
    assert!(wait < 800 * MS, "and not for the whole time: {wait}");
}

/// Sends one request that stays out while others are answered after `took`; returns it, its server and what that led to
/// within half a second.
fn one_astray(took: u64) -> (Rig, RequestId, EndpointId, Vec<Action>) {
    let mut rig = Rig::new(settings(), 1);
    let (id, server) = rig.sent(0);
    let begun = rig.now;
    let mut led = Vec::new();
    while rig.now < begun + 500 * MS {
        let (other, out) = rig.request(0, 3, 9, 1.0);
        led.extend(rig.pass(took));
        sends(&out)
            .iter()
            .for_each(|(_, s)| drop(rig.ended(other, 0, *s, Outcome::Ok)));
    }
    (rig, id, server, led)
}

#[test]
fn an_attempt_that_alone_is_late_is_called_off_and_goes_again() {
    let (mut rig, id, server, led) = one_astray(20 * MS);
    assert!(led.contains(&Action::CancelAttempt {
        request: id,
        attempt: 0
    }));
    let (outcome, report, took) = (
        Outcome::Cancelled,
        LoadReport::default(),
        TimeDelta::from_micros(300 * MS),
    );
    let end = AttemptResult {
        id,
        attempt: 0,
        endpoint: server,
        outcome,
        elapsed: took,
        request_finished: false,
        settled_units: None,
        load_report: report,
    };
    let out = rig.tell(Event::AttemptEnded(end));
    assert_eq!(
        sends(&out),
        [(id, server)],
        "the server is neither cut nor put aside"
    );
}

#[test]
fn where_all_answers_are_late_nothing_is_called_off() {
    let (_, _, _, led) = one_astray(300 * MS);
    assert!(
        !led.iter()
            .any(|a| matches!(a, Action::CancelAttempt { .. })),
        "{led:?}"
    );
}

#[test]
fn strays_at_a_server_that_answers_quickly_do_not_cut_its_bound() {
    let mut rig = Rig::new(settings(), 1);
    let out_at_once = |rig: &mut Rig| {
        let asked: Vec<_> = (0..8).map(|_| rig.request(2, 3, 9, 1.0)).collect();
        let sent: Vec<_> = asked.iter().flat_map(|(_, out)| sends(out)).collect();
        for (id, _) in asked
            .iter()
            .filter(|(id, _)| !sent.iter().any(|s| s.0 == *id))
        {
            rig.tell(Event::ClientDisconnected(*id));
        }
        for (id, server) in &sent {
            rig.ended(*id, 0, *server, Outcome::Ok);
        }
        rig.pass(S);
        sent.len()
    };
    let before = out_at_once(&mut rig);
    for _ in 0..10 {
        // Unsafe: it waits until its client goes.
        let (id, server) = rig.sent(2);
        for _ in 0..5 {
            let (other, _) = rig.request(0, 3, 9, 1.0);
            rig.pass(20 * MS);
            rig.ended(other, 0, server, Outcome::Ok);
        }
        rig.pass(1_200 * MS);
        rig.tell(Event::ClientDisconnected(id));
        rig.ended_after(id, 0, server, Outcome::Cancelled, 1_300 * MS);
    }
    assert!(out_at_once(&mut rig) >= before, "{before} before");
}

#[test]
fn a_connect_that_fails_alone_neither_ejects_nor_makes_a_server_cold() {
    let mut rig = Rig::new(settings(), 2);
    let turn = |rig: &mut Rig, breaks: bool| {
        rig.pass(10 * MS);
        let (id, server) = rig.sent(0);
        let broken = breaks && server == EndpointId(0);
        let out = rig.ended(
            id,
            0,
            server,
            if broken {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        sends(&out)
            .iter()
            .for_each(|(id, s)| drop(rig.ended(*id, 1, *s, Outcome::Ok)));
        (server == EndpointId(0), broken)
    };
    for _ in 0..200 {
        turn(&mut rig, false);
    }
    for _ in 0..5 {
        while !turn(&mut rig, true).1 {}
        let share = (0..300).filter(|_| turn(&mut rig, false).0).count();
        assert!(
            share > 100,
            "{share} of 300 went to the server one connection of which broke"
        );
    }
}
