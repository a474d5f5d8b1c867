//! Distribution of load over sites: the gateway's own site comes first, then the other sites by their weights. No site is loaded
//! beyond its capacity while another has some left.

/// Minimum weight of a site, so that each site with capacity gets some load.
const MIN_WEIGHT: f64 = 1e-6;
/// A remainder of at most this fraction of the load is a rounding error.
const NEGLIGIBLE_FRACTION: f64 = 1e-12;

/// The capacity and weight of a site, as input of the distribution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteCapacity {
    /// The units per second that this gateway may send to it; infinite if no limit is known.
    pub capacity: f64,
    /// Its size, in proportion to which load is distributed among sites without a known limit.
    pub weight: f64,
    /// Whether it is the gateway's own site.
    pub is_own_site: bool,
}

impl SiteCapacity {
    /// The weight, raised to a positive value.
    fn positive_weight(&self) -> f64 {
        self.weight.max(MIN_WEIGHT)
    }
}

/// The share of `load`, in units per second, that each site gets. The shares sum to one. No site exceeds its capacity unless all
/// do, and then all exceed it by the same factor. If no site has capacity, the load is distributed by weight.
pub fn distribute(load: f64, sites: &[SiteCapacity]) -> Vec<f64> {
    let total: f64 = sites.iter().map(|site| site.capacity).sum();
    if total <= 0.0 {
        return proportional_shares(sites, |site| site.weight);
    }
    if load <= 0.0 {
        // Nothing was offered yet: distribute a minimal load instead, as the first request will be.
        return distribute(f64::MIN_POSITIVE, sites);
    }
    if load >= total {
        return proportional_shares(sites, |site| site.capacity);
    }
    let assigned = assign_units(load, sites);
    let sum: f64 = assigned.iter().sum();
    assigned.iter().map(|units| units / sum).collect()
}

/// The units per second for each site if all sites together have capacity for `load`.
fn assign_units(load: f64, sites: &[SiteCapacity]) -> Vec<f64> {
    let mut assigned = vec![0.0; sites.len()];
    let mut remaining = load;
    for (units, site) in assigned.iter_mut().zip(sites) {
        if site.is_own_site {
            *units = remaining.min(site.capacity);
            remaining -= *units;
        }
    }
    // Each round fills at least one site; load that exceeds the capacity of a full site goes to the others in the next round.
    for _ in 0..sites.len() {
        let unfilled_weight: f64 = assigned
            .iter()
            .zip(sites)
            .filter(|(units, site)| **units < site.capacity)
            .map(|(_, site)| site.positive_weight())
            .sum();
        if remaining <= load * NEGLIGIBLE_FRACTION || unfilled_weight <= 0.0 {
            break;
        }
        let units_per_weight = remaining / unfilled_weight;
        for (units, site) in assigned.iter_mut().zip(sites) {
            if *units < site.capacity {
                let added = (units_per_weight * site.positive_weight()).min(site.capacity - *units);
                *units += added;
                remaining -= added;
            }
        }
    }
    assigned
}

/// Shares in proportion to a measure of the sites. If it is infinite for some sites, only those get a share, by their weights.
fn proportional_shares(sites: &[SiteCapacity], measure: impl Fn(&SiteCapacity) -> f64) -> Vec<f64> {
    let any_infinite = sites.iter().any(|site| measure(site).is_infinite());
    let finite_measure = |site: &SiteCapacity| {
        let value = measure(site);
        if !any_infinite {
            value
        } else if value.is_infinite() {
            site.positive_weight()
        } else {
            0.0
        }
    };
    let sum: f64 = sites.iter().map(finite_measure).sum();
    if sum > 0.0 {
        return sites
            .iter()
            .map(|site| finite_measure(site) / sum)
            .collect();
    }
    let even_share = 1.0 / sites.len().max(1) as f64;
    vec![even_share; sites.len()]
}
