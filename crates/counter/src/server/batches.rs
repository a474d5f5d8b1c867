//! Batches: pending increments are checked, written together and counted.

use super::Server;
use crate::batch::IncrementBatch;
use crate::state::{Increment, Rejection};
use chalkdeck_net::grpc::Code;
use chalkdeck_net::StreamId;
use chalkdeck_time::Timestamp;

/// Increments in one batch; the record of so many is far below the longest one.
const MAX_BATCH_LEN: usize = 16_384;

/// An increment and the stream that its answer goes to.
pub(super) struct PendingIncrement {
    pub(super) stream: StreamId,
    pub(super) increment: Increment,
}

/// A batch on its way to the disk.
pub(super) struct BatchInFlight {
    pub(super) increments: Vec<PendingIncrement>,
    /// When the increments are counted.
    time: Timestamp,
}

impl Server {
    /// Begins the next batch unless one is in flight.
    pub(super) fn begin_batch(&mut self) {
        if self.in_flight.is_some() || self.pending.is_empty() {
            return;
        }
        let mut increments = self.pending.take(MAX_BATCH_LEN);
        let now = Timestamp::from_micros(self.engine.now());
        let time = self.state.clock(now);
        increments.retain(|pending| self.check(pending));
        if increments.is_empty() {
            return;
        }
        self.metrics.record_batch(increments.len());
        let batch = BatchInFlight { increments, time };
        if let Some(storage) = &self.storage {
            storage.writer.write_batch(IncrementBatch {
                position: self.state.position(),
                time,
                increments: batch.increments.iter().map(|p| p.increment).collect(),
            });
            self.in_flight = Some(batch);
        } else {
            self.count(batch);
        }
    }

    /// Whether an increment can be counted; answers it otherwise.
    fn check(&mut self, pending: &PendingIncrement) -> bool {
        let Err(rejection) = self.state.check(&pending.increment) else {
            return true;
        };
        let code = status_code(rejection);
        self.answer(pending.stream, pending.increment.number, Err(code));
        false
    }

    /// Counts a batch and answers its increments.
    pub(super) fn count(&mut self, batch: BatchInFlight) {
        for PendingIncrement { stream, increment } in batch.increments {
            let total = self.state.apply(batch.time, &increment);
            self.hot_names.observe(increment.name);
            self.answer(stream, increment.number, Ok(total));
        }
    }

    /// Answers increments that were not counted.
    pub(super) fn answer_all(&mut self, increments: Vec<PendingIncrement>, code: Code) {
        for PendingIncrement { stream, increment } in increments {
            self.answer(stream, increment.number, Err(code));
        }
    }
}

fn status_code(rejection: Rejection) -> Code {
    match rejection {
        Rejection::TooManyNames => Code::ResourceExhausted,
        Rejection::TooOld => Code::FailedPrecondition,
        Rejection::ForgottenCaller => Code::Aborted,
        Rejection::NotFinite => Code::InvalidArgument,
    }
}
