//! Snapshots: all counts at one position, as records. The same counts give the same bytes.

use crate::state::{Caller, Counts, Limits, Name, Seen};
use chalkdeck_proto::chalkdeck::counter::v1::{CallerState, SnapshotHead, SnapshotPart};
use chalkdeck_wal::record;
pub use chalkdeck_wal::snapshot::write;
use chalkdeck_wal::state::{Identity, SnapshotDamage};
use prost::Message;

/// Version of the format; others are refused.
pub const VERSION: u32 = 1;
/// Names in one record, and remembered numbers.
const PART: usize = 32_768;

/// All counts as bytes.
pub fn encode(counts: &Counts, identity: Identity) -> Vec<u8> {
    let mut names: Vec<(u64, Name)> = counts.names.iter().map(|(&id, &n)| (id, n)).collect();
    names.sort_unstable_by_key(|n| n.0);
    let mut callers: Vec<(&u64, &Caller)> = counts.callers.iter().collect();
    callers.sort_unstable_by_key(|c| c.0);
    let mut out = Vec::new();
    record::append_message(
        &mut out,
        &SnapshotHead {
            version: VERSION,
            incarnation: identity.incarnation,
            epoch: identity.epoch,
            position: counts.position,
            time: counts.time,
            forgotten: counts.forgotten,
            names: names.len() as u64,
            callers: callers.len() as u64,
        },
    );
    for chunk in names.chunks(PART) {
        let part = SnapshotPart {
            names: chunk.iter().map(|n| n.0).collect(),
            totals: chunk.iter().map(|n| n.1.total).collect(),
            untils: chunk.iter().map(|n| n.1.until).collect(),
            callers: Vec::new(),
        };
        record::append_message(&mut out, &part);
    }
    for (&id, caller) in callers {
        push_caller(&mut out, id, caller);
    }
    out
}

/// One caller, over several records where one would grow too long.
fn push_caller(out: &mut Vec<u8>, id: u64, caller: &Caller) {
    let seen: Vec<&Seen> = caller.seen.iter().collect();
    let empty: [&[&Seen]; 1] = [&[]];
    let chunks = seen
        .chunks(PART)
        .chain(empty.into_iter().filter(|_| seen.is_empty()));
    for chunk in chunks {
        let state = CallerState {
            caller: id,
            used: caller.used,
            floor: caller.floor,
            numbers: chunk.iter().map(|s| s.number).collect(),
            totals: chunk.iter().map(|s| s.total).collect(),
            times: chunk.iter().map(|s| s.at).collect(),
        };
        record::append_message(
            out,
            &SnapshotPart {
                callers: vec![state],
                ..SnapshotPart::default()
            },
        );
    }
}

/// Counts read back, and whose they are.
#[derive(Debug)]
pub struct Decoded {
    /// The counts.
    pub counts: Counts,
    /// Whose they are.
    pub identity: Identity,
}

/// Reads a snapshot, whole or not at all.
pub fn decode(bytes: &[u8], limits: Limits) -> Result<Decoded, SnapshotDamage> {
    let damage = |offset, expected: &str| SnapshotDamage {
        offset,
        expected: expected.into(),
    };
    let head = record::body_at(bytes, 0).ok_or_else(|| damage(0, "a sound record"))?;
    let mut at = record::HEADER_LEN + head.len();
    let head = SnapshotHead::decode(head).map_err(|_| damage(0, "the head of a snapshot"))?;
    if head.version != VERSION {
        return Err(damage(
            0,
            &format!("version {VERSION}, found {}", head.version),
        ));
    }
    let mut counts = Counts::new(limits);
    (counts.position, counts.time, counts.forgotten) = (head.position, head.time, head.forgotten);
    while at < bytes.len() {
        let body = record::body_at(bytes, at).ok_or_else(|| damage(at, "a sound record"))?;
        let part = SnapshotPart::decode(body).map_err(|_| damage(at, "a part of a snapshot"))?;
        take(&mut counts, part).ok_or_else(|| damage(at, "as many totals and ends as names"))?;
        at += record::HEADER_LEN + body.len();
    }
    if (counts.names.len() as u64, counts.callers.len() as u64) != (head.names, head.callers) {
        let expected = format!("{} names and {} callers", head.names, head.callers);
        return Err(damage(bytes.len(), &expected));
    }
    Ok(Decoded {
        counts,
        identity: Identity {
            incarnation: head.incarnation,
            epoch: head.epoch,
        },
    })
}

fn take(counts: &mut Counts, part: SnapshotPart) -> Option<()> {
    let same = |a: usize, b: usize, c: usize| (a == b && b == c).then_some(());
    same(part.names.len(), part.totals.len(), part.untils.len())?;
    for ((id, total), until) in part.names.into_iter().zip(part.totals).zip(part.untils) {
        counts.names.insert(id, Name { total, until });
        counts.ends.insert((until, id));
    }
    for state in part.callers {
        same(state.numbers.len(), state.totals.len(), state.times.len())?;
        let caller = counts.callers.entry(state.caller).or_default();
        (caller.used, caller.floor) = (state.used, state.floor);
        let seen = state.numbers.into_iter().zip(state.totals).zip(state.times);
        for ((number, total), at) in seen {
            if caller.seen.back().is_some_and(|last| last.number >= number) {
                return None;
            }
            caller.seen.push_back(Seen { number, total, at });
        }
    }
    Some(())
}
