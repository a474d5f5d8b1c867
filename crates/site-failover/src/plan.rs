//! What the core decides: the state, share and capacity of each site, and what is shed.

use crate::{SheddingThreshold, SiteId, SiteState};
use chalkdeck_time::{TimeDelta, Timestamp};
use std::fmt;

/// What a site's state rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteEvidence {
    /// Endpoints that the list has in service.
    pub listed: usize,
    /// How many of the listed endpoints did not answer their last attempts.
    pub silent: usize,
    /// For how long attempts have been in flight at the site without any answer.
    pub quiet: TimeDelta,
    /// Recent losses of the site.
    pub losses: u32,
    /// After such losses the site is kept out until then.
    pub held_out_until: Timestamp,
}

/// Attempts in flight at a site and their limit, over all its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Concurrency {
    /// Attempts in flight.
    pub in_flight: f64,
    /// The most that may be in flight.
    pub limit: f64,
}

/// One site of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// The site.
    pub site: SiteId,
    /// Its state as seen from this gateway.
    pub state: SiteState,
    /// When it entered that state.
    pub since: Timestamp,
    /// What the state rests on.
    pub evidence: SiteEvidence,
    /// The part of the load that it should bear. Over all sites the shares sum to one.
    pub share: f64,
    /// Units a second that this gateway may send there, as learnt; `None` if no limit was met.
    pub capacity: Option<f64>,
    /// The part of its capacity that it is given while it recovers; 1 otherwise.
    pub ramp: f64,
    /// Attempts in flight there and their limit.
    pub concurrency: Concurrency,
}

/// What the core decides.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverPlan {
    /// All known sites in the order of their ids.
    pub sites: Vec<SitePlan>,
    /// The part of the offered work that is admitted.
    pub admission: f64,
    /// Which requests make up that part.
    pub threshold: SheddingThreshold,
}

impl fmt::Display for SiteEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.listed, self.silent) {
            (0, _) => write!(f, "the list has none of its servers")?,
            (listed, 0) => write!(f, "{listed} servers listed")?,
            (listed, silent) => write!(f, "{silent} of {listed} servers silent")?,
        }
        if !self.quiet.is_zero() {
            write!(f, ", nothing heard for {:.1} s", self.quiet.as_secs_f64())?;
        }
        if self.losses > 1 {
            write!(f, ", lost {} times lately", self.losses)?;
        }
        Ok(())
    }
}
