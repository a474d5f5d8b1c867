//! Zone shares and the shedding threshold, where sites are watched.
mod common;

use chalkdeck::api::*;
use common::{entry, is_rejected, sent_attempts, settings, Rig, S};

const NEAR: ZoneId = ZoneId(0);
const FAR: ZoneId = ZoneId(1);

/// Four endpoints in each of two zones.
fn rig() -> Rig {
    let mut rig = Rig::new(settings(), 0);
    let zone = |i: u32| ZoneId(i / 4);
    let entries = (0..8)
        .map(|i| EndpointEntry {
            zone: zone(i),
            ..entry(i, EndpointState::InService, None)
        })
        .collect();
    rig.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Complete,
        entries,
    });
    rig
}

fn all() -> SheddingThreshold {
    SheddingThreshold {
        admit_fraction: 1.0,
        ..SheddingThreshold::default()
    }
}

fn shares(near: (f64, bool), far: (f64, bool)) -> Vec<ZoneShare> {
    let of = |zone, (share, open)| ZoneShare {
        zone,
        share,
        accepts_overflow: open,
    };
    vec![of(NEAR, near), of(FAR, far)]
}

/// How many of so many requests, one after the other, go to the far zone.
fn far(rig: &mut Rig, requests: usize) -> usize {
    let mut far = 0;
    for _ in 0..requests {
        let (id, endpoint) = rig.send_request(0);
        far += usize::from(endpoint.0 >= 4);
        rig.end_attempt(id, 0, endpoint, Outcome::Ok);
    }
    far
}

#[test]
fn requests_follow_the_zone_shares() {
    let mut rig = rig();
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((0.7, true), (0.3, true)),
        threshold: all(),
    });
    let far = far(&mut rig, 1_000);
    assert!((230..370).contains(&far), "{far} of 1000");
}

#[test]
fn nothing_overflows_into_a_closed_zone() {
    let mut rig = rig();
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: all(),
    });
    let ids: Vec<_> = (0..40).map(|_| rig.request(0, 3, 1, 1.0)).collect();
    let to: Vec<EndpointId> = ids
        .iter()
        .flat_map(|(_, out)| sent_attempts(out))
        .map(|s| s.1)
        .collect();
    assert!(
        !to.is_empty() && to.len() < 40 && to.iter().all(|s| s.0 < 4),
        "{to:?}"
    );
    // Open, the far zone takes what the near one has no room for.
    let mut rig = self::rig();
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, true)),
        threshold: all(),
    });
    let ids: Vec<_> = (0..40).map(|_| rig.request(0, 3, 1, 1.0)).collect();
    assert!(ids
        .iter()
        .flat_map(|(_, out)| sent_attempts(out))
        .any(|s| s.1 .0 >= 4));
}

#[test]
fn a_keyed_request_that_may_have_run_in_a_closed_zone_goes_nowhere_else() {
    let mut rig = rig();
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((0.0, true), (1.0, true)),
        threshold: all(),
    });
    let (id, endpoint) = rig.send_request(1);
    assert!(endpoint.0 >= 4);
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: all(),
    });
    let mut out = rig.end_attempt(id, 0, endpoint, Outcome::Reset);
    out.extend(rig.advance(3 * S));
    assert!(
        sent_attempts(&out).is_empty() && !is_rejected(&out, id),
        "{out:?}"
    );
    assert!(common::is_failed(&out, id));
}

#[test]
fn the_threshold_admits_by_weight_for_each_unit() {
    let mut rig = rig();
    rig.handle(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, true)),
        threshold: SheddingThreshold {
            admit_above: 0.6,
            reject_below: 0.3,
            admit_fraction: 0.5,
        },
    });
    let mut let_in = |units: f64| {
        let one = |rig: &mut Rig| {
            let (id, out) = rig.request(0, 3, 1, units);
            let sent = sent_attempts(&out).first().map(|s| s.1);
            sent.into_iter()
                .for_each(|endpoint| drop(rig.end_attempt(id, 0, endpoint, Outcome::Ok)));
            usize::from(sent.is_some())
        };
        (0..400).map(|_| one(&mut rig)).sum::<usize>()
    };
    // All weigh one: the more units, the less for each.
    assert_eq!((let_in(1.0), let_in(4.0)), (400, 0));
    let half = let_in(2.0);
    assert!((140..260).contains(&half), "{half} of 400");
}

#[test]
fn pending_requests_of_most_weight_for_their_units_are_sent_first() {
    let mut set = settings();
    set.classes[0].priority_weight = 3.0;
    let mut rig = Rig::new(set, 1);
    let near = ZoneShare {
        zone: NEAR,
        share: 1.0,
        accepts_overflow: true,
    };
    rig.handle(Event::ZoneSharesChanged {
        shares: vec![near],
        threshold: all(),
    });
    // Fill the one endpoint; then a large request of more weight waits before a small one of less.
    let mut out = Vec::new();
    loop {
        let sent = sent_attempts(&rig.request(3, 3, 1, 4.0).1);
        if sent.is_empty() {
            break;
        }
        out.extend(sent);
    }
    let (large, first) = rig.request(0, 3, 1, 4.0);
    let (small, second) = rig.request(3, 3, 1, 1.0);
    assert!(
        sent_attempts(&first).is_empty() && sent_attempts(&second).is_empty(),
        "both wait"
    );
    let next: Vec<_> = out
        .into_iter()
        .flat_map(|(id, at)| sent_attempts(&rig.end_attempt(id, 0, at, Outcome::Ok)))
        .collect();
    assert_eq!(
        next.first().map(|s| s.0),
        Some(small),
        "{large:?} has to wait: {next:?}"
    );
}
