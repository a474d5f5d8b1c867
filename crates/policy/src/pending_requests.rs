//! The requests that wait for an endpoint.

use crate::api::RequestId;

/// The requests that wait.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: Vec<RequestId>,
    /// A timer to try them again is set.
    pub(crate) is_timer_set: bool,
}

impl PendingRequests {
    /// Whether any request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// A request waits.
    pub(crate) fn push(&mut self, id: RequestId) {
        self.requests.push(id);
    }

    /// Takes all requests; those that go on waiting are pushed again.
    pub(crate) fn take_all(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests)
    }
}
