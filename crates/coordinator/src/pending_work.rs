//! Pending work for the leaders of the built-in elections.

use crate::protocol::WatchEvent;

/// Which kinds of work are pending; sent to gateways with each watch event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Whether proposals wait for the registrar.
    pub has_proposals: bool,
    /// Whether rule hits of ended gateway incarnations wait to be folded into the totals.
    pub has_unfolded_hits: bool,
    /// Whether site overrides wait to be published.
    pub has_unpublished_overrides: bool,
}

impl From<&WatchEvent> for PendingWork {
    fn from(event: &WatchEvent) -> PendingWork {
        PendingWork {
            has_proposals: event.has_proposals,
            has_unfolded_hits: event.has_unfolded_hits,
            has_unpublished_overrides: event.has_unpublished_overrides,
        }
    }
}
