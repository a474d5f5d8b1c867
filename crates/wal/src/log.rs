//! The log: segments of records, and the way back from them after a crash.
//!
//! What is written together is told to anyone only once it is as safe as was promised. One record at a time is on its way to the
//! disk, so what a crash tears is at the end of the newest segment.

use crate::disk::Disk;
use crate::held::{Applied, Held, Identity};
use crate::record;
use prost::Message;
use std::io;

/// The first record of each segment.
#[derive(Clone, PartialEq, Message)]
pub struct SegmentHead {
    /// Version of the form.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Of the folder, made with it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Starts of the service so far.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Changes before this segment.
    #[prost(uint64, tag = "4")]
    pub position: u64,
}

/// Snapshots that are kept, so that damage to the newest is no loss.
const SNAPSHOTS: usize = 2;
const SEGMENT: &str = "segment-";
const SNAPSHOT: &str = "snapshot-";

/// Why a log was not opened.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum OpenError {
    /// The disk said no.
    #[error("{what}: {error}")]
    #[diagnostic(
        code(chalkdeck::wal::disk),
        help("see the folder's rights and room, and whether another process holds it")
    )]
    Disk {
        /// What was tried, and on which file.
        what: String,
        /// The error.
        error: io::Error,
    },
    /// What was kept is unreadable or missing.
    #[error("{file}, offset {offset}: expected {expected}. What was kept would be lost. Put the file back from a copy; or give up what follows from \
             there on: move this file and all later ones away, and start again")]
    #[diagnostic(
        code(chalkdeck::wal::damage),
        help("nothing was changed: put the file back from a copy, or move it and all later ones away and start again")
    )]
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
    /// Changes replayed after it.
    pub replayed: u64,
    /// A torn tail that was cut off: its file and length in bytes.
    pub cut: Option<(String, u64)>,
}

/// How a batch failed.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// Nothing of it is in the log.
    #[error("not kept: {0}")]
    NotKept(io::Error),
    /// It may come back with the next start; the log takes no more.
    #[error("may be kept, the log is closed: {0}")]
    MayBeKept(io::Error),
    /// The log was closed before.
    #[error("the log is closed: not kept")]
    Closed,
}

/// A log, opened.
pub struct Log<D: Disk> {
    disk: D,
    file: D::File,
    name: String,
    len: u64,
    version: u32,
    closed: bool,
    /// Whose log it is.
    pub identity: Identity,
}

/// A log with what it held.
pub struct Opened<D: Disk, H> {
    /// The log, ready for the next record.
    pub log: Log<D>,
    /// What it held.
    pub held: H,
    /// How that was found.
    pub found: Found,
}

/// What a folder held.
pub struct Replayed<H> {
    /// The state.
    pub held: H,
    /// Whose it is.
    pub identity: Identity,
    /// How it was found.
    pub found: Found,
}

fn at<T>(what: impl Into<String>, result: io::Result<T>) -> Result<T, OpenError> {
    result.map_err(|error| OpenError::Disk {
        what: what.into(),
        error,
    })
}

fn damage(file: &str, offset: usize, expected: impl Into<String>) -> OpenError {
    OpenError::Damage {
        file: file.into(),
        offset,
        expected: expected.into(),
    }
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

/// Reads a folder without changing it, up to a position. Errors: the disk, or damage before the torn tail.
pub fn replay<D: Disk, H: Held>(
    disk: &D,
    settings: &H::Settings,
    until: u64,
) -> Result<Replayed<H>, OpenError> {
    let mut out = Replayed {
        held: H::new(settings),
        identity: Identity::default(),
        found: Found::default(),
    };
    newest_snapshot(disk, settings, until, &mut out)?;
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
        if out.held.position() >= until {
            break;
        }
        let bytes = at(name.as_str(), disk.read(name))?;
        let sound = replay_segment(&bytes, name, until, &mut out)?;
        // An empty one was torn at its beginning.
        if (sound < bytes.len() || sound == 0) && out.held.position() < until {
            if Some(name) != last.as_ref() || record::any_after(&bytes, sound + 1) {
                return Err(damage(name, sound, "a sound record, as others follow"));
            }
            out.found.cut = Some((name.clone(), (bytes.len() - sound) as u64));
        }
    }
    Ok(out)
}

fn newest_snapshot<D: Disk, H: Held>(
    disk: &D,
    settings: &H::Settings,
    until: u64,
    out: &mut Replayed<H>,
) -> Result<(), OpenError> {
    let names = at("listing the folder", snapshots(disk))?;
    let usable = names
        .iter()
        .rev()
        .filter(|n| position_in(n, SNAPSHOT).is_some_and(|p| p <= until));
    for name in usable {
        let bytes = at(name.as_str(), disk.read(name))?;
        match H::restore(&bytes, settings) {
            Ok((held, identity)) => {
                out.found.snapshot = held.position();
                (out.held, out.identity) = (held, identity);
                return Ok(());
            }
            Err(e) => out.found.bad_snapshots.push(format!("{name}: {e}")),
        }
    }
    Ok(())
}

/// Applies a segment's records; returns how many of its bytes were sound.
fn replay_segment<H: Held>(
    bytes: &[u8],
    name: &str,
    until: u64,
    out: &mut Replayed<H>,
) -> Result<usize, OpenError> {
    let Some(head) = record::body(bytes, 0) else {
        return Ok(0);
    };
    let mut offset = record::FRAME + head.len();
    let head = SegmentHead::decode(head).map_err(|_| damage(name, 0, "the head of a segment"))?;
    if head.version != H::VERSION {
        return Err(damage(
            name,
            0,
            format!("version {}, found {}", H::VERSION, head.version),
        ));
    }
    let own = out.identity.incarnation;
    if own != 0 && head.incarnation != own {
        return Err(damage(
            name,
            0,
            format!("incarnation {own:x}, found {:x}", head.incarnation),
        ));
    }
    let gap =
        |held: &H, from: u64| format!("{} from {} on, found {from}", H::RECORD, held.position());
    if head.position > out.held.position() {
        return Err(damage(name, 0, gap(&out.held, head.position)));
    }
    out.identity = Identity {
        incarnation: head.incarnation,
        epoch: out.identity.epoch.max(head.epoch),
    };
    while out.held.position() < until {
        let Some(body) = record::body(bytes, offset) else {
            break;
        };
        match out.held.replay(body) {
            Some(Applied::Changes(count)) => out.found.replayed += count,
            // What the snapshot holds is not applied again.
            Some(Applied::Held) => {}
            Some(Applied::Gap(from)) => return Err(damage(name, offset, gap(&out.held, from))),
            None => return Err(damage(name, offset, format!("a record of {}", H::RECORD))),
        }
        offset += record::FRAME + body.len();
    }
    Ok(offset)
}

impl<D: Disk> Log<D> {
    /// Reads a folder, cuts a torn tail and begins a new segment in a new epoch. `incarnation`: of a folder that holds
    /// nothing. Errors: the disk, or damage before the tail; then nothing has been changed.
    pub fn open<H: Held>(
        disk: D,
        settings: &H::Settings,
        incarnation: u64,
    ) -> Result<Opened<D, H>, OpenError> {
        let replayed: Replayed<H> = replay(&disk, settings, u64::MAX)?;
        let Replayed {
            held,
            mut identity,
            found,
        } = replayed;
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
        let log = Log::begin(disk, identity, H::VERSION, held.position())?;
        Ok(Opened { log, held, found })
    }

    fn begin(
        disk: D,
        identity: Identity,
        version: u32,
        position: u64,
    ) -> Result<Log<D>, OpenError> {
        let name = segment_at(position, identity.epoch);
        let head = head_of(identity, version, position);
        let (file, len) = at(
            format!("beginning {name}"),
            begin_segment(&disk, &name, &head),
        )?;
        Ok(Log {
            disk,
            file,
            name,
            len,
            version,
            closed: false,
            identity,
        })
    }

    /// Whether it takes no more.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Appends a record as `record::push` makes it. What a failed write left is cut off again; where that fails too the log closes.
    pub fn append(&mut self, record: &[u8]) -> Result<(), Failed> {
        if self.closed {
            return Err(Failed::Closed);
        }
        let Err(error) = self.disk.append(&mut self.file, record) else {
            self.len += record.len() as u64;
            return Ok(());
        };
        if self.disk.cut(&self.name, self.len).is_ok() {
            return Err(Failed::NotKept(error));
        }
        self.closed = true;
        Err(Failed::MayBeKept(error))
    }

    /// Syncs what was appended. A failure closes the log: what became of the bytes is not known, and a second sync that
    /// works would not say it.
    pub fn sync(&mut self) -> Result<(), Failed> {
        if self.closed {
            return Err(Failed::Closed);
        }
        self.disk.sync(&mut self.file).map_err(|error| {
            self.closed = true;
            Failed::MayBeKept(error)
        })
    }

    /// Begins a new segment at a position, so that a snapshot there can take the place of the older ones. A failure leaves
    /// the present one in use.
    pub fn roll(&mut self, position: u64) -> io::Result<()> {
        // A segment is named by its beginning: nothing to do where nothing was changed.
        let name = segment_at(position, self.identity.epoch);
        if self.closed || name == self.name {
            return Ok(());
        }
        self.disk
            .sync(&mut self.file)
            .inspect_err(|_| self.closed = true)?;
        let begun = begin_segment(
            &self.disk,
            &name,
            &head_of(self.identity, self.version, position),
        );
        if begun.is_err() {
            // An empty segment must not stand after one that still grows.
            self.closed = self.disk.remove(&name).is_err();
        }
        (self.file, self.len) = begun?;
        self.name = name;
        Ok(())
    }
}

fn head_of(identity: Identity, version: u32, position: u64) -> SegmentHead {
    let Identity { incarnation, epoch } = identity;
    SegmentHead {
        version,
        incarnation,
        epoch,
        position,
    }
}

fn begin_segment<D: Disk>(disk: &D, name: &str, head: &SegmentHead) -> io::Result<(D::File, u64)> {
    let mut file = disk.create(name)?;
    let mut bytes = Vec::new();
    record::push(&mut bytes, head);
    disk.append(&mut file, &bytes)?;
    disk.sync(&mut file)?;
    disk.sync_folder()?;
    Ok((file, bytes.len() as u64))
}

/// Removes snapshots that are not the newest ones, and segments that the oldest kept one has in it. With one snapshot
/// only all segments stay, as that one might be damaged.
pub fn trim<D: Disk>(disk: &D) -> io::Result<()> {
    let snapshots = snapshots(disk)?;
    let Some(oldest) = snapshots.len().checked_sub(SNAPSHOTS) else {
        return Ok(());
    };
    for name in &snapshots[..oldest] {
        disk.remove(name)?;
    }
    let Some(kept) = position_in(&snapshots[oldest], SNAPSHOT) else {
        return Ok(());
    };
    let segments = segments(disk)?;
    for pair in segments.windows(2) {
        if position_in(&pair[1], SEGMENT).is_some_and(|next| next <= kept) {
            disk.remove(&pair[0])?;
        }
    }
    disk.sync_folder()
}
