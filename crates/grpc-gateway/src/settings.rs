//! Loads the settings of a gateway from protobuf text, validates them and converts them to the settings of the decision engine.

use crate::base::listed_endpoint::zone_id_of;
pub use crate::base::settings::{
    CoordinatorSettings, RespSettings, Route, Settings, SettingsError,
};
use chalkdeck::api::{self, Idempotency, KeyScope, TimeDelta};
use chalkdeck_net::Limits;
use chalkdeck_proto::chalkdeck::config::v1 as wire;
use chalkdeck_proto::text;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The full name of the protobuf message of the settings.
pub const MESSAGE: &str = "chalkdeck.config.v1.Gateway";

/// The text of the settings and its file, for error messages.
struct Source<'a> {
    file: String,
    text: &'a str,
}

type Result<T> = std::result::Result<T, SettingsError>;

impl Source<'_> {
    /// An error at line 1.
    fn error<T>(&self, what: impl Into<String>) -> Result<T> {
        Err(SettingsError {
            file: self.file.clone(),
            line: 1,
            what: what.into(),
        })
    }
    /// An error at the first line that contains the value, or at line 1 if none does.
    fn error_at<T>(&self, value: &str, what: String) -> Result<T> {
        let line = self
            .text
            .lines()
            .position(|l| l.contains(value))
            .map_or(1, |i| i + 1);
        Err(SettingsError {
            file: self.file.clone(),
            line,
            what,
        })
    }
    fn parse_address(&self, field: &str, value: &str) -> Result<SocketAddr> {
        match value.parse() {
            Ok(address) => Ok(address),
            Err(_) => self.error_at(value, format!("{field}: expected ip:port, found '{value}'")),
        }
    }
    /// The index of a name that has to be among `names`.
    fn index_of(&self, field: &str, value: &str, names: &[String]) -> Result<usize> {
        match names.iter().position(|n| n == value) {
            Some(index) => Ok(index),
            None => self.error_at(
                &format!("\"{value}\""),
                format!(
                    "{field}: expected one of {}, found '{value}'",
                    names.join(", ")
                ),
            ),
        }
    }
    fn require_unique_names(&self, field: &str, names: &[String]) -> Result<()> {
        for (i, name) in names.iter().enumerate() {
            if name.is_empty() || names[..i].contains(name) {
                let what = format!("{field}[{i}].name: expected a name of its own, found '{name}'");
                return self.error_at(&format!("\"{name}\""), what);
            }
        }
        Ok(())
    }
    fn parse_class(&self, i: usize, class: &wire::Class) -> Result<api::Class> {
        let invalid = |what: String| {
            self.error_at(
                &format!("\"{}\"", class.name),
                format!("classes[{i}].{what}"),
            )
        };
        if class.deadline_ms == 0 {
            return invalid("deadline_ms: expected milliseconds above 0".to_string());
        }
        let idempotency = match class.effect() {
            wire::class::Effect::Safe => Idempotency::Idempotent,
            wire::class::Effect::Keyed => Idempotency::Keyed,
            wire::class::Effect::Unsafe => Idempotency::NonIdempotent,
            wire::class::Effect::Unspecified => {
                return invalid("effect: expected SAFE, KEYED or UNSAFE, found none".to_string())
            }
        };
        if idempotency == Idempotency::Keyed && class.window_ms == 0 {
            return invalid(
                "window_ms: expected milliseconds above 0 for a KEYED class".to_string(),
            );
        }
        if class.aim_ms > class.deadline_ms {
            return invalid(format!(
                "aim_ms: expected at most deadline_ms ({}), found {}",
                class.deadline_ms, class.aim_ms
            ));
        }
        Ok(api::Class {
            latency_objective: millis(if class.aim_ms == 0 {
                class.deadline_ms
            } else {
                class.aim_ms
            }),
            deadline: millis(class.deadline_ms),
            priority_weight: if class.worth == 0.0 { 1.0 } else { class.worth },
            late_priority_weight: class.late_worth,
            idempotency,
            key_scope: match class.group() {
                wire::class::Group::All => KeyScope::All,
                wire::class::Group::Zone => KeyScope::Zone,
                wire::class::Group::Cell | wire::class::Group::Unspecified => KeyScope::Cell,
            },
            key_window: millis(class.window_ms),
            is_streaming: class.stream,
            is_admission_only: false,
        })
    }
}

fn millis(ms: u32) -> TimeDelta {
    TimeDelta::from_micros(u64::from(ms) * 1_000)
}

/// The value, or the default for zero, which is an unset field in proto3.
fn or_default(value: u32, default: u32) -> u32 {
    if value == 0 {
        default
    } else {
        value
    }
}

fn policy_plan(plan: &wire::Plan) -> api::Plan {
    api::Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_concurrency: plan.open,
        priority_multiplier: if plan.price == 0.0 { 1.0 } else { plan.price },
        over_quota_weight: plan.over_worth,
        over_quota_cost: plan.over_cost,
        ceiling_rate: plan.ceiling_rate,
        ceiling_burst: plan.ceiling_burst,
        ceiling_slack: plan.ceiling_slack,
    }
}

impl Settings {
    /// Loads and validates a settings file. Relative paths in it are relative to the file's folder.
    pub fn load(path: &Path) -> Result<Settings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            file: file.clone(),
            line: 1,
            what: format!("expected a readable settings file: {e}"),
        })?;
        let mut settings = Settings::parse(&file, &text)?;
        if let Some(folder) = path.parent() {
            settings.endpoint_list_file = folder.join(&settings.endpoint_list_file);
            settings.site_overrides_file =
                settings.site_overrides_file.map(|file| folder.join(file));
            if let Some(coordinator) = &mut settings.coordinator {
                coordinator.regions_file = coordinator
                    .regions_file
                    .take()
                    .map(|file| folder.join(file));
                coordinator.state_file =
                    coordinator.state_file.take().map(|file| folder.join(file));
            }
        }
        Ok(settings)
    }

    /// The plan of a customer, by its name; `None`: it has no plan.
    pub fn plan_for(&self, customer: &str) -> Option<api::PlanId> {
        self.plan_of
            .get(customer)
            .copied()
            .or(self.default_plan)
            .map(api::PlanId)
    }

    /// Parses and validates settings given as text; `file` is the file name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let source = Source {
            file: file.to_string(),
            text,
        };
        let wire: wire::Gateway = text::parse(MESSAGE, text).map_err(|e| SettingsError {
            file: file.to_string(),
            line: e.line,
            what: e.message,
        })?;
        build(&source, &wire)
    }
}

fn parse_routes(source: &Source, wire: &wire::Gateway, classes: &[String]) -> Result<Vec<Route>> {
    let mut routes = Vec::new();
    for (i, route) in wire.routes.iter().enumerate() {
        let invalid = |what: String| {
            source.error_at(
                &format!("\"{}\"", route.path),
                format!("routes[{i}].{what}"),
            )
        };
        if !route.path.starts_with('/') {
            return invalid(format!(
                "path: expected a path like /package.Service/Method, found '{}'",
                route.path
            ));
        }
        if !route.units.is_finite() || route.units < 0.0 {
            return invalid(format!(
                "units: expected a number of 0 or more, found {}",
                route.units
            ));
        }
        routes.push(Route {
            path: route.path.trim_end_matches('*').to_string(),
            is_prefix: route.path.ends_with('*'),
            class: source.index_of(&format!("routes[{i}].class"), &route.class, classes)?,
            units: if route.units == 0.0 { 1.0 } else { route.units },
            allows_client_units: route.client_units,
        });
    }
    Ok(routes)
}

fn admission_queue_settings(wire: wire::Door) -> Option<chalkdeck_admission_queue::Settings> {
    let default = chalkdeck_admission_queue::Settings::default();
    let or_default = |value: u32, default: usize| if value == 0 { default } else { value as usize };
    let max_wait = if wire.longest_wait_ms == 0 {
        default.max_wait
    } else {
        millis(wire.longest_wait_ms)
    };
    (!wire.off).then(|| chalkdeck_admission_queue::Settings {
        max_in_flight: or_default(wire.inside, default.max_in_flight),
        max_admitted_per_turn: or_default(wire.each_turn, default.max_admitted_per_turn),
        max_queued: or_default(wire.waiting, default.max_queued),
        max_queued_per_queue: or_default(wire.queue, default.max_queued_per_queue),
        max_wait,
        ..default
    })
}

/// The settings of the RESP port. Its class is a copy of the named one in which requests are only admitted.
fn resp_settings(
    source: &Source,
    wire: &wire::Gateway,
    classes: &mut Vec<api::Class>,
    names: &mut Vec<String>,
) -> Result<Option<RespSettings>> {
    let Some(resp) = &wire.resp else {
        return Ok(None);
    };
    let class = source.index_of("resp.class", &resp.class, names)?;
    let admission_class = api::Class {
        is_admission_only: true,
        idempotency: Idempotency::NonIdempotent,
        is_streaming: false,
        ..classes[class].clone()
    };
    classes.push(admission_class);
    names.push(names[class].clone());
    Ok(Some(RespSettings {
        listen: source.parse_address("resp.listen", &resp.listen)?,
        password: resp.password.clone(),
        class: classes.len() - 1,
        default_lease: u64::from(or_default(resp.lease_ms, 30_000)) * 1_000,
        max_connections: or_default(resp.connections, 10_000) as usize,
    }))
}

fn coordinator_settings(
    source: &Source,
    wire: &wire::Gateway,
) -> Result<Option<CoordinatorSettings>> {
    let Some(coordinator) = &wire.keepers else {
        return Ok(None);
    };
    let addresses = coordinator
        .addresses
        .iter()
        .map(|address| source.parse_address("keepers.addresses", address))
        .collect::<Result<Vec<_>>>()?;
    if addresses.is_empty() || addresses.len() > 5 {
        return source.error(format!(
            "keepers.addresses: expected one to five, found {}",
            addresses.len()
        ));
    }
    let metadata = |field: &str, name: &str| match name.parse::<http::HeaderName>() {
        Ok(name) => Ok(name),
        Err(_) => source.error_at(
            name,
            format!("keepers.{field}: expected a metadata name, found '{name}'"),
        ),
    };
    let region_metadata = non_empty(&coordinator.region_metadata);
    Ok(Some(CoordinatorSettings {
        addresses,
        name: non_empty(&coordinator.name)
            .unwrap_or_else(|| format!("{}/{}", wire.zone, wire.number)),
        region: non_empty(&coordinator.region).unwrap_or_else(|| wire.zone.clone()),
        region_metadata: region_metadata
            .map(|name| metadata("region_metadata", &name))
            .transpose()?,
        regions_file: non_empty(&coordinator.regions_file).map(PathBuf::from),
        state_file: non_empty(&coordinator.state_file).map(PathBuf::from),
        report_interval: u64::from(or_default(coordinator.report_ms, 1_000)) * 1_000,
        is_candidate: !coordinator.no_duties,
        version_metadata: match coordinator.version_metadata.as_str() {
            "" => http::HeaderName::from_static("x-protocol-version"),
            name => metadata("version_metadata", name)?,
        },
    }))
}

/// The text, or `None` if it is empty, which is an unset field in proto3.
fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

/// Validates the message and fills in defaults. The order of the checks decides which error is reported first.
fn build(source: &Source, wire: &wire::Gateway) -> Result<Settings> {
    let mut class_names: Vec<String> = wire.classes.iter().map(|c| c.name.clone()).collect();
    let plan_names: Vec<String> = wire.plans.iter().map(|p| p.name.clone()).collect();
    require_lists(source, wire, &class_names, &plan_names)?;
    let mut classes = Vec::new();
    for (index, class) in wire.classes.iter().enumerate() {
        classes.push(source.parse_class(index, class)?);
    }
    let routes = parse_routes(source, wire, &class_names)?;
    let unkeyed_class = add_unkeyed_classes(&mut classes, &mut class_names);
    let customers = customer_settings(source, wire, &plan_names)?;
    let endpoints = wire.endpoints.clone().unwrap_or_default();
    if endpoints.file.is_empty() {
        return source.error("endpoints.file: expected the file with the server list");
    }
    let log_level = parse_log_level(source, wire)?;
    let counter_addresses = parse_counter_addresses(source, wire)?;
    let resp = resp_settings(source, wire, &mut classes, &mut class_names)?;
    let policy = policy_settings(wire, classes, !counter_addresses.is_empty());
    if let Err(error) = policy.check() {
        return source.error(error.to_string());
    }
    let sites = wire.sites.clone().unwrap_or_default();
    let limits = wire.limits.unwrap_or_default();
    Ok(Settings {
        listen: source.parse_address("listen", &wire.listen)?,
        admin: parse_admin_address(source, wire)?,
        routes,
        unkeyed_class,
        class_names,
        plan_names,
        customer_metadata: customers.metadata,
        default_plan: customers.default_plan,
        plan_of: customers.plan_of,
        customer_gateways: customers.customer_gateways,
        is_site_failover_enabled: sites.on,
        is_site_shedding_enabled: sites.on && !sites.failover_only,
        site_overrides_file: non_empty(&sites.words_file).map(PathBuf::from),
        coordinator: coordinator_settings(source, wire)?,
        zone_name: wire.zone.clone(),
        counter_addresses,
        resp,
        admission_queue: admission_queue_settings(wire.door.unwrap_or_default()),
        endpoint_list_file: PathBuf::from(endpoints.file),
        endpoint_poll_interval: u64::from(or_default(endpoints.poll_ms, 200)) * 1_000,
        connect_timeout: u64::from(or_default(endpoints.connect_timeout_ms, 250)) * 1_000,
        max_connections_per_endpoint: or_default(endpoints.connections, 2) as usize,
        max_streams_per_connection: or_default(endpoints.streams, 100),
        keepalive_interval: u64::from(or_default(endpoints.keepalive_ms, 10_000)) * 1_000,
        max_buffered_bytes: or_default(limits.keep_bytes, 65_536) as usize,
        client_limits: client_limits(wire),
        log_level,
        log_json: wire.logs.as_ref().is_some_and(|logs| logs.json),
        policy,
    })
}

fn require_lists(
    source: &Source,
    wire: &wire::Gateway,
    class_names: &[String],
    plan_names: &[String],
) -> Result<()> {
    source.require_unique_names("classes", class_names)?;
    source.require_unique_names("plans", plan_names)?;
    for (field, is_empty) in [
        ("classes", wire.classes.is_empty()),
        ("plans", wire.plans.is_empty()),
        ("routes", wire.routes.is_empty()),
    ] {
        if is_empty {
            return source.error(format!("{field}: expected at least one"));
        }
    }
    Ok(())
}

/// Adds a non-idempotent class for each keyed one, for its calls without an idempotency key. Returns for each class the index of
/// the class that its calls without a key have.
fn add_unkeyed_classes(classes: &mut Vec<api::Class>, class_names: &mut Vec<String>) -> Vec<usize> {
    let mut unkeyed_class: Vec<usize> = (0..classes.len()).collect();
    for index in 0..unkeyed_class.len() {
        if classes[index].idempotency == Idempotency::Keyed {
            unkeyed_class[index] = classes.len();
            classes.push(api::Class {
                idempotency: Idempotency::NonIdempotent,
                ..classes[index].clone()
            });
            class_names.push(class_names[index].clone());
        }
    }
    unkeyed_class.extend(unkeyed_class.len()..classes.len());
    unkeyed_class
}

/// The metadata that names the customer, and the plans by index.
struct CustomerSettings {
    metadata: http::HeaderName,
    default_plan: Option<usize>,
    plan_of: HashMap<String, usize>,
    customer_gateways: u32,
}

fn customer_settings(
    source: &Source,
    wire: &wire::Gateway,
    plan_names: &[String],
) -> Result<CustomerSettings> {
    let customers = wire.customers.clone().unwrap_or_default();
    let mut plan_of = HashMap::new();
    for (customer, plan) in &customers.plan_of {
        let plan = source.index_of("customers.plan_of", plan, plan_names)?;
        plan_of.insert(customer.clone(), plan);
    }
    let default_plan = match customers.default_plan.as_str() {
        "" => None,
        name => Some(source.index_of("customers.default_plan", name, plan_names)?),
    };
    let name = non_empty(&customers.metadata).unwrap_or_else(|| "x-customer".to_string());
    let Ok(metadata) = name.parse() else {
        return source.error_at(
            &name,
            format!("customers.metadata: expected a metadata name, found '{name}'"),
        );
    };
    let fleet = or_default(wire.fleet, 1);
    Ok(CustomerSettings {
        metadata,
        default_plan,
        plan_of,
        customer_gateways: or_default(customers.spread, fleet).min(fleet),
    })
}

fn parse_log_level(source: &Source, wire: &wire::Gateway) -> Result<String> {
    let logs = wire.logs.clone().unwrap_or_default();
    let level = non_empty(&logs.level).unwrap_or_else(|| "info".to_string());
    let levels = ["error", "warn", "info", "debug", "trace"].map(String::from);
    source.index_of("logs.level", &level, &levels)?;
    Ok(level)
}

fn parse_counter_addresses(source: &Source, wire: &wire::Gateway) -> Result<Vec<SocketAddr>> {
    let counter = wire.counter.clone().unwrap_or_default();
    if !counter.address.is_empty() && !counter.parts.is_empty() {
        return source.error("counter: expected address or parts, found both");
    }
    let mut addresses = Vec::new();
    if !counter.address.is_empty() {
        addresses.push(source.parse_address("counter.address", &counter.address)?);
    }
    for part in &counter.parts {
        addresses.push(source.parse_address("counter.parts", part)?);
    }
    Ok(addresses)
}

fn parse_admin_address(source: &Source, wire: &wire::Gateway) -> Result<Option<SocketAddr>> {
    match wire.admin.as_str() {
        "" => Ok(None),
        text => Ok(Some(source.parse_address("admin", text)?)),
    }
}

/// The settings of the decision engine.
fn policy_settings(
    wire: &wire::Gateway,
    classes: Vec<api::Class>,
    use_counter: bool,
) -> api::Settings {
    let counter = wire.counter.clone().unwrap_or_default();
    let endpoints = wire.endpoints.clone().unwrap_or_default();
    let limits = wire.limits.unwrap_or_default();
    let start = wire.start.unwrap_or_default();
    api::Settings {
        gateways: or_default(wire.fleet, 1),
        gateway_index: wire.number,
        zone: zone_id_of(&wire.zone),
        classes,
        plans: wire.plans.iter().map(policy_plan).collect(),
        max_attempts: or_default(limits.attempts, 3) as usize,
        allow_hedging: false,
        allow_cancel: true,
        allow_probes: false,
        send_retry_after: limits.retry_after_ms > 0,
        max_retry_after: millis(limits.retry_after_ms),
        use_counter,
        counter_timeout: millis(or_default(counter.timeout_ms, 80)),
        max_request_units: if limits.most_units == 0.0 {
            1.0
        } else {
            limits.most_units
        },
        requires_subscription: false,
        // Nothing confirms a list file: it is as current as whoever writes it.
        max_list_age: None,
        max_customers: None,
        dial_timeout: millis(or_default(endpoints.connect_timeout_ms, 250)),
        answer_slack: TimeDelta::from_micros(0),
        slow_start_min_capacity: if start.cold_ms == 0 {
            1.0
        } else {
            start.cold_from
        },
        slow_start_duration: millis(start.cold_ms),
        overload_multiple: if start.fall_multiple == 0.0 {
            2.0
        } else {
            start.fall_multiple
        },
        overload_duration: millis(start.tip_after_ms),
        timer_resolution: TimeDelta::from_micros(1_000),
    }
}

/// The limits of clients' connections.
fn client_limits(wire: &wire::Gateway) -> Limits {
    let limits = wire.limits.unwrap_or_default();
    Limits {
        max_connections: or_default(limits.connections, 16_384) as usize,
        max_streams: or_default(limits.streams_per_connection, 1_024),
        max_header_bytes: or_default(limits.header_bytes, 16_384),
        max_resets_per_second: or_default(limits.resets_per_second, 1_000),
        ..Limits::default()
    }
}
