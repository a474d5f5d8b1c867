//! The input, read and checked.

use chalkdeck_proto::chalkdeck::plan::v1 as wire;
use chalkdeck_proto::text;

/// The message's full name.
pub const MESSAGE: &str = "chalkdeck.plan.v1.SiteLoss";
/// The most sites; each pair of them is a case of its own.
pub const MOST_SITES: usize = 32;
/// The most kinds of demand.
pub const MOST_DEMAND: usize = 1_000;

/// What is wrong with an input, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {what}")]
pub struct InputError {
    /// The file as it was given.
    pub file: String,
    /// Its line, from 1.
    pub line: usize,
    /// The field, what was found there and what was expected.
    pub what: String,
}

/// A site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Units a second that it bears.
    pub capacity: f64,
    /// Gateways that stand there.
    pub gateways: f64,
}

/// Calls of one class and plan, inside the quotas or beyond.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Beyond the quotas.
    pub over: bool,
    /// Calls a second.
    pub rate: f64,
    /// Units of one call.
    pub units: f64,
    /// What a call served is worth.
    pub worth: f64,
}

/// A checked input.
#[derive(Clone, Debug, PartialEq)]
pub struct Input {
    /// All sites.
    pub sites: Vec<Site>,
    /// All demand above nothing.
    pub demand: Vec<Demand>,
    /// Part of the worth that a crossing costs.
    pub crossing: f64,
}

struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    /// The line at which the `i`th message of a field begins.
    fn line(&self, field: &str, i: usize) -> usize {
        let begins = |line: &str| {
            let line = line.trim_start();
            line.strip_prefix(field)
                .is_some_and(|rest| rest.trim_start().starts_with(['{', ':', '<']))
        };
        let mut lines = self
            .text
            .lines()
            .enumerate()
            .filter(|(_, line)| begins(line));
        lines.nth(i).map_or(1, |(at, _)| at + 1)
    }
    fn fail<T>(&self, field: &str, i: usize, what: impl Into<String>) -> Result<T, InputError> {
        let what = what.into();
        let what = if what.starts_with(field) {
            what
        } else {
            format!("{field}[{i}].{what}")
        };
        Err(InputError {
            file: self.file.to_string(),
            line: self.line(field, i),
            what,
        })
    }
    fn number(&self, field: &str, i: usize, name: &str, value: f64) -> Result<f64, InputError> {
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        self.fail(
            field,
            i,
            format!("{name}: expected a number of 0 or more, found {value}"),
        )
    }
    fn names<'a>(
        &self,
        field: &str,
        names: impl Iterator<Item = &'a str>,
    ) -> Result<(), InputError> {
        let names: Vec<&str> = names.collect();
        for (i, name) in names.iter().enumerate() {
            if name.is_empty() || names[..i].contains(name) {
                return self.fail(
                    field,
                    i,
                    format!("name: expected a name of its own, found '{name}'"),
                );
            }
        }
        if names.is_empty() {
            return self.fail(field, 0, format!("{field}: expected at least one"));
        }
        Ok(())
    }
}

fn or_one(value: f64) -> f64 {
    if value == 0.0 {
        1.0
    } else {
        value
    }
}

/// Reads and checks an input; `file` stands in errors.
pub fn read(file: &str, text: &str) -> Result<Input, InputError> {
    let source = Source { file, text };
    let wire: wire::SiteLoss = text::parse(MESSAGE, text).map_err(|e| InputError {
        file: file.to_string(),
        line: e.line,
        what: e.what,
    })?;
    source.names("sites", wire.sites.iter().map(|s| s.name.as_str()))?;
    source.names("classes", wire.classes.iter().map(|c| c.name.as_str()))?;
    source.names("plans", wire.plans.iter().map(|p| p.name.as_str()))?;
    if wire.sites.len() < 2 || wire.sites.len() > MOST_SITES {
        let found = wire.sites.len();
        return source.fail(
            "sites",
            0,
            format!("sites: expected 2 to {MOST_SITES}, found {found}"),
        );
    }
    if wire.demand.len() > MOST_DEMAND {
        return source.fail(
            "demand",
            MOST_DEMAND,
            format!("demand: expected at most {MOST_DEMAND}"),
        );
    }
    let crossing = source.number("crossing_cost", 0, "crossing_cost", wire.crossing_cost)?;
    if crossing >= 1.0 {
        return source.fail(
            "crossing_cost",
            0,
            format!("crossing_cost: expected less than 1, found {crossing}"),
        );
    }
    let mut sites = Vec::new();
    for (i, s) in wire.sites.iter().enumerate() {
        let capacity = source.number("sites", i, "capacity", s.capacity)?;
        if capacity == 0.0 {
            return source.fail(
                "sites",
                i,
                "capacity: expected units a second above 0, found 0",
            );
        }
        sites.push(Site {
            name: s.name.clone(),
            capacity,
            gateways: f64::from(s.gateways),
        });
    }
    if sites.iter().all(|s| s.gateways == 0.0) {
        return source.fail(
            "sites",
            0,
            "gateways: expected some at one site at the least, found none",
        );
    }
    let demand = demand(&source, &wire)?;
    Ok(Input {
        sites,
        demand,
        crossing: if crossing == 0.0 { 0.01 } else { crossing },
    })
}

fn demand(source: &Source, wire: &wire::SiteLoss) -> Result<Vec<Demand>, InputError> {
    for (i, c) in wire.classes.iter().enumerate() {
        source.number("classes", i, "worth", c.worth)?;
        source.number("classes", i, "units", c.units)?;
    }
    for (i, p) in wire.plans.iter().enumerate() {
        source.number("plans", i, "price", p.price)?;
        source.number("plans", i, "over_worth", p.over_worth)?;
    }
    let mut out = Vec::new();
    for (i, d) in wire.demand.iter().enumerate() {
        let Some(class) = wire.classes.iter().find(|c| c.name == d.class) else {
            return source.fail(
                "demand",
                i,
                format!("class: expected a class above, found '{}'", d.class),
            );
        };
        let Some(plan) = wire.plans.iter().find(|p| p.name == d.plan) else {
            return source.fail(
                "demand",
                i,
                format!("plan: expected a plan above, found '{}'", d.plan),
            );
        };
        if wire.demand[..i]
            .iter()
            .any(|o| o.class == d.class && o.plan == d.plan)
        {
            return source.fail(
                "demand",
                i,
                format!("class: '{}' of '{}' stands above", d.class, d.plan),
            );
        }
        let worth = class.worth * or_one(plan.price);
        for (over, rate, worth) in [
            (false, source.number("demand", i, "rate", d.rate)?, worth),
            (
                true,
                source.number("demand", i, "over_rate", d.over_rate)?,
                worth * plan.over_worth,
            ),
        ] {
            let units = or_one(class.units);
            let of = Demand {
                class: d.class.clone(),
                plan: d.plan.clone(),
                over,
                rate,
                units,
                worth,
            };
            out.extend((rate > 0.0).then_some(of));
        }
    }
    if out.is_empty() {
        return source.fail("demand", 0, "demand: expected some rate above 0");
    }
    Ok(out)
}
