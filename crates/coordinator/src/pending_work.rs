//! Work that waits for the leaders of the built-in elections.

use crate::protocol::WatchEvent;

/// Which work waits; told to gateways with each watch event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Proposals wait for the registrar.
    pub proposals: bool,
    /// Hits of gateways that are gone wait to be folded into the totals.
    pub unfolded_hits: bool,
    /// Site overrides wait to be published.
    pub unpublished_overrides: bool,
}

impl From<&WatchEvent> for PendingWork {
    fn from(event: &WatchEvent) -> PendingWork {
        PendingWork {
            proposals: event.has_proposals,
            unfolded_hits: event.has_unfolded_hits,
            unpublished_overrides: event.has_unpublished_overrides,
        }
    }
}
