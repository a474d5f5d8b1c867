//! Selection of an endpoint, outlier detection, retries, stragglers and pending requests.
mod common;
use chalkdeck::api::*;
use common::*;

#[test]
fn attempts_are_spread_by_attempts_in_flight() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints: Vec<_> = (0..4).map(|_| harness.send_request(0).1).collect();
    endpoints.sort();
    endpoints.dedup();
    assert_eq!(
        endpoints.len(),
        4,
        "each of four endpoints gets one attempt before any gets two"
    );
}

#[test]
fn an_unreachable_endpoint_is_ejected_and_tried_again_later() {
    let mut harness = Harness::new(settings(), 2);
    let mut attempts = 0;
    for _ in 0..100 {
        harness.advance(10 * MILLISECOND);
        let (id, endpoint) = harness.send_request(0);
        let is_unreachable = endpoint == EndpointId(0);
        attempts += u32::from(is_unreachable);
        let actions = harness.end_attempt(
            id,
            0,
            endpoint,
            if is_unreachable {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        assert!(
            !is_unreachable
                || sent_attempts(&actions)
                    .iter()
                    .all(|attempt| attempt.1 == EndpointId(1))
        );
        sent_attempts(&actions)
            .iter()
            .for_each(|(id, endpoint)| drop(harness.end_attempt(*id, 1, *endpoint, Outcome::Ok)));
    }
    assert!((1..=3).contains(&attempts), "{attempts}");
    harness.advance(9 * SECOND);
    let is_tried = (0..10).any(|_| {
        let (id, endpoint) = harness.send_request(0);
        harness.end_attempt(id, 0, endpoint, Outcome::Ok);
        endpoint == EndpointId(0)
    });
    assert!(is_tried);
}

#[test]
fn timeouts_at_all_endpoints_eject_none() {
    let mut harness = Harness::new(settings(), 4);
    let mut recent_endpoints = Vec::new();
    for i in 0..200 {
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&actions) {
            harness.advance(20 * MILLISECOND);
            // All endpoints behave alike: one attempt in three succeeds.
            let outcome = if i % 3 == 0 {
                Outcome::Ok
            } else {
                Outcome::Timeout
            };
            let actions = harness.end_attempt(id, 0, endpoint, outcome);
            sent_attempts(&actions).iter().for_each(|(id, endpoint)| {
                drop(harness.end_attempt(*id, 1, *endpoint, Outcome::Ok))
            });
            if i >= 150 {
                recent_endpoints.push(endpoint);
            }
        }
    }
    recent_endpoints.sort();
    recent_endpoints.dedup();
    assert!(recent_endpoints.len() >= 3, "in use: {recent_endpoints:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut harness = Harness::new(settings(), 4);
    let (mut attempts, mut first_attempts) = (0, 0);
    for _ in 0..500 {
        harness.advance(50 * MILLISECOND);
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        let (mut sent, mut attempt) = (sent_attempts(&actions), 0);
        first_attempts += sent.len();
        while let Some((_, endpoint)) = sent.first().copied() {
            attempts += 1;
            sent = sent_attempts(&harness.end_attempt(id, attempt, endpoint, Outcome::Error));
            attempt += 1;
        }
    }
    let retries = attempts - first_attempts;
    assert!(
        retries > 0 && retries as f64 <= 20.0 + 0.2 * 500.0,
        "{retries} retries of {first_attempts} requests"
    );
}

#[test]
fn with_every_endpoint_at_its_limit_a_request_waits_and_is_then_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.send_request(0);
    harness.send_request(0);
    let (id, actions) = harness.request(0, 3, 1, 1.0);
    assert!(
        sent_attempts(&actions).is_empty() && !is_rejected(&actions, id),
        "it waits"
    );
    assert!(
        is_rejected(&harness.advance(400 * MILLISECOND), id),
        "no longer than the latency objective allows"
    );
}

#[test]
fn pending_requests_are_sent_by_priority_when_an_endpoint_is_free() {
    let mut settings = settings();
    settings.classes[3].priority_weight = 5.0;
    let mut harness = Harness::new(settings, 1);
    let (first, endpoint) = harness.send_request(0);
    harness.send_request(0);
    let (low_priority, _) = harness.request(0, 3, 1, 1.0);
    let (high_priority, _) = harness.request(3, 3, 1, 1.0);
    let actions = harness.end_attempt(first, 0, endpoint, Outcome::Ok);
    assert_eq!(sent_attempts(&actions), [(high_priority, endpoint)]);
    assert_ne!(low_priority, high_priority);
}

#[test]
fn a_failed_subscription_is_renewed() {
    let mut settings = settings();
    settings.requires_subscription = true;
    let mut harness = Harness::new(settings, 1);
    assert!(harness.all_actions.contains(&Action::Subscribe));
    harness.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Unavailable,
        entries: Vec::new(),
    });
    assert!(harness.advance(SECOND).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), 6);
        for i in 0..200 {
            harness.advance(7 * MILLISECOND);
            let (id, actions) = harness.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (key, _) in counter_calls(&actions) {
                let actions = harness.handle(Event::CounterReplied {
                    key,
                    outcome: Outcome::Ok,
                    total: (i % 17) as f64,
                });
                sent_attempts(&actions).iter().for_each(|(_, endpoint)| {
                    drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok))
                });
            }
        }
        harness.all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_rejected() {
    let is_rejected = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        chalkdeck::DecisionEngine::new(1, settings).is_err()
    };
    assert!(is_rejected(|settings| settings.gateways = 0));
    assert!(is_rejected(|settings| settings.gateway_index = 2));
    assert!(is_rejected(|settings| settings.plans[0].rate = -1.0));
    assert!(is_rejected(
        |settings| settings.plans[0].priority_multiplier = f64::NAN
    ));
    assert!(is_rejected(|settings| settings.plans[0].burst = 0.0));
    assert!(!is_rejected(|_| ()));
}

#[test]
fn late_answers_lower_the_limits_even_below_one_attempt_per_endpoint() {
    let mut harness = Harness::new(settings(), 4);
    for _ in 0..60 {
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&actions) {
            harness.end_attempt_after(id, 0, endpoint, Outcome::Ok, 600 * MILLISECOND);
        }
        harness.advance(300 * MILLISECOND);
    }
    let sent = (0..8)
        .map(|_| sent_attempts(&harness.request(0, 3, 1, 1.0).1).len())
        .sum::<usize>();
    assert_eq!(sent, 1, "one attempt in flight over all four");
}

#[test]
fn attempts_time_out_early_only_at_an_outlier() {
    let mut harness = Harness::new(settings(), 2);
    for _ in 0..40 {
        harness.advance(100 * MILLISECOND);
        let (id, endpoint) = harness.send_request(0);
        harness.end_attempt(id, 0, endpoint, Outcome::Ok);
    }
    let first_attempt_timeout = |actions: &[Action], now: u64| {
        let endpoint_and_timeout = |action: &Action| {
            if let Action::SendAttempt {
                endpoint, deadline, ..
            } = action
            {
                Some((*endpoint, deadline.as_micros() - now))
            } else {
                None
            }
        };
        actions
            .iter()
            .find_map(endpoint_and_timeout)
            .expect("it is sent")
    };
    let (id, actions) = harness.request(0, 3, 1, 1.0);
    let (unresponsive, timeout) = first_attempt_timeout(&actions, harness.now);
    assert_eq!(
        timeout,
        3 * SECOND,
        "the whole deadline at an endpoint that is no outlier"
    );
    // The retry is sent to the other endpoint and stays in flight there.
    harness.end_attempt_after(id, 0, unresponsive, Outcome::Timeout, 3 * SECOND);
    harness.advance(2 * SECOND);
    let (endpoint, timeout) = first_attempt_timeout(&harness.request(0, 3, 1, 1.0).1, harness.now);
    assert_eq!(endpoint, unresponsive, "it is tried again");
    assert!(
        timeout < 800 * MILLISECOND,
        "with a timeout below the latency objective: {timeout}"
    );
}

/// Sends one request that stays in flight for half a second while others are answered after `elapsed`.
/// Returns it, its endpoint and the actions of that time.
fn run_one_straggler(elapsed: u64) -> (Harness, RequestId, EndpointId, Vec<Action>) {
    let mut harness = Harness::new(settings(), 1);
    let (id, endpoint) = harness.send_request(0);
    let sent_at = harness.now;
    let mut actions = Vec::new();
    while harness.now < sent_at + 500 * MILLISECOND {
        let (other, arrival_actions) = harness.request(0, 3, 9, 1.0);
        actions.extend(harness.advance(elapsed));
        sent_attempts(&arrival_actions)
            .iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(other, 0, *endpoint, Outcome::Ok)));
    }
    (harness, id, endpoint, actions)
}

#[test]
fn a_straggler_is_cancelled_and_retried() {
    let (mut harness, id, endpoint, actions) = run_one_straggler(20 * MILLISECOND);
    assert!(actions.contains(&Action::CancelAttempt {
        request: id,
        attempt: 0
    }));
    let (outcome, load_report, elapsed) = (
        Outcome::Cancelled,
        LoadReport::default(),
        TimeDelta::from_micros(300 * MILLISECOND),
    );
    let result = AttemptResult {
        request: id,
        attempt: 0,
        endpoint,
        outcome,
        elapsed,
        is_request_finished: false,
        settled_units: None,
        load_report,
    };
    let actions = harness.handle(Event::AttemptEnded(result));
    assert_eq!(
        sent_attempts(&actions),
        [(id, endpoint)],
        "the limit is not lowered and the endpoint not ejected"
    );
}

#[test]
fn nothing_is_cancelled_if_all_answers_are_late() {
    let (_, _, _, actions) = run_one_straggler(300 * MILLISECOND);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::CancelAttempt { .. })),
        "{actions:?}"
    );
}

#[test]
fn stragglers_at_an_endpoint_that_answers_quickly_do_not_lower_its_limit() {
    let mut harness = Harness::new(settings(), 1);
    let measure_limit = |harness: &mut Harness| {
        let requests: Vec<_> = (0..8).map(|_| harness.request(2, 3, 9, 1.0)).collect();
        let sent: Vec<_> = requests
            .iter()
            .flat_map(|(_, actions)| sent_attempts(actions))
            .collect();
        for (id, _) in requests
            .iter()
            .filter(|(id, _)| !sent.iter().any(|attempt| attempt.0 == *id))
        {
            harness.handle(Event::ClientDisconnected(*id));
        }
        for (id, endpoint) in &sent {
            harness.end_attempt(*id, 0, *endpoint, Outcome::Ok);
        }
        harness.advance(SECOND);
        sent.len()
    };
    let before = measure_limit(&mut harness);
    for _ in 0..10 {
        // The request is non-idempotent, so it is not retried and waits until its client disconnects.
        let (id, endpoint) = harness.send_request(2);
        for _ in 0..5 {
            let (other, _) = harness.request(0, 3, 9, 1.0);
            harness.advance(20 * MILLISECOND);
            harness.end_attempt(other, 0, endpoint, Outcome::Ok);
        }
        harness.advance(1_200 * MILLISECOND);
        harness.handle(Event::ClientDisconnected(id));
        harness.end_attempt_after(id, 0, endpoint, Outcome::Cancelled, 1_300 * MILLISECOND);
    }
    assert!(
        measure_limit(&mut harness) >= before,
        "the limit was {before} before"
    );
}

#[test]
fn a_single_failed_connect_neither_ejects_nor_begins_a_slow_start() {
    let mut harness = Harness::new(settings(), 2);
    let send_one = |harness: &mut Harness, breaks: bool| {
        harness.advance(10 * MILLISECOND);
        let (id, endpoint) = harness.send_request(0);
        let is_broken = breaks && endpoint == EndpointId(0);
        let actions = harness.end_attempt(
            id,
            0,
            endpoint,
            if is_broken {
                Outcome::ConnectFailed
            } else {
                Outcome::Ok
            },
        );
        sent_attempts(&actions)
            .iter()
            .for_each(|(id, endpoint)| drop(harness.end_attempt(*id, 1, *endpoint, Outcome::Ok)));
        (endpoint == EndpointId(0), is_broken)
    };
    for _ in 0..200 {
        send_one(&mut harness, false);
    }
    for _ in 0..5 {
        while !send_one(&mut harness, true).1 {}
        let sent = (0..300).filter(|_| send_one(&mut harness, false).0).count();
        assert!(
            sent > 100,
            "{sent} of 300 were sent to the endpoint whose connection broke once"
        );
    }
}
