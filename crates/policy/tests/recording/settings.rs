//! Random settings.

use chalkdeck::api::*;

use super::{MILLISECOND, SECOND};

fn class(idempotency: Idempotency, key_scope: KeyScope, random: &mut fastrand::Rng) -> Class {
    let objective = random.u64(200..900) * MILLISECOND;
    Class {
        latency_objective: TimeDelta::from_micros(objective),
        deadline: TimeDelta::from_micros(objective * random.u64(2..5)),
        priority_weight: 0.2 + random.f64() * 3.0,
        late_priority_weight: random.f64() * 0.3,
        idempotency,
        key_scope,
        key_window: TimeDelta::from_micros(random.u64(300..3_000) * MILLISECOND),
        is_streaming: false,
        is_admission_only: false,
    }
}

fn plan(rate: f64, burst: f64, priority_multiplier: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_concurrency: 0.0,
        priority_multiplier,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// Classes with every idempotency and key scope, a streaming one and an admission-only one.
fn classes(random: &mut fastrand::Rng) -> Vec<Class> {
    let streaming = Class {
        is_streaming: true,
        ..class(Idempotency::Idempotent, KeyScope::All, random)
    };
    let admission_only = Class {
        is_admission_only: true,
        ..class(Idempotency::NonIdempotent, KeyScope::All, random)
    };
    vec![
        class(Idempotency::Idempotent, KeyScope::All, random),
        class(Idempotency::Idempotent, KeyScope::All, random),
        class(Idempotency::Keyed, KeyScope::Cell, random),
        class(Idempotency::Keyed, KeyScope::Zone, random),
        class(Idempotency::Keyed, KeyScope::All, random),
        class(Idempotency::NonIdempotent, KeyScope::All, random),
        streaming,
        admission_only,
    ]
}

/// Plans with a quota, a ceiling, concurrency limits, and no limit.
fn plans() -> Vec<Plan> {
    let ceiling = Plan {
        ceiling_rate: 20.0,
        ceiling_burst: 40.0,
        ceiling_slack: 4.0,
        ..plan(10.0, 20.0, 1.0)
    };
    let few_slots = Plan {
        max_concurrency: 2.0,
        ..plan(0.0, 0.0, 0.7)
    };
    let many_slots = Plan {
        max_concurrency: 40.0,
        ..plan(0.0, 0.0, 1.5)
    };
    vec![
        plan(10.0, 20.0, 1.0),
        plan(60.0, 90.0, 2.0),
        ceiling,
        few_slots,
        many_slots,
        plan(0.0, 0.0, 1.0),
    ]
}

/// Draws the settings of one gateway.
pub fn draw(random: &mut fastrand::Rng) -> Settings {
    let classes = classes(random);
    let gateways = [1, 2, 20, 300][random.usize(..4)];
    Settings {
        gateways,
        gateway_index: random.u32(..gateways),
        zone: ZoneId(random.u32(..2)),
        classes,
        plans: plans(),
        max_attempts: random.usize(1..5),
        allow_hedging: random.bool(),
        allow_cancel: random.f64() < 0.8,
        allow_probes: random.bool(),
        send_retry_after: random.f64() < 0.8,
        max_retry_after: TimeDelta::from_micros(2 * SECOND),
        use_counter: random.f64() < 0.85,
        counter_timeout: TimeDelta::from_micros(80 * MILLISECOND),
        max_request_units: 4.0,
        requires_subscription: random.bool(),
        max_list_age: None,
        max_customers: None,
        dial_timeout: TimeDelta::from_micros(random.u64(..200) * MILLISECOND),
        answer_slack: TimeDelta::from_micros(8 * MILLISECOND),
        slow_start_min_capacity: 0.2,
        slow_start_duration: TimeDelta::from_micros(random.u64(2..10) * SECOND),
        overload_multiple: 2.0,
        overload_duration: TimeDelta::from_micros(SECOND),
        timer_resolution: TimeDelta::from_micros(2 * MILLISECOND),
    }
}
