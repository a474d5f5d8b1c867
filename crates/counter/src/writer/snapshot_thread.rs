//! The thread that writes snapshots and removes the files that they supersede.

use super::{Completion, CompletionSender};
use crate::state::CounterState;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::state::Identity;
use chalkdeck_wal::{retention, snapshot};
use std::io;
use std::sync::mpsc::Receiver;

/// Runs until the channel is closed.
pub(super) fn run<D: Disk>(
    disk: &D,
    identity: Identity,
    inbox: &Receiver<CounterState>,
    completions: &CompletionSender,
) {
    while let Ok(state) = inbox.recv() {
        let written = write(disk, &state, identity);
        completions.send(Completion::Snapshot(written));
    }
}

fn write<D: Disk>(disk: &D, state: &CounterState, identity: Identity) -> io::Result<()> {
    snapshot::write(disk, state, identity)?;
    retention::remove_superseded(disk)
}
