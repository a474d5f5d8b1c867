//! What a site's endpoints bear while they warm up.

use super::{Endpoint, Site};
use crate::ramp::RampStart;
use crate::FailoverSettings;
use chalkdeck_time::Timestamp;

/// A cold endpoint is loaded up to this part of the load under which it would fail.
const SAFETY_FACTOR: f64 = 0.5;

/// The part of the site's capacity that its endpoints bear now from all gateways together, 0 to 1.
pub(crate) fn bearable_part(settings: &FailoverSettings, site: &Site, now: Timestamp) -> f64 {
    let mut total = 0.0;
    let mut bearable = 0.0;
    for endpoint in site.listed() {
        total += endpoint.weight;
        bearable += endpoint.weight * bearable_part_of(settings, endpoint, now);
    }
    if total > 0.0 {
        bearable / total
    } else {
        1.0
    }
}

/// How a ramp starts whose site bears this part of its capacity.
pub(crate) fn ramp_start(bearable_part: f64) -> RampStart {
    if bearable_part < 1.0 {
        RampStart::Cold
    } else {
        RampStart::Warm
    }
}

fn bearable_part_of(settings: &FailoverSettings, endpoint: &Endpoint, now: Timestamp) -> f64 {
    let Some(started) = endpoint.started else {
        return 1.0;
    };
    let age = now - started;
    if age >= settings.warm_up {
        return 1.0;
    }
    let warmth = age.as_micros() as f64 / settings.warm_up.as_micros().max(1) as f64;
    let capacity = settings.cold_capacity + (1.0 - settings.cold_capacity) * warmth;
    capacity * (settings.overload_factor * SAFETY_FACTOR).min(1.0)
}

/// The part by weight of a site's endpoints, listed or not, that are warm.
pub(crate) fn warm_part(settings: &FailoverSettings, site: &Site, now: Timestamp) -> f64 {
    let is_warm = |endpoint: &&Endpoint| {
        endpoint
            .started
            .is_none_or(|started| now >= started + settings.warm_up)
    };
    let total: f64 = site.endpoints.values().map(|e| e.weight).sum();
    let warm: f64 = site
        .endpoints
        .values()
        .filter(is_warm)
        .map(|e| e.weight)
        .sum();
    if warm < total {
        warm / total
    } else {
        1.0
    }
}
