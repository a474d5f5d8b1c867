//! Tests of `waiting`.

use super::*;

#[test]
fn a_connection_that_floods_takes_its_turn() {
    let mut waiting = Waiting::new(40);
    (0..10).for_each(|i| waiting.push('a', i).expect("room"));
    assert_eq!(
        waiting.push('a', 10),
        Err(10),
        "a quarter is one connection's"
    );
    waiting.push('b', 100).expect("room for others");
    waiting.push('c', 200).expect("room for others");
    assert_eq!(waiting.take(4), [0, 100, 200, 1]);
    waiting.forget('a');
    assert!(waiting.is_empty() && waiting.take(9).is_empty());
    let taken = ('d'..='z').flat_map(|k| (0..10).map(move |i| (k, i)));
    assert_eq!(
        taken.filter(|&(k, i)| waiting.push(k, i).is_ok()).count(),
        40
    );
    assert_eq!(waiting.len(), 40);
}
