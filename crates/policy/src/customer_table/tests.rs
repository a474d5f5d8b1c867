//! Tests of the table of customers.

use super::CustomerTable;
use crate::api::{CustomerId, IncomingRequest, Plan, TimeDelta, Timestamp};
use proptest::prelude::*;

const MAX_CUSTOMERS: usize = 64;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn plans() -> Vec<Plan> {
    vec![Plan {
        rate: 1.0,
        burst: 4.0,
        max_concurrency: 0.0,
        priority_multiplier: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }]
}

/// Serves a request of one unit, as far as the customer's own state allows it; returns whether it did.
fn take_unit(table: &mut CustomerTable, now: Timestamp, id: u64, plans: &[Plan]) -> bool {
    let customer = table.get_or_insert(now, CustomerId(id), plans);
    customer.observe_request(now, &IncomingRequest::default());
    customer.roll_quota_window(now, 1, &plans[0]);
    let counter = &customer.quota_counter;
    let is_available = counter.available(now, counter.known_total(), &plans[0]) >= 1.0;
    let is_taken = is_available && customer.try_take_carried(now, 1.0, &plans[0]);
    if is_taken {
        customer.quota_counter.unposted += 1.0;
    }
    is_taken
}

#[test]
fn ever_new_customers_then_the_table_stays_within_its_bound() {
    let (mut table, plans) = (CustomerTable::new(MAX_CUSTOMERS), plans());
    for id in 0..10_000 {
        take_unit(&mut table, START, id, &plans);
        assert!(table.len() <= MAX_CUSTOMERS);
    }
}

#[test]
fn customer_with_an_open_request_then_its_state_is_kept() {
    let (mut table, plans) = (CustomerTable::new(MAX_CUSTOMERS), plans());
    table
        .get_or_insert(START, CustomerId(7), &plans)
        .open_requests = 1;
    for id in 100..10_000 {
        take_unit(&mut table, START, id, &plans);
    }
    assert!(table.contains_key(&CustomerId(7)));
    let later = START + TimeDelta::from_secs(1_000);
    table.drop_expired(later, &plans);
    assert_eq!(table.len(), 1, "all others have expired");
}

proptest! {
    /// Whatever happens between two requests of a customer, it gets no more than its burst and what is refilled.
    #[test]
    fn customer_dropped_at_any_time_then_its_quota_is_not_renewed(
        steps in prop::collection::vec((0_u64..400, 0_u64..300), 1..200)
    ) {
        let (mut table, plans) = (CustomerTable::new(MAX_CUSTOMERS), plans());
        let (mut now, mut taken, mut next_other) = (START, 0.0, 1_000);
        for (millis, others) in steps {
            now = now + TimeDelta::from_millis(millis);
            for _ in 0..others {
                next_other += 1;
                take_unit(&mut table, now, next_other, &plans);
            }
            taken += f64::from(u8::from(take_unit(&mut table, now, 7, &plans)));
            let allowed = plans[0].burst + plans[0].rate * (now - START).as_secs_f64();
            prop_assert!(taken <= allowed + 1e-3, "{taken} of {allowed}");
        }
    }
}
