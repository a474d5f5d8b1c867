//! Encoding of the full state as the records of a snapshot. Equal states give equal bytes.

use crate::state::{
    AcknowledgedIncrement, CallerId, CallerRecord, CounterState, Limits, NameEntry, NameId,
};
use chalkdeck_proto::chalkdeck::counter::v1::{CallerState, SnapshotHead, SnapshotPart};
use chalkdeck_time::Timestamp;
use chalkdeck_wal::record::{self, RecordReader};
use chalkdeck_wal::state::{Identity, SnapshotDamage};
use prost::Message;

/// Version of the snapshot and record format; other versions are rejected.
pub const VERSION: u32 = 1;
/// Maximum number of names, or of remembered increments, in one record; keeps records far below [`record::MAX_BODY_BYTES`].
const MAX_ENTRIES_PER_RECORD: usize = 32_768;

/// Encodes the state as a snapshot.
pub fn encode(state: &CounterState, identity: Identity) -> Vec<u8> {
    let names = state.names.sorted_entries();
    let callers = state.callers.sorted_records();
    let head = SnapshotHead {
        version: VERSION,
        incarnation: identity.incarnation,
        epoch: identity.epoch,
        position: state.position,
        time: state.time.as_micros(),
        forgotten: state.callers.forgotten_up_to.0,
        names: names.len() as u64,
        callers: callers.len() as u64,
    };
    let mut out = Vec::new();
    record::append_message(&mut out, &head);
    for chunk in names.chunks(MAX_ENTRIES_PER_RECORD) {
        append_names(&mut out, chunk);
    }
    for (caller, caller_record) in callers {
        append_caller(&mut out, caller, caller_record);
    }
    out
}

fn append_names(out: &mut Vec<u8>, names: &[(NameId, NameEntry)]) {
    let part = SnapshotPart {
        names: names.iter().map(|(name, _)| name.0).collect(),
        totals: names.iter().map(|(_, entry)| entry.total).collect(),
        untils: names
            .iter()
            .map(|(_, entry)| entry.expires_at.as_micros())
            .collect(),
        callers: Vec::new(),
    };
    record::append_message(out, &part);
}

/// Appends the record of one caller, split into several if it has many increments. A caller without increments gets one
/// record too.
fn append_caller(out: &mut Vec<u8>, caller: CallerId, caller_record: &CallerRecord) {
    let entries: Vec<AcknowledgedIncrement> = caller_record.acknowledged.iter().copied().collect();
    if entries.is_empty() {
        append_caller_part(out, caller, caller_record, &[]);
    }
    for chunk in entries.chunks(MAX_ENTRIES_PER_RECORD) {
        append_caller_part(out, caller, caller_record, chunk);
    }
}

fn append_caller_part(
    out: &mut Vec<u8>,
    caller: CallerId,
    caller_record: &CallerRecord,
    entries: &[AcknowledgedIncrement],
) {
    let caller_state = CallerState {
        caller: caller.0,
        used: caller_record.last_used.as_micros(),
        floor: caller_record.forgotten_up_to,
        numbers: entries.iter().map(|entry| entry.number).collect(),
        totals: entries.iter().map(|entry| entry.total).collect(),
        times: entries
            .iter()
            .map(|entry| entry.counted_at.as_micros())
            .collect(),
    };
    let part = SnapshotPart {
        callers: vec![caller_state],
        ..SnapshotPart::default()
    };
    record::append_message(out, &part);
}

/// A decoded snapshot.
#[derive(Debug)]
pub struct DecodedSnapshot {
    /// The state.
    pub state: CounterState,
    /// Which log it belongs to.
    pub identity: Identity,
}

/// Decodes a snapshot; returns an error unless all of it is valid.
pub fn decode(bytes: &[u8], limits: Limits) -> Result<DecodedSnapshot, SnapshotDamage> {
    let mut records = RecordReader::new(bytes);
    let head = records.next().ok_or_else(|| damage(0, "a sound record"))?;
    let head = SnapshotHead::decode(head.body).map_err(|_| damage(0, "the head of a snapshot"))?;
    if head.version != VERSION {
        let expected = format!("version {VERSION}, found {}", head.version);
        return Err(damage(0, expected));
    }
    let mut state = CounterState::new(limits);
    state.position = head.position;
    state.time = Timestamp::from_micros(head.time);
    state.callers.forgotten_up_to = CallerId(head.forgotten);
    for record in records.by_ref() {
        let part = SnapshotPart::decode(record.body)
            .map_err(|_| damage(record.offset, "a part of a snapshot"))?;
        restore_part(&mut state, part).map_err(|MalformedPart| {
            damage(
                record.offset,
                "columns of equal length and ascending numbers",
            )
        })?;
    }
    if !records.is_at_end() {
        return Err(damage(records.offset(), "a sound record"));
    }
    check_completeness(&state, &head, bytes.len())?;
    let identity = Identity {
        incarnation: head.incarnation,
        epoch: head.epoch,
    };
    Ok(DecodedSnapshot { state, identity })
}

fn damage(offset: usize, expected: impl Into<String>) -> SnapshotDamage {
    SnapshotDamage {
        offset,
        expected: expected.into(),
    }
}

fn check_completeness(
    state: &CounterState,
    head: &SnapshotHead,
    len: usize,
) -> Result<(), SnapshotDamage> {
    let has_all_names = state.name_count() as u64 == head.names;
    let has_all_callers = state.caller_count() as u64 == head.callers;
    if has_all_names && has_all_callers {
        return Ok(());
    }
    let expected = format!("{} names and {} callers", head.names, head.callers);
    Err(damage(len, expected))
}

/// The columns of a part differ in length, or the numbers of a caller do not ascend.
struct MalformedPart;

fn restore_part(state: &mut CounterState, part: SnapshotPart) -> Result<(), MalformedPart> {
    check_columns(part.names.len(), part.totals.len(), part.untils.len())?;
    let rows = part.names.into_iter().zip(part.totals).zip(part.untils);
    for ((name, total), until) in rows {
        let expires_at = Timestamp::from_micros(until);
        let entry = NameEntry { total, expires_at };
        state.names.restore(NameId(name), entry);
    }
    for caller_state in part.callers {
        restore_caller(state, caller_state)?;
    }
    Ok(())
}

fn restore_caller(
    state: &mut CounterState,
    caller_state: CallerState,
) -> Result<(), MalformedPart> {
    let CallerState {
        caller,
        used,
        floor,
        numbers,
        totals,
        times,
    } = caller_state;
    check_columns(numbers.len(), totals.len(), times.len())?;
    let caller_record = state.callers.restore(CallerId(caller));
    caller_record.last_used = Timestamp::from_micros(used);
    caller_record.forgotten_up_to = floor;
    for ((number, total), time) in numbers.into_iter().zip(totals).zip(times) {
        let last = caller_record.acknowledged.back();
        if last.is_some_and(|last| last.number >= number) {
            return Err(MalformedPart);
        }
        let counted_at = Timestamp::from_micros(time);
        let entry = AcknowledgedIncrement {
            number,
            total,
            counted_at,
        };
        caller_record.acknowledged.push_back(entry);
    }
    Ok(())
}

fn check_columns(first: usize, second: usize, third: usize) -> Result<(), MalformedPart> {
    if first == second && second == third {
        return Ok(());
    }
    Err(MalformedPart)
}

#[cfg(test)]
mod tests;
