//! Tests of `body`.

use super::*;

fn bytes(n: usize) -> Bytes {
    Bytes::from(vec![0; n])
}

#[test]
fn a_small_body_waits_and_goes_again_whole() {
    let mut kept = Kept::new(10, false);
    assert_eq!(
        kept.take(&bytes(6), false),
        Taken {
            consume: 6,
            gone: false
        }
    );
    for _ in 0..2 {
        let mut replay = kept.replay();
        assert_eq!(
            (replay.chunks.len(), replay.skip, replay.gone),
            (1, 6, false)
        );
        assert_eq!(
            kept.sent(&mut replay.skip, 6),
            0,
            "its window was given back on arrival"
        );
    }
}

#[test]
fn a_big_body_holds_the_client_back_and_goes_once() {
    let mut kept = Kept::new(10, false);
    assert_eq!(kept.take(&bytes(8), false).consume, 8);
    assert_eq!(
        kept.take(&bytes(8), false),
        Taken {
            consume: 0,
            gone: false
        },
        "the client waits"
    );
    let mut replay = kept.replay();
    assert!(replay.gone && replay.skip == 8);
    assert_eq!(kept.sent(&mut replay.skip, 16), 8);
    assert_eq!(kept.take(&bytes(5), true), Taken::default());
    assert_eq!(kept.sent(&mut replay.skip, 5), 5);
}

#[test]
fn what_an_attempt_did_not_send_is_given_back_by_the_next() {
    let mut kept = Kept::new(100, false);
    let mut first = kept.replay();
    kept.take(&bytes(40), true);
    assert_eq!(kept.sent(&mut first.skip, 10), 10);
    let mut second = kept.replay();
    assert_eq!(second.skip, 10);
    assert_eq!(kept.sent(&mut second.skip, 40), 30);
}

#[test]
fn a_body_that_outgrows_its_bound_on_the_way_is_told_once() {
    let mut kept = Kept::new(10, false);
    kept.replay();
    let told: Vec<bool> = (0..4).map(|_| kept.take(&bytes(6), true).gone).collect();
    assert_eq!(told, [false, true, false, false]);
}
