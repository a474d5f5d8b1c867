//! The load that a site's endpoints can serve during their slow start.

use super::{Endpoint, Site};
use crate::ramp::RampStart;
use crate::FailoverSettings;
use chalkdeck_time::Timestamp;

/// Fraction of the load that overloads an endpoint in slow start which is safe to send.
const SAFE_OVERLOAD_FRACTION: f64 = 0.5;

/// The fraction of the site's capacity that its endpoints can serve now for all gateways together, 0 to 1.
pub(crate) fn sustainable_fraction(
    settings: &FailoverSettings,
    site: &Site,
    now: Timestamp,
) -> f64 {
    let mut total = 0.0;
    let mut sustainable = 0.0;
    for endpoint in site.listed_endpoints() {
        total += endpoint.weight;
        sustainable += endpoint.weight * sustainable_fraction_of(settings, endpoint, now);
    }
    if total > 0.0 {
        sustainable / total
    } else {
        1.0
    }
}

/// The start of a ramp for a site that can serve this fraction of its capacity.
pub(crate) fn ramp_start(sustainable_fraction: f64) -> RampStart {
    if sustainable_fraction < 1.0 {
        RampStart::Cold
    } else {
        RampStart::Warm
    }
}

fn sustainable_fraction_of(
    settings: &FailoverSettings,
    endpoint: &Endpoint,
    now: Timestamp,
) -> f64 {
    let Some(started_at) = endpoint.started_at else {
        return 1.0;
    };
    let age = now - started_at;
    if age >= settings.slow_start_duration {
        return 1.0;
    }
    let progress = age.as_micros() as f64 / settings.slow_start_duration.as_micros().max(1) as f64;
    let capacity =
        settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * progress;
    capacity * (settings.overload_multiple * SAFE_OVERLOAD_FRACTION).min(1.0)
}

/// The fraction, by weight, of a site's endpoints that are warm, whether or not the list has them in service.
pub(crate) fn warm_fraction(settings: &FailoverSettings, site: &Site, now: Timestamp) -> f64 {
    let is_warm = |endpoint: &&Endpoint| {
        endpoint
            .started_at
            .is_none_or(|started_at| now >= started_at + settings.slow_start_duration)
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
