//! Batches of pending increments: they are checked, written to the log together and counted.

use super::Server;
use crate::batch::IncrementBatch;
use crate::state::{Increment, Rejection};
use chalkdeck_net::grpc::Code;
use chalkdeck_net::StreamId;
use chalkdeck_time::Timestamp;

/// Maximum number of increments in a batch; keeps its record far below [`chalkdeck_wal::record::MAX_BODY_BYTES`].
const MAX_BATCH_LEN: usize = 16_384;

/// An increment and the stream that gets the response to it.
pub(super) struct PendingIncrement {
    pub(super) stream: StreamId,
    pub(super) increment: Increment,
}

/// A batch that is being written to the log.
pub(super) struct BatchInFlight {
    pub(super) increments: Vec<PendingIncrement>,
    /// Time at which the increments count.
    time: Timestamp,
}

impl Server {
    /// Starts the next batch, unless one is in flight or no increments are pending.
    pub(super) fn begin_batch(&mut self) {
        if self.in_flight.is_some() || self.pending.is_empty() {
            return;
        }
        let mut increments = self.pending.take(MAX_BATCH_LEN);
        let now = Timestamp::from_micros(self.engine.now());
        let time = self.state.monotonic_time(now);
        increments.retain(|pending| self.check_or_reject(pending));
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

    /// Whether an increment can be counted; responds with the reason if it cannot.
    fn check_or_reject(&mut self, pending: &PendingIncrement) -> bool {
        let Err(rejection) = self.state.check(&pending.increment) else {
            return true;
        };
        let code = status_code(rejection);
        self.respond(pending.stream, pending.increment.number, Err(code));
        false
    }

    /// Counts the increments of a batch and responds to them.
    pub(super) fn count(&mut self, batch: BatchInFlight) {
        for PendingIncrement { stream, increment } in batch.increments {
            let total = self.state.apply(batch.time, &increment);
            self.hot_name_sampler.observe(increment.name);
            self.respond(stream, increment.number, Ok(total));
        }
    }

    /// Responds with an error to increments that were not counted.
    pub(super) fn respond_to_all(&mut self, increments: Vec<PendingIncrement>, code: Code) {
        for PendingIncrement { stream, increment } in increments {
            self.respond(stream, increment.number, Err(code));
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
