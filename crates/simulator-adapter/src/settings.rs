//! Parses the settings of a gateway from fields with the names of the simulator's protocol.

use crate::fields::{Fields, Result};
use crate::WireError;
use chalkdeck::api::{Class, EndpointId, Idempotency, KeyScope, Plan, Settings, TimeDelta, ZoneId};
use std::collections::HashMap;

/// Maximum number of classes or of plans.
const MAX_LIST_LENGTH: u64 = 10_000;
/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Settings of the decision engine, with the names of the classes, plans and zones that they contain.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// Settings of the decision engine.
    pub settings: Settings,
    /// Indices of the classes by name.
    pub class_indices: HashMap<String, usize>,
    /// Indices of the plans by name.
    pub plan_indices: HashMap<String, usize>,
    /// Zone numbers by name.
    pub zone_numbers: HashMap<String, u32>,
}

/// Parses settings that were not read from a line. The values are given by path, for example
/// `classes.count` or `classes.0.name`.
///
/// # Errors
///
/// A value is missing or invalid. The error contains its path, the expected value and the value
/// found.
pub fn parse_values_by_path(
    values: &HashMap<String, String>,
) -> std::result::Result<NamedSettings, WireError> {
    let values_by_name = values
        .iter()
        .map(|(path, value)| (path.as_str(), value.as_str()))
        .collect();
    parse_fields(&Fields {
        line_number: 0,
        message_name: "settings",
        values_by_name,
    })
}

/// Returns the id of an endpoint: the FNV-1a hash of its name, so that every gateway assigns the same
/// id.
pub fn endpoint_id(name: &str) -> EndpointId {
    let hash = name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    EndpointId(hash)
}

/// Returns the id of a zone. A new name is added to `zone_numbers` with the next number.
pub fn zone_id(zone_numbers: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zone_numbers.len() as u32;
    ZoneId(*zone_numbers.entry(name.to_string()).or_insert(next))
}

/// Parses the settings from the fields of a message.
pub(crate) fn parse_fields(fields: &Fields) -> Result<NamedSettings> {
    let mut class_indices = HashMap::new();
    let mut classes = Vec::new();
    for index in 0..list_length(fields, "classes")? {
        let entry = ListEntry::new(fields, "classes", index);
        class_indices.insert(entry.required_text("name")?.to_string(), index);
        classes.push(parse_class(&entry)?);
    }
    let mut plan_indices = HashMap::new();
    let mut plans = Vec::new();
    for index in 0..list_length(fields, "plans")? {
        let entry = ListEntry::new(fields, "plans", index);
        plan_indices.insert(entry.required_text("name")?.to_string(), index);
        plans.push(parse_plan(&entry)?);
    }
    let mut zone_numbers = HashMap::new();
    if let Some(names) = fields.get("zones") {
        for name in names.split(',') {
            zone_id(&mut zone_numbers, name);
        }
    }
    let zone = zone_id(&mut zone_numbers, fields.get("zone").unwrap_or(""));
    Ok(NamedSettings {
        settings: parse_engine_settings(fields, zone, classes, plans)?,
        class_indices,
        plan_indices,
        zone_numbers,
    })
}

fn list_length(fields: &Fields, list: &str) -> Result<usize> {
    let field = format!("{list}.count");
    let count = fields.u64_or(&field, 0)?;
    if count > MAX_LIST_LENGTH {
        return Err(fields.field_error(&field, "at most 10000"));
    }
    Ok(count as usize)
}

/// Access to the fields of one entry of a list in the settings, by their names within the entry.
struct ListEntry<'f, 'a> {
    fields: &'f Fields<'a>,
    /// Path of the entry, for example `classes.0`.
    path: String,
}

impl<'f, 'a> ListEntry<'f, 'a> {
    fn new(fields: &'f Fields<'a>, list: &str, index: usize) -> ListEntry<'f, 'a> {
        ListEntry {
            fields,
            path: format!("{list}.{index}"),
        }
    }

    fn field_path(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.get(&self.field_path(name))
    }

    fn field_error(&self, name: &str, expected: &'static str) -> WireError {
        self.fields.field_error(&self.field_path(name), expected)
    }

    fn required_text(&self, name: &str) -> Result<&'a str> {
        self.fields.required_text(&self.field_path(name))
    }

    fn required_duration(&self, name: &str) -> Result<TimeDelta> {
        let micros = self.fields.required_u64(&self.field_path(name))?;
        Ok(TimeDelta::from_micros(micros))
    }

    fn duration_or(&self, name: &str, default: TimeDelta) -> Result<TimeDelta> {
        self.fields.duration_or(&self.field_path(name), default)
    }

    fn f64_or(&self, name: &str, default: f64) -> Result<f64> {
        self.fields.f64_or(&self.field_path(name), default)
    }

    fn bool_or(&self, name: &str, default: bool) -> Result<bool> {
        self.fields.bool_or(&self.field_path(name), default)
    }
}

fn parse_class(entry: &ListEntry) -> Result<Class> {
    let deadline = entry.required_duration("deadline")?;
    Ok(Class {
        latency_objective: entry.duration_or("on_time", deadline)?,
        deadline,
        priority_weight: entry.f64_or("credit", 1.0)?,
        late_priority_weight: entry.f64_or("late_share", 0.0)?,
        idempotency: parse_idempotency(entry)?,
        key_scope: parse_key_scope(entry)?,
        key_window: entry.duration_or("window", TimeDelta::ZERO)?,
        is_streaming: entry.bool_or("streaming", false)?,
        is_admission_only: false,
    })
}

fn parse_idempotency(entry: &ListEntry) -> Result<Idempotency> {
    match entry.get("effect") {
        Some("pure") => Ok(Idempotency::Idempotent),
        Some("token") => Ok(Idempotency::Keyed),
        Some("side_effect") | None => Ok(Idempotency::NonIdempotent),
        Some(_) => Err(entry.field_error("effect", "pure, token or side_effect")),
    }
}

fn parse_key_scope(entry: &ListEntry) -> Result<KeyScope> {
    match entry.get("key_scope") {
        Some("all") => Ok(KeyScope::All),
        Some("zone") => Ok(KeyScope::Zone),
        Some("cell") | None => Ok(KeyScope::Cell),
        Some(_) => Err(entry.field_error("key_scope", "all, zone or cell")),
    }
}

fn parse_plan(entry: &ListEntry) -> Result<Plan> {
    Ok(Plan {
        rate: entry.f64_or("per_second", 0.0)?,
        burst: entry.f64_or("peak_units", 0.0)?,
        max_concurrency: entry.f64_or("open", 0.0)?,
        priority_multiplier: entry.f64_or("price", 1.0)?,
        over_quota_weight: entry.f64_or("extra_worth", 0.0)?,
        over_quota_cost: entry.f64_or("excess_cost", 0.0)?,
        ceiling_rate: entry.f64_or("ceiling_rate", 0.0)?,
        ceiling_burst: entry.f64_or("cap_depth", 0.0)?,
        ceiling_slack: entry.f64_or("tolerance", 0.0)?,
    })
}

fn parse_engine_settings(
    fields: &Fields,
    zone: ZoneId,
    classes: Vec<Class>,
    plans: Vec<Plan>,
) -> Result<Settings> {
    let u32_or = |name: &str, default| -> Result<u32> {
        let value = fields.u64_or(name, default)?;
        Ok(u32::try_from(value).unwrap_or(u32::MAX))
    };
    let duration = |name: &str| fields.duration_or(name, TimeDelta::ZERO);
    let is_enabled = |name: &str| fields.bool_or(name, false);
    Ok(Settings {
        gateways: u32_or("balancers", 1)?,
        gateway_index: u32_or("my_number", 0)?,
        zone,
        classes,
        plans,
        max_attempts: fields.u64_or("bounds.max_attempts", 1)? as usize,
        allow_hedging: is_enabled("bounds.second_copies")?,
        allow_cancel: is_enabled("bounds.may_cancel")?,
        allow_probes: is_enabled("bounds.probing")?,
        send_retry_after: is_enabled("bounds.retry_after")?,
        max_retry_after: duration("bounds.max_retry_after")?,
        use_counter: is_enabled("specifics.counter")?,
        counter_timeout: duration("specifics.count_limit")?,
        max_request_units: fields.f64_or("specifics.units_top", 1.0)?,
        requires_subscription: fields.get("membership_mode") == Some("subscribe"),
        max_list_age: None,
        max_customers: None,
        dial_timeout: duration("bounds.dial_timeout")?,
        answer_slack: duration("rules.answer_slack")?,
        slow_start_min_capacity: fields.f64_or("rules.cold_from", 1.0)?,
        slow_start_duration: duration("rules.cold")?,
        overload_multiple: fields.f64_or("rules.fall_multiple", 1.0)?,
        overload_duration: duration("rules.tip_after")?,
        timer_resolution: duration("tick")?,
    })
}
