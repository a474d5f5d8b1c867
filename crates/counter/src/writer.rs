//! The log and its snapshots on threads of their own, so that the loop accepts the next increments while the disk works.

mod log_thread;
mod snapshot_thread;

use crate::batch::IncrementBatch;
use crate::state::CounterState;
use chalkdeck_net::engine::LoopWaker;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::AppendError;
use chalkdeck_wal::log::Log;
use log_thread::{LogRequest, LogThread};
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// When the log is synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncPolicy {
    /// After each batch, before it is acknowledged.
    EveryBatch,
    /// Once a second; a crash of the machine may lose the last second.
    Periodic,
}

/// How a batch was written.
pub struct WriteOutcome {
    /// Whether the batch is as durable as the [`SyncPolicy`] says.
    pub result: Result<(), AppendError>,
    /// How long it took.
    pub elapsed: Duration,
    /// Length of its record in bytes.
    pub record_len: usize,
}

/// What a thread has completed.
pub enum Completion {
    /// A batch was written or failed.
    Batch(WriteOutcome),
    /// A new segment was begun, so that a snapshot of the present state can replace the older ones.
    Rolled(io::Result<()>),
    /// A snapshot was written, and the files that it supersedes were removed.
    Snapshot(io::Result<()>),
}

/// Reports completions to the loop and wakes it.
#[derive(Clone)]
struct CompletionSender {
    completions: Sender<Completion>,
    waker: Arc<LoopWaker>,
}

impl CompletionSender {
    fn send(&self, completion: Completion) {
        // The loop may have ended; then nobody waits for the completion.
        let _ = self.completions.send(completion);
        let _ = self.waker.wake();
    }
}

/// Handle of the threads. Dropping it ends them after they have done what was requested.
pub struct Writer {
    requests: Option<Sender<LogRequest>>,
    snapshots: Option<Sender<CounterState>>,
    completions: Receiver<Completion>,
    threads: Vec<JoinHandle<()>>,
}

impl Writer {
    /// Starts a thread for the log and one for snapshots.
    pub fn start<D: Disk>(
        disk: D,
        log: Log<D>,
        sync_policy: SyncPolicy,
        waker: LoopWaker,
    ) -> io::Result<Writer> {
        let (requests, request_inbox) = channel();
        let (snapshots, snapshot_inbox) = channel();
        let (completion_sender, completions) = channel();
        let completion_sender = CompletionSender {
            completions: completion_sender,
            waker: Arc::new(waker),
        };
        let identity = log.identity();
        let log_thread = LogThread::new(log, sync_policy, completion_sender.clone());
        let write_log = move || log_thread.run(&request_inbox);
        let write_snapshots =
            move || snapshot_thread::run(&disk, identity, &snapshot_inbox, &completion_sender);
        let threads = vec![
            spawn("log", write_log)?,
            spawn("snapshots", write_snapshots)?,
        ];
        Ok(Writer {
            requests: Some(requests),
            snapshots: Some(snapshots),
            completions,
            threads,
        })
    }

    /// Writes a batch. The caller waits for [`Completion::Batch`] before the next one.
    pub fn write_batch(&self, batch: IncrementBatch) {
        self.request(LogRequest::Write(batch));
    }

    /// Begins a new segment at a position, after the batches that were requested before.
    pub fn roll(&self, position: u64) {
        self.request(LogRequest::Roll { position });
    }

    /// Writes a snapshot, concurrently with batches.
    pub fn write_snapshot(&self, state: CounterState) {
        if let Some(snapshots) = &self.snapshots {
            // The thread lives as long as this handle.
            let _ = snapshots.send(state);
        }
    }

    /// The next completion that was not returned yet.
    pub fn next_completion(&self) -> Option<Completion> {
        self.completions.try_recv().ok()
    }

    fn request(&self, request: LogRequest) {
        if let Some(requests) = &self.requests {
            // The thread lives as long as this handle.
            let _ = requests.send(request);
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        // The threads end when their channels are closed.
        self.requests = None;
        self.snapshots = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.into()).spawn(body)
}
