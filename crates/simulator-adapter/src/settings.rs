//! The settings of a gateway under the names of the operators' wire. Nothing here decides.

use crate::fields::{Fields, Result, WireError};
use chalkdeck::api::*;
use std::collections::HashMap;

/// What was read: the settings, and the places of the names in them.
#[derive(Clone, Debug)]
pub struct Read {
    /// What the decisions take.
    pub settings: Settings,
    /// Places of the classes by their names.
    pub classes: HashMap<String, usize>,
    /// Places of the plans by their names.
    pub plans: HashMap<String, usize>,
    /// Numbers of the zones by their names.
    pub zones: HashMap<String, u32>,
}

/// Reads settings that are told in another form, as text values by their paths (`classes.count`, `classes.0.name`). Errors name
/// the path, what was expected and what was found.
pub fn read_paths(paths: &HashMap<String, String>) -> std::result::Result<Read, WireError> {
    let pairs = paths
        .iter()
        .map(|(k, v)| (k.as_str(), v.as_str()))
        .collect();
    read(&Fields {
        at: 0,
        message: "settings",
        pairs,
    })
}

/// The number of a server's name, the same at every gateway: its FNV-1a hash.
pub fn server_id(name: &str) -> EndpointId {
    let step = |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    EndpointId(name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, step))
}

/// The number of a zone's name; a new name gets the next one.
pub fn zone_id(zones: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zones.len() as u32;
    ZoneId(*zones.entry(name.to_string()).or_insert(next))
}

/// Reads the settings out of their paths.
pub(crate) fn read(f: &Fields) -> Result<Read> {
    let list = |prefix: &str| -> Result<usize> {
        let count = f.whole_or(&format!("{prefix}.count"), 0)?;
        if count > 10_000 {
            return f.fail(&format!("{prefix}.count"), "at most 10000");
        }
        Ok(count as usize)
    };
    let (mut classes, mut class_list) = (HashMap::new(), Vec::new());
    for i in 0..list("classes")? {
        let key = |k: &str| format!("classes.{i}.{k}");
        classes.insert(f.text(&key("name"))?.to_string(), i);
        let deadline = TimeDelta::from_micros(f.whole(&key("deadline"))?);
        class_list.push(Class {
            latency_objective: f.micros_or(&key("on_time"), deadline.as_micros())?,
            deadline,
            priority_weight: f.real_or(&key("credit"), 1.0)?,
            late_priority_weight: f.real_or(&key("late_share"), 0.0)?,
            idempotency: match f.pairs.get(key("effect").as_str()) {
                Some(&"pure") => Idempotency::Idempotent,
                Some(&"token") => Idempotency::Keyed,
                Some(&"side_effect") | None => Idempotency::NonIdempotent,
                Some(_) => return f.fail(&key("effect"), "pure, token or side_effect"),
            },
            key_scope: match f.pairs.get(key("key_scope").as_str()) {
                Some(&"all") => KeyScope::All,
                Some(&"zone") => KeyScope::Zone,
                Some(&"cell") | None => KeyScope::Cell,
                Some(_) => return f.fail(&key("key_scope"), "all, zone or cell"),
            },
            key_window: f.micros_or(&key("window"), 0)?,
            is_streaming: f.flag_or(&key("streaming"), false)?,
            admission_only: false,
        });
    }
    let (mut plans, mut plan_list) = (HashMap::new(), Vec::new());
    for i in 0..list("plans")? {
        let key = |k: &str| format!("plans.{i}.{k}");
        let real = |k: &str, default| f.real_or(&key(k), default);
        plans.insert(f.text(&key("name"))?.to_string(), i);
        plan_list.push(Plan {
            rate: real("per_second", 0.0)?,
            burst: real("peak_units", 0.0)?,
            max_concurrency: real("open", 0.0)?,
            priority_multiplier: real("price", 1.0)?,
            over_quota_weight: real("extra_worth", 0.0)?,
            over_quota_cost: real("excess_cost", 0.0)?,
            ceiling_rate: real("ceiling_rate", 0.0)?,
            ceiling_burst: real("cap_depth", 0.0)?,
            ceiling_slack: real("tolerance", 0.0)?,
        });
    }
    let mut zones = HashMap::new();
    for name in f.pairs.get("zones").into_iter().flat_map(|z| z.split(',')) {
        let next = zones.len() as u32;
        zones.entry(name.to_string()).or_insert(next);
    }
    let zone = zone_id(&mut zones, f.pairs.get("zone").copied().unwrap_or(""));
    let settings = Settings {
        gateways: f.whole_or("balancers", 1)?.min(u32::MAX.into()) as u32,
        gateway_index: f.whole_or("my_number", 0)?.min(u32::MAX.into()) as u32,
        zone,
        classes: class_list,
        plans: plan_list,
        max_attempts: f.whole_or("bounds.max_attempts", 1)? as usize,
        allow_hedging: f.flag_or("bounds.second_copies", false)?,
        allow_cancel: f.flag_or("bounds.may_cancel", false)?,
        allow_probes: f.flag_or("bounds.probing", false)?,
        send_retry_after: f.flag_or("bounds.retry_after", false)?,
        max_retry_after: f.micros_or("bounds.max_retry_after", 0)?,
        use_counter: f.flag_or("specifics.counter", false)?,
        counter_timeout: f.micros_or("specifics.count_limit", 0)?,
        max_request_units: f.real_or("specifics.units_top", 1.0)?,
        requires_subscription: f.pairs.get("membership_mode") == Some(&"subscribe"),
        dial_timeout: f.micros_or("bounds.dial_timeout", 0)?,
        answer_slack: f.micros_or("rules.answer_slack", 0)?,
        slow_start_min_capacity: f.real_or("rules.cold_from", 1.0)?,
        slow_start_duration: f.micros_or("rules.cold", 0)?,
        overload_multiple: f.real_or("rules.fall_multiple", 1.0)?,
        overload_duration: f.micros_or("rules.tip_after", 0)?,
        timer_resolution: f.micros_or("tick", 0)?,
    };
    Ok(Read {
        settings,
        classes,
        plans,
        zones,
    })
}
