//! Guarantees to clients and to the back end: one answer by the deadline, safe retries, drains, slow start,
//! hard ceilings.
mod common;
use chalkdeck::api::*;
use common::*;

fn count_final_answers(actions: &[Action], id: RequestId) -> usize {
    actions
        .iter()
        .filter(|action| {
            matches!(
                action,
                Action::Reject { request, .. } | Action::Fail(request) if *request == id
            )
        })
        .count()
}

#[test]
fn every_request_is_answered_once_by_its_deadline() {
    let mut harness = Harness::new(settings(), 4);
    let (id, _) = harness.send_request(0);
    harness.advance(3 * SECOND);
    assert_eq!(
        count_final_answers(&harness.all_actions, id),
        1,
        "the attempt has not ended"
    );
    harness.advance(10 * SECOND);
    assert_eq!(count_final_answers(&harness.all_actions, id), 1);
}

#[test]
fn without_an_endpoint_a_request_is_rejected_in_time() {
    let mut harness = Harness::new(settings(), 0);
    let (id, _) = harness.request(0, 3, 1, 1.0);
    harness.advance(3 * SECOND);
    assert_eq!(count_final_answers(&harness.all_actions, id), 1);
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut harness = Harness::new(settings(), 4);
    let (id, endpoint) = harness.send_request(0);
    harness.handle(Event::ClientDisconnected(id));
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
    assert!(sent_attempts(&actions).is_empty() && count_final_answers(&actions, id) == 0);
    assert!(
        sent_attempts(&harness.end_attempt(id, 0, endpoint, Outcome::Error)).is_empty(),
        "the end of the attempt is reported twice"
    );
}

/// Guards against timers of served requests that are kept until their deadlines: thousands of them were held beside a flood of requests.
#[test]
fn a_request_is_served_then_its_timers_are_cancelled() {
    let mut harness = Harness::new(settings(), 4);
    let (id, endpoint) = harness.send_request(0);
    let is_set = |action: &&Action| matches!(action, Action::SetTimer { .. });
    let set = harness.all_actions.iter().filter(is_set).count();
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Ok);
    let is_cancelled = |action: &&Action| matches!(action, Action::CancelTimer(_));
    let cancelled = actions.iter().filter(is_cancelled).count();
    // The first timer is that of the customers.
    assert_eq!(cancelled, set - 1, "{actions:?}");
    assert!(cancelled > 0);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails() {
    let mut harness = Harness::new(settings(), 4);
    let (id, endpoint) = harness.send_request(2);
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
    assert!(is_failed(&actions, id) && sent_attempts(&actions).is_empty());
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    let mut harness = Harness::new(settings(), 4);
    let (id, endpoint) = harness.send_request(2);
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::ConnectFailed);
    assert_eq!(sent_attempts(&actions).len(), 1);
    assert_ne!(sent_attempts(&actions)[0].1, endpoint);
}

#[test]
fn a_keyed_request_is_retried_in_its_cell_only() {
    for _ in 0..20 {
        let mut harness = Harness::new(settings(), 8);
        let (id, endpoint) = harness.send_request(1);
        let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
        assert_eq!(sent_attempts(&actions)[0].1 .0 / 2, endpoint.0 / 2);
    }
}

#[test]
fn a_keyed_request_fails_after_its_key_window() {
    let mut settings = settings();
    settings.classes[1].key_window = TimeDelta::from_micros(100 * MILLISECOND);
    let mut harness = Harness::new(settings, 8);
    let (id, endpoint) = harness.send_request(1);
    harness.advance(100 * MILLISECOND);
    let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
    assert!(is_failed(&actions, id) && sent_attempts(&actions).is_empty());
}

#[test]
fn a_keyed_request_is_not_retried_if_its_connection_may_be_established_after_the_key_window() {
    for (after, is_retried) in [(100, true), (160, false)] {
        let mut settings = settings();
        (settings.classes[1].key_window, settings.dial_timeout) = (
            TimeDelta::from_micros(400 * MILLISECOND),
            TimeDelta::from_micros(250 * MILLISECOND),
        );
        let mut harness = Harness::new(settings, 8);
        let (id, endpoint) = harness.send_request(1);
        harness.advance(after * MILLISECOND);
        let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
        assert_eq!(
            (sent_attempts(&actions).len() == 1, is_failed(&actions, id)),
            (is_retried, !is_retried),
            "after {after} ms"
        );
    }
}

#[test]
fn an_idempotent_request_may_be_rejected_with_an_attempt_in_flight() {
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.send_request(0);
    let actions = harness.advance(3 * SECOND);
    assert!(
        is_rejected(&actions, id)
            && actions.contains(&Action::CancelAttempt {
                request: id,
                attempt: 0
            })
    );
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), 2);
        harness.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Incremental,
            entries: vec![entry(0, state, None)],
        });
        for _ in 0..50 {
            let (_, endpoint) = harness.send_request(0);
            assert_eq!(endpoint, EndpointId(1));
            harness.end_attempt(
                RequestId(harness.next_request_id - 1),
                0,
                endpoint,
                Outcome::Ok,
            );
        }
        harness.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries: vec![entry(0, EndpointState::InService, None)],
        });
        for _ in 0..2 {
            assert_eq!(
                harness.send_request(0).1,
                EndpointId(0),
                "an endpoint missing from a complete list is removed"
            );
        }
    }
}

#[test]
fn with_all_endpoints_draining_requests_are_rejected_in_time() {
    let mut harness = Harness::new(settings(), 1);
    harness.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Incremental,
        entries: vec![entry(0, EndpointState::Draining, None)],
    });
    let (id, actions) = harness.request(0, 3, 1, 1.0);
    assert!(sent_attempts(&actions).is_empty());
    harness.advance(3 * SECOND);
    assert_eq!(count_final_answers(&harness.all_actions, id), 1);
}

/// Sends requests at a constant rate for five seconds, and counts the attempts at each endpoint.
fn run_steady_load(harness: &mut Harness) -> Vec<u32> {
    let mut attempts = vec![0; 8];
    for _ in 0..500 {
        harness.advance(10 * MILLISECOND);
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        for (_, endpoint) in sent_attempts(&actions) {
            attempts[endpoint.0 as usize] += 1;
            harness.end_attempt(id, 0, endpoint, Outcome::Ok);
        }
    }
    attempts
}

#[test]
fn an_endpoint_in_slow_start_gets_a_fraction_of_the_load_of_a_warm_one() {
    let mut harness = Harness::new(settings(), 4);
    run_steady_load(&mut harness);
    let (now, restarted) = (harness.now, 3);
    harness.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Incremental,
        entries: vec![entry(restarted, EndpointState::InService, Some(now))],
    });
    let attempts = run_steady_load(&mut harness);
    let warm = attempts[..3].iter().sum::<u32>() / 3;
    // In these seconds its capacity grows from a fifth to three fifths.
    assert!(attempts[3] > 0 && attempts[3] * 2 < warm, "{attempts:?}");
}

#[test]
fn a_restart_before_the_list_shows_it_begins_a_slow_start() {
    let mut harness = Harness::new(settings(), 2);
    run_steady_load(&mut harness);
    for _ in 0..2_000 {
        harness.advance(10 * MILLISECOND);
        let (id, endpoint) = harness.send_request(0);
        let is_reachable = harness.now > 1_010 * SECOND;
        let outcome = if endpoint == EndpointId(0) && !is_reachable {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        let actions = harness.end_attempt(id, 0, endpoint, outcome);
        for (id, endpoint) in sent_attempts(&actions) {
            harness.end_attempt(id, 1, endpoint, Outcome::Ok);
        }
        if is_reachable && endpoint == EndpointId(0) {
            break;
        }
    }
    let attempts = run_steady_load(&mut harness);
    assert!(
        attempts[0] > 0 && attempts[0] * 3 < attempts[1] * 2,
        "{attempts:?}"
    );
}

/// Lowest level of a bucket that models the ceiling of one customer, whose requests exceed it at two gateways
/// for thirty seconds. `kept_fraction` gets the number of a counter call and returns the fraction of its
/// totals that the counter has kept, or `None` to fail the call.
fn lowest_ceiling_level(kept_fraction: impl Fn(u64) -> Option<f64>) -> f64 {
    lowest_ceiling_level_with(|call, _| kept_fraction(call), |_, _| true)
}

/// Like [`lowest_ceiling_level`], but `kept_fraction` also gets the amount of the call, and a gateway has
/// traffic only in the steps that `has_traffic` selects.
fn lowest_ceiling_level_with(
    kept_fraction: impl Fn(u64, f64) -> Option<f64>,
    has_traffic: impl Fn(usize, u64) -> bool,
) -> f64 {
    let mut totals = std::collections::BTreeMap::new();
    let mut settings = settings();
    settings.plans[1].over_quota_weight = 0.5;
    (
        settings.plans[1].ceiling_rate,
        settings.plans[1].ceiling_burst,
    ) = (18.0, 36.0);
    settings.plans[1].over_quota_cost = 0.0;
    let mut harnesses = [Harness::new(settings.clone(), 8), Harness::new(settings, 8)];
    let (mut level, mut lowest, mut call) = (36.0f64, 36.0f64, 0);
    for step in 0..3_000 {
        level = (level + 18.0 * 0.01).min(36.0);
        for (i, harness) in harnesses.iter_mut().enumerate() {
            harness.advance(10 * MILLISECOND);
            if !has_traffic(i, step) {
                continue;
            }
            let (id, actions) = harness.request(0, 1, 1, 1.0);
            let mut pending = actions;
            while !pending.is_empty() {
                let mut next = Vec::new();
                for (key, amount) in counter_calls(&pending) {
                    call += 1;
                    let (mut outcome, mut answered_total) = (Outcome::Rejected, 0.0);
                    if let Some(kept) = kept_fraction(call, amount) {
                        totals.values_mut().for_each(|total| *total *= kept);
                        let total = totals.entry(key).or_insert(0.0);
                        *total += amount;
                        (outcome, answered_total) = (Outcome::Ok, *total);
                    }
                    next.extend(harness.handle(Event::CounterReplied {
                        key,
                        outcome,
                        total: answered_total,
                    }));
                }
                for (_, endpoint) in sent_attempts(&pending) {
                    level -= 1.0;
                    lowest = lowest.min(level);
                    next.extend(harness.end_attempt(id, 0, endpoint, Outcome::Ok));
                }
                pending = next;
            }
        }
    }
    lowest
}

#[test]
fn the_ceiling_holds_while_the_counter_answers() {
    assert!(lowest_ceiling_level(|_| Some(1.0)) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_the_counter_is_down() {
    assert!(lowest_ceiling_level(|_| None) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_some_counter_calls_fail() {
    for interval in 2..12 {
        let lowest = lowest_ceiling_level(|call| (call % interval == 0).then_some(1.0));
        assert!(lowest >= -4.0, "one success in {interval}: {lowest}");
        let lowest = lowest_ceiling_level(|call| (call % interval != 0).then_some(1.0));
        assert!(lowest >= -4.0, "one failure in {interval}: {lowest}");
    }
}

#[test]
fn the_ceiling_holds_when_the_counter_loses_its_state() {
    for interval in [61, 75, 90, 97, 130, 311, 701] {
        let lowest =
            lowest_ceiling_level(|call| Some(if call % interval == 0 { 0.0 } else { 1.0 }));
        assert!(
            lowest >= -4.0,
            "state lost every {interval} calls: {lowest}"
        );
    }
}

#[test]
fn the_ceiling_holds_when_gateways_alternate_and_each_sees_a_full_quota() {
    // Calls that add nothing fail, and each window has traffic at one of the gateways, in turn.
    for offset in (0..100).step_by(10) {
        let lowest = lowest_ceiling_level_with(
            |_, amount| (amount != 0.0).then_some(1.0),
            |gateway, step| ((step + offset) / 100) % 2 == gateway as u64,
        );
        assert!(lowest >= -4.0, "offset {offset}: {lowest}");
    }
}

/// Hundreds of gateways with equal load learn at the same time that an endpoint has restarted.
#[test]
fn hundreds_of_gateways_do_not_overload_an_endpoint_in_slow_start() {
    let (gateways, endpoints) = (200, 20);
    let step = |harness: &mut Harness| {
        harness.advance(200 * MILLISECOND);
        let (id, actions) = harness.request(0, 3, 1, 1.0);
        let sent = sent_attempts(&actions);
        sent.iter()
            .for_each(|(_, endpoint)| drop(harness.end_attempt(id, 0, *endpoint, Outcome::Ok)));
        sent.iter().any(|(_, endpoint)| *endpoint == EndpointId(3))
    };
    let mut harnesses: Vec<Harness> = (0..gateways)
        .map(|gateway_index| {
            let settings = Settings {
                gateways,
                gateway_index,
                max_request_units: 1.0,
                ..settings()
            };
            let mut harness = Harness::seeded(u64::from(gateway_index), settings, endpoints);
            for _ in 0..20 {
                step(&mut harness);
            }
            let now = harness.now;
            harness.handle(Event::EndpointsUpdated {
                scope: UpdateScope::Incremental,
                entries: vec![entry(3, EndpointState::InService, Some(now))],
            });
            harness
        })
        .collect();
    // A warm endpoint gets 50 requests per second; one in slow start is overloaded at twice its fraction of
    // that.
    let (mut last_second, mut total) = (std::collections::VecDeque::new(), 0);
    for tick in 0..50 {
        let attempts = harnesses
            .iter_mut()
            .filter_map(|harness| step(harness).then_some(()))
            .count();
        last_second.push_back(attempts);
        if last_second.len() > 5 {
            last_second.pop_front();
        }
        total += attempts;
        let (load, capacity) = (
            last_second.iter().sum::<usize>() as f64,
            0.2 + 0.8 * f64::from(tick) / 50.0,
        );
        assert!(
            load <= 2.0 * 50.0 * capacity + 4.0,
            "{load} attempts in the second before step {}",
            tick
        );
    }
    assert!(total > 20, "it gets some load: {total}");
}

/// Guards against a truncated body that is taken for a complete one.
#[test]
fn a_request_without_its_body_is_not_retried() {
    for is_discarded in [false, true] {
        let mut harness = Harness::new(settings(), 4);
        let (id, endpoint) = harness.send_request(0);
        if is_discarded {
            harness.handle(Event::BodyDiscarded(id));
        }
        let actions = harness.end_attempt(id, 0, endpoint, Outcome::Error);
        assert_eq!(
            (
                sent_attempts(&actions).is_empty(),
                is_rejected(&actions, id)
            ),
            (is_discarded, is_discarded)
        );
    }
}
