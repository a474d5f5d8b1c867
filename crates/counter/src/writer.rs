//! The log on a thread of its own, so that the loop takes the next adds while the disk works: one batch at a time.

use crate::log::{self, AppendError};
use crate::snapshot;
use crate::state::{Add, Counts};
use chalkdeck_net::engine::LoopWaker;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::log::Log;
use chalkdeck_wal::retention;
use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a promise without sync leaves to a crash of the machine at most.
const SYNC_EVERY: Duration = Duration::from_secs(1);

/// When a batch is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// After it was synced.
    Sync,
    /// After it was written; synced once a second.
    Write,
}

struct Batch {
    position: u64,
    time: u64,
    adds: Vec<Add>,
}

enum Work {
    Batch(Batch),
    Roll(u64),
}

/// How a batch went.
pub struct Written {
    /// Whether it is as safe as the promise says.
    pub result: Result<(), AppendError>,
    /// How long it took.
    pub took: Duration,
    /// Its bytes in the log.
    pub bytes: usize,
}

/// What the writer has done.
pub enum Done {
    /// A batch.
    Batch(Written),
    /// A new segment was begun: the counts as they are now can be kept.
    Rolled(io::Result<()>),
    /// A snapshot was written and what it made needless removed.
    Snapshot(io::Result<()>),
}

/// The writer's handle. Dropping it ends the thread after what it was given.
pub struct Writer {
    work: Option<Sender<Work>>,
    done: Receiver<Done>,
    threads: Vec<JoinHandle<()>>,
    snaps: Option<Sender<Counts>>,
}

impl Writer {
    /// Starts the thread, and one for snapshots.
    pub fn start<D: Disk>(
        disk: D,
        log: Log<D>,
        promise: Promise,
        waker: LoopWaker,
    ) -> io::Result<Writer> {
        let (work, inbox) = channel();
        let (snaps, snap_inbox) = channel();
        let (tell, done) = channel();
        let waker = Arc::new(waker);
        let identity = log.identity();
        let (snap_tell, snap_waker) = (tell.clone(), waker.clone());
        let snapshots = move || {
            while let Ok(counts) = snap_inbox.recv() {
                let written = snapshot::write(&disk, &counts, identity)
                    .and_then(|()| retention::remove_superseded(&disk));
                let _ = snap_tell.send(Done::Snapshot(written));
                let _ = snap_waker.wake();
            }
        };
        let tell = move |done| {
            let _ = tell.send(done);
            let _ = waker.wake();
        };
        let threads = vec![
            std::thread::Builder::new()
                .name("log".into())
                .spawn(move || write(log, promise, &inbox, tell))?,
            std::thread::Builder::new()
                .name("snapshots".into())
                .spawn(snapshots)?,
        ];
        Ok(Writer {
            work: Some(work),
            done,
            threads,
            snaps: Some(snaps),
        })
    }
    /// Writes adds that count from a position on at a time. The caller waits for `Done::Batch` before the next.
    pub fn batch(&self, position: u64, time: u64, adds: Vec<Add>) {
        self.give(Work::Batch(Batch {
            position,
            time,
            adds,
        }));
    }
    /// Begins a new segment at a position, behind the batches that were given.
    pub fn roll(&self, position: u64) {
        self.give(Work::Roll(position));
    }
    /// Writes a snapshot beside the batches.
    pub fn snapshot(&self, counts: Counts) {
        if let Some(sender) = &self.snaps {
            let _ = sender.send(counts);
        }
    }
    /// What was done since the last look.
    pub fn done(&self) -> Option<Done> {
        self.done.try_recv().ok()
    }
    fn give(&self, work: Work) {
        if let Some(sender) = &self.work {
            // The thread lives as long as this handle.
            let _ = sender.send(work);
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        (self.work, self.snaps) = (None, None);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

fn write<D: Disk>(mut log: Log<D>, promise: Promise, inbox: &Receiver<Work>, tell: impl Fn(Done)) {
    let mut synced = Instant::now();
    let mut behind = false;
    let mut record = Vec::new();
    loop {
        let wait = if behind {
            SYNC_EVERY.saturating_sub(synced.elapsed())
        } else {
            Duration::MAX
        };
        match inbox.recv_timeout(wait) {
            Ok(Work::Batch(batch)) => {
                let begun = Instant::now();
                record.clear();
                log::encode(&mut record, batch.position, batch.time, &batch.adds);
                let written = log.append(&record);
                let written = if promise == Promise::Sync {
                    written.and_then(|()| log.sync())
                } else {
                    written
                };
                behind = promise == Promise::Write;
                let (took, bytes) = (begun.elapsed(), record.len());
                tell(Done::Batch(Written {
                    result: written,
                    took,
                    bytes,
                }));
            }
            Ok(Work::Roll(position)) => tell(Done::Rolled(log.roll(position))),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                let _ = log.sync();
                return;
            }
        }
        if behind && synced.elapsed() >= SYNC_EVERY {
            // A failure closes the log; the next batch hears it.
            let _ = log.sync();
            (behind, synced) = (false, Instant::now());
        }
    }
}
