//! Tools for the folder of a partition whose service is stopped.

use crate::batch::IncrementBatch;
use crate::recovery;
use crate::state::Limits;
use anyhow::Context;
use chalkdeck_wal::disk::{Disk, Folder};
use chalkdeck_wal::file_names::list_segments;
use chalkdeck_wal::record::{Record, RecordReader};
use chalkdeck_wal::segment::SegmentHead;
use chalkdeck_wal::{retention, snapshot};
use clap::{Args, Subcommand};
use prost::Message;
use std::io::Write;
use std::path::PathBuf;

/// The folder of a partition.
#[derive(Args)]
pub struct FolderArgs {
    /// The folder, such as `log/part-0`
    pub folder: PathBuf,
}

/// Commands on a folder.
#[derive(Subcommand)]
pub enum LogCommand {
    /// Check all files and print what a start would recover; changes nothing
    Verify(FolderArgs),
    /// Print the batches of each segment
    Dump(FolderArgs),
    /// Print the totals at a position
    Replay {
        /// The folder
        #[command(flatten)]
        folder: FolderArgs,
        /// Number of adds to replay; the batch that contains the last of them is replayed whole
        #[arg(long, default_value_t = u64::MAX)]
        until: u64,
    },
    /// Write a snapshot and remove the files that are superseded
    Compact(FolderArgs),
}

impl FolderArgs {
    fn open(&self) -> anyhow::Result<Folder> {
        // `Folder::open` would create a missing folder.
        anyhow::ensure!(
            self.folder.is_dir(),
            "{}: expected a folder",
            self.folder.display()
        );
        Folder::open(&self.folder).with_context(|| self.folder.display().to_string())
    }
}

impl LogCommand {
    pub(super) fn run(self) -> anyhow::Result<()> {
        let mut out = std::io::BufWriter::new(std::io::stdout().lock());
        match self {
            LogCommand::Verify(args) => verify(&args.open()?, &mut out),
            LogCommand::Dump(args) => dump(&args.open()?, &mut out),
            LogCommand::Replay { folder, until } => replay(&folder.open()?, until, &mut out),
            LogCommand::Compact(args) => compact(&args.open()?, &mut out),
        }
    }
}

fn verify(folder: &Folder, out: &mut impl Write) -> anyhow::Result<()> {
    let recovered = recovery::recover(folder, Limits::default(), u64::MAX)?;
    let report = &recovered.report;
    writeln!(
        out,
        "sound: incarnation {:x} epoch {} position {} names {}; snapshot at {}, {} adds replayed",
        recovered.identity.incarnation,
        recovered.identity.epoch,
        recovered.state.position(),
        recovered.state.name_count(),
        report.snapshot_position,
        report.replayed_changes
    )?;
    for snapshot in &report.damaged_snapshots {
        writeln!(out, "damaged, skipped: {snapshot}")?;
    }
    if let Some(tail) = &report.torn_tail {
        writeln!(
            out,
            "a start would remove the last {} bytes of {}: torn by a crash, never acknowledged",
            tail.len, tail.file
        )?;
    }
    Ok(())
}

fn dump(folder: &Folder, out: &mut impl Write) -> anyhow::Result<()> {
    for name in list_segments(folder)? {
        let bytes = folder.read(&name)?;
        writeln!(out, "# {name}, {} bytes", bytes.len())?;
        let mut records = RecordReader::new(&bytes);
        if let Some(head) = records.next() {
            writeln!(out, "{:?}", SegmentHead::decode(head.body)?)?;
        }
        for record in records.by_ref() {
            dump_batch(record, out)?;
        }
        if !records.is_at_end() {
            writeln!(out, "offset {}: no sound record", records.offset())?;
        }
    }
    Ok(())
}

fn dump_batch(record: Record<'_>, out: &mut impl Write) -> anyhow::Result<()> {
    let batch = IncrementBatch::decode(record.body)?;
    writeln!(
        out,
        "offset {}: position {} time {} adds {}",
        record.offset,
        batch.position,
        batch.time.as_micros(),
        batch.increments.len()
    )?;
    for increment in batch.increments {
        writeln!(
            out,
            "  {:016x} {:+} for {} us, caller {:x} number {}",
            increment.name.0,
            increment.amount,
            increment.lifetime.as_micros(),
            increment.caller.0,
            increment.number
        )?;
    }
    Ok(())
}

fn replay(folder: &Folder, until: u64, out: &mut impl Write) -> anyhow::Result<()> {
    let state = recovery::recover(folder, Limits::default(), until)?.state;
    writeln!(
        out,
        "# position {} time {}",
        state.position(),
        state.time().as_micros()
    )?;
    for total in state.totals() {
        writeln!(
            out,
            "{:016x} {} until {}",
            total.name.0,
            total.total,
            total.expires_at.as_micros()
        )?;
    }
    Ok(())
}

fn compact(folder: &Folder, out: &mut impl Write) -> anyhow::Result<()> {
    let opened = recovery::open(folder.clone(), Limits::default(), 0)?;
    snapshot::write(folder, &opened.state, opened.log.identity())?;
    retention::remove_superseded(folder)?;
    writeln!(out, "snapshot at {}", opened.state.position())?;
    Ok(())
}
