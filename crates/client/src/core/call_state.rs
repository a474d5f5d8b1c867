//! State of one call.

use super::messages::{AttemptOutcome, GatewayId, Idempotency, Outcome};
use chalkdeck_time::{TimeDelta, Timestamp};

/// A call that has no outcome yet.
#[derive(Debug)]
pub(super) struct CallState {
    pub(super) idempotency: Idempotency,
    pub(super) deadline: Timestamp,
    /// Attempts that were sent.
    pub(super) attempts: u32,
    /// Where the attempt in flight went, if there is one.
    pub(super) in_flight_at: Option<GatewayId>,
    /// When the first attempt was sent that may have run.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// When the last attempt was sent.
    pub(super) sent_at: Timestamp,
    /// The last backoff.
    pub(super) backoff: TimeDelta,
    /// When its next attempt may be sent, if it waits for that.
    pub(super) retry_at: Option<Timestamp>,
    /// The outcome if there is no further attempt.
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
            in_flight_at: None,
            may_have_run_since: None,
            sent_at: Timestamp::ZERO,
            backoff,
            retry_at: None,
            last_outcome: Outcome::DeadlineExceeded {
                may_have_run: false,
            },
        }
    }

    /// Whether an attempt that is sent at a time can do no harm.
    pub(super) fn is_harmless_at(&self, time: Timestamp) -> bool {
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

    /// The last attempt may have run.
    pub(super) fn mark_may_have_run(&mut self) {
        self.may_have_run_since.get_or_insert(self.sent_at);
    }

    /// Whether the attempt in flight or an earlier one may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.in_flight_at.is_some() || self.may_have_run_since.is_some()
    }

    /// The outcome when the deadline passes.
    pub(super) fn outcome_at_deadline(&self) -> Outcome {
        let may_have_run = self.may_have_run();
        match self.last_outcome {
            Outcome::Rejected { .. } if !may_have_run => self.last_outcome,
            _ => Outcome::DeadlineExceeded { may_have_run },
        }
    }

    /// The outcome as the caller may read it: one that invites another call is not given if an earlier attempt may have run.
    pub(super) fn truthful(&self, outcome: Outcome) -> Outcome {
        let invites_retry = matches!(outcome, Outcome::Rejected { .. } | Outcome::NotSent);
        let is_harmful =
            self.may_have_run_since.is_some() && self.idempotency != Idempotency::Idempotent;
        if invites_retry && is_harmful {
            return Outcome::Failed;
        }
        outcome
    }
}
