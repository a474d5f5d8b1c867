//! The cases of lost sites, and the best that the remaining sites can do in each.

use crate::input::{PlanningInput, Site};
use crate::optimum::{self, ServedRates};
use good_lp::ResolutionError;
use serde::Serialize;

/// Flows of fewer units a second are rounding errors.
const MIN_FLOW: f64 = 1e-9;
/// Stands in errors for the case without a lost site.
const NO_SITE: &str = "nothing";

/// What becomes of one demand.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemandOutcome {
    /// The class's name.
    pub class: String,
    /// The plan's name.
    pub plan: String,
    /// Whether the calls are beyond the quotas.
    #[serde(rename = "over")]
    pub is_over_quota: bool,
    /// Calls a second that are served.
    pub served: f64,
    /// Calls a second that are rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
}

/// Load that the gateways of one site send to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Flow {
    /// The site of the gateways.
    pub from: String,
    /// The site of the servers.
    pub to: String,
    /// Units a second.
    pub units: f64,
}

/// How much of a site's capacity is in use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteUtilization {
    /// The site.
    pub site: String,
    /// The part of its capacity, 0 to 1.
    pub part: f64,
}

/// One case of lost sites.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SiteLossCase {
    /// The sites that are lost; empty if all are up.
    #[serde(rename = "lost")]
    pub lost_sites: Vec<String>,
    /// Value a second within the quotas that is served.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Value a second within the quotas that is offered.
    #[serde(rename = "worth_offered")]
    pub offered_value: f64,
    /// What becomes of each demand.
    #[serde(rename = "served")]
    pub outcomes: Vec<DemandOutcome>,
    /// Where load goes, between all sites that are up.
    pub flows: Vec<Flow>,
    /// Of each site that is up.
    #[serde(rename = "in_use")]
    pub utilization: Vec<SiteUtilization>,
    /// The site with the highest utilization; `None` if no site is up.
    #[serde(rename = "tightest")]
    pub most_utilized: Option<String>,
    /// Units a second of capacity that are missing to serve all demand within the quotas.
    #[serde(rename = "missing")]
    pub missing_capacity: f64,
}

/// Why a case has no optimum.
#[derive(Debug, thiserror::Error)]
#[error("no optimum with {lost_sites} lost: {reason}")]
pub struct NoOptimum {
    lost_sites: String,
    reason: ResolutionError,
}

/// All cases: no site lost, each site, and each pair unless that is all there is.
///
/// # Errors
/// A case that the solver finds no optimum for.
pub fn all_cases(input: &PlanningInput) -> Result<Vec<SiteLossCase>, NoOptimum> {
    let site_count = input.sites.len();
    let mut lost_sites: Vec<Vec<usize>> = vec![Vec::new()];
    for site in 0..site_count {
        lost_sites.push(vec![site]);
    }
    if site_count > 2 {
        for first in 0..site_count {
            for second in first + 1..site_count {
                lost_sites.push(vec![first, second]);
            }
        }
    }
    lost_sites.iter().map(|lost| case(input, lost)).collect()
}

/// The case in which the sites at these positions are lost.
///
/// # Errors
/// The solver finds no optimum.
pub fn case(input: &PlanningInput, lost: &[usize]) -> Result<SiteLossCase, NoOptimum> {
    let lost_sites: Vec<String> = lost
        .iter()
        .map(|&site| input.sites[site].name.clone())
        .collect();
    let up: Vec<&Site> = input
        .sites
        .iter()
        .enumerate()
        .filter(|(site, _)| !lost.contains(site))
        .map(|(_, site)| site)
        .collect();
    let rates = optimum::solve(input, &up).map_err(|reason| NoOptimum {
        lost_sites: if lost_sites.is_empty() {
            NO_SITE.into()
        } else {
            lost_sites.join(" and ")
        },
        reason,
    })?;
    let utilization = utilization(input, &up, &rates);
    let most_utilized = utilization
        .iter()
        .max_by(|a, b| a.part.total_cmp(&b.part))
        .map(|most| most.site.clone());
    let mut case = SiteLossCase {
        lost_sites,
        served_value: 0.0,
        offered_value: 0.0,
        outcomes: Vec::new(),
        flows: flows(input, &up, &rates),
        utilization,
        most_utilized,
        missing_capacity: 0.0,
    };
    add_outcomes(&mut case, input, &rates);
    case.missing_capacity = missing_capacity(input, &up);
    Ok(case)
}

/// Adds what becomes of each demand, and the sums of its value.
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

fn flows(input: &PlanningInput, up: &[&Site], rates: &ServedRates) -> Vec<Flow> {
    let mut flows = Vec::new();
    for (from, from_site) in up.iter().enumerate() {
        for (to, to_site) in up.iter().enumerate() {
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

fn utilization(input: &PlanningInput, up: &[&Site], rates: &ServedRates) -> Vec<SiteUtilization> {
    let utilization_of = |(to, site): (usize, &&Site)| {
        let units: f64 = (0..up.len())
            .map(|from| rates.units(from, to, &input.demand))
            .sum();
        SiteUtilization {
            site: site.name.clone(),
            part: units / site.capacity,
        }
    };
    up.iter().enumerate().map(utilization_of).collect()
}

fn missing_capacity(input: &PlanningInput, up: &[&Site]) -> f64 {
    let mut needed = 0.0;
    for demand in input.demand.iter().filter(|d| !d.is_over_quota) {
        needed += demand.rate * demand.units;
    }
    let available: f64 = up.iter().map(|site| site.capacity).sum();
    (needed - available).max(0.0)
}
