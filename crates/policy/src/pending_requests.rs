//! Requests that wait for an endpoint.

use crate::api::RequestId;

/// Ids of the waiting requests, unordered.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: Vec<RequestId>,
    /// Whether the timer for the next try is set.
    pub(crate) is_timer_set: bool,
}

impl PendingRequests {
    /// Whether any request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, id: RequestId) {
        self.requests.push(id);
    }

    /// Removes and returns all requests. The caller pushes those that keep waiting.
    pub(crate) fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }
}
