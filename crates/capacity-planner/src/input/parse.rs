//! Parsing and validation of an input.

use super::source::Source;
use super::{
    Demand, InputError, InputProblem, Place, PlanningInput, Site, MAX_DEMAND, MAX_SITES, MESSAGE,
    MIN_SITES,
};
use chalkdeck_proto::chalkdeck::plan::v1 as wire;
use chalkdeck_proto::text;

/// The crossing cost of an input that gives none.
const DEFAULT_CROSSING_COST: f64 = 0.01;

impl PlanningInput {
    /// Parses and validates the text of an input; `file` stands in errors.
    ///
    /// # Errors
    /// The first thing that is wrong with the text.
    pub fn parse(file: &str, text: &str) -> Result<PlanningInput, InputError> {
        let source = Source { file, text };
        let message: wire::SiteLoss = text::parse(MESSAGE, text)
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
    if message.demand.len() > MAX_DEMAND {
        return Err(source.error("demand", MAX_DEMAND, InputProblem::TooMuchDemand));
    }
    Ok(())
}

fn crossing_cost(source: &Source, given: f64) -> Result<f64, InputError> {
    let field = "crossing_cost";
    let cost = source.check_number(Place::Field(field), given)?;
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
        let place = Place::Element {
            list,
            index,
            field: "capacity",
        };
        let capacity = source.check_number(place, message.capacity)?;
        if capacity == 0.0 {
            return Err(source.error(list, index, InputProblem::NoCapacity(place)));
        }
        sites.push(Site {
            name: message.name.clone(),
            capacity,
            gateways: f64::from(message.gateways),
        });
    }
    if sites.iter().all(|site| site.gateways == 0.0) {
        let place = Place::Element {
            list,
            index: 0,
            field: "gateways",
        };
        return Err(source.error(list, 0, InputProblem::NoGateways(place)));
    }
    Ok(sites)
}

fn demand(source: &Source, message: &wire::SiteLoss) -> Result<Vec<Demand>, InputError> {
    check_classes(source, &message.classes)?;
    check_plans(source, &message.plans)?;
    let mut demand = Vec::new();
    for index in 0..message.demand.len() {
        demand.extend(demand_of_line(source, message, index)?);
    }
    if demand.is_empty() {
        return Err(source.error("demand", 0, InputProblem::NoDemand));
    }
    Ok(demand)
}

fn check_classes(source: &Source, classes: &[wire::Class]) -> Result<(), InputError> {
    for (index, class) in classes.iter().enumerate() {
        let place = |field| Place::Element {
            list: "classes",
            index,
            field,
        };
        source.check_number(place("worth"), class.worth)?;
        source.check_number(place("units"), class.units)?;
    }
    Ok(())
}

fn check_plans(source: &Source, plans: &[wire::Plan]) -> Result<(), InputError> {
    for (index, plan) in plans.iter().enumerate() {
        let place = |field| Place::Element {
            list: "plans",
            index,
            field,
        };
        source.check_number(place("price"), plan.price)?;
        source.check_number(place("over_worth"), plan.over_worth)?;
    }
    Ok(())
}

/// The demand within and beyond the quotas that one line gives, as far as its rate is above zero.
fn demand_of_line(
    source: &Source,
    message: &wire::SiteLoss,
    index: usize,
) -> Result<Vec<Demand>, InputError> {
    let line = &message.demand[index];
    let place = |field| Place::Element {
        list: "demand",
        index,
        field,
    };
    let error = |problem| source.error("demand", index, problem);
    let class = message.classes.iter().find(|c| c.name == line.class);
    let class = class.ok_or_else(|| {
        error(InputProblem::UnknownClass {
            place: place("class"),
            found: line.class.clone(),
        })
    })?;
    let plan = message.plans.iter().find(|p| p.name == line.plan);
    let plan = plan.ok_or_else(|| {
        error(InputProblem::UnknownPlan {
            place: place("plan"),
            found: line.plan.clone(),
        })
    })?;
    let is_same = |other: &wire::Demand| other.class == line.class && other.plan == line.plan;
    if message.demand[..index].iter().any(is_same) {
        return Err(error(InputProblem::DuplicateDemand {
            place: place("class"),
            class: line.class.clone(),
            plan: line.plan.clone(),
        }));
    }
    let value = class.worth * one_if_unset(plan.price);
    let within_quota = Demand {
        class: line.class.clone(),
        plan: line.plan.clone(),
        is_over_quota: false,
        rate: source.check_number(place("rate"), line.rate)?,
        units: one_if_unset(class.units),
        value,
    };
    let over_quota = Demand {
        is_over_quota: true,
        rate: source.check_number(place("over_rate"), line.over_rate)?,
        value: value * plan.over_worth,
        ..within_quota.clone()
    };
    let mut demand = vec![within_quota, over_quota];
    demand.retain(|demand| demand.rate > 0.0);
    Ok(demand)
}

/// Numbers that are not given read as zero; for some of them that stands for one.
fn one_if_unset(number: f64) -> f64 {
    if number == 0.0 {
        1.0
    } else {
        number
    }
}
