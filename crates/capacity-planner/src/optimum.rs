//! The optimum as a linear program: rates of calls by gateway site, server site and demand that maximize the value served.

use crate::input::{Demand, PlanningInput, Site};
use good_lp::solvers::microlp::microlp;
use good_lp::{
    constraint, variable, variables, Expression, ResolutionError, Solution, SolverModel, Variable,
};

/// Calls within the quotas count so many times their value, so that a call beyond them never takes their place.
const WITHIN_QUOTA_PRIORITY: f64 = 1e3;
/// Calls without value count this much, so that they are served where there is capacity.
const MIN_VALUE: f64 = 1e-6;

/// Calls a second that are served, by site of the gateway, site of the server and demand.
pub(crate) struct ServedRates {
    dimensions: Dimensions,
    rates: Vec<f64>,
}

impl ServedRates {
    /// Calls a second of one demand that the gateways of site `from` send to site `to`.
    pub(crate) fn rate(&self, from: usize, to: usize, demand: usize) -> f64 {
        self.rates[self.dimensions.index(from, to, demand)]
    }

    /// Calls a second of one demand that all sites serve.
    pub(crate) fn total_rate(&self, demand: usize) -> f64 {
        let pairs = self.dimensions.site_pairs();
        pairs.map(|(from, to)| self.rate(from, to, demand)).sum()
    }

    /// Units a second that the gateways of site `from` send to site `to`.
    pub(crate) fn units(&self, from: usize, to: usize, demand: &[Demand]) -> f64 {
        let units = |(index, demand): (usize, &Demand)| self.rate(from, to, index) * demand.units;
        demand.iter().enumerate().map(units).sum()
    }
}

/// The numbers of sites and demands, which give each rate its position.
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

/// Solves the program for the sites that are up. Calls arrive at all their gateways alike; without a gateway none arrive.
pub(crate) fn solve(input: &PlanningInput, up: &[&Site]) -> Result<ServedRates, ResolutionError> {
    let dimensions = Dimensions {
        sites: up.len(),
        demands: input.demand.len(),
    };
    if up.is_empty() {
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
    for constraint in demand_constraints(input, up, dimensions, &rates) {
        model = model.with(constraint);
    }
    for constraint in capacity_constraints(input, up, dimensions, &rates) {
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

/// The value that is served, less what crossings cost.
fn objective(input: &PlanningInput, dimensions: Dimensions, rates: &[Variable]) -> Expression {
    let mut value = Expression::from(0.0);
    for (from, to) in dimensions.site_pairs() {
        let kept_part = if from == to {
            1.0
        } else {
            1.0 - input.crossing_cost
        };
        for (index, demand) in input.demand.iter().enumerate() {
            let rate = rates[dimensions.index(from, to, index)];
            value += rate * (weight(demand) * kept_part);
        }
    }
    value
}

/// The gateways of a site send no more calls than arrive there.
fn demand_constraints(
    input: &PlanningInput,
    up: &[&Site],
    dimensions: Dimensions,
    rates: &[Variable],
) -> Vec<good_lp::Constraint> {
    let gateways: f64 = up.iter().map(|site| site.gateways).sum();
    let mut constraints = Vec::new();
    for (from, site) in up.iter().enumerate() {
        let arriving_part = if gateways > 0.0 {
            site.gateways / gateways
        } else {
            0.0
        };
        for (index, demand) in input.demand.iter().enumerate() {
            let sent: Expression = (0..dimensions.sites)
                .map(|to| rates[dimensions.index(from, to, index)])
                .sum();
            constraints.push(constraint!(sent <= demand.rate * arriving_part));
        }
    }
    constraints
}

/// The servers of a site get no more units than they bear.
fn capacity_constraints(
    input: &PlanningInput,
    up: &[&Site],
    dimensions: Dimensions,
    rates: &[Variable],
) -> Vec<good_lp::Constraint> {
    let mut constraints = Vec::new();
    for (to, site) in up.iter().enumerate() {
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

/// What serving a call of this demand counts in the objective.
fn weight(demand: &Demand) -> f64 {
    let value = demand.value.max(MIN_VALUE);
    if demand.is_over_quota {
        value / WITHIN_QUOTA_PRIORITY
    } else {
        value
    }
}
