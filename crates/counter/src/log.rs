//! The log: segments of batches, and the way back from them after a crash.
//!
//! A batch is answered only once it is as safe as the promise says. One batch at a time is on its way to the disk, so what a
//! crash tears is at the end of the newest segment.

use crate::disk::Disk;
use crate::record;
use crate::snapshot::{self, Identity, VERSION};
use crate::state::{Add, Counts, Limits};
use chalkdeck_proto::chalkdeck::counter::v1::{Batch, SegmentHead};
use prost::Message;
use std::io;

/// Snapshots that are kept, so that damage to the newest is no loss.
const SNAPSHOTS: usize = 2;
const SEGMENT: &str = "segment-";
const SNAPSHOT: &str = "snapshot-";

/// Why a log was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The disk said no.
    #[error("{what}: {error}")]
    Disk {
        /// What was tried, and on which file.
        what: String,
        /// The error.
        error: io::Error,
    },
    /// Counted adds are unreadable or missing.
    #[error("{file}, offset {offset}: expected {expected}. Counted adds would be lost. Put the file back from a copy; or give the counts up from there on: \
             move this file and all later ones away, and start again")]
    Damage {
        /// The file.
        file: String,
        /// Where, in bytes.
        offset: usize,
        /// What was expected there.
        expected: String,
    },
}

/// What was found when a log was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Position of the snapshot that was begun from; 0: none.
    pub snapshot: u64,
    /// Snapshots that were damaged, with what was wrong.
    pub bad_snapshots: Vec<String>,
    /// Adds replayed after it.
    pub replayed: u64,
    /// A torn tail that was cut off: its file and length in bytes.
    pub cut: Option<(String, u64)>,
}

/// How a batch failed.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// Nothing of it is in the log.
    #[error("not counted: {0}")]
    NotCounted(io::Error),
    /// It may come back with the next start; the log takes no more.
    #[error("may be counted, the log is closed: {0}")]
    MayBeCounted(io::Error),
    /// The log was closed before.
    #[error("the log is closed: not counted")]
    Closed,
}

/// A log, opened.
pub struct Log<D: Disk> {
    disk: D,
    file: D::File,
    name: String,
    len: u64,
    closed: bool,
    /// Whose log it is.
    pub identity: Identity,
}

/// A log with what it held.
pub struct Opened<D: Disk> {
    /// The log, ready for the next batch.
    pub log: Log<D>,
    /// What it held.
    pub counts: Counts,
    /// How they were found.
    pub found: Found,
}

/// What a folder held.
pub struct Replayed {
    /// The counts.
    pub counts: Counts,
    /// Whose they are.
    pub identity: Identity,
    /// How they were found.
    pub found: Found,
}

fn at<T>(what: impl Into<String>, result: io::Result<T>) -> Result<T, OpenError> {
    result.map_err(|error| OpenError::Disk { what: what.into(), error })
}

fn damage(file: &str, offset: usize, expected: impl Into<String>) -> OpenError {
    OpenError::Damage { file: file.into(), offset, expected: expected.into() }
}

fn position_in(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.get(..20)?.parse().ok()
}

fn epoch_in(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT)?.get(21..)?.parse().ok()
}

/// Name of the segment that begins at a position in an epoch; names sort by both.
fn segment_at(position: u64, epoch: u64) -> String {
    format!("{SEGMENT}{position:020}-{epoch:010}")
}

/// Files by prefix, in their order.
fn files<D: Disk>(disk: &D, prefix: &str) -> io::Result<Vec<String>> {
    let mut names = disk.list()?;
    names.retain(|n| position_in(n, prefix).is_some());
    names.sort();
    Ok(names)
}

/// The segments of a folder, oldest first.
pub fn segments<D: Disk>(disk: &D) -> io::Result<Vec<String>> {
    files(disk, SEGMENT)
}

/// The snapshots of a folder, oldest first.
pub fn snapshots<D: Disk>(disk: &D) -> io::Result<Vec<String>> {
    files(disk, SNAPSHOT)
}

/// Adds as one record, counted from `position` on at `time`.
pub fn encode(out: &mut Vec<u8>, position: u64, time: u64, adds: &[Add]) {
    let batch = Batch {
        position,
        time,
        names: adds.iter().map(|a| a.name).collect(),
        amounts: adds.iter().map(|a| a.amount).collect(),
        lifetimes: adds.iter().map(|a| a.lifetime).collect(),
        callers: adds.iter().map(|a| a.caller).collect(),
        numbers: adds.iter().map(|a| a.number).collect(),
    };
    record::push(out, &batch);
}

/// The adds of a batch; none if its columns differ in length.
pub fn adds_of(batch: &Batch) -> Option<Vec<Add>> {
    let len = batch.names.len();
    let columns = [batch.amounts.len(), batch.lifetimes.len(), batch.callers.len(), batch.numbers.len()];
    if columns.iter().any(|c| *c != len) || batch.amounts.iter().any(|a| !a.is_finite()) {
        return None;
    }
    let add = |i: usize| Add {
        name: batch.names[i],
        amount: batch.amounts[i],
        lifetime: batch.lifetimes[i],
        caller: batch.callers[i],
        number: batch.numbers[i],
    };
    Some((0..len).map(add).collect())
}

/// Reads a folder without changing it, up to a position. Errors: the disk, or damage before the torn tail.
pub fn replay<D: Disk>(disk: &D, limits: Limits, until: u64) -> Result<Replayed, OpenError> {
    let mut out =
        Replayed { counts: Counts::new(limits), identity: Identity::default(), found: Found::default() };
    newest_snapshot(disk, limits, until, &mut out)?;
    let names = at("listing the folder", segments(disk))?;
    let last = names.last().cloned();
    for (i, name) in names.iter().enumerate() {
        // Told by the name, as the segment may be skipped.
        out.identity.epoch = out.identity.epoch.max(epoch_in(name).unwrap_or(0));
        // All that it holds is in the snapshot, where the next one begins no later.
        let next = names.get(i + 1).and_then(|n| position_in(n, SEGMENT));
        if next.is_some_and(|next| next <= out.found.snapshot) {
            continue;
        }
        if out.counts.position >= until {
            break;
        }
        let bytes = at(name.as_str(), disk.read(name))?;
        let sound = replay_segment(&bytes, name, until, &mut out)?;
        // An empty one was torn at its beginning.
        if (sound < bytes.len() || sound == 0) && out.counts.position < until {
            if Some(name) != last.as_ref() || record::any_after(&bytes, sound + 1) {
                return Err(damage(name, sound, "a sound record, as others follow"));
            }
            out.found.cut = Some((name.clone(), (bytes.len() - sound) as u64));
        }
    }
    Ok(out)
}

fn newest_snapshot<D: Disk>(
    disk: &D,
    limits: Limits,
    until: u64,
    out: &mut Replayed,
) -> Result<(), OpenError> {
    let names = at("listing the folder", snapshots(disk))?;
    let usable = names.iter().rev().filter(|n| position_in(n, SNAPSHOT).is_some_and(|p| p <= until));
    for name in usable {
        let bytes = at(name.as_str(), disk.read(name))?;
        match snapshot::decode(&bytes, limits) {
            Ok(decoded) => {
                out.found.snapshot = decoded.counts.position;
                (out.counts, out.identity) = (decoded.counts, decoded.identity);
                return Ok(());
            }
            Err(e) => out.found.bad_snapshots.push(format!("{name}: {e}")),
        }
    }
    Ok(())
}

/// Applies a segment's batches; returns how many of its bytes were sound.
fn replay_segment(bytes: &[u8], name: &str, until: u64, out: &mut Replayed) -> Result<usize, OpenError> {
    let Some(head) = record::body(bytes, 0) else { return Ok(0) };
    let mut offset = record::FRAME + head.len();
    let head = SegmentHead::decode(head).map_err(|_| damage(name, 0, "the head of a segment"))?;
    if head.version != VERSION {
        return Err(damage(name, 0, format!("version {VERSION}, found {}", head.version)));
    }
    let own = out.identity.incarnation;
    if own != 0 && head.incarnation != own {
        return Err(damage(name, 0, format!("incarnation {own:x}, found {:x}", head.incarnation)));
    }
    if head.position > out.counts.position {
        let expected = format!("adds from {} on, found {}", out.counts.position, head.position);
        return Err(damage(name, 0, expected));
    }
    out.identity = Identity { incarnation: head.incarnation, epoch: out.identity.epoch.max(head.epoch) };
    while out.counts.position < until {
        let Some(body) = record::body(bytes, offset) else { break };
        let batch = Batch::decode(body).ok();
        let adds = batch.as_ref().and_then(adds_of).ok_or_else(|| damage(name, offset, "a batch of adds"))?;
        let (from, time) = batch.map_or((0, 0), |b| (b.position, b.time));
        if from > out.counts.position {
            let expected = format!("adds from {} on, found {from}", out.counts.position);
            return Err(damage(name, offset, expected));
        }
        // What the snapshot holds is not counted again.
        if from == out.counts.position {
            for add in &adds {
                out.counts.apply(time, add);
            }
            out.found.replayed += adds.len() as u64;
        }
        offset += record::FRAME + body.len();
    }
    Ok(offset)
}

impl<D: Disk> Log<D> {
    /// Reads a folder, cuts a torn tail and begins a new segment in a new epoch. `incarnation`: of a folder that holds
    /// nothing. Errors: the disk, or damage before the tail; then nothing has been changed.
    pub fn open(disk: D, limits: Limits, incarnation: u64) -> Result<Opened<D>, OpenError> {
        let replayed = replay(&disk, limits, u64::MAX)?;
        let Replayed { counts, mut identity, found } = replayed;
        if let Some((name, len)) = &found.cut {
            let whole = at(name.as_str(), disk.read(name))?.len() as u64;
            if *len == whole {
                at(format!("removing {name}"), disk.remove(name))?;
            } else {
                at(format!("cutting {name}"), disk.cut(name, whole - len))?;
            }
        }
        identity.epoch += 1;
        if identity.incarnation == 0 {
            identity.incarnation = incarnation;
        }
        let log = Log::begin(disk, identity, counts.position)?;
        Ok(Opened { log, counts, found })
    }

    fn begin(disk: D, identity: Identity, position: u64) -> Result<Log<D>, OpenError> {
        let name = segment_at(position, identity.epoch);
        let (file, len) = at(format!("beginning {name}"), begin_segment(&disk, &name, identity, position))?;
        Ok(Log { disk, file, name, len, closed: false, identity })
    }

    /// Whether it takes no more.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Appends a record of `encode`. What a failed write left is cut off again; where that fails too the log closes.
    pub fn append(&mut self, record: &[u8]) -> Result<(), Failed> {
        if self.closed {
            return Err(Failed::Closed);
        }
        let Err(error) = self.disk.append(&mut self.file, record) else {
            self.len += record.len() as u64;
            return Ok(());
        };
        if self.disk.cut(&self.name, self.len).is_ok() {
            return Err(Failed::NotCounted(error));
        }
        self.closed = true;
        Err(Failed::MayBeCounted(error))
    }

    /// Syncs what was appended. A failure closes the log: what became of the bytes is not known, and a second sync that
    /// works would not say it.
    pub fn sync(&mut self) -> Result<(), Failed> {
        if self.closed {
            return Err(Failed::Closed);
        }
        self.disk.sync(&mut self.file).map_err(|error| {
            self.closed = true;
            Failed::MayBeCounted(error)
        })
    }

    /// Begins a new segment at a position, so that a snapshot there can take the place of the older ones. A failure leaves
    /// the present one in use.
    pub fn roll(&mut self, position: u64) -> io::Result<()> {
        // A segment is named by its beginning: nothing to do where nothing was counted.
        let name = segment_at(position, self.identity.epoch);
        if self.closed || name == self.name {
            return Ok(());
        }
        self.disk.sync(&mut self.file).inspect_err(|_| self.closed = true)?;
        let begun = begin_segment(&self.disk, &name, self.identity, position);
        if begun.is_err() {
            // An empty segment must not stand after one that still grows.
            self.closed = self.disk.remove(&name).is_err();
        }
        (self.file, self.len) = begun?;
        self.name = name;
        Ok(())
    }
}

fn begin_segment<D: Disk>(
    disk: &D,
    name: &str,
    identity: Identity,
    position: u64,
) -> io::Result<(D::File, u64)> {
    let mut file = disk.create(name)?;
    let mut head = Vec::new();
    let Identity { incarnation, epoch } = identity;
    record::push(&mut head, &SegmentHead { version: VERSION, incarnation, epoch, position });
    disk.append(&mut file, &head)?;
    disk.sync(&mut file)?;
    disk.sync_folder()?;
    Ok((file, head.len() as u64))
}

/// Removes snapshots that are not the newest ones, and segments that the oldest kept one has in it. With one snapshot
/// only all segments stay, as that one might be damaged.
pub fn trim<D: Disk>(disk: &D) -> io::Result<()> {
    let snapshots = snapshots(disk)?;
    let Some(oldest) = snapshots.len().checked_sub(SNAPSHOTS) else { return Ok(()) };
    for name in &snapshots[..oldest] {
        disk.remove(name)?;
    }
    let Some(kept) = position_in(&snapshots[oldest], SNAPSHOT) else { return Ok(()) };
    let segments = segments(disk)?;
    for pair in segments.windows(2) {
        if position_in(&pair[1], SEGMENT).is_some_and(|next| next <= kept) {
            disk.remove(&pair[0])?;
        }
    }
    disk.sync_folder()
}
