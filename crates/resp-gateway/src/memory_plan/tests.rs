//! Tests of the memory plan.

use super::*;

fn plan(memory_mb: f64, sockets: usize) -> MemoryPlan {
    MemoryPlan::new(&ResourceLimits { memory_mb, sockets })
}

/// What the plan allows all peers together, with the process at rest.
fn total(plan: &MemoryPlan, sockets: usize) -> f64 {
    let sessions = plan.sessions as f64 * (1.0 + REPLY_OVERRUN_FRACTION);
    let divided = sessions as usize
        + plan.max_customers * CUSTOMER_BYTES
        + plan.partial_replies
        + plan.discovery
        + plan.reads_per_turn;
    let counter_calls = plan.max_counter_calls as f64 * COUNTER_CALL_BYTES;
    PROCESS_BYTES + CONNECTION_BYTES * sockets as f64 + divided as f64 + counter_calls
}

#[test]
fn all_parts_together_then_a_tenth_of_what_is_divided_is_left_for_the_allocator() {
    for memory_mb in [32.0, 48.0, 64.0, 192.0] {
        for sockets in [256, 1_024] {
            let granted = memory_mb * BYTES_PER_MB;
            let fixed = PROCESS_BYTES + CONNECTION_BYTES * sockets as f64;
            let left = granted - total(&plan(memory_mb, sockets), sockets);
            assert!(
                left >= (granted - fixed) / 10.0,
                "{memory_mb} MB, {sockets} descriptors: {left} bytes left"
            );
        }
    }
}

#[test]
fn grant_is_smaller_than_the_process_then_a_part_of_it_is_divided_all_the_same() {
    let plan = plan(4.0, 1_024);
    assert!(plan.sessions > 0 && plan.max_customers > 0 && plan.max_counter_calls > 0);
}
