//! What the core must know when it starts.

use crate::SiteId;
use chalkdeck_time::TimeDelta;

/// Settings of one gateway's [`FailoverCore`](crate::FailoverCore).
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// The site that the gateway itself stands in.
    pub own_site: SiteId,
    /// The gateway's number within its fleet, from 0. Gateways with different numbers take the steps of a ramp at different moments.
    pub gateway_index: u32,
    /// The number of gateways in the fleet.
    pub gateways: u32,
    /// The part of its capacity that an endpoint has when it starts, 0 to 1.
    pub cold_capacity: f64,
    /// An endpoint that has run for this long has its whole capacity.
    pub warm_up: TimeDelta,
    /// A cold endpoint fails under this many times its present capacity.
    pub overload_factor: f64,
}
