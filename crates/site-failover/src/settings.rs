//! Settings of the core.

use crate::SiteId;
use chalkdeck_time::TimeDelta;

/// Settings of one gateway's [`FailoverCore`](crate::FailoverCore).
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// The site that the gateway itself belongs to.
    pub own_site: SiteId,
    /// The gateway's index among all gateways, from 0. It varies the moments at which gateways take the steps of a recovery ramp.
    pub gateway_index: u32,
    /// The number of gateways.
    pub gateway_count: u32,
    /// The fraction of its capacity that an endpoint has when it starts, 0 to 1.
    pub slow_start_min_capacity: f64,
    /// How long after its start an endpoint reaches its full capacity.
    pub slow_start_duration: TimeDelta,
    /// A cold endpoint fails under a load of this many times its current capacity.
    pub overload_multiple: f64,
}
