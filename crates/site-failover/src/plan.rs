//! The plan that the core computes: the state, share and capacity of each site, and which requests are shed.

use crate::{SheddingThreshold, SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::fmt;

/// The evidence behind a site's state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteEvidence {
    /// The number of endpoints that the list has in service.
    pub listed_endpoints: usize,
    /// How many of the listed endpoints did not respond to their last attempts.
    pub silent_endpoints: usize,
    /// How long attempts have been in flight at the site without any response.
    pub silence: TimeDelta,
    /// The number of recent losses of the site.
    pub losses: u32,
    /// The site does not recover before this time because of these losses.
    pub backoff_until: Timestamp,
}

/// The attempts in flight at a site and its concurrency limit, summed over its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Concurrency {
    /// Attempts in flight.
    pub in_flight: f64,
    /// Maximum number of attempts in flight.
    pub limit: f64,
}

/// The plan for one site.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// The site.
    pub site: SiteId,
    /// Its state as seen from this gateway.
    pub state: SiteState,
    /// When it entered that state.
    pub state_since: Timestamp,
    /// The evidence behind the state.
    pub evidence: SiteEvidence,
    /// The fraction of the load that it should get. The shares of all sites sum to one.
    pub share: f64,
    /// The learned capacity in units per second that this gateway may use; `None` if no limit was reached.
    pub capacity: Option<f64>,
    /// The fraction of its capacity that it is given while it recovers; 1 otherwise.
    pub ramp_fraction: f64,
    /// Its attempts in flight and concurrency limit.
    pub concurrency: Concurrency,
}

/// The failover plan of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverPlan {
    /// All known sites, ordered by id.
    pub sites: Vec<SitePlan>,
    /// The fraction of the offered units that is admitted.
    pub admission_level: f64,
    /// Which requests are admitted to meet that level.
    pub threshold: SheddingThreshold,
}

impl fmt::Display for SiteEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.listed_endpoints, self.silent_endpoints) {
            (0, _) => write!(f, "the list has none of its servers")?,
            (listed, 0) => write!(f, "{listed} servers listed")?,
            (listed, silent) => write!(f, "{silent} of {listed} servers silent")?,
        }
        if !self.silence.is_zero() {
            write!(f, ", nothing heard for {:.1} s", self.silence.as_secs_f64())?;
        }
        if self.losses > 1 {
            write!(f, ", lost {} times lately", self.losses)?;
        }
        Ok(())
    }
}
