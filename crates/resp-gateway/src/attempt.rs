//! Attempts: each sends a request to one endpoint.

use bytes::Bytes;
use chalkdeck::api::{EndpointId, LoadReport, Outcome, RequestId};
use chalkdeck_time::TimeDelta;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// Its number among the attempts of the request, from 0.
    pub(crate) number: usize,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: TimeDelta,
    pub(crate) load_report: LoadReport,
    /// The value for the client, if the request was served.
    pub(crate) value: Option<Bytes>,
}

impl AttemptEnd {
    /// The end of an attempt that received no reply.
    pub(crate) fn without_reply(
        attempt: AttemptId,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: TimeDelta,
    ) -> AttemptEnd {
        AttemptEnd {
            attempt,
            endpoint,
            outcome,
            elapsed,
            load_report: LoadReport::default(),
            value: None,
        }
    }
}

/// Why an attempt is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbortReason {
    /// It has received no reply by its deadline.
    DeadlineExceeded,
    /// The decision engine cancelled it.
    Cancelled,
}
