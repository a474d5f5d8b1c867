//! Pending timers of the engine and their purposes.

use crate::api::{RequestId, TimerId};
use rustc_hash::FxHashMap;

/// What the engine does when a timer fires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerPurpose {
    /// Answer the request, as its deadline is reached.
    RequestDeadline(RequestId),
    /// Check whether an attempt is a straggler.
    StragglerCheck { request: RequestId, attempt: usize },
    /// Try to send the pending requests.
    PendingRequests,
    /// Subscribe to the endpoint list again.
    Resubscribe,
    /// Drop the state of inactive customers.
    CustomerExpiry,
}

/// Timers that have not fired.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    last_id: u64,
    purposes: FxHashMap<TimerId, TimerPurpose>,
}

impl Timers {
    /// Registers a timer and returns its new id.
    pub(crate) fn register(&mut self, purpose: TimerPurpose) -> TimerId {
        self.last_id += 1;
        let id = TimerId(self.last_id);
        self.purposes.insert(id, purpose);
        id
    }

    /// Removes a timer that fired and returns its purpose; `None` for an unknown id.
    pub(crate) fn take(&mut self, id: TimerId) -> Option<TimerPurpose> {
        self.purposes.remove(&id)
    }
}
