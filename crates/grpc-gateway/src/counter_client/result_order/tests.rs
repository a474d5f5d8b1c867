//! Tests of `result_order`.

use super::*;

fn result(key: u64, total: f64) -> CounterResult {
    CounterResult {
        key: CounterKey(key),
        outcome: Outcome::Ok,
        total,
    }
}

#[test]
fn results_of_each_key_are_returned_in_call_order() {
    let mut order = ResultOrder::default();
    for call in 1..=4 {
        order.call_started(CounterKey(call % 2), call);
    }
    assert!(
        order.call_ended(3, result(1, 30.0)).is_empty(),
        "call 1 of that key is still open"
    );
    assert_eq!(
        order.call_ended(2, result(0, 20.0)).len(),
        1,
        "calls of other keys do not wait"
    );
    let totals: Vec<f64> = order
        .call_ended(1, result(1, 10.0))
        .iter()
        .map(|result| result.total)
        .collect();
    assert_eq!(totals, [10.0, 30.0]);
    assert!(
        order.call_ended(1, result(1, 11.0)).is_empty(),
        "a call has one result"
    );
    assert_eq!(order.call_ended(4, result(0, 40.0)).len(), 1);
    assert!(order.slots.is_empty());
}
