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
    /// The version of the state after the last command; 0 if protocol version 1 recorded it.
    last_version: u64,
}

/// What is known of all callers whose records were evicted.
#[derive(Clone, Copy, Debug)]
struct EvictedCallers {
    /// The largest caller. Callers are incarnations, which grow with time, so a larger one is new.
    caller: u64,
    /// The latest version of the state after the last command of one of them.
    version: u64,
}

/// The recorded responses of all callers.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerRecords {
    records: BTreeMap<u64, CallerRecord>,
    /// Callers by the log index of their last command.
    by_last_index: BTreeMap<u64, u64>,
    /// The largest log index of the last command of an evicted caller.
    forgotten_at: u64,
    /// `None` until every replica supports protocol version 2, as the replicas must decide alike. Until then `forgotten_at` decides.
    evicted: Option<EvictedCallers>,
}

impl CallerRecords {
    /// Begins to distinguish new callers from evicted ones, once every replica does. `version` is the version of the state, which no
    /// command of a caller that was evicted before has seen.
    pub(super) fn begin_distinguishing_new_callers(&mut self, version: u64) {
        if self.evicted.is_some() {
            return;
        }
        let has_evicted = self.forgotten_at > 0;
        let latest_caller = self.records.keys().next_back().copied();
        self.evicted = Some(EvictedCallers {
            caller: latest_caller.filter(|_| has_evicted).unwrap_or_default(),
            version: if has_evicted { version } else { 0 },
        });
    }

    /// Whether a caller without a record may be an evicted one, whose command may already have been applied. `begun_version` is the
    /// version of the state that the caller had seen; an evicted caller saw it before its last command was applied.
    fn may_be_evicted(&self, caller: u64, begun_version: u64) -> bool {
        match self.evicted {
            Some(evicted) => caller <= evicted.caller && begun_version <= evicted.version,
            None => begun_version < self.forgotten_at,
        }
    }

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
            let may_be_evicted = self.may_be_evicted(caller, begun_version);
            return may_be_evicted.then(forgotten_rejection);
        };
        let known = record.responses.iter().find(|r| r.number == number);
        if let Some(known) = known {
            return Some(known.response.clone());
        }
        (number <= record.forgotten_up_to).then(forgotten_rejection)
    }

    /// Records the response to the command at a log index, after which the state has this version.
    pub(super) fn record(
        &mut self,
        caller: u64,
        number: CommandNumber,
        response: &CommandResponse,
        index: u64,
        version: u64,
    ) {
        let record = self.records.entry(caller).or_default();
        self.by_last_index.remove(&record.last_index);
        record.last_index = index;
        record.last_version = version;
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
            let record = self.records.remove(&oldest);
            self.forgotten_at = self.forgotten_at.max(last_index);
            if let Some(evicted) = &mut self.evicted {
                let version = record.map_or(0, |record| record.last_version);
                evicted.caller = evicted.caller.max(oldest);
                evicted.version = evicted.version.max(version);
            }
        }
    }

    pub(super) fn forgotten_at(&self) -> u64 {
        self.forgotten_at
    }

    pub(super) fn evicted_to_wire(&self) -> Option<wire::EvictedCallers> {
        let evicted = self.evicted?;
        Some(wire::EvictedCallers {
            caller: evicted.caller,
            version: evicted.version,
        })
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
            last_version: record.last_version,
        };
        self.records.iter().map(to_wire).collect()
    }

    /// Restores records from a snapshot; `None` if a response is malformed.
    pub(super) fn from_wire(
        list: &[wire::CallerRecord],
        forgotten_at: u64,
        evicted: Option<wire::EvictedCallers>,
    ) -> Option<CallerRecords> {
        let evicted = evicted.map(|stored| EvictedCallers {
            caller: stored.caller,
            version: stored.version,
        });
        let mut callers = CallerRecords {
            forgotten_at,
            evicted,
            ..CallerRecords::default()
        };
        for stored in list {
            let record = CallerRecord {
                last_index: stored.last_index,
                responses: responses_from_wire(stored)?,
                forgotten_up_to: CommandNumber(stored.forgotten_up_to),
                last_version: stored.last_version,
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
