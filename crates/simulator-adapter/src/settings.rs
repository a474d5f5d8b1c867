//! The settings of a gateway under the names of the operators' wire.

use crate::fields::{Fields, Result};
use crate::WireError;
use chalkdeck::api::{Class, EndpointId, Idempotency, KeyScope, Plan, Settings, TimeDelta, ZoneId};
use std::collections::HashMap;

/// The most classes, or plans, that are read.
const MAX_LIST_LENGTH: u64 = 10_000;
/// Offset and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Settings, and the names by which the wire knows what they hold.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// What the decision engine takes.
    pub settings: Settings,
    /// Indices of the classes by their names.
    pub classes: HashMap<String, usize>,
    /// Indices of the plans by their names.
    pub plans: HashMap<String, usize>,
    /// Numbers of the zones by their names.
    pub zones: HashMap<String, u32>,
}

/// Reads settings that come in another form, as text values by their paths (`classes.count`,
/// `classes.0.name`).
///
/// # Errors
///
/// A value is missing or cannot be used. The error names its path, what was expected and what was
/// found.
pub fn read_paths(
    paths: &HashMap<String, String>,
) -> std::result::Result<NamedSettings, WireError> {
    let pairs = paths
        .iter()
        .map(|(path, value)| (path.as_str(), value.as_str()))
        .collect();
    read(&Fields {
        line: 0,
        message: "settings",
        pairs,
    })
}

/// The id of an endpoint's name, the same at every gateway: its FNV-1a hash.
pub fn endpoint_id(name: &str) -> EndpointId {
    let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    EndpointId(hash)
}

/// The number of a zone's name; a new name gets the next one.
pub fn zone_id(zones: &mut HashMap<String, u32>, name: &str) -> ZoneId {
    let next = zones.len() as u32;
    ZoneId(*zones.entry(name.to_string()).or_insert(next))
}

/// Reads the settings out of their paths.
pub(crate) fn read(fields: &Fields) -> Result<NamedSettings> {
    let mut class_indices = HashMap::new();
    let mut classes = Vec::new();
    for index in 0..list_length(fields, "classes")? {
        let path = ListPath::new(fields, "classes", index);
        class_indices.insert(path.text("name")?.to_string(), index);
        classes.push(read_class(&path)?);
    }
    let mut plan_indices = HashMap::new();
    let mut plans = Vec::new();
    for index in 0..list_length(fields, "plans")? {
        let path = ListPath::new(fields, "plans", index);
        plan_indices.insert(path.text("name")?.to_string(), index);
        plans.push(read_plan(&path)?);
    }
    let mut zones = HashMap::new();
    if let Some(names) = fields.get("zones") {
        for name in names.split(',') {
            zone_id(&mut zones, name);
        }
    }
    let zone = zone_id(&mut zones, fields.get("zone").unwrap_or(""));
    Ok(NamedSettings {
        settings: read_settings(fields, zone, classes, plans)?,
        classes: class_indices,
        plans: plan_indices,
        zones,
    })
}

fn list_length(fields: &Fields, list: &str) -> Result<usize> {
    let field = format!("{list}.count");
    let count = fields.whole_or(&field, 0)?;
    if count > MAX_LIST_LENGTH {
        return Err(fields.field_error(&field, "at most 10000"));
    }
    Ok(count as usize)
}

/// One entry of a list of settings, and its fields by their last names.
struct ListPath<'f, 'a> {
    fields: &'f Fields<'a>,
    prefix: String,
}

impl<'f, 'a> ListPath<'f, 'a> {
    fn new(fields: &'f Fields<'a>, list: &str, index: usize) -> ListPath<'f, 'a> {
        ListPath {
            fields,
            prefix: format!("{list}.{index}"),
        }
    }

    fn path(&self, name: &str) -> String {
        format!("{}.{name}", self.prefix)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.fields.get(&self.path(name))
    }

    fn field_error(&self, name: &str, expected: &'static str) -> WireError {
        self.fields.field_error(&self.path(name), expected)
    }

    fn text(&self, name: &str) -> Result<&'a str> {
        self.fields.text(&self.path(name))
    }

    fn span(&self, name: &str) -> Result<TimeDelta> {
        let micros = self.fields.whole(&self.path(name))?;
        Ok(TimeDelta::from_micros(micros))
    }

    fn span_or(&self, name: &str, default: TimeDelta) -> Result<TimeDelta> {
        self.fields.span_or(&self.path(name), default)
    }

    fn real_or(&self, name: &str, default: f64) -> Result<f64> {
        self.fields.real_or(&self.path(name), default)
    }

    fn flag_or(&self, name: &str, default: bool) -> Result<bool> {
        self.fields.flag_or(&self.path(name), default)
    }
}

fn read_class(path: &ListPath) -> Result<Class> {
    let deadline = path.span("deadline")?;
    Ok(Class {
        latency_objective: path.span_or("on_time", deadline)?,
        deadline,
        priority_weight: path.real_or("credit", 1.0)?,
        late_priority_weight: path.real_or("late_share", 0.0)?,
        idempotency: read_idempotency(path)?,
        key_scope: read_key_scope(path)?,
        key_window: path.span_or("window", TimeDelta::ZERO)?,
        is_streaming: path.flag_or("streaming", false)?,
        is_admission_only: false,
    })
}

fn read_idempotency(path: &ListPath) -> Result<Idempotency> {
    match path.get("effect") {
        Some("pure") => Ok(Idempotency::Idempotent),
        Some("token") => Ok(Idempotency::Keyed),
        Some("side_effect") | None => Ok(Idempotency::NonIdempotent),
        Some(_) => Err(path.field_error("effect", "pure, token or side_effect")),
    }
}

fn read_key_scope(path: &ListPath) -> Result<KeyScope> {
    match path.get("key_scope") {
        Some("all") => Ok(KeyScope::All),
        Some("zone") => Ok(KeyScope::Zone),
        Some("cell") | None => Ok(KeyScope::Cell),
        Some(_) => Err(path.field_error("key_scope", "all, zone or cell")),
    }
}

fn read_plan(path: &ListPath) -> Result<Plan> {
    Ok(Plan {
        rate: path.real_or("per_second", 0.0)?,
        burst: path.real_or("peak_units", 0.0)?,
        max_concurrency: path.real_or("open", 0.0)?,
        priority_multiplier: path.real_or("price", 1.0)?,
        over_quota_weight: path.real_or("extra_worth", 0.0)?,
        over_quota_cost: path.real_or("excess_cost", 0.0)?,
        ceiling_rate: path.real_or("ceiling_rate", 0.0)?,
        ceiling_burst: path.real_or("cap_depth", 0.0)?,
        ceiling_slack: path.real_or("tolerance", 0.0)?,
    })
}

fn read_settings(
    fields: &Fields,
    zone: ZoneId,
    classes: Vec<Class>,
    plans: Vec<Plan>,
) -> Result<Settings> {
    let small_or = |name: &str, default| -> Result<u32> {
        let value = fields.whole_or(name, default)?;
        Ok(u32::try_from(value).unwrap_or(u32::MAX))
    };
    let span = |name: &str| fields.span_or(name, TimeDelta::ZERO);
    let flag = |name: &str| fields.flag_or(name, false);
    Ok(Settings {
        gateways: small_or("balancers", 1)?,
        gateway_index: small_or("my_number", 0)?,
        zone,
        classes,
        plans,
        max_attempts: fields.whole_or("bounds.max_attempts", 1)? as usize,
        allow_hedging: flag("bounds.second_copies")?,
        allow_cancel: flag("bounds.may_cancel")?,
        allow_probes: flag("bounds.probing")?,
        send_retry_after: flag("bounds.retry_after")?,
        max_retry_after: span("bounds.max_retry_after")?,
        use_counter: flag("specifics.counter")?,
        counter_timeout: span("specifics.count_limit")?,
        max_request_units: fields.real_or("specifics.units_top", 1.0)?,
        requires_subscription: fields.get("membership_mode") == Some("subscribe"),
        dial_timeout: span("bounds.dial_timeout")?,
        answer_slack: span("rules.answer_slack")?,
        slow_start_min_capacity: fields.real_or("rules.cold_from", 1.0)?,
        slow_start_duration: span("rules.cold")?,
        overload_multiple: fields.real_or("rules.fall_multiple", 1.0)?,
        overload_duration: span("rules.tip_after")?,
        timer_resolution: span("tick")?,
    })
}
