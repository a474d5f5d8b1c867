//! What is known of one endpoint.

use crate::{AttemptEvidence, EndpointEntry};
use chalkdeck_time::Timestamp;

/// An endpoint is silent after so many attempts in a row without an answer.
const ATTEMPTS_UNTIL_SILENT: u32 = 2;
/// The weight of an endpoint whose list line gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One endpoint of a site.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) weight: f64,
    pub(crate) in_service: bool,
    pub(crate) started: Option<Timestamp>,
    /// Attempts in a row that got no answer.
    unanswered: u32,
    is_unreachable: bool,
}

impl Endpoint {
    /// Takes over its line of the list. What was known of it is forgotten when it has restarted.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        if self.started != entry.started && entry.started.is_some() {
            *self = Endpoint::default();
        }
        self.in_service = entry.in_service;
        self.started = entry.started;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
    }

    /// Takes the end of an attempt into account.
    pub(crate) fn record(&mut self, evidence: AttemptEvidence) {
        match evidence {
            AttemptEvidence::Answered | AttemptEvidence::Rejected => {
                self.unanswered = 0;
                self.is_unreachable = false;
            }
            AttemptEvidence::TimedOut | AttemptEvidence::Unreachable => {
                self.unanswered = self.unanswered.saturating_add(1);
                self.is_unreachable = evidence == AttemptEvidence::Unreachable;
            }
            AttemptEvidence::Cancelled => {}
        }
    }

    /// Whether its last attempts got an answer, as far as there were any.
    pub(crate) fn is_responsive(&self) -> bool {
        self.in_service && self.unanswered < ATTEMPTS_UNTIL_SILENT
    }

    /// Whether it refused or broke the connection of its last attempt.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}
