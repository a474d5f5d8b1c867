//! Settings of a gateway: read from protobuf text, checked, and turned into what the decisions take.

use crate::base::server::zone_of;
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

/// The name of the settings' message.
pub const MESSAGE: &str = "chalkdeck.config.v1.Gateway";

/// A text with the file it came from, for errors.
struct Source<'a> {
    file: String,
    text: &'a str,
}

type Result<T> = std::result::Result<T, SettingsError>;

impl Source<'_> {
    fn fail<T>(&self, what: impl Into<String>) -> Result<T> {
        Err(SettingsError {
            file: self.file.clone(),
            line: 1,
            what: what.into(),
        })
    }
    /// The line that holds the value, as far as the text tells.
    fn fail_at<T>(&self, value: &str, what: String) -> Result<T> {
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
    fn address(&self, field: &str, value: &str) -> Result<SocketAddr> {
        match value.parse() {
            Ok(address) => Ok(address),
            Err(_) => self.fail_at(value, format!("{field}: expected ip:port, found '{value}'")),
        }
    }
    fn known(&self, field: &str, value: &str, names: &[String]) -> Result<usize> {
        match names.iter().position(|n| n == value) {
            Some(place) => Ok(place),
            None => self.fail_at(
                &format!("\"{value}\""),
                format!(
                    "{field}: expected one of {}, found '{value}'",
                    names.join(", ")
                ),
            ),
        }
    }
    fn named(&self, field: &str, names: &[String]) -> Result<()> {
        for (i, name) in names.iter().enumerate() {
            if name.is_empty() || names[..i].contains(name) {
                let what = format!("{field}[{i}].name: expected a name of its own, found '{name}'");
                return self.fail_at(&format!("\"{name}\""), what);
            }
        }
        Ok(())
    }
    fn class(&self, i: usize, c: &wire::Class) -> Result<api::Class> {
        let at =
            |what: String| self.fail_at(&format!("\"{}\"", c.name), format!("classes[{i}].{what}"));
        if c.deadline_ms == 0 {
            return at("deadline_ms: expected milliseconds above 0".to_string());
        }
        let effect = match c.effect() {
            wire::class::Effect::Safe => Idempotency::Idempotent,
            wire::class::Effect::Keyed => Idempotency::Keyed,
            wire::class::Effect::Unsafe => Idempotency::NonIdempotent,
            wire::class::Effect::Unspecified => {
                return at("effect: expected SAFE, KEYED or UNSAFE, found none".to_string())
            }
        };
        if effect == Idempotency::Keyed && c.window_ms == 0 {
            return at("window_ms: expected milliseconds above 0 for a KEYED class".to_string());
        }
        if c.aim_ms > c.deadline_ms {
            return at(format!(
                "aim_ms: expected at most deadline_ms ({}), found {}",
                c.deadline_ms, c.aim_ms
            ));
        }
        Ok(api::Class {
            latency_objective: millis(if c.aim_ms == 0 {
                c.deadline_ms
            } else {
                c.aim_ms
            }),
            deadline: millis(c.deadline_ms),
            priority_weight: if c.worth == 0.0 { 1.0 } else { c.worth },
            late_priority_weight: c.late_worth,
            idempotency: effect,
            key_scope: match c.group() {
                wire::class::Group::All => KeyScope::All,
                wire::class::Group::Zone => KeyScope::Zone,
                wire::class::Group::Cell | wire::class::Group::Unspecified => KeyScope::Cell,
            },
            key_window: millis(c.window_ms),
            is_streaming: c.stream,
            is_admission_only: false,
        })
    }
}

fn millis(ms: u32) -> TimeDelta {
    TimeDelta::from_micros(u64::from(ms) * 1_000)
}

/// Zero means that nothing was said.
fn or(value: u32, default: u32) -> u32 {
    if value == 0 {
        default
    } else {
        value
    }
}

fn plan(p: &wire::Plan) -> api::Plan {
    api::Plan {
        rate: p.rate,
        burst: p.burst,
        max_concurrency: p.open,
        priority_multiplier: if p.price == 0.0 { 1.0 } else { p.price },
        over_quota_weight: p.over_worth,
        over_quota_cost: p.over_cost,
        ceiling_rate: p.ceiling_rate,
        ceiling_burst: p.ceiling_burst,
        ceiling_slack: p.ceiling_slack,
    }
}

impl Settings {
    /// Reads and checks a file. A path inside it that is not absolute starts at the file's folder.
    pub fn load(path: &Path) -> Result<Settings> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            file: file.clone(),
            line: 1,
            what: format!("expected a readable settings file: {e}"),
        })?;
        let mut settings = Settings::parse(&file, &text)?;
        if let Some(folder) = path.parent() {
            settings.endpoints = folder.join(&settings.endpoints);
            settings.site_words = settings.site_words.map(|file| folder.join(file));
            if let Some(keepers) = &mut settings.coordinator {
                keepers.regions = keepers.regions.take().map(|file| folder.join(file));
                keepers.state = keepers.state.take().map(|file| folder.join(file));
            }
        }
        Ok(settings)
    }

    /// The plan of a customer, by its name; none: it is not known here.
    pub fn plan_for(&self, customer: &str) -> Option<api::PlanId> {
        self.plan_of
            .get(customer)
            .copied()
            .or(self.default_plan)
            .map(api::PlanId)
    }

    /// Checks settings given as text; `file` stands in errors.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let source = Source {
            file: file.to_string(),
            text,
        };
        let wire: wire::Gateway = text::parse(MESSAGE, text).map_err(|e| SettingsError {
            file: file.to_string(),
            line: e.line,
            what: e.what,
        })?;
        check(&source, &wire)
    }
}

fn routes(source: &Source, wire: &wire::Gateway, classes: &[String]) -> Result<Vec<Route>> {
    let mut routes = Vec::new();
    for (i, r) in wire.routes.iter().enumerate() {
        let at = |what: String| {
            source.fail_at(&format!("\"{}\"", r.path), format!("routes[{i}].{what}"))
        };
        if !r.path.starts_with('/') {
            return at(format!(
                "path: expected a path like /package.Service/Method, found '{}'",
                r.path
            ));
        }
        if !r.units.is_finite() || r.units < 0.0 {
            return at(format!(
                "units: expected a number of 0 or more, found {}",
                r.units
            ));
        }
        routes.push(Route {
            path: r.path.trim_end_matches('*').to_string(),
            prefix: r.path.ends_with('*'),
            class: source.known(&format!("routes[{i}].class"), &r.class, classes)?,
            units: if r.units == 0.0 { 1.0 } else { r.units },
            client_units: r.client_units,
        });
    }
    Ok(routes)
}

fn door(wire: wire::Door) -> Option<chalkdeck_admission_queue::Settings> {
    let default = chalkdeck_admission_queue::Settings::default();
    let or = |n: u32, default: usize| if n == 0 { default } else { n as usize };
    let max_wait = if wire.longest_wait_ms == 0 {
        default.max_wait
    } else {
        millis(wire.longest_wait_ms)
    };
    (!wire.off).then(|| chalkdeck_admission_queue::Settings {
        max_in_flight: or(wire.inside, default.max_in_flight),
        max_admitted_per_turn: or(wire.each_turn, default.max_admitted_per_turn),
        max_queued: or(wire.waiting, default.max_queued),
        max_queued_per_queue: or(wire.queue, default.max_queued_per_queue),
        max_wait,
        ..default
    })
}

/// The second front's class is the named one with the work left to the caller.
fn resp(
    source: &Source,
    wire: &wire::Gateway,
    classes: &mut Vec<api::Class>,
    names: &mut Vec<String>,
) -> Result<Option<RespSettings>> {
    let Some(resp) = &wire.resp else {
        return Ok(None);
    };
    let class = source.known("resp.class", &resp.class, names)?;
    let own = api::Class {
        is_admission_only: true,
        idempotency: Idempotency::NonIdempotent,
        is_streaming: false,
        ..classes[class].clone()
    };
    classes.push(own);
    names.push(names[class].clone());
    Ok(Some(RespSettings {
        listen: source.address("resp.listen", &resp.listen)?,
        password: resp.password.clone(),
        class: classes.len() - 1,
        lease: u64::from(or(resp.lease_ms, 30_000)) * 1_000,
        connections: or(resp.connections, 10_000) as usize,
    }))
}

fn coordinator_settings(
    source: &Source,
    wire: &wire::Gateway,
) -> Result<Option<CoordinatorSettings>> {
    let Some(keepers) = &wire.keepers else {
        return Ok(None);
    };
    let addresses = keepers
        .addresses
        .iter()
        .map(|a| source.address("keepers.addresses", a))
        .collect::<Result<Vec<_>>>()?;
    if addresses.is_empty() || addresses.len() > 5 {
        return source.fail(format!(
            "keepers.addresses: expected one to five, found {}",
            addresses.len()
        ));
    }
    let metadata = |field: &str, name: &str| match name.parse::<http::HeaderName>() {
        Ok(name) => Ok(name),
        Err(_) => source.fail_at(
            name,
            format!("keepers.{field}: expected a metadata name, found '{name}'"),
        ),
    };
    let region_metadata = some(&keepers.region_metadata);
    Ok(Some(CoordinatorSettings {
        addresses,
        name: some(&keepers.name).unwrap_or_else(|| format!("{}/{}", wire.zone, wire.number)),
        region: some(&keepers.region).unwrap_or_else(|| wire.zone.clone()),
        region_metadata: region_metadata
            .map(|name| metadata("region_metadata", &name))
            .transpose()?,
        regions: some(&keepers.regions_file).map(PathBuf::from),
        state: some(&keepers.state_file).map(PathBuf::from),
        report_interval: u64::from(or(keepers.report_ms, 1_000)) * 1_000,
        is_candidate: !keepers.no_duties,
        version_metadata: match keepers.version_metadata.as_str() {
            "" => http::HeaderName::from_static("x-protocol-version"),
            name => metadata("version_metadata", name)?,
        },
    }))
}

/// A text that is set; an empty field is not.
fn some(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_string())
}

/// Checks the message and fills in defaults. The order of the checks decides which error is reported first.
fn check(source: &Source, wire: &wire::Gateway) -> Result<Settings> {
    let mut class_names: Vec<String> = wire.classes.iter().map(|c| c.name.clone()).collect();
    let plan_names: Vec<String> = wire.plans.iter().map(|p| p.name.clone()).collect();
    require_lists(source, wire, &class_names, &plan_names)?;
    let mut classes = Vec::new();
    for (index, class) in wire.classes.iter().enumerate() {
        classes.push(source.class(index, class)?);
    }
    let routes = routes(source, wire, &class_names)?;
    let unkeyed = add_unkeyed_classes(&mut classes, &mut class_names);
    let customers = customers(source, wire, &plan_names)?;
    let endpoints = wire.endpoints.clone().unwrap_or_default();
    if endpoints.file.is_empty() {
        return source.fail("endpoints.file: expected the file with the server list");
    }
    let log_level = log_level(source, wire)?;
    let counter = counter_addresses(source, wire)?;
    let resp = resp(source, wire, &mut classes, &mut class_names)?;
    let policy = policy(wire, classes, !counter.is_empty());
    if let Err(error) = policy.check() {
        return source.fail(error.to_string());
    }
    let sites = wire.sites.clone().unwrap_or_default();
    let limits = wire.limits.unwrap_or_default();
    Ok(Settings {
        listen: source.address("listen", &wire.listen)?,
        admin: admin_address(source, wire)?,
        routes,
        unkeyed,
        class_names,
        plan_names,
        customer_metadata: customers.metadata,
        default_plan: customers.default_plan,
        plan_of: customers.plan_of,
        spread: customers.spread,
        sites: sites.on,
        site_floor: sites.on && !sites.failover_only,
        site_words: some(&sites.words_file).map(PathBuf::from),
        coordinator: coordinator_settings(source, wire)?,
        zone_name: wire.zone.clone(),
        counter,
        resp,
        door: door(wire.door.unwrap_or_default()),
        endpoints: PathBuf::from(endpoints.file),
        poll: u64::from(or(endpoints.poll_ms, 200)) * 1_000,
        connect_timeout: u64::from(or(endpoints.connect_timeout_ms, 250)) * 1_000,
        server_connections: or(endpoints.connections, 2) as usize,
        server_streams: or(endpoints.streams, 100),
        keepalive: u64::from(or(endpoints.keepalive_ms, 10_000)) * 1_000,
        keep_bytes: or(limits.keep_bytes, 65_536) as usize,
        front: client_limits(wire),
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
    source.named("classes", class_names)?;
    source.named("plans", plan_names)?;
    for (field, is_empty) in [
        ("classes", wire.classes.is_empty()),
        ("plans", wire.plans.is_empty()),
        ("routes", wire.routes.is_empty()),
    ] {
        if is_empty {
            return source.fail(format!("{field}: expected at least one"));
        }
    }
    Ok(())
}

/// Adds a non-idempotent class for each keyed one, for its calls without a key. Returns for each class the index of the class
/// that its calls without a key have.
fn add_unkeyed_classes(classes: &mut Vec<api::Class>, class_names: &mut Vec<String>) -> Vec<usize> {
    let mut unkeyed: Vec<usize> = (0..classes.len()).collect();
    for index in 0..unkeyed.len() {
        if classes[index].idempotency == Idempotency::Keyed {
            unkeyed[index] = classes.len();
            classes.push(api::Class {
                idempotency: Idempotency::NonIdempotent,
                ..classes[index].clone()
            });
            class_names.push(class_names[index].clone());
        }
    }
    unkeyed.extend(unkeyed.len()..classes.len());
    unkeyed
}

/// How customers are named, and their plans by index.
struct CustomerSettings {
    metadata: http::HeaderName,
    default_plan: Option<usize>,
    plan_of: HashMap<String, usize>,
    spread: u32,
}

fn customers(
    source: &Source,
    wire: &wire::Gateway,
    plan_names: &[String],
) -> Result<CustomerSettings> {
    let customers = wire.customers.clone().unwrap_or_default();
    let mut plan_of = HashMap::new();
    for (customer, plan) in &customers.plan_of {
        let plan = source.known("customers.plan_of", plan, plan_names)?;
        plan_of.insert(customer.clone(), plan);
    }
    let default_plan = match customers.default_plan.as_str() {
        "" => None,
        name => Some(source.known("customers.default_plan", name, plan_names)?),
    };
    let name = some(&customers.metadata).unwrap_or_else(|| "x-customer".to_string());
    let Ok(metadata) = name.parse() else {
        return source.fail_at(
            &name,
            format!("customers.metadata: expected a metadata name, found '{name}'"),
        );
    };
    let fleet = or(wire.fleet, 1);
    Ok(CustomerSettings {
        metadata,
        default_plan,
        plan_of,
        spread: or(customers.spread, fleet).min(fleet),
    })
}

fn log_level(source: &Source, wire: &wire::Gateway) -> Result<String> {
    let logs = wire.logs.clone().unwrap_or_default();
    let level = some(&logs.level).unwrap_or_else(|| "info".to_string());
    let levels = ["error", "warn", "info", "debug", "trace"].map(String::from);
    source.known("logs.level", &level, &levels)?;
    Ok(level)
}

fn counter_addresses(source: &Source, wire: &wire::Gateway) -> Result<Vec<SocketAddr>> {
    let counter = wire.counter.clone().unwrap_or_default();
    if !counter.address.is_empty() && !counter.parts.is_empty() {
        return source.fail("counter: expected address or parts, found both");
    }
    let mut addresses = Vec::new();
    if !counter.address.is_empty() {
        addresses.push(source.address("counter.address", &counter.address)?);
    }
    for part in &counter.parts {
        addresses.push(source.address("counter.parts", part)?);
    }
    Ok(addresses)
}

fn admin_address(source: &Source, wire: &wire::Gateway) -> Result<Option<SocketAddr>> {
    match wire.admin.as_str() {
        "" => Ok(None),
        text => Ok(Some(source.address("admin", text)?)),
    }
}

/// The settings of the decisions.
fn policy(wire: &wire::Gateway, classes: Vec<api::Class>, use_counter: bool) -> api::Settings {
    let counter = wire.counter.clone().unwrap_or_default();
    let endpoints = wire.endpoints.clone().unwrap_or_default();
    let limits = wire.limits.unwrap_or_default();
    let start = wire.start.unwrap_or_default();
    api::Settings {
        gateways: or(wire.fleet, 1),
        gateway_index: wire.number,
        zone: zone_of(&wire.zone),
        classes,
        plans: wire.plans.iter().map(plan).collect(),
        max_attempts: or(limits.attempts, 3) as usize,
        allow_hedging: false,
        allow_cancel: true,
        allow_probes: false,
        send_retry_after: limits.retry_after_ms > 0,
        max_retry_after: millis(limits.retry_after_ms),
        use_counter,
        counter_timeout: millis(or(counter.timeout_ms, 80)),
        max_request_units: if limits.most_units == 0.0 {
            1.0
        } else {
            limits.most_units
        },
        requires_subscription: false,
        dial_timeout: millis(or(endpoints.connect_timeout_ms, 250)),
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

/// Limits of the clients' connections.
fn client_limits(wire: &wire::Gateway) -> Limits {
    let limits = wire.limits.unwrap_or_default();
    Limits {
        connections: or(limits.connections, 16_384) as usize,
        streams: or(limits.streams_per_connection, 1_024),
        header_bytes: or(limits.header_bytes, 16_384),
        resets: or(limits.resets_per_second, 1_000),
        ..Limits::default()
    }
}
