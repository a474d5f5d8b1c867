//! Selection of an endpoint, outlier detection, retries, stragglers and pending requests.
mod common;
use chalkdeck::api::*;
use common::*;

#[test]
fn attempts_spread_by_what_is_in_flight() {
    let mut rig = Rig::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| rig.send_request(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of four gets one before any gets two");
}

#[test]
fn an_unreachable_endpoint_is_ejected_and_tried_again_later() {
    let mut rig = Rig::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        rig.advance(10 * MS);
        let (id, endpoint) = rig.send_request(0);
        let bad = endpoint == EndpointId(0);
        hits += u32::from(bad);
        let out = rig.end_attempt(
            id,
            0,
            endpoint,
            if bad {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        assert!(!bad || sent_attempts(&out).iter().all(|s| s.1 == EndpointId(1)));
        sent_attempts(&out)
            .iter()
            .for_each(|(id, s)| drop(rig.end_attempt(*id, 1, *s, Outcome::Ok)));
    }
    assert!((1..=3).contains(&hits), "{hits}");
    rig.advance(9 * S);
    let tried = (0..10).any(|_| {
        let (id, endpoint) = rig.send_request(0);
        rig.end_attempt(id, 0, endpoint, Outcome::Ok);
        endpoint == EndpointId(0)
    });
    assert!(tried);
}

#[test]
fn time_outs_at_all_endpoints_eject_none() {
    let mut rig = Rig::new(settings(), 4);
    let mut last = Vec::new();
    for i in 0..200 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            rig.advance(20 * MS);
            // Every endpoint alike: one answer in three.
            let outcome = if i % 3 == 0 {
                Outcome::Ok
            } else {
                Outcome::Timeout
            };
            let out = rig.end_attempt(id, 0, endpoint, outcome);
            sent_attempts(&out)
                .iter()
                .for_each(|(id, s)| drop(rig.end_attempt(*id, 1, *s, Outcome::Ok)));
            if i >= 150 {
                last.push(endpoint);
            }
        }
    }
    last.sort();
    last.dedup();
    assert!(last.len() >= 3, "still in use: {last:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut rig = Rig::new(settings(), 4);
    let (mut tries, mut first) = (0, 0);
    for _ in 0..500 {
        rig.advance(50 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sent_attempts(&out), 0);
        first += out.len();
        while let Some((_, endpoint)) = out.first().copied() {
            tries += 1;
            out = sent_attempts(&rig.end_attempt(id, attempt, endpoint, Outcome::Error));
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
fn with_every_endpoint_full_a_request_waits_and_is_then_rejected() {
    let mut rig = Rig::new(settings(), 1);
    rig.send_request(0);
    rig.send_request(0);
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(
        sent_attempts(&out).is_empty() && !is_rejected(&out, id),
        "it waits"
    );
    assert!(
        is_rejected(&rig.advance(400 * MS), id),
        "not past what the latency objective allows"
    );
}

#[test]
fn pending_requests_are_sent_when_an_endpoint_is_free_by_priority() {
    let mut set = settings();
    set.classes[3].priority_weight = 5.0;
    let mut rig = Rig::new(set, 1);
    let (first, endpoint) = rig.send_request(0);
    rig.send_request(0);
    let (low_priority, _) = rig.request(0, 3, 1, 1.0);
    let (high_priority, _) = rig.request(3, 3, 1, 1.0);
    let out = rig.end_attempt(first, 0, endpoint, Outcome::Ok);
    assert_eq!(sent_attempts(&out), [(high_priority, endpoint)]);
    assert_ne!(low_priority, high_priority);
}

#[test]
fn a_lost_subscription_is_renewed() {
    let mut set = settings();
    set.requires_subscription = true;
    let mut rig = Rig::new(set, 1);
    assert!(rig.done.contains(&Action::Subscribe));
    rig.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Unavailable,
        entries: Vec::new(),
    });
    assert!(rig.advance(S).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 6);
        for i in 0..200 {
            rig.advance(7 * MS);
            let (id, out) = rig.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (key, _) in counter_calls(&out) {
                let out = rig.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: (i % 17) as f64,
                });
                sent_attempts(&out)
                    .iter()
                    .for_each(|(_, s)| drop(rig.end_attempt(id, 0, *s, Outcome::Ok)));
            }
        }
        rig.done
    };
    assert_eq!(run(), run());
}

#[test]
fn unsound_settings_are_rejected() {
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
fn late_answers_lower_the_limits_even_below_one_attempt_an_endpoint() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&out) {
            rig.end_attempt_after(id, 0, endpoint, Outcome::Ok, 600 * MS);
        }
        rig.advance(300 * MS);
    }
    let at_once = (0..8)
        .map(|_| sent_attempts(&rig.request(0, 3, 1, 1.0).1).len())
        .sum::<usize>();
    assert_eq!(at_once, 1, "one attempt in flight over all four");
}

#[test]
fn attempts_are_given_up_early_only_at_an_outlier() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..40 {
        rig.advance(100 * MS);
        let (id, endpoint) = rig.send_request(0);
        rig.end_attempt(id, 0, endpoint, Outcome::Ok);
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
        "at an endpoint like the others it may take its time"
    );
    // The further attempt goes to the other endpoint and stays in flight there.
    rig.end_attempt_after(id, 0, silent, Outcome::Timeout, 3 * S);
    rig.advance(2 * S);
    let (endpoint, wait) = waits(&rig.request(0, 3, 1, 1.0).1, rig.now);
    assert_eq!(endpoint, silent, "it is tried again");
    assert!(wait < 800 * MS, "and not for the whole time: {wait}");
}

/// Sends one request that stays in flight while others are answered after `elapsed`; returns it, its endpoint and the actions
/// within half a second.
fn one_straggler(elapsed: u64) -> (Rig, RequestId, EndpointId, Vec<Action>) {
    let mut rig = Rig::new(settings(), 1);
    let (id, endpoint) = rig.send_request(0);
    let begun = rig.now;
    let mut actions = Vec::new();
    while rig.now < begun + 500 * MS {
        let (other, out) = rig.request(0, 3, 9, 1.0);
        actions.extend(rig.advance(elapsed));
        sent_attempts(&out)
            .iter()
            .for_each(|(_, s)| drop(rig.end_attempt(other, 0, *s, Outcome::Ok)));
    }
    (rig, id, endpoint, actions)
}

#[test]
fn a_straggler_is_cancelled_and_retried() {
    let (mut rig, id, endpoint, actions) = one_straggler(20 * MS);
    assert!(actions.contains(&Action::CancelAttempt {
        request: id,
        attempt: 0
    }));
    let (outcome, report, elapsed) = (
        Outcome::Cancelled,
        LoadReport::default(),
        TimeDelta::from_micros(300 * MS),
    );
    let result = AttemptResult {
        request: id,
        attempt: 0,
        endpoint,
        outcome,
        elapsed,
        is_request_finished: false,
        settled_units: None,
        load_report: report,
    };
    let out = rig.handle(Event::AttemptEnded(result));
    assert_eq!(
        sent_attempts(&out),
        [(id, endpoint)],
        "the limit is not cut and the endpoint not ejected"
    );
}

#[test]
fn where_all_answers_are_late_nothing_is_cancelled() {
    let (_, _, _, actions) = one_straggler(300 * MS);
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::CancelAttempt { .. })),
        "{actions:?}"
    );
}

#[test]
fn stragglers_at_an_endpoint_that_answers_quickly_leave_its_limit() {
    let mut rig = Rig::new(settings(), 1);
    let out_at_once = |rig: &mut Rig| {
        let called: Vec<_> = (0..8).map(|_| rig.request(2, 3, 9, 1.0)).collect();
        let sent: Vec<_> = called
            .iter()
            .flat_map(|(_, out)| sent_attempts(out))
            .collect();
        for (id, _) in called
            .iter()
            .filter(|(id, _)| !sent.iter().any(|s| s.0 == *id))
        {
            rig.handle(Event::ClientDisconnected(*id));
        }
        for (id, endpoint) in &sent {
            rig.end_attempt(*id, 0, *endpoint, Outcome::Ok);
        }
        rig.advance(S);
        sent.len()
    };
    let before = out_at_once(&mut rig);
    for _ in 0..10 {
        // Non-idempotent: it waits until its client goes.
        let (id, endpoint) = rig.send_request(2);
        for _ in 0..5 {
            let (other, _) = rig.request(0, 3, 9, 1.0);
            rig.advance(20 * MS);
            rig.end_attempt(other, 0, endpoint, Outcome::Ok);
        }
        rig.advance(1_200 * MS);
        rig.handle(Event::ClientDisconnected(id));
        rig.end_attempt_after(id, 0, endpoint, Outcome::Cancelled, 1_300 * MS);
    }
    assert!(out_at_once(&mut rig) >= before, "{before} before");
}

#[test]
fn one_failed_connect_neither_ejects_nor_begins_a_slow_start() {
    let mut rig = Rig::new(settings(), 2);
    let turn = |rig: &mut Rig, breaks: bool| {
        rig.advance(10 * MS);
        let (id, endpoint) = rig.send_request(0);
        let broken = breaks && endpoint == EndpointId(0);
        let out = rig.end_attempt(
            id,
            0,
            endpoint,
            if broken {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        sent_attempts(&out)
            .iter()
            .for_each(|(id, s)| drop(rig.end_attempt(*id, 1, *s, Outcome::Ok)));
        (endpoint == EndpointId(0), broken)
    };
    for _ in 0..200 {
        turn(&mut rig, false);
    }
    for _ in 0..5 {
        while !turn(&mut rig, true).1 {}
        let share = (0..300).filter(|_| turn(&mut rig, false).0).count();
        assert!(
            share > 100,
            "{share} of 300 went to the endpoint one connection of which broke"
        );
    }
}
