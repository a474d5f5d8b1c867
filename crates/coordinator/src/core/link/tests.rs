//! Tests of `link`.

use super::*;

fn message(link: &mut Link, body: u8) -> wire::Between {
    let mut between = wire::Between {
        body: vec![body],
        ..wire::Between::default()
    };
    link.stamp(7, &mut between);
    between
}

#[test]
fn what_is_mixed_up_or_repeated_is_handed_over_in_order_and_once() {
    let (mut a, mut b) = (Link::default(), Link::default());
    let m: Vec<wire::Between> = (0..5).map(|i| message(&mut a, i)).collect();
    let mut heard = Vec::new();
    for place in [0, 0, 2, 3, 2, 1, 4, 1] {
        heard.extend(b.came(m[place].clone(), 0).bodies);
    }
    assert_eq!(heard, [[0], [1], [2], [3], [4]]);
    assert_eq!(b.missing(1_000_000), None);
}

#[test]
fn what_is_missing_ends_the_run_on_both_sides() {
    let (mut a, mut b) = (Link::default(), Link::default());
    let m: Vec<wire::Between> = (0..4).map(|i| message(&mut a, i)).collect();
    assert!(b.came(m[0].clone(), 0).anew);
    assert!(b.came(m[2].clone(), 0).bodies.is_empty());
    assert_eq!((b.missing(GAP - 1), b.missing(GAP)), (None, Some(m[0].run)));
    assert!(a.reset(m[0].run) && !a.reset(m[0].run), "once");
    let first = message(&mut a, 9);
    let came = b.came(first, GAP);
    assert!(came.anew && came.bodies == [[9]]);
    // A late one of the old run has no place; one of a run whose beginning is not known is asked for.
    assert_eq!(b.came(m[1].clone(), GAP).ask, Some(m[1].run));
    assert_eq!(Link::default().came(m[3].clone(), 0).ask, Some(m[3].run));
}
