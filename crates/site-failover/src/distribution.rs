//! Where load goes: to the near site first, then to the capacity that the others have left, never beyond one site's capacity while
//! another has some.

/// The least weight of a site that has capacity.
const MIN_WEIGHT: f64 = 1e-6;
/// Load that is left after this part of it was distributed is a rounding error.
const NEGLIGIBLE_PART: f64 = 1e-12;

/// A site as the distribution sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteCapacity {
    /// Units a second that it bears from this gateway; infinite where no limit is known.
    pub capacity: f64,
    /// Its size, by which load without known limits is distributed.
    pub weight: f64,
    /// Whether it is the gateway's own site.
    pub is_near: bool,
}

impl SiteCapacity {
    /// The weight, which is more than zero for every site that has capacity.
    fn positive_weight(&self) -> f64 {
        self.weight.max(MIN_WEIGHT)
    }
}

/// The part of `load` units a second that each site should bear. The parts sum to one. No site goes beyond its capacity unless all
/// do, and then all by the same factor. Without capacity anywhere, the load is distributed by weight.
pub fn distribute(load: f64, sites: &[SiteCapacity]) -> Vec<f64> {
    let total: f64 = sites.iter().map(|site| site.capacity).sum();
    if total <= 0.0 {
        return in_proportion(sites, |site| site.weight);
    }
    if load <= 0.0 {
        // Nothing was offered yet: distribute as the first of it would be.
        return distribute(f64::MIN_POSITIVE, sites);
    }
    if load >= total {
        return in_proportion(sites, |site| site.capacity);
    }
    let given = fill(load, sites);
    let sum: f64 = given.iter().sum();
    given.iter().map(|units| units / sum).collect()
}

/// Units a second for each site, where all sites together have capacity for `load`.
fn fill(load: f64, sites: &[SiteCapacity]) -> Vec<f64> {
    let mut given = vec![0.0; sites.len()];
    let mut remaining = load;
    for (units, site) in given.iter_mut().zip(sites) {
        if site.is_near {
            *units = remaining.min(site.capacity);
            remaining -= *units;
        }
    }
    // Each round fills at least one site; what a full one cannot take goes to the others in the next round.
    for _ in 0..sites.len() {
        let open_weight: f64 = given
            .iter()
            .zip(sites)
            .filter(|(units, site)| **units < site.capacity)
            .map(|(_, site)| site.positive_weight())
            .sum();
        if remaining <= load * NEGLIGIBLE_PART || open_weight <= 0.0 {
            break;
        }
        let units_per_weight = remaining / open_weight;
        for (units, site) in given.iter_mut().zip(sites) {
            if *units < site.capacity {
                let more = (units_per_weight * site.positive_weight()).min(site.capacity - *units);
                *units += more;
                remaining -= more;
            }
        }
    }
    given
}

/// Shares in proportion to a measure of the sites. If some are infinite, only those get a share, by their weights.
fn in_proportion(sites: &[SiteCapacity], measure: impl Fn(&SiteCapacity) -> f64) -> Vec<f64> {
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
