//! The five rules, each by the guard that keeps it.
mod common;
use chalkdeck::api::*;
use common::*;

fn finals(done: &[Action], id: RequestId) -> usize {
    done.iter()
        .filter(|a| matches!(a, Action::Reject { request: r, .. } | Action::Fail(r) if *r == id))
        .count()
}

#[test]
fn every_request_is_answered_once_by_its_deadline() {
    let mut rig = Rig::new(settings(), 4);
    let (id, _) = rig.sent(0);
    rig.pass(3 * S);
    assert_eq!(finals(&rig.done, id), 1, "no outcome ever came");
    rig.pass(10 * S);
    assert_eq!(finals(&rig.done, id), 1);
}

#[test]
fn with_no_server_the_request_is_refused_in_time() {
    let mut rig = Rig::new(settings(), 0);
    let (id, _) = rig.request(0, 3, 1, 1.0);
    rig.pass(3 * S);
    assert_eq!(finals(&rig.done, id), 1);
}

#[test]
fn nothing_is_sent_after_the_end() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(0);
    rig.tell(Event::ClientDisconnected(id));
    let out = rig.ended(id, 0, server, Outcome::Error);
    assert!(sends(&out).is_empty() && finals(&out, id) == 0);
    assert!(
        sends(&rig.ended(id, 0, server, Outcome::Error)).is_empty(),
        "a repeated outcome"
    );
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(2);
    let out = rig.ended(id, 0, server, Outcome::Error);
    assert!(failed(&out, id) && sends(&out).is_empty());
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(2);
    let out = rig.ended(id, 0, server, Outcome::ConnectFailed);
    assert_eq!(sends(&out).len(), 1);
    assert_ne!(sends(&out)[0].1, server);
}

#[test]
fn a_keyed_request_is_repeated_in_its_cell_only() {
    for _ in 0..20 {
        let mut rig = Rig::new(settings(), 8);
        let (id, server) = rig.sent(1);
        let out = rig.ended(id, 0, server, Outcome::Error);
        assert_eq!(sends(&out)[0].1 .0 / 2, server.0 / 2);
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_window_and_not_refused() {
    let mut set = settings();
    set.classes[1].key_window = TimeDelta::from_micros(100 * MS);
    let mut rig = Rig::new(set, 8);
    let (id, server) = rig.sent(1);
    rig.pass(100 * MS);
    let out = rig.ended(id, 0, server, Outcome::Error);
    assert!(failed(&out, id) && sends(&out).is_empty());
}

#[test]
fn a_keyed_request_is_not_repeated_where_its_connection_could_come_up_after_the_window() {
    for (after, again) in [(100, true), (160, false)] {
        let mut set = settings();
        (set.classes[1].key_window, set.dial_timeout) = (
            TimeDelta::from_micros(400 * MS),
            TimeDelta::from_micros(250 * MS),
        );
        let mut rig = Rig::new(set, 8);
        let (id, server) = rig.sent(1);
        rig.pass(after * MS);
        let out = rig.ended(id, 0, server, Outcome::Error);
        assert_eq!(
            (sends(&out).len() == 1, failed(&out, id)),
            (again, !again),
            "after {after} ms"
        );
    }
}

#[test]
fn a_safe_request_may_be_refused_with_an_attempt_out() {
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.sent(0);
    let out = rig.pass(3 * S);
    assert!(
        refused(&out, id)
            && out.contains(&Action::CancelAttempt {
                request: id,
                attempt: 0
            })
    );
}

#[test]
fn nothing_goes_to_a_server_that_drains_or_is_gone() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut rig = Rig::new(settings(), 2);
        rig.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Incremental,
            entries: vec![entry(0, listed, None)],
        });
        for _ in 0..50 {
            let (_, server) = rig.sent(0);
            assert_eq!(server, EndpointId(1));
            rig.ended(RequestId(rig.next - 1), 0, server, Outcome::Ok);
        }
        rig.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Complete,
            entries: vec![entry(0, EndpointState::InService, None)],
        });
        for _ in 0..2 {
            assert_eq!(
                rig.sent(0).1,
                EndpointId(0),
                "a server missing from a whole list is gone"
            );
        }
    }
}

#[test]
fn all_draining_means_refusal_in_time() {
    let mut rig = Rig::new(settings(), 1);
    rig.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Incremental,
        entries: vec![entry(0, EndpointState::Draining, None)],
    });
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(sends(&out).is_empty());
    rig.pass(3 * S);
    assert_eq!(finals(&rig.done, id), 1);
}

/// Runs a steady flow for five seconds and counts what each server got.
fn flow(rig: &mut Rig) -> Vec<u32> {
    let mut got = vec![0; 8];
    for _ in 0..500 {
        rig.pass(10 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            got[server.0 as usize] += 1;
            rig.ended(id, 0, server, Outcome::Ok);
        }
    }
    got
}

#[test]
fn a_cold_server_gets_no_more_than_its_part() {
    let mut rig = Rig::new(settings(), 4);
    flow(&mut rig);
    let (now, cold) = (rig.now, 3);
    rig.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Incremental,
        entries: vec![entry(cold, EndpointState::InService, Some(now))],
    });
    let got = flow(&mut rig);
    let warm = got[..3].iter().sum::<u32>() / 3;
    // From a fifth to three fifths of its capacity over these seconds.
    assert!(got[3] > 0 && got[3] * 2 < warm, "{got:?}");
}

#[test]
fn a_restart_that_is_not_listed_yet_counts_as_cold() {
    let mut rig = Rig::new(settings(), 2);
    flow(&mut rig);
    for _ in 0..2_000 {
        rig.pass(10 * MS);
        let (id, server) = rig.sent(0);
        let up = rig.now > 1_010 * S;
        let outcome = if server == EndpointId(0) && !up {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        let out = rig.ended(id, 0, server, outcome);
        for (id, server) in sends(&out) {
            rig.ended(id, 1, server, Outcome::Ok);
        }
        if up && server == EndpointId(0) {
            break;
        }
    }
    let got = flow(&mut rig);
    assert!(got[0] > 0 && got[0] * 3 < got[1] * 2, "{got:?}");
}

/// The most that one customer under a ceiling may have had at any moment: two gateways, each
/// offered all it could want for thirty seconds; `answer` fails a call or tells which part of its
/// totals the counter still has.
fn ceiling_low(answer: impl Fn(u64) -> Option<f64>) -> f64 {
    ceiling_low_with(|n, _| answer(n), |_, _| true)
}

/// The same, with the amount of each call told, and gateways that have traffic only at some steps.
fn ceiling_low_with(
    answer: impl Fn(u64, f64) -> Option<f64>,
    busy: impl Fn(usize, u64) -> bool,
) -> f64 {
    let mut totals = std::collections::BTreeMap::new();
    let mut set = settings();
    set.plans[1].over_quota_weight = 0.5;
    (set.plans[1].ceiling_rate, set.plans[1].ceiling_burst) = (18.0, 36.0);
    set.plans[1].over_quota_cost = 0.0;
    let mut rigs = [Rig::new(set.clone(), 8), Rig::new(set, 8)];
    let (mut level, mut lowest, mut call) = (36.0f64, 36.0f64, 0);
    for step in 0..3_000 {
        level = (level + 18.0 * 0.01).min(36.0);
        for (i, rig) in rigs.iter_mut().enumerate() {
            rig.pass(10 * MS);
            if !busy(i, step) {
                continue;
            }
            let (id, out) = rig.request(0, 1, 1, 1.0);
            let mut pending = out;
            while !pending.is_empty() {
                let mut next = Vec::new();
                for (name, amount) in counts(&pending) {
                    call += 1;
                    let (mut outcome, mut heard) = (Outcome::Rejected, 0.0);
                    if let Some(kept) = answer(call, amount) {
                        totals.values_mut().for_each(|t| *t *= kept);
                        let total = totals.entry(name).or_insert(0.0);
                        *total += amount;
                        (outcome, heard) = (Outcome::Ok, *total);
                    }
                    next.extend(rig.tell(Event::CounterReplied {
                        key: name,
                        outcome,
                        total: heard,
                    }));
                }
                for (_, server) in sends(&pending) {
                    level -= 1.0;
                    lowest = lowest.min(level);
                    next.extend(rig.ended(id, 0, server, Outcome::Ok));
                }
                pending = next;
            }
        }
    }
    lowest
}

#[test]
fn the_ceiling_holds_while_the_counter_answers() {
    assert!(ceiling_low(|_| Some(1.0)) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_the_counter_is_down() {
    assert!(ceiling_low(|_| None) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_the_counter_comes_and_goes() {
    for share in 2..12 {
        let low = ceiling_low(|n| (n % share == 0).then_some(1.0));
        assert!(low >= -4.0, "one answer in {share}: {low}");
        let low = ceiling_low(|n| (n % share != 0).then_some(1.0));
        assert!(low >= -4.0, "one failure in {share}: {low}");
    }
}

#[test]
fn the_ceiling_holds_when_the_counter_is_emptied() {
    for every in [61, 75, 90, 97, 130, 311, 701] {
        let low = ceiling_low(|n| Some(if n % every == 0 { 0.0 } else { 1.0 }));
        assert!(low >= -4.0, "emptied every {every} calls: {low}");
    }
}

#[test]
fn the_ceiling_holds_when_gateways_take_turns_and_each_believes_the_store_full() {
    // Every read of the window before fails; a window of traffic here, then one there.
    for offset in (0..100).step_by(10) {
        let low = ceiling_low_with(
            |_, amount| (amount != 0.0).then_some(1.0),
            |rig, step| ((step + offset) / 100) % 2 == rig as u64,
        );
        assert!(low >= -4.0, "offset {offset}: {low}");
    }
}

/// Hundreds of gateways with the same steady flow over one fleet, all told of a cold server at once.
#[test]
fn hundreds_of_gateways_do_not_tip_a_cold_server_together() {
    let (gateways, servers) = (200, 20);
    let step = |rig: &mut Rig| {
        rig.pass(200 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let sent = sends(&out);
        sent.iter()
            .for_each(|(_, server)| drop(rig.ended(id, 0, *server, Outcome::Ok)));
        sent.iter().any(|(_, server)| *server == EndpointId(3))
    };
    let mut rigs: Vec<Rig> = (0..gateways)
        .map(|gateway_index| {
            let set = Settings {
                gateways,
                gateway_index,
                max_request_units: 1.0,
                ..settings()
            };
            let mut rig = Rig::seeded(u64::from(gateway_index), set, servers);
            for _ in 0..20 {
                step(&mut rig);
            }
            let now = rig.now;
            rig.tell(Event::EndpointsUpdated {
                scope: UpdateScope::Incremental,
                entries: vec![entry(3, EndpointState::InService, Some(now))],
            });
            rig
        })
        .collect();
    // A warm server gets 50 of these a second; a cold one tips at twice its part of that.
    let (mut second, mut total) = (std::collections::VecDeque::new(), 0);
    for tick in 0..50 {
        let got = rigs
            .iter_mut()
            .filter_map(|rig| step(rig).then_some(()))
            .count();
        second.push_back(got);
        if second.len() > 5 {
            second.pop_front();
        }
        total += got;
        let (most, part) = (
            second.iter().sum::<usize>() as f64,
            0.2 + 0.8 * f64::from(tick) / 50.0,
        );
        assert!(
            most <= 2.0 * 50.0 * part + 4.0,
            "{most} in the second before {}",
            tick
        );
    }
    assert!(total > 20, "it does get work: {total}");
}

/// Guards against half a body passing for a whole one.
#[test]
fn without_its_body_a_request_is_not_sent_again() {
    for gone in [false, true] {
        let mut rig = Rig::new(settings(), 4);
        let (id, server) = rig.sent(0);
        if gone {
            rig.tell(Event::BodyDiscarded(id));
        }
        let out = rig.ended(id, 0, server, Outcome::Error);
        assert_eq!((sends(&out).is_empty(), refused(&out, id)), (gone, gone));
    }
}
