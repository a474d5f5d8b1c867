//! The command line: serve, look at a folder, look at a running part.

use crate::log;
use crate::serve;
use crate::settings::Settings;
use crate::snapshot;
use crate::state::Limits;
use anyhow::Context;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::counter::v1::Batch;
use chalkdeck_wal::disk::{Disk, Folder};
use chalkdeck_wal::recovery::TornTail;
use chalkdeck_wal::segment::SegmentHead;
use chalkdeck_wal::{file_names, record, retention};
use clap::{Args, Subcommand};
use prost::Message;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Commands of `chalkdeck-counter`.
#[derive(Subcommand)]
pub enum Command {
    /// Run the counter
    Serve {
        /// Settings, `chalkdeck.counter.v1.Settings` in text form
        config: PathBuf,
    },
    /// Check settings without starting
    Check {
        /// The settings
        config: PathBuf,
    },
    /// Look at a part's folder; its service must not run
    #[command(subcommand)]
    Log(LogCommand),
    /// The hottest names of a running part
    Top {
        /// Its admin port
        admin: SocketAddr,
    },
}

/// A part's folder.
#[derive(Args)]
pub struct FolderArgs {
    /// The folder, such as `log/part-0`
    pub folder: PathBuf,
}

/// Commands on a folder.
#[derive(Subcommand)]
pub enum LogCommand {
    /// Read all of it and say what a start would find; changes nothing
    Verify(FolderArgs),
    /// Print each segment's batches
    Dump(FolderArgs),
    /// Print the totals as they stood at a position
    Replay {
        /// The folder
        #[command(flatten)]
        folder: FolderArgs,
        /// Adds to count; the batch that holds the last of them is counted whole
        #[arg(long, default_value_t = u64::MAX)]
        until: u64,
    },
    /// Make a snapshot and remove what it makes needless
    Compact(FolderArgs),
}

impl Command {
    /// Runs it.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Command::Serve { config } => {
                tracing_subscriber::fmt()
                    .json()
                    .with_writer(std::io::stderr)
                    .init();
                let settings = Settings::load(&config)?;
                serve::run(&settings, &Signals::take()?)
            }
            Command::Check { config } => {
                Settings::load(&config)?;
                println!("{}: ok", config.display());
                Ok(())
            }
            Command::Log(command) => command.run(),
            Command::Top { admin } => top(admin),
        }
    }
}

impl FolderArgs {
    fn open(&self) -> anyhow::Result<Folder> {
        // Looking must not make one.
        anyhow::ensure!(
            self.folder.is_dir(),
            "{}: expected a folder",
            self.folder.display()
        );
        Folder::open(&self.folder).with_context(|| self.folder.display().to_string())
    }
}

impl LogCommand {
    fn run(self) -> anyhow::Result<()> {
        // Broken pipes end the output, not with an error.
        let mut out = std::io::BufWriter::new(std::io::stdout().lock());
        match self {
            LogCommand::Verify(args) => verify(&args.open()?, &mut out),
            LogCommand::Dump(args) => dump(&args.open()?, &mut out),
            LogCommand::Replay { folder, until } => {
                let replayed = log::replay(&folder.open()?, Limits::default(), until)?;
                writeln!(
                    out,
                    "# position {} time {}",
                    replayed.state.position(),
                    replayed.state.time()
                )?;
                for t in replayed.state.all() {
                    writeln!(out, "{:016x} {} until {}", t.name, t.total, t.until)?;
                }
                Ok(())
            }
            LogCommand::Compact(args) => {
                let folder = args.open()?;
                let opened = log::open(folder.clone(), Limits::default(), 0)?;
                snapshot::write(&folder, &opened.state, opened.log.identity())?;
                retention::remove_superseded(&folder)?;
                writeln!(out, "snapshot at {}", opened.state.position())?;
                Ok(())
            }
        }
    }
}

fn verify(folder: &Folder, out: &mut impl Write) -> anyhow::Result<()> {
    let replayed = log::replay(folder, Limits::default(), u64::MAX)?;
    let (counts, found) = (&replayed.state, &replayed.report);
    writeln!(
        out,
        "sound: incarnation {:x} epoch {} position {} names {}; snapshot at {}, {} adds replayed",
        replayed.identity.incarnation,
        replayed.identity.epoch,
        counts.position(),
        counts.names(),
        found.snapshot_position,
        found.replayed_changes
    )?;
    for snapshot in &found.damaged_snapshots {
        writeln!(out, "damaged, passed over: {snapshot}")?;
    }
    if let Some(TornTail { file, len: bytes }) = &found.torn_tail {
        writeln!(
            out,
            "a start would cut {bytes} bytes off {file}: torn by a crash, never answered as counted"
        )?;
    }
    Ok(())
}

fn dump(folder: &Folder, out: &mut impl Write) -> anyhow::Result<()> {
    for name in file_names::list_segments(folder)? {
        let bytes = folder.read(&name)?;
        writeln!(out, "# {name}, {} bytes", bytes.len())?;
        let mut at = 0;
        while let Some(body) = record::body_at(&bytes, at) {
            if at == 0 {
                writeln!(out, "{:?}", SegmentHead::decode(body)?)?;
            } else {
                dump_batch(at, &Batch::decode(body)?, out)?;
            }
            at += record::HEADER_LEN + body.len();
        }
        if at < bytes.len() {
            writeln!(out, "offset {at}: no sound record")?;
        }
    }
    Ok(())
}

fn dump_batch(at: usize, batch: &Batch, out: &mut impl Write) -> anyhow::Result<()> {
    let adds = log::adds_of(batch).context("expected columns of one length")?;
    writeln!(
        out,
        "offset {at}: position {} time {} adds {}",
        batch.position,
        batch.time,
        adds.len()
    )?;
    for a in adds {
        writeln!(
            out,
            "  {:016x} {:+} for {} us, caller {:x} number {}",
            a.name, a.amount, a.lifetime, a.caller, a.number
        )?;
    }
    Ok(())
}

fn top(admin: SocketAddr) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect_timeout(&admin, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET /top HTTP/1.1\r\nhost: {admin}\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (_, body) = answer
        .split_once("\r\n\r\n")
        .context("expected an HTTP answer")?;
    print!("{body}");
    Ok(())
}
