//! What the site core says, as the decisions take it.
mod common;

use chalkdeck::api::*;
use common::{entry, refused, sends, settings, Rig, S};

const NEAR: ZoneId = ZoneId(0);
const FAR: ZoneId = ZoneId(1);

/// Four servers in each of two zones.
fn rig() -> Rig {
    let mut rig = Rig::new(settings(), 0);
    let zone = |i: u32| ZoneId(i / 4);
    let entries = (0..8)
        .map(|i| EndpointEntry {
            zone: zone(i),
            ..entry(i, EndpointState::InService, None)
        })
        .collect();
    rig.tell(Event::EndpointsUpdated {
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
        let (id, server) = rig.sent(0);
        far += usize::from(server.0 >= 4);
        rig.ended(id, 0, server, Outcome::Ok);
    }
    far
}

#[test]
fn requests_go_where_the_shares_say() {
    let mut rig = rig();
    rig.tell(Event::ZoneSharesChanged {
        shares: shares((0.7, true), (0.3, true)),
        threshold: all(),
    });
    let far = far(&mut rig, 1_000);
    assert!((230..370).contains(&far), "{far} of 1000");
}

#[test]
fn nothing_overflows_into_a_closed_zone() {
    let mut rig = rig();
    rig.tell(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: all(),
    });
    let ids: Vec<_> = (0..40).map(|_| rig.request(0, 3, 1, 1.0)).collect();
    let to: Vec<EndpointId> = ids
        .iter()
        .flat_map(|(_, out)| sends(out))
        .map(|s| s.1)
        .collect();
    assert!(
        !to.is_empty() && to.len() < 40 && to.iter().all(|s| s.0 < 4),
        "{to:?}"
    );
    // Open, the far zone takes what the near one has no place for.
    let mut rig = self::rig();
    rig.tell(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, true)),
        threshold: all(),
    });
    let ids: Vec<_> = (0..40).map(|_| rig.request(0, 3, 1, 1.0)).collect();
    assert!(ids
        .iter()
        .flat_map(|(_, out)| sends(out))
        .any(|s| s.1 .0 >= 4));
}

#[test]
fn a_keyed_request_that_may_have_run_in_a_closed_zone_goes_nowhere_else() {
    let mut rig = rig();
    rig.tell(Event::ZoneSharesChanged {
        shares: shares((0.0, true), (1.0, true)),
        threshold: all(),
    });
    let (id, server) = rig.sent(1);
    assert!(server.0 >= 4);
    rig.tell(Event::ZoneSharesChanged {
        shares: shares((1.0, true), (0.0, false)),
        threshold: all(),
    });
    let mut out = rig.ended(id, 0, server, Outcome::Reset);
    out.extend(rig.pass(3 * S));
    assert!(sends(&out).is_empty() && !refused(&out, id), "{out:?}");
    assert!(common::failed(&out, id));
}

#[test]
fn the_floor_lets_in_by_worth_for_each_unit() {
    let mut rig = rig();
    rig.tell(Event::ZoneSharesChanged {
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
            let sent = sends(&out).first().map(|s| s.1);
            sent.into_iter()
                .for_each(|server| drop(rig.ended(id, 0, server, Outcome::Ok)));
            usize::from(sent.is_some())
        };
        (0..400).map(|_| one(&mut rig)).sum::<usize>()
    };
    // All are worth one: the more units, the less for each.
    assert_eq!((let_in(1.0), let_in(4.0)), (400, 0));
    let half = let_in(2.0);
    assert!((140..260).contains(&half), "{half} of 400");
}

#[test]
fn of_those_that_wait_the_worthiest_for_its_room_goes_first() {
    let mut set = settings();
    set.classes[0].priority_weight = 3.0;
    let mut rig = Rig::new(set, 1);
    let near = ZoneShare {
        zone: NEAR,
        share: 1.0,
        accepts_overflow: true,
    };
    rig.tell(Event::ZoneSharesChanged {
        shares: vec![near],
        threshold: all(),
    });
    // Fill the one server; then a large request of more worth waits before a small one of less.
    let mut out = Vec::new();
    loop {
        let sent = sends(&rig.request(3, 3, 1, 4.0).1);
        if sent.is_empty() {
            break;
        }
        out.extend(sent);
    }
    let (large, first) = rig.request(0, 3, 1, 4.0);
    let (small, second) = rig.request(3, 3, 1, 1.0);
    assert!(
        sends(&first).is_empty() && sends(&second).is_empty(),
        "both wait"
    );
    let next: Vec<_> = out
        .into_iter()
        .flat_map(|(id, at)| sends(&rig.ended(id, 0, at, Outcome::Ok)))
        .collect();
    assert_eq!(
        next.first().map(|s| s.0),
        Some(small),
        "{large:?} has to wait: {next:?}"
    );
}
