//! Timers of the engine and what each is for.

use crate::api::{RequestId, TimerId};
use rustc_hash::FxHashMap;

/// What the engine does when a timer fires.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerPurpose {
    /// Answer the request: its client gives up.
    RequestDeadline(RequestId),
    /// Check whether that attempt is a straggler.
    StragglerCheck { request: RequestId, attempt: usize },
    /// Try to send the requests that wait for an endpoint.
    PendingRequests,
    /// Subscribe to the endpoint list again.
    Resubscribe,
    /// Forget customers that sent nothing for long.
    CustomerExpiry,
}

/// The timers that have not fired.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    last_id: u64,
    purposes: FxHashMap<TimerId, TimerPurpose>,
}

impl Timers {
    /// Gives a timer an id.
    pub(crate) fn register(&mut self, purpose: TimerPurpose) -> TimerId {
        self.last_id += 1;
        let id = TimerId(self.last_id);
        self.purposes.insert(id, purpose);
        id
    }

    /// Takes a timer that fired; none for an unknown id.
    pub(crate) fn take(&mut self, id: TimerId) -> Option<TimerPurpose> {
        self.purposes.remove(&id)
    }
}
