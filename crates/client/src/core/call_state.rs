//! The state of one call.

use super::messages::{AttemptOutcome, GatewayId, Idempotency, Outcome};
use chalkdeck_time::{TimeDelta, Timestamp};

/// The state of a call that has no outcome yet.
#[derive(Debug)]
pub(super) struct CallState {
    pub(super) idempotency: Idempotency,
    pub(super) deadline: Timestamp,
    /// The number of attempts that were sent.
    pub(super) attempts: u32,
    /// The gateway of the attempt in flight, if there is one.
    pub(super) in_flight_gateway: Option<GatewayId>,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// When the last attempt was sent.
    pub(super) sent_at: Timestamp,
    /// The previous backoff.
    pub(super) backoff: TimeDelta,
    /// The end of its backoff, if it waits for one.
    pub(super) retry_at: Option<Timestamp>,
    /// The outcome of the call if there is no further attempt.
    pub(super) last_outcome: Outcome,
}

impl CallState {
    pub(super) fn new(
        idempotency: Idempotency,
        deadline: Timestamp,
        backoff: TimeDelta,
    ) -> CallState {
        CallState {
            idempotency,
            deadline,
            attempts: 0,
            in_flight_gateway: None,
            may_have_run_since: None,
            sent_at: Timestamp::ZERO,
            backoff,
            retry_at: None,
            last_outcome: Outcome::DeadlineExceeded {
                may_have_run: false,
            },
        }
    }

    /// Whether it is safe to send an attempt at `time`: running the call twice is impossible, deduplicated or harmless.
    pub(super) fn is_safe_to_send_at(&self, time: Timestamp) -> bool {
        let Some(first) = self.may_have_run_since else {
            return true;
        };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { key_window } => time < first + key_window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Records how the last attempt ended.
    pub(super) fn record(&mut self, outcome: AttemptOutcome) {
        self.last_outcome = match outcome {
            AttemptOutcome::Answered => Outcome::Answered,
            AttemptOutcome::Rejected { retry_after } => Outcome::Rejected { retry_after },
            AttemptOutcome::NotProcessed => Outcome::NotSent,
            AttemptOutcome::MayHaveRun => {
                self.mark_may_have_run();
                Outcome::Failed
            }
        };
    }

    /// Records that the last attempt may have run.
    pub(super) fn mark_may_have_run(&mut self) {
        self.may_have_run_since.get_or_insert(self.sent_at);
    }

    /// Whether the attempt in flight or an earlier one may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.in_flight_gateway.is_some() || self.may_have_run_since.is_some()
    }

    /// The outcome if the deadline passes now.
    pub(super) fn outcome_at_deadline(&self) -> Outcome {
        let may_have_run = self.may_have_run();
        match self.last_outcome {
            Outcome::Rejected { .. } if !may_have_run => self.last_outcome,
            _ => Outcome::DeadlineExceeded { may_have_run },
        }
    }

    /// The outcome to report to the caller. One that invites a new call is replaced if an earlier attempt may have run and the call
    /// is not idempotent.
    pub(super) fn reported_outcome(&self, outcome: Outcome) -> Outcome {
        let invites_retry = matches!(outcome, Outcome::Rejected { .. } | Outcome::NotSent);
        let is_retry_unsafe =
            self.may_have_run_since.is_some() && self.idempotency != Idempotency::Idempotent;
        if invites_retry && is_retry_unsafe {
            return Outcome::Failed;
        }
        outcome
    }
}
