//! The cases of lost sites, and the optimum of the remaining sites in each.

use crate::input::{PlanningInput, Site};
use crate::optimum::{self, ServedRates};
use good_lp::ResolutionError;
use serde::Serialize;

/// Minimum flow that is reported, in units per second; smaller ones are rounding errors.
const MIN_FLOW: f64 = 1e-9;
/// Names the lost sites in an error if no site is lost.
const NO_SITE: &str = "nothing";

/// How much of one demand is served and rejected.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemandOutcome {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Whether the calls are over the quotas.
    #[serde(rename = "over")]
    pub is_over_quota: bool,
    /// Calls per second that are served.
    pub served: f64,
    /// Calls per second that are rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
}

/// Load that the gateways of one site send to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Flow {
    /// The name of the gateways' site.
    pub from: String,
    /// The name of the endpoints' site.
    pub to: String,
    /// Units per second.
    pub units: f64,
}

/// How much of a site's capacity is in use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteUtilization {
    /// The site's name.
    pub site: String,
    /// The fraction of its capacity that is in use, from 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
}

/// The optimum if certain sites are lost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteLossCase {
    /// The names of the lost sites; empty if no site is lost.
    #[serde(rename = "lost")]
    pub lost_sites: Vec<String>,
    /// Value per second of the served calls within the quotas.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Value per second of all calls within the quotas.
    #[serde(rename = "worth_offered")]
    pub offered_value: f64,
    /// How much of each demand is served and rejected.
    #[serde(rename = "served")]
    pub outcomes: Vec<DemandOutcome>,
    /// The load that the gateways of each remaining site send to each remaining site.
    pub flows: Vec<Flow>,
    /// The utilization of each remaining site.
    #[serde(rename = "in_use")]
    pub utilization: Vec<SiteUtilization>,
    /// The name of the site with the highest utilization; `None` if no site remains.
    #[serde(rename = "tightest")]
    pub most_utilized: Option<String>,
    /// The additional capacity that the demand within the quotas needs, in units per second.
    #[serde(rename = "missing")]
    pub missing_capacity: f64,
}

/// The solver found no optimum for a case.
#[derive(Debug, thiserror::Error)]
#[error("no optimum with {lost_sites} lost: {reason}")]
pub struct NoOptimum {
    lost_sites: String,
    reason: ResolutionError,
}

/// Solves all cases: no lost site, each lost site, and each pair of lost sites unless there are only two sites.
///
/// # Errors
/// The solver finds no optimum for a case.
pub fn solve_all_cases(input: &PlanningInput) -> Result<Vec<SiteLossCase>, NoOptimum> {
    let site_count = input.sites.len();
    let mut combinations: Vec<Vec<usize>> = vec![Vec::new()];
    for site in 0..site_count {
        combinations.push(vec![site]);
    }
    if site_count > 2 {
        for first in 0..site_count {
            for second in first + 1..site_count {
                combinations.push(vec![first, second]);
            }
        }
    }
    combinations
        .iter()
        .map(|lost| solve_case(input, lost))
        .collect()
}

/// Solves the case in which the sites at these positions are lost.
///
/// # Errors
/// The solver finds no optimum.
pub fn solve_case(input: &PlanningInput, lost: &[usize]) -> Result<SiteLossCase, NoOptimum> {
    let lost_sites: Vec<String> = lost
        .iter()
        .map(|&site| input.sites[site].name.clone())
        .collect();
    let remaining_sites: Vec<&Site> = input
        .sites
        .iter()
        .enumerate()
        .filter(|(site, _)| !lost.contains(site))
        .map(|(_, site)| site)
        .collect();
    let rates = optimum::solve(input, &remaining_sites).map_err(|reason| NoOptimum {
        lost_sites: if lost_sites.is_empty() {
            NO_SITE.into()
        } else {
            lost_sites.join(" and ")
        },
        reason,
    })?;
    let utilization = utilization(input, &remaining_sites, &rates);
    let most_utilized = utilization
        .iter()
        .max_by(|a, b| a.fraction.total_cmp(&b.fraction))
        .map(|most| most.site.clone());
    let mut case = SiteLossCase {
        lost_sites,
        served_value: 0.0,
        offered_value: 0.0,
        outcomes: Vec::new(),
        flows: flows(input, &remaining_sites, &rates),
        utilization,
        most_utilized,
        missing_capacity: 0.0,
    };
    add_outcomes(&mut case, input, &rates);
    case.missing_capacity = missing_capacity(input, &remaining_sites);
    Ok(case)
}

/// Adds the outcome of each demand, and the sums of the value within the quotas.
fn add_outcomes(case: &mut SiteLossCase, input: &PlanningInput, rates: &ServedRates) {
    for (index, demand) in input.demand.iter().enumerate() {
        let served = rates.total_rate(index).min(demand.rate);
        if !demand.is_over_quota {
            case.served_value += served * demand.value;
            case.offered_value += demand.rate * demand.value;
        }
        case.outcomes.push(DemandOutcome {
            class: demand.class.clone(),
            plan: demand.plan.clone(),
            is_over_quota: demand.is_over_quota,
            served,
            rejected: demand.rate - served,
        });
    }
}

fn flows(input: &PlanningInput, remaining_sites: &[&Site], rates: &ServedRates) -> Vec<Flow> {
    let mut flows = Vec::new();
    for (from, from_site) in remaining_sites.iter().enumerate() {
        for (to, to_site) in remaining_sites.iter().enumerate() {
            let units = rates.units(from, to, &input.demand);
            if units > MIN_FLOW {
                flows.push(Flow {
                    from: from_site.name.clone(),
                    to: to_site.name.clone(),
                    units,
                });
            }
        }
    }
    flows
}

fn utilization(
    input: &PlanningInput,
    remaining_sites: &[&Site],
    rates: &ServedRates,
) -> Vec<SiteUtilization> {
    let utilization_of = |(to, site): (usize, &&Site)| {
        let units: f64 = (0..remaining_sites.len())
            .map(|from| rates.units(from, to, &input.demand))
            .sum();
        SiteUtilization {
            site: site.name.clone(),
            fraction: units / site.capacity,
        }
    };
    remaining_sites
        .iter()
        .enumerate()
        .map(utilization_of)
        .collect()
}

fn missing_capacity(input: &PlanningInput, remaining_sites: &[&Site]) -> f64 {
    let mut needed = 0.0;
    for demand in input.demand.iter().filter(|d| !d.is_over_quota) {
        needed += demand.rate * demand.units;
    }
    let available: f64 = remaining_sites.iter().map(|site| site.capacity).sum();
    (needed - available).max(0.0)
}
