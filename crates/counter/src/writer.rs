//! Writes the log and the snapshots on separate threads, so that the event loop is not blocked by the disk.

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

/// Outcome of writing a batch.
pub struct WriteOutcome {
    /// An error if the batch does not have the durability of the [`SyncPolicy`].
    pub result: Result<(), AppendError>,
    /// How long the write took, including the sync if there was one.
    pub elapsed: Duration,
    /// Length of the record in bytes.
    pub record_len: usize,
}

/// A request that a thread has completed.
pub enum Completion {
    /// A batch was written, or writing it failed.
    Batch(WriteOutcome),
    /// A new segment was started, so that a snapshot of the current state supersedes the older segments.
    Rolled(io::Result<()>),
    /// A snapshot was written, and the files that it supersedes were removed.
    Snapshot(io::Result<()>),
}

/// Sends completions to the event loop and wakes it.
#[derive(Clone)]
struct CompletionSender {
    completions: Sender<Completion>,
    waker: Arc<LoopWaker>,
}

impl CompletionSender {
    fn send(&self, completion: Completion) {
        // An error means that the event loop has ended and needs no completion.
        let _ = self.completions.send(completion);
        let _ = self.waker.wake();
    }
}

/// Handle of the threads. Dropping it waits until they have completed all requests and ended.
pub struct Writer {
    requests: Option<Sender<LogRequest>>,
    snapshot_requests: Option<Sender<CounterState>>,
    completions: Receiver<Completion>,
    threads: Vec<JoinHandle<()>>,
}

impl Writer {
    /// Starts one thread for the log and one for snapshots.
    pub fn start<D: Disk>(
        disk: D,
        log: Log<D>,
        sync_policy: SyncPolicy,
        waker: LoopWaker,
    ) -> io::Result<Writer> {
        let (requests, request_inbox) = channel();
        let (snapshot_requests, snapshot_inbox) = channel();
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
            snapshot_requests: Some(snapshot_requests),
            completions,
            threads,
        })
    }

    /// Requests the write of a batch. The caller waits for [`Completion::Batch`] before it requests the next one.
    pub fn write_batch(&self, batch: IncrementBatch) {
        self.request(LogRequest::Write(batch));
    }

    /// Requests a new segment at a position, after the batches that were requested before.
    pub fn roll(&self, position: u64) {
        self.request(LogRequest::Roll { position });
    }

    /// Requests a snapshot, which is written concurrently with batches.
    pub fn write_snapshot(&self, state: CounterState) {
        if let Some(requests) = &self.snapshot_requests {
            // The thread lives as long as this handle.
            let _ = requests.send(state);
        }
    }

    /// Returns the next completion, if there is one.
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
        self.snapshot_requests = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.into()).spawn(body)
}
