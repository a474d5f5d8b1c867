//! Deduplication of commands: responses are recorded by caller and number, so that a retried command is applied once.

use super::{rejected, CommandNumber, CommandResponse, ResponseCode};
use crate::protocol::wire;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of recorded callers; the one whose last command is the oldest is evicted first.
const MAX_CALLERS: usize = 4_096;
/// Maximum number of recorded responses of one caller.
const RESPONSES_PER_CALLER: usize = 32;

#[derive(Clone, Debug)]
struct RecordedResponse {
    number: CommandNumber,
    response: CommandResponse,
}

/// The recorded responses of one caller.
#[derive(Clone, Debug, Default)]
struct CallerRecord {
    /// The log index of the caller's last command.
    last_index: u64,
    responses: VecDeque<RecordedResponse>,
    /// Responses up to this number were evicted.
    forgotten_up_to: CommandNumber,
}

/// The recorded responses of all callers.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerRecords {
    records: BTreeMap<u64, CallerRecord>,
    /// Callers by the log index of their last command.
    by_last_index: BTreeMap<u64, u64>,
    /// The largest log index of the last command of an evicted caller.
    forgotten_at: u64,
}

impl CallerRecords {
    /// The recorded response to a command that was already applied, or a rejection if it is no longer known whether the command was
    /// applied. `begun_version` is the version of the state that the caller had seen.
    pub(super) fn recorded_response(
        &self,
        caller: u64,
        number: CommandNumber,
        begun_version: u64,
    ) -> Option<CommandResponse> {
        let forgotten_rejection = || {
            rejected(
                ResponseCode::Forgotten,
                "it cannot be told any more whether this command was done",
            )
        };
        let Some(record) = self.records.get(&caller) else {
            // An evicted caller saw its `begun_version` before its last command was applied. A caller without a record whose
            // version is below `forgotten_at` may therefore be an evicted one, and its command may already have been applied.
            return (begun_version < self.forgotten_at).then(forgotten_rejection);
        };
        let known = record.responses.iter().find(|r| r.number == number);
        if let Some(known) = known {
            return Some(known.response.clone());
        }
        (number <= record.forgotten_up_to).then(forgotten_rejection)
    }

    /// Records the response to the command at a log index.
    pub(super) fn record(
        &mut self,
        caller: u64,
        number: CommandNumber,
        response: &CommandResponse,
        index: u64,
    ) {
        let record = self.records.entry(caller).or_default();
        self.by_last_index.remove(&record.last_index);
        record.last_index = index;
        record.responses.push_back(RecordedResponse {
            number,
            response: response.clone(),
        });
        if record.responses.len() > RESPONSES_PER_CALLER {
            if let Some(oldest) = record.responses.pop_front() {
                record.forgotten_up_to = record.forgotten_up_to.max(oldest.number);
            }
        }
        self.by_last_index.insert(index, caller);
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.records.len() > MAX_CALLERS {
            let Some((last_index, oldest)) = self.by_last_index.pop_first() else {
                return;
            };
            self.records.remove(&oldest);
            self.forgotten_at = self.forgotten_at.max(last_index);
        }
    }

    pub(super) fn forgotten_at(&self) -> u64 {
        self.forgotten_at
    }

    pub(super) fn to_wire(&self) -> Vec<wire::CallerRecord> {
        let to_wire = |(caller, record): (&u64, &CallerRecord)| wire::CallerRecord {
            caller: *caller,
            last_index: record.last_index,
            numbers: record.responses.iter().map(|r| r.number.0).collect(),
            responses: record
                .responses
                .iter()
                .map(|r| r.response.encode_to_vec())
                .collect(),
            forgotten_up_to: record.forgotten_up_to.0,
        };
        self.records.iter().map(to_wire).collect()
    }

    /// Restores records from a snapshot; `None` if a response is malformed.
    pub(super) fn from_wire(
        list: &[wire::CallerRecord],
        forgotten_at: u64,
    ) -> Option<CallerRecords> {
        let mut callers = CallerRecords {
            forgotten_at,
            ..CallerRecords::default()
        };
        for stored in list {
            let record = CallerRecord {
                last_index: stored.last_index,
                responses: responses_from_wire(stored)?,
                forgotten_up_to: CommandNumber(stored.forgotten_up_to),
            };
            callers.records.insert(stored.caller, record);
            callers
                .by_last_index
                .insert(stored.last_index, stored.caller);
        }
        Some(callers)
    }
}

fn responses_from_wire(stored: &wire::CallerRecord) -> Option<VecDeque<RecordedResponse>> {
    let mut responses = Vec::new();
    for bytes in &stored.responses {
        responses.push(CommandResponse::decode(&bytes[..]).ok()?);
    }
    let numbers = stored.numbers.iter().copied().map(CommandNumber);
    Some(
        numbers
            .zip(responses)
            .map(|(number, response)| RecordedResponse { number, response })
            .collect(),
    )
}
