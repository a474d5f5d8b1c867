//! Batches of increments: the records of the counter's log.

use crate::state::{CallerId, Increment, NameId};
use chalkdeck_proto::chalkdeck::counter::v1::Batch;
use chalkdeck_time::{TimeDelta, Timestamp};
use chalkdeck_wal::record;
use prost::Message;

/// Increments that are written and counted together.
#[derive(Clone, Debug, PartialEq)]
pub struct IncrementBatch {
    /// Number of increments that were counted before this batch.
    pub position: u64,
    /// Time at which all increments of the batch count.
    pub time: Timestamp,
    /// The increments, in the order in which they are counted.
    pub increments: Vec<Increment>,
}

/// Why the body of a record is not a valid batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The bytes are not a protobuf message.
    #[error(transparent)]
    Message(#[from] prost::DecodeError),
    /// The columns differ in length, or an amount is not finite.
    #[error("expected columns of equal length and finite amounts")]
    Columns,
}

impl IncrementBatch {
    /// Appends the batch as a record.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let increments = &self.increments;
        let batch = Batch {
            position: self.position,
            time: self.time.as_micros(),
            names: column(increments, |increment| increment.name.0),
            amounts: column(increments, |increment| increment.amount),
            lifetimes: column(increments, |increment| increment.lifetime.as_micros()),
            callers: column(increments, |increment| increment.caller.0),
            numbers: column(increments, |increment| increment.number),
        };
        record::append_message(out, &batch);
    }

    /// Decodes the body of a record.
    pub fn decode(body: &[u8]) -> Result<IncrementBatch, BatchError> {
        let batch = Batch::decode(body)?;
        let len = batch.names.len();
        let column_lens = [
            batch.amounts.len(),
            batch.lifetimes.len(),
            batch.callers.len(),
            batch.numbers.len(),
        ];
        let has_equal_columns = column_lens.iter().all(|column_len| *column_len == len);
        let is_finite = batch.amounts.iter().all(|amount| amount.is_finite());
        if !has_equal_columns || !is_finite {
            return Err(BatchError::Columns);
        }
        Ok(IncrementBatch {
            position: batch.position,
            time: Timestamp::from_micros(batch.time),
            increments: (0..len).map(|row| increment_at(&batch, row)).collect(),
        })
    }
}

fn column<T>(increments: &[Increment], value: impl Fn(&Increment) -> T) -> Vec<T> {
    increments.iter().map(value).collect()
}

fn increment_at(batch: &Batch, row: usize) -> Increment {
    Increment {
        name: NameId(batch.names[row]),
        amount: batch.amounts[row],
        lifetime: TimeDelta::from_micros(batch.lifetimes[row]),
        caller: CallerId(batch.callers[row]),
        number: batch.numbers[row],
    }
}

#[cfg(test)]
mod tests;
