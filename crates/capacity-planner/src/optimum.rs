//! The linear program of the optimum: it finds the rates of calls, by gateway site, endpoint site and demand, that maximize the served
//! value.

use crate::input::{Demand, PlanningInput, Site};
use good_lp::solvers::microlp::microlp;
use good_lp::{
    constraint, variable, variables, Expression, ResolutionError, Solution, SolverModel, Variable,
};

/// How many times more a call within the quotas weighs in the objective than one over them with the same value, so that calls over
/// the quotas never displace it.
const WITHIN_QUOTA_WEIGHT: f64 = 1e3;
/// Minimum value of a call in the objective, so that calls without value are served where capacity remains.
const MIN_VALUE: f64 = 1e-6;

/// Calls per second that are served, by gateway site, endpoint site and demand.
pub(crate) struct ServedRates {
    dimensions: Dimensions,
    rates: Vec<f64>,
}

impl ServedRates {
    /// Calls per second of one demand that the gateways of site `from` send to site `to`.
    pub(crate) fn rate(&self, from: usize, to: usize, demand: usize) -> f64 {
        self.rates[self.dimensions.index(from, to, demand)]
    }

    /// Calls per second of one demand that all sites serve.
    pub(crate) fn total_rate(&self, demand: usize) -> f64 {
        let pairs = self.dimensions.site_pairs();
        pairs.map(|(from, to)| self.rate(from, to, demand)).sum()
    }

    /// Units per second that the gateways of site `from` send to site `to`.
    pub(crate) fn units(&self, from: usize, to: usize, demand: &[Demand]) -> f64 {
        let units = |(index, demand): (usize, &Demand)| self.rate(from, to, index) * demand.units;
        demand.iter().enumerate().map(units).sum()
    }
}

/// The numbers of sites and demands, which determine the index of each rate.
#[derive(Clone, Copy)]
struct Dimensions {
    sites: usize,
    demands: usize,
}

impl Dimensions {
    fn index(self, from: usize, to: usize, demand: usize) -> usize {
        (from * self.sites + to) * self.demands + demand
    }

    fn size(self) -> usize {
        self.sites * self.sites * self.demands
    }

    fn site_pairs(self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.sites).flat_map(move |from| (0..self.sites).map(move |to| (from, to)))
    }
}

/// Solves the linear program for the remaining sites. Calls arrive at the same rate at each of their gateways; without a gateway none
/// arrive.
pub(crate) fn solve(
    input: &PlanningInput,
    remaining_sites: &[&Site],
) -> Result<ServedRates, ResolutionError> {
    let dimensions = Dimensions {
        sites: remaining_sites.len(),
        demands: input.demand.len(),
    };
    if remaining_sites.is_empty() {
        return Ok(ServedRates {
            dimensions,
            rates: Vec::new(),
        });
    }
    let mut variables = variables!();
    let rates: Vec<Variable> = (0..dimensions.size())
        .map(|_| variables.add(variable().min(0.0)))
        .collect();
    let objective = objective(input, dimensions, &rates);
    let mut model = variables.maximise(objective).using(microlp);
    for constraint in demand_constraints(input, remaining_sites, dimensions, &rates) {
        model = model.with(constraint);
    }
    for constraint in capacity_constraints(input, remaining_sites, dimensions, &rates) {
        model = model.with(constraint);
    }
    let solution = model.solve()?;
    Ok(ServedRates {
        dimensions,
        rates: rates
            .iter()
            .map(|rate| solution.value(*rate).max(0.0))
            .collect(),
    })
}

/// The served value, less the cost of calls that cross between sites.
fn objective(input: &PlanningInput, dimensions: Dimensions, rates: &[Variable]) -> Expression {
    let mut value = Expression::from(0.0);
    for (from, to) in dimensions.site_pairs() {
        let kept_fraction = if from == to {
            1.0
        } else {
            1.0 - input.crossing_cost
        };
        for (index, demand) in input.demand.iter().enumerate() {
            let rate = rates[dimensions.index(from, to, index)];
            value += rate * (weight(demand) * kept_fraction);
        }
    }
    value
}

/// Limits the calls that the gateways of a site send to those that arrive there.
fn demand_constraints(
    input: &PlanningInput,
    remaining_sites: &[&Site],
    dimensions: Dimensions,
    rates: &[Variable],
) -> Vec<good_lp::Constraint> {
    let gateways: f64 = remaining_sites.iter().map(|site| site.gateways).sum();
    let mut constraints = Vec::new();
    for (from, site) in remaining_sites.iter().enumerate() {
        let arriving_fraction = if gateways > 0.0 {
            site.gateways / gateways
        } else {
            0.0
        };
        for (index, demand) in input.demand.iter().enumerate() {
            let sent: Expression = (0..dimensions.sites)
                .map(|to| rates[dimensions.index(from, to, index)])
                .sum();
            constraints.push(constraint!(sent <= demand.rate * arriving_fraction));
        }
    }
    constraints
}

/// Limits the units that the endpoints of a site receive to the site's capacity.
fn capacity_constraints(
    input: &PlanningInput,
    remaining_sites: &[&Site],
    dimensions: Dimensions,
    rates: &[Variable],
) -> Vec<good_lp::Constraint> {
    let mut constraints = Vec::new();
    for (to, site) in remaining_sites.iter().enumerate() {
        let mut received = Expression::from(0.0);
        for from in 0..dimensions.sites {
            for (index, demand) in input.demand.iter().enumerate() {
                received += rates[dimensions.index(from, to, index)] * demand.units;
            }
        }
        constraints.push(constraint!(received <= site.capacity));
    }
    constraints
}

/// The weight of a served call of this demand in the objective.
fn weight(demand: &Demand) -> f64 {
    let value = demand.value.max(MIN_VALUE);
    if demand.is_over_quota {
        value / WITHIN_QUOTA_WEIGHT
    } else {
        value
    }
}
