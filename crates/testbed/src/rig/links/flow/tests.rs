//! Tests of `flow`.

use super::*;

#[test]
fn a_cut_holds_and_a_heal_lets_all_through_in_order() {
    let (mut flow, mut out) = (Flow::default(), Vec::new());
    flow.push(b"one ", 10);
    flow.push(b"two", 5);
    flow.ended = true;
    let cut = Way {
        cut: true,
        ..Way::default()
    };
    assert_eq!(
        flow.write(50, &cut, &mut out).expect("it takes all"),
        Step::Idle
    );
    assert!(out.is_empty());
    assert_eq!(
        flow.write(5, &Way::default(), &mut out)
            .expect("it takes all"),
        Step::At(10)
    );
    assert_eq!(
        flow.write(10, &Way::default(), &mut out)
            .expect("it takes all"),
        Step::Ended
    );
    assert_eq!(out, b"one two");
}

#[test]
fn a_trickle_passes_so_many_bytes_a_second() {
    let (mut flow, mut out, mut now) = (Flow::default(), Vec::new(), 0);
    flow.push(&[7; 100], 0);
    let way = Way {
        trickle: 50,
        ..Way::default()
    };
    while let Step::At(at) = flow.write(now, &way, &mut out).expect("it takes all") {
        now = at;
    }
    assert_eq!((out.len(), now), (100, 1_900_000));
}
