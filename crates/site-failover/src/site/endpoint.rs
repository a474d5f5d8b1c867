//! The state of one endpoint.

use crate::{AttemptEvidence, EndpointEntry};
use chalkdeck_time::Timestamp;

/// An endpoint is unresponsive after this many attempts in a row without a response.
const FAILURES_UNTIL_UNRESPONSIVE: u32 = 2;
/// The weight of an endpoint whose list entry gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One endpoint of a site.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) weight: f64,
    pub(crate) is_in_service: bool,
    pub(crate) started_at: Option<Timestamp>,
    /// Attempts in a row without a response.
    consecutive_failures: u32,
    is_unreachable: bool,
}

impl Endpoint {
    /// Updates it from its list entry. The evidence of its earlier attempts is reset if it has restarted.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        if self.started_at != entry.started_at && entry.started_at.is_some() {
            *self = Endpoint::default();
        }
        self.is_in_service = entry.is_in_service;
        self.started_at = entry.started_at;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
    }

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, evidence: AttemptEvidence) {
        match evidence {
            AttemptEvidence::Answered | AttemptEvidence::Rejected => {
                self.consecutive_failures = 0;
                self.is_unreachable = false;
            }
            AttemptEvidence::TimedOut | AttemptEvidence::Unreachable => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.is_unreachable = evidence == AttemptEvidence::Unreachable;
            }
            AttemptEvidence::Cancelled => {}
        }
    }

    /// Whether it is in service and has not failed too many attempts in a row.
    pub(crate) fn is_responsive(&self) -> bool {
        self.is_in_service && self.consecutive_failures < FAILURES_UNTIL_UNRESPONSIVE
    }

    /// Whether the connection of its last attempt was refused or broke.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}
