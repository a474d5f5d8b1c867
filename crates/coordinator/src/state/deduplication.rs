//! Responses by caller and number, so that a repeated command is applied once.

use super::{rejected, CommandNumber, CommandResponse, ResponseCode};
use crate::protocol::wire;
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Callers that are remembered; the one whose last command is the oldest is forgotten first.
const MAX_CALLERS: usize = 4_096;
/// Responses that are remembered of each.
const RESPONSES_PER_CALLER: usize = 32;

#[derive(Clone, Debug)]
struct RecordedResponse {
    number: CommandNumber,
    response: CommandResponse,
}

/// What is remembered of one caller.
#[derive(Clone, Debug, Default)]
struct CallerRecord {
    /// The index in the log of its last command.
    last_index: u64,
    responses: VecDeque<RecordedResponse>,
    /// Responses up to this number are forgotten.
    forgotten_up_to: CommandNumber,
}

/// What is remembered of all callers.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerRecords {
    records: BTreeMap<u64, CallerRecord>,
    /// Callers by the index of their last command.
    by_last_index: BTreeMap<u64, u64>,
    /// The index of the last command of the last caller that was forgotten.
    forgotten_at: u64,
}

impl CallerRecords {
    /// The response to a command that was applied before, or a rejection if it is not known whether it was. `begun`: the version of
    /// the state that the caller had seen.
    pub(super) fn known_response(
        &self,
        caller: u64,
        number: CommandNumber,
        begun: u64,
    ) -> Option<CommandResponse> {
        let forgotten = || {
            rejected(
                ResponseCode::Forgotten,
                "it cannot be told any more whether this command was done",
            )
        };
        let Some(record) = self.records.get(&caller) else {
            // A caller that was forgotten had begun before its last command.
            return (begun < self.forgotten_at).then(forgotten);
        };
        let known = record.responses.iter().find(|r| r.number == number);
        if let Some(known) = known {
            return Some(known.response.clone());
        }
        (number <= record.forgotten_up_to).then(forgotten)
    }

    /// Remembers the response to a command at an index of the log.
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
        self.forget_oldest();
    }

    fn forget_oldest(&mut self) {
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

    /// Reads records back; `None`: a response cannot be read.
    pub(super) fn from_wire(
        list: &[wire::CallerRecord],
        forgotten_at: u64,
    ) -> Option<CallerRecords> {
        let mut callers = CallerRecords {
            forgotten_at,
            ..CallerRecords::default()
        };
        for answered in list {
            let record = CallerRecord {
                last_index: answered.last_index,
                responses: responses_from_wire(answered)?,
                forgotten_up_to: CommandNumber(answered.forgotten_up_to),
            };
            callers.records.insert(answered.caller, record);
            callers
                .by_last_index
                .insert(answered.last_index, answered.caller);
        }
        Some(callers)
    }
}

fn responses_from_wire(answered: &wire::CallerRecord) -> Option<VecDeque<RecordedResponse>> {
    let mut responses = Vec::new();
    for bytes in &answered.responses {
        responses.push(CommandResponse::decode(&bytes[..]).ok()?);
    }
    let numbers = answered.numbers.iter().copied().map(CommandNumber);
    Some(
        numbers
            .zip(responses)
            .map(|(number, response)| RecordedResponse { number, response })
            .collect(),
    )
}
