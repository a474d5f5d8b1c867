//! Tests of `counter`.

use super::*;

fn told(name: u64, total: f64) -> CounterResult {
    CounterResult {
        name: CounterKey(name),
        outcome: Outcome::Ok,
        total,
    }
}

#[test]
fn answers_of_a_name_are_told_in_order_of_its_calls() {
    let mut order = InOrder::default();
    for call in 1..=4 {
        order.asked(CounterKey(call % 2), call);
    }
    assert!(
        order.ended(3, told(1, 30.0)).is_empty(),
        "call 1 of that name is still out"
    );
    assert_eq!(
        order.ended(2, told(0, 20.0)).len(),
        1,
        "other names do not wait"
    );
    let totals: Vec<f64> = order
        .ended(1, told(1, 10.0))
        .iter()
        .map(|t| t.total)
        .collect();
    assert_eq!(totals, [10.0, 30.0]);
    assert!(order.ended(1, told(1, 11.0)).is_empty(), "told once");
    assert_eq!(order.ended(4, told(0, 40.0)).len(), 1);
    assert!(order.names.is_empty());
}
