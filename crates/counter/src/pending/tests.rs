//! Tests of `pending`.

use super::*;

#[test]
fn one_connection_floods_the_queue_then_others_keep_capacity_and_turns() {
    let mut pending = PendingQueue::new(40);
    for item in 0..10 {
        pending.push('a', item).expect("capacity");
    }
    assert_eq!(
        pending.push('a', 10),
        Err(10),
        "one connection may use a quarter"
    );
    pending.push('b', 100).expect("capacity for others");
    pending.push('c', 200).expect("capacity for others");
    assert_eq!(pending.take(4), [0, 100, 200, 1]);
    pending.remove_connection('a');
    assert!(pending.is_empty() && pending.take(9).is_empty());
    let taken = ('d'..='z').flat_map(|connection| (0..10).map(move |item| (connection, item)));
    assert_eq!(
        taken
            .filter(|&(connection, item)| pending.push(connection, item).is_ok())
            .count(),
        40
    );
    assert_eq!(pending.len(), 40);
}
