//! Parsing and validation of an input.

use super::source::Source;
use super::{
    Demand, FieldPath, InputError, InputProblem, PlanningInput, Site, MAX_DEMAND_ENTRIES,
    MAX_SITES, MESSAGE_TYPE, MIN_SITES,
};
use chalkdeck_proto::chalkdeck::plan::v1 as wire;
use chalkdeck_proto::text;

/// The crossing cost of an input that gives none.
const DEFAULT_CROSSING_COST: f64 = 0.01;

impl PlanningInput {
    /// Parses and validates the text of an input. Errors name `file`.
    ///
    /// # Errors
    /// The first error that is found in the text.
    pub fn parse(file: &str, text: &str) -> Result<PlanningInput, InputError> {
        let source = Source { file, text };
        let message: wire::SiteLoss = text::parse(MESSAGE_TYPE, text)
            .map_err(|e| source.error_at_line(e.line, InputProblem::Syntax(e.message)))?;
        check_names(&source, &message)?;
        check_counts(&source, &message)?;
        let crossing_cost = crossing_cost(&source, message.crossing_cost)?;
        Ok(PlanningInput {
            sites: sites(&source, &message.sites)?,
            demand: demand(&source, &message)?,
            crossing_cost,
        })
    }
}

fn check_names(source: &Source, message: &wire::SiteLoss) -> Result<(), InputError> {
    source.check_names("sites", message.sites.iter().map(|s| s.name.as_str()))?;
    source.check_names("classes", message.classes.iter().map(|c| c.name.as_str()))?;
    source.check_names("plans", message.plans.iter().map(|p| p.name.as_str()))
}

fn check_counts(source: &Source, message: &wire::SiteLoss) -> Result<(), InputError> {
    let site_count = message.sites.len();
    if !(MIN_SITES..=MAX_SITES).contains(&site_count) {
        return Err(source.error("sites", 0, InputProblem::SiteCount(site_count)));
    }
    if message.demand.len() > MAX_DEMAND_ENTRIES {
        return Err(source.error(
            "demand",
            MAX_DEMAND_ENTRIES,
            InputProblem::TooManyDemandEntries,
        ));
    }
    Ok(())
}

fn crossing_cost(source: &Source, configured: f64) -> Result<f64, InputError> {
    let field = "crossing_cost";
    let cost = source.check_number(FieldPath::TopLevel(field), configured)?;
    if cost >= 1.0 {
        return Err(source.error(field, 0, InputProblem::CrossingCost(cost)));
    }
    if cost == 0.0 {
        return Ok(DEFAULT_CROSSING_COST);
    }
    Ok(cost)
}

fn sites(source: &Source, messages: &[wire::Site]) -> Result<Vec<Site>, InputError> {
    let list = "sites";
    let mut sites = Vec::new();
    for (index, message) in messages.iter().enumerate() {
        let path = FieldPath::Element {
            list,
            index,
            field: "capacity",
        };
        let capacity = source.check_number(path, message.capacity)?;
        if capacity == 0.0 {
            return Err(source.error(list, index, InputProblem::NoCapacity(path)));
        }
        sites.push(Site {
            name: message.name.clone(),
            capacity,
            gateways: f64::from(message.gateways),
        });
    }
    if sites.iter().all(|site| site.gateways == 0.0) {
        let path = FieldPath::Element {
            list,
            index: 0,
            field: "gateways",
        };
        return Err(source.error(list, 0, InputProblem::NoGateways(path)));
    }
    Ok(sites)
}

fn demand(source: &Source, message: &wire::SiteLoss) -> Result<Vec<Demand>, InputError> {
    check_classes(source, &message.classes)?;
    check_plans(source, &message.plans)?;
    let mut demand = Vec::new();
    for index in 0..message.demand.len() {
        demand.extend(demand_of_entry(source, message, index)?);
    }
    if demand.is_empty() {
        return Err(source.error("demand", 0, InputProblem::NoDemand));
    }
    Ok(demand)
}

fn check_classes(source: &Source, classes: &[wire::Class]) -> Result<(), InputError> {
    for (index, class) in classes.iter().enumerate() {
        let path = |field| FieldPath::Element {
            list: "classes",
            index,
            field,
        };
        source.check_number(path("worth"), class.worth)?;
        source.check_number(path("units"), class.units)?;
    }
    Ok(())
}

fn check_plans(source: &Source, plans: &[wire::Plan]) -> Result<(), InputError> {
    for (index, plan) in plans.iter().enumerate() {
        let path = |field| FieldPath::Element {
            list: "plans",
            index,
            field,
        };
        source.check_number(path("price"), plan.price)?;
        source.check_number(path("over_worth"), plan.over_worth)?;
    }
    Ok(())
}

/// The demand within and over the quotas of one demand entry. Demand with a rate of zero is left out.
fn demand_of_entry(
    source: &Source,
    message: &wire::SiteLoss,
    index: usize,
) -> Result<Vec<Demand>, InputError> {
    let entry = &message.demand[index];
    let path = |field| FieldPath::Element {
        list: "demand",
        index,
        field,
    };
    let error = |problem| source.error("demand", index, problem);
    let class = message.classes.iter().find(|c| c.name == entry.class);
    let class = class.ok_or_else(|| {
        error(InputProblem::UnknownClass {
            path: path("class"),
            found: entry.class.clone(),
        })
    })?;
    let plan = message.plans.iter().find(|p| p.name == entry.plan);
    let plan = plan.ok_or_else(|| {
        error(InputProblem::UnknownPlan {
            path: path("plan"),
            found: entry.plan.clone(),
        })
    })?;
    let is_same = |other: &wire::Demand| other.class == entry.class && other.plan == entry.plan;
    if message.demand[..index].iter().any(is_same) {
        return Err(error(InputProblem::DuplicateDemand {
            path: path("class"),
            class: entry.class.clone(),
            plan: entry.plan.clone(),
        }));
    }
    let value = class.worth * one_if_unset(plan.price);
    let within_quota = Demand {
        class: entry.class.clone(),
        plan: entry.plan.clone(),
        is_over_quota: false,
        rate: source.check_number(path("rate"), entry.rate)?,
        units: one_if_unset(class.units),
        value,
    };
    let over_quota = Demand {
        is_over_quota: true,
        rate: source.check_number(path("over_rate"), entry.over_rate)?,
        value: value * plan.over_worth,
        ..within_quota.clone()
    };
    let mut demand = vec![within_quota, over_quota];
    demand.retain(|demand| demand.rate > 0.0);
    Ok(demand)
}

/// The number, or one if it is zero: an unset field reads as zero, and some fields have a default of one.
fn one_if_unset(number: f64) -> f64 {
    if number == 0.0 {
        1.0
    } else {
        number
    }
}
